//! How old a node's view of what others write to the store is, and when the node looks for itself.
//!
//! A few nodes watch the store and tell all others what they see. A node that hears of no answer of
//! the store for too long looks itself, whoever else is there, so that a change is in force in time
//! at every node that reaches the store. Nodes look in the order of their ranks, and each group of
//! ranks is twice as large as the one before: while the first ones succeed, a fleet of any size makes
//! a few calls, and where only one node reaches the store it is found after a few steps.

use catkinmast_model::UnixMs;

/// Nodes that watch.
pub const WATCHERS: usize = 2;

/// How soon a change that the store has acknowledged must be in force at the nodes that reach it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangeBound {
    ms: u64,
}

impl ChangeBound {
    /// Takes a bound in milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self { ms }
    }

    /// Returns the bound in milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.ms
    }

    /// Returns how old a watching node's view gets before the store is asked again, in milliseconds.
    pub const fn wait_ms(self) -> u64 {
        self.ms / 2
    }

    /// Returns the age from which a node looks for itself, in milliseconds. What is left of the
    /// bound is for the ranks that come later, the call itself and the word to the others.
    pub const fn stale_ms(self) -> u64 {
        self.ms * 5 / 8
    }

    /// Returns the time between two groups of ranks, in milliseconds: several times what the store
    /// takes to answer and the word to arrive. Nine groups are 512 nodes.
    const fn group_ms(self) -> u64 {
        self.ms * 3 / 100
    }

    /// Returns how long after the first ones a node of this rank looks, in milliseconds.
    const fn turn_ms(self, rank: usize) -> u64 {
        match (rank / WATCHERS).checked_ilog2() {
            Some(group) => self.group_ms() * group as u64,
            None => 0,
        }
    }
}

/// Who told of an answer of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfirmationSource {
    /// This node's own call was answered.
    OwnCall,
    /// Another node that comes before this one in rank.
    EarlierRank,
    /// Another node.
    LaterRank,
}

/// The age of a node's view of the store.
///
/// Only an answer of the store that may not be old makes a view younger. A node passes on what its
/// own calls confirmed and nothing else: two nodes that passed on what they heard would keep each
/// other young.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_field_names, reason = "the suffix says that each is a point in time")]
pub struct Freshness {
    /// When the view was last known to be complete, whoever told it.
    confirmed_at: Option<UnixMs>,
    /// When a call of this node last confirmed it.
    own_at: Option<UnixMs>,
    /// When a node that comes before this one in rank last told of it.
    senior_at: Option<UnixMs>,
}

impl Freshness {
    /// Takes it that the view was complete at a moment.
    pub fn confirm(&mut self, at: UnixMs, by: ConfirmationSource) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        match by {
            ConfirmationSource::OwnCall => self.own_at = self.own_at.max(Some(at)),
            ConfirmationSource::EarlierRank => self.senior_at = self.senior_at.max(Some(at)),
            ConfirmationSource::LaterRank => {}
        }
    }

    /// Forgets how old the view is, because there is something that it lacks.
    pub fn invalidate(&mut self) {
        *self = Self::default();
    }

    /// Returns how long ago the view was last known to be complete, in milliseconds; none if that is
    /// not known.
    pub fn age_ms(&self, now: UnixMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.since_ms(at))
    }

    /// Returns how long ago a call of this node confirmed the view, in milliseconds; none if none
    /// did, or if that is too long ago to be of use to others.
    pub fn reportable_age_ms(&self, now: UnixMs, bound: ChangeBound) -> Option<u64> {
        let own_ms = now.since_ms(self.own_at?);
        (own_ms < bound.stale_ms()).then_some(own_ms)
    }

    /// Returns when a node of this rank looks for itself.
    pub fn next_read_at(&self, rank: usize, bound: ChangeBound) -> UnixMs {
        match self.confirmed_at {
            None => UnixMs(0),
            Some(at) => at.plus(bound.stale_ms() + bound.turn_ms(rank)),
        }
    }

    /// Tells whether a node of this rank watches the store: by rank, or because none of those that
    /// come before it has told of an answer for too long.
    pub fn should_watch(&self, now: UnixMs, rank: usize, bound: ChangeBound) -> bool {
        let is_relieved = self.senior_at.is_some_and(|at| now.since_ms(at) < bound.stale_ms());
        rank < WATCHERS || !is_relieved
    }

    /// Returns for how long a watching node waits for changes, in milliseconds. The wait ends when
    /// the view would get old without an answer.
    pub fn next_wait_ms(&self, now: UnixMs, bound: ChangeBound) -> u64 {
        const SHORTEST_PART: u64 = 4;
        let age_ms = self.own_at.map_or(0, |at| now.since_ms(at));
        let wait_ms = bound.wait_ms();
        wait_ms.saturating_sub(age_ms).max(wait_ms / SHORTEST_PART)
    }
}
