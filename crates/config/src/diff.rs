//! Differences between two documents, and merging of edits that do not conflict.
//!
//! Tables in lists are identified by their `name` or `path`, so moving one is not a difference; a
//! table with neither is identified by its position. If two operators change different fields of
//! the same base, both edits are kept ([`merge`]). A field that both changed is a conflict, which
//! only they can resolve. Where both add the same list or table, or one removes a table to which
//! the other adds a field, [`merge`] keeps only one of the edits.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::fmt;
use toml::{Table, Value};

/// One field that differs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Path of the field, e.g. `trainers.citation.batch_samples`.
    pub field: String,
    /// The value after the change; none if the field was removed.
    pub new: Option<String>,
    /// The value before the change; none if the field was added.
    pub old: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |value: &Option<String>| value.clone().unwrap_or_else(|| "(none)".to_owned());
        write!(f, "{}: {} -> {}", self.field, show(&self.old), show(&self.new))
    }
}

/// Lists the fields that differ between two documents.
///
/// A text that is not TOML counts as an empty document; callers pass validated texts.
pub fn diff(old: &str, new: &str) -> Vec<Change> {
    let (old, new) = (flatten(old), flatten(new));
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort();
    fields.dedup();
    let pairs = fields.into_iter().map(|field| (field, old.get(field), new.get(field)));
    pairs
        .filter(|(_, before, after)| before != after)
        .map(|(field, before, after)| Change {
            field: field.clone(),
            new: after.cloned(),
            old: before.cloned(),
        })
        .collect()
}

/// Merges two edits of `base`.
///
/// # Errors
/// Returns the changes of `theirs` that conflict with `ours`. The list is empty if a text is not
/// TOML or the result cannot be written.
pub fn merge(base: &str, ours: &str, theirs: &str) -> Result<String, Vec<Change>> {
    let our_changes = diff(base, ours);
    let conflicts: Vec<Change> = diff(base, theirs)
        .into_iter()
        .filter(|their| our_changes.iter().any(|our| conflict(our, their)))
        .collect();
    if !conflicts.is_empty() {
        return Err(conflicts);
    }
    let (Ok(base), Ok(ours), Ok(theirs)) =
        (base.parse::<Table>(), ours.parse::<Table>(), theirs.parse::<Table>())
    else {
        return Err(Vec::new());
    };
    let merged = merge_tables(&base, &ours, &theirs);
    toml::to_string(&merged).map_err(|_unwritable| Vec::new())
}

fn conflict(our: &Change, their: &Change) -> bool {
    let within = |a: &str, b: &str| a.strip_prefix(b).is_some_and(|rest| rest.starts_with('.'));
    let same = our.field == their.field && our.new != their.new;
    same || within(&our.field, &their.field) || within(&their.field, &our.field)
}

/// Takes each key from the side that changed it; the sides are known not to conflict. A value that
/// both sides added is taken from `ours`, and one that a side removed is removed.
fn merge_tables(base: &Table, ours: &Table, theirs: &Table) -> Table {
    let mut merged = Table::new();
    let mut keys: Vec<&String> = theirs.keys().chain(ours.keys()).collect();
    let mut seen = indexmap::IndexSet::new();
    keys.retain(|key| seen.insert(key.as_str()));
    for key in keys {
        if let Some(value) = merge_values(base.get(key), ours.get(key), theirs.get(key)) {
            merged.insert(key.clone(), value);
        }
    }
    merged
}

fn merge_values(
    base: Option<&Value>,
    ours: Option<&Value>,
    theirs: Option<&Value>,
) -> Option<Value> {
    if ours == base {
        return theirs.cloned();
    }
    if theirs == base || ours == theirs {
        return ours.cloned();
    }
    match (base, ours?, theirs?) {
        (Some(Value::Table(base)), Value::Table(ours), Value::Table(theirs)) => {
            Some(Value::Table(merge_tables(base, ours, theirs)))
        }
        (Some(Value::Array(base)), Value::Array(ours), Value::Array(theirs)) => {
            let merged = merge_tables(&by_name(base), &by_name(ours), &by_name(theirs));
            Some(Value::Array(merged.into_iter().map(|(_, value)| value).collect()))
        }
        (_, ours, _) => Some(ours.clone()),
    }
}

fn by_name(items: &[Value]) -> Table {
    let named =
        items.iter().enumerate().map(|(index, item)| (item_name(item, index), item.clone()));
    named.collect()
}

fn item_name(item: &Value, index: usize) -> String {
    let field = |name: &str| item.get(name).and_then(Value::as_str).map(str::to_owned);
    field("name").or_else(|| field("path")).unwrap_or_else(|| index.to_string())
}

fn flatten(text: &str) -> IndexMap<String, String> {
    let mut fields = IndexMap::new();
    if let Ok(table) = text.parse::<Table>() {
        flatten_into(&Value::Table(table), String::new(), &mut fields);
    }
    fields
}

fn flatten_into(value: &Value, path: String, fields: &mut IndexMap<String, String>) {
    let join = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Table(table) => {
            for (key, value) in table {
                flatten_into(value, join(key), fields);
            }
        }
        Value::Array(items) if items.iter().all(Value::is_table) => {
            for (index, item) in items.iter().enumerate() {
                flatten_into(item, join(&item_name(item, index)), fields);
            }
        }
        leaf => {
            fields.insert(path, leaf.to_string());
        }
    }
}
