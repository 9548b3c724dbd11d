//! Batch submissions: accepted once, kept in the store, listed, read at every node, ended.
//!
//! What must outlive every process is written before anyone is told of it: the submission before
//! its acceptance, results before a reader sees them, the end before it is confirmed. The record of
//! a batch names its owner; a change of the record is how an owner learns that it is no longer one.

mod accept;
mod end;
mod keys;
mod ownership;
mod read;
mod standby;
mod takeover;
mod write;

pub(crate) use accept::{Acceptance, accept, submit};
pub(crate) use end::{end, end_owned};
pub(crate) use keys::{Origin, Scope};
pub(crate) use ownership::{on_batch_ended, on_owner_reported, verify_ownership_of_all};
pub(crate) use read::{Lookup, item_body, item_body_owned, read, read_owned};
pub(crate) use standby::{BatchCopy, accept_copied_outputs, accept_copy};
pub(crate) use takeover::{accept_handover, hand_over_all, on_batch_orphaned, take_over_orphans};

use crate::clock;
use crate::peers::Owner;
use crate::runs::SecondRuns;
use catkinmast_dispatch::{Batch, Lookahead, Progress, Submission};
use catkinmast_model::UnixMs;
use indexmap::{IndexMap, IndexSet};
use keys::Record;
use standby::Standby;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// How long texts of ended batches are kept: a trainer that asks for a group again does so within
/// a few steps.
const REUSABLE_OUTPUT_TTL_MS: u64 = 30_000;

/// How long after it was told of an owner a node takes the batch for one that may be open: more than
/// two steps of a trainer. Older ones are left to the nodes that search the store.
const ASSUMED_OPEN_MS: u64 = 30_000;

/// A batch that this node owns.
#[derive(Debug)]
pub(crate) struct LocalBatch {
    /// When it was accepted, by our clock.
    pub accepted_at: UnixMs,
    /// The items and results.
    pub batch: Batch,
    /// Wakes readers.
    pub changed: Rc<Notify>,
    /// Wakes the writer.
    pub finished: Rc<Notify>,
    /// The last target of each group.
    pub group_targets: IndexMap<String, String>,
    record: Record,
    record_revision: u64,
    /// Its id.
    pub id: String,
    /// Whether another may have taken it meanwhile; until the store was asked, nothing is said of
    /// it. A paused owner would otherwise show fewer results than its successor has listed.
    unverified: bool,
    /// Whether this node still owns it.
    pub owned: bool,
    /// The runs in progress, by the item's index.
    pub runs: IndexMap<usize, Run>,
    settled_at: Option<UnixMs>,
    /// Whether it had an owner before, who may live.
    taken_over: bool,
}

impl LocalBatch {
    /// Returns by which request it was submitted, and for whom.
    pub(crate) const fn origin(&self) -> &Origin {
        &self.record.origin
    }

    /// Tells whether this node owns it and has something of it to run.
    fn is_running(&self) -> bool {
        self.owned && !self.batch.is_ended() && !self.batch.is_settled()
    }

    /// Returns what runs of at least this age hold of their texts, by item, and the texts of items
    /// that are finished but not durable.
    fn partial_outputs(&self, min_age_ms: u64) -> Vec<(String, Progress)> {
        let now = clock::now();
        let items = &self.batch.submission().items;
        let old = |run: &Run| now.since_ms(run.started_at) >= min_age_ms;
        let begun = |run: &Run| run.progress.borrow().is_started();
        let running = self
            .runs
            .iter()
            .filter(|(_, run)| old(run) && begun(run))
            .map(|(index, run)| (items[*index].id.clone(), run.progress.borrow().clone()));
        running.chain(self.batch.unlisted_texts()).collect()
    }

    /// Stops all runs; what they hold of their texts stays.
    fn stop_runs(&mut self) {
        let indices: Vec<usize> = self.runs.keys().copied().collect();
        for index in indices {
            self.stop_run(index);
        }
    }

    /// Stops one run; its item waits again, with what is held of its text.
    pub(crate) fn stop_run(&mut self, index: usize) {
        let Some(run) = self.runs.swap_remove(&index) else { return };
        run.task.abort();
        let progress = run.progress.borrow().clone();
        self.batch.put_back(index, UnixMs(0), progress);
    }
}

/// A run of an item in progress.
#[derive(Debug)]
pub(crate) struct Run {
    /// When it began.
    pub started_at: UnixMs,
    /// What is held of the text.
    pub progress: Rc<RefCell<Progress>>,
    /// Whether its text is whole and it is being scored.
    pub scoring: bool,
    /// The target.
    pub target: String,
    /// Its task.
    pub task: AbortHandle,
}

/// What ended batches left of their items' texts.
#[derive(Debug, Default)]
struct ReusableOutputs {
    groups: IndexMap<String, UnixMs>,
    by_item: IndexMap<String, ReusableOutput>,
}

/// What an ended batch left of an item's text.
#[derive(Debug)]
struct ReusableOutput {
    progress: Progress,
    since: UnixMs,
    workspace: Option<String>,
}

