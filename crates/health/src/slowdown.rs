//! How slow a target is, relative to the mean of the same route.
//!
//! One service may have routes of 20 ms and of 200 ms of work. In one mean over both, a target
//! looks slow after a long call. So each answer is compared with the mean of its own route.

use crate::hint::ObserverKey;
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// Slowdown of a target at the mean, in tenths.
pub(crate) const UNIT_TENTHS: u64 = 10;
/// Lowest and highest slowdown. A target at six times the mean gets a sixth of its share, which
/// still shows whether it has become faster.
const TENTHS_MIN: u64 = 3;
const TENTHS_MAX: u64 = 60;
/// Weight of a new answer in a target's slowdown, as one part in this many: about the last ten
/// answers count, so a single long request changes it little.
const TARGET_SMOOTHING: u64 = 8;
/// Weight of a new answer in a route's mean, as one part in this many: some answers of each of the
/// targets that a node uses.
const ROUTE_SMOOTHING: u64 = 64;
/// Routes whose mean is kept.
const ROUTES_MAX: usize = 64;
/// Time in which the weight of observations halves. A hint reaches all nodes of a fleet of 66 in
/// about this time; slow periods of less than a second show only in a node's own answers.
const HALF_LIFE_MS: u64 = 10_000;
/// Age from which observations no longer count.
const MAX_AGE_MS: u64 = 60_000;
/// Weight of the reports of others together, in hundredths of an observation. They are seconds old:
/// with the weight of all their observations, calls went on to targets that had just become slow.
const REPORTS_WEIGHT_MAX: u64 = 300;
/// Most observations that count for one node, so that none outweighs the others. More add nothing,
/// since the mean forgets earlier ones.
const OBSERVATIONS_MAX: u64 = 16;
/// Observations that the assumption of a normal speed counts for.
const PRIOR_OBSERVATIONS: u64 = 1;
/// Weight from which a slowdown is sent, in hundredths of an observation.
const REPORTED_WEIGHT_MIN: u64 = 50;
/// Observers whose slowdowns are kept for each target.
const OBSERVERS_MAX: usize = 8;

/// The mean latency of each route.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteMeans(IndexMap<String, Mean>);

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    count: u64,
    value: u64,
}

impl Mean {
    /// Includes a sample. The first ones have equal weights.
    fn record(&mut self, sample: u64, smoothing: u64) {
        self.count = (self.count + 1).min(smoothing);
        self.value = (self.value * (self.count - 1) + sample) / self.count;
    }
}

impl RouteMeans {
    /// Includes an answer in its route's mean. Returns its latency relative to that mean, in
    /// hundredths; none if no more routes are kept.
    pub(crate) fn record(&mut self, route: &str, latency_ms: u64) -> Option<u64> {
        if !self.0.contains_key(route) {
            if self.0.len() >= ROUTES_MAX {
                return None;
            }
            self.0.insert(route.to_owned(), Mean::default());
        }
        let mean = self.0.get_mut(route)?;
        let sample_us = latency_ms.clamp(1, u64::from(u32::MAX)) * 1_000;
        // An answer counts as at most six times the mean, like in a target's slowdown.
        let bounded_us = match mean.value {
            0 => sample_us,
            value => sample_us.min(value * TENTHS_MAX / UNIT_TENTHS),
        };
        mean.record(bounded_us, ROUTE_SMOOTHING);
        let bounds = TENTHS_MIN * 10..=TENTHS_MAX * 10;
        Some((bounded_us * 100 / mean.value.max(1)).clamp(*bounds.start(), *bounds.end()))
    }
}

/// A number of observations that loses weight with age.
#[derive(Clone, Copy, Debug, Default)]
struct Observations {
    /// In hundredths of an observation, at `last_at`.
    count: u64,
    last_at: UnixMs,
}

impl Observations {
    /// Returns the weight, in hundredths of an observation.
    fn weight(self, now: UnixMs) -> u64 {
        let age_ms = now.since_ms(self.last_at);
        if age_ms >= MAX_AGE_MS {
            return 0;
        }
        let (halvings, rest_ms) = (age_ms / HALF_LIFE_MS, age_ms % HALF_LIFE_MS);
        let at_last_halving = self.count >> halvings;
        at_last_halving * (2 * HALF_LIFE_MS - rest_ms) / (2 * HALF_LIFE_MS)
    }
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    observations: Observations,
    observer: ObserverKey,
    tenths: u64,
}

