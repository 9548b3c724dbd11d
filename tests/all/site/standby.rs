//! Standby copies: the node that would take over an owner's batches holds copies of them, so that
//! they run on during an outage of the store.

use super::harness::{Node, Site, complete_output, submission, until};
use super::store::{LastWrite, Outage, StoreMode};
use std::time::{Duration, Instant};

/// Time within which outputs that take long are copied: those older than a second, every 0.6 s.
const OUTPUT_COPY_TIME: Duration = Duration::from_secs(2);
/// Time within which a copy arrives, with a large margin.
const COPY_TIME: Duration = Duration::from_millis(500);
/// Time within which an owner notices that its copy is gone and sends it again.
const COPY_REPEAT_TIME: Duration = Duration::from_millis(1_400);
/// Bound on the time from the end of a batch until no more requests of it reach a target.
const CANCEL_BOUND: Duration = Duration::from_secs(3);
/// Time within which an item of 250 events at 50 ms each is run and scored.
const RUN_TIME: Duration = Duration::from_secs(14);

fn set_store_mode(site: &Site, mode: StoreMode) {
    site.nodes.iter().for_each(|node| site.store.set_mode(node.store_endpoint, mode));
}

/// Starts three nodes with a batch of six items; returns its owner and the other nodes.
async fn site_with_batch(event_ms: u64, events: u8) -> (Site, usize, Vec<usize>) {
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(event_ms, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 6, events, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    let others = (0..3).filter(|number| *number != owner).collect();
    (site, owner, others)
}

/// Waits until some other node sees the owner in this state.
async fn until_owner_seems(site: &Site, owner: usize, state: &str) {
    let name = format!("node-{owner}");
    let sees = |node: &Node| {
        let lines = node.lines("node_seen");
        let last = lines.iter().rfind(|line| line["peer"] == name.as_str());
        last.is_some_and(|line| line["state"] == state)
    };
    until("the owner seems so", || async { site.nodes.iter().any(sees).then_some(()) }).await;
}

async fn until_reported_gone(site: &Site, by: &[usize]) {
    for other in by {
        until("the owner is gone to the other nodes", || async {
            let seen = site.nodes[*other].lines("node_seen");
            seen.iter().any(|line| line["state"] == "gone").then_some(())
        })
        .await;
    }
}

// Guards against a step that stalls when its owner dies during an outage of the store. No node can
// take over the batch until the store returns, but its items can run without an owner.
#[yare::parameterized(
    refusing = { StoreMode::Refuses },
    silent = { StoreMode::Unresponsive },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn items_of_a_dead_owner_run_on_during_a_store_outage(outage: StoreMode) {
    let (site, owner, others) = site_with_batch(50, 120).await;
    tokio::time::sleep(OUTPUT_COPY_TIME).await;

    set_store_mode(&site, outage);
    site.nodes[owner].signal("KILL");
    until_reported_gone(&site, &others).await;

    until("all items run again while the store is away", || async {
        (0..6).all(|item| site.runs.of(&format!("b1i{item}")).len() >= 2).then_some(())
    })
    .await;
    tokio::time::sleep(COPY_TIME).await;
    for other in &others {
        assert!(
            site.nodes[*other].lines("batch_taken_over").is_empty(),
            "no node can own the batch yet"
        );
        assert!(site.nodes[*other].lines("results_listed").is_empty(), "no results are listed");
    }
    set_store_mode(&site, StoreMode::Normal);
    let results = site.read_all(&site.nodes[others[0]], "b1", 6).await;
    for result in results {
        let item = result["id"].as_str().expect("an id");
        assert_eq!(result["text"], complete_output(item, 120));
    }
    let interim = others.iter().flat_map(|node| site.nodes[*node].lines("batch_run_in_interim"));
    let resumed_outputs = interim.filter_map(|line| line["resumed"].as_u64()).max();
    assert!(
        resumed_outputs > Some(0),
        "output that the owner had begun is continued: {resumed_outputs:?}"
    );
    let resumed = site.runs.all().iter().filter(|run| run.after > 0).count();
    assert!(resumed > 0, "the new owner continues from the output generated meanwhile");
}

// Guards against a step that stalls while its successor waits to read the batch that was handed over
// to it: the store goes down as the owner stops as planned.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_batch_that_is_handed_over_in_an_outage_run_on_during_it() {
    let site = Site::start(2, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(50, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 6, 120, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    let successor = &site.nodes[1 - owner];
    tokio::time::sleep(OUTPUT_COPY_TIME).await;
    let outage = Outage { needs_creation: false, write: LastWrite::Answered, ..Outage::default() };
    site.store.go_down_after_write_with("cm/h/b1", outage);

    site.nodes[owner].signal("TERM");
    until("the owner has exited", || async { site.nodes[owner].exit_status() }).await;
    tokio::time::sleep(Duration::from_secs(6)).await;

    let interim = successor.lines("batch_run_in_interim");
    assert!(!interim.is_empty(), "no item runs in the outage\n{}", successor.audit_trail());
}

// Guards against items that run although their batch has ended. A batch is ended, and later its
// owner dies during an outage of the store; a copy that outlives its batch would be run.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_an_ended_batch_never_runs() {
    let (site, owner, others) = site_with_batch(100, 80).await;
    tokio::time::sleep(COPY_TIME).await;
    assert_eq!(site.end(&site.nodes[0], "b1").await, 200);
    let ran = site.runs.all().len();

    set_store_mode(&site, StoreMode::Refuses);
    site.nodes[owner].signal("KILL");
    until_reported_gone(&site, &others).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert_eq!(site.runs.all().len(), ran);
    for other in &others {
        assert!(site.nodes[*other].lines("batch_run_in_interim").is_empty());
    }
}

// Guards against results that are listed a second or more after the store returns. The store stops
// answering while a batch runs and returns while the write of results waits; a call that is
// repeated only once it counts as lost is late.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_store_calls_are_repeated_when_the_store_returns() {
    let site = Site::start(3, 3, 1).await;
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 6, 100, 1)).await, 202);
    let owner = &site.nodes[site.owner_of("b1").await];
    set_store_mode(&site, StoreMode::Unresponsive);
    until("the outage is noticed", || async {
        site.nodes.iter().all(|node| !node.lines("store_lost").is_empty()).then_some(())
    })
    .await;
    until("all outputs are complete", || async {
        (owner.lines("item_run").len() == 6).then_some(())
    })
    .await;

    set_store_mode(&site, StoreMode::Normal);

    // The owner or a peer that makes the call for it repeats the call.
    until("a waiting call is repeated", || async {
        site.nodes.iter().any(|node| !node.lines("store_call_again").is_empty()).then_some(())
    })
    .await;
    assert_eq!(site.read_all(&site.nodes[0], "b1", 6).await.len(), 6);
    // By then, calls lost in the outage have timed out and must not count as another outage; a busy
    // machine may cause one more.
    tokio::time::sleep(Duration::from_secs(2)).await;
    for node in &site.nodes {
        assert!(node.lines("store_lost").len() <= 2, "{:?}", node.lines("store_lost"));
    }
}

