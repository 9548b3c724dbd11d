//! The health of targets, as nodes share it: what one node has found out keeps the others from
//! sending calls to a dead target, and they use it again after its return.

use super::harness::{Node, Site, until};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Returns the lines of a node's audit trail with this event about a target.
fn lines_about(node: &Node, event: &str, target: &str) -> usize {
    node.lines(event).iter().filter(|line| line["target"] == target).count()
}

/// Sends calls through a node until it has found out that a target is dead.
async fn find_dead(site: &Site, node: usize, target: &str) {
    for number in 0..500 {
        let id = format!("find{number}");
        let answer = site.call(&site.nodes[node], "/lookup/a", &id).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        if lines_about(&site.nodes[node], "target_hinted", target) > 0 {
            return;
        }
    }
    panic!("no call found the dead target: {}", site.nodes[node].audit_trail());
}

async fn wait_until_hinted(site: &Site, target: &str) {
    for node in &site.nodes {
        until("the node has heard of the dead target", || async {
            (lines_about(node, "target_hinted", target) > 0).then_some(())
        })
        .await;
    }
}

// Guards against a dead target that costs each node a call of its own: with 66 nodes and 26 dead
// targets, nearly half of the lookups of two seconds were late.
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_target_found_by_one_node_gets_next_to_no_calls_from_others_until_it_returns() {
    let site = Site::start(4, 0, 6).await;
    let held_port = site.plain[0].crash_and_hold_port().await;
    find_dead(&site, 0, "plain-0").await;
    wait_until_hinted(&site, "plain-0").await;
    let before: usize =
        site.nodes.iter().map(|node| lines_about(node, "attempt_failed", "plain-0")).sum();

    let started = Instant::now();
    let mut calls = 0;
    while started.elapsed() < Duration::from_secs(5) {
        let node = &site.nodes[calls % site.nodes.len()];
        let answer = site.call(node, "/lookup/a", &format!("q{calls}")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        calls += 1;
        sleep(Duration::from_millis(10)).await;
    }
    let failed: usize =
        site.nodes.iter().map(|node| lines_about(node, "attempt_failed", "plain-0")).sum();
    assert!(calls >= 40, "{calls} calls");
    assert!(failed - before <= 2, "{} of {calls} calls went to it first", failed - before);
    site.plain[0].listen_again(held_port).await;
    let returned = Instant::now();
    let ran_before = site.plain[0].ran().len();
    until("the target is used again", || async {
        for node in &site.nodes {
            let id = format!("r{}", returned.elapsed().as_micros());
            let answer = site.call(node, "/lookup/a", &id).await.expect("an answer");
            assert_eq!(answer.status(), 200);
        }
        (site.plain[0].ran().len() > ran_before).then_some(())
    })
    .await;
    let used_after = returned.elapsed();

    assert!(used_after < Duration::from_secs(5), "used again after {used_after:?}");
    for node in &site.nodes {
        until("the node has heard of its return", || async {
            (lines_about(node, "target_hint_cleared", "plain-0") > 0).then_some(())
        })
        .await;
    }
}

// Guards against a target that gets no calls because of what its earlier incarnation did.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_restarts_under_its_id_gets_calls_at_once() {
    let mut site = Site::start(3, 0, 3).await;
    for worker in &mut site.plain {
        worker.report_start_time(1_000);
    }
    site.plain[0].crash();
    find_dead(&site, 0, "plain-0").await;
    wait_until_hinted(&site, "plain-0").await;

    site.plain[0].restart_under_same_id(2_000).await;
    for node in &site.nodes {
        until("the node has heard of the restart", || async {
            let is_restart = |line: &serde_json::Value| {
                line["target"] == "plain-0" && line["born_at_unix_ms"] == 2_000
            };
            node.lines("target_reborn").iter().any(is_restart).then_some(())
        })
        .await;
    }
    for number in 0..8 {
        let id = format!("q{number}");
        let answer = site.call(&site.nodes[1], "/lookup/a", &id).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }

    assert!(!site.plain[0].ran().is_empty(), "{}", site.nodes[1].audit_trail());
}
