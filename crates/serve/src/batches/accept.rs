//! Accepting submissions: each id once, and written to the store before it is acknowledged.

use super::keys::{
    Origin, Record, TRANSACTION_MAX_KEYS, encode, part_key, part_max_bytes, record_key,
    unexpected_answer,
};
use super::standby::send_copies;
use super::takeover::{is_own_incarnation, start_takeover};
use super::unconfirmed::SubmissionAttempt;
use super::write::{RETRY_PAUSE, save_unlisted_work, write_results};
use super::{FailureNoted, LocalBatch, REUSABLE_OUTPUT_TTL_MS};
use crate::clock;
use crate::node::Node;
use crate::peers::{self, Datagram, Owner, PeerAnswer, PeerCall};
use crate::platform::Platform;
use crate::pool::CallError;
use crate::store::{Expectation, Put, StoreAnswer, StoreCall, StoreRefusal, StoredItem};
use catkinmast_dispatch::{
    Batch, BatchPolicy, Chunk, ItemResult, Progress, Route, Submission, UnlistedWork,
};
use catkinmast_model::{UnixMs, Verdict};
use indexmap::IndexMap;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// How often a write to the store is attempted at most. With the store's slowest answers they take
/// less time than a trainer waits.
pub(super) const STORE_ATTEMPTS: u32 = 3;

/// How long the node that owns a model's batches may take to accept one before this node accepts it
/// itself.
pub(super) const PEER_SUBMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// The outcome of a submission.
#[derive(Clone, Debug)]
pub(crate) enum Acceptance {
    /// It is stored.
    Accepted,
    /// Its id belongs to a batch of another workspace.
    IdConflict,
    /// It was not confirmed, by the store or by this node itself; the verdict says whether it may
    /// have been stored.
    Unknown(StoreRefusal),
}

impl Acceptance {
    /// Returns its label in metrics.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::IdConflict => "id_conflict",
            Self::Unknown(StoreRefusal { verdict: Verdict::NotRun, .. }) => "not_run",
            Self::Unknown(_) => "may_have_run",
        }
    }
}

/// Returns the policy of a batch under a route. `slack_ms` is added to the time at which its items
/// are given up.
pub(super) fn policy(
    route: &Route,
    scoring_attempts: u32,
    accepted_at: UnixMs,
    slack_ms: u64,
) -> BatchPolicy {
    // Without a limit set by the operator, a batch runs for up to an hour.
    const UNBOUNDED_MS: u64 = 3_600_000;
    // An item that is not done after half of the time is a long one: the mean item takes a tenth
    // of it.
    const LONG_ITEM_DIVISOR: u64 = 2;
    let due_ms = route.results_due_ms.unwrap_or(UNBOUNDED_MS);
    let give_up_ms = route.give_up_ms.unwrap_or(UNBOUNDED_MS);
    BatchPolicy {
        attempts: route.attempts.max(scoring_attempts).max(1),
        due_at: accepted_at.plus(due_ms),
        give_up_at: accepted_at.plus(give_up_ms + slack_ms),
        rerun_from: accepted_at.plus(due_ms / LONG_ITEM_DIVISOR),
        single_version: route.single_version,
    }
}

/// Returns the attempts that the route of the first scoring call allows; 0 if no item is scored.
pub(super) fn scoring_attempts<P: Platform>(node: &Node<P>, submission: &Submission) -> u32 {
    let document = node.document();
    let reward = submission.items.iter().find_map(|item| item.reward.as_ref());
    let route = document.as_ref().zip(reward).and_then(|(document, reward)| {
        document.route(&reward.host, &reward.path).map(|route| route.attempts)
    });
    route.unwrap_or(0)
}

/// Submits to the node that owns the batches of the model, or accepts here if that node fails to.
///
/// With one owner for each model, its runs share that node's connections and its view of each
/// target's load, and a group that is submitted again finds its output so far.
pub(crate) async fn submit<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    origin: Origin,
    submission: Submission,
) -> Acceptance {
    let duty = model_duty(submission.model.as_deref().unwrap_or(&origin.path));
    // None if this node ranks first.
    let owner = peers::first_for(node, &duty);
    let Some(owner) = owner.filter(|_| node.batches.get(id).is_none()) else {
        return accept(node, id, origin, submission).await;
    };
    let call = PeerCall::Submit { batch: id.to_owned(), origin, submission: Box::new(submission) };
    let asked_at = clock::now();
    let attempt = SubmissionAttempt::begin(&node.batches, id);
    let owners_refusal = match node.ask_peer(owner, &call, PEER_SUBMIT_TIMEOUT).await {
        Ok(PeerAnswer::Accepted) => {
            attempt.stored();
            return Acceptance::Accepted;
        }
        // The id belongs to a batch of another workspace.
        Ok(PeerAnswer::NoBatch) => {
            attempt.stored();
            return Acceptance::IdConflict;
        }
        Ok(PeerAnswer::Unconfirmed(refusal)) => refusal,
        Ok(_) => StoreRefusal {
            message: "the owner did not confirm it".to_owned(),
            verdict: Verdict::MayHaveRun,
        },
        Err(CallError { message, verdict, .. }) => StoreRefusal { message, verdict },
    };
    attempt.refused(owners_refusal.verdict);
    node.note(
        "submission_not_forwarded",
        json!({
            "request": id, "owner": owner, "why": owners_refusal.message,
            "verdict": owners_refusal.verdict, "ms": clock::now().since_ms(asked_at),
        }),
    );
    // The store creates a batch only once, so this node may try whatever the outcome of the call.
    let PeerCall::Submit { origin, submission, .. } = call else {
        unreachable!("the call was built as Submit above")
    };
    match accept(node, id, origin, *submission).await {
        Acceptance::Unknown(refusal) => Acceptance::Unknown(refusal.after(&owners_refusal)),
        accepted => accepted,
    }
}

