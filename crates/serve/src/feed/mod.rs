//! Follows the keys that others write to the store: the operators' configuration, the trainers'
//! weight versions and the targets' entries.
//!
//! Calls of the store cost money, and their rate must not grow with the fleet. So only two nodes
//! watch the store and send the changes to all others by datagrams, which are passed on over trees;
//! with two, the death of one delays nothing. A datagram names the revisions that it covers, and a
//! node that misses some asks a peer for the changes since its own revision, or for all keys.
//!
//! Fault guarded against: watchers that have lost the store keep sending datagrams, so nodes that
//! could reach the store do not read it and receive changes late. Each datagram therefore carries
//! the age of the store's answer behind it, and a node whose view gets too old reads the store
//! itself ([`Freshness`]).
//!
//! The feeds never use stale reads: a stale entry would bring back a target that has left.
//!
//! [`Freshness`]: catkinmast_dispatch::Freshness

mod apply;
mod pull;
mod report;
mod state;

pub(crate) use pull::{answer_keys, catch_up, changes_since, follow_from_peers};
pub(crate) use report::{receive_changes, relay};
pub(crate) use state::Subject;

use crate::clock;
use crate::node::Node;
use crate::peers;
use crate::platform::Platform;
use crate::store::{StoreAnswer, StoreCall, StoreEvent, StoreRefusal, StoredItem};
use apply::{apply_operator_item, apply_operator_removal, apply_target_events, digest};
use catkinmast_dispatch::{ConfirmationSource, WATCHERS};
use catkinmast_feed::Changes;
use catkinmast_model::UnixMs;
use serde_json::json;
use state::{FeedState, FeedUpdate, Source};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The name by which nodes are ranked as watchers; the first two watch the store. No lease is held.
const DUTY: &str = "feeds";
/// Interval of a watcher's heartbeats, by which nodes notice that they have missed a datagram.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Changes of targets within this time are coalesced into one call and one datagram. The time is
/// bounded because a leaving target must be out of use within two seconds.
const TARGETS_COALESCE_TIME: Duration = Duration::from_millis(300);
/// The same for the keys of operators and trainers. It is shorter because a trainer waits for its
/// version.
const OPERATORS_COALESCE_TIME: Duration = Duration::from_millis(60);
/// First backoff after a failure; it doubles up to [`BACKOFF_MAX_MS`], with jitter.
const BACKOFF_FIRST_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 800;
/// How long the store may take to answer before a peer is asked as well. A slow store takes less.
const HEDGE_AFTER: Duration = Duration::from_millis(500);

/// One feed of this node.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    catch_up_wanted: Notify,
    /// The peer to pull changes from, and the revision up to which they are wanted.
    catch_up_from: RefCell<Option<(SocketAddr, u64)>>,
    /// Wakes the node to read the store itself, because no peer has the changes that it misses.
    own_read_wanted: Notify,
    /// Whether the view was older than the change bound at the last check.
    is_old: Cell<bool>,
    /// When this node began to send its last lists of all keys.
    lists_sent: RefCell<VecDeque<UnixMs>>,
    state: RefCell<FeedState>,
}

/// The feeds of a node.
#[derive(Debug, Default)]
pub(crate) struct Feeds {
    operators: Feed,
    targets: Feed,
}

impl Feeds {
    const fn of(&self, subject: Subject) -> &Feed {
        match subject {
            Subject::Operators => &self.operators,
            Subject::Targets => &self.targets,
        }
    }
}

/// Follows a subject until the process ends.
pub(crate) async fn follow<P: Platform>(node: Rc<Node<P>>, subject: Subject) {
    let mut backoff_ms = BACKOFF_FIRST_MS;
    loop {
        let idle_ms = own_read_in_ms(&node, subject);
        if idle_ms > 0 {
            // A node that has just started may become a watcher when it knows the other nodes.
            let wait_ms = idle_ms.min(peers::next_settle_check_ms(&node));
            let own_read_wanted = node.feeds.of(subject).own_read_wanted.notified();
            drop(timeout(Duration::from_millis(wait_ms), own_read_wanted).await);
            continue;
        }
        let began_at = clock::now();
        let failed = match read_hedged(&node, prefix::<P>(subject)).await {
            Err(_) => true,
            Ok((items, as_of)) => {
                backoff_ms = BACKOFF_FIRST_MS;
                let events = node.feeds.of(subject).state.borrow().table.difference(&items, as_of);
                let confirmed_at = Some(began_at);
                let source = Source::Store;
                apply_and_forward(
                    &node,
                    subject,
                    FeedUpdate { after_outage: true, as_of, confirmed_at, events, source },
                );
                // A failed watch alone is no outage: the next read may go via a peer.
                watch(&node, subject).await.is_some_and(|refusal| {
                    let fields =
                        json!({ "subject": format!("{subject:?}"), "why": refusal.message });
                    node.note("feed_lost", fields);
                    true
                })
            }
        };
        if failed {
            backoff_ms = back_off(&node, backoff_ms).await;
        }
    }
}

