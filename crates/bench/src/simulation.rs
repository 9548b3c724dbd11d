//! A small world in virtual time around the real aggregate of a trainer's steps.
//!
//! It models just what the decisions depend on: engines whose speed falls as their batch fills,
//! heavy-tailed lengths that are alike within a group, weight swaps, a trainer that trains and
//! publishes, a ledger with compare-and-swap, and the faults. It is no cluster simulator: nodes
//! are names that can die with what they hold. The same seed gives the same bytes on any machine.
//!
//! Every claim is checked as it is confirmed ([`Simulation::violations`]); the randomised tests and the
//! benchmark use the same checks.

use crate::engines::{EngineModel, EngineSim, Finish};
use crate::trainer::{Next, TrainerSim};
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

/// Time between two ticks of engines and owners.
pub const TICK_MS: u64 = 250;
/// How long a call of the key-value service takes.
const STORE_MS: u64 = 5;
/// How long a lost reply keeps its caller waiting.
const LOST_REPLY_MS: u64 = 1_500;
/// How long after a node's death another takes its duties over.
const TAKEOVER_MS: u64 = 7_000;
/// Where a world's addresses point; nothing is ever sent there.
const NOWHERE: std::net::SocketAddr =
    std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// What survives the loss of the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recovery {
    /// Nothing: every sample of the open step starts over.
    Nothing,
    /// Finished samples with a holder that lives.
    Finished,
    /// Finished samples, and the tokens of running ones.
    Partials,
}

/// Everything a world is made of.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// How engines behave.
    pub engine: EngineModel,
    /// How many engines there are.
    pub engines: usize,
    /// Groups in a step.
    pub groups: u32,
    /// How many entry nodes there are.
    pub nodes: usize,
    /// How orders are paced.
    pub orders: OrderSettings,
    /// What survives the loss of the owner.
    pub recovery: Recovery,
    /// What the trainer registers.
    pub registration: Registration,
    /// Which parts of the policy are in force.
    pub schedule: ScheduleSettings,
    /// Seed of all choices.
    pub seed: u64,
    /// Steps to train.
    pub steps: u64,
    /// How many steps the trainer submits ahead of the one it trains on.
    pub submitted_ahead: u64,
    /// How long the trainer trains on one batch.
    pub train_batch_ms: u64,
}

/// Something that goes wrong at a point in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An engine dies, with the streams it was sending.
    EngineCrash(usize),
    /// The next replies to writes of the ledger are lost.
    LoseReplies(u32),
    /// The owner dies, with what it held.
    OwnerCrash,
    /// The owner is paused; another takes over, and the old one wakes up after it.
    OwnerPause,
    /// The key-value service is away.
    StoreOutage {
        /// For how long.
        duration_ms: u64,
    },
    /// The next swaps of an engine fail.
    SwapFails(usize),
}

#[derive(Clone, Debug)]
pub(crate) enum Happening {
    Deliver { event: Event, owner: usize },
    Fault(Fault),
    Resend,
    Send { command: Command, owner: usize, reply_to: u64 },
    TakeOver,
    Tick,
    Trained,
    Wake { owner: usize },
}

/// A queued happening; equal times keep the order in which they were queued.
#[derive(Clone, Debug)]
pub(crate) struct Queued {
    at: UnixMs,
    happening: Happening,
    order: u64,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Debug)]
pub(crate) struct Owner {
    paused: bool,
    rollout: Rollout,
}

#[derive(Clone, Debug)]
pub(crate) struct Held {
    score_millis: Option<i64>,
    segments: Segments,
}

/// What a run of a world came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Ages of all claimed samples, in versions, sorted.
    pub ages: Vec<u64>,
    /// When the last step was trained.
    pub ended_at: UnixMs,
    /// Writes of the ledger.
    pub ledger_writes: u64,
    /// The largest ledger written, in bytes.
    pub ledger_max_bytes: usize,
    /// When each step was whole, since its trainer was ready for it.
    pub step_times_ms: Vec<u64>,
    /// Tokens that engines produced.
    pub tokens_generated: u64,
    /// Tokens of the samples that were claimed.
    pub tokens_used: u64,
    /// How long the trainer waited for batches.
    pub trainer_idle_ms: u64,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

impl Outcome {
    /// Returns the share of time in which the trainer waited, in percent.
    pub fn idle_percent(&self) -> f64 {
        100.0 * self.trainer_idle_ms as f64 / self.ended_at.0.max(1) as f64
    }

    /// Returns the mean age in versions.
    pub fn mean_age(&self) -> f64 {
        self.ages.iter().sum::<u64>() as f64 / self.ages.len().max(1) as f64
    }

