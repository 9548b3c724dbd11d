//! Where the time of each training step went, from the audit trails of all processes.
//!
//! A step ends with one item: the one whose last run came to its end last. Its story is the step's
//! critical path: how long it waited for a target, how long its runs lasted, how long it stood still
//! between them, how long its score and the listing took, and how long the trainer took to read it
//! and to end the step. Trails leave out lines that are too many in a second; an item that is known
//! by a part of its runs only is told with a longer wait.

use crate::object;
use indexmap::IndexMap;
use serde_json::Value;

/// The account of one step that its trainer has ended. All times are in milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StepBreakdown {
    /// Id of the batch.
    pub batch: String,
    /// Events of the item that ended it.
    pub events: u64,
    /// Id of the item that ended it.
    pub item: String,
    /// From its last run's end until its result was durable.
    pub listed_ms: u64,
    /// The model.
    pub model: String,
    /// Owners that the batch has had.
    pub owners: usize,
    /// From then until the trainer ended the step.
    pub read_ms: u64,
    /// While runs of it lasted.
    pub running_ms: u64,
    /// Runs of it.
    pub runs: usize,
    /// Between runs of it.
    pub between_runs_ms: u64,
    /// The trainer's step.
    pub step: Option<u64>,
    /// From the opening to the end.
    pub took_ms: u64,
    /// From the opening until its first run.
    pub waited_ms: u64,
}

/// The means over the steps of one model, in milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StepMeans {
    /// Listing.
    pub listed_ms: u64,
    /// Reading.
    pub read_ms: u64,
    /// Running.
    pub running_ms: u64,
    /// Standing still between runs.
    pub between_runs_ms: u64,
    /// Steps that were ended.
    pub steps: usize,
    /// The whole.
    pub took_ms: u64,
    /// Waiting for a target.
    pub waited_ms: u64,
}

/// One run of an item, as its line tells it.
#[derive(Clone, Copy, Debug)]
struct Run {
    began_ms: u64,
    ended_ms: u64,
    events: u64,
    whole: bool,
}

#[derive(Debug, Default)]
struct Batch {
    ended_ms: Option<u64>,
    items: IndexMap<String, Vec<Run>>,
    listed_ms: Vec<u64>,
    model: String,
    opened_ms: Option<u64>,
    owners: usize,
    step: Option<u64>,
}

/// Returns the accounts of all steps that have ended, in the order of their openings.
pub fn step_breakdowns<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<StepBreakdown> {
    let mut batches: IndexMap<String, Batch> = IndexMap::new();
    for line in lines.filter_map(object) {
        take(&mut batches, &line);
    }
    batches.sort_by(|_, a, _, b| a.opened_ms.cmp(&b.opened_ms));
    batches.iter().filter_map(|(id, batch)| account(id, batch)).collect()
}

/// Returns the means for each model.
pub fn means_by_model(steps: &[StepBreakdown]) -> IndexMap<&str, StepMeans> {
    let mut totals: IndexMap<&str, StepMeans> = IndexMap::new();
    for step in steps {
        let held = totals.entry(&step.model).or_default();
        held.steps += 1;
        held.listed_ms += step.listed_ms;
        held.read_ms += step.read_ms;
        held.running_ms += step.running_ms;
        held.between_runs_ms += step.between_runs_ms;
        held.took_ms += step.took_ms;
        held.waited_ms += step.waited_ms;
    }
    for held in totals.values_mut() {
        let steps = held.steps as u64;
        held.listed_ms /= steps;
        held.read_ms /= steps;
        held.running_ms /= steps;
        held.between_runs_ms /= steps;
        held.took_ms /= steps;
        held.waited_ms /= steps;
    }
    totals
}

fn take(batches: &mut IndexMap<String, Batch>, line: &Value) {
    let (Some(at_ms), Some(event)) = (line["at_unix_ms"].as_u64(), line["event"].as_str()) else {
        return;
    };
    let field = if matches!(event, "item_run" | "item_moved") { "batch" } else { "request" };
    let Some(id) = line[field].as_str() else { return };
    match event {
        "batch_owned" => {
            let batch = batches.entry(id.to_owned()).or_default();
            let opened_ms = batch.opened_ms.map_or(at_ms, |opened| opened.min(at_ms));
            batch.opened_ms = Some(opened_ms);
            batch.owners += 1;
            line["model"].as_str().unwrap_or_default().clone_into(&mut batch.model);
            batch.step = line["step"].as_u64();
        }
        "batch_ended" => batches.entry(id.to_owned()).or_default().ended_ms = Some(at_ms),
        "results_listed" => batches.entry(id.to_owned()).or_default().listed_ms.push(at_ms),
        "item_run" | "item_moved" => {
            let Some(item) = line["request"].as_str() else { return };
            let run = Run {
                began_ms: at_ms.saturating_sub(line["ms"].as_u64().unwrap_or(0)),
                ended_ms: at_ms,
                events: line["last_event"].as_u64().unwrap_or(0),
                whole: line["outcome"] == "whole",
            };
            let batch = batches.entry(id.to_owned()).or_default();
            batch.items.entry(item.to_owned()).or_default().push(run);
        }
        _ => {}
    }
}

fn account(id: &str, batch: &Batch) -> Option<StepBreakdown> {
    let (opened_ms, ended_ms) = (batch.opened_ms?, batch.ended_ms?);
    let last = |runs: &Vec<Run>| {
        runs.iter()
            .filter(|run| run.whole && run.ended_ms <= ended_ms)
            .map(|run| run.ended_ms)
            .max()
    };
    let (item, runs, whole_ms) = batch
        .items
        .iter()
        .filter_map(|(item, runs)| Some((item, runs, last(runs)?)))
        .max_by_key(|(_, _, whole_ms)| *whole_ms)?;
    let mut runs: Vec<Run> =
        runs.iter().filter(|run| run.ended_ms <= whole_ms && run.events > 0).copied().collect();
    runs.sort_by_key(|run| run.ended_ms);
    let first_ms = runs.first().map_or(whole_ms, |run| run.began_ms).max(opened_ms);
    let running_ms: u64 =
        runs.iter().map(|run| run.ended_ms.saturating_sub(run.began_ms.max(opened_ms))).sum();
    let listed = batch.listed_ms.iter().filter(|at| (whole_ms..=ended_ms).contains(at)).max();
    let listed_ms = listed.copied().unwrap_or(whole_ms);
    Some(StepBreakdown {
        batch: id.to_owned(),
        events: runs.iter().map(|run| run.events).max().unwrap_or(0),
        item: item.clone(),
        listed_ms: listed_ms - whole_ms,
        model: batch.model.clone(),
        owners: batch.owners,
        read_ms: ended_ms - listed_ms,
        running_ms,
        runs: runs.len(),
        between_runs_ms: (whole_ms - first_ms).saturating_sub(running_ms),
        step: batch.step,
        took_ms: ended_ms.saturating_sub(opened_ms),
        waited_ms: first_ms - opened_ms,
    })
}