/// Returns for how long this node may rely on the watchers before it reads the store itself, in
/// milliseconds.
fn own_read_in_ms<P: Platform>(node: &Node<P>, subject: Subject) -> u64 {
    let state = node.feeds.of(subject).state.borrow();
    if !state.started || is_watcher_by_rank(node) {
        return 0;
    }
    let rank = peers::rank_for(node, DUTY).unwrap_or(0);
    let next_read_at = state.freshness.next_read_at(rank, node.settings().change_bound);
    next_read_at.since_ms(clock::now())
}

const fn prefix<P: Platform>(subject: Subject) -> &'static str {
    match subject {
        Subject::Operators => P::OPERATOR_PREFIX,
        Subject::Targets => P::TARGETS_PREFIX,
    }
}

/// Returns whether this node is a watcher by its rank. A node that has just started does not know
/// the other nodes yet and does not watch until it does; its first read is enough meanwhile. When
/// each starting node watched, a start cost two more calls of the store (660 of 7,560 on a day with
/// 330 starts).
pub(crate) fn is_watcher_by_rank<P: Platform>(node: &Node<P>) -> bool {
    peers::settles_after_ms(node) == Some(0)
        && peers::rank_for(node, DUTY).is_some_and(|rank| rank < WATCHERS)
}

/// Returns whether this node watches a subject, as a watcher or in place of one.
fn watches<P: Platform>(node: &Node<P>, subject: Subject) -> bool {
    let Some(rank) = peers::rank_for(node, DUTY) else { return false };
    let freshness = node.feeds.of(subject).state.borrow().freshness;
    peers::settles_after_ms(node) == Some(0)
        && freshness.should_watch(clock::now(), rank, node.settings().change_bound)
}

/// Returns the age of the store's last confirmation to this node itself, in milliseconds; none if
/// it must not be sent to peers.
fn reportable_age_ms<P: Platform>(node: &Node<P>, subject: Subject) -> Option<u64> {
    let freshness = node.feeds.of(subject).state.borrow().freshness;
    freshness.reportable_age_ms(clock::now(), node.settings().change_bound)
}

/// Returns how long ago the view of a subject was last confirmed as complete, in milliseconds.
pub(crate) fn age_ms<P: Platform>(node: &Node<P>, subject: Subject) -> Option<u64> {
    node.feeds.of(subject).state.borrow().freshness.age_ms(clock::now())
}

/// Returns whether all keys of a subject were read once.
pub(crate) fn is_started<P: Platform>(node: &Node<P>, subject: Subject) -> bool {
    node.feeds.of(subject).state.borrow().started
}

/// Returns whether the view of a subject is no older than the change bound.
pub(crate) fn is_current<P: Platform>(node: &Node<P>, subject: Subject) -> bool {
    age_ms(node, subject).is_some_and(|age_ms| age_ms <= node.settings().change_bound.as_ms())
}

/// Converts a peer's changes into an update by this node's clock. `sent_after` is a time before
/// they were sent; for a datagram it is the time of receipt, and the time in flight is neglected.
fn peer_update(changes: Changes, source: Source, sent_after: UnixMs) -> FeedUpdate {
    FeedUpdate {
        after_outage: changes.after_outage,
        as_of: changes.as_of,
        confirmed_at: changes
            .confirmed_ms_ago
            .map(|ago_ms| UnixMs(sent_after.since_ms(UnixMs(ago_ms)))),
        events: changes.events.unwrap_or_default(),
        source,
    }
}

/// Applies changes that this node has read from the store, and sends them to all nodes if it
/// watches.
fn apply_and_forward<P: Platform>(node: &Node<P>, subject: Subject, update: FeedUpdate) {
    let read_after = {
        let mut state = node.feeds.of(subject).state.borrow_mut();
        if !state.started {
            state.started = true;
            state.table.begin_log(update.as_of);
        }
        state.table.as_of()
    };
    let after_outage = apply_update(node, subject, update);
    if !watches(node, subject) {
        return;
    }
    // What another watcher has reported meanwhile is sent as well: its tree may miss other nodes.
    let changes = {
        let state = node.feeds.of(subject).state.borrow();
        let events = state.table.changes_after(read_after);
        let is_news = events.as_ref().is_none_or(|events| !events.is_empty());
        is_news.then(|| Changes {
            after: state.table.base_of(read_after),
            after_outage,
            as_of: state.table.as_of(),
            confirmed_ms_ago: None,
            events,
        })
    };
    if let Some(changes) = changes {
        let confirmed_ms_ago = reportable_age_ms(node, subject);
        report::send_to_all(node, subject, Changes { confirmed_ms_ago, ..changes });
    }
}

