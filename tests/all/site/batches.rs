//! Batches: accepted once, complete outputs and fixed positions of results, whichever process
//! fails.

use super::harness::{Site, complete_output, submission, until};
use super::store::{LastWrite, Outage, StoreMode};
use super::worker::{Behaviour, Worker};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use catkinmast_dispatch::{Chunk, ItemResult, ItemState};
use catkinmast_model::UnixMs;
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const ITEMS: usize = 8;

fn ids(results: &[Value]) -> BTreeSet<String> {
    results.iter().map(|result| result["id"].as_str().unwrap_or_default().to_owned()).collect()
}

fn assert_complete(results: &[Value], events: u64) {
    assert_eq!(ids(results).len(), results.len(), "an item is listed twice: {results:?}");
    for result in results {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "completed", "{result}");
        assert_eq!(result["text"], complete_output(id, events));
        let score = result["score"].as_str().expect("a score");
        assert!(score.starts_with("stamp.plain-"), "the score comes from the scorer: {score}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_is_run_scored_and_read_at_every_node() {
    let site = Site::start(3, 3, 1).await;

    let status = site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 5, 1)).await;

    assert_eq!(status, 202);
    let first = site.read_all(&site.nodes[0], "b1", ITEMS).await;
    assert_complete(&first, 5);
    for node in &site.nodes {
        assert_eq!(site.read_all(node, "b1", ITEMS).await, first);
    }
    assert!(first.iter().all(|result| result["versions"] == serde_json::json!([1])));
    assert_eq!(site.end(&site.nodes[1], "b1").await, 200);
    assert_eq!(site.end(&site.nodes[2], "b1").await, 200);
    assert_eq!(site.end(&site.nodes[2], "nobody").await, 404);
}

// Guards against a batch that runs twice or is lost: the store commits the submission but its
// answer is lost, and the trainer submits again. The second submission must not count as a new
// batch, nor the first as not stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_is_accepted_once_when_the_answer_to_its_write_is_lost() {
    let site = Site::start(1, 2, 1).await;
    let endpoint = site.nodes[0].store_endpoint;
    site.store.set_mode(endpoint, StoreMode::LosesWriteAnswers);
    let batch = submission("b1", ITEMS, 3, 1);
    let store_returns = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.store.set_mode(endpoint, StoreMode::Normal);
    };

    let (status, ()) = tokio::join!(site.submit(&site.nodes[0], "b1", &batch), store_returns);
    let again = site.submit(&site.nodes[0], "b1", &batch).await;

    assert_eq!((status, again), (202, 202));
    assert_complete(&site.read_all(&site.nodes[0], "b1", ITEMS).await, 3);
    assert_eq!(site.store.keys("cm/h/").len(), 1);
}

// Guards against a step that stalls because the owner of its batch was killed while some results
// were listed and some items ran: no other node takes over, or positions change with the new owner.
#[tokio::test(flavor = "multi_thread")]
async fn the_batch_of_a_killed_owner_continues_elsewhere_with_the_same_positions() {
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(30, 5);
    }
    let batch = submission("b1", 30, 12, 1);
    assert_eq!(site.submit(&site.nodes[0], "b1", &batch).await, 202);
    let owner = site.owner_of("b1").await;
    let reader = (owner + 1) % 3;
    let before = until("some results", || async {
        site.read(&site.nodes[reader], "b1", 0).await.filter(|page| !page.is_empty())
    })
    .await;

    site.nodes[owner].signal("KILL");

    let all = site.read_all(&site.nodes[reader], "b1", 30).await;
    assert_complete(&all, 12);
    assert_eq!(all[..before.len()], before[..]);
    site.nodes[owner].restart();
    until("the restarted node serves the same", || async {
        let read = site.read(&site.nodes[owner], "b1", 0).await?;
        (read == all).then_some(())
    })
    .await;
}

// Guards against results that disappear or change position after they were read: an owner is paused
// until another node takes over its batch, and on resuming answers and writes with outdated state.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_resumes_from_a_pause_shows_no_outdated_results() {
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(20, 5);
    }
    let batch = submission("b1", 30, 10, 1);
    assert_eq!(site.submit(&site.nodes[0], "b1", &batch).await, 202);
    let owner = site.owner_of("b1").await;
    let reader = (owner + 1) % 3;

    site.nodes[owner].signal("STOP");
    let all = site.read_all(&site.nodes[reader], "b1", 30).await;
    site.nodes[owner].signal("CONT");

    assert_complete(&all, 10);
    let shown = until("the resumed node answers", || async {
        site.read(&site.nodes[owner], "b1", 0).await
    })
    .await;
    assert_eq!(shown, all);
}

