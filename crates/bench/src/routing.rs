//! Routing benchmark: choice of target, retries when a third of the targets is down, and overload.
//!
//! Simulates queues in virtual time around the production `TargetBalancer`, `RetryBudget` and
//! `Admission`. Targets serve a few calls concurrently and queue the rest, some are slower than
//! others, and arrivals are random with a fixed seed.

use catkinmast_config::CallClass;
use catkinmast_model::{Name, UnixMs};
use catkinmast_route::{
    Admission, AdmissionDecision, AdmissionLimits, Choice, Dequeued, Outcome, PickPolicy,
    RetryBudget, TargetBalancer, TargetSettings, WaitId, stable_subset,
};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Number of calls that a target serves concurrently.
const SERVERS_PER_TARGET: usize = 4;
/// Mean service time of a call at a target that is not slow, in microseconds.
const SERVICE_US: f64 = 8_000.0;
/// Number of targets in a node's subset, as in `catkinmast-node`.
const SUBSET_SIZE: usize = 20;
/// Interval between load reports, for the baseline that chooses by reports.
const REPORT_INTERVAL_US: u64 = 500_000;

/// How targets are chosen in a simulation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Chooser {
    /// The target with the lowest load by reports that are up to half a second old.
    LaggingReport,
    /// The target of the node's subset with the fewest calls in flight, weighted by latency. This
    /// is the default policy.
    Least,
    /// Round robin.
    RoundRobin,
    /// The better of two random targets, by calls in flight and latency.
    TwoChoices,
}

/// Result of one scenario with one way of choosing targets.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChoiceRow {
    /// Attempts sent, in percent of the calls.
    pub attempts_percent: u64,
    /// How targets were chosen.
    pub chooser: Chooser,
    /// Number of calls whose caller got an error.
    pub failed: u32,
    /// Median latency of answered calls, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of answered calls, in microseconds.
    pub p99_us: u64,
    /// Calls of the busiest target, in percent of the mean; targets that are down or slow are left
    /// out.
    pub spread_percent: u64,
}

/// Load, nodes and targets of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of calls.
    pub calls: u32,
    /// Number of targets that refuse every connection.
    pub down: usize,
    /// Offered load, in percent of the capacity of all live targets.
    pub load_percent: u64,
    /// Number of entry nodes; each chooses by its own observations only.
    pub nodes: usize,
    /// Whether retries are bounded by a budget and failing targets are ejected.
    pub protected: bool,
    /// Number of targets whose calls take four times as long.
    pub slow: usize,
    /// Number of targets, including those that are down or slow.
    pub targets: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrive,
    CallComplete { target: usize },
}

#[derive(Clone, Debug)]
struct Call {
    started_us: u64,
    /// The balancer's choice; none with [`Chooser::LaggingReport`], which bypasses the balancer.
    choice: Option<Choice>,
    node: usize,
    sent_us: u64,
}

#[derive(Debug, Default)]
struct TargetSim {
    calls: u64,
    queue: VecDeque<Call>,
    reported_load: u64,
    /// Calls being served, each with its completion time in microseconds.
    serving: VecDeque<(u64, Call)>,
}

struct NodeSim {
    budget: RetryBudget,
    candidates: Vec<Name>,
    targets: TargetBalancer,
}

struct RoutingSim {
    attempts: u64,
    chooser: Chooser,
    failed: u32,
    latencies_us: Vec<u64>,
    names: Vec<Name>,
    nodes: Vec<NodeSim>,
    queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    sequence: u64,
    report_at_us: u64,
    rng: Pcg64Mcg,
    scenario: Scenario,
    targets: Vec<TargetSim>,
    rotation: usize,
}

fn target_name(number: usize) -> Name {
    match format!("target-{number}").parse() {
        Ok(name) => name,
        Err(error) => unreachable!("generated name 'target-{number}' is invalid: {error}"),
    }
}

fn exponential_us(rng: &mut Pcg64Mcg, mean_us: f64) -> u64 {
    let draw: f64 = rng.random_range(1e-9..1.0);
    (-draw.ln() * mean_us) as u64 + 1
}

