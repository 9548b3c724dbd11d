//! Which node does a shared duty: rank by hash, so that all who see the same fleet agree.
//!
//! The rank is a hint that keeps most nodes from trying; the lease in the key-value service is
//! what makes a duty exclusive.

use catkinmast_member::{NodeFact, NodeState};
use catkinmast_model::Name;
use catkinmast_route::rendezvous_rank;

/// Tells whether `me` is the first of the live nodes for a duty.
pub(crate) fn ranks_first<'n>(
    duty: &str,
    me: &Name,
    nodes: impl Iterator<Item = &'n NodeFact>,
) -> bool {
    let live = nodes.filter(|node| node.state == NodeState::Live);
    let first = live.min_by_key(|node| rendezvous_rank(duty, node.name.as_str()));
    first.is_some_and(|node| node.name == *me)
}
