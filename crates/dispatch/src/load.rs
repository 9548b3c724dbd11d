//! Balances calls among targets by what this process observes of its own calls.
//!
//! A slow or dead target shows in our own calls seconds before the registry reports it. Calls go to
//! the target with the least expected work: the calls in flight and those sent recently, weighted
//! by how slow the target is. The caller states the slowdown of each candidate and whether it is
//! to be avoided, which depend on the observations of other nodes too. A target that fails backs
//! off, with increasing backoff. If all targets back off, a call may go to any of them: a backoff is
//! only a guess, and refusing every request on a guess would be worse. An item of a batch waits
//! instead. Items compare the targets' latencies directly, since they all take the same route.

use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// Weight of a new answer in the mean latency, as one part in this many. About the last ten answers
/// count, so a single long request changes the mean little.
const LATENCY_SMOOTHING: u64 = 8;
/// A target's latency counts as at most this many times that of the fastest, so that slow targets
/// are still tried: at six times, one call in flight there weighs as much as six elsewhere.
const SLOWDOWN_MAX: u64 = 6;

/// Cost of a hop between data centres, in hundredths of a target's slots. It only decides between
/// otherwise equal targets.
const CROSS_DATA_CENTRE_COST: u64 = 2;
/// Cost of a new connection: half a call in flight at a target with six slots. Without it, 55 nodes
/// that each spread a few calls a second over 36 targets opened a connection for a fifth of all
/// calls (1,780 for 8,469 requests), and each new connection occupies one of the target's slots for
/// a millisecond.
const CONNECT_COST: u64 = 8;

/// A run is assumed to continue for at least this long, also if it has exceeded its expected
/// length. The expected length is an estimate that is right only at the median, and less than a
/// tenth of a step's time makes no difference.
const OVERDUE_RUN_MS: u64 = 700;

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The target answered.
    Answered {
        /// Time from sending to the head of the answer, or between events of a stream.
        latency_ms: u64,
    },
    /// Nothing can be concluded, for example because the caller disconnected.
    Cancelled,
    /// The target refused the call because of load.
    Overloaded,
    /// The connection failed or broke, or the target stopped answering.
    Failed,
}

/// Settings of the load balancer.
#[derive(Clone, Copy, Debug)]
pub struct LoadBalancerSettings {
    /// Backoff after a target's first failure. Doubles with each consecutive failure.
    pub backoff_ms: u64,
    /// Longest backoff after failures.
    pub backoff_max_ms: u64,
    /// Backoff of a target that refused a call because of load.
    pub overloaded_backoff_ms: u64,
    /// Backoff of a target that refused a call although our own calls use less than half of its
    /// slots: it probably refuses because it loads weights, not because it is full.
    pub loading_backoff_ms: u64,
}

impl Default for LoadBalancerSettings {
    /// - `backoff_ms`, 400 ms: at most two attempts of a caller hit the same dead target.
    /// - `backoff_max_ms`, 3,200 ms: about the time that the registry takes to notice.
    /// - `overloaded_backoff_ms`, 60 ms: a full target frees a slot in about the time of one
    ///   request.
    /// - `loading_backoff_ms`, 250 ms: a load takes about a second. Retrying every 60 ms, fifteen
    ///   times meanwhile, made a third of all arrivals at engines refusals.
    fn default() -> Self {
        Self {
            backoff_ms: 400,
            backoff_max_ms: 3_200,
            overloaded_backoff_ms: 60,
            loading_backoff_ms: 250,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct TargetStats {
    failures_in_row: u32,
    in_flight: u32,
    latency_us: u64,
    loading_until: UnixMs,
    backoff_until: UnixMs,
    /// Expected end of each item's run, by the number that [`LoadBalancer::run_started`] returned.
    run_ends: IndexMap<u64, UnixMs>,
}

/// Whether calls should go to a target, apart from its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CallPreference {
    /// It was reported as failing: it is chosen only if no other target has capacity.
    Avoid,
    /// It is chosen by its load.
    #[default]
    Normal,
    /// The next call should find out whether it serves again.
    Probe,
}

/// A target that a call may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// The target's id.
    pub id: &'a str,
    /// Whether the target has just started and is slower than usual.
    pub is_cold: bool,
    /// Whether the target is in this node's data centre.
    pub same_data_centre: bool,
    /// Whether there is an idle connection to it.
    pub connected: bool,
    /// What reports about it say.
    pub preference: CallPreference,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// How slow it is relative to other targets, in tenths, as far as calls are concerned.
    pub slowdown_tenths: u64,
}

/// The load of all targets as this process observes it.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    run_count: u64,
    stats: IndexMap<String, TargetStats>,
    settings: LoadBalancerSettings,
}

