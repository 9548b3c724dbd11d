//! The trees over which a message reaches all nodes.
//!
//! The sender divides the hash space of the nodes' names into as many spans as it sends copies, and
//! hands each span with its copy to one node in it, the strongest. That node passes the message on
//! within its span in the same way. A span is covered by the nodes that its holder knows, so the
//! views of two nodes need not agree, and a node that its sender does not know yet is reached by
//! one that does. The span of a node excludes the nodes that have passed the message on to it, so no
//! message goes round in a circle.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Copies of a message that one node sends: 2,000 nodes are reached in three steps.
pub const FANOUT: usize = 16;

/// A part of the hash space.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HashSpan {
    /// The first hash in it.
    pub first: u64,
    /// The last hash in it.
    pub last: u64,
}

impl HashSpan {
    /// The whole hash space.
    pub const ALL: Self = Self { first: 0, last: u64::MAX };

    /// Returns the parts of this span before and after a hash.
    fn without(self, hash: u64) -> [Option<Self>; 2] {
        let Self { first, last } = self;
        if hash < first || hash > last {
            return [Some(self), None];
        }
        let before = (hash > first).then(|| Self { first, last: hash - 1 });
        let after = (hash < last).then(|| Self { first: hash + 1, last });
        [before, after]
    }

    fn of<'a>(&self, nodes: &'a [Recipient]) -> &'a [Recipient] {
        let begin = nodes.partition_point(|node| node.hash < self.first);
        let end = nodes.partition_point(|node| node.hash <= self.last);
        nodes.get(begin..end).unwrap_or_default()
    }
}

/// A node that a message may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Recipient {
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Its processor capacity, in thousandths of a core.
    pub capacity_millicores: u32,
    /// The hash of its name.
    pub hash: u64,
}

/// A copy of a message to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Delegation {
    /// The part of the hash space in which the receiver passes the message on.
    pub span: HashSpan,
    /// The receiver.
    pub to: SocketAddr,
}

/// Returns the copies that the node with the hash `own_hash` sends so that a message reaches all
/// other nodes of a span. `nodes` is sorted by hash. `salt` decides among equally strong nodes: with
/// a salt of its own each origin has its own tree, and one dead node does not cut off the same nodes
/// from all origins.
pub fn delegate(nodes: &[Recipient], span: HashSpan, own_hash: u64, salt: u64) -> Vec<Delegation> {
    let parts = span.without(own_hash);
    let count: usize = parts.iter().flatten().map(|part| part.of(nodes).len()).sum();
    let chunk_length = count.div_ceil(FANOUT).max(1);
    parts.iter().flatten().flat_map(|part| split(nodes, *part, chunk_length, salt)).collect()
}

fn split(nodes: &[Recipient], span: HashSpan, length: usize, salt: u64) -> Vec<Delegation> {
    let chunks: Vec<&[Recipient]> = span.of(nodes).chunks(length).collect();
    let mut first = span.first;
    let mut delegations = Vec::with_capacity(chunks.len());
    for (index, chunk) in chunks.iter().enumerate() {
        let next = chunks.get(index + 1).and_then(|next| next.first());
        let last = next.map_or(span.last, |next| next.hash.saturating_sub(1));
        if let Some(strongest) = chunk.iter().min_by_key(|node| strength(node, salt)) {
            let span = HashSpan { first, last };
            delegations.push(Delegation { span, to: strongest.address });
        }
        first = last.saturating_add(1);
    }
    delegations
}

fn strength(node: &Recipient, salt: u64) -> (Reverse<u32>, u64) {
    (Reverse(node.capacity_millicores), xxh3_64_with_seed(&node.hash.to_le_bytes(), salt))
}
