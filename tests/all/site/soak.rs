//! A randomized soak test: runs the real processes under injected faults, and checks the guarantees
//! from what callers and targets observe.
//!
//! Two bursts of calls exceed what the plain targets can serve: one among the other faults, and one
//! alone, after which callers have to be served again. See [`burst`].
//!
//! Some trainers make few attempts to submit a batch, and the store goes down as it has carried out
//! a submission: a batch that was refused at each attempt must not run. Some of these outages come
//! among the other faults, some alone. See [`trainers`] and [`outages`].
//!
//! A seed determines the faults, which overlap. CI runs a few seeds. To run more:
//! `SOAK_SEEDS=50 cargo test --release --test all soak -- --nocapture`, with `SOAK_FROM` as the
//! first seed and `SOAK_NODES` as the number of nodes. A seed that fails writes the audit trails of
//! its nodes to the folder for temporary files (`TMPDIR`). Seeds that have failed stay in
//! [`FAILED_SEEDS`], each with its cause.

mod burst;
mod outages;
mod trails;
mod trainers;

use self::burst::{Burst, Pauses};
use self::trails::TrailsOnFailure;
use self::trainers::{Attempts, Batches};
use super::harness::{HANG_TIMEOUT, Node, Site, complete_output, document, until};
use super::proxy::Link;
use super::worker::{Behaviour, CRASHING_BODY};
use rand::rngs::StdRng;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::sleep;

/// Seeds that CI runs.
const SEEDS: [u64; 2] = [1, 2];
/// Seeds that have failed. 9: the owner of a model's batches is not answered as it stores a batch,
/// and the node that passed the submission to it is refused by the store and refuses its caller.
/// 16: the same batch is accepted at another node, and its owner does not know that it owns it.
const FAILED_SEEDS: [u64; 2] = [9, 16];
/// Nodes, unless `SOAK_NODES` says otherwise. Among fewer, the two nodes that search the store for
/// batches without an owner own the batches of both models as well.
const NODES: usize = 6;
/// A fault hits up to one in this many nodes at once, and at least one.
const HIT_ONE_IN: usize = 8;
const ENGINES: usize = 3;
const PLAIN: usize = 2;
const FAULTS: usize = 14;
const EVENTS: u8 = 6;
const ITEMS: usize = 8;
/// How soon a target restarts after a crash.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Slots, places in the queue and work time of a plain target. Both targets together hold 24
/// requests and serve 320 a second, less than a burst sends.
const PLAIN_SLOTS: usize = 4;
const PLAIN_QUEUE_PLACES: usize = 8;
const PLAIN_WORK_MS: u64 = 25;
/// Duration of a burst: longer than the time after which a node refuses a call that waits.
const BURST: Duration = Duration::from_millis(2_500);
/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Trainers, each with the prefix of the ids of its batches.
const TRAINERS: [(&str, Attempts); 6] = [
    ("a", Attempts::UntilAccepted),
    ("b", Attempts::UntilAccepted),
    ("s", Attempts::Few),
    ("t", Attempts::Few),
    ("u", Attempts::Few),
    ("v", Attempts::Few),
];
/// Trainers during the outages that no other fault overlaps.
const TRAINERS_ALONE: [(&str, Attempts); 2] = [("sy", Attempts::Few), ("ty", Attempts::Few)];
const OUTAGES_ALONE: usize = 2;
/// The time within which all nodes have to know of a blocked request.
const BLOCKED_EVERYWHERE_WITHIN: Duration = Duration::from_secs(3);

/// What callers have observed of batches, and of calls that must not be repeated.
#[derive(Default)]
struct Observations {
    batches: Batches,
    refused_calls: RefCell<Vec<String>>,
    calls: RefCell<Vec<String>>,
    pauses: Pauses,
    stopped: Cell<bool>,
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_seeded_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds: Vec<u64> = match number("SOAK_SEEDS") {
        Some(count) => (number("SOAK_FROM").unwrap_or(100)..).take(count as usize).collect(),
        None => SEEDS.into_iter().chain(FAILED_SEEDS).collect(),
    };
    let nodes = number("SOAK_NODES").map_or(NODES, |nodes| nodes as usize);
    for seed in seeds {
        println!("soak seed {seed}");
        run_seed(seed, nodes).await;
    }
}

