//! Removals of targets' entries from the registry: a target whose entry is gone gets no more requests,
//! unless an outage of the store explains it.

use super::harness::{CHANGE_BOUND_MS, Site};
use super::store::StoreMode;
use futures::future::join_all;
use std::time::{Duration, Instant};

/// Returns the runs at a worker that began later than this.
fn runs_after(site: &Site, worker: &str, after: Instant) -> Vec<String> {
    let runs = site.runs.all().into_iter().filter(|run| run.worker == worker && run.at > after);
    runs.map(|run| run.request).collect()
}

/// Sends lookups to nodes for a while, 50 a second.
async fn look_up_for(site: &Site, nodes: &[usize], duration: Duration) {
    let started = Instant::now();
    while started.elapsed() < duration {
        let node = &site.nodes[nodes[started.elapsed().as_millis() as usize / 20 % nodes.len()]];
        let id = format!("q{}", started.elapsed().as_micros());
        // Without a target the node refuses it.
        drop(site.call(node, "/lookup/a", &id).await);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against a target that gets requests after it has left: nodes that were cut off from the
// store for a moment take its removal for an outage of the store, in which its entry has lapsed.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_leaves_as_nodes_return_to_the_store_is_out_of_use_in_time() {
    let site = Site::start(4, 0, 3).await;
    site.store.set_all_modes(StoreMode::Refuses);
    site.store.cut_watches();
    tokio::time::sleep(Duration::from_millis(600)).await;

    site.plain[0].deregister();
    let removed_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.store.set_all_modes(StoreMode::Normal);

    look_up_for(&site, &[0, 1, 2, 3], Duration::from_secs(4)).await;
    let late = runs_after(&site, "plain-0", removed_at + Duration::from_millis(CHANGE_BOUND_MS));
    assert!(late.is_empty(), "{} requests reached it too late", late.len());
}

// Guards against a target that gets requests after it has left, because the only node that could
// tell waits for its entry to return longer than it counts as cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_left_while_a_node_was_cut_off_is_out_of_use_once_that_is_in_touch() {
    /// How long a node may use what it knew before it was cut off.
    const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);
    let play = async || {
        let site = Site::start(1, 0, 3).await;
        site.store.set_all_modes(StoreMode::Refuses);
        tokio::time::sleep(Duration::from_millis(2_300)).await;
        site.plain[0].deregister();
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.store.set_all_modes(StoreMode::Normal);
        let returned_at = Instant::now();
        look_up_for(&site, &[0], Duration::from_secs(5)).await;
        runs_after(&site, "plain-0", returned_at + IN_TOUCH_AFTER).len()
    };

    let late = join_all((0..6).map(|_| play())).await;

    assert!(late.iter().all(|count| *count == 0), "requests that reached it too late: {late:?}");
}
