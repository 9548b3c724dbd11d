//! Shares the health of targets with other nodes.
//!
//! Evidence is taken where callers' and scoring calls end. Runs of items on engines give none: why
//! a run ends early often depends on the item, and its latency on the length of its output.

use crate::clock;
use crate::forward::OutgoingRequest;
use crate::node::Node;
use crate::peers::{self, Datagram};
use crate::platform::Platform;
use catkinmast_dispatch::{CallOutcome, CallPreference, TargetChange, TargetEntry};
use catkinmast_health::{Advice, HealthChange, HealthTable, ObserverKey, TargetHint, TargetKey};
use catkinmast_member::NodeState;
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// A call that ends at its caller's deadline shows a lost answer only if it took at least this
/// long. With a full queue, a target of speed 0.6 answers a scoring call of 200 ms after 1.7 s, and
/// a caller's retry may leave a call less than 100 ms.
const LOST_ANSWER_MIN_MS: u64 = 1_800;

/// What this node knows of the health of targets.
#[derive(Debug)]
pub(crate) struct Health {
    ranks: RefCell<Ranks>,
    table: RefCell<HealthTable>,
    /// Version of the configuration by which targets are tracked.
    tracked_version: Cell<Option<u64>>,
}

/// This node's ranks for checking targets, as long as no fact about nodes has changed.
#[derive(Debug, Default)]
struct Ranks {
    ranks: IndexMap<TargetKey, usize>,
    /// The digest of the facts that the ranks come from.
    version: u64,
}

impl Health {
    /// Opens an empty table of the node `name`.
    pub(crate) fn open(name: &str) -> Self {
        let observer = ObserverKey::of(peers::to_node_name(name).as_str());
        Self {
            ranks: RefCell::new(Ranks::default()),
            table: RefCell::new(HealthTable::open(observer)),
            tracked_version: Cell::new(None),
        }
    }
}

/// A call that is evidence of its target's health.
#[derive(Clone, Debug)]
pub(crate) struct ObservedCall {
    deadline_at: UnixMs,
    route: Option<String>,
    sent_at: UnixMs,
}

/// Records that a call is sent to a target.
pub(crate) fn call_sent<P: Platform>(
    node: &Node<P>,
    target: &str,
    outgoing: &OutgoingRequest,
) -> ObservedCall {
    let sent_at = clock::now();
    node.health.table.borrow_mut().sent(sent_at, target);
    ObservedCall { deadline_at: outgoing.deadline_at, route: outgoing.route.clone(), sent_at }
}

/// Records how a call ended, and reports what that shows to other nodes.
pub(crate) fn call_ended<P: Platform>(
    node: &Node<P>,
    target: &str,
    call: &ObservedCall,
    outcome: CallOutcome,
) {
    let now = clock::now();
    let change = {
        let mut table = node.health.table.borrow_mut();
        match outcome {
            CallOutcome::Answered { latency_ms } => {
                table.answered(now, target, call.route.as_deref(), latency_ms)
            }
            CallOutcome::Failed if is_evidence(&table, now, target, call) => {
                table.failed(now, target)
            }
            CallOutcome::Overloaded => {
                table.refused(now, target);
                None
            }
            CallOutcome::Failed | CallOutcome::Cancelled => None,
        }
    };
    note_changes(node, change, "call");
    send_due(node);
}

/// Returns whether a failed call shows a failure of its target. One that ran out of time may have
/// had too little of it.
fn is_evidence(table: &HealthTable, now: UnixMs, target: &str, call: &ObservedCall) -> bool {
    let timed_out = now >= call.deadline_at;
    let had_time = now.since_ms(call.sent_at) >= LOST_ANSWER_MIN_MS
        && !table.has_answered_since(target, call.sent_at);
    !timed_out || had_time
}

/// Returns how a target is to be used for a call.
pub(crate) fn advice<P: Platform>(node: &Node<P>, target: &str) -> Advice {
    let rank = || rank(node, TargetKey::of(target));
    node.health.table.borrow().advice(clock::now(), target, rank)
}

/// Returns the preference for a target that follows from advice.
pub(crate) const fn preference(advice: Advice) -> CallPreference {
    match (advice.avoid, advice.probe) {
        (_, true) => CallPreference::Probe,
        (true, false) => CallPreference::Avoid,
        (false, false) => CallPreference::Normal,
    }
}

