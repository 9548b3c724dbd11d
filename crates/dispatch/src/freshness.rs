//! Tracks how old a node's view of the store is, and when the node must read the store itself.
//!
//! A few nodes watch the store and report what they see to all others. A node that receives no
//! report of a store answer for too long reads the store itself, whatever the other nodes do, so
//! that a change is in force in time at every node that reaches the store. Nodes do so in the order
//! of their ranks: the first four read at once, and after them each group of ranks is as large as
//! all before it together. While the first nodes succeed, the others make no call, and if only one
//! node of a fleet reaches the store, it tries after a few steps.

use catkinmast_model::UnixMs;

/// Number of nodes that watch the store.
pub const WATCHERS: usize = 2;

/// How soon a change that the store has acknowledged must be in force at the nodes that reach it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangeBound {
    ms: u64,
}

impl ChangeBound {
    /// Creates a bound from milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self { ms }
    }

    /// Returns the bound in milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.ms
    }

    /// Returns how long a watching node's call to the store waits for a change, in milliseconds.
    pub const fn watch_wait_ms(self) -> u64 {
        self.ms / 2
    }

    /// Returns the age from which a node reads the store itself, in milliseconds. The rest of the
    /// bound is for ranks that come later, the call itself and the report to the others.
    pub const fn stale_ms(self) -> u64 {
        self.ms * 5 / 8
    }

    /// Returns the time without an answer of the store to any node from which the store counts as
    /// away, in milliseconds. Nodes read it themselves well before, so that it is not mistaken for
    /// away while it answers; a live target's entry lapses only in a longer outage.
    pub const fn outage_min_ms(self) -> u64 {
        self.ms * 15 / 16
    }

    /// Returns the time between two groups of ranks, in milliseconds. It is several times what the
    /// store takes to answer and a report to arrive. After seven intervals, 512 nodes have tried.
    const fn rank_group_interval_ms(self) -> u64 {
        self.ms * 3 / 100
    }

    /// Returns how long after the first nodes a node of this rank reads the store, in milliseconds.
    const fn rank_delay_ms(self, rank: usize) -> u64 {
        match (rank / WATCHERS).checked_ilog2() {
            Some(group) => self.rank_group_interval_ms() * group as u64,
            None => 0,
        }
    }
}

/// Where a confirmation of the view comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfirmationSource {
    /// A call of this node was answered.
    OwnCall,
    /// A node with an earlier rank reported an answer.
    EarlierRank,
    /// Another node, not known to have an earlier rank, reported an answer.
    OtherRank,
}

/// The age of a node's view of the store.
///
/// Only an answer of the store that is known to be current makes a view younger. A node reports
/// only what its own calls confirmed: two nodes that reported what they received would confirm each
/// other's views for ever.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_field_names, reason = "the suffix says that each is a point in time")]
pub struct Freshness {
    /// When the view was last known to be complete, from any source.
    confirmed_at: Option<UnixMs>,
    /// When a call of this node last confirmed the view.
    own_call_at: Option<UnixMs>,
    /// When a node with an earlier rank last reported a confirmation.
    earlier_at: Option<UnixMs>,
}

impl Freshness {
    /// Records that the view was complete at `at`.
    pub fn confirm(&mut self, at: UnixMs, by: ConfirmationSource) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        match by {
            ConfirmationSource::OwnCall => self.own_call_at = self.own_call_at.max(Some(at)),
            ConfirmationSource::EarlierRank => self.earlier_at = self.earlier_at.max(Some(at)),
            ConfirmationSource::OtherRank => {}
        }
    }

    /// Forgets how old the view is and who confirmed it, because something is missing from it. The
    /// node then watches the store itself until a node with an earlier rank reports an answer.
    pub fn invalidate(&mut self) {
        *self = Self::default();
    }

    /// Returns how long ago the view was last known to be complete, in milliseconds. `None` if that
    /// is unknown.
    pub fn age_ms(&self, now: UnixMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.since_ms(at))
    }

    /// Returns how long ago a call of this node confirmed the view, in milliseconds. `None` if none
    /// did, or too long ago to be of use to others.
    pub fn reportable_age_ms(&self, now: UnixMs, bound: ChangeBound) -> Option<u64> {
        let own_ms = now.since_ms(self.own_call_at?);
        (own_ms < bound.stale_ms()).then_some(own_ms)
    }

    /// Returns when a node of this rank must read the store itself.
    pub fn next_read_at(&self, rank: usize, bound: ChangeBound) -> UnixMs {
        match self.confirmed_at {
            None => UnixMs(0),
            Some(at) => at.plus(bound.stale_ms() + bound.rank_delay_ms(rank)),
        }
    }

    /// Returns whether a node of this rank watches the store: because of its rank, or because no
    /// node with an earlier rank has reported an answer for too long.
    pub fn should_watch(&self, now: UnixMs, rank: usize, bound: ChangeBound) -> bool {
        let is_covered = self.earlier_at.is_some_and(|at| now.since_ms(at) < bound.stale_ms());
        rank < WATCHERS || !is_covered
    }

    /// Returns how long a watching node's next call waits for changes, in milliseconds. The longer
    /// ago its own last answer was, the shorter is the wait, so that calls end before the view
    /// becomes stale; but it is at least a quarter of the usual wait, so that a slow store is not
    /// polled without pause.
    pub fn next_wait_ms(&self, now: UnixMs, bound: ChangeBound) -> u64 {
        const WAIT_MIN_DIVISOR: u64 = 4;
        let age_ms = self.own_call_at.map_or(0, |at| now.since_ms(at));
        let wait_ms = bound.watch_wait_ms();
        wait_ms.saturating_sub(age_ms).max(wait_ms / WAIT_MIN_DIVISOR)
    }
}
