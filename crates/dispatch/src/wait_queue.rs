//! Fair queueing of requests while all targets of a service refuse for load.
//!
//! A burst of one workspace or one route can exceed what a service's targets can serve for a while.
//! If waiting requests were retried in no order, each would have the same chance: a workspace that
//! sends ten times as much would be served ten times as much, and the others would wait behind it.
//! The queue instead retries requests in the order of how much their workspaces were served
//! recently. Each lower priority doubles the weight of that amount, and the oldest request comes
//! first among equals. A workspace that is not served therefore comes first eventually, whatever
//! its priority, unless several more urgent workspaces together take all that is served: the recent
//! service of each may then stay too small to outweigh the lower priority.

use catkinmast_model::UnixMs;
use indexmap::{IndexMap, IndexSet};

/// Half-life of the recent service of a workspace.
const HALF_LIFE_MS: u64 = 5_000;
/// Recent service below this is dropped.
const SERVED_MIN: f64 = 0.01;
/// Largest priority value that makes a difference.
const PRIORITY_MAX: u32 = 9;
/// One waiting request in this many may be tried at a time. An order has no effect if all are
/// tried.
const DUE_DIVISOR: usize = 2;
/// Most requests that may be tried at a time. With a retry every 20 ms, that is 200 a second at one
/// node.
const DUE_MAX: usize = 4;
/// How long the same requests may be tried before the selection is renewed.
const SELECT_INTERVAL_MS: u64 = 10;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(u64);

#[derive(Clone, Debug)]
struct Waiter {
    id: WaiterId,
    priority: u32,
    since: UnixMs,
    workspace: Option<String>,
}

/// How much a workspace has been served, decayed to the moment `at`.
#[derive(Clone, Copy, Debug)]
struct RecentService {
    at: UnixMs,
    served: f64,
}

impl RecentService {
    fn decayed_to(self, now: UnixMs) -> f64 {
        let halvings = now.since_ms(self.at) as f64 / HALF_LIFE_MS as f64;
        self.served * (-halvings).exp2()
    }
}

/// The requests that wait for targets of one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    selected_at: Option<UnixMs>,
    due: IndexSet<WaiterId>,
    next: u64,
    served_by_workspace: IndexMap<Option<String>, RecentService>,
    waiters: Vec<Waiter>,
}

impl WaitQueue {
    /// Adds a request that has waited since `since`.
    pub fn enqueue(&mut self, since: UnixMs, workspace: Option<&str>, priority: u32) -> WaiterId {
        let id = WaiterId(self.next);
        self.next += 1;
        let workspace = workspace.map(str::to_owned);
        self.waiters.push(Waiter { id, priority, since, workspace });
        id
    }

    /// Returns whether no request waits.
    pub const fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, id: WaiterId) {
        self.waiters.retain(|waiter| waiter.id != id);
    }

    /// Records that a request of a workspace was served.
    pub fn record_served(&mut self, now: UnixMs, workspace: Option<&str>) {
        let workspace = workspace.map(str::to_owned);
        let recent = self
            .served_by_workspace
            .entry(workspace)
            .or_insert(RecentService { at: now, served: 0.0 });
        *recent = RecentService { at: now, served: recent.decayed_to(now) + 1.0 };
        self.served_by_workspace.retain(|_, recent| recent.decayed_to(now) >= SERVED_MIN);
    }

    /// Returns whether a request may be tried now.
    pub fn is_due(&mut self, now: UnixMs, id: WaiterId) -> bool {
        if self.selected_at.is_none_or(|at| now.since_ms(at) >= SELECT_INTERVAL_MS) {
            self.select_due(now);
        }
        self.due.contains(&id)
    }

    /// Selects the requests that may be tried.
    fn select_due(&mut self, now: UnixMs) {
        self.selected_at = Some(now);
        let rank_key = |waiter: &Waiter| (self.weight(now, waiter), waiter.since, waiter.id);
        let mut ranked: Vec<(f64, UnixMs, WaiterId)> = self.waiters.iter().map(rank_key).collect();
        ranked.sort_unstable_by(|one, other| {
            one.0.total_cmp(&other.0).then_with(|| (one.1, one.2).cmp(&(other.1, other.2)))
        });
        let due = ranked.len().div_ceil(DUE_DIVISOR).min(DUE_MAX);
        self.due = ranked[..due].iter().map(|(_, _, id)| *id).collect();
    }

    /// Returns one more than the recent service of a request's workspace, times two to the power of
    /// the request's priority. The lowest is served first.
    fn weight(&self, now: UnixMs, waiter: &Waiter) -> f64 {
        let served = self
            .served_by_workspace
            .get(&waiter.workspace)
            .map_or(0.0, |recent| recent.decayed_to(now));
        let priority = f64::from(waiter.priority.min(PRIORITY_MAX));
        (served + 1.0) * priority.exp2()
    }
}