/// A target's slowdown as this node and others have observed it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slowdown {
    own: Mean,
    own_observations: Observations,
    reported: Vec<Reported>,
    /// When this node last sent its own observations.
    pub(crate) sent_at: UnixMs,
}

/// A slowdown to report to others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SlowdownReport {
    pub(crate) observed_at: UnixMs,
    pub(crate) observer: ObserverKey,
    pub(crate) observations: u16,
    pub(crate) tenths: u16,
}

impl Slowdown {
    /// Records an answer with a latency relative to its route's mean, in hundredths.
    pub(crate) fn record(&mut self, now: UnixMs, relative_hundredths: u64) {
        let kept = self.own_observations.weight(now);
        // After a pause, earlier answers count only as far as they still have weight.
        self.own.count = self.own.count.min(kept.div_ceil(100));
        self.own.record(relative_hundredths, TARGET_SMOOTHING);
        let count = (kept + 100).min(OBSERVATIONS_MAX * 100);
        self.own_observations = Observations { count, last_at: now };
    }

    /// Records the report of another node. Returns whether it is newer than its last one.
    pub(crate) fn receive(&mut self, now: UnixMs, report: SlowdownReport) -> bool {
        let observations = Observations {
            count: u64::from(report.observations).min(OBSERVATIONS_MAX) * 100,
            last_at: report.observed_at,
        };
        if observations.weight(now) == 0 {
            return false;
        }
        let tenths = u64::from(report.tenths).clamp(TENTHS_MIN, TENTHS_MAX);
        let new = Reported { observations, observer: report.observer, tenths };
        let held = self.reported.iter_mut().find(|held| held.observer == report.observer);
        if let Some(held) = held {
            let is_newer = held.observations.last_at < report.observed_at;
            if is_newer {
                *held = new;
            }
            return is_newer;
        }
        if self.reported.len() < OBSERVERS_MAX {
            self.reported.push(new);
            return true;
        }
        let lightest = self.reported.iter_mut().min_by_key(|held| held.observations.weight(now));
        match lightest {
            Some(held) if held.observations.weight(now) < observations.weight(now) => {
                *held = new;
                true
            }
            _ => false,
        }
    }

    /// Returns the slowdown by all observations, weighted by their number and age, in tenths.
    pub(crate) fn tenths(&self, now: UnixMs) -> u64 {
        let own_weight = self.own_observations.weight(now);
        let mut weights = PRIOR_OBSERVATIONS * 100 + own_weight;
        let mut sum = PRIOR_OBSERVATIONS * 100 * UNIT_TENTHS * 10 + own_weight * self.own.value;
        let (mut reported_weights, mut reported_sum) = (0, 0);
        for held in &self.reported {
            let weight = held.observations.weight(now);
            reported_weights += weight;
            reported_sum += weight * held.tenths * 10;
        }
        if let Some(mean) = u64::checked_div(reported_sum, reported_weights) {
            let weight = reported_weights.min(REPORTS_WEIGHT_MAX);
            weights += weight;
            sum += weight * mean;
        }
        ((sum / weights + 5) / 10).clamp(TENTHS_MIN, TENTHS_MAX)
    }

    /// Returns when this node last observed it; zero if it has not.
    pub(crate) const fn observed_at(&self) -> UnixMs {
        self.own_observations.last_at
    }

    /// Returns the report with the greatest weight, of this node (`own`) or another; none if all
    /// are too old.
    pub(crate) fn best_report(&self, now: UnixMs, own: ObserverKey) -> Option<SlowdownReport> {
        let others =
            self.reported.iter().map(|held| (held.observations, held.observer, held.tenths));
        let mine = (self.own_observations, own, (self.own.value + 5) / 10);
        let best = others.chain([mine]).max_by_key(|(observations, ..)| observations.weight(now));
        let (observations, observer, tenths) = best?;
        (observations.weight(now) >= REPORTED_WEIGHT_MIN).then_some(SlowdownReport {
            observed_at: observations.last_at,
            observer,
            observations: (observations.count / 100) as u16,
            tenths: tenths as u16,
        })
    }
}
