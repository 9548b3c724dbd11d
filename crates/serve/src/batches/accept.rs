//! Accepting a submission: once, and kept before anyone is told.

use super::keys::{
    Origin, Record, TRANSACTION_MAX_KEYS, encode, part_key, part_max_bytes, record_key,
    unexpected_answer,
};
use super::standby::send_copies;
use super::write::{RETRY_PAUSE, save_partial_outputs, write_results};
use super::{LocalBatch, REUSABLE_OUTPUT_TTL_MS};
use crate::clock;
use crate::node::Node;
use crate::peers::{self, Datagram, Owner, PeerAnswer, PeerCall};
use crate::platform::Platform;
use crate::store::{Expectation, Put, StoreAnswer, StoreCall, StoreRefusal, StoredItem};
use catkinmast_dispatch::{Batch, BatchPolicy, Chunk, ItemResult, Progress, Route, Submission};
use catkinmast_model::{UnixMs, Verdict};
use indexmap::IndexMap;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Tries of an acceptance whose outcome is unknown; with the store's longest answer they take less
/// than a trainer waits.
pub(super) const STORE_ATTEMPTS: u32 = 3;

/// How long the owner of a model may take to accept a batch before this node does it.
pub(super) const PEER_SUBMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of a submission.
#[derive(Clone, Debug)]
pub(crate) enum Acceptance {
    /// It is kept.
    Accepted,
    /// Its id is that of another workspace's batch.
    IdConflict,
    /// The store could not be reached; the verdict says whether it may be kept.
    Unknown(StoreRefusal),
}

/// The terms of a batch under a route.
pub(super) fn terms(
    route: &Route,
    reward_attempts: u32,
    accepted_at: UnixMs,
    slack_ms: u64,
) -> BatchPolicy {
    // Without a bound of the operator's, a batch is kept running for an hour.
    const UNBOUNDED_MS: u64 = 3_600_000;
    // An item that is not done after half of the time is one of the long ones: the mean takes a
    // tenth of it.
    const LONG_PARTS: u64 = 2;
    let due_ms = route.run_target_ms.unwrap_or(UNBOUNDED_MS);
    let give_up_ms = route.give_up_ms.unwrap_or(UNBOUNDED_MS);
    BatchPolicy {
        attempts: route.attempts.max(reward_attempts).max(1),
        due_at: accepted_at.plus(due_ms),
        give_up_at: accepted_at.plus(give_up_ms + slack_ms),
        rerun_from: accepted_at.plus(due_ms / LONG_PARTS),
        single_version: route.single_version,
    }
}

pub(super) fn reward_attempts<P: Platform>(node: &Node<P>, submission: &Submission) -> u32 {
    let document = node.document();
    let reward = submission.items.iter().find_map(|item| item.reward.as_ref());
    let route = document.as_ref().zip(reward).and_then(|(document, reward)| {
        document.route(&reward.host, &reward.path).map(|route| route.attempts)
    });
    route.unwrap_or(0)
}

/// Has a submission accepted by the node that owns the batches of its model, else by this one.
///
/// With one owner for a model, its runs share that node's connections and its view of each target's
/// load, and a group that comes again finds the texts that were begun.
pub(crate) async fn submit<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    origin: Origin,
    submission: Submission,
) -> Acceptance {
    let duty = model_duty(submission.model.as_deref().unwrap_or(&origin.path));
    let owner = peers::first_for(node, &duty);
    let Some(owner) = owner.filter(|_| node.batches.get(id).is_none()) else {
        return accept(node, id, origin, submission).await;
    };
    let call = PeerCall::Submit { batch: id.to_owned(), origin, submission: Box::new(submission) };
    let answer = node.ask_peer(owner, &call, PEER_SUBMIT_TIMEOUT).await;
    match answer {
        Ok(PeerAnswer::Accepted) => return Acceptance::Accepted,
        Ok(PeerAnswer::NoBatch) => return Acceptance::IdConflict,
        _ => {}
    }
    // The batch is created once, whoever does it; so this node may try whatever became of the call.
    let PeerCall::Submit { origin, submission, .. } = call else {
        unreachable!("it was made above")
    };
    accept(node, id, origin, *submission).await
}

/// Accepts a submission: writes it to the store, and owns it.
///
/// It goes on when nobody waits for it any more. Left halfway, the store would name this node as the
/// owner of a batch that it does not run, and every later submission would be told that it is kept.
pub(crate) async fn accept<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    origin: Origin,
    submission: Submission,
) -> Acceptance {
    let (node, id) = (Rc::clone(node), id.to_owned());
    let work = async move { create_and_own(&node, &id, origin, submission).await };
    tokio::task::spawn_local(work).await.unwrap_or_else(|error| {
        let verdict = Verdict::MayHaveRun;
        Acceptance::Unknown(StoreRefusal { message: error.to_string(), verdict })
    })
}

