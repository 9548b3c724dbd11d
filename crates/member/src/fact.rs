//! Facts shared between nodes, and the rules by which one supersedes another.

use catkinmast_model::{Fence, Incarnation, InstanceKind, InstanceState, Labels, Name, Revision};
use catkinmast_quarantine::{Evidence, Fingerprint};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of a node as its peers see it.
///
/// Within one incarnation and refutation number, the later variant wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// The node serves requests.
    Live,
    /// The node did not answer probes and has a few seconds to refute the suspicion.
    Suspect,
    /// The node serves until the addresses handed out have expired, and takes no new duties.
    Leaving,
    /// The node has left or is considered dead.
    Gone,
}

/// A node of this service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeFact {
    /// Processor capacity in thousandths of a core; nodes with more are preferred for duties.
    pub capacity_millicores: u32,
    /// Address for peers, over UDP and TCP.
    pub control: SocketAddr,
    /// Data centre of the node.
    pub data_centre: Name,
    /// Whether the node has a data folder.
    pub has_data_folder: bool,
    /// Address for callers.
    pub http: SocketAddr,
    /// The incarnation: the start time of the process, so a restart has a higher one.
    pub incarnation: Incarnation,
    /// Name of the node.
    pub name: Name,
    /// How often the node has refuted a suspicion in this incarnation.
    pub refutation: u32,
    /// The state of the node.
    pub state: NodeState,
}

/// The source of a fact about a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetFactSource {
    /// The platform's instance list, which lags.
    List,
    /// The target refused a call because it is leaving.
    Refusal,
    /// An operator drained the target.
    Operator,
}

/// A target: a model engine or an instance of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetFact {
    /// Address at which the target listens.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: Name,
    /// The incarnation, as counted by the platform.
    pub incarnation: Incarnation,
    /// The kind of instance.
    pub kind: InstanceKind,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Name of the target.
    pub name: Name,
    /// Source of this fact. It is serialised under the name `report`.
    #[serde(rename = "report")]
    pub source: TargetFactSource,
    /// Whether the target accepts work. Leaving is final within an incarnation, although the
    /// platform's list may still show the target as live for a while.
    pub state: InstanceState,
}

/// Which node owns a trainer's steps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerFact {
    /// The lease's fencing number; a higher one wins.
    pub fence: Fence,
    /// The owner's incarnation.
    pub incarnation: Incarnation,
    /// Name of the owner.
    pub node: Name,
    /// Name of the trainer.
    pub trainer: Name,
}

/// Which configuration is in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigFact {
    /// The document's digest, as hexadecimal digits.
    pub digest: String,
    /// Number of the revision.
    pub revision: Revision,
}

/// The targets that ended while the request with a given fingerprint was in flight at them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashFact {
    /// The targets and their incarnations.
    pub evidence: Evidence,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
}

/// A statement that is spread to all nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fact {
    /// A configuration is in force.
    Config(ConfigFact),
    /// A node's state.
    Node(NodeFact),
    /// A trainer's owner.
    Owner(OwnerFact),
    /// A target's state.
    Target(TargetFact),
    /// Targets that ended while a request was in flight at them.
    Crash(CrashFact),
}

/// The subject of a fact; a table holds one fact for each subject.
///
/// The debug text of a key decides its bucket in the digest on every node, so the variants and the
/// types in them must keep their names.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum FactKey {
    /// The configuration in force.
    Config,
    /// Targets that ended while a request was in flight at them.
    Crash(Fingerprint),
    /// A node.
    Node(Name),
    /// A trainer's owner.
    Owner(Name),
    /// A target.
    Target(Name),
}

impl Fact {
    /// Returns the subject of the fact.
    pub fn key(&self) -> FactKey {
        match self {
            Self::Config(_) => FactKey::Config,
            Self::Crash(crash) => FactKey::Crash(crash.fingerprint),
            Self::Node(node) => FactKey::Node(node.name.clone()),
            Self::Owner(owner) => FactKey::Owner(owner.trainer.clone()),
            Self::Target(target) => FactKey::Target(target.name.clone()),
        }
    }

    /// Returns whether the fact is a tombstone: its subject is reported as gone in this
    /// incarnation.
    ///
    /// A node that is still running can refute the report.
    pub const fn is_gone(&self) -> bool {
        match self {
            Self::Config(_) | Self::Crash(_) | Self::Owner(_) => false,
            Self::Node(node) => matches!(node.state, NodeState::Gone),
            Self::Target(target) => matches!(target.state, InstanceState::Gone),
        }
    }

    /// Merges this fact with the one held about the same subject.
    ///
    /// Crash facts grow instead of superseding each other, since two nodes may each have seen
    /// crashes that the other has not. Other facts are returned unchanged.
    #[must_use]
    pub fn merged_with(self, held: &Self) -> Self {
        match (self, held) {
            (Self::Crash(mut new), Self::Crash(old)) => {
                new.evidence.merge(&old.evidence);
                Self::Crash(new)
            }
            (fact, _) => fact,
        }
    }

    /// Returns whether this fact is newer than `held`, a fact about the same subject.
    ///
    /// The result does not depend on when messages arrive. Facts about one subject are ordered, by
    /// revision, fencing number, or incarnation and state; only crash facts are not, since each may
    /// add evidence to the other and they are merged. Therefore an accepted configuration never
    /// reverts, and a leaving target is never live again in the same incarnation, however late a
    /// message is.
    pub fn supersedes(&self, held: &Self) -> bool {
        match (self, held) {
            (Self::Config(new), Self::Config(old)) => new.revision > old.revision,
            // `Evidence::merge` returns whether it added anything.
            (Self::Crash(new), Self::Crash(old)) => old.evidence.clone().merge(&new.evidence),
            (Self::Node(new), Self::Node(old)) => new.order() > old.order(),
            (Self::Owner(new), Self::Owner(old)) => new.fence > old.fence,
            (Self::Target(new), Self::Target(old)) => new.order() > old.order(),
            _ => false,
        }
    }
}

impl NodeFact {
    const fn order(&self) -> (Incarnation, u32, NodeState) {
        (self.incarnation, self.refutation, self.state)
    }
}

impl TargetFact {
    const fn order(&self) -> (Incarnation, InstanceState) {
        (self.incarnation, self.state)
    }
}
