//! The clock of the control thread and of all waits.
//!
//! A lease holder must stop by its own clock, so that clock must never go back and must not miss
//! a pause. The wall clock can be set back; the monotonic clock does not count the time in which
//! a whole machine was suspended. This clock runs with the monotonic one and jumps forward when
//! the wall clock has gone ahead of it. A wall clock that is set forward by mistake makes leases
//! lapse once, which costs some seconds; the opposite mistake would let two holders act.

use catkinmast_model::UnixMs;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// A wall clock this far ahead tells of a pause; less is the slewing of a time service.
const JUMP_MS: u64 = 500;

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

    /// Returns the time when the monotonic clock has run for `ran_ms` and the wall clock says
    /// `wall`.
    fn at(&self, ran_ms: u64, wall: UnixMs) -> UnixMs {
        let offset_ms = self.offset_ms.load(Ordering::Relaxed);
        if wall.since_ms(UnixMs(offset_ms + ran_ms)) <= JUMP_MS {
            return UnixMs(offset_ms + ran_ms);
        }
        let jumped = wall.0.saturating_sub(ran_ms);
        self.offset_ms.fetch_max(jumped, Ordering::Relaxed);
        UnixMs(jumped.max(offset_ms) + ran_ms)
    }
}