/// Handles a change of the target table: a target that has restarted starts without hints. Targets
/// of services that only items reach are not tracked.
pub(crate) fn target_changed<P: Platform>(
    node: &Node<P>,
    change: &TargetChange,
    entry: &TargetEntry,
) {
    let is_direct =
        node.document().is_some_and(|document| document.has_direct_route(&entry.service));
    let mut table = node.health.table.borrow_mut();
    match change {
        TargetChange::Joined(_) | TargetChange::Restarted(_) if !is_direct => {}
        TargetChange::Joined(id) | TargetChange::Restarted(id) => {
            table.target_joined(clock::now(), id, &entry.service);
        }
        TargetChange::Left(id) => table.target_left(id),
        TargetChange::None => {}
    }
}

/// Applies the hints of another node.
pub(crate) fn receive<P: Platform>(node: &Node<P>, hints: &[TargetHint]) {
    let received = node.health.table.borrow_mut().receive(clock::now(), hints);
    let metrics = &node.metrics;
    metrics.count_hints("received", hints.len() as u64);
    metrics.count_hints("applied", received.applied);
    metrics.count_hints("discounted", received.discounted);
    note_changes(node, received.changes, "peer");
}

/// Passes received hints on and checks whether failing targets have returned. Called each 100 ms.
pub(crate) fn tick<P: Platform>(node: &Rc<Node<P>>) {
    follow_configuration(node);
    let now = clock::now();
    let due = node.health.table.borrow_mut().checks_due(now, |target| rank(node, target));
    for target in due {
        let address = node.targets.borrow().usable_entry(&target).map(|entry| entry.address);
        if let Some(address) = address {
            tokio::task::spawn_local(check(Rc::clone(node), target, address));
        }
    }
    send_due(node);
    let failing = node.health.table.borrow().failing_count(now);
    node.metrics.targets_avoided.set(failing as i64);
}

/// Tracks the targets of the services with a direct route, after a change of the configuration.
fn follow_configuration<P: Platform>(node: &Node<P>) {
    let Some(document) = node.document() else { return };
    if node.health.tracked_version.replace(Some(document.version)) == Some(document.version) {
        return;
    }
    let now = clock::now();
    let targets = node.targets.borrow();
    let mut table = node.health.table.borrow_mut();
    table.retain_services(|service| document.has_direct_route(service));
    for service in document.services.keys().filter(|name| document.has_direct_route(name)) {
        for entry in targets.serving(service) {
            if !table.is_tracked(&entry.id) {
                table.target_joined(now, &entry.id, service);
            }
        }
    }
}

/// Checks whether a target accepts connections.
async fn check<P: Platform>(node: Rc<Node<P>>, target: String, address: SocketAddr) {
    let accepted = node.pool.accepts_connections(address).await;
    let change = node.health.table.borrow_mut().checked(clock::now(), &target, accepted);
    note_changes(&node, change, "check");
    send_due(&node);
}

fn note_changes<P: Platform>(
    node: &Node<P>,
    changes: impl IntoIterator<Item = HealthChange>,
    by: &'static str,
) {
    for change in changes {
        match change {
            HealthChange::Hinted { target } => {
                node.note("target_hinted", json!({ "target": target, "by": by }));
            }
            HealthChange::Cleared { target } => {
                node.balancer.borrow_mut().serves_again(&target);
                node.note("target_hint_cleared", json!({ "target": target, "by": by }));
            }
        }
    }
}

/// Sends the hints that are due to random live peers.
fn send_due<P: Platform>(node: &Node<P>) {
    let sends = node.health.table.borrow_mut().outgoing(clock::now());
    for send in sends {
        let peers = node.live_peers();
        let peers = &peers[..send.peers.min(peers.len())];
        node.metrics.count_hints("sent", (send.hints.len() * peers.len()) as u64);
        let datagram = Datagram::TargetHints { hints: send.hints };
        for peer in peers {
            peers::send(node, &datagram, *peer);
        }
    }
}

/// Returns this node's rank among the live nodes for checking a target, 0 for the first.
fn rank<P: Platform>(node: &Node<P>, target: TargetKey) -> usize {
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return 0 };
    let version = members.facts().digest();
    let mut cache = node.health.ranks.borrow_mut();
    if cache.version != version {
        *cache = Ranks { ranks: IndexMap::new(), version };
    }
    if let Some(rank) = cache.ranks.get(&target) {
        return *rank;
    }
    let hash = |name: &str| ObserverKey::of(name).rank_hash(target);
    let own = hash(members.me().name.as_str());
    let live = members.nodes().filter(|peer| peer.state == NodeState::Live);
    let rank = live.filter(|peer| hash(peer.name.as_str()) < own).count();
    cache.ranks.insert(target, rank);
    rank
}
