//! The story of one request, from the audit trails of several processes.
//!
//! A line belongs to the story when one of its fields names the request. An item's lines name its
//! batch, and a batch's lines its owners; so the lines of an item's batch belong to the item's
//! story, while those of its neighbours in the batch do not.

mod logs;
mod steps;

pub use logs::{LogError, count_unreadable, read_logs};
pub use steps::{StepBreakdown, StepMeans, means_by_model, step_breakdowns};

use serde_json::Value;

/// Fields that name a request, an item, a batch, a target, or what a request asks.
const NAMING: [&str; 4] = ["request", "batch", "target", "fingerprint"];

/// One line of a story.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryEntry {
    /// The line, whole.
    pub line: Value,
    /// The wall clock of the process that wrote it, in milliseconds since the Unix epoch. Clocks
    /// of machines differ by some milliseconds; within a process the order is exact.
    pub at_unix_ms: u64,
}

/// Reads the JSON object of a line; what stands before it, e.g. a collector's prefix, is skipped.
pub(crate) fn object(text: &str) -> Option<Value> {
    let start = text.find('{')?;
    serde_json::from_str(&text[start..]).ok().filter(Value::is_object)
}

fn names(line: &Value, id: &str) -> bool {
    NAMING.iter().any(|field| line[*field] == id)
}

/// Returns the lines that tell what became of `id`, in the order of time.
pub fn history<'a>(lines: impl Iterator<Item = &'a str> + Clone, id: &str) -> Vec<HistoryEntry> {
    let direct: Vec<Value> =
        lines.clone().filter_map(object).filter(|line| names(line, id)).collect();
    let batch = direct
        .iter()
        .filter(|line| line["request"] == id)
        .find_map(|line| line["batch"].as_str().map(str::to_owned));
    let mut all = direct;
    if let Some(batch) = batch {
        all.extend(lines.filter_map(object).filter(|line| line["request"] == batch.as_str()));
    }
    let mut steps: Vec<HistoryEntry> = all
        .into_iter()
        .map(|line| HistoryEntry { at_unix_ms: line["at_unix_ms"].as_u64().unwrap_or(0), line })
        .collect();
    steps.sort_by_key(|step| step.at_unix_ms);
    steps
}

/// Writes a step for people: the time since the story's first step, the node, the event, and the
/// other fields.
pub fn format_entry(step: &HistoryEntry, first_unix_ms: u64) -> String {
    let after_ms = step.at_unix_ms.saturating_sub(first_unix_ms);
    let mut text = format!(
        "{after_ms:>7} ms  {}  {}",
        step.line["node"].as_str().unwrap_or("?"),
        step.line["event"].as_str().unwrap_or("?"),
    );
    let known = ["at_ms", "at_unix_ms", "node", "event"];
    let fields = step.line.as_object().into_iter().flatten();
    let told = fields.filter(|(name, value)| !known.contains(&name.as_str()) && !value.is_null());
    let parts: Vec<String> = told.map(|(name, value)| format!("  {name}={value}")).collect();
    text.push_str(&parts.concat());
    text
}
