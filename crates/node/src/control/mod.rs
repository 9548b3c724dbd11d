//! The control thread: the one place where this node's state changes.
//!
//! It takes [`Input`]s one at a time, asks the aggregates, has their effects carried out by tasks
//! on the traffic threads, and publishes a new [`Snapshot`] when something changed. It never
//! waits for the network: a paused key-value service or a slow peer cannot hold up a probe.

pub(crate) mod configuration;
mod duties;
mod trainers;

use crate::shared::Shared;
use crate::snapshot::{InForce, Snapshot};
use catkinmast_config::FollowerEvent;
use catkinmast_lease::Report;
use catkinmast_member::{Fact, Membership, Message, NodeFact, Output, OwnerFact, TargetFact};
use catkinmast_member::{NodeState, TargetFactSource};
use catkinmast_model::{Instance, InstanceState, Name, UnixMs};
use catkinmast_platform::LeaseId;
use catkinmast_rollout::{Command, Event, Reply};
use catkinmast_route::rendezvous_rank;
use catkinmast_wire::{DATAGRAM_MAX_BYTES, seal};
use configuration::Configuration;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use trainers::Trainers;

/// Time between two ticks of the aggregates.
const TICK: Duration = Duration::from_millis(50);
/// Time between two readings of the platform's list, by the nodes whose duty it is.
const LIST_EVERY_MS: u64 = 1_000;
/// Nodes in a data centre that read the list and watch the configuration.
pub(crate) const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Time in which the news that a node leaves has reached every other.
const LEAVE_SPREAD_MS: u64 = 2_000;
/// Time between two sweeps of what is held for too long.
const SWEEP_EVERY_MS: u64 = 10_000;

/// What happens to a node.
#[derive(Debug)]
pub(crate) enum Input {
    ConfigBody(Box<InForce>),
    Command { command: Command, reply: oneshot::Sender<Reply>, trainer: Name },
    Datagram { from: SocketAddr, message: Message },
    DrainTarget { reply: oneshot::Sender<bool>, target: Name },
    ConfigEvent(FollowerEvent),
    Instances(Vec<Instance>),
    Leave,
    Lease { lease: Option<LeaseId>, report: Report, trainer: Name },
    Rollout { event: Event, trainer: Name },
    Stop { done: oneshot::Sender<()> },
    TargetRefused { target: Name },
}

/// What the control thread begins with.
#[derive(Debug)]
pub(crate) struct StartArguments {
    pub inputs: Receiver<Input>,
    pub me: NodeFact,
    pub runtime: Handle,
    pub shared: Arc<Shared>,
    pub socket: UdpSocket,
}

/// All state of the control thread.
#[derive(Debug)]
pub(crate) struct Control {
    changed: bool,
    configuration: Configuration,
    leaving_until: Option<UnixMs>,
    list_due_at: UnixMs,
    listed: IndexMap<Name, Instance>,
    membership: Membership,
    ranks_stale: bool,
    runtime: Handle,
    shared: Arc<Shared>,
    socket: UdpSocket,
    sweep_at: UnixMs,
    trainers: Trainers,
    watches: bool,
}

/// Starts the control thread.
pub(crate) fn spawn(start: StartArguments) -> std::io::Result<std::thread::JoinHandle<()>> {
    let name = format!("control-{}", start.me.name);
    std::thread::Builder::new().name(name).spawn(move || {
        let StartArguments { inputs, me, runtime, shared, socket } = start;
        let settings = &shared.settings;
        let rng = Pcg64Mcg::seed_from_u64(me.incarnation.0 ^ u64::from(me.control.port()));
        let membership = Membership::open(me, settings.peers.clone(), settings.membership, rng);
        let control = Control {
            changed: true,
            configuration: Configuration::default(),
            leaving_until: None,
            list_due_at: UnixMs(0),
            listed: IndexMap::new(),
            membership,
            ranks_stale: true,
            runtime,
            shared,
            socket,
            sweep_at: UnixMs(0),
            trainers: Trainers::default(),
            watches: false,
        };
        control.run(&inputs);
    })
}

