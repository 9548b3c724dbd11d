//! The owner of a trainer's steps.
//!
//! [`Rollout::handle`] takes one event and returns effects. The module is cut by what it decides:
//! this file holds the state, commands and runs; `batches` binds, claims and voids through the
//! ledger; `recovery` takes the ledger over and rebuilds the samples after the owner was lost.

use crate::batches::Writer;
use crate::ledger::Ledger;
use crate::orders::{OrderBook, OrderSettings};
use crate::sample::{Attempt, Finished, Partial, Run, Sample, SampleState};
use crate::schedule::{
    EngineInfo, EngineView, Lengths, RunAhead, ScheduleSettings, choose_engine, start_order,
    straggler,
};
use crate::spec::{Command, Progress, Registration, Reply, StepSpec, invalid};
use catkinmast_model::{Fence, Name, Refusal, SampleId, Segments, UnixMs, Version};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How long a sample waits after a failed run.
const RUN_BACKOFF_MS: u64 = 200;
/// How long an engine that broke a stream gets no new sample.
const ENGINE_REST_MS: u64 = 1_000;
/// How many groups an engine's prompt cache is taken to hold.
const RECENT_GROUPS: usize = 16;
/// How much rarer each run's progress becomes for each other run.
const PROGRESS_MS_PER_RUN: u64 = 15;
/// The shortest and the longest time between two reports of a run's progress.
const PROGRESS_MS: (u64, u64) = (1_000, 15_000);
/// When a trainer whose command cannot be taken now should come back.
const RETRY_MS: u64 = 500;

/// A node that can run samples and hold their tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeInfo {
    /// Where it stands.
    pub data_centre: Name,
    /// Whether it leaves: it gets no new work, and what it holds is copied elsewhere.
    pub leaving: bool,
    /// Its name.
    pub name: Name,
}

/// What a node holds of a sample, told to a new owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldingReport {
    /// The attempt.
    pub attempt: Attempt,
    /// The holder.
    pub holder: Name,
    /// The sample.
    pub sample: SampleId,
    /// The score of a whole sample, in thousandths; none while it is partial.
    pub score_millis: Option<i64>,
    /// The versions of the tokens held.
    pub segments: Segments,
}

/// One attempt to run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunOrder {
    /// The attempt.
    pub attempt: Attempt,
    /// The engine.
    pub engine: EngineInfo,
    /// Most tokens.
    pub max_tokens: u32,
    /// How often the runner tells how far it is, beside each change of version.
    pub progress_every_ms: u64,
    /// The prompt.
    pub prompt: String,
    /// The attempt whose tokens, held by the runner, are gone on from.
    pub resume: Option<Attempt>,
    /// The node that runs it.
    pub runner: Name,
    /// The sample.
    pub sample: SampleId,
    /// The sampling seed.
    pub seed: u64,
}

