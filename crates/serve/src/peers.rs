//! The other nodes: who lives, and calls between nodes.

use crate::batches::{self, Acceptance, BatchCopy, Origin, Scope};
use crate::clock;
use crate::crashes;
use crate::feed::{self, Changes, Subject};
use crate::node::Node;
use crate::outage;
use crate::platform::Platform;
use crate::pool::CallError;
use crate::settings::Settings;
use crate::store::{StoreAnswer, StoreCall, StoreRefusal};
use crate::usage;
use bytes::Bytes;
use catkinmast_dispatch::{ItemResult, Progress, Submission, TextNews};
use catkinmast_member::{
    DutyRank, Fact, Membership, MembershipSettings, Message, NodeFact, NodeState, Output, OwnerFact,
};
use catkinmast_model::{Incarnation, Name, UnixMs, Verdict};
use catkinmast_usage::{Table, Teller};
use catkinmast_wire as wire;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Failure detection. A dead owner's batches must run elsewhere within three seconds of its death:
/// a probe finds it within about 0.3 s in a small fleet, and it has 0.9 s to refute. A pause of
/// less than a second is not taken for a death.
const MEMBERSHIP: MembershipSettings =
    MembershipSettings { probe_every_ms: 300, probe_timeout_ms: 200, suspicion_ms: 900 };
/// How often membership does what is due.
const TICK: Duration = Duration::from_millis(100);
/// A tick that comes this late tells of a pause in which others may have suspected this node.
const PAUSED_MS: u64 = 700;
/// How long after joining a node knows whom else there is: several probes. Before that it takes on
/// no duty that falls to the first in rank.
pub(crate) const SETTLE_MS: u64 = 700;
/// The largest call between nodes: a page of results or a value of the store.
const PEER_CALL_MAX_BYTES: usize = 4 << 20;

/// A call between nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerCall {
    /// Gives a batch to the receiver, which the store names as its owner already.
    Adopt { batch: String, texts: Vec<(String, Progress)> },
    /// Asks for the changes of a feed that came after a revision.
    Changes { after: u64, subject: Subject },
    /// Ends a batch that the receiver owns.
    End { batch: String, scope: Scope },
    /// Keeps a copy of a batch for its owner, whom the receiver would follow.
    KeepCopy { batch: String, copy: Box<BatchCopy> },
    /// Keeps what is new of the texts of a batch of which the receiver has a copy.
    KeepTexts { batch: String, texts: Vec<TextNews> },
    /// Reads the body of an item of a batch that the receiver owns.
    ItemBody { batch: String, item: String, scope: Scope },
    /// Reads results of a batch that the receiver owns.
    Read { after: usize, batch: String, scope: Scope, wait_ms: u64 },
    /// Tells what the sender has counted of the requests of workspaces.
    Usage { tables: Vec<Table>, teller: Teller },
    /// Makes a call of the store for a node that the store turns away.
    Store(StoreCall),
    /// Hands a submission to the owner of its model's batches.
    Submit { batch: String, origin: Origin, submission: Box<Submission> },
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerAnswer {
    /// The batch is kept.
    Accepted,
    /// The receiver takes the batch.
    Adopting,
    /// The body of an item.
    Body(Vec<u8>),
    /// Changes of a feed.
    Changes(Changes),
    /// The batch is ended, and that is durable.
    Ended,
    /// No batch that the caller may see.
    NoBatch,
    /// No such item.
    NoItem,
    /// The receiver does not own the batch.
    NotOwner,
    /// Results.
    Page { results: Vec<ItemResult>, total: usize },
    /// What the store answered.
    Store(Result<StoreAnswer, StoreRefusal>),
    /// The receiver could not do it now.
    Unavailable,
}

/// A datagram between nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Datagram {
    /// A batch was ended, and that is durable.
    BatchEnded { batch: String },
    /// A batch's owner is dead, and the batch falls to the receiver.
    BatchOrphaned { batch: String, owner: Owner },
    /// A batch has a new owner.
    BatchOwned { batch: String, model: Option<String>, owner: Owner, work_tokens: u64 },
    /// Changes of a feed.
    Changes { changes: Changes, subject: Subject },
    /// Membership, and what the sender's clock shows.
    Member { message: Message, wall: UnixMs },
    /// The store answers again after an outage.
    StoreReturned,
    /// A target, in the life that began then, loads weights from now on, for about so long.
    TargetLoads { born_at_unix_ms: Option<u64>, for_ms: u64, target: String },
}

