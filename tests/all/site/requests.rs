//! Requests of callers: answers are complete and belong to the request, a request refused as not
//! run did not run, and calls that are not idempotent run at most once.

use super::harness::{HOST, Site, until};
use super::store::StoreMode;
use super::worker::Behaviour;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_is_answered_by_a_target() {
    let site = Site::start(2, 0, 2).await;

    let answer = site.call(&site.nodes[0], "/lookup/a", "q1").await.expect("an answer");

    assert_eq!(answer.status(), 200);
    let stamp = answer.headers()["x-catkinmast-server-stamp"].to_str().expect("text").to_owned();
    let body = answer.text().await.expect("a body");
    let runs = site.runs.of("q1");
    let stamps: Vec<String> = runs.iter().map(|run| format!("stamp.{}.q1", run.worker)).collect();
    assert!(stamps.contains(&stamp), "{stamp} is of one of the targets that ran it: {stamps:?}");
    assert!(body.starts_with("q1 by plain-"), "the body is the target's: {body}");
}

// Guards against answers that no target signed or that belong to another request: a target answers
// without its signature or with another request's id, and the order on the connection does not
// prove the match.
#[yare::parameterized(
    unsigned = { Behaviour::OmitsStamp },
    of_another = { Behaviour::WrongId },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_request_with_an_unsigned_or_foreign_answer_is_sent_to_another_target(
    behaviour: Behaviour,
) {
    let site = Site::start(1, 0, 2).await;
    site.plain[0].set_behaviour(behaviour);

    for number in 0..6 {
        let id = format!("q{number}");
        let answer = site.call(&site.nodes[0], "/lookup/a", &id).await.expect("an answer");

        assert_eq!(answer.status(), 200);
        assert_eq!(answer.text().await.expect("a body"), format!("{id} by plain-1"));
    }
}

// Guards against a call that runs twice: a target runs a call that is not idempotent and closes the
// connection, and the call is sent again or reported as not run, so that the caller repeats it.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_answer_is_lost_is_not_repeated_and_not_reported_as_not_run() {
    let site = Site::start(1, 0, 2).await;
    for worker in &site.plain {
        worker.set_behaviour(Behaviour::LosesAnswers);
    }

    for number in 0..4 {
        let id = format!("c{number}");
        let answer = site.call(&site.nodes[0], "/check/a", &id).await.expect("an answer");

        assert_eq!(answer.status(), 502);
        assert_eq!(site.runs.of(&id).len(), 1);
    }
}

