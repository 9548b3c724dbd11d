//! Discrete-event simulation in virtual time of engines, a trainer and the ledger around the
//! production [`Rollout`].
//!
//! It models only what the scheduling decisions depend on: engines whose speed per sequence falls
//! as their batch fills, heavy-tailed sample lengths that are similar within a group, weight swaps,
//! a trainer that trains and publishes, a ledger with compare-and-swap, and faults. Nodes are only
//! names that can fail together with the samples that they store; their network, processors and
//! memory are not modelled. The same seed gives the same output on any machine.
//!
//! Each ledger write, fetch and claim is checked as it happens, and violated guarantees are
//! collected in [`Outcome::violations`]. The randomised tests and the benchmark use the same
//! checks.

use crate::engines::{EngineModel, EngineSim, RunUpdate};
use crate::trainer::{TrainerAction, TrainerSim};
use catkinmast_model::{Fence, Name, SampleId, Segments, UnixMs};
use catkinmast_rollout::{
    Attempt, Command, Effect, EngineInfo, Event, Finished, HoldingReport, Ledger, NodeInfo,
    OrderSettings, Registration, Rollout, RunOrder, ScheduleSettings, StepSpec,
};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Interval between ticks of engines and owners.
pub const TICK_MS: u64 = 250;
/// Latency of a call to the key-value service.
const STORE_LATENCY_MS: u64 = 5;
/// Time after which a caller gives up on a lost reply.
const LOST_REPLY_TIMEOUT_MS: u64 = 1_500;
/// Time from the failure of the owner's node until another node takes over.
const TAKEOVER_DELAY_MS: u64 = 7_000;
/// Address of all simulated engines; nothing is ever sent to it.
const UNUSED_ADDRESS: std::net::SocketAddr =
    std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// What a new owner recovers after the loss of the previous one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recovery {
    /// Nothing: every sample of the open step is generated again.
    Nothing,
    /// Finished samples that are stored on a node that is up.
    Finished,
    /// Finished samples, and the tokens of samples that were still running.
    Partials,
}

/// Configuration of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Model of the engines.
    pub engine: EngineModel,
    /// Number of engines.
    pub engines: usize,
    /// Number of groups in a step.
    pub groups: u32,
    /// Number of entry nodes.
    pub nodes: usize,
    /// Pacing of the orders to load weights.
    pub orders: OrderSettings,
    /// What a new owner recovers after the loss of the previous one.
    pub recovery: Recovery,
    /// What the trainer registers.
    pub registration: Registration,
    /// Scheduling policy.
    pub schedule: ScheduleSettings,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of steps to train.
    pub steps: u64,
    /// Number of steps that the trainer submits ahead of the one it trains on.
    pub submitted_ahead: u64,
    /// Training time for one batch.
    pub train_batch_ms: u64,
}

/// A fault that is injected at a given time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The engine with this index crashes; all its runs fail.
    EngineCrash(usize),
    /// The replies to this many following ledger writes are lost; the writes take effect.
    LoseReplies(u32),
    /// The owner's node crashes; the samples that it stored are lost.
    OwnerCrash,
    /// The owner is paused; another node takes over, and then the old owner resumes.
    OwnerPause,
    /// The key-value service is unavailable.
    StoreOutage {
        /// Duration of the outage.
        duration_ms: u64,
    },
    /// The next weight swap of the engine with this index fails.
    SwapFails(usize),
}

#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    Deliver { event: Event, owner: usize },
    Fault(Fault),
    Resend,
    Send { command: Command, owner: usize, reply_to: u64 },
    TakeOver,
    Tick,
    BatchTrained,
    ResumeOwner { owner: usize },
}

