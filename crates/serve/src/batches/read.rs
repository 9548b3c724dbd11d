//! Reads of results and item bodies, of any batch at any node.

use super::accept::wake_owner;
use super::keys::{Record, Scope, chunk_prefix, decode_chunks, read_record, read_stored_batch};
use crate::clock;
use crate::feed;
use crate::node::Node;
use crate::peers::{self, Owner, OwnerStatus, PeerAnswer, PeerCall};
use crate::platform::Platform;
use crate::store::StoredItem;
use catkinmast_dispatch::ItemResult;
use indexmap::IndexSet;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Most bytes of results in one answer.
pub(super) const PAGE_MAX_BYTES: usize = 900_000;

/// How long a call to an owner may take beyond the wait that it asks for.
pub(super) const OWNER_CALL_SLACK: Duration = Duration::from_millis(700);

/// Longest wait of a caller's read for its first result. It lets a stopping node answer the last read
/// that it accepts within its grace time.
const READ_WAIT_MAX_MS: u64 = 3_000;

/// Reads results of a batch that this node owns; waits up to `wait_ms` for the first one.
pub(crate) async fn read_owned<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    scope: &Scope,
    after: usize,
    wait_ms: u64,
) -> PeerAnswer {
    let Some(local) = node.batches.get(batch) else { return PeerAnswer::NotOwner };
    if !scope.covers(local.borrow().origin()) {
        return PeerAnswer::NoBatch;
    }
    let until = clock::now().plus(wait_ms);
    loop {
        let changed = Rc::clone(&local.borrow().changed);
        let changed = changed.notified();
        {
            let local = local.borrow();
            if !local.owned || local.unverified {
                return PeerAnswer::NotOwner;
            }
            let page = local.batch.page(after, PAGE_MAX_BYTES);
            let total = local.batch.submission().items.len();
            let left_ms = until.since_ms(clock::now());
            let over = after >= total || local.batch.is_ended() || left_ms == 0;
            if !page.is_empty() || over {
                return PeerAnswer::Page { results: page.to_vec(), total };
            }
        }
        let left_ms = until.since_ms(clock::now());
        // After a time-out too, the page is checked once more.
        drop(timeout(Duration::from_millis(left_ms), changed).await);
    }
}

/// The answer to a call about a batch.
#[derive(Clone, Debug)]
pub(crate) enum Lookup<T> {
    /// The batch or item exists.
    Found(T),
    /// No such batch or item exists.
    Missing,
    /// The answer is not available now, for this reason; the call may be repeated.
    Unavailable(String),
}

/// Reads results of a batch: from its owner, or from the store where the owner cannot be reached.
/// Waits up to `wait_ms`, and at most [`READ_WAIT_MAX_MS`], for the first one. Returns the number of its items and a page of results.
pub(crate) async fn read<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    scope: &Scope,
    after: usize,
    wait_ms: u64,
) -> Lookup<(usize, Vec<ItemResult>)> {
    let wait_ms = wait_ms.min(READ_WAIT_MAX_MS);
    let until = clock::now().plus(wait_ms);
    match read_owned(node, batch, scope, after, wait_ms).await {
        PeerAnswer::Page { results, total } => return Lookup::Found((total, results)),
        PeerAnswer::NoBatch => return Lookup::Missing,
        _ => {}
    }
    let wait_ms = until.since_ms(clock::now());
    let call = PeerCall::Read { after, batch: batch.to_owned(), scope: scope.clone(), wait_ms };
    let asked = ask_owner(node, batch, &call, wait_ms).await;
    let record = match asked {
        OwnerReply::Answer(PeerAnswer::Page { results, total }) => {
            return Lookup::Found((total, results));
        }
        OwnerReply::Answer(PeerAnswer::NoBatch) | OwnerReply::Missing => return Lookup::Missing,
        OwnerReply::Answer(_) => return Lookup::Unavailable("the owner cannot tell".to_owned()),
        OwnerReply::Record { record, .. } if !scope.covers(&record.origin) => {
            return Lookup::Missing;
        }
        OwnerReply::Record { is_unowned, record, .. } => {
            if is_unowned {
                wake_owner(node, batch, &record.owner);
            }
            record
        }
        OwnerReply::Unavailable(why) => return Lookup::Unavailable(why),
    };
    match feed::read_all(node, &chunk_prefix(batch)).await {
        Ok((items, _)) => Lookup::Found((record.item_count, page_of_chunks(node, &items, after))),
        Err(refusal) => Lookup::Unavailable(refusal.message),
    }
}

/// Returns a page of the results in stored chunks, from position `after`; of several results of an
/// item only the first counts.
pub(super) fn page_of_chunks<P: Platform>(
    node: &Node<P>,
    items: &[StoredItem],
    after: usize,
) -> Vec<ItemResult> {
    let mut seen = IndexSet::new();
    let mut spent_bytes = 0;
    let results = decode_chunks(node, items).into_iter().flat_map(|chunk| chunk.results);
    results
        .filter(|result| seen.insert(result.id.clone()))
        .skip(after)
        .take_while(|result| {
            let first = spent_bytes == 0;
            spent_bytes += result.size_bytes();
            first || spent_bytes <= PAGE_MAX_BYTES
        })
        .collect()
}

