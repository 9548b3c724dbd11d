//! Refused submissions: a batch whose submission was refused at every attempt never runs.

use super::harness::{Node, Site, document, submission, until};
use super::store::{LastWrite, Outage, StoreMode};
use std::time::Duration;

const ITEMS: usize = 4;
/// How long the store is away: longer than two attempts to submit take.
const OUTAGE: Duration = Duration::from_secs(2);
/// How long after the store's return a batch is watched: two searches for batches without an owner.
const WATCHED: Duration = Duration::from_secs(9);

/// Returns the index of the node that owns the batches of the model.
async fn owner_index(site: &Site) -> usize {
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 2, 2, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    site.read_all(&site.nodes[0], "b1", 2).await;
    owner
}

/// Ends an outage that has lasted for [`OUTAGE`], and waits for what runs then.
async fn end_outage(site: &Site) {
    tokio::time::sleep(OUTAGE).await;
    site.store.end_outage();
    tokio::time::sleep(WATCHED).await;
}

fn is_refusal(status: u16) -> bool {
    [408, 421, 429, 503].contains(&status)
}

/// Returns how many runs of a batch's items and scoring calls were started.
fn runs_of(site: &Site, batch: &str) -> usize {
    let is_of =
        |id: &str| id.starts_with(&format!("{batch}i")) || id.starts_with(&format!("{batch}r"));
    site.runs.all().iter().filter(|run| is_of(&run.request)).count()
}

fn trails(site: &Site) -> String {
    site.nodes.iter().map(Node::audit_trail).collect::<Vec<_>>().join("\n")
}

// Guards against a refused batch that runs: its owner's write was carried out as the store went
// down, and the node that passed the submission on answers by its own refused attempt alone.
#[yare::parameterized(
    closed = { LastWrite::Closed },
    silent = { LastWrite::Silent },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_batch_whose_owner_may_have_stored_it_is_not_refused(write: LastWrite) {
    let site = Site::start(3, 3, 1).await;
    let owner = owner_index(&site).await;
    let others: Vec<usize> = (0..3).filter(|number| *number != owner).collect();
    let batch = submission("b2", ITEMS, 2, 1);
    site.store.go_down_after_write_with("cm/h/b2", Outage { write, ..Outage::default() });

    let first = site.submit(&site.nodes[others[0]], "b2", &batch).await;
    let second = site.submit(&site.nodes[others[1]], "b2", &batch).await;
    end_outage(&site).await;

    let (runs, statuses) = (runs_of(&site, "b2"), [first, second]);
    let is_refused = statuses.into_iter().all(is_refusal);
    assert!(!(is_refused && runs > 0), "{statuses:?}, {runs} runs\n{}", trails(&site));
    assert!(!is_refusal(first), "the write was carried out: {statuses:?}");
}

// Guards against a refused batch that runs: of two peers by which the write goes to the store, the
// first loses the answer and the second is refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_one_of_two_peers_may_have_stored_is_not_refused() {
    let site = Site::start(3, 3, 1).await;
    let owner = owner_index(&site).await;
    site.store.set_mode(site.nodes[owner].store_endpoint, StoreMode::Refuses);
    site.store.go_down_after_write("cm/h/b2");

    let status = site.submit(&site.nodes[owner], "b2", &submission("b2", ITEMS, 2, 1)).await;
    end_outage(&site).await;

    assert!(!is_refusal(status), "the write was carried out: {status}\n{}", trails(&site));
}

// Guards against a refusal of a batch that an earlier attempt at the same node may have stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_later_attempt_is_not_refused_while_an_earlier_one_may_have_been_stored() {
    let site = Site::start(3, 3, 1).await;
    let owner = owner_index(&site).await;
    let batch = submission("b2", ITEMS, 2, 1);
    site.store.go_down_after_write("cm/h/b2");

    let mut statuses = Vec::new();
    for node in [owner, owner, (owner + 1) % 3, (owner + 2) % 3] {
        statuses.push(site.submit(&site.nodes[node], "b2", &batch).await);
    }
    end_outage(&site).await;

    assert!(!statuses.iter().copied().any(is_refusal), "{statuses:?}\n{}", trails(&site));
}

// Guards against a refusal of an end that stops the batch: the end was written and not answered, or
// the owner has stopped the batch before the store refused the write.
#[yare::parameterized(
    unanswered = { Some(LastWrite::Closed) },
    refused = { None },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_end_that_may_have_stopped_its_batch_is_not_refused(write: Option<LastWrite>) {
    let site = Site::start(3, 3, 1).await;
    let owner = owner_index(&site).await;
    match write {
        Some(write) => {
            let outage = Outage { needs_creation: false, write, ..Outage::default() };
            site.store.go_down_after_write_with("cm/h/b1", outage);
        }
        None => site.store.set_all_modes(StoreMode::Refuses),
    }

    let mut statuses = Vec::new();
    for node in [(owner + 1) % 3, owner] {
        statuses.push(site.end(&site.nodes[node], "b1").await);
    }

    assert!(!statuses.iter().copied().any(is_refusal), "{statuses:?}\n{}", trails(&site));
}

