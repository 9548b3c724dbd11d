//! Bursts of calls beyond what the plain targets can serve, and what their callers observe.
//!
//! During a burst one node is cut off from the store, one is paused, and one target loses or
//! withholds its answers.

use super::super::harness::{HANG_TIMEOUT, Node, Site, signal};
use super::super::proxy::Link;
use super::super::worker::{Behaviour, Worker};
use super::retry_after;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until, timeout};

/// Callers of a burst, each with one call at a time: at least twice what both targets hold.
const CALLERS: std::ops::Range<usize> = 50..100;
/// The time that a caller gives a call. A target that is not full answers in far less.
const DEADLINE_MS: std::ops::Range<u64> = 300..2_000;
/// How much later than its deadline a caller may be answered, because a busy machine runs the node
/// or the caller's task late. In 427 seeds beside other builds it was 268 ms once and else at most
/// 123 ms.
const LATE_MAX: Duration = Duration::from_millis(300);
/// One of this many calls is given up by its caller before it is answered.
const GIVEN_UP_ONE_IN: u32 = 8;
/// When a caller gives up: while its call waits in the node, is queued at a target or runs.
const GIVE_UP_AFTER_MS: std::ops::Range<u64> = 5..300;
/// The time within which work on a request stops after its caller has disconnected.
const STOPS_WITHIN: Duration = Duration::from_millis(500);
/// The time within which each node serves callers again after a burst and its faults.
const SERVED_AGAIN_WITHIN: Duration = Duration::from_secs(5);

/// The pauses of all nodes. A paused node cannot answer by a deadline.
#[derive(Default)]
pub(super) struct Pauses(RefCell<Vec<(usize, Instant, Instant)>>);

impl Pauses {
    /// Pauses a node for some time.
    pub(super) fn pause(&self, site: &Site, node: usize, lasts: Duration) {
        let now = Instant::now();
        self.0.borrow_mut().push((node, now, now + lasts));
        let pid = site.nodes[node].pid();
        signal(pid, "STOP");
        tokio::spawn(async move {
            sleep(lasts).await;
            signal(pid, "CONT");
        });
    }

    /// Returns whether a call's node was paused during the call or while the node still had to
    /// learn that its caller has disconnected.
    fn overlap(&self, call: &Call) -> bool {
        let end = call.ended_at + if call.was_given_up { STOPS_WITHIN } else { Duration::ZERO };
        self.0
            .borrow()
            .iter()
            .any(|(node, from, until)| *node == call.node && *from <= end && call.sent_at <= *until)
    }
}

/// Sets a node's link to the store, and opens it again after some time.
pub(super) fn set_store_link(node: &Node, link: Link, lasts: Duration) {
    node.store_link.set(link);
    let proxy = node.store_link.clone();
    tokio::spawn(async move {
        sleep(lasts).await;
        proxy.set(Link::Open);
    });
}

/// One call, as its caller observed it.
struct Call {
    body: Option<String>,
    deadline_ms: u64,
    ended_at: Instant,
    id: String,
    node: usize,
    path: &'static str,
    /// What the answer's `Retry-After` says.
    retry_after: Option<Duration>,
    sent_at: Instant,
    /// The answer's status; none if the connection failed or the caller gave up.
    status: Option<u16>,
    /// Whether its caller disconnected before it was answered.
    was_given_up: bool,
}

impl Call {
    /// Sends a call; its caller disconnects after `give_up_after`.
    async fn send(
        site: &Site,
        node: usize,
        path: &'static str,
        id: String,
        deadline_ms: u64,
        give_up_after: Duration,
    ) -> Self {
        let sent_at = Instant::now();
        let content = format!("question {id}");
        let answer = async {
            let node = &site.nodes[node];
            let answer = site.call_within(node, path, &id, &content, deadline_ms).await.ok()?;
            Some((answer.status().as_u16(), retry_after(&answer), answer.text().await.ok()))
        };
        let answer = timeout(give_up_after, answer).await;
        let was_given_up = answer.is_err();
        let answer = answer.ok().flatten();
        let status = answer.as_ref().map(|(status, ..)| *status);
        let (_, retry_after, body) = answer.unwrap_or_default();
        let ended_at = Instant::now();
        Self {
            body,
            deadline_ms,
            ended_at,
            id,
            node,
            path,
            retry_after,
            sent_at,
            status,
            was_given_up,
        }
    }

