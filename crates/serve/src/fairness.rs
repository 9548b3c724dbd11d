//! Keeps workspaces to their shares while targets cannot serve all requests.
//!
//! Only calls that are answered by one complete answer are counted and rejected. All services share
//! one count: the calls of a deployment's workspaces mostly go to one service, and a count for each
//! service would take as many entries in the datagrams.

use crate::caller::ErrorAnswer;
use crate::clock;
use crate::forward::OutgoingRequest;
use crate::metrics::count;
use crate::node::Node;
use crate::peers::{self, Datagram};
use crate::platform::Platform;
use catkinmast_fairness::{FairShares, Half};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use rand::Rng;
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval of the datagrams.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the lines about one workspace. Each rejected request has a line of its own.
const NOTE_INTERVAL_MS: u64 = 1_000;
/// Retry-After of a rejected request before jitter: a workspace that sends more than its share is
/// over it for some seconds, and a caller returns once only.
const RETRY_AFTER_MS: u64 = 250;
/// Smallest Retry-After.
const RETRY_AFTER_MIN_MS: u64 = 50;
/// Callers ignore a Retry-After of more than one part in this many of the time they have left.
const LEFT_PARTS: u64 = 3;

/// The shares of workspaces.
#[derive(Debug, Default)]
pub(crate) struct Fairness {
    pub shares: RefCell<FairShares>,
    /// When the last line about each workspace was written.
    noted_at: RefCell<IndexMap<String, UnixMs>>,
}

/// An admitted request, the end of which is to be recorded. If it is dropped because its caller has
/// disconnected, it counts neither as served nor as refused.
#[derive(Debug)]
pub(crate) struct Admitted<'a, P: Platform> {
    node: &'a Node<P>,
    workspace: Option<&'a str>,
}

impl<P: Platform> Admitted<'_, P> {
    /// Records how the request ended, and returns that.
    pub(crate) fn record_end<T>(self, end: Result<T, ErrorAnswer>) -> Result<T, ErrorAnswer> {
        if let Some(workspace) = self.workspace {
            let mut shares = self.node.fairness.shares.borrow_mut();
            match &end {
                Ok(_) => shares.record_served(clock::now(), workspace),
                Err(error) if error.is_refused_or_late() => shares.record_unserved(clock::now()),
                Err(_) => {}
            }
        }
        end
    }
}

/// Counts a request that arrived, and admits it unless its workspace is above its share.
///
/// # Errors
/// If the request is rejected; it has not run then.
pub(crate) fn admit<'a, P: Platform>(
    node: &'a Node<P>,
    outgoing: &'a OutgoingRequest,
) -> Result<Admitted<'a, P>, ErrorAnswer> {
    let Some(workspace) = outgoing.workspace.as_deref() else {
        return Ok(Admitted { node, workspace: None });
    };
    let now = clock::now();
    let draw = node.rng.borrow_mut().random::<f64>();
    let is_admitted = {
        let mut shares = node.fairness.shares.borrow_mut();
        shares.record_offered(now, workspace, outgoing.priority);
        shares.admits(now, workspace, outgoing.priority, draw)
    };
    if is_admitted {
        count(&node.metrics.workspace_shares, "admitted");
        return Ok(Admitted { node, workspace: Some(workspace) });
    }
    count(&node.metrics.workspace_shares, "rejected");
    note_over_share(node, now, workspace, outgoing.priority);
    let retry_after_ms = retry_after_ms(node, outgoing.deadline_at.since_ms(now));
    Err(ErrorAnswer::not_run("the workspace sends more than its share", retry_after_ms))
}

/// Returns the Retry-After of a rejected request, spread over 0.5 to 1.5 of the usual time so that
/// callers do not return at the same moment.
fn retry_after_ms<P: Platform>(node: &Node<P>, left_ms: u64) -> u64 {
    let spread_ms = node.rng.borrow_mut().random_range(0..=RETRY_AFTER_MS);
    let jittered_ms = RETRY_AFTER_MS / 2 + spread_ms;
    jittered_ms.min(left_ms / LEFT_PARTS).max(RETRY_AFTER_MIN_MS)
}

fn note_over_share<P: Platform>(node: &Node<P>, now: UnixMs, workspace: &str, priority: u32) {
    let mut noted_at = node.fairness.noted_at.borrow_mut();
    noted_at.retain(|_, at| now.since_ms(*at) < NOTE_INTERVAL_MS);
    if noted_at.contains_key(workspace) {
        return;
    }
    noted_at.insert(workspace.to_owned(), now);
    let over = node.fairness.shares.borrow().over_share(workspace, priority);
    node.note(
        "workspace_over_share",
        json!({
            "workspace": workspace, "priority": priority,
            "recent_requests": over.map(|over| over.demand.round()),
            "share_requests": over.map(|over| over.level.round()),
        }),
    );
}

/// Adds the load that another node has sent.
pub(crate) fn receive<P: Platform>(node: &Node<P>, half: Half, from: SocketAddr) {
    count(&node.metrics.workspace_load_datagrams, "received");
    let received = node.fairness.shares.borrow_mut().receive(clock::now(), half);
    if let Err(bad) = received {
        node.note(
            "datagram_refused",
            json!({
                "from": from, "why": bad.to_string(), "field": bad.field, "value": bad.value,
            }),
        );
    }
}

/// Sends a part of this node's load to a random live peer at a fixed interval, until the process
/// ends. Does nothing while no workspaces are configured.
pub(crate) async fn share_loads<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(SHARE_INTERVAL).await;
        let document = node.document();
        let workspaces = document.as_ref().and_then(|document| document.workspaces.as_ref());
        let Some(workspaces) = workspaces else { continue };
        let peers = node.live_peers();
        let half = {
            let mut shares = node.fairness.shares.borrow_mut();
            shares.set_size(peers.len() + 1, workspaces.len());
            // Without a peer, nothing may be split off.
            peers.first().and_then(|peer| Some((*peer, shares.outgoing(clock::now())?)))
        };
        if let Some((peer, half)) = half {
            peers::send(&node, &Datagram::WorkspaceLoad(half), peer);
            count(&node.metrics.workspace_load_datagrams, "sent");
        }
    }
}
