//! A simulation in virtual time of gates, targets that refuse when their queue is full, and callers
//! that return once after a rejection.

use catkinmast_admission::{Arrival, Decision, Gate, Outcome, ServedRecord, Turn, WaiterId};
use catkinmast_dispatch::{
    CallOutcome, CallPreference, Candidate, LoadBalancer, LoadBalancerSettings,
};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

const SLOTS: usize = 6;
const QUEUE_PLACES: usize = 24;
const GOAL_MS: u64 = 150;
const DEADLINE_MS: u64 = 2_000;
/// Network time of one way between a node and a target.
const HOP_MS: u64 = 1;

/// Lookups before the load, by which the nodes know the usual latency.
const NORMAL_PER_S: u64 = 12;
const WARM_UP_MS: u64 = 120_000;

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    pub(super) arrivals_per_s: u64,
    pub(super) duration_ms: u64,
    pub(super) gates: usize,
    pub(super) seed: u64,
    pub(super) targets: usize,
    /// Mean work of a request.
    pub(super) work_ms: u64,
    /// From when until when the first half of the targets refuses connections.
    pub(super) half_gone_ms: Option<(u64, u64)>,
    /// Whether callers return after a rejection.
    pub(super) returns: bool,
}

/// What callers and targets saw.
#[derive(Clone, Debug, Default)]
pub(super) struct Report {
    /// Attempts that reached a target.
    pub(super) attempts: u64,
    pub(super) refusals: u64,
    /// Calls, those that callers repeat included.
    pub(super) calls: u64,
    pub(super) lookups: u64,
    pub(super) in_goal: u64,
    pub(super) late: u64,
    /// Lookups in goal by the second in which they were sent.
    pub(super) in_goal_by_s: BTreeMap<u64, u64>,
    /// Time from the arrival of a call until it was told that it is rejected.
    pub(super) rejected_after_ms: Vec<u64>,
    pub(super) latencies_ms: Vec<u64>,
    /// The sum of all windows, each 10 ms while all are limited.
    pub(super) window_sums: Vec<f64>,
    pub(super) max_queued: usize,
}

impl Report {
    pub(super) fn goal_share(&self) -> f64 {
        self.in_goal as f64 / self.lookups as f64
    }

    pub(super) fn value(&self) -> f64 {
        (self.in_goal as f64 + 0.25 * self.late as f64) / self.lookups as f64
    }

    pub(super) fn attempts_per_lookup(&self) -> f64 {
        self.attempts as f64 / self.lookups as f64
    }

    /// Returns the share of the rejections that were told within a time.
    pub(super) fn told_within(&self, limit_ms: u64) -> f64 {
        let told = self.rejected_after_ms.iter().filter(|ms| **ms <= limit_ms).count();
        told as f64 / self.rejected_after_ms.len().max(1) as f64
    }

    /// Returns the mean sum of all windows; none if they were never limited all at once.
    pub(super) fn mean_window_sum(&self) -> Option<f64> {
        let count = self.window_sums.len();
        (count > 0).then(|| self.window_sums.iter().sum::<f64>() / count as f64)
    }
}

/// A call of a caller at a node.
#[derive(Clone, Copy, Debug)]
struct Call {
    arrived_at: u64,
    deadline_at: u64,
    /// When the caller first sent the lookup.
    first_sent_at: u64,
    gate: usize,
    has_returned: bool,
    was_refused: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrives(usize),
    ReachesTarget(usize, usize),
    Answered { call: usize, latency_ms: u64 },
    Refused(usize),
    Failed(usize),
    WorkDone { target: usize, call: usize, life: u32 },
    GateTimer(usize),
}

#[derive(Clone, Debug, Default)]
struct Target {
    busy: usize,
    is_gone: bool,
    life: u32,
    queue: VecDeque<usize>,
}

struct Node {
    balancer: LoadBalancer,
    gate: Gate,
    served: ServedRecord,
    waiting: IndexMap<WaiterId, usize>,
}

struct Simulation {
    plan: Plan,
    calls: Vec<Call>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    nodes: Vec<Node>,
    now: u64,
    report: Report,
    rng: Pcg64Mcg,
    /// When and to which target a call was sent last.
    sent: IndexMap<usize, (u64, usize)>,
    targets: Vec<Target>,
}

