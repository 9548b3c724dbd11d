//! Follows what others write to the store: the operators' configuration, the trainers' versions
//! and the targets' entries.
//!
//! Each call of the store is priced, and its rate does not grow with the fleet. So two nodes watch,
//! and pass on what they see to all others by datagrams; two, so that the death of one is not even
//! noticed. A datagram names the revisions that it covers: a node that misses some asks a peer for
//! what came since.
//!
//! *Watchers that have lost the store keep all others from looking.* It would be noticed as a change
//! that is late at nodes which reach the store. So each datagram says how old the answer of the store
//! is on which it rests, and a node whose view gets old looks for itself ([`Freshness`]).
//!
//! Reads that may be old are never used here: an old entry would bring back a target that has left.
//!
//! [`Freshness`]: catkinmast_dispatch::Freshness

mod apply;
mod state;

pub(crate) use state::{Changes, Subject};

use crate::clock;
use crate::node::Node;
use crate::peers::{self, Datagram, PeerAnswer, PeerCall};
use crate::platform::Platform;
use crate::store::{StoreAnswer, StoreCall, StoreEvent, StoreRefusal, StoredItem};
use apply::{apply_operator_item, apply_target_events};
use catkinmast_dispatch::{ConfirmationSource, WATCHERS};
use catkinmast_model::UnixMs;
use serde_json::json;
use state::{FeedState, FeedUpdate, Source, datagrams};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The duty of the nodes that watch.
const DUTY: &str = "feeds";
/// How often a watcher says that it still watches, for nodes that have lost a datagram.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Changes of targets that come within this time cost one call and one datagram instead of several.
/// A leaving target must be out of use within two seconds.
const TARGETS_COALESCE_TIME: Duration = Duration::from_millis(300);
/// The same for what operators and trainers write; a trainer waits for its version.
const OPERATORS_COALESCE_TIME: Duration = Duration::from_millis(60);
/// First pause after a failure; doubled up to [`BACKOFF_MAX_MS`], with jitter.
const BACKOFF_FIRST_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 800;
/// How long the store may take to answer before a peer is asked as well; a slow one takes less.
const HEDGE_AFTER: Duration = Duration::from_millis(500);
/// How long a peer may take to tell what came since.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// A feed.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    catch_up_wanted: Notify,
    catch_up_from: RefCell<Option<SocketAddr>>,
    /// Wakes the node to look for itself, since there is something that nobody tells it.
    own_read_wanted: Notify,
    /// Whether the view was older than it may be when it was last looked at.
    is_old: Cell<bool>,
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
    let mut after_outage = false;
    loop {
        let idle_ms = own_read_in_ms(&node, subject);
        if idle_ms > 0 {
            let wait_ms = idle_ms.min(peers::next_settle_check_ms(&node));
            let own_read_wanted = node.feeds.of(subject).own_read_wanted.notified();
            drop(timeout(Duration::from_millis(wait_ms), own_read_wanted).await);
            continue;
        }
        let began_at = clock::now();
        let failed = match read_hedged(&node, prefix::<P>(subject)).await {
            Err(_) => {
                after_outage = true;
                true
            }
            Ok((items, as_of)) => {
                backoff_ms = BACKOFF_FIRST_MS;
                let events = node.feeds.of(subject).state.borrow().difference(&items, as_of);
                let after_outage = std::mem::take(&mut after_outage);
                let confirmed_at = Some(began_at);
                let source = Source::Store;
                apply_and_forward(
                    &node,
                    subject,
                    FeedUpdate { after_outage, as_of, confirmed_at, events, source },
                );
                // One way to the store that fails is no outage: the whole is read by way of a peer.
                watch(&node, subject).await.is_some_and(|refusal| {
                    let why = json!({ "subject": format!("{subject:?}"), "why": refusal.message });
                    node.note("feed_lost", why);
                    true
                })
            }
        };
        if failed {
            backoff_ms = back_off(&node, backoff_ms).await;
        }
    }
}

