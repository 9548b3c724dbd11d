//! Copies of open batches at the node that would succeed their owner.
//!
//! Copies keep steps going when an owner dies while the store is unavailable. Ownership and results
//! need the store's acknowledgement, so without copies all items of the batch would wait for the
//! store to return (in a measured outage, for 10.3 s of a step of 12.4 s). Runs need no owner,
//! though. The owner sends the submission to the node that is first in rank to succeed it, which
//! holds it in memory. If the store does not answer when that node takes the batch over, it runs
//! the items in the interim, and their output is used as soon as the batch has an owner. The owner
//! also sends updates of the output of runs in progress: without them, a step whose longest run had
//! lasted 3 s ended 2 s later.
//!
//! A copy is soft state: losing it does no harm, and no result of an interim run is listed or shown
//! before the batch has an owner. The interim runs stop when the owner proves to be alive, the
//! batch is ended or it has another owner.

use super::accept::{BatchSource, build_local_batch, policy, scoring_attempts};
use super::keys::Record;
use super::takeover::{SKEW_MAX_MS, is_responsible};
use super::write::{FAILURES_COALESCE_TIME, SAVE_MIN_RUN_AGE_MS};
use super::{ASSUMED_OPEN_MS, Batches, LocalBatch};
use crate::clock;
use crate::node::Node;
use crate::peers::{self, Datagram, Owner, PeerAnswer, PeerCall};
use crate::platform::Platform;
use catkinmast_dispatch::{
    CopiedTexts, ItemFailures, ItemResult, SentTexts, Submission, TextUpdate, UnlistedWork,
};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long the other node may take to accept a copy, which has some hundred KB.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);
/// How often new output is sent, at the price of a call every 0.6 s for each open batch. Each byte
/// is sent once. A run older than [`SAVE_MIN_RUN_AGE_MS`] loses about this time with its owner;
/// younger runs are not sent.
const COPY_INTERVAL: Duration = Duration::from_millis(600);

/// A submission, the batch's record, and the failures of its items so far.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct BatchCopy {
    failures: Vec<(String, ItemFailures)>,
    record: Record,
    submission: Submission,
}

/// A copy as received.
#[derive(Debug)]
struct ReceivedCopy {
    copy: BatchCopy,
    received_at: UnixMs,
    outputs: CopiedTexts,
}

impl ReceivedCopy {
    fn into_work(self) -> UnlistedWork {
        UnlistedWork { outputs: self.outputs.into_texts(), failures: self.copy.failures }
    }
}

/// What interim runs produced while a batch had no owner.
#[derive(Debug, Default)]
pub(super) struct InterimProgress {
    /// Results with their scores; scoring them again would cost the step another 0.2 to 0.8 s.
    pub(super) results: Vec<ItemResult>,
    /// The output so far of the other items, and the failures of items.
    pub(super) work: UnlistedWork,
}

impl Batches {
    /// Stops the interim runs of a batch and returns what they produced.
    pub(super) fn stop_interim(&self, batch: &str) -> InterimProgress {
        let Some(local) = self.local.stop_interim(batch) else {
            return InterimProgress::default();
        };
        let mut local = local.borrow_mut();
        let failures = local.batch.unlisted_failures();
        let results = local.batch.take_completed();
        let outputs = local.batch.take_progress();
        InterimProgress { results, work: UnlistedWork { outputs, failures } }
    }

    /// Takes the copy of a batch and returns what it holds beside the submission.
    pub(super) fn take_copied_work(&self, batch: &str) -> UnlistedWork {
        let copy = self.standby.copies.borrow_mut().swap_remove(batch);
        copy.map(ReceivedCopy::into_work).unwrap_or_default()
    }

    /// Drops the copy and the interim runs of a batch that is ended or has a live owner.
    pub(super) fn discard_standby(&self, batch: &str) {
        self.standby.copies.borrow_mut().swap_remove(batch);
        drop(self.local.stop_interim(batch));
    }
}

/// The copies that this node holds.
#[derive(Debug, Default)]
pub(crate) struct Standby {
    copies: RefCell<IndexMap<String, ReceivedCopy>>,
}

impl Standby {
    fn insert_copy(&self, now: UnixMs, batch: String, copy: BatchCopy) {
        let mut copies = self.copies.borrow_mut();
        copies.retain(|_, copy| now.since_ms(copy.received_at) < ASSUMED_OPEN_MS);
        copies.insert(
            batch,
            ReceivedCopy { copy, received_at: now, outputs: CopiedTexts::default() },
        );
    }
}

/// Sends a copy of a batch to the node that would succeed this one as its owner, and then its new
/// output for as long as it is open. Ends for good as soon as there is no other node.
pub(super) async fn send_copies<P: Platform>(node: Rc<Node<P>>, local: Rc<RefCell<LocalBatch>>) {
    let id = local.borrow().id.clone();
    let failure_noted = Rc::clone(&local.borrow().failure_noted.to_copy);
    let mut sent = SentWork::default();
    let mut sent_to = None;
    loop {
        if !local.borrow().is_open() {
            return;
        }
        let Some(successor) = peers::successor_for(&node, &id) else { return };
        if sent_to.as_ref() != Some(&successor) {
            sent = SentWork::default();
            let accepted = send_copy(&node, &local, &successor, &mut sent).await;
            sent_to = accepted.then_some(successor);
        } else if !send_outputs(&node, &local, &successor, &mut sent).await {
            sent_to = None;
        }
        if timeout(COPY_INTERVAL, failure_noted.notified()).await.is_ok() {
            sleep(FAILURES_COALESCE_TIME).await;
        }
    }
}

