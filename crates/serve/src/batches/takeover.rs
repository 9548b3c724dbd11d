//! Takeover of batches whose owner died or is leaving: which node becomes the owner, and when.

use super::LocalBatch;
use super::accept::{BatchSource, model_duty, start_owning};
use super::end::{delete_expired, write_pending_ends};
use super::keys::{
    Origin, RECORD_PREFIX, Record, RecordWrite, StoredBatch, part_max_bytes, read_record,
    read_stored_batch, report_unreadable, write_record,
};
use super::ownership::apply_record;
use super::read::OWNER_CALL_SLACK;
use super::standby::{InterimProgress, start_interim};
use super::write::write_chunk;
use crate::clock;
use crate::node::Node;
use crate::peers::{self, Datagram, Owner, OwnerStatus, PeerCall};
use crate::platform::Platform;
use crate::store::{StoreAnswer, StoreCall, StoreRefusal, StoredItem};
use catkinmast_dispatch::UnlistedWork;
use catkinmast_model::{UnixMs, Verdict};
use serde_json::json;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Number of nodes that search the store for orphaned batches: two, so that the death of one causes
/// no delay. With all nodes searching, their reads were three fifths of all store calls on a day
/// with 165 nodes (4,393 of 7,560), and each death cost as many calls as there are nodes.
const SEARCHER_COUNT: usize = 2;

/// How often all records are searched for orphaned batches.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_secs(4);

/// Deaths within this time cause one search. Batches whose owner was reported do not wait for it,
/// see [`take_over_known`].
const COALESCE_DEATHS: Duration = Duration::from_millis(200);

/// How long a takeover may take before the batch's items run in the interim without an owner: its
/// three calls to the store take some milliseconds each, and 250 ms each when the store is slow.
const INTERIM_AFTER: Duration = Duration::from_millis(200);

/// Pause before a takeover is repeated after the store did not answer.
const TAKEOVER_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The duty of searching the store for orphaned batches.
const SEARCH_DUTY: &str = "orphans";

/// How long after this node's start an owner unknown to it is assumed to be alive.
pub(super) const UNKNOWN_OWNER_GRACE_MS: u64 = 3_000;

/// The largest assumed difference between two machines' wall clocks. An owner that did not accept
/// the batch itself gives up items this much later than the operator's limit, because it knows the
/// time of acceptance from another machine's clock.
pub(super) const SKEW_MAX_MS: u64 = 6_000;

/// Searches for orphaned batches, and takes over those for which this node is responsible; also
/// deletes expired batches.
///
/// Batches of this node's earlier incarnations are taken over at once: those incarnations have
/// certainly ended, whereas the death of another node is known only after some probes. After a
/// restart of all nodes, steps continue 0.7 s sooner because of this.
///
/// Owners are reported to all nodes, so most deaths need no search of the store: the node that is
/// first in rank takes over the batches that it knows of. [`SEARCHER_COUNT`] nodes search the store
/// for the rest, and notify the node that is responsible for each.
pub(crate) async fn take_over_orphans<P: Platform>(node: Rc<Node<P>>) {
    node.batches.started_at.set(clock::now());
    sweep(&node, Search::FormerIncarnation).await;
    sleep(Duration::from_millis(peers::SETTLE_MS)).await;
    let mut after_death = true;
    loop {
        if !node.leaving.get() {
            take_over_known(&node);
            search(&node, after_death).await;
        }
        delete_expired(&node).await;
        after_death = timeout(SWEEP_INTERVAL, node.batches.orphaned.notified()).await.is_ok();
    }
}

/// Searches the store, if this is one of the searching nodes.
async fn search<P: Platform>(node: &Rc<Node<P>>, after_death: bool) {
    let is_searcher = peers::rank_for(node, SEARCH_DUTY).is_some_and(|rank| rank < SEARCHER_COUNT);
    if !is_searcher {
        return;
    }
    if after_death {
        sleep(COALESCE_DEATHS).await;
    }
    node.batches.search_failed.set(false);
    if !sweep(node, Search::Orphans { may_be_old: !after_death }).await {
        node.batches.search_failed.set(true);
    }
}

/// Takes over the batches that this node knows of and is responsible for.
fn take_over_known<P: Platform>(node: &Rc<Node<P>>) {
    stop_obsolete_interim(node);
    for (id, owner) in node.batches.recently_reported_owners(clock::now()) {
        if is_responsible(node, &id, &owner) && node.batches.get(&id).is_none() {
            start_takeover(node, &id);
        }
    }
}

/// Stops interim runs of batches for which this node is no longer responsible: another node owns
/// them or succeeds their owner.
pub(crate) fn stop_obsolete_interim<P: Platform>(node: &Node<P>) {
    for id in node.batches.local.interim_ids() {
        let owner = node.batches.owner_of(&id);
        let is_responsible = owner.is_some_and(|owner| is_responsible(node, &id, &owner));
        if !is_responsible || node.leaving.get() {
            node.batches.discard_standby(&id);
        }
    }
}