/// A life of a node.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct Owner {
    /// Where it is reached.
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub node: Name,
}

/// Makes a name of a text; what our names do not allow is replaced.
pub(crate) fn name_of(text: &str) -> Name {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    let cleaned: String = text
        .to_ascii_lowercase()
        .chars()
        .map(|c| if allowed(c) { c } else { '-' })
        .take(64)
        .collect();
    let fallback = || "node".parse().unwrap_or_else(|_| unreachable!("a constant name is valid"));
    cleaned.parse().unwrap_or_else(|_| fallback())
}

/// Joins the fleet.
pub(crate) fn join<P: Platform>(
    node: &Node<P>,
    settings: &Settings,
    incarnation: Incarnation,
    seeds: Vec<SocketAddr>,
) {
    let me = NodeFact {
        capacity_millicores: settings.capacity_millicores,
        control: settings.peer,
        data_centre: name_of(&settings.data_centre),
        has_data_folder: false,
        http: settings.callers.unwrap_or(settings.peer),
        incarnation,
        name: name_of(&settings.node),
        refutation: 0,
        state: NodeState::Live,
    };
    let rng = Pcg64Mcg::seed_from_u64(node.draw());
    node.joined_at.set(Some(clock::now()));
    *node.members.borrow_mut() = Some(Membership::open(me, seeds, MEMBERSHIP, rng));
}

/// Returns how long it takes until this node knows whom else there is; none before it has joined.
pub(crate) fn settles_in_ms<P: Platform>(node: &Node<P>) -> Option<u64> {
    let joined_at = node.joined_at.get()?;
    Some(joined_at.plus(SETTLE_MS).since_ms(clock::now()))
}

/// Returns after how long a node that does not know its duties yet has to look at them again; one that
/// knows them hears of changes.
pub(crate) fn settles_within_ms<P: Platform>(node: &Node<P>) -> u64 {
    match settles_in_ms(node) {
        None => SETTLE_MS,
        Some(0) => u64::MAX,
        Some(left_ms) => left_ms,
    }
}

/// Receives datagrams and ticks membership until the process ends.
pub(crate) async fn run_membership<P: Platform>(node: Rc<Node<P>>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; wire::DATAGRAM_MAX_BYTES + 64];
    let mut doubts = Doubts { refutation: 0, ticked_at: clock::now() };
    with_members(&node, |members, _| members.greet());
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                with_members(&node, Membership::tick);
                node.usage.clock_shows(node.settings().peer, UnixMs::from_wall_clock());
                if doubts.arise(&node) {
                    batches::doubt_all(&node);
                }
            }
            received = node.datagrams.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    receive(&node, &buffer[..length], from);
                }
            }
        }
    }
}

/// Signs that others may take this node for dead, and may have taken its batches.
struct Doubts {
    refutation: u32,
    ticked_at: UnixMs,
}

impl Doubts {
    fn arise<P: Platform>(&mut self, node: &Node<P>) -> bool {
        let now = clock::now();
        let paused = now.since_ms(std::mem::replace(&mut self.ticked_at, now)) > PAUSED_MS;
        let refutation =
            node.members.borrow().as_ref().map_or(0, |members| members.me().refutation);
        let suspected = std::mem::replace(&mut self.refutation, refutation) != refutation;
        paused || suspected
    }
}

