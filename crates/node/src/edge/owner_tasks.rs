//! Network calls on behalf of the owner of a trainer's steps: orders and load reports of engines,
//! copies and holdings of other nodes.

use crate::control::Input;
use crate::edge::holdings::ContentKey;
use crate::edge::peer::{PeerReply, PeerRequest, call_peer};
use crate::shared::{Shared, lock};
use catkinmast_member::NodeState;
use catkinmast_model::Name;
use catkinmast_platform::{Engines, WeightOrder};
use catkinmast_rollout::Event;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Delay after a copy that no node has stored. The state machine requests it again at once, which
/// would be a busy loop while no node has space.
const COPY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reads an engine's load report, and reports the version that it serves.
pub(crate) async fn read_load(
    shared: Arc<Shared>,
    trainer: Name,
    model: Name,
    engine: Name,
    address: SocketAddr,
) {
    match shared.clients.engines.load(address).await {
        Ok(load) => {
            let version = load.versions.get(model.as_str()).copied().unwrap_or_default();
            let event = Event::EngineVersion { engine, version };
            shared.send_input(Input::Rollout { event, trainer });
        }
        Err(error) => log::debug!("cannot read the load report of engine {engine}: {error}"),
    }
}

/// Orders an engine to load a weight version.
pub(crate) async fn send_order(
    shared: Arc<Shared>,
    engine: Name,
    address: SocketAddr,
    order: WeightOrder,
) {
    if let Err(error) = shared.clients.engines.order(address, &order).await {
        // The state machine repeats the order until the engine reports the version.
        log::info!(
            "engine {engine} did not accept the order to load version {}: {error}",
            order.version
        );
    }
}

/// Drops samples' content here and on all other nodes.
pub(crate) async fn forget(shared: Arc<Shared>, keys: Vec<ContentKey>) {
    for key in &keys {
        lock(&shared.holdings).remove(key);
    }
    let snapshot = shared.snapshot();
    for node in &snapshot.nodes {
        if node.state == NodeState::Gone || node.name == *shared.me() {
            continue;
        }
        let request = PeerRequest::Forget { keys: keys.clone() };
        if let Err(error) = call_peer(&shared, node.control, &request).await {
            // That node's content expires by itself.
            log::debug!("cannot ask node {} to drop content: {error}", node.name);
        }
    }
}

/// Has a holder copy a sample to one more node, and reports which node stored the copy.
pub(crate) async fn copy_again(shared: Arc<Shared>, key: ContentKey, holder: Name) {
    let (attempt, sample, trainer) = (key.attempt, key.sample, key.trainer.clone());
    let avoid = vec![holder.clone()];
    let holder = if holder == *shared.me() {
        crate::edge::content::copy_to_another_node(&shared, &key, &avoid).await
    } else {
        let address = shared.snapshot().node(&holder).map(|node| node.control);
        let request = PeerRequest::CopyTo { avoid, key };
        match address {
            Some(address) => match call_peer(&shared, address, &request).await {
                Ok(PeerReply::Copied(holder)) => holder,
                _ => None,
            },
            None => None,
        }
    };
    if holder.is_none() {
        tokio::time::sleep(COPY_RETRY_DELAY).await;
    }
    shared.send_input(Input::Rollout { event: Event::Copied { attempt, holder, sample }, trainer });
}

/// Asks all nodes which samples of a trainer they hold, and reports the answers.
pub(crate) async fn find_holdings(shared: Arc<Shared>, trainer: Name) {
    let mut found = lock(&shared.holdings).report(&trainer, shared.me());
    let snapshot = shared.snapshot();
    let others = snapshot
        .nodes
        .iter()
        .filter(|node| node.state != NodeState::Gone && node.name != *shared.me());
    let calls = others.map(|node| {
        let shared = Arc::clone(&shared);
        let (trainer, control) = (trainer.clone(), node.control);
        async move { call_peer(&shared, control, &PeerRequest::Holdings { trainer }).await }
    });
    for answer in futures::future::join_all(calls).await {
        if let Ok(PeerReply::Holdings(reports)) = answer {
            found.extend(reports);
        }
    }
    shared.send_input(Input::Rollout { event: Event::Holdings(found), trainer });
}
