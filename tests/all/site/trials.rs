//! Requests that were in flight when targets ended, and are sent again to find out whether they are
//! the cause.

use super::crashes::{CRASHES_BEFORE_BLOCKED, start_site};
use super::harness::{Site, until};
use super::store::StoreMode;
use super::worker::Behaviour;
use std::collections::BTreeSet;

/// Waits until all nodes know that the only target has restarted `ends` times.
async fn wait_until_restarted(site: &Site, ends: usize) {
    for node in &site.nodes {
        until("the target has restarted", || async {
            (node.lines("target_joined").len() == ends + 1).then_some(())
        })
        .await;
    }
}

/// Waits until all nodes know the incarnation with this start time.
async fn wait_until_reborn(site: &Site, started_at_ms: u64) {
    for node in &site.nodes {
        until("the target has restarted", || async {
            let restarts = node.lines("target_reborn");
            restarts.iter().any(|line| line["born_at_unix_ms"] == started_at_ms).then_some(())
        })
        .await;
    }
}

// Guards against a healthy request that is refused as long as a crashing one, because both were in
// flight on three targets that ended. Only one more run of each tells them apart, and if every node
// ran each of them, as many targets would crash as there are nodes.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_requests_with_the_same_evidence_each_gets_one_trial_on_one_node() {
    let site = start_site(0, 1).await;
    site.plain[0].set_pace(10, 200);
    let send = |node: usize, id: &str, body: &'static str| {
        let (site, id) = (&site, id.to_owned());
        async move {
            let answer = site.call_with(&site.nodes[node], "/check/a", &id, body).await;
            answer.expect("an answer").status().as_u16()
        }
    };
    for round in 0..3 {
        let together = futures::future::join(
            send(0, &format!("a{round}"), "crash a"),
            send(1, &format!("b{round}"), "crash b"),
        );
        assert_eq!(together.await, (502, 502), "one crash interrupts both");
        wait_until_restarted(&site, round + 1).await;
    }

    let (first, second) =
        futures::future::join(send(0, "trial", "crash a"), send(2, "trial too", "crash a")).await;

    assert_eq!(
        BTreeSet::from([first, second]),
        BTreeSet::from([502, 503]),
        "only one of them runs"
    );
    wait_until_restarted(&site, 4).await;
    assert_eq!(send(1, "barred", "crash a").await, 503);
    assert!(site.runs.of("barred").is_empty());
    send(2, "cleared", "crash b").await;
    assert_eq!(
        site.runs.of("cleared").len(),
        1,
        "the evidence against it is attributed to the other request"
    );
}

// Guards against a request that is refused for a minute although it was never tried: the store's
// answer to the claim of its trial is lost, and the claimant finds its own claim.
#[tokio::test(flavor = "multi_thread")]
async fn a_trial_whose_claim_is_stored_and_not_answered_is_made() {
    let site = start_site(0, 1).await;
    site.plain[0].set_pace(10, 200);
    let send = |node: usize, id: &str, body: &'static str| {
        let (site, id) = (&site, id.to_owned());
        async move {
            let answer = site.call_with(&site.nodes[node], "/check/a", &id, body).await;
            answer.expect("an answer").status().as_u16()
        }
    };
    for round in 0..3 {
        let together = futures::future::join(
            send(0, &format!("a{round}"), "crash a"),
            send(1, &format!("b{round}"), "crash b"),
        );
        assert_eq!(together.await, (502, 502), "one crash interrupts both");
        wait_until_restarted(&site, round + 1).await;
    }
    site.store.set_mode(site.nodes[2].store_endpoint, StoreMode::LosesWriteAnswers);

    let status = send(2, "trial", "crash a").await;

    let runs = site.runs.of("trial").len();
    assert_eq!((status, runs), (502, 1), "{}", site.nodes[2].audit_trail());
}

// Guards against a trial that is made twice: an earlier incarnation of the node has claimed it and
// may have made it, and the node takes that claim for its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_trial_that_an_earlier_incarnation_claimed_is_not_made_again() {
    let site = start_site(0, 1).await;
    site.plain[0].set_pace(10, 200);
    for round in 0..3 {
        let (a, b) = (format!("a{round}"), format!("b{round}"));
        let together = futures::future::join(
            site.call_with(&site.nodes[0], "/check/a", &a, "crash a"),
            site.call_with(&site.nodes[1], "/check/a", &b, "crash b"),
        );
        together.await.0.expect("an answer");
        wait_until_restarted(&site, round + 1).await;
    }
    let node = &site.nodes[2];
    let suspected = until("both are due for a trial", || async {
        Some(node.lines("request_barred")).filter(|lines| lines.len() == 2)
    })
    .await;
    for line in suspected {
        let fingerprint = line["fingerprint"].as_str().expect("a fingerprint");
        let key = format!("cm/qt/{fingerprint}/{CRASHES_BEFORE_BLOCKED}");
        let claimant = line["node"].as_str().expect("a node").as_bytes().to_vec();
        site.store.put_bytes(&key, claimant);
    }
    site.store.set_mode(node.store_endpoint, StoreMode::LosesWriteAnswers);

    let answer = site.call_with(node, "/check/a", "again", "crash a").await.expect("an answer");

    assert_eq!(answer.status(), 503);
    assert!(site.runs.of("again").is_empty(), "its trial may have been made");
    let trial =
        until("the trial is in the log", || async { node.lines("request_trial").first().cloned() });
    assert_eq!(trial.await["ours"], false);
}

