//! Batch submissions: accepted once, whole texts, fixed positions, whatever dies meanwhile.

use super::harness::{Site, complete_output, submission, until};
use super::store::StoreMode;
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

fn assert_whole(results: &[Value], events: u64) {
    assert_eq!(ids(results).len(), results.len(), "no item stands twice");
    for result in results {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "completed", "{result}");
        assert_eq!(result["text"], complete_output(id, events));
        let score = result["score"].as_str().expect("a score");
        assert!(score.starts_with("stamp.plain-"), "the score is the scorer's: {score}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_is_run_scored_and_read_at_every_node() {
    let site = Site::start(3, 3, 1).await;

    let status = site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 5, 1)).await;

    assert_eq!(status, 202);
    let first = site.read_all(&site.nodes[0], "b1", ITEMS).await;
    assert_whole(&first, 5);
    for node in &site.nodes {
        assert_eq!(site.read_all(node, "b1", ITEMS).await, first);
    }
    assert!(first.iter().all(|result| result["versions"] == serde_json::json!([1])));
    assert_eq!(site.end(&site.nodes[1], "b1").await, 200);
    assert_eq!(site.end(&site.nodes[2], "b1").await, 200);
    assert_eq!(site.end(&site.nodes[2], "nobody").await, 404);
}

// Symptom: a batch runs twice, or is lost, after its acceptance went unanswered.
// Sequence: the store writes the submission and its answer is lost; the trainer sends it again.
// Cause: the second submission is taken as a new one, or the first as not kept.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_whose_write_went_unanswered_is_accepted_once() {
    let site = Site::start(1, 2, 1).await;
    let door = site.nodes[0].store_endpoint;
    site.store.set_mode(door, StoreMode::LosesWriteAnswers);
    let batch = submission("b1", ITEMS, 3, 1);
    let opened = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.store.set_mode(door, StoreMode::Normal);
    };

    let (status, ()) = tokio::join!(site.submit(&site.nodes[0], "b1", &batch), opened);
    let again = site.submit(&site.nodes[0], "b1", &batch).await;

    assert_eq!((status, again), (202, 202));
    assert_whole(&site.read_all(&site.nodes[0], "b1", ITEMS).await, 3);
    assert_eq!(site.store.keys("cm/h/").len(), 1);
}

// Symptom: a training step stalls because the node that ran its batch died.
// Sequence: the owner is killed in the middle; some results are listed, some items run.
// Cause: nobody else runs the batch, or positions change with the new owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owners_batch_goes_on_elsewhere_and_keeps_its_positions() {
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
    assert_whole(&all, 12);
    assert_eq!(all[..before.len()], before[..]);
    site.nodes[owner].restart();
    until("the restarted node serves the same", || async {
        let read = site.read(&site.nodes[owner], "b1", 0).await?;
        (read == all).then_some(())
    })
    .await;
}

// Symptom: results that were read are not there any more, or stand elsewhere.
// Sequence: the owner is paused until another takes its batch, and wakes with old results.
// Cause: it answers and writes as if nothing had happened.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_wakes_from_a_pause_shows_nothing_old() {
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

    assert_whole(&all, 10);
    let shown =
        until("the woken node answers", || async { site.read(&site.nodes[owner], "b1", 0).await })
            .await;
    assert_eq!(shown, all);
}

// Symptom: texts at slow targets stand still: their runs move every 300 ms and generate nothing.
// Sequence: one of two targets is slow, the other is full; its slots become free one by one.
// Cause: all runs at the slow one are stopped for the one free slot, and all but one start again at
// the slow one, where their prompts are read anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_free_slot_moves_one_run_from_a_slow_target_and_leaves_the_others_alone() {
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
    assert!(moved > 0, "some have moved to {fast}");
    for number in 0..ITEMS {
        let runs = runs_of(number);
        assert!(runs.len() <= 2, "item {number} ran at {:?}", runs.iter().map(|r| &r.worker));
    }
}

