//! Counts the requests of workspaces, and shares the counts with the nodes that may report them.
//!
//! If a node dies, the counts that it has not shared yet are lost. So counts are shared as they
//! change, with several nodes: the holder of the duty and its possible successors.

use crate::clock;
use crate::duties::DUTY;
use crate::node::Node;
use crate::peers::{self, Owner, PeerAnswer, PeerCall};
use crate::platform::Platform;
use catkinmast_model::UnixMs;
use catkinmast_usage::{
    FleetClock, Ledger, OpenRequestId, UsageCounts, UsageSource, Window, WindowCounts, Windows,
};
use indexmap::IndexMap;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Interval at which a node shares new counts, in a small fleet.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// The interval grows by one [`SHARE_INTERVAL`] per this many nodes, so that each receiver gets at
/// most some 250 calls a second in a fleet of any size.
const SHARE_NODES_PER_INTERVAL: usize = 64;
/// How long a receiver may take to answer.
const SHARE_TIMEOUT: Duration = Duration::from_secs(1);
/// Receivers beside the holder: the first nodes in rank, one of which succeeds it.
const CANDIDATES: usize = 3;

/// The usage of workspaces, as far as this node knows it.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    counts: RefCell<Option<UsageCounts>>,
    /// The counts that nodes have shared with this one, its own included.
    pub ledger: RefCell<Ledger>,
    time: RefCell<FleetClock>,
}

impl Usage {
    /// Records that the wall clock of a node shows `wall` now.
    pub(crate) fn record_clock(&self, node: SocketAddr, wall: UnixMs) {
        self.time.borrow_mut().record_reading(node, wall, clock::now());
    }

    /// Returns the wall-clock time on which most nodes agree; this node's own while no clock is
    /// known.
    pub(crate) fn now(&self) -> UnixMs {
        self.time.borrow().at(clock::now()).unwrap_or_else(UnixMs::from_wall_clock)
    }

    /// Returns the number of clocks behind [`Usage::now`].
    pub(crate) fn clock_count(&self) -> usize {
        self.time.borrow().clock_count()
    }
}

/// A request of a workspace that was sent to a target. When dropped without an outcome, it counts
/// as begun, since it may have run.
#[derive(Debug)]
pub(crate) struct CountedRequest<P: Platform> {
    node: Rc<Node<P>>,
    open_request: Option<OpenRequestId>,
}

impl<P: Platform> CountedRequest<P> {
    /// Counts a request that is sent to a target; none if its usage is not reported.
    pub(crate) fn sent(node: &Rc<Node<P>>, workspace: Option<&str>) -> Option<Self> {
        let windows = windows(node)?;
        let at = node.usage.now();
        let mut counts = node.usage.counts.borrow_mut();
        let counts = counts.get_or_insert_with(|| UsageCounts::open(windows));
        let open_request = Some(counts.request_sent(at, workspace?));
        Some(Self { node: Rc::clone(node), open_request })
    }

    /// Records that the target has begun the request only now, so that it counts in the current
    /// window.
    pub(crate) fn began_now(mut self) {
        let at = Some(self.node.usage.now());
        self.settle(|counts, open_request| counts.request_started(open_request, at));
    }

    /// Records that no target began the request.
    pub(crate) fn not_run(mut self) {
        self.settle(UsageCounts::request_not_run);
    }

    fn settle(&mut self, settle: impl FnOnce(&mut UsageCounts, OpenRequestId)) {
        let Some(open_request) = self.open_request.take() else { return };
        if let Some(counts) = self.node.usage.counts.borrow_mut().as_mut() {
            settle(counts, open_request);
        }
    }
}

impl<P: Platform> Drop for CountedRequest<P> {
    fn drop(&mut self) {
        self.settle(|counts, open_request| counts.request_started(open_request, None));
    }
}

/// Returns the windows of usage; none if usage is not reported.
pub(crate) fn windows<P: Platform>(node: &Node<P>) -> Option<Windows> {
    let duties = node.settings().duties?;
    duties.reports_usage.then(|| Windows::of_ms(duties.window_ms))
}

