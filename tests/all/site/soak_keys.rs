//! A randomized soak test of keys and duties.
//!
//! Nodes are killed, paused, and cut off from the store and the provider while keys change. The
//! test checks what targets and the provider receive. A seed determines the faults. To run more
//! seeds by hand: `SOAK_SEEDS=50 cargo test --release --test all soak_keys -- --nocapture`;
//! `SOAK_FROM` sets the first one.

use super::harness::{HOST, Site, document, signal, until};
use super::provider::ProviderMode;
use super::proxy::Link;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::sleep;

/// Seeds that CI runs.
const SEEDS: [u64; 2] = [1, 2];
/// Seeds that have failed once, each with its cause in a comment.
const FAILED_SEEDS: [u64; 0] = [];
const NODES: usize = 4;
const FAULTS: usize = 16;
/// A key that no configuration contains.
const UNKNOWN_KEY: &str = "neverakey0123456789";

/// The number of configuration changes, the requests that were sent, and whether to stop sending.
#[derive(Default)]
struct Progress {
    changes: Cell<u64>,
    with_unknown_key: RefCell<Vec<String>>,
    sent: RefCell<Vec<String>>,
    stopped: Cell<bool>,
}

/// Returns the key of workspace `a` after a number of changes; that of `b` never changes.
fn key_of_a(changes: u64) -> String {
    format!("keyofa{changes:04}x0123456789")
}

const KEY_OF_B: &str = "keyofb0123456789";

fn with_keys(changes: u64) -> Value {
    let mut document = document(10 + changes);
    document["tenants"] = json!([
        { "name": "a", "apiKeys": [key_of_a(changes), key_of_a(changes + 1)] },
        { "name": "b", "apiKeys": [KEY_OF_B] },
    ]);
    document
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_and_duties_hold_under_seeded_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds: Vec<u64> = match number("SOAK_SEEDS") {
        Some(count) => (number("SOAK_FROM").unwrap_or(100)..).take(count as usize).collect(),
        None => SEEDS.to_vec(),
    };
    for seed in seeds.into_iter().chain(FAILED_SEEDS) {
        println!("soak of keys, seed {seed}");
        run_seed(seed).await;
    }
}

async fn run_seed(seed: u64) {
    let mut site = Site::start_with_duties_behind_proxies(NODES, 2).await;
    let progress = Progress::default();
    site.store.put("op/config", &with_keys(0));
    for node in 0..NODES {
        until("keys are required", || async {
            (call(&site, node, UNKNOWN_KEY, "early").await == 401).then_some(())
        })
        .await;
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let faults = async {
        for _ in 0..FAULTS {
            sleep(Duration::from_millis(rng.random_range(50..700))).await;
            cause_fault(&site, &progress, &mut rng);
        }
        progress.stopped.set(true);
    };
    tokio::join!(faults, caller(&site, &progress));
    end_faults(&mut site).await;
    check(&site, &progress, seed).await;
}

/// Causes one fault. Lasting faults are ended by their own tasks, so that they overlap.
fn cause_fault(site: &Site, progress: &Progress, rng: &mut StdRng) {
    let index = rng.random_range(0..NODES);
    let node = &site.nodes[index];
    let lasts = Duration::from_millis(rng.random_range(100..4_000));
    match rng.random_range(0..9) {
        0 => node.kill_and_restart(lasts),
        1 => node.stop_and_restart(),
        2 => {
            node.signal("STOP");
            let pid = node.pid();
            tokio::spawn(async move {
                sleep(lasts).await;
                signal(pid, "CONT");
            });
        }
        3 | 4 => {
            let link = [Link::Resets, Link::Silent { answers: true, requests: true }]
                [rng.random_range(0..2)];
            node.store_link.set(link);
            let proxy = node.store_link.clone();
            tokio::spawn(async move {
                sleep(lasts).await;
                proxy.set(Link::Open);
            });
        }
        5 | 6 => {
            let mode = [ProviderMode::Busy, ProviderMode::Down, ProviderMode::Unresponsive]
                [rng.random_range(0..3)];
            site.provider.set_mode(index, mode);
            let provider = site.provider.clone();
            tokio::spawn(async move {
                sleep(lasts).await;
                provider.set_mode(index, ProviderMode::Normal);
            });
        }
        _ => {
            progress.changes.set(progress.changes.get() + 1);
            site.store.put("op/config", &with_keys(progress.changes.get()));
        }
    }
}

async fn call(site: &Site, node: usize, key: &str, id: &str) -> u16 {
    let request = site
        .client
        .post(format!("http://{}/lookup/a", site.nodes[node].callers))
        .header("Host", HOST)
        .header("Authorization", format!("Bearer {key}"))
        .header("X-Catkinmast-Request-Id", id)
        // Must be ignored: a caller cannot choose its workspace.
        .header("X-Catkinmast-Tenant", "b")
        .header("X-Catkinmast-Deadline-Ms", "1500")
        .body("question");
    request.send().await.map_or(0, |answer| answer.status().as_u16())
}

async fn caller(site: &Site, progress: &Progress) {
    let mut number = 0;
    while !progress.stopped.get() {
        number += 1;
        let node = number % NODES;
        let id = format!("a{number}");
        progress.sent.borrow_mut().push(id.clone());
        call(site, node, &key_of_a(progress.changes.get()), &id).await;
        call(site, node, KEY_OF_B, &format!("b{number}")).await;
        let id = format!("n{number}");
        progress.with_unknown_key.borrow_mut().push(id.clone());
        let status = call(site, node, UNKNOWN_KEY, &id).await;
        assert!(matches!(status, 0 | 401 | 503), "an unknown key got {status}");
        sleep(Duration::from_millis(30)).await;
    }
}

async fn end_faults(site: &mut Site) {
    // Longer than any fault.
    sleep(Duration::from_secs(4)).await;
    for node in &mut site.nodes {
        node.store_link.set(Link::Open);
        node.revive();
    }
    site.wait_until_all_listed(NODES).await;
}

async fn check(site: &Site, progress: &Progress, seed: u64) {
    for id in progress.with_unknown_key.borrow().iter() {
        assert!(site.runs.of(id).is_empty(), "seed {seed}: {id} ran with an unknown key");
    }
    for run in site.runs.all().into_iter().filter(|run| run.request != "early") {
        let workspace = if run.request.starts_with('a') { "a" } else { "b" };
        assert_eq!(run.workspaces, [workspace], "seed {seed}: {run:?}");
        assert!(!run.has_key, "seed {seed}: {run:?}");
    }
    let newest = key_of_a(progress.changes.get());
    for node in 0..NODES {
        until("the newest keys are in force", || async {
            (call(site, node, &newest, "a-last").await == 200).then_some(())
        })
        .await;
        if progress.changes.get() > 1 {
            until("the oldest keys are refused", || async {
                (call(site, node, &key_of_a(0), "a-old").await == 401).then_some(())
            })
            .await;
        }
    }
    let reports = site.provider.calls("/usage").len();
    until("usage is reported again", || async {
        (site.provider.calls("/usage").len() > reports).then_some(())
    })
    .await;
    if std::env::var("SOAK_STORY").is_ok() {
        for node in &site.nodes {
            println!("{}", node.audit_trail());
        }
    }
    site.provider.check();
    for node in &site.nodes {
        let trail = node.audit_trail();
        assert!(
            !trail.contains(&newest) && !trail.contains(KEY_OF_B),
            "seed {seed}: a key is in an audit trail"
        );
    }
}