/// Returns whether this node is to run a batch with this owner: it is the owner itself, or the first
/// in rank to succeed it.
pub(super) fn is_responsible<P: Platform>(node: &Node<P>, id: &str, owner: &Owner) -> bool {
    peers::me(node).is_some_and(|me| is_own_incarnation(&me, owner))
        || (is_dead(node, owner) && peers::is_first_for(node, id))
}

/// Handles a notice by a searching node that a batch's owner is dead and that this node is
/// responsible for the batch.
pub(crate) fn on_batch_orphaned<P: Platform>(node: &Rc<Node<P>>, batch: &str, owner: Owner) {
    let is_dead = is_dead(node, &owner);
    node.batches.note_owner(batch, owner);
    if is_dead && node.batches.get(batch).is_none() {
        start_takeover(node, batch);
    }
}

/// The batches that a search covers.
#[derive(Clone, Copy, Debug)]
pub(super) enum Search {
    /// Batches of this node's earlier incarnations.
    FormerIncarnation,
    /// The same, and batches of nodes that this node considers dead.
    Orphans {
        /// Whether records that are some seconds old are acceptable.
        may_be_old: bool,
    },
}

/// Examines all records; returns false if they could not be read.
pub(super) async fn sweep<P: Platform>(node: &Rc<Node<P>>, search: Search) -> bool {
    // Every node reads all records when it starts, so stale reads, which cost the store less, are
    // preferred. They can only delay a takeover: a record is read again before it is changed.
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
    // A node that has just started knows no other nodes, and would rank first for every batch.
    let covers_dead_owners = matches!(search, Search::Orphans { .. });
    if !covers_dead_owners || !is_dead(node, &record.owner) {
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

pub(super) fn start_takeover<P: Platform>(node: &Rc<Node<P>>, id: &str) {
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
            node.batches.discard_standby(&id);
        }
        node.batches.takeovers.borrow_mut().swap_remove(&id);
    });
}

/// Takes over a batch; runs its items in the interim if that fails or takes longer than
/// [`INTERIM_AFTER`].
async fn take_over_or_run_interim<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
) -> Result<(), StoreRefusal> {
    let mut takeover = pin!(take_over(node, id, UnlistedWork::default()));
    if let Ok(taken) = timeout(INTERIM_AFTER, &mut takeover).await {
        if taken.is_err() {
            start_interim(node, id);
        }
        return taken;
    }
    start_interim(node, id);
    takeover.await
}

/// Returns whether the owner is this incarnation of the node or an earlier one. This incarnation
/// counts, because a takeover that fails after its record was written is repeated.
pub(super) fn is_own_incarnation(me: &Owner, owner: &Owner) -> bool {
    me.node == owner.node && me.incarnation >= owner.incarnation
}

/// Returns whether an owner is dead. An owner unknown to this node counts as alive until this node
/// has run long enough to know of all nodes: after a restart of all nodes each one's view is
/// partial for a moment, and live owners would lose their batches again and again.
pub(super) fn is_dead<P: Platform>(node: &Node<P>, owner: &Owner) -> bool {
    match peers::owner_status(node, owner) {
        OwnerStatus::Ended => true,
        OwnerStatus::Running => false,
        OwnerStatus::Unknown => {
            clock::now().since_ms(node.batches.started_at.get()) > UNKNOWN_OWNER_GRACE_MS
        }
    }
}

/// Becomes the owner of a batch, unless its record in the store shows that it is ended or has a
/// live owner. `handed_over` is what its owner has handed over.
pub(super) async fn take_over<P: Platform>(
    node: &Rc<Node<P>>,
    id: &str,
    handed_over: UnlistedWork,
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
    // A batch whose route was removed needs no owner: its results are read from the store.
    if !has_route(node, id, &record.origin)? {
        return Ok(());
    }
    let former_owner = record.owner.clone();
    let record = Record { owner: me, ..record };
    let revision = match write_record(node, id, &record, revision).await? {
        RecordWrite::Done(revision) => revision,
        // This node's own write, whose answer was lost.
        RecordWrite::Changed(found, revision) if found == record => revision,
        RecordWrite::Changed(found, _) => {
            node.batches.note_owner(id, found.owner);
            return Ok(());
        }
    };
    // If the next call fails, the takeover is repeated even if the former owner proves to be alive.
    node.batches.note_owner(id, record.owner.clone());
    let StoredBatch { chunks, submission, work } = read_stored_batch(node, id).await?;
    let age_ms = UnixMs::from_wall_clock().since_ms(UnixMs(record.accepted_at_unix_ms));
    let now = clock::now();
    let accepted_at = UnixMs(now.0.saturating_sub(age_ms));
    node.note(
        "batch_taken_over",
        json!({
            "request": id, "from": former_owner.node,
            "from_incarnation": former_owner.incarnation.0, "age_ms": age_ms,
            "record_revision": revision,
        }),
    );
    let copied = node.batches.take_copied_work(id);
    let InterimProgress { results, work: meanwhile } = node.batches.stop_interim(id);
    let work = handed_over.combined_with(work).combined_with(copied).combined_with(meanwhile);
    let source = BatchSource { record, record_revision: revision, results, submission, work };
    start_owning(node, id, source, accepted_at, SKEW_MAX_MS, &chunks);
    Ok(())
}