// Guards against runs on a slow target that make no progress because they move every 300 ms. The
// other target is full, and its slots become free one by one: if all runs on the slow target are
// stopped for one free slot, all but one restart there and their prompts are read again.
#[tokio::test(flavor = "multi_thread")]
async fn a_free_slot_moves_only_one_run_from_a_slow_target() {
    let site = Site::start(1, 4, 1).await;
    let [slow, fast, ..] = ["engine-0", "engine-2"];
    for engine in &site.engines {
        engine.set_pace(if engine.id == slow { 400 } else { 40 }, 5);
    }
    let mut batch = submission("b1", ITEMS, 0, 1);
    for (number, item) in batch["items"].as_array_mut().expect("items").iter_mut().enumerate() {
        item["body"] = STANDARD.encode([20 + 5 * number as u8]).into();
    }

    assert_eq!(site.submit(&site.nodes[0], "b1", &batch).await, 202);
    let all = site.read_all(&site.nodes[0], "b1", ITEMS).await;

    assert_eq!(all.len(), ITEMS);
    let runs_of = |number| site.runs.of(&format!("b1i{number}"));
    let moved = (0..ITEMS).filter(|number| runs_of(*number).len() > 1).count();
    assert!(moved > 0, "no run has moved from {slow} to {fast}");
    for number in 0..ITEMS {
        let runs = runs_of(number);
        assert!(runs.len() <= 2, "item {number} ran at {:?}", runs.iter().map(|r| &r.worker));
    }
}

// Guards against items that reach targets 4.5 s after their batch was ended, where 3 s are allowed.
// Another node ends the batch because its owner is slow to answer, the datagrams about it are lost,
// and no group becomes complete, so an owner that notices only when it writes results runs on.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_is_not_notified_learns_of_the_end_from_the_store() {
    // The number of slots of the model's only engine.
    const AT_ONCE: usize = 4;
    let site = Site::start(1, 2, 1).await;
    for engine in &site.engines {
        engine.set_pace(100, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", AT_ONCE, 100, 1)).await, 202);
    until("items run", || async { (site.runs.all().len() >= AT_ONCE).then_some(()) }).await;

    site.store.change("cm/h/b1", |record| {
        // The `ended` flag follows the time of acceptance, a variable-length integer.
        let time_end =
            record.iter().position(|byte| byte & 0x80 == 0).expect("the last byte of the time");
        record[time_end + 1] = 1;
    });

    until("all runs are cancelled before they complete", || async {
        let abandoned: u64 = site.engines.iter().map(Worker::abandoned).sum();
        (abandoned >= AT_ONCE as u64).then_some(())
    })
    .await;
}

// Guards against a reader that gets fewer results than before. An owner is paused, another node
// takes over its batch and lists a result, and the owner is not notified. When it resumes, it must
// not answer waiting reads from memory before it has verified its ownership with the store.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_resumes_unaware_of_its_replacement_verifies_ownership_before_it_answers() {
    let site = Site::start(1, 2, 1).await;
    for engine in &site.engines {
        engine.set_pace(200, 5);
    }
    let node = &site.nodes[0];
    assert_eq!(site.submit(node, "b1", &submission("b1", 4, 200, 1)).await, 202);
    until("items run", || async { (site.runs.all().len() >= 4).then_some(()) }).await;
    let listed = ItemResult {
        score: Some("stamp".to_owned()),
        state: ItemState::Completed,
        text: "text".to_owned(),
        versions: vec![1],
        ..ItemResult::errored("b1i0")
    };
    let chunk = Chunk { number: 0, results: vec![listed] };

    node.signal("STOP");
    site.store.put_bytes("cm/d/b1/c00000", postcard::to_stdvec(&chunk).expect("a chunk"));
    site.store.change("cm/h/b1", |record| {
        let name = record.windows(6).position(|bytes| bytes == b"node-0").expect("the owner");
        record[name + 5] = b'9';
    });
    let reads = (0..8).map(|_| site.read_within(node, "b1", 0, 0));
    let resume = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        node.signal("CONT");
    };
    let (pages, ()) = tokio::join!(futures::future::join_all(reads), resume);

    for page in pages.into_iter().flatten() {
        assert_eq!(ids(&page), BTreeSet::from(["b1i0".to_owned()]));
    }
    let page = until("the owner answers", || async { site.read(node, "b1", 0).await }).await;
    assert_eq!(page.len(), 1);
}

