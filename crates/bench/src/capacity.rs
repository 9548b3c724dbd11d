//! Capacity benchmark: resource use of each role by size, as lines fitted to measurements of the
//! production types.
//!
//! Counted figures are the same on every machine: state in allocated bytes, messages in encoded
//! bytes, propagation in virtual time. They are in `docs/capacity-node.md`, and a test compares that
//! page with the output of this command. Processor time differs between machines, so it is reported
//! relative to a reference operation measured in the same run, is left out with `--counted`, and no
//! test compares it.

use crate::fleet::VirtualFleet;
use crate::slope::Slope;
use catkinmast_config::CallClass;
use catkinmast_member::{
    ConfigFact, Fact, FactTable, Membership, MembershipSettings, Message, NodeFact, NodeState,
    TargetFact, TargetFactSource,
};
use catkinmast_model::{
    Fence, Incarnation, InstanceKind, InstanceState, Labels, Name, Revision, SampleId, Segments,
    UnixMs, Version,
};
use catkinmast_rollout::{
    Attempt, Command, Effect, EngineInfo, Event, Finished, GroupSpec, Ledger, NodeInfo,
    OrderSettings, Registration, Rollout, ScheduleSettings, StepSpec,
};
use catkinmast_route::{
    Admission, AdmissionLimits, Outcome, RecordedAnswer, TargetBalancer, TargetSettings, Ticket,
    TicketDecision, TicketLimits, TicketTable,
};
use catkinmast_wire::{DATAGRAM_MAX_BYTES, SharedKey, open, seal};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region};
use std::net::SocketAddr;
use std::time::Instant;

/// Number of entry nodes in the users' deployments.
pub const NODES: f64 = 320.0;
/// Number of workers in the users' deployments.
pub const WORKERS: f64 = 870.0;
/// Number of samples in a step in the users' deployments.
pub const STEP_SAMPLES: f64 = 2_048.0;
/// Fleet sizes at which messages are counted.
const FLEET_SIZES: [usize; 4] = [8, 32, 128, 320];
/// Numbers of workers at which state is counted.
const WORKER_SIZES: [usize; 4] = [100, 300, 600, 870];
/// Numbers of samples at which a step's state is counted.
const SAMPLE_SIZES: [usize; 4] = [256, 512, 1_024, 2_048];
/// Numbers of tickets at which a table is counted.
const TICKET_SIZES: [usize; 4] = [500, 1_000, 2_000, 4_000];

/// A figure that is the same on every machine, with its growth by size.
#[derive(Clone, Debug, Serialize)]
pub struct CountedFigure {
    /// Description of the figure, with its unit.
    pub figure: &'static str,
    /// Unit of size, such as node or sample.
    pub per: &'static str,
    /// Line fitted to the measurements.
    pub slope: Slope,
    /// Size for which the last column of the table is computed: that of the users' deployments.
    pub users_size: f64,
}

fn name(text: &str) -> Name {
    match text.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("generated name '{text}' is invalid: {error}"),
    }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 7_400))
}

fn node_fact(number: usize) -> NodeFact {
    NodeFact {
        capacity_millicores: 1_000,
        control: address(number),
        data_centre: name(&format!("data-centre-{}", number % 5)),
        has_data_folder: false,
        http: address(number),
        incarnation: Incarnation(1_796_000_000_000),
        name: name(&format!("entry-{number:04}")),
        refutation: 0,
        state: NodeState::Live,
    }
}

fn target_fact(number: usize) -> TargetFact {
    TargetFact {
        address: address(number),
        data_centre: name(&format!("data-centre-{}", number % 5)),
        incarnation: Incarnation(1),
        kind: InstanceKind::Engine,
        labels: Labels::default().with("app", "citation").with("rack", format!("r{}", number % 40)),
        name: name(&format!("worker-{number:04}")),
        source: TargetFactSource::List,
        state: InstanceState::Live,
    }
}

/// Returns the heap bytes that a value holds once constructed.
fn allocated_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let value = make();
    let change = region.change();
    drop(value);
    // `bytes_allocated` and `bytes_deallocated` already include reallocations.
    (change.bytes_allocated as i64 - change.bytes_deallocated as i64) as f64
}

fn slope_of(sizes: &[usize], value: impl Fn(usize) -> f64) -> Slope {
    Slope::fit(sizes.iter().map(|size| (*size as f64, value(*size))).collect())
}

fn fact_table_of(facts: impl Iterator<Item = Fact>) -> FactTable {
    let mut table = FactTable::default();
    for fact in facts {
        table.merge(fact, 3);
    }
    // No fact is pending any more, as in a fleet whose views have converged.
    while !table.take_pending(1_200, 3).is_empty() {}
    table
}

