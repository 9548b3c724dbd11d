//! Starting samples on engines, and handling the outcomes of their runs.

use crate::event::{Effect, NodeInfo, RunOrder};
use crate::owner::Rollout;
use crate::sample::{Attempt, Finished, Partial, Run, SampleState};
use crate::schedule::{EngineInfo, EngineView, RunAhead, choose_engine, start_order, straggler};
use catkinmast_model::{Name, SampleId, Segments, UnixMs, Version};

/// How long a sample waits after a failed run before it is started again.
const RUN_BACKOFF_MS: u64 = 200;
/// How long an engine gets no new sample after it failed a run.
const ENGINE_BACKOFF_MS: u64 = 1_000;
/// How many groups' prompts an engine's prefix cache is assumed to hold.
const RECENT_GROUPS: usize = 16;
/// Added to the interval between a run's progress reports for each run in flight.
const PROGRESS_MS_PER_RUN: u64 = 15;
/// The shortest and the longest interval between a run's progress reports.
const PROGRESS_MS: (u64, u64) = (1_000, 15_000);

impl Rollout {
    /// Starts queued samples on free engines; if none is queued, duplicates stragglers.
    pub(crate) fn dispatch(&mut self, now: UnixMs) {
        let Some(run_ahead) = self.run_ahead() else { return };
        let can_run = self.nodes.iter().any(|node| !node.leaving);
        let slot_free = self.engines.values().any(|engine| engine.in_flight < engine.info.slots);
        if !can_run || !slot_free {
            return;
        }
        let mut queue_is_empty = true;
        for id in start_order(&self.samples, &self.lengths, self.schedule, now) {
            let Some(ahead) = self.steps_ahead(id.step) else { continue };
            if ahead > run_ahead.steps() {
                break;
            }
            queue_is_empty = false;
            let trainer = self.ledger.trainer_version;
            let fits =
                |engine: &EngineView| run_ahead.allows(ahead, versions_behind(engine, trainer));
            let engine = choose_engine(&self.engines, id, now, self.schedule, fits);
            let Some(engine) = engine else { break };
            self.start(now, id, &engine, None);
        }
        if queue_is_empty {
            self.duplicate_stragglers(now, run_ahead);
        }
    }

    fn run_ahead(&self) -> Option<RunAhead> {
        self.registration().map(|registration| RunAhead {
            staleness_bound_versions: registration.staleness_bound_versions,
            idle_weight_percent: registration.idle_weight_percent,
        })
    }

    /// Returns how many open steps precede this one, or `None` if it is not open.
    pub(crate) fn steps_ahead(&self, step: u64) -> Option<u64> {
        self.ledger.open_steps().position(|(open, _)| open == step).map(|index| index as u64)
    }

    fn duplicate_stragglers(&mut self, now: UnixMs, run_ahead: RunAhead) {
        let duplicates = self.samples.values().filter(|sample| sample.runs.len() > 1).count();
        let percent = self.schedule.duplicates_max_percent as usize;
        let duplicates_max = (self.samples.len() * percent).div_ceil(100);
        for _ in duplicates..duplicates_max {
            let Some(id) = straggler(&self.samples, &self.lengths, now) else { return };
            let Some((attempt, current_engine)) = self.samples.get(&id).and_then(|sample| {
                sample.runs.first().map(|(attempt, run)| (*attempt, run.engine.clone()))
            }) else {
                return;
            };
            let trainer = self.ledger.trainer_version;
            let current_load =
                self.engines.get(&current_engine).map_or(0, |engine| engine.in_flight);
            // Only an engine with much less load, hence faster for each sample, makes it
            // worthwhile.
            let fits = |engine: &EngineView| {
                engine.info.name != current_engine
                    && engine.in_flight * 2 < current_load
                    && run_ahead.allows(0, versions_behind(engine, trainer))
            };
            let engine = choose_engine(&self.engines, id, now, self.schedule, fits);
            let Some(engine) = engine else { return };
            self.start(now, id, &engine, Some(attempt));
        }
    }

