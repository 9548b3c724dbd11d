//! Outages of the store that begin with a write which is not answered.

use super::super::harness::Site;
use super::super::store::{LastWrite, Outage, StoreMode};
use rand::Rng;
use rand::rngs::StdRng;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::sleep;

/// Prefix of the keys by which nodes create batches.
const BATCHES: &str = "cm/h/";

/// Plays one outage after another until `stopped`. Returns how many have begun.
pub(super) async fn play(site: &Site, stopped: &Cell<bool>, mut rng: StdRng) -> usize {
    let mut begun = 0;
    while !stopped.get() {
        let is_plain: bool = rng.random();
        let outage = (!is_plain).then(|| draw(site, &mut rng));
        begun += usize::from(play_one(site, stopped, outage, &mut rng).await);
    }
    begun
}

/// Plays some outages that refuse all nodes, and sets `stopped` then.
pub(super) async fn play_some(site: &Site, stopped: &Cell<bool>, count: usize, mut rng: StdRng) {
    for _ in 0..count {
        play_one(site, stopped, None, &mut rng).await;
    }
    stopped.set(true);
}

/// Plays an outage that begins with a submission; without a kind it refuses all nodes. Returns
/// whether it has begun before `stopped`.
async fn play_one(
    site: &Site,
    stopped: &Cell<bool>,
    outage: Option<Outage>,
    rng: &mut StdRng,
) -> bool {
    sleep(Duration::from_millis(rng.random_range(200..1_000))).await;
    match outage {
        None => site.store.go_down_after_write(BATCHES),
        Some(outage) => site.store.go_down_after_write_with(BATCHES, outage),
    }
    while site.store.awaits_outage() && !stopped.get() {
        sleep(Duration::from_millis(10)).await;
    }
    let has_begun = !site.store.awaits_outage();
    if has_begun {
        sleep(Duration::from_millis(rng.random_range(300..2_000))).await;
    }
    site.store.end_outage();
    has_begun
}

fn draw(site: &Site, rng: &mut StdRng) -> Outage {
    let late = Duration::from_millis(rng.random_range(500..2_500));
    let writes = [LastWrite::Closed, LastWrite::Silent, LastWrite::Late(late)];
    let modes = [StoreMode::Refuses, StoreMode::Closes];
    let spares_some: bool = rng.random();
    let endpoints = site.nodes.iter().map(|node| node.store_endpoint);
    Outage {
        needs_creation: true,
        mode: modes[rng.random_range(0..modes.len())],
        pauses_leases: rng.random(),
        spared: endpoints.filter(|_| spares_some && rng.random()).collect(),
        write: writes[rng.random_range(0..writes.len())],
    }
}
