//! Batch submissions: accepted once, kept in the store, listed, read at every node, ended.
//!
//! What must outlive every process is written before anyone is told of it: the submission before
//! its acceptance, results before a reader sees them, the end before it is confirmed. The head of
//! a batch names its owner; a change of the head is how an owner learns that it is no longer one.

use crate::clock;
use crate::feed;
use crate::metrics::count;
use crate::node::Node;
use crate::peers::{self, Datagram, Life, Owner, PeerAnswer, PeerCall};
use crate::platform::Platform;
use crate::store::{Expectation, Put, StoreAnswer, StoreCall, StoreRefusal, StoredItem};
use catkinmast_dispatch::{
    Batch, BatchTerms, Chunk, ItemResult, Merge, Progress, Route, Submission,
};
use catkinmast_model::{UnixMs, Verdict};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Keys of the heads, by batch.
const HEADS: &str = "cm/h/";
/// Keys of submissions and results, by batch.
const DATA: &str = "cm/d/";
/// Results that come within this time are written with one call. Readers ask twice a second.
const GATHER: Duration = Duration::from_millis(200);
/// The same once less than one item in [`TAIL_PART`] is missing: the trainer may wait for just
/// this one, and few results come, so few calls are added.
const GATHER_TAIL: Duration = Duration::from_millis(40);
const TAIL_PART: usize = 8;
/// Pause before a write is tried again.
const RETRY: Duration = Duration::from_millis(150);
/// Tries of an acceptance whose outcome is unknown; with the store's longest answer they take less
/// than a trainer waits.
const ACCEPT_TRIES: u32 = 3;
/// The part of a value's allowed size that we use; the rest is for its framing.
const VALUE_PART_PERCENT: usize = 70;
/// Most results in one answer.
const PAGE_MAX_BYTES: usize = 900_000;
/// How often old heads are looked through for batches that nobody runs.
const SWEEP: Duration = Duration::from_millis(4_000);
/// How long after joining a node first looks for batches to take: several probes.
const SETTLE: Duration = Duration::from_millis(700);
/// How long a node that nothing was heard of is given before its batches are taken.
const UNHEARD_MAX_MS: u64 = 3_000;
/// How much later than the operator allows an item is given up by an owner that did not accept
/// the batch itself: the acceptance was timed by another machine's wall clock.
const SKEW_MAX_MS: u64 = 6_000;
/// What a call to an owner may take beyond its wait.
const OWNER_SLACK: Duration = Duration::from_millis(700);
/// How long after it was told first an end is told again.
const TELL_AGAIN: Duration = Duration::from_millis(600);
/// How long a settled batch is kept for readers.
const KEPT_MS: u64 = 180_000;
/// How often the texts of runs in progress are saved. A long item takes seven seconds, and a step
/// whose owner dies waits for it again from the start: with texts saved the fleet's restart costs
/// a step about this time instead. A call for it costs a thousandth of what the step is worth.
const SAVE_EVERY: Duration = Duration::from_millis(1_200);
/// Only texts of runs this old are saved; shorter ones are run again as quickly.
const SAVE_AFTER_MS: u64 = 1_000;
/// How long texts of ended batches are kept: a trainer that asks for a group again does so within
/// a few steps.
const LEFTOVER_KEPT_MS: u64 = 30_000;
/// How long the owner of a model may take to accept a batch before this node does it.
const SUBMIT_MAX: Duration = Duration::from_millis(1_000);
/// Keys that one transaction may change.
const TRANSACTION_MAX_KEYS: usize = 30;

/// What the store holds first of a batch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Head {
    accepted_at_unix_ms: u64,
    ended: bool,
    host: String,
    owner: Owner,
    path: String,
    total: usize,
}

/// A batch that this node owns.
#[derive(Debug)]
pub(crate) struct Held {
    /// When it was accepted, by our clock.
    pub accepted_at: UnixMs,
    /// The items and results.
    pub batch: Batch,
    /// Wakes readers.
    pub changed: Rc<Notify>,
    /// Wakes the writer.
    pub finished: Rc<Notify>,
    /// The last target of each group.
    pub group_targets: IndexMap<String, String>,
    head: Head,
    head_revision: u64,
    /// Its id.
    pub id: String,
    /// Whether another may have taken it meanwhile; until the store was asked, nothing is said of
    /// it. A paused owner would otherwise show fewer results than its successor has listed.
    doubted: bool,
    /// Whether this node still owns it.
    pub owned: bool,
    /// The runs in progress, by the item's index.
    pub runs: IndexMap<usize, Run>,
    settled_at: Option<UnixMs>,
    /// Whether it had an owner before, who may live.
    taken_over: bool,
}

impl Held {
    /// Borrows the host and the path by which it was submitted.
    pub(crate) fn origin(&self) -> (&str, &str) {
        (&self.head.host, &self.head.path)
    }

    /// Returns what runs of at least this age hold of their texts, by item.
    fn texts(&self, least_age_ms: u64) -> Vec<(String, Progress)> {
        let now = clock::now();
        let items = &self.batch.submission().items;
        let old = |run: &Run| now.since_ms(run.began_at) >= least_age_ms;
        let begun = |run: &Run| run.progress.borrow().last_event_id.is_some();
        self.runs
            .iter()
            .filter(|(_, run)| old(run) && begun(run))
            .map(|(index, run)| (items[*index].id.clone(), run.progress.borrow().clone()))
            .collect()
    }

    /// Stops all runs; what they hold of their texts stays.
    fn stop_runs(&mut self) {
        let indices: Vec<usize> = self.runs.keys().copied().collect();
        for index in indices {
            self.stop_run(index);
        }
    }