impl Control {
    fn run(mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        loop {
            // Looked at before each input: while inputs never cease, waiting for the time to run
            // out would never end, and no probe would be sent and no lease renewed.
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.tick(self.shared.now());
            }
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(Input::Stop { done }) => {
                    self.abandon_trainers();
                    // The stopper may have given up waiting; there is nobody else to tell.
                    let _unheard = done.send(());
                    return;
                }
                Ok(input) => {
                    // A paused process must find its leases lapsed before it acts on anything
                    // that came in while it was paused.
                    self.check_leases(self.shared.now());
                    self.input(self.shared.now(), input);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.changed {
                self.publish();
            }
        }
    }

    fn tick(&mut self, now: UnixMs) {
        let outputs = self.membership.tick(now);
        self.carry_out(now, outputs);
        if std::mem::take(&mut self.ranks_stale) {
            // Ranked anew only when the fleet has changed: at hundreds of nodes this would
            // otherwise be most of what a calm node does.
            self.watches = self.ranks_among_watchers();
            self.rank_for_trainers();
        }
        self.tick_configuration(now);
        if now >= self.list_due_at {
            self.list_due_at = now.plus(LIST_EVERY_MS);
            if self.watches {
                self.runtime.spawn(crate::edge::store::read_instances(Arc::clone(&self.shared)));
            }
        }
        if now >= self.sweep_at {
            self.sweep_at = now.plus(SWEEP_EVERY_MS);
            crate::shared::lock(&self.shared.holdings).drop_expired(now);
        }
        self.tick_trainers(now);
    }

    fn input(&mut self, now: UnixMs, input: Input) {
        match input {
            Input::ConfigBody(body) => self.body_fetched(now, *body),
            Input::Command { command, reply, trainer } => {
                self.trainer_command(now, &trainer, command, reply);
            }
            Input::Datagram { from, message } => {
                self.shared.datagrams_waiting.fetch_sub(1, Ordering::Relaxed);
                let outputs = self.membership.receive(now, from, message);
                self.carry_out(now, outputs);
            }
            Input::DrainTarget { reply, target } => {
                let known = self.target_leaves(now, &target, TargetFactSource::Operator);
                // The operator may have hung up; the drain stands.
                let _unheard = reply.send(known);
            }
            Input::ConfigEvent(event) => self.follow(now, event),
            Input::Instances(instances) => self.instances(now, instances),
            Input::Leave => self.leave(now),
            Input::Lease { lease, report, trainer } => {
                self.lease_report(now, &trainer, lease, &report);
            }
            Input::Rollout { event, trainer } => self.rollout_event(now, &trainer, event),
            Input::Stop { .. } => {}
            Input::TargetRefused { target } => {
                self.target_leaves(now, &target, TargetFactSource::Refusal);
            }
        }
    }

