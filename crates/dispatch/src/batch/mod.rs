//! A batch submission: its items, and its results at their fixed positions.
//!
//! Results are made durable in numbered chunks that are created once and never changed. The
//! position of a result is its place in the chunks read in order. Two nodes may own a batch for a
//! short time (a paused owner and its successor). Both then try to create the same chunk; one
//! succeeds, and the other takes over the successful owner's results as they are. Positions
//! therefore never change and no item appears twice, without relying on a lease that could expire.
//!
//! A result is *listed* once it is in a durable chunk, where the trainer can read it. A trainer can
//! use a group only when it is complete, so results are listed a group at a time. A trainer that
//! reads part of a group returns half a second later and misses the rest until then, and each chunk
//! is a write to the store: listing results one by one took 842 writes for a day of 25 steps.
//!
//! For the same reason the last groups that a trainer waits for are listed together: complete ones
//! wait for the others, up to the time at which all results are due. This matters when the last
//! groups complete within half a second of each other. Because results are gathered before a write
//! anyway, the rule alone does not change the mean score of a day measurably: over forty days it
//! was 0.778 without this rule, and 0.764 to 0.780 with it.

mod groups;
mod rerun;

use groups::Groups;
pub use groups::group_of;

use crate::submission::{Item, ItemResult, ItemState, Progress, Submission};
use crate::unlisted::ItemFailures;
use catkinmast_model::UnixMs;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// How long a result of an incomplete group waits before it is listed, counted from
/// [`LIST_BEFORE_DUE_MS`] before the due time or from when the result arrived, whichever is later.
/// If the owner is lost meanwhile, only the item's score is lost, because the texts of finished
/// items are saved with those of runs in progress. Two seconds are four reads of a trainer.
const INCOMPLETE_GROUP_WAIT_MAX_MS: u64 = 2_000;

/// A time in the past: the result is listed at once.
const LIST_IMMEDIATELY: UnixMs = UnixMs(0);

/// The last groups of a step are listed this long before all results are due, even if some are
/// missing. A reader returns half a second after an answer, and so is back in time for the rest.
const LIST_BEFORE_DUE_MS: u64 = 700;

/// Groups that complete later wait for the others until this long after the due time. A reader is
/// then back early enough that they are at most 700 ms overdue.
const LIST_AFTER_DUE_MS: u64 = 400;

/// Longest time that a complete group waits for the others of the step: two reads of a trainer.
const COMPLETE_GROUP_WAIT_MAX_MS: u64 = 1_000;

/// How a batch is run.
#[derive(Clone, Copy, Debug)]
pub struct BatchPolicy {
    /// Number of failed answers after which an item is given up.
    pub attempts: u32,
    /// When all results are due.
    pub due_at: UnixMs,
    /// When items without a result are given up.
    pub give_up_at: UnixMs,
    /// When unfinished items start to count as long, and may be run a second time.
    pub rerun_from: UnixMs,
    /// Whether a single weight version must have produced a whole text.
    pub single_version: bool,
}

/// Returns the order in which items start: longest first.
///
/// A step ends with its longest item, so starting long items late costs most in steps where a few
/// items take as long as the trainer allows. Groups that an earlier step ended without, and groups
/// that this step may end without, get no special place: starting the former first and the latter
/// last gave a mean score of a day of 0.719 over twenty days of 26 groups a step, against 0.734
/// without (with a spread of 0.06 between days).
fn start_order(submission: &Submission) -> Vec<usize> {
    let mut order: Vec<usize> = (0..submission.items.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(submission.items[*index].expected_tokens()));
    order
}

/// Results that become durable together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// Number of the chunk, from 0.
    pub number: u32,
    /// The results, in the order of their positions.
    pub results: Vec<ItemResult>,
}

/// The effect of merging a durable chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merge {
    /// The chunk is the one that this node tried to write.
    Ours,
    /// The chunk differs from the one that this node would have written, if any.
    Foreign,
    /// The chunk was merged before.
    Known,
}

/// An item to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NextItem {
    /// Index of the item in the submission.
    pub index: usize,
    /// The part of its text that was already generated.
    pub progress: Progress,
}

/// State that determines when results are listed.
struct ListingState<'a> {
    /// Whether the last groups that the trainer waits for are about to complete.
    is_tail: bool,
    /// Groups with an item that waits or runs.
    open: IndexSet<&'a str>,
}

/// A result that is not durable yet.
#[derive(Clone, Debug)]
struct UnlistedResult {
    finished_at: UnixMs,
    result: ItemResult,
}

