//! A batch submission: its items, and its results in their fixed positions.
//!
//! Results are made durable in numbered chunks that are only ever created, never changed: the
//! position of a result is its place in the chunks read in order. Two nodes may own a batch for a
//! moment (a paused owner and its successor); both then try to create the same chunk, one wins,
//! and the other takes the winner's results as they are. So no position ever changes and no item
//! stands twice, without a lease that could lapse.
//!
//! A trainer can use a group only when all of it is there, so results are listed a group at a time.
//! It answers a steady load of long and short items: a reader that is given a part of a group
//! comes back half a second later and misses the rest meanwhile, and each chunk is a call of the
//! store. Listed one by one, a day of 25 steps took 842 writes.
//!
//! For the same reason the last groups that the trainer waits for are listed together: those that
//! are whole wait for the others, up to the time by which all results are due. It answers last groups
//! that become whole within half a second of each other. Since results are gathered before a write,
//! no gain of it shows by itself: a mean worth of 0.778 without it on forty days, 0.764 to 0.780 with.

mod groups;
mod rerun;

use groups::Groups;
pub use groups::group_of;

use crate::submission::{Item, ItemResult, ItemState, Progress, Submission};
use catkinmast_model::UnixMs;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// A result whose group is not whole is listed so long after the last listing before the due time,
/// or after it has come if that is later. With its owner nothing but its score would be lost, since
/// texts of finished items are saved with those of runs in progress; two seconds are four reads.
const UNLISTED_MAX_MS: u64 = 2_000;

/// A deadline that is always over.
const AT_ONCE: UnixMs = UnixMs(0);

/// The last groups of a step are listed this long before all results are due, whole step or not:
/// a reader that has just been answered is away for half a second, and is back when the rest comes
/// in time.
const LIST_BEFORE_DUE_MS: u64 = 700;

/// Groups that are whole later wait for the others of the step until this long after all results
/// were due: a reader is back soon enough then not to find them overdue by more than 700 ms.
const LIST_AFTER_DUE_MS: u64 = 400;

/// A whole group waits for the others of the step for at most this long: two visits of a reader.
const WHOLE_MAX_MS: u64 = 1_000;

/// The terms on which a batch runs.
#[derive(Clone, Copy, Debug)]
pub struct BatchPolicy {
    /// Answers of failure after which an item is given up.
    pub attempts: u32,
    /// When all results are due.
    pub due_at: UnixMs,
    /// When items that have no result are given up.
    pub give_up_at: UnixMs,
    /// From when on items that are not done count as long.
    pub rerun_from: UnixMs,
    /// Whether one weight version must have produced a whole text.
    pub single_version: bool,
}

/// The order in which items are started: the longest first.
///
/// A step ends with its longest item, so it answers steps of which a few items take as long as
/// the trainer has time. Groups that an earlier batch left, or that the trainer may leave now, have
/// no turn of their own: put first and last, they gave a mean worth of 0.719 on twenty days of
/// 26 groups a step, and 0.734 without (spread of one day 0.06).
fn running_order(submission: &Submission) -> Vec<usize> {
    let mut order: Vec<usize> = (0..submission.items.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(submission.items[*index].expected_tokens()));
    order
}

/// Results that are made durable together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// Its number, from 0.
    pub number: u32,
    /// The results, in the order of their positions.
    pub results: Vec<ItemResult>,
}

/// What taking a durable chunk led to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merge {
    /// It is the one that this node wrote.
    Ours,
    /// It is of another owner.
    Foreign,
    /// It was known.
    Known,
}

/// An item to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NextItem {
    /// Its index in the submission.
    pub index: usize,
    /// What is held of its text.
    pub progress: Progress,
}

/// What decides when results are listed.
struct Listing<'a> {
    /// Whether the last groups that the trainer waits for are about to be whole.
    is_tail: bool,
    /// The groups of which an item waits or runs.
    open: IndexSet<&'a str>,
}

/// A result that is not durable yet.
#[derive(Clone, Debug)]
struct Finished {
    at: UnixMs,
    result: ItemResult,
}

#[derive(Clone, Debug)]
enum Place {
    Finished,
    Listed,
    Running,
    Waiting { from: UnixMs, progress: Progress },
}

/// A batch submission that this node owns or reads.
#[derive(Clone, Debug)]
pub struct Batch {
    chunks: u32,
    ended: bool,
    failures: Vec<u32>,
    finished: Vec<Finished>,
    flushing: Option<Chunk>,
    groups: Groups,
    index: IndexMap<String, usize>,
    listed: Vec<ItemResult>,
    order: Vec<usize>,
    places: Vec<Place>,
    submission: Submission,
    terms: BatchPolicy,
}