/// What happens to the aggregate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A trainer's command.
    Command {
        /// The command.
        command: Command,
        /// Names the reply's receiver.
        reply_to: u64,
    },
    /// Nobody holds the tokens of a sample any more, as a reader found.
    ContentLost {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
    },
    /// One more node holds a sample's tokens.
    Copied {
        /// The attempt.
        attempt: Attempt,
        /// The new holder; none when the copy failed.
        holder: Option<Name>,
        /// The sample.
        sample: SampleId,
    },
    /// The live engines of the trainer's model.
    Engines(Vec<EngineInfo>),
    /// An engine's lagging report.
    EngineVersion {
        /// The engine.
        engine: Name,
        /// The version it serves.
        version: Version,
    },
    /// What the nodes hold, in answer to [`Effect::FindHoldings`].
    Holdings(Vec<HoldingReport>),
    /// The lease's state.
    Lease {
        /// The fencing number, none while the lease is not held for certain.
        fence: Option<Fence>,
    },
    /// The ledger was changed by someone else.
    LedgerConflict,
    /// The ledger and its version, none when it does not exist.
    LedgerRead(Option<(Box<Ledger>, u64)>),
    /// The ledger's service does not answer, or a reply was lost.
    LedgerUnknown,
    /// The ledger was written and is now at this version.
    LedgerWritten {
        /// The key's version.
        version: u64,
    },
    /// The nodes that are not gone, this one included.
    Nodes(Vec<NodeInfo>),
    /// Orders to engines may be sent under this number.
    OrderFence(Option<Fence>),
    /// A run ended without a whole sample.
    RunFailed {
        /// The attempt.
        attempt: Attempt,
        /// Whether the engine broke it.
        engine_at_fault: bool,
        /// Whether the runner keeps the tokens for another attempt.
        partial_kept: bool,
        /// The sample.
        sample: SampleId,
    },
    /// A run gained tokens.
    RunProgress {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
        /// The versions of all its tokens so far.
        segments: Segments,
    },
    /// A sample is whole, scored and held.
    RunSafe {
        /// The attempt.
        attempt: Attempt,
        /// What is known of it.
        finished: Finished,
        /// The sample.
        sample: SampleId,
    },
    /// All tokens of a run are there; score and copy are under way.
    RunWhole {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
    },
    /// A stored step was read back; none when it cannot be found.
    StepLoaded {
        /// The step's content.
        spec: Option<StepSpec>,
        /// Its number.
        step: u64,
    },
    /// A step's content was stored, or not.
    StepStored {
        /// The step.
        step: u64,
        /// Whether it is stored.
        stored: bool,
    },
    /// Time has passed.
    Tick,
}

/// What the aggregate wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Stop a run.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
    },
    /// Let a holder copy a sample to one more node; report [`Event::Copied`].
    CopyAgain {
        /// The attempt.
        attempt: Attempt,
        /// A node that holds it.
        holder: Name,
        /// The sample.
        sample: SampleId,
    },
    /// Ask all nodes what they hold of this trainer; report [`Event::Holdings`].
    FindHoldings,
    /// Let holders drop what is no longer needed.
    Forget {
        /// Samples and attempts.
        samples: Vec<(SampleId, Attempt)>,
    },
    /// Read a stored step; report [`Event::StepLoaded`].
    LoadStep {
        /// Digest of its content.
        digest: String,
        /// The step.
        step: u64,
    },
    /// Order an engine to load a version.
    Order {
        /// Where it listens.
        address: SocketAddr,
        /// The engine.
        engine: Name,
        /// The fencing number.
        fence: Fence,
        /// The version.
        version: Version,
    },
    /// Read the ledger; report [`Event::LedgerRead`] or [`Event::LedgerUnknown`].
    ReadLedger,
    /// Answer a command.
    Reply {
        /// The answer.
        reply: Reply,
        /// The receiver.
        reply_to: u64,
    },
    /// Start a run.
    Run(RunOrder),
    /// Store a step's content; report [`Event::StepStored`].
    StoreStep {
        /// Digest of its content.
        digest: String,
        /// The content.
        spec: StepSpec,
        /// The step.
        step: u64,
    },
    /// Write the ledger if it is at `expect`; report what came back.
    WriteLedger {
        /// The key's version, none when it must not exist.
        expect: Option<u64>,
        /// The new ledger.
        ledger: Box<Ledger>,
    },
}

/// How far the takeover of the ledger is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Commands are served.
    Active,
    /// Steps and holdings are being read back.
    Loading,
    /// The ledger is being read, or our number is being written into it.
    TakingOver,
}

/// What an event may set going.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stirs {
    /// A waiting sample may find an engine.
    Engines,
    /// Nothing.
    Nothing,
    /// A batch may be whole, or a sample may start.
    Samples,
}

