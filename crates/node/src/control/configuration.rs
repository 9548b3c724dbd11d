//! The configuration: learning of a new revision, fetching its body, putting it in force.
//!
//! The head in the key-value service is what is agreed. A few watchers in each data centre wait
//! for it to change; the revision and digest then spread as a fact, and each node fetches the body
//! from a peer that has it, or from the service. A node installs a body only if its digest fits
//! and its revision is higher than the one in force, so no late or forged message can take a
//! configuration back.
//!
//! A node that starts must not serve with an old revision, or with none. It reads the head; while
//! the service is away it asks its peers and takes the highest revision that they have in force.

use crate::control::{Control, Input};
use crate::edge::peer::{PeerReply, PeerRequest, ask};
use crate::edge::store::{read_body, read_head, watch_head};
use crate::shared::Shared;
use crate::snapshot::{InForce, VersionedHead};
use catkinmast_config::{Digest, Document};
use catkinmast_member::{ConfigFact, Fact, NodeState};
use catkinmast_model::{Revision, UnixMs};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between two tries to learn the first revision.
const BOOT_RETRY_MS: u64 = 500;
/// Time between two tries to fetch a body.
const BODY_RETRY_MS: u64 = 200;
/// How many peers are asked for a body, or for what they have in force.
const PEERS_ASKED: usize = 3;
/// Pause after a watch that failed, so that an outage is not met with a storm of calls.
const WATCH_PAUSE_MS: u64 = 1_000;

/// What this node knows of the configuration.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each says whether one kind of task is under way"
)]
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    boot_at: UnixMs,
    booting: bool,
    fetch_at: UnixMs,
    fetching: bool,
    head_version: u64,
    in_force: Option<Arc<InForce>>,
    /// Whether the revision in force cannot be older than what was in force when we started.
    settled: bool,
    /// The newest revision heard of that is not in force here.
    wanted: Option<(Revision, Digest)>,
    watch_at: UnixMs,
    watching: bool,
}

impl Configuration {
    pub(crate) fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.clone()
    }

    pub(crate) fn document(&self) -> Option<&Document> {
        self.in_force.as_ref().map(|in_force| &in_force.document)
    }

    pub(crate) fn revision(&self) -> Revision {
        self.in_force.as_ref().map_or_else(Revision::default, |in_force| in_force.revision)
    }

    /// Tells whether this node may serve.
    pub(crate) fn is_ready(&self) -> bool {
        self.settled && self.in_force.is_some() && self.wanted.is_none()
    }

    pub(crate) fn body_missing(&mut self, now: UnixMs) {
        self.fetching = false;
        self.fetch_at = now.plus(BODY_RETRY_MS);
    }

    fn want(&mut self, revision: Revision, digest: Digest) {
        let known = self.wanted.map_or(self.revision(), |(wanted, _)| wanted);
        if revision > known {
            self.wanted = Some((revision, digest));
        }
    }
}

impl Control {
    pub(crate) fn tick_configuration(&mut self, now: UnixMs) {
        let config = &mut self.configuration;
        if !config.settled && !config.booting && now >= config.boot_at {
            config.booting = true;
            self.runtime.spawn(boot(Arc::clone(&self.shared)));
        }
        let config = &mut self.configuration;
        if let Some((revision, digest)) = config.wanted
            && !config.fetching
            && now >= config.fetch_at
        {
            config.fetching = true;
            let peers = self.some_peers();
            let prefer_store = self.watches();
            let shared = Arc::clone(&self.shared);
            self.runtime.spawn(fetch_body(shared, revision, digest, peers, prefer_store));
        }
        let watches = self.watches();
        let config = &mut self.configuration;
        if watches && config.settled && !config.watching && now >= config.watch_at {
            config.watching = true;
            self.runtime.spawn(watch(Arc::clone(&self.shared), config.head_version));
        }
    }

    fn some_peers(&self) -> Vec<SocketAddr> {
        let live = self.membership.peers().filter(|node| node.state == NodeState::Live);
        let mut peers: Vec<_> = live.map(|node| node.control).collect();
        // Another slice each time: a peer that has not got the body yet must not be all we ask.
        let turn = self.shared.now().0 as usize;
        if !peers.is_empty() {
            let start = turn % peers.len();
            peers.rotate_left(start);
        }
        peers.truncate(PEERS_ASKED);
        peers
    }

    pub(crate) fn head_read(&mut self, now: UnixMs, head: Option<VersionedHead>) {
        self.configuration.booting = false;
        self.configuration.settled = true;
        self.changed = true;
        self.note_head(now, head);
    }

