//! The life of a sample: queued, running, safe, bound, claimed.

use catkinmast_model::{Fence, Name, SampleId, Segments, UnixMs, Version};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One try at a sample.
///
/// The owner's fencing number is part of it: a new owner that has never heard of the old one's
/// tries must not give one of its own the same name, or tokens of the one could be delivered as
/// the other's.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Attempt(pub Fence, pub u32);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0, self.1)
    }
}

/// A whole and scored sample.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Finished {
    /// The nodes that hold its tokens.
    pub holders: Vec<Name>,
    /// Its score, in thousandths.
    pub score_millis: i64,
    /// The versions that made it.
    pub segments: Segments,
}

impl Eq for Finished {}

/// An attempt that is running.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub engine: Name,
    /// Tokens that it began with.
    pub resumed_tokens: u32,
    pub runner: Name,
    pub segments: Segments,
    pub started_at: UnixMs,
    /// Whether all tokens are there and only score and copy are missing.
    pub whole: bool,
}

/// Tokens that a failed run left with its runner.
#[derive(Clone, Debug)]
pub(crate) struct Partial {
    pub attempt: Attempt,
    pub runner: Name,
    pub segments: Segments,
}

/// Where a sample stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleState {
    /// It is in a batch that was claimed; it is kept for a repeated fetch.
    Claimed,
    /// It is in the batch that is being bound or is bound.
    Bound,
    /// It waits for an engine.
    Queued,
    /// One or more attempts run.
    Running,
    /// It is whole, scored and held by its holders.
    Safe,
}

/// One sample, as its owner knows it.
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

    /// Returns where the sample stands.
    pub const fn state(&self) -> SampleState {
        self.state
    }

    /// Returns the finished sample and the attempt that made it.
    pub const fn finished(&self) -> Option<&(Attempt, Finished)> {
        self.finished.as_ref()
    }

    /// Returns the age in versions against `current`, 0 for a sample without tokens.
    pub(crate) fn age_versions(&self, current: Version) -> u64 {
        self.finished.as_ref().map_or(0, |(_, finished)| finished.segments.age_versions(current))
    }

    /// Puts the sample back into the queue, without the tokens it had.
    pub(crate) fn start_over(&mut self) -> u64 {
        let wasted = self.finished.take().map_or(0, |(_, f)| u64::from(f.segments.token_count()));
        let partial = self.partial.take().map_or(0, |p| u64::from(p.segments.token_count()));
        self.state = SampleState::Queued;
        wasted + partial
    }
}