    /// Returns the age that 99 of 100 samples do not exceed.
    pub fn p99_age(&self) -> u64 {
        self.ages.get(self.ages.len() * 99 / 100).copied().unwrap_or(0)
    }

    /// Returns the mean time to a whole step, in milliseconds.
    pub fn mean_step_ms(&self) -> u64 {
        self.step_times_ms.iter().sum::<u64>() / self.step_times_ms.len().max(1) as u64
    }
}

/// A world.
#[derive(Debug)]
pub struct Simulation {
    pub(crate) claimed: IndexMap<SampleId, u64>,
    pub(crate) current: usize,
    pub(crate) engines: Vec<EngineSim>,
    pub(crate) fence: Fence,
    pub(crate) holdings: IndexMap<(usize, SampleId, Attempt), Held>,
    pub(crate) ledger: Option<(Ledger, u64)>,
    pub(crate) lose_replies: u32,
    pub(crate) nodes_up: Vec<bool>,
    pub(crate) now: UnixMs,
    pub(crate) order: u64,
    pub(crate) outage_until: UnixMs,
    pub(crate) outcome: Outcome,
    pub(crate) owners: IndexMap<usize, Owner>,
    pub(crate) queue: BinaryHeap<Reverse<Queued>>,
    pub(crate) reply_to: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) settings: SimulationSettings,
    pub(crate) stored: IndexMap<(u64, String), StepSpec>,
    pub(crate) trainer: TrainerSim,
}

fn node_name(node: usize) -> Name {
    match format!("node-{node}").parse() {
        Ok(name) => name,
        Err(error) => unreachable!("'node-{node}' is a name: {error}"),
    }
}

fn node_of(name: &Name) -> usize {
    name.as_str().trim_start_matches("node-").parse().unwrap_or(0)
}

