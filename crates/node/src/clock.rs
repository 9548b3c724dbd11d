//! The node's clock, used by the control thread and for deadlines.
//!
//! A lease holder decides by its own clock when to stop, so the clock must never go back and must
//! count pauses. The wall clock can be set back, and the monotonic clock does not count the time
//! during which the whole machine was suspended. This clock therefore advances with the monotonic
//! clock and jumps forward when the wall clock is ahead of it. If the wall clock is set forward by
//! mistake, leases expire once, which costs a few seconds; a clock that runs behind would let two
//! holders act at the same time.

use catkinmast_model::UnixMs;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// The wall clock must be ahead by more than this to count as a pause; smaller differences come
/// from a time service that slews the clock.
const PAUSE_MIN_MS: u64 = 500;

/// A clock that never goes back.
#[derive(Debug)]
pub(crate) struct Clock {
    offset_ms: AtomicU64,
    started: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { offset_ms: AtomicU64::new(UnixMs::from_wall_clock().0), started: Instant::now() }
    }

    pub(crate) fn now(&self) -> UnixMs {
        self.at(self.started.elapsed().as_millis() as u64, UnixMs::from_wall_clock())
    }

    /// Returns the time for a monotonic clock that has advanced by `elapsed_ms` since the start and
    /// a wall clock that shows `wall`.
    fn at(&self, elapsed_ms: u64, wall: UnixMs) -> UnixMs {
        let offset_ms = self.offset_ms.load(Ordering::Relaxed);
        if wall.since_ms(UnixMs(offset_ms + elapsed_ms)) <= PAUSE_MIN_MS {
            return UnixMs(offset_ms + elapsed_ms);
        }
        let jumped = wall.0.saturating_sub(elapsed_ms);
        self.offset_ms.fetch_max(jumped, Ordering::Relaxed);
        UnixMs(jumped.max(offset_ms) + elapsed_ms)
    }
}