/// The aggregate of one trainer's steps.
#[derive(Clone, Debug)]
pub struct Rollout {
    pub(crate) copying: IndexSet<SampleId>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) engines: IndexMap<Name, EngineView>,
    pub(crate) fence: Option<Fence>,
    pub(crate) last_fence: Fence,
    pub(crate) ledger: Ledger,
    pub(crate) lengths: Lengths,
    pub(crate) loading: IndexSet<u64>,
    pub(crate) holdings_awaited: bool,
    pub(crate) nodes: Vec<NodeInfo>,
    pub(crate) order_fence: Option<Fence>,
    pub(crate) orders: OrderBook,
    pub(crate) phase: Phase,
    pub(crate) recopy: Vec<SampleId>,
    pub(crate) roll_back_to: Option<Version>,
    pub(crate) runner_loads: IndexMap<Name, u32>,
    pub(crate) samples: IndexMap<SampleId, Sample>,
    pub(crate) schedule: ScheduleSettings,
    pub(crate) specs: IndexMap<u64, StepSpec>,
    pub(crate) submitted: IndexMap<u64, Submission>,
    pub(crate) tokens_wasted: u64,
    pub(crate) waiting: Vec<Waiter>,
    pub(crate) writer: Writer,
}

/// A step whose content is being stored.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub digest: String,
    pub reply_to: Vec<u64>,
    pub spec: StepSpec,
}

/// A fetch that waits for its batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub batch: u64,
    pub reply_to: u64,
    pub until: UnixMs,
}

impl Rollout {
    /// Opens the aggregate of a node that has just gained the lease under `fence`.
    ///
    /// `writer` names this node's life; it must differ between any two lives.
    pub fn open(
        writer: impl Into<String>,
        fence: Fence,
        schedule: ScheduleSettings,
        orders: OrderSettings,
    ) -> (Self, Vec<Effect>) {
        let mut rollout = Self {
            copying: IndexSet::new(),
            effects: Vec::new(),
            engines: IndexMap::new(),
            fence: Some(fence),
            last_fence: fence,
            ledger: Ledger::default(),
            lengths: Lengths::default(),
            loading: IndexSet::new(),
            holdings_awaited: false,
            nodes: Vec::new(),
            order_fence: None,
            orders: OrderBook::open(orders),
            phase: Phase::TakingOver,
            recopy: Vec::new(),
            roll_back_to: None,
            runner_loads: IndexMap::new(),
            samples: IndexMap::new(),
            schedule,
            specs: IndexMap::new(),
            submitted: IndexMap::new(),
            tokens_wasted: 0,
            waiting: Vec::new(),
            writer: Writer::open(writer.into()),
        };
        rollout.writer.busy = true;
        rollout.effects.push(Effect::ReadLedger);
        let effects = std::mem::take(&mut rollout.effects);
        (rollout, effects)
    }

    /// Sets what the operators' configuration says of the model: the version to roll back to, and
    /// the largest share of its engines that swaps at once, in percent.
    pub const fn set_model(&mut self, roll_back_to: Option<Version>, swap_at_once_percent: u32) {
        self.roll_back_to = roll_back_to;
        self.orders.set_at_once_percent(swap_at_once_percent);
    }

    /// Returns how far the takeover of the ledger is.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Borrows the ledger as last confirmed.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Walks through the samples that are not yet claimed and forgotten.
    pub fn samples(&self) -> impl Iterator<Item = &Sample> {
        self.samples.values()
    }

    /// Returns the engines that are in the middle of an order; their reports are worth asking for.
    pub fn engines_in_swap(&self) -> impl Iterator<Item = &EngineInfo> {
        let open = self.engines.values().filter(|engine| self.orders.is_open(&engine.info.name));
        open.map(|engine| &engine.info)
    }

    /// Handles one event.
    pub fn handle(&mut self, now: UnixMs, event: Event) -> Vec<Effect> {
        let stirs = self.stirs(&event);
        self.apply(now, event);
        if self.phase == Phase::Active && stirs != Stirs::Nothing {
            if stirs == Stirs::Samples {
                self.bind_ready(now);
            }
            self.dispatch(now);
        }
        self.flush(now);
        std::mem::take(&mut self.effects)
    }

    /// Tells what an event may set going, so that the many that change little cost little.
    fn stirs(&self, event: &Event) -> Stirs {
        match event {
            Event::RunProgress { .. } | Event::OrderFence(_) | Event::Copied { .. } => {
                Stirs::Nothing
            }
            Event::EngineVersion { engine, version } => {
                let known = self.engines.get(engine).and_then(|view| view.version);
                if known == Some(*version) { Stirs::Nothing } else { Stirs::Engines }
            }
            Event::Tick => Stirs::Engines,
            _ => Stirs::Samples,
        }
    }

