//! Counts the requests of workspaces, and tells what was counted to the nodes that may report it.
//!
//! A node that dies takes with it only what it has not told yet, so counts are told as they change, and
//! to several nodes: the holder of the duty and those that would follow it.

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

/// How often a node looks whether there is something to tell.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// Nodes from which each further one lengthens that pause, so that those that are told hear some 250
/// calls a second in a fleet of any size.
const SHARE_NODES_PER_INTERVAL: usize = 64;
/// How long a node that is told may take to answer.
const SHARE_TIMEOUT: Duration = Duration::from_secs(1);
/// The nodes that are told beside the holder: the first in rank, one of which follows it.
const CANDIDATES: usize = 3;

/// What this node knows of the use of workspaces.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    counts: RefCell<Option<UsageCounts>>,
    /// What nodes have told this one, itself among them.
    pub ledger: RefCell<Ledger>,
    time: RefCell<FleetClock>,
}

impl Usage {
    /// Takes it that a node's clock shows this time of day.
    pub(crate) fn record_clock(&self, node: SocketAddr, wall: UnixMs) {
        self.time.borrow_mut().record_reading(node, wall, clock::now());
    }

    /// Returns the time of day as most clocks have it.
    pub(crate) fn now(&self) -> UnixMs {
        self.time.borrow().at(clock::now()).unwrap_or_else(UnixMs::from_wall_clock)
    }

    /// Returns how many clocks that rests on.
    pub(crate) fn witnesses(&self) -> usize {
        self.time.borrow().clock_count()
    }
}

/// A request of a workspace at a target. Dropped, it counts as begun: nobody can tell otherwise.
#[derive(Debug)]
pub(crate) struct CountedRequest<P: Platform> {
    node: Rc<Node<P>>,
    ticket: Option<OpenRequestId>,
}

impl<P: Platform> CountedRequest<P> {
    /// Takes it that a request is handed to a target; none where its use is not reported.
    pub(crate) fn sent(node: &Rc<Node<P>>, workspace: Option<&str>) -> Option<Self> {
        let windows = windows(node)?;
        let at = node.usage.now();
        let mut counts = node.usage.counts.borrow_mut();
        let counts = counts.get_or_insert_with(|| UsageCounts::open(windows));
        let ticket = Some(counts.request_sent(at, workspace?));
        Some(Self { node: Rc::clone(node), ticket })
    }

    /// Takes it that its target began it now, and not when it was sent.
    pub(crate) fn began_now(mut self) {
        let at = Some(self.node.usage.now());
        self.settle(|counts, ticket| counts.request_started(ticket, at));
    }

    /// Takes it that no target began it.
    pub(crate) fn not_run(mut self) {
        self.settle(UsageCounts::request_not_run);
    }

    fn settle(&mut self, settle: impl FnOnce(&mut UsageCounts, OpenRequestId)) {
        let Some(ticket) = self.ticket.take() else { return };
        if let Some(counts) = self.node.usage.counts.borrow_mut().as_mut() {
            settle(counts, ticket);
        }
    }
}

impl<P: Platform> Drop for CountedRequest<P> {
    fn drop(&mut self) {
        self.settle(|counts, ticket| counts.request_started(ticket, None));
    }
}

/// Returns the windows of usage; none where none is reported.
pub(crate) fn windows<P: Platform>(node: &Node<P>) -> Option<Windows> {
    let duties = node.settings().duties?;
    duties.reports_usage.then(|| Windows::of_ms(duties.window_ms))
}

/// Takes what another node has counted.
pub(crate) fn record_counts<P: Platform>(
    node: &Node<P>,
    teller: &UsageSource,
    tables: Vec<WindowCounts>,
) {
    let mut ledger = node.usage.ledger.borrow_mut();
    for table in tables {
        ledger.record(teller, table);
    }
}

/// What a node has confirmed that it was told.
#[derive(Debug, Default)]
struct Confirmed(BTreeMap<Window, WindowCounts>);

impl Confirmed {
    /// Returns what it was not told yet.
    fn updates(&self, tables: &[WindowCounts]) -> Vec<WindowCounts> {
        let updates = tables.iter().filter_map(|table| {
            let Some(held) = self.0.get(&table.window) else { return Some(table.clone()) };
            let is_new =
                |workspace: &String, count: &u64| held.counts.get(workspace) != Some(count);
            let counts: BTreeMap<String, u64> = table
                .counts
                .iter()
                .filter(|(workspace, count)| is_new(workspace, count))
                .map(|(workspace, count)| (workspace.clone(), *count))
                .collect();
            let is_update = !counts.is_empty() || table.complete != held.complete;
            is_update.then(|| WindowCounts { counts, ..table.clone() })
        });
        updates.collect()
    }
}

/// Tells what this node counts until the process ends.
pub(crate) async fn share_counts<P: Platform>(node: Rc<Node<P>>) {
    let Some(me) = peers::me(&node) else { return };
    let teller = UsageSource { incarnation: me.incarnation, node: me.node.clone() };
    let mut confirmed: IndexMap<Owner, Confirmed> = IndexMap::new();
    loop {
        sleep(share_interval(&node)).await;
        let Some(windows) = windows(&node) else { continue };
        let now = node.usage.now();
        let tables = {
            let mut counts = node.usage.counts.borrow_mut();
            counts.get_or_insert_with(|| UsageCounts::open(windows)).window_counts(now)
        };
        record_counts(&node, &teller, tables.clone());
        let duty_candidates: Vec<Owner> = peers::duty_candidates(&node, DUTY, CANDIDATES)
            .into_iter()
            .filter(|to| *to != me)
            .collect();
        confirmed.retain(|to, _| duty_candidates.contains(to));
        let mut calls = JoinSet::new();
        for to in duty_candidates {
            let updates = confirmed.entry(to.clone()).or_default().updates(&tables);
            if !updates.is_empty() {
                let (node, teller) = (Rc::clone(&node), teller.clone());
                calls.spawn_local(async move { share_with(&node, to, teller, updates).await });
            }
        }
        while let Some(done) = calls.join_next().await {
            if let Ok(Some(to)) = done {
                let held = tables.iter().map(|table| (table.window, table.clone()));
                confirmed.insert(to, Confirmed(held.collect()));
            }
        }
    }
}

/// Tells one node; returns it if it has confirmed that.
async fn share_with<P: Platform>(
    node: &Node<P>,
    to: Owner,
    teller: UsageSource,
    tables: Vec<WindowCounts>,
) -> Option<Owner> {
    let call = PeerCall::Usage { tables, teller };
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
