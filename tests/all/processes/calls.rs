//! Verdicts, at most once, and leaving targets.

use crate::support::fleet::{Fleet, FleetSize, verdict};
use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The size that a call needs.
fn small() -> FleetSize {
    FleetSize { engines: 0, nodes: 3, services: 2 }
}

/// A target that reads each request and closes the connection without an answer.
///
/// Returns its address and how many requests it has read.
fn closing_target() -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the bound address");
    let read = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&read);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4_096];
            if stream.read(&mut request).is_ok_and(|size| size > 0) {
                counter.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    (address, read)
}

/// Symptom: a mechanic is sent twice.
/// Sequence: a caller loses its connection while its call runs, and sends the call again, to
/// another node.
/// Cause: the second node cannot know that the first one has passed the call on.
#[tokio::test]
async fn a_resent_call_with_a_ticket_runs_once() {
    // Arrange
    let fleet = Fleet::start_with(&small(), &[], &["--answer-after-ms", "1500"]).await;
    let ticket = format!("{}resend-1", fleet.ticket_prefix(0).await);

    // Act: hang up in the middle of the call, then send it to the other nodes.
    let first = fleet.call(0, "/award", "badge-7", Some(&ticket));
    let hung_up = tokio::time::timeout(std::time::Duration::from_millis(500), first).await;
    let through_other = fleet
        .poll_until("the recorded answer comes", async || {
            let (status, body) = fleet.call(1, "/award", "badge-7", Some(&ticket)).await;
            (status == 200).then_some(body)
        })
        .await;
    let (status, through_third) = fleet.call(2, "/award", "badge-7", Some(&ticket)).await;

    // Assert
    assert!(hung_up.is_err(), "the first sending was given up on in the middle");
    assert_eq!(status, 200);
    assert_eq!(through_other, through_third, "every sending gets the one answer");
    assert!(through_other.contains("\"whole\":true"));
    assert_eq!(fleet.count_runs("/award", "badge-7").await, 1);
}

/// Symptom: a call is run twice, or its caller is told "not run" although it ran.
/// Sequence: the node that ran the call is killed before its caller has read the answer; the
/// caller sends the call to another node.
/// Cause: what the killed node remembered is gone, so nobody can know whether the call ran.
#[tokio::test]
async fn after_the_ticket_node_is_killed_the_verdict_is_may_have_run() {
    // Arrange
    let mut fleet = Fleet::start(&small()).await;
    let ticket = format!("{}killed-1", fleet.ticket_prefix(0).await);
    let (first, _) = fleet.call(0, "/award", "badge-8", Some(&ticket)).await;

    // Act
    fleet.nodes[0].process.signal("KILL");
    assert_eq!(fleet.nodes[0].process.exit_code(), None, "killed by the signal");
    let (status, body) = fleet.call(1, "/award", "badge-8", Some(&ticket)).await;

    // Assert
    assert_eq!(first, 200);
    assert_eq!((status, verdict(&body).as_str()), (502, "may_have_run"), "{body}");
    assert_eq!(fleet.count_runs("/award", "badge-8").await, 1);
}

/// Symptom: a call is run twice.
/// Sequence: the node that ran the call is killed, and another process starts under its name and at
/// its addresses; the caller sends the call again, straight to it.
/// Cause: the new process remembers nothing and takes the ticket for a new one.
#[tokio::test]
async fn a_restarted_node_does_not_run_a_ticket_of_its_earlier_life() {
    // Arrange
    let mut fleet = Fleet::start(&small()).await;
    let ticket = format!("{}restarted-1", fleet.ticket_prefix(0).await);
    let (first, _) = fleet.call(0, "/award", "badge-11", Some(&ticket)).await;

    // Act
    fleet.replace_node(0);
    let (status, body) = fleet
        .poll_until("the new life serves", async || {
            let (status, body) = fleet.call(0, "/award", "badge-11", Some(&ticket)).await;
            (status != 0 && verdict(&body) != "not_run").then_some((status, body))
        })
        .await;

    // Assert
    assert_eq!(first, 200);
    assert_eq!((status, verdict(&body).as_str()), (502, "may_have_run"), "{body}");
    assert_eq!(fleet.count_runs("/award", "badge-11").await, 1);
}

