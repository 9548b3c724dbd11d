//! Ending a batch, and deleting it from the store once its retention is over.

use super::LocalBatch;
use super::accept::STORE_ATTEMPTS;
use super::keys::{
    Record, RecordWrite, Scope, TRANSACTION_MAX_KEYS, chunk_key, encode, part_key, part_max_bytes,
    record_key, work_key, write_record,
};
use super::ownership::{apply_record, stop_batch};
use super::read::{Lookup, OwnerReply, ask_owner};
use super::standby::notify_standby;
use super::write::RETRY_PAUSE;
use crate::clock;
use crate::metrics::count;
use crate::node::Node;
use crate::peers::{self, Datagram, PeerAnswer, PeerCall};
use crate::platform::Platform;
use crate::store::{StoreCall, StoreRefusal};
use catkinmast_model::Verdict;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two broadcasts of the same end.
pub(super) const END_NOTICE_INTERVAL: Duration = Duration::from_millis(600);

/// Pause before the write of an end that the store did not answer is repeated.
const END_REPEAT_PAUSE: Duration = Duration::from_millis(500);

/// How long a batch stays readable in the store after it was settled.
pub(super) const SETTLED_RETENTION_MS: u64 = 180_000;

/// Ends a batch that this node owns: stops its runs, then writes the end to the store, and only
/// then confirms it.
pub(crate) async fn end_owned<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    scope: &Scope,
) -> PeerAnswer {
    let Some(local) = node.batches.get(batch) else { return PeerAnswer::NotOwner };
    if !scope.covers(local.borrow().origin()) {
        return PeerAnswer::NoBatch;
    }
    {
        let mut local = local.borrow_mut();
        if !local.batch.is_ended() {
            stop_batch(node, &mut local);
            let (waiting, running, finished) = local.batch.counts();
            node.note(
                "batch_ended",
                json!({
                    "request": batch, "listed": local.batch.listed_count(), "waiting": waiting,
                    "running": running, "finished": finished,
                    "ms": clock::now().since_ms(local.accepted_at),
                }),
            );
        }
        if local.record.ended {
            return PeerAnswer::Ended;
        }
    }
    for _ in 0..STORE_ATTEMPTS {
        match write_end(node, &local).await {
            Ok(answer) => return answer,
            Err(refusal) => {
                node.note("end_unwritten", json!({ "request": batch, "why": refusal.message }));
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    repeat_end(node, local);
    PeerAnswer::Unavailable
}

/// Writes the end of a batch that this node owns to the store once.
async fn write_end<P: Platform>(
    node: &Rc<Node<P>>,
    local: &RefCell<LocalBatch>,
) -> Result<PeerAnswer, StoreRefusal> {
    loop {
        let (id, record, revision) = {
            let local = local.borrow();
            let record = Record { ended: true, ..local.record.clone() };
            (local.id.clone(), record, local.record_revision)
        };
        match write_record(node, &id, &record, revision).await? {
            RecordWrite::Done(revision) => {
                apply_record(node, local, record, revision);
                if local.borrow().taken_over {
                    broadcast_ended(node, &id);
                } else {
                    notify_standby(node, &id);
                }
                return Ok(PeerAnswer::Ended);
            }
            RecordWrite::Changed(found, revision) => {
                let ended = found.ended;
                apply_record(node, local, found, revision);
                if ended {
                    return Ok(PeerAnswer::Ended);
                }
                if !local.borrow().owned {
                    return Ok(PeerAnswer::NotOwner);
                }
            }
        }
    }
}

/// Repeats the write of an end until the store answers. The batch is stopped here, and without the
/// end in the store its next owner would run it again.
fn repeat_end<P: Platform>(node: &Rc<Node<P>>, local: Rc<RefCell<LocalBatch>>) {
    let id = local.borrow().id.clone();
    if !node.batches.repeated_ends.borrow_mut().insert(id.clone()) {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        loop {
            sleep(END_REPEAT_PAUSE).await;
            let is_settled = local.borrow().record.ended || !local.borrow().owned;
            if is_settled {
                break;
            }
            match write_end(&node, &local).await {
                // The store has no such record any more, or one that cannot be read.
                Err(refusal) if refusal.verdict == Verdict::Ran => break,
                Err(_) => {}
                Ok(_) => break,
            }
        }
        node.batches.repeated_ends.borrow_mut().swap_remove(&id);
    });
}

/// Writes the ends that the store has not confirmed yet, once each; for a planned stop.
pub(super) async fn write_pending_ends<P: Platform>(node: &Rc<Node<P>>) {
    let all = node.batches.local.all_owned();
    for local in all {
        let is_pending = {
            let local = local.borrow();
            local.owned && local.batch.is_ended() && !local.record.ended
        };
        if is_pending && let Err(refusal) = write_end(node, &local).await {
            let line = json!({ "request": local.borrow().id, "why": refusal.message });
            node.note("end_unwritten", line);
        }
    }
}

/// Ends a batch, whichever node owns it; writes the end itself where the owner cannot be reached.
pub(crate) async fn end<P: Platform>(node: &Rc<Node<P>>, batch: &str, scope: &Scope) -> Lookup<()> {
    match end_owned(node, batch, scope).await {
        PeerAnswer::Ended => return Lookup::Found(()),
        PeerAnswer::NoBatch => return Lookup::Missing,
        PeerAnswer::Unavailable => {
            return Lookup::Unavailable("the store did not take it".to_owned());
        }
        _ => {}
    }
    let call = PeerCall::End { batch: batch.to_owned(), scope: scope.clone() };
    let (record, revision) = match ask_owner(node, batch, &call, 0).await {
        OwnerReply::Answer(PeerAnswer::Ended) => return Lookup::Found(()),
        OwnerReply::Answer(PeerAnswer::NoBatch) | OwnerReply::Missing => return Lookup::Missing,
        OwnerReply::Answer(_) => {
            return Lookup::Unavailable("the owner could not write it".to_owned());
        }
        OwnerReply::Record { record, .. } if !scope.covers(&record.origin) => {
            return Lookup::Missing;
        }
        OwnerReply::Record { record, revision, .. } => (record, revision),
        OwnerReply::Unavailable(why) => return Lookup::Unavailable(why),
    };
    if record.ended {
        return Lookup::Found(());
    }
    let ended = Record { ended: true, ..record };
    match write_record(node, batch, &ended, revision).await {
        Ok(RecordWrite::Done(_)) => {
            node.note(
                "batch_ended_for_owner",
                json!({ "request": batch, "owner": ended.owner.node }),
            );
            broadcast_ended(node, batch);
            Lookup::Found(())
        }
        Ok(RecordWrite::Changed(found, _)) if found.ended => Lookup::Found(()),
        Ok(RecordWrite::Changed(..)) => Lookup::Unavailable("the owner is changing".to_owned()),
        Err(refusal) => Lookup::Unavailable(refusal.message),
    }
}

/// Notifies all nodes that a batch is ended. A former owner may be alive but cut off from the store
/// or from this node, and would go on running items that are no longer wanted. Sent several times,
/// because datagrams get lost.
pub(super) fn broadcast_ended<P: Platform>(node: &Rc<Node<P>>, batch: &str) {
    const TIMES: u32 = 3;
    let datagram = Datagram::BatchEnded { batch: batch.to_owned() };
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        for _ in 0..TIMES {
            peers::broadcast(&node, &datagram);
            sleep(END_NOTICE_INTERVAL).await;
        }
    });
}

