//! Keeps the requests to cold targets within what these bear.

use crate::batches;
use crate::clock;
use crate::node::Node;
use crate::peers;
use crate::platform::Platform;
use catkinmast_dispatch::{Document, TargetEntry};
use catkinmast_model::UnixMs;
use catkinmast_places::{ColdShare, ColdTargets, SenderRing};
use indexmap::{IndexMap, IndexSet};
use serde_json::json;
use std::cell::RefCell;

/// How many of the nodes that rank first for a model's batches may send its items to cold targets:
/// the owner, and the node that takes its batches over.
const SENDERS_PER_MODEL: usize = 2;
/// How long a ring of senders is used before it is computed again from the known nodes.
const RING_MAX_AGE_MS: u64 = 500;

/// The cold targets, and the nodes that may send to them.
#[derive(Debug, Default)]
pub(crate) struct Cold {
    targets: RefCell<ColdTargets>,
    /// The ring of senders of each service, and when it was computed.
    rings: RefCell<IndexMap<String, (UnixMs, SenderRing)>>,
}

impl Cold {
    /// Returns whether a target is cold.
    pub(crate) fn is_cold(&self, now: UnixMs, id: &str) -> bool {
        self.targets.borrow().is_cold(now, id)
    }

    /// Forgets targets that are no longer cold.
    pub(crate) fn expire(&self) {
        self.targets.borrow_mut().expire(clock::now());
    }
}

/// Records that a target is cold for at least `for_ms` from now on.
pub(crate) fn mark<P: Platform>(node: &Node<P>, id: &str, for_ms: u64) {
    if for_ms > 0 && node.cold.targets.borrow_mut().mark(id, clock::now().plus(for_ms)) {
        node.note("target_cold", json!({ "target": id, "for_ms": for_ms }));
    }
}

/// Records that all targets of a data centre are as cold as after a start: an operator sends work
/// there again, and their entries may not tell yet.
pub(crate) fn mark_data_centre<P: Platform>(node: &Node<P>, data_centre: &str) {
    let Some(document) = node.document() else { return };
    let targets = node.targets.borrow();
    for (service, config) in &document.services {
        let Some(cold) = config.cold else { continue };
        for entry in targets.serving(service).filter(|entry| entry.data_centre == data_centre) {
            mark(node, &entry.id, cold.for_ms);
        }
    }
}

/// Records that a target has restarted, which it told in another way than by its entry.
pub(crate) fn mark_restarted<P: Platform>(node: &Node<P>, entry: &TargetEntry) {
    let config = node.document().and_then(|document| document.services.get(&entry.service)?.cold);
    mark(node, &entry.id, config.map_or(0, |cold| cold.for_ms).max(entry.cold_left_ms));
}

/// Returns whether this node may send one more request to a target now.
pub(crate) fn may_send<P: Platform>(node: &Node<P>, entry: &TargetEntry) -> bool {
    let now = clock::now();
    if !node.cold.is_cold(now, &entry.id) {
        return true;
    }
    let Some(share) = share(node, entry) else { return true };
    node.cold.targets.borrow().may_send(now, &entry.id, share)
}

/// Counts a request to a target if this node may send it now; returns whether it may.
pub(crate) fn admit<P: Platform>(node: &Node<P>, id: &str) -> bool {
    if node.cold.targets.borrow().is_empty() {
        return true;
    }
    let entry = node.targets.borrow().entry(id).cloned();
    let is_admitted = entry.is_none_or(|entry| may_send(node, &entry));
    if is_admitted {
        node.cold.targets.borrow_mut().record_sent(clock::now(), id);
    }
    is_admitted
}

/// Returns this node's share of the limit of a target; none if the service has no limit.
fn share<P: Platform>(node: &Node<P>, entry: &TargetEntry) -> Option<ColdShare> {
    let document = node.document()?;
    let config = document.services.get(&entry.service)?.cold?;
    let me = peers::me(node)?;
    let now = clock::now();
    let mut rings = node.cold.rings.borrow_mut();
    let is_recent = |(at, _): &(UnixMs, SenderRing)| now.since_ms(*at) < RING_MAX_AGE_MS;
    if !rings.get(&entry.service).is_some_and(is_recent) {
        let senders = senders(node, &document, &entry.service);
        let ring = SenderRing::new(senders.iter().map(String::as_str));
        rings.insert(entry.service.clone(), (now, ring));
    }
    let (_, ring) = &rings[&entry.service];
    Some(ring.share(&entry.id, me.node.as_ref(), config.requests_per_s))
}

/// Returns the names of the nodes that send to a service's targets: all, or the owners of batches
/// where only items reach it.
fn senders<P: Platform>(node: &Node<P>, document: &Document, service: &str) -> IndexSet<String> {
    let models =
        document.engine(service).map(|engine| engine.models.as_slice()).unwrap_or_default();
    if models.is_empty() || document.has_direct_route(service) {
        return peers::known_names(node);
    }
    let first = |model: &String| {
        peers::first_known_for(node, &batches::model_duty(model), SENDERS_PER_MODEL)
    };
    models.iter().flat_map(first).collect()
}
