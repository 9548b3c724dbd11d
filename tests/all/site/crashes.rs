//! Requests that crash the targets that run them.
//!
//! Guards against a request that takes down the targets of a service one after another. It crashes
//! a target and is sent to the next, and its caller repeats it at other nodes with the same path
//! and body under a new id. If nodes count broken connections only against the target and the
//! single call, nothing stops it. In the trail, attempts with the same fingerprint then precede the
//! end of one target after another, at all nodes and under ever new ids.

use super::harness::{HOST, Site, until};
use super::proxy::{Link, Proxy};
use super::store::StoreMode;
use super::worker::{Behaviour, CRASHING_BODY, CRASHING_LATE_BODY, Worker};
use catkinmast_quarantine::{Evidence, Fingerprint};
use std::time::Duration;
use tokio::time::sleep;

/// Targets that a request may crash before it is blocked.
pub(super) const CRASHES_BEFORE_BLOCKED: u64 = 3;
/// Times that it may be sent to targets after that.
const LATER_RUNS_MAX: u64 = 3;
/// How soon targets restart after a crash: soon, so that there is always one that the request could
/// crash.
pub(super) const RESTART_AFTER: Duration = Duration::from_millis(400);

/// Starts a site of three nodes whose targets restart soon after a crash.
pub(super) async fn start_site(engines: usize, plain: usize) -> Site {
    let site = Site::start(3, engines, plain).await;
    for worker in site.engines.iter().chain(&site.plain) {
        worker.set_restart_after(RESTART_AFTER);
    }
    site
}

pub(super) fn crash_count(workers: &[Worker]) -> u64 {
    workers.iter().map(Worker::crashes).sum()
}

/// Sends a crashing request `times` times, to one node after the other; returns the last answer.
async fn send_repeatedly(site: &Site, path: &str, times: usize) -> reqwest::Response {
    let mut last = None;
    for number in 0..times {
        let node = &site.nodes[number % site.nodes.len()];
        let id = format!("p{number}");
        last = Some(site.call_with(node, path, &id, CRASHING_BODY).await.expect("an answer"));
        sleep(RESTART_AFTER / 2).await;
    }
    last.expect("at least one")
}

#[tokio::test(flavor = "multi_thread")]
async fn the_trail_distinguishes_a_crashed_target_from_a_lost_answer() {
    let site = Site::start(1, 0, 2).await;
    site.plain[0].set_behaviour(Behaviour::LosesAnswers);
    site.plain[1].set_behaviour(Behaviour::LosesAnswers);
    let lost = site.call(&site.nodes[0], "/check/a", "c1").await.expect("an answer");
    assert_eq!(lost.status(), 502);

    let ended =
        site.call_with(&site.nodes[0], "/check/a", "c2", CRASHING_BODY).await.expect("an answer");

    assert_eq!(ended.status(), 502);
    let line = until("the crash is detected", || async {
        site.nodes[0].lines("target_ended").first().cloned()
    })
    .await;
    let attempts = site.nodes[0].lines("attempt_failed");
    let of = |id: &str| attempts.iter().find(|line| line["request"] == id).cloned();
    let (lost, ended) = (of("c1").expect("its trail line"), of("c2").expect("its trail line"));
    assert_eq!(line["fingerprint"], ended["fingerprint"]);
    assert_ne!(line["fingerprint"], lost["fingerprint"], "fingerprints depend on the content");
    assert_eq!(line["target"], ended["target"]);
    assert_eq!(site.nodes[0].lines("target_ended").len(), 1, "a lost answer is no crash");
}

