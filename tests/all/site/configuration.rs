//! The operators' configuration: in force everywhere within seconds, never reverting.

use super::harness::{Site, document, until};
use serde_json::json;

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
        until("the route is there", || async {
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
    let watchers = site.store.calls("kv-watch");
    assert!(watchers > 0, "somebody watches");
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
        assert!(versions.is_sorted(), "versions only rise: {versions:?}");
        assert!(!versions.contains(&5));
    }
}

// Symptom: nodes go by an old configuration for ten seconds.
// Sequence: the store makes a change that no watch hears of, drops its history and cuts the
// watches; it tells of the lost history only with the next change or when a watch's time is up.
// Cause: the cut watch is asked again from its revision, instead of reading the whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_behind_a_lost_history_is_seen_at_once() {
    let site = Site::start(3, 0, 1).await;
    let before = site.store.calls("kv-range");

    site.store.lose_history_with("op/config", &with_route(7, "/new/"));

    wait_for_route(&site, "/new/a").await;
    // A watch that went on would learn it with its time-out; the whole was read instead, and no
    // watch has told of the lost history.
    // The trail is written a quarter of a second late.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let restarted: usize = site.nodes.iter().map(|node| node.lines("feed_restarted").len()).sum();
    assert_eq!(restarted, 0);
    assert!(site.store.calls("kv-range") > before);
}

// Symptom: fifty nodes make fifty times the calls of one.
// Sequence: targets' entries change while all nodes are calm.
// Cause: each node watches for itself.
#[tokio::test(flavor = "multi_thread")]
async fn two_nodes_watch_for_all() {
    let mut site = Site::start(6, 1, 0).await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let before = site.store.calls("kv-watch");

    for _ in 0..10 {
        site.engines[0].register("ready");
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
    }

    // Ten changes cost each watcher at most ten calls and one for each two seconds.
    let calls = site.store.calls("kv-watch") - before;
    assert!(calls <= 2 * (10 + 2 * 3), "{calls} watches in four seconds");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_before_any_configuration_is_refused_as_not_run() {
    let site = Site::start(1, 0, 1).await;
    let missing = site.call(&site.nodes[0], "/none/", "q1").await.expect("an answer");

    assert_eq!(missing.status(), 404);
    assert!(site.runs.of("q1").is_empty());
}
