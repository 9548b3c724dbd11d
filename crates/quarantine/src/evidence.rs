//! Evidence against a request: target incarnations that ended while it was in flight.

use crate::TargetIncarnation;
use catkinmast_model::UnixMs;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Incarnations kept for one request: more than a decision needs, because refuted ones take up
/// space too.
const INCARNATIONS_MAX: usize = 16;

/// The end of a target incarnation while the request was in flight.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct End {
    /// When it was first observed, by the wall clock of the observing node.
    at: UnixMs,
    /// Whether a target has answered the same request since, which means that this end had another
    /// cause.
    refuted: bool,
}

/// The target incarnations that ended while a request was in flight.
///
/// Nodes observe different ends under the same request and exchange them in any order and more than
/// once. [`Self::merge`] is commutative, associative and idempotent: an end is never removed except
/// by `trim`, which keeps the same ones at every node, and a refutation of a kept end is never
/// removed. The map is ordered, so that nodes with equal evidence serialise to equal bytes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    ends: BTreeMap<TargetIncarnation, End>,
}

impl Evidence {
    /// Records the end of a target incarnation. Returns whether it was unknown before.
    pub fn record_end(&mut self, at: UnixMs, incarnation: TargetIncarnation) -> bool {
        let is_new = !self.ends.contains_key(&incarnation);
        self.ends.entry(incarnation).or_insert(End { at, refuted: false });
        self.trim();
        is_new
    }

    /// Records that a target has answered the request, which means that all earlier ends had
    /// another cause. Returns whether any end counted until now.
    pub fn refute(&mut self) -> bool {
        let changed = self.unrefuted_count() > 0;
        self.ends.values_mut().for_each(|end| end.refuted = true);
        changed
    }

    /// Merges the evidence of another node. Returns whether this changed anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        for (incarnation, end) in &other.ends {
            let known = self.ends.entry(incarnation.clone()).or_insert(*end);
            known.at = known.at.min(end.at);
            known.refuted |= end.refuted;
        }
        self.trim();
        *self != before
    }

    /// Iterates over the incarnations whose end counts, i.e. has not been refuted.
    pub fn unrefuted(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.ends.iter().filter(|(_, end)| !end.refuted).map(|(incarnation, _)| incarnation)
    }

    /// Returns the number of incarnations whose end has not been refuted.
    pub fn unrefuted_count(&self) -> usize {
        self.unrefuted().count()
    }

    /// Returns the number of known incarnations, including those whose end has been refuted.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns whether no incarnation is known.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns whether the end of an incarnation is known and has not been refuted.
    pub fn is_unrefuted(&self, incarnation: &TargetIncarnation) -> bool {
        self.ends.get(incarnation).is_some_and(|end| !end.refuted)
    }

    /// Returns when the latest end was observed, refuted or not; the default time if there is none.
    pub fn latest_at(&self) -> UnixMs {
        self.ends.values().map(|end| end.at).max().unwrap_or_default()
    }

    /// Keeps the first incarnations in map order, the same ones at every node.
    fn trim(&mut self) {
        while self.ends.len() > INCARNATIONS_MAX {
            self.ends.pop_last();
        }
    }
}