fn registration() -> Registration {
    Registration {
        batch_samples: 512,
        group_size: 8,
        idle_weight_percent: 50,
        staleness_bound_versions: 2,
    }
}

fn step_spec(samples: usize) -> StepSpec {
    let group = |number| GroupSpec { prompt: format!("prompt {number}") };
    StepSpec {
        deadline_unix_ms: UnixMs(u64::MAX),
        groups: (0..samples / 8).map(group).collect(),
        max_tokens: 1 << 20,
        seed: 1,
    }
}

/// Returns an owner that has completed its takeover, with one step of `samples` samples and engine
/// slots for all of them, and the effects of the last event.
fn owner_with_step(samples: usize) -> (Rollout, Vec<Effect>) {
    let (schedule, orders) = (ScheduleSettings::default(), OrderSettings::default());
    let (mut rollout, _) = Rollout::open("node:1", Fence(1), schedule, orders);
    let now = UnixMs(1);
    let engine = |number| EngineInfo {
        address: address(number),
        data_centre: name("data-centre-0"),
        name: name(&format!("worker-{number:04}")),
        slots: 16,
    };
    let node = |number: usize| NodeInfo {
        data_centre: name("data-centre-0"),
        leaving: false,
        name: name(&format!("entry-{number:04}")),
    };
    rollout.handle(now, Event::LedgerRead(None));
    rollout.handle(now, Event::LedgerWritten { version: 1 });
    rollout.handle(now, Event::Holdings(Vec::new()));
    rollout.handle(now, Event::Engines((0..samples / 16).map(engine).collect()));
    rollout.handle(now, Event::Nodes((0..NODES as usize).map(node).collect()));
    let register = Command::Register(registration());
    rollout.handle(now, Event::Command { command: register, reply_to: 1 });
    rollout.handle(now, Event::LedgerWritten { version: 2 });
    let submit = Command::Submit { step: 1, spec: step_spec(samples) };
    rollout.handle(now, Event::Command { command: submit, reply_to: 2 });
    rollout.handle(now, Event::StepStored { step: 1, stored: true });
    let effects = rollout.handle(now, Event::LedgerWritten { version: 3 });
    (rollout, effects)
}

fn finished(tokens: u32) -> Finished {
    let mut segments = Segments::default();
    segments.push(Version(1), tokens / 2);
    segments.push(Version(2), tokens - tokens / 2);
    Finished { holders: vec![name("entry-0001"), name("entry-0002")], score_millis: 500, segments }
}

/// Returns an owner whose samples are all complete and copied, and the ledger that binds the first
/// batches.
fn finished_owner(samples: usize) -> (Rollout, Option<Ledger>) {
    let (mut rollout, effects) = owner_with_step(samples);
    let mut ledger = None;
    for effect in effects {
        let Effect::Run(order) = effect else { continue };
        let (attempt, sample) = (order.attempt, order.sample);
        let safe = Event::RunSafe { attempt, finished: finished(1_000), sample };
        for effect in rollout.handle(UnixMs(2), safe) {
            if let Effect::WriteLedger { ledger: written, .. } = effect {
                ledger = Some(*written);
            }
        }
    }
    (rollout, ledger)
}

fn ledger_bytes(samples: usize) -> f64 {
    let (mut rollout, _) = finished_owner(samples);
    let mut largest = 0;
    for version in 4..12 {
        for effect in rollout.handle(UnixMs(3), Event::LedgerWritten { version }) {
            if let Effect::WriteLedger { ledger, .. } = effect {
                largest = largest.max(serde_json::to_vec(&*ledger).map_or(0, |text| text.len()));
            }
        }
    }
    largest as f64
}

fn ticket(number: usize) -> Ticket {
    Ticket {
        expires_at: UnixMs(300_000),
        incarnation: Incarnation(1_796_000_000_000),
        node: name("entry-0001"),
        nonce: format!("{number:016}"),
    }
}

fn ticket_table(tickets: usize) -> TicketTable {
    let limits =
        TicketLimits { answers_max_bytes: 64 << 20, retention_ms: 600_000, tickets_max: 100_000 };
    let mut table = TicketTable::new(limits);
    for number in 0..tickets {
        let ticket = ticket(number);
        if table.begin(UnixMs(0), &ticket) == TicketDecision::Run {
            let body = Some(vec![0; 200]);
            let content_type = Some("application/json".to_owned());
            table.record_answer(&ticket, RecordedAnswer { body, content_type, status: 200 });
        }
    }
    table
}

