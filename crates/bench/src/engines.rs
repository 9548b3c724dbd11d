//! Model of an engine: speed by batch size, heavy-tailed sample lengths, weight swaps and crashes.

use catkinmast_model::{Name, SampleId, Segments, UnixMs, Version};
use catkinmast_rollout::{Attempt, EngineInfo, RunOrder};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// One sample in this many, on average, is a straggler.
const STRAGGLER_EVERY: u64 = 40;
/// Factor by which a straggler is longer than it would be otherwise.
const STRAGGLER_FACTOR: f64 = 10.0;
/// Interval between progress reports of a run.
const PROGRESS_INTERVAL_MS: u64 = 1_000;
/// Number of prompts in an engine's prefix cache.
const CACHED_PROMPTS: usize = 16;

/// What a weight swap does to running samples.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapMode {
    /// Running samples are aborted and start over.
    Abort,
    /// Running samples continue under the new version.
    Continue,
    /// Running samples finish under the old version before the swap; no sample starts meanwhile.
    FinishOld,
}

/// Parameters of the engine model.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Seed of the sample lengths.
    pub lengths_seed: u64,
    /// Maximum number of concurrent sequences.
    pub max_batch: u32,
    /// Median length of a sample that is not a straggler.
    pub median_tokens: u32,
    /// Prefill time of a prompt that is not cached.
    pub prefill_ms: u64,
    /// Slowdown of the first engine; at 1 it is as fast as the others.
    pub slow_engine_factor: u32,
    /// What a weight swap does to running samples.
    pub swap: SwapMode,
    /// Time to fetch and load weights, during which the engine keeps generating.
    pub swap_fetch_ms: u64,
    /// Time for which the swap itself stops generation.
    pub swap_pause_ms: u64,
    /// Tokens per second of a single sequence on an idle engine.
    pub tokens_per_s: u32,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            lengths_seed: 0,
            max_batch: 32,
            median_tokens: 800,
            prefill_ms: 500,
            slow_engine_factor: 1,
            swap: SwapMode::Continue,
            swap_fetch_ms: 4_000,
            swap_pause_ms: 1_000,
            tokens_per_s: 80,
        }
    }
}

#[derive(Clone, Debug)]
struct RunSim {
    attempt: Attempt,
    prefill_until: UnixMs,
    length: u32,
    owner: usize,
    progress_at: UnixMs,
    runner: usize,
    sample: SampleId,
    segments: Segments,
    started: bool,
    /// Thousandths of a token generated towards the next whole token.
    token_millis: u64,
}

/// What a run update reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunUpdateKind {
    Failed { kept: bool },
    Progress,
    Complete,
}

/// Progress or end of a run, as reported to its owner.
#[derive(Clone, Debug)]
pub(crate) struct RunUpdate {
    pub attempt: Attempt,
    pub owner: usize,
    pub runner: usize,
    pub sample: SampleId,
    pub segments: Segments,
    pub kind: RunUpdateKind,
}

#[derive(Clone, Copy, Debug)]
struct SwapSim {
    fetched_at: UnixMs,
    version: Version,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineSim {
    alive: bool,
    /// Prompts in the prefix cache, by step and group, least recently used first.
    cached: Vec<(u64, u32)>,
    fail_next_swap: bool,
    generated: u64,
    model: EngineModel,
    name: Name,
    number: usize,
    paused_until: UnixMs,
    running: Vec<RunSim>,
    seed: u64,
    swap: Option<SwapSim>,
    version: Version,
    waiting: Vec<RunSim>,
}

/// Returns a sample's length in tokens: similar within a group, the same on every engine, and very
/// long for stragglers.
pub(crate) fn length_of(id: SampleId, model: &EngineModel) -> u32 {
    let deviation = |seed: u64| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // The sum of three uniform draws approximates a normal distribution.
        (0..3).map(|_| rng.random_range(-1.0..1.0)).sum::<f64>()
    };
    let step = model.lengths_seed.wrapping_mul(7_919).wrapping_add(id.step);
    let group = step.wrapping_mul(100_003).wrapping_add(u64::from(id.group));
    let own = group.wrapping_mul(1_009).wrapping_add(u64::from(id.index) + 7);
    let factor = (0.45 * deviation(group) + 0.2 * deviation(own)).exp();
    let straggler = Pcg64Mcg::seed_from_u64(own ^ 0x5eed).random_range(0..STRAGGLER_EVERY) == 0;
    let tail = if straggler { STRAGGLER_FACTOR } else { 1.0 };
    (f64::from(model.median_tokens) * factor * tail).max(1.0) as u32
}

