//! Which items of a step are worth a second run, under the weights that a later step accepts.
//!
//! It answers steps that end before their last groups: the trainer asks for those groups again in a
//! later step, waits for each of them, and accepts no text of the weights that they were begun
//! under. Begun anew, an item of seven seconds sets the length of the later step. A second run,
//! begun as soon as a target has newer weights, is seconds ahead by then. Forty days of 26 groups a step,
//! of which the trainer leaves two, gave a mean worth of 0.753 without it and 0.764 to 0.780 with it.

use super::{Batch, Place};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// Second runs for this many groups for each that the trainer will leave: which ones it leaves
/// hangs on lengths that are estimates.
const GROUPS_FOR_EACH_SPARE: usize = 2;

impl Batch {
    /// Returns the items that are worth a second run under `next_oldest`, the oldest version that
    /// the next batch will accept, those most likely to be left first; `text_version` tells the
    /// oldest version of the text that an item's run has produced.
    pub fn rerun_candidates(
        &self,
        now: UnixMs,
        next_oldest: u64,
        text_version: impl Fn(usize) -> Option<u64>,
    ) -> Vec<usize> {
        let spare = self.groups.spare();
        if self.ended || self.terms.single_version || spare == 0 || now < self.terms.rerun_from {
            return Vec::new();
        }
        let is_stale = |at: &usize| {
            let open = matches!(self.places[*at], Place::Running | Place::Waiting { .. });
            open && text_version(*at).is_none_or(|version| version < next_oldest)
        };
        let mut groups: IndexMap<&str, Vec<usize>> = IndexMap::new();
        for at in self.order.iter().filter(|at| is_stale(at)) {
            let group = super::group_of(&self.submission.items[*at]);
            if !self.groups.is_carried(group) {
                groups.entry(group).or_default().push(*at);
            }
        }
        // Items stand in the order of their lengths, and so do the groups.
        groups.into_values().take(spare * GROUPS_FOR_EACH_SPARE + 1).flatten().collect()
    }
}