/// Returns the bytes per second that a node sends and receives while nothing changes.
fn idle_bytes_per_s(nodes: usize) -> f64 {
    let mut fleet = VirtualFleet::open(nodes, 1, 0);
    fleet.run_until(UnixMs(40_000));
    let before = fleet.traffic();
    fleet.run_until(fleet.now().plus(30_000));
    (fleet.traffic().bytes - before.bytes) as f64 / 30.0 / nodes as f64
}

/// Measures the propagation of a new configuration revision. Returns the time in milliseconds until
/// all nodes know it, and the bytes per node beyond the traffic without changes.
fn measure_propagation(nodes: usize, seed: u64, loss_percent: u32) -> (f64, f64) {
    let mut fleet = VirtualFleet::open(nodes, seed, loss_percent);
    fleet.run_until(UnixMs(40_000));
    let idle_before = fleet.traffic();
    fleet.run_until(fleet.now().plus(10_000));
    let idle_bytes = fleet.traffic().bytes - idle_before.bytes;
    let fact =
        Fact::Config(ConfigFact { digest: format!("{seed:032x}"), revision: Revision(seed) });
    let before = fleet.traffic();
    let started = fleet.now();
    fleet.observe(1, fact.clone());
    let known = fleet.run_until_holds(started.plus(60_000), |fleet| fleet.all_know(&fact));
    fleet.run_until(started.plus(10_000));
    let bytes = (fleet.traffic().bytes - before.bytes).saturating_sub(idle_bytes);
    let took_ms = known.map_or(f64::INFINITY, |at| at.since_ms(started) as f64);
    (took_ms, bytes as f64 / nodes as f64)
}

/// Measures the simultaneous failure of `failed` nodes. Returns the time in milliseconds until all
/// others agree, and the mean bytes per second of the busiest node until then.
fn measure_node_loss(nodes: usize, failed: usize) -> (f64, f64) {
    let mut fleet = VirtualFleet::open(nodes, 1, 0);
    fleet.run_until(UnixMs(40_000));
    let before = fleet.traffic();
    let started = fleet.now();
    // Every fifth node is in the same data centre.
    (0..failed).for_each(|number| fleet.kill(number * 5 + 1));
    let agreed = fleet.run_until_holds(started.plus(120_000), VirtualFleet::all_agree);
    let took_ms = agreed.map_or(f64::INFINITY, |at| at.since_ms(started) as f64);
    let busiest = fleet.traffic().busiest_node_bytes - before.busiest_node_bytes;
    (took_ms, busiest as f64 * 1_000.0 / took_ms.max(1.0))
}

/// Fits a line over the binary logarithm of the fleet's size: each gossip round about doubles the
/// number of nodes that know an update.
fn fit_over_log2(points: &[(usize, f64)]) -> Slope {
    Slope::fit(points.iter().map(|(nodes, value)| ((*nodes as f64).log2(), *value)).collect())
}

/// Returns all figures that are the same on every machine.
pub fn count_figures() -> Vec<CountedFigure> {
    let mut rows = count_messages();
    rows.extend(count_state());
    rows
}

fn count_messages() -> Vec<CountedFigure> {
    let idle: Vec<(usize, f64)> =
        FLEET_SIZES.map(|nodes| (nodes, idle_bytes_per_s(nodes))).to_vec();
    let worst = |nodes: usize| {
        let runs = (1..=3).map(|seed| measure_propagation(nodes, seed, 1));
        runs.fold((0.0_f64, 0.0_f64), |(took, bytes), run| (took.max(run.0), bytes.max(run.1)))
    };
    let propagations = FLEET_SIZES.map(|nodes| (nodes, worst(nodes)));
    let losses: Vec<(usize, (f64, f64))> = FLEET_SIZES[1..]
        .iter()
        .map(|nodes| (*nodes, measure_node_loss(*nodes, nodes / 5)))
        .collect();
    let first = |runs: &[(usize, (f64, f64))]| -> Vec<(usize, f64)> {
        runs.iter().map(|(nodes, (first, _))| (*nodes, *first)).collect()
    };
    let second = |runs: &[(usize, (f64, f64))]| -> Vec<(usize, f64)> {
        runs.iter().map(|(nodes, (_, second))| (*nodes, *second)).collect()
    };
    let row = |figure, points: &[(usize, f64)]| CountedFigure {
        figure,
        per: "log2 node",
        slope: fit_over_log2(points),
        users_size: NODES.log2(),
    };
    vec![
        row("calm control traffic, bytes/s sent and received by a node", &idle),
        row("a changed fact, bytes sent and received by a node (1 % loss)", &second(&propagations)),
        row("a changed fact known to all, ms (1 % loss, worst of 3 seeds)", &first(&propagations)),
        row("a data centre dies: until all others agree, ms", &first(&losses)),
        row("a data centre dies: bytes/s of the busiest node meanwhile", &second(&losses)),
    ]
}