    fn carry_out(&mut self, now: UnixMs, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Changed(fact) => self.fact_changed(now, &fact),
                Output::Send { message, to } => self.send(to, &message),
            }
        }
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let key = &self.shared.settings.shared_key;
        let sent = seal(key, message, DATAGRAM_MAX_BYTES)
            .map_err(|error| error.to_string())
            .and_then(|frame| self.socket.send_to(&frame, to).map_err(|error| error.to_string()));
        match sent {
            Ok(sent_bytes) => {
                self.shared.metrics.control_sent_bytes.inc_by(sent_bytes as u64);
            }
            Err(error) => log::debug!("a datagram to {to} was not sent: {error}"),
        }
    }

    fn observe(&mut self, now: UnixMs, fact: Fact) {
        let outputs = self.membership.observe(now, fact);
        self.carry_out(now, outputs);
    }

    fn fact_changed(&mut self, now: UnixMs, fact: &Fact) {
        self.changed = true;
        match fact {
            Fact::Config(config) => self.config_announced(now, config),
            Fact::Node(node) => {
                log::info!("node {} is {:?}", node.name, node.state);
                self.trainers.nodes_changed = true;
                self.ranks_stale = true;
            }
            // Targets of this path are the product's own; nothing here reports crashes of them yet.
            Fact::Crash(_) => {}
            Fact::Owner(owner) => self.owner_announced(owner),
            Fact::Target(target) => {
                log::info!("target {} is {:?} ({:?})", target.name, target.state, target.source);
                self.trainers.targets_changed = true;
            }
        }
    }

    /// Tells whether this node watches the platform for its data centre.
    ///
    /// A few nodes in each data centre do, chosen by rank among those alive, so the number of
    /// calls does not grow with the fleet, and the loss of a watcher makes the next one step in.
    fn ranks_among_watchers(&self) -> bool {
        let me = self.membership.me();
        let alive = self.membership.nodes().filter(|node| {
            node.data_centre == me.data_centre
                && matches!(node.state, NodeState::Live | NodeState::Suspect)
        });
        let mine = rendezvous_rank("watch", me.name.as_str());
        let before = alive.filter(|node| rendezvous_rank("watch", node.name.as_str()) < mine);
        before.count() < WATCHERS_PER_DATA_CENTRE
    }

    /// Compares the platform's list with what is known, and tells what is new.
    fn instances(&mut self, now: UnixMs, instances: Vec<Instance>) {
        let mut listed = IndexMap::new();
        for instance in instances {
            if instance.kind == catkinmast_model::InstanceKind::Entry {
                self.membership.add_seed(instance.address);
                continue;
            }
            listed.insert(instance.name.clone(), instance);
        }
        let before = std::mem::take(&mut self.listed);
        for (name, instance) in &before {
            if !listed.contains_key(name) {
                let gone = Instance { state: InstanceState::Gone, ..instance.clone() };
                self.observe(now, Fact::Target(target_fact(&gone)));
            }
        }
        for (name, instance) in &listed {
            if before.get(name) != Some(instance) {
                self.observe(now, Fact::Target(target_fact(instance)));
            }
        }
        self.listed = listed;
    }

    fn target(&self, name: &Name) -> Option<&TargetFact> {
        let key = catkinmast_member::FactKey::Target(name.clone());
        match self.membership.facts().get(&key) {
            Some(Fact::Target(target)) => Some(target),
            _ => None,
        }
    }

    fn target_leaves(&mut self, now: UnixMs, name: &Name, source: TargetFactSource) -> bool {
        let Some(target) = self.target(name).cloned() else { return false };
        if target.state == InstanceState::Live {
            let leaving = TargetFact { source, state: InstanceState::Leaving, ..target };
            self.observe(now, Fact::Target(leaving));
        }
        true
    }

    /// Begins to leave: told to all, no new duty, and served until no answer names this node.
    fn leave(&mut self, now: UnixMs) {
        if self.leaving_until.is_some() {
            return;
        }
        let ttl_ms = self.configuration.document().map_or(5_000, |d| d.limits.address_ttl_ms);
        self.leaving_until = Some(now.plus(LEAVE_SPREAD_MS + ttl_ms));
        self.changed = true;
        let outputs = self.membership.leave(now);
        self.carry_out(now, outputs);
    }

    fn publish(&mut self) {
        self.changed = false;
        let nodes: Vec<NodeFact> = self.membership.nodes().cloned().collect();
        let mut owners: IndexMap<Name, OwnerFact> = IndexMap::new();
        let mut targets = IndexMap::new();
        for fact in self.membership.facts().iter() {
            match fact {
                Fact::Owner(owner) => {
                    owners.insert(owner.trainer.clone(), owner.clone());
                }
                Fact::Target(target) if target.state != InstanceState::Gone => {
                    targets.insert(target.name.clone(), target.clone());
                }
                _ => {}
            }
        }
        let mut snapshot =
            Snapshot::build(self.shared.me(), self.configuration.served(), nodes, owners, targets);
        snapshot.leaving_until = self.leaving_until;
        snapshot.ready = self.configuration.is_ready();
        let kept = snapshot.targets.clone();
        crate::shared::lock(&self.shared.traffic.targets).retain(|name| kept.contains_key(name));
        self.shared.snapshot.store(Arc::new(snapshot));
    }
}

fn target_fact(instance: &Instance) -> TargetFact {
    TargetFact {
        address: instance.address,
        data_centre: instance.data_centre.clone(),
        incarnation: instance.incarnation,
        kind: instance.kind,
        labels: instance.labels.clone(),
        name: instance.name.clone(),
        source: TargetFactSource::List,
        state: instance.state,
    }
}