#[derive(Clone, Debug)]
enum Phase {
    Finished,
    Listed,
    Running,
    Waiting { from: UnixMs, progress: Progress },
}

/// A batch submission that this node owns or reads.
#[derive(Clone, Debug)]
pub struct Batch {
    next_chunk_number: u32,
    ended: bool,
    failures: Vec<ItemFailures>,
    unlisted: Vec<UnlistedResult>,
    pending_chunk: Option<Chunk>,
    groups: Groups,
    index_by_id: IndexMap<String, usize>,
    /// How many runs of each item in a row broke off without an event.
    interruptions: Vec<u32>,
    listed: Vec<ItemResult>,
    order: Vec<usize>,
    phases: Vec<Phase>,
    submission: Submission,
    policy: BatchPolicy,
}

impl Batch {
    /// Opens a batch of which nothing has run. `carried` returns whether an earlier batch left a
    /// group incomplete.
    pub fn open(
        submission: Submission,
        policy: BatchPolicy,
        carried: impl Fn(&str) -> bool,
    ) -> Self {
        let waiting = Phase::Waiting { from: UnixMs(0), progress: Progress::default() };
        let index_by_id = submission
            .items
            .iter()
            .enumerate()
            .map(|(index, item)| (item.id.clone(), index))
            .collect();
        Self {
            next_chunk_number: 0,
            ended: false,
            failures: vec![ItemFailures::default(); submission.items.len()],
            unlisted: Vec::new(),
            pending_chunk: None,
            groups: Groups::open(&submission, carried),
            index_by_id,
            interruptions: vec![0; submission.items.len()],
            listed: Vec::new(),
            order: start_order(&submission),
            phases: vec![waiting; submission.items.len()],
            submission,
            policy,
        }
    }

    /// Returns the submission.
    pub const fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Returns how the batch is run.
    pub const fn policy(&self) -> &BatchPolicy {
        &self.policy
    }

    /// Returns whether the caller has ended the batch.
    pub const fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns whether nothing is left to run or to write.
    pub fn is_settled(&self) -> bool {
        let open = self.phases.iter().any(|phase| !matches!(phase, Phase::Listed));
        !open || (self.ended && self.unlisted.is_empty() && self.pending_chunk.is_none())
    }

    /// Ends the batch: starts no more items and drops results that are in no chunk yet. Complete
    /// texts are kept with the partial ones, for a later batch of the same items.
    pub fn end(&mut self) {
        self.ended = true;
        for UnlistedResult { result, .. } in std::mem::take(&mut self.unlisted) {
            if let Some(index) = self.index_by_id.get(&result.id).copied() {
                let progress = Progress::of_finished(&result);
                self.phases[index] = Phase::Waiting { from: UnixMs(0), progress };
            }
        }
    }

    /// Takes the next item to run.
    pub fn next_item(&mut self, now: UnixMs) -> Option<NextItem> {
        self.next_item_where(now, |_, _| true)
    }

    /// Takes the next item to run of which `is_eligible` returns true, given its text so far.
    pub fn next_item_where(
        &mut self,
        now: UnixMs,
        is_eligible: impl Fn(&Item, &Progress) -> bool,
    ) -> Option<NextItem> {
        if self.ended || now >= self.policy.give_up_at {
            return None;
        }
        let is_next = |index: &usize| {
            let Phase::Waiting { from, progress } = &self.phases[*index] else { return false };
            *from <= now && is_eligible(&self.submission.items[*index], progress)
        };
        let index = self.order.iter().copied().find(is_next)?;
        self.take_item(index)
    }

    /// Takes the item at `index` if it waits, for example because its run moves to another target.
    pub fn take_item(&mut self, index: usize) -> Option<NextItem> {
        if !matches!(self.phases[index], Phase::Waiting { .. }) {
            return None;
        }
        let Phase::Waiting { progress, .. } =
            std::mem::replace(&mut self.phases[index], Phase::Running)
        else {
            return None;
        };
        Some(NextItem { index, progress })
    }

    /// Returns an item to the waiting ones after a run that did not complete. It may start again at
    /// `from`.
    pub fn put_back(&mut self, index: usize, from: UnixMs, progress: Progress) {
        if matches!(self.phases[index], Phase::Running) {
            let progress = if self.policy.single_version { Progress::default() } else { progress };
            self.phases[index] = Phase::Waiting { from, progress };
        }
    }

    /// Counts a run that was answered with a failure. Returns whether that was the last attempt.
    pub fn record_failure(&mut self, index: usize) -> bool {
        self.failures[index].runs += 1;
        self.failures[index].runs >= self.policy.attempts
    }

