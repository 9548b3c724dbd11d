//! The control thread, which owns this node's state of membership, configuration and trainers.
//!
//! It handles [`Input`]s one at a time: it passes each to the state machines, starts tasks on the
//! traffic threads for the effects they request, and publishes a new [`Snapshot`] if something has
//! changed. It never waits for the network, so that an unresponsive key-value service or a slow
//! peer cannot delay the probes of the failure detector.

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

/// Interval between ticks of the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a watching node reads the platform's list of instances.
const LIST_INTERVAL_MS: u64 = 1_000;
/// Number of nodes per data centre that read the list and watch the configuration's head.
pub(crate) const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Time after which all nodes have received the update that a node is leaving.
const LEAVE_PROPAGATION_MS: u64 = 2_000;
/// Interval between removals of expired sample content.
const SWEEP_INTERVAL_MS: u64 = 10_000;

/// An input to the control thread.
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

/// Arguments of [`spawn`].
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
    /// Whether something that the snapshot contains has changed since it was published.
    changed: bool,
    configuration: Configuration,
    leaving_until: Option<UnixMs>,
    list_due_at: UnixMs,
    /// The platform's list as last read, without entry instances.
    listed: IndexMap<Name, Instance>,
    membership: Membership,
    /// Whether the fleet has changed since the ranks of this node were computed.
    ranks_stale: bool,
    runtime: Handle,
    shared: Arc<Shared>,
    socket: UdpSocket,
    sweep_at: UnixMs,
    trainers: Trainers,
    /// Whether this node watches the platform for its data centre.
    watches: bool,
}

