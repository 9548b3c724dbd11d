//! A small model of an engine: speed by batch size, heavy-tailed lengths, swaps, crashes.

use catkinmast_model::{Name, SampleId, Segments, UnixMs, Version};
use catkinmast_rollout::{Attempt, EngineInfo, RunOrder};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// One sample in this many is a straggler.
const STRAGGLER_EVERY: u64 = 40;
/// A straggler's length, in medians.
const STRAGGLER_FACTOR: f64 = 10.0;
/// Time between two reports of progress.
const PROGRESS_EVERY_MS: u64 = 1_000;
/// How many prompts an engine's cache holds.
const CACHED_PROMPTS: usize = 16;

/// What happens to running samples when new weights come in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapMode {
    /// They are cut and start over.
    Abort,
    /// They go on under the new version.
    Continue,
    /// They end under the old version first; nothing new starts meanwhile.
    FinishOld,
}

/// How engines behave.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Seed of the samples' lengths.
    pub lengths_seed: u64,
    /// Most sequences at once.
    pub max_batch: u32,
    /// Length of a usual sample.
    pub median_tokens: u32,
    /// How long the prompt takes when it is not cached.
    pub prefill_ms: u64,
    /// The last engine's slowness, as a factor on time; 1 is as fast as the others.
    pub slow_engine_factor: u32,
    /// What a swap does to running samples.
    pub swap: SwapMode,
    /// How long fetching and loading weights takes, during which the engine goes on.
    pub swap_fetch_ms: u64,
    /// How long the engine stands still for the swap itself.
    pub swap_pause_ms: u64,
    /// Tokens a second of a lone sequence.
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
    cold_until: UnixMs,
    length: u32,
    owner: usize,
    progress_at: UnixMs,
    runner: usize,
    sample: SampleId,
    segments: Segments,
    started: bool,
    /// Thousandths of a token gained but not yet whole.
    token_millis: u64,
}

/// How a run ended, or got on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum What {
    Broken { kept: bool },
    Progress,
    Whole,
}

/// A change of a run that its owner hears of.
#[derive(Clone, Debug)]
pub(crate) struct Finish {
    pub attempt: Attempt,
    pub owner: usize,
    pub runner: usize,
    pub sample: SampleId,
    pub segments: Segments,
    pub what: What,
}

