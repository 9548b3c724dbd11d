//! Items that fail at each run: a new owner of their batch knows what the former one has counted.

use super::harness::{Site, submission, until};
use super::store::StoreMode;
use super::worker::{FAILING_TEXT, UNPROCESSABLE_TEXT};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::time::Duration;

/// Time within which another node knows of a failure.
const FAILURE_KNOWN_TIME: Duration = Duration::from_millis(500);

/// Which request of the first item fails.
#[derive(Clone, Copy, Debug)]
enum Failing {
    Item(&'static [u8]),
    ScoringCall(&'static [u8]),
}

impl Failing {
    /// Returns the body of the request that fails: one event, and the text that makes it fail.
    fn body(self) -> Vec<u8> {
        let (Self::Item(text) | Self::ScoringCall(text)) = self;
        [&[1], text].concat()
    }

    /// Returns a batch of one group whose other item takes long, so that no result is listed soon.
    fn batch(self) -> Value {
        let mut batch = submission("b1", 2, 250, 1);
        let body = json!(STANDARD.encode(self.body()));
        match self {
            Self::Item(_) => batch["items"][0]["body"] = body,
            Self::ScoringCall(_) => {
                batch["items"][0]["body"] = json!(STANDARD.encode([1]));
                batch["items"][0]["scorerUrl"]["body"] = body;
            }
        }
        batch
    }
}

/// Starts three nodes and submits the batch; returns its owner once the first item has failed as
/// often as it may.
async fn site_with_failed_item(failing: Failing, attempts: usize) -> (Site, usize) {
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(40, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &failing.batch()).await, 202);
    let owner = site.owner_of("b1").await;
    until("the item has failed", || async {
        (site.runs.count_of_body(&failing.body()) >= attempts).then_some(())
    })
    .await;
    tokio::time::sleep(FAILURE_KNOWN_TIME).await;
    (site, owner)
}

/// Asserts that the batch ends with the first item given up, and that no more requests of it failed.
async fn assert_not_run_again(site: &Site, owner: usize, failing: Failing, attempts: usize) {
    let other = &site.nodes[(owner + 1) % 3];
    let results = site.read_all(other, "b1", 2).await;
    let failed = results.iter().find(|result| result["id"] == "b1i0").expect("its result");
    assert_eq!(failed["state"], "errored");
    assert_eq!(site.runs.count_of_body(&failing.body()), attempts, "{failing:?}");
}

// Guards against an item that each new owner of its batch runs as often as the first: it was given
// up, and that was known to the first owner only.
#[yare::parameterized(
    failed = { Failing::Item(FAILING_TEXT), 3 },
    unprocessable = { Failing::Item(UNPROCESSABLE_TEXT), 1 },
    not_scored = { Failing::ScoringCall(FAILING_TEXT), 3 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_item_that_was_given_up_is_not_run_by_the_next_owner(failing: Failing, attempts: usize) {
    let (site, owner) = site_with_failed_item(failing, attempts).await;

    site.nodes[owner].signal("KILL");

    assert_not_run_again(&site, owner, failing, attempts).await;
}

// The same while the store is away: the node that holds the copy runs the batch without owning it.
#[yare::parameterized(
    failed = { Failing::Item(FAILING_TEXT), 3 },
    unprocessable = { Failing::Item(UNPROCESSABLE_TEXT), 1 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_item_that_was_given_up_is_not_run_in_the_interim(failing: Failing, attempts: usize) {
    let (site, owner) = site_with_failed_item(failing, attempts).await;
    site.store.set_all_modes(StoreMode::Refuses);

    site.nodes[owner].signal("KILL");
    until("its items run in the interim", || async {
        let mut nodes = site.nodes.iter();
        nodes.any(|node| !node.lines("batch_run_in_interim").is_empty()).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.store.set_all_modes(StoreMode::Normal);

    assert_not_run_again(&site, owner, failing, attempts).await;
}