/// Applies changes. Returns whether removals among them count as caused by an outage of the store:
/// neither their source nor this node may know that the store was available.
fn apply_update<P: Platform>(node: &Node<P>, subject: Subject, update: FeedUpdate) -> bool {
    let FeedUpdate { after_outage, as_of, confirmed_at, events, source } = update;
    let confirmation_source = confirmation_source(node, source);
    let bound = node.settings().change_bound;
    let now = clock::now();
    let (events, return_by) = {
        let mut state = node.feeds.of(subject).state.borrow_mut();
        state.heard_at = now;
        if let Some(at) = confirmed_at {
            state.freshness.confirm(at, confirmation_source);
            state.outage.record_answer(now, at, bound);
        }
        let return_by = state.outage.entries_return_by(now, bound).filter(|_| after_outage);
        (state.table.apply(events, as_of, |item| digest::<P>(subject, item)), return_by)
    };
    match subject {
        Subject::Operators => {
            for event in &events {
                match event {
                    StoreEvent::Written(item) => apply_operator_item(node, item, source),
                    StoreEvent::Deleted { key, .. } => apply_operator_removal(node, key, source),
                }
            }
        }
        Subject::Targets => apply_target_events(node, &events, return_by),
    }
    return_by.is_some()
}

fn confirmation_source<P: Platform>(node: &Node<P>, source: Source) -> ConfirmationSource {
    match source {
        Source::Store => ConfirmationSource::OwnCall,
        Source::Peer(peer) if peers::ranks_before(node, peer, DUTY) => {
            ConfirmationSource::EarlierRank
        }
        Source::Peer(_) | Source::Pull(_) => ConfirmationSource::OtherRank,
    }
}

/// Waits before the store is called again, at most until an outage of it ends.
async fn back_off<P: Platform>(node: &Node<P>, backoff_ms: u64) -> u64 {
    let jittered_ms = backoff_ms / 2 + node.random_u64() % backoff_ms;
    drop(timeout(Duration::from_millis(jittered_ms), node.outage.ended.notified()).await);
    (backoff_ms * 2).min(BACKOFF_MAX_MS)
}

/// Reads all keys under a prefix. Returns them with the revision after which to watch.
pub(crate) async fn read_all<P: Platform>(
    node: &Node<P>,
    prefix: &str,
) -> Result<(Vec<StoredItem>, u64), StoreRefusal> {
    read_pages(prefix, false, async |call| node.store(&call).await).await
}

/// Reads all keys under a prefix by stale reads: they may be some seconds old and cost a
/// tenth of current ones.
pub(crate) async fn read_stale<P: Platform>(
    node: &Node<P>,
    prefix: &str,
) -> Result<Vec<StoredItem>, StoreRefusal> {
    let ask = async |call| node.store(&call).await;
    read_pages(prefix, true, ask).await.map(|(items, _)| items)
}

/// Reads the current keys under a prefix, directly and, if that is slow, also via a peer; the first
/// answer wins. If the paths were tried one after the other, one that hangs would delay the other.
async fn read_hedged<P: Platform>(
    node: &Rc<Node<P>>,
    prefix: &'static str,
) -> Result<(Vec<StoredItem>, u64), StoreRefusal> {
    let here = Rc::clone(node);
    // It runs to its end even if a peer answers first, so that its failure is recorded.
    let mut direct = spawn_local(async move {
        read_pages(prefix, false, async |call| here.store_direct(&call).await).await
    });
    match timeout(HEDGE_AFTER, &mut direct).await {
        Ok(Ok(Ok(found))) => return Ok(found),
        Ok(_) => return read_via_peer(node, prefix).await,
        Err(_) => {}
    }
    tokio::select! {
        Ok(Ok(found)) = direct => Ok(found),
        Ok(found) = read_via_peer(node, prefix) => Ok(found),
        else => Err(StoreRefusal {
            message: "neither the store nor a peer answered".to_owned(),
            verdict: catkinmast_model::Verdict::NotRun,
        }),
    }
}

async fn read_via_peer<P: Platform>(
    node: &Rc<Node<P>>,
    prefix: &str,
) -> Result<(Vec<StoredItem>, u64), StoreRefusal> {
    read_pages(prefix, false, async |call| node.store_via_one_peer(&call).await).await
}

