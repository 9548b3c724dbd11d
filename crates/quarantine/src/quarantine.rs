//! Which requests are sent to no more targets.
//!
//! *A request ends one target after the other.* It crashes what begins to run it; it is tried elsewhere,
//! and its caller comes again. It would be noticed as all targets of a service down at once, again as
//! soon as they are back. So a request under which [`BLOCK_THRESHOLD`] targets have ended is barred.
//!
//! *A sound request is barred with it.* Whatever else is under way at a target ends with it, is tried
//! elsewhere at the same moment, and meets the same request there: of eleven requests that one end broke
//! off, four had been broken off by the one before. So an end counts against a request only where no
//! other one explains it better: one that was under way there too, and under which more targets have
//! ended. Where two have the same record, one of each is tried, by one node of the fleet; the next end
//! tells them apart. An answer of any target clears a request: what ended the others was something else.
//!
//! *A request stays barred that does no harm any more*, because the targets' software was mended, or
//! because it never did any. So it is tried again after [`BARRED_MS`], once for the whole fleet, and
//! after twice that time whenever the trial ends a target.

use crate::{Evidence, Fingerprint, TargetIncarnation};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use std::cmp::Ordering;

/// Targets that must have ended under a request before it is barred. Two may end by chance while it is
/// repeated; a request that ends each target that runs it reaches the third within a second.
pub const BLOCK_THRESHOLD: usize = 3;
/// With so many, a request is barred although others explain some of the ends: two trials tell two
/// requests apart unless they meet at the same targets each time.
const CERTAIN_LIVES: usize = 5;
/// How long a barred request waits for a trial: longer than a target takes to be back and to serve,
/// shorter than the mend of its software.
const BARRED_MS: u64 = 600_000;
/// How long evidence that bars nothing is kept after the latest end. Callers come again within minutes.
const KEPT_MS: u64 = 600_000;
/// How long evidence is kept that bars its request; after a day without an end nobody sends it.
const KEPT_BARRED_MS: u64 = 86_400_000;
/// How long after this node asked for a trial it asks again, should nothing have come of it.
const ASK_AGAIN_MS: u64 = 60_000;
/// Requests of which evidence is kept: at 100 bytes each, 100 KB of a small node's memory.
const KNOWN_MAX: usize = 1_000;

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestStatus {
    /// It may not, until a trial is due.
    Blocked {
        /// When that is.
        until: UnixMs,
    },
    /// It may.
    Allowed,
    /// One node may send it once.
    Trial {
        /// The trial's number, the same at every node: there is one of each.
        number: usize,
    },
}

/// What is known of requests that were under way as targets ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// The trials that this node asked for, and when.
    asked: IndexMap<Fingerprint, (usize, UnixMs)>,
    known: IndexMap<Fingerprint, Evidence>,
}