// Guards against a true refusal that is lost with the fix: nothing was written, and nothing runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_the_store_refused_on_every_way_is_refused_and_never_runs() {
    let site = Site::start(3, 3, 1).await;
    let owner = owner_index(&site).await;
    let batch = submission("b2", ITEMS, 2, 1);
    site.store.set_all_modes(StoreMode::Refuses);

    let mut statuses = Vec::new();
    for node in [owner, (owner + 1) % 3] {
        statuses.push(site.submit(&site.nodes[node], "b2", &batch).await);
    }
    end_outage(&site).await;

    assert_eq!(statuses, [503, 503]);
    assert_eq!(runs_of(&site, "b2"), 0);
}

// Guards against a batch that is acknowledged and never run: its owner does not know that its own
// write was carried out, and the batch is submitted again when the store is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_is_accepted_after_an_outage_runs_although_its_owner_knows_of_no_record() {
    let site = Site::start(6, 3, 1).await;
    let owner = owner_index(&site).await;
    let entry = (owner + 1) % site.nodes.len();
    let batch = submission("b2", ITEMS, 2, 1);
    site.store.go_down_after_write("cm/h/b2");
    site.submit(&site.nodes[entry], "b2", &batch).await;
    tokio::time::sleep(OUTAGE).await;
    site.store.end_outage();

    let status = until("it is accepted", || async {
        let status = site.submit(&site.nodes[entry], "b2", &batch).await;
        (status == 202).then_some(status)
    })
    .await;

    assert_eq!(status, 202);
    assert_eq!(site.read_all(&site.nodes[entry], "b2", ITEMS).await.len(), ITEMS);
}

// Guards against a batch that nobody runs: its owner's write was carried out and not answered, and
// its trainer, whose own answer was lost, reads results without submitting it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_whose_owner_knows_of_no_record_runs_when_it_is_read() {
    let site = Site::start(6, 3, 1).await;
    let owner = owner_index(&site).await;
    let entry = (owner + 1) % site.nodes.len();
    site.store.go_down_after_write("cm/h/b2");
    site.submit(&site.nodes[entry], "b2", &submission("b2", ITEMS, 2, 1)).await;
    tokio::time::sleep(OUTAGE).await;

    site.store.end_outage();

    assert_eq!(site.read_all(&site.nodes[entry], "b2", ITEMS).await.len(), ITEMS);
}

// Guards against an end that is forgotten: the store refuses it, the owner stops the batch, and the
// next owner runs it again.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_that_the_store_refused_is_written_when_the_store_returns() {
    let site = Site::start(6, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(100, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 80, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    until("an item runs", || async { (runs_of(&site, "b1") > 0).then_some(()) }).await;
    site.store.set_all_modes(StoreMode::Refuses);
    let status = site.end(&site.nodes[owner], "b1").await;
    assert_ne!(status, 200);
    end_outage(&site).await;
    let before = runs_of(&site, "b1");

    site.nodes[owner].signal("KILL");
    tokio::time::sleep(WATCHED).await;

    let after = runs_of(&site, "b1");
    assert_eq!(after, before, "runs of a batch that was ended ({status})\n{}", trails(&site));
}

// Guards against a write to the store for each read: a batch whose route was removed has an owner
// that never runs it.
#[tokio::test(flavor = "multi_thread")]
async fn reads_of_a_batch_without_a_route_write_nothing() {
    const READS: usize = 20;
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(100, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 80, 1)).await, 202);
    let owner = site.owner_of("b1").await;
    let reader = (owner + 1) % site.nodes.len();
    let mut config = document(7);
    config["routes"].as_array_mut().expect("a list").retain(|route| route["name"] != "rollouts");
    site.store.put("op/config", &config);
    let is_in_force = |node: &Node| {
        node.lines("document_in_force").iter().any(|line| line["version"].as_u64() == Some(7))
    };
    until("the route is gone", || async { site.nodes.iter().all(is_in_force).then_some(()) }).await;
    site.nodes[owner].signal("KILL");
    let is_taken = |node: &Node| !node.lines("batch_without_route").is_empty();
    until("it is taken over", || async { site.nodes.iter().any(is_taken).then_some(()) }).await;

    let before = site.store.calls("kv-txn");
    for _ in 0..READS {
        site.read_within(&site.nodes[reader], "b1", 0, 0).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    let writes = site.store.calls("kv-txn") - before;
    assert!(writes < READS as u64 / 2, "{READS} reads caused {writes} writes\n{}", trails(&site));
}
