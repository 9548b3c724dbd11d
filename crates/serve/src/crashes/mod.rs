//! Requests that crash targets: collecting the evidence, and blocking them.
//!
//! [`Quarantine`](catkinmast_quarantine::Quarantine) decides what may be sent. `detection` finds
//! out whether a target ended with requests of this node in flight. `records` keeps the evidence in
//! the store, and reads it after all nodes have restarted. Nodes share evidence as membership
//! facts: it reaches all of them at once, also while the store is unavailable, and a node that
//! missed it or has just started gets it within seconds.
//!
//! Only requests that callers wait for are suspected. Items, second runs and scoring calls are
//! neither blocked nor recorded, but an answer to one clears callers' requests with the same
//! content.
//!
//! A trial is one further run of a request under suspicion, by one node only, to find out whether
//! it is the cause of the crashes.

mod detection;
mod records;

pub(crate) use detection::{StreamRun, connection_broke, target_changed};
pub(crate) use records::maintain_records;

use crate::forward::{AttemptFailure, Cause, OutgoingRequest};
use crate::node::Node;
use crate::peers;
use crate::platform::Platform;
use catkinmast_member::{CrashFact, Fact};
use catkinmast_model::UnixMs;
use catkinmast_quarantine::{
    BLOCK_THRESHOLD, Evidence, Fingerprint, RequestStatus, TargetIncarnation,
};
use serde_json::json;
use std::rc::Rc;

/// Returns whether there is evidence against any request.
fn has_evidence<P: Platform>(node: &Node<P>) -> bool {
    !node.quarantine.borrow().is_empty()
}

/// Returns whether a caller's request may be sent to targets without a trial.
fn is_allowed<P: Platform>(node: &Node<P>, fingerprint: Fingerprint) -> bool {
    let status = node.quarantine.borrow().status(UnixMs::from_wall_clock(), fingerprint);
    status == RequestStatus::Allowed
}

/// Returns whether targets have ended under a request that may be the cause. Such a request goes to
/// one target at a time.
pub(crate) fn is_suspected<P: Platform>(node: &Node<P>, outgoing: &OutgoingRequest) -> bool {
    let quarantine = node.quarantine.borrow();
    outgoing.source.may_crash_targets()
        && !quarantine.is_empty()
        && quarantine
            .evidence(outgoing.fingerprint())
            .is_some_and(|evidence| evidence.unrefuted_count() > 0)
}

/// Fails if a request is blocked; called before a target is chosen or waited for.
pub(crate) fn check<P: Platform>(
    node: &Node<P>,
    outgoing: &OutgoingRequest,
) -> Result<(), AttemptFailure> {
    match status(node, outgoing) {
        RequestStatus::Blocked { until } => Err(blocked(until)),
        RequestStatus::Allowed | RequestStatus::Trial { .. } => Ok(()),
    }
}

/// A trial that one attempt was admitted as.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    fingerprint: Fingerprint,
    number: usize,
}

/// Admits a request to a target; fails if it is blocked or another node holds its trial. If it is
/// admitted as a trial and does not run, the trial has to be [returned](return_trial).
pub(crate) async fn admit<P: Platform>(
    node: &Rc<Node<P>>,
    outgoing: &OutgoingRequest,
) -> Result<Option<Trial>, AttemptFailure> {
    match status(node, outgoing) {
        RequestStatus::Allowed => Ok(None),
        RequestStatus::Blocked { until } => Err(blocked(until)),
        RequestStatus::Trial { number } => {
            admit_to_trial(node, outgoing, number).await?;
            Ok(Some(Trial { fingerprint: outgoing.fingerprint(), number }))
        }
    }
}

/// Makes a trial available to the next attempt at this node, because the attempt that was admitted
/// as the trial did not run. Otherwise the request would be refused until the trial can be claimed
/// again, although it may be harmless.
pub(crate) fn return_trial<P: Platform>(node: &Node<P>, trial: Trial) {
    node.quarantine.borrow_mut().record_trial_unused(trial.fingerprint, trial.number);
}

fn status<P: Platform>(node: &Node<P>, outgoing: &OutgoingRequest) -> RequestStatus {
    if !has_evidence(node) {
        return RequestStatus::Allowed;
    }
    let now = UnixMs::from_wall_clock();
    node.quarantine.borrow().admission(now, outgoing.source, outgoing.fingerprint())
}

