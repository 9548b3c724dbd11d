//! Calls of plain services: verdicts, at-most-once execution, and draining targets.

use crate::support::fleet::{Fleet, FleetSize, verdict};
use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Returns the size of the fleet that most of these tests use.
fn three_nodes() -> FleetSize {
    FleetSize { engines: 0, nodes: 3, services: 2 }
}

/// Starts a target that reads each request and closes the connection without an answer.
///
/// Returns its address and the number of requests that it has read.
fn closing_target() -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the bound address");
    let request_count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&request_count);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4_096];
            if stream.read(&mut request).is_ok_and(|size| size > 0) {
                counter.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    (address, request_count)
}

// Guards against a call that runs twice: a caller loses its connection during the call and sends it
// again to another node, which cannot know that the first node has forwarded it to a target.
#[tokio::test]
async fn a_resent_call_with_a_ticket_runs_once() {
    let fleet = Fleet::start_with(&three_nodes(), &[], &["--answer-after-ms", "1500"]).await;
    let ticket = format!("{}resend-1", fleet.ticket_prefix(0).await);

    // The first attempt is abandoned during the call, which is then sent to the other nodes.
    let first_attempt = fleet.call(0, "/award", "badge-7", Some(&ticket));
    let abandoned =
        tokio::time::timeout(std::time::Duration::from_millis(500), first_attempt).await;
    let second_answer = fleet
        .poll_until("the recorded answer is returned", async || {
            let (status, body) = fleet.call(1, "/award", "badge-7", Some(&ticket)).await;
            (status == 200).then_some(body)
        })
        .await;
    let (status, third_answer) = fleet.call(2, "/award", "badge-7", Some(&ticket)).await;

    assert!(abandoned.is_err(), "the first attempt was abandoned during the call");
    assert_eq!(status, 200);
    assert_eq!(second_answer, third_answer, "every attempt gets the same answer");
    assert!(second_answer.contains("\"whole\":true"));
    assert_eq!(fleet.count_runs("/award", "badge-7").await, 1);
}

// Guards against a call that runs twice, or is answered `not_run` although it ran: the node that
// ran it is killed before the caller reads the answer, and the ticket's record is lost with it. The
// node to which the caller sends the call again cannot know whether it ran.
#[tokio::test]
async fn after_the_ticket_node_is_killed_the_verdict_is_may_have_run() {
    let mut fleet = Fleet::start(&three_nodes()).await;
    let ticket = format!("{}killed-1", fleet.ticket_prefix(0).await);
    let (first, _) = fleet.call(0, "/award", "badge-8", Some(&ticket)).await;

    fleet.nodes[0].process.signal("KILL");
    assert_eq!(fleet.nodes[0].process.exit_code(), None, "killed by the signal");
    let (status, body) = fleet.call(1, "/award", "badge-8", Some(&ticket)).await;

    assert_eq!(first, 200);
    assert_eq!((status, verdict(&body).as_str()), (502, "may_have_run"), "{body}");
    assert_eq!(fleet.count_runs("/award", "badge-8").await, 1);
}

// Guards against a call that runs twice: the node that ran it is killed and restarted with the same
// name and addresses. The new process has no record of the ticket and takes it for a new one.
#[tokio::test]
async fn a_restarted_node_does_not_run_a_ticket_of_its_earlier_incarnation() {
    let mut fleet = Fleet::start(&three_nodes()).await;
    let ticket = format!("{}restarted-1", fleet.ticket_prefix(0).await);
    let (first, _) = fleet.call(0, "/award", "badge-11", Some(&ticket)).await;

    fleet.replace_node(0);
    let (status, body) = fleet
        .poll_until("the new incarnation serves", async || {
            let (status, body) = fleet.call(0, "/award", "badge-11", Some(&ticket)).await;
            (status != 0 && verdict(&body) != "not_run").then_some((status, body))
        })
        .await;

    assert_eq!(first, 200);
    assert_eq!((status, verdict(&body).as_str()), (502, "may_have_run"), "{body}");
    assert_eq!(fleet.count_runs("/award", "badge-11").await, 1);
}

// Guards against a non-idempotent call that reaches the target twice: the target closes the
// connection without an answer, and HTTP clients resend on their own if a pooled connection closes.
#[tokio::test]
async fn a_call_is_sent_once_to_a_target_that_closes_without_an_answer() {
    let fleet = Fleet::start(&FleetSize { engines: 0, nodes: 1, services: 0 }).await;
    let (address, requests) = closing_target();
    fleet.set_instance("closing", "service", address, "live").await;
    let target_listed = async || {
        let status = fleet.status(0).await;
        (status["targets"].as_array().map_or(0, Vec::len) == 1).then_some(())
    };
    fleet.poll_until("the target is listed", target_listed).await;

    let (status, body) = fleet.call(0, "/award", "badge-9", None).await;

    assert_eq!((status, verdict(&body).as_str()), (502, "may_have_run"), "{body}");
    assert_eq!(requests.load(Ordering::SeqCst), 1);
}