/// Returns how long this node may go by what it is told before it looks for itself, in milliseconds.
fn own_read_in_ms<P: Platform>(node: &Node<P>, subject: Subject) -> u64 {
    let state = node.feeds.of(subject).state.borrow();
    if !state.started || is_watcher(node) {
        return 0;
    }
    let rank = peers::rank_for(node, DUTY).unwrap_or(0);
    let looks_at = state.freshness.next_read_at(rank, node.settings().change_bound);
    looks_at.since_ms(clock::now())
}

const fn prefix<P: Platform>(subject: Subject) -> &'static str {
    match subject {
        Subject::Operators => P::OPERATOR_PREFIX,
        Subject::Targets => P::TARGETS_PREFIX,
    }
}

/// Tells whether this node watches. One that has just started does not know yet who else is there, and
/// what it has read holds until it does: when each watched meanwhile, a start cost two calls of the
/// store more (660 of 7,560 on a day with 330 starts).
pub(crate) fn is_watcher<P: Platform>(node: &Node<P>) -> bool {
    peers::settles_after_ms(node) == Some(0)
        && peers::rank_for(node, DUTY).is_some_and(|rank| rank < WATCHERS)
}

/// Tells whether this node watches a subject, be it in place of the watchers.
fn watches<P: Platform>(node: &Node<P>, subject: Subject) -> bool {
    let Some(rank) = peers::rank_for(node, DUTY) else { return false };
    let freshness = node.feeds.of(subject).state.borrow().freshness;
    peers::settles_after_ms(node) == Some(0)
        && freshness.should_watch(clock::now(), rank, node.settings().change_bound)
}

/// Returns how long ago the store confirmed a view to this node itself, as others may be told, in
/// milliseconds.
fn reportable_age_ms<P: Platform>(node: &Node<P>, subject: Subject) -> Option<u64> {
    let freshness = node.feeds.of(subject).state.borrow().freshness;
    freshness.reportable_age_ms(clock::now(), node.settings().change_bound)
}

/// Asks peers for what this node has missed, until the process ends. A node that has lost the store
/// does so while its own call still waits for an answer.
pub(crate) async fn catch_up<P: Platform>(node: Rc<Node<P>>, subject: Subject) {
    let feed = node.feeds.of(subject);
    loop {
        feed.catch_up_wanted.notified().await;
        let Some(peer) = feed.catch_up_from.borrow_mut().take() else { continue };
        let after = feed.state.borrow().as_of;
        let call = PeerCall::Changes { after, subject };
        let began_at = clock::now();
        if let Ok(PeerAnswer::Changes(changes)) = node.ask_peer(peer, &call, CATCH_UP_TIMEOUT).await
        {
            apply_update(&node, subject, peer_update(changes, peer, began_at));
        } else {
            feed.state.borrow_mut().freshness.invalidate();
            feed.own_read_wanted.notify_one();
        }
    }
}

/// Answers a peer that missed changes.
pub(crate) fn changes_since<P: Platform>(
    node: &Node<P>,
    subject: Subject,
    after: u64,
) -> Option<Changes> {
    let state = node.feeds.of(subject).state.borrow();
    if !state.started || after > state.as_of {
        return None;
    }
    let events = if after >= state.log_from {
        state.log.iter().filter(|event| event.revision() > after).cloned().collect()
    } else {
        // What was deleted since cannot be told any more; the whole list is read from the store.
        return None;
    };
    let confirmed_ms_ago =
        state.freshness.reportable_age_ms(clock::now(), node.settings().change_bound);
    let events = Some(events);
    Some(Changes { after, after_outage: false, as_of: state.as_of, confirmed_ms_ago, events })
}

/// Returns how long ago a view of the store was last known to be complete, in milliseconds.
pub(crate) fn age_ms<P: Platform>(node: &Node<P>, subject: Subject) -> Option<u64> {
    node.feeds.of(subject).state.borrow().freshness.age_ms(clock::now())
}

/// Tells whether a view of the store is no older than the bound of a change.
pub(crate) fn is_current<P: Platform>(node: &Node<P>, subject: Subject) -> bool {
    age_ms(node, subject).is_some_and(|age_ms| age_ms <= node.settings().change_bound.as_ms())
}

