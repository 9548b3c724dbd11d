//! Batches: acceptance, storage, results and end.
//!
//! One node, the owner, runs the items of a batch and writes its results to the store; every node
//! serves reads. State that must survive all processes is written to the store before it is
//! acknowledged: the submission before it is accepted, results before a reader sees them, the end
//! before it is confirmed. A result that is stored has a fixed position among the batch's results;
//! such results are called listed. A batch is settled once nothing of it is left to run or to
//! write. The batch's record names its owner, and every write of the owner expects the record's
//! revision, so a former owner learns of its replacement from a conflict.

mod accept;
mod end;
mod keys;
mod local;
mod ownership;
mod read;
mod standby;
mod takeover;
mod unconfirmed;
mod write;

pub(crate) use accept::{Acceptance, accept, model_duty, submit};
pub(crate) use end::{end, end_owned};
pub(crate) use keys::{Origin, Scope};
pub(crate) use ownership::{on_batch_ended, on_owner_reported, verify_ownership_of_all};
pub(crate) use read::{Lookup, item_body, item_body_owned, read, read_owned};
pub(crate) use standby::{BatchCopy, accept_copied_outputs, accept_copy};
pub(crate) use takeover::{
    accept_handover, hand_over_all, on_batch_orphaned, stop_obsolete_interim, take_over_orphans,
};

use crate::clock;
use crate::peers::Owner;
use crate::runs::SecondRuns;
use catkinmast_dispatch::{Batch, Lookahead, Progress, Submission, UnlistedWork};
use catkinmast_model::UnixMs;
use indexmap::{IndexMap, IndexSet};
use keys::Record;
use local::{LocalBatches, SharedBatch};
use standby::Standby;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use unconfirmed::UnconfirmedSubmissions;

/// How long generated output of ended batches is kept: a trainer that submits a group again does so
/// within a few steps.
const REUSABLE_OUTPUT_TTL_MS: u64 = 30_000;

/// How long a batch is assumed to be open after its owner was reported: longer than two steps of a
/// trainer. Older batches are left to the nodes that search the store.
const ASSUMED_OPEN_MS: u64 = 30_000;

/// A batch whose items this node runs, as its owner or in the interim until it has one.
#[derive(Debug)]
pub(crate) struct LocalBatch {
    /// When it was accepted, by this node's clock.
    pub accepted_at: UnixMs,
    /// The items and results.
    pub batch: Batch,
    /// Wakes readers that wait for results.
    pub changed: Rc<Notify>,
    /// Wakes the task that writes results: an item has a result, or the batch is ended.
    pub results_pending: Rc<Notify>,
    /// Wake the tasks that save and copy what is not listed, when an item has failed.
    failure_noted: FailureNoted,
    /// The target on which an item of each group ran last.
    pub group_targets: IndexMap<String, String>,
    record: Record,
    record_revision: u64,
    pub id: String,
    /// Whether ownership has to be verified with the store before reads are answered. An owner that
    /// was paused and replaced would otherwise show fewer results than its successor has listed.
    unverified: bool,
    /// Whether this node owns it.
    pub owned: bool,
    /// The runs in progress, by the item's index.
    pub runs: IndexMap<usize, Run>,
    /// When its writer found it settled.
    settled_at: Option<UnixMs>,
    /// Whether it had another owner before, which may still be alive.
    taken_over: bool,
}

impl LocalBatch {
    /// Returns the request that submitted it and its workspace.
    pub(crate) const fn origin(&self) -> &Origin {
        &self.record.origin
    }

    /// Returns whether this node owns it and it has items left to run.
    fn is_open(&self) -> bool {
        self.owned && !self.batch.is_ended() && !self.batch.is_settled()
    }

    /// Notes that an item has failed: a later owner must know of it soon.
    pub(crate) fn note_failure(&self) {
        self.failure_noted.to_copy.notify_one();
        self.failure_noted.to_save.notify_one();
    }