    fn note_head(&mut self, now: UnixMs, head: Option<VersionedHead>) {
        let Some((head, version)) = head else { return };
        let config = &mut self.configuration;
        config.head_version = config.head_version.max(version);
        if let Some(accepted) = head.in_force() {
            config.want(accepted.revision, accepted.digest);
            config.fetch_at = now;
        }
    }

    /// The service is away: the highest revision among several peers must do.
    pub(crate) fn head_unavailable(&mut self, now: UnixMs) {
        let peers = self.some_peers();
        if peers.is_empty() {
            self.configuration.booting = false;
            self.configuration.boot_at = now.plus(BOOT_RETRY_MS);
            return;
        }
        self.runtime.spawn(ask_peers(Arc::clone(&self.shared), peers));
    }

    pub(crate) fn peers_answered(
        &mut self,
        now: UnixMs,
        answers: usize,
        newest: Option<(Revision, String)>,
    ) {
        self.configuration.booting = false;
        self.configuration.boot_at = now.plus(BOOT_RETRY_MS);
        let known_peers = self.membership.peers().count();
        let Some((revision, text)) = newest else { return };
        // One peer alone may itself be behind; several that agree on a highest are not, since a
        // change reaches all within seconds.
        if answers < PEERS_ASKED.min(known_peers) {
            return;
        }
        if let Ok(document) = Document::parse(&text) {
            self.configuration.settled = true;
            self.install(now, document, revision, text);
        }
    }

    pub(crate) fn watch_ended(&mut self, now: UnixMs, head: Option<VersionedHead>, worked: bool) {
        self.configuration.watching = false;
        self.configuration.watch_at = if worked { now } else { now.plus(WATCH_PAUSE_MS) };
        self.note_head(now, head);
    }

    pub(crate) fn config_announced(&mut self, now: UnixMs, fact: &ConfigFact) {
        if let Ok(digest) = Digest::try_from(fact.digest.clone()) {
            self.configuration.want(fact.revision, digest);
            self.configuration.fetch_at = now;
        }
    }

    pub(crate) fn install(
        &mut self,
        now: UnixMs,
        document: Document,
        revision: Revision,
        text: String,
    ) {
        self.configuration.fetching = false;
        if revision <= self.configuration.revision() {
            return;
        }
        let digest = Digest::of(&text).to_string();
        self.shared.traffic.set_limits(&document);
        self.shared.metrics.config_revision.set(revision.0 as i64);
        self.configuration.in_force = Some(Arc::new(InForce { document, revision, text }));
        if self.configuration.wanted.is_some_and(|(wanted, _)| wanted <= revision) {
            self.configuration.wanted = None;
        }
        self.changed = true;
        self.trainers.targets_changed = true;
        log::info!("configuration revision {revision} is in force");
        // Told only now, when peers can fetch the body from here.
        self.observe(now, Fact::Config(ConfigFact { digest, revision }));
    }
}

async fn boot(shared: Arc<Shared>) {
    let input = match read_head(&shared).await {
        Ok(head) => Input::Head(head),
        Err(error) => {
            log::info!("the configuration's head cannot be read: {error}");
            Input::HeadUnavailable
        }
    };
    shared.tell(input);
}

async fn ask_peers(shared: Arc<Shared>, peers: Vec<SocketAddr>) {
    let mut answers = 0;
    let mut newest: Option<(Revision, String)> = None;
    for peer in peers {
        if let Ok(PeerReply::InForce(found)) = ask(&shared, peer, &PeerRequest::InForce).await {
            answers += 1;
            let found = found.map(|(revision, text)| (Revision(revision), text));
            let known = newest.as_ref().map(|(revision, _)| *revision);
            if found.as_ref().map(|(revision, _)| *revision) > known {
                newest = found;
            }
        }
    }
    shared.tell(Input::PeerInForce { answers, newest });
}

async fn watch(shared: Arc<Shared>, after_version: u64) {
    let (head, worked) = match watch_head(&shared, after_version).await {
        Ok(head) => (head, true),
        Err(error) => {
            log::debug!("the watch of the configuration broke: {error}");
            (None, false)
        }
    };
    shared.tell(Input::WatchEnded { head, worked });
}

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
        if let Ok(PeerReply::Config(Some(found))) = ask(&shared, peer, &request).await
            && Digest::of(&found) == digest
        {
            text = Some(found);
        }
    }
    if text.is_none() && !prefer_store {
        text = read_body(&shared, digest).await;
    }
    let input = text.and_then(|text| match Document::parse(&text) {
        Ok(document) => Some(Input::Body { document: Box::new(document), revision, text }),
        Err(faults) => {
            log::error!("configuration revision {revision} cannot be read here: {faults}");
            None
        }
    });
    shared.tell(input.unwrap_or(Input::BodyMissing));
}
