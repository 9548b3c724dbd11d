//! How nodes learn that the store is back after an outage.
//!
//! *Work stands still after the store's return.* A call that was made while the store was silent counts
//! as lost only after a second, and the ways to the store are tried one after the other. It would be
//! noticed as results that are listed, and batches that are taken over, up to 3.6 s after the return
//! (1.3 s for a dead owner's batch on a day with an outage of seven seconds). So the nodes that watch
//! the store ask it again and again with a read that costs a tenth; as one is answered they tell all,
//! and what waits for an answer is asked again at once.

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

/// How often a watching node asks whether the store is back: at two nodes and a tenth of the price, a
/// call a second.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How long such a question may take; a slow store takes a quarter of a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// An outage this short took no call with it that is worth making again; nobody is told of its end.
const ANNOUNCE_MIN_MS: u64 = 500;

/// What a node knows of an outage of the store.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    /// When the store was last known to answer.
    answered_at: Cell<UnixMs>,
    /// When the first call was made that it did not answer; none while it answers.
    since: Cell<Option<UnixMs>>,
    /// Wakes the calls that wait for an answer.
    pub ended: Notify,
}

impl Outage {
    /// Tells whether the store did not answer this node when it was last asked.
    pub(crate) const fn is_ongoing(&self) -> bool {
        self.since.get().is_some()
    }

    /// Tells whether the store has answered since a call was made: its failure says nothing of now.
    /// Taken for an outage, calls that a short one took with it made a node lose and regain the store
    /// five times in a second.
    pub(crate) fn answered_since(&self, began_at: UnixMs) -> bool {
        began_at < self.answered_at.get()
    }

    /// Takes a call that failed; returns whether it is the first.
    pub(crate) fn record_failure(&self, began_at: UnixMs) -> bool {
        if self.is_ongoing() {
            return false;
        }
        self.since.set(Some(began_at));
        true
    }
}

/// Takes an answer of the store.
pub(crate) fn record_answer<P: Platform>(node: &Node<P>, by: &'static str) {
    node.batches.store_returned();
    node.outage.answered_at.set(clock::now());
    let Some(since) = node.outage.since.take() else { return };
    node.note("store_regained", json!({ "by": by }));
    if clock::now().since_ms(since) < ANNOUNCE_MIN_MS {
        return;
    }
    node.outage.ended.notify_waiters();
    if feed::is_watcher(node) {
        peers::broadcast(node, &Datagram::StoreReturned);
    }
}

/// Takes the word of a watching node that the store answers it again.
///
/// What waits is asked again, but the outage lasts here until the store answers this node: it may
/// still turn this one away, and its calls would be made directly first, a second each.
pub(crate) fn receive_store_returned<P: Platform>(node: &Rc<Node<P>>) {
    if node.outage.is_ongoing() {
        node.note("store_return_told", json!({}));
        node.batches.store_returned();
        node.outage.ended.notify_waiters();
        tokio::task::spawn_local(probe(Rc::clone(node)));
    }
}

/// Asks for the store's return while an outage lasts, where this node watches the store.
pub(crate) async fn probe_until_back<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        if node.outage.is_ongoing() && feed::is_watcher(&node) {
            tokio::task::spawn_local(probe(Rc::clone(&node)));
        }
    }
}

async fn probe<P: Platform>(node: Rc<Node<P>>) {
    let call = StoreCall::Get { key: orders::LEASE_KEY.to_owned(), may_be_old: true };
    count(&node.metrics.store_calls, call.kind());
    if matches!(timeout(PROBE_TIMEOUT, node.exchange_with_store(&call)).await, Ok(Ok(_))) {
        record_answer(&node, call.kind());
    }
}
