//! Second runs of items that a trainer will probably leave, for the batch in which they come again.
//!
//! A second run is no part of its batch: it only keeps a text under newer weights, and goes on when
//! the batch ends. The batch in which its item comes again takes the text and goes on from there.

use super::stream::{RunEnd, RunTerms, fingerprint, run};
use crate::batches::LocalBatch;
use crate::clock;
use crate::crashes;
use crate::forward::{ChosenTarget, InFlight};
use crate::metrics::count;
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_dispatch::{CallOutcome, Candidate, Progress, TargetEntry, group_of};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::task::AbortHandle;

/// How long a second run may take, and how long its text is kept: two steps of a trainer.
const SECOND_MAX_MS: u64 = 16_000;
/// Second runs at once, for all batches of this node: an eighth of two steps of a hundred items. Each
/// adds a hundredth to the time of the others at its target.
const SECONDS_AT_ONCE: usize = 24;

/// The part of a target's slots, in percent, that may be taken when a second run starts there: the
/// rest is for items that trainers wait for now, of which a quarter of a step starts at each target.
const SECOND_SLOTS_PERCENT: u32 = 75;

/// A second run.
#[derive(Debug)]
pub(crate) struct SecondRun {
    /// The batch in which its item is open, or was.
    pub batch: String,
    /// Its item.
    pub item: String,
    progress: Rc<RefCell<Progress>>,
    running: Rc<Cell<bool>>,
    stop_by: UnixMs,
    /// Where it runs.
    pub target: String,
    task: AbortHandle,
    workspace: Option<String>,
}

/// All second runs of this node, by item.
#[derive(Debug, Default)]
pub(crate) struct SecondRuns(RefCell<IndexMap<String, SecondRun>>);

impl SecondRuns {
    /// Stops the runs for which `is_needless` holds, and forgets their texts.
    pub(crate) fn stop_where(&self, is_needless: impl Fn(&SecondRun) -> bool) {
        self.0.borrow_mut().retain(|_, second| {
            let needless = is_needless(second);
            if needless {
                second.task.abort();
            }
            !needless
        });
    }

    /// Stops an item's second run for a workspace and returns its text.
    pub(crate) fn take(&self, item: &str, workspace: Option<&str>) -> Option<Progress> {
        let is_theirs = |second: &SecondRun| second.workspace.as_deref() == workspace;
        let mut held = self.0.borrow_mut();
        if !held.get(item).is_some_and(is_theirs) {
            return None;
        }
        let second = held.swap_remove(item)?;
        second.task.abort();
        let progress = second.progress.borrow().clone();
        progress.is_started().then_some(progress)
    }

    fn is_running(&self, item: &str) -> bool {
        self.0.borrow().get(item).is_some_and(|second| second.running.get())
    }

    fn running_count(&self) -> usize {
        self.0.borrow().values().filter(|second| second.running.get()).count()
    }

    /// Returns what is held of an item's text, to go on from.
    fn text(&self, item: &str) -> Progress {
        let held = self.0.borrow();
        held.get(item).map(|second| second.progress.borrow().clone()).unwrap_or_default()
    }
}

/// Starts second runs of open batches' items where targets have room.
pub(super) fn start_second_runs<P: Platform>(node: &Rc<Node<P>>) {
    let now = clock::now();
    let open = node.batches.open();
    for held in &open {
        let held = held.borrow();
        let taken = held.batch.consumed_groups();
        let is_taken =
            |item: &str| held.batch.item(item).is_some_and(|item| taken.contains(group_of(item)));
        node.batches
            .second_runs
            .stop_where(|second| second.batch == held.id && is_taken(&second.item));
    }
    node.batches.second_runs.stop_where(|second| second.stop_by <= now);
    for held in open {
        let model = held.borrow().batch.submission().model.clone();
        let Some(model) = model else { continue };
        let oldest = held.borrow().batch.submission().oldest_version;
        let next_oldest = node.batches.lookahead.borrow().next_oldest_version(&model, oldest);
        for index in to_redo(&held.borrow(), now, next_oldest) {
            if node.batches.second_runs.running_count() >= SECONDS_AT_ONCE {
                return;
            }
            start(node, &held, index, next_oldest);
        }
    }
}

fn to_redo(held: &LocalBatch, now: UnixMs, next_oldest: u64) -> Vec<usize> {
    let text_version = |index: usize| {
        let run = held.runs.get(&index)?;
        run.progress.borrow().versions.first().copied()
    };
    held.batch.rerun_candidates(now, next_oldest, text_version)
}