fn count_state() -> Vec<CountedFigure> {
    let row = |figure, per, slope, users_size| CountedFigure { figure, per, slope, users_size };
    vec![
        row(
            "facts about nodes, bytes of state",
            "node",
            slope_of(&FLEET_SIZES, |nodes| {
                allocated_bytes(|| fact_table_of((0..nodes).map(|n| Fact::Node(node_fact(n)))))
            }),
            NODES,
        ),
        row(
            "facts about workers, bytes of state",
            "worker",
            slope_of(&WORKER_SIZES, |workers| {
                allocated_bytes(|| {
                    fact_table_of((0..workers).map(|n| Fact::Target(target_fact(n))))
                })
            }),
            WORKERS,
        ),
        row(
            "a copy of the workers' facts for traffic threads, bytes of state",
            "worker",
            slope_of(&WORKER_SIZES, |workers| {
                allocated_bytes(|| (0..workers).map(target_fact).collect::<Vec<_>>())
            }),
            WORKERS,
        ),
        row(
            "answers kept for tickets (200 bytes each), bytes of state",
            "ticket",
            slope_of(&TICKET_SIZES, |tickets| allocated_bytes(|| ticket_table(tickets))),
            4_000.0,
        ),
        row(
            "a step at its owner, all running, bytes of state",
            "sample",
            slope_of(&SAMPLE_SIZES, |samples| allocated_bytes(|| owner_with_step(samples).0)),
            STEP_SAMPLES,
        ),
        row(
            "a step at its owner, all safe, bytes of state",
            "sample",
            slope_of(&SAMPLE_SIZES, |samples| allocated_bytes(|| finished_owner(samples).0)),
            STEP_SAMPLES,
        ),
        row(
            "the ledger with four bound batches, bytes of its value",
            "sample",
            slope_of(&SAMPLE_SIZES, ledger_bytes),
            STEP_SAMPLES,
        ),
    ]
}

/// Processor time of one event, with a reference operation measured in the same run.
#[derive(Clone, Debug, Serialize)]
pub struct TimedEvent {
    /// Description of the event.
    pub event: &'static str,
    /// Nanoseconds per event on this machine.
    pub nanoseconds: f64,
    /// Time in units of the reference operation, one BLAKE3 hash of 1 KiB.
    pub references: f64,
}

fn nanoseconds(times: u32, mut run: impl FnMut(u32)) -> f64 {
    // The best of five rounds, to leave out interference by other processes.
    let round = |run: &mut dyn FnMut(u32)| {
        let started = Instant::now();
        (0..times).for_each(&mut *run);
        started.elapsed().as_nanos() as f64 / f64::from(times)
    };
    (0..5).map(|_| round(&mut run)).fold(f64::INFINITY, f64::min)
}

/// Measures the processor time of the events that a node handles.
pub fn time_events() -> Vec<TimedEvent> {
    let block = [7_u8; 1_024];
    let reference = nanoseconds(2_000, |_| {
        std::hint::black_box(blake3::hash(&block));
    });
    let mut rows = Vec::new();
    let mut add = |event, nanoseconds: f64| {
        rows.push(TimedEvent { event, nanoseconds, references: nanoseconds / reference });
    };
    add("reference: BLAKE3 of 1 KiB", reference);
    time_membership(&mut add);
    time_requests(&mut add);
    time_steps(&mut add);
    rows
}

