//! Facts and the rules by which one supersedes another.

use catkinmast_model::{Fence, Incarnation, InstanceKind, InstanceState, Labels, Name, Revision};
use catkinmast_quarantine::{Evidence, Fingerprint};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a node's peers believe of it; later ones win within a life and a refutation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// It serves.
    Live,
    /// It did not answer probes and has some seconds to say that it lives.
    Suspect,
    /// It serves until the addresses handed out have expired, and takes no new duties.
    Leaving,
    /// It is gone.
    Gone,
}

/// One of our own nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeFact {
    /// Processor time that it has, in thousandths of a core: the strongest do what one node does
    /// for all.
    pub capacity_millicores: u32,
    /// Where peers reach it, by UDP and TCP.
    pub control: SocketAddr,
    /// Where it stands.
    pub data_centre: Name,
    /// Whether it has a data folder.
    pub has_data_folder: bool,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Its life: the time of its start, so a restart has a higher one.
    pub incarnation: Incarnation,
    /// Its name.
    pub name: Name,
    /// How often it has refuted a suspicion in this life.
    pub refutation: u32,
    /// What is believed of it.
    pub state: NodeState,
}

/// Where the news of a target comes from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetFactSource {
    /// The platform's lagging list.
    List,
    /// The target refused a call because it leaves.
    Refusal,
    /// An operator drained it.
    Operator,
}

/// A target: a model engine or an instance of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetFact {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Name,
    /// Its life, as the platform counts it.
    pub incarnation: Incarnation,
    /// What runs on it.
    pub kind: InstanceKind,
    /// What selectors match.
    pub labels: Labels,
    /// Its name.
    pub name: Name,
    /// Who said so.
    #[serde(rename = "report")]
    pub source: TargetFactSource,
    /// Whether it takes work. Leaving is sticky: the list may still call it live for a while.
    pub state: InstanceState,
}

/// Which node owns a trainer's steps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerFact {
    /// The lease's fencing number; a higher one wins.
    pub fence: Fence,
    /// The owner's life.
    pub incarnation: Incarnation,
    /// The owner.
    pub node: Name,
    /// The trainer.
    pub trainer: Name,
}

/// Which configuration is in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigFact {
    /// The document's digest, as hexadecimal digits.
    pub digest: String,
    /// The revision.
    pub revision: Revision,
}

/// The targets that ended under a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashFact {
    /// Which targets.
    pub evidence: Evidence,
    /// The request.
    pub fingerprint: Fingerprint,
}

/// Something that every node should know.
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
    /// Targets ended under a request.
    Crash(CrashFact),
}

/// What a fact is about; a board holds one fact for each.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum FactKey {
    /// The configuration in force.
    Config,
    /// Targets that ended under a request.
    Crash(Fingerprint),
    /// A node.
    Node(Name),
    /// A trainer's owner.
    Owner(Name),
    /// A target.
    Target(Name),
}

impl Fact {
    /// Returns what the fact is about.
    pub fn key(&self) -> FactKey {
        match self {
            Self::Config(_) => FactKey::Config,
            Self::Crash(crash) => FactKey::Crash(crash.fingerprint),
            Self::Node(node) => FactKey::Node(node.name.clone()),
            Self::Owner(owner) => FactKey::Owner(owner.trainer.clone()),
            Self::Target(target) => FactKey::Target(target.name.clone()),
        }
    }

    /// Tells whether the fact says that its subject is gone for good.
    pub const fn is_gone(&self) -> bool {
        match self {
            Self::Config(_) | Self::Crash(_) | Self::Owner(_) => false,
            Self::Node(node) => matches!(node.state, NodeState::Gone),
            Self::Target(target) => matches!(target.state, InstanceState::Gone),
        }
    }

    /// Adds what is held of the same subject, where facts grow instead of superseding each other: two
    /// nodes may each know of ends that the other has not seen.
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

    /// Tells whether this fact is newer than `held`, which is about the same.
    ///
    /// The order is total within a key and never depends on when a message arrived: that is why
    /// an accepted configuration never reverts and a leaving target never looks live again in
    /// the same life, however late a message is.
    pub fn supersedes(&self, held: &Self) -> bool {
        match (self, held) {
            (Self::Config(new), Self::Config(old)) => new.revision > old.revision,
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
