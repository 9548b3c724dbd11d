//! Batches whose owner died or leaves: who takes them, and when.

use super::LocalBatch;
use super::accept::{BatchSource, model_duty, start_owning};
use super::end::delete_expired;
use super::keys::{
    RECORD_PREFIX, Record, RecordWrite, StoredBatch, part_max_bytes, read_record,
    read_stored_batch, report_unreadable, write_record,
};
use super::ownership::apply_record;
use super::read::OWNER_CALL_SLACK;
use super::standby::{InterimProgress, longer_outputs, start_interim};
use super::write::write_chunk;
use crate::clock;
use crate::node::Node;
use crate::peers::{self, Datagram, Life, Owner, PeerCall};
use crate::platform::Platform;
use crate::store::{StoreAnswer, StoreCall, StoreRefusal, StoredItem};
use catkinmast_dispatch::Progress;
use catkinmast_model::UnixMs;
use serde_json::json;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Nodes that look through the store for batches that nobody runs; two, so that the death of one
/// delays nothing. When all nodes did, their reads were three fifths of all calls of the store on a
/// day of 165 nodes (4,393 of 7,560), and each death cost as many calls as there are nodes.
const SEARCHER_COUNT: usize = 2;

/// How often old records are looked through for batches that nobody runs.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_secs(4);

/// Deaths that come within this time cost one search. Batches that a node was told of do not wait for
/// it, see [`take_over_known`].
const COALESCE_DEATHS: Duration = Duration::from_millis(200);

/// How long a takeover may take before the batch's items run without an owner: its three calls take
/// some milliseconds each, and a slow store's a quarter of a second.
const INTERIM_AFTER: Duration = Duration::from_millis(200);

/// Pause before a batch is taken again after the store did not answer.
const TAKEOVER_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The duty of searching.
const SEARCH_DUTY: &str = "orphans";

/// How long a node that nothing was heard of is given before its batches are taken.
pub(super) const UNKNOWN_OWNER_GRACE_MS: u64 = 3_000;

/// How much later than the operator allows an item is given up by an owner that did not accept
/// the batch itself: the acceptance was timed by another machine's wall clock.
pub(super) const SKEW_MAX_MS: u64 = 6_000;

/// Looks for batches that nobody runs, and takes those that fall to this node.
///
/// Those of this node's former life are taken at once: that life is over for certain, while of
/// others that is known only after some probes. After a restart of the whole fleet its steps go on
/// 0.7 s sooner.
///
/// All nodes are told of batches and their owners, so most deaths need no look at the store: the
/// first in rank takes what it was told of. [`SEARCHER_COUNT`] look for the rest, and tell whom it falls to.
pub(crate) async fn take_over_orphans<P: Platform>(node: Rc<Node<P>>) {
    node.batches.started_at.set(clock::now());
    sweep(&node, Search::FormerIncarnation).await;
    sleep(Duration::from_millis(peers::SETTLE_MS)).await;
    let mut at_once = true;
    loop {
        if !node.leaving.get() {
            take_over_known(&node);
            search(&node, at_once).await;
        }
        delete_expired(&node).await;
        at_once = timeout(SWEEP_INTERVAL, node.batches.orphaned.notified()).await.is_ok();
    }
}

/// Looks through the store, where this is one of the nodes that do.
async fn search<P: Platform>(node: &Rc<Node<P>>, at_once: bool) {
    let is_searcher = peers::rank_for(node, SEARCH_DUTY).is_some_and(|rank| rank < SEARCHER_COUNT);
    if !is_searcher {
        return;
    }
    if at_once {
        sleep(COALESCE_DEATHS).await;
    }
    node.batches.search_failed.set(false);
    if !sweep(node, Search::Orphans { may_be_old: !at_once }).await {
        node.batches.search_failed.set(true);
    }
}

/// Takes the batches that this node was told of and that fall to it.
fn take_over_known<P: Platform>(node: &Rc<Node<P>>) {
    let Some(me) = peers::me(node) else { return };
    stop_obsolete_interim(node);
    for (id, owner) in node.batches.recently_reported_owners(clock::now()) {
        let of_former_incarnation = owner.node == me.node && owner.incarnation < me.incarnation;
        let falls_here =
            of_former_incarnation || (is_dead(node, &owner) && peers::is_first_for(node, &id));
        if falls_here && node.batches.get(&id).is_none() {
            start_takeover(node, &id);
        }
    }
}

