//! The immutable snapshot of the fleet that the control thread publishes to the traffic threads.

use catkinmast_config::{Document, Head};
use catkinmast_member::{NodeFact, NodeState, OwnerFact, TargetFact};
use catkinmast_model::{InstanceKind, InstanceState, Name, Revision, Selector, UnixMs};
use catkinmast_route::stable_subset;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How many targets of a service a node uses.
pub(crate) const SUBSET_SIZE: usize = 20;

/// A configuration document with its revision and source text.
#[derive(Debug)]
pub(crate) struct InForce {
    pub document: Document,
    pub revision: Revision,
    pub text: String,
}

/// Everything that routing needs, as of one point in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub config: Option<Arc<InForce>>,
    /// The time until which a draining node must go on serving; `None` if it is not draining.
    pub leaving_until: Option<UnixMs>,
    pub nodes: Vec<NodeFact>,
    pub owners: IndexMap<Name, OwnerFact>,
    pub ready: bool,
    pub targets: IndexMap<Name, TargetFact>,
    /// The live targets of each plain service that this node uses. They are a stable subset, so
    /// that with hundreds of nodes no target receives connections from all of them.
    pub services: IndexMap<Name, Vec<Name>>,
    /// All live engines of each model.
    pub models: IndexMap<Name, Vec<Name>>,
}

impl Snapshot {
    /// Builds a snapshot from the configuration and the facts.
    ///
    /// `leaving_until` and `ready` keep their defaults; the caller sets them.
    pub(crate) fn build(
        me: &Name,
        config: Option<Arc<InForce>>,
        nodes: Vec<NodeFact>,
        owners: IndexMap<Name, OwnerFact>,
        targets: IndexMap<Name, TargetFact>,
    ) -> Self {
        let mut snapshot = Self { config, nodes, owners, targets, ..Self::default() };
        if let Some(in_force) = snapshot.config.clone() {
            let document = &in_force.document;
            for service in &document.services {
                let live = snapshot.live(InstanceKind::Service, &service.targets, document);
                let used = stable_subset(me, &live, SUBSET_SIZE);
                snapshot.services.insert(service.name.clone(), used);
            }
            for model in &document.models {
                let live = snapshot.live(InstanceKind::Engine, &model.engines, document);
                snapshot.models.insert(model.name.clone(), live);
            }
        }
        snapshot
    }

    /// Returns the live targets of a kind that a selector matches.
    fn live(&self, kind: InstanceKind, selector: &Selector, document: &Document) -> Vec<Name> {
        let is_match = |target: &&TargetFact| {
            target.kind == kind
                && target.state == InstanceState::Live
                && selector.matches(&document.placed_labels(&target.labels, &target.data_centre))
        };
        self.targets.values().filter(is_match).map(|target| target.name.clone()).collect()
    }

    /// Returns the live engines of a model that a selector matches.
    pub(crate) fn engines(&self, model: &Name, selector: &Selector) -> Vec<Name> {
        let Some(in_force) = &self.config else { return Vec::new() };
        let Some(engines) = self.models.get(model) else { return Vec::new() };
        let is_match = |name: &&Name| {
            self.targets.get(*name).is_some_and(|target| {
                let document = &in_force.document;
                selector.matches(&document.placed_labels(&target.labels, &target.data_centre))
            })
        };
        engines.iter().filter(is_match).cloned().collect()
    }

    /// Returns the address on which a target listens.
    pub(crate) fn address(&self, target: &Name) -> Option<SocketAddr> {
        self.targets.get(target).map(|target| target.address)
    }

    /// Returns a node by name, unless it is gone.
    pub(crate) fn node(&self, name: &Name) -> Option<&NodeFact> {
        self.nodes.iter().find(|node| node.name == *name && node.state != NodeState::Gone)
    }

    /// Returns the document in force.
    pub(crate) fn document(&self) -> Option<&Document> {
        self.config.as_ref().map(|in_force| &in_force.document)
    }
}

/// The configuration's head and the version of its key in the key-value service.
pub(crate) type VersionedHead = (Head, u64);
