//! One life of a target.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One life of a target: a restart under the same id is another one.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Life {
    /// The target's id.
    pub id: String,
    /// When it began, by the target's clock; none where targets do not tell.
    pub born_at_unix_ms: Option<u64>,
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_at_unix_ms {
            Some(born_at_unix_ms) => write!(f, "{}@{born_at_unix_ms}", self.id),
            None => f.write_str(&self.id),
        }
    }
}