// Guards against one request that crashes 15 targets: it is sent twelve times, to three nodes in
// turn, each time under a new id.
#[yare::parameterized(
    idempotent = { "/lookup/a" },
    non_idempotent = { "/check/a" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_request_that_has_crashed_three_targets_is_blocked(path: &str) {
    let site = start_site(0, 6).await;

    let last = send_repeatedly(&site, path, 12).await;

    let crashes = crash_count(&site.plain);
    assert!(crashes >= CRASHES_BEFORE_BLOCKED, "{crashes} crashes");
    assert!(crashes <= CRASHES_BEFORE_BLOCKED + LATER_RUNS_MAX, "{crashes} crashes");
    assert_eq!(last.status(), 503, "the answer says that it was not sent");
    assert!(last.headers().contains_key("retry-after"));
    let other = site.call(&site.nodes[0], path, "q1").await.expect("an answer");
    assert_eq!(other.status(), 200, "other requests are served");
}

// Guards against a stream that crashes the engines of a model one after another: a caller opens it
// again and again, at three nodes in turn. Where the engine crashes late, a stream that waited a
// second without an event must not count as survived.
#[yare::parameterized(
    engine_crashes_at_once = { CRASHING_BODY },
    engine_crashes_late = { CRASHING_LATE_BODY },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_stream_that_has_crashed_three_engines_is_blocked(body: &'static str) {
    let site = start_site(6, 0).await;
    let mut statuses = Vec::new();

    for number in 0..10 {
        let request = site
            .client
            .post(format!("http://{}/stream/a", site.nodes[number % 3].callers))
            .header("Host", HOST)
            .header("X-Catkinmast-Request-Id", format!("s{number}"))
            .header("X-Catkinmast-Model", "model-a")
            .body(body);
        let answer = request.send().await.expect("an answer");
        statuses.push(answer.status().as_u16());
        // A stream that breaks does so for the caller too.
        drop(answer.bytes().await);
        sleep(RESTART_AFTER / 2).await;
    }

    let crashes = crash_count(&site.engines);
    assert!(crashes >= CRASHES_BEFORE_BLOCKED, "{crashes} crashes");
    assert!(crashes <= CRASHES_BEFORE_BLOCKED + LATER_RUNS_MAX, "{crashes} crashes");
    assert_eq!(statuses.last(), Some(&503), "{statuses:?}");
}

/// Lets a request crash three targets, and waits until all nodes have blocked it.
async fn block_a_lookup(site: &Site) {
    let answer = site.call_with(&site.nodes[0], "/lookup/a", "p", CRASHING_BODY).await;
    assert_eq!(answer.expect("an answer").status(), 502, "a target may have run it");
    for node in &site.nodes {
        until("the node has blocked it", || async {
            (!node.lines("request_barred").is_empty()).then_some(())
        })
        .await;
    }
}

/// Returns the number of ends in the stored record.
fn stored_ends(site: &Site) -> usize {
    let values = site.store.keys("cm/q/").into_iter().filter_map(|key| site.store.get(&key));
    let ends = values.map(|value| {
        let (evidence, _): (Evidence, Fingerprint) =
            postcard::from_bytes(&value).expect("a record");
        evidence.unrefuted_count()
    });
    ends.max().unwrap_or(0)
}

/// Sends the request to a node once more, which must refuse it.
async fn assert_refused(site: &Site, node: usize, id: &str) {
    let crashes_before = crash_count(&site.plain);
    let answer = site.call_with(&site.nodes[node], "/lookup/a", id, CRASHING_BODY).await;
    assert_eq!(answer.expect("an answer").status(), 503);
    assert!(site.runs.of(id).is_empty(), "no target has run it");
    assert_eq!(crash_count(&site.plain), crashes_before);
}

// Guards against a restarted node that lets a blocked request crash three more targets, because
// evidence is held in memory and not fetched at the start.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_learns_from_its_peers_which_requests_are_blocked() {
    let site = start_site(0, 6).await;
    block_a_lookup(&site).await;

    site.nodes[1].restart();

    until("the restarted node has blocked it", || async {
        (site.nodes[1].lines("request_barred").len() == 2).then_some(())
    })
    .await;
    until("the node is ready", || async { site.is_ready(&site.nodes[1]).await.then_some(()) })
        .await;
    assert_refused(&site, 1, "again").await;
}

// Guards against a blocked request that crashes three more targets after all nodes were killed at
// the same moment and restarted, so that no node holds the evidence.
#[tokio::test(flavor = "multi_thread")]
async fn blocked_requests_stay_blocked_after_a_restart_of_all_nodes() {
    let site = start_site(0, 6).await;
    block_a_lookup(&site).await;
    until("the record is stored", || async {
        (stored_ends(&site) == CRASHES_BEFORE_BLOCKED as usize).then_some(())
    })
    .await;

    for node in &site.nodes {
        node.signal("KILL");
    }
    for node in &site.nodes {
        node.restart();
    }

    site.wait_until_all_listed(3).await;
    for node in &site.nodes {
        until("the restarted node has blocked it", || async {
            (node.lines("request_barred").len() == 2).then_some(())
        })
        .await;
    }
    assert_refused(&site, 2, "again").await;
}

// Guards against each node letting a request crash three targets while the store is unavailable,
// because evidence reaches the others through the store only; it must be stored later, too.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_blocked_during_a_store_outage_is_known_to_all_nodes_and_stored_later() {
    let site = start_site(0, 6).await;
    for node in &site.nodes {
        site.store.set_mode(node.store_endpoint, StoreMode::Refuses);
    }

    block_a_lookup(&site).await;

    assert_refused(&site, 1, "again").await;
    assert_refused(&site, 2, "and again").await;
    for node in &site.nodes {
        site.store.set_mode(node.store_endpoint, StoreMode::Normal);
    }
    until("the record is stored", || async {
        (stored_ends(&site) == CRASHES_BEFORE_BLOCKED as usize).then_some(())
    })
    .await;
}