    /// Starts an attempt on an engine. `continues` is a running attempt from whose tokens it
    /// resumes.
    fn start(&mut self, now: UnixMs, id: SampleId, engine: &Name, continues: Option<Attempt>) {
        let Some(spec) = self.specs.get(&id.step) else { return };
        let Some(group) = spec.groups.get(id.group as usize) else { return };
        let (prompt, seed, max_tokens) =
            (group.prompt.clone(), spec.sample_seed(id.group, id.index), spec.max_tokens);
        let Some(view) = self.engines.get(engine) else { return };
        let info = view.info.clone();
        let Some((resume, segments, runner)) = self.choose_start(id, &info, continues) else {
            return;
        };
        let Some(sample) = self.samples.get_mut(&id) else { return };
        sample.attempts += 1;
        sample.partial = None;
        sample.state = SampleState::Running;
        let attempt = Attempt(self.last_fence, sample.attempts);
        let run = Run {
            engine: engine.clone(),
            resumed_tokens: segments.token_count(),
            runner: runner.clone(),
            segments,
            started_at: now,
            complete: false,
        };
        sample.runs.insert(attempt, run);
        *self.runner_loads.entry(runner.clone()).or_default() += 1;
        if let Some(view) = self.engines.get_mut(engine) {
            view.in_flight += 1;
            view.recent_groups.retain(|group| *group != (id.step, id.group));
            view.recent_groups.push((id.step, id.group));
            let surplus = view.recent_groups.len().saturating_sub(RECENT_GROUPS);
            view.recent_groups.drain(..surplus);
        }
        let engine = info;
        let progress_every_ms = self.progress_every_ms();
        let order = RunOrder {
            attempt,
            engine,
            max_tokens,
            progress_every_ms,
            prompt,
            resume,
            runner,
            sample: id,
            seed,
        };
        self.effects.push(Effect::Run(order));
    }

    /// Returns the interval between a run's progress reports. It grows with the number of runs,
    /// which keeps all runs together at about 70 reports per second until it reaches its maximum.
    ///
    /// The owner needs the versions of a run for the staleness bound, and changes of version are
    /// reported at once. The token count only reveals slow engines, for which a delay of seconds is
    /// acceptable.
    fn progress_every_ms(&self) -> u64 {
        let runs = self.runner_loads.values().map(|load| u64::from(*load)).sum::<u64>();
        (runs * PROGRESS_MS_PER_RUN).clamp(PROGRESS_MS.0, PROGRESS_MS.1)
    }

    /// Chooses the runner and the tokens to resume from: those of a running attempt, or those that
    /// a failed attempt left, if they fit the staleness bound and their runner is available.
    fn choose_start(
        &self,
        id: SampleId,
        engine: &EngineInfo,
        continues: Option<Attempt>,
    ) -> Option<(Option<Attempt>, Segments, Name)> {
        let sample = self.samples.get(&id)?;
        if let Some(attempt) = continues {
            let run = sample.runs.get(&attempt)?;
            return Some((Some(attempt), run.segments.clone(), run.runner.clone()));
        }
        let usable = sample.partial.as_ref().filter(|partial| {
            self.schedule.resume_partials
                && self.fits_bound(id, &partial.segments)
                && self.nodes.iter().any(|node| node.name == partial.runner && !node.leaving)
        });
        if let Some(partial) = usable {
            return Some((Some(partial.attempt), partial.segments.clone(), partial.runner.clone()));
        }
        let runner = self.choose_runner(engine)?;
        Some((None, Segments::default(), runner))
    }

    /// Chooses the node with the fewest runs, preferring the engine's data centre.
    fn choose_runner(&self, engine: &EngineInfo) -> Option<Name> {
        let load = |node: &NodeInfo| self.runner_loads.get(&node.name).copied().unwrap_or(0);
        let available = self.nodes.iter().filter(|node| !node.leaving);
        let best =
            available.min_by_key(|node| (node.data_centre != engine.data_centre, load(node)));
        best.map(|node| node.name.clone())
    }

    /// Returns whether tokens of these versions can still fit the staleness bound when they are
    /// claimed.
    pub(crate) fn fits_bound(&self, id: SampleId, segments: &Segments) -> bool {
        let Some(registration) = self.registration() else { return true };
        let ahead = self.steps_ahead(id.step).unwrap_or(0);
        let age = segments.age_versions(self.ledger.trainer_version);
        segments.token_count() == 0 || age + ahead <= registration.staleness_bound_versions
    }