    /// Counts a scoring call that was answered with a failure. Returns whether that was the last
    /// attempt.
    pub fn record_score_failure(&mut self, index: usize) -> bool {
        self.failures[index].scores += 1;
        self.failures[index].scores >= self.policy.attempts
    }

    /// Returns the failures of the items without a durable result.
    pub fn unlisted_failures(&self) -> Vec<(String, ItemFailures)> {
        let pending = self.pending_chunk.iter().flat_map(|chunk| &chunk.results);
        let unlisted = self.unlisted.iter().map(|held| &held.result).chain(pending);
        let given_up: IndexSet<&str> = unlisted
            .filter(|result| result.state == ItemState::Errored)
            .map(|result| result.id.as_str())
            .collect();
        let open = self
            .index_by_id
            .iter()
            .filter(|(_, index)| !matches!(self.phases[**index], Phase::Listed));
        let failures = open.map(|(id, index)| {
            let is_given_up = given_up.contains(id.as_str());
            (id.clone(), ItemFailures { is_given_up, ..self.failures[*index] })
        });
        failures.filter(|(_, failures)| failures.is_any()).collect()
    }

    /// Adds failures that an earlier owner has counted, and gives up the items that have no attempt
    /// left.
    pub fn restore_failures(&mut self, now: UnixMs, failures: Vec<(String, ItemFailures)>) {
        for (id, failures) in failures {
            let Some(index) = self.index_by_id.get(&id).copied() else { continue };
            let known = self.failures[index].combined_with(failures);
            self.failures[index] = known;
            let attempts = self.policy.attempts;
            if known.is_given_up || known.runs >= attempts || known.scores >= attempts {
                self.record_result(now, ItemResult::errored(id));
            }
        }
    }

    /// Counts a run that broke off, and returns how many runs of its item in a row have done so
    /// without an event; 0 if this one brought events.
    pub fn record_interruption(&mut self, index: usize, has_events: bool) -> u32 {
        let count = &mut self.interruptions[index];
        *count = if has_events { 0 } else { *count + 1 };
        *count
    }

    /// Records an item's result, which is then to be made durable.
    pub fn record_result(&mut self, now: UnixMs, result: ItemResult) {
        let Some(index) = self.index_by_id.get(&result.id).copied() else { return };
        if !self.ended && matches!(self.phases[index], Phase::Running | Phase::Waiting { .. }) {
            self.phases[index] = Phase::Finished;
            self.unlisted.push(UnlistedResult { finished_at: now, result });
        }
    }

    /// Gives up all items without a result once their time has passed, and returns how many there
    /// were.
    pub fn expire(&mut self, now: UnixMs) -> usize {
        if self.ended || now < self.policy.give_up_at {
            return 0;
        }
        let expired: Vec<String> = self
            .phases
            .iter()
            .zip(&self.submission.items)
            .filter(|(phase, _)| matches!(phase, Phase::Running | Phase::Waiting { .. }))
            .map(|(_, item)| item.id.clone())
            .collect();
        let count = expired.len();
        for id in expired {
            self.record_result(now, ItemResult::errored(id));
        }
        count
    }

    /// Returns the groups that the trainer has not consumed: those with an item that has no durable
    /// result, and those that completed after all groups that the trainer waited for.
    pub fn unconsumed_groups(&self) -> IndexSet<&str> {
        self.groups.unconsumed(
            self.listed.iter().filter_map(|result| self.index_by_id.get(&result.id).copied()),
        )
    }

    /// Returns whether the trainer has all groups that it waits for, durable or about to be.
    pub fn is_complete(&self) -> bool {
        self.missing_groups() == Some(0)
    }

    fn missing_groups(&self) -> Option<usize> {
        self.groups.missing(|index| matches!(self.phases[index], Phase::Finished | Phase::Listed))
    }

    /// Returns the groups that the trainer will have consumed once all finished results are
    /// durable.
    pub fn consumed_groups(&self) -> IndexSet<&str> {
        let finished = self.unlisted.iter().map(|held| &held.result);
        let pending_chunk = self.pending_chunk.iter().flat_map(|chunk| &chunk.results);
        let done = self.listed.iter().chain(pending_chunk).chain(finished);
        let unconsumed = self
            .groups
            .unconsumed(done.filter_map(|result| self.index_by_id.get(&result.id).copied()));
        self.submission
            .items
            .iter()
            .map(group_of)
            .filter(|group| !unconsumed.contains(group))
            .collect()
    }

