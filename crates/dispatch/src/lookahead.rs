//! Which weights the batch will accept in which a batch's left groups come again.
//!
//! A trainer that has asked for the next step already when it ends one asks for the left groups two
//! steps later, and accepts weights two versions newer. How many steps it has open is observed.

use indexmap::IndexMap;
use std::collections::VecDeque;

/// Openings of batches that are remembered for each model: enough that one step that the trainer
/// asked for late does not count, and few enough that a change of its ways is learnt within them.
const OPENINGS: usize = 4;

/// How far ahead of its oldest open batch each trainer opens the next.
#[derive(Clone, Debug, Default)]
pub struct Lookahead {
    recent: IndexMap<String, VecDeque<u64>>,
}

impl Lookahead {
    /// Takes the opening of a batch for `step`, given the steps of the model's batches that are open.
    pub fn batch_opened(&mut self, model: &str, step: u64, open: impl Iterator<Item = u64>) {
        let ahead = open.min().map_or(0, |oldest| step.saturating_sub(oldest));
        let recent = self.recent.entry(model.to_owned()).or_default();
        recent.push_back(ahead);
        if recent.len() > OPENINGS {
            recent.pop_front();
        }
    }

    /// Returns the oldest version that the batch will accept in which groups come again that a batch
    /// leaves which accepts `oldest_version`. Steps accept one version more each.
    pub fn next_oldest_version(&self, model: &str, oldest_version: u64) -> u64 {
        let ahead = self.recent.get(model).and_then(|recent| recent.iter().max().copied());
        oldest_version + 1 + ahead.unwrap_or(0)
    }
}
