//! Tells an outage of the registry from a node's own loss of it.
//!
//! Entries of live targets disappear with an outage of the registry, and come back soon after it. An
//! entry that disappears at any other time is gone, and its target must be out of use within the
//! bound on changes. A node that reaches neither the registry nor its peers cannot tell the two
//! apart, but its peers can: the registry was available whenever it answered any of them.

use crate::freshness::ChangeBound;
use catkinmast_model::UnixMs;

/// How long after the registry's return a missing entry may still reappear. The platform states
/// that entries are back within about two seconds.
const RETURN_GRACE_MS: u64 = 2_200;

/// What a node knows of outages of the registry, from its own calls and the reports of its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegistryOutage {
    /// When the registry is last known to have answered any node.
    answered_at: Option<UnixMs>,
    /// When the node learnt that the last outage was over.
    returned_at: Option<UnixMs>,
}

impl RegistryOutage {
    /// Records at `now` that the registry answered some node at `answered_at`.
    pub fn record_answer(&mut self, now: UnixMs, answered_at: UnixMs, bound: ChangeBound) {
        let was_ongoing = self.is_ongoing(now, bound);
        self.answered_at = self.answered_at.max(Some(answered_at));
        if was_ongoing && !self.is_ongoing(now, bound) {
            self.returned_at = Some(now);
        }
    }

    /// Returns by when an entry is back whose removal the node learns of now, if an outage may have
    /// removed it. A node that has just started does not know what was before.
    pub fn entries_return_by(&self, now: UnixMs, bound: ChangeBound) -> Option<UnixMs> {
        let returned_at = if self.is_ongoing(now, bound) { now } else { self.returned_at? };
        let return_by = returned_at.plus(RETURN_GRACE_MS);
        (return_by > now).then_some(return_by)
    }

    fn is_ongoing(&self, now: UnixMs, bound: ChangeBound) -> bool {
        self.answered_at.is_none_or(|at| now.since_ms(at) >= bound.outage_min_ms())
    }
}
