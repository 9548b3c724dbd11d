//! The duty towards the platform, whose stand-in is the provider: usage is reported once per
//! window, although holders die or are cut off, and lost targets are ordered again.

use super::harness::{HOST, Site, document, until};
use super::hedges;
use super::provider::ProviderMode;
use serde_json::{Value, json};
use std::time::Duration;

const KEY_A: &str = "alphakey0123456789";
const KEY_B: &str = "betakey0123456789";

fn with_keys(version: u64) -> Value {
    let mut document = document(version);
    document["tenants"] =
        json!([{ "name": "a", "apiKeys": [KEY_A] }, { "name": "b", "apiKeys": [KEY_B] }]);
    // One run for each request: on a busy machine a request may be hedged, and its second run is
    // counted, too.
    document["routes"][0]["attempts"] = json!(1);
    document
}

/// Starts a site whose nodes report usage in windows of one second.
async fn site(nodes: usize) -> Site {
    let site = Site::start_with_duties(nodes, 2).await;
    put_in_force(&site, &with_keys(5)).await;
    site
}

async fn put_in_force(site: &Site, document: &Value) {
    site.store.put("op/config", document);
    for node in &site.nodes {
        until("the configuration is in force", || async {
            let lines = node.lines("document_in_force");
            lines.iter().any(|line| line["version"] == document["version"]).then_some(())
        })
        .await;
    }
}

async fn call(site: &Site, node: usize, key: &str, id: &str) -> u16 {
    call_at(site, node, "/lookup/a", key, id).await
}

async fn call_at(site: &Site, node: usize, path: &str, key: &str, id: &str) -> u16 {
    let request = site
        .client
        .post(format!("http://{}{path}", site.nodes[node].callers))
        .header("Host", HOST)
        .header("Authorization", format!("Bearer {key}"))
        .header("X-Catkinmast-Request-Id", id)
        .header("X-Catkinmast-Deadline-Ms", "3000")
        .body("question");
    request.send().await.map_or(0, |answer| answer.status().as_u16())
}

/// Waits until a node that holds the duty has sent a report. Returns its index.
async fn holder(site: &Site) -> usize {
    let holds = |node: &super::harness::Node| {
        let count_of = |event: &str| node.duty_lines(event, "platform").len();
        count_of("duty_gained") > count_of("duty_lost") && !node.lines("usage_sent").is_empty()
    };
    until("a holder", || async { site.nodes.iter().position(holds) }).await
}

#[tokio::test(flavor = "multi_thread")]
async fn the_requests_that_targets_began_are_reported_once_for_each_workspace() {
    let site = site(3).await;

    for number in 0..30 {
        let (key, node) = (if number % 3 == 0 { KEY_B } else { KEY_A }, number % 3);
        assert_eq!(call(&site, node, key, &format!("q{number}")).await, 200);
        tokio::time::sleep(Duration::from_millis(40)).await;
    }

    until("all requests are reported", || async {
        (site.provider.reported("a") == 20 && site.provider.reported("b") == 10).then_some(())
    })
    .await;
    site.provider.check();
}

// Guards against billing requests that no target ran: all targets are overloaded, or the key is
// unknown.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_no_target_began_are_not_reported() {
    let site = site(1).await;
    assert_eq!(call(&site, 0, "unknown", "q1").await, 401);
    for worker in &site.plain {
        worker.set_behaviour(super::worker::Behaviour::Full);
    }
    assert_eq!(call(&site, 0, KEY_A, "q2").await, 503);
    for worker in &site.plain {
        worker.set_behaviour(super::worker::Behaviour::Normal);
    }
    assert_eq!(call(&site, 0, KEY_B, "q3").await, 200);

    until("the last is reported", || async { (site.provider.reported("b") == 1).then_some(()) })
        .await;

    assert_eq!(site.provider.reported("a"), 0);
}

/// Returns the configuration of [`with_keys`], with lookups that may be hedged.
fn with_hedges() -> Value {
    let mut document = with_keys(5);
    document["routes"][0]["attempts"] = json!(3);
    document
}

// Guards against usage without the run of a hedged request that was overtaken: its target began it.
#[tokio::test(flavor = "multi_thread")]
async fn both_runs_of_a_hedged_request_are_reported() {
    let mut site = Site::start_with_duties(1, 1).await;
    put_in_force(&site, &with_hedges()).await;
    assert_eq!(call(&site, 0, KEY_B, "first").await, 200);
    hedges::add_plain(&mut site, "plain-1").await;
    site.plain[0].set_pace(10, 30_000);

    assert_eq!(call(&site, 0, KEY_A, "q1").await, 200);

    until("both are reported", || async { (site.provider.reported("a") == 2).then_some(()) }).await;
}