/// Runs a plan to the end of all its calls.
pub(super) fn run(plan: Plan) -> Report {
    let mut simulation = Simulation::new(plan);
    simulation.schedule_arrivals();
    let mut sampled_at = WARM_UP_MS;
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        simulation.now = at;
        simulation.set_targets();
        if at >= sampled_at + 10 && at < WARM_UP_MS + plan.duration_ms {
            sampled_at = at;
            simulation.sample();
        }
        simulation.handle(event);
    }
    simulation.report
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        let node = || Node {
            balancer: LoadBalancer::open(LoadBalancerSettings::default()),
            gate: Gate::open(UnixMs(0)),
            served: ServedRecord::default(),
            waiting: IndexMap::new(),
        };
        Self {
            plan,
            calls: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            nodes: (0..plan.gates).map(|_| node()).collect(),
            now: 0,
            report: Report::default(),
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            sent: IndexMap::new(),
            targets: vec![Target::default(); plan.targets],
        }
    }

    fn schedule_arrivals(&mut self) {
        let Plan { arrivals_per_s, duration_ms, .. } = self.plan;
        for _ in 0..NORMAL_PER_S * WARM_UP_MS / 1_000 {
            let at = self.rng.random_range(0..WARM_UP_MS);
            self.schedule_lookup(at);
        }
        for _ in 0..arrivals_per_s * duration_ms / 1_000 {
            let at = WARM_UP_MS + self.rng.random_range(0..duration_ms);
            self.report.lookups += 1;
            self.schedule_lookup(at);
        }
    }

    fn schedule_lookup(&mut self, at: u64) {
        let call = Call {
            arrived_at: at,
            deadline_at: at + DEADLINE_MS,
            first_sent_at: at,
            gate: self.rng.random_range(0..self.plan.gates),
            has_returned: false,
            was_refused: false,
        };
        self.schedule_call(at, call);
    }

    fn schedule_call(&mut self, at: u64, call: Call) {
        self.calls.push(call);
        self.schedule(at, Event::Arrives(self.calls.len() - 1));
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn set_targets(&mut self) {
        let Some((from, until)) = self.plan.half_gone_ms else { return };
        let is_gone = (WARM_UP_MS + from..WARM_UP_MS + until).contains(&self.now);
        let half = self.plan.targets / 2;
        for target in 0..half {
            if is_gone && !self.targets[target].is_gone {
                let life = self.targets[target].life + 1;
                let queue = std::mem::take(&mut self.targets[target].queue);
                self.targets[target] = Target { is_gone, life, ..Target::default() };
                for call in queue {
                    self.schedule(self.now + HOP_MS, Event::Failed(call));
                }
            }
            self.targets[target].is_gone = is_gone;
        }
    }

    fn sample(&mut self) {
        let windows: Option<Vec<f64>> = self.nodes.iter().map(|node| node.gate.window()).collect();
        if let Some(windows) = windows {
            self.report.window_sums.push(windows.iter().sum());
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives(call) => {
                self.report.calls += u64::from(self.now >= WARM_UP_MS);
                self.enter(call);
            }
            Event::ReachesTarget(target, call) => self.reach(target, call),
            Event::Answered { call, latency_ms } => {
                self.count_answer(call);
                self.call_ended(call, CallOutcome::Answered { latency_ms });
                self.end(self.calls[call].gate, Outcome::Answered { latency_ms });
            }
            Event::Refused(call) => self.refused(call),
            // A connection that fails leads to an attempt at another target at once.
            Event::Failed(call) => {
                self.call_ended(call, CallOutcome::Failed);
                self.send(call);
            }
            Event::WorkDone { target, call, life } => self.work_done(target, call, life),
            Event::GateTimer(gate) => self.pass_turns(gate),
        }
    }

    fn count_answer(&mut self, call: usize) {
        let first_sent_at = self.calls[call].first_sent_at;
        if first_sent_at < WARM_UP_MS {
            return;
        }
        let total_ms = self.now - first_sent_at;
        self.report.latencies_ms.push(total_ms);
        if total_ms <= GOAL_MS {
            self.report.in_goal += 1;
            let second = (first_sent_at - WARM_UP_MS) / 1_000;
            *self.report.in_goal_by_s.entry(second).or_default() += 1;
        } else {
            self.report.late += 1;
        }
    }

    fn refused(&mut self, call: usize) {
        self.report.refusals += 1;
        self.call_ended(call, CallOutcome::Overloaded);
        self.calls[call].was_refused = true;
        let gate = self.calls[call].gate;
        self.end(gate, Outcome::Refused);
        if self.nodes[gate].gate.may_retry(UnixMs(self.now)) {
            self.enter(call);
        } else {
            let draw = self.rng.random();
            let deadline_at = UnixMs(self.calls[call].deadline_at);
            let gate = &self.nodes[gate].gate;
            let after_ms = gate.retry_after_ms(UnixMs(self.now), deadline_at, draw);
            self.reject(call, after_ms);
        }
    }

    fn enter(&mut self, call: usize) {
        let Call { arrived_at, deadline_at, gate, was_refused, .. } = self.calls[call];
        let arrival = Arrival {
            arrived_at: UnixMs(arrived_at),
            deadline_at: UnixMs(deadline_at),
            goal_ms: GOAL_MS,
            is_retry: was_refused,
            priority: 0,
            route: "lookups",
            workspace: None,
        };
        let draw = self.rng.random();
        let node = &mut self.nodes[gate];
        match node.gate.arrive(UnixMs(self.now), arrival, &node.served, draw) {
            Decision::Admitted => self.send(call),
            Decision::Queued(id) => {
                node.waiting.insert(id, call);
                self.report.max_queued = self.report.max_queued.max(node.gate.queued());
            }
            Decision::Rejected { retry_after_ms } => self.reject(call, retry_after_ms),
        }
        self.pass_turns(gate);
    }

    fn send(&mut self, call: usize) {
        let names: Vec<String> = (0..self.plan.targets).map(|number| number.to_string()).collect();
        let candidate = |id| Candidate {
            connected: true,
            id,
            is_cold: false,
            preference: CallPreference::Normal,
            same_data_centre: true,
            slots: SLOTS as u32,
            slowdown_tenths: 10,
        };
        let candidates: Vec<_> = names.iter().map(|id| candidate(id)).collect();
        let draw = self.rng.random();
        let balancer = &mut self.nodes[self.calls[call].gate].balancer;
        let chosen = balancer.choose(UnixMs(self.now), &candidates, &[], draw).expect("a target");
        balancer.call_sent(chosen.id);
        let target = chosen.id.parse().expect("a number");
        self.sent.insert(call, (self.now, target));
        self.schedule(self.now + HOP_MS, Event::ReachesTarget(target, call));
    }

    fn reach(&mut self, target: usize, call: usize) {
        if self.targets[target].is_gone {
            return self.schedule(self.now + HOP_MS, Event::Failed(call));
        }
        if self.now >= WARM_UP_MS {
            self.report.attempts += 1;
        }
        if self.targets[target].busy < SLOTS {
            self.begin_work(target, call);
        } else if self.targets[target].queue.len() < QUEUE_PLACES {
            self.targets[target].queue.push_back(call);
        } else {
            self.schedule(self.now + HOP_MS, Event::Refused(call));
        }
    }

    fn begin_work(&mut self, target: usize, call: usize) {
        self.targets[target].busy += 1;
        let life = self.targets[target].life;
        let work_ms = self.rng.random_range(self.plan.work_ms / 2..=self.plan.work_ms * 3 / 2);
        self.schedule(self.now + work_ms, Event::WorkDone { target, call, life });
    }

    fn work_done(&mut self, target: usize, call: usize, life: u32) {
        if self.targets[target].life != life {
            return self.schedule(self.now + HOP_MS, Event::Failed(call));
        }
        self.targets[target].busy -= 1;
        let latency_ms = self.now + HOP_MS - self.sent[&call].0;
        self.schedule(self.now + HOP_MS, Event::Answered { call, latency_ms });
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.begin_work(target, next);
        }
    }

    fn end(&mut self, gate: usize, outcome: Outcome) {
        self.nodes[gate].gate.ended(UnixMs(self.now), "lookups", outcome);
        self.pass_turns(gate);
    }

    fn call_ended(&mut self, call: usize, outcome: CallOutcome) {
        let now = UnixMs(self.now);
        let (_, target) = self.sent[&call];
        let balancer = &mut self.nodes[self.calls[call].gate].balancer;
        balancer.call_ended(now, &target.to_string(), SLOTS as u32, outcome);
    }

    fn pass_turns(&mut self, gate: usize) {
        let now = UnixMs(self.now);
        let draw = self.rng.random();
        let node = &mut self.nodes[gate];
        for (id, turn) in node.gate.next(now, &node.served, draw) {
            let call = self.nodes[gate].waiting.swap_remove(&id).expect("it waits");
            match turn {
                Turn::Admitted => self.send(call),
                Turn::Rejected { retry_after_ms } => self.reject(call, retry_after_ms),
            }
        }
        if let Some(at) = self.nodes[gate].gate.next_at(now) {
            self.schedule(at.0, Event::GateTimer(gate));
        }
    }

    fn reject(&mut self, call: usize, retry_after_ms: u64) {
        let Call { arrived_at, deadline_at, has_returned, .. } = self.calls[call];
        self.report.rejected_after_ms.push(self.now - arrived_at);
        let left_ms = deadline_at.saturating_sub(self.now);
        if has_returned || !self.plan.returns || retry_after_ms > left_ms / 3 {
            return;
        }
        let at = self.now + retry_after_ms;
        let gate = self.rng.random_range(0..self.plan.gates);
        let again = Call {
            arrived_at: at,
            gate,
            has_returned: true,
            was_refused: false,
            ..self.calls[call]
        };
        self.schedule_call(at, again);
    }
}
