//! The routing benchmark: choice of target, retries to a dead third, overload.
//!
//! Small queues in virtual time around the real `TargetBalancer`, `RetryBudget` and `Admission`. Targets
//! serve a few calls at once and queue the rest, some are slower than others, and arrivals are
//! random with a fixed seed.

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

/// Calls that a target serves at once.
const SERVERS: usize = 4;
/// Mean time of a call at a usual target, in microseconds.
const SERVICE_US: f64 = 8_000.0;
/// How many targets a node uses; see `catkinmast-node`.
const SUBSET: usize = 20;
/// How old a load report is, for the baseline that chooses by reports.
const REPORT_LAG_US: u64 = 500_000;

/// How targets are chosen in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Chooser {
    /// The one whose report, half a second old, shows the least load.
    LaggingReport,
    /// The fewest calls in flight, weighted by latency, over the node's subset (ships).
    Least,
    /// One after the other.
    RoundRobin,
    /// The better of two random ones by calls in flight and latency.
    TwoChoices,
}

/// One row of the table of choices.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChoiceRow {
    /// Sendings for each call, in hundredths.
    pub attempts_percent: u64,
    /// How targets were chosen.
    pub chooser: Chooser,
    /// Calls that failed for their caller.
    pub failed: u32,
    /// Half of the calls took no longer, in microseconds.
    pub p50_us: u64,
    /// 99 of 100 calls took no longer.
    pub p99_us: u64,
    /// Calls of the busiest target among the usual ones, in percent of their mean.
    pub spread_percent: u64,
}

/// What targets are like in a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// How many calls are made.
    pub calls: u32,
    /// Targets that refuse every connection.
    pub dead: usize,
    /// Load, in percent of what all live targets can do.
    pub load_percent: u64,
    /// Entry nodes that choose, each from what it sees itself.
    pub nodes: usize,
    /// Whether retries are bounded and targets ejected.
    pub protected: bool,
    /// Targets that take four times as long.
    pub slow: usize,
    /// Targets of the service.
    pub targets: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Happening {
    Arrive,
    Served { target: usize },
}

#[derive(Clone, Debug)]
struct Call {
    began_us: u64,
    choice: Option<Choice>,
    node: usize,
    sent_us: u64,
}

#[derive(Debug, Default)]
struct TargetSim {
    calls: u64,
    queue: VecDeque<Call>,
    reported: u64,
    serving: VecDeque<(u64, Call)>,
}

struct NodeSim {
    budget: RetryBudget,
    candidates: Vec<Name>,
    targets: TargetBalancer,
}

struct Run {
    attempts: u64,
    chooser: Chooser,
    failed: u32,
    latencies_us: Vec<u64>,
    names: Vec<Name>,
    nodes: Vec<NodeSim>,
    queue: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    order: u64,
    report_at_us: u64,
    rng: Pcg64Mcg,
    scene: Scenario,
    targets: Vec<TargetSim>,
    turn: usize,
}

fn target_name(number: usize) -> Name {
    match format!("target-{number}").parse() {
        Ok(name) => name,
        Err(error) => unreachable!("'target-{number}' is a name: {error}"),
    }
}

fn exponential_us(rng: &mut Pcg64Mcg, mean_us: f64) -> u64 {
    let draw: f64 = rng.random_range(1e-9..1.0);
    (-draw.ln() * mean_us) as u64 + 1
}