    /// Returns what a later owner needs beside the listed results: the failures of items, and the
    /// output of runs of at least this age and of finished items.
    fn unlisted_work(&self, min_age_ms: u64) -> UnlistedWork {
        let failures = self.batch.unlisted_failures();
        UnlistedWork { outputs: self.partial_outputs(min_age_ms), failures }
    }

    /// Returns the output so far of runs of at least this age, by item, and the output of items
    /// that are finished but not listed.
    fn partial_outputs(&self, min_age_ms: u64) -> Vec<(String, Progress)> {
        let now = clock::now();
        let items = &self.batch.submission().items;
        let is_old = |run: &Run| now.since_ms(run.started_at) >= min_age_ms;
        let is_started = |run: &Run| run.progress.borrow().is_started();
        let running = self
            .runs
            .iter()
            .filter(|(_, run)| is_old(run) && is_started(run))
            .map(|(index, run)| (items[*index].id.clone(), run.progress.borrow().clone()));
        running.chain(self.batch.unlisted_texts()).collect()
    }

    /// Stops all runs; their output so far is kept.
    fn stop_runs(&mut self) {
        let indices: Vec<usize> = self.runs.keys().copied().collect();
        for index in indices {
            self.stop_run(index);
        }
    }

    /// Stops one run; its item waits again, with its output so far, and may run at once.
    pub(crate) fn stop_run(&mut self, index: usize) {
        let Some(run) = self.runs.swap_remove(&index) else { return };
        run.task.abort();
        let progress = run.progress.borrow().clone();
        self.batch.put_back(index, UnixMs(0), progress);
    }
}

/// Wakes the tasks that pass the failures of items on.
#[derive(Clone, Debug, Default)]
struct FailureNoted {
    to_copy: Rc<Notify>,
    to_save: Rc<Notify>,
}

/// A run of an item in progress.
#[derive(Debug)]
pub(crate) struct Run {
    /// When it started.
    pub started_at: UnixMs,
    /// The output so far.
    pub progress: Rc<RefCell<Progress>>,
    /// Whether its output is complete and it is being scored.
    pub scoring: bool,
    /// The id of the target.
    pub target: String,
    pub task: AbortHandle,
}

/// Generated output of ended batches, which a later batch with the same items goes on from.
#[derive(Debug, Default)]
struct ReusableOutputs {
    /// Groups whose results the trainer did not use, and when their batch ended.
    unconsumed_groups: IndexMap<String, UnixMs>,
    by_item: IndexMap<String, ReusableOutput>,
}

/// Output of one item of an ended batch.
#[derive(Debug)]
struct ReusableOutput {
    progress: Progress,
    ended_at: UnixMs,
    workspace: Option<String>,
}

impl ReusableOutputs {
    /// Removes and returns an item's output, if a batch of the same workspace left it.
    fn take(&mut self, item: &str, workspace: Option<&str>) -> Option<Progress> {
        let left = self.by_item.get(item)?;
        if left.workspace.as_deref() != workspace {
            return None;
        }
        self.by_item.swap_remove(item).map(|left| left.progress)
    }
}

/// The owner of a batch, as reported to this node.
#[derive(Clone, Debug)]
struct ReportedOwner {
    owner: Owner,
    /// When it was reported first; none once the batch is known to be ended.
    reported_at: Option<UnixMs>,
}

