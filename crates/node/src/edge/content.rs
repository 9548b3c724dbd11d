//! Transfer of samples' tokens between nodes: copies, and reads for a trainer.

use crate::edge::holdings::{Content, ContentKey};
use crate::edge::peer::{PeerReply, PeerRequest, call_peer};
use crate::shared::{Shared, lock};
use catkinmast_member::{NodeFact, NodeState};
use catkinmast_model::Name;
use catkinmast_route::rendezvous_rank;
use std::net::SocketAddr;

/// Limit on the number of nodes that are asked to store a copy.
const COPY_ATTEMPTS_MAX: usize = 3;

/// Copies content that this node holds to one more node, and returns that node's name.
///
/// Nodes in other data centres are preferred, since a rack or a data centre that fails would take a
/// nearby copy with the original. Among these, nodes are ordered by their rank for the sample,
/// which spreads copies evenly without coordination. Returns `None` if the content is not held here
/// or no node stored the copy.
pub(crate) async fn copy_to_another_node(
    shared: &Shared,
    key: &ContentKey,
    avoid: &[Name],
) -> Option<Name> {
    let content = lock(&shared.holdings).get(shared.now(), key).cloned()?;
    let snapshot = shared.snapshot();
    let own_data_centre = &shared.settings.data_centre;
    let mut candidates: Vec<&NodeFact> = snapshot
        .nodes
        .iter()
        .filter(|node| {
            node.state == NodeState::Live
                && node.name != *shared.me()
                && !avoid.contains(&node.name)
        })
        .collect();
    let sample = format!("{}/{}", key.trainer, key.sample);
    candidates.sort_by_cached_key(|node| {
        (node.data_centre == *own_data_centre, rendezvous_rank(&sample, node.name.as_str()))
    });
    for candidate in candidates.into_iter().take(COPY_ATTEMPTS_MAX) {
        let request = PeerRequest::Store { content: content.clone(), key: key.clone() };
        match call_peer(shared, candidate.control, &request).await {
            Ok(PeerReply::Stored(true)) => return Some(candidate.name.clone()),
            Ok(_) => {
                log::warn!("node {} did not store a copy of sample {}", candidate.name, key.sample);
            }
            Err(error) => {
                log::info!("cannot copy sample {} to node {}: {error}", key.sample, candidate.name);
            }
        }
    }
    None
}

/// Reads a sample's tokens from this node, or from the first of `holders` that has them.
pub(crate) async fn read(shared: &Shared, key: &ContentKey, holders: &[Name]) -> Option<Content> {
    if let Some(content) = lock(&shared.holdings).get(shared.now(), key) {
        return Some(content.clone());
    }
    let snapshot = shared.snapshot();
    let addresses: Vec<SocketAddr> =
        holders.iter().filter_map(|name| snapshot.node(name)).map(|node| node.control).collect();
    for address in addresses {
        let request = PeerRequest::Fetch { key: key.clone() };
        if let Ok(PeerReply::Content(Some(content))) = call_peer(shared, address, &request).await {
            return Some(content);
        }
    }
    None
}