    /// Stops one run; its item waits again, with what is held of its text.
    pub(crate) fn stop_run(&mut self, index: usize) {
        let Some(run) = self.runs.swap_remove(&index) else { return };
        run.task.abort();
        let progress = run.progress.borrow().clone();
        self.batch.put_back(index, UnixMs(0), progress);
    }
}

/// A run of an item in progress.
#[derive(Debug)]
pub(crate) struct Run {
    /// When it began.
    pub began_at: UnixMs,
    /// What is held of the text.
    pub progress: Rc<RefCell<Progress>>,
    /// Whether its text is whole and it is being scored.
    pub scoring: bool,
    /// The target.
    pub target: String,
    /// Its task.
    pub task: AbortHandle,
}

/// What ended batches left of their items' texts.
#[derive(Debug, Default)]
struct Leftovers {
    groups: IndexMap<String, UnixMs>,
    texts: IndexMap<String, (Progress, UnixMs)>,
}

/// All batches that this node knows of.
#[derive(Debug, Default)]
pub(crate) struct Batches {
    leftovers: RefCell<Leftovers>,
    owned: RefCell<IndexMap<String, Rc<RefCell<Held>>>>,
    owners: RefCell<IndexMap<String, Owner>>,
    taking: RefCell<IndexSet<String>>,
    /// Wakes the search for batches without an owner.
    pub orphaned: Notify,
    started_at: Cell<UnixMs>,
}

impl Batches {
    pub(crate) fn note_owner(&self, batch: &str, owner: Owner) {
        self.owners.borrow_mut().insert(batch.to_owned(), owner);
    }

    pub(crate) fn get(&self, batch: &str) -> Option<Rc<RefCell<Held>>> {
        self.owned.borrow().get(batch).cloned()
    }

    /// Returns the owned batches that have something left to run, the most urgent first.
    pub(crate) fn open(&self) -> Vec<Rc<RefCell<Held>>> {
        let mut open: Vec<Rc<RefCell<Held>>> = self
            .owned
            .borrow()
            .values()
            .filter(|held| !held.borrow().batch.is_settled() && !held.borrow().batch.is_ended())
            .cloned()
            .collect();
        open.sort_by_key(|held| held.borrow().batch.terms().due_at);
        open
    }
}

/// What became of a submission.
#[derive(Clone, Debug)]
pub(crate) enum Acceptance {
    /// It is kept.
    Kept,
    /// The store could not be reached; the verdict says whether it may be kept.
    Unknown(StoreRefusal),
}

fn head_key(batch: &str) -> String {
    format!("{HEADS}{batch}")
}

fn part_key(batch: &str, number: usize) -> String {
    format!("{DATA}{batch}/p{number:03}")
}

fn texts_key(batch: &str) -> String {
    format!("{DATA}{batch}/t")
}

fn chunk_prefix(batch: &str) -> String {
    format!("{DATA}{batch}/c")
}

fn chunk_key(batch: &str, number: u32) -> String {
    format!("{DATA}{batch}/c{number:05}")
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreRefusal> {
    postcard::to_stdvec(value)
        .map_err(|error| StoreRefusal { message: error.to_string(), verdict: Verdict::NotRun })
}

fn unexpected(answer: &StoreAnswer) -> StoreRefusal {
    StoreRefusal { message: format!("unexpected answer {answer:?}"), verdict: Verdict::MayHaveRun }
}

fn part_max_bytes<P: Platform>(node: &Node<P>) -> usize {
    node.settings().value_max_bytes * VALUE_PART_PERCENT / 100
}

/// The terms of a batch under a route.
fn terms(route: &Route, reward_attempts: u32, accepted_at: UnixMs, slack_ms: u64) -> BatchTerms {
    // Without a bound of the operator's, a batch is kept running for an hour.
    const UNBOUNDED_MS: u64 = 3_600_000;
    let due_ms = route.run_target_ms.unwrap_or(UNBOUNDED_MS);
    let give_up_ms = route.give_up_ms.unwrap_or(UNBOUNDED_MS);
    BatchTerms {
        attempts: route.attempts.max(reward_attempts).max(1),
        due_at: accepted_at.plus(due_ms),
        give_up_at: accepted_at.plus(give_up_ms + slack_ms),
        single_version: route.single_version,
    }
}

fn reward_attempts<P: Platform>(node: &Node<P>, submission: &Submission) -> u32 {
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
    host: &str,
    path: &str,
    submission: Submission,
) -> Acceptance {
    let duty = duty_of(submission.model.as_deref().unwrap_or(path));
    let owner = peers::first_for(node, &duty);
    let Some(owner) = owner.filter(|_| node.batches.get(id).is_none()) else {
        return accept(node, id, host, path, submission).await;
    };
    let call = PeerCall::Submit {
        batch: id.to_owned(),
        host: host.to_owned(),
        path: path.to_owned(),
        submission: Box::new(submission),
    };
    let answer = node.ask_peer(owner, &call, SUBMIT_MAX).await;
    if matches!(answer, Ok(PeerAnswer::Accepted)) {
        return Acceptance::Kept;
    }
    // The batch is created once, whoever does it; so this node may try whatever became of the call.
    let PeerCall::Submit { submission, .. } = call else { unreachable!("it was made above") };
    accept(node, id, host, path, *submission).await
}

/// Accepts a submission: writes it to the store, and owns it.
pub(crate) async fn accept<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    host: &str,
    path: &str,
    submission: Submission,
) -> Acceptance {
    if node.batches.get(id).is_some() {
        return Acceptance::Kept;
    }
    let Some(owner) = peers::me(node) else {
        return Acceptance::Unknown(StoreRefusal {
            message: "this node has not joined yet".to_owned(),
            verdict: Verdict::NotRun,
        });
    };
    let head = Head {
        accepted_at_unix_ms: UnixMs::from_wall_clock().0,
        ended: false,
        host: host.to_owned(),
        owner,
        path: path.to_owned(),
        total: submission.items.len(),
    };
    let call = match creation(node, id, &head, &submission) {
        Ok(call) => call,
        Err(refusal) => return Acceptance::Unknown(refusal),
    };
    let accepted_at = clock::now();
    let mut failure = None;
    for _ in 0..ACCEPT_TRIES {
        match node.store(&call).await {
            Ok(StoreAnswer::Committed { revision }) => {
                let source =
                    Source { head, head_revision: revision, submission, texts: Vec::new() };
                own(node, id, source, accepted_at, 0, &[]);
                return Acceptance::Kept;
            }
            Ok(StoreAnswer::Conflict { items }) => {
                return known_already(node, id, &head, submission, accepted_at, &items);
            }
            Ok(other) => failure = Some(unexpected(&other)),
            Err(refusal) if refusal.verdict == Verdict::NotRun && failure.is_none() => {
                return Acceptance::Unknown(refusal);
            }
            Err(refusal) => failure = Some(refusal),
        }
        sleep(RETRY).await;
    }
    let verdict = Verdict::MayHaveRun;
    let message = failure.map_or_else(String::new, |refusal| refusal.message);
    Acceptance::Unknown(StoreRefusal { message, verdict })
}

