//! Writing results and begun texts to the store.

use super::LocalBatch;
use super::keys::{
    RECORDS, Record, chunk_key, encode, part_max_bytes, record_key, texts_key, unexpected,
    unreadable,
};
use super::ownership::take_record;
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
pub(super) const GATHER_MS: u64 = 200;

/// Pause before a write is tried again.
pub(super) const RETRY: Duration = Duration::from_millis(150);

/// How often the texts of runs in progress are saved. A long item takes seven seconds, and a step
/// whose owner dies waits for it again from the start: with texts saved the fleet's restart costs
/// a step about this time instead. A call for it costs a thousandth of what the step is worth.
pub(super) const SAVE_EVERY: Duration = Duration::from_millis(1_200);

/// Only texts of runs this old are saved; shorter ones are run again as quickly.
pub(super) const SAVE_AFTER_MS: u64 = 1_000;

/// Saves the texts of runs in progress from time to time, for an owner that follows.
///
/// The write expects the batch's record as this node knows it. An owner may have been replaced, or
/// its batch ended, without a word reaching it: its datagrams are lost or it has no processor time
/// to read them. Items would then reach targets long after the end was confirmed, until the next
/// result is written. So it learns of it here, [`SAVE_EVERY`] after the change at the latest.
pub(super) async fn save_texts<P: Platform>(node: Rc<Node<P>>, held: Rc<RefCell<LocalBatch>>) {
    let mut saved = 0;
    loop {
        sleep(SAVE_EVERY).await;
        let (id, texts) = {
            let held = held.borrow();
            if !held.is_running() {
                return;
            }
            (held.id.clone(), held.texts(SAVE_AFTER_MS))
        };
        let size_bytes: usize = texts.iter().map(|(_, progress)| progress.text.len()).sum();
        if size_bytes == saved {
            continue;
        }
        saved = size_bytes;
        let expected = {
            let revision = held.borrow().record_revision;
            vec![Expectation { key: record_key(&id), revision }]
        };
        let Ok(value) = encode(&texts) else { return };
        if value.len() > part_max_bytes(&node) {
            continue;
        }
        let puts = vec![Put { key: texts_key(&id), lease: None, value }];
        let call = StoreCall::Transaction { deletes: Vec::new(), expected, puts };
        match node.store(&call).await {
            Ok(StoreAnswer::Conflict { items }) => resolve_conflict(&node, &held, &items),
            Ok(_) => {}
            Err(refusal) => {
                node.note("texts_unsaved", json!({ "request": id, "why": refusal.message }));
            }
        }
    }
}

/// Writes the results of a batch as they come, until it is settled or another owns it.
pub(super) async fn write_results<P: Platform>(node: Rc<Node<P>>, held: Rc<RefCell<LocalBatch>>) {
    let finished = Rc::clone(&held.borrow().finished);
    loop {
        if !held.borrow().owned {
            return;
        }
        let now = clock::now();
        let waits = held.borrow_mut().batch.chunk_to_write(now, part_max_bytes(&node)).is_none();
        if waits {
            if held.borrow().batch.is_settled() {
                held.borrow_mut().settled_at.get_or_insert_with(clock::now);
                return;
            }
            let list_by = held.borrow().batch.next_listing_at();
            if let Some(list_by) = list_by {
                let left = Duration::from_millis(list_by.since_ms(now));
                if timeout(left, finished.notified()).await.is_err() {
                    continue;
                }
            } else {
                finished.notified().await;
            }
            gather(&held, &finished).await;
            continue;
        }
        if write_chunk(&node, &held).await {
            gather(&held, &finished).await;
        } else {
            sleep(RETRY).await;
        }
    }
}

/// Waits for more results to write with the first, unless the trainer waits for just what is there.
async fn gather(held: &RefCell<LocalBatch>, finished: &Notify) {
    let until = clock::now().plus(GATHER_MS);
    loop {
        let left_ms = until.since_ms(clock::now());
        let (waiting, running, _) = held.borrow().batch.counts();
        if left_ms == 0 || held.borrow().batch.is_complete() || waiting + running == 0 {
            return;
        }
        // Whatever came, the batch is looked at again.
        drop(timeout(Duration::from_millis(left_ms), finished.notified()).await);
    }
}

/// Writes the next chunk; returns false when it must be tried again.
pub(super) async fn write_chunk<P: Platform>(
    node: &Rc<Node<P>>,
    held: &Rc<RefCell<LocalBatch>>,
) -> bool {
    let (id, chunk, call) = {
        let mut held = held.borrow_mut();
        let revision = held.record_revision;
        let id = held.id.clone();
        let now = clock::now();
        let Some(chunk) = held.batch.chunk_to_write(now, part_max_bytes(node)).cloned() else {
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
            listed(node, held, &chunk, revision);
            true
        }
        Ok(StoreAnswer::Conflict { items }) => {
            resolve_conflict(node, held, &items);
            true
        }
        Ok(other) => {
            node.note(
                "results_unwritten",
                json!({ "request": id, "why": unexpected(&other).message }),
            );
            false
        }
        Err(refusal) => {
            node.note("results_unwritten", json!({ "request": id, "why": refusal.message }));
            false
        }
    }
}

pub(super) fn listed<P: Platform>(
    node: &Node<P>,
    held: &RefCell<LocalBatch>,
    chunk: &Chunk,
    revision: u64,
) {
    let mut held = held.borrow_mut();
    let merge = held.batch.merge(chunk);
    node.note(
        "results_listed",
        json!({
            "request": held.id, "chunk": chunk.number, "results": chunk.results.len(),
            "listed": held.batch.listed_count(), "revision": revision,
            "ours": merge == Merge::Ours,
            "ms": clock::now().since_ms(held.accepted_at),
        }),
    );
    held.changed.notify_waiters();
}

/// Another has written the chunk or changed the record: takes what is there.
pub(super) fn resolve_conflict<P: Platform>(
    node: &Node<P>,
    held: &RefCell<LocalBatch>,
    items: &[StoredItem],
) {
    for item in items {
        if item.revision == 0 {
            continue;
        }
        if item.key.starts_with(RECORDS) {
            match postcard::from_bytes::<Record>(&item.value) {
                Ok(record) => take_record(node, held, record, item.revision),
                Err(error) => unreadable(node, item, &error),
            }
        } else {
            match postcard::from_bytes::<Chunk>(&item.value) {
                Ok(chunk) => listed(node, held, &chunk, item.revision),
                Err(error) => unreadable(node, item, &error),
            }
        }
    }
}
