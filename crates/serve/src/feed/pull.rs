//! Pulls what this node has missed from its peers: the changes since a revision, or all keys.
//!
//! Any peer that has them can answer, so the store is asked by a number of nodes that the size of the
//! fleet does not change, also when all nodes start at once.

use super::state::{FeedUpdate, Source};
use super::{DUTY, Feed, Subject, apply_update, follow, peer_update};
use crate::clock;
use crate::node::Node;
use crate::peers::{self, PeerAnswer, PeerCall};
use crate::platform::Platform;
use crate::store::StoredItem;
use catkinmast_dispatch::WATCHERS;
use catkinmast_feed::{Changes, KeyPage};
use catkinmast_model::UnixMs;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a peer may take to answer with the missed changes.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a peer that lacks the announced changes is asked again: it pulls them meanwhile.
const PULL_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Later, a watcher's next report shows whether changes are still missing.
const PULL_RETRIES: usize = 4;
/// Peers that are asked for missed changes before the store is.
const PULL_PEERS_MAX: usize = 3;
/// How long a peer may take to answer with a page of keys, on a slow link beside others.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a report after which a node pulls changes from a peer: several heartbeats of both
/// watchers were lost.
const PULL_AFTER_SILENCE_MS: u64 = 1_200;
/// Lists of all keys that a node begins to send in [`LIST_SPAN_MS`]: more at once would share its
/// link, and none of them would arrive in time.
const LISTS_PER_SPAN: usize = 2;
const LIST_SPAN_MS: u64 = 1_000;
/// Pause of a node that has just started before it asks another peer for the list of keys.
const LIST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How much later each group of nodes reads the list from the store, if no peer has it: about the
/// time in which a peer sends it. Each group is as large as all before it together.
const LIST_GROUP_DELAY_MS: u64 = 1_000;

/// Asks peers for the changes that this node has missed, until the process ends. It runs beside
/// [`follow`], so that a node that has lost the store catches up while its own call still waits.
pub(crate) async fn catch_up<P: Platform>(node: Rc<Node<P>>, subject: Subject) {
    let feed = node.feeds.of(subject);
    loop {
        feed.catch_up_wanted.notified().await;
        let Some((peer, wanted)) = feed.catch_up_from.borrow_mut().take() else { continue };
        if feed.state.borrow().table.as_of() >= wanted {
            continue;
        }
        if !pull_from_any(&node, subject, peer).await {
            feed.state.borrow_mut().freshness.invalidate();
            feed.own_read_wanted.notify_one();
            continue;
        }
        // A peer that passes an announcement on may still be pulling the changes itself.
        for _ in 0..PULL_RETRIES {
            if wanted == u64::MAX || feed.state.borrow().table.as_of() >= wanted {
                break;
            }
            sleep(PULL_RETRY_PAUSE).await;
            pull_changes(&node, subject, peer).await;
        }
    }
}

/// Pulls what this node has missed from a peer, or from others if that one does not have it.
async fn pull_from_any<P: Platform>(node: &Node<P>, subject: Subject, first: SocketAddr) -> bool {
    let others = node.live_peers().into_iter().filter(|peer| *peer != first);
    for peer in std::iter::once(first).chain(others).take(PULL_PEERS_MAX) {
        if pull_changes(node, subject, peer).await || pull_list(node, subject, peer).await {
            return true;
        }
    }
    false
}

/// Asks a peer for the changes since this node's own revision. Returns whether it had them.
async fn pull_changes<P: Platform>(node: &Node<P>, subject: Subject, peer: SocketAddr) -> bool {
    let after = node.feeds.of(subject).state.borrow().table.as_of();
    let call = PeerCall::Changes { after, subject };
    let began_at = clock::now();
    match node.ask_peer(peer, &call, CATCH_UP_TIMEOUT).await {
        Ok(PeerAnswer::Changes(changes)) => {
            let update = peer_update(changes, Source::Pull(peer), began_at);
            apply_update(node, subject, update);
            true
        }
        _ => false,
    }
}

/// Reads all keys of a subject from a peer. Returns whether the peer had them.
async fn pull_list<P: Platform>(node: &Node<P>, subject: Subject, peer: SocketAddr) -> bool {
    let began_at = clock::now();
    let mut listed: Vec<StoredItem> = Vec::new();
    let mut first_page = None;
    loop {
        let after = listed.last().map(|item| item.key.clone()).unwrap_or_default();
        let call = PeerCall::Keys { after, subject };
        let answer = node.ask_peer(peer, &call, PAGE_TIMEOUT).await;
        let Ok(PeerAnswer::Keys { as_of, confirmed_ms_ago, items, truncated }) = answer else {
            return false;
        };
        // Pages are not a snapshot: changes since the first one are pulled afterwards.
        first_page.get_or_insert((as_of, confirmed_ms_ago));
        listed.extend(items);
        if !truncated {
            break;
        }
    }
    let Some((as_of, confirmed_ms_ago)) = first_page else { return false };
    let events = {
        let mut state = node.feeds.of(subject).state.borrow_mut();
        if !state.started {
            state.started = true;
            state.table.begin_log(as_of);
        }
        state.table.difference(&listed, as_of)
    };
    let confirmed_at = Some(UnixMs(began_at.since_ms(UnixMs(confirmed_ms_ago))));
    let source = Source::Pull(peer);
    // A list does not say whether its sender knows of an outage.
    let update = FeedUpdate { after_outage: true, as_of, confirmed_at, events, source };
    apply_update(node, subject, update);
    pull_changes(node, subject, peer).await;
    true
}

