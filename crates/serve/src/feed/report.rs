//! Reports of the watchers: changes that one node has read, for all others.

use super::state::Source;
use super::{Subject, apply_update, peer_update, pull, reportable_age_ms};
use crate::clock;
use crate::node::Node;
use crate::peers::{self, Datagram};
use crate::platform::Platform;
use catkinmast_feed::{Changes, HashSpan, datagrams, delegate};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Handles a datagram with changes that the node at `origin` has read. If this node has missed
/// earlier changes, it asks the sender for them instead.
pub(crate) fn receive_changes<P: Platform>(
    node: &Node<P>,
    subject: Subject,
    changes: Changes,
    from: SocketAddr,
    origin: SocketAddr,
) {
    let feed = node.feeds.of(subject);
    let (as_of, started) = {
        let mut state = feed.state.borrow_mut();
        state.heard_at = clock::now();
        (state.table.as_of(), state.started)
    };
    if changes.after > as_of || (changes.events.is_none() && changes.as_of > as_of) {
        if started {
            pull::request_catch_up(feed, from, changes.as_of);
        }
        return;
    }
    apply_update(node, subject, peer_update(changes, Source::Peer(origin), clock::now()));
}

/// Sends changes to all nodes, over a tree of which this node is the root.
pub(super) fn send_to_all<P: Platform>(node: &Node<P>, subject: Subject, changes: Changes) {
    let origin = node.settings().peer;
    for part in datagrams(changes) {
        relay(node, subject, part, origin, HashSpan::ALL);
    }
}

/// Passes changes on to the nodes of a span.
pub(crate) fn relay<P: Platform>(
    node: &Node<P>,
    subject: Subject,
    changes: Changes,
    origin: SocketAddr,
    span: HashSpan,
) {
    let Some((recipients, own_hash)) = peers::recipients(node) else { return };
    let salt = xxh3_64(origin.to_string().as_bytes());
    let delegations = delegate(&recipients, span, own_hash, salt);
    if delegations.is_empty() {
        return;
    }
    let mut datagram = Datagram::RelayedChanges { changes, origin, span, subject };
    for delegation in delegations {
        if let Datagram::RelayedChanges { span, .. } = &mut datagram {
            *span = delegation.span;
        }
        peers::send(node, &datagram, delegation.to);
    }
}

/// Reports that this node has the changes up to a revision, and how old its view is.
pub(super) fn send_heartbeat<P: Platform>(node: &Node<P>, subject: Subject) {
    let Some(age_ms) = reportable_age_ms(node, subject) else { return };
    let (after, as_of) = {
        let state = node.feeds.of(subject).state.borrow();
        (state.table.base_of(state.table.as_of()), state.table.as_of())
    };
    let confirmed_ms_ago = Some(age_ms);
    let events = Some(Vec::new());
    let changes = Changes { after, after_outage: false, as_of, confirmed_ms_ago, events };
    send_to_all(node, subject, changes);
}
