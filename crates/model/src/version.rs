//! Weight versions and the token ranges they produced.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a model's weights; a trainer publishes ever higher ones.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A range of a sample's tokens and the version that produced them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    /// Index after the last token.
    pub end: u32,
    /// Index of the first token.
    pub start: u32,
    /// The version that the engine reported with these tokens.
    pub version: Version,
}

/// The segments of one sample, in order and without gaps.
///
/// Attribution is what the engine *reports with each chunk*, never what was ordered: an order can
/// be refused, late, or taken from a holder whose lease had lapsed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Segments(Vec<Segment>);

impl Segments {
    /// Appends `count` tokens of `version`, merging with the last segment if it is the same.
    pub fn push(&mut self, version: Version, count: u32) {
        let start = self.token_count();
        let end = start + count;
        match self.0.last_mut() {
            Some(last) if last.version == version => last.end = end,
            _ if count > 0 => self.0.push(Segment { end, start, version }),
            _ => {}
        }
    }

    /// Returns how many tokens are attributed.
    pub fn token_count(&self) -> u32 {
        self.0.last().map_or(0, |last| last.end)
    }

    /// Returns the oldest version, or none when no token is there.
    pub fn oldest(&self) -> Option<Version> {
        self.0.iter().map(|segment| segment.version).min()
    }

    /// Returns the age in versions against the trainer's `current` version.
    ///
    /// The age of a sample is that of its oldest segment (brief, "What must always hold").
    pub fn age_versions(&self, current: Version) -> u64 {
        self.oldest().map_or(0, |oldest| current.0.saturating_sub(oldest.0))
    }

    /// Borrows the segments.
    pub fn as_slice(&self) -> &[Segment] {
        &self.0
    }
}