// Guards against healthy requests that are refused for minutes because they were in flight on
// targets that another request crashed, and were retried elsewhere at the same moment as that
// request. An end counts against all requests that it interrupted; only several ends show which one
// is the cause.
#[tokio::test(flavor = "multi_thread")]
async fn requests_interrupted_by_the_crash_of_another_are_served_when_repeated() {
    let site = start_site(0, 3).await;
    for worker in &site.plain {
        worker.set_pace(10, 60);
    }
    let calls = (0..6).map(|number| {
        let body =
            if number % 3 == 0 { CRASHING_BODY.to_owned() } else { format!("sound {number}") };
        let (site, id) = (&site, format!("q{number}"));
        async move { site.call_with(&site.nodes[number % 3], "/lookup/a", &id, &body).await }
    });

    futures::future::join_all(calls).await;

    until("it is blocked", || async {
        (!site.nodes[0].lines("request_barred").is_empty()).then_some(())
    })
    .await;
    sleep(RESTART_AFTER * 3).await;
    for number in [1, 2, 4, 5] {
        let id = format!("again{number}");
        let body = format!("sound {number}");
        let answer = site.call_with(&site.nodes[number % 3], "/lookup/a", &id, &body).await;
        assert_eq!(answer.expect("an answer").status(), 200, "{body}");
    }
    assert_refused(&site, 1, "p again").await;
}

// Guards against a caller that waits a third of its time for the refusal of a blocked request,
// because its service has no target and blocking is checked only once a target is chosen.
#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_request_is_refused_at_once_if_there_is_no_target() {
    let site = start_site(0, 6).await;
    block_a_lookup(&site).await;
    until("the three have restarted", || async {
        (site.nodes[1].lines("target_joined").len() == 9).then_some(())
    })
    .await;
    for key in site.store.keys("servers/") {
        site.store.remove(&key);
    }
    until("no target is left", || async {
        let joined = site.nodes[1].lines("target_joined").len();
        (site.nodes[1].lines("target_left").len() == joined).then_some(())
    })
    .await;

    assert_refused(&site, 1, "again").await;

    let ended = until("its trail line", || async {
        let lines = site.nodes[1].lines("request_ended");
        lines.into_iter().find(|line| line["request"] == "again")
    })
    .await;
    assert_eq!(ended["why"], "targets have ended while they ran this request");
}

// Guards against healthy requests that are blocked because of a planned stop: a draining target
// breaks the connections of unfinished requests when it ends, which must not count as a crash.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_draining_target_is_no_evidence() {
    let site = Site::start(1, 0, 1).await;
    site.plain[0].set_pace(10, 1_000);
    let node = &site.nodes[0];
    let in_flight = site.call_with(node, "/check/a", "p", CRASHING_BODY);
    let draining = async {
        until("it runs", || async { (!site.runs.of("p").is_empty()).then_some(()) }).await;
        site.store.change("servers/plain-0", |value| {
            let text = String::from_utf8_lossy(value).replace("\"ready\"", "\"draining\"");
            *value = text.into_bytes();
        });
        // A draining target is noted as left.
        until("the node knows that the target is draining", || async {
            (!node.lines("target_left").is_empty()).then_some(())
        })
        .await;
    };

    let (answer, ()) = futures::future::join(in_flight, draining).await;

    assert_eq!(answer.expect("an answer").status(), 502);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(node.lines("target_ended"), Vec::<serde_json::Value>::new());
}

// Guards against a crash that goes undetected because the target is behind a proxy that still
// accepts connections, so that only the registry shows that the target has ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_is_detected_from_the_registry_if_the_address_still_accepts_connections() {
    let site = Site::start(1, 0, 1).await;
    let node = &site.nodes[0];
    site.plain[0].set_restart_after(RESTART_AFTER);
    let proxy = Proxy::start(site.plain[0].address()).await;
    site.store.change("servers/plain-0", |value| {
        let entry = String::from_utf8_lossy(value);
        let direct = site.plain[0].address().to_string();
        *value = entry.replace(&direct, &proxy.address.to_string()).into_bytes();
    });
    proxy.set(Link::Resets);
    until("calls go to the proxy", || async {
        let answer = site.call(node, "/check/a", "q").await.expect("an answer");
        (answer.status() == 502).then_some(())
    })
    .await;
    proxy.set(Link::Open);

    let answer = site.call_with(node, "/check/a", "p", CRASHING_BODY).await;

    assert_eq!(answer.expect("an answer").status(), 502);
    let broken = until("its trail line", || async {
        node.lines("attempt_failed").into_iter().find(|line| line["request"] == "p")
    })
    .await;
    let line = until("the crash is detected", || async {
        let ended = node.lines("target_ended");
        ended.into_iter().find(|line| line["fingerprint"] == broken["fingerprint"])
    })
    .await;
    assert_eq!(line["by"], "registry");
}
