//! What this process sees of each target by its own calls, and the choice among them.
//!
//! A slow or dead target shows in our own calls seconds before the registry tells. Calls go to
//! the target with the least expected work: those in flight and this one, at its recent latency
//! relative to its peers. A target that fails rests, first briefly, then longer. If all rest, all
//! may be chosen: a rest is a guess, and to refuse everything on a guess would be worse.

use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// The share of a new answer in the mean latency, as one part in this many: about the last ten
/// answers decide, so one long request does not move it much.
const LATENCY_PARTS: u64 = 8;
/// A target's latency counts in the choice as at most this many times that of the fastest: at
/// four times, one in flight there weighs as much as four elsewhere, and it is still tried.
const SLOW_MAX_TIMES: u64 = 6;

/// What a hop between data centres counts, in hundredths of a target's slots: it decides between
/// equals only.
const FAR_COST: u64 = 2;
/// What a new connection counts: half a call in flight at a target of six slots. Without it each of
/// 55 nodes spread a few calls a second over 36 targets, and a fifth of all calls opened a connection
/// (1,780 for 8,469 requests on a calm day), each of which holds a slot for a millisecond.
const CONNECT_COST: u64 = 8;

/// A run that has lasted longer than expected counts as one that goes on for so long: its length was
/// an estimate that is right at the median only, and a tenth of a step's time is the least that matters.
const OVERDUE_MS: u64 = 700;

/// How a call at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// It was answered after so long.
    Answered {
        /// From sending to the answer's head, or for each event of a stream.
        latency_ms: u64,
    },
    /// Nothing is learnt, e.g. the caller left.
    Cancelled,
    /// It refused for load.
    Overloaded,
    /// It did not connect, broke off or fell silent.
    Failed,
}

/// Bounds of the choice.
#[derive(Clone, Copy, Debug)]
pub struct LoadBalancerSettings {
    /// How long a target rests after its first failure; doubled with each in a row.
    pub backoff_ms: u64,
    /// The longest rest.
    pub backoff_max_ms: u64,
    /// How long a target that refused for load is passed over.
    pub overloaded_backoff_ms: u64,
    /// The same for one that has less than half of its slots taken by us: it refuses because it
    /// loads weights, not because it is full.
    pub loading_backoff_ms: u64,
}

impl Default for LoadBalancerSettings {
    /// 400 ms: two consumers' attempts at most hit the same dead target; 3,200 ms: about the time
    /// that the registry takes to notice by itself; 60 ms: a full target frees a slot in about
    /// one request's time; 250 ms: a load takes about a second, and asking fifteen times meanwhile
    /// made a third of all arrivals at engines refusals.
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
struct Seen {
    failures_in_row: u32,
    in_flight: u32,
    latency_us: u64,
    loads_until: UnixMs,
    rests_until: UnixMs,
    /// When the runs of items are expected to end, by the numbers under which they were counted.
    run_ends: IndexMap<u64, UnixMs>,
}

/// A candidate of a choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// The target's id.
    pub id: &'a str,
    /// Whether it stands in our data centre.
    pub same_data_centre: bool,
    /// Whether an idle connection to it is there.
    pub connected: bool,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// The load of all targets as this process sees it.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    runs: u64,
    seen: IndexMap<String, Seen>,
    settings: LoadBalancerSettings,
}

impl LoadBalancer {
    /// Opens an empty table.
    pub fn open(settings: LoadBalancerSettings) -> Self {
        Self { runs: 0, seen: IndexMap::new(), settings }
    }