async fn read_pages(
    prefix: &str,
    may_be_old: bool,
    ask: impl AsyncFn(StoreCall) -> Result<StoreAnswer, StoreRefusal>,
) -> Result<(Vec<StoredItem>, u64), StoreRefusal> {
    let mut all: Vec<StoredItem> = Vec::new();
    let mut first_as_of = None;
    loop {
        let after = all.last().map(|item| item.key.clone()).unwrap_or_default();
        let call = StoreCall::Range { after, may_be_old, prefix: prefix.to_owned() };
        let StoreAnswer::Items { as_of, items, truncated } = ask(call).await? else {
            return Err(StoreRefusal {
                message: "another answer than a page of keys".to_owned(),
                verdict: catkinmast_model::Verdict::Ran,
            });
        };
        // Pages are not a snapshot: the watch starts after the first page's revision, so that
        // changes between pages are seen again.
        first_as_of.get_or_insert(as_of);
        let more = truncated && !items.is_empty();
        all.extend(items);
        if !more {
            return Ok((all, first_as_of.unwrap_or(as_of)));
        }
    }
}

/// Watches the store until the history is lost, a call fails, or another node watches. Returns the
/// refusal of the failed call.
async fn watch<P: Platform>(node: &Rc<Node<P>>, subject: Subject) -> Option<StoreRefusal> {
    let coalesce_time = match subject {
        Subject::Operators => OPERATORS_COALESCE_TIME,
        Subject::Targets => TARGETS_COALESCE_TIME,
    };
    while watches(node, subject) {
        let (after, freshness) = {
            let state = node.feeds.of(subject).state.borrow();
            (state.table.as_of(), state.freshness)
        };
        let prefix = prefix::<P>(subject).to_owned();
        let began_at = clock::now();
        let wait_ms = freshness.next_wait_ms(began_at, node.settings().change_bound);
        let call = StoreCall::Watch { after, prefix, wait_ms };
        match node.store(&call).await {
            Ok(StoreAnswer::Events { as_of, events }) => {
                let any = !events.is_empty();
                let confirmed_at = Some(earliest_answer_at(began_at, wait_ms, any));
                let source = Source::Store;
                let update =
                    FeedUpdate { after_outage: false, as_of, confirmed_at, events, source };
                apply_and_forward(node, subject, update);
                if any {
                    sleep(coalesce_time).await;
                }
            }
            Ok(_) => {
                let fields = json!({ "subject": format!("{subject:?}"), "after": after });
                node.note("feed_restarted", fields);
                return None;
            }
            Err(refusal) => return Some(refusal),
        }
    }
    None
}

/// Returns the earliest time at which the store can have answered a watch that was sent at
/// `began_at`. Without a change the store answers only after the wait.
fn earliest_answer_at(began_at: UnixMs, wait_ms: u64, with_changes: bool) -> UnixMs {
    let waited_until = began_at.plus(wait_ms);
    if with_changes || clock::now() < waited_until { began_at } else { waited_until }
}

/// Exports the age of this node's view, and logs when the view gets too old and when it is current
/// again.
fn report_age<P: Platform>(node: &Node<P>, subject: Subject) {
    let Some(age_ms) = age_ms(node, subject) else { return };
    node.metrics.feed_age_ms.get_or_create(&subject.reason()).set(age_ms as i64);
    let is_old = age_ms > node.settings().change_bound.as_ms();
    if node.feeds.of(subject).is_old.replace(is_old) != is_old {
        let event = if is_old { "feed_old" } else { "feed_current" };
        let as_of = node.feeds.of(subject).state.borrow().table.as_of();
        let subject = format!("{subject:?}");
        node.note(event, json!({ "subject": subject, "age_ms": age_ms, "revision": as_of }));
    }
}

/// Removes targets that did not register again after an outage of the registry.
fn expire_targets<P: Platform>(node: &Node<P>) {
    let expired = node.targets.borrow_mut().expire(clock::now());
    for change in &expired {
        node.target_changed(change, "did not register again after an outage of the registry");
    }
}

/// Sends heartbeats while this node watches and the store answers it. Each round also checks the age
/// of the views. Targets that did not register again after an outage are removed in time.
pub(crate) async fn run_heartbeats<P: Platform>(node: Rc<Node<P>>) {
    let mut due_at = clock::now().plus(HEARTBEAT_INTERVAL_MS);
    loop {
        let expiry = node.targets.borrow().next_expiry();
        let wake_at = expiry.map_or(due_at, |expiry| expiry.min(due_at));
        sleep(Duration::from_millis(wake_at.since_ms(clock::now()))).await;
        expire_targets(&node);
        if clock::now() < due_at {
            continue;
        }
        due_at = clock::now().plus(HEARTBEAT_INTERVAL_MS);
        node.cold.expire();
        for subject in [Subject::Operators, Subject::Targets] {
            report_age(&node, subject);
            if !node.leaving.get() && watches(&node, subject) {
                report::send_heartbeat(&node, subject);
            } else {
                pull::pull_after_silence(&node, subject);
            }
        }
    }
}