async fn create_and_own<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    origin: Origin,
    submission: Submission,
) -> Acceptance {
    if let Some(local) = node.batches.get(id) {
        let same = local.borrow().record.origin.workspace == origin.workspace;
        return if same { Acceptance::Accepted } else { Acceptance::IdConflict };
    }
    let Some(owner) = peers::me(node) else {
        return Acceptance::Unknown(StoreRefusal {
            message: "this node has not joined yet".to_owned(),
            verdict: Verdict::NotRun,
        });
    };
    let record = Record {
        accepted_at_unix_ms: UnixMs::from_wall_clock().0,
        ended: false,
        origin,
        owner,
        total: submission.items.len(),
    };
    let call = match creation_transaction(node, id, &record, &submission) {
        Ok(call) => call,
        Err(refusal) => return Acceptance::Unknown(refusal),
    };
    let accepted_at = clock::now();
    let mut failure = None;
    for _ in 0..STORE_ATTEMPTS {
        match node.store(&call).await {
            Ok(StoreAnswer::Committed { revision }) => {
                let source = BatchSource {
                    record,
                    record_revision: revision,
                    results: Vec::new(),
                    submission,
                    texts: Vec::new(),
                };
                start_owning(node, id, source, accepted_at, 0, &[]);
                return Acceptance::Accepted;
            }
            Ok(StoreAnswer::Conflict { items }) => {
                return resolve_existing_record(node, id, &record, submission, accepted_at, &items);
            }
            Ok(other) => failure = Some(unexpected_answer(&other)),
            Err(refusal) if refusal.verdict == Verdict::NotRun && failure.is_none() => {
                return Acceptance::Unknown(refusal);
            }
            Err(refusal) => failure = Some(refusal),
        }
        sleep(RETRY_PAUSE).await;
    }
    let verdict = Verdict::MayHaveRun;
    let message = failure.map_or_else(String::new, |refusal| refusal.message);
    Acceptance::Unknown(StoreRefusal { message, verdict })
}

/// The transaction that creates a batch: all of it or nothing, once.
pub(super) fn creation_transaction<P: Platform>(
    node: &Node<P>,
    id: &str,
    record: &Record,
    submission: &Submission,
) -> Result<StoreCall, StoreRefusal> {
    let body = encode(submission)?;
    let mut puts = vec![Put { key: record_key(id), lease: None, value: encode(record)? }];
    for (number, part) in body.chunks(part_max_bytes(node)).enumerate() {
        puts.push(Put { key: part_key(id, number), lease: None, value: part.to_vec() });
    }
    if puts.len() > TRANSACTION_MAX_KEYS {
        let message = format!("a submission of {} bytes is too large to keep", body.len());
        return Err(StoreRefusal { message, verdict: Verdict::NotRun });
    }
    let expected = vec![Expectation { key: record_key(id), revision: 0 }];
    Ok(StoreCall::Transaction { deletes: Vec::new(), expected, puts })
}

/// The record is there already: of an earlier submission, or of our own call whose answer was lost.
pub(super) fn resolve_existing_record<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    record: &Record,
    submission: Submission,
    accepted_at: UnixMs,
    items: &[StoredItem],
) -> Acceptance {
    let key = record_key(id);
    let found = items.iter().find(|item| item.key == key);
    let stored = found.and_then(|item| postcard::from_bytes::<Record>(&item.value).ok());
    if let (Some(stored), Some(item)) = (stored, found) {
        if stored.origin.workspace != record.origin.workspace {
            return Acceptance::IdConflict;
        }
        if stored == *record && node.batches.get(id).is_none() {
            let source = BatchSource {
                record: stored,
                record_revision: item.revision,
                results: Vec::new(),
                submission,
                texts: Vec::new(),
            };
            start_owning(node, id, source, accepted_at, 0, &[]);
        } else {
            if !stored.ended {
                notify_owner(node, id, &stored.owner);
            }
            node.batches.note_owner(id, stored.owner);
        }
    }
    Acceptance::Accepted
}

/// Tells the owner that the store names of its batch: it may not know that its own call was done.
fn notify_owner<P: Platform>(node: &Rc<Node<P>>, id: &str, owner: &Owner) {
    if peers::me(node).is_none_or(|me| me == *owner) {
        return;
    }
    let call = PeerCall::Adopt { batch: id.to_owned(), texts: Vec::new() };
    let (node, id, owner) = (Rc::clone(node), id.to_owned(), owner.clone());
    tokio::task::spawn_local(async move {
        if let Err(error) = node.ask_peer(owner.address, &call, PEER_SUBMIT_TIMEOUT).await {
            let why = json!({ "request": id, "owner": owner.node, "why": error.message });
            node.note("owner_unreachable", why);
        }
    });
}

/// What a batch is opened from.
pub(super) struct BatchSource {
    pub(super) record: Record,
    pub(super) record_revision: u64,
    /// Results that are not durable yet.
    pub(super) results: Vec<ItemResult>,
    pub(super) submission: Submission,
    /// What a former owner had of its items' texts.
    pub(super) texts: Vec<(String, Progress)>,
}

