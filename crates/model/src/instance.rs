//! An entry of the platform's list of live and leaving instances.

use crate::{Incarnation, Labels, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What runs on an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A model engine.
    Engine,
    /// One of our own entry instances; `address` is where its peers reach it.
    Entry,
    /// A plain service.
    Service,
}

/// Whether an instance may be given new work; later states win within an incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It takes work.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It is no longer there.
    Gone,
}

/// One instance as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: Name,
    /// Its life, counted by the platform.
    pub incarnation: Incarnation,
    /// What runs on it.
    pub kind: InstanceKind,
    /// What operators' selectors match.
    pub labels: Labels,
    /// Its name, kept over restarts.
    pub name: Name,
    /// Whether it takes work.
    pub state: InstanceState,
}
