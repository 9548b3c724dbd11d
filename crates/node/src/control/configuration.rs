//! The configuration in force: performs the effects that the [`Follower`] requests.

use crate::control::{Control, Input};
use crate::edge::peer::{PeerReply, PeerRequest, call_peer};
use crate::edge::store::{read_body, read_head, watch_head};
use crate::shared::Shared;
use crate::snapshot::{InForce, VersionedHead};
use catkinmast_config::{
    Digest, Document, Follower, FollowerEffect, FollowerEvent, ObservedHead, PEERS_ASKED,
};
use catkinmast_member::{ConfigFact, Fact, NodeState};
use catkinmast_model::{Revision, UnixMs};
use std::net::SocketAddr;
use std::sync::Arc;

/// This node's state of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    /// The last fetched document, until the follower installs it.
    fetched: Option<InForce>,
    follower: Follower,
    in_force: Option<Arc<InForce>>,
}

impl Configuration {
    pub(crate) fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.clone()
    }

    pub(crate) fn document(&self) -> Option<&Document> {
        self.in_force.as_ref().map(|in_force| &in_force.document)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.follower.is_ready()
    }

    /// Returns the configuration in force, if it may be used to serve traffic.
    ///
    /// A document that may be older than the one in force when this node started is used neither
    /// for callers nor for peers that ask during an outage which revision is in force.
    pub(crate) fn served(&self) -> Option<Arc<InForce>> {
        self.in_force.clone().filter(|_| self.follower.may_serve())
    }
}

/// Returns the part of a head that a follower needs; `None` if no operation is in force.
pub(crate) fn observed_head(head: Option<VersionedHead>) -> Option<ObservedHead> {
    let (head, version) = head?;
    let accepted = head.in_force()?;
    Some(ObservedHead { digest: accepted.digest, revision: accepted.revision, version })
}

impl Control {
    pub(crate) fn tick_configuration(&mut self, now: UnixMs) {
        let peers = self.membership.peers().count();
        let watches = self.watches;
        self.follow(now, FollowerEvent::Tick { peers, watches });
    }

    /// Passes an event to the follower and performs the effects it requests.
    pub(crate) fn follow(&mut self, now: UnixMs, event: FollowerEvent) {
        let before = (self.configuration.is_ready(), self.configuration.follower.may_serve());
        for effect in self.configuration.follower.handle(now, event) {
            self.perform_follower_effect(now, effect);
        }
        let after = (self.configuration.is_ready(), self.configuration.follower.may_serve());
        self.changed |= after != before;
    }

    fn perform_follower_effect(&mut self, now: UnixMs, effect: FollowerEffect) {
        let shared = Arc::clone(&self.shared);
        match effect {
            FollowerEffect::AskPeers => {
                self.runtime.spawn(ask_peers(shared, self.some_peers()));
            }
            FollowerEffect::FetchBody { digest, revision } => {
                let (peers, prefer_store) = (self.some_peers(), self.watches);
                self.runtime.spawn(fetch_body(shared, revision, digest, peers, prefer_store));
            }
            FollowerEffect::Install { revision } => self.install(now, revision),
            FollowerEffect::ReadHead => {
                self.runtime.spawn(read_config_head(shared));
            }
            FollowerEffect::Watch { after_version } => {
                self.runtime.spawn(watch(shared, after_version));
            }
        }
    }

    /// Returns the control addresses of up to [`PEERS_ASKED`] live peers.
    fn some_peers(&self) -> Vec<SocketAddr> {
        let live = self.membership.peers().filter(|node| node.state == NodeState::Live);
        let mut peers: Vec<_> = live.map(|node| node.control).collect();
        // Start elsewhere each time: the peers queried last time may not have the body yet.
        let offset = self.shared.now().0 as usize;
        if !peers.is_empty() {
            let start = offset % peers.len();
            peers.rotate_left(start);
        }
        peers.truncate(PEERS_ASKED);
        peers
    }

