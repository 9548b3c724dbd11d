//! A budget for retries.
//!
//! When targets fail, every caller that retries adds load just where there is too little
//! capacity. The budget bounds that: first attempts pay in a share, each retry takes one whole
//! unit out, and an empty budget means that the failure is answered at once.

/// Units that may be saved up; a burst of failures after a calm spell can use no more.
const SAVED_MAX_MILLIS: u64 = 10_000;
/// One retry, in thousandths of a unit.
const RETRY_COST_MILLIS: u64 = 1_000;

/// Bounds retries to a share of first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_millis: u64,
    saved_millis: u64,
}

impl RetryBudget {
    /// Opens a budget of `percent` retries for each hundred first attempts; it starts empty.
    pub const fn open(percent: u32) -> Self {
        Self { earned_millis: percent as u64 * 10, saved_millis: 0 }
    }

    /// Changes the share, keeping what was saved.
    pub const fn set_percent(&mut self, percent: u32) {
        self.earned_millis = percent as u64 * 10;
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.saved_millis = (self.saved_millis + self.earned_millis).min(SAVED_MAX_MILLIS);
    }

    /// Takes one retry out of the budget, if there is one.
    pub const fn take_retry(&mut self) -> bool {
        let affordable = self.saved_millis >= RETRY_COST_MILLIS;
        if affordable {
            self.saved_millis -= RETRY_COST_MILLIS;
        }
        affordable
    }
}
