//! Latencies of recent answers.

use catkinmast_model::UnixMs;

/// Number of answers that the mean latency covers.
pub(crate) const MEAN_ANSWERS: u32 = 16;
/// Number of answers that the lowest mean covers. A node with few requests sees only some answers
/// before an overload slows the others; a mean over more of them would include the wait at full
/// targets.
const LOWEST_ANSWERS: u32 = 8;
/// By which part of the difference the usual time limit of callers falls to a shorter one.
const USUAL_LIMIT_FALL_DIVISOR: u64 = 64;
/// For how long at least the lowest mean is remembered while the service is not limited. A route
/// whose work has become slower for good is measured by its new latency after at most twice this.
const LOWEST_KEPT_MS: u64 = 60_000;
/// The same while the service is limited. Latency then includes the wait at full targets: with the
/// shorter time, the threshold, which is a multiple of the lowest mean, would rise during an
/// overload of minutes.
const LOWEST_KEPT_LIMITED_MS: u64 = 600_000;

/// The moving average of the last answers, and of their distance from it. The first ones count
/// equally.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean<const ANSWERS: u32> {
    answers: u32,
    deviation_ms: f64,
    mean_ms: f64,
}

impl<const ANSWERS: u32> MovingMean<ANSWERS> {
    pub(crate) fn record(&mut self, latency_ms: u64) {
        self.answers = (self.answers + 1).min(ANSWERS);
        let weight = 1.0 / f64::from(self.answers);
        let distance_ms = latency_ms as f64 - self.mean_ms;
        if self.answers > 1 {
            self.deviation_ms += (distance_ms.abs() - self.deviation_ms) * weight;
        }
        self.mean_ms += distance_ms * weight;
    }

    /// Returns the mean, in milliseconds; none before the first answer.
    pub(crate) fn ms(&self) -> Option<f64> {
        (self.answers > 0).then_some(self.mean_ms)
    }

    /// Returns the mean distance from the mean, in milliseconds.
    pub(crate) const fn deviation_ms(&self) -> f64 {
        self.deviation_ms
    }

    const fn is_settled(&self) -> bool {
        self.answers == ANSWERS
    }
}

/// The latency of one route at one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RouteLatency {
    /// The latency goal of the route when a request last arrived.
    pub goal_ms: u64,
    /// The latency of the last answers.
    pub mean: MovingMean<MEAN_ANSWERS>,
    lowest_before_ms: Option<f64>,
    lowest_ms: Option<f64>,
    lowest_since: UnixMs,
    short_mean: MovingMean<LOWEST_ANSWERS>,
    /// About the longest time that callers usually wait for an answer.
    usual_limit_ms: u64,
}

impl RouteLatency {
    /// Records the time that a caller waits for the answer to a request that has arrived.
    pub(crate) fn record_limit(&mut self, limit_ms: u64) {
        let excess_ms = self.usual_limit_ms.saturating_sub(limit_ms);
        let fallen_ms = self.usual_limit_ms - excess_ms.div_ceil(USUAL_LIMIT_FALL_DIVISOR);
        self.usual_limit_ms = fallen_ms.max(limit_ms);
    }

    /// Returns how long ago the caller of a request probably sent it for the first time, in
    /// milliseconds, if it now waits for `limit_ms`.
    ///
    /// A caller that was rejected returns with a shorter limit, after at most a third of its time.
    /// A limit of less than half of the usual one is that of another kind of caller.
    pub(crate) const fn spent_ms(&self, limit_ms: u64) -> u64 {
        let spent_ms = self.usual_limit_ms.saturating_sub(limit_ms);
        if spent_ms * 2 <= self.usual_limit_ms { spent_ms } else { 0 }
    }

    /// Records the latency of an answer.
    pub(crate) fn record(&mut self, now: UnixMs, latency_ms: u64, is_limited: bool) {
        self.mean.record(latency_ms);
        self.short_mean.record(latency_ms);
        let kept_ms = if is_limited { LOWEST_KEPT_LIMITED_MS } else { LOWEST_KEPT_MS };
        if now.since_ms(self.lowest_since) >= kept_ms {
            self.lowest_before_ms = self.lowest_ms.take();
            self.lowest_since = now;
        }
        if let Some(mean_ms) = self.short_mean.ms()
            && self.short_mean.is_settled()
        {
            self.lowest_ms = Some(self.lowest_ms.map_or(mean_ms, |lowest| lowest.min(mean_ms)));
        }
    }

    /// Returns the lowest recent mean, in milliseconds: about the time of the work itself. The mean
    /// of few answers may be low by chance, so until there are enough the mean itself counts.
    pub(crate) fn lowest_ms(&self) -> Option<f64> {
        match (self.lowest_ms, self.lowest_before_ms) {
            (Some(one), Some(other)) => Some(one.min(other)),
            (one, other) => one.or(other).or_else(|| self.short_mean.ms()),
        }
    }

    /// Returns the latency above which an answer counts as late, in milliseconds.
    pub(crate) fn threshold_ms(&self) -> f64 {
        /// Most of the goal is left for the queue of the node, the network and a second attempt.
        const GOAL_SHARE: f64 = 0.4;
        /// A route whose work takes longer than half of its goal is late only if it takes this many
        /// times its usual time. A node with few requests may have seen none before an overload, and
        /// takes the latency at full targets for the usual one: with three times that, its threshold
        /// would exceed the goal.
        const LOWEST_FACTOR: f64 = 1.5;
        let by_work_ms = self.lowest_ms().unwrap_or(0.0) * LOWEST_FACTOR;
        by_work_ms.max(self.goal_ms as f64 * GOAL_SHARE)
    }
}
