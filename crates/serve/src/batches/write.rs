//! Writes results and partial output to the store.

use super::LocalBatch;
use super::keys::{
    RECORD_PREFIX, Record, chunk_key, encode, part_max_bytes, record_key, report_unreadable,
    unexpected_answer, work_key,
};
use super::ownership::apply_record;
use crate::clock;
use crate::node::Node;
use crate::platform::Platform;
use crate::store::{Expectation, Put, StoreAnswer, StoreCall, StoredItem};
use catkinmast_dispatch::{Chunk, Merge};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Results that finish within this time are written with one call. Readers poll twice a second, so
/// a reader that gets only a part of the results that complete a step sees the rest 0.5 s later.
pub(super) const COALESCE_MS: u64 = 200;

/// Pause before a call to the store is repeated.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// How often the output of runs in progress is saved. A long item takes 7 s, and after the owner's
/// death it would run again from the start; with saved output a restart of all nodes delays a step
/// by about this interval instead. The cost of a save is a thousandth of the value of a step.
pub(super) const SAVE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Output is saved only of runs at least this old; to repeat a younger one takes no longer than to
/// restore it.
pub(super) const SAVE_MIN_RUN_AGE_MS: u64 = 1_000;

/// Failures of items within this time are saved and copied together.
pub(super) const FAILURES_COALESCE_TIME: Duration = Duration::from_millis(50);

/// The least time between two saves because of failures.
const FAILURES_SAVE_PAUSE: Duration = Duration::from_millis(300);

/// Saves the output of runs in progress at intervals, and failures of items at once, for a later
/// owner.
///
/// The write expects the batch's record as this node knows it. An owner may have been replaced, or
/// its batch ended, without being notified: datagrams get lost, or it has no processor time to read
/// them. It would then send items to targets long after the end was confirmed, until it writes its
/// next result. The conflict on this write stops it within about [`SAVE_INTERVAL`].
///
/// Output that does not fit into one value of the store is not saved.
pub(super) async fn save_unlisted_work<P: Platform>(
    node: Rc<Node<P>>,
    local: Rc<RefCell<LocalBatch>>,
) {
    // The size of the output at the last save: output of the same size is taken as unchanged.
    let mut saved_bytes = 0;
    let mut saved_failures = Vec::new();
    let failure_noted = Rc::clone(&local.borrow().failure_noted.to_save);
    loop {
        if timeout(SAVE_INTERVAL, failure_noted.notified()).await.is_ok() {
            sleep(FAILURES_COALESCE_TIME).await;
        }
        let (id, work) = {
            let local = local.borrow();
            if !local.is_open() {
                return;
            }
            (local.id.clone(), local.unlisted_work(SAVE_MIN_RUN_AGE_MS))
        };
        let size_bytes: usize = work.outputs.iter().map(|(_, progress)| progress.text.len()).sum();
        let has_new_failures = work.failures != saved_failures;
        if size_bytes == saved_bytes && !has_new_failures {
            continue;
        }
        saved_bytes = size_bytes;
        let expected = {
            let revision = local.borrow().record_revision;
            vec![Expectation { key: record_key(&id), revision }]
        };
        let Ok(value) = encode(&work) else { return };
        if value.len() > part_max_bytes(&node) {
            continue;
        }
        let puts = vec![Put { key: work_key(&id), lease: None, value }];
        let call = StoreCall::Transaction { deletes: Vec::new(), expected, puts };
        match node.store(&call).await {
            Ok(StoreAnswer::Conflict { items }) => resolve_conflict(&node, &local, &items),
            Ok(_) => saved_failures = work.failures,
            Err(refusal) => {
                node.note("texts_unsaved", json!({ "request": id, "why": refusal.message }));
            }
        }
        if has_new_failures {
            sleep(FAILURES_SAVE_PAUSE).await;
        }
    }
}