    /// Gives everything up because another node owns the trainer now.
    pub fn abandon(&mut self) -> Vec<Effect> {
        self.cancel_all_runs();
        self.refuse_everything("the trainer's steps have moved to another node");
        std::mem::take(&mut self.effects)
    }

    fn apply(&mut self, now: UnixMs, event: Event) {
        match event {
            Event::Command { command, reply_to } => self.command(now, reply_to, command),
            Event::ContentLost { attempt, sample } => self.content_lost(sample, attempt),
            Event::Copied { attempt, holder, sample } => self.copied(sample, attempt, holder),
            Event::Engines(engines) => self.set_engines(engines),
            Event::EngineVersion { engine, version } => {
                if let Some(view) = self.engines.get_mut(&engine) {
                    view.version = Some(version);
                }
            }
            Event::Holdings(found) => self.holdings_found(now, found),
            Event::Lease { fence } => self.lease_changed(fence),
            Event::LedgerConflict | Event::LedgerUnknown => self.ledger_unsettled(now),
            Event::LedgerRead(read) => self.ledger_read(now, read),
            Event::LedgerWritten { version } => self.ledger_written(now, version),
            Event::Nodes(nodes) => self.set_nodes(nodes),
            Event::OrderFence(fence) => self.order_fence = fence,
            Event::RunFailed { attempt, engine_at_fault, partial_kept, sample } => {
                self.run_failed(now, sample, attempt, engine_at_fault, partial_kept);
            }
            Event::RunProgress { attempt, sample, segments } => {
                self.run_progress(sample, attempt, segments);
            }
            Event::RunSafe { attempt, finished, sample } => {
                self.run_safe(sample, attempt, finished);
            }
            Event::RunWhole { attempt, sample } => self.run_whole(now, sample, attempt),
            Event::StepLoaded { spec, step } => self.step_loaded(now, step, spec),
            Event::StepStored { step, stored } => self.step_stored(now, step, stored),
            Event::Tick => self.tick(now),
        }
    }

    pub(crate) fn reply(&mut self, reply_to: u64, reply: Reply) {
        self.effects.push(Effect::Reply { reply, reply_to });
    }

    pub(crate) fn registration(&self) -> Option<&Registration> {
        self.ledger.registration.as_ref()
    }

    fn command(&mut self, now: UnixMs, reply_to: u64, command: Command) {
        if self.phase != Phase::Active {
            let refusal = Refusal::not_run("the trainer's steps are being taken over");
            return self.reply(reply_to, Reply::Refused(refusal.retry_at(now.plus(RETRY_MS))));
        }
        match command {
            Command::Claim { at_version, batch } => self.claim(now, reply_to, batch, at_version),
            Command::Fetch { batch, until } => self.fetch(now, reply_to, batch, until),
            Command::Progress => {
                let progress = self.progress(now);
                self.reply(reply_to, Reply::Progress(progress));
            }
            Command::Publish { version } => self.publish(now, reply_to, version),
            Command::Register(registration) => self.register(now, reply_to, registration),
            Command::Submit { step, spec } => self.submit(now, reply_to, step, spec),
        }
    }

    /// Refuses a command that needs the ledger while the lease is not held for certain.
    pub(crate) fn refuse_unless_held(&mut self, now: UnixMs, reply_to: u64) -> bool {
        if self.fence.is_some() {
            return false;
        }
        let refusal = Refusal::not_run("the key-value service cannot be written now");
        self.reply(reply_to, Reply::Refused(refusal.retry_at(now.plus(RETRY_MS))));
        true
    }

