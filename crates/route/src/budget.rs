//! A budget for retries.
//!
//! When targets fail, each caller that retries adds load where capacity is already short. The
//! budget bounds that: each first attempt earns a fraction of a unit, each retry spends one unit,
//! and with an empty budget the failure is answered at once.

/// Maximum of saved units, which bounds the retries of a burst of failures after a period without.
const SAVED_MAX_MILLIS: u64 = 10_000;
/// Cost of one retry, in thousandths of a unit.
const RETRY_COST_MILLIS: u64 = 1_000;

/// Bounds retries to a percentage of first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_millis: u64,
    saved_millis: u64,
}

impl RetryBudget {
    /// Creates an empty budget that allows `percent` retries for each hundred first attempts.
    pub const fn new(percent: u32) -> Self {
        Self { earned_millis: percent as u64 * 10, saved_millis: 0 }
    }

    /// Changes the percentage and keeps the saved units.
    pub const fn set_percent(&mut self, percent: u32) {
        self.earned_millis = percent as u64 * 10;
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.saved_millis = (self.saved_millis + self.earned_millis).min(SAVED_MAX_MILLIS);
    }

    /// Spends one unit on a retry; returns whether the budget allowed it.
    pub const fn take_retry(&mut self) -> bool {
        let affordable = self.saved_millis >= RETRY_COST_MILLIS;
        if affordable {
            self.saved_millis -= RETRY_COST_MILLIS;
        }
        affordable
    }
}