/// Returns whether the configuration has the route of a batch.
fn has_route<P: Platform>(node: &Node<P>, id: &str, origin: &Origin) -> Result<bool, StoreRefusal> {
    let document = node.document().ok_or_else(|| StoreRefusal {
        message: "no configuration yet".to_owned(),
        verdict: Verdict::NotRun,
    })?;
    let has_route = document.route(&origin.host, &origin.path).is_some();
    if !has_route {
        node.note("batch_without_route", json!({ "request": id, "host": origin.host }));
    }
    Ok(has_route)
}

/// Hands over all batches with items left to run to live peers, with their output so far; for a
/// planned stop.
pub(crate) async fn hand_over_all<P: Platform>(node: Rc<Node<P>>) {
    for id in node.batches.local.interim_ids() {
        node.batches.discard_standby(&id);
    }
    write_pending_ends(&node).await;
    for local in node.batches.open() {
        hand_over(&node, &local).await;
    }
}

pub(super) async fn hand_over<P: Platform>(node: &Rc<Node<P>>, local: &Rc<RefCell<LocalBatch>>) {
    let work = {
        let mut local = local.borrow_mut();
        let work = local.unlisted_work(0);
        local.stop_runs();
        work
    };
    while local.borrow_mut().batch.chunk_of_all_results(part_max_bytes(node)).is_some() {
        if !write_chunk(node, local).await {
            return;
        }
    }
    let (id, duty) = {
        let local = local.borrow();
        if !local.owned {
            return;
        }
        let model = local.batch.submission().model.as_deref();
        (local.id.clone(), model_duty(model.unwrap_or(&local.record.origin.path)))
    };
    let Some(successor) = peers::successor_for(node, &duty) else { return };
    if write_successor(node, local, &successor).await {
        tell_successor(node, &successor, PeerCall::Adopt { batch: id, work }).await;
    }
}

/// Writes the successor into a batch's record. Returns whether the record may name it now.
async fn write_successor<P: Platform>(
    node: &Rc<Node<P>>,
    local: &RefCell<LocalBatch>,
    successor: &Owner,
) -> bool {
    loop {
        let (id, record, revision) = {
            let local = local.borrow();
            let record = Record { owner: successor.clone(), ..local.record.clone() };
            (local.id.clone(), record, local.record_revision)
        };
        let why = match write_record(node, &id, &record, revision).await {
            Ok(RecordWrite::Done(revision)) => {
                apply_record(node, local, record, revision);
                node.note("batch_handed_over", json!({ "request": id, "to": successor.node }));
                return true;
            }
            Ok(RecordWrite::Changed(found, found_revision)) => {
                let is_written = found.owner == *successor;
                apply_record(node, local, found, found_revision);
                let is_still_owned = local.borrow().owned && !local.borrow().record.ended;
                if is_still_owned && found_revision != revision {
                    continue;
                }
                if is_written {
                    node.note("batch_handed_over", json!({ "request": id, "to": successor.node }));
                    return true;
                }
                json!({ "request": id, "why": "its record was changed" })
            }
            Err(StoreRefusal { message, verdict }) if verdict.may_have_run() => {
                let line = json!({ "request": id, "why": message, "verdict": verdict });
                node.note("batch_not_handed_over", line);
                return true;
            }
            Err(StoreRefusal { message, verdict }) => {
                json!({ "request": id, "why": message, "verdict": verdict })
            }
        };
        node.note("batch_not_handed_over", why);
        return false;
    }
}

/// Notifies the successor of a batch, a second time if the first call fails.
async fn tell_successor<P: Platform>(node: &Node<P>, successor: &Owner, call: PeerCall) {
    for _ in 0..2 {
        let Err(error) = node.ask_peer(successor.address, &call, OWNER_CALL_SLACK).await else {
            return;
        };
        node.note(
            "owner_unreachable",
            json!({ "owner": successor.node, "why": error.message,
                    "reached": !peers::cannot_have_run(&error) }),
        );
    }
}

/// Accepts a batch that its owner hands over to this node; repeats the takeover while the store does
/// not answer, because no other node would take over a batch whose record names a live owner.
pub(crate) fn accept_handover<P: Platform>(node: &Rc<Node<P>>, batch: String, work: UnlistedWork) {
    if node.batches.get(&batch).is_some()
        || !node.batches.takeovers.borrow_mut().insert(batch.clone())
    {
        return;
    }
    // The record names this node, or may do so.
    if let Some(me) = peers::me(node) {
        node.batches.note_owner(&batch, me);
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        while let Err(refusal) = take_over(&node, &batch, work.clone()).await {
            node.note("batch_untaken", json!({ "request": batch, "why": refusal.message }));
            let is_unreadable = refusal.verdict == Verdict::Ran;
            if node.leaving.get() || is_unreadable {
                break;
            }
            start_interim(&node, &batch);
            sleep(TAKEOVER_RETRY_PAUSE).await;
        }
        node.batches.discard_standby(&batch);
        node.batches.takeovers.borrow_mut().swap_remove(&batch);
    });
}
