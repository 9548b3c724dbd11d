//! Writing results and begun texts to the store.

use super::LocalBatch;
use super::keys::{
    RECORD_PREFIX, Record, chunk_key, encode, outputs_key, part_max_bytes, record_key,
    report_unreadable, unexpected_answer,
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

/// Results that come within this time are written with one call. Readers ask twice a second; one that
/// is given a part of what ends a step misses the rest for half a second.
pub(super) const COALESCE_MS: u64 = 200;

/// Pause before a write is tried again.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// How often the texts of runs in progress are saved. A long item takes seven seconds, and a step
/// whose owner dies waits for it again from the start: with texts saved the fleet's restart costs
/// a step about this time instead. A call for it costs a thousandth of what the step is worth.
pub(super) const SAVE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Only texts of runs this old are saved; shorter ones are run again as quickly.
pub(super) const SAVE_MIN_RUN_AGE_MS: u64 = 1_000;

/// Saves the texts of runs in progress from time to time, for an owner that follows.
///
/// The write expects the batch's record as this node knows it. An owner may have been replaced, or
/// its batch ended, without a word reaching it: its datagrams are lost or it has no processor time
/// to read them. Items would then reach targets long after the end was confirmed, until the next
/// result is written. So it learns of it here, [`SAVE_INTERVAL`] after the change at the latest.
pub(super) async fn save_partial_outputs<P: Platform>(
    node: Rc<Node<P>>,
    local: Rc<RefCell<LocalBatch>>,
) {
    let mut saved = 0;
    loop {
        sleep(SAVE_INTERVAL).await;
        let (id, texts) = {
            let local = local.borrow();
            if !local.is_running() {
                return;
            }
            (local.id.clone(), local.partial_outputs(SAVE_MIN_RUN_AGE_MS))
        };
        let size_bytes: usize = texts.iter().map(|(_, progress)| progress.text.len()).sum();
        if size_bytes == saved {
            continue;
        }
        saved = size_bytes;
        let expected = {
            let revision = local.borrow().record_revision;
            vec![Expectation { key: record_key(&id), revision }]
        };
        let Ok(value) = encode(&texts) else { return };
        if value.len() > part_max_bytes(&node) {
            continue;
        }
        let puts = vec![Put { key: outputs_key(&id), lease: None, value }];
        let call = StoreCall::Transaction { deletes: Vec::new(), expected, puts };
        match node.store(&call).await {
            Ok(StoreAnswer::Conflict { items }) => resolve_conflict(&node, &local, &items),
            Ok(_) => {}
            Err(refusal) => {
                node.note("texts_unsaved", json!({ "request": id, "why": refusal.message }));
            }
        }
    }
}

/// Writes the results of a batch as they come, until it is settled or another owns it.
pub(super) async fn write_results<P: Platform>(node: Rc<Node<P>>, local: Rc<RefCell<LocalBatch>>) {
    let finished = Rc::clone(&local.borrow().finished);
    loop {
        if !local.borrow().owned {
            return;
        }
        let now = clock::now();
        let waits = local.borrow_mut().batch.chunk_to_write(now, part_max_bytes(&node)).is_none();
        if waits {
            if local.borrow().batch.is_settled() {
                local.borrow_mut().settled_at.get_or_insert_with(clock::now);
                return;
            }
            let list_by = local.borrow().batch.next_listing_at();
            if let Some(list_by) = list_by {
                let left = Duration::from_millis(list_by.since_ms(now));
                if timeout(left, finished.notified()).await.is_err() {
                    continue;
                }
            } else {
                finished.notified().await;
            }
            coalesce(&local, &finished).await;
            continue;
        }
        if write_chunk(&node, &local).await {
            coalesce(&local, &finished).await;
        } else {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Waits for more results to write with the first, unless the trainer waits for just what is there.
async fn coalesce(local: &RefCell<LocalBatch>, finished: &Notify) {
    let until = clock::now().plus(COALESCE_MS);
    loop {
        let left_ms = until.since_ms(clock::now());
        let (waiting, running, _) = local.borrow().batch.counts();
        if left_ms == 0 || local.borrow().batch.is_complete() || waiting + running == 0 {
            return;
        }
        // Whatever came, the batch is looked at again.
        drop(timeout(Duration::from_millis(left_ms), finished.notified()).await);
    }
}

/// Writes the next chunk; returns false when it must be tried again.
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

/// Another has written the chunk or changed the record: takes what is there.
pub(super) fn resolve_conflict<P: Platform>(
    node: &Node<P>,
    local: &RefCell<LocalBatch>,
    items: &[StoredItem],
) {
    for item in items {
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
