//! The time of day by the median of the fleet's clocks.
//!
//! A clock of the fleet may jump by seconds and back, and requests would then be counted in the
//! wrong window. The monotonic clock of a process does not jump, so each node's time of day has a
//! constant offset from it as long as that node's clock is right; the estimate is the median offset
//! over many nodes. While fewer than half of the clocks are wrong, it stays within the spread of
//! the others.

use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// How long a clock's reading counts. Nodes exchange messages far more often.
const READING_AGE_MAX_MS: u64 = 30_000;
/// How often the estimate is updated.
const REFRESH_INTERVAL_MS: u64 = 200;

#[derive(Clone, Copy, Debug)]
struct Reading {
    offset_ms: i64,
    read_at: UnixMs,
}

/// An estimate of the time of day, given this process's monotonic clock. Moments of the monotonic
/// clock are [`UnixMs`] too, and are named `monotonic`.
#[derive(Clone, Debug, Default)]
pub struct FleetClock {
    offset_ms: i64,
    readings: IndexMap<SocketAddr, Reading>,
    refreshed_at: Option<UnixMs>,
}

impl FleetClock {
    /// Records that a node's clock showed `wall` when this process's monotonic clock showed
    /// `monotonic`.
    pub fn record_reading(&mut self, node: SocketAddr, wall: UnixMs, monotonic: UnixMs) {
        let offset_ms = wall.0 as i64 - monotonic.0 as i64;
        self.readings.insert(node, Reading { offset_ms, read_at: monotonic });
        let is_old =
            self.refreshed_at.is_none_or(|at| monotonic.since_ms(at) >= REFRESH_INTERVAL_MS);
        if is_old {
            self.refresh(monotonic);
        }
    }

    fn refresh(&mut self, monotonic: UnixMs) {
        self.refreshed_at = Some(monotonic);
        self.readings.retain(|_, reading| monotonic.since_ms(reading.read_at) < READING_AGE_MAX_MS);
        let mut offsets_ms: Vec<i64> =
            self.readings.values().map(|reading| reading.offset_ms).collect();
        offsets_ms.sort_unstable();
        if let Some(median) = offsets_ms.get(offsets_ms.len() / 2) {
            self.offset_ms = *median;
        }
    }

    /// Returns the time of day at a moment of the monotonic clock. `None` before any clock was
    /// read.
    pub fn at(&self, monotonic: UnixMs) -> Option<UnixMs> {
        self.refreshed_at?;
        Some(UnixMs((monotonic.0 as i64 + self.offset_ms).max(0) as u64))
    }

    /// Returns how many clocks the estimate is based on.
    pub fn clock_count(&self) -> usize {
        self.readings.len()
    }
}