impl Quarantine {
    /// Tells whether there is no evidence at all, so that no request need be looked up.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the evidence against a request.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<&Evidence> {
        self.known.get(&fingerprint)
    }

    /// Takes the end of a target under a request; returns whether it is news.
    pub fn record_end(
        &mut self,
        at: UnixMs,
        fingerprint: Fingerprint,
        life: TargetIncarnation,
    ) -> bool {
        self.known.entry(fingerprint).or_default().record_end(at, life)
    }

    /// Takes it that a target has survived a request; returns whether that changes anything.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) -> bool {
        self.known.get_mut(&fingerprint).is_some_and(Evidence::refute)
    }

    /// Takes what another node knows, or the store; returns whether any of it is news.
    pub fn merge(&mut self, fingerprint: Fingerprint, evidence: &Evidence) -> bool {
        self.known.entry(fingerprint).or_default().merge(evidence)
    }

    /// Tells whether a request may be sent to a target.
    pub fn status(&self, now: UnixMs, fingerprint: Fingerprint) -> RequestStatus {
        let Some(evidence) = self.known.get(&fingerprint) else { return RequestStatus::Allowed };
        let lives = evidence.unrefuted_count();
        if lives < BLOCK_THRESHOLD {
            return RequestStatus::Allowed;
        }
        let Blame { alone, explained } = self.blame(fingerprint, evidence);
        let is_certain = alone >= BLOCK_THRESHOLD || lives >= CERTAIN_LIVES;
        if !is_certain && lives - explained < BLOCK_THRESHOLD {
            return RequestStatus::Allowed;
        }
        let doublings = lives.saturating_sub(BLOCK_THRESHOLD).min(7);
        let trial_at = evidence.latest_at().plus(BARRED_MS << doublings);
        if is_certain && now < trial_at {
            return RequestStatus::Blocked { until: trial_at };
        }
        match self.asked.get(&fingerprint) {
            Some((number, at)) if *number == lives && now < at.plus(ASK_AGAIN_MS) => {
                RequestStatus::Blocked { until: at.plus(ASK_AGAIN_MS) }
            }
            _ => RequestStatus::Trial { number: lives },
        }
    }

    /// Notes that this node asks for a trial; it is asked for once.
    pub fn record_trial_request(&mut self, now: UnixMs, fingerprint: Fingerprint, number: usize) {
        self.asked.insert(fingerprint, (number, now));
    }

    /// Counts the requests that are sent to no target now.
    pub fn count_blocked(&self, now: UnixMs) -> usize {
        let is_clear = |of: &Fingerprint| self.status(now, *of) == RequestStatus::Allowed;
        self.known.keys().filter(|fingerprint| !is_clear(fingerprint)).count()
    }

    /// Forgets what is too old to matter, and the oldest of what is too much; returns what it forgot.
    pub fn expire(&mut self, now: UnixMs) -> Vec<Fingerprint> {
        let is_old = |evidence: &Evidence| {
            let kept_ms =
                if evidence.unrefuted_count() < BLOCK_THRESHOLD { KEPT_MS } else { KEPT_BARRED_MS };
            evidence.latest_at().plus(kept_ms) <= now
        };
        let mut over: Vec<Fingerprint> =
            self.known.iter().filter(|(_, evidence)| is_old(evidence)).map(|(of, _)| *of).collect();
        let left = self.known.len() - over.len();
        if left > KNOWN_MAX {
            let mut by_worth: Vec<(bool, UnixMs, Fingerprint)> = self
                .known
                .iter()
                .filter(|(_, evidence)| !is_old(evidence))
                .map(|(of, held)| {
                    (held.unrefuted_count() >= BLOCK_THRESHOLD, held.latest_at(), *of)
                })
                .collect();
            by_worth.sort_unstable();
            over.extend(by_worth.iter().take(left - KNOWN_MAX).map(|(_, _, of)| *of));
        }
        for fingerprint in &over {
            self.known.swap_remove(fingerprint);
            self.asked.swap_remove(fingerprint);
        }
        over
    }

    /// Sets the ends of a request's targets against those of the others that were under way there.
    fn blame(&self, fingerprint: Fingerprint, evidence: &Evidence) -> Blame {
        let own = evidence.unrefuted_count();
        let mut blame = Blame::default();
        for life in evidence.unrefuted() {
            let others = self.known.iter().filter(|(other, _)| **other != fingerprint);
            let most = others
                .filter(|(_, held)| held.is_unrefuted(life))
                .map(|(_, held)| held.unrefuted_count());
            match most.max().unwrap_or(0).cmp(&own) {
                Ordering::Less => blame.alone += 1,
                Ordering::Equal => {}
                Ordering::Greater => blame.explained += 1,
            }
        }
        blame
    }
}

/// How many of the ends under a request others could have caused.
#[derive(Clone, Copy, Debug, Default)]
struct Blame {
    /// No other one that was under way there has as many ends.
    alone: usize,
    /// Another one has more.
    explained: usize,
}
