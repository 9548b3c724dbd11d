//! The node addresses that a caller should use.
//!
//! There is no load balancer: callers ask any node for addresses, keep the answer until it expires,
//! and connect directly. Nodes of the caller's data centre come first, then those of its region,
//! then the rest; leaving and suspect nodes are left out. The expiry is absolute, because a leaving
//! node must serve until the last answer that contains its address has expired.

use crate::ticket::Ticket;
use catkinmast_member::{NodeFact, NodeState};
use catkinmast_model::{Name, UnixMs};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Weight of a node in the caller's data centre.
const WEIGHT_NEAR: u32 = 100;
/// Weight of a node in the same region.
const WEIGHT_REGION: u32 = 10;
/// Weight of a node in another region.
const WEIGHT_FAR: u32 = 1;

/// One address in an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressEntry {
    /// Address for callers.
    pub address: SocketAddr,
    /// Data centre of the node.
    pub data_centre: Name,
    /// The node's name.
    pub node: Name,
    /// The prefix of a ticket for calls that run at most once; the caller appends its own part.
    pub ticket_prefix: String,
    /// Relative share of calls that the node should get.
    pub weight: u32,
}

/// The answer to a request for addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressAnswer {
    /// The addresses, nearest first.
    pub addresses: Vec<AddressEntry>,
    /// When the answer expires and the caller should ask again.
    pub expires_at_unix_ms: UnixMs,
}

/// Builds the answer for a caller in the data centre `near`.
///
/// `region_of` returns the region of a data centre. `ticket_retention_ms` is how long nodes keep
/// tickets. Tickets expire after half of it.
pub fn address_answer<'n>(
    now: UnixMs,
    nodes: impl Iterator<Item = &'n NodeFact>,
    near: &Name,
    region_of: impl Fn(&Name) -> Option<Name>,
    address_ttl_ms: u64,
    ticket_retention_ms: u64,
) -> AddressAnswer {
    let near_region = region_of(near);
    let tickets_expire_at = now.plus(ticket_retention_ms / 2);
    let mut addresses: Vec<AddressEntry> = nodes
        .filter(|node| node.state == NodeState::Live)
        .map(|node| AddressEntry {
            address: node.http,
            data_centre: node.data_centre.clone(),
            node: node.name.clone(),
            ticket_prefix: Ticket::prefix(&node.name, node.incarnation, tickets_expire_at),
            weight: if node.data_centre == *near {
                WEIGHT_NEAR
            } else if near_region.is_some() && region_of(&node.data_centre) == near_region {
                WEIGHT_REGION
            } else {
                WEIGHT_FAR
            },
        })
        .collect();
    addresses.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.node.cmp(&b.node)));
    AddressAnswer { addresses, expires_at_unix_ms: now.plus(address_ttl_ms) }
}