fn receive<P: Platform>(node: &Rc<Node<P>>, frame: &[u8], from: SocketAddr) {
    match wire::open::<Datagram>(&node.key, frame, wire::DATAGRAM_MAX_BYTES) {
        Ok(Datagram::Member { message, wall }) => {
            node.usage.clock_shows(from, wall);
            with_members(node, |members, now| members.receive(now, from, message));
        }
        Ok(Datagram::Changes { changes, subject }) => feed::told(node, subject, changes, from),
        Ok(Datagram::BatchEnded { batch }) => batches::told_ended(node, &batch),
        Ok(Datagram::BatchOrphaned { batch, owner }) => batches::told_orphaned(node, &batch, owner),
        Ok(Datagram::BatchOwned { batch, model, owner, work_tokens }) => {
            node.note_demand(model.as_deref(), work_tokens);
            batches::told_owner(node, &batch, owner);
        }
        Ok(Datagram::StoreReturned) => outage::told_over(node),
        Ok(Datagram::TargetLoads { born_at_unix_ms, for_ms, target }) => {
            let (of_this_life, change) =
                node.targets.borrow_mut().told_birth(&target, born_at_unix_ms);
            node.target_changed(&change, "a peer");
            if of_this_life {
                target_loads(node, &target, for_ms);
            }
        }
        Err(error) => {
            node.note("datagram_refused", json!({ "from": from, "why": error.to_string() }));
        }
    }
}

/// Runs membership's outputs.
pub(crate) fn with_members<P: Platform>(
    node: &Node<P>,
    act: impl FnOnce(&mut Membership, UnixMs) -> Vec<Output>,
) {
    let outputs = match node.members.borrow_mut().as_mut() {
        Some(members) => act(members, clock::now()),
        None => return,
    };
    for output in outputs {
        match output {
            Output::Send { message, to } => {
                let wall = UnixMs::from_wall_clock();
                send(node, &Datagram::Member { message, wall }, to);
            }
            Output::Changed(fact) => fact_changed(node, &fact),
        }
    }
}

fn fact_changed<P: Platform>(node: &Node<P>, fact: &Fact) {
    match fact {
        Fact::Crash(crash) => crashes::told(node, crash),
        Fact::Node(peer) => node_changed(node, peer),
        Fact::Config(_) | Fact::Owner(_) | Fact::Target(_) => {}
    }
}

fn node_changed<P: Platform>(node: &Node<P>, peer: &NodeFact) {
    let state = match peer.state {
        NodeState::Live => "live",
        NodeState::Suspect => "suspect",
        NodeState::Leaving => "leaving",
        NodeState::Gone => "gone",
    };
    node.note(
        "node_seen",
        json!({
            "peer": peer.name, "state": state, "incarnation": peer.incarnation.0,
            "refutation": peer.refutation,
        }),
    );
    if matches!(peer.state, NodeState::Gone) {
        node.pool.forget(peer.control);
        node.batches.orphaned.notify_one();
    }
}

/// Sends a datagram; one that is lost is made good by the next probe.
pub(crate) fn send<P: Platform>(node: &Node<P>, datagram: &Datagram, to: SocketAddr) {
    match wire::seal(&node.key, datagram, wire::DATAGRAM_MAX_BYTES) {
        Ok(frame) => {
            if let Err(error) = node.datagrams.try_send_to(&frame, to) {
                let waits = error.kind() == std::io::ErrorKind::WouldBlock;
                if !waits {
                    node.note("datagram_unsent", json!({ "to": to, "why": error.to_string() }));
                }
            }
        }
        Err(error) => node.note("datagram_unsent", json!({ "to": to, "why": error.to_string() })),
    }
}

/// Sends a datagram to all nodes that were ever heard of: one that is taken for dead may live.
pub(crate) fn tell_all<P: Platform>(node: &Node<P>, datagram: &Datagram) {
    let all: Vec<SocketAddr> = {
        let members = node.members.borrow();
        let Some(members) = members.as_ref() else { return };
        let me = members.me().control;
        members.nodes().map(|peer| peer.control).filter(|peer| *peer != me).collect()
    };
    for peer in all {
        send(node, datagram, peer);
    }
}

/// Tells the owners of batches, who alone start items, that a target loads.
pub(crate) fn tell_load<P: Platform>(node: &Node<P>, target: &str, for_ms: u64) {
    target_loads(node, target, for_ms);
    let born_at_unix_ms =
        node.targets.borrow().entry(target).and_then(|entry| entry.born_at_unix_ms);
    let datagram = Datagram::TargetLoads { born_at_unix_ms, for_ms, target: target.to_owned() };
    for owner in node.batches.owner_addresses() {
        send(node, &datagram, owner);
    }
}