/// Admits a request as a trial, if this node gets the right to it. `number` is the count of ends at
/// which the trial is due.
async fn admit_to_trial<P: Platform>(
    node: &Rc<Node<P>>,
    outgoing: &OutgoingRequest,
    number: usize,
) -> Result<(), AttemptFailure> {
    let fingerprint = outgoing.fingerprint();
    let now = UnixMs::from_wall_clock();
    if node.quarantine.borrow_mut().take_unused_trial(now, fingerprint, number) {
        return Ok(());
    }
    node.quarantine.borrow_mut().record_trial_request(now, fingerprint, number);
    let is_ours = records::claim_trial(node, fingerprint, number).await;
    node.note(
        "request_trial",
        json!({ "fingerprint": fingerprint.to_string(), "number": number, "ours": is_ours,
                "request": outgoing.request_id }),
    );
    // The store may take seconds to answer, and another target may have ended meanwhile.
    let ends = node.quarantine.borrow().evidence(fingerprint).map_or(0, Evidence::unrefuted_count);
    if is_ours && ends <= number { Ok(()) } else { Err(blocked(now.plus(records::TRIAL_LEASE_MS))) }
}

fn blocked(until: UnixMs) -> AttemptFailure {
    let retry_after_ms = until.since_ms(UnixMs::from_wall_clock());
    let message = "targets have ended while they ran this request";
    AttemptFailure::not_run(Cause::Blocked { retry_after_ms }, message)
}

/// Records that a target answered a request, which clears the evidence against it.
pub(crate) fn answer_received<P: Platform>(node: &Rc<Node<P>>, outgoing: &OutgoingRequest) {
    if !has_evidence(node) && node.interrupted.borrow().is_empty() {
        return;
    }
    let fingerprint = outgoing.fingerprint();
    node.interrupted.borrow_mut().forget(fingerprint);
    if node.quarantine.borrow_mut().record_answer(fingerprint) {
        node.note("request_cleared", json!({ "fingerprint": fingerprint.to_string() }));
        share_evidence(node, fingerprint);
    }
}

/// Records that a target ended with a request of this node in flight.
fn target_ended<P: Platform>(
    node: &Node<P>,
    fingerprint: Fingerprint,
    incarnation: TargetIncarnation,
) {
    let was_allowed = is_allowed(node, fingerprint);
    let now = UnixMs::from_wall_clock();
    if node.quarantine.borrow_mut().record_end(now, fingerprint, incarnation) {
        note_if_no_longer_allowed(node, fingerprint, was_allowed, "seen here");
        share_evidence(node, fingerprint);
    }
}

/// Handles evidence from another node.
pub(crate) fn on_evidence_received<P: Platform>(node: &Node<P>, crash: &CrashFact) {
    merge_evidence(node, crash.fingerprint, &crash.evidence, "a peer");
}

/// Merges evidence from elsewhere; returns whether it was new.
fn merge_evidence<P: Platform>(
    node: &Node<P>,
    fingerprint: Fingerprint,
    evidence: &Evidence,
    by: &'static str,
) -> bool {
    let was_allowed = is_allowed(node, fingerprint);
    let is_new = node.quarantine.borrow_mut().merge(fingerprint, evidence);
    if is_new {
        note_if_no_longer_allowed(node, fingerprint, was_allowed, by);
    }
    is_new
}

/// Sends this node's evidence against a request to all nodes, and queues it for the store.
fn share_evidence<P: Platform>(node: &Node<P>, fingerprint: Fingerprint) {
    node.unsaved_crashes.borrow_mut().insert(fingerprint);
    node.crashes_changed.notify_one();
    publish_evidence(node, fingerprint);
}

fn publish_evidence<P: Platform>(node: &Node<P>, fingerprint: Fingerprint) {
    let evidence = node.quarantine.borrow().evidence(fingerprint).cloned();
    let Some(evidence) = evidence else { return };
    let fact = Fact::Crash(CrashFact { evidence, fingerprint });
    peers::with_members(node, |members, now| members.observe(now, fact));
}

fn note_if_no_longer_allowed<P: Platform>(
    node: &Node<P>,
    fingerprint: Fingerprint,
    was_allowed: bool,
    by: &'static str,
) {
    if !was_allowed || is_allowed(node, fingerprint) {
        return;
    }
    let quarantine = node.quarantine.borrow();
    let incarnations = quarantine.evidence(fingerprint).into_iter().flat_map(Evidence::unrefuted);
    let targets: Vec<String> = incarnations.map(TargetIncarnation::to_string).collect();
    node.note(
        "request_barred",
        json!({ "fingerprint": fingerprint.to_string(), "targets": targets, "by": by,
                "enough": BLOCK_THRESHOLD }),
    );
}
