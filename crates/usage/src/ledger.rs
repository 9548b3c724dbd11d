//! What all nodes have told of their windows.

use crate::Window;
use catkinmast_model::{Incarnation, Name};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A life of a node that tells of its counts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UsageSource {
    /// The life.
    pub incarnation: Incarnation,
    /// The node.
    pub node: Name,
}

/// All that a node's life has counted in a window so far.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Whether nothing will be added.
    pub complete: bool,
    /// Requests by workspace.
    pub counts: BTreeMap<String, u64>,
    /// The window.
    pub window: Window,
}

#[derive(Clone, Debug, Default)]
struct Told {
    complete: bool,
    counts: BTreeMap<String, u64>,
}

/// What all lives of all nodes have told, by window.
///
/// Counts only grow and are told whole, so that a table that is told twice, or late, adds nothing. A
/// node's next life tells anew, beside what its former one has told.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<Window, IndexMap<UsageSource, Told>>,
}

impl Ledger {
    /// Takes a node's table.
    pub fn record(&mut self, teller: &UsageSource, table: WindowCounts) {
        let window = self.windows.entry(table.window).or_default();
        let told = window.entry(teller.clone()).or_default();
        told.complete |= table.complete;
        for (workspace, count) in table.counts {
            let held = told.counts.entry(workspace).or_default();
            *held = count.max(*held);
        }
    }

    /// Forgets the windows before this one.
    pub fn forget_before(&mut self, oldest: Window) {
        self.windows.retain(|window, _| *window >= oldest);
    }

    /// Returns which of the lives given have not told all of a window.
    pub fn missing<'a>(
        &self,
        window: Window,
        alive: impl IntoIterator<Item = &'a UsageSource>,
    ) -> Vec<&'a UsageSource> {
        let told = self.windows.get(&window);
        let is_complete = |teller: &&UsageSource| {
            told.and_then(|told| told.get(*teller)).is_some_and(|told| told.complete)
        };
        alive.into_iter().filter(|teller| !is_complete(teller)).collect()
    }

    /// Returns the sums over all lives that have told of a window.
    pub fn totals(&self, window: Window) -> BTreeMap<String, u64> {
        let mut totals = BTreeMap::new();
        for told in self.windows.get(&window).into_iter().flat_map(IndexMap::values) {
            for (workspace, count) in &told.counts {
                *totals.entry(workspace.clone()).or_default() += count;
            }
        }
        totals
    }

    /// Returns how many lives have told of a window.
    pub fn source_count(&self, window: Window) -> usize {
        self.windows.get(&window).map_or(0, IndexMap::len)
    }
}