/// Turns what a peer told, not before `sent_after`, into what this node may believe.
fn peer_update(changes: Changes, from: SocketAddr, sent_after: UnixMs) -> FeedUpdate {
    FeedUpdate {
        after_outage: changes.after_outage,
        as_of: changes.as_of,
        confirmed_at: changes
            .confirmed_ms_ago
            .map(|ago_ms| UnixMs(sent_after.since_ms(UnixMs(ago_ms)))),
        events: changes.events.unwrap_or_default(),
        source: Source::Peer(from),
    }
}

/// Takes a watcher's datagram.
pub(crate) fn receive_changes<P: Platform>(
    node: &Node<P>,
    subject: Subject,
    changes: Changes,
    from: SocketAddr,
) {
    let feed = node.feeds.of(subject);
    let as_of = feed.state.borrow().as_of;
    if changes.after > as_of || (changes.events.is_none() && changes.as_of > as_of) {
        *feed.catch_up_from.borrow_mut() = Some(from);
        feed.catch_up_wanted.notify_one();
        return;
    }
    apply_update(node, subject, peer_update(changes, from, clock::now()));
}

/// Takes changes that this node saw itself, and passes them on.
fn apply_and_forward<P: Platform>(node: &Node<P>, subject: Subject, update: FeedUpdate) {
    let after = {
        let mut state = node.feeds.of(subject).state.borrow_mut();
        if !state.started {
            state.started = true;
            state.log_from = update.as_of;
        }
        state.as_of
    };
    let (after_outage, as_of) = (update.after_outage, update.as_of);
    let events = Some(update.events.clone());
    apply_update(node, subject, update);
    if watches(node, subject) {
        let confirmed_ms_ago = reportable_age_ms(node, subject);
        forward(node, subject, Changes { after, after_outage, as_of, confirmed_ms_ago, events });
    }
}

fn forward<P: Platform>(node: &Node<P>, subject: Subject, changes: Changes) {
    let peers = node.live_peers();
    for part in datagrams(changes) {
        let datagram = Datagram::Changes { changes: part, subject };
        for peer in &peers {
            peers::send(node, &datagram, *peer);
        }
    }
}

fn apply_update<P: Platform>(node: &Node<P>, subject: Subject, update: FeedUpdate) {
    let FeedUpdate { after_outage, as_of, confirmed_at, events, source } = update;
    let witness = witness(node, source);
    let events = {
        let mut state = node.feeds.of(subject).state.borrow_mut();
        if let Some(at) = confirmed_at {
            state.freshness.confirm(at, witness);
        }
        // What was told meanwhile is newer: late changes could bring back what was deleted since.
        if as_of < state.as_of { Vec::new() } else { state.take(events, as_of) }
    };
    match subject {
        Subject::Operators => {
            for event in &events {
                if let StoreEvent::Written(item) = event {
                    apply_operator_item(node, item, source);
                }
            }
        }
        Subject::Targets => apply_target_events(node, &events, after_outage),
    }
}

fn witness<P: Platform>(node: &Node<P>, source: Source) -> ConfirmationSource {
    match source {
        Source::Store => ConfirmationSource::OwnCall,
        Source::Peer(peer) if peers::ranks_before(node, peer, DUTY) => {
            ConfirmationSource::EarlierRank
        }
        Source::Peer(_) => ConfirmationSource::LaterRank,
    }
}

async fn back_off<P: Platform>(node: &Node<P>, backoff_ms: u64) -> u64 {
    let jittered_ms = backoff_ms / 2 + node.random_u64() % backoff_ms;
    sleep(Duration::from_millis(jittered_ms)).await;
    (backoff_ms * 2).min(BACKOFF_MAX_MS)
}

/// Reads all keys under a prefix, and the revision after which changes are wanted.
pub(crate) async fn read_whole<P: Platform>(
    node: &Node<P>,
    prefix: &str,
) -> Result<(Vec<StoredItem>, u64), StoreRefusal> {
    read_pages(prefix, false, async |call| node.store(&call).await).await
}

