//! What starts and deaths cost the store, whatever the size of the fleet.

use super::harness::{Site, until};
use std::time::Duration;

/// The time in which a node that starts knows whom else there is, and some more.
const SETTLED: Duration = Duration::from_secs(1);

/// How often a process has waited for something so far, by the kernel's count.
fn waits(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process lives");
    let line = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
    line.and_then(|count| count.trim().parse().ok()).expect("the kernel counts them")
}

/// Returns the calls that came through a node's door after the first `seen`.
fn calls_since(site: &Site, node: usize, seen: usize) -> Vec<String> {
    site.store.calls_at(site.nodes[node].store_endpoint).split_off(seen)
}

fn count(calls: &[String], part: &str) -> usize {
    calls.iter().filter(|call| call.contains(part)).count()
}

/// Returns a node that neither watches the store nor searches it, by the calls that it makes.
async fn idle_node(site: &Site) -> usize {
    until("a node without calls", || async {
        let seen: Vec<usize> =
            site.nodes.iter().map(|node| site.store.calls_at(node.store_endpoint).len()).collect();
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        (0..seen.len()).find(|node| calls_since(site, *node, seen[*node]).is_empty())
    })
    .await
}

// Symptom: calls of the store grow with the square of the fleet when all start.
// Sequence: a node starts; it watches until it knows the others, and looks through all records twice.
// Cause: a node that knows nobody takes each duty for its own. It made eleven calls at the full price,
// now three, and three that cost a tenth.
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
    let old = count(&calls, "serializable=1");
    assert_eq!(count(&calls, "kv-txn"), 1, "it registers: {calls:?}");
    assert_eq!(count(&calls, "kv-range") - count(&calls, "kv-range prefix=cm"), 2, "{calls:?}");
    assert_eq!(old, 3, "nodes, records and the holder of orders: {calls:?}");
    assert_eq!(calls.len(), 6, "nothing else: {calls:?}");
}

// Symptom: each death of a node costs as many reads of all records as there are nodes.
// Sequence: a node dies; all others hear of it within a second.
// Cause: each looks through the store for the dead node's batches.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_death_two_nodes_read_all_records() {
    let site = Site::start(7, 1, 1).await;
    let node = idle_node(&site).await;
    let seen: Vec<usize> =
        site.nodes.iter().map(|node| site.store.calls_at(node.store_endpoint).len()).collect();

    site.nodes[node].signal("KILL");

    until("the others see it gone", || async {
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
    assert_eq!(searching, 2);
}

// Symptom: nodes at rest take five times the processor time that they need.
// Sequence: a node has settled, and hears from the nodes that watch.
// Cause: it waits for the rest of the time until it has settled, which is none. It woke up 520 times
// a second.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_node_wakes_up_rarely() {
    const WAITS_MAX: u64 = 600;
    let site = Site::start(4, 1, 1).await;
    let node = idle_node(&site).await;
    let before = waits(site.nodes[node].pid());

    tokio::time::sleep(Duration::from_secs(2)).await;

    let waited = waits(site.nodes[node].pid()) - before;
    assert!(waited < WAITS_MAX, "{waited} in two seconds");
}
