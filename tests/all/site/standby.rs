//! The node that would follow an owner holds copies of its batches, for outages of the store.

use super::harness::{Site, complete_output, submission, until};
use super::store::Door;
use std::time::Duration;

/// The time in which texts that last are copied: those of a second's age, every 0.6 s.
const TEXTS_COPIED: Duration = Duration::from_secs(2);
/// The time in which a copy arrives, with much to spare.
const COPIED: Duration = Duration::from_millis(500);

fn set_doors(site: &Site, door: Door) {
    site.nodes.iter().for_each(|node| site.store.set_door(node.store_endpoint, door));
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

async fn until_seen_gone(site: &Site, by: &[usize]) {
    for other in by {
        until("the owner is seen gone", || async {
            let seen = site.nodes[*other].lines("node_seen");
            seen.iter().any(|line| line["state"] == "gone").then_some(())
        })
        .await;
    }
}

// Symptom: a step whose owner dies during an outage of the store stands still until the outage is over.
// Sequence: the store is away, the owner is killed; nobody can take its batch.
// Cause: runs wait for an owner, although they need none.
#[yare::parameterized(
    refusing = { Door::Refuses },
    silent = { Door::Silent },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn items_of_a_dead_owners_batch_run_on_while_the_store_is_away(away: Door) {
    let (site, owner, others) = site_with_batch(50, 120).await;
    tokio::time::sleep(TEXTS_COPIED).await;

    set_doors(&site, away);
    site.nodes[owner].signal("KILL");
    until_seen_gone(&site, &others).await;

    until("all items run again while the store is away", || async {
        (0..6).all(|item| site.runs.of(&format!("b1i{item}")).len() >= 2).then_some(())
    })
    .await;
    tokio::time::sleep(COPIED).await;
    for other in &others {
        assert!(site.nodes[*other].lines("batch_taken_over").is_empty(), "nobody can own it yet");
        assert!(site.nodes[*other].lines("results_listed").is_empty(), "nothing is listed");
    }
    set_doors(&site, Door::Open);
    let results = site.read_all(&site.nodes[others[0]], "b1", 6).await;
    for result in results {
        let item = result["id"].as_str().expect("an id");
        assert_eq!(result["text"], complete_output(item, 120));
    }
    let interim = others.iter().flat_map(|node| site.nodes[*node].lines("batch_run_in_interim"));
    let texts = interim.filter_map(|line| line["resumed"].as_u64()).max();
    assert!(texts > Some(0), "texts that the owner had begun go on: {texts:?}");
    let resumed = site.runs.all().iter().filter(|run| run.after > 0).count();
    assert!(resumed > 0, "the new owner goes on from the texts that were run meanwhile");
}

// Symptom: items run although their batch was ended.
// Sequence: a batch is ended; later its owner dies while the store is away.
// Cause: the copy outlives its batch.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_runs_of_a_copy_whose_batch_was_ended() {
    let (site, owner, others) = site_with_batch(100, 80).await;
    tokio::time::sleep(COPIED).await;
    assert_eq!(site.end(&site.nodes[0], "b1").await, 200);
    let ran = site.runs.all().len();

    set_doors(&site, Door::Refuses);
    site.nodes[owner].signal("KILL");
    until_seen_gone(&site, &others).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert_eq!(site.runs.all().len(), ran);
    for other in &others {
        assert!(site.nodes[*other].lines("batch_run_in_interim").is_empty());
    }
}

// Symptom: results that were ready during an outage are listed a second and more after the store's
// return.
// Sequence: the store falls silent while a batch runs; it returns while the write of results waits.
// Cause: a call to a silent store is only made again when it counts as lost.
#[tokio::test(flavor = "multi_thread")]
async fn what_waits_for_the_store_is_asked_again_as_it_returns() {
    let site = Site::start(3, 3, 1).await;
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 6, 100, 1)).await, 202);
    let owner = &site.nodes[site.owner_of("b1").await];
    set_doors(&site, Door::Silent);
    until("the outage is noticed", || async {
        site.nodes.iter().all(|node| !node.lines("store_lost").is_empty()).then_some(())
    })
    .await;
    until("all texts are whole", || async { (owner.lines("item_run").len() == 6).then_some(()) })
        .await;

    set_doors(&site, Door::Open);

    // At the owner, or at a peer that makes the call for it.
    until("a call that waits is made again", || async {
        site.nodes.iter().any(|node| !node.lines("store_call_again").is_empty()).then_some(())
    })
    .await;
    assert_eq!(site.read_all(&site.nodes[0], "b1", 6).await.len(), 6);
    // What the outage took with it counts as lost by then, and must not be taken for another one; a
    // busy machine may add one of its own.
    tokio::time::sleep(Duration::from_secs(2)).await;
    for node in &site.nodes {
        assert!(node.lines("store_lost").len() <= 2, "{:?}", node.lines("store_lost"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_word_that_the_store_is_back_is_no_answer_of_it() {
    let site = Site::start(4, 0, 1).await;
    set_doors(&site, Door::Silent);
    until("the outage is noticed", || async {
        site.nodes.iter().all(|node| !node.lines("store_lost").is_empty()).then_some(())
    })
    .await;

    let (cut_off, others) = site.nodes.split_last().expect("nodes");
    for node in others {
        site.store.set_door(node.store_endpoint, Door::Open);
    }

    until("the others regain the store", || async {
        others.iter().all(|node| !node.lines("store_regained").is_empty()).then_some(())
    })
    .await;
    // The trail is written a quarter of a second late.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(cut_off.lines("store_regained"), Vec::<serde_json::Value>::new());
}

// Symptom: a step ends up to a second after its owner's successor could own its batch.
// Sequence: all items are run and scored while the store is away; it returns.
// Cause: only the texts are kept, and each score is asked for again.
#[tokio::test(flavor = "multi_thread")]
async fn results_that_were_scored_meanwhile_are_not_scored_again() {
    let (site, owner, others) = site_with_batch(50, 40).await;
    tokio::time::sleep(COPIED).await;

    set_doors(&site, Door::Refuses);
    site.nodes[owner].signal("KILL");
    let rewards: Vec<String> = (0..6).map(|item| format!("b1r{item}")).collect();
    until("all items are scored", || async {
        rewards.iter().all(|reward| !site.runs.of(reward).is_empty()).then_some(())
    })
    .await;
    tokio::time::sleep(COPIED).await;
    set_doors(&site, Door::Open);

    assert_eq!(site.read_all(&site.nodes[others[0]], "b1", 6).await.len(), 6);
    for reward in rewards {
        assert_eq!(site.runs.of(&reward).len(), 1, "{reward}");
    }
}
