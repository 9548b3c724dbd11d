//! Trainers, and what they observe of their batches.
//!
//! Some trainers submit a batch until it is accepted. The others make one to three attempts, so
//! that a refusal is the last that they hear of a batch.

use super::super::harness::{Site, submission};
use super::super::worker::Run;
use super::{EVENTS, ITEMS, NOT_RUN, retry_after};
use futures::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// The most attempts of a trainer that does not go on until a batch is accepted.
const FEW_ATTEMPTS_MAX: usize = 3;
/// How long a trainer waits for the answer to an attempt: less or more than a node takes that does
/// not reach the store.
const ANSWER_WITHIN_MS: std::ops::Range<u64> = 1_000..6_000;
/// The time that a trainer has for a batch. It waits for a third of the rest at most to submit the
/// batch again.
const TRAINER_TIME: Duration = Duration::from_secs(12);
/// The pause before the next attempt if the answer names none.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
const READS_MAX: usize = 12;
/// The models of batches. One node owns all batches of a model, and which one differs.
const MODELS: [&str; 2] = ["model-a", "model-b"];

/// An attempt to submit a batch, as its trainer observed it.
#[derive(Debug)]
struct Attempt {
    ended_at: Instant,
    node: usize,
    /// The answer's status; none if there was no answer in time.
    status: Option<u16>,
}

impl Attempt {
    /// Returns whether the answer promises that no part of the batch runs.
    fn is_refused(&self) -> bool {
        self.status.is_some_and(|status| NOT_RUN.contains(&status))
    }

    fn is_accepted(&self) -> bool {
        self.status == Some(202)
    }
}

/// A batch, as its trainer observed it.
#[derive(Default)]
struct Batch {
    attempts: Vec<Attempt>,
    /// The ids of its items and their scoring calls.
    requests: BTreeSet<String>,
    results: Vec<Value>,
}

impl Batch {
    fn new(submission: &Value) -> Self {
        let items = submission["items"].as_array().expect("items");
        let ids = items.iter().flat_map(|item| [&item["id"], &item["scorerUrl"]["id"]]);
        let requests = ids.map(|id| id.as_str().expect("an id").to_owned()).collect();
        Self { requests, ..Self::default() }
    }

    fn is_accepted(&self) -> bool {
        self.attempts.iter().any(Attempt::is_accepted)
    }

    fn is_refused(&self) -> bool {
        self.attempts.iter().all(Attempt::is_refused)
    }

    /// Returns node and status of each attempt.
    fn answers(&self) -> Vec<(usize, Option<u16>)> {
        self.attempts.iter().map(|attempt| (attempt.node, attempt.status)).collect()
    }

    /// Describes what ran of a refused batch; none if nothing did.
    fn describe_runs(&self, site: &Site, id: &str) -> Option<String> {
        let mut ran: Vec<Run> = site.runs.all();
        ran.retain(|run| self.requests.contains(&run.request));
        let first = ran.iter().min_by_key(|run| run.at)?;
        let last_answer_at = self.attempts.last()?.ended_at;
        let (time, relation) = match first.at.checked_duration_since(last_answer_at) {
            Some(time) => (time, "after"),
            None => (last_answer_at - first.at, "before"),
        };
        Some(format!(
            "{id}: {} runs, the first of {} {time:?} {relation} the last answer; (node, status): \
             {:?}",
            ran.len(),
            first.request,
            self.answers(),
        ))
    }

    /// Counts the refusals by nodes that have left an earlier attempt open.
    fn refusals_after_open(&self) -> usize {
        let mut open = BTreeSet::new();
        let mut count = 0;
        for attempt in &self.attempts {
            if attempt.is_refused() {
                count += usize::from(open.contains(&attempt.node));
            } else {
                open.insert(attempt.node);
            }
        }
        count
    }
}

/// The batches of all trainers.
#[derive(Default)]
pub(super) struct Batches(RefCell<BTreeMap<String, Batch>>);

impl Batches {
    /// Returns the accepted batches with their results that were read.
    pub(super) fn accepted(&self) -> Vec<(String, Vec<Value>)> {
        let batches = self.0.borrow();
        let accepted = batches.iter().filter(|(_, batch)| batch.is_accepted());
        accepted.map(|(id, batch)| (id.clone(), batch.results.clone())).collect()
    }

    /// Returns node and status of each attempt to submit a batch.
    pub(super) fn answers(&self, id: &str) -> Vec<(usize, Option<u16>)> {
        self.update(id, |batch| batch.answers())
    }

    /// Checks that no part of a refused batch has run. Called once nothing can run any more.
    pub(super) fn check_refused(&self, site: &Site, seed: u64) {
        self.print_summary(seed);
        let batches = self.0.borrow();
        let refused = batches.iter().filter(|(_, batch)| batch.is_refused());
        let ran: Vec<String> =
            refused.filter_map(|(id, batch)| batch.describe_runs(site, id)).collect();
        assert!(ran.is_empty(), "seed {seed}: refused batches ran:\n{}", ran.join("\n"));
    }

