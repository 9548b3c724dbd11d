//! Which sample runs next, and on which engine.
//!
//! - *Run-ahead.* A sample of a later step is started only if its expected age when it is claimed
//!   fits the trainer's bound. The operators' weight decides how much of the bound may be spent
//!   on keeping the trainer busy ([`RunAhead`]).
//! - *Order.* The longest expected first. A prompt's length is unknown, but its siblings' lengths
//!   predict it, so one sample of each group goes first as a probe.
//! - *Engine.* The one with the fewest samples in flight; an engine that already has the group's
//!   prompt in its cache is preferred while its load is close to that.
//! - *Tail.* When nothing waits and engines idle, a sample that gains tokens much more slowly than
//!   others did is continued on an idle engine as well, from the tokens already there; the first
//!   whole result wins. The duplicates are capped, so that the tail of one step cannot eat the
//!   next one's time. (Duplicating merely *long* samples was tried: 11.7 % of all tokens wasted
//!   for steps 0.3 % shorter, since at the end of a step their engines are nearly empty anyway.)

use crate::sample::{Sample, SampleState};
use catkinmast_model::{Name, SampleId, UnixMs, Version};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// How many more samples a cached prompt is worth when engines are compared.
const AFFINITY_SLACK: u32 = 2;
/// A run below this share of the usual speed is slow, in percent.
const SLOW_PERCENT: u64 = 60;
/// How long a run must have run before its speed says anything.
const SPEED_NEEDS_MS: u64 = 3_000;

/// An engine that serves the trainer's model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineInfo {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Name,
    /// Its name.
    pub name: Name,
    /// How many samples of this trainer it may run at once.
    pub slots: u32,
}

/// An engine, as the owner of a trainer's steps sees it.
#[derive(Clone, Debug)]
pub(crate) struct EngineView {
    pub in_flight: u32,
    pub info: EngineInfo,
    pub recent_groups: Vec<(u64, u32)>,
    pub resting_until: UnixMs,
    pub version: Option<Version>,
}

/// How far ahead of the trainer samples are made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunAhead {
    /// The trainer's bound, in versions.
    pub staleness_bound_versions: u64,
    /// How much idle time weighs against staleness, 0 to 100.
    pub idle_weight_percent: u32,
}

impl RunAhead {
    /// Returns how many steps ahead of the current one may be started.
    pub const fn steps(&self) -> u64 {
        self.staleness_bound_versions * self.idle_weight_percent as u64 / 100
    }

    /// Tells whether a sample started now, `steps_ahead` steps early and on an engine `behind`
    /// versions behind the trainer, is expected to be young enough when it is claimed.
    pub const fn allows(&self, steps_ahead: u64, behind: u64) -> bool {
        steps_ahead <= self.steps() && steps_ahead + behind <= self.staleness_bound_versions
    }
}

/// Which parts of the policy are in force; a benchmark takes them out one by one.
#[expect(clippy::struct_excessive_bools, reason = "each switches one part of the policy")]
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    /// Most duplicates of running samples, in percent of a step's samples. Default: 5.
    pub duplicates_max_percent: u32,
    /// Whether longer samples go first, as their siblings predict. Default: true.
    pub longest_first: bool,
    /// Whether a failed run's tokens are gone on from. Default: true.
    pub resume_partials: bool,
    /// Whether an engine that has the prompt cached is preferred. Default: true.
    pub prefix_affinity: bool,
    /// Whether engines take turns instead of the emptiest taking the sample; the baseline that
    /// the benchmark compares with. Default: false.
    pub round_robin: bool,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        Self {
            duplicates_max_percent: 5,
            longest_first: true,
            resume_partials: true,
            prefix_affinity: true,
            round_robin: false,
        }
    }
}

/// The longest length seen in each group, from which siblings' lengths are predicted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lengths {
    finished: u64,
    groups: IndexMap<(u64, u32), u32>,
    /// Mean speed of finished runs, in tokens for each thousand seconds.
    mean_speed: u64,
    total_tokens: u64,
}