impl EngineSim {
    pub(crate) fn open(number: usize, model: EngineModel, seed: u64) -> Self {
        let name = match format!("engine-{number}").parse() {
            Ok(name) => name,
            Err(error) => unreachable!("generated name 'engine-{number}' is invalid: {error}"),
        };
        Self {
            alive: true,
            cached: Vec::new(),
            fail_next_swap: false,
            generated: 0,
            model,
            name,
            number,
            paused_until: UnixMs(0),
            running: Vec::new(),
            seed,
            swap: None,
            version: Version(0),
            waiting: Vec::new(),
        }
    }

    pub(crate) const fn name(&self) -> &Name {
        &self.name
    }

    pub(crate) const fn version(&self) -> Version {
        self.version
    }

    pub(crate) const fn is_alive(&self) -> bool {
        self.alive
    }

    pub(crate) const fn generated(&self) -> u64 {
        self.generated
    }

    pub(crate) fn info(&self, address: SocketAddr) -> EngineInfo {
        let data_centre = format!("node-{}", self.number % 3);
        EngineInfo {
            address,
            data_centre: data_centre.parse().unwrap_or_else(|_| self.name.clone()),
            name: self.name.clone(),
            slots: self.model.max_batch,
        }
    }

    pub(crate) fn start(
        &mut self,
        order: &RunOrder,
        owner: usize,
        runner: usize,
        segments: Segments,
    ) {
        self.waiting.push(RunSim {
            attempt: order.attempt,
            prefill_until: UnixMs(0),
            length: length_of(order.sample, &self.model),
            owner,
            progress_at: UnixMs(0),
            runner,
            sample: order.sample,
            segments,
            started: false,
            token_millis: 0,
        });
    }

    pub(crate) fn cancel(&mut self, sample: SampleId, attempt: Attempt) {
        let is_other = |run: &RunSim| (run.sample, run.attempt) != (sample, attempt);
        self.running.retain(is_other);
        self.waiting.retain(is_other);
    }

    pub(crate) fn segments(&self, sample: SampleId, attempt: Attempt) -> Option<Segments> {
        let found = self.running.iter().find(|r| (r.sample, r.attempt) == (sample, attempt));
        found.map(|run| run.segments.clone())
    }

    pub(crate) fn order(&mut self, now: UnixMs, version: Version) {
        let in_progress = self.swap.is_some_and(|swap| swap.version == version);
        if self.alive && version != self.version && !in_progress {
            // Fetch times vary by engine, so that engines do not swap at the same time.
            let spread_ms = self.seed % 1_000;
            let fetched_at = now.plus(self.model.swap_fetch_ms + spread_ms);
            self.swap = Some(SwapSim { fetched_at, version });
        }
    }

    pub(crate) const fn fail_next_swap(&mut self) {
        self.fail_next_swap = true;
    }

    pub(crate) fn crash(&mut self, failed: &mut Vec<RunUpdate>) {
        self.alive = false;
        let waiting = std::mem::take(&mut self.waiting);
        for run in std::mem::take(&mut self.running).into_iter().chain(waiting) {
            failed.push(run_update(&run, RunUpdateKind::Failed { kept: true }));
        }
    }

    /// Drops the runs of a crashed runner without updates: the runner is what reports them.
    pub(crate) fn drop_runs_of_runner(&mut self, node: usize) {
        self.running.retain(|run| run.runner != node);
        self.waiting.retain(|run| run.runner != node);
    }