/// What was sent of a batch to the node that holds its copy.
#[derive(Debug, Default)]
struct SentWork {
    failures: Vec<(String, ItemFailures)>,
    texts: SentTexts,
}

async fn send_copy<P: Platform>(
    node: &Node<P>,
    local: &RefCell<LocalBatch>,
    to: &Owner,
    sent: &mut SentWork,
) -> bool {
    sent.failures = local.borrow().batch.unlisted_failures();
    let (batch, copy) = {
        let local = local.borrow();
        let submission = local.batch.submission().clone();
        let failures = sent.failures.clone();
        let copy = BatchCopy { failures, record: local.record.clone(), submission };
        (local.id.clone(), Box::new(copy))
    };
    send_to_standby(node, to, &batch, &PeerCall::KeepCopy { batch: batch.clone(), copy }).await
}

async fn send_outputs<P: Platform>(
    node: &Node<P>,
    local: &RefCell<LocalBatch>,
    to: &Owner,
    sent: &mut SentWork,
) -> bool {
    let UnlistedWork { outputs, failures } = local.borrow().unlisted_work(SAVE_MIN_RUN_AGE_MS);
    let texts = sent.texts.updates(&outputs);
    if texts.is_empty() && failures == sent.failures {
        return true;
    }
    sent.failures.clone_from(&failures);
    let batch = local.borrow().id.clone();
    send_to_standby(
        node,
        to,
        &batch,
        &PeerCall::KeepOutputs { batch: batch.clone(), failures, texts },
    )
    .await
}

/// Calls the other node; returns whether it accepted.
async fn send_to_standby<P: Platform>(
    node: &Node<P>,
    to: &Owner,
    batch: &str,
    call: &PeerCall,
) -> bool {
    match node.ask_peer(to.address, call, COPY_TIMEOUT).await {
        Ok(answer) => matches!(answer, PeerAnswer::Accepted),
        Err(error) => {
            let why = json!({ "request": batch, "to": to.node, "why": error.message });
            node.note("copy_unsent", why);
            false
        }
    }
}

/// Holds in memory the copy that an owner sent, unless the batch is known to be ended. Interim runs
/// stop if the owner is alive.
pub(crate) fn accept_copy<P: Platform>(node: &Node<P>, batch: String, copy: BatchCopy) {
    if node.batches.is_ended(&batch) {
        return;
    }
    if !is_responsible(node, &batch, &copy.record.owner) {
        drop(node.batches.local.stop_interim(&batch));
    }
    node.batches.note_owner(&batch, copy.record.owner.clone());
    node.batches.standby.insert_copy(clock::now(), batch, copy);
}

/// Adds new output and failures to a copy; returns false if an earlier part is missing.
pub(crate) fn accept_copied_outputs<P: Platform>(
    node: &Node<P>,
    batch: &str,
    failures: Vec<(String, ItemFailures)>,
    outputs: Vec<TextUpdate>,
) -> bool {
    let mut copies = node.batches.standby.copies.borrow_mut();
    let Some(held) = copies.get_mut(batch) else { return false };
    held.copy.failures = failures;
    held.outputs.apply(outputs)
}

/// Notifies the node that holds the copy of a batch that the batch is ended.
pub(super) fn notify_standby<P: Platform>(node: &Node<P>, batch: &str) {
    if let Some(successor) = peers::successor_for(node, batch) {
        let datagram = Datagram::BatchEnded { batch: batch.to_owned() };
        peers::send(node, &datagram, successor.address);
    }
}

/// Runs the items of a batch whose owner is dead until it has another one, if this node has a copy
/// and does not run them yet.
pub(super) fn start_interim<P: Platform>(node: &Rc<Node<P>>, batch: &str) {
    if node.batches.local.runs(batch) {
        return;
    }
    let copy = node.batches.standby.copies.borrow_mut().swap_remove(batch);
    let Some(ReceivedCopy { copy, outputs, .. }) = copy else { return };
    let BatchCopy { failures, record, submission } = copy;
    let document = node.document();
    let route = document
        .as_ref()
        .and_then(|document| document.route(&record.origin.host, &record.origin.path));
    let Some(route) = route else { return };
    let age_ms = UnixMs::from_wall_clock().since_ms(UnixMs(record.accepted_at_unix_ms));
    let accepted_at = UnixMs(clock::now().0.saturating_sub(age_ms));
    let policy = policy(route, scoring_attempts(node, &submission), accepted_at, SKEW_MAX_MS);
    let work = UnlistedWork { outputs: outputs.into_texts(), failures };
    // This node does not own the batch, so the record's revision is not needed: it writes nothing.
    let source = BatchSource { record, record_revision: 0, results: Vec::new(), submission, work };
    let (mut local, resumed) = build_local_batch(node, batch, source, accepted_at, policy, &[]);
    node.note(
        "batch_run_in_interim",
        json!({
            "request": batch, "owner": local.record.owner.node, "resumed": resumed,
            "items": local.batch.submission().items.len(), "age_ms": age_ms,
        }),
    );
    local.owned = false;
    node.batches.local.insert_interim(Rc::new(RefCell::new(local)));
    node.work.notify_one();
}
