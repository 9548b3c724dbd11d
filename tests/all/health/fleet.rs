//! A fleet of nodes and targets in virtual time. Messages between tables are delivered directly.

use catkinmast_dispatch::{
    CallOutcome, CallPreference, Candidate, LoadBalancer, LoadBalancerSettings,
};
use catkinmast_health::{DATAGRAM_OVERHEAD_BYTES, HealthTable, ObserverKey, TargetHint, TargetKey};
use catkinmast_model::UnixMs;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SERVICE: &str = "plain";
const SLOTS: u32 = 6;
/// Delay of a datagram, and of a refused connection.
const HOP_MS: u64 = 1;
/// Interval at which a node sends hints and checks targets.
const TICK_MS: u64 = 100;
/// Speeds of the targets, in tenths, in turn.
const SPEEDS_TENTHS: [u64; 3] = [6, 10, 16];
/// Targets among which a node chooses, as in the process.
const NEAR_TARGETS: usize = 48;
const CONNECTION_IDLE_MS: u64 = 8_000;

/// How nodes are configured.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetOptions {
    pub nodes: usize,
    pub targets: usize,
    /// Whether nodes send each other hints.
    pub hints: bool,
    /// Datagrams that are lost, in percent.
    pub loss_percent: u32,
}

#[derive(Debug)]
pub(super) struct SimulatedNode {
    pub table: HealthTable,
    balancer: LoadBalancer,
    /// Until when an idle connection to each target exists.
    connected_until: Vec<UnixMs>,
    key: ObserverKey,
    /// Targets in the order of preference.
    near: Vec<usize>,
    /// Its calls fail whatever the target.
    pub is_cut_off: bool,
    /// A target that it cannot reach.
    pub cut_off_from: Option<usize>,
    pub calls: u64,
    pub connections_opened: u64,
    pub sent_bytes: u64,
}

impl SimulatedNode {
    fn reaches(&self, target: usize) -> bool {
        !self.is_cut_off && self.cut_off_from != Some(target)
    }
}

#[derive(Debug)]
pub(super) struct SimulatedTarget {
    pub id: String,
    pub is_dead: bool,
    /// When each slot is free.
    free_at: Vec<UnixMs>,
    pub speed_tenths: u64,
    /// Work of the calls that it ran, in milliseconds at speed 1.
    pub work_ms: u64,
    /// Calls sent while it was dead, with their time.
    pub dead_attempts: Vec<UnixMs>,
    /// Connections opened to check whether it has returned, with their time.
    pub checks: Vec<UnixMs>,
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrives { node: usize, every_ms: u64, until: UnixMs, work_ms: u64 },
    Checked { node: usize, target: usize, accepted: bool },
    Ended { node: usize, target: usize, sent_at: UnixMs, work_ms: u64, tried: Vec<usize>, ok: bool },
    Received { node: usize, datagram: usize },
    Tick { node: usize },
}

/// The fleet.
#[derive(Debug)]
pub(super) struct Fleet {
    datagrams: Vec<Vec<TargetHint>>,
    events: BinaryHeap<Reverse<(UnixMs, u64, Event)>>,
    pub now: UnixMs,
    number: u64,
    pub nodes: Vec<SimulatedNode>,
    options: FleetOptions,
    rng: Pcg64Mcg,
    pub targets: Vec<SimulatedTarget>,
}

impl Fleet {
    pub(super) fn open(options: FleetOptions, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let targets: Vec<SimulatedTarget> = (0..options.targets)
            .map(|number| SimulatedTarget {
                id: format!("plain-{number}"),
                is_dead: false,
                free_at: vec![UnixMs(0); SLOTS as usize],
                speed_tenths: SPEEDS_TENTHS[number % SPEEDS_TENTHS.len()],
                work_ms: 0,
                dead_attempts: Vec::new(),
                checks: Vec::new(),
            })
            .collect();
        let nodes =
            (0..options.nodes).map(|number| open_node(number, &targets, &mut rng)).collect();
        let mut fleet = Self {
            datagrams: Vec::new(),
            events: BinaryHeap::new(),
            now: UnixMs(1_000_000),
            number: 0,
            nodes,
            options,
            rng,
            targets,
        };
        for node in 0..options.nodes {
            let at = fleet.now.plus(fleet.rng.random_range(0..TICK_MS));
            fleet.schedule(at, Event::Tick { node });
        }
        fleet
    }