/// The transaction that creates a batch: all of it or nothing, once.
fn creation<P: Platform>(
    node: &Node<P>,
    id: &str,
    head: &Head,
    submission: &Submission,
) -> Result<StoreCall, StoreRefusal> {
    let body = encode(submission)?;
    let mut puts = vec![Put { key: head_key(id), lease: None, value: encode(head)? }];
    for (number, part) in body.chunks(part_max_bytes(node)).enumerate() {
        puts.push(Put { key: part_key(id, number), lease: None, value: part.to_vec() });
    }
    if puts.len() > TRANSACTION_MAX_KEYS {
        let message = format!("a submission of {} bytes is too large to keep", body.len());
        return Err(StoreRefusal { message, verdict: Verdict::NotRun });
    }
    let expected = vec![Expectation { key: head_key(id), revision: 0 }];
    Ok(StoreCall::Transaction { deletes: Vec::new(), expected, puts })
}

/// The head is there already: of an earlier submission, or of our own call whose answer was lost.
fn known_already<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    head: &Head,
    submission: Submission,
    accepted_at: UnixMs,
    items: &[StoredItem],
) -> Acceptance {
    let key = head_key(id);
    let found = items.iter().find(|item| item.key == key);
    let stored = found.and_then(|item| postcard::from_bytes::<Head>(&item.value).ok());
    if let (Some(stored), Some(item)) = (stored, found) {
        if stored == *head && node.batches.get(id).is_none() {
            let source = Source {
                head: stored,
                head_revision: item.revision,
                submission,
                texts: Vec::new(),
            };
            own(node, id, source, accepted_at, 0, &[]);
        } else {
            node.batches.note_owner(id, stored.owner);
        }
    }
    Acceptance::Kept
}

/// What a batch is opened from.
struct Source {
    head: Head,
    head_revision: u64,
    submission: Submission,
    /// What a former owner had of its items' texts.
    texts: Vec<(String, Progress)>,
}

/// Opens a batch as its owner and starts to run and to write it.
fn own<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    source: Source,
    accepted_at: UnixMs,
    slack_ms: u64,
    chunks: &[Chunk],
) {
    if node.batches.get(id).is_some() {
        return;
    }
    let Source { head, head_revision, submission, texts } = source;
    let route =
        node.document().and_then(|document| document.route(&head.host, &head.path).cloned());
    let Some(route) = route else {
        node.note("batch_without_route", json!({ "request": id, "host": head.host }));
        return;
    };
    let terms = terms(&route, reward_attempts(node, &submission), accepted_at, slack_ms);
    let mut line = json!({
        "request": id, "items": submission.items.len(), "model": submission.model,
        "step": submission.step, "oldest_version": submission.oldest_version,
        "target_groups": submission.target_groups, "chunks": chunks.len(),
        "head_revision": head_revision, "route": route.name,
    });
    let (batch, resumed) = open_batch(node, submission, terms, chunks, texts);
    line["resumed"] = json!(resumed);
    node.note("batch_owned", line);
    let held = Rc::new(RefCell::new(Held {
        accepted_at,
        batch,
        changed: Rc::new(Notify::new()),
        doubted: false,
        finished: Rc::new(Notify::new()),
        group_targets: IndexMap::new(),
        head,
        head_revision,
        id: id.to_owned(),
        owned: true,
        runs: IndexMap::new(),
        settled_at: None,
        taken_over: slack_ms > 0,
    }));
    node.batches.owned.borrow_mut().insert(id.to_owned(), Rc::clone(&held));
    node.metrics.batches_open.set(node.batches.owned.borrow().len() as i64);
    if let Some(owner) = peers::me(node) {
        peers::tell_all(node, &Datagram::BatchOwned { batch: id.to_owned(), owner });
    }
    node.work.notify_one();
    tokio::task::spawn_local(write_results(Rc::clone(node), Rc::clone(&held)));
    tokio::task::spawn_local(save_texts(Rc::clone(node), held));
}

