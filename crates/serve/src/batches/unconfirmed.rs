//! Submissions of which this node does not know whether they are stored.
//!
//! A refusal promises that no part of the batch runs, so a later attempt to submit a batch is
//! refused only if no earlier one at this node may have been stored.

use super::Batches;
use crate::clock;
use catkinmast_model::{UnixMs, Verdict};
use indexmap::IndexMap;

/// How long a submission counts as possibly stored after its last unanswered write: longer than a
/// trainer goes on submitting it.
const UNCONFIRMED_TTL_MS: u64 = 60_000;

#[derive(Debug, Default)]
struct Unconfirmed {
    /// Whether a write has ended without an answer.
    is_unanswered: bool,
    last_tried_at: UnixMs,
    /// The writes that are under way.
    under_way: u32,
}

/// The submissions that this node has tried to store, itself or at their owner, without learning
/// the outcome.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedSubmissions(IndexMap<String, Unconfirmed>);

impl UnconfirmedSubmissions {
    fn begin(&mut self, now: UnixMs, batch: &str) -> bool {
        let is_recent =
            |tried: &Unconfirmed| now.since_ms(tried.last_tried_at) < UNCONFIRMED_TTL_MS;
        self.0.retain(|_, tried| tried.under_way > 0 || is_recent(tried));
        let tried = self.0.entry(batch.to_owned()).or_default();
        let was_unconfirmed = tried.is_unanswered || tried.under_way > 0;
        tried.last_tried_at = now;
        tried.under_way += 1;
        was_unconfirmed
    }

    fn end(&mut self, batch: &str, verdict: Verdict) {
        let Some(tried) = self.0.get_mut(batch) else { return };
        tried.under_way = tried.under_way.saturating_sub(1);
        tried.is_unanswered |= verdict == Verdict::MayHaveRun;
        // Of a batch that exists the store knows all that a later attempt needs.
        if verdict == Verdict::Ran || (tried.under_way == 0 && !tried.is_unanswered) {
            self.0.swap_remove(batch);
        }
    }
}

/// An attempt to store a submission. It counts as unanswered if it is dropped before its outcome is
/// recorded, for example because the caller has left.
pub(super) struct SubmissionAttempt<'a> {
    batch: &'a str,
    batches: &'a Batches,
    verdict: Verdict,
    /// Whether an earlier attempt at this node may have been stored.
    pub(super) was_unconfirmed: bool,
}

impl<'a> SubmissionAttempt<'a> {
    pub(super) fn begin(batches: &'a Batches, batch: &'a str) -> Self {
        let was_unconfirmed = batches.unconfirmed.borrow_mut().begin(clock::now(), batch);
        Self { batch, batches, verdict: Verdict::MayHaveRun, was_unconfirmed }
    }

    /// Ends the attempt: the store has the batch.
    pub(super) fn stored(mut self) {
        self.verdict = Verdict::Ran;
    }

    /// Ends the attempt, which was refused with this verdict.
    pub(super) fn refused(mut self, verdict: Verdict) {
        let may_have_run = verdict.may_have_run();
        self.verdict = if may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
    }
}

impl Drop for SubmissionAttempt<'_> {
    fn drop(&mut self) {
        self.batches.unconfirmed.borrow_mut().end(self.batch, self.verdict);
    }
}