/// Symptom: a call that may not be repeated reaches the target twice.
/// Sequence: the target reads the request and closes the connection without an answer.
/// Cause: HTTP clients send again by themselves when a pooled connection dies.
#[tokio::test]
async fn a_target_that_reads_and_closes_is_asked_once() {
    // Arrange: the only target closes.
    let fleet = Fleet::start(&FleetSize { engines: 0, nodes: 1, services: 0 }).await;
    let (address, requests) = closing_target();
    fleet.set_instance("closing", "service", address, "live").await;
    let known = async || {
        let status = fleet.status(0).await;
        (status["targets"].as_array().map_or(0, Vec::len) == 1).then_some(())
    };
    fleet.poll_until("the target is known", known).await;

    // Act
    let (status, body) = fleet.call(0, "/award", "badge-9", None).await;

    // Assert
    assert_eq!((status, verdict(&body).as_str()), (502, "may_have_run"), "{body}");
    assert_eq!(requests.load(Ordering::SeqCst), 1);
}

/// Symptom: a caller waits, or is told that its call may have run, although nobody was asked.
/// Sequence: the only target's port is closed.
/// Cause: the verdict is taken from the kind of error instead of from how far the bytes got.
#[tokio::test]
async fn a_refused_connection_is_truly_not_run() {
    // Arrange: a port that was free a moment ago and has nobody behind it.
    let fleet = Fleet::start(&FleetSize { engines: 0, nodes: 1, services: 0 }).await;
    let address = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.local_addr().expect("the bound address")
    };
    fleet.set_instance("absent", "service", address, "live").await;
    fleet
        .poll_until("the target is known", async || {
            let status = fleet.status(0).await;
            (status["targets"].as_array().map_or(0, Vec::len) == 1).then_some(())
        })
        .await;

    // Act
    let (status, body) = fleet.call(0, "/award", "badge-10", None).await;

    // Assert
    assert_eq!((status, verdict(&body).as_str()), (503, "not_run"), "{body}");
    let problem: serde_json::Value = serde_json::from_str(&body).expect("a problem");
    assert!(problem["retry_at_unix_ms"].is_u64(), "it says when to come back: {body}");
}

/// Symptom: an instance that leaves still gets new calls.
/// Sequence: a target begins to leave; the platform's list does not say so yet. One node asks it
/// and is refused.
/// Cause: the other nodes know only the list, which lags.
#[tokio::test]
async fn a_leaving_target_is_left_alone_by_all_nodes_after_one_refusal() {
    // Arrange
    let fleet = Fleet::start(&small()).await;
    let leave = format!("http://{}/standin/leave", fleet.services[0].1);
    let sent = fleet.client.post(leave).send().await;
    assert!(sent.expect("the service answers").status().is_success());

    // Act: calls through one node until the target's refusal was seen.
    fleet
        .poll_until("one node sees the refusal", async || {
            let (status, body) = fleet.call(0, "/progress", "youth-1", None).await;
            assert_eq!(status, 200, "a refused idempotent call goes to another target: {body}");
            let known = fleet.status(0).await;
            let targets = known["targets"].as_array().cloned().unwrap_or_default();
            targets.iter().any(|target| target["state"] == "leaving").then_some(())
        })
        .await;

    // Assert: every node knows it by the rumour, while the platform still lists it as live.
    for node in 0..fleet.nodes.len() {
        fleet
            .poll_until("the rumour has arrived", async || {
                let known = fleet.status(node).await;
                let targets = known["targets"].as_array().cloned().unwrap_or_default();
                let found = targets.iter().find(|target| target["name"] == "service-0")?;
                let told = found["state"] == "leaving" && found["report"] == "refusal";
                told.then_some(())
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