/// Saves the texts of runs in progress from time to time, for an owner that follows.
async fn save_texts<P: Platform>(node: Rc<Node<P>>, held: Rc<RefCell<Held>>) {
    let mut saved = 0;
    loop {
        sleep(SAVE_EVERY).await;
        let (id, texts) = {
            let held = held.borrow();
            if !held.owned || held.batch.is_ended() || held.batch.is_settled() {
                return;
            }
            (held.id.clone(), held.texts(SAVE_AFTER_MS))
        };
        let events: u64 = texts.iter().filter_map(|(_, progress)| progress.last_event_id).sum();
        if events == saved {
            continue;
        }
        saved = events;
        let Ok(value) = encode(&texts) else { return };
        if value.len() > part_max_bytes(&node) {
            continue;
        }
        let puts = vec![Put { key: texts_key(&id), lease: None, value }];
        let call = StoreCall::Transaction { deletes: Vec::new(), expected: Vec::new(), puts };
        if let Err(refusal) = node.store(&call).await {
            node.note("texts_unsaved", json!({ "request": id, "why": refusal.message }));
        }
    }
}

/// Opens a batch with what is durable of it, and with the texts that an earlier batch left of its
/// items; returns how many of those fit.
fn open_batch<P: Platform>(
    node: &Node<P>,
    submission: Submission,
    terms: BatchTerms,
    chunks: &[Chunk],
    texts: Vec<(String, Progress)>,
) -> (Batch, usize) {
    let mut leftovers = node.batches.leftovers.borrow_mut();
    let now = clock::now();
    leftovers.texts.retain(|_, (_, at)| now.since_ms(*at) < LEFTOVER_KEPT_MS);
    leftovers.groups.retain(|_, at| now.since_ms(*at) < LEFTOVER_KEPT_MS);
    let ids: Vec<String> = submission.items.iter().map(|item| item.id.clone()).collect();
    let mut batch = Batch::open(submission, terms, |group| leftovers.groups.contains_key(group));
    for chunk in chunks {
        batch.merge(chunk);
    }
    let mut resumed = 0;
    for (id, progress) in texts {
        resumed += usize::from(batch.resume_from(&id, progress));
    }
    for id in ids {
        if let Some((progress, _)) = leftovers.texts.swap_remove(&id)
            && batch.resume_from(&id, progress)
        {
            resumed += 1;
        }
    }
    (batch, resumed)
}

/// Keeps what an ended batch leaves of its items: a later one may ask for the same ones.
fn keep_leftovers<P: Platform>(node: &Node<P>, held: &mut Held) {
    let now = clock::now();
    let mut leftovers = node.batches.leftovers.borrow_mut();
    for group in held.batch.incomplete_groups() {
        leftovers.groups.insert(group, now);
    }
    for (id, progress) in held.batch.take_progress() {
        leftovers.texts.insert(id, (progress, now));
    }
}

/// Writes the results of a batch as they come, until it is settled or another owns it.
async fn write_results<P: Platform>(node: Rc<Node<P>>, held: Rc<RefCell<Held>>) {
    let finished = Rc::clone(&held.borrow().finished);
    loop {
        if !held.borrow().owned {
            return;
        }
        let waits = held.borrow_mut().batch.chunk_to_write(part_max_bytes(&node)).is_none();
        if waits {
            if held.borrow().batch.is_settled() {
                held.borrow_mut().settled_at.get_or_insert_with(clock::now);
                return;
            }
            finished.notified().await;
            let (waiting, running, _) = held.borrow().batch.counts();
            let total = held.borrow().batch.submission().items.len();
            if (waiting + running) * TAIL_PART > total {
                sleep(GATHER).await;
            } else if waiting + running > 0 {
                sleep(GATHER_TAIL).await;
            }
            continue;
        }
        if !write_chunk(&node, &held).await {
            sleep(RETRY).await;
        }
    }
}

