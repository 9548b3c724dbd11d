//! How an owner learns that it was replaced, or that its batch is ended.

use super::keys::{Record, read_record};
use super::write::RETRY_PAUSE;
use super::{LocalBatch, ReusableOutput};
use crate::clock;
use crate::node::Node;
use crate::peers::{self, Owner};
use crate::platform::Platform;
use catkinmast_dispatch::group_of;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::sleep;

/// Retains the output of an ended batch for a later batch that contains the same items, and stops
/// second runs of items whose groups the trainer consumed.
pub(super) fn retain_reusable_outputs<P: Platform>(node: &Node<P>, local: &mut LocalBatch) {
    let now = clock::now();
    let mut reusable_outputs = node.batches.reusable_outputs.borrow_mut();
    let unconsumed = local.batch.unconsumed_groups();
    for group in &unconsumed {
        reusable_outputs.unconsumed_groups.insert((*group).to_owned(), now);
    }
    let is_unconsumed =
        |id: &str| local.batch.item(id).is_some_and(|item| unconsumed.contains(group_of(item)));
    node.batches
        .second_runs
        .stop_where(|second| second.batch == local.id && !is_unconsumed(&second.item));
    for (id, progress) in local.batch.take_progress() {
        let workspace = local.record.origin.workspace.clone();
        reusable_outputs.by_item.insert(id, ReusableOutput { progress, ended_at: now, workspace });
    }
}

/// Applies a batch's record as found in the store: stops the batch if it is ended, and gives it up
/// if it has another owner.
pub(super) fn apply_record<P: Platform>(
    node: &Node<P>,
    local: &RefCell<LocalBatch>,
    record: Record,
    revision: u64,
) {
    let me = peers::me(node);
    let mut local = local.borrow_mut();
    local.record_revision = revision;
    if record.ended && !local.batch.is_ended() {
        stop_batch(node, &mut local);
    }
    if me.as_ref() != Some(&record.owner) {
        local.owned = false;
        local.stop_runs();
        let id = local.id.clone();
        node.batches.local.remove_owned(&id);
        node.batches.note_owner(&id, record.owner.clone());
        node.note(
            "batch_lost",
            json!({ "request": id, "owner": record.owner.node, "record_revision": revision }),
        );
    }
    local.record = record;
}

/// Handles a report that a batch has another owner; verifies it with the store if this node owns
/// the batch.
pub(crate) fn on_owner_reported<P: Platform>(node: &Rc<Node<P>>, batch: &str, owner: Owner) {
    match node.batches.get(batch) {
        Some(local) => verify_ownership(node, &local),
        None => node.batches.note_owner(batch, owner),
    }
}

/// Handles a report that a batch is ended; such reports are sent only after the end is stored.
pub(crate) fn on_batch_ended<P: Platform>(node: &Rc<Node<P>>, batch: &str) {
    node.batches.note_ended(batch);
    node.batches.discard_standby(batch);
    let Some(local) = node.batches.get(batch) else { return };
    if local.borrow().batch.is_ended() {
        return;
    }
    stop_batch(node, &mut local.borrow_mut());
    node.note("batch_ended_elsewhere", json!({ "request": batch }));
    verify_ownership(node, &local);
}

/// Ends a batch locally: stops its runs and retains their output.
pub(super) fn stop_batch<P: Platform>(node: &Node<P>, local: &mut LocalBatch) {
    local.batch.end();
    local.stop_runs();
    retain_reusable_outputs(node, local);
    local.results_pending.notify_one();
    local.changed.notify_waiters();
}

/// Verifies with the store that this node still owns its batches, after a sign that others may have
/// considered it dead.
pub(crate) fn verify_ownership_of_all<P: Platform>(node: &Rc<Node<P>>) {
    let all = node.batches.local.all_owned();
    node.note("ownership_doubted", json!({ "batches": all.len() }));
    for local in all {
        verify_ownership(node, &local);
    }
}

/// Verifies with the store, in a task, that this node still owns a batch; repeats until the store
/// answers. Until then no reads are answered from memory.
pub(super) fn verify_ownership<P: Platform>(node: &Rc<Node<P>>, local: &Rc<RefCell<LocalBatch>>) {
    if std::mem::replace(&mut local.borrow_mut().unverified, true) {
        return;
    }
    let (node, local) = (Rc::clone(node), Rc::clone(local));
    tokio::task::spawn_local(async move {
        loop {
            let id = local.borrow().id.clone();
            match read_record(&node, &id).await {
                Ok(Some((record, revision))) => {
                    apply_record(&node, &local, record, revision);
                    local.borrow_mut().unverified = false;
                    return;
                }
                // The batch was deleted: reads go on to the store, which does not have it.
                Ok(None) => return,
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    });
}
