//! Selects the node that should take a duty, a job that one node does for all nodes under a lease.
//!
//! Nodes are ranked by hash, so that all nodes that see the same fleet agree. The rank is only a
//! hint that keeps most nodes from requesting the lease; the lease in the key-value service is what
//! makes a duty exclusive.

use catkinmast_member::{NodeFact, NodeState};
use catkinmast_model::Name;
use catkinmast_route::rendezvous_rank;

/// Returns whether `me` ranks first among the live nodes for a duty.
pub(crate) fn ranks_first<'n>(
    duty: &str,
    me: &Name,
    nodes: impl Iterator<Item = &'n NodeFact>,
) -> bool {
    let live = nodes.filter(|node| node.state == NodeState::Live);
    let first = live.min_by_key(|node| rendezvous_rank(duty, node.name.as_str()));
    first.is_some_and(|node| node.name == *me)
}