    /// Handles a peer's fact about its configuration.
    pub(crate) fn config_announced(&mut self, now: UnixMs, fact: &ConfigFact) {
        if let Ok(digest) = Digest::try_from(fact.digest.clone()) {
            self.follow(now, FollowerEvent::Announced { digest, revision: fact.revision });
        }
    }

    /// Handles the document that `fetch_body` has fetched.
    pub(crate) fn body_fetched(&mut self, now: UnixMs, body: InForce) {
        let revision = body.revision;
        self.configuration.fetched = Some(body);
        self.follow(now, FollowerEvent::BodyFetched { revision });
    }

    fn install(&mut self, now: UnixMs, revision: Revision) {
        let Some(in_force) = self.configuration.fetched.take() else { return };
        let digest = Digest::of(&in_force.text).to_string();
        self.shared.traffic.set_limits(&in_force.document);
        self.shared.metrics.config_revision.set(revision.0 as i64);
        self.configuration.in_force = Some(Arc::new(in_force));
        self.changed = true;
        self.trainers.targets_changed = true;
        log::info!("configuration revision {revision} is in force");
        // Announced only now, since peers then fetch the body from this node.
        self.observe(now, Fact::Config(ConfigFact { digest, revision }));
    }
}

async fn read_config_head(shared: Arc<Shared>) {
    let event = match read_head(&shared).await {
        Ok(head) => FollowerEvent::HeadRead(observed_head(head)),
        Err(error) => {
            log::info!("cannot read the configuration's head: {error}");
            FollowerEvent::HeadUnavailable
        }
    };
    shared.send_input(Input::ConfigEvent(event));
}

/// Asks peers which revision is in force, and reports the newest.
async fn ask_peers(shared: Arc<Shared>, peers: Vec<SocketAddr>) {
    let mut answers = 0;
    let mut newest: Option<(Revision, Digest)> = None;
    for peer in peers {
        if let Ok(PeerReply::InForce(found)) = call_peer(&shared, peer, &PeerRequest::InForce).await
        {
            answers += 1;
            let found = found.and_then(|(revision, digest)| {
                Some((Revision(revision), Digest::try_from(digest).ok()?))
            });
            let revision = |of: Option<(Revision, Digest)>| of.map(|(revision, _)| revision);
            if revision(found) > revision(newest) {
                newest = found;
            }
        }
    }
    shared.send_input(Input::ConfigEvent(FollowerEvent::PeersAnswered { answers, newest }));
}

/// Waits for a newer head than `after_version`, and reports it.
async fn watch(shared: Arc<Shared>, after_version: u64) {
    let (head, succeeded) = match watch_head(&shared, after_version).await {
        Ok(head) => (observed_head(head), true),
        Err(error) => {
            log::debug!("the watch of the configuration's head failed: {error}");
            (None, false)
        }
    };
    shared.send_input(Input::ConfigEvent(FollowerEvent::WatchEnded { head, succeeded }));
}

/// Fetches a document by its digest from the key-value service and from peers, in the order that
/// `prefer_store` gives.
async fn fetch_body(
    shared: Arc<Shared>,
    revision: Revision,
    digest: Digest,
    peers: Vec<SocketAddr>,
    prefer_store: bool,
) {
    let mut text = None;
    if prefer_store {
        text = read_body(&shared, digest).await;
    }
    for peer in peers {
        if text.is_some() {
            break;
        }
        let request = PeerRequest::Config { digest: digest.to_string() };
        if let Ok(PeerReply::Config(Some(found))) = call_peer(&shared, peer, &request).await
            && Digest::of(&found) == digest
        {
            text = Some(found);
        }
    }
    if text.is_none() && !prefer_store {
        text = read_body(&shared, digest).await;
    }
    let body = text.and_then(|text| match Document::parse(&text) {
        Ok(document) => Some(InForce { document, revision, text }),
        Err(faults) => {
            log::error!("configuration revision {revision} is invalid for this node: {faults}");
            None
        }
    });
    shared.send_input(match body {
        Some(body) => Input::ConfigBody(Box::new(body)),
        None => Input::ConfigEvent(FollowerEvent::BodyMissing),
    });
}