    /// Drops the runs whose owner was replaced.
    pub(crate) fn drop_runs_of_owner(&mut self, node: usize) {
        self.running.retain(|run| run.owner != node);
        self.waiting.retain(|run| run.owner != node);
    }

    pub(crate) fn tick(&mut self, now: UnixMs, tick_ms: u64, updates: &mut Vec<RunUpdate>) {
        if !self.alive {
            return;
        }
        self.swap_weights(now, updates);
        if now < self.paused_until {
            return;
        }
        self.admit(now);
        let gained_millis = self.tokens_per_tick_millis(tick_ms);
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|run| !self.advance(now, run, gained_millis, updates));
        self.running = running;
    }

    fn swap_weights(&mut self, now: UnixMs, updates: &mut Vec<RunUpdate>) {
        let Some(swap) = self.swap.filter(|swap| swap.fetched_at <= now) else { return };
        if self.model.swap == SwapMode::FinishOld && !self.running.is_empty() {
            return;
        }
        self.swap = None;
        if std::mem::take(&mut self.fail_next_swap) {
            return;
        }
        if self.model.swap == SwapMode::Abort {
            for run in std::mem::take(&mut self.running) {
                updates.push(run_update(&run, RunUpdateKind::Failed { kept: false }));
            }
        }
        self.version = swap.version;
        self.paused_until = now.plus(self.model.swap_pause_ms);
    }

    fn admit(&mut self, now: UnixMs) {
        let swaps_soon = self.swap.is_some_and(|swap| swap.fetched_at <= now);
        while !swaps_soon
            && self.running.len() < self.model.max_batch as usize
            && !self.waiting.is_empty()
        {
            let mut run = self.waiting.remove(0);
            let prompt = (run.sample.step, run.sample.group);
            let cached = self.cached.contains(&prompt);
            self.cached.retain(|known| *known != prompt);
            self.cached.push(prompt);
            let surplus = self.cached.len().saturating_sub(CACHED_PROMPTS);
            self.cached.drain(..surplus);
            run.prefill_until = now.plus(if cached { 0 } else { self.model.prefill_ms });
            run.started = true;
            self.running.push(run);
        }
    }

    /// Returns the thousandths of a token that each sequence generates in a tick: at a full batch
    /// each sequence runs at half the speed of a single one.
    fn tokens_per_tick_millis(&self, tick_ms: u64) -> u64 {
        let batch_slowdown_millis =
            1_000 + 1_000 * self.running.len() as u64 / u64::from(self.model.max_batch);
        let slow = if self.number == 0 { self.model.slow_engine_factor.max(1) } else { 1 };
        u64::from(self.model.tokens_per_s) * tick_ms * 1_000
            / batch_slowdown_millis
            / u64::from(slow)
    }

    /// Advances one run and returns whether it is complete.
    fn advance(
        &mut self,
        now: UnixMs,
        run: &mut RunSim,
        gained_millis: u64,
        updates: &mut Vec<RunUpdate>,
    ) -> bool {
        if now < run.prefill_until {
            return false;
        }
        run.token_millis += gained_millis;
        let left = run.length.saturating_sub(run.segments.token_count());
        let gained = ((run.token_millis / 1_000) as u32).min(left);
        run.token_millis -= u64::from(gained) * 1_000;
        run.segments.push(self.version, gained);
        self.generated += u64::from(gained);
        if run.segments.token_count() >= run.length {
            updates.push(run_update(run, RunUpdateKind::Complete));
            return true;
        }
        if now >= run.progress_at {
            run.progress_at = now.plus(PROGRESS_INTERVAL_MS);
            updates.push(run_update(run, RunUpdateKind::Progress));
        }
        false
    }
}

fn run_update(run: &RunSim, kind: RunUpdateKind) -> RunUpdate {
    RunUpdate {
        attempt: run.attempt,
        owner: run.owner,
        runner: run.runner,
        sample: run.sample,
        segments: run.segments.clone(),
        kind,
    }
}
