//! The state of a feed at one node.

use crate::metrics::Label;
use crate::store::StoreEvent;
use catkinmast_dispatch::{Freshness, RegistryOutage};
use catkinmast_feed::KeyTable;
use catkinmast_model::UnixMs;
use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;

/// What a feed follows. The names of the variants are written to the audit trail.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Subject {
    /// Configuration, weight versions and drain requests.
    Operators,
    /// Entries of targets in the registry.
    Targets,
}

impl Subject {
    /// Returns the metrics label of this subject.
    pub(super) const fn reason(self) -> Label {
        match self {
            Self::Operators => Label { reason: "operators" },
            Self::Targets => Label { reason: "targets" },
        }
    }
}

/// The source of an update.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source {
    /// A watcher's report, which other nodes may have passed on.
    Peer(SocketAddr),
    /// A peer's answer to a pull. It may rest on the reports of others.
    Pull(SocketAddr),
    Store,
}

impl Display for Source {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Peer(address) | Self::Pull(address) => address.fmt(f),
            Self::Store => f.write_str("the store"),
        }
    }
}

/// Changes as a node applies them.
#[derive(Debug)]
pub(super) struct FeedUpdate {
    /// Whether removals among the changes may stem from an outage of the store, as far as their source
    /// knows.
    pub(super) after_outage: bool,
    /// The revision up to which the changes are complete.
    pub(super) as_of: u64,
    /// When the resulting view was confirmed as complete, by this node's clock.
    pub(super) confirmed_at: Option<UnixMs>,
    pub(super) events: Vec<StoreEvent>,
    pub(super) source: Source,
}

/// The state of a feed at one node.
#[derive(Debug, Default)]
pub(super) struct FeedState {
    pub(super) freshness: Freshness,
    /// When a report or the store's answer last arrived, or this node last pulled changes because
    /// none had. A watcher's reports arrive more often than the store answers it, so this is no age of the view.
    pub(super) heard_at: UnixMs,
    /// Outages of the store itself, as far as any node knows.
    pub(super) outage: RegistryOutage,
    /// Whether a complete list of keys was read.
    pub(super) started: bool,
    pub(super) table: KeyTable,
}
