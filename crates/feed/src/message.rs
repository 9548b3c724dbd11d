//! The message that carries changes between nodes.

use crate::item::StoreEvent;
use serde::{Deserialize, Serialize};

/// Size limit of the changes in one datagram.
const DATAGRAM_CHANGES_BYTES: usize = 1_200;

/// Changes of a feed, as nodes send them to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// The revision after which the changes begin.
    pub after: u64,
    /// Whether the store has just returned from an outage, as far as the sender knows, so that removed
    /// targets may register again soon.
    pub after_outage: bool,
    /// The revision up to which the changes are complete.
    pub as_of: u64,
    /// The age of the store's last confirmation of the sender's view when this was sent; none if it
    /// was too old. A duration, because the clocks of two instances cannot be compared.
    pub confirmed_ms_ago: Option<u64>,
    /// The changes; none if they do not fit in a datagram.
    pub events: Option<Vec<StoreEvent>>,
}

/// Most datagrams that changes are sent in. Each node on the way sends each of them to all those
/// below it, so more are announced instead, and pulled once by each node, packed.
const DATAGRAMS_MAX: usize = 8;

/// Splits changes into parts that fit in a datagram each. If a single change does not fit, or there
/// are too many, the result is one datagram without changes, and the receiver asks for them.
pub fn datagrams(changes: Changes) -> Vec<Changes> {
    let Changes { after, after_outage, as_of, confirmed_ms_ago, events } = changes;
    let announced = Changes { after, after_outage, as_of, confirmed_ms_ago, events: None };
    let Some(events) = events else { return vec![announced] };
    let mut parts = Vec::new();
    let mut part_events: Vec<StoreEvent> = Vec::new();
    let mut part_after = after;
    let mut spent_bytes = 0;
    for event in events {
        let size_bytes = event.size_bytes();
        if size_bytes > DATAGRAM_CHANGES_BYTES || parts.len() >= DATAGRAMS_MAX {
            return vec![announced];
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