/// Records counts that a node has shared, another or this one.
pub(crate) fn record_counts<P: Platform>(
    node: &Node<P>,
    source: &UsageSource,
    window_counts: Vec<WindowCounts>,
) {
    let mut ledger = node.usage.ledger.borrow_mut();
    for window in window_counts {
        ledger.record(source, window);
    }
}

/// The counts that a receiver has confirmed.
#[derive(Debug, Default)]
struct Confirmed(BTreeMap<Window, WindowCounts>);

impl Confirmed {
    /// Returns the counts that the receiver has not confirmed yet.
    fn updates(&self, window_counts: &[WindowCounts]) -> Vec<WindowCounts> {
        let updates = window_counts.iter().filter_map(|window| {
            let Some(held) = self.0.get(&window.window) else { return Some(window.clone()) };
            let is_new =
                |workspace: &String, count: &u64| held.counts.get(workspace) != Some(count);
            let counts: BTreeMap<String, u64> = window
                .counts
                .iter()
                .filter(|(workspace, count)| is_new(workspace, count))
                .map(|(workspace, count)| (workspace.clone(), *count))
                .collect();
            let is_update = !counts.is_empty() || window.complete != held.complete;
            is_update.then(|| WindowCounts { counts, ..window.clone() })
        });
        updates.collect()
    }
}

/// Shares this node's counts with the candidates for the duty, until the process ends.
pub(crate) async fn share_counts<P: Platform>(node: Rc<Node<P>>) {
    let Some(me) = peers::me(&node) else { return };
    let source = UsageSource { incarnation: me.incarnation, node: me.node.clone() };
    let mut confirmed: IndexMap<Owner, Confirmed> = IndexMap::new();
    loop {
        sleep(share_interval(&node)).await;
        let Some(windows) = windows(&node) else { continue };
        let now = node.usage.now();
        let window_counts = {
            let mut counts = node.usage.counts.borrow_mut();
            counts.get_or_insert_with(|| UsageCounts::open(windows)).window_counts(now)
        };
        record_counts(&node, &source, window_counts.clone());
        let candidates: Vec<Owner> = peers::duty_candidates(&node, DUTY, CANDIDATES)
            .into_iter()
            .filter(|to| *to != me)
            .collect();
        confirmed.retain(|to, _| candidates.contains(to));
        let mut calls = JoinSet::new();
        for to in candidates {
            let updates = confirmed.entry(to.clone()).or_default().updates(&window_counts);
            if !updates.is_empty() {
                let (node, source) = (Rc::clone(&node), source.clone());
                calls.spawn_local(async move { share_with(&node, to, source, updates).await });
            }
        }
        while let Some(done) = calls.join_next().await {
            if let Ok(Some(to)) = done {
                let held = window_counts.iter().map(|window| (window.window, window.clone()));
                confirmed.insert(to, Confirmed(held.collect()));
            }
        }
    }
}

/// Sends counts to one node. Returns the node if it has confirmed them.
async fn share_with<P: Platform>(
    node: &Node<P>,
    to: Owner,
    source: UsageSource,
    window_counts: Vec<WindowCounts>,
) -> Option<Owner> {
    let call = PeerCall::Usage { window_counts, source };
    match node.ask_peer(to.address, &call, SHARE_TIMEOUT).await {
        Ok(PeerAnswer::Accepted) => Some(to),
        Ok(_) => None,
        Err(error) => {
            node.note("usage_untold", json!({ "to": to.node, "why": error.message }));
            None
        }
    }
}

fn share_interval<P: Platform>(node: &Node<P>) -> Duration {
    let nodes = node.members.borrow().as_ref().map_or(1, |members| members.nodes().count());
    SHARE_INTERVAL * (nodes.div_ceil(SHARE_NODES_PER_INTERVAL).max(1) as u32)
}
