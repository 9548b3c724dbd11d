//! Nothing new reaches the targets of an evacuated data centre, and cold targets get few requests.

use super::harness::{Site, document, submission, until};
use serde_json::json;
use std::time::{Duration, Instant};

const EVACUATE_KEY: &str = "op/evacuate/zone-b";

/// Starts a site with the last of `plain` targets in data centre `zone-b`.
async fn site_with_zone_b(nodes: usize, engines: usize, plain: usize) -> Site {
    let mut site = Site::start(nodes, engines, plain).await;
    if let Some(worker) = site.plain.last_mut() {
        worker.move_to_zone("zone-b");
    }
    if let Some(worker) = site.engines.last_mut() {
        worker.move_to_zone("zone-b");
    }
    site
}

/// Waits until each node has logged an event.
async fn wait_for(site: &Site, event: &str) {
    for node in &site.nodes {
        until(event, || async { (!node.lines(event).is_empty()).then_some(()) }).await;
    }
}

// Guards against requests to a data centre that an operator has asked to evacuate.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_reaches_an_evacuated_data_centre_until_that_is_taken_back() {
    let site = site_with_zone_b(2, 0, 2).await;
    site.store.put(EVACUATE_KEY, &json!({}));
    wait_for(&site, "evacuation_begun").await;

    for number in 0..20 {
        let node = &site.nodes[number % 2];
        let answer = site.call(node, "/lookup/a", &format!("q{number}")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    assert!(site.plain[1].ran().is_empty(), "requests reached the evacuated data centre");

    site.store.remove(EVACUATE_KEY);
    wait_for(&site, "evacuation_ended").await;
    until("a request to the data centre", || async {
        // More at once than one target runs.
        let calls = (0..8).map(|_| site.call(&site.nodes[0], "/lookup/a", "again"));
        futures::future::join_all(calls).await;
        (!site.plain[1].ran().is_empty()).then_some(())
    })
    .await;
}

// Guards against a batch whose items go on to an evacuated data centre.
#[tokio::test(flavor = "multi_thread")]
async fn items_and_scores_avoid_an_evacuated_data_centre() {
    let site = site_with_zone_b(2, 3, 2).await;
    site.store.put(EVACUATE_KEY, &json!({}));
    wait_for(&site, "evacuation_begun").await;

    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 12, 3, 1)).await, 202);
    site.read_all(&site.nodes[1], "b1", 12).await;

    assert!(site.engines[2].ran().is_empty(), "items reached the evacuated data centre");
    assert!(site.plain[1].ran().is_empty(), "scores reached the evacuated data centre");
}

// Guards against a request that waits until its deadline although it cannot be served.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_refused_at_once_if_all_targets_are_evacuated() {
    let site = site_with_zone_b(1, 0, 1).await;
    site.store.put(EVACUATE_KEY, &json!({}));
    wait_for(&site, "evacuation_begun").await;

    let asked_at = Instant::now();
    let answer = site.call(&site.nodes[0], "/lookup/a", "q1").await.expect("an answer");

    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(asked_at.elapsed() < Duration::from_secs(1), "{:?}", asked_at.elapsed());
    assert!(site.runs.of("q1").is_empty(), "refused as not run");
}

// Guards against a node that starts during an evacuation and does not know of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_during_an_evacuation_knows_of_it() {
    let site = site_with_zone_b(1, 0, 2).await;
    site.store.put(EVACUATE_KEY, &json!({}));
    wait_for(&site, "evacuation_begun").await;

    site.nodes[0].restart();
    until("the node is ready", || async { site.is_ready(&site.nodes[0]).await.then_some(()) })
        .await;
    for number in 0..10 {
        until("an answer", || async {
            let id = format!("q{number}");
            let answer = site.call(&site.nodes[0], "/lookup/a", &id).await.ok()?;
            (answer.status() == 200).then_some(())
        })
        .await;
    }

    assert!(site.plain[1].ran().is_empty(), "requests reached the evacuated data centre");
}

// Guards against a cold target that gets as many requests as a warm one from each node.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_target_gets_no_more_requests_in_a_second_than_it_bears() {
    let mut site = Site::start(3, 0, 1).await;
    let mut configuration = document(9);
    configuration["services"][0]["coldS"] = json!(4.0);
    configuration["services"][0]["coldPerS"] = json!(4.0);
    site.store.put("op/config", &configuration);
    for node in &site.nodes {
        until("the configuration", || async {
            let versions = node.lines("document_in_force");
            versions.iter().any(|line| line["version"] == 9).then_some(())
        })
        .await;
    }
    site.plain[0].report_cold(3_000);
    wait_for(&site, "target_cold").await;

    let began_at = Instant::now();
    let calls = (0..30).map(|number| {
        let (site, id) = (&site, format!("q{number}"));
        async move { site.call(&site.nodes[number % 3], "/lookup/a", &id).await }
    });
    let answers = futures::future::join_all(calls).await;

    let refused = answers.into_iter().flatten().filter(|answer| answer.status() == 503).count();
    let seconds = began_at.elapsed().as_secs() + 1;
    let ran = site.plain[0].ran().len();
    assert!(ran as u64 <= 4 * seconds, "{ran} requests in {seconds} s");
    assert!(refused > 0, "the others are refused as not run");
}
