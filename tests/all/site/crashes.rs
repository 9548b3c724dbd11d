//! Requests that end the targets that run them.
//!
//! What users see: the targets of a service go down one after the other, all of them at once where
//! there are few, and are back for a moment before they go down again. The order of events: a request
//! ends the target that begins to run it; it is sent to another, and to a third; its caller comes again,
//! at another node, with the same path and body under another id, and all this begins anew. The cause:
//! each node counted a break against the target and against the one call, and nobody kept what had been
//! sent. The evidence: lines of the trail with the same fingerprint, each before the end of another
//! target, under ids that never came twice and at all nodes.

use super::harness::{HOST, Site, submission, until};
use super::proxy::{Link, Proxy};
use super::store::StoreMode;
use super::worker::{Behaviour, CRASHING_BODY, CRASHING_LATE_BODY, Worker};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use catkinmast_quarantine::{Evidence, Fingerprint};
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::sleep;

/// Targets that a request may end before it counts as the cause.
const ENDED_BEFORE: u64 = 3;
/// Times that users let it be sent to targets after that.
const REPEATS_MAX: u64 = 3;
/// How soon targets are back: soon, so that there is always one that the request could end.
const BACK_AFTER: Duration = Duration::from_millis(400);

/// Starts a site of three nodes whose targets are back soon after they end.
async fn site_of_three(engines: usize, plain: usize) -> Site {
    let site = Site::start(3, engines, plain).await;
    for worker in site.engines.iter().chain(&site.plain) {
        worker.set_restart_after(BACK_AFTER);
    }
    site
}

fn ended(workers: &[Worker]) -> u64 {
    workers.iter().map(Worker::crashes).sum()
}

/// Sends a request that ends its target `times` times, at one node after the other; returns the last
/// answer.
async fn send_again_and_again(site: &Site, path: &str, times: usize) -> reqwest::Response {
    let mut last = None;
    for number in 0..times {
        let node = &site.nodes[number % site.nodes.len()];
        let id = format!("p{number}");
        last = Some(site.call_with(node, path, &id, CRASHING_BODY).await.expect("an answer"));
        sleep(BACK_AFTER / 2).await;
    }
    last.expect("at least one")
}

#[tokio::test(flavor = "multi_thread")]
async fn the_trail_tells_a_target_that_ended_from_an_answer_that_was_lost() {
    let site = Site::start(1, 0, 2).await;
    site.plain[0].set_behaviour(Behaviour::LosesAnswers);
    site.plain[1].set_behaviour(Behaviour::LosesAnswers);
    let lost = site.call(&site.nodes[0], "/check/a", "c1").await.expect("an answer");
    assert_eq!(lost.status(), 502);

    let ended =
        site.call_with(&site.nodes[0], "/check/a", "c2", CRASHING_BODY).await.expect("an answer");

    assert_eq!(ended.status(), 502);
    let line =
        until("the end is seen", || async { site.nodes[0].lines("target_ended").first().cloned() })
            .await;
    let attempts = site.nodes[0].lines("attempt_failed");
    let of = |id: &str| attempts.iter().find(|line| line["request"] == id).cloned();
    let (lost, ended) = (of("c1").expect("its line"), of("c2").expect("its line"));
    assert_eq!(line["fingerprint"], ended["fingerprint"]);
    assert_ne!(line["fingerprint"], lost["fingerprint"], "requests are told apart by content");
    assert_eq!(line["target"], ended["target"]);
    assert_eq!(site.nodes[0].lines("target_ended").len(), 1, "the lost answer ended no target");
}

// Symptom: 15 targets end under one request.
// Sequence: it comes twelve times, at three nodes in turn, with an id of its own each time.
// Cause: as told at the head.
#[yare::parameterized(
    that_may_be_repeated = { "/lookup/a" },
    that_may_not = { "/check/a" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_request_is_sent_on_no_more_once_it_has_ended_three_targets(path: &str) {
    let site = site_of_three(0, 6).await;

    let last = send_again_and_again(&site, path, 12).await;

    let ended = ended(&site.plain);
    assert!(ended >= ENDED_BEFORE, "{ended} ended");
    assert!(ended <= ENDED_BEFORE + REPEATS_MAX, "{ended} ended");
    assert_eq!(last.status(), 503, "it was not sent, and that is said");
    assert!(last.headers().contains_key("retry-after"));
    let sound = site.call(&site.nodes[0], path, "q1").await.expect("an answer");
    assert_eq!(sound.status(), 200, "others are served");
}

// Symptom: the engines of a model end one after the other for as long as a step lasts.
// Sequence: an item ends the engine that begins to run it; it goes on at the next one.
// Cause: as told at the head; an item is sent again until its time is over.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_run_no_more_once_it_has_ended_three_engines() {
    let site = site_of_three(6, 1).await;
    let mut batch = submission("b", 6, 3, 1);
    batch["items"][0]["body"] = json!(STANDARD.encode(CRASHING_BODY));

    assert_eq!(site.submit(&site.nodes[0], "b", &batch).await, 202);

    let results = site.read_all(&site.nodes[1], "b", 5).await;
    assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
    sleep(BACK_AFTER * 10).await;
    let ended = ended(&site.engines);
    assert!(ended >= ENDED_BEFORE, "{ended} ended");
    assert!(ended <= ENDED_BEFORE + REPEATS_MAX, "{ended} ended");
    let results = site.read(&site.nodes[1], "b", 0).await.expect("its results");
    assert_eq!(results.len(), 5, "the item is neither done nor given up before its time");
}