impl Lengths {
    /// Counts a finished run: its length, and the speed at which it gained `gained` tokens.
    pub(crate) fn saw(&mut self, id: SampleId, tokens: u32, gained: u32, took_ms: u64) {
        if took_ms > 0 {
            let speed = speed(gained, took_ms);
            let first = self.finished == 0;
            self.mean_speed = if first { speed } else { (self.mean_speed * 15 + speed) / 16 };
        }
        let longest = self.groups.entry((id.step, id.group)).or_default();
        *longest = (*longest).max(tokens);
        self.finished += 1;
        self.total_tokens += u64::from(tokens);
    }

    pub(crate) fn forget_step(&mut self, step: u64) {
        self.groups.retain(|(of, _), _| *of != step);
    }

    /// Returns the expected length; a group without news is tried first, as a probe.
    fn expected(&self, id: SampleId) -> u32 {
        match self.groups.get(&(id.step, id.group)) {
            Some(longest) => *longest,
            None if id.index == 0 => u32::MAX,
            None => self.mean(),
        }
    }

    fn mean(&self) -> u32 {
        self.total_tokens.checked_div(self.finished).map_or(0, |mean| mean as u32)
    }
}

/// Returns the queued samples in the order in which they should start.
pub(crate) fn start_order(
    samples: &IndexMap<SampleId, Sample>,
    lengths: &Lengths,
    settings: ScheduleSettings,
    now: UnixMs,
) -> Vec<SampleId> {
    let waiting =
        samples.values().filter(|s| s.state == SampleState::Queued && s.not_before <= now);
    let mut order: Vec<SampleId> = waiting.map(|sample| sample.id).collect();
    if settings.longest_first {
        order.sort_by_cached_key(|id| (id.step, Reverse(lengths.expected(*id)), *id));
    } else {
        order.sort_unstable();
    }
    order
}

/// Chooses an engine for a sample, or none when no suitable one has a slot free.
pub(crate) fn choose_engine(
    engines: &IndexMap<Name, EngineView>,
    id: SampleId,
    now: UnixMs,
    settings: ScheduleSettings,
    fits: impl Fn(&EngineView) -> bool,
) -> Option<Name> {
    let free = engines.values().filter(|engine| {
        engine.in_flight < engine.info.slots && engine.resting_until <= now && fits(engine)
    });
    let cost = |engine: &EngineView| {
        let cached = engine.recent_groups.contains(&(id.step, id.group));
        let slack = if cached && settings.prefix_affinity { 0 } else { AFFINITY_SLACK };
        engine.in_flight + slack
    };
    if settings.round_robin {
        let free: Vec<&EngineView> = free.collect();
        let turn = id.group as usize + id.index as usize;
        return free.get(turn % free.len().max(1)).map(|engine| engine.info.name.clone());
    }
    free.min_by_key(|engine| cost(engine)).map(|engine| engine.info.name.clone())
}

/// Tokens for each thousand seconds.
const fn speed(tokens: u32, took_ms: u64) -> u64 {
    tokens as u64 * 1_000_000 / if took_ms == 0 { 1 } else { took_ms }
}

/// Chooses the running sample that most deserves to be continued on an idle engine as well.
///
/// A long sample on a good engine is not helped by another one: at the end of a step its engine
/// is nearly empty already. Only a sample that gains tokens much more slowly than others did is,
/// because its engine is slow or full. One that is whole and only waits for its score is not.
pub(crate) fn straggler(
    samples: &IndexMap<SampleId, Sample>,
    lengths: &Lengths,
    now: UnixMs,
) -> Option<SampleId> {
    let alone = samples.values().filter_map(|sample| match sample.runs.values().next() {
        Some(run) if sample.runs.len() == 1 && !run.whole => Some((sample, run)),
        _ => None,
    });
    let slow = alone.filter(|(_, run)| {
        let took_ms = now.since_ms(run.started_at);
        let gained = run.segments.token_count().saturating_sub(run.resumed_tokens);
        took_ms > SPEED_NEEDS_MS && speed(gained, took_ms) * 100 < lengths.mean_speed * SLOW_PERCENT
    });
    slow.min_by_key(|(sample, run)| (sample.id.step, run.started_at)).map(|(s, _)| s.id)
}
