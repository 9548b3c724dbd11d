//! Scheduling policy: which sample runs next, and on which engine.
//!
//! - *Run-ahead.* A sample of a later step is started only if its expected staleness when it is
//!   claimed fits the trainer's bound. The trainer's idle weight determines how much of the bound
//!   may be used to keep the trainer busy ([`RunAhead`]).
//! - *Order.* Samples with the longest expected output start first. The output length is unknown at
//!   first, but other samples of the same group predict it, so one sample of each group starts
//!   first as a probe.
//! - *Engine.* The engine with the fewest samples in flight is chosen. An engine that has the
//!   group's prompt in its prefix cache is preferred if its load is only slightly higher.
//! - *Tail.* When no sample is queued and engines are idle, a sample that gains tokens much more
//!   slowly than others did is duplicated on an idle engine, resuming from the tokens already
//!   generated; the first complete result wins. The number of duplicates is limited, so that the
//!   tail of one step does not delay the next. Only slow samples are duplicated. Duplicating *long*
//!   samples instead wasted 11.7 % of all tokens and shortened steps by only 0.3 %, since at the
//!   end of a step their engines are nearly idle anyway.

use crate::sample::{Sample, SampleState};
use catkinmast_model::{Name, SampleId, UnixMs, Version};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// How many more samples in flight an engine may have and still be preferred for its cached prompt.
const AFFINITY_SLACK: u32 = 2;
/// A run below this percentage of the mean speed is slow.
const SLOW_PERCENT: u64 = 60;
/// Minimum duration of a run before its speed is meaningful.
const SPEED_MIN_RUN_MS: u64 = 3_000;

/// An engine that serves the trainer's model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineInfo {
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Data centre in which the engine runs.
    pub data_centre: Name,
    /// Name of the engine.
    pub name: Name,
    /// Maximum number of this trainer's samples that it runs at once.
    pub slots: u32,
}

/// An engine, as the owner of a trainer's steps sees it.
#[derive(Clone, Debug)]
pub(crate) struct EngineView {
    pub in_flight: u32,
    pub info: EngineInfo,
    pub recent_groups: Vec<(u64, u32)>,
    pub backoff_until: UnixMs,
    pub version: Option<Version>,
}

/// How far ahead of the trainer samples are generated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunAhead {
    /// The trainer's staleness bound, in versions.
    pub staleness_bound_versions: u64,
    /// Weight of trainer idle time against staleness, 0 to 100.
    pub idle_weight_percent: u32,
}

impl RunAhead {
    /// Returns how many steps after the current one may be started.
    pub const fn steps(&self) -> u64 {
        self.staleness_bound_versions * self.idle_weight_percent as u64 / 100
    }

    /// Returns whether a sample is expected to fit the staleness bound when it is claimed, if it
    /// starts now, `steps_ahead` steps early, on an engine that is `versions_behind` versions
    /// behind the trainer.
    pub const fn allows(&self, steps_ahead: u64, versions_behind: u64) -> bool {
        steps_ahead <= self.steps()
            && steps_ahead + versions_behind <= self.staleness_bound_versions
    }
}

/// Which parts of the policy are enabled; a benchmark disables them one by one.
#[expect(clippy::struct_excessive_bools, reason = "each switches one part of the policy")]
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    /// Maximum number of duplicated samples, in percent of all samples held. Default: 5.
    pub duplicates_max_percent: u32,
    /// Whether samples with the longest expected output start first. Default: true.
    pub longest_first: bool,
    /// Whether a failed run's tokens are resumed from. Default: true.
    pub resume_partials: bool,
    /// Whether an engine with the prompt in its prefix cache is preferred. Default: true.
    pub prefix_affinity: bool,
    /// Whether engines are chosen by the sample's number instead of by load; the baseline of the
    /// benchmark. Default: false.
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

/// Statistics of finished runs, which predict the output lengths of other samples of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lengths {
    finished: u64,
    /// The longest output so far, by step and group.
    groups: IndexMap<(u64, u32), u32>,
    /// Moving average of the speed of finished runs, in tokens per 1,000 seconds.
    mean_speed: u64,
    total_tokens: u64,
}

impl Lengths {
    /// Records a finished run of `tokens` tokens, of which it generated `gained` in `took_ms`.
    pub(crate) fn record(&mut self, id: SampleId, tokens: u32, gained: u32, took_ms: u64) {
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

    /// Returns the expected output length. Index 0 of a group without finished runs is the probe
    /// and comes first.
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

/// Chooses an engine for a sample; `None` if no suitable engine has a free slot.
pub(crate) fn choose_engine(
    engines: &IndexMap<Name, EngineView>,
    id: SampleId,
    now: UnixMs,
    settings: ScheduleSettings,
    fits: impl Fn(&EngineView) -> bool,
) -> Option<Name> {
    let free = engines.values().filter(|engine| {
        engine.in_flight < engine.info.slots && engine.backoff_until <= now && fits(engine)
    });
    let cost = |engine: &EngineView| {
        let cached = engine.recent_groups.contains(&(id.step, id.group));
        let slack = if cached && settings.prefix_affinity { 0 } else { AFFINITY_SLACK };
        engine.in_flight + slack
    };
    if settings.round_robin {
        let free: Vec<&EngineView> = free.collect();
        let index = id.group as usize + id.index as usize;
        return free.get(index % free.len().max(1)).map(|engine| engine.info.name.clone());
    }
    free.min_by_key(|engine| cost(engine)).map(|engine| engine.info.name.clone())
}

/// Returns the speed in tokens per 1,000 seconds.
const fn speed(tokens: u32, took_ms: u64) -> u64 {
    tokens as u64 * 1_000_000 / if took_ms == 0 { 1 } else { took_ms }
}

/// Chooses the slow sample that should be duplicated on an idle engine: of the earliest step, the
/// one that has run longest.
///
/// Another engine does not help a long sample on a fast engine, which is nearly idle at the end of
/// a step. It helps a sample that gains tokens much more slowly than others did, because its engine
/// is slow or full. It does not help a sample whose tokens are complete and which only waits for
/// its score.
pub(crate) fn straggler(
    samples: &IndexMap<SampleId, Sample>,
    lengths: &Lengths,
    now: UnixMs,
) -> Option<SampleId> {
    let alone = samples.values().filter_map(|sample| match sample.runs.values().next() {
        Some(run) if sample.runs.len() == 1 && !run.complete => Some((sample, run)),
        _ => None,
    });
    let slow = alone.filter(|(_, run)| {
        let took_ms = now.since_ms(run.started_at);
        let gained = run.segments.token_count().saturating_sub(run.resumed_tokens);
        took_ms > SPEED_MIN_RUN_MS
            && speed(gained, took_ms) * 100 < lengths.mean_speed * SLOW_PERCENT
    });
    slow.min_by_key(|(sample, run)| (sample.id.step, run.started_at)).map(|(s, _)| s.id)
}
