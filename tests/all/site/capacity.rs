//! Targets that receive more requests than they have slots and places in their queue.

use super::harness::{Site, until};
use super::worker::RequestCounts;
use std::time::Duration;

/// How long a request occupies a slot: longer than it takes to send all requests of a test.
const WORK_MS: u64 = 1_000;

/// Sends a request directly to the first plain target; returns its status and whether the answer
/// says that it did not run.
async fn call_target(site: &Site, id: String) -> (u16, bool) {
    let url = format!("http://{}/lookup/a", site.plain[0].address());
    let request = site.client.post(url).header("X-Catkinmast-Request-Id", id);
    let answer = request.send().await.expect("an answer");
    (answer.status().as_u16(), answer.headers().contains_key("x-catkinmast-not-run"))
}

// Guards against tests under load that pass because the stand-in runs all requests at once, or
// refuses some of them after it has run them.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_refuses_requests_beyond_its_slots_and_queue() {
    let mut site = Site::start(0, 0, 1).await;
    site.plain[0].set_pace(10, WORK_MS);
    site.plain[0].set_capacity(2, 1);

    let calls = (0..5).map(|number| call_target(&site, format!("q{number}")));
    let mut answers = futures::future::join_all(calls).await;

    answers.sort_unstable();
    assert_eq!(answers, [(200, false), (200, false), (200, false), (503, true), (503, true)]);
    assert_eq!(site.plain[0].counts(), RequestCounts { arrivals: 5, refusals: 2, runs: 3 });
    assert_eq!(site.runs.all().len(), 3, "a refused request does not run");
}

// Guards against a stand-in that runs a request whose caller has disconnected while it was queued.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_request_whose_caller_disconnects_frees_its_place() {
    let mut site = Site::start(0, 0, 1).await;
    site.plain[0].set_pace(10, WORK_MS);
    site.plain[0].set_capacity(1, 1);
    let running = call_target(&site, "running".to_owned());
    let queued = async {
        until("the first one runs", || async { (site.plain[0].counts().runs == 1).then_some(()) })
            .await;
        let call = call_target(&site, "queued".to_owned());
        let disconnected = tokio::time::timeout(Duration::from_millis(200), call).await;
        assert!(disconnected.is_err(), "it waits in the queue");
        call_target(&site, "next".to_owned()).await
    };

    let answers = futures::future::join(running, queued).await;

    assert_eq!(answers, ((200, false), (200, false)));
    assert!(site.runs.of("queued").is_empty(), "it does not run later");
}
