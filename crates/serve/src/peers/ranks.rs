//! Ranks of nodes, by which the nodes that do a duty or watch the store are chosen.

use super::{Owner, to_node_name, with_members};
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_feed::Recipient;
use catkinmast_member::{DutyRank, Fact, NodeFact, NodeState, OwnerFact};
use catkinmast_model::Name;
use catkinmast_usage::UsageSource;
use indexmap::{IndexMap, IndexSet};
use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Ranks that are kept; a batch that is searched for counts as a duty of its own.
const RANKS_MAX: usize = 64;

/// This node's ranks, as long as no fact has changed. They are asked for several times a second, and
/// each takes a hash of every node's name.
#[derive(Debug, Default)]
pub(crate) struct RankCache {
    ranks: IndexMap<String, usize>,
    /// The digest of the facts that the ranks come from.
    version: u64,
}

/// Returns this node's rank for a duty among the live nodes; none before it has joined.
pub(crate) fn rank_for<P: Platform>(node: &Node<P>, duty: &str) -> Option<usize> {
    let members = node.members.borrow();
    let members = members.as_ref()?;
    let version = members.facts().digest();
    let mut cache = node.ranks.borrow_mut();
    if cache.version != version {
        *cache = RankCache { ranks: IndexMap::new(), version };
    }
    if let Some(rank) = cache.ranks.get(duty) {
        return Some(*rank);
    }
    let mine = DutyRank::of(members.me(), duty);
    let live = members.nodes().filter(|peer| peer.state == NodeState::Live);
    let rank = live.filter(|peer| DutyRank::of(peer, duty) < mine).count();
    if cache.ranks.len() < RANKS_MAX {
        cache.ranks.insert(duty.to_owned(), rank);
    }
    Some(rank)
}

/// Returns whether the node at an address ranks before this one for a duty.
pub(crate) fn ranks_before<P: Platform>(node: &Node<P>, address: SocketAddr, duty: &str) -> bool {
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return false };
    let mine = DutyRank::of(members.me(), duty);
    let peer = members.nodes().find(|peer| peer.control == address);
    peer.is_some_and(|peer| DutyRank::of(peer, duty) < mine)
}

/// Returns whether this node ranks first for a duty among the live nodes.
pub(crate) fn is_first_for<P: Platform>(node: &Node<P>, duty: &str) -> bool {
    rank_for(node, duty) == Some(0)
}

/// Returns the address of the node that ranks first for a duty; none if it is this one or
/// no other live node is known.
pub(crate) fn first_for<P: Platform>(node: &Node<P>, duty: &str) -> Option<SocketAddr> {
    if is_first_for(node, duty) {
        return None;
    }
    successor_for(node, duty).map(|owner| owner.address)
}

/// Returns the node that ranks first for a duty among the other live nodes.
pub(crate) fn successor_for<P: Platform>(node: &Node<P>, duty: &str) -> Option<Owner> {
    let members = node.members.borrow();
    let members = members.as_ref()?;
    let live = members.peers().filter(|peer| peer.state == NodeState::Live);
    let first = live.min_by_key(|peer| DutyRank::of(peer, duty))?;
    Some(owner_of(first))
}

/// Returns the `count` nodes that rank first for a duty, this one included, and the duty's holder.
pub(crate) fn duty_candidates<P: Platform>(node: &Node<P>, duty: &str, count: usize) -> Vec<Owner> {
    let holder = holder_of(node, &to_node_name(duty));
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return Vec::new() };
    let mut live: Vec<&NodeFact> =
        members.nodes().filter(|peer| peer.state == NodeState::Live).collect();
    live.sort_by_key(|peer| DutyRank::of(peer, duty));
    let is_wanted = |(rank, peer): &(usize, &NodeFact)| {
        *rank < count || holder.as_ref().is_some_and(|holder| *holder == peer.name)
    };
    let wanted = live.into_iter().enumerate().filter(is_wanted);
    wanted.map(|(_, peer)| owner_of(peer)).collect()
}

