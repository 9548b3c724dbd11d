//! Verdicts: whether a request may have run.
//!
//! A refusal that says "not run" must be true. `NotRun` therefore requires a reason why the target
//! cannot have acted: no byte of the request was sent, as when the connection failed, or the target
//! answered that it refused the request. Otherwise the verdict is `MayHaveRun`.

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
    /// Returns whether sending the request again could run it a second time.
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::NotRun)
    }

    /// Returns the verdict of a request that was attempted twice: it has not run only if neither
    /// attempt has.
    #[must_use]
    pub const fn combined_with(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }
}

/// The refusal of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Description of the problem.
    pub message: String,
    /// When to retry, if retrying can help.
    pub retry_at_unix_ms: Option<UnixMs>,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl Refusal {
    /// Creates a refusal of a request that cannot have run.
    pub fn not_run(message: impl Into<String>) -> Self {
        Self { message: message.into(), retry_at_unix_ms: None, verdict: Verdict::NotRun }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(message: impl Into<String>) -> Self {
        Self { message: message.into(), retry_at_unix_ms: None, verdict: Verdict::MayHaveRun }
    }

    /// Sets the time to retry.
    #[must_use]
    pub const fn retry_at(mut self, at: UnixMs) -> Self {
        self.retry_at_unix_ms = Some(at);
        self
    }
}
