//! Hints that wait to be sent, and the budget for sending them.

use crate::hint::{DATAGRAM_OVERHEAD_BYTES, HintState, ObserverKey, TargetHint, TargetKey};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// Mean rate at which a node sends hints. With as much received, at 320 nodes and 870 targets, it
/// leaves room for other control traffic under 2 KB/s.
const BUDGET_BYTES_PER_S: u64 = 300;
/// Bytes that an idle node saves for the moment in which many targets fail at once: the hints of
/// 26 targets by two observers, sent to three peers, take 2.3 KB.
const BUDGET_SAVED_BYTES: u64 = 4_000;
/// Saved bytes that slowdowns do not use, so that failures can be reported at once.
const SLOWDOWN_RESERVE_BYTES: u64 = 3_000;
/// Peers that a change is sent to.
const PEERS: usize = 3;
/// Peers that the renewal of a known failure is sent to. With 26 dead targets, renewals to three
/// would exceed the budget; with two, four nodes in five receive each.
const RENEWAL_PEERS: usize = 2;
/// How long renewals are gathered, so that several share a datagram; hints hold for 2 s. Other
/// received hints go with the next datagram, which the process sends within 100 ms.
const GATHER_RENEWALS_MS: u64 = 400;
/// Hints in one datagram; with at most 20 bytes each it stays under 1,400 bytes.
const HINTS_MAX: usize = 64;
/// Hints that wait at most; the oldest are dropped.
const PENDING_MAX: usize = 512;

/// A datagram of hints, to be sent to random live peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Send {
    /// The hints.
    pub hints: Vec<TargetHint>,
    /// Number of peers that it goes to.
    pub peers: usize,
}

/// A hint that waits, with the time of its observation in place of its age.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    pub(crate) hops: u8,
    pub(crate) observed_at: UnixMs,
    pub(crate) observer: ObserverKey,
    pub(crate) state: HintState,
    pub(crate) target: TargetKey,
}

impl Observation {
    fn hint(&self, now: UnixMs) -> TargetHint {
        TargetHint {
            target: self.target,
            state: self.state,
            observer: self.observer,
            age_ms: u32::try_from(now.since_ms(self.observed_at)).unwrap_or(u32::MAX),
            hops: self.hops,
        }
    }
}

/// How urgent a hint is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Urgency {
    /// A target has changed.
    Change,
    /// A target still fails.
    Renewal,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    due_at: UnixMs,
    observation: Observation,
    peers: usize,
}

/// The hints that wait to be sent, and a token bucket.
#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    pending: IndexMap<(TargetKey, ObserverKey), Pending>,
    refilled_at: Option<UnixMs>,
    /// Thousandths of a byte that may be sent.
    saved_millibytes: u64,
}

impl Default for Outbox {
    fn default() -> Self {
        Self {
            pending: IndexMap::new(),
            refilled_at: None,
            saved_millibytes: BUDGET_SAVED_BYTES * 1_000,
        }
    }
}

impl Outbox {
    /// Adds a hint. It replaces an earlier one by the same observer about the same target.
    pub(crate) fn add(&mut self, now: UnixMs, observation: Observation, urgency: Urgency) {
        let (gather_ms, peers) = match urgency {
            Urgency::Change => (0, PEERS),
            Urgency::Renewal => (GATHER_RENEWALS_MS, RENEWAL_PEERS),
        };
        let pending = Pending { due_at: now.plus(gather_ms), observation, peers };
        self.pending.insert((observation.target, observation.observer), pending);
        if self.pending.len() > PENDING_MAX {
            self.pending.shift_remove_index(0);
        }
    }

    /// Removes the hints about a target.
    pub(crate) fn forget(&mut self, target: TargetKey) {
        self.pending.retain(|(held, _), _| *held != target);
    }

    /// Returns the datagrams that are due, as far as the budget allows. Drops hints older than
    /// `max_age_ms`.
    pub(crate) fn take_due(&mut self, now: UnixMs, max_age_ms: u64) -> Vec<Send> {
        self.refill(now);
        self.pending.retain(|_, held| now.since_ms(held.observation.observed_at) < max_age_ms);
        let mut sends = Vec::new();
        while let Some(send) = self.take_datagram(now) {
            sends.push(send);
        }
        sends
    }

    /// Returns one datagram if any hint is due. Hints that are not due yet share it.
    fn take_datagram(&mut self, now: UnixMs) -> Option<Send> {
        let due = self.pending.values().filter(|held| held.due_at <= now);
        let wanted = due.map(|held| held.peers).max()?;
        // Failing before serving, and the newest first.
        self.pending.sort_by(|_, a, _, b| {
            let order = |held: &Pending| {
                let is_serving = held.observation.state != HintState::Failing;
                (is_serving, std::cmp::Reverse(held.observation.observed_at))
            };
            order(a).cmp(&order(b))
        });
        let saved_bytes = (self.saved_millibytes / 1_000) as usize;
        let (peers, count) = (1..=wanted).rev().find_map(|peers| {
            let count = self.count_within(now, saved_bytes / peers);
            (count > 0).then_some((peers, count))
        })?;
        let hints: Vec<TargetHint> =
            self.pending.drain(..count).map(|(_, held)| held.observation.hint(now)).collect();
        self.spend(&hints, peers);
        Some(Send { hints, peers })
    }

    fn count_within(&self, now: UnixMs, bytes: usize) -> usize {
        let mut left = bytes.saturating_sub(DATAGRAM_OVERHEAD_BYTES);
        let sizes = self.pending.values().map(|held| held.observation.hint(now).encoded_bytes());
        sizes
            .take(HINTS_MAX)
            .take_while(|size| {
                let fits = *size <= left;
                left = left.saturating_sub(*size);
                fits
            })
            .count()
    }

    /// Returns a datagram of as many of the slowdowns as the budget allows, for one peer.
    pub(crate) fn send_slowdowns(
        &mut self,
        now: UnixMs,
        slowdowns: impl Iterator<Item = Observation>,
    ) -> Option<Send> {
        self.refill(now);
        let spare_bytes = (self.saved_millibytes / 1_000).saturating_sub(SLOWDOWN_RESERVE_BYTES);
        let mut left =
            (spare_bytes.min(BUDGET_BYTES_PER_S) as usize).saturating_sub(DATAGRAM_OVERHEAD_BYTES);
        let hints: Vec<TargetHint> = slowdowns
            .map(|observation| observation.hint(now))
            .take_while(|hint| {
                let fits = hint.encoded_bytes() <= left;
                left = left.saturating_sub(hint.encoded_bytes());
                fits
            })
            .collect();
        if hints.is_empty() {
            return None;
        }
        self.spend(&hints, 1);
        Some(Send { hints, peers: 1 })
    }

    fn refill(&mut self, now: UnixMs) {
        let since_ms = self.refilled_at.map_or(0, |refilled_at| now.since_ms(refilled_at));
        let refilled = self.saved_millibytes + since_ms * BUDGET_BYTES_PER_S;
        self.saved_millibytes = refilled.min(BUDGET_SAVED_BYTES * 1_000);
        self.refilled_at = Some(now);
    }

    fn spend(&mut self, hints: &[TargetHint], peers: usize) {
        let hint_bytes: usize = hints.iter().map(TargetHint::encoded_bytes).sum();
        let bytes = (hint_bytes + DATAGRAM_OVERHEAD_BYTES) * peers;
        self.saved_millibytes = self.saved_millibytes.saturating_sub(bytes as u64 * 1_000);
    }
}
