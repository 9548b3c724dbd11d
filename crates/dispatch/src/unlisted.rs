//! What an owner of a batch knows of its items beside the listed results.
//!
//! An owner that dies takes this with it. What its successor does not know of it is repeated: output
//! is generated again, and an item that targets have failed on or refused for good is sent to them as
//! often again.

use crate::submission::Progress;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The failures of an item.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemFailures {
    /// Whether the item was given up.
    pub is_given_up: bool,
    /// How many of its runs were answered with a failure.
    pub runs: u32,
    /// How many of its scoring calls were answered with a failure.
    pub scores: u32,
}

impl ItemFailures {
    /// Returns whether there are any.
    pub const fn is_any(&self) -> bool {
        self.is_given_up || self.runs > 0 || self.scores > 0
    }

    /// Returns what two nodes know together. Each may know of failures that the other has counted.
    #[must_use]
    pub fn combined_with(self, other: Self) -> Self {
        Self {
            is_given_up: self.is_given_up || other.is_given_up,
            runs: self.runs.max(other.runs),
            scores: self.scores.max(other.scores),
        }
    }
}

/// What is known of items without a listed result, by item.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnlistedWork {
    /// The output so far.
    pub outputs: Vec<(String, Progress)>,
    /// The failures.
    pub failures: Vec<(String, ItemFailures)>,
}

impl UnlistedWork {
    /// Returns what two nodes know together: of each item the longer output, and its failures.
    #[must_use]
    pub fn combined_with(self, other: Self) -> Self {
        Self {
            outputs: longer_outputs(self.outputs, other.outputs),
            failures: all_failures(self.failures, other.failures),
        }
    }
}

fn longer_outputs(
    outputs: Vec<(String, Progress)>,
    others: Vec<(String, Progress)>,
) -> Vec<(String, Progress)> {
    let mut longest: IndexMap<String, Progress> = IndexMap::new();
    for (item, progress) in outputs.into_iter().chain(others) {
        let reach = |progress: &Progress| (progress.complete, progress.last_event_id);
        match longest.get_mut(&item) {
            Some(current) if reach(current) >= reach(&progress) => {}
            Some(current) => *current = progress,
            None => {
                longest.insert(item, progress);
            }
        }
    }
    longest.into_iter().collect()
}

fn all_failures(
    failures: Vec<(String, ItemFailures)>,
    others: Vec<(String, ItemFailures)>,
) -> Vec<(String, ItemFailures)> {
    let mut all: IndexMap<String, ItemFailures> = IndexMap::new();
    for (item, failures) in failures.into_iter().chain(others) {
        let known = all.entry(item).or_default();
        *known = known.combined_with(failures);
    }
    all.into_iter().collect()
}
