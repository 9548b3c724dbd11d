//! Which node does what one node does for all.
//!
//! It answers fleets of unequal machines. The owner of a model's batches handles some 3,000 events a
//! second at the start of a step; on an eighth of a core it falls behind, texts come late and
//! targets look slow, while a node with half a core stands by. So duties go to the strongest nodes,
//! and among equals by hash, so that each duty finds another one.

use crate::fact::NodeFact;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// A node's place for a duty; the lowest is first.
///
/// All who see the same nodes agree on the order without a word, and a node that comes or goes
/// changes little of it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DutyRank {
    capacity_millicores: Reverse<u32>,
    draw: u64,
}

impl DutyRank {
    /// Returns a node's place for a duty.
    pub fn of(node: &NodeFact, duty: &str) -> Self {
        let draw = xxh3_64(format!("{duty}/{}", node.name).as_bytes());
        Self { capacity_millicores: Reverse(node.capacity_millicores), draw }
    }
}