/// Stops interim runs of batches that do not fall to this node any more: their owner lives, or
/// another node follows it.
fn stop_obsolete_interim<P: Platform>(node: &Rc<Node<P>>) {
    for id in node.batches.standby.interim_ids() {
        let owner = node.batches.owner_of(&id);
        let falls_here = owner.is_some_and(|owner| is_dead(node, &owner))
            && peers::is_first_for(node, &id)
            && !node.leaving.get();
        if !falls_here {
            node.batches.standby.discard(&id);
        }
    }
}

/// Takes the word of a searching node that a batch's owner is dead and that it falls to this node.
pub(crate) fn on_batch_orphaned<P: Platform>(node: &Rc<Node<P>>, batch: &str, owner: Owner) {
    let is_dead = is_dead(node, &owner);
    node.batches.note_owner(batch, owner);
    if is_dead && node.batches.get(batch).is_none() {
        start_takeover(node, batch);
    }
}

/// What a search looks for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Search {
    /// Batches of this node's former lives.
    FormerIncarnation,
    /// The same, and those of nodes that are dead as far as this one knows.
    Orphans {
        /// Whether records that are some seconds old will do.
        may_be_old: bool,
    },
}

/// Looks through all records; returns false when they could not be read.
pub(super) async fn sweep<P: Platform>(node: &Rc<Node<P>>, search: Search) -> bool {
    // A node reads all records at its start, and a record is read again before it is changed: one
    // that is seconds old only delays what the searching nodes find.
    let may_be_old = !matches!(search, Search::Orphans { may_be_old: false });
    let mut after = String::new();
    loop {
        let prefix = RECORD_PREFIX.to_owned();
        let call = StoreCall::Range { after: after.clone(), may_be_old, prefix };
        let Ok(StoreAnswer::Items { items, truncated, .. }) = node.store(&call).await else {
            return false;
        };
        for item in &items {
            examine_record(node, item, search);
        }
        match items.last() {
            Some(last) if truncated => after.clone_from(&last.key),
            _ => return true,
        }
    }
}

pub(super) fn examine_record<P: Platform>(node: &Rc<Node<P>>, item: &StoredItem, search: Search) {
    let Some(id) = item.key.strip_prefix(RECORD_PREFIX) else { return };
    let record: Record = match postcard::from_bytes(&item.value) {
        Ok(record) => record,
        Err(error) => return report_unreadable(node, item, &error),
    };
    if node.batches.get(id).is_some() {
        return;
    }
    node.batches.note_owner(id, record.owner.clone());
    if record.ended {
        return;
    }
    if peers::me(node).is_some_and(|me| is_own_incarnation(&me, &record.owner)) {
        return start_takeover(node, id);
    }
    // A node that has just started knows nobody, and would come first in rank for everything.
    let may_be_dead = matches!(search, Search::Orphans { .. });
    if !may_be_dead || !is_dead(node, &record.owner) {
        return;
    }
    match peers::first_for(node, id) {
        None => start_takeover(node, id),
        Some(first) => {
            let datagram = Datagram::BatchOrphaned { batch: id.to_owned(), owner: record.owner };
            peers::send(node, &datagram, first);
        }
    }
}

fn start_takeover<P: Platform>(node: &Rc<Node<P>>, id: &str) {
    if !node.batches.takeovers.borrow_mut().insert(id.to_owned()) {
        return;
    }
    let (node, id) = (Rc::clone(node), id.to_owned());
    tokio::task::spawn_local(async move {
        if let Err(refusal) = take_over_or_run_interim(&node, &id).await {
            node.note("batch_untaken", json!({ "request": id, "why": refusal.message }));
            sleep(TAKEOVER_RETRY_PAUSE).await;
            node.batches.orphaned.notify_one();
        } else {
            node.batches.standby.discard(&id);
        }
        node.batches.takeovers.borrow_mut().swap_remove(&id);
    });
}

/// Takes a batch over; where the store does not answer soon, its items run meanwhile.
async fn take_over_or_run_interim<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
) -> Result<(), StoreRefusal> {
    let mut takeover = pin!(take_over(node, id, Vec::new()));
    if let Ok(taken) = timeout(INTERIM_AFTER, &mut takeover).await {
        if taken.is_err() {
            start_interim(node, id);
        }
        return taken;
    }
    start_interim(node, id);
    takeover.await
}

/// Tells whether a node's life is the owner, or one that came after it.
fn is_own_incarnation(me: &Owner, owner: &Owner) -> bool {
    me.node == owner.node && me.incarnation >= owner.incarnation
}

/// Tells whether an owner is dead. One that nothing was heard of is not, until this node has been
/// there long enough to have heard of all: after a restart of the whole fleet each node's view is
/// partial for a moment, and owners that live would lose their batches over and over.
pub(super) fn is_dead<P: Platform>(node: &Node<P>, owner: &Owner) -> bool {
    match peers::life_of(node, owner) {
        Life::Over => true,
        Life::GoesOn => false,
        Life::Unheard => {
            clock::now().since_ms(node.batches.started_at.get()) > UNKNOWN_OWNER_GRACE_MS
        }
    }
}