impl RoutingSim {
    fn open(scenario: Scenario, chooser: Chooser, seed: u64) -> Self {
        let names: Vec<Name> = (0..scenario.targets).map(target_name).collect();
        let policy = match chooser {
            Chooser::Least => PickPolicy::LeastInFlight,
            Chooser::RoundRobin | Chooser::LaggingReport => PickPolicy::RoundRobin,
            Chooser::TwoChoices => PickPolicy::TwoChoices,
        };
        let ejected_max_percent = if scenario.protected { 50 } else { 0 };
        let settings = TargetSettings { ejected_max_percent, policy, ..TargetSettings::default() };
        let node = |number: usize| NodeSim {
            budget: RetryBudget::new(if scenario.protected { 10 } else { 100_000 }),
            candidates: stable_subset(&target_name(1_000 + number), &names, SUBSET_SIZE),
            targets: TargetBalancer::new(settings),
        };
        Self {
            attempts: 0,
            chooser,
            failed: 0,
            latencies_us: Vec::new(),
            nodes: (0..scenario.nodes).map(node).collect(),
            names,
            queue: BinaryHeap::new(),
            sequence: 0,
            report_at_us: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            scenario,
            targets: (0..scenario.targets).map(|_| TargetSim::default()).collect(),
            rotation: 0,
        }
    }

    fn schedule_at(&mut self, at_us: u64, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence, event)));
    }

    fn service_time_factor(&self, target: usize) -> f64 {
        if target >= self.scenario.down && target < self.scenario.down + self.scenario.slow {
            4.0
        } else {
            1.0
        }
    }

    /// Returns the calls per second that all live targets together can serve.
    fn capacity(&self) -> f64 {
        let live = self.scenario.down..self.scenario.targets;
        live.map(|target| {
            SERVERS_PER_TARGET as f64 * 1e6 / (SERVICE_US * self.service_time_factor(target))
        })
        .sum()
    }

    fn run(mut self) -> ChoiceRow {
        let rate = self.capacity() * self.scenario.load_percent as f64 / 100.0;
        let mut arrived = 0;
        self.schedule_at(0, SimEvent::Arrive);
        while let Some(Reverse((now_us, _, event))) = self.queue.pop() {
            self.refresh_reports(now_us);
            match event {
                SimEvent::Arrive => {
                    arrived += 1;
                    self.arrive(now_us);
                    if arrived < self.scenario.calls {
                        let next = now_us + exponential_us(&mut self.rng, 1e6 / rate);
                        self.schedule_at(next, SimEvent::Arrive);
                    }
                }
                SimEvent::CallComplete { target } => self.complete_call(now_us, target),
            }
        }
        self.row()
    }

    fn refresh_reports(&mut self, now_us: u64) {
        if now_us >= self.report_at_us {
            self.report_at_us = now_us + REPORT_INTERVAL_US;
            for target in &mut self.targets {
                target.reported_load = (target.serving.len() + target.queue.len()) as u64;
            }
        }
    }

    fn arrive(&mut self, now_us: u64) {
        let node = self.rng.random_range(0..self.scenario.nodes);
        self.nodes[node].budget.first_attempt();
        self.send(now_us, now_us, node, &mut Vec::new());
    }

    fn send(&mut self, now_us: u64, started_us: u64, node: usize, tried: &mut Vec<Name>) {
        let Some((target, choice)) = self.choose(now_us, node, tried) else {
            self.failed += 1;
            return;
        };
        self.attempts += 1;
        if target < self.scenario.down {
            let name = self.names[target].clone();
            tried.push(name);
            let NodeSim { budget, targets, .. } = &mut self.nodes[node];
            if let Some(choice) = &choice {
                targets.finish(UnixMs(now_us / 1_000), choice, Outcome::Failed);
            }
            if tried.len() < 3 && budget.take_retry() {
                return self.send(now_us, started_us, node, tried);
            }
            self.failed += 1;
            return;
        }
        let call = Call { started_us, choice, node, sent_us: now_us };
        self.targets[target].calls += 1;
        self.targets[target].queue.push_back(call);
        self.start_calls(now_us, target);
    }

    fn choose(
        &mut self,
        now_us: u64,
        node: usize,
        tried: &[Name],
    ) -> Option<(usize, Option<Choice>)> {
        if self.chooser == Chooser::LaggingReport {
            // Ties are broken in rotation; otherwise all calls would go to the first target.
            self.rotation += 1;
            let rotation = self.rotation;
            let untried =
                (0..self.scenario.targets).filter(|target| !tried.contains(&self.names[*target]));
            let least = untried.min_by_key(|target| {
                (self.targets[*target].reported_load, (target + rotation) % self.scenario.targets)
            });
            return least.map(|target| (target, None));
        }
        let NodeSim { candidates, targets, .. } = &mut self.nodes[node];
        let untried: Vec<Name> =
            candidates.iter().filter(|name| !tried.contains(name)).cloned().collect();
        let choice = targets.pick(UnixMs(now_us / 1_000), &untried, 1_000, &mut self.rng)?;
        let target = self.names.iter().position(|name| *name == choice.target)?;
        Some((target, Some(choice)))
    }

    fn start_calls(&mut self, now_us: u64, target: usize) {
        while self.targets[target].serving.len() < SERVERS_PER_TARGET {
            let Some(call) = self.targets[target].queue.pop_front() else { return };
            let mean_us = SERVICE_US * self.service_time_factor(target);
            let done_us = now_us + exponential_us(&mut self.rng, mean_us);
            self.targets[target].serving.push_back((done_us, call));
            self.schedule_at(done_us, SimEvent::CallComplete { target });
        }
    }

    fn complete_call(&mut self, now_us: u64, target: usize) {
        let serving = &mut self.targets[target].serving;
        let Some(index) = serving.iter().position(|(done_us, _)| *done_us == now_us) else {
            return;
        };
        let Some((_, call)) = serving.remove(index) else { return };
        self.latencies_us.push(now_us - call.started_us);
        if let Some(choice) = &call.choice {
            let outcome = Outcome::Answered { latency_us: now_us - call.sent_us };
            self.nodes[call.node].targets.finish(UnixMs(now_us / 1_000), choice, outcome);
        }
        self.start_calls(now_us, target);
    }

    fn row(mut self) -> ChoiceRow {
        self.latencies_us.sort_unstable();
        let percentile = |percent: usize| {
            let index = self.latencies_us.len() * percent / 100;
            self.latencies_us.get(index).copied().unwrap_or(0)
        };
        let regular = &self.targets[self.scenario.down + self.scenario.slow..];
        let most = regular.iter().map(|target| target.calls).max().unwrap_or(0);
        let mean =
            regular.iter().map(|target| target.calls).sum::<u64>() / regular.len().max(1) as u64;
        ChoiceRow {
            attempts_percent: self.attempts * 100 / u64::from(self.scenario.calls),
            chooser: self.chooser,
            failed: self.failed,
            p50_us: percentile(50),
            p99_us: percentile(99),
            spread_percent: most * 100 / mean.max(1),
        }
    }
}

