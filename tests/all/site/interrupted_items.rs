//! Items and scoring calls that targets ran when they crashed.
//!
//! Guards against work that was handed in for later and is owed, but is taken for the cause of the
//! crashes and sent to no target any more.

use super::crashes::{CRASHES_BEFORE_BLOCKED, RESTART_AFTER, crash_count, start_site};
use super::harness::{HOST, Node, Site, complete_output, document, submission, until};
use super::worker::{Behaviour, CRASHING_BODY, UNLUCKY_RUNS, unlucky_body};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use catkinmast_model::UnixMs;
use catkinmast_quarantine::{Evidence, Fingerprint, TargetIncarnation};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// How soon all results are available once targets no longer crash. An item may have to wait for a
/// target to restart and for its own pause, both well under a second.
const CALM_LIMIT: Duration = Duration::from_secs(4);
/// The same if its owner has been lost: another node has to notice that first.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(12);

/// Returns a submission of six items of which the first has this body.
fn submission_with(prefix: &str, body: &[u8]) -> Value {
    let mut batch = submission(prefix, 6, 3, 1);
    batch["items"][0]["body"] = json!(STANDARD.encode(body));
    batch
}

/// Returns all `count` results of a batch, which must be completed within `limit`.
async fn completed_within(
    site: &Site,
    node: &Node,
    id: &str,
    count: usize,
    limit: Duration,
) -> Vec<Value> {
    let results = timeout(limit, site.read_all(node, id, count)).await;
    let results = results.unwrap_or_else(|_| panic!("{id} has no {count} results in {limit:?}"));
    assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
    results
}

async fn wait_for_runs(site: &Site, body: &[u8], count: usize) {
    until("its runs", || async { (site.runs.count_of_body(body) >= count).then_some(()) }).await;
}

// Guards against an item that is sent to no engine for minutes after three engines that ran it have
// crashed, and against later items with its path and body that share its fate.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_under_which_three_engines_ended_is_run_to_its_end() {
    let site = start_site(6, 1).await;
    let body = unlucky_body(3);
    assert_eq!(site.submit(&site.nodes[0], "b", &submission_with("b", &body)).await, 202);
    wait_for_runs(&site, &body, UNLUCKY_RUNS).await;

    let results = completed_within(&site, &site.nodes[1], "b", 6, CALM_LIMIT).await;

    let result = results.iter().find(|result| result["id"] == "bi0").expect("its result");
    assert_eq!(result["text"], complete_output("bi0", 3));
    assert_eq!(crash_count(&site.engines), CRASHES_BEFORE_BLOCKED);
    let mut later = submission_with("c", &body);
    later["items"][0]["path"] = json!("/rollout/b");
    assert_eq!(site.submit(&site.nodes[2], "c", &later).await, 202);
    completed_within(&site, &site.nodes[1], "c", 6, CALM_LIMIT).await;
    assert_eq!(site.runs.of("ci0").len(), 1);
}

// Guards against an item without a score, because its scoring call is sent to no target after three
// that ran it have crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_scoring_call_under_which_three_targets_ended_gets_its_score() {
    let site = start_site(2, 6).await;
    let body = unlucky_body(1);
    let mut batch = submission("b", 4, 3, 1);
    batch["items"][0]["scorerUrl"]["body"] = json!(STANDARD.encode(&body));
    assert_eq!(site.submit(&site.nodes[0], "b", &batch).await, 202);
    wait_for_runs(&site, &body, UNLUCKY_RUNS).await;

    let results = completed_within(&site, &site.nodes[1], "b", 4, CALM_LIMIT).await;

    let result = results.iter().find(|result| result["id"] == "bi0").expect("its result");
    assert!(result["score"].as_str().is_some_and(|score| score.ends_with("br0")), "{result}");
    assert_eq!(crash_count(&site.plain), CRASHES_BEFORE_BLOCKED);
}

// Guards against a new owner that does not run an item because of what the former owner has seen.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_owner_runs_an_item_under_which_three_engines_ended() {
    let site = start_site(6, 1).await;
    let body = unlucky_body(200);
    assert_eq!(site.submit(&site.nodes[0], "b", &submission_with("b", &body)).await, 202);
    let owner = site.owner_of("b").await;
    wait_for_runs(&site, &body, UNLUCKY_RUNS).await;
    sleep(RESTART_AFTER).await;

    site.nodes[owner].signal("KILL");

    let other = &site.nodes[(owner + 1) % 3];
    completed_within(&site, other, "b", 6, TAKEOVER_LIMIT).await;
}

// Guards against an item that no node runs after a restart of all, because evidence against it was
// stored and is read again.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_under_which_three_engines_ended_is_run_after_a_restart_of_all_nodes() {
    let site = start_site(6, 1).await;
    let body = unlucky_body(200);
    assert_eq!(site.submit(&site.nodes[0], "b", &submission_with("b", &body)).await, 202);
    wait_for_runs(&site, &body, UNLUCKY_RUNS).await;
    sleep(RESTART_AFTER).await;

    for node in &site.nodes {
        node.signal("KILL");
    }
    for node in &site.nodes {
        node.restart();
    }

    site.wait_until_all_listed(3).await;
    completed_within(&site, &site.nodes[1], "b", 6, TAKEOVER_LIMIT).await;
}