    /// Chooses a target for a call; `draw` breaks ties.
    pub fn choose<'a>(
        &self,
        now: UnixMs,
        candidates: &[Candidate<'a>],
        tried: &[String],
        draw: u64,
    ) -> Option<Candidate<'a>> {
        let fresh: Vec<&Candidate<'a>> =
            candidates.iter().filter(|pick| !tried.iter().any(|id| id == pick.id)).collect();
        let pool = if fresh.is_empty() { candidates.iter().collect() } else { fresh };
        let rested: Vec<&&Candidate<'a>> =
            pool.iter().filter(|pick| self.rests_until(pick.id) <= now).collect();
        let from: Vec<&Candidate<'a>> =
            if rested.is_empty() { pool.clone() } else { rested.into_iter().copied().collect() };
        let fastest_us = self.fastest_us(candidates);
        let count = from.len() as u64;
        from.iter()
            .enumerate()
            .min_by_key(|(index, pick)| {
                let turn = (*index as u64 + draw) % count.max(1);
                (self.cost(pick, fastest_us), turn)
            })
            .map(|(_, pick)| **pick)
    }

    /// Chooses a target that has a free slot by our own count for a run that is expected to take
    /// `run_ms`: the fastest, by steps of a quarter of the fastest's pace, then the one with the
    /// least company, then `preferred`.
    ///
    /// A target that is slow delays the whole group of the item that it runs. Runs at one target
    /// slow each other down by a tenth, which is more than what a prompt that is read again costs.
    /// What counts is the company that a run has for as long as it lasts: by their number alone, five
    /// of a step's longest items met at one target whose other runs soon ended.
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
            .filter(|pick| self.in_flight(pick.id) < pick.slots)
            .filter(|pick| self.rests_until(pick.id) <= now)
            .collect();
        let count = free.len() as u64;
        free.iter()
            .enumerate()
            .min_by_key(|(index, pick)| {
                let step = self.slowness(pick.id, fastest_us) * 4 / SLOWNESS_UNIT;
                let load = self.company(now, pick.id, run_ms) / u64::from(pick.slots.max(1));
                let other = u8::from(preferred != Some(pick.id));
                (step, load, other, (*index as u64 + draw) % count.max(1))
            })
            .map(|(_, pick)| **pick)
    }

    /// How many other runs a run of `run_ms` has beside it on the mean while it lasts, in hundredths.
    fn company(&self, now: UnixMs, id: &str, run_ms: u64) -> u64 {
        let Some(seen) = self.seen.get(id) else { return 0 };
        let run_ms = run_ms.max(1);
        let overlap = |end: &UnixMs| end.since_ms(now).max(OVERDUE_MS).min(run_ms) * 100 / run_ms;
        let runs: u64 = seen.run_ends.values().map(overlap).sum();
        let calls = (seen.in_flight as usize).saturating_sub(seen.run_ends.len()) as u64;
        runs + calls * 100
    }

    /// Counts the run of an item as sent, which is expected to end at about `end`; returns the number
    /// under which it is [counted off](Self::run_ended).
    pub fn run_started(&mut self, id: &str, end: UnixMs) -> u64 {
        self.runs += 1;
        let number = self.runs;
        let seen = self.entry(id);
        seen.in_flight += 1;
        seen.run_ends.insert(number, end);
        number
    }

    /// Takes the end of a run, before it is counted as [finished](Self::finished).
    pub fn run_ended(&mut self, id: &str, number: u64) {
        self.entry(id).run_ends.swap_remove(&number);
    }

    /// Tells whether a target is passed over after a failure or a refusal.
    pub fn is_backing_off(&self, now: UnixMs, id: &str) -> bool {
        self.rests_until(id) > now
    }

    /// Takes the word that a target loads weights until about then, and takes no new work.
    ///
    /// Learnt by refusals instead, a step's longest items go first to the emptiest targets, which
    /// are those that load, and lose their turn to shorter ones: the item that ends a step began
    /// 1.1 s after it on the mean of fifteen days.
    pub fn loading_until(&mut self, id: &str, until: UnixMs) {
        self.entry(id).loads_until = until;
    }

    /// Counts a call as sent.
    pub fn call_sent(&mut self, id: &str) {
        self.entry(id).in_flight += 1;
    }

    /// Counts the end of a call at a target that runs `slots` requests at once.
    pub fn call_ended(&mut self, now: UnixMs, id: &str, slots: u32, outcome: CallOutcome) {
        let settings = self.settings;
        let seen = self.entry(id);
        seen.in_flight = seen.in_flight.saturating_sub(1);
        let full_rest_ms = if seen.in_flight * 2 < slots {
            settings.loading_backoff_ms
        } else {
            settings.overloaded_backoff_ms
        };
        match outcome {
            CallOutcome::Answered { latency_ms } => seen.answered(latency_ms),
            CallOutcome::Cancelled => {}
            CallOutcome::Overloaded => seen.rests_until = now.plus(full_rest_ms),
            CallOutcome::Failed => seen.failed(now, settings),
        }
    }

    /// Takes the pace of a stream that goes on.
    pub fn record_latency(&mut self, id: &str, latency_ms: u64) {
        self.entry(id).answered(latency_ms);
    }

    /// Returns our calls in flight at a target.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.seen.get(id).map_or(0, |seen| seen.in_flight)
    }

    /// Returns a target's recent latency.
    pub fn latency_ms(&self, id: &str) -> u64 {
        self.seen.get(id).map_or(0, |seen| seen.latency_us / 1_000)
    }

    /// Returns the recent latency of the fastest of some targets; 0 where none was seen.
    pub fn fastest_ms<'a>(&self, ids: impl Iterator<Item = &'a str>) -> u64 {
        let seen = ids.map(|id| self.latency_ms(id));
        seen.filter(|latency_ms| *latency_ms > 0).min().unwrap_or(0)
    }

    /// Forgets what was seen of a target's earlier life. Calls that are in flight there still count
    /// until they are given up.
    pub fn target_restarted(&mut self, id: &str) {
        let seen = self.entry(id);
        let (in_flight, run_ends) = (seen.in_flight, std::mem::take(&mut seen.run_ends));
        *seen = Seen { in_flight, run_ends, ..Seen::default() };
    }

    /// Forgets targets that are gone and have no call in flight.
    pub fn retain(&mut self, kept: impl Fn(&str) -> bool) {
        self.seen.retain(|id, seen| seen.in_flight > 0 || kept(id));
    }

    fn entry(&mut self, id: &str) -> &mut Seen {
        if !self.seen.contains_key(id) {
            self.seen.insert(id.to_owned(), Seen::default());
        }
        &mut self.seen[id]
    }

    fn rests_until(&self, id: &str) -> UnixMs {
        self.seen.get(id).map_or(UnixMs(0), |seen| seen.rests_until.max(seen.loads_until))
    }

    fn fastest_us(&self, candidates: &[Candidate<'_>]) -> u64 {
        candidates
            .iter()
            .filter_map(|pick| self.seen.get(pick.id))
            .map(|seen| seen.latency_us)
            .filter(|latency| *latency > 0)
            .min()
            .unwrap_or(0)
    }

    /// How many times slower than the fastest, in [`SLOWNESS_UNIT`]ths.
    fn slowness(&self, id: &str, fastest_us: u64) -> u64 {
        let latency_us = self.seen.get(id).map_or(0, |seen| seen.latency_us);
        if fastest_us == 0 || latency_us == 0 {
            return SLOWNESS_UNIT;
        }
        (latency_us * SLOWNESS_UNIT / fastest_us)
            .clamp(SLOWNESS_UNIT, SLOW_MAX_TIMES * SLOWNESS_UNIT)
    }

    /// The expected work of one more call, in hundredths. A hop between data centres counts as
    /// [`FAR_COST`] and a new connection as [`CONNECT_COST`].
    fn cost(&self, pick: &Candidate<'_>, fastest_us: u64) -> u64 {
        let in_flight = u64::from(self.in_flight(pick.id));
        let load = (in_flight + 1) * 100 / u64::from(pick.slots.max(1));
        load * self.slowness(pick.id, fastest_us) / SLOWNESS_UNIT
            + u64::from(!pick.same_data_centre) * FAR_COST
            + u64::from(!pick.connected) * CONNECT_COST
    }
}

/// The resolution of slowness: a tenth of the fastest latency.
pub(crate) const SLOWNESS_UNIT: u64 = 10;

impl Seen {
    const fn answered(&mut self, latency_ms: u64) {
        self.failures_in_row = 0;
        let seen_us = latency_ms * 1_000;
        self.latency_us = if self.latency_us == 0 {
            seen_us
        } else {
            (self.latency_us * (LATENCY_PARTS - 1) + seen_us) / LATENCY_PARTS
        };
    }

    fn failed(&mut self, now: UnixMs, settings: LoadBalancerSettings) {
        let doublings = self.failures_in_row.min(6);
        let rest_ms = (settings.backoff_ms << doublings).min(settings.backoff_max_ms);
        self.failures_in_row += 1;
        self.rests_until = now.plus(rest_ms);
    }
}
