//! Second runs: speculative runs of items that the trainer will probably not use in their batch,
//! for the later batch in which they are submitted again.
//!
//! A second run is not part of its batch: it only generates output under newer weights, and goes on
//! after the batch ends. The batch in which its item is submitted again continues from that output.

use super::stream::{RunEnd, RunSpec, run};
use crate::batches::LocalBatch;
use crate::clock;
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

/// How long a second run may take and its output is kept: two steps of a trainer.
const SECOND_RUN_MAX_MS: u64 = 16_000;
/// Most concurrent second runs for all batches of this node: an eighth of the 200 items of
/// two steps. Each slows the other runs on its target by a hundredth.
const SECOND_RUNS_MAX: usize = 24;

/// How long an item waits after a second run of it broke off or failed, before it may have another.
/// Nobody waits for it yet.
const SECOND_RUN_RETRY_PAUSE_MS: u64 = 1_000;

/// The percentage of a target's slots that may be in use when a second run starts there. The rest
/// is reserved for items that trainers wait for now: a quarter of a step's items start on each
/// target.
const SECOND_RUN_SLOTS_PERCENT: u32 = 75;

/// A second run of an item.
#[derive(Debug)]
pub(crate) struct SecondRun {
    /// The batch that its item belongs to, which may have ended.
    pub batch: String,
    /// The id of its item.
    pub item: String,
    progress: Rc<RefCell<Progress>>,
    /// When its item may have another, once it has ended.
    repeat_at: Rc<Cell<UnixMs>>,
    running: Rc<Cell<bool>>,
    stop_by: UnixMs,
    /// The id of the target on which it runs.
    pub target: String,
    task: AbortHandle,
    workspace: Option<String>,
}

/// All second runs of this node, in progress or finished, by item.
#[derive(Debug, Default)]
pub(crate) struct SecondRuns(RefCell<IndexMap<String, SecondRun>>);

impl SecondRuns {
    /// Stops the runs for which `is_obsolete` returns true, and drops their output.
    pub(crate) fn stop_where(&self, is_obsolete: impl Fn(&SecondRun) -> bool) {
        self.0.borrow_mut().retain(|_, second| {
            let obsolete = is_obsolete(second);
            if obsolete {
                second.task.abort();
            }
            !obsolete
        });
    }

    /// Stops an item's second run and returns its output, if it belongs to the workspace and has
    /// any.
    pub(crate) fn take(&self, item: &str, workspace: Option<&str>) -> Option<Progress> {
        let same_workspace = |second: &SecondRun| second.workspace.as_deref() == workspace;
        let mut runs = self.0.borrow_mut();
        if !runs.get(item).is_some_and(same_workspace) {
            return None;
        }
        let second = runs.swap_remove(item)?;
        second.task.abort();
        let progress = second.progress.borrow().clone();
        progress.is_started().then_some(progress)
    }

    /// Returns whether an item may have a second run, as far as earlier ones are concerned.
    fn may_start(&self, now: UnixMs, item: &str) -> bool {
        let may_follow =
            |second: &SecondRun| !second.running.get() && second.repeat_at.get() <= now;
        self.0.borrow().get(item).is_none_or(may_follow)
    }

    fn running_count(&self) -> usize {
        self.0.borrow().values().filter(|second| second.running.get()).count()
    }

    /// Returns the output so far of an item's second run.
    fn output(&self, item: &str) -> Progress {
        let runs = self.0.borrow();
        runs.get(item).map(|second| second.progress.borrow().clone()).unwrap_or_default()
    }
}

/// Stops second runs that are overdue or whose groups were consumed, and starts new ones of open
/// batches' items on targets with spare capacity.
pub(super) fn start_second_runs<P: Platform>(node: &Rc<Node<P>>) {
    let now = clock::now();
    let open = node.batches.open();
    for local in &open {
        let local = local.borrow();
        let consumed = local.batch.consumed_groups();
        let is_consumed = |item: &str| {
            local.batch.item(item).is_some_and(|item| consumed.contains(group_of(item)))
        };
        node.batches
            .second_runs
            .stop_where(|second| second.batch == local.id && is_consumed(&second.item));
    }
    node.batches.second_runs.stop_where(|second| second.stop_by <= now);
    for local in open {
        let model = local.borrow().batch.submission().model.clone();
        let Some(model) = model else { continue };
        let oldest = local.borrow().batch.submission().oldest_version;
        let next_oldest = node.batches.lookahead.borrow().next_oldest_version(&model, oldest);
        for index in second_run_candidates(&local.borrow(), now, next_oldest) {
            if node.batches.second_runs.running_count() >= SECOND_RUNS_MAX {
                return;
            }
            start(node, &local, index, next_oldest);
        }
    }
}