impl Batch {
    /// Opens a batch of which nothing has run; `carried` tells of groups that an earlier batch
    /// left incomplete.
    pub fn open(
        submission: Submission,
        terms: BatchPolicy,
        carried: impl Fn(&str) -> bool,
    ) -> Self {
        let waiting = Place::Waiting { from: UnixMs(0), progress: Progress::default() };
        let index =
            submission.items.iter().enumerate().map(|(at, item)| (item.id.clone(), at)).collect();
        Self {
            chunks: 0,
            ended: false,
            failures: vec![0; submission.items.len()],
            finished: Vec::new(),
            flushing: None,
            groups: Groups::open(&submission, carried),
            index,
            listed: Vec::new(),
            order: running_order(&submission),
            places: vec![waiting; submission.items.len()],
            submission,
            terms,
        }
    }

    /// Borrows what was submitted.
    pub const fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Returns the terms.
    pub const fn policy(&self) -> &BatchPolicy {
        &self.terms
    }

    /// Tells whether the caller has ended it.
    pub const fn is_ended(&self) -> bool {
        self.ended
    }

    /// Tells whether nothing is left to run or to write.
    pub fn is_settled(&self) -> bool {
        let open = self.places.iter().any(|place| !matches!(place, Place::Listed));
        !open || (self.ended && self.finished.is_empty() && self.flushing.is_none())
    }

    /// Ends it: nothing of it starts any more, and what nobody has seen is not listed any more.
    /// Texts that are whole wait with the others, for a later batch of the same items.
    pub fn end(&mut self) {
        self.ended = true;
        for Finished { result, .. } in std::mem::take(&mut self.finished) {
            if let Some(at) = self.index.get(&result.id).copied() {
                let progress = Progress::of_finished(&result);
                self.places[at] = Place::Waiting { from: UnixMs(0), progress };
            }
        }
    }

    /// Takes the next item to run.
    pub fn next_item(&mut self, now: UnixMs) -> Option<NextItem> {
        if self.ended || now >= self.terms.give_up_at {
            return None;
        }
        let waits = |index: &usize| matches!(&self.places[*index], Place::Waiting { from, .. } if *from <= now);
        let index = self.order.iter().copied().find(waits)?;
        self.take_item(index)
    }

    /// Takes a certain item that waits, e.g. one whose run moves to another target.
    pub fn take_item(&mut self, index: usize) -> Option<NextItem> {
        if !matches!(self.places[index], Place::Waiting { .. }) {
            return None;
        }
        let Place::Waiting { progress, .. } =
            std::mem::replace(&mut self.places[index], Place::Running)
        else {
            return None;
        };
        Some(NextItem { index, progress })
    }

    /// Puts an item back that could not be run to its end.
    pub fn put_back(&mut self, index: usize, from: UnixMs, progress: Progress) {
        if matches!(self.places[index], Place::Running) {
            let progress = if self.terms.single_version { Progress::default() } else { progress };
            self.places[index] = Place::Waiting { from, progress };
        }
    }

    /// Counts an answer of failure; returns true when that was the last attempt.
    pub fn record_failure(&mut self, index: usize) -> bool {
        self.failures[index] += 1;
        self.failures[index] >= self.terms.attempts
    }

    /// Takes an item's result, to be made durable.
    pub fn record_result(&mut self, now: UnixMs, result: ItemResult) {
        let Some(at) = self.index.get(&result.id).copied() else { return };
        if !self.ended && matches!(self.places[at], Place::Running | Place::Waiting { .. }) {
            self.places[at] = Place::Finished;
            self.finished.push(Finished { at: now, result });
        }
    }

    /// Gives up what has no result when its time is over.
    pub fn expire(&mut self, now: UnixMs) -> usize {
        if self.ended || now < self.terms.give_up_at {
            return 0;
        }
        let over: Vec<String> = self
            .places
            .iter()
            .zip(&self.submission.items)
            .filter(|(place, _)| matches!(place, Place::Running | Place::Waiting { .. }))
            .map(|(_, item)| item.id.clone())
            .collect();
        let count = over.len();
        for id in over {
            self.record_result(now, ItemResult::errored(id));
        }
        count
    }

    /// Returns the groups that the trainer has not taken: those of which an item has no durable
    /// result, and those that were whole only after all that it waited for.
    pub fn unconsumed_groups(&self) -> IndexSet<&str> {
        self.groups
            .untaken(self.listed.iter().filter_map(|result| self.index.get(&result.id).copied()))
    }

    /// Tells whether the trainer has all groups that it waits for, durable or about to be.
    pub fn is_complete(&self) -> bool {
        self.missing_groups() == Some(0)
    }