// Symptom: the targets of a plain service end one after the other while a step waits for one score.
// Sequence: a scoring call ends the target that begins to run it, and is made again.
// Cause: as told at the head; a scoring call is made again until it is answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_scoring_call_is_made_no_more_once_it_has_ended_three_targets() {
    let site = site_of_three(2, 6).await;
    let mut batch = submission("b", 4, 3, 1);
    batch["items"][0]["scorerUrl"]["body"] = json!(STANDARD.encode(CRASHING_BODY));

    assert_eq!(site.submit(&site.nodes[0], "b", &batch).await, 202);

    let results = site.read_all(&site.nodes[1], "b", 3).await;
    assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
    sleep(BACK_AFTER * 10).await;
    let ended = ended(&site.plain);
    assert!(ended >= ENDED_BEFORE, "{ended} ended");
    assert!(ended <= ENDED_BEFORE + REPEATS_MAX, "{ended} ended");
}

// Symptom: the engines of a model end one after the other under a stream.
// Sequence: a caller opens it again and again, at three nodes in turn.
// Cause: as told at the head. Where the engine ends late it is also that a stream which has waited for a
// second without an event was taken for one that the engine survives.
#[yare::parameterized(
    that_ends_its_engine_at_once = { CRASHING_BODY },
    that_ends_its_engine_late = { CRASHING_LATE_BODY },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_stream_is_opened_no_more_once_it_has_ended_three_engines(body: &'static str) {
    let site = site_of_three(6, 0).await;
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
        // One that breaks off does so for the caller too.
        drop(answer.bytes().await);
        sleep(BACK_AFTER / 2).await;
    }

    let ended = ended(&site.engines);
    assert!(ended >= ENDED_BEFORE, "{ended} ended");
    assert!(ended <= ENDED_BEFORE + REPEATS_MAX, "{ended} ended");
    assert_eq!(statuses.last(), Some(&503), "{statuses:?}");
}

/// Lets a request end three targets, and waits until all nodes know.
async fn bar_a_lookup(site: &Site) {
    let answer = site.call_with(&site.nodes[0], "/lookup/a", "p", CRASHING_BODY).await;
    assert_eq!(answer.expect("an answer").status(), 502, "a target may have run it");
    for node in &site.nodes {
        until("the node knows", || async {
            (!node.lines("request_barred").is_empty()).then_some(())
        })
        .await;
    }
}

/// Returns how many ends the record in the store holds.
fn kept_ends(site: &Site) -> usize {
    let values = site.store.keys("cm/q/").into_iter().filter_map(|key| site.store.get(&key));
    let ends = values.map(|value| {
        let (evidence, _): (Evidence, Fingerprint) =
            postcard::from_bytes(&value).expect("a record");
        evidence.unrefuted_count()
    });
    ends.max().unwrap_or(0)
}

/// Sends the request through a node once more, which must not send it on.
async fn is_refused(site: &Site, node: usize, id: &str) {
    let ended_before = ended(&site.plain);
    let answer = site.call_with(&site.nodes[node], "/lookup/a", id, CRASHING_BODY).await;
    assert_eq!(answer.expect("an answer").status(), 503);
    assert!(site.runs.of(id).is_empty(), "no target has run it");
    assert_eq!(ended(&site.plain), ended_before);
}

// Symptom: after a restart a node lets a request end three more targets.
// Sequence: a request is barred; a node is killed and starts again.
// Cause: evidence is held in memory, and a start asks nobody for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_anew_learns_from_the_others_what_is_barred() {
    let site = site_of_three(0, 6).await;
    bar_a_lookup(&site).await;

    site.nodes[1].restart();

    until("the node is told", || async {
        (site.nodes[1].lines("request_barred").len() == 2).then_some(())
    })
    .await;
    until("it serves", || async { site.is_ready(&site.nodes[1]).await.then_some(()) }).await;
    is_refused(&site, 1, "again").await;
}

