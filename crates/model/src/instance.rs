//! An entry in the platform's list of live and leaving instances.

use crate::{Incarnation, Labels, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The kind of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A model engine.
    Engine,
    /// A node of this service, through which callers enter; `address` is its address for peers.
    Entry,
    /// A plain service.
    Service,
}

/// Whether an instance accepts new work. Within an incarnation, the later variant wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance accepts work.
    Live,
    /// The instance finishes its work and accepts no more.
    Leaving,
    /// The instance no longer exists.
    Gone,
}

/// An instance as listed by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Address at which the instance listens.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// The incarnation, as counted by the platform.
    pub incarnation: Incarnation,
    /// Kind of the instance.
    pub kind: InstanceKind,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Name of the instance, which stays the same across restarts.
    pub name: Name,
    /// Whether the instance accepts work.
    pub state: InstanceState,
}