/// Becomes the owner of a batch, by its record as it stands now.
pub(super) async fn take_over<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    handed_over_outputs: Vec<(String, Progress)>,
) -> Result<(), StoreRefusal> {
    let Some(me) = peers::me(node) else { return Ok(()) };
    let Some((record, revision)) = read_record(node, id).await? else { return Ok(()) };
    if record.ended {
        node.batches.note_ended(id);
        return Ok(());
    }
    if !is_own_incarnation(&me, &record.owner) && !is_dead(node, &record.owner) {
        node.batches.note_owner(id, record.owner);
        return Ok(());
    }
    let former_owner = record.owner.clone();
    let record = Record { owner: me, ..record };
    let revision = match write_record(node, id, &record, revision).await? {
        RecordWrite::Done(revision) => revision,
        RecordWrite::Changed(found, revision) if found == record => revision,
        RecordWrite::Changed(found, _) => {
            node.batches.note_owner(id, found.owner);
            return Ok(());
        }
    };
    let StoredBatch { chunks, submission, texts } = read_stored_batch(node, id).await?;
    let age_ms = UnixMs::from_wall_clock().since_ms(UnixMs(record.accepted_at_unix_ms));
    let now = clock::now();
    let accepted_at = UnixMs(now.0.saturating_sub(age_ms));
    node.note(
        "batch_taken_over",
        json!({ "request": id, "from": former_owner.node, "from_incarnation": former_owner.incarnation.0,
                "age_ms": age_ms, "record_revision": revision }),
    );
    let texts = if handed_over_outputs.is_empty() { texts } else { handed_over_outputs };
    let InterimProgress { results, texts: meanwhile } = node.batches.standby.stop_interim(id);
    let texts = longer_outputs(texts, meanwhile);
    let source = BatchSource { record, record_revision: revision, results, submission, texts };
    start_owning(node, id, source, accepted_at, SKEW_MAX_MS, &chunks);
    Ok(())
}

/// Gives all batches with work left to live peers, with the texts that were begun; for a planned
/// stop.
pub(crate) async fn hand_over_all<P: Platform>(node: Rc<Node<P>>) {
    for id in node.batches.standby.interim_ids() {
        node.batches.standby.discard(&id);
    }
    for local in node.batches.open() {
        hand_over(&node, &local).await;
    }
}

pub(super) async fn hand_over<P: Platform>(node: &Rc<Node<P>>, local: &Rc<RefCell<LocalBatch>>) {
    let texts = {
        let mut local = local.borrow_mut();
        let texts = local.partial_outputs(0);
        local.stop_runs();
        texts
    };
    while local.borrow_mut().batch.chunk_of_all_results(part_max_bytes(node)).is_some() {
        if !write_chunk(node, local).await {
            return;
        }
    }
    let (id, model, record, revision) = {
        let local = local.borrow();
        if !local.owned {
            return;
        }
        let model = local.batch.submission().model.clone();
        (local.id.clone(), model, local.record.clone(), local.record_revision)
    };
    let duty = model_duty(model.as_deref().unwrap_or(&record.origin.path));
    let Some(successor) = peers::successor_for(node, &duty) else { return };
    let record = Record { owner: successor.clone(), ..record };
    match write_record(node, &id, &record, revision).await {
        Ok(RecordWrite::Done(revision) | RecordWrite::Changed(_, revision)) => {
            apply_record(node, local, record, revision);
            node.note("batch_handed_over", json!({ "request": id, "to": successor.node }));
            let call = PeerCall::Adopt { batch: id, texts };
            // A lost call is made good by the successor's own search.
            drop(node.ask_peer(successor.address, &call, OWNER_CALL_SLACK).await);
        }
        Err(refusal) => {
            node.note("batch_not_handed_over", json!({ "request": id, "why": refusal.message }));
        }
    }
}

/// Takes a batch that its owner gives to this node.
pub(crate) fn accept_handover<P: Platform>(
    node: &Rc<Node<P>>,
    batch: String,
    texts: Vec<(String, Progress)>,
) {
    if node.batches.get(&batch).is_some()
        || !node.batches.takeovers.borrow_mut().insert(batch.clone())
    {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        if let Err(refusal) = take_over(&node, &batch, texts).await {
            node.note("batch_untaken", json!({ "request": batch, "why": refusal.message }));
        }
        node.batches.takeovers.borrow_mut().swap_remove(&batch);
    });
}