/// Reads all keys under a prefix as they were some seconds ago at most, at a tenth of the price.
pub(crate) async fn read_stale<P: Platform>(
    node: &Node<P>,
    prefix: &str,
) -> Result<Vec<StoredItem>, StoreRefusal> {
    let ask = async |call| node.store(&call).await;
    read_pages(prefix, true, ask).await.map(|(items, _)| items)
}

/// Reads all keys under a prefix as they are, by the first way to the store that answers: tried one
/// after the other, a way that fails would keep one that has come back from being used.
async fn read_hedged<P: Platform>(
    node: &Rc<Node<P>>,
    prefix: &'static str,
) -> Result<(Vec<StoredItem>, u64), StoreRefusal> {
    let here = Rc::clone(node);
    // It runs to its end, so that a way that fails is known as such.
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
        // Pages are no snapshot: what changed between them is seen again from the first one on.
        first_as_of.get_or_insert(as_of);
        let more = truncated && !items.is_empty();
        all.extend(items);
        if !more {
            return Ok((all, first_as_of.unwrap_or(as_of)));
        }
    }
}

/// Waits for changes until the history is lost, the store does not answer, or others watch.
async fn watch<P: Platform>(node: &Rc<Node<P>>, subject: Subject) -> Option<StoreRefusal> {
    let coalesce_time = match subject {
        Subject::Operators => OPERATORS_COALESCE_TIME,
        Subject::Targets => TARGETS_COALESCE_TIME,
    };
    while watches(node, subject) {
        let (after, freshness) = {
            let state = node.feeds.of(subject).state.borrow();
            (state.as_of, state.freshness)
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
                let why = json!({ "subject": format!("{subject:?}"), "after": after });
                node.note("feed_restarted", why);
                return None;
            }
            Err(refusal) => return Some(refusal),
        }
    }
    None
}

/// Returns the earliest moment at which the store can have answered a watch that was made at
/// `began_at`: without a change it answers only when the wait is over.
fn earliest_answer_at(began_at: UnixMs, wait_ms: u64, with_changes: bool) -> UnixMs {
    let waited_until = began_at.plus(wait_ms);
    if with_changes || clock::now() < waited_until { began_at } else { waited_until }
}

/// Writes down when this node's view of the store gets old, and when it is current again.
fn report_age<P: Platform>(node: &Node<P>, subject: Subject) {
    let Some(age_ms) = age_ms(node, subject) else { return };
    node.metrics.feed_age_ms.get_or_create(&subject.reason()).set(age_ms as i64);
    let is_old = age_ms > node.settings().change_bound.as_ms();
    if node.feeds.of(subject).is_old.replace(is_old) != is_old {
        let event = if is_old { "feed_old" } else { "feed_current" };
        let as_of = node.feeds.of(subject).state.borrow().as_of;
        let subject = format!("{subject:?}");
        node.note(event, json!({ "subject": subject, "age_ms": age_ms, "revision": as_of }));
    }
}

/// Tells the others that this node still watches, as long as it hears the store, and does what is due.
pub(crate) async fn run_heartbeats<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        let gone = node.targets.borrow_mut().expire(clock::now());
        for change in &gone {
            node.target_changed(change, "not back after the registry's outage");
        }
        for subject in [Subject::Operators, Subject::Targets] {
            report_age(&node, subject);
            if !node.leaving.get() && watches(&node, subject) {
                send_heartbeat(&node, subject);
            }
        }
    }
}

fn send_heartbeat<P: Platform>(node: &Node<P>, subject: Subject) {
    let Some(age_ms) = reportable_age_ms(node, subject) else { return };
    let as_of = node.feeds.of(subject).state.borrow().as_of;
    let confirmed_ms_ago = Some(age_ms);
    let events = Some(Vec::new());
    let changes = Changes { after: as_of, after_outage: false, as_of, confirmed_ms_ago, events };
    forward(node, subject, changes);
}
