//! What the traffic threads may know: an immutable picture that the control thread publishes.

use catkinmast_config::{Document, Head};
use catkinmast_member::{NodeFact, NodeState, OwnerFact, TargetFact};
use catkinmast_model::{InstanceKind, InstanceState, Name, Revision, Selector, UnixMs};
use catkinmast_route::stable_subset;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How many targets of a service, or engines of a model, a node uses.
pub(crate) const SUBSET_SIZE: usize = 20;

/// The configuration in force here.
#[derive(Debug)]
pub(crate) struct InForce {
    pub document: Document,
    pub revision: Revision,
    pub text: String,
}

/// One picture of everything that routing needs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub config: Option<Arc<InForce>>,
    /// Until when this node must serve after it began to leave; none while it does not.
    pub leaving_until: Option<UnixMs>,
    pub nodes: Vec<NodeFact>,
    pub owners: IndexMap<Name, OwnerFact>,
    pub ready: bool,
    pub targets: IndexMap<Name, TargetFact>,
    /// Those live instances of each plain service that this node uses: a stable subset, so that
    /// at hundreds of nodes no target is asked by all of them.
    pub services: IndexMap<Name, Vec<Name>>,
    /// Live engines of each model.
    pub models: IndexMap<Name, Vec<Name>>,
}

impl Snapshot {
    /// Builds the picture from the facts and the configuration.
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

    fn live(&self, kind: InstanceKind, selector: &Selector, document: &Document) -> Vec<Name> {
        let fits = |target: &&TargetFact| {
            target.kind == kind
                && target.state == InstanceState::Live
                && selector.matches(&document.placed_labels(&target.labels, &target.data_centre))
        };
        self.targets.values().filter(fits).map(|target| target.name.clone()).collect()
    }

    /// Returns the live engines of a model that a selector matches.
    pub(crate) fn engines(&self, model: &Name, selector: &Selector) -> Vec<Name> {
        let Some(in_force) = &self.config else { return Vec::new() };
        let Some(engines) = self.models.get(model) else { return Vec::new() };
        let fits = |name: &&Name| {
            self.targets.get(*name).is_some_and(|target| {
                let document = &in_force.document;
                selector.matches(&document.placed_labels(&target.labels, &target.data_centre))
            })
        };
        engines.iter().filter(fits).cloned().collect()
    }

    /// Returns where a target listens.
    pub(crate) fn address(&self, target: &Name) -> Option<SocketAddr> {
        self.targets.get(target).map(|target| target.address)
    }

    /// Finds a node that is not gone.
    pub(crate) fn node(&self, name: &Name) -> Option<&NodeFact> {
        self.nodes.iter().find(|node| node.name == *name && node.state != NodeState::Gone)
    }

    /// Returns the document in force.
    pub(crate) fn document(&self) -> Option<&Document> {
        self.config.as_ref().map(|in_force| &in_force.document)
    }
}

/// The head of the configuration and the version of its key.
pub(crate) type VersionedHead = (Head, u64);