async fn run_seed(seed: u64, nodes: usize) {
    let mut site = Site::start_behind_proxies(nodes, ENGINES, PLAIN).await;
    site.client = client_that_keeps_connections();
    for worker in &mut site.plain {
        worker.set_restart_after(RESTART_AFTER);
        worker.set_pace(10, PLAIN_WORK_MS);
        worker.set_capacity(PLAIN_SLOTS, PLAIN_QUEUE_PLACES);
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let _trails = TrailsOnFailure::new(&site.nodes, seed);
    let observed = Observations::default();
    let among_faults = Burst::new("x", BURST, rng.random());
    let alone = Burst::new("y", BURST, rng.random());
    play_all_faults(&site, &observed, &among_faults, seed, &mut rng).await;
    end_all_faults(&mut site).await;
    play_outages_alone(&site, &observed, &mut rng).await;
    alone.play(&site, &observed.pauses).await;
    burst::end_faults(&site);
    burst::check_served_again(&site, seed).await;
    check_guarantees(&site, &observed, seed).await;
    check_blocked(&site, seed).await;
    // Last, because a request that was refused must not run later either.
    for burst in [among_faults, alone] {
        burst.check(&site, &observed.pauses, seed);
    }
    observed.batches.check_refused(&site, seed);
}

/// Plays faults of all kinds, which overlap, beside callers of all kinds.
async fn play_all_faults(
    site: &Site,
    observed: &Observations,
    burst: &Burst,
    seed: u64,
    rng: &mut StdRng,
) {
    let stopped = &observed.stopped;
    let faults: Vec<(u64, u64)> =
        (0..FAULTS).map(|_| (rng.random_range(50..700), rng.random())).collect();
    let faults_in_turn = async {
        for (pause_ms, draw) in faults {
            sleep(Duration::from_millis(pause_ms)).await;
            inject_fault(site, &observed.pauses, &mut StdRng::seed_from_u64(draw), seed);
        }
        stopped.set(true);
    };
    let outages = outages::play(site, stopped, StdRng::seed_from_u64(rng.random()));
    let rng = StdRng::seed_from_u64(rng.random());
    let trainers = trainers::run(site, &observed.batches, &TRAINERS, stopped, rng);
    let ((), begun, ..) = tokio::join!(
        faults_in_turn,
        outages,
        trainers,
        caller(site, observed),
        crashing_caller(site, observed),
        burst.play(site, &observed.pauses),
    );
    println!("seed {seed}: {begun} outages of the store began with a submission");
}

/// Plays outages that begin with a submission, without other faults.
async fn play_outages_alone(site: &Site, observed: &Observations, rng: &mut StdRng) {
    let stopped = Cell::new(false);
    let outages_rng = StdRng::seed_from_u64(rng.random());
    let rng = StdRng::seed_from_u64(rng.random());
    tokio::join!(
        outages::play_some(site, &stopped, OUTAGES_ALONE, outages_rng),
        trainers::run(site, &observed.batches, &TRAINERS_ALONE, &stopped, rng),
    );
}

/// Builds a client that keeps its connections open, so that nodes stop, are killed and are paused
/// with open connections.
fn client_that_keeps_connections() -> reqwest::Client {
    let client = reqwest::Client::builder().no_proxy().timeout(HANG_TIMEOUT);
    client.build().expect("a client")
}

/// Returns what the `Retry-After` of an answer says.
fn retry_after(answer: &reqwest::Response) -> Option<Duration> {
    let seconds = answer.headers().get("retry-after")?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs_f64(seconds))
}

/// Injects one fault; a lasting fault is ended by a task of its own, so that faults overlap.
fn inject_fault(site: &Site, pauses: &Pauses, rng: &mut StdRng, seed: u64) {
    let hits = rng.random_range(1..=(site.nodes.len() / HIT_ONE_IN).max(1));
    let numbers = index::sample(rng, site.nodes.len(), hits);
    let nodes = || numbers.iter().map(|number| &site.nodes[number]);
    let lasts = Duration::from_millis(rng.random_range(100..2_500));
    let worker = if rng.random() {
        &site.plain[rng.random_range(0..PLAIN)]
    } else {
        &site.engines[rng.random_range(0..ENGINES)]
    };
    match rng.random_range(0..10) {
        0 => nodes().for_each(|node| node.kill_and_restart(lasts)),
        1 => nodes().for_each(Node::stop_and_restart),
        2 => numbers.iter().for_each(|number| pauses.pause(site, number, lasts)),
        3..=5 => {
            let link = [
                Link::Resets,
                Link::Delays(Duration::from_millis(150)),
                Link::Silent { answers: true, requests: false },
                Link::Silent { answers: true, requests: true },
            ][rng.random_range(0..4)];
            nodes().for_each(|node| burst::set_store_link(node, link, lasts));
        }
        6 => {
            // The count of store calls only rises, as versions have to.
            let mut changed = document(10 + site.store.calls("kv-txn"));
            changed["limits"]["maxHeaderBytes"] = json!(16_384 + seed % 100);
            site.store.lose_history_with("op/config", &changed);
        }
        7 => {
            let version = 2 + site.store.calls("kv-watch") / 40;
            let value = json!({ "model": "model-a", "version": version });
            site.store.put("op/version/model-a", &value);
        }
        _ => {
            let behaviour = [
                Behaviour::Full,
                Behaviour::OmitsStamp,
                Behaviour::LosesAnswers,
                Behaviour::SilentAfter(2),
                Behaviour::WithholdsAnswers,
                Behaviour::WrongId,
            ][rng.random_range(0..6)];
            worker.set_behaviour_for(behaviour, lasts);
        }
    }
}

