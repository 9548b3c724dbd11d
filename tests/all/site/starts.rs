//! Starts and deaths of nodes cost few calls of the store in a fleet of any size, and idle nodes
//! little CPU time.

use super::harness::{Site, until};
use std::time::Duration;

/// The time until a starting node knows the other nodes, with a margin.
const SETTLED: Duration = Duration::from_secs(1);

/// Returns the number of voluntary context switches of a process so far.
fn context_switches(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
    line.and_then(|count| count.trim().parse().ok()).expect("the kernel counts them")
}

/// Returns the calls of a node to the store after the first `seen`.
fn calls_since(site: &Site, node: usize, seen: usize) -> Vec<String> {
    site.store.calls_at(site.nodes[node].store_endpoint).split_off(seen)
}

fn count(calls: &[String], part: &str) -> usize {
    calls.iter().filter(|call| call.contains(part)).count()
}

/// Returns a node that makes no calls of the store for a while.
async fn idle_node(site: &Site) -> usize {
    until("a node without calls", || async {
        let seen: Vec<usize> =
            site.nodes.iter().map(|node| site.store.calls_at(node.store_endpoint).len()).collect();
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        (0..seen.len()).find(|node| calls_since(site, *node, seen[*node]).is_empty())
    })
    .await
}

// Guards against calls of the store that grow with the square of the fleet when all nodes start. A
// node that knows no other ranks first for every duty; it watched the store and read all records
// twice. Such a start cost eleven calls at the full price instead of three, besides the three stale
// reads.
#[yare::parameterized(
    small = { 4 },
    larger = { 9 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_start_makes_the_same_few_calls_in_a_fleet_of_any_size(nodes: usize) {
    let site = Site::start(nodes, 2, 2).await;
    let node = idle_node(&site).await;
    let seen = site.store.calls_at(site.nodes[node].store_endpoint).len();

    site.nodes[node].restart();

    until("the node is ready again", || async {
        (site.nodes[node].lines("ready").len() == 2).then_some(())
    })
    .await;
    tokio::time::sleep(SETTLED).await;
    let calls = calls_since(&site, node, seen);
    let stale = count(&calls, "serializable=1");
    assert_eq!(count(&calls, "kv-txn"), 1, "one registration: {calls:?}");
    let targets = count(&calls, "kv-range prefix=servers/");
    assert_eq!(
        count(&calls, "kv-range prefix=op/"),
        1,
        "one read of the operators' keys: {calls:?}"
    );
    assert!(targets <= 1, "the targets' keys are read once, or from a peer: {calls:?}");
    assert_eq!(stale, 3, "nodes, records and the holder of orders: {calls:?}");
    assert_eq!(calls.len(), 5 + targets, "nothing else: {calls:?}");
}

// Guards against a restart of the whole fleet in which each node reads the list of targets from the
// store: the list of 10,000 targets takes each node fifty calls, and the store's link minutes.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_of_all_nodes_reads_the_list_of_targets_a_few_times() {
    const NODES: usize = 14;
    /// The first four by registration, and the two that watch.
    const READERS_MAX: usize = 6;
    let site = Site::start(NODES, 2, 2).await;
    for node in &site.nodes {
        until("the node is ready", || async { site.is_ready(node).await.then_some(()) }).await;
    }
    let seen: Vec<usize> =
        site.nodes.iter().map(|node| site.store.calls_at(node.store_endpoint).len()).collect();

    for node in &site.nodes {
        node.signal("KILL");
    }
    for node in &site.nodes {
        node.restart();
    }
    for node in &site.nodes {
        until("the node is ready again", || async { site.is_ready(node).await.then_some(()) })
            .await;
    }

    let readers = (0..NODES).filter(|node| {
        count(&calls_since(&site, *node, seen[*node]), "kv-range prefix=servers/") > 0
    });
    let readers = readers.count();
    assert!(readers <= READERS_MAX, "{readers} nodes read the list from the store");
}

// Guards against a death that makes every other node read all records, to find the dead node's
// batches. All nodes learn of the death within a second.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_death_two_nodes_read_all_records() {
    let site = Site::start(7, 1, 1).await;
    let node = idle_node(&site).await;
    let seen: Vec<usize> =
        site.nodes.iter().map(|node| site.store.calls_at(node.store_endpoint).len()).collect();

    site.nodes[node].signal("KILL");

    until("the other nodes see it as gone", || async {
        let knows = |other: &super::harness::Node| {
            other.lines("node_seen").iter().any(|line| line["state"] == "gone")
        };
        (site.nodes.iter().filter(|other| knows(other)).count() == 6).then_some(())
    })
    .await;
    tokio::time::sleep(SETTLED).await;
    let searches = |other: &usize| {
        let calls = calls_since(&site, *other, seen[*other]);
        calls.iter().any(|call| call.contains("prefix=cm/h/") && !call.contains("serializable"))
    };
    let searching = (0..7).filter(|other| *other != node).filter(searches).count();
    assert_eq!(searching, 2, "{searching} nodes read all records");
}

// Guards against a busy loop that made idle nodes use five times the CPU time they need: a node
// that has settled slept for the time left until it settles, which is zero, and so woke up 520
// times a second.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_node_wakes_up_rarely() {
    const SWITCHES_MAX: u64 = 600;
    let site = Site::start(4, 1, 1).await;
    let node = idle_node(&site).await;
    let before = context_switches(site.nodes[node].pid());

    tokio::time::sleep(Duration::from_secs(2)).await;

    let switches = context_switches(site.nodes[node].pid()) - before;
    assert!(switches < SWITCHES_MAX, "{switches} context switches in two seconds");
}
