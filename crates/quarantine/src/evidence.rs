//! Which targets ended while a request was under way at them.

use crate::TargetIncarnation;
use catkinmast_model::UnixMs;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lives kept of one request. With twice as many as a decision needs, those that a later answer has
/// refuted leave room for new ones.
const LIVES_MAX: usize = 16;

/// The end of a target with a request under way.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct End {
    /// When it was seen first, by the wall clock of the node that saw it.
    at: UnixMs,
    /// Whether a target has answered the same request since, so that this end had another cause.
    refuted: bool,
}

/// The targets that ended while a request was under way at them.
///
/// Nodes see different ends of the same request and tell each other, in any order and more than once.
/// [`Self::merge`] makes one of what two nodes know, whichever comes first: an end is never taken back,
/// only refuted, and that is never taken back either. Kept in the order of lives, so that two nodes that
/// know the same write the same.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    ends: BTreeMap<TargetIncarnation, End>,
}

impl Evidence {
    /// Takes the end of a target; returns whether it is news.
    pub fn record_end(&mut self, at: UnixMs, life: TargetIncarnation) -> bool {
        let is_news = !self.ends.contains_key(&life);
        self.ends.entry(life).or_insert(End { at, refuted: false });
        self.trim();
        is_news
    }

    /// Takes it that a target has survived the request: what ended those before was something else.
    /// Returns whether that is news.
    pub fn refute(&mut self) -> bool {
        let is_news = self.unrefuted_count() > 0;
        self.ends.values_mut().for_each(|end| end.refuted = true);
        is_news
    }

    /// Takes what another node knows; returns whether any of it is news.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        for (life, end) in &other.ends {
            let held = self.ends.entry(life.clone()).or_insert(*end);
            held.at = held.at.min(end.at);
            held.refuted |= end.refuted;
        }
        self.trim();
        *self != before
    }

    /// Walks through the lives that count: those whose end nothing has refuted.
    pub fn unrefuted(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.ends.iter().filter(|(_, end)| !end.refuted).map(|(life, _)| life)
    }

    /// Returns how many lives count.
    pub fn unrefuted_count(&self) -> usize {
        self.unrefuted().count()
    }

    /// Returns how many lives are known, those that do not count among them.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Tells whether no life is known.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Tells whether the end of a life counts.
    pub fn is_unrefuted(&self, life: &TargetIncarnation) -> bool {
        self.ends.get(life).is_some_and(|end| !end.refuted)
    }

    /// Returns when the latest end was seen.
    pub fn latest_at(&self) -> UnixMs {
        self.ends.values().map(|end| end.at).max().unwrap_or_default()
    }

    /// Keeps the first lives in their order, the same ones at every node.
    fn trim(&mut self) {
        while self.ends.len() > LIVES_MAX {
            self.ends.pop_last();
        }
    }
}