fn is_refusal(answer: &reqwest::Response) -> bool {
    NOT_RUN.contains(&answer.status().as_u16())
}

/// A caller of an idempotent and of a non-idempotent route.
async fn caller(site: &Site, observed: &Observations) {
    let mut number = 0;
    while !observed.stopped.get() {
        number += 1;
        let node = &site.nodes[number % site.nodes.len()];
        let id = format!("l{number}");
        match site.call(node, "/lookup/a", &id).await {
            Ok(answer) if answer.status() == 200 => {
                let body = answer.text().await.expect("a complete body");
                assert!(body.starts_with(&format!("{id} by plain-")), "{id} was answered {body}");
            }
            Ok(answer) if is_refusal(&answer) => observed.refused_calls.borrow_mut().push(id),
            _ => {}
        }
        let id = format!("c{number}");
        observed.calls.borrow_mut().push(id.clone());
        if let Ok(answer) = site.call(node, "/check/a", &id).await
            && is_refusal(&answer)
        {
            observed.refused_calls.borrow_mut().push(id);
        }
    }
}

/// A caller whose request crashes each target that runs it; sends it repeatedly, to all nodes in
/// turn.
async fn crashing_caller(site: &Site, observed: &Observations) {
    let mut number = 0;
    while !observed.stopped.get() {
        sleep(Duration::from_millis(300)).await;
        number += 1;
        let node = &site.nodes[number % site.nodes.len()];
        drop(site.call_with(node, "/lookup/a", &format!("e{number}"), CRASHING_BODY).await);
    }
}

/// Checks that a request that crashes targets is blocked at every node.
async fn check_blocked(site: &Site, seed: u64) {
    until("the request is blocked", || async {
        let answer = site.call_with(&site.nodes[0], "/lookup/a", "e", CRASHING_BODY).await.ok()?;
        let blocked = answer.text().await.is_ok_and(|body| body.contains("targets have ended"));
        blocked.then_some(())
    })
    .await;
    sleep(BLOCKED_EVERYWHERE_WITHIN).await;
    let mut ran = 0;
    for (number, node) in site.nodes.iter().enumerate() {
        let id = format!("blocked{number}");
        drop(site.call_with(node, "/lookup/a", &id, CRASHING_BODY).await);
        ran += site.runs.of(&id).len();
    }
    // One run is allowed: a trial, to tell it apart from another request with the same evidence.
    assert!(ran <= 1, "seed {seed}: ran {ran} times after it was blocked");
}

async fn end_all_faults(site: &mut Site) {
    sleep(Duration::from_secs(3)).await;
    for worker in site.engines.iter().chain(&site.plain) {
        worker.set_behaviour(Behaviour::Normal);
    }
    for node in &mut site.nodes {
        node.store_link.set(Link::Open);
        node.revive();
    }
    site.wait_until_all_listed(site.nodes.len()).await;
}

async fn check_guarantees(site: &Site, observed: &Observations, seed: u64) {
    for id in observed.calls.borrow().iter() {
        assert!(site.runs.of(id).len() <= 1, "seed {seed}: {id} ran twice");
    }
    for id in observed.refused_calls.borrow().iter() {
        assert!(site.runs.of(id).is_empty(), "seed {seed}: {id} was refused and ran");
    }
    for (id, read) in observed.batches.accepted() {
        let answers = observed.batches.answers(&id);
        let what = format!("seed {seed}: all results of {id}; (node, status): {answers:?}");
        let all = until(&what, || async {
            site.read(&site.nodes[0], &id, 0).await.filter(|all| all.len() == ITEMS)
        })
        .await;
        assert_eq!(all[..read.len()], read[..], "seed {seed}: {id} lost what was read");
        for result in &all {
            let item = result["id"].as_str().expect("an id");
            assert_eq!(result["text"], complete_output(item, u64::from(EVENTS)), "seed {seed}");
        }
        for node in &site.nodes[1..] {
            let same = || async { (site.read(node, &id, 0).await? == all).then_some(()) };
            let what = format!("seed {seed}: {id} reads the same at every node");
            until(&what, same).await;
        }
    }
}
