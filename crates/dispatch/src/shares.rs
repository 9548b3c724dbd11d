//! Shares the targets of a service among the models that they serve.
//!
//! Each model gets targets in proportion to the work of its recent batches. With equal shares and
//! steps of different sizes, a step of 255 long items waited for slots (its last item started 2.9
//! to 6.4 s after the others) while a model with short items left most of its slots free. All nodes
//! compute the same shares from what batch owners report. Where nodes differ for a moment, items
//! start later and nothing else goes wrong.

use indexmap::IndexMap;

/// Weight of a new batch in a model's mean work, as one part in this many. The total length of a
/// step varies by a fifth from step to step, and a target that changes its model costs a load of
/// weights.
const WORK_SMOOTHING: u64 = 4;
/// Each model gets at least one part in this many of an equal share, whatever its work is, because
/// it still has to survive the loss of some targets.
const SHARE_MIN_DIVISOR: u64 = 2;
/// Largest amount of work that a batch counts as. Lengths are estimates of the caller: without a
/// bound, one absurd estimate would take nearly all targets from the other models, or overflow.
const WORK_MAX_TOKENS: u64 = 1 << 30;
/// Targets kept current while no batch is known, as after a start.
const UNKNOWN_TARGETS: usize = 64;
/// Slots kept current for each item of a batch: two batches of a model are open at once, and a third
/// of the targets may be lost or loading.
const SLOTS_PER_ITEM: usize = 3;
/// Least number of targets kept current for a model: one serves while the other loads.
const MODEL_TARGETS_MIN: usize = 2;
/// Shares are in thousandths of a target.
pub(crate) const SHARE_UNIT: u64 = 1_000;

/// The recent work of each model's batches.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Number of items of each model's recent batches, the largest for a while.
    items: IndexMap<String, u64>,
    work_tokens: IndexMap<String, u64>,
}

impl Demand {
    /// Records a batch of a model by the number of tokens that its items are expected to generate.
    pub fn record_batch(&mut self, model: &str, tokens: u64) {
        let tokens = tokens.min(WORK_MAX_TOKENS);
        match self.work_tokens.get_mut(model) {
            Some(held) => *held = (*held * (WORK_SMOOTHING - 1) + tokens) / WORK_SMOOTHING,
            None => {
                self.work_tokens.insert(model.to_owned(), tokens);
            }
        }
    }

    /// Shares `count` targets among models. Returns the shares in thousandths of a target, in the
    /// order of `models`.
    ///
    /// A model without a recorded batch counts as the mean of the others.
    pub fn shares(&self, models: &[String], count: usize) -> Vec<u64> {
        let known: Vec<u64> = models.iter().filter_map(|model| self.work_of(model)).collect();
        let mean = known.iter().sum::<u64>().checked_div(known.len() as u64).unwrap_or(1).max(1);
        let work =
            models.iter().map(|model| self.work_of(model).unwrap_or(mean)).collect::<Vec<u64>>();
        let total = count as u64 * SHARE_UNIT;
        let least = total / (models.len().max(1) as u64 * SHARE_MIN_DIVISOR);
        let mut fixed = vec![false; models.len()];
        loop {
            let reserved = fixed.iter().filter(|fixed| **fixed).count() as u64 * least;
            let remaining_work: u64 =
                work.iter().zip(&fixed).filter(|(_, f)| !**f).map(|(w, _)| *w).sum();
            let share_of = |(work, fixed): (&u64, &bool)| {
                if *fixed { least } else { (total - reserved) * work / remaining_work.max(1) }
            };
            let shares: Vec<u64> = work.iter().zip(&fixed).map(share_of).collect();
            let small = shares.iter().position(|share| *share < least);
            match small {
                Some(place) => fixed[place] = true,
                None => return shares,
            }
        }
    }

    /// Records the number of items of a model's batch. More work counts at once, less of it slowly.
    pub fn record_items(&mut self, model: &str, items: u64) {
        match self.items.get_mut(model) {
            Some(held) => {
                *held = items.max((*held * (WORK_SMOOTHING - 1) + items) / WORK_SMOOTHING);
            }
            None => {
                self.items.insert(model.to_owned(), items);
            }
        }
    }

    /// Returns how many targets of `slots` requests each should be kept current for the models
    /// together. A model without a recorded batch counts as the mean of the others.
    pub fn targets_needed(&self, models: &[String], slots: u32) -> usize {
        let known: Vec<u64> =
            models.iter().filter_map(|model| self.items.get(model).copied()).collect();
        let Some(mean) = known.iter().sum::<u64>().checked_div(known.len() as u64) else {
            return UNKNOWN_TARGETS.max(models.len() * MODEL_TARGETS_MIN);
        };
        let needed = |model: &String| {
            let items = self.items.get(model).copied().unwrap_or(mean) as usize;
            items
                .saturating_mul(SLOTS_PER_ITEM)
                .div_ceil(slots.max(1) as usize)
                .max(MODEL_TARGETS_MIN)
        };
        models.iter().map(needed).fold(0, usize::saturating_add)
    }

    fn work_of(&self, model: &str) -> Option<u64> {
        self.work_tokens.get(model).copied()
    }
}

/// Assigns `count` places to shares so that every run of consecutive places has about the
/// proportions of the shares. A place is a target's index in the sorted list of targets. Returns
/// the index of the share for each place.
pub fn interleave(shares: &[u64], count: usize) -> Vec<usize> {
    let total: u64 = shares.iter().sum::<u64>().max(1);
    let mut assigned = vec![0_u64; shares.len()];
    let mut places = Vec::with_capacity(count);
    for place in 1..=count as u64 {
        let missing =
            |index: usize| (shares[index] * place) as i64 - (assigned[index] * total) as i64;
        let Some(next) = (0..shares.len()).rev().max_by_key(|index| missing(*index)) else { break };
        assigned[next] += 1;
        places.push(next);
    }
    places
}