/// A scheduled event; events at the same time are processed in the order they were scheduled.
#[derive(Clone, Debug)]
pub(crate) struct QueuedEvent {
    at: UnixMs,
    event: SimEvent,
    sequence: u64,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

#[derive(Debug)]
pub(crate) struct Owner {
    paused: bool,
    rollout: Rollout,
}

#[derive(Clone, Debug)]
pub(crate) struct Holding {
    score_millis: Option<i64>,
    segments: Segments,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Staleness of each claimed sample, in weight versions, in ascending order.
    pub ages: Vec<u64>,
    /// Virtual time at which the simulation ended.
    pub ended_at: UnixMs,
    /// Number of ledger writes.
    pub ledger_writes: u64,
    /// Size of the largest ledger written, in bytes of JSON.
    pub ledger_max_bytes: usize,
    /// Time from the end of one step's training to the end of the next one's.
    pub step_times_ms: Vec<u64>,
    /// Tokens that the engines generated.
    pub tokens_generated: u64,
    /// Tokens of the samples in fetched batches.
    pub tokens_used: u64,
    /// Total time that the trainer waited for batches.
    pub trainer_idle_ms: u64,
    /// Descriptions of the guarantees that were violated.
    pub violations: Vec<String>,
}

impl Outcome {
    /// Returns the share of time that the trainer waited for batches, in percent.
    pub fn idle_percent(&self) -> f64 {
        100.0 * self.trainer_idle_ms as f64 / self.ended_at.0.max(1) as f64
    }

    /// Returns the mean staleness in weight versions.
    pub fn mean_age(&self) -> f64 {
        self.ages.iter().sum::<u64>() as f64 / self.ages.len().max(1) as f64
    }

    /// Returns the 99th percentile of staleness in weight versions.
    pub fn p99_age(&self) -> u64 {
        self.ages.get(self.ages.len() * 99 / 100).copied().unwrap_or(0)
    }

    /// Returns the mean time of a step, in milliseconds.
    pub fn mean_step_ms(&self) -> u64 {
        self.step_times_ms.iter().sum::<u64>() / self.step_times_ms.len().max(1) as u64
    }
}

/// A discrete-event simulation of a trainer's steps.
#[derive(Debug)]
pub struct Simulation {
    /// Claimed samples, each with the number of its batch.
    pub(crate) claimed: IndexMap<SampleId, u64>,
    pub(crate) current_owner: usize,
    pub(crate) engines: Vec<EngineSim>,
    pub(crate) fence: Fence,
    /// Finished and partial samples stored on nodes, by node, sample and attempt.
    pub(crate) holdings: IndexMap<(usize, SampleId, Attempt), Holding>,
    /// The stored ledger and its version for compare-and-swap.
    pub(crate) ledger: Option<(Ledger, u64)>,
    pub(crate) replies_to_lose: u32,
    pub(crate) nodes_up: Vec<bool>,
    pub(crate) now: UnixMs,
    pub(crate) sequence: u64,
    pub(crate) outage_until: UnixMs,
    pub(crate) outcome: Outcome,
    pub(crate) owners: IndexMap<usize, Owner>,
    pub(crate) queue: BinaryHeap<Reverse<QueuedEvent>>,
    pub(crate) reply_to: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) settings: SimulationSettings,
    /// Stored steps, by number and digest.
    pub(crate) stored_specs: IndexMap<(u64, String), StepSpec>,
    pub(crate) trainer: TrainerSim,
}

fn node_name(node: usize) -> Name {
    match format!("node-{node}").parse() {
        Ok(name) => name,
        Err(error) => unreachable!("generated name 'node-{node}' is invalid: {error}"),
    }
}

fn node_of(name: &Name) -> usize {
    name.as_str().trim_start_matches("node-").parse().unwrap_or(0)
}

