//! Points in time. Deadlines are stored as points in time, never as durations.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A point in time: milliseconds since the Unix epoch, or of a virtual clock in tests.
///
/// Code that makes decisions takes `now` as an argument; only the outermost layer of a process
/// reads a clock.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// Reads the wall clock. Only for the outermost layer of a process.
    pub fn from_wall_clock() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Self(since.as_millis() as u64)
    }

    /// Returns the point in time `later_ms` milliseconds after this one.
    #[must_use]
    pub const fn plus(self, later_ms: u64) -> Self {
        Self(self.0.saturating_add(later_ms))
    }

    /// Returns the milliseconds from `earlier` to this point in time, or 0 if `earlier` is later.
    pub const fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for UnixMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
