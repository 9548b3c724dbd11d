//! Copies of open batches at the node that would follow their owner.
//!
//! *The death of an owner while the store is away stops its steps.* Nobody may own a batch, or list a
//! result of it, that the store has not acknowledged; so all its items waited for the store's return,
//! and it would be noticed as steps that wait for as long as the outage (10.3 s of a step's 12.4 s).
//! But runs need no owner. The owner sends what was submitted to the node that is first in rank to
//! follow it, which holds it in memory. When it takes the batch and the store does not answer, it runs
//! the items meanwhile; what it has of their texts goes on as soon as the batch has an owner. It is also
//! sent what is new of the texts in progress: without, a step whose longest text was three seconds old
//! ended two seconds later.
//!
//! A copy is soft state: it is lost without harm, and nothing of it is listed or shown. An owner that
//! turns out to live, the end of the batch or another owner stop the runs.

use super::accept::{BatchSource, build_local_batch, reward_attempts, terms};
use super::keys::Record;
use super::takeover::SKEW_MAX_MS;
use super::write::SAVE_MIN_RUN_AGE_MS;
use super::{ASSUMED_OPEN_MS, LocalBatch};
use crate::clock;
use crate::node::Node;
use crate::peers::{self, Datagram, Owner, PeerAnswer, PeerCall};
use crate::platform::Platform;
use catkinmast_dispatch::{CopiedTexts, ItemResult, Progress, SentTexts, Submission, TextUpdate};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long the other node may take to accept a copy of some hundred KB.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);
/// How often what is new of the texts is sent. Each byte is sent once, so this is what a text loses with
/// its owner, and a call each 0.6 s for each open batch.
const COPY_INTERVAL: Duration = Duration::from_millis(600);

/// What was submitted, and the record under which it is kept.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct BatchCopy {
    record: Record,
    submission: Submission,
}

/// A copy, and when it came.
#[derive(Debug)]
struct ReceivedCopy {
    copy: BatchCopy,
    since: UnixMs,
    texts: CopiedTexts,
}

/// What came of a batch's items while it had no owner.
#[derive(Debug, Default)]
pub(super) struct InterimProgress {
    /// Results with their scores; asked for again, they cost the step another 0.2 to 0.8 s.
    pub(super) results: Vec<ItemResult>,
    /// The texts of the others, as far as they are.
    pub(super) texts: Vec<(String, Progress)>,
}

/// The copies that this node holds, and the batches of which it runs items without owning them.
#[derive(Debug, Default)]
pub(crate) struct Standby {
    copies: RefCell<IndexMap<String, ReceivedCopy>>,
    interim: RefCell<IndexMap<String, Rc<RefCell<LocalBatch>>>>,
}

impl Standby {
    /// Returns the batches of which items run here until they have an owner.
    pub(crate) fn interim(&self) -> Vec<Rc<RefCell<LocalBatch>>> {
        self.interim.borrow().values().cloned().collect()
    }

    /// Returns the ids of these batches.
    pub(super) fn interim_ids(&self) -> Vec<String> {
        self.interim.borrow().keys().cloned().collect()
    }

    /// Stops the interim runs of a batch and returns what came of them.
    pub(super) fn stop_interim(&self, batch: &str) -> InterimProgress {
        let Some(held) = self.interim.borrow_mut().swap_remove(batch) else {
            return InterimProgress::default();
        };
        let mut held = held.borrow_mut();
        held.stop_runs();
        let results = held.batch.take_completed();
        InterimProgress { results, texts: held.batch.take_progress() }
    }

    /// Forgets a batch: it is ended, or has an owner that lives.
    pub(super) fn discard(&self, batch: &str) {
        self.copies.borrow_mut().swap_remove(batch);
        drop(self.stop_interim(batch));
    }

    fn insert_copy(&self, now: UnixMs, batch: String, copy: BatchCopy) {
        let mut copies = self.copies.borrow_mut();
        copies.retain(|_, held| now.since_ms(held.since) < ASSUMED_OPEN_MS);
        copies.insert(batch, ReceivedCopy { copy, since: now, texts: CopiedTexts::default() });
    }
}

/// Sends a copy of a batch to the node that would follow this one as its owner, and what is new of its
/// texts for as long as it is open.
pub(super) async fn send_copies<P: Platform>(node: Rc<Node<P>>, held: Rc<RefCell<LocalBatch>>) {
    let id = held.borrow().id.clone();
    let mut sent = SentTexts::default();
    let mut sent_to = None;
    loop {
        if !held.borrow().is_running() {
            return;
        }
        let Some(successor) = peers::successor_for(&node, &id) else { return };
        if sent_to.as_ref() != Some(&successor) {
            sent.forget();
            let sent = send_copy(&node, &held, &successor).await;
            sent_to = sent.then_some(successor);
        } else if !send_outputs(&node, &held, &successor, &mut sent).await {
            sent_to = None;
        }
        sleep(COPY_INTERVAL).await;
    }
}