fn time_membership(add: &mut impl FnMut(&'static str, f64)) {
    let key = SharedKey::derive("a key of the benchmark");
    let facts: Vec<Fact> = (0..4).map(|number| Fact::Node(node_fact(number))).collect();
    let message = Message::Ping { digest: 1, facts, sequence: 1 };
    add(
        "frame sealed and opened, a probe with 4 facts",
        nanoseconds(2_000, |_| {
            let frame = seal(&key, &message, DATAGRAM_MAX_BYTES).unwrap_or_default();
            let opened = open::<Message>(&key, &frame, DATAGRAM_MAX_BYTES);
            assert!(opened.is_ok(), "a frame sealed with the same key must open");
        }),
    );
    let rng = Pcg64Mcg::seed_from_u64(1);
    let settings = MembershipSettings::default();
    let mut view = Membership::new(node_fact(0), Vec::new(), settings, rng);
    for number in 0..NODES as usize {
        view.observe(UnixMs(0), Fact::Node(node_fact(number)));
    }
    for number in 0..WORKERS as usize {
        view.observe(UnixMs(0), Fact::Target(target_fact(number)));
    }
    let mut now = 0;
    // Lets the view send all pending facts, so that the timing covers the steady state.
    for _ in 0..2_000 {
        now += 50;
        view.tick(UnixMs(now));
    }
    add(
        "tick of the membership, 320 nodes and 870 workers",
        nanoseconds(2_000, |_| {
            now += 50;
            std::hint::black_box(view.tick(UnixMs(now)));
        }),
    );
    let digest = view.facts().digest();
    add(
        "probe received and answered",
        nanoseconds(2_000, |sequence| {
            let facts = vec![Fact::Node(node_fact(3))];
            let message = Message::Ping { digest, facts, sequence: u64::from(sequence) };
            std::hint::black_box(view.receive(UnixMs(now), address(3), message));
        }),
    );
}

fn time_requests(add: &mut impl FnMut(&'static str, f64)) {
    let limits = AdmissionLimits { in_flight_max: 512, queue_max: 256 };
    let mut admission = Admission::new(limits);
    add(
        "request admitted and finished",
        nanoseconds(5_000, |number| {
            let now = UnixMs(u64::from(number));
            let deadline = now.plus(2_000);
            std::hint::black_box(admission.arrive(now, "workspace", CallClass::Lookup, deadline));
            admission.finish(now, "workspace", 2_000);
        }),
    );
    let mut targets = TargetBalancer::new(TargetSettings::default());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let names: Vec<Name> = (0..20).map(|number| name(&format!("worker-{number:04}"))).collect();
    add(
        "target chosen of 20, and its call finished",
        nanoseconds(5_000, |number| {
            let now = UnixMs(u64::from(number));
            if let Some(choice) = targets.pick(now, &names, 64, &mut rng) {
                targets.finish(now, &choice, Outcome::Answered { latency_us: 900 });
            }
        }),
    );
    let mut table = ticket_table(0);
    let mut number = 0;
    add(
        "ticket begun and answered",
        nanoseconds(5_000, |_| {
            number += 1;
            let ticket = ticket(number);
            std::hint::black_box(table.begin(UnixMs(0), &ticket));
            let answer = RecordedAnswer { body: None, content_type: None, status: 200 };
            table.record_answer(&ticket, answer);
        }),
    );
}

fn time_steps(add: &mut impl FnMut(&'static str, f64)) {
    let (mut rollout, effects) = owner_with_step(STEP_SAMPLES as usize);
    let orders: Vec<(SampleId, Attempt)> = effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Run(order) => Some((order.sample, order.attempt)),
            _ => None,
        })
        .collect();
    let mut segments = Segments::default();
    segments.push(Version(0), 1);
    add(
        "progress of a run, 2,048 samples in the step",
        nanoseconds(1_000, |number| {
            let (sample, attempt) = orders[number as usize % orders.len()];
            let event = Event::RunProgress { attempt, sample, segments: segments.clone() };
            std::hint::black_box(rollout.handle(UnixMs(5), event));
        }),
    );
    add(
        "tick of a step's owner, 2,048 samples",
        nanoseconds(200, |number| {
            std::hint::black_box(rollout.handle(UnixMs(10 + u64::from(number)), Event::Tick));
        }),
    );
    let mut next = 0;
    add(
        "sample safe, 2,048 samples in the step",
        nanoseconds(100, |_| {
            let (sample, attempt) = orders[next % orders.len()];
            next += 1;
            let event = Event::RunSafe { attempt, finished: finished(1_000), sample };
            std::hint::black_box(rollout.handle(UnixMs(5), event));
        }),
    );
}

/// Formats the counted figures as a Markdown table.
pub fn markdown_table(rows: &[CountedFigure]) -> String {
    let heading = "| counted | measured at growing sizes | slope | error | at the users' size |";
    let mut lines = vec![heading.to_owned(), "| --- | --- | ---: | ---: | ---: |".to_owned()];
    for row in rows {
        let slope = &row.slope;
        let points: Vec<String> = slope.points.iter().map(|(_, y)| format!("{y:.0}")).collect();
        lines.push(format!(
            "| {} | {} | {:.1} / {} | {:.0} % | {:.0} |",
            row.figure,
            points.join(", "),
            slope.per_unit,
            row.per,
            slope.error_percent,
            slope.at(row.users_size)
        ));
    }
    lines.join("\n") + "\n"
}