/// Deletes owned batches that were settled longer ago than [`SETTLED_RETENTION_MS`].
pub(super) async fn delete_expired<P: Platform>(node: &Rc<Node<P>>) {
    let now = clock::now();
    let all = node.batches.local.all_owned();
    for local in all {
        let old =
            local.borrow().settled_at.is_some_and(|at| now.since_ms(at) > SETTLED_RETENTION_MS);
        if old {
            delete_batch(node, &local).await;
        }
    }
}

/// Deletes a batch from the store: its record last, so that a deletion that fails halfway is
/// repeated.
pub(super) async fn delete_batch<P: Platform>(node: &Rc<Node<P>>, local: &Rc<RefCell<LocalBatch>>) {
    let (id, chunks) = (local.borrow().id.clone(), local.borrow().batch.next_chunk());
    let parts = encode(local.borrow().batch.submission())
        .map_or(1, |body| body.len().div_ceil(part_max_bytes(node)));
    let keys = (0..parts).map(|number| part_key(&id, number)).chain([work_key(&id)]);
    let keys: Vec<String> = keys.chain((0..chunks).map(|number| chunk_key(&id, number))).collect();
    for deletes in keys.chunks(TRANSACTION_MAX_KEYS) {
        let deletes = deletes.to_vec();
        let call = StoreCall::Transaction { deletes, expected: Vec::new(), puts: Vec::new() };
        if node.store(&call).await.is_err() {
            return;
        }
    }
    let deletes = vec![record_key(&id)];
    let call = StoreCall::Transaction { deletes, expected: Vec::new(), puts: Vec::new() };
    if node.store(&call).await.is_ok() {
        local.borrow_mut().owned = false;
        node.batches.local.remove_owned(&id);
        node.batches.owners.borrow_mut().swap_remove(&id);
        count(&node.metrics.item_runs, "batch_forgotten");
    }
}