/// The outcome of a call to a batch's owner.
pub(super) enum OwnerReply {
    Answer(PeerAnswer),
    /// The owner cannot be reached or is not the owner.
    Record {
        /// Whether the owner that the store names says that it is not the owner.
        is_unowned: bool,
        record: Record,
        /// The revision of the record.
        revision: u64,
    },
    Missing,
    Unavailable(String),
}

/// Calls the owner that was reported to this node, or else the one that the store names.
pub(super) async fn ask_owner<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    call: &PeerCall,
    wait_ms: u64,
) -> OwnerReply {
    let max = Duration::from_millis(wait_ms) + OWNER_CALL_SLACK;
    let known_owner = node.batches.owner_of(batch);
    let mut denied_by = None;
    if let Some(owner) = &known_owner {
        match call_owner(node, owner, call, max).await {
            OwnerCall::Answered(answer) => return OwnerReply::Answer(answer),
            OwnerCall::Denied => denied_by = Some(owner.clone()),
            OwnerCall::Unreached => {}
        }
    }
    let (record, revision) = match read_record(node, batch).await {
        Ok(Some(found)) => found,
        Ok(None) => return OwnerReply::Missing,
        Err(refusal) => return OwnerReply::Unavailable(refusal.message),
    };
    node.batches.note_owner(batch, record.owner.clone());
    if known_owner.as_ref() != Some(&record.owner) {
        match call_owner(node, &record.owner, call, max).await {
            OwnerCall::Answered(answer) => return OwnerReply::Answer(answer),
            OwnerCall::Denied => denied_by = Some(record.owner.clone()),
            OwnerCall::Unreached => {}
        }
    }
    let is_unowned = !record.ended && denied_by.as_ref() == Some(&record.owner);
    OwnerReply::Record { is_unowned, record, revision }
}

/// The outcome of a call to an owner.
enum OwnerCall {
    Answered(PeerAnswer),
    /// It says that it does not own the batch.
    Denied,
    /// It is dead or does not answer.
    Unreached,
}

/// Calls an owner. This node itself is called before, see [`read_owned`].
async fn call_owner<P: Platform>(
    node: &Rc<Node<P>>,
    owner: &Owner,
    call: &PeerCall,
    max: Duration,
) -> OwnerCall {
    if peers::me(node).as_ref() == Some(owner) {
        return OwnerCall::Denied;
    }
    if peers::owner_status(node, owner) == OwnerStatus::Ended {
        return OwnerCall::Unreached;
    }
    match node.ask_peer(owner.address, call, max).await {
        Ok(PeerAnswer::NotOwner) => OwnerCall::Denied,
        Ok(answer) => OwnerCall::Answered(answer),
        Err(error) => {
            node.note(
                "owner_unreachable",
                json!({ "owner": owner.node, "why": error.message,
                        "reached": !peers::cannot_have_run(&error) }),
            );
            OwnerCall::Unreached
        }
    }
}

/// Returns the body of an item of a batch that this node owns.
pub(crate) fn item_body_owned<P: Platform>(
    node: &Node<P>,
    batch: &str,
    scope: &Scope,
    item: &str,
) -> PeerAnswer {
    let Some(local) = node.batches.get(batch) else { return PeerAnswer::NotOwner };
    let local = local.borrow();
    if !scope.covers(local.origin()) {
        return PeerAnswer::NoBatch;
    }
    match local.batch.item(item) {
        Some(item) => PeerAnswer::Body(item.body.clone()),
        None => PeerAnswer::NoItem,
    }
}

/// Reads the body of an item of a batch: from its owner, or from the store where the owner cannot
/// be reached.
pub(crate) async fn item_body<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    scope: &Scope,
    item: &str,
) -> Lookup<Vec<u8>> {
    match item_body_owned(node, batch, scope, item) {
        PeerAnswer::Body(body) => return Lookup::Found(body),
        PeerAnswer::NoBatch | PeerAnswer::NoItem => return Lookup::Missing,
        _ => {}
    }
    let (id, item_id) = (batch.to_owned(), item.to_owned());
    let call = PeerCall::ItemBody { batch: id, item: item_id, scope: scope.clone() };
    match ask_owner(node, batch, &call, 0).await {
        OwnerReply::Answer(PeerAnswer::Body(body)) => Lookup::Found(body),
        OwnerReply::Answer(PeerAnswer::NoBatch | PeerAnswer::NoItem) | OwnerReply::Missing => {
            Lookup::Missing
        }
        OwnerReply::Answer(_) => Lookup::Unavailable("the owner cannot tell".to_owned()),
        OwnerReply::Unavailable(why) => Lookup::Unavailable(why),
        OwnerReply::Record { record, .. } if !scope.covers(&record.origin) => Lookup::Missing,
        OwnerReply::Record { .. } => match read_stored_batch(node, batch).await {
            Ok(kept) => kept
                .submission
                .items
                .into_iter()
                .find(|candidate| candidate.id == item)
                .map_or(Lookup::Missing, |item| Lookup::Found(item.body)),
            Err(refusal) => Lookup::Unavailable(refusal.message),
        },
    }
}