    fn submit(&mut self, now: UnixMs, reply_to: u64, step: u64, spec: StepSpec) {
        let Some(registration) = self.registration() else {
            return self.reply(reply_to, invalid("trainer", "has not registered"));
        };
        if let Err(error) = spec.check(registration.group_size) {
            return self.reply(reply_to, Reply::Invalid(error));
        }
        let digest = digest_of(&spec);
        if let Some(record) = self.ledger.steps.get(&step) {
            let same = record.digest == digest;
            let reply = if same { Reply::Accepted { step } } else { other_content(step) };
            return self.reply(reply_to, reply);
        }
        if let Some(newest) = self.ledger.steps.keys().max().filter(|newest| **newest > step) {
            let message = format!("{step} is older than step {newest}, which is known");
            return self.reply(reply_to, invalid("step", message));
        }
        if self.refuse_unless_held(now, reply_to) {
            return;
        }
        match self.submitted.get_mut(&step) {
            Some(submission) if submission.digest == digest => submission.reply_to.push(reply_to),
            Some(_) => self.reply(reply_to, other_content(step)),
            None => {
                let submission = Submission {
                    digest: digest.clone(),
                    reply_to: vec![reply_to],
                    spec: spec.clone(),
                };
                self.submitted.insert(step, submission);
                self.effects.push(Effect::StoreStep { digest, spec, step });
            }
        }
    }

    pub(crate) fn add_samples(&mut self, step: u64, groups: u32, group_size: u32) {
        for group in 0..groups {
            for index in 0..group_size {
                let id = SampleId { step, group, index };
                self.samples.entry(id).or_insert_with(|| Sample::queued(id));
            }
        }
    }

    fn set_engines(&mut self, engines: Vec<EngineInfo>) {
        let named: IndexSet<&Name> = engines.iter().map(|engine| &engine.name).collect();
        self.engines.retain(|name, _| named.contains(name));
        for info in engines {
            if let Some(view) = self.engines.get_mut(&info.name) {
                view.info = info;
            } else {
                let view = EngineView {
                    in_flight: 0,
                    info: info.clone(),
                    recent_groups: Vec::new(),
                    resting_until: UnixMs(0),
                    version: None,
                };
                self.engines.insert(info.name, view);
            }
        }
    }

    fn tick(&mut self, now: UnixMs) {
        let late = self.waiting.extract_if(.., |waiter| waiter.until <= now);
        let late: Vec<Waiter> = late.collect();
        for waiter in late {
            self.reply(waiter.reply_to, Reply::NotYet { retry_at: now });
        }
        self.retry_ledger(now);
        self.order_weights(now);
        for id in std::mem::take(&mut self.recopy) {
            self.keep_copied(id);
        }
    }

    fn order_weights(&mut self, now: UnixMs) {
        let Some(fence) = self.order_fence else { return };
        if self.phase != Phase::Active {
            return;
        }
        let wanted = self.roll_back_to.unwrap_or(self.ledger.trainer_version);
        if wanted == Version::default() {
            // Nothing was published yet: engines keep the weights they began with.
            return;
        }
        let engines: Vec<(Name, Option<Version>)> = self
            .engines
            .values()
            .map(|engine| (engine.info.name.clone(), engine.version))
            .collect();
        for engine in self.orders.due(now, wanted, self.roll_back_to.is_some(), &engines) {
            if let Some(view) = self.engines.get(&engine) {
                let address = view.info.address;
                self.effects.push(Effect::Order { address, engine, fence, version: wanted });
            }
        }
    }

    /// Starts what can be started, then looks after the tail.
    fn dispatch(&mut self, now: UnixMs) {
        let Some(run_ahead) = self.run_ahead() else { return };
        let can_run = self.nodes.iter().any(|node| !node.leaving);
        let slot_free = self.engines.values().any(|engine| engine.in_flight < engine.info.slots);
        if !can_run || !slot_free {
            return;
        }
        let mut nothing_waits = true;
        for id in start_order(&self.samples, &self.lengths, self.schedule, now) {
            let Some(ahead) = self.steps_ahead(id.step) else { continue };
            if ahead > run_ahead.steps() {
                break;
            }
            nothing_waits = false;
            let trainer = self.ledger.trainer_version;
            let fits = |engine: &EngineView| run_ahead.allows(ahead, behind(engine, trainer));
            let engine = choose_engine(&self.engines, id, now, self.schedule, fits);
            let Some(engine) = engine else { break };
            self.start(now, id, &engine, None);
        }
        if nothing_waits {
            self.duplicate_stragglers(now, run_ahead);
        }
    }

