//! The verdict: may a request have run?
//!
//! The brief's promise "a refusal that says not run is true" rests on this type. A verdict is
//! computed from how far the bytes got, never from an error's name: `NotRun` needs proof that the
//! target cannot have acted, and everything without proof is `MayHaveRun`.

use crate::UnixMs;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Whether a request may have run on its target.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// not_run
    NotRun,
    /// may_have_run
    MayHaveRun,
    /// ran
    Ran,
}

impl Verdict {
    /// Tells whether sending the request again can run it a second time.
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::NotRun)
    }
}

/// A request given up on, answered at once, with the time to come back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// What went wrong, for people.
    pub message: String,
    /// When to come back, if coming back can help.
    pub retry_at_unix_ms: Option<UnixMs>,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl Refusal {
    /// Makes a refusal of a request that cannot have run.
    pub fn not_run(message: impl Into<String>) -> Self {
        Self { message: message.into(), retry_at_unix_ms: None, verdict: Verdict::NotRun }
    }

    /// Makes a refusal of a request that may have run.
    pub fn may_have_run(message: impl Into<String>) -> Self {
        Self { message: message.into(), retry_at_unix_ms: None, verdict: Verdict::MayHaveRun }
    }

    /// Adds the time to come back.
    #[must_use]
    pub const fn retry_at(mut self, at: UnixMs) -> Self {
        self.retry_at_unix_ms = Some(at);
        self
    }
}