/// Reads all keys of a subject from one of the registered nodes, and then follows it until the
/// process ends.
///
/// Only a few nodes read the list from the store, also when the whole fleet starts at once: the list
/// takes each of them dozens of calls, and the store's link would take minutes to send it to all.
pub(crate) async fn follow_from_peers<P: Platform>(
    node: Rc<Node<P>>,
    subject: Subject,
    registered: Vec<SocketAddr>,
) {
    let group = (peers::registered_rank(&node, DUTY) / WATCHERS).checked_ilog2().unwrap_or(0);
    let read_at = clock::now().plus(LIST_GROUP_DELAY_MS * u64::from(group));
    while group > 0 && clock::now() < read_at && !registered.is_empty() {
        let peer = registered[node.random_u64() as usize % registered.len()];
        if pull_list(&node, subject, peer).await {
            break;
        }
        sleep(LIST_RETRY_PAUSE).await;
    }
    follow(node, subject).await;
}

/// Answers a peer that asks for a page of all keys. Refuses it if this node does not know them all,
/// or has begun to send as many lists as its link bears.
pub(crate) fn answer_keys<P: Platform>(
    node: &Node<P>,
    subject: Subject,
    after: &str,
) -> PeerAnswer {
    let feed = node.feeds.of(subject);
    let now = clock::now();
    let state = feed.state.borrow();
    let (true, Some(confirmed_ms_ago)) = (state.started, state.freshness.age_ms(now)) else {
        return PeerAnswer::Unavailable;
    };
    if after.is_empty() {
        let mut lists_sent = feed.lists_sent.borrow_mut();
        lists_sent.retain(|at| now.since_ms(*at) < LIST_SPAN_MS);
        if lists_sent.len() >= LISTS_PER_SPAN {
            return PeerAnswer::Unavailable;
        }
        lists_sent.push_back(now);
    }
    let KeyPage { as_of, items, truncated } = state.table.page(after);
    PeerAnswer::Keys { as_of, confirmed_ms_ago, items, truncated }
}

/// Returns the changes after a revision, for a peer that has missed them. None if this node does
/// not have them all.
pub(crate) fn changes_since<P: Platform>(
    node: &Node<P>,
    subject: Subject,
    after: u64,
) -> Option<Changes> {
    let state = node.feeds.of(subject).state.borrow();
    if !state.started {
        return None;
    }
    let events = Some(state.table.changes_after(after)?);
    // The age of the whole view, whoever confirmed it: the peer counts it from before its call, so
    // a view does not get younger by being passed on.
    let now = clock::now();
    let confirmed_ms_ago = state.freshness.age_ms(now);
    let after_outage = state.outage.entries_return_by(now, node.settings().change_bound).is_some();
    let as_of = state.table.as_of();
    Some(Changes { after, after_outage, as_of, confirmed_ms_ago, events })
}

/// Asks [`catch_up`] to pull the changes up to a revision from a peer.
pub(super) fn request_catch_up(feed: &Feed, from: SocketAddr, wanted: u64) {
    *feed.catch_up_from.borrow_mut() = Some((from, wanted));
    feed.catch_up_wanted.notify_one();
}

/// Pulls changes from a random peer if no watcher's report has arrived for some time: the nodes
/// that pass them on to this one may be dead, which is known only seconds later.
pub(super) fn pull_after_silence<P: Platform>(node: &Node<P>, subject: Subject) {
    let now = clock::now();
    let feed = node.feeds.of(subject);
    let is_due = {
        let state = feed.state.borrow();
        state.started && now.since_ms(state.heard_at) >= PULL_AFTER_SILENCE_MS
    };
    if let Some(peer) = node.live_peers().first().copied().filter(|_| is_due) {
        let silent_ms = now.since_ms(feed.state.borrow().heard_at);
        let subject = format!("{subject:?}");
        node.note("feed_silent", json!({ "subject": subject, "ms": silent_ms, "peer": peer }));
        feed.state.borrow_mut().heard_at = now;
        // Whatever the peer has, and how old its view is.
        request_catch_up(feed, peer, u64::MAX);
    }
}
