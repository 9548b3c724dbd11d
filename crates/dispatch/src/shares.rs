//! How the targets of one service are shared among the models that they serve.
//!
//! It answers steps of different sizes on the same targets: with equal shares, a step of 255 long
//! items waited for slots (its last item began 2.9 to 6.4 s after the others) beside a model whose
//! short items left most of theirs free. So each model gets targets in proportion to the work
//! of its recent batches. All nodes compute the same shares from what owners tell of their batches;
//! where they differ for a moment, items start later, and nothing else goes wrong.

use indexmap::IndexMap;

/// The share of a new batch in a model's mean work, as one part in this many: the lengths of a
/// step's items vary by a fifth from step to step, and a target that changes its model costs a load.
const WORK_PARTS: u64 = 4;
/// Each model gets at least one target for this many of an equal share, whatever its work is: it
/// still has to live through the loss of some of them.
const LEAST_PARTS: u64 = 2;
/// A batch counts as at most so much work. The lengths are the caller's word: without a bound one
/// absurd estimate would take nearly all targets from the other models, or overflow.
const WORK_MAX_TOKENS: u64 = 1 << 30;
/// Shares are in thousandths of a target.
pub(crate) const SHARE_UNIT: u64 = 1_000;

/// The work that each model's batches bring.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    work_tokens: IndexMap<String, u64>,
}

impl Demand {
    /// Takes a batch of a model, by the tokens that its items are expected to generate.
    pub fn record_batch(&mut self, model: &str, tokens: u64) {
        let tokens = tokens.min(WORK_MAX_TOKENS);
        match self.work_tokens.get_mut(model) {
            Some(held) => *held = (*held * (WORK_PARTS - 1) + tokens) / WORK_PARTS,
            None => {
                self.work_tokens.insert(model.to_owned(), tokens);
            }
        }
    }

    /// Shares `count` targets among models, in thousandths of a target, in the order of `models`.
    ///
    /// A model of which no batch was seen counts as the mean of the others.
    pub fn shares(&self, models: &[String], count: usize) -> Vec<u64> {
        let seen: Vec<u64> = models.iter().filter_map(|model| self.of(model)).collect();
        let mean = seen.iter().sum::<u64>().checked_div(seen.len() as u64).unwrap_or(1).max(1);
        let work = models.iter().map(|model| self.of(model).unwrap_or(mean)).collect::<Vec<u64>>();
        let whole = count as u64 * SHARE_UNIT;
        let least = whole / (models.len().max(1) as u64 * LEAST_PARTS);
        let mut fixed = vec![false; models.len()];
        loop {
            let held = fixed.iter().filter(|fixed| **fixed).count() as u64 * least;
            let free: u64 = work.iter().zip(&fixed).filter(|(_, f)| !**f).map(|(w, _)| *w).sum();
            let of = |(work, fixed): (&u64, &bool)| {
                if *fixed { least } else { (whole - held) * work / free.max(1) }
            };
            let shares: Vec<u64> = work.iter().zip(&fixed).map(of).collect();
            let small = shares.iter().position(|share| *share < least);
            match small {
                Some(place) => fixed[place] = true,
                None => return shares,
            }
        }
    }

    fn of(&self, model: &str) -> Option<u64> {
        self.work_tokens.get(model).copied()
    }
}

/// Deals `count` places out to shares, so that each stretch of places holds them in proportion;
/// returns for each place the index of its share.
pub fn interleave(shares: &[u64], count: usize) -> Vec<usize> {
    let whole: u64 = shares.iter().sum::<u64>().max(1);
    let mut dealt = vec![0_u64; shares.len()];
    let mut places = Vec::with_capacity(count);
    for place in 1..=count as u64 {
        let missing = |index: usize| (shares[index] * place) as i64 - (dealt[index] * whole) as i64;
        let Some(next) = (0..shares.len()).rev().max_by_key(|index| missing(*index)) else { break };
        dealt[next] += 1;
        places.push(next);
    }
    places
}