// Guards against a batch with two owners, whose items run twice: an owner is paused for 1.5 s while
// all other nodes restart, and they take it for dead because they do not know it yet.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_nodes_do_not_take_batches_from_owners_unknown_to_them() {
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(60, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 6, 80, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    let others: Vec<usize> = (0..3).filter(|number| *number != owner).collect();

    site.nodes[owner].signal("STOP");
    // Kill all before restarting any: a restarted node would learn of the owner from a live one.
    for other in &others {
        site.nodes[*other].signal("KILL");
    }
    for other in &others {
        site.nodes[*other].restart();
    }
    for other in &others {
        until("the restarted node is ready", || async {
            site.is_ready(&site.nodes[*other]).await.then_some(())
        })
        .await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.nodes[owner].signal("CONT");

    assert_complete(&site.read_all(&site.nodes[owner], "b1", 6).await, 80);
    let taken: Vec<Value> =
        site.nodes.iter().flat_map(|node| node.lines("batch_taken_over")).collect();
    assert_eq!(taken, Vec::<Value>::new());
}

// Guards against a lost step: a batch whose owner dies during a store outage is idle for up to 8 s,
// half of them after the outage. The other nodes search the store for its batches and fail; if the
// next search follows only 4 s later, the store's return in between is not used.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_whose_owner_died_in_an_outage_is_taken_over_when_the_store_returns() {
    // Half of the interval between two searches.
    const TAKEN_WITHIN_MS: u64 = 2_000;
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(100, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 6, 80, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    let others: Vec<usize> = (0..3).filter(|number| *number != owner).collect();
    let set_modes =
        |mode| site.nodes.iter().for_each(|node| site.store.set_mode(node.store_endpoint, mode));

    set_modes(StoreMode::Refuses);
    site.nodes[owner].signal("KILL");
    for other in &others {
        until("the owner is reported gone", || async {
            let seen = site.nodes[*other].lines("node_seen");
            seen.iter().any(|line| line["state"] == "gone").then_some(())
        })
        .await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    // Not read from the trail: a watch from before the outage may be answered late and log a
    // return.
    let store_returned_ms = UnixMs::from_wall_clock().0;
    set_modes(StoreMode::Normal);

    let taken = until("another node takes over the batch", || async {
        let taken = |number: &usize| site.nodes[*number].lines("batch_taken_over").pop();
        others.iter().find_map(taken)
    })
    .await;
    let taken_ms = taken["at_unix_ms"].as_u64().expect("a time");
    let trails: String = others.iter().map(|number| site.nodes[*number].audit_trail()).collect();
    let latest_ms = store_returned_ms + TAKEN_WITHIN_MS;
    assert!(taken_ms < latest_ms, "taken over after {latest_ms}: {taken}\n{trails}");
}

// Guards against items that run long after their batch was ended: all nodes are restarted while it
// runs, nodes that know only some of the others take it over from live owners, and the former
// owners go on running it.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_restart_of_all_nodes_a_batch_has_one_owner_and_its_end_stops_all_runs() {
    let site = Site::start(5, 4, 1).await;
    for engine in &site.engines {
        engine.set_pace(100, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 24, 40, 1)).await, 202);
    for node in &site.nodes {
        node.signal("KILL");
    }
    for node in &site.nodes {
        node.restart();
    }
    until("the batch runs again", || async {
        let taken = site.nodes.iter().any(|node| !node.lines("batch_taken_over").is_empty());
        taken.then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let takers = site.nodes.iter().filter(|node| !node.lines("batch_taken_over").is_empty());

    assert_eq!(takers.count(), 1, "one node has taken over the batch");
    until("the end is confirmed", || async {
        (site.end(&site.nodes[1], "b1").await == 200).then_some(())
    })
    .await;
    let ended = Instant::now();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let late = site.runs.all().into_iter().filter(|run| run.at > ended + Duration::from_secs(1));
    assert_eq!(late.count(), 0, "nothing runs after the end");
}

// Guards against a node that refuses trainers because the store refuses or ignores that node alone;
// it has to make its calls through a peer instead.
#[yare::parameterized(
    refused = { StoreMode::Refuses },
    silent = { StoreMode::Unresponsive },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_node_that_the_store_refuses_reaches_it_through_peers(mode: StoreMode) {
    let site = Site::start(3, 2, 1).await;
    for index in 0..2 {
        site.store.set_mode(site.nodes[index].store_endpoint, mode);
    }

    let status = site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 3, 1)).await;

    assert_eq!(status, 202);
    assert_complete(&site.read_all(&site.nodes[1], "b1", ITEMS).await, 3);
    assert_eq!(site.end(&site.nodes[1], "b1").await, 200);
}