impl ReusableOutputs {
    /// Takes what is left of an item's text by a batch of the same workspace.
    fn take(&mut self, item: &str, workspace: Option<&str>) -> Option<Progress> {
        let left = self.by_item.get(item)?;
        if left.workspace.as_deref() != workspace {
            return None;
        }
        self.by_item.swap_remove(item).map(|left| left.progress)
    }
}

/// The owner of a batch, as this node was told.
#[derive(Clone, Debug)]
struct ReportedOwner {
    owner: Owner,
    /// When it was told first; none once the batch is known to be ended.
    reported_at: Option<UnixMs>,
}

/// All batches that this node knows of.
#[derive(Debug, Default)]
pub(crate) struct Batches {
    reusable_outputs: RefCell<ReusableOutputs>,
    pub lookahead: RefCell<Lookahead>,
    owned: RefCell<IndexMap<String, Rc<RefCell<LocalBatch>>>>,
    owners: RefCell<IndexMap<String, ReportedOwner>>,
    /// Runs of items for batches to come.
    pub second_runs: SecondRuns,
    pub standby: Standby,
    takeovers: RefCell<IndexSet<String>>,
    /// Wakes the search for batches without an owner.
    pub orphaned: Notify,
    started_at: Cell<UnixMs>,
    /// Whether the last search could not read the store; it is made up for as soon as the store is
    /// back, or the batches of a node that died meanwhile stand still for the rest of a sweep.
    search_failed: Cell<bool>,
}

impl Batches {
    pub(crate) fn note_owner(&self, batch: &str, owner: Owner) {
        let mut owners = self.owners.borrow_mut();
        if owners.get(batch).is_some_and(|reported| reported.owner == owner) {
            return;
        }
        let reported_at = Some(clock::now());
        owners.insert(batch.to_owned(), ReportedOwner { owner, reported_at });
    }

    /// Takes that a batch is ended: nobody needs to run it any more.
    fn note_ended(&self, batch: &str) {
        if let Some(reported) = self.owners.borrow_mut().get_mut(batch) {
            reported.reported_at = None;
        }
    }

    /// Tells whether a batch is known to be ended.
    fn is_ended(&self, batch: &str) -> bool {
        self.owners.borrow().get(batch).is_some_and(|reported| reported.reported_at.is_none())
    }

    /// Returns the owner of a batch, as far as this node was told.
    fn owner_of(&self, batch: &str) -> Option<Owner> {
        self.owners.borrow().get(batch).map(|reported| reported.owner.clone())
    }

    /// Returns the batches that may be open, with their owners.
    fn recently_reported_owners(&self, now: UnixMs) -> Vec<(String, Owner)> {
        let lately = |reported: &ReportedOwner| {
            reported
                .reported_at
                .is_some_and(|reported_at| now.since_ms(reported_at) < ASSUMED_OPEN_MS)
        };
        let owners = self.owners.borrow();
        let reported = owners.iter().filter(|(_, reported)| lately(reported));
        reported.map(|(id, reported)| (id.clone(), reported.owner.clone())).collect()
    }

    /// Returns where the owners of the batches known are reached.
    pub(crate) fn owner_addresses(&self) -> IndexSet<SocketAddr> {
        self.owners.borrow().values().map(|reported| reported.owner.address).collect()
    }

    /// Takes the store's return: a search that failed meanwhile is made again.
    pub(crate) fn store_returned(&self) {
        if self.search_failed.replace(false) {
            self.orphaned.notify_one();
        }
    }

    /// Takes the opening of a batch: how many steps its trainer has open.
    fn note_opening(&self, submission: &Submission) {
        let (Some(model), Some(step)) = (&submission.model, submission.step) else { return };
        let open = self.open();
        let steps = open.iter().filter_map(|local| {
            let local = local.borrow();
            let open = local.batch.submission();
            open.step.filter(|_| open.model.as_ref() == Some(model))
        });
        self.lookahead.borrow_mut().batch_opened(model, step, steps);
    }

    /// Stops all runs at a target; their items go on elsewhere, with what is held of their texts.
    pub(crate) fn stop_runs_at(&self, target: &str) {
        let owned: Vec<Rc<RefCell<LocalBatch>>> = self.owned.borrow().values().cloned().collect();
        for local in owned.into_iter().chain(self.standby.interim()) {
            let mut local = local.borrow_mut();
            let at_target =
                local.runs.iter().filter(|(_, run)| run.target == target && !run.scoring);
            let indices: Vec<usize> = at_target.map(|(index, _)| *index).collect();
            for index in indices {
                local.stop_run(index);
            }
        }
        self.second_runs.stop_where(|second| second.target == target);
    }

    pub(crate) fn get(&self, batch: &str) -> Option<Rc<RefCell<LocalBatch>>> {
        self.owned.borrow().get(batch).cloned()
    }

    /// Returns the owned batches that have something left to run, the most urgent first.
    pub(crate) fn open(&self) -> Vec<Rc<RefCell<LocalBatch>>> {
        let mut open: Vec<Rc<RefCell<LocalBatch>>> = self
            .owned
            .borrow()
            .values()
            .filter(|local| !local.borrow().batch.is_settled() && !local.borrow().batch.is_ended())
            .cloned()
            .collect();
        open.sort_by_key(|local| local.borrow().batch.policy().due_at);
        open
    }
}