fn second_run_candidates(local: &LocalBatch, now: UnixMs, next_oldest: u64) -> Vec<usize> {
    let output_version = |index: usize| {
        let run = local.runs.get(&index)?;
        run.progress.borrow().versions.first().copied()
    };
    local.batch.rerun_candidates(now, next_oldest, output_version)
}

fn start<P: Platform>(
    node: &Rc<Node<P>>,
    local: &RefCell<LocalBatch>,
    index: usize,
    next_oldest: u64,
) {
    let (item, batch, spec, first_target) = {
        let local = local.borrow();
        let item = local.batch.submission().items[index].clone();
        let spec = RunSpec { oldest_version: next_oldest, ..RunSpec::of(&local) };
        let target = local.runs.get(&index).map(|run| run.target.clone());
        (item, local.id.clone(), spec, target)
    };
    let progress = node.batches.second_runs.output(&item.id);
    if progress.complete || !node.batches.second_runs.may_start(clock::now(), &item.id) {
        return;
    }
    let run_ms = node.expected_run_ms(&item, progress.last_event_id);
    let first_target = first_target.as_deref();
    let Some(chosen) = choose(node, &spec, &item.path, &item.id, run_ms, first_target) else {
        return;
    };
    node.note(
        "second_run_started",
        json!({
            "request": item.id, "batch": batch, "target": chosen.id,
            "oldest_version": next_oldest, "last_event": progress.last_event_id,
        }),
    );
    let stop_by = clock::now().plus(SECOND_RUN_MAX_MS);
    let spec = RunSpec { give_up_at: stop_by, ..spec };
    let progress = Rc::new(RefCell::new(progress));
    let repeat_at = Rc::new(Cell::new(UnixMs(0)));
    let running = Rc::new(Cell::new(true));
    let in_flight = InFlight::begin_run(node, &chosen.id, clock::now().plus(run_ms));
    let (task_node, task_progress, task_running) =
        (Rc::clone(node), Rc::clone(&progress), Rc::clone(&running));
    let task_repeat_at = Rc::clone(&repeat_at);
    let id = item.id.clone();
    let (task_batch, target) = (batch.clone(), chosen.id.clone());
    let task = tokio::task::spawn_local(async move {
        let started_at = clock::now();
        let longest_gap_ms = Cell::new(0);
        let end = run(&task_node, &spec, &item, &task_progress, &chosen, &longest_gap_ms).await;
        let (outcome, why) = match &end {
            RunEnd::Broken { outcome, why, .. } => (*outcome, why.as_str()),
            // No failure of the target; the latency of its events is counted as they arrive.
            _ => (CallOutcome::Cancelled, ""),
        };
        if outcome != CallOutcome::Overloaded {
            task_repeat_at.set(clock::now().plus(SECOND_RUN_RETRY_PAUSE_MS));
        }
        task_running.set(false);
        in_flight.end(outcome);
        count(&task_node.metrics.item_runs, "second");
        let output = task_progress.borrow();
        task_node.note(
            "second_run",
            json!({
                "request": item.id, "batch": task_batch, "target": chosen.id, "why": why,
                "whole": output.complete, "versions": output.versions,
                "last_event": output.last_event_id,
                "oldest_version": spec.oldest_version, "ms": clock::now().since_ms(started_at),
            }),
        );
    });
    let second = SecondRun {
        batch,
        item: id.clone(),
        progress,
        repeat_at,
        running,
        stop_by,
        target,
        task: task.abort_handle(),
        workspace: local.borrow().origin().workspace.clone(),
    };
    node.batches.second_runs.0.borrow_mut().insert(id, second);
}

/// Returns a candidate with fewer slots, so that the rest stay free for runs that trainers wait
/// for.
fn reserve_slots<'a>(candidate: &Candidate<'a>) -> Candidate<'a> {
    Candidate {
        slots: candidate.slots.saturating_mul(SECOND_RUN_SLOTS_PERCENT) / 100,
        ..*candidate
    }
}

/// Chooses a free target, other than that of the item's first run, whose weights are new enough for
/// the next batch.
fn choose<P: Platform>(
    node: &Rc<Node<P>>,
    spec: &RunSpec,
    path: &str,
    item: &str,
    run_ms: u64,
    first_target: Option<&str>,
) -> Option<ChosenTarget> {
    let document = node.document()?;
    let route = document.route(&spec.host, path)?;
    let service = route.service(xxhash_rust::xxh3::xxh3_64(item.as_bytes()))?;
    let model = spec.model.as_deref()?;
    let fits = |entry: &TargetEntry| {
        entry.version(model).is_some_and(|version| version >= spec.oldest_version)
    };
    let random = node.random_u64();
    let picked = node.pick(service, fits, |load, now, candidates| {
        let others: Vec<Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| Some(candidate.id) != first_target)
            .map(reserve_slots)
            .collect();
        load.choose_with_free_slot(now, &others, None, run_ms, random)
            .map(|candidate| candidate.id.to_owned())
    });
    picked.map(|(id, address)| ChosenTarget { address, id })
}
