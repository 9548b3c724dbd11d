//! The window: how many requests of callers a node may have in flight at a service.

use catkinmast_model::UnixMs;
use std::collections::VecDeque;

/// Factor of a decrease after a refusal, and of the first limit to what is in flight.
const REFUSED_FACTOR: f64 = 0.7;
/// Shortest time between two decreases by refusals: the refusals of requests that were sent before
/// a decrease say nothing about its effect.
const REFUSED_INTERVAL_MS: u64 = 100;
/// Smallest window: one request at a time and a pause of three times its latency. A smaller one
/// would leave a node without answers, and so without news of the service, for seconds.
const SMALLEST: f64 = 0.25;
/// A window that has not been full for this long is unlimited again: the load is gone, and answers
/// no longer test the limit.
const UNUSED_MS: u64 = 10_000;
/// Number of answers by which an unlimited window is limited, if more than half of them are late.
const ANSWERS: usize = 16;
/// Part of the window of which less must be in use for requests that are sent for safety only.
const SPARE_PART: f64 = 0.7;
/// By how much a window above one grows with a windowful of answers in time, and shrinks with one of
/// late answers. With one for each windowful, the windows of many nodes, which are between one and
/// two, would change so much with each answer that targets refuse often.
const STEP: f64 = 0.25;
/// The same for growth by answers that take less than half of the threshold: targets have capacity
/// to spare, and with the smaller step windows took seconds to grow after half of the targets had
/// returned.
const STEP_WITH_CAPACITY: f64 = 1.0;
/// Latency that stands in for the mean where no answer has come yet.
const UNKNOWN_MEAN_MS: f64 = 50.0;

/// The limit of a window.
#[derive(Clone, Copy, Debug)]
struct Limit {
    decreased_at: UnixMs,
    full_at: UnixMs,
    /// Until when nothing is sent, so that a window below one is met on average.
    paused_until: UnixMs,
    size: f64,
}

/// An adaptive concurrency limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    in_flight: u32,
    limit: Option<Limit>,
    /// When the last answers came, and whether each was late. Kept only while unlimited.
    recent: VecDeque<(UnixMs, bool)>,
}

impl Window {
    /// Returns the size; none while unlimited.
    pub(crate) fn size(&self) -> Option<f64> {
        self.limit.map(|limit| limit.size)
    }

    pub(crate) const fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    pub(crate) const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Lifts a limit that was not reached for [`UNUSED_MS`].
    pub(crate) fn lift_if_unused(&mut self, now: UnixMs) {
        if self.limit.is_some_and(|limit| now.since_ms(limit.full_at) >= UNUSED_MS) {
            self.limit = None;
        }
    }

    /// Returns whether one more request may be sent now.
    pub(crate) fn has_room(&self, now: UnixMs) -> bool {
        self.limit.is_none_or(|limit| now >= limit.paused_until && !self.is_full(limit))
    }

    /// Returns whether the window is unlimited or only partly in use.
    pub(crate) fn has_spare(&self) -> bool {
        self.limit.is_none_or(|limit| f64::from(self.in_flight) < limit.size * SPARE_PART)
    }

    const fn is_full(&self, limit: Limit) -> bool {
        self.in_flight >= limit.size.max(1.0) as u32
    }

    /// Counts a request as sent.
    pub(crate) fn sent(&mut self, now: UnixMs) {
        self.in_flight += 1;
        self.mark_if_full(now);
    }

    /// Counts a request as no longer in flight. `mean_ms` is the mean latency of the service.
    pub(crate) fn ended(&mut self, now: UnixMs, mean_ms: Option<f64>) {
        self.mark_if_full(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(limit) = &mut self.limit
            && limit.size < 1.0
        {
            let pause_ms = mean_ms.unwrap_or(UNKNOWN_MEAN_MS) * (1.0 / limit.size - 1.0);
            limit.paused_until = limit.paused_until.max(now.plus(pause_ms as u64));
        }
    }

    /// Adjusts the size by an answer to a request that is still counted as in flight.
    pub(crate) fn answered(&mut self, now: UnixMs, latency_ms: f64, threshold_ms: f64) {
        let is_late = latency_ms > threshold_ms;
        let Some(limit) = self.limit else {
            self.recent.push_back((now, is_late));
            while self.recent.len() > ANSWERS
                || self.recent.front().is_some_and(|(at, _)| now.since_ms(*at) >= UNUSED_MS)
            {
                self.recent.pop_front();
            }
            let late = self.recent.iter().filter(|(_, is_late)| *is_late).count();
            if late > ANSWERS / 2 {
                self.limit_to_in_flight(now);
            }
            return;
        };
        // An answer is a windowful below one; there the step is a part of the window.
        let windowful = limit.size.min(1.0 / limit.size);
        let has_capacity = latency_ms * 2.0 < threshold_ms;
        let is_full = self.is_full(limit);
        if let Some(limit) = &mut self.limit {
            if is_late {
                limit.size = (limit.size - STEP * windowful).max(SMALLEST);
            } else if is_full {
                limit.size += if has_capacity { STEP_WITH_CAPACITY } else { STEP } * windowful;
            }
        }
    }

    /// Adjusts the size by a refusal for load.
    pub(crate) fn refused(&mut self, now: UnixMs) {
        match &mut self.limit {
            None => self.limit_to_in_flight(now),
            Some(limit) if now.since_ms(limit.decreased_at) >= REFUSED_INTERVAL_MS => {
                limit.decreased_at = now;
                limit.size = (limit.size * REFUSED_FACTOR).max(SMALLEST);
            }
            Some(_) => {}
        }
    }

    /// Returns the time until one request can be sent if none waits, in milliseconds.
    pub(crate) fn room_in_ms(&self, now: UnixMs, mean_ms: Option<f64>) -> f64 {
        let Some(limit) = self.limit else { return 0.0 };
        if self.is_full(limit) {
            // A request in flight has on average half of its latency left.
            let mean_ms = mean_ms.unwrap_or(UNKNOWN_MEAN_MS);
            let pause_ms = mean_ms * (1.0 / limit.size.min(1.0) - 1.0);
            return pause_ms + mean_ms / limit.size.max(1.0) / 2.0;
        }
        limit.paused_until.since_ms(now) as f64
    }

    /// Returns the mean time between two requests that are sent, in milliseconds.
    pub(crate) fn interval_ms(&self, mean_ms: Option<f64>) -> f64 {
        self.limit.map_or(0.0, |limit| mean_ms.unwrap_or(UNKNOWN_MEAN_MS) / limit.size)
    }

    /// Returns the end of the pause after a request of a window below one, if nothing is in flight.
    pub(crate) fn paused_until(&self, now: UnixMs) -> Option<UnixMs> {
        let limit = self.limit?;
        (!self.is_full(limit) && now < limit.paused_until).then_some(limit.paused_until)
    }

    fn limit_to_in_flight(&mut self, now: UnixMs) {
        self.recent.clear();
        let size = f64::from(self.in_flight.max(1)) * REFUSED_FACTOR;
        let paused_until = UnixMs(0);
        self.limit = Some(Limit { decreased_at: now, full_at: now, paused_until, size });
    }

    fn mark_if_full(&mut self, now: UnixMs) {
        if let Some(limit) = self.limit
            && self.is_full(limit)
        {
            self.limit = Some(Limit { full_at: now, ..limit });
        }
    }
}