/// All batches that this node knows of.
#[derive(Debug, Default)]
pub(crate) struct Batches {
    reusable_outputs: RefCell<ReusableOutputs>,
    pub lookahead: RefCell<Lookahead>,
    local: LocalBatches,
    owners: RefCell<IndexMap<String, ReportedOwner>>,
    unconfirmed: RefCell<UnconfirmedSubmissions>,
    /// Speculative runs of items for a later batch, see [`SecondRuns`].
    pub second_runs: SecondRuns,
    pub standby: Standby,
    /// The batches of which a task repeats the write of the end.
    repeated_ends: RefCell<IndexSet<String>>,
    /// The batches whose takeover is in progress.
    takeovers: RefCell<IndexSet<String>>,
    /// Wakes the search for orphaned batches.
    pub orphaned: Notify,
    /// When this node started to search for orphaned batches, see `UNKNOWN_OWNER_GRACE_MS`.
    started_at: Cell<UnixMs>,
    /// Whether the last search could not read the store. It is repeated as soon as the store is
    /// available again; otherwise batches of a node that died meanwhile would wait for the next
    /// sweep.
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

    /// Records that a batch is ended, so that this node does not take it over; without effect if no
    /// owner of it was reported to this node.
    fn note_ended(&self, batch: &str) {
        if let Some(reported) = self.owners.borrow_mut().get_mut(batch) {
            reported.reported_at = None;
        }
    }

    /// Returns whether a batch is known to be ended.
    fn is_ended(&self, batch: &str) -> bool {
        self.owners.borrow().get(batch).is_some_and(|reported| reported.reported_at.is_none())
    }

    /// Returns the owner of a batch, if one was reported to this node.
    fn owner_of(&self, batch: &str) -> Option<Owner> {
        self.owners.borrow().get(batch).map(|reported| reported.owner.clone())
    }

    /// Returns the batches that may be open, with their owners.
    fn recently_reported_owners(&self, now: UnixMs) -> Vec<(String, Owner)> {
        let is_recent = |reported: &ReportedOwner| {
            reported
                .reported_at
                .is_some_and(|reported_at| now.since_ms(reported_at) < ASSUMED_OPEN_MS)
        };
        let owners = self.owners.borrow();
        let reported = owners.iter().filter(|(_, reported)| is_recent(reported));
        reported.map(|(id, reported)| (id.clone(), reported.owner.clone())).collect()
    }

    /// Returns the addresses of the owners of all known batches.
    pub(crate) fn owner_addresses(&self) -> IndexSet<SocketAddr> {
        self.owners.borrow().values().map(|reported| reported.owner.address).collect()
    }

    /// Repeats a search that failed while the store was unavailable.
    pub(crate) fn store_returned(&self) {
        if self.search_failed.replace(false) {
            self.orphaned.notify_one();
        }
    }

    /// Records, when a batch opens, which steps of its model are open.
    fn note_opening(&self, submission: &Submission) {
        let (Some(model), Some(step)) = (&submission.model, submission.step) else { return };
        let open = self.open();
        let steps = open.iter().filter_map(|local| {
            let local = local.borrow();
            let other = local.batch.submission();
            other.step.filter(|_| other.model.as_ref() == Some(model))
        });
        self.lookahead.borrow_mut().batch_opened(model, step, steps);
    }

    /// Stops all runs on a target except those that are being scored; their items continue
    /// elsewhere from their output so far. Second runs there are dropped with their output.
    pub(crate) fn stop_runs_at(&self, target: &str) {
        for local in self.local.all() {
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

    /// Returns a batch that this node owns.
    pub(crate) fn get(&self, batch: &str) -> Option<SharedBatch> {
        self.local.owned(batch)
    }

    /// Returns the batches whose items this node runs: the owned ones that have items left to run,
    /// the most urgent first, and then those without an owner.
    pub(crate) fn to_run(&self) -> Vec<SharedBatch> {
        self.open().into_iter().chain(self.local.all_interim()).collect()
    }

    /// Returns the owned batches that have items left to run, the most urgent first.
    pub(crate) fn open(&self) -> Vec<SharedBatch> {
        let mut open = self.local.all_owned();
        open.retain(|local| {
            let local = local.borrow();
            !local.batch.is_settled() && !local.batch.is_ended()
        });
        open.sort_by_key(|local| local.borrow().batch.policy().due_at);
        open
    }
}
