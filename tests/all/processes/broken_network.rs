//! Cut, held and late connections between a node and its targets.

use crate::support::fleet::{CALLER, Fleet, FleetSize, verdict};
use catkinmast_standin::Forwarder;
use std::time::Duration;

/// A fleet of one node whose only targets stand behind forwarders.
async fn behind_forwarders(count: u32, answer_after_ms: &str) -> (Fleet, Vec<Forwarder>) {
    let size = FleetSize { engines: 0, nodes: 1, services: count };
    let fleet = Fleet::start_with(&size, &[], &["--answer-after-ms", answer_after_ms]).await;
    let mut forwarders = Vec::new();
    for (number, (_, address)) in fleet.services.iter().enumerate() {
        let near = "127.0.0.1:0".parse().expect("an address");
        let forwarder = Forwarder::spawn(near, *address).await.expect("a forwarder");
        fleet.set_instance(&format!("service-{number}"), "service", *address, "gone").await;
        fleet
            .set_instance(&format!("behind-{number}"), "service", forwarder.address(), "live")
            .await;
        forwarders.push(forwarder);
    }
    let known = async || {
        let status = fleet.status(0).await;
        let targets = status["targets"].as_array()?;
        let all =
            targets.iter().filter(|t| t["name"].as_str().is_some_and(|n| n.starts_with("behind")));
        (all.count() == count as usize && targets.len() == count as usize).then_some(())
    };
    fleet.poll_until("the node knows the forwarders", known).await;
    (fleet, forwarders)
}

/// Calls with a caller's own bound on the time.
async fn call(fleet: &Fleet, path: &str, body: &str, timeout_ms: u64) -> (u16, String) {
    let url = format!("http://{}/v1/call/badges{path}", fleet.nodes[0].http);
    let request = fleet.client.post(url).bearer_auth(CALLER).body(body.to_owned());
    let sent = request.header("Catkinmast-Timeout-Ms", timeout_ms.to_string()).send().await;
    let response = sent.expect("the node answers");
    let status = response.status().as_u16();
    (status, response.text().await.expect("a whole body"))
}

/// Symptom: a caller is told "not run", or waits for ever.
/// Sequence: the connection to the target stands, and no byte passes any more.
/// Cause: a half-open connection looks like one on which nothing was sent.
#[tokio::test]
async fn a_held_connection_ends_at_the_deadline_as_may_have_run() {
    // Arrange
    let (fleet, forwarders) = behind_forwarders(1, "0").await;
    forwarders[0].hold();

    // Act
    let (status, body) = call(&fleet, "/award", "held", 600).await;
    forwarders[0].pass();
    let (after, _) = call(&fleet, "/award", "after", 5_000).await;

    // Assert
    assert_eq!((status, verdict(&body).as_str()), (502, "may_have_run"), "{body}");
    assert_eq!(after, 200, "the target is used again");
    assert!(fleet.count_runs("/award", "held").await <= 1);
}

/// Symptom: a lookup fails although another target could have answered it.
/// Sequence: the connections to one target are cut while its calls run.
/// Cause: a cut is passed on to the caller as it is.
#[tokio::test]
async fn a_cut_lookup_is_answered_by_another_target_and_a_cut_act_is_not_repeated() {
    // Arrange: calls long enough to be cut in their middle.
    let (fleet, forwarders) = behind_forwarders(2, "400").await;
    // The budget for retries is earned by calls.
    for number in 0..20 {
        let (status, _) = call(&fleet, "/progress", &format!("warm-{number}"), 5_000).await;
        assert_eq!(status, 200);
    }

    // Act: whichever target each call is on is cut in the middle of it.
    let cut = |at: usize| {
        let forwarder = &forwarders[at];
        async move {
            tokio::time::sleep(Duration::from_millis(150)).await;
            forwarder.cut();
        }
    };
    let ((lookup, answer), ()) = tokio::join!(call(&fleet, "/progress", "cut", 5_000), cut(0));
    forwarders[0].pass();
    let ((act, problem), (), ()) =
        tokio::join!(call(&fleet, "/award", "cut", 5_000), cut(0), cut(1));

    // Assert
    assert_eq!(lookup, 200, "{answer}");
    assert_eq!(answer, catkinmast_standin::answer_of("/progress", "cut"));
    assert_eq!((act, verdict(&problem).as_str()), (502, "may_have_run"), "{problem}");
    assert_eq!(fleet.count_runs("/award", "cut").await, 1);
}

/// Symptom: the answer to one call is given to another.
/// Sequence: a call passes its deadline; its answer comes while the next call is under way.
/// Cause: a connection with a late answer on it is used again.
#[tokio::test]
async fn a_late_answer_reaches_nobody_else() {
    // Arrange
    let (fleet, _forwarders) = behind_forwarders(1, "500").await;

    // Act
    let (late, problem) = call(&fleet, "/progress", "late", 100).await;
    let (next, answer) = call(&fleet, "/progress", "next", 5_000).await;

    // Assert
    assert_eq!((late, verdict(&problem).as_str()), (502, "may_have_run"), "{problem}");
    assert_eq!(next, 200);
    assert_eq!(answer, catkinmast_standin::answer_of("/progress", "next"));
}