/// Accepts a submission: writes it to the store and becomes its owner.
///
/// It runs as a task of its own, which completes after the caller has left. Cancelled halfway, it
/// would leave a record in the store that names this node as the owner of a batch that it does not
/// run, and every later submission of it would be acknowledged.
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
        item_count: submission.items.len(),
    };
    let call = match creation_transaction(node, id, &record, &submission) {
        Ok(call) => call,
        Err(refusal) => return Acceptance::Unknown(refusal),
    };
    let accepted_at = clock::now();
    match create_record(node, id, &call).await {
        Ok(Creation::New { revision }) => {
            let source = BatchSource {
                record,
                record_revision: revision,
                results: Vec::new(),
                submission,
                work: UnlistedWork::default(),
            };
            start_owning(node, id, source, accepted_at, 0, &[]);
            Acceptance::Accepted
        }
        Ok(Creation::Exists { items }) => {
            resolve_existing_record(node, id, &record, submission, accepted_at, &items)
        }
        Err(refusal) => Acceptance::Unknown(refusal),
    }
}

/// The outcome of the transaction that creates a batch.
enum Creation {
    /// A record exists already; these are the keys that it expected to be absent.
    Exists { items: Vec<StoredItem> },
    /// The batch was created at this revision.
    New { revision: u64 },
}

/// Makes the transaction that creates a batch until its outcome is known, up to [`STORE_ATTEMPTS`]
/// times; once if the store refuses it.
///
/// # Errors
///
/// The verdict also covers earlier submissions of the batch at this node.
async fn create_record<P: Platform>(
    node: &Node<P>,
    id: &str,
    call: &StoreCall,
) -> Result<Creation, StoreRefusal> {
    let started_at = clock::now();
    let submission = SubmissionAttempt::begin(&node.batches, id);
    let mut refused: Option<StoreRefusal> = None;
    for attempt in 1..=STORE_ATTEMPTS {
        let refusal = match node.store(call).await {
            Ok(StoreAnswer::Committed { revision }) => {
                submission.stored();
                return Ok(Creation::New { revision });
            }
            Ok(StoreAnswer::Conflict { items }) => {
                submission.stored();
                return Ok(Creation::Exists { items });
            }
            Ok(other) => unexpected_answer(&other),
            Err(refusal) => refusal,
        };
        let refusal = refusal.after_any(refused.as_ref());
        let is_known = !refusal.verdict.may_have_run();
        refused = Some(refusal);
        if is_known || attempt == STORE_ATTEMPTS {
            break;
        }
        sleep(RETRY_PAUSE).await;
    }
    let mut refusal = refused.unwrap_or_else(|| unreachable!("at least one attempt is made"));
    let was_unconfirmed = submission.was_unconfirmed;
    submission.refused(refusal.verdict);
    if was_unconfirmed {
        refusal.verdict = refusal.verdict.combined_with(Verdict::MayHaveRun);
    }
    node.note(
        "submission_unconfirmed",
        json!({
            "request": id, "verdict": refusal.verdict, "why": refusal.message,
            "was_unconfirmed": was_unconfirmed, "ms": clock::now().since_ms(started_at),
        }),
    );
    Err(refusal)
}

/// Builds the transaction that creates a batch: all of its keys or none, and only if it is new.
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

/// Handles a record that exists already: from an earlier submission, or from a call of this node
/// whose answer was lost.
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
                work: UnlistedWork::default(),
            };
            start_owning(node, id, source, accepted_at, 0, &[]);
        } else {
            if !stored.ended {
                wake_owner(node, id, &stored.owner);
            }
            node.batches.note_owner(id, stored.owner);
        }
    }
    Acceptance::Accepted
}

/// Makes the owner that the store names run the batch: it may not know that its own write was
/// committed.
pub(super) fn wake_owner<P: Platform>(node: &Rc<Node<P>>, id: &str, owner: &Owner) {
    if peers::me(node).is_some_and(|me| is_own_incarnation(&me, owner)) {
        if node.batches.get(id).is_none() {
            start_takeover(node, id);
        }
        return;
    }
    let call = PeerCall::Adopt { batch: id.to_owned(), work: UnlistedWork::default() };
    let (node, id, owner) = (Rc::clone(node), id.to_owned(), owner.clone());
    tokio::task::spawn_local(async move {
        if let Err(error) = node.ask_peer(owner.address, &call, PEER_SUBMIT_TIMEOUT).await {
            let why = json!({ "request": id, "owner": owner.node, "why": error.message });
            node.note("owner_unreachable", why);
        }
    });
}

