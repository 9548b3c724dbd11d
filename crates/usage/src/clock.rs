//! The time of day as most clocks have it.
//!
//! *A clock of the fleet jumps by seconds, and back.* It would be noticed as requests that are counted in
//! the wrong window. The steady clock of a process does not jump, so the difference of each node's time of
//! day to it is constant while that node's clock is right; the median over many nodes is the estimate.
//! While fewer than half of the clocks lie, it stays within the spread of the others.

use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// How long a clock's reading counts: nodes hear of each other far more often.
const KEPT_MS: u64 = 30_000;
/// How often the estimate is made anew.
const REFRESH_MS: u64 = 200;

#[derive(Clone, Copy, Debug)]
struct Reading {
    ahead_ms: i64,
    read_at: UnixMs,
}

/// An estimate of the time of day, by this process's steady clock.
#[derive(Clone, Debug, Default)]
pub struct FleetClock {
    ahead_ms: i64,
    readings: IndexMap<SocketAddr, Reading>,
    refreshed_at: Option<UnixMs>,
}

impl FleetClock {
    /// Takes it that a node's clock showed `wall` when this process's steady clock showed `steady`.
    pub fn record_reading(&mut self, node: SocketAddr, wall: UnixMs, steady: UnixMs) {
        let ahead_ms = wall.0 as i64 - steady.0 as i64;
        self.readings.insert(node, Reading { ahead_ms, read_at: steady });
        let is_old = self.refreshed_at.is_none_or(|at| steady.since_ms(at) >= REFRESH_MS);
        if is_old {
            self.refresh(steady);
        }
    }

    fn refresh(&mut self, steady: UnixMs) {
        self.refreshed_at = Some(steady);
        self.readings.retain(|_, reading| steady.since_ms(reading.read_at) < KEPT_MS);
        let mut ahead: Vec<i64> = self.readings.values().map(|reading| reading.ahead_ms).collect();
        ahead.sort_unstable();
        if let Some(median) = ahead.get(ahead.len() / 2) {
            self.ahead_ms = *median;
        }
    }

    /// Returns the time of day at a moment of the steady clock; none before any clock was read.
    pub fn at(&self, steady: UnixMs) -> Option<UnixMs> {
        self.refreshed_at?;
        Some(UnixMs((steady.0 as i64 + self.ahead_ms).max(0) as u64))
    }

    /// Returns how many clocks the estimate rests on.
    pub fn clock_count(&self) -> usize {
        self.readings.len()
    }
}
