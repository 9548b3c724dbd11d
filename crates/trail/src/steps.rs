//! The critical path of each training step, from the audit trails of all processes.
//!
//! The last item to complete ends a step, so the step's critical path is that item's history: how
//! long it waited for a target, ran, was idle between runs, was scored and listed, and how long the
//! trainer took to read it and end the step. Trails drop lines above a rate limit; if some of the
//! item's runs are missing for that reason, its wait appears longer than it was.

use crate::parse_object;
use indexmap::IndexMap;
use serde_json::Value;

/// The breakdown of one step that its trainer has ended. All times are in milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StepBreakdown {
    /// Id of the batch.
    pub batch: String,
    /// Number of the last event in the output of the item that ended the step.
    pub events: u64,
    /// Id of the item that ended the step.
    pub item: String,
    /// From the end of the item's last run until its result was listed, i.e. durable.
    pub listed_ms: u64,
    /// The model.
    pub model: String,
    /// Number of owners that the batch has had.
    pub owners: usize,
    /// From the listing until the trainer ended the step.
    pub read_ms: u64,
    /// Total duration of those of the item's runs that generated events.
    pub running_ms: u64,
    /// Number of the item's runs that generated events.
    pub runs: usize,
    /// Between the item's runs; printed as `standing`.
    pub between_runs_ms: u64,
    /// The trainer's number of the step.
    pub step: Option<u64>,
    /// From the opening of the batch to its end.
    pub took_ms: u64,
    /// From the opening of the batch until the item's first run.
    pub waited_ms: u64,
}

/// The means over the steps of one model, in milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StepMeans {
    /// From the end of the last run until the listing.
    pub listed_ms: u64,
    /// From the listing to the end of the step.
    pub read_ms: u64,
    /// Duration of runs.
    pub running_ms: u64,
    /// Between runs; printed as `standing`.
    pub between_runs_ms: u64,
    /// Number of steps that have ended.
    pub steps: usize,
    /// From the opening to the end of the step.
    pub took_ms: u64,
    /// From the opening until the first run.
    pub waited_ms: u64,
}

/// One run of an item, from its trail line.
#[derive(Clone, Copy, Debug)]
struct Run {
    started_ms: u64,
    ended_ms: u64,
    events: u64,
    complete: bool,
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

/// Returns the breakdowns of all steps that have ended, ordered by the time their batch was opened.
pub fn step_breakdowns<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<StepBreakdown> {
    let mut batches: IndexMap<String, Batch> = IndexMap::new();
    for line in lines.filter_map(parse_object) {
        apply_line(&mut batches, &line);
    }
    batches.sort_by(|_, a, _, b| a.opened_ms.cmp(&b.opened_ms));
    batches.iter().filter_map(|(id, batch)| breakdown(id, batch)).collect()
}

/// Returns the mean breakdown of each model's steps.
pub fn means_by_model(steps: &[StepBreakdown]) -> IndexMap<&str, StepMeans> {
    let mut totals: IndexMap<&str, StepMeans> = IndexMap::new();
    for step in steps {
        let sum = totals.entry(&step.model).or_default();
        sum.steps += 1;
        sum.listed_ms += step.listed_ms;
        sum.read_ms += step.read_ms;
        sum.running_ms += step.running_ms;
        sum.between_runs_ms += step.between_runs_ms;
        sum.took_ms += step.took_ms;
        sum.waited_ms += step.waited_ms;
    }
    for sum in totals.values_mut() {
        let steps = sum.steps as u64;
        sum.listed_ms /= steps;
        sum.read_ms /= steps;
        sum.running_ms /= steps;
        sum.between_runs_ms /= steps;
        sum.took_ms /= steps;
        sum.waited_ms /= steps;
    }
    totals
}

fn apply_line(batches: &mut IndexMap<String, Batch>, line: &Value) {
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
                started_ms: at_ms.saturating_sub(line["ms"].as_u64().unwrap_or(0)),
                ended_ms: at_ms,
                events: line["last_event"].as_u64().unwrap_or(0),
                complete: line["outcome"] == "whole",
            };
            let batch = batches.entry(id.to_owned()).or_default();
            batch.items.entry(item.to_owned()).or_default().push(run);
        }
        _ => {}
    }
}

fn breakdown(id: &str, batch: &Batch) -> Option<StepBreakdown> {
    let (opened_ms, ended_ms) = (batch.opened_ms?, batch.ended_ms?);
    let last = |runs: &Vec<Run>| {
        runs.iter()
            .filter(|run| run.complete && run.ended_ms <= ended_ms)
            .map(|run| run.ended_ms)
            .max()
    };
    let (item, runs, complete_ms) = batch
        .items
        .iter()
        .filter_map(|(item, runs)| Some((item, runs, last(runs)?)))
        .max_by_key(|(_, _, complete_ms)| *complete_ms)?;
    let mut runs: Vec<Run> =
        runs.iter().filter(|run| run.ended_ms <= complete_ms && run.events > 0).copied().collect();
    runs.sort_by_key(|run| run.ended_ms);
    let first_ms = runs.first().map_or(complete_ms, |run| run.started_ms).max(opened_ms);
    let running_ms: u64 =
        runs.iter().map(|run| run.ended_ms.saturating_sub(run.started_ms.max(opened_ms))).sum();
    let listed = batch.listed_ms.iter().filter(|at| (complete_ms..=ended_ms).contains(at)).max();
    let listed_ms = listed.copied().unwrap_or(complete_ms);
    Some(StepBreakdown {
        batch: id.to_owned(),
        events: runs.iter().map(|run| run.events).max().unwrap_or(0),
        item: item.clone(),
        listed_ms: listed_ms - complete_ms,
        model: batch.model.clone(),
        owners: batch.owners,
        read_ms: ended_ms - listed_ms,
        running_ms,
        runs: runs.len(),
        between_runs_ms: (complete_ms - first_ms).saturating_sub(running_ms),
        step: batch.step,
        took_ms: ended_ms.saturating_sub(opened_ms),
        waited_ms: first_ms - opened_ms,
    })
}