/// What a local batch is built from.
pub(super) struct BatchSource {
    pub(super) record: Record,
    pub(super) record_revision: u64,
    /// Results that are not stored yet.
    pub(super) results: Vec<ItemResult>,
    pub(super) submission: Submission,
    /// What a former owner knew of its items beside the listed results.
    pub(super) work: UnlistedWork,
}

/// Opens a batch as its owner and starts the tasks that write its results, copies and output.
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
    let policy = policy(&route, scoring_attempts(node, submission), accepted_at, slack_ms);
    let mut line = json!({
        "request": id, "items": submission.items.len(), "model": submission.model,
        "step": submission.step, "oldest_version": submission.oldest_version,
        "target_groups": submission.target_groups, "chunks": chunks.len(),
        "record_revision": record_revision, "route": route.name,
    });
    let (mut local, resumed) = build_local_batch(node, id, source, accepted_at, policy, chunks);
    // Only a batch that is taken over has a slack.
    local.taken_over = slack_ms > 0;
    line["resumed"] = json!(resumed);
    node.note("batch_owned", line);
    node.batches.note_opening(local.batch.submission());
    let local = Rc::new(RefCell::new(local));
    if !node.batches.local.insert_owned(Rc::clone(&local)) {
        return;
    }
    node.metrics.batches_open.set(node.batches.local.owned_count() as i64);
    let (model, work_tokens, items) = {
        let local = local.borrow();
        let submission = local.batch.submission();
        (submission.model.clone(), submission.work_tokens(), submission.items.len() as u64)
    };
    node.record_demand(model.as_deref(), work_tokens, items);
    if let Some(owner) = peers::me(node) {
        let batch = id.to_owned();
        peers::broadcast(node, &Datagram::BatchOwned { batch, model, owner, work_tokens, items });
    }
    node.work.notify_one();
    tokio::task::spawn_local(write_results(Rc::clone(node), Rc::clone(&local)));
    tokio::task::spawn_local(send_copies(Rc::clone(node), Rc::clone(&local)));
    tokio::task::spawn_local(save_unlisted_work(Rc::clone(node), local));
}

/// Builds a batch from what is known of it; returns with it how many items go on from earlier
/// output.
pub(super) fn build_local_batch<P: Platform>(
    node: &Node<P>,
    id: &str,
    source: BatchSource,
    accepted_at: UnixMs,
    policy: BatchPolicy,
    chunks: &[Chunk],
) -> (LocalBatch, usize) {
    let BatchSource { record, record_revision, results, submission, work } = source;
    let workspace = record.origin.workspace.as_deref();
    let UnlistedWork { outputs, failures } = work;
    let (mut batch, resumed) = open_batch(node, workspace, submission, policy, chunks, outputs);
    for result in results {
        batch.record_result(clock::now(), result);
    }
    batch.restore_failures(clock::now(), failures);
    let local = LocalBatch {
        accepted_at,
        batch,
        changed: Rc::new(Notify::new()),
        unverified: false,
        results_pending: Rc::new(Notify::new()),
        failure_noted: FailureNoted::default(),
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

/// Opens a batch with its stored results, and with output that a former owner, a second run or an
/// earlier batch left of its items; returns with it how many of these fit.
pub(super) fn open_batch<P: Platform>(
    node: &Node<P>,
    workspace: Option<&str>,
    submission: Submission,
    policy: BatchPolicy,
    chunks: &[Chunk],
    outputs: Vec<(String, Progress)>,
) -> (Batch, usize) {
    let mut reusable_outputs = node.batches.reusable_outputs.borrow_mut();
    let now = clock::now();
    reusable_outputs.by_item.retain(|_, left| now.since_ms(left.ended_at) < REUSABLE_OUTPUT_TTL_MS);
    reusable_outputs.unconsumed_groups.retain(|_, at| now.since_ms(*at) < REUSABLE_OUTPUT_TTL_MS);
    let ids: Vec<String> = submission.items.iter().map(|item| item.id.clone()).collect();
    let mut batch = Batch::open(submission, policy, |group| {
        reusable_outputs.unconsumed_groups.contains_key(group)
    });
    for chunk in chunks {
        batch.merge(chunk);
    }
    let mut resumed = 0;
    for (id, progress) in outputs {
        resumed += usize::from(batch.resume_from(&id, progress));
    }
    for id in ids {
        if let Some(progress) = node.batches.second_runs.take(&id, workspace) {
            let (last_event, versions) = (progress.last_event_id, progress.versions.clone());
            let fits = batch.resume_from(&id, progress);
            node.note(
                "second_run_taken",
                json!({
                    "request": id, "last_event": last_event, "versions": versions, "fits": fits,
                }),
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

/// Returns the duty by which nodes are ranked as owner of a model's batches, or of a path's if they
/// name no model.
pub(crate) fn model_duty(model: &str) -> String {
    format!("batches/{model}")
}