impl Simulation {
    /// Makes a world in which `faults` happen at their times.
    pub fn open(settings: SimulationSettings, faults: &[(UnixMs, Fault)]) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let engines = (0..settings.engines)
            .map(|number| EngineSim::open(number, settings.engine, rng.random()))
            .collect();
        let mut world = Self {
            claimed: IndexMap::new(),
            current: 0,
            engines,
            fence: Fence(1),
            holdings: IndexMap::new(),
            ledger: None,
            lose_replies: 0,
            nodes_up: vec![true; settings.nodes],
            now: UnixMs(0),
            order: 0,
            outage_until: UnixMs(0),
            outcome: Outcome::default(),
            owners: IndexMap::new(),
            queue: BinaryHeap::new(),
            reply_to: 0,
            rng,
            trainer: TrainerSim {
                asked: None,
                batch: 1,
                claimed_of_step: 0,
                idle_ms: 0,
                next: Next::Register,
                resend_at: UnixMs(0),
                seen: IndexMap::new(),
                step: 1,
                submitted: 0,
                version: 0,
                waiting_since: None,
            },
            settings,
            stored: IndexMap::new(),
        };
        for (at, fault) in faults {
            world.at(*at, Happening::Fault(*fault));
        }
        world.open_owner(0);
        world.at(UnixMs(TICK_MS), Happening::Tick);
        world.trainer_acts();
        world
    }

    /// Runs until the trainer is done, at most until `ends_at`.
    pub fn run(mut self, ends_at: UnixMs) -> Outcome {
        while self.trainer.next != Next::Done {
            let Some(Reverse(queued)) = self.queue.pop() else { break };
            self.now = queued.at;
            if self.now > ends_at {
                let message = format!("not done at {ends_at} ms: {:?}", self.trainer.next);
                self.outcome.violations.push(message);
                break;
            }
            self.happen(queued.happening);
        }
        self.check_end();
        self.outcome.ended_at = self.now;
        self.outcome.trainer_idle_ms = self.trainer.idle_ms;
        self.outcome.ages.sort_unstable();
        self.outcome.tokens_generated = self.engines.iter().map(EngineSim::generated).sum();
        self.outcome
    }

    fn at(&mut self, at: UnixMs, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse(Queued { at, happening, order: self.order }));
    }

    pub(crate) fn after(&mut self, wait_ms: u64, happening: Happening) {
        self.at(self.now.plus(wait_ms), happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Deliver { event, owner } => self.deliver(owner, event),
            Happening::Fault(fault) => self.cause(fault),
            Happening::Resend => self.trainer_resends(),
            Happening::Send { command, owner, reply_to } => {
                self.deliver(owner, Event::Command { command, reply_to });
            }
            Happening::TakeOver => self.take_over(),
            Happening::Tick => self.tick(),
            Happening::Trained => self.trained(),
            Happening::Wake { owner } => {
                if let Some(owner) = self.owners.get_mut(&owner) {
                    owner.paused = false;
                }
            }
        }
    }

    fn open_owner(&mut self, node: usize) {
        let writer = format!("node-{node}:{}", self.fence);
        let (rollout, effects) =
            Rollout::open(writer, self.fence, self.settings.schedule, self.settings.orders);
        self.owners.insert(node, Owner { paused: false, rollout });
        self.current = node;
        self.carry_out(node, effects);
        let engines = self.engine_infos();
        let nodes = self.node_infos();
        self.deliver(node, Event::Engines(engines));
        self.deliver(node, Event::Nodes(nodes));
    }

    fn engine_infos(&self) -> Vec<EngineInfo> {
        let alive = self.engines.iter().filter(|engine| engine.is_alive());
        alive.map(|engine| engine.info(NOWHERE)).collect()
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
            // It waits in the paused process's sockets until it wakes.
            return self.after(TICK_MS, Happening::Deliver { event, owner: node });
        }
        let effects = owner.rollout.handle(self.now, event);
        self.carry_out(node, effects);
    }

    fn deliver_later(&mut self, wait_ms: u64, node: usize, event: Event) {
        self.after(wait_ms, Happening::Deliver { event, owner: node });
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.effect(node, effect);
        }
    }

    fn effect(&mut self, node: usize, effect: Effect) {
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
                let gone: IndexSet<_> = samples.into_iter().collect();
                self.holdings.retain(|(_, id, attempt), _| !gone.contains(&(*id, *attempt)));
            }
            Effect::LoadStep { digest, step } => {
                let away = self.now < self.outage_until;
                let spec = self.stored.get(&(step, digest)).filter(|_| !away).cloned();
                let wait_ms = if away { 500 } else { STORE_MS };
                self.deliver_later(wait_ms, node, Event::StepLoaded { spec, step });
            }
            Effect::Order { engine, version, .. } => {
                if let Some(engine) = self.engines.iter_mut().find(|e| e.name() == &engine) {
                    engine.order(self.now, version);
                }
            }
            Effect::ReadLedger => {
                let away = self.now < self.outage_until;
                let read = self.ledger.clone().map(|(ledger, version)| (Box::new(ledger), version));
                let event = if away { Event::LedgerUnknown } else { Event::LedgerRead(read) };
                self.deliver_later(STORE_MS, node, event);
            }
            Effect::Reply { reply, reply_to } => self.trainer_hears(reply_to, reply),
            Effect::Run(order) => self.start_run(node, &order),
            Effect::StoreStep { digest, spec, step } => {
                let stored = self.now >= self.outage_until;
                if stored {
                    self.stored.insert((step, digest), spec);
                }
                self.deliver_later(STORE_MS, node, Event::StepStored { step, stored });
            }
            Effect::WriteLedger { expect, ledger } => self.write_ledger(node, expect, *ledger),
        }
    }

    fn write_ledger(&mut self, node: usize, expect: Option<u64>, ledger: Ledger) {
        if self.now < self.outage_until {
            return self.deliver_later(STORE_MS, node, Event::LedgerUnknown);
        }
        let version = self.ledger.as_ref().map(|(_, version)| *version);
        if version != expect {
            return self.deliver_later(STORE_MS, node, Event::LedgerConflict);
        }
        self.check_ledger(&ledger);
        let next = version.unwrap_or(0) + 1;
        let size_bytes = serde_json::to_vec(&ledger).map_or(0, |bytes| bytes.len());
        self.outcome.ledger_max_bytes = self.outcome.ledger_max_bytes.max(size_bytes);
        self.outcome.ledger_writes += 1;
        self.ledger = Some((ledger, next));
        if self.lose_replies > 0 {
            self.lose_replies -= 1;
            return self.deliver_later(LOST_REPLY_MS, node, Event::LedgerUnknown);
        }
        self.deliver_later(STORE_MS, node, Event::LedgerWritten { version: next });
    }

    /// Once written, a batch's samples never change, a settled batch stays settled, and no sample
    /// stands in two batches that are not void.
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
            self.outcome.violations.push(format!("fence {} after {}", new.fence, old.fence));
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
            return self.deliver_later(STORE_MS, owner, event);
        };
        engine.start(order, owner, runner, held.unwrap_or_default());
    }

    fn running_segments(&self, sample: SampleId, attempt: Attempt) -> Option<Segments> {
        self.engines.iter().find_map(|engine| engine.segments(sample, attempt))
    }

    fn copy(&mut self, from: usize, sample: SampleId, attempt: Attempt) -> Option<Name> {
        let held = self.holdings.get(&(from, sample, attempt))?.clone();
        let takers: Vec<usize> =
            (0..self.nodes_up.len()).filter(|node| self.nodes_up[*node] && *node != from).collect();
        if takers.is_empty() {
            return None;
        }
        let taker = takers[self.rng.random_range(0..takers.len())];
        self.holdings.insert((taker, sample, attempt), held);
        Some(node_name(taker))
    }

    fn find_holdings(&self) -> Vec<HoldingReport> {
        let survives = |held: &Held| match self.settings.recovery {
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
        let mut finishes = Vec::new();
        for engine in &mut self.engines {
            engine.tick(self.now, TICK_MS, &mut finishes);
        }
        for finish in finishes {
            self.run_changed(finish);
        }
        let owners: Vec<usize> = self.owners.keys().copied().collect();
        for owner in owners {
            let paused = self.owners.get(&owner).is_some_and(|owner| owner.paused);
            if !paused {
                let fence = (owner == self.current).then_some(self.fence);
                self.deliver(owner, Event::OrderFence(fence));
                for number in 0..self.engines.len() {
                    let engine = self.engines[number].name().clone();
                    let version = self.engines[number].version();
                    self.deliver(owner, Event::EngineVersion { engine, version });
                }
                self.deliver(owner, Event::Tick);
            }
        }
        self.after(TICK_MS, Happening::Tick);
    }

    fn run_changed(&mut self, finish: Finish) {
        let Finish { attempt, owner, runner, sample, segments, what } = finish;
        if !self.nodes_up[runner] {
            return;
        }
        let progress = Event::RunProgress { attempt, sample, segments: segments.clone() };
        self.deliver(owner, progress);
        let mut hold = |score_millis| {
            let held = Held { score_millis, segments: segments.clone() };
            self.holdings.insert((runner, sample, attempt), held);
        };
        match what {
            crate::engines::What::Progress => hold(None),
            crate::engines::What::Broken { kept } => {
                hold(None);
                let event =
                    Event::RunFailed { attempt, engine_at_fault: true, partial_kept: kept, sample };
                self.deliver_later(STORE_MS, owner, event);
            }
            crate::engines::What::Whole => {
                hold(Some(1_000));
                let mut holders = vec![node_name(runner)];
                holders.extend(self.copy(runner, sample, attempt));
                let finished = Finished { holders, score_millis: 1_000, segments };
                self.deliver(owner, Event::RunComplete { attempt, sample });
                self.deliver_later(200, owner, Event::RunSafe { attempt, finished, sample });
            }
        }
    }

    fn cause(&mut self, fault: Fault) {
        match fault {
            Fault::EngineCrash(number) => {
                let mut broken = Vec::new();
                if let Some(engine) = self.engines.get_mut(number) {
                    engine.crash(&mut broken);
                }
                for finish in broken {
                    self.run_changed(finish);
                }
                let engines = self.engine_infos();
                self.deliver_later(1_000, self.current, Event::Engines(engines));
            }
            Fault::LoseReplies(count) => self.lose_replies += count,
            Fault::OwnerCrash => {
                let dead = self.current;
                self.nodes_up[dead] = false;
                self.owners.swap_remove(&dead);
                for engine in &mut self.engines {
                    engine.runner_died(dead);
                }
                if self.nodes_up.iter().any(|up| *up) {
                    self.after(TAKEOVER_MS, Happening::TakeOver);
                }
            }
            Fault::OwnerPause => {
                let paused = self.current;
                if let Some(owner) = self.owners.get_mut(&paused) {
                    owner.paused = true;
                }
                self.after(TAKEOVER_MS, Happening::TakeOver);
                self.after(TAKEOVER_MS + 3_000, Happening::Wake { owner: paused });
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
        // A run whose owner died is dropped by its runner, which keeps its tokens.
        for engine in &mut self.engines {
            engine.owner_left(self.current);
        }
        self.fence = Fence(self.fence.0 + 1);
        self.open_owner(next);
    }

    fn check_end(&mut self) {
        let ends = std::mem::take(&mut self.outcome.step_times_ms);
        let starts = [0].into_iter().chain(ends.iter().copied());
        self.outcome.step_times_ms = starts.zip(&ends).map(|(start, end)| end - start).collect();
        let whole = u64::from(self.settings.groups * self.settings.registration.group_size);
        let wanted = whole * self.settings.steps;
        if self.outcome.violations.is_empty() && self.claimed.len() as u64 != wanted {
            let message = format!("{} of {wanted} samples were claimed", self.claimed.len());
            self.outcome.violations.push(message);
        }
    }
}