    /// Returns whether an item waits to be run.
    pub fn has_waiting(&self) -> bool {
        self.phases.iter().any(|phase| matches!(phase, Phase::Waiting { .. }))
    }

    /// Takes the partial texts of waiting items and returns them with the complete texts of groups
    /// that the trainer has not consumed, for a later batch of the same items.
    pub fn take_progress(&mut self) -> Vec<(String, Progress)> {
        let unconsumed = self.unconsumed_groups();
        let left = self.listed.iter().filter(|result| {
            let group = self.item(&result.id).map(group_of);
            result.state == ItemState::Completed
                && group.is_some_and(|group| unconsumed.contains(group))
        });
        let mut held: Vec<(String, Progress)> =
            left.map(|result| (result.id.clone(), Progress::of_finished(result))).collect();
        for (phase, item) in self.phases.iter_mut().zip(&self.submission.items) {
            if let Phase::Waiting { progress, .. } = phase
                && progress.is_started()
            {
                held.push((item.id.clone(), std::mem::take(progress)));
            }
        }
        held
    }

    /// Returns the texts of items that are finished but not durable. Their scores can be requested
    /// again.
    pub fn unlisted_texts(&self) -> Vec<(String, Progress)> {
        let completed =
            self.unlisted.iter().filter(|held| held.result.state == ItemState::Completed);
        completed
            .map(|held| (held.result.id.clone(), Progress::of_finished(&held.result)))
            .collect()
    }

    /// Takes the results of items that are completed but not durable, for another batch opened from
    /// the same submission.
    pub fn take_completed(&mut self) -> Vec<ItemResult> {
        let finished = std::mem::take(&mut self.unlisted).into_iter().map(|held| held.result);
        finished.filter(|result| result.state == ItemState::Completed).collect()
    }

    /// Lets a waiting item continue a text that an earlier batch left, if this batch accepts the
    /// text's weight versions. Returns whether it does.
    pub fn resume_from(&mut self, id: &str, progress: Progress) -> bool {
        let oldest = progress.versions.first().copied().unwrap_or(0);
        let fits = oldest >= self.submission.oldest_version && !self.policy.single_version;
        let Some(index) = self.index_by_id.get(id).copied() else { return false };
        if let Phase::Waiting { progress: held, .. } = &mut self.phases[index]
            && fits
        {
            *held = progress;
            return true;
        }
        false
    }

    /// Returns when the next results are listed at the latest.
    pub fn next_listing_at(&self) -> Option<UnixMs> {
        let state = self.listing_state();
        self.unlisted.iter().map(|held| self.listing_time(&state, held)).min()
    }

    /// Returns the chunk to write next, of at most about `max_bytes`: the results of complete
    /// groups, or all results once one of an incomplete group has waited long enough. The chunk
    /// stays the same until it is [merged](Self::merge), so that a lost reply to a write cannot
    /// list a result twice.
    pub fn chunk_to_write(&mut self, now: UnixMs, max_bytes: usize) -> Option<&Chunk> {
        if self.pending_chunk.is_none() && !self.unlisted.is_empty() {
            let state = self.listing_state();
            let is_due = |held: &UnlistedResult| self.listing_time(&state, held) <= now;
            let overdue = self
                .unlisted
                .iter()
                .any(|held| !self.is_group_complete(&state, held) && is_due(held));
            let due: Vec<bool> = self.unlisted.iter().map(|held| overdue || is_due(held)).collect();
            self.begin_chunk(&due, max_bytes);
        }
        self.pending_chunk.as_ref()
    }