// Symptom: after a death of the whole fleet a request ends three more targets.
// Sequence: a request is barred; all nodes are killed at the same moment and start again.
// Cause: nobody is left who holds the evidence.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_barred_outlives_all_nodes() {
    let site = site_of_three(0, 6).await;
    bar_a_lookup(&site).await;
    until("the record is kept", || async {
        (kept_ends(&site) == ENDED_BEFORE as usize).then_some(())
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
        until("the node is told", || async {
            (node.lines("request_barred").len() == 2).then_some(())
        })
        .await;
    }
    is_refused(&site, 2, "again").await;
}

// Symptom: while the store is away each node lets a request end three targets of its own.
// Sequence: the store is away for all; a request ends three targets through one node.
// Cause: nodes learn of the evidence by the store alone. What they could not write is written later.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_barred_while_the_store_is_away_is_known_to_all_and_kept_later() {
    let site = site_of_three(0, 6).await;
    for node in &site.nodes {
        site.store.set_mode(node.store_endpoint, StoreMode::Refuses);
    }

    bar_a_lookup(&site).await;

    is_refused(&site, 1, "again").await;
    is_refused(&site, 2, "and again").await;
    for node in &site.nodes {
        site.store.set_mode(node.store_endpoint, StoreMode::Normal);
    }
    until("the record is kept", || async {
        (kept_ends(&site) == ENDED_BEFORE as usize).then_some(())
    })
    .await;
}

// Symptom: a new owner lets an item end three more engines.
// Sequence: an item has ended three engines; its batch's owner dies, and another node takes over.
// Cause: evidence is kept with the batch at its owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_owner_does_not_run_an_item_that_is_barred() {
    let site = site_of_three(6, 1).await;
    let mut batch = submission("b", 6, 3, 1);
    batch["items"][0]["body"] = json!(STANDARD.encode(CRASHING_BODY));
    assert_eq!(site.submit(&site.nodes[0], "b", &batch).await, 202);
    let owner = site.owner_of("b").await;
    let others: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
    for node in &others {
        until("the node knows", || async {
            (!site.nodes[*node].lines("request_barred").is_empty()).then_some(())
        })
        .await;
    }
    let ended_before = ended(&site.engines);

    site.nodes[owner].signal("KILL");

    until("a successor", || async {
        let taken = |node: &usize| !site.nodes[*node].lines("batch_taken_over").is_empty();
        others.iter().any(taken).then_some(())
    })
    .await;
    let results = site.read_all(&site.nodes[others[0]], "b", 5).await;
    assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
    sleep(BACK_AFTER * 5).await;
    assert_eq!(ended(&site.engines), ended_before);
}

// Symptom: sound requests are turned away for minutes after targets have ended.
// Sequence: they are under way at the targets that another request ends, and are tried elsewhere at the
// same moment as it is.
// Cause: an end counts against all that it broke off. Which of them was the cause is seen from several
// ends only.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_broken_off_with_another_one_are_served_when_they_come_again() {
    let site = site_of_three(0, 3).await;
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

    until("it is barred", || async {
        (!site.nodes[0].lines("request_barred").is_empty()).then_some(())
    })
    .await;
    sleep(BACK_AFTER * 3).await;
    for number in [1, 2, 4, 5] {
        let id = format!("again{number}");
        let body = format!("sound {number}");
        let answer = site.call_with(&site.nodes[number % 3], "/lookup/a", &id, &body).await;
        assert_eq!(answer.expect("an answer").status(), 200, "{body}");
    }
    is_refused(&site, 1, "p again").await;
}

// Symptom: a caller waits for a third of its time for the word that its request is not sent.
// Sequence: a request is barred; its service has no target.
// Cause: what may be sent is asked only once there is a target to send it to.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_barred_is_refused_at_once_where_there_is_no_target() {
    let site = site_of_three(0, 6).await;
    bar_a_lookup(&site).await;
    until("the three are back", || async {
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

    is_refused(&site, 1, "again").await;

    let ended = until("its line", || async {
        let lines = site.nodes[1].lines("request_ended");
        lines.into_iter().find(|line| line["request"] == "again")
    })
    .await;
    assert_eq!(ended["why"], "targets have ended while they ran this request");
}

/// Waits until all nodes know the life of the only target that follows `ends` ends.
async fn is_back(site: &Site, ends: usize) {
    for node in &site.nodes {
        until("the target is back", || async {
            (node.lines("target_joined").len() == ends + 1).then_some(())
        })
        .await;
    }
}

// Symptom: two requests always come together, and the sound one is turned away for as long as the other.
// Sequence: both are under way at three targets that end.
// Cause: nothing tells them apart but one more run of each, and a run of each at every node would end as
// many targets as there are nodes.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_requests_with_the_same_record_one_node_tries_each_once() {
    let site = site_of_three(0, 1).await;
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
        assert_eq!(together.await, (502, 502), "one end breaks off both");
        is_back(&site, round + 1).await;
    }

    let (first, second) =
        futures::future::join(send(0, "trial", "crash a"), send(2, "trial too", "crash a")).await;

    assert_eq!(BTreeSet::from([first, second]), BTreeSet::from([502, 503]), "one of them runs");
    is_back(&site, 4).await;
    assert_eq!(send(1, "barred", "crash a").await, 503);
    assert!(site.runs.of("barred").is_empty());
    send(2, "cleared", "crash b").await;
    assert_eq!(site.runs.of("cleared").len(), 1, "the other one explains its ends");
}

