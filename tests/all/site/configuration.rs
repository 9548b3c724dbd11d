//! The operators' configuration is in force on every node within seconds and never reverts.

use super::harness::{CHANGE_BOUND_MS, Node, Site, document, until};
use super::store::StoreMode;
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use std::time::Duration;

fn with_route(version: u64, prefix: &str) -> serde_json::Value {
    let mut document = document(version);
    let route = json!({ "name": "new", "host": super::harness::HOST, "prefix": prefix,
        "kind": "idempotent", "timeoutMs": 3_000, "targetLatencyMs": 150, "priority": 2,
        "service": "plain", "attempts": 2 });
    document["routes"].as_array_mut().expect("routes").push(route);
    document
}

async fn wait_for_route(site: &Site, path: &str) {
    for node in &site.nodes {
        until("the route is served", || async {
            let answer = site.call(node, path, "q1").await.ok()?;
            (answer.status() == 200).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_comes_into_force_at_every_node() {
    let site = Site::start(4, 0, 1).await;

    site.store.put("op/config", &with_route(7, "/new/"));

    wait_for_route(&site, "/new/a").await;
    let watch_calls = site.store.calls("kv-watch");
    assert!(watch_calls > 0, "at least one node watches");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_configuration_does_not_come_back() {
    let site = Site::start(2, 0, 1).await;
    site.store.put("op/config", &with_route(7, "/new/"));
    wait_for_route(&site, "/new/a").await;

    site.store.put("op/config", &document(5));
    site.store.put("op/config", &with_route(9, "/newer/"));

    wait_for_route(&site, "/newer/a").await;
    for node in &site.nodes {
        let versions: Vec<u64> = node
            .lines("document_in_force")
            .iter()
            .filter_map(|line| line["version"].as_u64())
            .collect();
        assert!(versions.is_sorted(), "a version went back: {versions:?}");
        assert!(!versions.contains(&5), "version 5 came into force: {versions:?}");
    }
}

// Guards against nodes that call each other although they hear from the watchers: the store answers
// a watcher more rarely than the watcher reports.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_hear_from_the_watchers_do_not_pull() {
    let site = Site::start(5, 0, 1).await;

    tokio::time::sleep(Duration::from_secs(5)).await;

    for node in &site.nodes {
        let pulls = node.lines("feed_silent");
        assert!(pulls.is_empty(), "{pulls:?}");
    }
}

// Guards against nodes that use an old configuration for ten seconds. The store makes a change that
// no watch reports, drops its history and cuts the watches. It reports the lost history only with
// the next change or at the end of a watch, so a watch resumed at its revision would wait for that.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_in_a_lost_history_is_applied_at_once() {
    let site = Site::start(3, 0, 1).await;
    let before = site.store.calls("kv-range");

    site.store.lose_history_with("op/config", &with_route(7, "/new/"));

    wait_for_route(&site, "/new/a").await;
    // The trail is written up to a quarter of a second late.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let restarted: usize = site.nodes.iter().map(|node| node.lines("feed_restarted").len()).sum();
    assert_eq!(restarted, 0, "a watch was resumed at its old revision and its history was lost");
    let after = site.store.calls("kv-range");
    assert!(after > before, "no node read all keys again: {before} calls before, {after} after");
}

// Guards against calls of the store that grow with the fleet because each node watches for itself.
#[tokio::test(flavor = "multi_thread")]
async fn only_two_nodes_watch_the_store() {
    let mut site = Site::start(6, 1, 0).await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let before = site.store.calls("kv-watch");

    for _ in 0..10 {
        site.engines[0].register("ready");
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
    }

    // Two watchers, ten changes, and two subjects with at most three watches without a change.
    let calls = site.store.calls("kv-watch") - before;
    assert!(calls <= 2 * (10 + 2 * 3), "{calls} watches in four seconds");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_route_is_refused_and_not_run() {
    let site = Site::start(1, 0, 1).await;
    let missing = site.call(&site.nodes[0], "/none/", "q1").await.expect("an answer");

    assert_eq!(missing.status(), 404);
    assert!(site.runs.of("q1").is_empty());
}

/// Returns the time by the clock of `at_ms` in the audit trail.
fn trail_now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Returns the indices of the nodes that watch the store, and of the other nodes.
async fn watchers_and_others(site: &Site) -> (Vec<usize>, Vec<usize>) {
    // Longer than any watch.
    const OBSERVATION: Duration = Duration::from_millis(2_200);
    let watches = |index: usize| {
        let calls = site.store.calls_at(site.nodes[index].store_endpoint);
        calls.iter().filter(|call| call.starts_with("kv-watch")).count()
    };
    until("exactly two nodes watch", || async {
        let before: Vec<usize> = (0..site.nodes.len()).map(watches).collect();
        tokio::time::sleep(OBSERVATION).await;
        let parts: (Vec<usize>, Vec<usize>) =
            (0..site.nodes.len()).partition(|index| watches(*index) > before[*index]);
        (parts.0.len() == 2).then_some(parts)
    })
    .await
}

/// Waits until a version is in force on a node. Returns the time from `since_ms` to that, in
/// milliseconds.
async fn in_force_after_ms(node: &Node, version: u64, since_ms: u64) -> u64 {
    let at_ms = until("the version is in force", || async {
        let lines = node.lines("document_in_force");
        let line = lines.iter().find(|line| line["version"] == version)?;
        line["at_ms"].as_u64()
    })
    .await;
    at_ms.saturating_sub(since_ms)
}

/// Puts a version in force on all nodes, then cuts some nodes off from the store.
async fn cut_off_after_version(site: &Site, cut: &[usize], version: u64) {
    site.store.put("op/config", &document(version));
    for node in &site.nodes {
        in_force_after_ms(node, version, 0).await;
    }
    // By the end of this time the watchers have sent their next watch.
    tokio::time::sleep(Duration::from_millis(200)).await;
    for index in cut {
        site.store.set_mode(site.nodes[*index].store_endpoint, StoreMode::Unresponsive);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_at_nodes_whose_watchers_have_lost_the_store() {
    let site = Site::start(5, 0, 1).await;
    let (watchers, others) = watchers_and_others(&site).await;
    cut_off_after_version(&site, &watchers, 7).await;

    let changed_ms = trail_now_ms();
    site.store.put("op/config", &with_route(8, "/new/"));

    for index in others {
        let after_ms = in_force_after_ms(&site.nodes[index], 8, changed_ms).await;
        assert!(after_ms <= CHANGE_BOUND_MS, "in force {after_ms} ms after the change");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_at_the_only_node_that_reaches_the_store() {
    let site = Site::start(6, 0, 1).await;
    let (mut cut, mut others) = watchers_and_others(&site).await;
    let connected = others.pop().expect("a node that does not watch");
    cut.extend(others);
    cut_off_after_version(&site, &cut, 7).await;

    let changed_ms = trail_now_ms();
    site.store.put("op/config", &with_route(8, "/new/"));

    let after_ms = in_force_after_ms(&site.nodes[connected], 8, changed_ms).await;
    assert!(after_ms <= CHANGE_BOUND_MS, "in force {after_ms} ms after the change");
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_cut_off_from_the_store_receive_changes_from_the_one_that_reaches_it() {
    // Long enough that calls of the store are waiting for an answer.
    const CALLS_WAIT: Duration = Duration::from_millis(2_500);
    let site = Site::start(6, 0, 1).await;
    let (mut cut, mut others) = watchers_and_others(&site).await;
    let connected = others.pop().expect("a node that does not watch");
    cut.extend(others);
    cut_off_after_version(&site, &cut, 7).await;

    for version in 8..12 {
        tokio::time::sleep(CALLS_WAIT).await;
        let changed_ms = trail_now_ms();
        site.store.put("op/config", &with_route(version, "/new/"));

        for index in cut.iter().chain([&connected]) {
            let after_ms = in_force_after_ms(&site.nodes[*index], version, changed_ms).await;
            assert!(after_ms <= CHANGE_BOUND_MS, "in force {after_ms} ms after the change");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_removed_target_is_out_of_use_in_time_where_both_watchers_have_lost_the_store() {
    let site = Site::start(5, 0, 2).await;
    let (watchers, others) = watchers_and_others(&site).await;
    cut_off_after_version(&site, &watchers, 7).await;

    let changed_ms = trail_now_ms();
    site.store.remove("servers/plain-0");

    for index in others {
        let node = &site.nodes[index];
        let at_ms = until("the target is out of use", || async {
            node.lines("target_left").first()?["at_ms"].as_u64()
        })
        .await;
        let after_ms = at_ms.saturating_sub(changed_ms);
        assert!(after_ms <= CHANGE_BOUND_MS, "out of use {after_ms} ms after its removal");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_with_an_old_configuration_does_not_answer_404_for_an_unknown_route() {
    let site = Site::start(3, 0, 1).await;
    let all: Vec<usize> = (0..site.nodes.len()).collect();
    cut_off_after_version(&site, &all, 7).await;

    site.store.put("op/config", &with_route(8, "/new/"));
    tokio::time::sleep(Duration::from_millis(2 * CHANGE_BOUND_MS)).await;

    for node in &site.nodes {
        let answer = site.call(node, "/new/a", "q1").await.expect("an answer");
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("Retry-After"));
        let known = site.call(node, "/lookup/a", "q2").await.expect("an answer");
        assert_eq!(known.status(), 200, "a known route is still served");
    }
}
