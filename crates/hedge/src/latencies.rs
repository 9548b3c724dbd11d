//! The recent latencies of one route, in a table of fixed size.
//!
//! Each observation is one of two kinds: an answer after some time, or an attempt that ended
//! without one, which would have taken at least as long as it ran. The second kind is what
//! statistics calls a right-censored observation. Leaving it out would bias the table: slow attempts
//! are the ones that are overtaken, so the table would show only fast answers and each hedge would
//! be earlier than the one before. Counting it as an answer would be wrong as well. So quantiles use
//! the Kaplan-Meier estimator, which counts an attempt as still running up to the time at which it
//! was ended, and says nothing about it after that.

use catkinmast_model::UnixMs;

/// Time after which an observation counts half. Targets slow down for periods of about a second, so
/// the table must not follow each of them; a change of load lasts for tens of seconds.
const HALF_LIFE_MS: u64 = 10_000;
/// Interval between two decays of the table, so that a busy route does not decay it for each
/// answer.
const DECAY_INTERVAL_MS: u64 = 1_000;
/// An observation with less weight is dropped: after 43 s.
const WEIGHT_MIN: f32 = 0.05;
/// Each power of two is divided into two to the power of this many buckets, so a bucket is at most
/// an eighth wide.
const BUCKET_BITS: u32 = 3;
/// Latencies from this on share the last bucket. It exceeds each deadline of a call.
const LATENCY_MAX_MS: u64 = (1 << 16) - 1;
/// 112 buckets, so 900 bytes for each route.
const BUCKETS: usize = (16 - BUCKET_BITS as usize + 1) << BUCKET_BITS;

/// The recent latencies of one route.
#[derive(Clone, Debug)]
pub(crate) struct Latencies {
    /// Weight of the answers by latency.
    answered: [f32; BUCKETS],
    decayed_to: UnixMs,
    /// Weight of the attempts that ended without an answer, by the time that they ran.
    outlasted: [f32; BUCKETS],
}

/// A step of the estimator: up to which latency, and which share of the attempts takes longer.
#[derive(Clone, Copy, Debug)]
struct Step {
    up_to_ms: u64,
    longer_share: f32,
}

impl Latencies {
    pub(crate) const fn new(now: UnixMs) -> Self {
        Self { answered: [0.0; BUCKETS], decayed_to: now, outlasted: [0.0; BUCKETS] }
    }

    /// Returns when the table was last changed, to within [`DECAY_INTERVAL_MS`].
    pub(crate) const fn last_used_at(&self) -> UnixMs {
        self.decayed_to
    }

    /// Records an answer.
    pub(crate) fn answered(&mut self, now: UnixMs, latency_ms: u64) {
        self.decay(now);
        self.answered[bucket(latency_ms)] += 1.0;
    }

    /// Records an attempt that ended without an answer after `ran_ms`.
    pub(crate) fn outlasted(&mut self, now: UnixMs, ran_ms: u64) {
        self.decay(now);
        self.outlasted[bucket(ran_ms)] += 1.0;
    }

    /// Returns the number of recent answers.
    pub(crate) fn answer_count(&self, now: UnixMs) -> f32 {
        self.answered.iter().sum::<f32>() * decay_factor(now.since_ms(self.decayed_to))
    }

    /// Returns the number of recent attempts, with and without an answer.
    pub(crate) fn attempt_count(&self, now: UnixMs) -> f32 {
        let outlasted: f32 = self.outlasted.iter().sum();
        self.answer_count(now) + outlasted * decay_factor(now.since_ms(self.decayed_to))
    }

    /// Returns the latency within which this percentage of all attempts is answered. If fewer are
    /// answered at all, returns the longest time that any attempt took.
    pub(crate) fn of_attempts_ms(&self, percent: u32) -> u64 {
        let longer_share = 1.0 - percent as f32 / 100.0;
        self.reached(longer_share).unwrap_or_else(|| self.longest_ms())
    }

    /// Returns the latency within which this percentage of those attempts is answered that get an
    /// answer; 0 if there is no answer. Lost answers do not change it.
    pub(crate) fn of_answers_ms(&self, percent: u32) -> u64 {
        let answered_share = 1.0 - self.unanswered_share();
        let longer_share = 1.0 - answered_share * percent as f32 / 100.0;
        self.reached(longer_share).unwrap_or(0)
    }

    /// Returns the share of the attempts that is not answered within the longest recent latency.
    pub(crate) fn unanswered_share(&self) -> f32 {
        self.steps().last().map_or(1.0, |step| step.longer_share)
    }

    /// Returns the longest time that a recent attempt ran without an answer; 0 if there is none.
    pub(crate) fn longest_outlasted_ms(&self) -> u64 {
        self.outlasted.iter().rposition(|weight| *weight > 0.0).map_or(0, longest_in_bucket_ms)
    }

    fn longest_ms(&self) -> u64 {
        let longest_answer = self.answered.iter().rposition(|weight| *weight > 0.0);
        longest_answer.map_or(0, longest_in_bucket_ms).max(self.longest_outlasted_ms())
    }

    /// Returns the first latency beyond which at most this share of the attempts takes.
    fn reached(&self, longer_share: f32) -> Option<u64> {
        let is_reached = |step: &Step| step.longer_share <= longer_share + f32::EPSILON * 16.0;
        self.steps().find(is_reached).map(|step| step.up_to_ms)
    }

    /// Returns the steps of the Kaplan-Meier estimator, one for each bucket with an answer.
    fn steps(&self) -> impl Iterator<Item = Step> {
        let total: f32 = self.answered.iter().chain(&self.outlasted).sum();
        let buckets = self.answered.iter().zip(&self.outlasted).enumerate();
        let mut running = total;
        let mut longer_share = 1.0;
        buckets.filter_map(move |(index, (answered, outlasted))| {
            let still_running = running.max(*answered);
            running -= answered + outlasted;
            if *answered <= 0.0 {
                return None;
            }
            longer_share *= 1.0 - answered / still_running;
            Some(Step { up_to_ms: longest_in_bucket_ms(index), longer_share })
        })
    }

    fn decay(&mut self, now: UnixMs) {
        let elapsed_ms = now.since_ms(self.decayed_to);
        if elapsed_ms < DECAY_INTERVAL_MS {
            return;
        }
        self.decayed_to = now;
        let factor = decay_factor(elapsed_ms);
        for weight in self.answered.iter_mut().chain(&mut self.outlasted) {
            let decayed = *weight * factor;
            *weight = if decayed < WEIGHT_MIN { 0.0 } else { decayed };
        }
    }
}

fn decay_factor(elapsed_ms: u64) -> f32 {
    (-(elapsed_ms as f32) / HALF_LIFE_MS as f32).exp2()
}

/// Returns the bucket of a latency: one for each millisecond at first, then eight for each power of
/// two.
const fn bucket(latency_ms: u64) -> usize {
    let latency_ms = if latency_ms > LATENCY_MAX_MS { LATENCY_MAX_MS } else { latency_ms };
    if latency_ms < 1 << BUCKET_BITS {
        return latency_ms as usize;
    }
    let shift = latency_ms.ilog2() - BUCKET_BITS;
    ((shift as usize) << BUCKET_BITS) + (latency_ms >> shift) as usize
}

/// Returns the longest latency of a bucket.
const fn longest_in_bucket_ms(index: usize) -> u64 {
    let per_power = 1 << BUCKET_BITS;
    if index < per_power {
        return index as u64;
    }
    let shift = index / per_power - 1;
    let leading = (index % per_power + per_power) as u64;
    ((leading + 1) << shift) - 1
}
