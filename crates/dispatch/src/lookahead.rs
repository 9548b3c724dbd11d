//! Predicts which weights will be accepted by the batch that resubmits a batch's incomplete groups.
//!
//! A trainer that submits step n+1 before it ends step n resubmits the incomplete groups of n in
//! step n+2, whose oldest accepted version is two higher. The number of steps that it keeps open is
//! observed.

use indexmap::IndexMap;
use std::collections::VecDeque;

/// Number of batches remembered for each model: enough that one step that the trainer submitted
/// late does not matter, and few enough that a change of its behaviour is noticed within them.
const REMEMBERED_BATCHES: usize = 4;

/// How far ahead of its oldest open batch each model's trainer opens the next.
#[derive(Clone, Debug, Default)]
pub struct Lookahead {
    recent: IndexMap<String, VecDeque<u64>>,
}

impl Lookahead {
    /// Records that a batch for `step` was opened, given the steps of the model's open batches.
    pub fn batch_opened(&mut self, model: &str, step: u64, open: impl Iterator<Item = u64>) {
        let ahead = open.min().map_or(0, |oldest| step.saturating_sub(oldest));
        let recent = self.recent.entry(model.to_owned()).or_default();
        recent.push_back(ahead);
        if recent.len() > REMEMBERED_BATCHES {
            recent.pop_front();
        }
    }

    /// Given the oldest version that a batch accepts, returns the oldest that will be accepted when
    /// its incomplete groups are submitted again. Each step's oldest accepted version is one higher
    /// than that of the step before.
    pub fn next_oldest_version(&self, model: &str, oldest_version: u64) -> u64 {
        let ahead = self.recent.get(model).and_then(|recent| recent.iter().max().copied());
        oldest_version.saturating_add(1).saturating_add(ahead.unwrap_or(0))
    }
}
