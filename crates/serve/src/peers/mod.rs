//! The other nodes: membership, datagrams, and the answers to their calls.

mod messages;
mod ranks;

pub(crate) use messages::{Datagram, Owner, PeerAnswer, PeerCall};
pub(crate) use ranks::{
    RankCache, announce_holder, duty_candidates, first_for, first_known_for, holder_of,
    is_first_for, known_names, rank_for, ranks_before, recipients, registered_rank, successor_for,
    usage_sources,
};

use crate::batches::{self, Acceptance};
use crate::clock;
use crate::crashes;
use crate::fairness;
use crate::feed;
use crate::health;
use crate::node::Node;
use crate::outage;
use crate::platform::Platform;
use crate::pool::CallError;
use crate::settings::Settings;
use crate::usage;
use bytes::Bytes;
use catkinmast_member::{Fact, Membership, MembershipSettings, NodeFact, NodeState, Output};
use catkinmast_model::{Incarnation, Name, UnixMs, Verdict};
use catkinmast_wire as wire;
use http::header::{CONTENT_ENCODING, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Settings of the failure detector. The batches of a dead owner must run elsewhere within three
/// seconds: a probe finds the death within about 0.3 s in a small fleet, and the node has 0.9 s to
/// refute the suspicion. A pause of less than a second does not count as a death.
const MEMBERSHIP: MembershipSettings =
    MembershipSettings { probe_every_ms: 300, probe_timeout_ms: 200, suspicion_ms: 900 };
/// Interval of the membership ticks.
const TICK: Duration = Duration::from_millis(100);
/// A gap this long between two ticks means that the process was paused, and that others may have
/// suspected this node.
const PAUSE_MIN_MS: u64 = 700;
/// How long after joining a node knows the other nodes: the time of two probes. Before that it
/// does not watch the store, although it may rank first.
pub(crate) const SETTLE_MS: u64 = 700;
/// Size from which an answer to a peer is packed. Changes and lists of targets shrink to a fifth.
const PACKED_FROM_BYTES: usize = 4 << 10;
/// The content encoding of a packed answer.
pub(crate) const PACKED_ENCODING: &str = "lz4";
/// Size limit of a call between nodes: a page of results or a value of the store.
const PEER_CALL_MAX_BYTES: usize = 4 << 20;

/// Converts a text into a valid name of a node, data centre or duty: it is lowercased, other
/// characters become `-`, and it is cut at 64 characters; `node` if the result is not valid.
pub(crate) fn to_node_name(text: &str) -> Name {
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

/// Joins the fleet by way of the seeds.
pub(crate) fn join<P: Platform>(
    node: &Node<P>,
    settings: &Settings,
    incarnation: Incarnation,
    seeds: Vec<SocketAddr>,
) {
    let me = NodeFact {
        capacity_millicores: settings.capacity_millicores,
        control: settings.peer,
        data_centre: to_node_name(&settings.data_centre),
        has_data_folder: false,
        http: settings.callers.unwrap_or(settings.peer),
        incarnation,
        name: to_node_name(&settings.node),
        refutation: 0,
        state: NodeState::Live,
    };
    let rng = Pcg64Mcg::seed_from_u64(node.random_u64());
    node.joined_at.set(Some(clock::now()));
    *node.members.borrow_mut() = Some(Membership::new(me, seeds, MEMBERSHIP, rng));
}

/// Returns the time until this node knows the other nodes, in milliseconds; none before it has
/// joined.
pub(crate) fn settles_after_ms<P: Platform>(node: &Node<P>) -> Option<u64> {
    let joined_at = node.joined_at.get()?;
    Some(joined_at.plus(SETTLE_MS).since_ms(clock::now()))
}

/// Returns the time until this node knows the other nodes, in milliseconds, as the time after which
/// to check its rank again; `u64::MAX` once it knows them.
pub(crate) fn next_settle_check_ms<P: Platform>(node: &Node<P>) -> u64 {
    match settles_after_ms(node) {
        None => SETTLE_MS,
        Some(0) => u64::MAX,
        Some(left_ms) => left_ms,
    }
}

/// Receives datagrams and ticks membership until the process ends.
pub(crate) async fn run_membership<P: Platform>(node: Rc<Node<P>>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // Larger than the largest datagram, so that an oversized one is seen as such.
    let mut buffer = vec![0; wire::DATAGRAM_MAX_BYTES + 64];
    let mut signs = SuspicionSigns { refutation: 0, ticked_at: clock::now() };
    with_members(&node, |members, _| members.announce_to_seeds());
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                with_members(&node, Membership::tick);
                health::tick(&node);
                node.usage.record_clock(node.settings().peer, UnixMs::from_wall_clock());
                if signs.observed(&node) {
                    batches::verify_ownership_of_all(&node);
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

/// Detects that others may have taken this node for dead and may have taken over its batches: it
/// was paused, or it had to refute a suspicion.
struct SuspicionSigns {
    refutation: u32,
    ticked_at: UnixMs,
}

impl SuspicionSigns {
    fn observed<P: Platform>(&mut self, node: &Node<P>) -> bool {
        let now = clock::now();
        let paused = now.since_ms(std::mem::replace(&mut self.ticked_at, now)) > PAUSE_MIN_MS;
        let refutation =
            node.members.borrow().as_ref().map_or(0, |members| members.me().refutation);
        let suspected = std::mem::replace(&mut self.refutation, refutation) != refutation;
        paused || suspected
    }
}

fn receive<P: Platform>(node: &Rc<Node<P>>, frame: &[u8], from: SocketAddr) {
    match wire::open::<Datagram>(&node.datagram_key, frame, wire::DATAGRAM_MAX_BYTES) {
        Ok(Datagram::Member { message, wall }) => {
            node.usage.record_clock(from, wall);
            with_members(node, |members, now| members.receive(now, from, message));
        }
        Ok(Datagram::Changes { changes, subject }) => {
            feed::receive_changes(node, subject, changes, from, from);
        }
        Ok(Datagram::RelayedChanges { changes, origin, span, subject }) => {
            feed::receive_changes(node, subject, changes.clone(), from, origin);
            feed::relay(node, subject, changes, origin, span);
        }
        Ok(Datagram::BatchEnded { batch }) => batches::on_batch_ended(node, &batch),
        Ok(Datagram::BatchOrphaned { batch, owner }) => {
            batches::on_batch_orphaned(node, &batch, owner);
        }
        Ok(Datagram::BatchOwned { batch, model, owner, work_tokens, items }) => {
            node.record_demand(model.as_deref(), work_tokens, items);
            batches::on_owner_reported(node, &batch, owner);
        }
        Ok(Datagram::StoreReturned) => outage::receive_store_returned(node),
        Ok(Datagram::TargetLoading { started_at_unix_ms, for_ms, target }) => {
            let (is_current, change) =
                node.targets.borrow_mut().apply_start_time(&target, started_at_unix_ms);
            node.target_changed(&change, "a peer");
            if is_current {
                set_target_loading(node, &target, for_ms);
            }
        }
        Ok(Datagram::TargetHints { hints }) => health::receive(node, &hints),
        Ok(Datagram::WorkspaceLoad(half)) => fairness::receive(node, half, from),
        Err(error) => {
            node.note("datagram_refused", json!({ "from": from, "why": error.to_string() }));
        }
    }
}

/// Calls `act` on the membership, if this node has joined, and carries out its outputs.
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
        Fact::Crash(crash) => crashes::on_evidence_received(node, crash),
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
    // An owner that seemed dead may be alive.
    batches::stop_obsolete_interim(node);
    if matches!(peer.state, NodeState::Gone) {
        node.pool.close_idle(peer.control);
        node.batches.orphaned.notify_one();
    }
}

/// Sends a datagram without waiting. A lost one is made up for by later messages.
pub(crate) fn send<P: Platform>(node: &Node<P>, datagram: &Datagram, to: SocketAddr) {
    match wire::seal(&node.datagram_key, datagram, wire::DATAGRAM_MAX_BYTES) {
        Ok(frame) => {
            if let Err(error) = node.datagrams.try_send_to(&frame, to) {
                let buffer_is_full = error.kind() == std::io::ErrorKind::WouldBlock;
                // The datagram is dropped, like one lost on the way.
                if !buffer_is_full {
                    node.note("datagram_unsent", json!({ "to": to, "why": error.to_string() }));
                }
            }
        }
        Err(error) => node.note("datagram_unsent", json!({ "to": to, "why": error.to_string() })),
    }
}

/// Sends a datagram to all known nodes, also to those considered dead: one of them may be alive.
pub(crate) fn broadcast<P: Platform>(node: &Node<P>, datagram: &Datagram) {
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

/// Announces to the owners of batches, which alone start items, that a target loads weights.
pub(crate) fn announce_loading<P: Platform>(node: &Node<P>, target: &str, for_ms: u64) {
    set_target_loading(node, target, for_ms);
    let started_at_unix_ms =
        node.targets.borrow().entry(target).and_then(|entry| entry.started_at_unix_ms);
    let datagram =
        Datagram::TargetLoading { started_at_unix_ms, for_ms, target: target.to_owned() };
    for owner in node.batches.owner_addresses() {
        send(node, &datagram, owner);
    }
}

fn set_target_loading<P: Platform>(node: &Node<P>, target: &str, for_ms: u64) {
    node.balancer.borrow_mut().record_loading_until(target, clock::now().plus(for_ms));
}

/// Returns this incarnation of this node; none before it has joined.
pub(crate) fn me<P: Platform>(node: &Node<P>) -> Option<Owner> {
    let members = node.members.borrow();
    members.as_ref().map(|members| ranks::owner_of(members.me()))
}

/// The status of an owner's incarnation, as far as this node knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OwnerStatus {
    /// It has ended.
    Ended,
    /// It is running.
    Running,
    /// No report about it was received yet.
    Unknown,
}

/// Returns the status of an owner's incarnation.
pub(crate) fn owner_status<P: Platform>(node: &Node<P>, owner: &Owner) -> OwnerStatus {
    let registered = node.registered.borrow().get(&owner.node).copied();
    if registered.is_some_and(|incarnation| incarnation > owner.incarnation) {
        return OwnerStatus::Ended;
    }
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return OwnerStatus::Unknown };
    match members.node(&owner.node) {
        None => OwnerStatus::Unknown,
        Some(peer) if peer.incarnation > owner.incarnation => OwnerStatus::Ended,
        Some(peer) if peer.incarnation < owner.incarnation => OwnerStatus::Unknown,
        Some(peer) if peer.state == NodeState::Gone => OwnerStatus::Ended,
        Some(_) => OwnerStatus::Running,
    }
}

/// Answers a call of another node. A body that cannot be decoded is answered with 400.
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
        PeerCall::Store(call) => PeerAnswer::Store(node.store_direct(&call).await),
        PeerCall::Submit { batch, origin, submission } => {
            match batches::accept(&node, &batch, origin, *submission).await {
                Acceptance::Accepted => PeerAnswer::Accepted,
                Acceptance::IdConflict => PeerAnswer::NoBatch,
                Acceptance::Unknown(refusal) => PeerAnswer::Unconfirmed(refusal),
            }
        }
        PeerCall::Read { after, batch, scope, wait_ms } => {
            batches::read_owned(&node, &batch, &scope, after, wait_ms).await
        }
        PeerCall::Adopt { batch, work } => {
            batches::accept_handover(&node, batch, work);
            PeerAnswer::Adopting
        }
        PeerCall::KeepCopy { batch, copy } => {
            batches::accept_copy(&node, batch, *copy);
            PeerAnswer::Accepted
        }
        PeerCall::KeepOutputs { batch, failures, texts } => {
            if batches::accept_copied_outputs(&node, &batch, failures, texts) {
                PeerAnswer::Accepted
            } else {
                PeerAnswer::Unavailable
            }
        }
        PeerCall::Changes { after, subject } => feed::changes_since(&node, subject, after)
            .map_or(PeerAnswer::Unavailable, PeerAnswer::Changes),
        PeerCall::Keys { after, subject } => feed::answer_keys(&node, subject, &after),
        PeerCall::Usage { window_counts, source } => {
            usage::record_counts(&node, &source, window_counts);
            PeerAnswer::Accepted
        }
        PeerCall::End { batch, scope } => batches::end_owned(&node, &batch, &scope).await,
        PeerCall::ItemBody { batch, item, scope } => {
            batches::item_body_owned(&node, &batch, &scope, &item)
        }
    };
    match postcard::to_stdvec(&answer) {
        Ok(body) if body.len() >= PACKED_FROM_BYTES => {
            let packed = HeaderValue::from_static(PACKED_ENCODING);
            response.headers_mut().insert(CONTENT_ENCODING, packed);
            *response.body_mut() = Full::new(Bytes::from(wire::pack(&body)));
        }
        Ok(body) => *response.body_mut() = Full::new(Bytes::from(body)),
        Err(error) => {
            node.note("peer_answer_unwritable", json!({ "why": error.to_string() }));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    Ok(response)
}

/// Returns whether a failed call cannot have been carried out by the peer.
pub(crate) const fn cannot_have_run(error: &CallError) -> bool {
    matches!(error.verdict, Verdict::NotRun)
}
