//! Identification of one run of a target's process.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One run of a target's process; a restart under the same id is another incarnation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetIncarnation {
    /// The target's id.
    pub id: String,
    /// Start time by the target's clock, or `None` if the target does not report it.
    pub started_at_unix_ms: Option<u64>,
}

impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at_unix_ms {
            Some(started_at_unix_ms) => write!(f, "{}@{started_at_unix_ms}", self.id),
            None => f.write_str(&self.id),
        }
    }
}