    fn run_ahead(&self) -> Option<RunAhead> {
        self.registration().map(|registration| RunAhead {
            staleness_bound_versions: registration.staleness_bound_versions,
            idle_weight_percent: registration.idle_weight_percent,
        })
    }

    /// Returns how many open steps are before this one.
    pub(crate) fn steps_ahead(&self, step: u64) -> Option<u64> {
        self.ledger.open_steps().position(|(open, _)| open == step).map(|place| place as u64)
    }

    fn duplicate_stragglers(&mut self, now: UnixMs, run_ahead: RunAhead) {
        let duplicates = self.samples.values().filter(|sample| sample.runs.len() > 1).count();
        let percent = self.schedule.duplicates_max_percent as usize;
        let most = (self.samples.len() * percent).div_ceil(100);
        for _ in duplicates..most {
            let Some(id) = straggler(&self.samples, &self.lengths, now) else { return };
            let Some((attempt, on)) = self.samples.get(&id).and_then(|sample| {
                sample.runs.first().map(|(attempt, run)| (*attempt, run.engine.clone()))
            }) else {
                return;
            };
            let trainer = self.ledger.trainer_version;
            let busy = self.engines.get(&on).map_or(0, |engine| engine.in_flight);
            // Worth it only on an engine that is much emptier, hence faster for each sample.
            let fits = |engine: &EngineView| {
                engine.info.name != on
                    && engine.in_flight * 2 < busy
                    && run_ahead.allows(0, behind(engine, trainer))
            };
            let engine = choose_engine(&self.engines, id, now, self.schedule, fits);
            let Some(engine) = engine else { return };
            self.start(now, id, &engine, Some(attempt));
        }
    }

