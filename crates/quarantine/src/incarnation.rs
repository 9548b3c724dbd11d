//! One life of a target.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One life of a target: a restart under the same id is another one.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetIncarnation {
    /// The target's id.
    pub id: String,
    /// When it began, by the target's clock; none where targets do not tell.
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
