//! A sample and its states: queued, running, safe, bound, claimed.

use catkinmast_model::{Fence, Name, SampleId, Segments, UnixMs, Version};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies one attempt at a sample: the owner's fencing number, and the number of the
/// attempt.
///
/// The fencing number keeps attempts of different owners apart: a new owner does not know the
/// attempts of the old one, and with equal identifiers the tokens of one attempt could be delivered
/// as another's.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Attempt(pub Fence, pub u32);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0, self.1)
    }
}

/// The metadata of a complete and scored sample.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Finished {
    /// The nodes that hold its tokens.
    pub holders: Vec<Name>,
    /// Its score, in thousandths.
    pub score_millis: i64,
    /// The weight versions that generated its tokens.
    pub segments: Segments,
}

impl Eq for Finished {}

/// An attempt that is running.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub engine: Name,
    /// Number of tokens it resumed from.
    pub resumed_tokens: u32,
    pub runner: Name,
    pub segments: Segments,
    pub started_at: UnixMs,
    /// Whether all tokens have been generated and only score and copy are missing.
    pub complete: bool,
}

/// Tokens of a failed run that its runner still holds.
#[derive(Clone, Debug)]
pub(crate) struct Partial {
    pub attempt: Attempt,
    pub runner: Name,
    pub segments: Segments,
}

/// The state of a sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleState {
    /// It is in a claimed batch and kept for a repeated fetch.
    Claimed,
    /// It is in a batch that is bound or being bound.
    Bound,
    /// It waits to be started on an engine.
    Queued,
    /// One or more attempts are running.
    Running,
    /// It is complete, scored and stored on its holders.
    Safe,
}

/// The owner's view of one sample.
#[derive(Clone, Debug)]
pub struct Sample {
    pub(crate) attempts: u32,
    pub(crate) finished: Option<(Attempt, Finished)>,
    pub(crate) id: SampleId,
    pub(crate) not_before: UnixMs,
    pub(crate) partial: Option<Partial>,
    pub(crate) runs: IndexMap<Attempt, Run>,
    pub(crate) state: SampleState,
}

impl Sample {
    pub(crate) fn queued(id: SampleId) -> Self {
        Self {
            attempts: 0,
            finished: None,
            id,
            not_before: UnixMs(0),
            partial: None,
            runs: IndexMap::new(),
            state: SampleState::Queued,
        }
    }

    /// Returns the state of the sample.
    pub const fn state(&self) -> SampleState {
        self.state
    }

    /// Returns the finished sample and the attempt that produced it.
    pub const fn finished(&self) -> Option<&(Attempt, Finished)> {
        self.finished.as_ref()
    }

    /// Returns the staleness against `current` in versions, or 0 for a sample that is not finished.
    pub(crate) fn age_versions(&self, current: Version) -> u64 {
        self.finished.as_ref().map_or(0, |(_, finished)| finished.segments.age_versions(current))
    }

    /// Discards the sample's tokens and queues it again. Returns the number of tokens discarded.
    pub(crate) fn start_over(&mut self) -> u64 {
        let wasted = self.finished.take().map_or(0, |(_, f)| u64::from(f.segments.token_count()));
        let partial = self.partial.take().map_or(0, |p| u64::from(p.segments.token_count()));
        self.state = SampleState::Queued;
        wasted + partial
    }
}
