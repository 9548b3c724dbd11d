//! The order in which nodes are preferred as holders of a duty.
//!
//! A duty is a job that one node does for all nodes under a lease. Nodes may differ in processor
//! capacity, so duties go to the nodes with the most, and among equals are spread by hash. For
//! example, the owner of a model's batches handles about 3,000 events a second at the start of a
//! step. On an eighth of a core it falls behind: generated output arrives late and targets appear
//! slow, while a node with half a core is idle.

use crate::fact::NodeFact;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// A node's rank for a duty; the lowest rank is preferred.
///
/// Nodes that see the same membership compute the same order without communication, and a node
/// that joins or leaves changes little of it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DutyRank {
    capacity_millicores: Reverse<u32>,
    tie_break: u64,
}

impl DutyRank {
    /// Computes a node's rank for a duty.
    pub fn of(node: &NodeFact, duty: &str) -> Self {
        let tie_break = xxh3_64(format!("{duty}/{}", node.name).as_bytes());
        Self { capacity_millicores: Reverse(node.capacity_millicores), tie_break }
    }
}
