//! Reading results and bodies of any batch at any node.

use super::keys::{Record, Scope, chunk_prefix, chunks_of, read_record, read_submission};
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

/// Most results in one answer.
pub(super) const PAGE_MAX_BYTES: usize = 900_000;

/// What a call to an owner may take beyond its wait.
pub(super) const OWNER_SLACK: Duration = Duration::from_millis(700);

/// Reads results of a batch that this node owns; waits up to `wait_ms` for the first.
pub(crate) async fn read_owned<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    scope: &Scope,
    after: usize,
    wait_ms: u64,
) -> PeerAnswer {
    let Some(held) = node.batches.get(batch) else { return PeerAnswer::NotOwner };
    if !scope.covers(held.borrow().origin()) {
        return PeerAnswer::NoBatch;
    }
    let until = clock::now().plus(wait_ms);
    loop {
        let changed = Rc::clone(&held.borrow().changed);
        let changed = changed.notified();
        {
            let held = held.borrow();
            if !held.owned || held.unverified {
                return PeerAnswer::NotOwner;
            }
            let page = held.batch.page(after, PAGE_MAX_BYTES);
            let total = held.batch.submission().items.len();
            let left_ms = until.since_ms(clock::now());
            let over = after >= total || held.batch.is_ended() || left_ms == 0;
            if !page.is_empty() || over {
                return PeerAnswer::Page { results: page.to_vec(), total };
            }
        }
        let left_ms = until.since_ms(clock::now());
        // Ended or not, the page is looked at once more.
        drop(timeout(Duration::from_millis(left_ms), changed).await);
    }
}

/// What is known of a batch that a caller asks for.
#[derive(Clone, Debug)]
pub(crate) enum Lookup<T> {
    /// It is there.
    Found(T),
    /// No such batch, or item, exists.
    Missing,
    /// That cannot be told now.
    Unavailable(String),
}

/// Reads results of any batch.
pub(crate) async fn read<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    scope: &Scope,
    after: usize,
    wait_ms: u64,
) -> Lookup<(usize, Vec<ItemResult>)> {
    match read_owned(node, batch, scope, after, wait_ms).await {
        PeerAnswer::Page { results, total } => return Lookup::Found((total, results)),
        PeerAnswer::NoBatch => return Lookup::Missing,
        _ => {}
    }
    let call = PeerCall::Read { after, batch: batch.to_owned(), scope: scope.clone(), wait_ms };
    let asked = ask_owner(node, batch, &call, wait_ms).await;
    let record = match asked {
        Asked::Answer(PeerAnswer::Page { results, total }) => {
            return Lookup::Found((total, results));
        }
        Asked::Answer(PeerAnswer::NoBatch) | Asked::Missing => return Lookup::Missing,
        Asked::Answer(_) => return Lookup::Unavailable("the owner cannot tell".to_owned()),
        Asked::Record(record, _) if !scope.covers(&record.origin) => return Lookup::Missing,
        Asked::Record(record, _) => record,
        Asked::Unavailable(why) => return Lookup::Unavailable(why),
    };
    match feed::read_whole(node, &chunk_prefix(batch)).await {
        Ok((items, _)) => Lookup::Found((record.total, page_of_chunks(node, &items, after))),
        Err(refusal) => Lookup::Unavailable(refusal.message),
    }
}

pub(super) fn page_of_chunks<P: Platform>(
    node: &Node<P>,
    items: &[StoredItem],
    after: usize,
) -> Vec<ItemResult> {
    let mut seen = IndexSet::new();
    let mut spent_bytes = 0;
    let results = chunks_of(node, items).into_iter().flat_map(|chunk| chunk.results);
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

/// What came of asking a batch's owner.
pub(super) enum Asked {
    Answer(PeerAnswer),
    /// The owner cannot be asked; this is the batch's record and its revision.
    Record(Record, u64),
    Missing,
    Unavailable(String),
}

/// Asks the owner that this node was told of, else the one that the store names.
pub(super) async fn ask_owner<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    call: &PeerCall,
    wait_ms: u64,
) -> Asked {
    let max = Duration::from_millis(wait_ms) + OWNER_SLACK;
    let told = node.batches.owner_of(batch);
    if let Some(owner) = &told
        && let Some(answer) = ask_one(node, owner, call, max).await
    {
        return Asked::Answer(answer);
    }
    let (record, revision) = match read_record(node, batch).await {
        Ok(Some(found)) => found,
        Ok(None) => return Asked::Missing,
        Err(refusal) => return Asked::Unavailable(refusal.message),
    };
    node.batches.note_owner(batch, record.owner.clone());
    if told.as_ref() != Some(&record.owner)
        && let Some(answer) = ask_one(node, &record.owner, call, max).await
    {
        return Asked::Answer(answer);
    }
    Asked::Record(record, revision)
}

pub(super) async fn ask_one<P: Platform>(
    node: &Rc<Node<P>>,
    owner: &Owner,
    call: &PeerCall,
    max: Duration,
) -> Option<PeerAnswer> {
    if peers::me(node).as_ref() == Some(owner) {
        return None;
    }
    if peers::owner_status(node, owner) == OwnerStatus::Ended {
        return None;
    }
    match node.ask_peer(owner.address, call, max).await {
        Ok(PeerAnswer::NotOwner) => None,
        Ok(answer) => Some(answer),
        Err(error) => {
            node.note(
                "owner_unreachable",
                json!({ "owner": owner.node, "why": error.message,
                        "reached": !peers::cannot_have_run(&error) }),
            );
            None
        }
    }
}

/// Reads the body of an item of a batch that this node owns.
pub(crate) fn item_body_owned<P: Platform>(
    node: &Node<P>,
    batch: &str,
    scope: &Scope,
    item: &str,
) -> PeerAnswer {
    let Some(held) = node.batches.get(batch) else { return PeerAnswer::NotOwner };
    let held = held.borrow();
    if !scope.covers(held.origin()) {
        return PeerAnswer::NoBatch;
    }
    match held.batch.item(item) {
        Some(item) => PeerAnswer::Body(item.body.clone()),
        None => PeerAnswer::NoItem,
    }
}

/// Reads the body of an item of any batch.
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
        Asked::Answer(PeerAnswer::Body(body)) => Lookup::Found(body),
        Asked::Answer(PeerAnswer::NoBatch | PeerAnswer::NoItem) | Asked::Missing => Lookup::Missing,
        Asked::Answer(_) => Lookup::Unavailable("the owner cannot tell".to_owned()),
        Asked::Unavailable(why) => Lookup::Unavailable(why),
        Asked::Record(record, _) if !scope.covers(&record.origin) => Lookup::Missing,
        Asked::Record(..) => match read_submission(node, batch).await {
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