// Guards against a refusal of a request that has run: an unsigned 503 without the header of a refusal
// does not come from the target, and is passed on.
#[yare::parameterized(
    call = { "/check/a" },
    stream = { "/stream/a" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_unsigned_503_to_a_request_that_ran_is_not_passed_on(path: &str) {
    let site = Site::start(1, 2, 2).await;
    for worker in site.plain.iter().chain(&site.engines) {
        worker.set_behaviour(Behaviour::RunsAndAnswersUnsigned(503));
    }

    let answer = site.call(&site.nodes[0], path, "c0").await.expect("an answer");

    assert_eq!(site.runs.of("c0").len(), 1);
    assert_ne!(answer.status(), 503);
}

// Guards against a rule that knows 503 only: callers take 408 and 429 for the same promise.
#[yare::parameterized(
    late_call = { "/check/a", 408 },
    late_stream = { "/stream/a", 408 },
    limited_call = { "/check/a", 429 },
    limited_stream = { "/stream/a", 429 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_unsigned_promise_about_a_request_that_ran_is_answered_502(path: &str, status: u16) {
    let site = Site::start(1, 2, 2).await;
    for worker in site.plain.iter().chain(&site.engines) {
        worker.set_behaviour(Behaviour::RunsAndAnswersUnsigned(status));
    }

    let answer = site.call(&site.nodes[0], path, "c0").await.expect("an answer");

    assert_eq!(site.runs.of("c0").len(), 1);
    assert_eq!(answer.status(), 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_whose_answer_is_lost_is_repeated_within_its_attempts() {
    let site = Site::start(1, 0, 4).await;
    for worker in &site.plain {
        worker.set_behaviour(Behaviour::LosesAnswers);
    }

    let answer = site.call(&site.nodes[0], "/lookup/a", "q1").await.expect("an answer");

    assert_eq!(answer.status(), 502);
    assert_eq!(site.runs.of("q1").len(), 3, "the route allows three targets");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_all_targets_refuse_is_refused_as_not_run_with_retry_after() {
    let site = Site::start(1, 0, 2).await;
    for worker in &site.plain {
        worker.set_behaviour(Behaviour::Full);
    }

    let answer = site.call(&site.nodes[0], "/check/a", "c1").await.expect("an answer");

    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(site.runs.of("c1").is_empty());
}

// Guards against a retry loop while a service is down: its targets have ended, their addresses
// refuse connections at once, and the node backed off only after refusals for overload. One request
// made 125,784 attempts in the three seconds that its caller waits, the trail suppressed thousands
// of lines, and all waiting requests were sent in the millisecond in which a target came back.
#[tokio::test(flavor = "multi_thread")]
async fn targets_that_do_not_listen_are_not_tried_without_a_pause() {
    // Twice the expected number: the node tries both targets once per backoff.
    const ATTEMPTS_MAX: usize = 600;
    let site = Site::start(1, 0, 2).await;
    site.plain.iter().for_each(super::worker::Worker::crash);

    let answer = site.call(&site.nodes[0], "/lookup/a", "q1").await.expect("an answer");

    assert_eq!(answer.status(), 504);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let lines = site.nodes[0].lines("attempt_failed");
    let suppressed = lines.iter().filter_map(|line| line["left_out_before"].as_u64()).sum::<u64>();
    let attempts = lines.len() + suppressed as usize;
    assert!(attempts >= 2, "both targets were tried");
    assert!(attempts < ATTEMPTS_MAX, "{attempts} attempts");
}

// Guards against targets that keep working for callers that have disconnected: the handler of a
// request must be dropped with the caller's connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_is_cancelled_when_its_caller_disconnects() {
    let site = Site::start(1, 0, 1).await;
    site.plain[0].set_pace(10, 30_000);
    let url = format!("http://{}/lookup/a", site.nodes[0].callers);
    let request = site
        .client
        .post(url)
        .header("Host", HOST)
        .header("X-Catkinmast-Request-Id", "q1")
        .header("X-Catkinmast-Deadline-Ms", "30000")
        .timeout(Duration::from_millis(500));

    let result = request.send().await;

    assert!(result.is_err(), "the caller has disconnected");
    until("the run is cancelled", || async { (site.plain[0].abandoned() == 1).then_some(()) })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_ends_at_its_routes_timeout() {
    let site = Site::start(1, 0, 1).await;
    site.plain[0].set_pace(10, 30_000);

    let answer = site.call(&site.nodes[0], "/lookup/a", "q1").await.expect("an answer");

    assert!([502, 504].contains(&answer.status().as_u16()), "502 or 504 expected: {answer:?}");
}

// Guards against new work for a target that is leaving: its entry says that it is draining, and a
// late heartbeat with an older sequence number shows it as ready again.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_more_work_after_a_late_ready_entry() {
    let mut site = Site::start(2, 0, 2).await;
    site.plain[0].register("draining");
    for node in &site.nodes {
        until("the node has seen plain-0 leave", || async {
            let left = node.lines("target_left");
            left.iter().any(|line| line["target"] == "plain-0").then_some(())
        })
        .await;
    }
    site.plain[0].register_with_old_sequence();
    tokio::time::sleep(Duration::from_millis(700)).await;
    let before = site.plain[0].ran().len();

    for number in 0..20 {
        let node = &site.nodes[number % 2];
        let answer = site.call(node, "/lookup/a", &format!("q{number}")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }

    assert_eq!(site.plain[0].ran().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_whose_entry_is_removed_gets_no_more_work() {
    let site = Site::start(1, 0, 2).await;
    site.plain[0].deregister();
    until("the node has seen plain-0 leave", || async {
        let left = site.nodes[0].lines("target_left");
        left.iter().any(|line| line["target"] == "plain-0").then_some(())
    })
    .await;
    let before = site.plain[0].ran().len();

    for number in 0..10 {
        let id = format!("q{number}");
        let answer = site.call(&site.nodes[0], "/lookup/a", &id).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }

    assert_eq!(site.plain[0].ran().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_forwarded_completely() {
    let site = Site::start(1, 1, 0).await;
    let request = site
        .client
        .post(format!("http://{}/stream/a", site.nodes[0].callers))
        .header("Host", HOST)
        .header("X-Catkinmast-Request-Id", "s1")
        .header("X-Catkinmast-Model", "model-a")
        .body(vec![4_u8]);

    let answer = request.send().await.expect("an answer");

    assert_eq!(answer.status(), 200);
    let text = answer.text().await.expect("the complete stream");
    assert_eq!(text.matches("data: s1-").count(), 4);
}

// Guards against half a stream that looks complete: the target stops sending and its connection
// breaks, and the answer to the caller must not end as if it were complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_does_not_look_complete() {
    let site = Site::start(1, 1, 0).await;
    site.engines[0].set_behaviour(Behaviour::SilentAfter(2));
    let request = site
        .client
        .post(format!("http://{}/stream/a", site.nodes[0].callers))
        .header("Host", HOST)
        .header("X-Catkinmast-Request-Id", "s1")
        .header("X-Catkinmast-Model", "model-a")
        .body(vec![9_u8]);
    let answer = request.send().await.expect("an answer");

    site.engines[0].crash();

    assert!(answer.text().await.is_err(), "the caller sees that it was cut");
}

// Guards against work for a removed target while the store refuses some nodes. A watcher that is
// refused reads via its peers; if that counted as an outage of the registry, the nodes would keep
// waiting for the removed entry to come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_target_leaves_while_the_store_refuses_some_nodes() {
    let site = Site::start(4, 0, 2).await;
    for node in &site.nodes[1..] {
        site.store.set_mode(node.store_endpoint, StoreMode::Refuses);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;

    site.plain[0].deregister();

    for node in &site.nodes {
        until("the node has seen plain-0 leave", || async {
            let left = node.lines("target_left");
            left.iter().any(|line| line["target"] == "plain-0").then_some(())
        })
        .await;
    }
}

// Guards against refusals for seconds after an outage of the registry: the targets' entries have
// lapsed meanwhile and are written again within two seconds, and must not count as targets that
// have left.
#[tokio::test(flavor = "multi_thread")]
async fn targets_whose_entries_lapsed_in_an_outage_keep_serving() {
    let mut site = Site::start(2, 0, 2).await;
    for node in &site.nodes {
        site.store.set_mode(node.store_endpoint, StoreMode::Refuses);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    for worker in &site.plain {
        worker.deregister();
    }
    for node in &site.nodes {
        site.store.set_mode(node.store_endpoint, StoreMode::Normal);
    }

    for number in 0..10 {
        let id = format!("q{number}");
        let answer = site.call(&site.nodes[number % 2], "/lookup/a", &id).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for worker in &mut site.plain {
        worker.register("ready");
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let answer = site.call(&site.nodes[0], "/lookup/a", "last").await.expect("an answer");
    assert_eq!(answer.status(), 200);
}
