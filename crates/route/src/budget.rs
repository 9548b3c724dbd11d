//! A budget for retries.
//!
//! When targets fail, each caller that retries adds load where capacity is already short. The
//! budget bounds that: each first attempt earns a fraction of a unit, each retry spends one unit,
//! and with an empty budget the failure is answered at once.

/// Maximum of saved units: how many retries a burst of failures can use after a period without
/// failures, in thousandths.
const SAVED_MAX_THOUSANDTHS: u64 = 10_000;
/// Cost of one retry, in thousandths of a unit.
const RETRY_COST_THOUSANDTHS: u64 = 1_000;

/// Bounds retries to a percentage of first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_per_attempt_thousandths: u64,
    saved_thousandths: u64,
}

impl RetryBudget {
    /// Creates an empty budget that allows `percent` retries for each hundred first attempts.
    pub const fn new(percent: u32) -> Self {
        Self { earned_per_attempt_thousandths: percent as u64 * 10, saved_thousandths: 0 }
    }

    /// Changes the percentage and keeps the saved units.
    pub const fn set_percent(&mut self, percent: u32) {
        self.earned_per_attempt_thousandths = percent as u64 * 10;
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.saved_thousandths = (self.saved_thousandths + self.earned_per_attempt_thousandths)
            .min(SAVED_MAX_THOUSANDTHS);
    }

    /// Spends one unit on a retry; returns whether the budget allowed it.
    pub const fn take_retry(&mut self) -> bool {
        let affordable = self.saved_thousandths >= RETRY_COST_THOUSANDTHS;
        if affordable {
            self.saved_thousandths -= RETRY_COST_THOUSANDTHS;
        }
        affordable
    }
}