    /// Starts an attempt; `continues` is a running attempt whose tokens it goes on from.
    fn start(&mut self, now: UnixMs, id: SampleId, engine: &Name, continues: Option<Attempt>) {
        let Some(spec) = self.specs.get(&id.step) else { return };
        let Some(group) = spec.groups.get(id.group as usize) else { return };
        let (prompt, seed, max_tokens) =
            (group.prompt.clone(), spec.sample_seed(id.group, id.index), spec.max_tokens);
        let Some(view) = self.engines.get(engine) else { return };
        let info = view.info.clone();
        let Some((resume, segments, runner)) = self.place(id, &info, continues) else { return };
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
            whole: false,
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

    /// Keeps what all runs report together at some 70 messages a second, however many there are.
    ///
    /// The owner needs the versions of a run for the staleness bound, and those are told at once;
    /// the number of tokens only shows slow engines, for which seconds are soon enough.
    fn progress_every_ms(&self) -> u64 {
        let runs = self.runner_loads.values().map(|load| u64::from(*load)).sum::<u64>();
        (runs * PROGRESS_MS_PER_RUN).clamp(PROGRESS_MS.0, PROGRESS_MS.1)
    }

    /// Finds the runner, and the tokens to go on from: those of a running attempt, or those that
    /// a failed one left, if they are still young enough and their runner lives.
    fn place(
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

    /// Chooses the node with the fewest runs, the engine's data centre first.
    fn choose_runner(&self, engine: &EngineInfo) -> Option<Name> {
        let load = |node: &NodeInfo| self.runner_loads.get(&node.name).copied().unwrap_or(0);
        let taking = self.nodes.iter().filter(|node| !node.leaving);
        let best = taking.min_by_key(|node| (node.data_centre != engine.data_centre, load(node)));
        best.map(|node| node.name.clone())
    }

    /// Tells whether tokens of these versions can still be young enough when they are claimed.
    pub(crate) fn fits_bound(&self, id: SampleId, segments: &Segments) -> bool {
        let Some(registration) = self.registration() else { return true };
        let ahead = self.steps_ahead(id.step).unwrap_or(0);
        let age = segments.age_versions(self.ledger.trainer_version);
        segments.token_count() == 0 || age + ahead <= registration.staleness_bound_versions
    }

    fn run_progress(&mut self, id: SampleId, attempt: Attempt, segments: Segments) {
        let newest = segments.as_slice().last().map(|segment| segment.version);
        let Some(sample) = self.samples.get_mut(&id) else { return };
        let Some(run) = sample.runs.get_mut(&attempt) else { return };
        run.segments = segments;
        if let (Some(view), Some(newest)) = (self.engines.get_mut(&run.engine), newest) {
            view.version = Some(view.version.map_or(newest, |known| known.max(newest)));
        }
    }

    fn run_whole(&mut self, now: UnixMs, id: SampleId, attempt: Attempt) {
        let Some(sample) = self.samples.get_mut(&id) else { return };
        let Some(run) = sample.runs.get_mut(&attempt) else { return };
        run.whole = true;
        let tokens = run.segments.token_count();
        let run = run.clone();
        let took_ms = now.since_ms(run.started_at);
        self.lengths.saw(id, tokens, tokens.saturating_sub(run.resumed_tokens), took_ms);
        self.release_slot(&run);
    }

    /// Frees the engine's and the runner's place; a whole run has freed them before.
    fn release_slot(&mut self, run: &Run) {
        if let Some(view) = self.engines.get_mut(&run.engine) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
        if let Some(load) = self.runner_loads.get_mut(&run.runner) {
            *load = load.saturating_sub(1);
        }
    }

    fn run_failed(
        &mut self,
        now: UnixMs,
        id: SampleId,
        attempt: Attempt,
        engine_at_fault: bool,
        partial_kept: bool,
    ) {
        let Some(sample) = self.samples.get_mut(&id) else { return };
        let Some(run) = sample.runs.shift_remove(&attempt) else { return };
        if !run.whole {
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
            view.resting_until = now.plus(ENGINE_REST_MS);
        }
    }

    /// The first whole attempt wins; a result of an attempt that was given up on is dropped.
    fn run_safe(&mut self, id: SampleId, attempt: Attempt, finished: Finished) {
        let known = self.samples.get_mut(&id).filter(|sample| sample.runs.contains_key(&attempt));
        let Some(sample) = known else {
            return self.effects.push(Effect::Forget { samples: vec![(id, attempt)] });
        };
        let mut runs = std::mem::take(&mut sample.runs);
        let won = runs.shift_remove(&attempt);
        sample.partial = None;
        sample.finished = Some((attempt, finished));
        sample.state = SampleState::Safe;
        if let Some(run) = won.filter(|run| !run.whole) {
            self.release_slot(&run);
        }
        for (other, run) in runs {
            self.give_up_run(id, other, &run);
        }
        self.keep_copied(id);
    }

    pub(crate) fn give_up_run(&mut self, id: SampleId, attempt: Attempt, run: &Run) {
        self.tokens_wasted += u64::from(run.segments.token_count());
        if !run.whole {
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

    fn progress(&self, now: UnixMs) -> Progress {
        let count = |state| self.samples.values().filter(|s| s.state == state).count() as u64;
        let late = self.specs.iter().filter(|(step, spec)| {
            spec.deadline_unix_ms < now && self.steps_ahead(**step).is_some()
        });
        let bound = self.ledger.bound_batches() as u64;
        Progress {
            batches_bound: bound,
            batches_claimed: self.ledger.next_batch - 1 - bound,
            samples_running: count(SampleState::Running),
            samples_queued: count(SampleState::Queued),
            samples_safe: count(SampleState::Safe),
            steps_late: late.count() as u64,
            steps_open: self.ledger.open_steps().count() as u64,
            tokens_wasted: self.tokens_wasted,
            trainer_version: self.ledger.trainer_version,
        }
    }
}

/// How many versions an engine is behind; one that has not reported may serve anything.
fn behind(engine: &EngineView, trainer: Version) -> u64 {
    engine.version.map_or(trainer.0, |version| trainer.0.saturating_sub(version.0))
}

fn digest_of(spec: &StepSpec) -> String {
    let encoded = serde_json::to_vec(spec).unwrap_or_default();
    format!("{:032x}", xxhash_rust::xxh3::xxh3_128(&encoded))
}

fn other_content(step: u64) -> Reply {
    invalid("step", format!("{step} was submitted before with another content"))
}
