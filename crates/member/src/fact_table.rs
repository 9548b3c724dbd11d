//! The table of facts that a node holds, and the queue of facts to send.
//!
//! A new fact is sent at least a given number of times. The table also keeps a digest in
//! [`DIGEST_BUCKETS`] buckets: tables with the same facts have the same digest, and where digests
//! differ only the facts of the differing buckets are sent. A lost message therefore costs a pull
//! of a few facts, and no change is lost.

use crate::fact::{Fact, FactKey};
use indexmap::IndexMap;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets of the digest. With 64, a pull request fits in one datagram.
pub const DIGEST_BUCKETS: usize = 64;

/// The facts that a node holds.
#[derive(Clone, Debug)]
pub struct FactTable {
    buckets: [u64; DIGEST_BUCKETS],
    facts: IndexMap<FactKey, FactEntry>,
    pending: VecDeque<FactKey>,
}

#[derive(Clone, Debug)]
struct FactEntry {
    bucket: usize,
    fact: Fact,
    hash: u64,
    sends_left: u8,
}

/// The effect of [`FactTable::merge`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The table already holds this fact or a newer one, or the fact is a tombstone of an unknown
    /// subject.
    Unchanged,
    /// The fact was new and is now in the table.
    Applied,
}

impl Default for FactTable {
    fn default() -> Self {
        Self { buckets: [0; DIGEST_BUCKETS], facts: IndexMap::new(), pending: VecDeque::new() }
    }
}

impl FactTable {
    /// Applies `fact` if it is newer than the one held, and queues it to be sent at least `sends`
    /// times; the last push may have more receivers than sends are left.
    pub fn merge(&mut self, fact: Fact, sends: u8) -> MergeOutcome {
        let key = fact.key();
        let fact = match self.facts.get(&key) {
            Some(held) if fact.supersedes(&held.fact) => fact.merged_with(&held.fact),
            // Tombstones for unknown subjects are dropped: otherwise two nodes that delete a
            // tombstone at different times would send it to each other for ever.
            None if !fact.is_gone() => fact,
            _ => return MergeOutcome::Unchanged,
        };
        let (hash, bucket) = hash_and_bucket(&fact, &key);
        let held = FactEntry { bucket, fact, hash, sends_left: sends };
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

    /// Iterates over all facts.
    pub fn iter(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values().map(|held| &held.fact)
    }

    /// Returns the number of facts.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Returns whether the table holds no facts.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Returns the digest of the complete table.
    pub fn digest(&self) -> u64 {
        let rotated = |(index, sum): (usize, &u64)| sum.rotate_left(index as u32);
        self.buckets.iter().enumerate().map(rotated).fold(0, |all, sum| all ^ sum)
    }

    /// Returns the digest of each bucket.
    pub const fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Returns the facts in the buckets whose digest differs from that in `theirs`.
    pub fn differing(&self, theirs: &[u64]) -> Vec<Fact> {
        let differs = |bucket: usize| theirs.get(bucket) != Some(&self.buckets[bucket]);
        let held = self.facts.values().filter(|held| differs(held.bucket));
        held.map(|held| held.fact.clone()).collect()
    }

    /// Returns whether any fact is still to be sent.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns pending facts of at most `budget_bytes` in total, counting each as sent `copies`
    /// times. A fact that exceeds the budget stays at the front of the queue and ends the batch.
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

    /// Removes a fact, e.g. that of a node whose tombstone has expired.
    pub fn forget(&mut self, key: &FactKey) {
        if let Some(held) = self.facts.swap_remove(key) {
            self.buckets[held.bucket] ^= held.hash;
        }
    }
}

/// Returns the encoded size of a fact.
pub(crate) fn size_bytes(fact: &Fact) -> usize {
    postcard::experimental::serialized_size(fact).unwrap_or(usize::MAX / 2)
}

/// Returns a fact's hash and its bucket in the digest. The bucket depends on the key alone.
///
/// Tombstones hash to 0, as if absent: nodes delete them at different times, and a table that
/// still holds one must have the same digest as one that does not.
fn hash_and_bucket(fact: &Fact, key: &FactKey) -> (u64, usize) {
    // The debug text of the key decides the bucket on every node: `FactKey` and the types in it
    // must keep their names.
    let key_text = format!("{key:?}");
    let bucket = (xxh3_64(key_text.as_bytes()) % DIGEST_BUCKETS as u64) as usize;
    if fact.is_gone() {
        return (0, bucket);
    }
    let encoded = postcard::to_stdvec(fact).unwrap_or_default();
    (xxh3_64(&encoded), bucket)
}
