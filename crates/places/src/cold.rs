//! Which targets are cold, and the requests that this node has sent to each.
//!
//! A cold target crashes at a rate of requests that it bears easily once it is warm. Its limit holds
//! for the requests of all nodes together, so each node keeps to its own share ([`ColdShare`]) in
//! every span of a second.

use crate::senders::ColdShare;
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use std::collections::VecDeque;

/// Length of the span in which a node's requests to a cold target are counted. It is longer than
/// the second of the limit by the usual differences in delay, so that requests sent outside one
/// second do not arrive within one.
const SPAN_MS: u64 = 1_100;

/// How a service's targets behave after they have started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdConfig {
    /// How long a target is cold after its start.
    pub for_ms: u64,
    /// Requests that a cold target bears in a second, from all nodes together.
    pub requests_per_s: u32,
}

/// The cold targets, by id.
#[derive(Clone, Debug, Default)]
pub struct ColdTargets {
    targets: IndexMap<String, ColdTarget>,
}

#[derive(Clone, Debug, Default)]
struct ColdTarget {
    until: UnixMs,
    /// When this node sent the requests of the last span.
    sent: VecDeque<UnixMs>,
}

impl ColdTargets {
    /// Records that a target is cold until at least `until`. Returns whether it was not known to be
    /// cold before.
    pub fn mark(&mut self, id: &str, until: UnixMs) -> bool {
        let is_new = !self.targets.contains_key(id);
        if !self.targets.contains_key(id) {
            self.targets.insert(id.to_owned(), ColdTarget::default());
        }
        let target = &mut self.targets[id];
        target.until = target.until.max(until);
        is_new
    }

    /// Returns whether a target is cold.
    pub fn is_cold(&self, now: UnixMs, id: &str) -> bool {
        self.targets.get(id).is_some_and(|target| target.until > now)
    }

    /// Returns whether no target is known to be cold.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns whether this node may send one more request to a target now.
    pub fn may_send(&self, now: UnixMs, id: &str, share: ColdShare) -> bool {
        match self.targets.get(id) {
            Some(target) if target.until > now => target.sent_in_span(now) < share.requests_per_s,
            _ => true,
        }
    }

    /// Counts a request to a target, if it is cold.
    pub fn record_sent(&mut self, now: UnixMs, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.sent.retain(|at| now.since_ms(*at) < SPAN_MS);
            target.sent.push_back(now);
        }
    }

    /// Forgets targets that are no longer cold.
    pub fn expire(&mut self, now: UnixMs) {
        self.targets.retain(|_, target| target.until > now);
    }
}

impl ColdTarget {
    fn sent_in_span(&self, now: UnixMs) -> u32 {
        self.sent.iter().filter(|at| now.since_ms(**at) < SPAN_MS).count() as u32
    }
}