// Guards against a harmless request that is refused for a minute: its one trial was spent on an
// attempt that its target refused to run, because the target was full or had just restarted under
// another id at the same address.
#[tokio::test(flavor = "multi_thread")]
async fn a_trial_that_its_target_refused_to_run_is_used_by_the_next_attempt() {
    let mut site = Site::start(2, 0, 1).await;
    site.plain[0].report_start_time(1);
    site.plain[0].set_pace(10, 2_000);
    for round in 0..CRASHES_BEFORE_BLOCKED {
        let (p, q) = (format!("p{round}"), format!("q{round}"));
        let calls = futures::future::join(
            site.call_with(&site.nodes[0], "/check/a", &p, "body p"),
            site.call_with(&site.nodes[1], "/check/a", &q, "body q"),
        );
        let crash = async {
            until("both run", || async {
                (!site.runs.of(&p).is_empty() && !site.runs.of(&q).is_empty()).then_some(())
            })
            .await;
            site.plain[0].crash();
        };
        let (answers, ()) = futures::future::join(calls, crash).await;
        assert_eq!(answers.0.expect("an answer").status(), 502);
        assert_eq!(answers.1.expect("an answer").status(), 502);
        site.plain[0].restart_under_same_id(round + 2).await;
        wait_until_reborn(&site, round + 2).await;
    }
    until("both are due for a trial", || async {
        (site.nodes[1].lines("request_barred").len() == 2).then_some(())
    })
    .await;
    site.plain[0].set_pace(10, 5);
    site.plain[0].set_behaviour(Behaviour::Full);
    let refused = site.call_with(&site.nodes[1], "/check/a", "refused", "body q").await;
    assert_eq!(refused.expect("an answer").status(), 503);
    site.plain[0].set_behaviour(Behaviour::Normal);

    let answer = site.call_with(&site.nodes[1], "/check/a", "again", "body q").await;

    assert_eq!(answer.expect("an answer").status(), 200);
    assert!(site.runs.of("refused").is_empty(), "a refused request does not run");
    let answer = site.call_with(&site.nodes[1], "/check/a", "blocked", "body p").await;
    assert_eq!(answer.expect("an answer").status(), 503);
    assert!(site.runs.of("blocked").is_empty(), "the other request is blocked");
    // The log is written without waiting, so the line may come after the answers.
    until("the trial is in the log", || async {
        (!site.nodes[1].lines("request_trial").is_empty()).then_some(())
    })
    .await;
    let trials = site.nodes[1].lines("request_trial");
    assert_eq!(trials.len(), 1, "the node claims the trial once: {trials:?}");
}

// Guards against a healthy request that is refused for minutes: its target crashes twice, it is
// answered, and its target crashes twice more. The answer has to clear the earlier evidence.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_answered_between_crashes_is_not_blocked() {
    let mut site = Site::start(1, 0, 1).await;
    site.plain[0].report_start_time(1);
    site.plain[0].set_pace(10, 200);
    for incarnation in 1..=4 {
        let id = format!("q{incarnation}");
        let call = site.call(&site.nodes[0], "/check/a", &id);
        let crash = async {
            until("it runs", || async { (!site.runs.of(&id).is_empty()).then_some(()) }).await;
            site.plain[0].crash();
        };
        let (answer, ()) = futures::future::join(call, crash).await;
        assert_eq!(answer.expect("an answer").status(), 502);
        until("the crash is detected", || async {
            (site.nodes[0].lines("target_ended").len() == incarnation as usize).then_some(())
        })
        .await;
        site.plain[0].restart_under_same_id(incarnation + 1).await;
        wait_until_reborn(&site, incarnation + 1).await;
        if incarnation == 2 {
            let answer = site.call(&site.nodes[0], "/check/a", "between").await;
            assert_eq!(answer.expect("an answer").status(), 200);
        }
    }

    let answer = site.call(&site.nodes[0], "/check/a", "last").await;

    assert_eq!(answer.expect("an answer").status(), 200);
}
