//! Detects the end of an outage of the store and announces it to all nodes.
//!
//! Fault guarded against: work is delayed after the store is back. A call made during the outage
//! counts as lost only after a second, and the paths to the store are tried one after the other.
//! Results were listed, and batches taken over, up to 3.6 s after the store's return; after an
//! outage of seven seconds, a dead owner's batch was taken over 1.3 s after it. So the watching
//! nodes probe the store with stale reads, which cost a tenth. When one is answered they notify all
//! nodes, and calls that still wait for an answer are repeated at once.

use crate::feed;
use crate::metrics::count;
use crate::node::Node;
use crate::peers::{self, Datagram};
use crate::platform::Platform;
use crate::store::StoreCall;
use crate::{clock, orders};
use catkinmast_model::UnixMs;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Interval of a watching node's probes. With two nodes and a tenth of the price they cost as much
/// as one call a second.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a probe may take; a slow store answers in a quarter of a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// The end of a shorter outage is not announced: no call waits long enough to be worth repeating.
const ANNOUNCE_MIN_MS: u64 = 500;

/// The state of the store's availability, as this node sees it.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    /// When the store last answered this node.
    answered_at: Cell<UnixMs>,
    /// When the first failed call was made; none while calls succeed.
    since: Cell<Option<UnixMs>>,
    /// Wakes the calls that wait for an answer, to be repeated.
    pub ended: Notify,
}

impl Outage {
    /// Returns whether an outage is going on, as this node sees it. A failed call does not count if
    /// the store has answered since it was made.
    pub(crate) const fn is_ongoing(&self) -> bool {
        self.since.get().is_some()
    }

    /// Returns whether the store has answered since a call was made. If so, the call's failure does
    /// not mean that an outage is going on: when such failures counted, the calls lost in one short
    /// outage made a node lose and regain the store five times in a second.
    pub(crate) fn answered_since(&self, began_at: UnixMs) -> bool {
        began_at < self.answered_at.get()
    }

    /// Records a failed call. Returns whether it is the first of an outage.
    pub(crate) fn record_failure(&self, began_at: UnixMs) -> bool {
        if self.is_ongoing() {
            return false;
        }
        self.since.set(Some(began_at));
        true
    }
}

/// Records an answer of the store; ends the outage and announces that, if there was one.
pub(crate) fn record_answer<P: Platform>(node: &Node<P>, by: &'static str) {
    node.batches.store_returned();
    node.outage.answered_at.set(clock::now());
    let Some(since) = node.outage.since.take() else { return };
    node.note("store_regained", json!({ "by": by }));
    if clock::now().since_ms(since) < ANNOUNCE_MIN_MS {
        return;
    }
    node.outage.ended.notify_waiters();
    if feed::is_watcher_by_rank(node) {
        peers::broadcast(node, &Datagram::StoreReturned);
    }
}

/// Handles a watching node's datagram that the store answers again.
///
/// Waiting calls are repeated, but for this node the outage lasts until the store answers it. The
/// store may still refuse this node, and without an outage its calls would go directly first and
/// lose a second each.
pub(crate) fn receive_store_returned<P: Platform>(node: &Rc<Node<P>>) {
    if node.outage.is_ongoing() {
        node.note("store_return_told", json!({}));
        node.batches.store_returned();
        node.outage.ended.notify_waiters();
        tokio::task::spawn_local(probe(Rc::clone(node)));
    }
}

/// Probes the store during an outage, if this node is a watcher, until the process ends.
pub(crate) async fn probe_during_outages<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        if node.outage.is_ongoing() && feed::is_watcher_by_rank(&node) {
            tokio::task::spawn_local(probe(Rc::clone(&node)));
        }
    }
}

async fn probe<P: Platform>(node: Rc<Node<P>>) {
    // Any key will do.
    let call = StoreCall::Get { key: orders::LEASE_KEY.to_owned(), may_be_old: true };
    count(&node.metrics.store_calls, call.kind());
    if matches!(timeout(PROBE_TIMEOUT, node.exchange_with_store(&call)).await, Ok(Ok(_))) {
        record_answer(&node, call.kind());
    }
}