    /// Returns when to send a refused call again and how much time it has then, if `Retry-After`
    /// is at most a third of the time left.
    fn retry(&self) -> Option<(Duration, u64)> {
        let left = Duration::from_millis(self.deadline_ms).checked_sub(self.sent_at.elapsed())?;
        let pause =
            self.retry_after.filter(|pause| self.status == Some(503) && *pause <= left / 3)?;
        Some((pause, left.saturating_sub(pause).as_millis() as u64))
    }

    /// Returns how long after its deadline the call ended.
    fn late(&self) -> Duration {
        let deadline_at = self.sent_at + Duration::from_millis(self.deadline_ms);
        self.ended_at.saturating_duration_since(deadline_at)
    }
}

/// A burst of calls, by which the plain targets become full.
pub(super) struct Burst {
    /// Requests that the plain targets received and refused meanwhile, of all callers.
    arrivals: Cell<u64>,
    calls: RefCell<Vec<Call>>,
    lasts: Duration,
    /// Prefix of the ids of its calls.
    name: &'static str,
    refusals: Cell<u64>,
    seed: u64,
}

impl Burst {
    pub(super) const fn new(name: &'static str, lasts: Duration, seed: u64) -> Self {
        let calls = RefCell::new(Vec::new());
        Self { arrivals: Cell::new(0), calls, lasts, name, refusals: Cell::new(0), seed }
    }

    /// Plays the burst and its faults.
    pub(super) async fn play(&self, site: &Site, pauses: &Pauses) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let until = Instant::now() + self.lasts;
        let count = rng.random_range(CALLERS);
        let callers: Vec<_> = (0..count)
            .map(|number| {
                let name = format!("{}{number}", self.name);
                self.caller(site, name, StdRng::seed_from_u64(rng.random()), until)
            })
            .collect();
        let before = received(site);
        let faults = inject_faults(site, pauses, rng);
        futures::future::join(futures::future::join_all(callers), faults).await;
        let after = received(site);
        self.arrivals.set(after.0 - before.0);
        self.refusals.set(after.1 - before.1);
    }

    /// Sends calls of both kinds to random nodes, and refused ones once more to another node.
    async fn caller(&self, site: &Site, name: String, mut rng: StdRng, until: Instant) {
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let node = rng.random_range(0..site.nodes.len());
            let path = if rng.random() { "/lookup/a" } else { "/check/a" };
            let id = format!("{name}n{number}");
            let deadline_ms = rng.random_range(DEADLINE_MS);
            let give_up_after = if rng.random_ratio(1, GIVEN_UP_ONE_IN) {
                Duration::from_millis(rng.random_range(GIVE_UP_AFTER_MS))
            } else {
                HANG_TIMEOUT
            };
            let first = Call::send(site, node, path, id, deadline_ms, give_up_after).await;
            if let Some((pause, left_ms)) = first.retry() {
                sleep(pause).await;
                let other = (node + 1) % site.nodes.len();
                let id = format!("{}r", first.id);
                let again = Call::send(site, other, path, id, left_ms, HANG_TIMEOUT).await;
                self.calls.borrow_mut().push(again);
            }
            self.calls.borrow_mut().push(first);
            sleep(Duration::from_millis(rng.random_range(0..50))).await;
        }
    }

    /// Checks what callers observed against what ran. Called once nothing can run any more.
    pub(super) fn check(&self, site: &Site, pauses: &Pauses, seed: u64) {
        let mut runs: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
        for run in site.runs.all() {
            runs.entry(run.request).or_default().push(run.at);
        }
        let calls = self.calls.borrow();
        self.print_summary(&calls, &runs, pauses, seed);
        for call in calls.iter() {
            let starts = runs.get(&call.id).map(Vec::as_slice).unwrap_or_default();
            check_call(call, starts, pauses, seed);
        }
        let served = calls.iter().filter(|call| call.status == Some(200)).count();
        assert!(served > 0, "seed {seed}: no call of the burst {} was served", self.name);
    }

    fn print_summary(
        &self,
        calls: &[Call],
        runs: &BTreeMap<String, Vec<Instant>>,
        pauses: &Pauses,
        seed: u64,
    ) {
        let mut statuses: BTreeMap<Option<u16>, usize> = BTreeMap::new();
        for call in calls {
            *statuses.entry(call.status).or_default() += 1;
        }
        let ran: usize = calls.iter().filter_map(|call| runs.get(&call.id)).map(Vec::len).sum();
        let given_up = calls.iter().filter(|call| call.was_given_up).count();
        println!(
            "seed {seed} burst {}: {} calls, {given_up} given up, statuses {statuses:?}, {ran} \
             runs, {} arrivals, {} refusals",
            self.name,
            calls.len(),
            self.arrivals.get(),
            self.refusals.get()
        );
        let unpaused = calls.iter().filter(|call| !pauses.overlap(call));
        if let Some(call) = unpaused.max_by_key(|call| call.late()) {
            println!(
                "at most {:?} late: {} with {} ms, status {:?}, node {}",
                call.late(),
                call.id,
                call.deadline_ms,
                call.status,
                call.node
            );
        }
    }
}

