//! The counts that all nodes have reported.

use crate::Window;
use catkinmast_model::{Incarnation, Name};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An incarnation of a node that reports counts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UsageSource {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The node.
    pub node: Name,
}

/// All that an incarnation of a node has counted in a window so far.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Whether the counts are final.
    pub complete: bool,
    /// Number of requests by workspace.
    pub counts: BTreeMap<String, u64>,
    /// The window.
    pub window: Window,
}

#[derive(Clone, Debug, Default)]
struct Reported {
    complete: bool,
    counts: BTreeMap<String, u64>,
}

/// The counts that all incarnations of all nodes have reported, by window.
///
/// Counts only increase and are reported in full, so a report that arrives twice, or late, adds
/// nothing. A restarted node counts from zero, and its counts are added to those of its earlier
/// incarnation.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<Window, IndexMap<UsageSource, Reported>>,
}

impl Ledger {
    /// Records a report.
    pub fn record(&mut self, source: &UsageSource, window_counts: WindowCounts) {
        let window = self.windows.entry(window_counts.window).or_default();
        let reported = window.entry(source.clone()).or_default();
        reported.complete |= window_counts.complete;
        for (workspace, count) in window_counts.counts {
            let held = reported.counts.entry(workspace).or_default();
            *held = count.max(*held);
        }
    }

    /// Drops the windows before `oldest`.
    pub fn forget_before(&mut self, oldest: Window) {
        self.windows.retain(|window, _| *window >= oldest);
    }

    /// Returns which of the given incarnations have not reported their final counts of a window.
    pub fn missing<'a>(
        &self,
        window: Window,
        sources: impl IntoIterator<Item = &'a UsageSource>,
    ) -> Vec<&'a UsageSource> {
        let reported = self.windows.get(&window);
        let is_complete = |source: &&UsageSource| {
            reported
                .and_then(|reported| reported.get(*source))
                .is_some_and(|reported| reported.complete)
        };
        sources.into_iter().filter(|source| !is_complete(source)).collect()
    }

    /// Returns the sums over all incarnations that have reported a window.
    pub fn totals(&self, window: Window) -> BTreeMap<String, u64> {
        let mut totals = BTreeMap::new();
        for reported in self.windows.get(&window).into_iter().flat_map(IndexMap::values) {
            for (workspace, count) in &reported.counts {
                *totals.entry(workspace.clone()).or_default() += count;
            }
        }
        totals
    }

    /// Returns how many incarnations have reported a window.
    pub fn source_count(&self, window: Window) -> usize {
        self.windows.get(&window).map_or(0, IndexMap::len)
    }
}