    pub(crate) fn run_progress(&mut self, id: SampleId, attempt: Attempt, segments: Segments) {
        let newest = segments.as_slice().last().map(|segment| segment.version);
        let Some(sample) = self.samples.get_mut(&id) else { return };
        let Some(run) = sample.runs.get_mut(&attempt) else { return };
        run.segments = segments;
        if let (Some(view), Some(newest)) = (self.engines.get_mut(&run.engine), newest) {
            view.version = Some(view.version.map_or(newest, |known| known.max(newest)));
        }
    }

    pub(crate) fn run_complete(&mut self, now: UnixMs, id: SampleId, attempt: Attempt) {
        let Some(sample) = self.samples.get_mut(&id) else { return };
        let Some(run) = sample.runs.get_mut(&attempt) else { return };
        run.complete = true;
        let tokens = run.segments.token_count();
        let run = run.clone();
        let took_ms = now.since_ms(run.started_at);
        self.lengths.record(id, tokens, tokens.saturating_sub(run.resumed_tokens), took_ms);
        self.release_slot(&run);
    }

    /// Frees the run's slots at the engine and the runner. A run whose tokens are complete has
    /// already freed them.
    fn release_slot(&mut self, run: &Run) {
        if let Some(view) = self.engines.get_mut(&run.engine) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
        if let Some(load) = self.runner_loads.get_mut(&run.runner) {
            *load = load.saturating_sub(1);
        }
    }

    pub(crate) fn run_failed(
        &mut self,
        now: UnixMs,
        id: SampleId,
        attempt: Attempt,
        engine_at_fault: bool,
        partial_kept: bool,
    ) {
        let Some(sample) = self.samples.get_mut(&id) else { return };
        let Some(run) = sample.runs.shift_remove(&attempt) else { return };
        if !run.complete {
            self.release_slot(&run);
        }
        let Some(sample) = self.samples.get_mut(&id) else { return };
        let tokens = u64::from(run.segments.token_count());
        if partial_kept && sample.partial.is_none() && tokens > 0 {
            let (runner, segments) = (run.runner.clone(), run.segments.clone());
            sample.partial = Some(Partial { attempt, runner, segments });
        } else {
            self.tokens_wasted += tokens;
        }
        if sample.runs.is_empty() && sample.state == SampleState::Running {
            sample.state = SampleState::Queued;
            sample.not_before = now.plus(RUN_BACKOFF_MS);
        }
        if engine_at_fault && let Some(view) = self.engines.get_mut(&run.engine) {
            view.backoff_until = now.plus(ENGINE_BACKOFF_MS);
        }
    }

    /// Accepts the first attempt whose result is safe and cancels the others. The result of a
    /// cancelled attempt is dropped.
    pub(crate) fn run_safe(&mut self, id: SampleId, attempt: Attempt, finished: Finished) {
        let known = self.samples.get_mut(&id).filter(|sample| sample.runs.contains_key(&attempt));
        let Some(sample) = known else {
            return self.effects.push(Effect::Forget { samples: vec![(id, attempt)] });
        };
        let mut runs = std::mem::take(&mut sample.runs);
        let won = runs.shift_remove(&attempt);
        sample.partial = None;
        sample.finished = Some((attempt, finished));
        sample.state = SampleState::Safe;
        if let Some(run) = won.filter(|run| !run.complete) {
            self.release_slot(&run);
        }
        for (other, run) in runs {
            self.give_up_run(id, other, &run);
        }
        self.ensure_copies(id);
    }

    pub(crate) fn give_up_run(&mut self, id: SampleId, attempt: Attempt, run: &Run) {
        self.tokens_wasted += u64::from(run.segments.token_count());
        if !run.complete {
            self.release_slot(run);
        }
        self.effects.push(Effect::Cancel { attempt, sample: id });
    }

    pub(crate) fn cancel_runs(&mut self, id: SampleId) {
        let Some(sample) = self.samples.get_mut(&id) else { return };
        for (attempt, run) in std::mem::take(&mut sample.runs) {
            self.give_up_run(id, attempt, &run);
        }
    }

    pub(crate) fn cancel_all_runs(&mut self) {
        let ids: Vec<SampleId> = self.samples.keys().copied().collect();
        for id in ids {
            self.cancel_runs(id);
        }
    }
}

/// Returns how many versions an engine is behind; one that has not reported counts as at
/// version 0.
fn versions_behind(engine: &EngineView, trainer: Version) -> u64 {
    engine.version.map_or(trainer.0, |version| trainer.0.saturating_sub(version.0))
}