    fn missing_groups(&self) -> Option<usize> {
        self.groups.missing(|at| matches!(self.places[at], Place::Finished | Place::Listed))
    }

    /// Returns the groups that the trainer will have taken once all that is finished is durable.
    pub fn consumed_groups(&self) -> IndexSet<&str> {
        let finished = self.finished.iter().map(|held| &held.result);
        let flushing = self.flushing.iter().flat_map(|chunk| &chunk.results);
        let done = self.listed.iter().chain(flushing).chain(finished);
        let untaken =
            self.groups.untaken(done.filter_map(|result| self.index.get(&result.id).copied()));
        self.submission
            .items
            .iter()
            .map(group_of)
            .filter(|group| !untaken.contains(group))
            .collect()
    }

    /// Tells whether an item waits to be run.
    pub fn has_waiting(&self) -> bool {
        self.places.iter().any(|place| matches!(place, Place::Waiting { .. }))
    }

    /// Gives out what is held of the texts of items that wait, and the whole texts of groups that
    /// the trainer has not taken; for a later batch of the same items.
    pub fn take_progress(&mut self) -> Vec<(String, Progress)> {
        let untaken = self.unconsumed_groups();
        let left = self.listed.iter().filter(|result| {
            let group = self.item(&result.id).map(group_of);
            result.state == ItemState::Completed
                && group.is_some_and(|group| untaken.contains(group))
        });
        let mut held: Vec<(String, Progress)> =
            left.map(|result| (result.id.clone(), Progress::of_finished(result))).collect();
        for (place, item) in self.places.iter_mut().zip(&self.submission.items) {
            if let Place::Waiting { progress, .. } = place
                && progress.is_started()
            {
                held.push((item.id.clone(), std::mem::take(progress)));
            }
        }
        held
    }

    /// Returns the texts of items that are finished and not durable; their scores can be asked for
    /// again.
    pub fn unlisted_texts(&self) -> Vec<(String, Progress)> {
        let completed =
            self.finished.iter().filter(|held| held.result.state == ItemState::Completed);
        completed
            .map(|held| (held.result.id.clone(), Progress::of_finished(&held.result)))
            .collect()
    }

    /// Gives out the results of items that are completed and not durable, for another batch that is
    /// opened from the same submission.
    pub fn take_completed(&mut self) -> Vec<ItemResult> {
        let finished = std::mem::take(&mut self.finished).into_iter().map(|held| held.result);
        finished.filter(|result| result.state == ItemState::Completed).collect()
    }

    /// Lets an item that waits go on from a text that an earlier batch left, where its versions
    /// fit; returns whether they do.
    pub fn resume_from(&mut self, id: &str, progress: Progress) -> bool {
        let oldest = progress.versions.first().copied().unwrap_or(0);
        let fits = oldest >= self.submission.oldest_version && !self.terms.single_version;
        let Some(at) = self.index.get(id).copied() else { return false };
        if let Place::Waiting { progress: held, .. } = &mut self.places[at]
            && fits
        {
            *held = progress;
            return true;
        }
        false
    }

    /// Returns when the next results are listed, should nothing else finish.
    pub fn next_listing_at(&self) -> Option<UnixMs> {
        let plan = self.listing();
        self.finished.iter().map(|held| self.list_one_at(&plan, held)).min()
    }

    /// Returns the chunk to write next, of at most about `max_bytes`: the results of groups that
    /// are whole, and all results once one of them has waited for its group long enough. It is
    /// the same one until it is [merged](Self::merge), so that a lost reply cannot list anything
    /// twice.
    pub fn chunk_to_write(&mut self, now: UnixMs, max_bytes: usize) -> Option<&Chunk> {
        if self.flushing.is_none() && !self.finished.is_empty() {
            let plan = self.listing();
            let is_due = |held: &Finished| self.list_one_at(&plan, held) <= now;
            let overdue =
                self.finished.iter().any(|held| !self.is_group_done(&plan, held) && is_due(held));
            let due: Vec<bool> = self.finished.iter().map(|held| overdue || is_due(held)).collect();
            self.begin_chunk(&due, max_bytes);
        }
        self.flushing.as_ref()
    }

