//! Whether a target ended with a request of ours under way.
//!
//! A connection breaks for many reasons: a target that crashes, one that is told to leave, a reset on
//! the way. Only the first says something of the request, so the target's fate is found out: its address
//! is asked at once, and the registry's word counts for some seconds after the break.

use crate::clock;
use crate::forward::{ChosenTarget, OutgoingRequest};
use crate::metrics::count;
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_dispatch::{TargetChange, TargetEntry};
use catkinmast_model::UnixMs;
use catkinmast_quarantine::{TargetIncarnation, TargetOutcome};
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause before an address that still took a connection is asked once more: a process that ends may
/// close its connections some milliseconds before its listener.
const PROBE_AGAIN_AFTER: Duration = Duration::from_millis(200);
/// A stream that has brought events for so long shows that its target survives it. Engines end with all
/// their streams, which last for seconds; held against each, every one of them would soon have three.
const SURVIVED_AFTER_MS: u64 = 1_000;

/// A stream under way at a target.
#[derive(Debug)]
pub(crate) struct StreamRun {
    chosen: ChosenTarget,
    /// When its first event came: until then it may have waited at the target.
    first_event_at: Cell<Option<UnixMs>>,
    outgoing: OutgoingRequest,
}

impl StreamRun {
    pub(crate) const fn begin(chosen: ChosenTarget, outgoing: OutgoingRequest) -> Self {
        Self { chosen, first_event_at: Cell::new(None), outgoing }
    }

    /// Takes it that a part of its answer came.
    pub(crate) fn received(&self) {
        if self.first_event_at.get().is_none() {
            self.first_event_at.set(Some(clock::now()));
        }
    }

    /// Takes it that its connection broke.
    pub(crate) fn connection_broke<P: Platform>(&self, node: &Rc<Node<P>>) {
        let ran_ms = self.first_event_at.get().map_or(0, |first| clock::now().since_ms(first));
        if ran_ms < SURVIVED_AFTER_MS {
            connection_broke(node, &self.chosen, &self.outgoing);
        } else {
            super::answer_received(node, &self.outgoing);
        }
    }

    /// Takes it that it came to its end.
    pub(crate) fn completed<P: Platform>(&self, node: &Rc<Node<P>>) {
        super::answer_received(node, &self.outgoing);
    }
}

/// Takes a request whose connection to its target broke while it may have run.
pub(crate) fn connection_broke<P: Platform>(
    node: &Rc<Node<P>>,
    chosen: &ChosenTarget,
    outgoing: &OutgoingRequest,
) {
    let Some(entry) = node.targets.borrow().entry(&chosen.id).cloned() else { return };
    // One that leaves as planned may break off what it has not finished by the end.
    if entry.draining {
        return;
    }
    let incarnation =
        TargetIncarnation { started_at_unix_ms: entry.started_at_unix_ms, id: entry.id };
    let now = UnixMs::from_wall_clock();
    let is_first = node.interrupted.borrow_mut().record(now, outgoing.fingerprint(), &incarnation);
    if is_first {
        tokio::task::spawn_local(probe_target(Rc::clone(node), chosen.address, incarnation));
    }
}

/// Asks a target's address whether anybody listens there.
async fn probe_target<P: Platform>(
    node: Rc<Node<P>>,
    address: SocketAddr,
    incarnation: TargetIncarnation,
) {
    let mut refuses = node.pool.refuses_connections(address).await;
    if !refuses {
        sleep(PROBE_AGAIN_AFTER).await;
        refuses = node.pool.refuses_connections(address).await;
    }
    if refuses {
        apply_outcome(&node, TargetOutcome::Ended(&incarnation), "refused");
    }
}

/// Takes the registry's word of a target, or its own.
pub(crate) fn target_changed<P: Platform>(
    node: &Node<P>,
    change: &TargetChange,
    entry: &TargetEntry,
) {
    match change {
        TargetChange::Left(id) if !entry.draining => {
            apply_outcome(node, TargetOutcome::Gone { id }, "registry");
        }
        TargetChange::Restarted(id) => {
            let started_at_unix_ms = entry.started_at_unix_ms;
            apply_outcome(node, TargetOutcome::Restarted { started_at_unix_ms, id }, "registry");
        }
        TargetChange::Left(_) | TargetChange::Joined(_) | TargetChange::None => {}
    }
}

fn apply_outcome<P: Platform>(node: &Node<P>, outcome: TargetOutcome<'_>, by: &'static str) {
    if node.interrupted.borrow().is_empty() {
        return;
    }
    let ended = node.interrupted.borrow_mut().resolve(UnixMs::from_wall_clock(), outcome);
    if ended.is_empty() {
        return;
    }
    count(&node.metrics.targets_ended, by);
    let in_flight = ended.len();
    for (fingerprint, incarnation) in ended {
        node.note(
            "target_ended",
            json!({
                "target": incarnation.id, "born_at_unix_ms": incarnation.started_at_unix_ms, "by": by,
                "fingerprint": fingerprint.to_string(), "under_way": in_flight,
            }),
        );
        super::ended(node, fingerprint, incarnation);
    }
}