/// Writes the next chunk; returns false when it must be tried again.
async fn write_chunk<P: Platform>(node: &Rc<Node<P>>, held: &Rc<RefCell<Held>>) -> bool {
    let (id, chunk, call) = {
        let mut held = held.borrow_mut();
        let revision = held.head_revision;
        let id = held.id.clone();
        let Some(chunk) = held.batch.chunk_to_write(part_max_bytes(node)).cloned() else {
            return true;
        };
        let Ok(value) = encode(&chunk) else { return false };
        let key = chunk_key(&id, chunk.number);
        let expected = vec![
            Expectation { key: key.clone(), revision: 0 },
            Expectation { key: head_key(&id), revision },
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

fn listed<P: Platform>(node: &Node<P>, held: &RefCell<Held>, chunk: &Chunk, revision: u64) {
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

/// Another has written the chunk or changed the head: takes what is there.
fn resolve_conflict<P: Platform>(node: &Node<P>, held: &RefCell<Held>, items: &[StoredItem]) {
    for item in items {
        if item.revision == 0 {
            continue;
        }
        if item.key.starts_with(HEADS) {
            match postcard::from_bytes::<Head>(&item.value) {
                Ok(head) => take_head(node, held, head, item.revision),
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

fn unreadable<P: Platform>(node: &Node<P>, item: &StoredItem, error: &postcard::Error) {
    node.note("own_key_unreadable", json!({ "key": item.key, "why": error.to_string() }));
}

/// Takes a batch's head as it stands in the store.
fn take_head<P: Platform>(node: &Node<P>, held: &RefCell<Held>, head: Head, revision: u64) {
    let me = peers::me(node);
    let mut held = held.borrow_mut();
    held.head_revision = revision;
    if head.ended && !held.batch.is_ended() {
        held.batch.end();
        held.stop_runs();
        keep_leftovers(node, &mut held);
    }
    if me.as_ref() != Some(&head.owner) {
        held.owned = false;
        held.stop_runs();
        let id = held.id.clone();
        node.batches.owned.borrow_mut().swap_remove(&id);
        node.batches.note_owner(&id, head.owner.clone());
        node.note(
            "batch_lost",
            json!({ "request": id, "owner": head.owner.node, "head_revision": revision }),
        );
    }
    held.head = head;
}

/// Takes the word that a batch has another owner: asks the store whether it is so.
pub(crate) fn told_owner<P: Platform>(node: &Rc<Node<P>>, batch: &str, owner: Owner) {
    match node.batches.get(batch) {
        Some(held) => doubt(node, &held),
        None => node.batches.note_owner(batch, owner),
    }
}

/// Takes the word that a batch is ended, which is only given once that is durable.
pub(crate) fn told_ended<P: Platform>(node: &Rc<Node<P>>, batch: &str) {
    let Some(held) = node.batches.get(batch) else { return };
    {
        let mut held = held.borrow_mut();
        if held.batch.is_ended() {
            return;
        }
        held.batch.end();
        held.stop_runs();
        keep_leftovers(node, &mut held);
        held.finished.notify_one();
        held.changed.notify_waiters();
    }
    node.note("batch_ended_elsewhere", json!({ "request": batch }));
    doubt(node, &held);
}

/// Asks the store whether this node still owns its batches, after a sign that others may have
/// taken it for dead.
pub(crate) fn doubt_all<P: Platform>(node: &Rc<Node<P>>) {
    let all: Vec<Rc<RefCell<Held>>> = node.batches.owned.borrow().values().cloned().collect();
    node.note("ownership_doubted", json!({ "batches": all.len() }));
    for held in all {
        doubt(node, &held);
    }
}

fn doubt<P: Platform>(node: &Rc<Node<P>>, held: &Rc<RefCell<Held>>) {
    if std::mem::replace(&mut held.borrow_mut().doubted, true) {
        return;
    }
    let (node, held) = (Rc::clone(node), Rc::clone(held));
    tokio::task::spawn_local(async move {
        loop {
            let id = held.borrow().id.clone();
            match read_head(&node, &id).await {
                Ok(Some((head, revision))) => {
                    take_head(&node, &held, head, revision);
                    held.borrow_mut().doubted = false;
                    return;
                }
                Ok(None) => return,
                Err(_) => sleep(RETRY).await,
            }
        }
    });
}

/// Reads results of a batch that this node owns; waits up to `wait_ms` for the first.
pub(crate) async fn read_owned<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    after: usize,
    wait_ms: u64,
) -> Option<(usize, Vec<ItemResult>)> {
    let held = node.batches.get(batch)?;
    let until = clock::now().plus(wait_ms);
    loop {
        let changed = Rc::clone(&held.borrow().changed);
        let changed = changed.notified();
        {
            let held = held.borrow();
            if !held.owned || held.doubted {
                return None;
            }
            let page = held.batch.page(after, PAGE_MAX_BYTES);
            let total = held.batch.submission().items.len();
            let left_ms = until.since_ms(clock::now());
            let over = after >= total || held.batch.is_ended() || left_ms == 0;
            if !page.is_empty() || over {
                return Some((total, page.to_vec()));
            }
        }
        let left_ms = until.since_ms(clock::now());
        // Over or not, the page is looked at once more.
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
    Unsure(String),
}

/// Reads results of any batch.
pub(crate) async fn read<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    after: usize,
    wait_ms: u64,
) -> Lookup<(usize, Vec<ItemResult>)> {
    if let Some(page) = read_owned(node, batch, after, wait_ms).await {
        return Lookup::Found(page);
    }
    let call = PeerCall::Read { after, batch: batch.to_owned(), wait_ms };
    let asked = ask_owner(node, batch, &call, wait_ms).await;
    let head = match asked {
        Asked::Answer(PeerAnswer::Page { results, total }) => {
            return Lookup::Found((total, results));
        }
        Asked::Answer(_) => return Lookup::Unsure("the owner cannot tell".to_owned()),
        Asked::Head(head, _) => head,
        Asked::Missing => return Lookup::Missing,
        Asked::Unsure(why) => return Lookup::Unsure(why),
    };
    match feed::read_whole(node, &chunk_prefix(batch)).await {
        Ok((items, _)) => Lookup::Found((head.total, page_of_chunks(node, &items, after))),
        Err(refusal) => Lookup::Unsure(refusal.message),
    }
}

fn chunks_of<P: Platform>(node: &Node<P>, items: &[StoredItem]) -> Vec<Chunk> {
    let mut chunks: Vec<Chunk> = Vec::new();
    for item in items {
        match postcard::from_bytes(&item.value) {
            Ok(chunk) => chunks.push(chunk),
            Err(error) => unreadable(node, item, &error),
        }
    }
    chunks.sort_by_key(|chunk| chunk.number);
    chunks
}

fn page_of_chunks<P: Platform>(
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
enum Asked {
    Answer(PeerAnswer),
    /// The owner cannot be asked; this is the batch's head and its revision.
    Head(Head, u64),
    Missing,
    Unsure(String),
}

/// Asks the owner that this node was told of, else the one that the store names.
async fn ask_owner<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    call: &PeerCall,
    wait_ms: u64,
) -> Asked {
    let max = Duration::from_millis(wait_ms) + OWNER_SLACK;
    let told = node.batches.owners.borrow().get(batch).cloned();
    if let Some(owner) = &told
        && let Some(answer) = ask_one(node, owner, call, max).await
    {
        return Asked::Answer(answer);
    }
    let (head, revision) = match read_head(node, batch).await {
        Ok(Some(found)) => found,
        Ok(None) => return Asked::Missing,
        Err(refusal) => return Asked::Unsure(refusal.message),
    };
    node.batches.note_owner(batch, head.owner.clone());
    if told.as_ref() != Some(&head.owner)
        && let Some(answer) = ask_one(node, &head.owner, call, max).await
    {
        return Asked::Answer(answer);
    }
    Asked::Head(head, revision)
}

async fn ask_one<P: Platform>(
    node: &Rc<Node<P>>,
    owner: &Owner,
    call: &PeerCall,
    max: Duration,
) -> Option<PeerAnswer> {
    if peers::me(node).as_ref() == Some(owner) {
        return None;
    }
    if peers::life_of(node, owner) == Life::Over {
        return None;
    }
    match node.ask_peer(owner.address, call, max).await {
        Ok(PeerAnswer::NotOwner) => None,
        Ok(answer) => Some(answer),
        Err(error) => {
            node.note(
                "owner_unreachable",
                json!({ "owner": owner.node, "why": error.message,
                        "reached": !peers::never_reached(&error) }),
            );
            None
        }
    }
}

async fn read_head<P: Platform>(
    node: &Node<P>,
    batch: &str,
) -> Result<Option<(Head, u64)>, StoreRefusal> {
    match node.store(&StoreCall::Get { key: head_key(batch) }).await? {
        StoreAnswer::Item(None) => Ok(None),
        StoreAnswer::Item(Some(item)) => match postcard::from_bytes(&item.value) {
            Ok(head) => Ok(Some((head, item.revision))),
            Err(error) => Err(StoreRefusal { message: error.to_string(), verdict: Verdict::Ran }),
        },
        other => Err(unexpected(&other)),
    }
}

/// Ends a batch that this node owns: at once here, then in the store, then confirmed.
pub(crate) async fn end_owned<P: Platform>(node: &Rc<Node<P>>, batch: &str) -> PeerAnswer {
    let Some(held) = node.batches.get(batch) else { return PeerAnswer::NotOwner };
    {
        let mut held = held.borrow_mut();
        if !held.batch.is_ended() {
            held.batch.end();
            held.stop_runs();
            keep_leftovers(node, &mut held);
            let (waiting, running, finished) = held.batch.counts();
            node.note(
                "batch_ended",
                json!({
                    "request": batch, "listed": held.batch.listed_count(), "waiting": waiting,
                    "running": running, "finished": finished,
                    "ms": clock::now().since_ms(held.accepted_at),
                }),
            );
            held.finished.notify_one();
            held.changed.notify_waiters();
        }
        if held.head.ended {
            return PeerAnswer::Ended;
        }
    }
    for _ in 0..ACCEPT_TRIES {
        let (head, revision) = {
            let held = held.borrow();
            (Head { ended: true, ..held.head.clone() }, held.head_revision)
        };
        match write_head(node, batch, &head, revision).await {
            Ok(HeadWrite::Done(revision)) => {
                take_head(node, &held, head, revision);
                if held.borrow().taken_over {
                    tell_ended(node, batch);
                }
                return PeerAnswer::Ended;
            }
            Ok(HeadWrite::Changed(found, revision)) => {
                let ended = found.ended;
                take_head(node, &held, found, revision);
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

/// How a write of a head went.
enum HeadWrite {
    Changed(Head, u64),
    Done(u64),
}

async fn write_head<P: Platform>(
    node: &Node<P>,
    batch: &str,
    head: &Head,
    revision: u64,
) -> Result<HeadWrite, StoreRefusal> {
    let key = head_key(batch);
    let call = StoreCall::Transaction {
        deletes: Vec::new(),
        expected: vec![Expectation { key: key.clone(), revision }],
        puts: vec![Put { key, lease: None, value: encode(head)? }],
    };
    match node.store(&call).await? {
        StoreAnswer::Committed { revision } => Ok(HeadWrite::Done(revision)),
        StoreAnswer::Conflict { items } => {
            let item = items.first().ok_or_else(|| StoreRefusal {
                message: "a conflict without a key".to_owned(),
                verdict: Verdict::Ran,
            })?;
            let found = postcard::from_bytes(&item.value).map_err(|error| StoreRefusal {
                message: error.to_string(),
                verdict: Verdict::Ran,
            })?;
            Ok(HeadWrite::Changed(found, item.revision))
        }
        other => Err(unexpected(&other)),
    }
}

/// Ends any batch.
pub(crate) async fn end<P: Platform>(node: &Rc<Node<P>>, batch: &str) -> Lookup<()> {
    match end_owned(node, batch).await {
        PeerAnswer::Ended => return Lookup::Found(()),
        PeerAnswer::Unavailable => return Lookup::Unsure("the store did not take it".to_owned()),
        _ => {}
    }
    let call = PeerCall::End { batch: batch.to_owned() };
    let (head, revision) = match ask_owner(node, batch, &call, 0).await {
        Asked::Answer(PeerAnswer::Ended) => return Lookup::Found(()),
        Asked::Answer(_) => return Lookup::Unsure("the owner could not write it".to_owned()),
        Asked::Head(head, revision) => (head, revision),
        Asked::Missing => return Lookup::Missing,
        Asked::Unsure(why) => return Lookup::Unsure(why),
    };
    if head.ended {
        return Lookup::Found(());
    }
    let ended = Head { ended: true, ..head };
    match write_head(node, batch, &ended, revision).await {
        Ok(HeadWrite::Done(_)) => {
            node.note(
                "batch_ended_for_owner",
                json!({ "request": batch, "owner": ended.owner.node }),
            );
            tell_ended(node, batch);
            Lookup::Found(())
        }
        Ok(HeadWrite::Changed(found, _)) if found.ended => Lookup::Found(()),
        Ok(HeadWrite::Changed(..)) => Lookup::Unsure("the owner is changing".to_owned()),
        Err(refusal) => Lookup::Unsure(refusal.message),
    }
}

/// Tells all nodes that a batch is ended: one that owned it may live, cut off from the store or
/// from us alone, and would run items on that nobody wants. Datagrams are lost at times.
fn tell_ended<P: Platform>(node: &Rc<Node<P>>, batch: &str) {
    const TIMES: u32 = 3;
    let datagram = Datagram::BatchEnded { batch: batch.to_owned() };
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        for _ in 0..TIMES {
            peers::tell_all(&node, &datagram);
            sleep(TELL_AGAIN).await;
        }
    });
}

/// Reads the body of an item of a batch that this node owns.
pub(crate) fn item_body_owned<P: Platform>(node: &Node<P>, batch: &str, item: &str) -> PeerAnswer {
    let Some(held) = node.batches.get(batch) else { return PeerAnswer::NotOwner };
    let held = held.borrow();
    match held.batch.item(item) {
        Some(item) => PeerAnswer::Body(item.body.clone()),
        None => PeerAnswer::NoItem,
    }
}

/// Reads the body of an item of any batch.
pub(crate) async fn item_body<P: Platform>(
    node: &Rc<Node<P>>,
    batch: &str,
    item: &str,
) -> Lookup<Vec<u8>> {
    match item_body_owned(node, batch, item) {
        PeerAnswer::Body(body) => return Lookup::Found(body),
        PeerAnswer::NoItem => return Lookup::Missing,
        _ => {}
    }
    let call = PeerCall::ItemBody { batch: batch.to_owned(), item: item.to_owned() };
    match ask_owner(node, batch, &call, 0).await {
        Asked::Answer(PeerAnswer::Body(body)) => Lookup::Found(body),
        Asked::Answer(PeerAnswer::NoItem) | Asked::Missing => Lookup::Missing,
        Asked::Answer(_) => Lookup::Unsure("the owner cannot tell".to_owned()),
        Asked::Unsure(why) => Lookup::Unsure(why),
        Asked::Head(..) => match read_submission(node, batch).await {
            Ok(kept) => kept
                .submission
                .items
                .into_iter()
                .find(|candidate| candidate.id == item)
                .map_or(Lookup::Missing, |item| Lookup::Found(item.body)),
            Err(refusal) => Lookup::Unsure(refusal.message),
        },
    }
}

/// What the store keeps of a batch.
struct Kept {
    chunks: Vec<Chunk>,
    submission: Submission,
    texts: Vec<(String, Progress)>,
}

/// Reads a submission, its results and the texts that were begun from the store.
async fn read_submission<P: Platform>(node: &Node<P>, batch: &str) -> Result<Kept, StoreRefusal> {
    let (items, _) = feed::read_whole(node, &format!("{DATA}{batch}/")).await?;
    let (chunk_prefix, texts_key) = (chunk_prefix(batch), texts_key(batch));
    let (chunks, others): (Vec<StoredItem>, Vec<StoredItem>) =
        items.into_iter().partition(|item| item.key.starts_with(&chunk_prefix));
    let (texts, parts): (Vec<StoredItem>, Vec<StoredItem>) =
        others.into_iter().partition(|item| item.key == texts_key);
    let body: Vec<u8> = parts.into_iter().flat_map(|part| part.value).collect();
    let submission = postcard::from_bytes(&body).map_err(|error| StoreRefusal {
        message: format!("batch {batch}: {error}"),
        verdict: Verdict::Ran,
    })?;
    let texts = texts.first().and_then(|item| {
        let texts = postcard::from_bytes(&item.value);
        texts.inspect_err(|error| unreadable(node, item, error)).ok()
    });
    let texts = texts.unwrap_or_default();
    Ok(Kept { chunks: chunks_of(node, &chunks), submission, texts })
}

/// Looks for batches that nobody runs, and takes those that fall to this node.
pub(crate) async fn adopt_orphans<P: Platform>(node: Rc<Node<P>>) {
    node.batches.started_at.set(clock::now());
    sleep(SETTLE).await;
    let mut at_once = true;
    loop {
        if !node.leaving.get() {
            sweep(&node, !at_once).await;
        }
        forget_old(&node).await;
        at_once = timeout(SWEEP, node.batches.orphaned.notified()).await.is_ok();
    }
}

async fn sweep<P: Platform>(node: &Rc<Node<P>>, may_be_old: bool) {
    let mut after = String::new();
    loop {
        let call = StoreCall::Range { after, may_be_old, prefix: HEADS.to_owned() };
        let Ok(StoreAnswer::Items { items, truncated, .. }) = node.store(&call).await else {
            return;
        };
        for item in &items {
            consider(node, item);
        }
        match items.last() {
            Some(last) if truncated => after = last.key.clone(),
            _ => return,
        }
    }
}

fn consider<P: Platform>(node: &Rc<Node<P>>, item: &StoredItem) {
    let Some(id) = item.key.strip_prefix(HEADS) else { return };
    let head: Head = match postcard::from_bytes(&item.value) {
        Ok(head) => head,
        Err(error) => return unreadable(node, item, &error),
    };
    if node.batches.get(id).is_some() {
        return;
    }
    node.batches.note_owner(id, head.owner.clone());
    let mine = peers::me(node).is_some_and(|me| me == head.owner);
    let falls_here = mine || (is_dead(node, &head.owner) && peers::is_first_for(node, id));
    if head.ended || !falls_here || !node.batches.taking.borrow_mut().insert(id.to_owned()) {
        return;
    }
    let (node, id) = (Rc::clone(node), id.to_owned());
    tokio::task::spawn_local(async move {
        if let Err(refusal) = take_over(&node, &id, Vec::new()).await {
            node.note("batch_untaken", json!({ "request": id, "why": refusal.message }));
            node.batches.orphaned.notify_one();
        }
        node.batches.taking.borrow_mut().swap_remove(&id);
    });
}

/// Tells whether an owner is dead. One that nothing was heard of is not, until this node has been
/// there long enough to have heard of all: after a restart of the whole fleet each node's view is
/// partial for a moment, and owners that live would lose their batches over and over.
fn is_dead<P: Platform>(node: &Node<P>, owner: &Owner) -> bool {
    match peers::life_of(node, owner) {
        Life::Over => true,
        Life::GoesOn => false,
        Life::Unheard => clock::now().since_ms(node.batches.started_at.get()) > UNHEARD_MAX_MS,
    }
}

/// Becomes the owner of a batch, by its head as it stands now.
async fn take_over<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    texts_given: Vec<(String, Progress)>,
) -> Result<(), StoreRefusal> {
    let Some(me) = peers::me(node) else { return Ok(()) };
    let Some((head, revision)) = read_head(node, id).await? else { return Ok(()) };
    if head.ended || (head.owner != me && !is_dead(node, &head.owner)) {
        node.batches.note_owner(id, head.owner);
        return Ok(());
    }
    let was = head.owner.clone();
    let head = Head { owner: me, ..head };
    let revision = match write_head(node, id, &head, revision).await? {
        HeadWrite::Done(revision) => revision,
        HeadWrite::Changed(found, revision) if found == head => revision,
        HeadWrite::Changed(found, _) => {
            node.batches.note_owner(id, found.owner);
            return Ok(());
        }
    };
    let Kept { chunks, submission, texts } = read_submission(node, id).await?;
    let age_ms = UnixMs::from_wall_clock().since_ms(UnixMs(head.accepted_at_unix_ms));
    let now = clock::now();
    let accepted_at = UnixMs(now.0.saturating_sub(age_ms));
    node.note(
        "batch_taken_over",
        json!({ "request": id, "from": was.node, "from_incarnation": was.incarnation.0,
                "age_ms": age_ms, "head_revision": revision }),
    );
    let texts = if texts_given.is_empty() { texts } else { texts_given };
    let source = Source { head, head_revision: revision, submission, texts };
    own(node, id, source, accepted_at, SKEW_MAX_MS, &chunks);
    Ok(())
}

/// Gives all batches with work left to live peers, with the texts that were begun; for a planned
/// stop.
pub(crate) async fn hand_over_all<P: Platform>(node: Rc<Node<P>>) {
    for held in node.batches.open() {
        hand_over(&node, &held).await;
    }
}

async fn hand_over<P: Platform>(node: &Rc<Node<P>>, held: &Rc<RefCell<Held>>) {
    let texts = {
        let mut held = held.borrow_mut();
        let texts = held.texts(0);
        held.stop_runs();
        texts
    };
    while held.borrow_mut().batch.chunk_to_write(part_max_bytes(node)).is_some() {
        if !write_chunk(node, held).await {
            return;
        }
    }
    let (id, model, head, revision) = {
        let held = held.borrow();
        if !held.owned {
            return;
        }
        let model = held.batch.submission().model.clone();
        (held.id.clone(), model, held.head.clone(), held.head_revision)
    };
    let duty = duty_of(model.as_deref().unwrap_or(&head.path));
    let Some(successor) = peers::successor_for(node, &duty) else { return };
    let head = Head { owner: successor.clone(), ..head };
    match write_head(node, &id, &head, revision).await {
        Ok(HeadWrite::Done(revision) | HeadWrite::Changed(_, revision)) => {
            take_head(node, held, head, revision);
            node.note("batch_handed_over", json!({ "request": id, "to": successor.node }));
            let call = PeerCall::Adopt { batch: id, texts };
            // A lost call is made good by the successor's own search.
            drop(node.ask_peer(successor.address, &call, OWNER_SLACK).await);
        }
        Err(refusal) => {
            node.note("batch_not_handed_over", json!({ "request": id, "why": refusal.message }));
        }
    }
}

fn duty_of(model: &str) -> String {
    format!("batches/{model}")
}

/// Takes a batch that its owner gives to this node.
pub(crate) fn adopt<P: Platform>(
    node: &Rc<Node<P>>,
    batch: String,
    texts: Vec<(String, Progress)>,
) {
    if node.batches.get(&batch).is_some() || !node.batches.taking.borrow_mut().insert(batch.clone())
    {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        if let Err(refusal) = take_over(&node, &batch, texts).await {
            node.note("batch_untaken", json!({ "request": batch, "why": refusal.message }));
        }
        node.batches.taking.borrow_mut().swap_remove(&batch);
    });
}

/// Gives up items whose time is over, and forgets batches that nobody reads any more.
async fn forget_old<P: Platform>(node: &Rc<Node<P>>) {
    let now = clock::now();
    let all: Vec<Rc<RefCell<Held>>> = node.batches.owned.borrow().values().cloned().collect();
    for held in all {
        let old = held.borrow().settled_at.is_some_and(|at| now.since_ms(at) > KEPT_MS);
        if old {
            forget(node, &held).await;
        }
    }
}

async fn forget<P: Platform>(node: &Rc<Node<P>>, held: &Rc<RefCell<Held>>) {
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
    let deletes = vec![head_key(&id)];
    let call = StoreCall::Transaction { deletes, expected: Vec::new(), puts: Vec::new() };
    if node.store(&call).await.is_ok() {
        held.borrow_mut().owned = false;
        node.batches.owned.borrow_mut().swap_remove(&id);
        node.batches.owners.borrow_mut().swap_remove(&id);
        count(&node.metrics.item_runs, "batch_forgotten");
    }
}