/// Starts the control thread.
pub(crate) fn spawn(start: StartArguments) -> std::io::Result<std::thread::JoinHandle<()>> {
    let name = format!("control-{}", start.me.name);
    std::thread::Builder::new().name(name).spawn(move || {
        let StartArguments { inputs, me, runtime, shared, socket } = start;
        let settings = &shared.settings;
        let rng = Pcg64Mcg::seed_from_u64(me.incarnation.0 ^ u64::from(me.control.port()));
        let membership = Membership::new(me, settings.peers.clone(), settings.membership, rng);
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
            // Checked before each input: under a constant flow of inputs `recv_timeout` would never
            // time out, and no probe would be sent and no lease renewed.
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.tick(self.shared.now());
            }
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(Input::Stop { done }) => {
                    self.abandon_trainers();
                    // Sending fails if the sender of the input no longer waits.
                    let _receiver_gone = done.send(());
                    return;
                }
                Ok(input) => {
                    // After a pause of the process, expired leases must be noticed before inputs
                    // are handled that arrived during the pause.
                    self.check_leases(self.shared.now());
                    self.handle_input(self.shared.now(), input);
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
        self.apply_outputs(now, outputs);
        if std::mem::take(&mut self.ranks_stale) {
            // Recomputed only after a change of the fleet: with hundreds of nodes, ranking on each
            // tick would be most of the work of an idle node.
            self.watches = self.ranks_among_watchers();
            self.rank_for_trainers();
        }
        self.tick_configuration(now);
        if now >= self.list_due_at {
            self.list_due_at = now.plus(LIST_INTERVAL_MS);
            if self.watches {
                self.runtime.spawn(crate::edge::store::read_instances(Arc::clone(&self.shared)));
            }
        }
        if now >= self.sweep_at {
            self.sweep_at = now.plus(SWEEP_INTERVAL_MS);
            crate::shared::lock(&self.shared.holdings).drop_expired(now);
        }
        self.tick_trainers(now);
    }

    fn handle_input(&mut self, now: UnixMs, input: Input) {
        match input {
            Input::ConfigBody(body) => self.body_fetched(now, *body),
            Input::Command { command, reply, trainer } => {
                self.trainer_command(now, &trainer, command, reply);
            }
            Input::Datagram { from, message } => {
                self.shared.datagrams_waiting.fetch_sub(1, Ordering::Relaxed);
                let outputs = self.membership.receive(now, from, message);
                self.apply_outputs(now, outputs);
            }
            Input::DrainTarget { reply, target } => {
                let known = self.mark_target_leaving(now, &target, TargetFactSource::Operator);
                // The drain goes on even if the operator has disconnected.
                let _receiver_gone = reply.send(known);
            }
            Input::ConfigEvent(event) => self.follow(now, event),
            Input::Instances(instances) => self.apply_instances(now, instances),
            Input::Leave => self.leave(now),
            Input::Lease { lease, report, trainer } => {
                self.lease_report(now, &trainer, lease, &report);
            }
            Input::Rollout { event, trainer } => self.rollout_event(now, &trainer, event),
            Input::Stop { .. } => {}
            Input::TargetRefused { target } => {
                self.mark_target_leaving(now, &target, TargetFactSource::Refusal);
            }
        }
    }

    fn apply_outputs(&mut self, now: UnixMs, outputs: Vec<Output>) {
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
            Err(error) => log::debug!("cannot send a datagram to {to}: {error}"),
        }
    }

    /// Records a fact that this node has observed itself.
    fn observe(&mut self, now: UnixMs, fact: Fact) {
        let outputs = self.membership.observe(now, fact);
        self.apply_outputs(now, outputs);
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
            // This node records no crashes of targets yet, and ignores those that others record.
            Fact::Crash(_) => {}
            Fact::Owner(owner) => self.owner_announced(owner),
            Fact::Target(target) => {
                log::info!("target {} is {:?} ({:?})", target.name, target.state, target.source);
                self.trainers.targets_changed = true;
            }
        }
    }

    /// Returns whether this node should watch the platform for its data centre.
    ///
    /// A few nodes of each data centre do so, chosen by rank among those that are alive. The number
    /// of calls thus does not grow with the fleet, and a lost watcher is replaced by the next in
    /// rank.
    fn ranks_among_watchers(&self) -> bool {
        let me = self.membership.me();
        let alive = self.membership.nodes().filter(|node| {
            node.data_centre == me.data_centre
                && matches!(node.state, NodeState::Live | NodeState::Suspect)
        });
        let own_rank = rendezvous_rank("watch", me.name.as_str());
        let earlier = alive.filter(|node| rendezvous_rank("watch", node.name.as_str()) < own_rank);
        earlier.count() < WATCHERS_PER_DATA_CENTRE
    }

    /// Compares the platform's list with the previous one, and records the changes as facts.
    fn apply_instances(&mut self, now: UnixMs, instances: Vec<Instance>) {
        let mut listed = IndexMap::new();
        for instance in instances {
            if instance.kind == catkinmast_model::InstanceKind::Entry {
                self.membership.add_seed(instance.address);
                continue;
            }
            listed.insert(instance.name.clone(), instance);
        }
        let previous = std::mem::take(&mut self.listed);
        for (name, instance) in &previous {
            if !listed.contains_key(name) {
                let gone = Instance { state: InstanceState::Gone, ..instance.clone() };
                self.observe(now, Fact::Target(target_fact(&gone)));
            }
        }
        for (name, instance) in &listed {
            if previous.get(name) != Some(instance) {
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

    /// Marks a live target as leaving; returns whether the target is known.
    fn mark_target_leaving(&mut self, now: UnixMs, name: &Name, source: TargetFactSource) -> bool {
        let Some(target) = self.target(name).cloned() else { return false };
        if target.state == InstanceState::Live {
            let leaving = TargetFact { source, state: InstanceState::Leaving, ..target };
            self.observe(now, Fact::Target(leaving));
        }
        true
    }

    /// Starts to leave: announces it to all nodes and takes no new duty.
    ///
    /// The node must serve until `leaving_until`, when every answer that names it has expired.
    fn leave(&mut self, now: UnixMs) {
        if self.leaving_until.is_some() {
            return;
        }
        let ttl_ms = self.configuration.document().map_or(5_000, |d| d.limits.address_ttl_ms);
        self.leaving_until = Some(now.plus(LEAVE_PROPAGATION_MS + ttl_ms));
        self.changed = true;
        let outputs = self.membership.leave(now);
        self.apply_outputs(now, outputs);
    }

    /// Publishes a new snapshot and drops the statistics of targets that are gone.
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
        let present = snapshot.targets.clone();
        crate::shared::lock(&self.shared.traffic.targets).retain(|name| present.contains_key(name));
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
