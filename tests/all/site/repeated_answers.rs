//! Targets that send an answer a second time, where the answer to the next request on the same
//! connection is due. The id in an answer names the request, which may have been sent again.

use super::harness::{Site, complete_output, submission, until};
use super::worker::{Exchange, RepeatingWorker, Scripted};
use serde_json::json;

/// Refuses each request once, and sends that refusal twice.
fn refuses_first(exchange: Exchange<'_>) -> Scripted {
    if exchange.arrivals == 0 { Scripted::twice(503) } else { Scripted::once(200) }
}

/// Answers the first and the third run of items and scoring calls with 500, the first of them twice.
fn fails_first_and_third(exchange: Exchange<'_>) -> Scripted {
    match exchange.arrivals {
        0 if !exchange.id.is_empty() => Scripted::twice(500),
        2 if !exchange.id.is_empty() => Scripted::once(500),
        _ => Scripted::once(200),
    }
}

/// Sends each report twice, and accepts orders.
fn reports_twice(exchange: Exchange<'_>) -> Scripted {
    match exchange.path {
        "/-/report" => Scripted::twice(200),
        "/-/order" => Scripted::once(202),
        _ => Scripted::once(200),
    }
}

// Guards against a request that may not be repeated and runs twice: the second copy of a refusal is
// taken for the answer to its next sending, which runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_comes_twice_makes_no_request_run_twice() {
    let site = Site::start(1, 0, 0).await;
    let worker =
        RepeatingWorker::start(&site.store, &site.runs, "plain", "repeating", refuses_first).await;
    until("the target is known", || async {
        (site.call(&site.nodes[0], "/check/a", "first").await.ok()?.status() == 200).then_some(())
    })
    .await;

    let mut statuses = Vec::new();
    for number in 0..10 {
        let answer = site.call(&site.nodes[0], "/check/a", &format!("check{number}")).await;
        statuses.push(answer.expect("an answer").status().as_u16());
    }

    let runs: Vec<usize> =
        (0..10).map(|number| site.runs.of(&format!("check{number}")).len()).collect();
    assert!(runs.iter().all(|runs| *runs <= 1), "{runs:?}\n{}", site.nodes[0].audit_trail());
    // A copy that meets another request fails it, because whether that ran is unknown.
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served > 0, "{statuses:?}, {} answers sent again", worker.repeated());
}

// Guards against an item that is given up before its attempts have failed: the second copy of a
// failure is counted as the answer to its next run.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_that_comes_twice_is_counted_once() {
    let site = Site::start(1, 0, 1).await;
    let script = fails_first_and_third;
    RepeatingWorker::start(&site.store, &site.runs, "llm", "repeating", script).await;

    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 1, 3, 1)).await, 202);

    for result in site.read_all(&site.nodes[0], "b1", 1).await {
        let item = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "completed", "{result}\n{}", site.nodes[0].audit_trail());
        assert_eq!(result["text"], complete_output(item, 3));
    }
}

// Guards against an item that is given up although its scoring call has failed less often than it
// may: the second copy of a failure is counted as the answer to the next call.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_to_score_that_comes_twice_is_counted_once() {
    let site = Site::start(1, 1, 0).await;
    let script = fails_first_and_third;
    RepeatingWorker::start(&site.store, &site.runs, "plain", "repeating", script).await;

    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 1, 3, 1)).await, 202);

    for result in site.read_all(&site.nodes[0], "b1", 1).await {
        assert_eq!(result["state"], "completed", "{result}\n{}", site.nodes[0].audit_trail());
    }
}

// Guards against weights that count as loaded before they are: the second copy of an engine's report
// is taken for the answer to the order that follows it.
#[tokio::test(flavor = "multi_thread")]
async fn a_report_that_comes_twice_is_not_taken_for_the_answer_to_an_order() {
    let site = Site::start(1, 0, 0).await;
    RepeatingWorker::start(&site.store, &site.runs, "llm", "repeating", reports_twice).await;

    site.store.put("op/version/model-a", &json!({ "model": "model-a", "version": 2 }));

    let order =
        until("an order", || async { site.nodes[0].lines("order_sent").first().cloned() }).await;
    assert_eq!(order["status"], 202, "{order}");
}
