//! Detection of targets that end with a request of this node in flight.
//!
//! A connection breaks for many reasons: the target crashes, it leaves as planned, or the
//! connection is reset on the way. Only a crash is evidence against the request, so what happened
//! to the target is determined: its address is probed at once, and changes of the registry count
//! for some seconds after the break.

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

/// Pause before an address that accepted a connection is probed again: a process that ends may
/// close its connections some milliseconds before its listener.
const PROBE_AGAIN_AFTER: Duration = Duration::from_millis(200);
/// A stream that has delivered events for this long is taken as survived by its target. An engine
/// that crashes interrupts all its streams, which last for seconds; if each crash counted against
/// all of them, every stream would soon have the three ends that block a request.
const SURVIVED_AFTER_MS: u64 = 1_000;

/// A stream in flight on a target.
#[derive(Debug)]
pub(crate) struct StreamRun {
    chosen: ChosenTarget,
    /// When its first event arrived; until then it may have been queued at the target.
    first_event_at: Cell<Option<UnixMs>>,
    outgoing: OutgoingRequest,
}

impl StreamRun {
    pub(crate) const fn begin(chosen: ChosenTarget, outgoing: OutgoingRequest) -> Self {
        Self { chosen, first_event_at: Cell::new(None), outgoing }
    }

    /// Records that a part of its answer arrived.
    pub(crate) fn received(&self) {
        if self.first_event_at.get().is_none() {
            self.first_event_at.set(Some(clock::now()));
        }
    }

    /// Records that its connection broke. Counts as an answer if it has delivered events for
    /// [`SURVIVED_AFTER_MS`].
    pub(crate) fn connection_broke<P: Platform>(&self, node: &Rc<Node<P>>) {
        let ran_ms = self.first_event_at.get().map_or(0, |first| clock::now().since_ms(first));
        if ran_ms < SURVIVED_AFTER_MS {
            connection_broke(node, &self.chosen, &self.outgoing);
        } else {
            super::answer_received(node, &self.outgoing);
        }
    }

    /// Records that it ended normally.
    pub(crate) fn completed<P: Platform>(&self, node: &Rc<Node<P>>) {
        super::answer_received(node, &self.outgoing);
    }
}

/// Records that the connection to a target broke while the request may have been running.
pub(crate) fn connection_broke<P: Platform>(
    node: &Rc<Node<P>>,
    chosen: &ChosenTarget,
    outgoing: &OutgoingRequest,
) {
    let Some(entry) = node.targets.borrow().entry(&chosen.id).cloned() else { return };
    // A draining target may break connections of requests that it has not finished in time.
    if entry.draining {
        return;
    }
    let incarnation =
        TargetIncarnation { started_at_unix_ms: entry.started_at_unix_ms, id: entry.id };
    let now = UnixMs::from_wall_clock();
    let is_first = node.interrupted.borrow_mut().record(
        now,
        outgoing.source,
        outgoing.fingerprint(),
        &incarnation,
    );
    if is_first {
        tokio::task::spawn_local(probe_target(Rc::clone(node), chosen.address, incarnation));
    }
}

/// Probes whether a target's address refuses connections, which shows that the target has ended.
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

/// Handles a change of a target's entry, as reported by the registry, by the target itself or by
/// another target at its address; the audit trail names the registry in all cases.
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
                "target": incarnation.id, "born_at_unix_ms": incarnation.started_at_unix_ms,
                "by": by, "fingerprint": fingerprint.to_string(), "under_way": in_flight,
            }),
        );
        super::target_ended(node, fingerprint, incarnation);
    }
}
