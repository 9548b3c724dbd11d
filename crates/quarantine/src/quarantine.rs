//! The decision which requests are blocked because they crash targets.
//!
//! Three failures are guarded against:
//!
//! - *One request crashes target after target.* It crashes each target that starts to run it, is
//!   retried at another, and its caller sends it again. All targets of a service go down at once,
//!   and again as soon as they are back. So a request is blocked once [`BLOCK_THRESHOLD`] target
//!   incarnations have ended while it was in flight.
//! - *A harmless request is blocked with it.* Every other request in flight at a target is
//!   interrupted too, is retried elsewhere at the same moment, and meets the crashing request there
//!   again. In one crash, eleven requests were interrupted; four of them had already been
//!   interrupted by the previous crash. So an end does not count against a request if it is better
//!   explained by another one that was in flight at the same incarnation and under
//!   which more incarnations have ended. If two requests have equal evidence, a single node tries each of them once, and the next end
//!   tells them apart. An answer from any target clears a request: the earlier ends had another
//!   cause.
//! - *A request stays blocked although it no longer does harm*, because the targets' software was
//!   fixed or the request never was the cause. So it is tried again after [`TRIAL_DELAY_MS`], by
//!   one node for the whole fleet, and the delay doubles with each further end, up to 128-fold
//!   (about 21 hours).

use crate::{Evidence, Fingerprint, RequestSource, TargetIncarnation};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use std::cmp::Ordering;

/// How many target incarnations must have ended under a request before it is blocked. Two may end
/// by chance while the request is retried; a request that crashes every target reaches three within
/// a second.
pub const BLOCK_THRESHOLD: usize = 3;
/// With this many ends a request is blocked even if other requests explain some of them. Two trials
/// (ends four and five) tell two requests apart, unless both are in flight at the same targets each
/// time.
const CERTAIN_THRESHOLD: usize = 5;
/// How long a blocked request waits for its first trial: longer than a target takes to restart and
/// serve, shorter than a fix of its software takes.
const TRIAL_DELAY_MS: u64 = 600_000;
/// How long evidence that does not block its request is kept after the latest end. Callers retry
/// within minutes.
const RETENTION_MS: u64 = 600_000;
/// How long evidence that blocks its request is kept after the latest end. It is longer than
/// the longest trial delay, so a request that is still sent has had a trial.
const BLOCKED_RETENTION_MS: u64 = 86_400_000;
/// How long this node waits for the result of a trial it requested before it requests it again.
const TRIAL_RETRY_MS: u64 = 60_000;
/// How long after its request a trial whose attempt did not run may be used for another attempt.
/// Other nodes may claim the trial [`TRIAL_RETRY_MS`] after its request, so the rest is the time
/// for the attempt to end.
const UNUSED_TRIAL_MS: u64 = TRIAL_RETRY_MS / 2;
/// Limit on requests with evidence: at 100 bytes each, 100 KB of a small node's memory.
const REQUESTS_MAX: usize = 1_000;

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestStatus {
    /// It may not be sent until a trial is due.
    Blocked {
        /// When a trial is due, or may be requested again.
        until: UnixMs,
    },
    /// It may be sent.
    Allowed,
    /// One node of the fleet may send it once.
    Trial {
        /// Number of the trial, the same at every node; each number is used for one trial only.
        number: usize,
    },
}

/// A trial that this node asked for.
#[derive(Clone, Copy, Debug)]
struct RequestedTrial {
    at: UnixMs,
    /// Whether this node has the right to the trial and its attempts so far did not run.
    is_unused: bool,
    number: usize,
}

/// Evidence against all requests that were in flight when targets ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// The last trial of each request that this node asked for.
    requested_trials: IndexMap<Fingerprint, RequestedTrial>,
    evidence: IndexMap<Fingerprint, Evidence>,
}

