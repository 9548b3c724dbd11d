//! The state machine that owns a trainer's steps.
//!
//! [`Rollout::handle`] takes one event and returns effects. Its code is split by task: this module
//! holds the state and handles commands; `runs` starts samples and tracks them; `batches` binds,
//! claims and voids batches; `writer` changes the ledger; `recovery` takes the ledger over and
//! rebuilds the samples after the previous owner was lost.

use crate::event::{Effect, Event, NodeInfo};
use crate::ledger::Ledger;
use crate::orders::{OrderBook, OrderSettings};
use crate::sample::{Sample, SampleState};
use crate::schedule::{EngineInfo, EngineView, Lengths, ScheduleSettings};
use crate::spec::{Command, Progress, Registration, Reply, StepSpec, invalid};
use crate::writer::Writer;
use catkinmast_model::{Fence, Name, Refusal, SampleId, UnixMs, Version};
use indexmap::{IndexMap, IndexSet};

/// After what time a trainer should retry a command that cannot be accepted now.
const RETRY_MS: u64 = 500;

/// Progress of the takeover of the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The takeover is complete; commands are served.
    Active,
    /// Stored steps and the samples that nodes hold are being read back.
    Loading,
    /// The ledger is being read, or this owner's fencing number is being written into it.
    TakingOver,
}

/// The work that may become possible through an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FollowUp {
    /// A queued sample may start on an engine.
    Dispatch,
    /// No work.
    None,
    /// A batch may be ready to bind, or a queued sample may start.
    BindAndDispatch,
}

/// The state machine of one trainer's steps. It does no I/O and reads no clock.
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
    pub(crate) failed_copies: Vec<SampleId>,
    pub(crate) roll_back_to: Option<Version>,
    pub(crate) runner_loads: IndexMap<Name, u32>,
    pub(crate) samples: IndexMap<SampleId, Sample>,
    pub(crate) schedule: ScheduleSettings,
    pub(crate) specs: IndexMap<u64, StepSpec>,
    pub(crate) submitted: IndexMap<u64, PendingSubmission>,
    pub(crate) tokens_wasted: u64,
    pub(crate) waiting: Vec<WaitingFetch>,
    pub(crate) writer: Writer,
}

/// A step whose content is being stored.
#[derive(Clone, Debug)]
pub(crate) struct PendingSubmission {
    pub digest: String,
    pub reply_to: Vec<u64>,
    pub spec: StepSpec,
}

/// A fetch that waits until its batch is bound.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingFetch {
    pub batch: u64,
    pub reply_to: u64,
    pub until: UnixMs,
}

impl Rollout {
    /// Creates the owner on a node that has just gained the lease with the fencing number `fence`.
    ///
    /// `writer` identifies this node's incarnation and must differ between any two incarnations.
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
            failed_copies: Vec::new(),
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

    /// Sets the model's values from the operators' configuration: the version to roll back to, and
    /// the maximum percentage of its engines that swap weights at the same time.
    pub const fn set_model(&mut self, roll_back_to: Option<Version>, swap_at_once_percent: u32) {
        self.roll_back_to = roll_back_to;
        self.orders.set_at_once_percent(swap_at_once_percent);
    }

    /// Returns the progress of the takeover of the ledger.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the last confirmed ledger.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Iterates over all samples that have not been forgotten after their claim.
    pub fn samples(&self) -> impl Iterator<Item = &Sample> {
        self.samples.values()
    }

    /// Returns the engines with an open weight order, whose reports the caller should request.
    pub fn engines_in_swap(&self) -> impl Iterator<Item = &EngineInfo> {
        let open = self.engines.values().filter(|engine| self.orders.is_open(&engine.info.name));
        open.map(|engine| &engine.info)
    }

    /// Applies one event and returns the effects to carry out.
    pub fn handle(&mut self, now: UnixMs, event: Event) -> Vec<Effect> {
        let follow_up = self.follow_up(&event);
        self.apply(now, event);
        if self.phase == Phase::Active && follow_up != FollowUp::None {
            if follow_up == FollowUp::BindAndDispatch {
                self.bind_ready();
            }
            self.dispatch(now);
        }
        self.flush();
        std::mem::take(&mut self.effects)
    }

    /// Returns the work that an event may make possible, so that frequent minor events stay cheap.
    fn follow_up(&self, event: &Event) -> FollowUp {
        match event {
            Event::RunProgress { .. } | Event::OrderFence(_) | Event::Copied { .. } => {
                FollowUp::None
            }
            Event::EngineVersion { engine, version } => {
                let known = self.engines.get(engine).and_then(|view| view.version);
                if known == Some(*version) { FollowUp::None } else { FollowUp::Dispatch }
            }
            Event::Tick => FollowUp::Dispatch,
            _ => FollowUp::BindAndDispatch,
        }
    }

    /// Cancels all runs and refuses all pending commands, because another node owns the trainer
    /// now.
    pub fn abandon(&mut self) -> Vec<Effect> {
        self.cancel_all_runs();
        self.refuse_pending("the trainer's steps have moved to another node");
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
            Event::Holdings(found) => self.holdings_found(found),
            Event::Lease { fence } => self.lease_changed(fence),
            Event::LedgerConflict | Event::LedgerUnknown => self.ledger_outcome_unknown(now),
            Event::LedgerRead(read) => self.ledger_read(read),
            Event::LedgerWritten { version } => self.ledger_written(version),
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
            Event::RunComplete { attempt, sample } => self.run_complete(now, sample, attempt),
            Event::StepLoaded { spec, step } => self.step_loaded(step, spec),
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

    /// Refuses a command that writes the ledger while the lease is not certain to be held. Returns
    /// whether it was refused.
    pub(crate) fn refuse_without_lease(&mut self, now: UnixMs, reply_to: u64) -> bool {
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
        if self.refuse_without_lease(now, reply_to) {
            return;
        }
        match self.submitted.get_mut(&step) {
            Some(submission) if submission.digest == digest => submission.reply_to.push(reply_to),
            Some(_) => self.reply(reply_to, other_content(step)),
            None => {
                let submission = PendingSubmission {
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
                    backoff_until: UnixMs(0),
                    version: None,
                };
                self.engines.insert(info.name, view);
            }
        }
    }

    fn tick(&mut self, now: UnixMs) {
        let late = self.waiting.extract_if(.., |waiter| waiter.until <= now);
        let late: Vec<WaitingFetch> = late.collect();
        for waiter in late {
            self.reply(waiter.reply_to, Reply::NotYet { retry_at: now });
        }
        self.retry_ledger(now);
        self.order_weights(now);
        for id in std::mem::take(&mut self.failed_copies) {
            self.ensure_copies(id);
        }
    }

    fn order_weights(&mut self, now: UnixMs) {
        let Some(fence) = self.order_fence else { return };
        if self.phase != Phase::Active {
            return;
        }
        let wanted = self.roll_back_to.unwrap_or(self.ledger.trainer_version);
        if wanted == Version::default() {
            // Nothing has been published yet: engines keep their initial weights.
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

fn digest_of(spec: &StepSpec) -> String {
    let encoded = serde_json::to_vec(spec).unwrap_or_default();
    format!("{:032x}", xxhash_rust::xxh3::xxh3_128(&encoded))
}

fn other_content(step: u64) -> Reply {
    invalid("step", format!("{step} was submitted before with another content"))
}