// Guards against a step that waits for one item until its trainer gives up, or an output with a gap
// or a repeated part: a target stops sending in mid-stream and keeps the connection open.
#[tokio::test(flavor = "multi_thread")]
async fn outputs_of_a_silent_target_continue_on_another() {
    let site = Site::start(1, 2, 1).await;
    site.engines[0].set_behaviour(Behaviour::SilentAfter(2));

    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 6, 1)).await, 202);

    assert_complete(&site.read_all(&site.nodes[0], "b1", ITEMS).await, 6);
    let resumed = site.engines[1].ran().into_iter().filter(|run| run.after == 2).count();
    assert!(resumed > 0, "outputs continue after their last event");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_item_runs_on_weights_that_are_too_old() {
    let mut site = Site::start(1, 1, 1).await;
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 3, 2)).await, 202);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(site.runs.of("b1i0").is_empty(), "version 1 is too old");

    site.store.put("op/version/model-a", &serde_json::json!({ "model": "model-a", "version": 2 }));

    let all = site.read_all(&site.nodes[0], "b1", ITEMS).await;
    assert!(all.iter().all(|result| result["versions"] == serde_json::json!([2])));
    site.engines[0].register("ready");
}

#[tokio::test(flavor = "multi_thread")]
async fn item_bodies_can_be_read_at_every_node() {
    let site = Site::start(2, 0, 1).await;
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 7, 1)).await, 202);

    for node in &site.nodes {
        let url = format!("http://{}/-/items/b1?id=b1i3", node.callers);
        let answer = site.client.get(url).send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.bytes().await.expect("a body").to_vec(), vec![7_u8]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_that_is_submitted_again_continues_from_its_output() {
    let site = Site::start(1, 1, 1).await;
    site.engines[0].set_pace(60, 5);
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("x", 4, 20, 1)).await, 202);
    until("the items run", || async { (site.runs.all().len() >= 4).then_some(()) }).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(site.end(&site.nodes[0], "b1").await, 200);

    assert_eq!(site.submit(&site.nodes[0], "b2", &submission("x", 4, 20, 1)).await, 202);

    assert_complete(&site.read_all(&site.nodes[0], "b2", 4).await, 20);
    assert!(site.runs.of("xi0").iter().any(|run| run.after > 0), "the output was continued");
}

// Guards against a step that is idle after a restart of all nodes until probes have shown which
// nodes are alive. The owner knows at once that its earlier incarnation has ended, so it has to
// take over its own batches without waiting.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_restart_of_all_nodes_an_owner_takes_over_its_own_batches() {
    const BATCHES: usize = 4;
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(100, 5);
    }
    for number in 0..BATCHES {
        let batch = submission(&format!("x{number}"), 2, 60, 1);
        assert_eq!(site.submit(&site.nodes[0], &format!("b{number}"), &batch).await, 202);
    }
    let mut owners = Vec::new();
    for number in 0..BATCHES {
        owners.push(site.owner_of(&format!("b{number}")).await);
    }

    for node in &site.nodes {
        node.signal("KILL");
    }
    for node in &site.nodes {
        node.restart();
    }

    for (number, owner) in owners.into_iter().enumerate() {
        let id = format!("b{number}");
        let taker = until("the batch is taken over", || async {
            let took = |node: &super::harness::Node| {
                node.lines("batch_taken_over").iter().any(|line| line["request"] == id.as_str())
            };
            site.nodes.iter().position(took)
        })
        .await;
        assert_eq!(taker, owner, "{id}");
    }
}

