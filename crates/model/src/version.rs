//! Weight versions, and the token ranges that were generated with them.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a version of a model's weights; a trainer publishes increasing numbers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A range of a sample's tokens and the weight version that generated them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    /// Index after the last token.
    pub end: u32,
    /// Index of the first token.
    pub start: u32,
    /// Weight version that the engine reported with these tokens.
    pub version: Version,
}

/// The segments of one sample, in order and without gaps.
///
/// Tokens are attributed to the version that the engine *reports with each chunk*, not to the one
/// that the engine was ordered to load: an order can be refused, be late, or come from a holder
/// whose lease lapsed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Segments(Vec<Segment>);

impl Segments {
    /// Appends `count` tokens of `version`, extending the last segment if it has that version.
    pub fn push(&mut self, version: Version, count: u32) {
        let start = self.token_count();
        let end = start + count;
        match self.0.last_mut() {
            Some(last) if last.version == version => last.end = end,
            _ if count > 0 => self.0.push(Segment { end, start, version }),
            _ => {}
        }
    }

    /// Returns the number of attributed tokens.
    pub fn token_count(&self) -> u32 {
        self.0.last().map_or(0, |last| last.end)
    }

    /// Returns the oldest version, or none if there are no tokens.
    pub fn oldest(&self) -> Option<Version> {
        self.0.iter().map(|segment| segment.version).min()
    }

    /// Returns the age of the sample, in versions behind the trainer's `current` version. It is the
    /// age of the oldest segment.
    pub fn age_versions(&self, current: Version) -> u64 {
        self.oldest().map_or(0, |oldest| current.0.saturating_sub(oldest.0))
    }

    /// Returns the segments.
    pub fn as_slice(&self) -> &[Segment] {
        &self.0
    }
}