/// Opens a batch as its owner and starts to run and to write it.
pub(super) fn start_owning<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    source: BatchSource,
    accepted_at: UnixMs,
    slack_ms: u64,
    chunks: &[Chunk],
) {
    if node.batches.get(id).is_some() {
        return;
    }
    let BatchSource { record, record_revision, submission, .. } = &source;
    let Origin { host, path, .. } = &record.origin;
    let route = node.document().and_then(|document| document.route(host, path).cloned());
    let Some(route) = route else {
        node.note("batch_without_route", json!({ "request": id, "host": host }));
        return;
    };
    let terms = terms(&route, reward_attempts(node, submission), accepted_at, slack_ms);
    let mut line = json!({
        "request": id, "items": submission.items.len(), "model": submission.model,
        "step": submission.step, "oldest_version": submission.oldest_version,
        "target_groups": submission.target_groups, "chunks": chunks.len(),
        "record_revision": record_revision, "route": route.name,
    });
    let (mut local, resumed) = build_local_batch(node, id, source, accepted_at, terms, chunks);
    local.taken_over = slack_ms > 0;
    line["resumed"] = json!(resumed);
    node.note("batch_owned", line);
    node.batches.note_opening(local.batch.submission());
    let local = Rc::new(RefCell::new(local));
    node.batches.owned.borrow_mut().insert(id.to_owned(), Rc::clone(&local));
    node.metrics.batches_open.set(node.batches.owned.borrow().len() as i64);
    let (model, work_tokens) = {
        let local = local.borrow();
        let submission = local.batch.submission();
        (submission.model.clone(), submission.work_tokens())
    };
    node.note_demand(model.as_deref(), work_tokens);
    if let Some(owner) = peers::me(node) {
        let batch = id.to_owned();
        peers::tell_all(node, &Datagram::BatchOwned { batch, model, owner, work_tokens });
    }
    node.work.notify_one();
    tokio::task::spawn_local(write_results(Rc::clone(node), Rc::clone(&local)));
    tokio::task::spawn_local(send_copies(Rc::clone(node), Rc::clone(&local)));
    tokio::task::spawn_local(save_partial_outputs(Rc::clone(node), local));
}

/// Opens a batch with what is known of it; returns how many texts it goes on from.
pub(super) fn build_local_batch<P: Platform>(
    node: &Node<P>,
    id: &str,
    source: BatchSource,
    accepted_at: UnixMs,
    terms: BatchPolicy,
    chunks: &[Chunk],
) -> (LocalBatch, usize) {
    let BatchSource { record, record_revision, results, submission, texts } = source;
    let workspace = record.origin.workspace.as_deref();
    let (mut batch, resumed) = restore_batch(node, workspace, submission, terms, chunks, texts);
    for result in results {
        batch.record_result(clock::now(), result);
    }
    let local = LocalBatch {
        accepted_at,
        batch,
        changed: Rc::new(Notify::new()),
        unverified: false,
        finished: Rc::new(Notify::new()),
        group_targets: IndexMap::new(),
        record,
        record_revision,
        id: id.to_owned(),
        owned: true,
        runs: IndexMap::new(),
        settled_at: None,
        taken_over: false,
    };
    (local, resumed)
}

/// Opens a batch with what is durable of it, and with the texts that an earlier batch left of its
/// items; returns how many of those fit.
pub(super) fn restore_batch<P: Platform>(
    node: &Node<P>,
    workspace: Option<&str>,
    submission: Submission,
    terms: BatchPolicy,
    chunks: &[Chunk],
    texts: Vec<(String, Progress)>,
) -> (Batch, usize) {
    let mut reusable_outputs = node.batches.reusable_outputs.borrow_mut();
    let now = clock::now();
    reusable_outputs.by_item.retain(|_, left| now.since_ms(left.since) < REUSABLE_OUTPUT_TTL_MS);
    reusable_outputs.groups.retain(|_, at| now.since_ms(*at) < REUSABLE_OUTPUT_TTL_MS);
    let ids: Vec<String> = submission.items.iter().map(|item| item.id.clone()).collect();
    let mut batch =
        Batch::open(submission, terms, |group| reusable_outputs.groups.contains_key(group));
    for chunk in chunks {
        batch.merge(chunk);
    }
    let mut resumed = 0;
    for (id, progress) in texts {
        resumed += usize::from(batch.resume_from(&id, progress));
    }
    for id in ids {
        if let Some(progress) = node.batches.second_runs.take(&id, workspace) {
            let (last_event, versions) = (progress.last_event_id, progress.versions.clone());
            let fits = batch.resume_from(&id, progress);
            node.note(
                "second_run_taken",
                json!({ "request": id, "last_event": last_event, "versions": versions, "fits": fits }),
            );
            if fits {
                reusable_outputs.take(&id, workspace);
                resumed += 1;
            }
        }
        if let Some(progress) = reusable_outputs.take(&id, workspace)
            && batch.resume_from(&id, progress)
        {
            resumed += 1;
        }
    }
    (batch, resumed)
}

pub(super) fn model_duty(model: &str) -> String {
    format!("batches/{model}")
}