/// Checks a call whose runs began at `starts`.
fn check_call(call: &Call, starts: &[Instant], pauses: &Pauses, seed: u64) {
    let id = &call.id;
    let (node, ran, status) = (call.node, starts.len(), call.status);
    assert!(
        matches!(status, None | Some(200 | 502 | 503 | 504)),
        "seed {seed}: {id} was answered {status:?} by node {node}: {:?}",
        call.body
    );
    if status == Some(503) {
        assert_eq!(ran, 0, "seed {seed}: {id} was refused by node {node} and ran");
    }
    if call.path == "/check/a" {
        assert!(ran <= 1, "seed {seed}: {id} ran {ran} times");
    }
    if status == Some(200) {
        assert!(ran >= 1, "seed {seed}: {id} was answered and did not run");
        let body = call.body.as_deref().unwrap_or_default();
        let is_whole = body.starts_with(&format!("{id} by plain-"));
        assert!(is_whole, "seed {seed}: {id} was answered {:?} by node {node}", call.body);
    }
    if call.was_given_up {
        let latest_at = call.ended_at + STOPS_WITHIN;
        let is_stopped = starts.iter().all(|at| *at <= latest_at);
        assert!(
            is_stopped || pauses.overlap(call),
            "seed {seed}: {id} ran long after its caller had disconnected from node {node}"
        );
    }
    let late = call.late();
    assert!(
        late <= LATE_MAX || pauses.overlap(call),
        "seed {seed}: {id} with {} ms got {status:?} {late:?} late from node {node}",
        call.deadline_ms
    );
}

/// Returns how many requests the plain targets have received, and how many they have refused.
fn received(site: &Site) -> (u64, u64) {
    let counts = site.plain.iter().map(Worker::counts);
    counts.fold((0, 0), |sum, counts| (sum.0 + counts.arrivals, sum.1 + counts.refusals))
}

/// Injects the faults of a burst.
async fn inject_faults(site: &Site, pauses: &Pauses, mut rng: StdRng) {
    let mut at = tokio::time::Instant::now();
    let cut_off = rng.random_range(0..site.nodes.len());
    for fault in 0..3 {
        at += Duration::from_millis(rng.random_range(50..500));
        let lasts = Duration::from_millis(rng.random_range(300..1_500));
        sleep_until(at).await;
        match fault {
            0 => {
                let link = Link::Silent { answers: true, requests: true };
                set_store_link(&site.nodes[cut_off], link, lasts);
            }
            // The node that is cut off, or another one.
            1 => {
                let node = (cut_off + rng.random_range(0..2)) % site.nodes.len();
                pauses.pause(site, node, lasts);
            }
            _ => {
                let target = &site.plain[rng.random_range(0..site.plain.len())];
                let behaviours = [Behaviour::LosesAnswers, Behaviour::WithholdsAnswers];
                target.set_behaviour_for(behaviours[rng.random_range(0..2)], lasts);
            }
        }
    }
}

/// Ends the faults of a burst, which may last longer than its calls.
pub(super) fn end_faults(site: &Site) {
    for node in &site.nodes {
        node.store_link.set(Link::Open);
        node.signal("CONT");
    }
    for target in &site.plain {
        target.set_behaviour(Behaviour::Normal);
    }
}

/// Checks that each node serves calls of both kinds again soon after a burst.
pub(super) async fn check_served_again(site: &Site, seed: u64) {
    let from = Instant::now();
    for (number, node) in site.nodes.iter().enumerate() {
        for path in ["/lookup/a", "/check/a"] {
            let mut attempt = 0;
            loop {
                attempt += 1;
                let id = format!("z{number}{path}{attempt}").replace('/', "-");
                let content = format!("question {id}");
                let answer = site.call_within(node, path, &id, &content, 1_000).await;
                if answer.as_ref().is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                assert!(
                    from.elapsed() < SERVED_AGAIN_WITHIN,
                    "seed {seed}: node {number} does not serve {path} after a burst: {answer:?}"
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}