    fn print_summary(&self, seed: u64) {
        let batches = self.0.borrow();
        let count = |is: fn(&Batch) -> bool| batches.values().filter(|batch| is(batch)).count();
        let after_open: usize = batches.values().map(Batch::refusals_after_open).sum();
        println!(
            "seed {seed} batches: {}, {} accepted, {} refused at each attempt; {after_open} \
             attempts refused by a node that left an earlier one open",
            batches.len(),
            count(Batch::is_accepted),
            count(Batch::is_refused),
        );
    }

    fn add(&self, id: &str, batch: Batch) {
        self.0.borrow_mut().insert(id.to_owned(), batch);
    }

    fn update<T>(&self, id: &str, change: impl FnOnce(&mut Batch) -> T) -> T {
        change(self.0.borrow_mut().get_mut(id).expect("a batch that was added"))
    }
}

/// How often a trainer submits a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Attempts {
    Few,
    UntilAccepted,
}

/// Runs trainers, each with a prefix of the ids of its batches, until `stopped`.
pub(super) async fn run(
    site: &Site,
    batches: &Batches,
    trainers: &[(&str, Attempts)],
    stopped: &Cell<bool>,
    mut rng: StdRng,
) {
    let trainers = trainers.iter().map(|(name, attempts)| {
        let rng = StdRng::seed_from_u64(rng.random());
        Trainer { attempts: *attempts, batches, name, rng, site, stopped }.run()
    });
    join_all(trainers).await;
}

/// A trainer: submits a batch at one node after another, reads its results at others, and goes on
/// with the next step.
struct Trainer<'a> {
    attempts: Attempts,
    batches: &'a Batches,
    /// Prefix of the ids of its batches.
    name: &'a str,
    rng: StdRng,
    site: &'a Site,
    stopped: &'a Cell<bool>,
}

impl Trainer<'_> {
    async fn run(mut self) {
        let mut step = 0;
        while !self.stopped.get() {
            let id = format!("{}{step}", self.name);
            if self.submit(&id).await {
                self.read(&id).await;
            }
            step += 1;
        }
    }

    /// Submits a batch, each time at another node; returns whether it was accepted.
    async fn submit(&mut self, id: &str) -> bool {
        let model = MODELS[self.rng.random_range(0..MODELS.len())];
        let submission = submission_for(model, id);
        self.batches.add(id, Batch::new(&submission));
        let give_up_at = Instant::now() + TRAINER_TIME;
        let attempts = match self.attempts {
            Attempts::Few => self.rng.random_range(1..=FEW_ATTEMPTS_MAX),
            Attempts::UntilAccepted => usize::MAX,
        };
        let first = self.rng.random_range(0..self.site.nodes.len());
        for attempt in 0..attempts {
            let node = (first + attempt) % self.site.nodes.len();
            let (attempt, pause) = self.attempt(node, id, &submission).await;
            let is_accepted = attempt.is_accepted();
            self.batches.update(id, |batch| batch.attempts.push(attempt));
            if is_accepted || self.stopped.get() {
                return is_accepted;
            }
            let left = give_up_at.saturating_duration_since(Instant::now());
            if self.attempts == Attempts::Few && pause > left / 3 {
                return false;
            }
            sleep(pause).await;
        }
        false
    }

    /// Submits a batch once; returns with the outcome how long to wait before the next attempt.
    async fn attempt(&mut self, node: usize, id: &str, batch: &Value) -> (Attempt, Duration) {
        let answer_within = Duration::from_millis(self.rng.random_range(ANSWER_WITHIN_MS));
        let answer = self.site.send_submission(&self.site.nodes[node], id, batch);
        let answer = timeout(answer_within, answer).await.ok().and_then(Result::ok);
        let pause = answer.as_ref().and_then(retry_after).unwrap_or(RETRY_PAUSE);
        let status = answer.map(|answer| answer.status().as_u16());
        (Attempt { ended_at: Instant::now(), node, status }, pause)
    }

    /// Reads the results of a batch as long as a trainer waits for them.
    async fn read(&mut self, id: &str) {
        for _ in 0..READS_MAX {
            let node = &self.site.nodes[self.rng.random_range(0..self.site.nodes.len())];
            // From an earlier position, so that results are read twice and compared.
            let after = self.batches.update(id, |batch| batch.results.len()).saturating_sub(2);
            if let Some(page) = self.site.read(node, id, after).await {
                self.batches.update(id, |batch| record_page(batch, id, after, page));
            }
            if self.batches.update(id, |batch| batch.results.len()) == ITEMS {
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
}

fn submission_for(model: &str, id: &str) -> Value {
    let mut submission = submission(id, ITEMS, EVENTS, 1);
    submission["model"] = model.into();
    for item in submission["items"].as_array_mut().expect("items") {
        item["headers"]["X-Catkinmast-Model"] = model.into();
    }
    submission
}

fn record_page(batch: &mut Batch, id: &str, after: usize, page: Vec<Value>) {
    for (offset, result) in page.into_iter().enumerate() {
        match batch.results.get(after + offset) {
            Some(before) => {
                assert_eq!(*before, result, "{id}: the result at {} changed", after + offset);
            }
            None => batch.results.push(result),
        }
    }
}
