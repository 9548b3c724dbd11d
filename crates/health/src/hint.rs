//! What nodes report to each other about targets.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Fixed part of a datagram with hints, in bytes: the frame, the datagram's kind and the count.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 20;

/// Identifies a target in messages: a hash of its id.
///
/// Ids have up to some forty bytes and would take most of the 300 B/s that a node may send. Two of
/// 870 targets share a hash with a probability of one in 10,000; then only the first is tracked.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetKey(u32);

impl TargetKey {
    /// Returns the key of a target.
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()) as u32)
    }
}

/// Identifies a node in messages: a hash of its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ObserverKey(u32);

impl ObserverKey {
    /// Returns the key of a node.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }

    /// Returns a hash of the node and a target. The node with the lowest one ranks first for
    /// checking whether the target has returned.
    pub fn rank_hash(self, target: TargetKey) -> u64 {
        let both = u64::from(self.0) << 32 | u64::from(target.0);
        xxh3_64(&both.to_le_bytes())
    }
}

/// What an observer has seen of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum HintState {
    /// A connection failed, or an answer was lost or not the target's own.
    Failing,
    /// The target answered after a failure.
    Serving,
    /// How slow the target is.
    Slowdown {
        /// Its latency relative to the mean of the same route, in tenths.
        tenths: u16,
        /// Number of recent observations.
        observations: u16,
    },
}

/// An observation of a target by a node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TargetHint {
    /// The target.
    pub target: TargetKey,
    /// What was seen.
    pub state: HintState,
    /// The node that saw it.
    pub observer: ObserverKey,
    /// How long before the datagram was sent.
    pub age_ms: u32,
    /// Number of nodes that have passed it on.
    pub hops: u8,
}

impl TargetHint {
    /// Returns the encoded size, in bytes: integers take one byte for each seven bits.
    pub fn encoded_bytes(&self) -> usize {
        let state_bytes = match self.state {
            HintState::Failing | HintState::Serving => 1,
            HintState::Slowdown { tenths, observations } => {
                1 + integer_bytes(u32::from(tenths)) + integer_bytes(u32::from(observations))
            }
        };
        let keys_bytes = integer_bytes(self.target.0) + integer_bytes(self.observer.0);
        keys_bytes + state_bytes + integer_bytes(self.age_ms) + 1
    }
}

const fn integer_bytes(value: u32) -> usize {
    let bits = (u32::BITS - value.leading_zeros()) as usize;
    if bits == 0 { 1 } else { bits.div_ceil(7) }
}