/// Simulates a scenario with one way of choosing targets.
pub fn run_choice(scenario: Scenario, chooser: Chooser, seed: u64) -> ChoiceRow {
    RoutingSim::open(scenario, chooser, seed).run()
}

/// Result of one overload simulation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OverloadRow {
    /// Lookups answered in time, in percent of all requests that the node can serve.
    pub lookup_goodput_percent: u64,
    /// Lookups answered in time, in percent of the lookups offered.
    pub lookups_in_time_percent: u64,
    /// Offered load, in percent of the node's capacity.
    pub offered_percent: u64,
    /// Number of refused requests of all classes.
    pub refused: u32,
    /// 99th percentile of the time from arrival to refusal, in milliseconds.
    pub refusal_p99_ms: u64,
    /// Whether admission control was on; otherwise a first-come, first-served queue was used.
    pub with_admission: bool,
}

/// Number of requests that a node serves concurrently in the overload simulations.
const SLOTS: u32 = 16;
/// Service time of a request, in milliseconds.
const REQUEST_MS: u64 = 10;
/// Time after which a caller gives up, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 500;
/// Duration of an overload, in milliseconds.
const OVERLOAD_MS: u64 = 20_000;

#[derive(Debug, Default)]
struct OverloadTally {
    in_time: u32,
    lookups: u32,
    refusals_ms: Vec<u64>,
}