fn start<P: Platform>(
    node: &Rc<Node<P>>,
    held: &RefCell<LocalBatch>,
    index: usize,
    next_oldest: u64,
) {
    let (item, batch, terms, first_target) = {
        let held = held.borrow();
        let item = held.batch.submission().items[index].clone();
        let terms = RunTerms { oldest_version: next_oldest, ..RunTerms::of(&held) };
        let target = held.runs.get(&index).map(|run| run.target.clone());
        (item, held.id.clone(), terms, target)
    };
    let progress = node.batches.second_runs.text(&item.id);
    if node.batches.second_runs.is_running(&item.id) || progress.complete {
        return;
    }
    // Digests of all candidates at every look would cost more than what they guard against.
    if crashes::has_evidence(node) && !crashes::is_clear(node, fingerprint(&item, &terms.host)) {
        return;
    }
    let run_ms = node.expected_run_ms(&item, progress.last_event_id);
    let first_target = first_target.as_deref();
    let Some(chosen) = choose(node, &terms, &item.path, &item.id, run_ms, first_target) else {
        return;
    };
    node.note(
        "second_run_started",
        json!({
            "request": item.id, "batch": batch, "target": chosen.id,
            "oldest_version": next_oldest, "last_event": progress.last_event_id,
        }),
    );
    let stop_by = clock::now().plus(SECOND_MAX_MS);
    let terms = RunTerms { give_up_at: stop_by, ..terms };
    let progress = Rc::new(RefCell::new(progress));
    let running = Rc::new(Cell::new(true));
    let in_flight = InFlight::begin_run(node, &chosen.id, clock::now().plus(run_ms));
    let (node_too, progress_too, running_too) =
        (Rc::clone(node), Rc::clone(&progress), Rc::clone(&running));
    let id = item.id.clone();
    let (batch_too, target) = (batch.clone(), chosen.id.clone());
    let task = tokio::task::spawn_local(async move {
        let began_at = clock::now();
        let gap = Cell::new(0);
        let end = run(&node_too, &terms, &item, &progress_too, &chosen, &gap).await;
        let (outcome, why) = match &end {
            RunEnd::Broken { outcome, why } => (*outcome, why.as_str()),
            _ => (CallOutcome::Cancelled, ""),
        };
        in_flight.end(outcome);
        running_too.set(false);
        count(&node_too.metrics.item_runs, "second");
        let text = progress_too.borrow();
        node_too.note(
            "second_run",
            json!({
                "request": item.id, "batch": batch_too, "target": chosen.id, "why": why,
                "whole": text.complete, "versions": text.versions, "last_event": text.last_event_id,
                "oldest_version": terms.oldest_version, "ms": clock::now().since_ms(began_at),
            }),
        );
    });
    let second = SecondRun {
        batch,
        item: id.clone(),
        progress,
        running,
        stop_by,
        target,
        task: task.abort_handle(),
        workspace: held.borrow().origin().workspace.clone(),
    };
    node.batches.second_runs.0.borrow_mut().insert(id, second);
}

/// Leaves a part of a target's slots to the runs that trainers wait for now.
fn leave_room<'a>(pick: &Candidate<'a>) -> Candidate<'a> {
    Candidate { slots: pick.slots * SECOND_SLOTS_PERCENT / 100, ..*pick }
}

/// Chooses a free target whose weights the next batch accepts, other than the first run's.
fn choose<P: Platform>(
    node: &Rc<Node<P>>,
    terms: &RunTerms,
    path: &str,
    item: &str,
    run_ms: u64,
    first_target: Option<&str>,
) -> Option<ChosenTarget> {
    let document = node.document()?;
    let route = document.route(&terms.host, path)?;
    let service = route.service(xxhash_rust::xxh3::xxh3_64(item.as_bytes()))?;
    let model = terms.model.as_deref()?;
    let fits = |entry: &TargetEntry| {
        entry.version(model).is_some_and(|version| version >= terms.oldest_version)
    };
    let draw = node.random_u64();
    let picked = node.pick(service, fits, |load, now, picks| {
        let others: Vec<Candidate<'_>> =
            picks.iter().filter(|pick| Some(pick.id) != first_target).map(leave_room).collect();
        load.choose_with_free_slot(now, &others, None, run_ms, draw).map(|pick| pick.id.to_owned())
    });
    picked.map(|(id, address)| ChosenTarget { address, id })
}