// Symptom: items reach targets 4.5 s after their batch was ended; three seconds are allowed.
// Sequence: another node ends a batch for its owner, who lives but answers late; the datagrams that
// tell of it are lost, and no group of the batch becomes complete meanwhile.
// Cause: an owner asks the store about its ownership only where it writes results.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_no_word_reaches_learns_of_the_end_from_the_store() {
    // As many as the one engine of the model runs at once.
    const AT_ONCE: usize = 4;
    let site = Site::start(1, 2, 1).await;
    for engine in &site.engines {
        engine.set_pace(100, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", AT_ONCE, 100, 1)).await, 202);
    until("items run", || async { (site.runs.all().len() >= AT_ONCE).then_some(()) }).await;

    site.store.change("cm/h/b1", |record| {
        // The mark of the end follows the time of acceptance, a number of variable length.
        let mark = record.iter().position(|byte| byte & 0x80 == 0).expect("the end of the time");
        record[mark + 1] = 1;
    });

    until("all runs are given up before they are whole", || async {
        let abandoned: u64 = site.engines.iter().map(Worker::abandoned).sum();
        (abandoned >= AT_ONCE as u64).then_some(())
    })
    .await;
}

// Symptom: a reader is shown fewer results than it had read before.
// Sequence: an owner is paused; another takes its batch and lists a result; no word of it reaches the
// owner; a read waits at its door as it wakes.
// Cause: it answers from its memory before it has asked the store whether it is still the owner.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_wakes_unaware_asks_the_store_before_it_answers() {
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
    let wake = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        node.signal("CONT");
    };
    let (pages, ()) = tokio::join!(futures::future::join_all(reads), wake);

    for page in pages.into_iter().flatten() {
        assert_eq!(ids(&page), BTreeSet::from(["b1i0".to_owned()]));
    }
    let page = until("it answers", || async { site.read(node, "b1", 0).await }).await;
    assert_eq!(page.len(), 1);
}

// Symptom: a batch has two owners, and its items run twice.
// Sequence: an owner is paused for a second and a half while all others start anew; none of them has
// heard of it yet.
// Cause: an owner that nothing was heard of is taken for dead.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_start_anew_leave_batches_to_owners_that_they_have_not_heard_of() {
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(60, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 6, 80, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    let others: Vec<usize> = (0..3).filter(|number| *number != owner).collect();

    site.nodes[owner].signal("STOP");
    // All first: a node that is back already would hear of the owner from one that still lives.
    for other in &others {
        site.nodes[*other].signal("KILL");
    }
    for other in &others {
        site.nodes[*other].restart();
    }
    for other in &others {
        until("it is ready again", || async {
            site.is_ready(&site.nodes[*other]).await.then_some(())
        })
        .await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.nodes[owner].signal("CONT");

    assert_whole(&site.read_all(&site.nodes[owner], "b1", 6).await, 80);
    let taken: Vec<Value> =
        site.nodes.iter().flat_map(|node| node.lines("batch_taken_over")).collect();
    assert_eq!(taken, Vec::<Value>::new());
}

// Symptom: the batch of a node that died during an outage of the store stands still for up to eight
// seconds, half of them after the store is back; a step is lost.
// Sequence: the store refuses all, the owner is killed, the others see it gone and search for its
// batches in vain; the store returns.
// Cause: the next search is made four seconds after the one that failed, whatever happens meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_whose_owner_died_in_an_outage_is_taken_as_the_store_returns() {
    // Half of the time between two searches.
    const TAKEN_WITHIN_MS: u64 = 2_000;
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(100, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 6, 80, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    let others: Vec<usize> = (0..3).filter(|number| *number != owner).collect();
    let set_doors =
        |door| site.nodes.iter().for_each(|node| site.store.set_mode(node.store_endpoint, door));

    set_doors(StoreMode::Refuses);
    site.nodes[owner].signal("KILL");
    for other in &others {
        until("the owner is seen gone", || async {
            let seen = site.nodes[*other].lines("node_seen");
            seen.iter().any(|line| line["state"] == "gone").then_some(())
        })
        .await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    // Not the first line that tells of the store's return: a watch that was made before the outage may
    // be answered after it has begun, which is a return of its own.
    let opened_ms = UnixMs::from_wall_clock().0;
    set_doors(StoreMode::Normal);

    let taken = until("another takes the batch", || async {
        let taken = |number: &usize| site.nodes[*number].lines("batch_taken_over").pop();
        others.iter().find_map(taken)
    })
    .await;
    let taken_ms = taken["at_unix_ms"].as_u64().expect("a time");
    let story: String = others.iter().map(|number| site.nodes[*number].audit_trail()).collect();
    assert!(taken_ms < opened_ms + TAKEN_WITHIN_MS, "{opened_ms} {taken}\n{story}");
}

// Symptom: items run long after their batch was ended.
// Sequence: every node is killed and started again while a batch runs; then it is ended.
// Cause: nodes that see only a part of the fleet take the batch from an owner that lives, and the
// former owners run on.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_restart_of_all_nodes_one_owner_runs_a_batch_and_an_end_stops_it() {
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

    assert_eq!(takers.count(), 1, "one node has taken the batch");
    until("the end is taken", || async {
        (site.end(&site.nodes[1], "b1").await == 200).then_some(())
    })
    .await;
    let ended = Instant::now();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let late = site.runs.all().into_iter().filter(|run| run.at > ended + Duration::from_secs(1));
    assert_eq!(late.count(), 0, "nothing runs after the end");
}

// Symptom: trainers are refused while the store serves all other machines.
// Sequence: the store turns one node away, with a refusal or with silence.
// Cause: the node gives up instead of asking a peer to make its calls.
#[yare::parameterized(
    refused = { StoreMode::Refuses },
    silent = { StoreMode::Unresponsive },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_node_that_the_store_turns_away_works_by_way_of_its_peers(door: StoreMode) {
    let site = Site::start(3, 2, 1).await;
    for index in 0..2 {
        site.store.set_mode(site.nodes[index].store_endpoint, door);
    }

    let status = site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 3, 1)).await;

    assert_eq!(status, 202);
    assert_whole(&site.read_all(&site.nodes[1], "b1", ITEMS).await, 3);
    assert_eq!(site.end(&site.nodes[1], "b1").await, 200);
}