// Guards against a step that takes as long as a whole run of a long item left over from an earlier
// step. A version is published while the item runs; the trainer does not use its group, and
// submits it again with a newer oldest version, so output under the older weights cannot be used.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_its_trainer_did_not_use_continues_from_a_second_run_under_newer_weights() {
    const LONG_EVENTS: u8 = 120;
    let site = Site::start(1, 4, 1).await;
    for engine in &site.engines {
        engine.set_pace(60, 5);
    }
    let mut batch = submission("x", 6, 3, 1);
    batch["items"][5]["body"] = STANDARD.encode([LONG_EVENTS]).into();
    assert_eq!(site.submit(&site.nodes[0], "b1", &batch).await, 202);
    until("the long item runs", || async { site.runs.of("xi5").first().map(|_| ()) }).await;
    site.store.put("op/version/model-a", &serde_json::json!({ "model": "model-a", "version": 2 }));
    until("a second run of it starts", || async {
        (!site.nodes[0].lines("second_run_started").is_empty()).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(site.end(&site.nodes[0], "b1").await, 200);

    batch["step"] = 2.into();
    batch["minVersion"] = 2.into();
    assert_eq!(site.submit(&site.nodes[0], "b2", &batch).await, 202);

    let all = site.read_all(&site.nodes[0], "b2", 6).await;
    let long = all.iter().find(|result| result["id"] == "xi5").expect("the long item");
    assert_eq!(long["text"], complete_output("xi5", u64::from(LONG_EVENTS)));
    assert_eq!(long["versions"], serde_json::json!([2]));
    let last = site.runs.of("xi5").pop().expect("runs of it");
    assert!(last.after > 0, "it continues from the output of its second run");
}

// Guards against a batch that is never run because its owner does not know of its own record.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_is_run_when_the_answer_to_its_owners_write_is_lost() {
    let site = Site::start(6, 3, 1).await;
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 2, 2, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    let other = (owner + 1) % site.nodes.len();
    site.store.set_mode(site.nodes[owner].store_endpoint, StoreMode::LeavesWritesUnanswered);

    let accepted = site.submit(&site.nodes[other], "b2", &submission("b2", 4, 2, 1)).await;
    site.store.set_mode(site.nodes[owner].store_endpoint, StoreMode::Normal);

    assert_eq!(accepted, 202);
    assert_eq!(site.read_all(&site.nodes[other], "b2", 4).await.len(), 4);
}

// Guards against a batch without an owner: the store goes down as its owner hands it over, so the
// successor cannot read it, or is not told because the answer to the handover's write is lost.
#[yare::parameterized(
    read_fails = { LastWrite::Answered },
    answer_closed = { LastWrite::Closed },
    answer_silent = { LastWrite::Silent },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_batch_that_is_handed_over_in_an_outage_has_an_owner_soon_after_it(write: LastWrite) {
    // The longest time without an owner after the store's return.
    const OWNED_WITHIN: Duration = Duration::from_secs(2);
    let site = Site::start(6, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(100, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 6, 80, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    let others: Vec<usize> = (0..6).filter(|number| *number != owner).collect();
    let is_taken = || {
        let taken = |number: &usize| !site.nodes[*number].lines("batch_taken_over").is_empty();
        others.iter().any(taken)
    };
    let outage = Outage { needs_creation: false, write, ..Outage::default() };
    site.store.go_down_after_write_with("cm/h/b1", outage);

    site.nodes[owner].signal("TERM");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!is_taken(), "no node can take the batch over during the outage");
    site.store.end_outage();
    let returned_at = Instant::now();

    until("another node owns the batch", || async { is_taken().then_some(()) }).await;
    let waited = returned_at.elapsed();
    let trails: String = site.nodes.iter().map(|node| node.audit_trail() + "\n").collect();
    assert!(waited < OWNED_WITHIN, "without an owner for {waited:?}\n{trails}");
    assert_complete(&site.read_all(&site.nodes[others[0]], "b1", 6).await, 80);
}