fn target_loads<P: Platform>(node: &Node<P>, target: &str, for_ms: u64) {
    node.load.borrow_mut().loads(target, clock::now().plus(for_ms));
}

/// Returns this life of this node, once it has joined.
pub(crate) fn me<P: Platform>(node: &Node<P>) -> Option<Owner> {
    let members = node.members.borrow();
    members.as_ref().map(|members| owner_of(members.me()))
}

/// What is known of a node's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Life {
    /// It is over.
    Over,
    /// It goes on.
    GoesOn,
    /// Nothing was heard of it yet.
    Unheard,
}

/// Returns what is known of an owner's life.
pub(crate) fn life_of<P: Platform>(node: &Node<P>, owner: &Owner) -> Life {
    let registered = node.registered.borrow().get(&owner.node).copied();
    if registered.is_some_and(|incarnation| incarnation > owner.incarnation) {
        return Life::Over;
    }
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return Life::Unheard };
    match members.nodes().find(|peer| peer.name == owner.node) {
        None => Life::Unheard,
        Some(peer) if peer.incarnation > owner.incarnation => Life::Over,
        Some(peer) if peer.incarnation < owner.incarnation => Life::Unheard,
        Some(peer) if peer.state == NodeState::Gone => Life::Over,
        Some(_) => Life::GoesOn,
    }
}

/// Returns this node's rank for a duty among those that live; none before it has joined.
pub(crate) fn rank_for<P: Platform>(node: &Node<P>, duty: &str) -> Option<usize> {
    let members = node.members.borrow();
    let members = members.as_ref()?;
    let mine = DutyRank::of(members.me(), duty);
    let live = members.nodes().filter(|peer| peer.state == NodeState::Live);
    Some(live.filter(|peer| DutyRank::of(peer, duty) < mine).count())
}

/// Tells whether the node at an address comes before this one for a duty.
pub(crate) fn comes_before<P: Platform>(node: &Node<P>, address: SocketAddr, duty: &str) -> bool {
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return false };
    let mine = DutyRank::of(members.me(), duty);
    let peer = members.nodes().find(|peer| peer.control == address);
    peer.is_some_and(|peer| DutyRank::of(peer, duty) < mine)
}

/// Tells whether this node comes first for a duty among those that live.
pub(crate) fn is_first_for<P: Platform>(node: &Node<P>, duty: &str) -> bool {
    rank_for(node, duty) == Some(0)
}

/// Returns where the node that comes first for a duty is reached; none if it is this one.
pub(crate) fn first_for<P: Platform>(node: &Node<P>, duty: &str) -> Option<SocketAddr> {
    if is_first_for(node, duty) {
        return None;
    }
    successor_for(node, duty).map(|owner| owner.address)
}

/// Returns the node that comes first for a duty among the others that live.
pub(crate) fn successor_for<P: Platform>(node: &Node<P>, duty: &str) -> Option<Owner> {
    let members = node.members.borrow();
    let members = members.as_ref()?;
    let live = members.peers().filter(|peer| peer.state == NodeState::Live);
    let first = live.min_by_key(|peer| DutyRank::of(peer, duty))?;
    Some(owner_of(first))
}

/// Returns the holder of a duty, and the nodes that come first in rank for it, this one among them.
pub(crate) fn followers<P: Platform>(node: &Node<P>, duty: &str, count: usize) -> Vec<Owner> {
    let holder = holder_of(node, &name_of(duty));
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return Vec::new() };
    let mut live: Vec<&NodeFact> =
        members.nodes().filter(|peer| peer.state == NodeState::Live).collect();
    live.sort_by_key(|peer| DutyRank::of(peer, duty));
    let is_wanted = |(rank, peer): &(usize, &NodeFact)| {
        *rank < count || holder.as_ref().is_some_and(|holder| *holder == peer.name)
    };
    let wanted = live.into_iter().enumerate().filter(is_wanted);
    wanted.map(|(_, peer)| owner_of(peer)).collect()
}