// Guards against a call that hangs or is answered `may_have_run` although the only target's port is
// closed: the verdict is derived from the kind of error instead of from whether anything was sent.
#[tokio::test]
async fn a_call_is_answered_not_run_after_a_refused_connection() {
    let fleet = Fleet::start(&FleetSize { engines: 0, nodes: 1, services: 0 }).await;
    // The listener is dropped at once, so that nothing listens on its port.
    let address = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.local_addr().expect("the bound address")
    };
    fleet.set_instance("absent", "service", address, "live").await;
    fleet
        .poll_until("the target is listed", async || {
            let status = fleet.status(0).await;
            (status["targets"].as_array().map_or(0, Vec::len) == 1).then_some(())
        })
        .await;

    let (status, body) = fleet.call(0, "/award", "badge-10", None).await;

    assert_eq!((status, verdict(&body).as_str()), (503, "not_run"), "{body}");
    let problem: serde_json::Value = serde_json::from_str(&body).expect("a problem");
    assert!(problem["retry_at_unix_ms"].is_u64(), "it has a retry time: {body}");
}

// Guards against a call answered `not_run` although its first attempt ran: no other target is left.
#[tokio::test]
async fn a_lookup_whose_answer_was_lost_is_not_answered_not_run() {
    let fleet = Fleet::start(&FleetSize { engines: 0, nodes: 1, services: 0 }).await;
    let (address, requests) = closing_target();
    fleet.set_instance("closing", "service", address, "live").await;
    let target_listed = async || {
        let status = fleet.status(0).await;
        (status["targets"].as_array().map_or(0, Vec::len) == 1).then_some(())
    };
    fleet.poll_until("the target is listed", target_listed).await;

    let mut outcomes = Vec::new();
    for number in 0..30 {
        let before = requests.load(Ordering::SeqCst);
        let (_, body) = fleet.call(0, "/progress", &format!("badge-{number}"), None).await;
        outcomes.push((verdict(&body), requests.load(Ordering::SeqCst) - before));
    }

    let is_false = |(verdict, sent): &(String, usize)| verdict == "not_run" && *sent > 0;
    assert!(!outcomes.iter().any(is_false), "verdicts and requests at the target: {outcomes:?}");
}

// Guards against new calls to a target that has begun to drain (state `leaving`): it refuses a call
// of one node, but the other nodes know only the platform's list, which lags and shows it as live.
#[tokio::test]
async fn after_one_refusal_no_node_calls_a_leaving_target() {
    let fleet = Fleet::start(&three_nodes()).await;
    let leave_url = format!("http://{}/standin/leave", fleet.services[0].1);
    let sent = fleet.client.post(leave_url).send().await;
    assert!(sent.expect("the service answers").status().is_success());

    fleet
        .poll_until("one node sees the refusal", async || {
            let (status, body) = fleet.call(0, "/progress", "youth-1", None).await;
            assert_eq!(status, 200, "a refused idempotent call goes to another target: {body}");
            let status_view = fleet.status(0).await;
            let targets = status_view["targets"].as_array().cloned().unwrap_or_default();
            targets.iter().any(|target| target["state"] == "leaving").then_some(())
        })
        .await;

    // The nodes learn of it from each other while the platform still lists the target as live.
    for node in 0..fleet.nodes.len() {
        fleet
            .poll_until("the node has received the report", async || {
                let status_view = fleet.status(node).await;
                let targets = status_view["targets"].as_array().cloned().unwrap_or_default();
                let found = targets.iter().find(|target| target["name"] == "service-0")?;
                let received = found["state"] == "leaving" && found["report"] == "refusal";
                received.then_some(())
            })
            .await;
        for number in 0..20 {
            let (status, body) =
                fleet.call(node, "/progress", &format!("after-{number}"), None).await;
            assert_eq!(status, 200, "{body}");
        }
    }
    let url = format!("http://{}/standin/runs", fleet.services[0].1);
    let runs = fleet.client.get(url).send().await.expect("the service answers");
    let runs: Vec<serde_json::Value> = runs.json().await.expect("a list of runs");
    let after =
        runs.iter().filter(|run| run["body"].as_str().is_some_and(|b| b.starts_with("after")));
    assert_eq!(after.count(), 0);
}