    fn schedule(&mut self, at: UnixMs, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    /// Lets some nodes make calls of a mean work for a time, at a rate for each node.
    pub(super) fn call(
        &mut self,
        nodes: std::ops::Range<usize>,
        every_ms: u64,
        work_ms: u64,
        for_ms: u64,
    ) {
        let until = self.now.plus(for_ms);
        for node in nodes {
            let at = self.now.plus(self.rng.random_range(0..every_ms));
            self.schedule(at, Event::Arrives { node, every_ms, until, work_ms });
        }
    }

    pub(super) fn run_for(&mut self, for_ms: u64) {
        let until = self.now.plus(for_ms);
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at < until
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives { node, every_ms, until, work_ms } => {
                if self.now < until {
                    let next_ms = self.rng.random_range(every_ms / 2..=every_ms * 3 / 2).max(1);
                    let next = Event::Arrives { node, every_ms, until, work_ms };
                    self.schedule(self.now.plus(next_ms), next);
                    let work_ms = self.rng.random_range(work_ms / 2..=work_ms * 3 / 2);
                    self.send_call(node, work_ms, Vec::new());
                }
            }
            Event::Checked { node, target, accepted } => {
                let id = self.targets[target].id.clone();
                self.nodes[node].table.checked(self.now, &id, accepted);
                self.send_hints(node);
            }
            Event::Ended { node, target, sent_at, work_ms, tried, ok } => {
                self.end_call(node, target, sent_at, ok);
                if !ok && tried.len() < 8 {
                    self.send_call(node, work_ms, tried);
                }
            }
            Event::Received { node, datagram } => {
                let hints = self.datagrams[datagram].clone();
                self.nodes[node].table.receive(self.now, &hints);
            }
            Event::Tick { node } => self.tick(node),
        }
    }

    fn tick(&mut self, node: usize) {
        let keys: Vec<ObserverKey> = self.nodes.iter().map(|node| node.key).collect();
        let own = self.nodes[node].key;
        let now = self.now;
        let due = self.nodes[node].table.checks_due(now, |target| rank(&keys, own, target));
        for id in due {
            let target = self.targets.iter().position(|held| held.id == id).expect("it is known");
            self.targets[target].checks.push(now);
            let accepted = !self.targets[target].is_dead && self.nodes[node].reaches(target);
            self.schedule(now.plus(HOP_MS), Event::Checked { node, target, accepted });
        }
        self.send_hints(node);
        self.schedule(now.plus(TICK_MS), Event::Tick { node });
    }

    fn send_hints(&mut self, node: usize) {
        let sends = self.nodes[node].table.outgoing(self.now);
        if !self.options.hints {
            return;
        }
        for send in sends {
            let hint_bytes: usize = send.hints.iter().map(TargetHint::encoded_bytes).sum();
            let bytes = hint_bytes + DATAGRAM_OVERHEAD_BYTES;
            self.datagrams.push(send.hints);
            let datagram = self.datagrams.len() - 1;
            for peer in self.draw_peers(node, send.peers) {
                self.nodes[node].sent_bytes += bytes as u64;
                if self.rng.random_range(0..100) >= self.options.loss_percent {
                    let event = Event::Received { node: peer, datagram };
                    self.schedule(self.now.plus(HOP_MS), event);
                }
            }
        }
    }

    fn draw_peers(&mut self, node: usize, count: usize) -> Vec<usize> {
        let mut peers = Vec::new();
        while peers.len() < count.min(self.nodes.len() - 1) {
            let peer = self.rng.random_range(0..self.nodes.len());
            if peer != node && !peers.contains(&peer) {
                peers.push(peer);
            }
        }
        peers
    }

    fn send_call(&mut self, node: usize, work_ms: u64, mut tried: Vec<usize>) {
        let now = self.now;
        let Some(target) = self.choose(node, &tried) else { return };
        tried.push(target);
        let id = self.targets[target].id.clone();
        let sender = &mut self.nodes[node];
        sender.balancer.call_sent(now, &id);
        sender.table.sent(now, &id);
        sender.calls += 1;
        sender.connections_opened += u64::from(sender.connected_until[target] <= now);
        let reaches = sender.reaches(target);
        let held = &mut self.targets[target];
        let ok = !held.is_dead && reaches;
        let mut ended_at = now.plus(HOP_MS);
        if ok {
            held.work_ms += work_ms;
            let slot = held.free_at.iter_mut().min().expect("targets have slots");
            *slot = (*slot).max(now).plus(work_ms * 10 / held.speed_tenths);
            ended_at = slot.plus(HOP_MS);
        } else if held.is_dead {
            held.dead_attempts.push(now);
        }
        self.schedule(ended_at, Event::Ended { node, target, sent_at: now, work_ms, tried, ok });
    }