impl Simulation {
    /// Creates a simulation in which each of `faults` is injected at its time.
    pub fn open(settings: SimulationSettings, faults: &[(UnixMs, Fault)]) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let engines = (0..settings.engines)
            .map(|number| EngineSim::open(number, settings.engine, rng.random()))
            .collect();
        let mut simulation = Self {
            claimed: IndexMap::new(),
            current_owner: 0,
            engines,
            fence: Fence(1),
            holdings: IndexMap::new(),
            ledger: None,
            replies_to_lose: 0,
            nodes_up: vec![true; settings.nodes],
            now: UnixMs(0),
            sequence: 0,
            outage_until: UnixMs(0),
            outcome: Outcome::default(),
            owners: IndexMap::new(),
            queue: BinaryHeap::new(),
            reply_to: 0,
            rng,
            trainer: TrainerSim {
                pending: None,
                batch: 1,
                claimed_of_step: 0,
                idle_ms: 0,
                next: TrainerAction::Register,
                resend_at: UnixMs(0),
                fetched: IndexMap::new(),
                step: 1,
                submitted: 0,
                version: 0,
                waiting_since: None,
            },
            settings,
            stored_specs: IndexMap::new(),
        };
        for (at, fault) in faults {
            simulation.schedule_at(*at, SimEvent::Fault(*fault));
        }
        simulation.start_owner(0);
        simulation.schedule_at(UnixMs(TICK_MS), SimEvent::Tick);
        simulation.trainer_send_next();
        simulation
    }

    /// Runs until the trainer has trained all steps; if it has not by `ends_at`, records a
    /// violation.
    pub fn run(mut self, ends_at: UnixMs) -> Outcome {
        while self.trainer.next != TrainerAction::Done {
            let Some(Reverse(queued)) = self.queue.pop() else { break };
            self.now = queued.at;
            if self.now > ends_at {
                let message = format!(
                    "trainer not done at {ends_at} ms, next action: {:?}",
                    self.trainer.next
                );
                self.outcome.violations.push(message);
                break;
            }
            self.process(queued.event);
        }
        self.check_end();
        self.outcome.ended_at = self.now;
        self.outcome.trainer_idle_ms = self.trainer.idle_ms;
        self.outcome.ages.sort_unstable();
        self.outcome.tokens_generated = self.engines.iter().map(EngineSim::generated).sum();
        self.outcome
    }

    fn schedule_at(&mut self, at: UnixMs, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(QueuedEvent { at, event, sequence: self.sequence }));
    }

    pub(crate) fn schedule_after(&mut self, wait_ms: u64, event: SimEvent) {
        self.schedule_at(self.now.plus(wait_ms), event);
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Deliver { event, owner } => self.deliver(owner, event),
            SimEvent::Fault(fault) => self.inject_fault(fault),
            SimEvent::Resend => self.trainer_resend_if_due(),
            SimEvent::Send { command, owner, reply_to } => {
                self.deliver(owner, Event::Command { command, reply_to });
            }
            SimEvent::TakeOver => self.take_over(),
            SimEvent::Tick => self.tick(),
            SimEvent::BatchTrained => self.on_batch_trained(),
            SimEvent::ResumeOwner { owner } => {
                if let Some(owner) = self.owners.get_mut(&owner) {
                    owner.paused = false;
                }
            }
        }
    }

    fn start_owner(&mut self, node: usize) {
        let writer = format!("node-{node}:{}", self.fence);
        let (rollout, effects) =
            Rollout::open(writer, self.fence, self.settings.schedule, self.settings.orders);
        self.owners.insert(node, Owner { paused: false, rollout });
        self.current_owner = node;
        self.apply_effects(node, effects);
        let engines = self.engine_infos();
        let nodes = self.node_infos();
        self.deliver(node, Event::Engines(engines));
        self.deliver(node, Event::Nodes(nodes));
    }

    fn engine_infos(&self) -> Vec<EngineInfo> {
        let alive = self.engines.iter().filter(|engine| engine.is_alive());
        alive.map(|engine| engine.info(UNUSED_ADDRESS)).collect()
    }

    fn node_infos(&self) -> Vec<NodeInfo> {
        let up = self.nodes_up.iter().enumerate().filter(|(_, up)| **up);
        up.map(|(node, _)| NodeInfo {
            data_centre: node_name(node % 3),
            leaving: false,
            name: node_name(node),
        })
        .collect()
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let Some(owner) = self.owners.get_mut(&node) else { return };
        if owner.paused {
            // The message stays in the paused process's socket buffer until the process resumes.
            return self.schedule_after(TICK_MS, SimEvent::Deliver { event, owner: node });
        }
        let effects = owner.rollout.handle(self.now, event);
        self.apply_effects(node, effects);
    }

    fn deliver_later(&mut self, wait_ms: u64, node: usize, event: Event) {
        self.schedule_after(wait_ms, SimEvent::Deliver { event, owner: node });
    }

    fn apply_effects(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Cancel { attempt, sample } => {
                self.engines.iter_mut().for_each(|engine| engine.cancel(sample, attempt));
            }
            Effect::CopyAgain { attempt, holder, sample } => {
                let holder = self.copy(node_of(&holder), sample, attempt);
                self.deliver_later(50, node, Event::Copied { attempt, holder, sample });
            }
            Effect::FindHoldings => {
                let found = self.find_holdings();
                self.deliver_later(100, node, Event::Holdings(found));
            }
            Effect::Forget { samples } => {
                let forgotten: IndexSet<_> = samples.into_iter().collect();
                self.holdings.retain(|(_, id, attempt), _| !forgotten.contains(&(*id, *attempt)));
            }
            Effect::LoadStep { digest, step } => {
                let unavailable = self.now < self.outage_until;
                let spec = self.stored_specs.get(&(step, digest)).filter(|_| !unavailable).cloned();
                let wait_ms = if unavailable { 500 } else { STORE_LATENCY_MS };
                self.deliver_later(wait_ms, node, Event::StepLoaded { spec, step });
            }
            Effect::Order { engine, version, .. } => {
                if let Some(engine) = self.engines.iter_mut().find(|e| e.name() == &engine) {
                    engine.order(self.now, version);
                }
            }
            Effect::ReadLedger => {
                let unavailable = self.now < self.outage_until;
                let read = self.ledger.clone().map(|(ledger, version)| (Box::new(ledger), version));
                let event =
                    if unavailable { Event::LedgerUnknown } else { Event::LedgerRead(read) };
                self.deliver_later(STORE_LATENCY_MS, node, event);
            }
            Effect::Reply { reply, reply_to } => self.trainer_receive_reply(reply_to, reply),
            Effect::Run(order) => self.start_run(node, &order),
            Effect::StoreStep { digest, spec, step } => {
                let stored = self.now >= self.outage_until;
                if stored {
                    self.stored_specs.insert((step, digest), spec);
                }
                self.deliver_later(STORE_LATENCY_MS, node, Event::StepStored { step, stored });
            }
            Effect::WriteLedger { expect, ledger } => self.write_ledger(node, expect, *ledger),
        }
    }

    fn write_ledger(&mut self, node: usize, expect: Option<u64>, ledger: Ledger) {
        if self.now < self.outage_until {
            return self.deliver_later(STORE_LATENCY_MS, node, Event::LedgerUnknown);
        }
        let version = self.ledger.as_ref().map(|(_, version)| *version);
        if version != expect {
            return self.deliver_later(STORE_LATENCY_MS, node, Event::LedgerConflict);
        }
        self.check_ledger(&ledger);
        let next = version.unwrap_or(0) + 1;
        let size_bytes = serde_json::to_vec(&ledger).map_or(0, |bytes| bytes.len());
        self.outcome.ledger_max_bytes = self.outcome.ledger_max_bytes.max(size_bytes);
        self.outcome.ledger_writes += 1;
        self.ledger = Some((ledger, next));
        if self.replies_to_lose > 0 {
            self.replies_to_lose -= 1;
            return self.deliver_later(LOST_REPLY_TIMEOUT_MS, node, Event::LedgerUnknown);
        }
        self.deliver_later(STORE_LATENCY_MS, node, Event::LedgerWritten { version: next });
    }

    /// Checks that a batch's samples never change once written, that a settled batch stays settled,
    /// that no sample is in two batches that are not void, and that the fencing number never falls.
    fn check_ledger(&mut self, new: &Ledger) {
        let mut placed = IndexSet::new();
        let usable = new
            .batches
            .iter()
            .filter(|(_, record)| record.state != catkinmast_rollout::BatchState::Void);
        for (number, record) in usable {
            for (id, _) in record.ids() {
                if !placed.insert(id) {
                    let message = format!("sample {id} of batch {number} is in another batch");
                    self.outcome.violations.push(message);
                }
            }
        }
        let Some((old, _)) = &self.ledger else { return };
        if new.fence < old.fence {
            self.outcome.violations.push(format!(
                "ledger written with fencing number {} after {}",
                new.fence, old.fence
            ));
        }
        for (number, after) in &new.batches {
            let Some(before) = old.batches.get(number) else { continue };
            let changed = !after.samples.is_empty() && after.samples != before.samples;
            let unsettled = before.state != catkinmast_rollout::BatchState::Bound
                && after.state != before.state;
            if changed || unsettled {
                self.outcome.violations.push(format!("batch {number} changed after it was bound"));
            }
        }
    }

    fn start_run(&mut self, owner: usize, order: &RunOrder) {
        let runner = node_of(&order.runner);
        let held = order.resume.and_then(|resume| {
            let key = (runner, order.sample, resume);
            self.running_segments(order.sample, resume)
                .or_else(|| self.holdings.get(&key).map(|held| held.segments.clone()))
        });
        let engine = self.engines.iter_mut().find(|engine| *engine.name() == order.engine.name);
        let Some(engine) = engine.filter(|engine| engine.is_alive()) else {
            let (attempt, sample) = (order.attempt, order.sample);
            let event =
                Event::RunFailed { attempt, engine_at_fault: true, partial_kept: false, sample };
            return self.deliver_later(STORE_LATENCY_MS, owner, event);
        };
        engine.start(order, owner, runner, held.unwrap_or_default());
    }

    fn running_segments(&self, sample: SampleId, attempt: Attempt) -> Option<Segments> {
        self.engines.iter().find_map(|engine| engine.segments(sample, attempt))
    }

    fn copy(&mut self, from: usize, sample: SampleId, attempt: Attempt) -> Option<Name> {
        let held = self.holdings.get(&(from, sample, attempt))?.clone();
        let candidates: Vec<usize> =
            (0..self.nodes_up.len()).filter(|node| self.nodes_up[*node] && *node != from).collect();
        if candidates.is_empty() {
            return None;
        }
        let copy_holder = candidates[self.rng.random_range(0..candidates.len())];
        self.holdings.insert((copy_holder, sample, attempt), held);
        Some(node_name(copy_holder))
    }

    fn find_holdings(&self) -> Vec<HoldingReport> {
        let survives = |held: &Holding| match self.settings.recovery {
            Recovery::Nothing => false,
            Recovery::Finished => held.score_millis.is_some(),
            Recovery::Partials => true,
        };
        let up = self.holdings.iter().filter(|((node, _, _), _)| self.nodes_up[*node]);
        up.filter(|(_, held)| survives(held))
            .map(|((node, sample, attempt), held)| HoldingReport {
                attempt: *attempt,
                holder: node_name(*node),
                sample: *sample,
                score_millis: held.score_millis,
                segments: held.segments.clone(),
            })
            .collect()
    }

    fn tick(&mut self) {
        let mut updates = Vec::new();
        for engine in &mut self.engines {
            engine.tick(self.now, TICK_MS, &mut updates);
        }
        for update in updates {
            self.apply_run_update(update);
        }
        let owners: Vec<usize> = self.owners.keys().copied().collect();
        for owner in owners {
            let paused = self.owners.get(&owner).is_some_and(|owner| owner.paused);
            if !paused {
                let fence = (owner == self.current_owner).then_some(self.fence);
                self.deliver(owner, Event::OrderFence(fence));
                for number in 0..self.engines.len() {
                    let engine = self.engines[number].name().clone();
                    let version = self.engines[number].version();
                    self.deliver(owner, Event::EngineVersion { engine, version });
                }
                self.deliver(owner, Event::Tick);
            }
        }
        self.schedule_after(TICK_MS, SimEvent::Tick);
    }

    fn apply_run_update(&mut self, update: RunUpdate) {
        let RunUpdate { attempt, owner, runner, sample, segments, kind } = update;
        if !self.nodes_up[runner] {
            return;
        }
        let progress = Event::RunProgress { attempt, sample, segments: segments.clone() };
        self.deliver(owner, progress);
        let mut hold = |score_millis| {
            let held = Holding { score_millis, segments: segments.clone() };
            self.holdings.insert((runner, sample, attempt), held);
        };
        match kind {
            crate::engines::RunUpdateKind::Progress => hold(None),
            crate::engines::RunUpdateKind::Failed { kept } => {
                hold(None);
                let event =
                    Event::RunFailed { attempt, engine_at_fault: true, partial_kept: kept, sample };
                self.deliver_later(STORE_LATENCY_MS, owner, event);
            }
            crate::engines::RunUpdateKind::Complete => {
                hold(Some(1_000));
                let mut holders = vec![node_name(runner)];
                holders.extend(self.copy(runner, sample, attempt));
                let finished = Finished { holders, score_millis: 1_000, segments };
                self.deliver(owner, Event::RunComplete { attempt, sample });
                self.deliver_later(200, owner, Event::RunSafe { attempt, finished, sample });
            }
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::EngineCrash(number) => {
                let mut failed = Vec::new();
                if let Some(engine) = self.engines.get_mut(number) {
                    engine.crash(&mut failed);
                }
                for update in failed {
                    self.apply_run_update(update);
                }
                let engines = self.engine_infos();
                self.deliver_later(1_000, self.current_owner, Event::Engines(engines));
            }
            Fault::LoseReplies(count) => self.replies_to_lose += count,
            Fault::OwnerCrash => {
                let failed = self.current_owner;
                self.nodes_up[failed] = false;
                self.owners.swap_remove(&failed);
                for engine in &mut self.engines {
                    engine.drop_runs_of_runner(failed);
                }
                if self.nodes_up.iter().any(|up| *up) {
                    self.schedule_after(TAKEOVER_DELAY_MS, SimEvent::TakeOver);
                }
            }
            Fault::OwnerPause => {
                let paused = self.current_owner;
                if let Some(owner) = self.owners.get_mut(&paused) {
                    owner.paused = true;
                }
                self.schedule_after(TAKEOVER_DELAY_MS, SimEvent::TakeOver);
                self.schedule_after(
                    TAKEOVER_DELAY_MS + 3_000,
                    SimEvent::ResumeOwner { owner: paused },
                );
            }
            Fault::StoreOutage { duration_ms } => self.outage_until = self.now.plus(duration_ms),
            Fault::SwapFails(number) => {
                if let Some(engine) = self.engines.get_mut(number) {
                    engine.fail_next_swap();
                }
            }
        }
    }

    fn take_over(&mut self) {
        let next = (0..self.nodes_up.len())
            .find(|node| self.nodes_up[*node] && !self.owners.contains_key(node));
        let Some(next) = next else { return };
        // A runner stops a run whose owner was replaced and keeps its tokens.
        for engine in &mut self.engines {
            engine.drop_runs_of_owner(self.current_owner);
        }
        self.fence = Fence(self.fence.0 + 1);
        self.start_owner(next);
    }

    fn check_end(&mut self) {
        let ends = std::mem::take(&mut self.outcome.step_times_ms);
        let starts = [0].into_iter().chain(ends.iter().copied());
        self.outcome.step_times_ms = starts.zip(&ends).map(|(start, end)| end - start).collect();
        let step_samples = u64::from(self.settings.groups * self.settings.registration.group_size);
        let expected = step_samples * self.settings.steps;
        if self.outcome.violations.is_empty() && self.claimed.len() as u64 != expected {
            let message = format!("{} of {expected} samples were claimed", self.claimed.len());
            self.outcome.violations.push(message);
        }
    }
}