/// Stores a record that three targets have ended under a request, as a node writes it.
fn store_evidence(site: &Site, path: &str, body: &[u8]) {
    let fingerprint = Fingerprint::of("POST", HOST, path, body);
    let mut evidence = Evidence::default();
    for number in 0..CRASHES_BEFORE_BLOCKED {
        let id = format!("former-{number}{path}");
        let incarnation = TargetIncarnation { id, started_at_unix_ms: None };
        evidence.record_end(UnixMs::from_wall_clock(), incarnation);
    }
    let record = postcard::to_stdvec(&(evidence, fingerprint)).expect("a record");
    site.store.put_bytes(&format!("cm/q/{fingerprint}"), record);
}

// Guards against items and scoring calls that are stopped by evidence that an earlier build recorded
// against them; a caller's request with the same content stays blocked.
#[tokio::test(flavor = "multi_thread")]
async fn stored_evidence_stops_neither_items_nor_scoring_calls() {
    let site = start_site(2, 2).await;
    store_evidence(&site, "/rollout/b", &[3]);
    store_evidence(&site, "/lookup/score", b"score");
    for node in &site.nodes {
        node.restart();
    }
    site.wait_until_all_listed(3).await;
    for node in &site.nodes {
        until("the node has read both records", || async {
            (node.lines("request_barred").len() == 2).then_some(())
        })
        .await;
    }
    let call = site.call_with(&site.nodes[0], "/lookup/score", "caller", "score").await;
    assert_eq!(call.expect("an answer").status(), 503);

    assert_eq!(site.submit(&site.nodes[0], "b", &submission("b", 6, 3, 1)).await, 202);

    completed_within(&site, &site.nodes[1], "b", 6, CALM_LIMIT).await;
}

// Guards against an item that ends one engine after another as fast as they restart: it is repeated
// with a pause, and the pause is short enough that the item is not left without an engine.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_breaks_off_again_and_again_is_repeated_with_a_bounded_pause() {
    let site = start_site(6, 1).await;
    let batch = submission_with("b", CRASHING_BODY.as_bytes());
    assert_eq!(site.submit(&site.nodes[0], "b", &batch).await, 202);

    wait_for_runs(&site, CRASHING_BODY.as_bytes(), 10).await;

    let runs = site.runs.of("bi0");
    let pauses: Vec<Duration> = runs.windows(2).map(|pair| pair[1].at - pair[0].at).collect();
    let later = &pauses[5..];
    assert!(later.iter().all(|pause| *pause >= Duration::from_millis(700)), "{pauses:?}");
    assert!(later.iter().all(|pause| *pause <= Duration::from_secs(3)), "{pauses:?}");
    let others = site.read_all(&site.nodes[1], "b", 5).await;
    assert!(others.iter().all(|result| result["state"] == "completed"), "{others:?}");
}

// Guards against second runs of an item that are started one after the other without a pause, because
// each breaks off at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_run_that_breaks_off_is_repeated_after_a_pause() {
    let site = Site::start(1, 4, 1).await;
    for engine in &site.engines {
        engine.set_pace(60, 5);
    }
    let mut batch = submission("x", 6, 3, 1);
    batch["items"][5]["body"] = json!(STANDARD.encode([250]));
    assert_eq!(site.submit(&site.nodes[0], "b", &batch).await, 202);
    let first_run = until("it runs", || async { site.runs.of("xi5").first().cloned() }).await;
    for engine in site.engines.iter().filter(|engine| engine.id != first_run.worker) {
        engine.set_behaviour(Behaviour::LosesAnswers);
    }

    site.store.put("op/version/model-a", &json!({ "model": "model-a", "version": 2 }));

    let second_runs = || {
        let starts = site.nodes[0].lines("second_run_started").into_iter();
        starts.filter(|line| line["request"] == "xi5").collect::<Vec<Value>>()
    };
    until("three second runs of it", || async { (second_runs().len() >= 3).then_some(()) }).await;
    let times: Vec<u64> =
        second_runs().iter().filter_map(|line| line["at_unix_ms"].as_u64()).collect();
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 900), "{times:?}");
}

// Guards against items that no engine runs although engines of their service are idle, because a longer
// item of the same batch waits for a service that has no engine.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_service_without_engines_do_not_hold_back_the_others() {
    let site = Site::start(3, 2, 1).await;
    let mut split = document(4);
    let mut lost = split["services"][1].clone();
    lost["name"] = json!("lost");
    split["services"].as_array_mut().expect("services").push(lost);
    let route = split["routes"][2].as_object_mut().expect("the route of batches");
    route.remove("service");
    let halves = json!([{ "service": "llm", "weight": 1 }, { "service": "lost", "weight": 1 }]);
    route.insert("weightedServices".to_owned(), halves);
    site.store.put("op/config", &split);
    for node in &site.nodes {
        until("the split is in force", || async {
            let lines = node.lines("document_in_force");
            lines.iter().any(|line| line["version"] == 4).then_some(())
        })
        .await;
    }
    let batch = submission("b", 24, 3, 1);
    let is_of_llm = |number: &usize| xxh3_64(format!("bi{number}").as_bytes()).is_multiple_of(2);
    let of_llm = (0..24).filter(is_of_llm).count();
    assert!((1..24).contains(&of_llm), "some items are of either service: {of_llm}");

    assert_eq!(site.submit(&site.nodes[0], "b", &batch).await, 202);

    let run_items = || {
        let runs = site.runs.all().into_iter().map(|run| run.request);
        runs.filter(|request| request.starts_with("bi")).collect::<BTreeSet<String>>().len()
    };
    let all_run =
        until("all items that have engines", || async { (run_items() == of_llm).then_some(()) });
    timeout(CALM_LIMIT, all_run)
        .await
        .unwrap_or_else(|_| panic!("{} of {of_llm} run", run_items()));
}