async fn send_copy<P: Platform>(node: &Node<P>, held: &RefCell<LocalBatch>, to: &Owner) -> bool {
    let (batch, copy) = {
        let held = held.borrow();
        let submission = held.batch.submission().clone();
        (held.id.clone(), Box::new(BatchCopy { record: held.record.clone(), submission }))
    };
    send_to_standby(node, to, &batch, &PeerCall::KeepCopy { batch: batch.clone(), copy }).await
}

async fn send_outputs<P: Platform>(
    node: &Node<P>,
    held: &RefCell<LocalBatch>,
    to: &Owner,
    sent: &mut SentTexts,
) -> bool {
    let texts = sent.updates(&held.borrow().partial_outputs(SAVE_MIN_RUN_AGE_MS));
    if texts.is_empty() {
        return true;
    }
    let batch = held.borrow().id.clone();
    send_to_standby(node, to, &batch, &PeerCall::KeepTexts { batch: batch.clone(), texts }).await
}

/// Asks the other node to keep something; returns whether it does.
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

/// Keeps a copy for the owner of a batch, unless the word of its end came first.
pub(crate) fn accept_copy<P: Platform>(node: &Node<P>, batch: String, copy: BatchCopy) {
    if node.batches.is_ended(&batch) {
        return;
    }
    node.batches.note_owner(&batch, copy.record.owner.clone());
    node.batches.standby.insert_copy(clock::now(), batch, copy);
}

/// Keeps what is new of the texts of a copied batch; returns false when something before is missing.
pub(crate) fn accept_copied_outputs<P: Platform>(
    node: &Node<P>,
    batch: &str,
    texts: Vec<TextUpdate>,
) -> bool {
    let mut copies = node.batches.standby.copies.borrow_mut();
    copies.get_mut(batch).is_some_and(|held| held.texts.apply(texts))
}

/// Tells the node that holds the copy of a batch that it is ended.
pub(super) fn notify_standby<P: Platform>(node: &Node<P>, batch: &str) {
    if let Some(successor) = peers::successor_for(node, batch) {
        let datagram = Datagram::BatchEnded { batch: batch.to_owned() };
        peers::send(node, &datagram, successor.address);
    }
}

/// Runs the items of a batch whose owner is dead until the store names another, if there is a copy.
pub(super) fn start_interim<P: Platform>(node: &Rc<Node<P>>, batch: &str) {
    let copy = node.batches.standby.copies.borrow_mut().swap_remove(batch);
    let Some(ReceivedCopy { copy: BatchCopy { record, submission }, texts, .. }) = copy else {
        return;
    };
    let document = node.document();
    let route = document
        .as_ref()
        .and_then(|document| document.route(&record.origin.host, &record.origin.path));
    let Some(route) = route else { return };
    let age_ms = UnixMs::from_wall_clock().since_ms(UnixMs(record.accepted_at_unix_ms));
    let accepted_at = UnixMs(clock::now().0.saturating_sub(age_ms));
    let terms = terms(route, reward_attempts(node, &submission), accepted_at, SKEW_MAX_MS);
    let texts = texts.into_texts();
    let source = BatchSource { record, record_revision: 0, results: Vec::new(), submission, texts };
    let (mut held, resumed) = build_local_batch(node, batch, source, accepted_at, terms, &[]);
    node.note(
        "batch_run_in_interim",
        json!({
            "request": batch, "owner": held.record.owner.node, "resumed": resumed,
            "items": held.batch.submission().items.len(), "age_ms": age_ms,
        }),
    );
    held.owned = false;
    let held = Rc::new(RefCell::new(held));
    node.batches.standby.interim.borrow_mut().insert(batch.to_owned(), held);
    node.work.notify_one();
}

/// Returns for each item the longer of two texts.
pub(super) fn longer_outputs(
    texts: Vec<(String, Progress)>,
    others: Vec<(String, Progress)>,
) -> Vec<(String, Progress)> {
    let mut longest: IndexMap<String, Progress> = IndexMap::new();
    for (item, progress) in texts.into_iter().chain(others) {
        let reach = |progress: &Progress| (progress.complete, progress.last_event_id);
        match longest.get_mut(&item) {
            Some(held) if reach(held) >= reach(&progress) => {}
            Some(held) => *held = progress,
            None => {
                longest.insert(item, progress);
            }
        }
    }
    longest.into_iter().collect()
}