fn owner_of(peer: &NodeFact) -> Owner {
    Owner { address: peer.control, incarnation: peer.incarnation, node: peer.name.clone() }
}

/// Returns the lives that may serve callers now.
pub(crate) fn tellers<P: Platform>(node: &Node<P>) -> Vec<Teller> {
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return Vec::new() };
    let serving = members.nodes().filter(|peer| peer.state != NodeState::Gone);
    serving.map(|peer| Teller { incarnation: peer.incarnation, node: peer.name.clone() }).collect()
}

/// Returns the holder of a duty that all are told of, if it lives.
pub(crate) fn holder_of<P: Platform>(node: &Node<P>, duty: &Name) -> Option<Name> {
    let members = node.members.borrow();
    let members = members.as_ref()?;
    let fact = members.board().iter().find_map(|fact| match fact {
        Fact::Owner(owner) if owner.trainer == *duty => Some(owner.clone()),
        _ => None,
    })?;
    let lives = members.nodes().any(|peer| {
        peer.name == fact.node && !matches!(peer.state, NodeState::Gone | NodeState::Leaving)
    });
    lives.then_some(fact.node)
}

/// Tells all that this node holds a duty.
pub(crate) fn tell_holder<P: Platform>(node: &Node<P>, fact: OwnerFact) {
    with_members(node, |members, now| members.observe(now, Fact::Owner(fact)));
}

/// Answers a call of another node.
pub(crate) async fn answer<P: Platform>(
    node: Rc<Node<P>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let limited = http_body_util::Limited::new(request.into_body(), PEER_CALL_MAX_BYTES);
    let read = limited.collect().await.map(http_body_util::Collected::to_bytes);
    let call: Option<PeerCall> = read.ok().and_then(|body| postcard::from_bytes(&body).ok());
    let mut response = Response::new(Full::default());
    let Some(call) = call else {
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return Ok(response);
    };
    let answer = match call {
        PeerCall::Store(call) => PeerAnswer::Store(node.store_here(&call).await),
        PeerCall::Submit { batch, origin, submission } => {
            match batches::accept(&node, &batch, origin, *submission).await {
                Acceptance::Kept => PeerAnswer::Accepted,
                Acceptance::Taken => PeerAnswer::NoBatch,
                Acceptance::Unknown(_) => PeerAnswer::Unavailable,
            }
        }
        PeerCall::Read { after, batch, scope, wait_ms } => {
            batches::read_owned(&node, &batch, &scope, after, wait_ms).await
        }
        PeerCall::Adopt { batch, texts } => {
            batches::adopt(&node, batch, texts);
            PeerAnswer::Adopting
        }
        PeerCall::KeepCopy { batch, copy } => {
            batches::keep_copy(&node, batch, *copy);
            PeerAnswer::Accepted
        }
        PeerCall::KeepTexts { batch, texts } => {
            if batches::keep_texts(&node, &batch, texts) {
                PeerAnswer::Accepted
            } else {
                PeerAnswer::Unavailable
            }
        }
        PeerCall::Changes { after, subject } => feed::changes_since(&node, subject, after)
            .map_or(PeerAnswer::Unavailable, PeerAnswer::Changes),
        PeerCall::Usage { tables, teller } => {
            usage::told(&node, &teller, tables);
            PeerAnswer::Accepted
        }
        PeerCall::End { batch, scope } => batches::end_owned(&node, &batch, &scope).await,
        PeerCall::ItemBody { batch, item, scope } => {
            batches::item_body_owned(&node, &batch, &scope, &item)
        }
    };
    match postcard::to_stdvec(&answer) {
        Ok(body) => *response.body_mut() = Full::new(Bytes::from(body)),
        Err(error) => {
            node.note("peer_answer_unwritable", json!({ "why": error.to_string() }));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    Ok(response)
}

/// Tells whether a failed call of a peer cannot have been carried out there.
pub(crate) const fn never_reached(error: &CallError) -> bool {
    matches!(error.verdict, Verdict::NotRun)
}