impl LoadBalancer {
    /// Opens a load balancer that has observed no calls.
    pub fn open(settings: LoadBalancerSettings) -> Self {
        Self { run_count: 0, stats: IndexMap::new(), settings }
    }

    /// Chooses a target for a call, if possible one that is not in `tried`, and one that is not cold
    /// before any that is. A target to be probed comes first, and one to be avoided last. `draw` breaks
    /// ties.
    pub fn choose<'a>(
        &self,
        now: UnixMs,
        candidates: &[Candidate<'a>],
        tried: &[String],
        draw: u64,
    ) -> Option<Candidate<'a>> {
        let untried: Vec<&Candidate<'a>> = candidates
            .iter()
            .filter(|candidate| !tried.iter().any(|id| id == candidate.id))
            .collect();
        let pool = if untried.is_empty() { candidates.iter().collect() } else { untried };
        let is_available =
            |candidate: &&&Candidate<'a>| self.unavailable_until(candidate.id) <= now;
        if let Some(probed) = pool
            .iter()
            .filter(is_available)
            .find(|candidate| candidate.preference == CallPreference::Probe)
        {
            return Some(**probed);
        }
        // A target that was only full shortly ago has capacity sooner than one that fails.
        let class = |candidate: &Candidate<'a>| {
            let is_normal = candidate.preference == CallPreference::Normal;
            (!is_normal, self.unavailable_until(candidate.id) > now)
        };
        let best_class = pool.iter().map(|candidate| class(candidate)).min()?;
        let from: Vec<&Candidate<'a>> =
            pool.into_iter().filter(|candidate| class(candidate) == best_class).collect();
        let count = from.len() as u64;
        let fastest_us = self.fastest_us(candidates);
        from.iter()
            .enumerate()
            .min_by_key(|(index, candidate)| {
                let tie_break = (*index as u64 + draw) % count.max(1);
                (candidate.is_cold, self.cost(candidate, fastest_us), tie_break)
            })
            .map(|(_, candidate)| **candidate)
    }

    /// Chooses a target with a free slot, by our own count, for a run that is expected to take
    /// `run_ms`. Prefers targets that are not cold, then the fastest (in steps of a quarter of the fastest target's
    /// latency), then the one with the lowest expected concurrency, then `preferred`, the target
    /// that has already read the group's prompt. `draw` breaks ties. Returns `None` if no target
    /// has a free slot or all of those back off.
    ///
    /// A slow target delays the whole group of the item that it runs. Concurrent runs at a target
    /// slow each other by a tenth, which is more than the cost of reading a prompt again.
    /// Concurrency is averaged over the run: when only the number of runs counted, five of a step's
    /// longest items met at one target whose other runs soon ended.
    pub fn choose_with_free_slot<'a>(
        &self,
        now: UnixMs,
        candidates: &[Candidate<'a>],
        preferred: Option<&str>,
        run_ms: u64,
        draw: u64,
    ) -> Option<Candidate<'a>> {
        let fastest_us = self.fastest_us(candidates);
        let free: Vec<&Candidate<'a>> = candidates
            .iter()
            .filter(|candidate| self.in_flight(candidate.id) < candidate.slots)
            .filter(|candidate| self.unavailable_until(candidate.id) <= now)
            .collect();
        let count = free.len() as u64;
        free.iter()
            .enumerate()
            .min_by_key(|(index, candidate)| {
                let slowdown_step = self.slowdown(candidate.id, fastest_us) * 4 / SLOWDOWN_UNIT;
                let load = self.expected_concurrency(now, candidate.id, run_ms)
                    / u64::from(candidate.slots.max(1));
                let is_not_preferred = u8::from(preferred != Some(candidate.id));
                let tie_break = (*index as u64 + draw) % count.max(1);
                (candidate.is_cold, slowdown_step, load, is_not_preferred, tie_break)
            })
            .map(|(_, candidate)| **candidate)
    }

    /// Returns the expected mean number of other runs and calls at the target during a run of
    /// `run_ms`, in hundredths. A call that is no item's run counts for the whole time.
    fn expected_concurrency(&self, now: UnixMs, id: &str, run_ms: u64) -> u64 {
        let Some(stats) = self.stats.get(id) else { return 0 };
        let run_ms = run_ms.max(1);
        let overlap =
            |end: &UnixMs| end.since_ms(now).max(OVERDUE_RUN_MS).min(run_ms) * 100 / run_ms;
        let runs: u64 = stats.run_ends.values().map(overlap).sum();
        let calls = (stats.in_flight as usize).saturating_sub(stats.run_ends.len()) as u64;
        runs + calls * 100
    }

    /// Counts an item's run as sent, and expects it to end at about `end`. Returns a number to pass
    /// to [`run_ended`](Self::run_ended).
    pub fn run_started(&mut self, id: &str, end: UnixMs) -> u64 {
        self.run_count += 1;
        let number = self.run_count;
        let stats = self.entry(id);
        stats.in_flight += 1;
        stats.run_ends.insert(number, end);
        number
    }

    /// Removes a run's expected end. Call before [`call_ended`](Self::call_ended), which then
    /// counts the run as no longer in flight.
    pub fn run_ended(&mut self, id: &str, number: u64) {
        self.entry(id).run_ends.swap_remove(&number);
    }

    /// Returns whether a target has room for one more call: fewer of our own calls are in flight there
    /// than half of its slots, and it is not skipped.
    pub fn has_room(&self, now: UnixMs, id: &str, slots: u32) -> bool {
        self.in_flight(id) * 2 < slots.max(1) && !self.is_unavailable(now, id)
    }

    /// Returns whether a target is skipped after a failure or refusal, or while it loads weights.
    pub fn is_unavailable(&self, now: UnixMs, id: &str) -> bool {
        self.unavailable_until(id) > now
    }

    /// Records that a target loads weights until about `until` and accepts no new work.
    ///
    /// If loads are learnt from refusals instead, a step's longest items go first to the emptiest
    /// targets, which are those that load, and are then placed after shorter ones: the item that
    /// ended a step started 1.1 s late on average over fifteen days.
    pub fn record_loading_until(&mut self, id: &str, until: UnixMs) {
        self.entry(id).loading_until = until;
    }

    /// Counts a call as sent.
    pub fn call_sent(&mut self, id: &str) {
        let stats = self.entry(id);
        stats.in_flight += 1;
    }

    /// Ends the backoff of a target that another node has seen answer after the failure.
    pub fn serves_again(&mut self, id: &str) {
        if let Some(stats) = self.stats.get_mut(id)
            && stats.failures_in_row > 0
        {
            stats.failures_in_row = 0;
            stats.backoff_until = UnixMs(0);
            // Until it answers this process again, it is used as the reports say: slowly at first.
            stats.latency_us = 0;
        }
    }

    /// Counts the end of a call to a target that runs `slots` requests at once.
    pub fn call_ended(&mut self, now: UnixMs, id: &str, slots: u32, outcome: CallOutcome) {
        let settings = self.settings;
        let stats = self.entry(id);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        let overloaded_backoff_ms = if stats.in_flight * 2 < slots {
            settings.loading_backoff_ms
        } else {
            settings.overloaded_backoff_ms
        };
        match outcome {
            CallOutcome::Answered { latency_ms } => stats.record_answer(latency_ms),
            CallOutcome::Cancelled => {}
            CallOutcome::Overloaded => stats.backoff_until = now.plus(overloaded_backoff_ms),
            CallOutcome::Failed => stats.record_failure(now, settings),
        }
    }

    /// Records the time between events of a stream that is still open.
    pub fn record_latency(&mut self, id: &str, latency_ms: u64) {
        self.entry(id).record_answer(latency_ms);
    }

    /// Returns the number of our calls in flight at a target.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.stats.get(id).map_or(0, |stats| stats.in_flight)
    }

    /// Returns a target's recent latency, in milliseconds; 0 if it is unknown.
    pub fn latency_ms(&self, id: &str) -> u64 {
        self.stats.get(id).map_or(0, |stats| stats.latency_us / 1_000)
    }

    /// Returns the lowest recent latency among some targets, in milliseconds; 0 if none is known.
    pub fn fastest_ms<'a>(&self, ids: impl Iterator<Item = &'a str>) -> u64 {
        let latencies_ms = ids.map(|id| self.latency_ms(id));
        latencies_ms.filter(|latency_ms| *latency_ms > 0).min().unwrap_or(0)
    }

    /// Drops what was observed of a target's earlier incarnation. Calls in flight there still count
    /// until they are given up.
    pub fn target_restarted(&mut self, id: &str) {
        let stats = self.entry(id);
        let (in_flight, run_ends) = (stats.in_flight, std::mem::take(&mut stats.run_ends));
        *stats = TargetStats { in_flight, run_ends, ..TargetStats::default() };
    }

    /// Drops targets that are not kept and have no call in flight.
    pub fn retain(&mut self, kept: impl Fn(&str) -> bool) {
        self.stats.retain(|id, stats| stats.in_flight > 0 || kept(id));
    }

    fn entry(&mut self, id: &str) -> &mut TargetStats {
        if !self.stats.contains_key(id) {
            self.stats.insert(id.to_owned(), TargetStats::default());
        }
        &mut self.stats[id]
    }

    fn unavailable_until(&self, id: &str) -> UnixMs {
        self.stats.get(id).map_or(UnixMs(0), |stats| stats.backoff_until.max(stats.loading_until))
    }

    fn fastest_us(&self, candidates: &[Candidate<'_>]) -> u64 {
        candidates
            .iter()
            .filter_map(|candidate| self.stats.get(candidate.id))
            .map(|stats| stats.latency_us)
            .filter(|latency| *latency > 0)
            .min()
            .unwrap_or(0)
    }

    /// Returns how many times slower than the fastest a target is, in [`SLOWDOWN_UNIT`]ths.
    fn slowdown(&self, id: &str, fastest_us: u64) -> u64 {
        let latency_us = self.stats.get(id).map_or(0, |stats| stats.latency_us);
        if fastest_us == 0 || latency_us == 0 {
            return SLOWDOWN_UNIT;
        }
        (latency_us * SLOWDOWN_UNIT / fastest_us).clamp(SLOWDOWN_UNIT, SLOWDOWN_MAX * SLOWDOWN_UNIT)
    }

    /// Returns the expected work of one more call, in hundredths of a target's slots, including
    /// [`CROSS_DATA_CENTRE_COST`] and [`CONNECT_COST`] where they apply.
    fn cost(&self, candidate: &Candidate<'_>, fastest_us: u64) -> u64 {
        let in_flight = u64::from(self.in_flight(candidate.id));
        let load = (in_flight + 1) * 100 / u64::from(candidate.slots.max(1));
        load * self.call_slowdown(candidate, fastest_us) / SLOWDOWN_UNIT
            + u64::from(!candidate.same_data_centre) * CROSS_DATA_CENTRE_COST
            + u64::from(!candidate.connected) * CONNECT_COST
    }

    /// Returns the slowdown of a target for calls: by this process's own answers, or as reported if
    /// there are none. Reports are seconds old: where they went before own answers, calls went on to
    /// targets that had just become slow.
    fn call_slowdown(&self, candidate: &Candidate<'_>, fastest_us: u64) -> u64 {
        let is_known = self.stats.get(candidate.id).is_some_and(|stats| stats.latency_us > 0);
        if is_known {
            return self.slowdown(candidate.id, fastest_us);
        }
        candidate.slowdown_tenths.clamp(SLOWDOWN_UNIT, SLOWDOWN_MAX * SLOWDOWN_UNIT)
    }
}

/// Resolution of slowdowns: a tenth of the fastest latency.
pub(crate) const SLOWDOWN_UNIT: u64 = 10;

impl TargetStats {
    const fn record_answer(&mut self, latency_ms: u64) {
        self.failures_in_row = 0;
        let sample_us = latency_ms * 1_000;
        self.latency_us = if self.latency_us == 0 {
            sample_us
        } else {
            (self.latency_us * (LATENCY_SMOOTHING - 1) + sample_us) / LATENCY_SMOOTHING
        };
    }

    fn record_failure(&mut self, now: UnixMs, settings: LoadBalancerSettings) {
        let doublings = self.failures_in_row.min(6);
        let backoff_ms = (settings.backoff_ms << doublings).min(settings.backoff_max_ms);
        self.failures_in_row += 1;
        self.backoff_until = now.plus(backoff_ms);
    }
}
