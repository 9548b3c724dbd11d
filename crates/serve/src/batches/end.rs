//! Ending a batch, and forgetting it when nobody reads it any more.

use super::LocalBatch;
use super::accept::ACCEPT_TRIES;
use super::keys::{
    Record, RecordWrite, Scope, TRANSACTION_MAX_KEYS, chunk_key, encode, part_key, part_max_bytes,
    record_key, texts_key, write_record,
};
use super::ownership::{stop, take_record};
use super::read::{Asked, Lookup, ask_owner};
use super::standby::tell_standby;
use super::write::RETRY;
use crate::clock;
use crate::metrics::count;
use crate::node::Node;
use crate::peers::{self, Datagram, PeerAnswer, PeerCall};
use crate::platform::Platform;
use crate::store::StoreCall;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long after it was told first an end is told again.
pub(super) const TELL_AGAIN: Duration = Duration::from_millis(600);

/// How long a settled batch is kept for readers.
pub(super) const KEPT_MS: u64 = 180_000;

/// Ends a batch that this node owns: at once here, then in the store, then confirmed.
pub(crate) async fn end_owned<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    scope: &Scope,
) -> PeerAnswer {
    let Some(held) = node.batches.get(batch) else { return PeerAnswer::NotOwner };
    if !scope.covers(held.borrow().origin()) {
        return PeerAnswer::NoBatch;
    }
    {
        let mut held = held.borrow_mut();
        if !held.batch.is_ended() {
            stop(node, &mut held);
            let (waiting, running, finished) = held.batch.counts();
            node.note(
                "batch_ended",
                json!({
                    "request": batch, "listed": held.batch.listed_count(), "waiting": waiting,
                    "running": running, "finished": finished,
                    "ms": clock::now().since_ms(held.accepted_at),
                }),
            );
        }
        if held.record.ended {
            return PeerAnswer::Ended;
        }
    }
    for _ in 0..ACCEPT_TRIES {
        let (record, revision) = {
            let held = held.borrow();
            (Record { ended: true, ..held.record.clone() }, held.record_revision)
        };
        match write_record(node, batch, &record, revision).await {
            Ok(RecordWrite::Done(revision)) => {
                take_record(node, &held, record, revision);
                if held.borrow().taken_over {
                    tell_ended(node, batch);
                } else {
                    tell_standby(node, batch);
                }
                return PeerAnswer::Ended;
            }
            Ok(RecordWrite::Changed(found, revision)) => {
                let ended = found.ended;
                take_record(node, &held, found, revision);
                if ended {
                    return PeerAnswer::Ended;
                }
                if !held.borrow().owned {
                    return PeerAnswer::NotOwner;
                }
            }
            Err(refusal) => {
                node.note("end_unwritten", json!({ "request": batch, "why": refusal.message }));
                sleep(RETRY).await;
            }
        }
    }
    PeerAnswer::Unavailable
}

/// Ends any batch.
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
        Asked::Answer(PeerAnswer::Ended) => return Lookup::Found(()),
        Asked::Answer(PeerAnswer::NoBatch) | Asked::Missing => return Lookup::Missing,
        Asked::Answer(_) => return Lookup::Unavailable("the owner could not write it".to_owned()),
        Asked::Record(record, _) if !scope.covers(&record.origin) => return Lookup::Missing,
        Asked::Record(record, revision) => (record, revision),
        Asked::Unavailable(why) => return Lookup::Unavailable(why),
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
            tell_ended(node, batch);
            Lookup::Found(())
        }
        Ok(RecordWrite::Changed(found, _)) if found.ended => Lookup::Found(()),
        Ok(RecordWrite::Changed(..)) => Lookup::Unavailable("the owner is changing".to_owned()),
        Err(refusal) => Lookup::Unavailable(refusal.message),
    }
}

/// Tells all nodes that a batch is ended: one that owned it may live, cut off from the store or
/// from us alone, and would run items on that nobody wants. Datagrams are lost at times.
pub(super) fn tell_ended<P: Platform>(node: &Rc<Node<P>>, batch: &str) {
    const TIMES: u32 = 3;
    let datagram = Datagram::BatchEnded { batch: batch.to_owned() };
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        for _ in 0..TIMES {
            peers::broadcast(&node, &datagram);
            sleep(TELL_AGAIN).await;
        }
    });
}

/// Gives up items whose time is over, and forgets batches that nobody reads any more.
pub(super) async fn forget_old<P: Platform>(node: &Rc<Node<P>>) {
    let now = clock::now();
    let all: Vec<Rc<RefCell<LocalBatch>>> = node.batches.owned.borrow().values().cloned().collect();
    for held in all {
        let old = held.borrow().settled_at.is_some_and(|at| now.since_ms(at) > KEPT_MS);
        if old {
            forget(node, &held).await;
        }
    }
}

pub(super) async fn forget<P: Platform>(node: &Rc<Node<P>>, held: &Rc<RefCell<LocalBatch>>) {
    let (id, chunks) = (held.borrow().id.clone(), held.borrow().batch.next_chunk());
    let parts = encode(held.borrow().batch.submission())
        .map_or(1, |body| body.len().div_ceil(part_max_bytes(node)));
    let keys = (0..parts).map(|number| part_key(&id, number)).chain([texts_key(&id)]);
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
        held.borrow_mut().owned = false;
        node.batches.owned.borrow_mut().swap_remove(&id);
        node.batches.owners.borrow_mut().swap_remove(&id);
        count(&node.metrics.item_runs, "batch_forgotten");
    }
}
