//! How an owner learns that it is one no more, or that its batch is ended.

use super::keys::{Record, read_record};
use super::write::RETRY;
use super::{LeftText, LocalBatch};
use crate::clock;
use crate::node::Node;
use crate::peers::{self, Owner};
use crate::platform::Platform;
use catkinmast_dispatch::group_of;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::sleep;

/// Keeps what an ended batch leaves of its items: a later one may ask for the same ones.
pub(super) fn keep_leftovers<P: Platform>(node: &Node<P>, held: &mut LocalBatch) {
    let now = clock::now();
    let mut leftovers = node.batches.leftovers.borrow_mut();
    let untaken = held.batch.unconsumed_groups();
    for group in &untaken {
        leftovers.groups.insert((*group).to_owned(), now);
    }
    let is_untaken =
        |id: &str| held.batch.item(id).is_some_and(|item| untaken.contains(group_of(item)));
    node.batches
        .second_runs
        .stop_where(|second| second.batch == held.id && !is_untaken(&second.item));
    for (id, progress) in held.batch.take_progress() {
        let workspace = held.record.origin.workspace.clone();
        leftovers.texts.insert(id, LeftText { progress, since: now, workspace });
    }
}

/// Takes a batch's record as it stands in the store.
pub(super) fn take_record<P: Platform>(
    node: &Node<P>,
    held: &RefCell<LocalBatch>,
    record: Record,
    revision: u64,
) {
    let me = peers::me(node);
    let mut held = held.borrow_mut();
    held.record_revision = revision;
    if record.ended && !held.batch.is_ended() {
        stop(node, &mut held);
    }
    if me.as_ref() != Some(&record.owner) {
        held.owned = false;
        held.stop_runs();
        let id = held.id.clone();
        node.batches.owned.borrow_mut().swap_remove(&id);
        node.batches.note_owner(&id, record.owner.clone());
        node.note(
            "batch_lost",
            json!({ "request": id, "owner": record.owner.node, "record_revision": revision }),
        );
    }
    held.record = record;
}

/// Takes the word that a batch has another owner: asks the store whether it is so.
pub(crate) fn on_owner_reported<P: Platform>(node: &Rc<Node<P>>, batch: &str, owner: Owner) {
    match node.batches.get(batch) {
        Some(held) => verify_ownership(node, &held),
        None => node.batches.note_owner(batch, owner),
    }
}

/// Takes the word that a batch is ended, which is only given once that is durable.
pub(crate) fn on_batch_ended<P: Platform>(node: &Rc<Node<P>>, batch: &str) {
    node.batches.note_ended(batch);
    node.batches.standby.forget(batch);
    let Some(held) = node.batches.get(batch) else { return };
    if held.borrow().batch.is_ended() {
        return;
    }
    stop(node, &mut held.borrow_mut());
    node.note("batch_ended_elsewhere", json!({ "request": batch }));
    verify_ownership(node, &held);
}

/// Stops a batch: nothing of it runs any more, and what it has of its texts is kept.
pub(super) fn stop<P: Platform>(node: &Node<P>, held: &mut LocalBatch) {
    held.batch.end();
    held.stop_runs();
    keep_leftovers(node, held);
    held.finished.notify_one();
    held.changed.notify_waiters();
}

/// Asks the store whether this node still owns its batches, after a sign that others may have
/// taken it for dead.
pub(crate) fn verify_ownership_of_all<P: Platform>(node: &Rc<Node<P>>) {
    let all: Vec<Rc<RefCell<LocalBatch>>> = node.batches.owned.borrow().values().cloned().collect();
    node.note("ownership_doubted", json!({ "batches": all.len() }));
    for held in all {
        verify_ownership(node, &held);
    }
}

pub(super) fn verify_ownership<P: Platform>(node: &Rc<Node<P>>, held: &Rc<RefCell<LocalBatch>>) {
    if std::mem::replace(&mut held.borrow_mut().unverified, true) {
        return;
    }
    let (node, held) = (Rc::clone(node), Rc::clone(held));
    tokio::task::spawn_local(async move {
        loop {
            let id = held.borrow().id.clone();
            match read_record(&node, &id).await {
                Ok(Some((record, revision))) => {
                    take_record(&node, &held, record, revision);
                    held.borrow_mut().unverified = false;
                    return;
                }
                Ok(None) => return,
                Err(_) => sleep(RETRY).await,
            }
        }
    });
}