/// Simulates a node that is offered `offered_percent` of its capacity: 30 % lookups, 20 % acts and
/// 50 % audits.
pub fn run_overload(offered_percent: u64, with_admission: bool, seed: u64) -> OverloadRow {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let limits = if with_admission {
        AdmissionLimits { in_flight_max: SLOTS, queue_max: 64 }
    } else {
        AdmissionLimits { in_flight_max: SLOTS, queue_max: u32::MAX }
    };
    let mut admission = Admission::new(limits);
    let mut tally = OverloadTally::default();
    let mut waiting: IndexMap<WaitId, (u64, CallClass)> = IndexMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, u64, bool)>> = BinaryHeap::new();
    let per_ms = f64::from(SLOTS) / REQUEST_MS as f64 * offered_percent as f64 / 100.0;
    for now_ms in 0..OVERLOAD_MS {
        let now = UnixMs(now_ms);
        while ends.peek().is_some_and(|Reverse((at, ..))| *at <= now_ms) {
            let Some(Reverse((_, arrived_ms, is_lookup))) = ends.pop() else { break };
            if is_lookup && now_ms - arrived_ms <= CALLER_TIMEOUT_MS {
                tally.in_time += 1;
            }
            let dequeued = admission.finish(now, "workspace", REQUEST_MS * 1_000);
            apply_dequeued(now_ms, dequeued, &mut waiting, &mut ends, &mut tally);
        }
        let arrivals = poisson(&mut rng, per_ms);
        for _ in 0..arrivals {
            let class = match rng.random_range(0..10) {
                0..3 => CallClass::Lookup,
                3..5 => CallClass::Act,
                _ => CallClass::Audit,
            };
            tally.lookups += u32::from(class == CallClass::Lookup);
            // The first-come, first-served queue ignores classes and deadlines.
            let (admission_class, deadline) = if with_admission {
                (class, now.plus(CALLER_TIMEOUT_MS))
            } else {
                (CallClass::Audit, UnixMs(u64::MAX))
            };
            let (admitted, dequeued) =
                admission.arrive(now, "workspace", admission_class, deadline);
            apply_dequeued(now_ms, dequeued, &mut waiting, &mut ends, &mut tally);
            match admitted {
                AdmissionDecision::Admitted => {
                    ends.push(Reverse((now_ms + REQUEST_MS, now_ms, class == CallClass::Lookup)));
                }
                AdmissionDecision::Refused(_) => tally.refusals_ms.push(0),
                AdmissionDecision::Queued(id) => {
                    waiting.insert(id, (now_ms, class));
                }
            }
        }
        let expired = admission.expire(now);
        apply_dequeued(now_ms, expired, &mut waiting, &mut ends, &mut tally);
    }
    overload_row(offered_percent, with_admission, tally)
}

fn apply_dequeued(
    now_ms: u64,
    dequeued: Dequeued,
    waiting: &mut IndexMap<WaitId, (u64, CallClass)>,
    ends: &mut BinaryHeap<Reverse<(u64, u64, bool)>>,
    tally: &mut OverloadTally,
) {
    for id in dequeued.admitted {
        if let Some((arrived_ms, class)) = waiting.swap_remove(&id) {
            ends.push(Reverse((now_ms + REQUEST_MS, arrived_ms, class == CallClass::Lookup)));
        }
    }
    for (id, _) in dequeued.refused {
        if let Some((arrived_ms, _)) = waiting.swap_remove(&id) {
            tally.refusals_ms.push(now_ms - arrived_ms);
        }
    }
}

fn overload_row(
    offered_percent: u64,
    with_admission: bool,
    mut tally: OverloadTally,
) -> OverloadRow {
    tally.refusals_ms.sort_unstable();
    let capacity = u64::from(SLOTS) * OVERLOAD_MS / REQUEST_MS;
    let p99 = tally.refusals_ms.get(tally.refusals_ms.len() * 99 / 100).copied().unwrap_or(0);
    OverloadRow {
        lookup_goodput_percent: u64::from(tally.in_time) * 100 / capacity,
        lookups_in_time_percent: u64::from(tally.in_time) * 100 / u64::from(tally.lookups.max(1)),
        offered_percent,
        refused: tally.refusals_ms.len() as u32,
        refusal_p99_ms: p99,
        with_admission,
    }
}

fn poisson(rng: &mut Pcg64Mcg, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// Nine targets and six nodes, the size of today's deployments.
const BASE_SCENARIO: Scenario = Scenario {
    calls: 60_000,
    down: 0,
    load_percent: 70,
    nodes: 6,
    protected: true,
    slow: 0,
    targets: 9,
};

/// Scenarios with their titles.
pub const SCENARIOS: [(&str, Scenario); 5] = [
    ("even targets, 70 % load", BASE_SCENARIO),
    ("a third four times slower, 70 % load", Scenario { slow: 3, ..BASE_SCENARIO }),
    ("a third dead, 70 % load, protected", Scenario { down: 3, ..BASE_SCENARIO }),
    (
        "a third dead, 70 % load, no budget and no ejection",
        Scenario { down: 3, protected: false, ..BASE_SCENARIO },
    ),
    (
        "320 nodes, 870 targets, a tenth four times slower, 70 % load",
        Scenario { calls: 1_200_000, nodes: 320, slow: 87, targets: 870, ..BASE_SCENARIO },
    ),
];
