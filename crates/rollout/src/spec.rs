//! What trainers send and receive.

use crate::sample::{Attempt, Finished};
use catkinmast_model::{Refusal, SampleId, UnixMs, Version};
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Most samples in a step.
const STEP_SAMPLES_MAX: u64 = 65_536;
/// The longest prompt, in bytes.
const PROMPT_MAX_BYTES: usize = 64 * 1024;
/// The most tokens of a sample.
const SAMPLE_TOKENS_MAX: u32 = 1 << 20;

/// What a trainer sets when it registers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// Samples in a batch; a multiple of `group_size`.
    pub batch_samples: u32,
    /// Samples in a group.
    pub group_size: u32,
    /// How much idle time weighs against staleness, 0 to 100.
    pub idle_weight_percent: u32,
    /// The oldest sample that the trainer may use, in versions.
    pub staleness_bound_versions: u64,
}

/// One group: samples of the same prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// The prompt.
    pub prompt: String,
}

/// One step of a trainer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// When the trainer wants the whole step.
    pub deadline_unix_ms: UnixMs,
    /// The groups.
    pub groups: Vec<GroupSpec>,
    /// Most tokens of a sample.
    pub max_tokens: u32,
    /// Seed from which the samples' seeds follow.
    pub seed: u64,
}

/// A step or registration is refused: {field}: {message}
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub struct SpecError {
    /// The field.
    pub field: String,
    /// What is wrong, with the value.
    pub message: String,
}

impl std::error::Error for SpecError {}

fn spec_error(field: impl Into<String>, message: impl Into<String>) -> SpecError {
    SpecError { field: field.into(), message: message.into() }
}

impl Registration {
    /// Checks the numbers against each other.
    ///
    /// # Errors
    /// Names the first field that is wrong.
    pub fn check(&self) -> Result<(), SpecError> {
        let (batch, group) = (self.batch_samples, self.group_size);
        if group == 0 {
            return Err(spec_error("group_size", "is 0; at least 1 is needed"));
        }
        if batch == 0 || !batch.is_multiple_of(group) {
            let message = format!("is {batch}, not a multiple of group_size ({group})");
            return Err(spec_error("batch_samples", message));
        }
        if self.idle_weight_percent > 100 {
            let message = format!("is {}; 0 to 100 are allowed", self.idle_weight_percent);
            return Err(spec_error("idle_weight_percent", message));
        }
        Ok(())
    }
}

impl StepSpec {
    /// Checks the step's sizes.
    ///
    /// # Errors
    /// Names the first field that is wrong.
    pub fn check(&self, group_size: u32) -> Result<(), SpecError> {
        if self.groups.is_empty() {
            return Err(spec_error("groups", "is empty"));
        }
        let samples = self.groups.len() as u64 * u64::from(group_size);
        if samples > STEP_SAMPLES_MAX {
            let message = format!("make {samples} samples, {STEP_SAMPLES_MAX} are allowed");
            return Err(spec_error("groups", message));
        }
        let too_long = self.groups.iter().position(|g| g.prompt.len() > PROMPT_MAX_BYTES);
        if let Some(index) = too_long {
            let message = format!("is longer than {PROMPT_MAX_BYTES} bytes");
            return Err(spec_error(format!("groups[{index}].prompt"), message));
        }
        if self.max_tokens == 0 || self.max_tokens > SAMPLE_TOKENS_MAX {
            let message = format!("is {}; 1 to {SAMPLE_TOKENS_MAX} are allowed", self.max_tokens);
            return Err(spec_error("max_tokens", message));
        }
        Ok(())
    }

    /// Returns the sampling seed of one sample.
    pub fn sample_seed(&self, group: u32, index: u32) -> u64 {
        self.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(group) << 16 | u64::from(index))
    }
}

/// A trainer's command to the owner of its steps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Takes the right to use a batch.
    Claim {
        /// The version that the trainer trains on.
        at_version: Version,
        /// The batch.
        batch: u64,
    },
    /// Reads a batch, waiting for it if need be.
    Fetch {
        /// The batch.
        batch: u64,
        /// Until when to wait.
        until: UnixMs,
    },
    /// Reads how far the steps are.
    Progress,
    /// Announces a version that stands in the weight store.
    Publish {
        /// The version.
        version: Version,
    },
    /// Sets the trainer's bound and sizes.
    Register(Registration),
    /// Adds a step.
    Submit {
        /// The trainer's number of the step.
        step: u64,
        /// The step.
        spec: StepSpec,
    },
}

/// A sample of a bound batch, and who holds its tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoundView {
    /// The attempt that made it.
    pub attempt: Attempt,
    /// What is known of it.
    pub finished: Finished,
    /// The sample.
    pub id: SampleId,
}

/// A bound batch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchView {
    /// Its number.
    pub batch: u64,
    /// Its samples.
    pub samples: Vec<BoundView>,
    /// The step that they belong to.
    pub step: u64,
}

/// How far a trainer's steps are.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Bound batches that are not claimed yet.
    pub batches_bound: u64,
    /// Claimed batches.
    pub batches_claimed: u64,
    /// Samples that run.
    pub samples_running: u64,
    /// Samples that wait for an engine.
    pub samples_queued: u64,
    /// Samples that are whole and held.
    pub samples_safe: u64,
    /// Steps past their deadline.
    pub steps_late: u64,
    /// Steps that are not yet claimed whole.
    pub steps_open: u64,
    /// Tokens of runs that were given up on.
    pub tokens_wasted: u64,
    /// The last version published.
    pub trainer_version: Version,
}

/// The owner's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The step is stored; it is new or was known.
    Accepted {
        /// The step.
        step: u64,
    },
    /// The batch.
    Batch(BatchView),
    /// The batch is the trainer's to use.
    Claimed {
        /// The batch.
        batch: u64,
    },
    /// The command is wrong in itself.
    Invalid(SpecError),
    /// The batch is not bound yet.
    NotYet {
        /// When to ask again.
        retry_at: UnixMs,
    },
    /// How far the steps are.
    Progress(Progress),
    /// The version is noted.
    Published {
        /// The version.
        version: Version,
    },
    /// Given up on.
    Refused(Refusal),
    /// The registration in force.
    Registered(Registration),
    /// The batch will never be used; its samples come again in another.
    Void {
        /// The batch.
        batch: u64,
    },
}

pub(crate) fn invalid(field: impl Into<String>, message: impl Into<String>) -> Reply {
    Reply::Invalid(spec_error(field, message))
}
