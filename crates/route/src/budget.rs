//! A budget for retries.
//!
//! When targets fail, each caller that retries adds load where capacity is already short. The
//! budget bounds that: each first attempt earns a fraction of a unit, each retry spends one unit,
//! and with an empty budget the failure is answered at once.

use catkinmast_model::UnixMs;

/// Maximum of saved units: how many retries a burst of failures can use after a period without
/// failures, in thousandths.
const SAVED_MAX_THOUSANDTHS: u64 = 10_000;
/// Cost of one retry, in thousandths of a unit.
const RETRY_COST_THOUSANDTHS: u64 = 1_000;

/// Bounds retries to a percentage of first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_per_attempt_thousandths: u64,
    minimum: Option<MinimumRate>,
    saved_thousandths: u64,
}

/// Units that are earned without attempts.
#[derive(Clone, Copy, Debug)]
struct MinimumRate {
    earned_until: UnixMs,
    unit_every_ms: u64,
}

impl RetryBudget {
    /// Creates an empty budget that allows `percent` retries for each hundred first attempts.
    pub const fn new(percent: u32) -> Self {
        Self {
            earned_per_attempt_thousandths: percent as u64 * 10,
            minimum: None,
            saved_thousandths: 0,
        }
    }

    /// Adds saved units, so that the first failures after a start can be retried.
    #[must_use]
    pub fn with_saved(mut self, units: u32) -> Self {
        let saved_thousandths = self.saved_thousandths + u64::from(units) * RETRY_COST_THOUSANDTHS;
        self.saved_thousandths = saved_thousandths.min(SAVED_MAX_THOUSANDTHS);
        self
    }

    /// Earns a unit each `unit_every_ms` from `now` on, also without attempts: a percentage alone
    /// would leave a node with few requests without retries.
    #[must_use]
    pub const fn with_minimum(mut self, now: UnixMs, unit_every_ms: u64) -> Self {
        self.minimum = Some(MinimumRate { earned_until: now, unit_every_ms });
        self
    }

    /// Changes the percentage and keeps the saved units.
    pub const fn set_percent(&mut self, percent: u32) {
        self.earned_per_attempt_thousandths = percent as u64 * 10;
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.earn(self.earned_per_attempt_thousandths);
    }

    /// Spends one unit on a retry; returns whether the budget allowed it. Does not add units of the
    /// minimum rate.
    pub const fn take_retry(&mut self) -> bool {
        let affordable = self.saved_thousandths >= RETRY_COST_THOUSANDTHS;
        if affordable {
            self.saved_thousandths -= RETRY_COST_THOUSANDTHS;
        }
        affordable
    }

    /// Adds the units of the minimum rate up to `now`, and spends one unit on a retry; returns
    /// whether the budget allowed it.
    pub fn take_retry_at(&mut self, now: UnixMs) -> bool {
        if let Some(minimum) = &mut self.minimum {
            let units = now.since_ms(minimum.earned_until) / minimum.unit_every_ms.max(1);
            minimum.earned_until = minimum.earned_until.plus(units * minimum.unit_every_ms);
            self.earn(units.saturating_mul(RETRY_COST_THOUSANDTHS));
        }
        self.take_retry()
    }

    fn earn(&mut self, thousandths: u64) {
        self.saved_thousandths =
            self.saved_thousandths.saturating_add(thousandths).min(SAVED_MAX_THOUSANDTHS);
    }
}
