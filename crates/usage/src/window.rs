//! The time windows of usage reports.

use catkinmast_model::UnixMs;
use serde::{Deserialize, Serialize};

/// Number of a window, counted from the start of 1970.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Window(pub u64);

/// Windows of one length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Windows {
    length_ms: u64,
}

impl Windows {
    /// Divides time into windows of this length, in milliseconds. A length of 0 counts as 1.
    pub const fn of_ms(length_ms: u64) -> Self {
        Self { length_ms: if length_ms == 0 { 1 } else { length_ms } }
    }

    /// Returns the window of a time of day.
    pub const fn at(self, time: UnixMs) -> Window {
        Window(time.0 / self.length_ms)
    }

    /// Returns when a window ends.
    pub const fn end(self, window: Window) -> UnixMs {
        UnixMs((window.0 + 1) * self.length_ms)
    }
}
