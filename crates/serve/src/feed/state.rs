//! The state of a feed at one node, and the messages that carry its changes between nodes.

use crate::metrics::Label;
use crate::store::{StoreEvent, StoredItem};
use catkinmast_dispatch::Freshness;
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;

/// Size limit of the changes in one datagram.
const DATAGRAM_CHANGES_BYTES: usize = 1_200;
/// Changes that are kept for peers that have missed a datagram.
const LOG_MAX_EVENTS: usize = 512;

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

/// Changes of a feed, as nodes send them to each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Changes {
    /// The revision after which the changes begin.
    pub after: u64,
    /// Whether the store was unavailable before the changes, so that removed targets may register
    /// again soon.
    pub after_outage: bool,
    /// The revision up to which the changes are complete.
    pub as_of: u64,
    /// The age of the store's last confirmation of the sender's view when this was sent; none if it
    /// was too old. A duration, because the clocks of two instances cannot be compared.
    pub confirmed_ms_ago: Option<u64>,
    /// The changes; none if they do not fit in a datagram.
    pub events: Option<Vec<StoreEvent>>,
}

/// The source of an update.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source {
    Peer(SocketAddr),
    Store,
}

impl Display for Source {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Peer(address) => address.fmt(f),
            Self::Store => f.write_str("the store"),
        }
    }
}

/// Changes as a node applies them.
#[derive(Debug)]
pub(super) struct FeedUpdate {
    /// Whether the store was unavailable before the changes.
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
    pub(super) as_of: u64,
    pub(super) freshness: Freshness,
    /// The revision and value of each key.
    pub(super) items: IndexMap<String, (u64, Vec<u8>)>,
    /// The last changes, in the order in which they were applied.
    pub(super) log: VecDeque<StoreEvent>,
    /// The revision after which the log holds all changes.
    pub(super) log_from: u64,
    /// Whether the first read from the store has succeeded.
    pub(super) started: bool,
}

impl FeedState {
    /// Returns the changes from this state to a complete list of keys that was read at `as_of`.
    pub(super) fn difference(&self, items: &[StoredItem], as_of: u64) -> Vec<StoreEvent> {
        let listed = |key: &String| items.iter().any(|item| item.key == *key);
        let removed = self.items.keys().filter(|key| !listed(key));
        let removed = removed.map(|key| StoreEvent::Deleted { key: key.clone(), revision: as_of });
        let held = |item: &StoredItem| self.items.get(&item.key).map_or(0, |(held, _)| *held);
        let new = items.iter().filter(|item| item.revision > held(item));
        let mut events: Vec<StoreEvent> =
            removed.chain(new.cloned().map(StoreEvent::Written)).collect();
        // They may be sent in several datagrams. A node that misses one asks for the changes after
        // the last revision that it has, so they must be in order.
        events.sort_by_key(StoreEvent::revision);
        events
    }

    /// Applies changes and returns those that were new.
    pub(super) fn apply(&mut self, events: Vec<StoreEvent>, as_of: u64) -> Vec<StoreEvent> {
        let applied: Vec<StoreEvent> =
            events.into_iter().filter(|event| self.apply_one(event)).collect();
        for event in &applied {
            self.log.push_back(event.clone());
        }
        while self.log.len() > LOG_MAX_EVENTS {
            if let Some(event) = self.log.pop_front() {
                self.log_from = self.log_from.max(event.revision());
            }
        }
        self.as_of = self.as_of.max(as_of);
        applied
    }

    fn apply_one(&mut self, event: &StoreEvent) -> bool {
        let held = self.items.get(event.key()).map(|(revision, _)| *revision);
        match event {
            StoreEvent::Written(item) => {
                let is_new = held.is_none_or(|held| item.revision > held);
                if is_new {
                    self.items.insert(item.key.clone(), (item.revision, item.value.clone()));
                }
                is_new
            }
            StoreEvent::Deleted { key, revision } => {
                let is_new = held.is_some_and(|held| *revision > held);
                if is_new {
                    self.items.swap_remove(key);
                }
                is_new
            }
        }
    }
}

/// Splits changes into parts that fit in a datagram each. If a single change does not fit, the
/// result is one datagram without changes, and the receiver asks for them.
pub(super) fn datagrams(changes: Changes) -> Vec<Changes> {
    let Changes { after, after_outage, as_of, confirmed_ms_ago, events } = changes;
    let mut parts = Vec::new();
    let mut part_events: Vec<StoreEvent> = Vec::new();
    let mut part_after = after;
    let mut spent_bytes = 0;
    for event in events.unwrap_or_default() {
        let size_bytes = event.size_bytes();
        if size_bytes > DATAGRAM_CHANGES_BYTES {
            return vec![Changes { after, after_outage, as_of, confirmed_ms_ago, events: None }];
        }
        if spent_bytes + size_bytes > DATAGRAM_CHANGES_BYTES {
            let until = part_events.last().map_or(part_after, StoreEvent::revision).max(part_after);
            let events = Some(std::mem::take(&mut part_events));
            let part = Changes {
                after: part_after,
                after_outage,
                as_of: until,
                confirmed_ms_ago: None,
                events,
            };
            parts.push(part);
            part_after = until;
            spent_bytes = 0;
        }
        spent_bytes += size_bytes;
        part_events.push(event);
    }
    let events = Some(part_events);
    parts.push(Changes { after: part_after, after_outage, as_of, confirmed_ms_ago, events });
    parts
}

impl StoreEvent {
    pub(super) fn key(&self) -> &str {
        match self {
            Self::Deleted { key, .. } => key,
            Self::Written(item) => &item.key,
        }
    }

    pub(super) const fn revision(&self) -> u64 {
        match self {
            Self::Deleted { revision, .. } => *revision,
            Self::Written(item) => item.revision,
        }
    }
}

impl StoreEvent {
    fn size_bytes(&self) -> usize {
        const FRAMING_BYTES: usize = 16;
        let value = if let Self::Written(item) = self { item.value.len() } else { 0 };
        self.key().len() + value + FRAMING_BYTES
    }
}
