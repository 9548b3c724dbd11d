//! Queries over the audit trails of several processes: the history of one request, and where the
//! time of training steps went.
//!
//! A trail line belongs to the history of an id if one of its fields names that id. The history of
//! an item includes the lines of its batch, which name the batch's owners, but not those of the
//! other items in the batch.

mod logs;
mod steps;

pub use logs::{LogError, count_unreadable, read_logs};
pub use steps::{StepBreakdown, StepMeans, means_by_model, step_breakdowns};

use serde_json::Value;

/// Fields that hold the id of a request, item, batch or target, or the fingerprint of a request.
const ID_FIELDS: [&str; 4] = ["request", "batch", "target", "fingerprint"];

/// One line of a history.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryEntry {
    /// The line's JSON object.
    pub line: Value,
    /// Time by the wall clock of the process that wrote the line, in milliseconds since the Unix
    /// epoch. Clocks of different machines differ by some milliseconds; within a process the order
    /// is exact.
    pub at_unix_ms: u64,
}

/// Parses the JSON object of a line, skipping any text before it, e.g. a log collector's prefix.
pub(crate) fn parse_object(text: &str) -> Option<Value> {
    let start = text.find('{')?;
    serde_json::from_str(&text[start..]).ok().filter(Value::is_object)
}

fn mentions(line: &Value, id: &str) -> bool {
    ID_FIELDS.iter().any(|field| line[*field] == id)
}

/// Returns the lines about `id`, ordered by time.
pub fn history<'a>(lines: impl Iterator<Item = &'a str> + Clone, id: &str) -> Vec<HistoryEntry> {
    let direct: Vec<Value> =
        lines.clone().filter_map(parse_object).filter(|line| mentions(line, id)).collect();
    let batch = direct
        .iter()
        .filter(|line| line["request"] == id)
        .find_map(|line| line["batch"].as_str().map(str::to_owned));
    let mut all = direct;
    if let Some(batch) = batch {
        all.extend(lines.filter_map(parse_object).filter(|line| line["request"] == batch.as_str()));
    }
    let mut entries: Vec<HistoryEntry> = all
        .into_iter()
        .map(|line| HistoryEntry { at_unix_ms: line["at_unix_ms"].as_u64().unwrap_or(0), line })
        .collect();
    entries.sort_by_key(|entry| entry.at_unix_ms);
    entries
}

/// Formats an entry for a terminal: the time since `first_unix_ms`, the node, the event and all
/// other fields except times and nulls.
pub fn format_entry(entry: &HistoryEntry, first_unix_ms: u64) -> String {
    let after_ms = entry.at_unix_ms.saturating_sub(first_unix_ms);
    let mut text = format!(
        "{after_ms:>7} ms  {}  {}",
        entry.line["node"].as_str().unwrap_or("?"),
        entry.line["event"].as_str().unwrap_or("?"),
    );
    let excluded = ["at_ms", "at_unix_ms", "node", "event"];
    let fields = entry.line.as_object().into_iter().flatten();
    let others =
        fields.filter(|(name, value)| !excluded.contains(&name.as_str()) && !value.is_null());
    let parts: Vec<String> = others.map(|(name, value)| format!("  {name}={value}")).collect();
    text.push_str(&parts.concat());
    text
}