/// Returns the names of the `count` nodes that rank first for a duty among all known nodes, dead
/// ones included.
pub(crate) fn first_known_for<P: Platform>(
    node: &Node<P>,
    duty: &str,
    count: usize,
) -> Vec<String> {
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return Vec::new() };
    let mut known: Vec<&NodeFact> = members.nodes().collect();
    known.sort_by_cached_key(|peer| DutyRank::of(peer, duty));
    known.into_iter().take(count).map(|peer| peer.name.as_str().to_owned()).collect()
}

/// Returns the names of all known nodes, dead ones included.
pub(crate) fn known_names<P: Platform>(node: &Node<P>) -> IndexSet<String> {
    let registered = node.registered.borrow();
    let mut names: IndexSet<String> =
        registered.keys().map(|name| name.as_str().to_owned()).collect();
    if let Some(members) = node.members.borrow().as_ref() {
        names.extend(members.nodes().map(|peer| peer.name.as_str().to_owned()));
    }
    names
}

pub(super) fn owner_of(peer: &NodeFact) -> Owner {
    Owner { address: peer.control, incarnation: peer.incarnation, node: peer.name.clone() }
}

/// Returns the incarnations that may serve callers now, and so may report usage.
pub(crate) fn usage_sources<P: Platform>(node: &Node<P>) -> Vec<UsageSource> {
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return Vec::new() };
    let serving = members.nodes().filter(|peer| peer.state != NodeState::Gone);
    serving
        .map(|peer| UsageSource { incarnation: peer.incarnation, node: peer.name.clone() })
        .collect()
}

/// Returns the announced holder of a duty, if it is neither leaving nor gone.
pub(crate) fn holder_of<P: Platform>(node: &Node<P>, duty: &Name) -> Option<Name> {
    let members = node.members.borrow();
    let members = members.as_ref()?;
    let fact = members.facts().iter().find_map(|fact| match fact {
        // The holder of a duty is announced like the owner of a trainer, with the duty's name.
        Fact::Owner(owner) if owner.trainer == *duty => Some(owner.clone()),
        _ => None,
    })?;
    let is_alive = members.nodes().any(|peer| {
        peer.name == fact.node && !matches!(peer.state, NodeState::Gone | NodeState::Leaving)
    });
    is_alive.then_some(fact.node)
}

/// Announces the holder of a duty to all nodes.
pub(crate) fn announce_holder<P: Platform>(node: &Node<P>, fact: OwnerFact) {
    with_members(node, |members, now| members.observe(now, Fact::Owner(fact)));
}

/// Returns the other nodes that are not gone, sorted by the hashes of their names, and this node's
/// own hash; none before it has joined. A node that is suspected or leaving is the weakest, so that
/// it passes messages on only where there is no other.
pub(crate) fn recipients<P: Platform>(node: &Node<P>) -> Option<(Rc<[Recipient]>, u64)> {
    let members = node.members.borrow();
    let members = members.as_ref()?;
    let own_hash = name_hash(&members.me().name);
    let version = members.facts().digest();
    let mut cached = node.recipients.borrow_mut();
    if let Some((of, recipients)) = cached.as_ref()
        && *of == version
    {
        return Some((Rc::clone(recipients), own_hash));
    }
    let capacity = |peer: &NodeFact| match peer.state {
        NodeState::Live => peer.capacity_millicores,
        _ => 0,
    };
    let mut recipients: Vec<Recipient> = members
        .peers()
        .map(|peer| Recipient {
            address: peer.control,
            capacity_millicores: capacity(peer),
            hash: name_hash(&peer.name),
        })
        .collect();
    recipients.sort_unstable_by_key(|recipient| recipient.hash);
    let recipients: Rc<[Recipient]> = recipients.into();
    *cached = Some((version, Rc::clone(&recipients)));
    Some((recipients, own_hash))
}

fn name_hash(name: &Name) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// Returns this node's place among the nodes that were registered when it started, in an order by
/// hash. It is known before any other node is heard of.
pub(crate) fn registered_rank<P: Platform>(node: &Node<P>, duty: &str) -> usize {
    let place = |name: &str| xxh3_64(format!("{duty}/{name}").as_bytes());
    let own = to_node_name(&node.settings().node);
    let own_place = place(own.as_str());
    let registered = node.registered.borrow();
    registered.keys().filter(|name| place(name.as_str()) < own_place).count()
}