    fn listing_state(&self) -> ListingState<'_> {
        let is_tail = self.missing_groups().is_some_and(|missing| self.groups.is_tail(missing));
        ListingState { is_tail, open: self.open_groups() }
    }

    fn is_group_complete(&self, state: &ListingState<'_>, held: &UnlistedResult) -> bool {
        let group = self.item(&held.result.id).map(group_of);
        group.is_none_or(|group| !state.open.contains(group))
    }

    /// Returns when a result is listed at the latest. An overdue result of another group may list
    /// it earlier.
    fn listing_time(&self, state: &ListingState<'_>, held: &UnlistedResult) -> UnixMs {
        let due_at = self.policy.due_at;
        let before = UnixMs(due_at.0.saturating_sub(LIST_BEFORE_DUE_MS));
        let after = due_at.plus(LIST_AFTER_DUE_MS);
        match (state.is_tail, self.is_group_complete(state, held)) {
            (false, true) => LIST_IMMEDIATELY,
            (true, true) if held.finished_at < before => before,
            (true, true) if held.finished_at < after => {
                held.finished_at.plus(COMPLETE_GROUP_WAIT_MAX_MS).min(after)
            }
            (true, true) => held.finished_at.plus(COMPLETE_GROUP_WAIT_MAX_MS),
            (_, false) => held.finished_at.max(before).plus(INCOMPLETE_GROUP_WAIT_MAX_MS),
        }
    }

    /// Like [`chunk_to_write`](Self::chunk_to_write), but with all results, for example because
    /// this owner shuts down.
    pub fn chunk_of_all_results(&mut self, max_bytes: usize) -> Option<&Chunk> {
        if self.pending_chunk.is_none() {
            self.begin_chunk(&vec![true; self.unlisted.len()], max_bytes);
        }
        self.pending_chunk.as_ref()
    }

    /// Returns the groups with an item that waits or runs.
    fn open_groups(&self) -> IndexSet<&str> {
        let open = |phase: &Phase| matches!(phase, Phase::Running | Phase::Waiting { .. });
        let items = self.phases.iter().zip(&self.submission.items);
        items.filter(|(phase, _)| open(phase)).map(|(_, item)| group_of(item)).collect()
    }

    fn begin_chunk(&mut self, due: &[bool], max_bytes: usize) {
        let mut used_bytes = 0;
        let mut results = Vec::new();
        let mut left = Vec::new();
        for (held, due) in std::mem::take(&mut self.unlisted).into_iter().zip(due) {
            let size_bytes = held.result.size_bytes();
            let fits = results.is_empty() || used_bytes + size_bytes <= max_bytes;
            if *due && fits {
                used_bytes += size_bytes;
                results.push(held.result);
            } else {
                left.push(held);
            }
        }
        self.unlisted = left;
        if !results.is_empty() {
            self.pending_chunk = Some(Chunk { number: self.next_chunk_number, results });
        }
    }

    /// Merges a durable chunk. Chunks must be merged in order.
    pub fn merge(&mut self, chunk: &Chunk) -> Merge {
        if chunk.number < self.next_chunk_number {
            return Merge::Known;
        }
        self.next_chunk_number += 1;
        let ours = self.pending_chunk.take();
        let is_ours = ours.as_ref() == Some(chunk);
        for result in &chunk.results {
            self.list(result);
        }
        if is_ours {
            return Merge::Ours;
        }
        let lost = ours.into_iter().flat_map(|chunk| chunk.results);
        let lost = lost.map(|result| UnlistedResult { finished_at: UnixMs(0), result });
        let waiting: Vec<UnlistedResult> = lost.chain(std::mem::take(&mut self.unlisted)).collect();
        self.unlisted =
            waiting.into_iter().filter(|held| !self.is_listed(&held.result.id)).collect();
        Merge::Foreign
    }

    fn list(&mut self, result: &ItemResult) {
        let Some(index) = self.index_by_id.get(&result.id).copied() else { return };
        if !matches!(self.phases[index], Phase::Listed) {
            self.phases[index] = Phase::Listed;
            self.listed.push(result.clone());
        }
    }

    fn is_listed(&self, id: &str) -> bool {
        let index = self.index_by_id.get(id).copied();
        index.is_some_and(|index| matches!(self.phases[index], Phase::Listed))
    }

    /// Returns the number of the next chunk.
    pub const fn next_chunk(&self) -> u32 {
        self.next_chunk_number
    }

    /// Returns the durable results from position `after` on: at most about `max_bytes`, but at
    /// least one if there is one.
    pub fn page(&self, after: usize, max_bytes: usize) -> &[ItemResult] {
        let from = self.listed.get(after..).unwrap_or_default();
        let mut used_bytes = 0;
        let count = from
            .iter()
            .take_while(|result| {
                let first = used_bytes == 0;
                used_bytes += result.size_bytes();
                first || used_bytes <= max_bytes
            })
            .count();
        &from[..count]
    }

    /// Returns the number of durable results.
    pub const fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Returns an item by its id.
    pub fn item(&self, id: &str) -> Option<&Item> {
        self.index_by_id.get(id).map(|index| &self.submission.items[*index])
    }

    /// Returns the numbers of items that wait, that run, and that are finished but not durable.
    pub fn counts(&self) -> (usize, usize, usize) {
        let of = |wanted: fn(&Phase) -> bool| self.phases.iter().filter(|p| wanted(p)).count();
        (
            of(|phase| matches!(phase, Phase::Waiting { .. })),
            of(|phase| matches!(phase, Phase::Running)),
            of(|phase| matches!(phase, Phase::Finished)),
        )
    }
}
