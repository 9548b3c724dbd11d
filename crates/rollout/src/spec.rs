//! Commands from trainers and the replies to them.

use crate::sample::{Attempt, Finished};
use catkinmast_model::{Refusal, SampleId, UnixMs, Version};
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Maximum number of samples in a step.
const STEP_SAMPLES_MAX: u64 = 65_536;
/// Maximum length of a prompt, in bytes.
const PROMPT_MAX_BYTES: usize = 64 * 1024;
/// Maximum number of tokens in a sample.
const SAMPLE_TOKENS_MAX: u32 = 1 << 20;

/// The values that a trainer sets when it registers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// Number of samples in a batch; a multiple of `group_size`.
    pub batch_samples: u32,
    /// Number of samples in a group.
    pub group_size: u32,
    /// Weight of trainer idle time against staleness, 0 to 100.
    pub idle_weight_percent: u32,
    /// The staleness bound: the maximum age of a sample that the trainer may use, in versions.
    pub staleness_bound_versions: u64,
}

/// A group of samples of the same prompt.
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
    /// When the trainer wants the step to be complete.
    pub deadline_unix_ms: UnixMs,
    /// The groups.
    pub groups: Vec<GroupSpec>,
    /// Maximum number of tokens in a sample.
    pub max_tokens: u32,
    /// Seed from which the samples' seeds are derived.
    pub seed: u64,
}

/// A step or registration is refused: {field}: {message}
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub struct SpecError {
    /// The name of the invalid field.
    pub field: String,
    /// What is wrong with it, including the value.
    pub message: String,
}

impl std::error::Error for SpecError {}

fn spec_error(field: impl Into<String>, message: impl Into<String>) -> SpecError {
    SpecError { field: field.into(), message: message.into() }
}

impl Registration {
    /// Checks the values and that they are consistent.
    ///
    /// # Errors
    /// Returns the first invalid field.
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
    /// Checks the step's sizes against their limits.
    ///
    /// # Errors
    /// Returns the first invalid field.
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
    /// Claims the right to use a batch.
    Claim {
        /// The trainer's current weight version.
        at_version: Version,
        /// The batch.
        batch: u64,
    },
    /// Reads a batch, waiting until it is bound.
    Fetch {
        /// The batch.
        batch: u64,
        /// The latest time to wait until.
        until: UnixMs,
    },
    /// Reads the progress of the steps.
    Progress,
    /// Announces a weight version that is available in the weight store.
    Publish {
        /// The version.
        version: Version,
    },
    /// Sets the trainer's staleness bound and sizes.
    Register(Registration),
    /// Adds a step.
    Submit {
        /// The trainer's number of the step.
        step: u64,
        /// The content of the step.
        spec: StepSpec,
    },
}

/// A sample of a bound batch, and the nodes that hold its tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoundView {
    /// The attempt that produced it.
    pub attempt: Attempt,
    /// The metadata of the sample.
    pub finished: Finished,
    /// The sample.
    pub id: SampleId,
}

/// A bound batch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchView {
    /// The number of the batch.
    pub batch: u64,
    /// The samples of the batch.
    pub samples: Vec<BoundView>,
    /// The step that the samples belong to.
    pub step: u64,
}

/// The progress of a trainer's steps.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Number of bound batches that are not claimed yet.
    pub batches_bound: u64,
    /// Number of settled batches, i.e. claimed or void.
    pub batches_claimed: u64,
    /// Number of running samples.
    pub samples_running: u64,
    /// Number of samples that wait for an engine.
    pub samples_queued: u64,
    /// Number of samples that are complete, scored and not yet bound.
    pub samples_safe: u64,
    /// Number of open steps past their deadline.
    pub steps_late: u64,
    /// Number of steps with unclaimed samples.
    pub steps_open: u64,
    /// Number of discarded tokens: of cancelled and failed runs, and of samples that start over,
    /// e.g. because they became stale.
    pub tokens_wasted: u64,
    /// The last published weight version.
    pub trainer_version: Version,
}

/// The owner's reply to a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The step is stored, now or by an earlier submission.
    Accepted {
        /// The step.
        step: u64,
    },
    /// The batch.
    Batch(BatchView),
    /// The trainer has the right to use the batch.
    Claimed {
        /// The batch.
        batch: u64,
    },
    /// The command is invalid.
    Invalid(SpecError),
    /// The batch is not bound yet.
    NotYet {
        /// When to fetch again.
        retry_at: UnixMs,
    },
    /// The progress of the steps.
    Progress(Progress),
    /// The version has been recorded.
    Published {
        /// The latest published version.
        version: Version,
    },
    /// The command is refused.
    Refused(Refusal),
    /// The registration in force.
    Registered(Registration),
    /// The batch will never be usable; its samples are delivered in another one.
    Void {
        /// The batch.
        batch: u64,
    },
}

pub(crate) fn invalid(field: impl Into<String>, message: impl Into<String>) -> Reply {
    Reply::Invalid(spec_error(field, message))
}
