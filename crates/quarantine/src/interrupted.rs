//! Requests whose connection broke, until it is known whether their target ended.

use crate::{Fingerprint, RequestSource, TargetIncarnation};
use catkinmast_model::UnixMs;

/// How long a request waits for its target's outcome: the registry drops a dead target's entry
/// after three missed heartbeats, about four seconds.
const OUTCOME_WAIT_MS: u64 = 6_000;
/// Limit on waiting requests: all that a small node has in flight at once. Requests beyond it are
/// ignored, since a request that crashes targets is interrupted again.
const WAITING_MAX: usize = 512;

#[derive(Clone, Debug)]
struct Interrupted {
    fingerprint: Fingerprint,
    incarnation: TargetIncarnation,
    until: UnixMs,
}

/// What an update says about incarnations of a target that have ended.
#[derive(Clone, Copy, Debug)]
pub enum TargetOutcome<'a> {
    /// This incarnation has ended.
    Ended(&'a TargetIncarnation),
    /// All its incarnations except the current one have ended.
    Restarted {
        /// The target's id.
        id: &'a str,
        /// Start time of the current incarnation.
        started_at_unix_ms: Option<u64>,
    },
    /// The target has been removed: all its incarnations have ended.
    Gone {
        /// The target's id.
        id: &'a str,
    },
}

impl TargetOutcome<'_> {
    fn ends(self, incarnation: &TargetIncarnation) -> bool {
        match self {
            Self::Ended(ended) => ended == incarnation,
            Self::Restarted { id, started_at_unix_ms } => {
                incarnation.id == id && incarnation.started_at_unix_ms != started_at_unix_ms
            }
            Self::Gone { id } => incarnation.id == id,
        }
    }
}

/// Requests that were interrupted at targets whose outcome is not known yet.
#[derive(Clone, Debug, Default)]
pub struct InterruptedRequests(Vec<Interrupted>);

impl InterruptedRequests {
    /// Records a request whose connection broke. Returns whether no other request waits for
    /// this incarnation of its target, in which case the caller should check whether the target is
    /// still up. A request that cannot be the cause is not recorded.
    pub fn record(
        &mut self,
        now: UnixMs,
        source: RequestSource,
        fingerprint: Fingerprint,
        incarnation: &TargetIncarnation,
    ) -> bool {
        if !source.may_crash_targets() {
            return false;
        }
        self.0.retain(|request| request.until > now);
        let is_first = self.0.iter().all(|request| request.incarnation != *incarnation);
        if self.0.len() < WAITING_MAX {
            let until = now.plus(OUTCOME_WAIT_MS);
            self.0.push(Interrupted { fingerprint, incarnation: incarnation.clone(), until });
        }
        is_first
    }

    /// Applies an update about a target. Removes the requests that were in flight at incarnations
    /// which have ended, and returns them with those incarnations. Requests that have waited too
    /// long are not returned: their connection broke for another reason.
    pub fn resolve(
        &mut self,
        now: UnixMs,
        outcome: TargetOutcome<'_>,
    ) -> Vec<(Fingerprint, TargetIncarnation)> {
        let has_ended =
            |request: &Interrupted| request.until > now && outcome.ends(&request.incarnation);
        let ended: Vec<Interrupted> =
            self.0.iter().filter(|request| has_ended(request)).cloned().collect();
        self.0.retain(|request| !outcome.ends(&request.incarnation));
        ended.into_iter().map(|request| (request.fingerprint, request.incarnation)).collect()
    }

    /// Forgets a request that a target has answered meanwhile.
    pub fn forget(&mut self, fingerprint: Fingerprint) {
        self.0.retain(|request| request.fingerprint != fingerprint);
    }

    /// Returns whether no request waits for its target's outcome.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