    fn listing(&self) -> Listing<'_> {
        let is_tail = self.missing_groups().is_some_and(|missing| self.groups.is_tail(missing));
        Listing { is_tail, open: self.unfinished_groups() }
    }

    fn is_group_done(&self, plan: &Listing<'_>, held: &Finished) -> bool {
        let group = self.item(&held.result.id).map(group_of);
        group.is_none_or(|group| !plan.open.contains(group))
    }

    /// When a result is listed, should nothing else finish.
    fn list_one_at(&self, plan: &Listing<'_>, held: &Finished) -> UnixMs {
        let due_at = self.terms.due_at;
        let before = UnixMs(due_at.0.saturating_sub(LIST_BEFORE_DUE_MS));
        let after = due_at.plus(LIST_AFTER_DUE_MS);
        match (plan.is_tail, self.is_group_done(plan, held)) {
            (false, true) => AT_ONCE,
            (true, true) if held.at < before => before,
            (true, true) if held.at < after => held.at.plus(WHOLE_MAX_MS).min(after),
            (true, true) => held.at.plus(WHOLE_MAX_MS),
            (_, false) => held.at.max(before).plus(UNLISTED_MAX_MS),
        }
    }

    /// The same for all results, e.g. because this owner leaves.
    pub fn chunk_of_all_results(&mut self, max_bytes: usize) -> Option<&Chunk> {
        if self.flushing.is_none() {
            self.begin_chunk(&vec![true; self.finished.len()], max_bytes);
        }
        self.flushing.as_ref()
    }

    /// The groups of which an item waits or runs.
    fn unfinished_groups(&self) -> IndexSet<&str> {
        let open = |place: &Place| matches!(place, Place::Running | Place::Waiting { .. });
        let items = self.places.iter().zip(&self.submission.items);
        items.filter(|(place, _)| open(place)).map(|(_, item)| group_of(item)).collect()
    }

    fn begin_chunk(&mut self, due: &[bool], max_bytes: usize) {
        let mut spent_bytes = 0;
        let mut results = Vec::new();
        let mut left = Vec::new();
        for (held, due) in std::mem::take(&mut self.finished).into_iter().zip(due) {
            let size_bytes = held.result.size_bytes();
            let fits = results.is_empty() || spent_bytes + size_bytes <= max_bytes;
            if *due && fits {
                spent_bytes += size_bytes;
                results.push(held.result);
            } else {
                left.push(held);
            }
        }
        self.finished = left;
        if !results.is_empty() {
            self.flushing = Some(Chunk { number: self.chunks, results });
        }
    }

    /// Takes a chunk that is durable; chunks must come in order.
    pub fn merge(&mut self, chunk: &Chunk) -> Merge {
        if chunk.number < self.chunks {
            return Merge::Known;
        }
        self.chunks += 1;
        let ours = self.flushing.take();
        let is_ours = ours.as_ref() == Some(chunk);
        for result in &chunk.results {
            self.list(result);
        }
        if is_ours {
            return Merge::Ours;
        }
        let lost = ours.into_iter().flat_map(|chunk| chunk.results);
        let lost = lost.map(|result| Finished { at: UnixMs(0), result });
        let waiting: Vec<Finished> = lost.chain(std::mem::take(&mut self.finished)).collect();
        self.finished =
            waiting.into_iter().filter(|held| !self.is_listed(&held.result.id)).collect();
        Merge::Foreign
    }

    fn list(&mut self, result: &ItemResult) {
        let Some(at) = self.index.get(&result.id).copied() else { return };
        if !matches!(self.places[at], Place::Listed) {
            self.places[at] = Place::Listed;
            self.listed.push(result.clone());
        }
    }

    fn is_listed(&self, id: &str) -> bool {
        let at = self.index.get(id).copied();
        at.is_some_and(|at| matches!(self.places[at], Place::Listed))
    }

    /// Number of the chunk that comes next.
    pub const fn next_chunk(&self) -> u32 {
        self.chunks
    }

    /// Returns the durable results from position `after` on, at most about `max_bytes` but at
    /// least one if there is one.
    pub fn page(&self, after: usize, max_bytes: usize) -> &[ItemResult] {
        let from = self.listed.get(after..).unwrap_or_default();
        let mut spent_bytes = 0;
        let count = from
            .iter()
            .take_while(|result| {
                let first = spent_bytes == 0;
                spent_bytes += result.size_bytes();
                first || spent_bytes <= max_bytes
            })
            .count();
        &from[..count]
    }

    /// Returns how many results are durable.
    pub const fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Returns an item by its id.
    pub fn item(&self, id: &str) -> Option<&Item> {
        self.index.get(id).map(|at| &self.submission.items[*at])
    }

    /// Counts the items that wait, run, and are finished but not durable.
    pub fn counts(&self) -> (usize, usize, usize) {
        let of = |wanted: fn(&Place) -> bool| self.places.iter().filter(|p| wanted(p)).count();
        (
            of(|place| matches!(place, Place::Waiting { .. })),
            of(|place| matches!(place, Place::Running)),
            of(|place| matches!(place, Place::Finished)),
        )
    }
}