impl Run {
    fn open(scene: Scenario, chooser: Chooser, seed: u64) -> Self {
        let names: Vec<Name> = (0..scene.targets).map(target_name).collect();
        let policy = match chooser {
            Chooser::Least => PickPolicy::LeastInFlight,
            Chooser::RoundRobin | Chooser::LaggingReport => PickPolicy::RoundRobin,
            Chooser::TwoChoices => PickPolicy::TwoChoices,
        };
        let ejected_max_percent = if scene.protected { 50 } else { 0 };
        let settings = TargetSettings { ejected_max_percent, policy, ..TargetSettings::default() };
        let node = |number: usize| NodeSim {
            budget: RetryBudget::open(if scene.protected { 10 } else { 100_000 }),
            candidates: stable_subset(&target_name(1_000 + number), &names, SUBSET),
            targets: TargetBalancer::open(settings),
        };
        Self {
            attempts: 0,
            chooser,
            failed: 0,
            latencies_us: Vec::new(),
            nodes: (0..scene.nodes).map(node).collect(),
            names,
            queue: BinaryHeap::new(),
            order: 0,
            report_at_us: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            scene,
            targets: (0..scene.targets).map(|_| TargetSim::default()).collect(),
            turn: 0,
        }
    }

    fn at(&mut self, at_us: u64, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((at_us, self.order, happening)));
    }

    fn speed(&self, target: usize) -> f64 {
        if target >= self.scene.dead && target < self.scene.dead + self.scene.slow {
            4.0
        } else {
            1.0
        }
    }

    /// Calls a second that all live targets can serve.
    fn capacity(&self) -> f64 {
        let live = self.scene.dead..self.scene.targets;
        live.map(|target| SERVERS as f64 * 1e6 / (SERVICE_US * self.speed(target))).sum()
    }

    fn run(mut self) -> ChoiceRow {
        let rate = self.capacity() * self.scene.load_percent as f64 / 100.0;
        let mut made = 0;
        self.at(0, Happening::Arrive);
        while let Some(Reverse((now_us, _, happening))) = self.queue.pop() {
            self.report(now_us);
            match happening {
                Happening::Arrive => {
                    made += 1;
                    self.arrive(now_us);
                    if made < self.scene.calls {
                        let next = now_us + exponential_us(&mut self.rng, 1e6 / rate);
                        self.at(next, Happening::Arrive);
                    }
                }
                Happening::Served { target } => self.served(now_us, target),
            }
        }
        self.row()
    }

    fn report(&mut self, now_us: u64) {
        if now_us >= self.report_at_us {
            self.report_at_us = now_us + REPORT_LAG_US;
            for target in &mut self.targets {
                target.reported = (target.serving.len() + target.queue.len()) as u64;
            }
        }
    }

    fn arrive(&mut self, now_us: u64) {
        let node = self.rng.random_range(0..self.scene.nodes);
        self.nodes[node].budget.first_attempt();
        self.send(now_us, now_us, node, &mut Vec::new());
    }

    fn send(&mut self, now_us: u64, began_us: u64, node: usize, tried: &mut Vec<Name>) {
        let Some((target, choice)) = self.choose(now_us, node, tried) else {
            self.failed += 1;
            return;
        };
        self.attempts += 1;
        if target < self.scene.dead {
            let name = self.names[target].clone();
            tried.push(name);
            let NodeSim { budget, targets, .. } = &mut self.nodes[node];
            if let Some(choice) = &choice {
                targets.finish(UnixMs(now_us / 1_000), choice, Outcome::Failed);
            }
            if tried.len() < 3 && budget.take_retry() {
                return self.send(now_us, began_us, node, tried);
            }
            self.failed += 1;
            return;
        }
        let call = Call { began_us, choice, node, sent_us: now_us };
        self.targets[target].calls += 1;
        self.targets[target].queue.push_back(call);
        self.serve(now_us, target);
    }

    fn choose(
        &mut self,
        now_us: u64,
        node: usize,
        tried: &[Name],
    ) -> Option<(usize, Option<Choice>)> {
        if self.chooser == Chooser::LaggingReport {
            // Equal reports are taken in turn, else all would go to the first.
            self.turn += 1;
            let turn = self.turn;
            let untried =
                (0..self.scene.targets).filter(|target| !tried.contains(&self.names[*target]));
            let least = untried.min_by_key(|target| {
                (self.targets[*target].reported, (target + turn) % self.scene.targets)
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

    fn serve(&mut self, now_us: u64, target: usize) {
        while self.targets[target].serving.len() < SERVERS {
            let Some(call) = self.targets[target].queue.pop_front() else { return };
            let mean_us = SERVICE_US * self.speed(target);
            let done_us = now_us + exponential_us(&mut self.rng, mean_us);
            self.targets[target].serving.push_back((done_us, call));
            self.at(done_us, Happening::Served { target });
        }
    }

    fn served(&mut self, now_us: u64, target: usize) {
        let serving = &mut self.targets[target].serving;
        let Some(place) = serving.iter().position(|(done_us, _)| *done_us == now_us) else {
            return;
        };
        let Some((_, call)) = serving.remove(place) else { return };
        self.latencies_us.push(now_us - call.began_us);
        if let Some(choice) = &call.choice {
            let outcome = Outcome::Answered { latency_us: now_us - call.sent_us };
            self.nodes[call.node].targets.finish(UnixMs(now_us / 1_000), choice, outcome);
        }
        self.serve(now_us, target);
    }

    fn row(mut self) -> ChoiceRow {
        self.latencies_us.sort_unstable();
        let at = |percent: usize| {
            let place = self.latencies_us.len() * percent / 100;
            self.latencies_us.get(place).copied().unwrap_or(0)
        };
        let usual = &self.targets[self.scene.dead + self.scene.slow..];
        let most = usual.iter().map(|target| target.calls).max().unwrap_or(0);
        let mean = usual.iter().map(|target| target.calls).sum::<u64>() / usual.len().max(1) as u64;
        ChoiceRow {
            attempts_percent: self.attempts * 100 / u64::from(self.scene.calls),
            chooser: self.chooser,
            failed: self.failed,
            p50_us: at(50),
            p99_us: at(99),
            spread_percent: most * 100 / mean.max(1),
        }
    }
}

/// Runs one way of choosing through a scene.
pub fn run_choice(scene: Scenario, chooser: Chooser, seed: u64) -> ChoiceRow {
    Run::open(scene, chooser, seed).run()
}

/// One row of the table of overload.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OverloadRow {
    /// Lookups answered in time, in percent of what the node could serve in all.
    pub lookup_goodput_percent: u64,
    /// Lookups answered in time, in percent of those offered.
    pub lookups_in_time_percent: u64,
    /// How much of what was offered the node was to serve, in percent of its capacity.
    pub offered_percent: u64,
    /// Requests of all classes refused.
    pub refused: u32,
    /// 99 of 100 refusals came no later after arrival, in milliseconds.
    pub refusal_p99_ms: u64,
    /// Whether admission decided, or a plain queue of first come, first served.
    pub with_admission: bool,
}

/// Requests that a node serves at once in the overload runs.
const PLACES: u32 = 16;
/// Time of each, in milliseconds.
const PLACE_MS: u64 = 10;
/// Time that a caller waits, in milliseconds.
const PATIENCE_MS: u64 = 500;
/// How long an overload lasts, in milliseconds.
const OVERLOAD_MS: u64 = 20_000;

#[derive(Debug, Default)]
struct Overload {
    in_time: u32,
    lookups: u32,
    refusals_ms: Vec<u64>,
}

/// Offers a node `offered_percent` of its capacity: 30 % lookups, 20 % acts, 50 % audits.
pub fn run_overload(offered_percent: u64, with_admission: bool, seed: u64) -> OverloadRow {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let limits = if with_admission {
        AdmissionLimits { in_flight_max: PLACES, queue_max: 64 }
    } else {
        AdmissionLimits { in_flight_max: PLACES, queue_max: u32::MAX }
    };
    let mut admission = Admission::open(limits);
    let mut tally = Overload::default();
    let mut waiting: IndexMap<WaitId, (u64, CallClass)> = IndexMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, u64, bool)>> = BinaryHeap::new();
    let per_ms = f64::from(PLACES) / PLACE_MS as f64 * offered_percent as f64 / 100.0;
    for now_ms in 0..OVERLOAD_MS {
        let now = UnixMs(now_ms);
        while ends.peek().is_some_and(|Reverse((at, ..))| *at <= now_ms) {
            let Some(Reverse((_, began_ms, is_lookup))) = ends.pop() else { break };
            if is_lookup && now_ms - began_ms <= PATIENCE_MS {
                tally.in_time += 1;
            }
            let dequeued = admission.finish(now, "workspace", PLACE_MS * 1_000);
            release(now_ms, dequeued, &mut waiting, &mut ends, &mut tally);
        }
        let arrivals = poisson(&mut rng, per_ms);
        for _ in 0..arrivals {
            // The plain queue knows neither classes nor deadlines.
            let class = match rng.random_range(0..10) {
                0..3 => CallClass::Lookup,
                3..5 => CallClass::Act,
                _ => CallClass::Audit,
            };
            tally.lookups += u32::from(class == CallClass::Lookup);
            let (ranked, deadline) = if with_admission {
                (class, now.plus(PATIENCE_MS))
            } else {
                (CallClass::Audit, UnixMs(u64::MAX))
            };
            let (admitted, dequeued) = admission.arrive(now, "workspace", ranked, deadline);
            release(now_ms, dequeued, &mut waiting, &mut ends, &mut tally);
            match admitted {
                AdmissionDecision::Admitted => {
                    ends.push(Reverse((now_ms + PLACE_MS, now_ms, class == CallClass::Lookup)));
                }
                AdmissionDecision::Refused(_) => tally.refusals_ms.push(0),
                AdmissionDecision::Queued(id) => {
                    waiting.insert(id, (now_ms, class));
                }
            }
        }
        let expired = admission.expire(now);
        release(now_ms, expired, &mut waiting, &mut ends, &mut tally);
    }
    overload_row(offered_percent, with_admission, tally)
}

fn release(
    now_ms: u64,
    dequeued: Dequeued,
    waiting: &mut IndexMap<WaitId, (u64, CallClass)>,
    ends: &mut BinaryHeap<Reverse<(u64, u64, bool)>>,
    seen: &mut Overload,
) {
    for id in dequeued.admitted {
        if let Some((began_ms, class)) = waiting.swap_remove(&id) {
            ends.push(Reverse((now_ms + PLACE_MS, began_ms, class == CallClass::Lookup)));
        }
    }
    for (id, _) in dequeued.refused {
        if let Some((began_ms, _)) = waiting.swap_remove(&id) {
            seen.refusals_ms.push(now_ms - began_ms);
        }
    }
}

fn overload_row(offered_percent: u64, with_admission: bool, mut seen: Overload) -> OverloadRow {
    seen.refusals_ms.sort_unstable();
    let capacity = u64::from(PLACES) * OVERLOAD_MS / PLACE_MS;
    let p99 = seen.refusals_ms.get(seen.refusals_ms.len() * 99 / 100).copied().unwrap_or(0);
    OverloadRow {
        lookup_goodput_percent: u64::from(seen.in_time) * 100 / capacity,
        lookups_in_time_percent: u64::from(seen.in_time) * 100 / u64::from(seen.lookups.max(1)),
        offered_percent,
        refused: seen.refusals_ms.len() as u32,
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

/// Nine targets before six nodes: the users' size of today.
const TODAY: Scenario = Scenario {
    calls: 60_000,
    dead: 0,
    load_percent: 70,
    nodes: 6,
    protected: true,
    slow: 0,
    targets: 9,
};

/// The scenes of the table of choices, with their names.
pub const SCENARIOS: [(&str, Scenario); 5] = [
    ("even targets, 70 % load", TODAY),
    ("a third four times slower, 70 % load", Scenario { slow: 3, ..TODAY }),
    ("a third dead, 70 % load, protected", Scenario { dead: 3, ..TODAY }),
    (
        "a third dead, 70 % load, no budget and no ejection",
        Scenario { dead: 3, protected: false, ..TODAY },
    ),
    (
        "320 nodes, 870 targets, a tenth four times slower, 70 % load",
        Scenario { calls: 1_200_000, nodes: 320, slow: 87, targets: 870, ..TODAY },
    ),
];