// Guards against billing an attempt that no target began: the hedge was answered while the first
// connection was still being opened.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_overtaken_before_its_connection_opened_is_not_reported() {
    let site = Site::start_with_duties(1, 1).await;
    put_in_force(&site, &with_hedges()).await;
    let (dark, _queued) = hedges::dark_address().await;
    site.plain[0].set_pace(10, 2_500);
    let check = call_at(&site, 0, "/check/a", KEY_B, "c1");
    let lookup = async {
        until("the call runs", || async { (!site.runs.of("c1").is_empty()).then_some(()) }).await;
        site.plain[0].set_pace(10, 5);
        hedges::add_dark_target(&site, &dark).await;
        call(&site, 0, KEY_A, "q1").await
    };

    assert_eq!(futures::future::join(check, lookup).await, (200, 200));
    assert_eq!(call_at(&site, 0, "/check/a", KEY_B, "c2").await, 200);

    until("the last is reported", || async { (site.provider.reported("b") == 2).then_some(()) })
        .await;
    assert_eq!(site.provider.reported("a"), 1);
}

// Guards against requests missing in a report: a node serves callers, shares its counts, and is
// killed before the window ends.
#[tokio::test(flavor = "multi_thread")]
async fn counts_of_a_killed_node_are_reported() {
    let site = site(4).await;
    let holder = holder(&site).await;
    let node = (holder + 1) % 4;
    for number in 0..5 {
        assert_eq!(call(&site, node, KEY_A, &format!("q{number}")).await, 200);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;

    site.nodes[node].signal("KILL");

    until("all are reported", || async { (site.provider.reported("a") == 5).then_some(()) }).await;
    site.provider.check();
}

// Guards against two different reports of one window: the holder stores a report, the provider
// accepts it without answering, and the holder dies; its successor has received other counts.
#[tokio::test(flavor = "multi_thread")]
async fn the_report_of_a_killed_holder_is_sent_unchanged_by_its_successor() {
    let site = site(3).await;
    let holder = holder(&site).await;
    site.provider.set_mode(holder, ProviderMode::Unresponsive);
    assert_eq!(call(&site, (holder + 1) % 3, KEY_A, "q1").await, 200);
    until("a report without an answer", || async {
        (site.provider.reported("a") == 1).then_some(())
    })
    .await;

    site.nodes[holder].signal("KILL");
    let reports = site.provider.calls("/usage").len();

    until("its successor reports", || async {
        let calls = site.provider.calls("/usage");
        calls[reports..].iter().any(|call| call.holder != format!("node-{holder}")).then_some(())
    })
    .await;
    site.provider.check();
}

// Guards against usage that is not reported although the provider works: only the holder cannot
// reach the provider, but it reaches the store and so keeps its lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_without_answers_from_the_provider_steps_down() {
    let site = site(3).await;
    let first = holder(&site).await;

    site.provider.set_mode(first, ProviderMode::Down);
    let before = site.provider.calls("/usage").len();

    until("another holder reports", || async {
        let calls = site.provider.calls("/usage");
        calls[before..].iter().any(|call| call.holder != format!("node-{first}")).then_some(())
    })
    .await;
    let resigned = site.nodes[first].lines("duty_resigned");
    assert!(!resigned.is_empty(), "node {first} did not step down");
    site.provider.check();
}

// Guards against a lost report, and against exceeding the provider's limit again and again: the
// provider is overloaded for a while, and the holder retries and keeps the duty.
#[tokio::test(flavor = "multi_thread")]
async fn a_report_refused_for_overload_is_retried_by_the_same_holder() {
    let site = site(2).await;
    let holder = holder(&site).await;
    site.provider.set_mode(holder, ProviderMode::Busy);
    assert_eq!(call(&site, holder, KEY_A, "q1").await, 200);
    let before = site.provider.attempts_at(holder);
    until("the provider refuses reports", || async {
        (site.provider.attempts_at(holder) > before + 1).then_some(())
    })
    .await;

    site.provider.set_mode(holder, ProviderMode::Normal);

    until("the request is reported", || async { (site.provider.reported("a") == 1).then_some(()) })
        .await;
    let resigned = site.nodes[holder].lines("duty_resigned");
    assert!(resigned.is_empty(), "node {holder} stepped down: {resigned:?}");
    site.provider.check();
}

// Guards against a service that keeps fewer targets: a target leaves, no other replaces it, and the
// holder of the duty is killed before the order is carried out.
#[tokio::test(flavor = "multi_thread")]
async fn lost_targets_are_ordered_again_also_by_the_next_holder() {
    let mut site = Site::start_with_duties(3, 1).await;
    for number in 0..3 {
        site.add_engine(&format!("engine-{number}")).await;
    }
    let mut document = with_keys(5);
    document["services"][1]["scaling"] = json!({ "min": 1, "max": 9, "bootS": 1.0,
        "spotPrice": 0.15, "zonePrices": { "zone-a": 1.0 } });
    site.store.put("op/config", &document);
    until("the desired counts are stored", || async {
        (!site.store.keys("cm/w/").is_empty()).then_some(())
    })
    .await;
    let first = holder(&site).await;

    site.engines[0].deregister();
    let orders = || site.provider.calls("/scale");
    until("an order", || async { (!orders().is_empty()).then_some(()) }).await;
    site.nodes[first].signal("KILL");
    until("an order of the next holder", || async {
        orders().iter().any(|order| order.holder != format!("node-{first}")).then_some(())
    })
    .await;

    let expected = json!({ "service": "llm", "zone": "zone-a", "targetGroups": 3 });
    assert!(orders().iter().all(|order| order.body == expected), "{:?}", orders());
    site.provider.check();
}