impl Quarantine {
    /// Returns whether there is no evidence at all, so that no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Returns the evidence against a request.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<&Evidence> {
        self.evidence.get(&fingerprint)
    }

    /// Records that a target incarnation ended while a request was in flight. Returns whether this
    /// was unknown before.
    pub fn record_end(
        &mut self,
        at: UnixMs,
        fingerprint: Fingerprint,
        incarnation: TargetIncarnation,
    ) -> bool {
        self.evidence.entry(fingerprint).or_default().record_end(at, incarnation)
    }

    /// Records that a target has answered a request. Returns whether this changed its evidence.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) -> bool {
        self.evidence.get_mut(&fingerprint).is_some_and(Evidence::refute)
    }

    /// Merges evidence from another node or from the store. Returns whether this changed anything.
    pub fn merge(&mut self, fingerprint: Fingerprint, evidence: &Evidence) -> bool {
        self.evidence.entry(fingerprint).or_default().merge(evidence)
    }

    /// Returns whether a request from this source may be sent to a target at `now`. There may be
    /// evidence against a batch's request from a caller's request with the same content, or from
    /// nodes of an earlier build; it is ignored.
    pub fn admission(
        &self,
        now: UnixMs,
        source: RequestSource,
        fingerprint: Fingerprint,
    ) -> RequestStatus {
        if source.may_crash_targets() {
            self.status(now, fingerprint)
        } else {
            RequestStatus::Allowed
        }
    }

    /// Returns whether a caller's request may be sent to a target at `now`.
    pub fn status(&self, now: UnixMs, fingerprint: Fingerprint) -> RequestStatus {
        let Some(evidence) = self.evidence.get(&fingerprint) else { return RequestStatus::Allowed };
        let ends = evidence.unrefuted_count();
        if ends < BLOCK_THRESHOLD {
            return RequestStatus::Allowed;
        }
        let Attribution { alone, explained } = self.attribute(fingerprint, evidence);
        let is_certain = alone >= BLOCK_THRESHOLD || ends >= CERTAIN_THRESHOLD;
        if !is_certain && ends - explained < BLOCK_THRESHOLD {
            return RequestStatus::Allowed;
        }
        let doublings = ends.saturating_sub(BLOCK_THRESHOLD).min(7);
        let trial_at = evidence.latest_at().plus(TRIAL_DELAY_MS << doublings);
        if is_certain && now < trial_at {
            return RequestStatus::Blocked { until: trial_at };
        }
        match self.requested_trials.get(&fingerprint) {
            Some(trial) if trial.number == ends && now < trial.at.plus(TRIAL_RETRY_MS) => {
                if trial.is_unused && now < trial.at.plus(UNUSED_TRIAL_MS) {
                    RequestStatus::Trial { number: ends }
                } else {
                    RequestStatus::Blocked { until: trial.at.plus(TRIAL_RETRY_MS) }
                }
            }
            _ => RequestStatus::Trial { number: ends },
        }
    }

    /// Records that this node has asked for a trial, so that it does not ask for the same one again
    /// within `TRIAL_RETRY_MS`.
    pub fn record_trial_request(&mut self, now: UnixMs, fingerprint: Fingerprint, number: usize) {
        let trial = RequestedTrial { at: now, is_unused: false, number };
        self.requested_trials.insert(fingerprint, trial);
    }

    /// Records that the attempt for which this node had the right to a trial did not run, for
    /// example because its target refused the connection. The next attempt may use the trial.
    pub fn record_trial_unused(&mut self, fingerprint: Fingerprint, number: usize) {
        if let Some(trial) = self.requested_trials.get_mut(&fingerprint)
            && trial.number == number
        {
            trial.is_unused = true;
        }
    }

    /// Takes the right to a trial whose earlier attempts did not run. Returns whether this node had
    /// it; otherwise it has to ask for the trial.
    pub fn take_unused_trial(
        &mut self,
        now: UnixMs,
        fingerprint: Fingerprint,
        number: usize,
    ) -> bool {
        self.requested_trials.get_mut(&fingerprint).is_some_and(|trial| {
            let is_held = trial.number == number && now < trial.at.plus(UNUSED_TRIAL_MS);
            is_held && std::mem::take(&mut trial.is_unused)
        })
    }

    /// Counts the requests that may not be sent freely at `now`: blocked ones and those due for a
    /// trial.
    pub fn count_blocked(&self, now: UnixMs) -> usize {
        let is_allowed =
            |fingerprint: &Fingerprint| self.status(now, *fingerprint) == RequestStatus::Allowed;
        self.evidence.keys().filter(|fingerprint| !is_allowed(fingerprint)).count()
    }

    /// Removes evidence past its retention time, and above `REQUESTS_MAX` the oldest evidence,
    /// that of blocked requests last. Returns the requests whose evidence was removed.
    pub fn expire(&mut self, now: UnixMs) -> Vec<Fingerprint> {
        let is_expired = |evidence: &Evidence| {
            let retention_ms = if evidence.unrefuted_count() < BLOCK_THRESHOLD {
                RETENTION_MS
            } else {
                BLOCKED_RETENTION_MS
            };
            evidence.latest_at().plus(retention_ms) <= now
        };
        let mut removed: Vec<Fingerprint> = self
            .evidence
            .iter()
            .filter(|(_, evidence)| is_expired(evidence))
            .map(|(of, _)| *of)
            .collect();
        let left = self.evidence.len() - removed.len();
        if left > REQUESTS_MAX {
            let mut by_priority: Vec<(bool, UnixMs, Fingerprint)> = self
                .evidence
                .iter()
                .filter(|(_, evidence)| !is_expired(evidence))
                .map(|(of, held)| {
                    (held.unrefuted_count() >= BLOCK_THRESHOLD, held.latest_at(), *of)
                })
                .collect();
            by_priority.sort_unstable();
            removed.extend(by_priority.iter().take(left - REQUESTS_MAX).map(|(_, _, of)| *of));
        }
        for fingerprint in &removed {
            self.evidence.swap_remove(fingerprint);
            self.requested_trials.swap_remove(fingerprint);
        }
        removed
    }

    /// Compares a request with the others that were in flight at each incarnation that ended under
    /// it.
    fn attribute(&self, fingerprint: Fingerprint, evidence: &Evidence) -> Attribution {
        let own = evidence.unrefuted_count();
        let mut attribution = Attribution::default();
        for incarnation in evidence.unrefuted() {
            let others = self.evidence.iter().filter(|(other, _)| **other != fingerprint);
            let other_counts = others
                .filter(|(_, evidence)| evidence.is_unrefuted(incarnation))
                .map(|(_, evidence)| evidence.unrefuted_count());
            match other_counts.max().unwrap_or(0).cmp(&own) {
                Ordering::Less => attribution.alone += 1,
                Ordering::Equal => {}
                Ordering::Greater => attribution.explained += 1,
            }
        }
        attribution
    }
}

/// How many of a request's ends are attributed to it, and how many to another request.
#[derive(Clone, Copy, Debug, Default)]
struct Attribution {
    /// Number of ends at incarnations where no other request has as many ends.
    alone: usize,
    /// Another request in flight at the incarnation has more ends.
    explained: usize,
}