// Symptom: a step waits for one item until its trainer gives up.
// Sequence: a target falls silent in the middle of a stream and keeps the connection open.
// Cause: nobody notices, or the text starts over and joins pieces of two runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_targets_texts_go_on_at_another() {
    let site = Site::start(1, 2, 1).await;
    site.engines[0].set_behaviour(Behaviour::SilentAfter(2));

    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 6, 1)).await, 202);

    assert_whole(&site.read_all(&site.nodes[0], "b1", ITEMS).await, 6);
    let resumed = site.engines[1].ran().into_iter().filter(|run| run.after == 2).count();
    assert!(resumed > 0, "texts go on after their last event");
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
async fn bodies_of_items_can_be_read_at_every_node() {
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
async fn a_group_that_comes_again_goes_on_from_its_texts() {
    let site = Site::start(1, 1, 1).await;
    site.engines[0].set_pace(60, 5);
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("x", 4, 20, 1)).await, 202);
    until("the items run", || async { (site.runs.all().len() >= 4).then_some(()) }).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(site.end(&site.nodes[0], "b1").await, 200);

    assert_eq!(site.submit(&site.nodes[0], "b2", &submission("x", 4, 20, 1)).await, 202);

    assert_whole(&site.read_all(&site.nodes[0], "b2", 4).await, 20);
    assert!(site.runs.of("xi0").iter().any(|run| run.after > 0), "the text went on");
}

// Symptom: after a restart of all nodes a step stands still until probes have told who lives.
// Sequence: all nodes are killed and start again; the owner's former life is over for certain, and
// it alone knows that at once.
// Cause: each waits for its probes, and batches are taken by whichever node comes first in rank.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_restart_of_all_nodes_an_owner_takes_its_own_batches() {
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
        let taker = until("the batch is taken", || async {
            let took = |node: &super::harness::Node| {
                node.lines("batch_taken_over").iter().any(|line| line["request"] == id.as_str())
            };
            site.nodes.iter().position(took)
        })
        .await;
        assert_eq!(taker, owner, "{id}");
    }
}

// Symptom: a step takes as long as an item that the step before the last has left, from its start.
// Sequence: a version is published while an item runs that takes as long as a step; the trainer
// leaves its group, and asks for it again under weights at least that new.
// Cause: the item's text is of the older weights, and nothing of it is generated under the newer ones
// until it is asked for again.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_its_trainer_leaves_goes_on_from_a_second_run_under_newer_weights() {
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
    until("a second run of it begins", || async {
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
    assert!(last.after > 0, "it goes on from the text of its second run");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_its_owner_wrote_without_an_answer_is_run() {
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