// Symptom: sound requests are barred because of a planned stop.
// Sequence: a target leaves, and breaks off what it has not finished when it ends.
// Cause: its end is taken for one that a request has caused.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_target_that_leaves_counts_against_nobody() {
    let site = Site::start(1, 0, 1).await;
    site.plain[0].set_pace(10, 1_000);
    let node = &site.nodes[0];
    let under_way = site.call_with(node, "/check/a", "p", CRASHING_BODY);
    let leaving = async {
        until("it runs", || async { (!site.runs.of("p").is_empty()).then_some(()) }).await;
        site.store.change("servers/plain-0", |value| {
            let text = String::from_utf8_lossy(value).replace("\"ready\"", "\"draining\"");
            *value = text.into_bytes();
        });
        until("the node knows", || async { (!node.lines("target_left").is_empty()).then_some(()) })
            .await;
    };

    let (answer, ()) = futures::future::join(under_way, leaving).await;

    assert_eq!(answer.expect("an answer").status(), 502);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(node.lines("target_ended"), Vec::<serde_json::Value>::new());
}

// Symptom: the end of a target is not noticed, and the request goes on to end others.
// Sequence: the target stands behind something that listens on when it has ended.
// Cause: its address is the only witness; the registry's word is not heard.
#[tokio::test(flavor = "multi_thread")]
async fn the_registry_tells_of_an_end_where_the_address_does_not() {
    let site = Site::start(1, 0, 1).await;
    let node = &site.nodes[0];
    site.plain[0].set_restart_after(BACK_AFTER);
    let behind = Proxy::start(site.plain[0].address()).await;
    site.store.change("servers/plain-0", |value| {
        let entry = String::from_utf8_lossy(value);
        let direct = site.plain[0].address().to_string();
        *value = entry.replace(&direct, &behind.address.to_string()).into_bytes();
    });
    behind.set(Link::Resets);
    until("calls go by the other address", || async {
        let answer = site.call(node, "/check/a", "q").await.expect("an answer");
        (answer.status() == 502).then_some(())
    })
    .await;
    behind.set(Link::Open);

    let answer = site.call_with(node, "/check/a", "p", CRASHING_BODY).await;

    assert_eq!(answer.expect("an answer").status(), 502);
    let broken = until("its line", || async {
        node.lines("attempt_failed").into_iter().find(|line| line["request"] == "p")
    })
    .await;
    let line = until("its end is seen", || async {
        let ended = node.lines("target_ended");
        ended.into_iter().find(|line| line["fingerprint"] == broken["fingerprint"])
    })
    .await;
    assert_eq!(line["by"], "registry");
}

// Symptom: a sound request that was under way as targets crashed is turned away for minutes.
// Sequence: its target crashes twice; it is answered; its target crashes twice more.
// Cause: an answer clears nothing, so ends of different causes add up.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_answered_between_crashes_is_served() {
    let mut site = Site::start(1, 0, 1).await;
    site.plain[0].report_start_time(1);
    site.plain[0].set_pace(10, 200);
    for life in 1..=4 {
        let id = format!("q{life}");
        let started = site.call(&site.nodes[0], "/check/a", &id);
        let crash = async {
            until("it runs", || async { (!site.runs.of(&id).is_empty()).then_some(()) }).await;
            site.plain[0].crash();
        };
        let (answer, ()) = futures::future::join(started, crash).await;
        assert_eq!(answer.expect("an answer").status(), 502);
        until("its end is seen", || async {
            (site.nodes[0].lines("target_ended").len() == life as usize).then_some(())
        })
        .await;
        site.plain[0].restart_under_same_id(life + 1).await;
        until("it is back", || async {
            let lives = site.nodes[0].lines("target_reborn");
            lives.iter().any(|line| line["born_at_unix_ms"] == life + 1).then_some(())
        })
        .await;
        if life == 2 {
            let answer = site.call(&site.nodes[0], "/check/a", "between").await;
            assert_eq!(answer.expect("an answer").status(), 200);
        }
    }

    let answer = site.call(&site.nodes[0], "/check/a", "last").await;

    assert_eq!(answer.expect("an answer").status(), 200);
}
