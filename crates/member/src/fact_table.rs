//! The facts a node holds, and which of them to send.
//!
//! A fact that is new to the node is sent on a few times and then rests. Facts are also summed
//! into a digest of [`DIGEST_BUCKETS`] parts: two boards with the same facts have the same digest, and
//! where they differ only the differing parts travel. Loss of a message therefore costs a pull of
//! a few facts, not a lost change.

use crate::fact::{Fact, FactKey};
use indexmap::IndexMap;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// Parts of the digest. 64 parts keep a pull request in one datagram.
pub const DIGEST_BUCKETS: usize = 64;

/// Facts held by a node.
#[derive(Clone, Debug)]
pub struct FactTable {
    buckets: [u64; DIGEST_BUCKETS],
    facts: IndexMap<FactKey, Held>,
    pending: VecDeque<FactKey>,
}

#[derive(Clone, Debug)]
struct Held {
    bucket: usize,
    fact: Fact,
    hash: u64,
    sends_left: u8,
}

/// What became of a fact that was offered to a board.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The board already knew this or something newer.
    Unchanged,
    /// The board took it.
    Applied,
}

impl Default for FactTable {
    fn default() -> Self {
        Self { buckets: [0; DIGEST_BUCKETS], facts: IndexMap::new(), pending: VecDeque::new() }
    }
}

impl FactTable {
    /// Takes a fact if it is newer than the one held.
    pub fn merge(&mut self, fact: Fact, sends: u8) -> MergeOutcome {
        let key = fact.key();
        let fact = match self.facts.get(&key) {
            Some(held) if fact.supersedes(&held.fact) => fact.merged_with(&held.fact),
            // Else two nodes that forget at different times would tell each other for ever.
            None if !fact.is_gone() => fact,
            _ => return MergeOutcome::Unchanged,
        };
        let (hash, bucket) = place(&fact, &key);
        let held = Held { bucket, fact, hash, sends_left: sends };
        self.buckets[bucket] ^= hash;
        let old = self.facts.insert(key.clone(), held);
        match old {
            Some(old) => {
                self.buckets[old.bucket] ^= old.hash;
                if old.sends_left == 0 {
                    self.pending.push_back(key);
                }
            }
            None => self.pending.push_back(key),
        }
        MergeOutcome::Applied
    }

    /// Returns the fact about `key`.
    pub fn get(&self, key: &FactKey) -> Option<&Fact> {
        self.facts.get(key).map(|held| &held.fact)
    }

    /// Walks through all facts.
    pub fn iter(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values().map(|held| &held.fact)
    }

    /// Returns how many facts are held.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Tells whether no fact is held.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Returns the digest of the whole board.
    pub fn digest(&self) -> u64 {
        let mixed = |(index, sum): (usize, &u64)| sum.rotate_left(index as u32);
        self.buckets.iter().enumerate().map(mixed).fold(0, |all, sum| all ^ sum)
    }

    /// Returns the digest's parts.
    pub const fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Returns the facts in parts that differ from `theirs`.
    pub fn differing(&self, theirs: &[u64]) -> Vec<Fact> {
        let differs = |bucket: usize| theirs.get(bucket) != Some(&self.buckets[bucket]);
        let held = self.facts.values().filter(|held| differs(held.bucket));
        held.map(|held| held.fact.clone()).collect()
    }

    /// Tells whether some fact still waits to be sent on.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes fresh facts of at most `budget_bytes` in all, each counted as sent `copies` times.
    pub fn take_pending(&mut self, budget_bytes: usize, copies: u8) -> Vec<Fact> {
        let mut taken = Vec::new();
        let mut spent_bytes = 0;
        for _ in 0..self.pending.len() {
            let Some(key) = self.pending.pop_front() else { break };
            let Some(held) = self.facts.get_mut(&key) else { continue };
            let size_bytes = size_bytes(&held.fact);
            if spent_bytes + size_bytes > budget_bytes {
                self.pending.push_front(key);
                break;
            }
            spent_bytes += size_bytes;
            taken.push(held.fact.clone());
            held.sends_left = held.sends_left.saturating_sub(copies);
            if held.sends_left > 0 {
                self.pending.push_back(key);
            }
        }
        taken
    }

    /// Forgets a fact, e.g. a node that has been gone for long.
    pub fn forget(&mut self, key: &FactKey) {
        if let Some(held) = self.facts.swap_remove(key) {
            self.buckets[held.bucket] ^= held.hash;
        }
    }
}

/// Returns the size of a fact on the wire.
pub(crate) fn size_bytes(fact: &Fact) -> usize {
    postcard::experimental::serialized_size(fact).unwrap_or(usize::MAX / 2)
}

/// A fact's hash, and the part of the digest it belongs to. The part depends on the key alone.
///
/// What is gone counts as nothing: nodes forget it at different times, and a board that still
/// holds it must not look different from one that does not.
fn place(fact: &Fact, key: &FactKey) -> (u64, usize) {
    let about = format!("{key:?}");
    let bucket = (xxh3_64(about.as_bytes()) % DIGEST_BUCKETS as u64) as usize;
    if fact.is_gone() {
        return (0, bucket);
    }
    let encoded = postcard::to_stdvec(fact).unwrap_or_default();
    (xxh3_64(&encoded), bucket)
}