/// Writes the results of a batch as they finish, until it is settled or has another owner.
pub(super) async fn write_results<P: Platform>(node: Rc<Node<P>>, local: Rc<RefCell<LocalBatch>>) {
    let results_pending = Rc::clone(&local.borrow().results_pending);
    loop {
        if !local.borrow().owned {
            return;
        }
        let now = clock::now();
        let nothing_to_write =
            local.borrow_mut().batch.chunk_to_write(now, part_max_bytes(&node)).is_none();
        if nothing_to_write {
            if local.borrow().batch.is_settled() {
                local.borrow_mut().settled_at.get_or_insert_with(clock::now);
                return;
            }
            let listing_at = local.borrow().batch.next_listing_at();
            if let Some(listing_at) = listing_at {
                let left = Duration::from_millis(listing_at.since_ms(now));
                if timeout(left, results_pending.notified()).await.is_err() {
                    continue;
                }
            } else {
                results_pending.notified().await;
            }
            coalesce(&local, &results_pending).await;
            continue;
        }
        if write_chunk(&node, &local).await {
            coalesce(&local, &results_pending).await;
        } else {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Waits up to [`COALESCE_MS`] for more results to write with the first; returns at once if the
/// results at hand complete the batch or no item is left to run.
async fn coalesce(local: &RefCell<LocalBatch>, results_pending: &Notify) {
    let until = clock::now().plus(COALESCE_MS);
    loop {
        let left_ms = until.since_ms(clock::now());
        let (waiting, running, _) = local.borrow().batch.counts();
        if left_ms == 0 || local.borrow().batch.is_complete() || waiting + running == 0 {
            return;
        }
        // After a time-out too, the batch is checked again.
        drop(timeout(Duration::from_millis(left_ms), results_pending.notified()).await);
    }
}

/// Writes the next chunk of results; returns false if the write has to be repeated.
pub(super) async fn write_chunk<P: Platform>(
    node: &Rc<Node<P>>,
    local: &Rc<RefCell<LocalBatch>>,
) -> bool {
    let (id, chunk, call) = {
        let mut local = local.borrow_mut();
        let revision = local.record_revision;
        let id = local.id.clone();
        let now = clock::now();
        let Some(chunk) = local.batch.chunk_to_write(now, part_max_bytes(node)).cloned() else {
            return true;
        };
        let Ok(value) = encode(&chunk) else { return false };
        let key = chunk_key(&id, chunk.number);
        let expected = vec![
            Expectation { key: key.clone(), revision: 0 },
            Expectation { key: record_key(&id), revision },
        ];
        let puts = vec![Put { key, lease: None, value }];
        (id, chunk, StoreCall::Transaction { deletes: Vec::new(), expected, puts })
    };
    match node.store(&call).await {
        Ok(StoreAnswer::Committed { revision }) => {
            apply_listed_chunk(node, local, &chunk, revision);
            true
        }
        Ok(StoreAnswer::Conflict { items }) => {
            resolve_conflict(node, local, &items);
            true
        }
        Ok(other) => {
            node.note(
                "results_unwritten",
                json!({ "request": id, "why": unexpected_answer(&other).message }),
            );
            false
        }
        Err(refusal) => {
            node.note("results_unwritten", json!({ "request": id, "why": refusal.message }));
            false
        }
    }
}

pub(super) fn apply_listed_chunk<P: Platform>(
    node: &Node<P>,
    local: &RefCell<LocalBatch>,
    chunk: &Chunk,
    revision: u64,
) {
    let mut local = local.borrow_mut();
    let merge = local.batch.merge(chunk);
    node.note(
        "results_listed",
        json!({
            "request": local.id, "chunk": chunk.number, "results": chunk.results.len(),
            "listed": local.batch.listed_count(), "revision": revision,
            "ours": merge == Merge::Ours,
            "ms": clock::now().since_ms(local.accepted_at),
        }),
    );
    local.changed.notify_waiters();
}

/// Applies the stored chunk or record that conflicted with a write: another node has written the
/// chunk or changed the record.
pub(super) fn resolve_conflict<P: Platform>(
    node: &Node<P>,
    local: &RefCell<LocalBatch>,
    items: &[StoredItem],
) {
    for item in items {
        // The key does not exist.
        if item.revision == 0 {
            continue;
        }
        if item.key.starts_with(RECORD_PREFIX) {
            match postcard::from_bytes::<Record>(&item.value) {
                Ok(record) => apply_record(node, local, record, item.revision),
                Err(error) => report_unreadable(node, item, &error),
            }
        } else {
            match postcard::from_bytes::<Chunk>(&item.value) {
                Ok(chunk) => apply_listed_chunk(node, local, &chunk, item.revision),
                Err(error) => report_unreadable(node, item, &error),
            }
        }
    }
}