// Guards against a node that takes a peer's report that the store is back for an answer of the
// store: a node that is still cut off must not report the store as regained.
#[tokio::test(flavor = "multi_thread")]
async fn a_report_that_the_store_is_back_is_not_taken_as_its_answer() {
    let site = Site::start(4, 0, 1).await;
    set_store_mode(&site, StoreMode::Unresponsive);
    until("the outage is noticed", || async {
        site.nodes.iter().all(|node| !node.lines("store_lost").is_empty()).then_some(())
    })
    .await;

    let (cut_off, others) = site.nodes.split_last().expect("nodes");
    for node in others {
        site.store.set_mode(node.store_endpoint, StoreMode::Normal);
    }

    until("the others regain the store", || async {
        others.iter().all(|node| !node.lines("store_regained").is_empty()).then_some(())
    })
    .await;
    // The event log is written a quarter of a second late.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(cut_off.lines("store_regained"), Vec::<serde_json::Value>::new());
}

// Guards against a step that ends up to a second late after an outage of the store. All items are
// run and scored during the outage; if only the generated output is kept, the new owner requests
// each score again.
#[tokio::test(flavor = "multi_thread")]
async fn results_scored_during_an_outage_are_not_scored_again() {
    let (site, owner, others) = site_with_batch(50, 40).await;
    tokio::time::sleep(COPY_TIME).await;

    set_store_mode(&site, StoreMode::Refuses);
    site.nodes[owner].signal("KILL");
    let rewards: Vec<String> = (0..6).map(|item| format!("b1r{item}")).collect();
    until("all items are scored", || async {
        rewards.iter().all(|reward| !site.runs.of(reward).is_empty()).then_some(())
    })
    .await;
    tokio::time::sleep(COPY_TIME).await;
    set_store_mode(&site, StoreMode::Normal);

    assert_eq!(site.read_all(&site.nodes[others[0]], "b1", 6).await.len(), 6);
    for reward in rewards {
        assert_eq!(site.runs.of(&reward).len(), 1, "{reward}");
    }
}

// Guards against interim runs that nothing stops: the owner seems dead twice in an outage, and the
// second interim batch takes the place of the first, whose runs outlive the end of the batch.
#[tokio::test(flavor = "multi_thread")]
async fn no_run_outlives_a_batch_whose_owner_seemed_dead_twice() {
    let site = Site::start(4, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(50, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 2, 250, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    tokio::time::sleep(COPY_TIME).await;
    // The first attempt to take the batch over ends while the owner is frozen again.
    set_store_mode(&site, StoreMode::Unresponsive);
    for frozen_ms in [250, 1_500] {
        site.nodes[owner].signal("STOP");
        until_owner_seems(&site, owner, "gone").await;
        tokio::time::sleep(Duration::from_millis(frozen_ms)).await;
        site.nodes[owner].signal("CONT");
        until_owner_seems(&site, owner, "live").await;
        tokio::time::sleep(COPY_REPEAT_TIME).await;
    }
    set_store_mode(&site, StoreMode::Normal);

    until("the batch is ended", || async {
        (site.end(&site.nodes[owner], "b1").await == 200).then_some(())
    })
    .await;

    let ended_at = Instant::now();
    tokio::time::sleep(RUN_TIME).await;
    let late = site.runs.all().into_iter().filter(|run| run.at > ended_at + CANCEL_BOUND);
    let late: Vec<String> = late.map(|run| run.request).collect();
    let trails: Vec<String> = site.nodes.iter().map(Node::audit_trail).collect();
    assert!(late.is_empty(), "{late:?} ran after the end\n{}", trails.join("\n"));
}
