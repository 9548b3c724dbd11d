//! The ledger: the state of a trainer's steps that must survive their owner.
//!
//! It is one value in the key-value service per trainer. It is small because it holds no tokens: a
//! sample in a bound batch takes a few numbers, and a claimed one takes one bit.

use crate::sample::Attempt;
use crate::spec::Registration;
use catkinmast_model::{Fence, SampleId, Version};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How many finished steps the ledger keeps, so that a repeated submission is recognised.
const DONE_STEPS_KEPT: usize = 16;
/// How many settled batches the ledger keeps, so that a repeated claim is recognised.
const SETTLED_BATCHES_KEPT: usize = 256;

/// A set of sample indices in a step, one bit each.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ClaimedSet(Vec<u64>);

impl ClaimedSet {
    /// Adds an index. Returns whether it was new.
    pub fn insert(&mut self, index: u32) -> bool {
        let (word, bit) = (index as usize / 64, index % 64);
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        let was_new = self.0[word] & (1 << bit) == 0;
        self.0[word] |= 1 << bit;
        was_new
    }

    /// Returns whether an index is in the set.
    pub fn contains(&self, index: u32) -> bool {
        self.0.get(index as usize / 64).is_some_and(|word| word & (1 << (index % 64)) != 0)
    }

    /// Returns the number of indices in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The ledger's record of a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepRecord {
    /// The claimed samples, by `group * group_size + index`.
    pub claimed: ClaimedSet,
    /// Digest of the stored step; a repeated submission must have the same.
    pub digest: String,
    /// Samples in a group, as registered when the step was submitted.
    pub group_size: u32,
    /// Number of groups in the step.
    pub groups: u32,
}

impl StepRecord {
    /// Returns the number of samples in the step.
    pub const fn samples(&self) -> u32 {
        self.groups * self.group_size
    }

    /// Returns whether every sample has been claimed.
    pub fn is_done(&self) -> bool {
        self.claimed.len() == self.samples()
    }

    /// Returns a sample's index in [`StepRecord::claimed`].
    pub const fn position(&self, id: SampleId) -> u32 {
        id.group * self.group_size + id.index
    }
}

/// The state of a batch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchState {
    /// Its samples are fixed; nobody has the right to use it yet.
    Bound,
    /// The trainer has the right to use it.
    Claimed,
    /// Nobody will ever have the right to use it.
    Void,
}

/// A sample in a batch: its group, its index and the attempt that produced it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoundSample(pub u32, pub u32, pub Attempt);

/// The ledger's record of a batch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchRecord {
    /// The samples; cleared some time after the batch is settled.
    pub samples: Vec<BoundSample>,
    /// The state.
    pub state: BatchState,
    /// The step.
    pub step: u64,
}

impl BatchRecord {
    /// Returns the batch's samples and the attempts that produced them.
    pub fn ids(&self) -> Vec<(SampleId, Attempt)> {
        let to_id = |BoundSample(group, index, attempt): &BoundSample| {
            (SampleId { step: self.step, group: *group, index: *index }, *attempt)
        };
        self.samples.iter().map(to_id).collect()
    }
}

/// The state of a trainer's steps that must survive their owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    /// Batches by number.
    pub batches: IndexMap<u64, BatchRecord>,
    /// Fencing number of the last writer.
    pub fence: Fence,
    /// Number of the next batch.
    pub next_batch: u64,
    /// What the trainer set when it registered.
    pub registration: Option<Registration>,
    /// Steps by number, oldest first.
    pub steps: IndexMap<u64, StepRecord>,
    /// The last published weight version.
    pub trainer_version: Version,
    /// Unique id of the last write, by which a writer that lost the reply recognises its own write.
    pub write_id: String,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            batches: IndexMap::new(),
            fence: Fence::default(),
            next_batch: 1,
            registration: None,
            steps: IndexMap::new(),
            trainer_version: Version::default(),
            write_id: String::new(),
        }
    }
}

impl Ledger {
    /// Iterates over the steps with unclaimed samples, oldest first.
    pub fn open_steps(&self) -> impl Iterator<Item = (u64, &StepRecord)> {
        self.steps.iter().filter(|(_, step)| !step.is_done()).map(|(number, step)| (*number, step))
    }

    /// Counts the batches that are bound and not yet claimed.
    pub fn bound_batches(&self) -> usize {
        self.batches.values().filter(|batch| batch.state == BatchState::Bound).count()
    }

    /// Binds the next batch number to these samples and returns the number.
    pub(crate) fn bind(&mut self, step: u64, samples: Vec<BoundSample>) -> u64 {
        let number = self.next_batch;
        self.next_batch += 1;
        let record = BatchRecord { samples, state: BatchState::Bound, step };
        self.batches.insert(number, record);
        number
    }

    /// Settles a bound batch as claimed. Returns whether it was bound until now.
    pub(crate) fn claim(&mut self, number: u64) -> bool {
        let Some(batch) = self.batches.get_mut(&number) else { return false };
        if batch.state != BatchState::Bound {
            return false;
        }
        batch.state = BatchState::Claimed;
        if let Some(step) = self.steps.get_mut(&batch.step) {
            for BoundSample(group, index, _) in &batch.samples {
                step.claimed.insert(group * step.group_size + index);
            }
        }
        self.trim();
        true
    }

    /// Settles a bound batch as void. Returns whether it was bound until now.
    pub(crate) fn void(&mut self, number: u64) -> bool {
        match self.batches.get_mut(&number) {
            Some(batch) if batch.state == BatchState::Bound => {
                batch.state = BatchState::Void;
                self.trim();
                true
            }
            _ => false,
        }
    }

    /// Removes the oldest done steps and settled batches, which no retry after a lost reply can
    /// refer to any more, and the sample lists of all but the last two settled batches.
    fn trim(&mut self) {
        let done: Vec<u64> =
            self.steps.iter().filter(|(_, s)| s.is_done()).map(|(number, _)| *number).collect();
        for number in done.iter().take(done.len().saturating_sub(DONE_STEPS_KEPT)) {
            self.steps.shift_remove(number);
        }
        let settled: Vec<u64> = self
            .batches
            .iter()
            .filter(|(_, batch)| batch.state != BatchState::Bound)
            .map(|(number, _)| *number)
            .collect();
        for number in settled.iter().take(settled.len().saturating_sub(SETTLED_BATCHES_KEPT)) {
            self.batches.shift_remove(number);
        }
        // Sample lists of settled batches are needed only while their content may be fetched again.
        for number in settled.iter().rev().skip(2) {
            if let Some(batch) = self.batches.get_mut(number) {
                batch.samples = Vec::new();
            }
        }
    }
}