    fn end_call(&mut self, node: usize, target: usize, sent_at: UnixMs, ok: bool) {
        let now = self.now;
        let id = self.targets[target].id.clone();
        let sender = &mut self.nodes[node];
        let latency_ms = now.since_ms(sent_at);
        if ok {
            sender.connected_until[target] = now.plus(CONNECTION_IDLE_MS);
            sender.table.answered(now, &id, Some("lookups"), latency_ms);
            let outcome = CallOutcome::Answered { latency_ms };
            sender.balancer.call_ended(now, &id, SLOTS, outcome);
        } else {
            sender.connected_until[target] = UnixMs(0);
            sender.table.failed(now, &id);
            sender.balancer.call_ended(now, &id, SLOTS, CallOutcome::Failed);
        }
        self.send_hints(node);
    }

    /// Chooses a target as `Node::pick_near` does.
    fn choose(&mut self, node: usize, tried: &[usize]) -> Option<usize> {
        let keys: Vec<ObserverKey> = self.nodes.iter().map(|node| node.key).collect();
        let (now, draw) = (self.now, self.rng.random());
        let sender = &self.nodes[node];
        let mut candidates = Vec::new();
        let mut with_room = 0;
        for target in &sender.near {
            let id = self.targets[*target].id.as_str();
            let rank = || rank(&keys, sender.key, TargetKey::of(id));
            let advice = sender.table.advice(now, id, rank);
            let preference = match (advice.avoid, advice.probe) {
                (_, true) => CallPreference::Probe,
                (true, false) => CallPreference::Avoid,
                (false, false) => CallPreference::Normal,
            };
            candidates.push(Candidate {
                connected: sender.connected_until[*target] > now,
                id,
                is_cold: false,
                preference,
                same_data_centre: true,
                slots: SLOTS,
                slowdown_tenths: advice.slowdown_tenths,
            });
            let has_room = !advice.avoid
                && !tried.contains(target)
                && sender.balancer.has_room(now, id, SLOTS);
            with_room += usize::from(has_room);
            if with_room >= NEAR_TARGETS {
                break;
            }
        }
        let tried: Vec<String> =
            tried.iter().map(|target| self.targets[*target].id.clone()).collect();
        let chosen = sender.balancer.choose(now, &candidates, &tried, draw)?;
        self.targets.iter().position(|target| target.id == chosen.id)
    }

    /// Returns the calls sent to dead targets from a time on.
    pub(super) fn dead_attempts_since(&self, from: UnixMs) -> usize {
        let attempts = self.targets.iter().flat_map(|target| &target.dead_attempts);
        attempts.filter(|at| **at >= from).count()
    }

    /// Returns the connections opened to check targets from a time on.
    pub(super) fn checks_since(&self, from: UnixMs) -> usize {
        let checks = self.targets.iter().flat_map(|target| &target.checks);
        checks.filter(|at| **at >= from).count()
    }

    /// Returns the greatest work over speed of the living targets, relative to the mean, in percent.
    pub(super) fn busiest_percent(&self) -> u64 {
        let living = self.targets.iter().filter(|target| !target.is_dead);
        let busy: Vec<u64> =
            living.map(|target| target.work_ms * 10 / target.speed_tenths).collect();
        let mean = busy.iter().sum::<u64>() / busy.len() as u64;
        busy.iter().max().copied().unwrap_or(0) * 100 / mean.max(1)
    }
}

fn open_node(number: usize, targets: &[SimulatedTarget], rng: &mut Pcg64Mcg) -> SimulatedNode {
    let key = ObserverKey::of(&format!("front-{number}"));
    let mut table = HealthTable::open(key);
    for target in targets {
        table.target_joined(UnixMs(0), &target.id, SERVICE);
    }
    let mut near: Vec<usize> = (0..targets.len()).collect();
    near.sort_by_cached_key(|_| rng.random::<u64>());
    SimulatedNode {
        table,
        balancer: LoadBalancer::open(LoadBalancerSettings::default()),
        connected_until: vec![UnixMs(0); targets.len()],
        key,
        near,
        is_cut_off: false,
        cut_off_from: None,
        calls: 0,
        connections_opened: 0,
        sent_bytes: 0,
    }
}

fn rank(keys: &[ObserverKey], own: ObserverKey, target: TargetKey) -> usize {
    let mine = own.rank_hash(target);
    keys.iter().filter(|key| key.rank_hash(target) < mine).count()
}
