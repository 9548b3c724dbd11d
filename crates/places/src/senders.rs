//! Which nodes may send to a cold target.
//!
//! The limit of a cold target holds for all nodes together, also for those that are cut off from
//! each other, so nobody can hand out permits. Instead, a fixed set of nodes may send to a target,
//! and each has an equal share of the limit. The set depends on the names of all nodes that are
//! known, dead ones included: a node that cannot reach the others still computes the same set, and
//! does not take over the shares of those that it believes dead.

use xxhash_rust::xxh3::xxh3_64;

/// A node's share of the limit of a cold target; 0 if it may not send there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdShare {
    /// Requests that the node may send in a second.
    pub requests_per_s: u32,
}

/// The nodes that may send to targets of a service, on a hash ring.
#[derive(Clone, Debug, Default)]
pub struct SenderRing {
    /// Position and name of each node, in order.
    points: Vec<(u64, String)>,
}

impl SenderRing {
    /// Places nodes on a ring.
    pub fn new<'a>(nodes: impl Iterator<Item = &'a str>) -> Self {
        let mut points: Vec<(u64, String)> =
            nodes.map(|name| (xxh3_64(name.as_bytes()), name.to_owned())).collect();
        points.sort_unstable();
        points.dedup();
        Self { points }
    }

    /// Returns the share of a node in the limit of a target: the nodes that follow the target on
    /// the ring have equal shares, and there are as many as the limit has whole requests, so that
    /// the sum never exceeds it.
    pub fn share(&self, target: &str, node: &str, limit_per_s: u32) -> ColdShare {
        let senders = self.points.len().min(limit_per_s as usize);
        if senders == 0 {
            return ColdShare { requests_per_s: 0 };
        }
        let start_hash = xxh3_64(target.as_bytes());
        let start = self.points.partition_point(|(hash, _)| *hash < start_hash);
        let count = self.points.len();
        let is_sender = (0..senders).any(|offset| self.points[(start + offset) % count].1 == node);
        let equal_share = limit_per_s / senders as u32;
        ColdShare { requests_per_s: if is_sender { equal_share } else { 0 } }
    }
}
