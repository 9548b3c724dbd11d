//! Moving samples' tokens between nodes: copies, and reads for a trainer.

use crate::edge::holdings::{Content, ContentKey};
use crate::edge::peer::{PeerReply, PeerRequest, call_peer};
use crate::shared::{Shared, lock};
use catkinmast_member::{NodeFact, NodeState};
use catkinmast_model::Name;
use catkinmast_route::rendezvous_rank;
use std::net::SocketAddr;

/// How many nodes are tried as holders of a copy.
const HOLDERS_TRIED: usize = 3;

/// Copies held content to one more node and returns that node.
///
/// A node in another data centre is preferred: a copy beside the original dies with it when a rack
/// or a data centre goes. Among those the rank for the sample decides, so that copies spread evenly
/// and nobody has to agree on it.
pub(crate) async fn copy_to_another_node(
    shared: &Shared,
    key: &ContentKey,
    avoid: &[Name],
) -> Option<Name> {
    let content = lock(&shared.holdings).get(shared.now(), key).cloned()?;
    let snapshot = shared.snapshot();
    let home = &shared.settings.data_centre;
    let mut takers: Vec<&NodeFact> = snapshot
        .nodes
        .iter()
        .filter(|node| {
            node.state == NodeState::Live
                && node.name != *shared.me()
                && !avoid.contains(&node.name)
        })
        .collect();
    let sample = format!("{}/{}", key.trainer, key.sample);
    takers.sort_by_cached_key(|node| {
        (node.data_centre == *home, rendezvous_rank(&sample, node.name.as_str()))
    });
    for taker in takers.into_iter().take(HOLDERS_TRIED) {
        let request = PeerRequest::Store { content: content.clone(), key: key.clone() };
        match call_peer(shared, taker.control, &request).await {
            Ok(PeerReply::Stored(true)) => return Some(taker.name.clone()),
            Ok(_) => log::warn!("node {} has no room for a copy of {}", taker.name, key.sample),
            Err(error) => log::info!("no copy of {} at {}: {error}", key.sample, taker.name),
        }
    }
    None
}

/// Reads a sample's tokens from whichever holder has them.
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
