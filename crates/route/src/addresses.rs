//! Which of our addresses a caller should use.
//!
//! There is no balancer: callers ask any node, keep the answer until it expires, and connect
//! directly. Own data centre first, then the same region, then the rest; a leaving or suspect
//! node is never named. The expiry is absolute, since a node that leaves must serve until the
//! last answer that named it has expired.

use crate::ticket::Ticket;
use catkinmast_member::{NodeFact, NodeState};
use catkinmast_model::{Name, UnixMs};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Weight of a node in the caller's data centre.
const WEIGHT_NEAR: u32 = 100;
/// Weight of a node in the same region.
const WEIGHT_REGION: u32 = 10;
/// Weight of a node elsewhere.
const WEIGHT_FAR: u32 = 1;

/// One address to use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressEntry {
    /// Where to connect.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Name,
    /// The node's name.
    pub node: Name,
    /// The beginning of a ticket for calls that run at most once.
    pub ticket_prefix: String,
    /// Its share among all entries.
    pub weight: u32,
}

/// The answer about addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressAnswer {
    /// The addresses, nearest first.
    pub addresses: Vec<AddressEntry>,
    /// When to ask again.
    pub expires_at_unix_ms: UnixMs,
}

/// Composes the answer for a caller in `near`.
///
/// `region_of` tells a data centre's region; `ticket_memory_ms` bounds a ticket's use.
pub fn address_answer<'n>(
    now: UnixMs,
    nodes: impl Iterator<Item = &'n NodeFact>,
    near: &Name,
    region_of: impl Fn(&Name) -> Option<Name>,
    address_ttl_ms: u64,
    ticket_memory_ms: u64,
) -> AddressAnswer {
    let home = region_of(near);
    let tickets_expire_at = now.plus(ticket_memory_ms / 2);
    let mut addresses: Vec<AddressEntry> = nodes
        .filter(|node| node.state == NodeState::Live)
        .map(|node| AddressEntry {
            address: node.http,
            data_centre: node.data_centre.clone(),
            node: node.name.clone(),
            ticket_prefix: Ticket::prefix(&node.name, node.incarnation, tickets_expire_at),
            weight: if node.data_centre == *near {
                WEIGHT_NEAR
            } else if home.is_some() && region_of(&node.data_centre) == home {
                WEIGHT_REGION
            } else {
                WEIGHT_FAR
            },
        })
        .collect();
    addresses.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.node.cmp(&b.node)));
    AddressAnswer { addresses, expires_at_unix_ms: now.plus(address_ttl_ms) }
}