#[derive(Clone, Copy, Debug)]
struct SwapSim {
    fetched_at: UnixMs,
    version: Version,
}

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineSim {
    alive: bool,
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

/// A sample's length: alike within its group, the same at every engine, sometimes very long.
pub(crate) fn length_of(id: SampleId, model: &EngineModel) -> u32 {
    let draw = |number: u64| {
        let mut rng = Pcg64Mcg::seed_from_u64(number);
        // The sum of three draws is close enough to a bell for a spread of lengths.
        (0..3).map(|_| rng.random_range(-1.0..1.0)).sum::<f64>()
    };
    let step = model.lengths_seed.wrapping_mul(7_919).wrapping_add(id.step);
    let group = step.wrapping_mul(100_003).wrapping_add(u64::from(id.group));
    let own = group.wrapping_mul(1_009).wrapping_add(u64::from(id.index) + 7);
    let factor = (0.45 * draw(group) + 0.2 * draw(own)).exp();
    let straggler = Pcg64Mcg::seed_from_u64(own ^ 0x5eed).random_range(0..STRAGGLER_EVERY) == 0;
    let tail = if straggler { STRAGGLER_FACTOR } else { 1.0 };
    (f64::from(model.median_tokens) * factor * tail).max(1.0) as u32
}

impl EngineSim {
    pub(crate) fn open(number: usize, model: EngineModel, seed: u64) -> Self {
        let name = match format!("engine-{number}").parse() {
            Ok(name) => name,
            Err(error) => unreachable!("'engine-{number}' is a name: {error}"),
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
            cold_until: UnixMs(0),
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
        let other = |run: &RunSim| (run.sample, run.attempt) != (sample, attempt);
        self.running.retain(other);
        self.waiting.retain(other);
    }

    pub(crate) fn segments(&self, sample: SampleId, attempt: Attempt) -> Option<Segments> {
        let found = self.running.iter().find(|r| (r.sample, r.attempt) == (sample, attempt));
        found.map(|run| run.segments.clone())
    }

    pub(crate) fn order(&mut self, now: UnixMs, version: Version) {
        let under_way = self.swap.is_some_and(|swap| swap.version == version);
        if self.alive && version != self.version && !under_way {
            // Fetch times differ a little, so that engines do not move in step.
            let spread_ms = self.seed % 1_000;
            let fetched_at = now.plus(self.model.swap_fetch_ms + spread_ms);
            self.swap = Some(SwapSim { fetched_at, version });
        }
    }

    pub(crate) const fn fail_next_swap(&mut self) {
        self.fail_next_swap = true;
    }

    pub(crate) fn crash(&mut self, broken: &mut Vec<Finish>) {
        self.alive = false;
        let waiting = std::mem::take(&mut self.waiting);
        for run in std::mem::take(&mut self.running).into_iter().chain(waiting) {
            broken.push(finish(&run, What::Broken { kept: true }));
        }
    }

    /// Runs of a dead runner stop; nobody is told, since nobody is left to tell.
    pub(crate) fn runner_died(&mut self, node: usize) {
        self.running.retain(|run| run.runner != node);
        self.waiting.retain(|run| run.runner != node);
    }

    /// Runs whose owner hung up are dropped by their runners.
    pub(crate) fn owner_left(&mut self, node: usize) {
        self.running.retain(|run| run.owner != node);
        self.waiting.retain(|run| run.owner != node);
    }

    pub(crate) fn tick(&mut self, now: UnixMs, tick_ms: u64, finishes: &mut Vec<Finish>) {
        if !self.alive {
            return;
        }
        self.swap_weights(now, finishes);
        if now < self.paused_until {
            return;
        }
        self.admit(now);
        let gain_millis = self.gain_millis(tick_ms);
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|run| !self.advance(now, run, gain_millis, finishes));
        self.running = running;
    }

    fn swap_weights(&mut self, now: UnixMs, finishes: &mut Vec<Finish>) {
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
                finishes.push(finish(&run, What::Broken { kept: false }));
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
            run.cold_until = now.plus(if cached { 0 } else { self.model.prefill_ms });
            run.started = true;
            self.running.push(run);
        }
    }

    /// Tokens that each sequence gains: a full batch is half as fast for each as a lone one.
    fn gain_millis(&self, tick_ms: u64) -> u64 {
        let crowding = 1_000 + 1_000 * self.running.len() as u64 / u64::from(self.model.max_batch);
        let slow = if self.number == 0 { self.model.slow_engine_factor.max(1) } else { 1 };
        u64::from(self.model.tokens_per_s) * tick_ms * 1_000 / crowding / u64::from(slow)
    }

    /// Advances one run and tells whether it is over.
    fn advance(
        &mut self,
        now: UnixMs,
        run: &mut RunSim,
        gain_millis: u64,
        finishes: &mut Vec<Finish>,
    ) -> bool {
        if now < run.cold_until {
            return false;
        }
        run.token_millis += gain_millis;
        let left = run.length.saturating_sub(run.segments.token_count());
        let gained = ((run.token_millis / 1_000) as u32).min(left);
        run.token_millis -= u64::from(gained) * 1_000;
        run.segments.push(self.version, gained);
        self.generated += u64::from(gained);
        if run.segments.token_count() >= run.length {
            finishes.push(finish(run, What::Whole));
            return true;
        }
        if now >= run.progress_at {
            run.progress_at = now.plus(PROGRESS_EVERY_MS);
            finishes.push(finish(run, What::Progress));
        }
        false
    }
}

fn finish(run: &RunSim, what: What) -> Finish {
    Finish {
        attempt: run.attempt,
        owner: run.owner,
        runner: run.runner,
        sample: run.sample,
        segments: run.segments.clone(),
        what,
    }
}
