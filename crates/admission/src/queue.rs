//! The requests that wait until the window of their service has room.
//!
//! A burst of one workspace or one route can exceed what a service's targets can serve for a while.
//! If waiting requests were sent in no order, each would have the same chance: a workspace that
//! sends ten times as much would be served ten times as much, and the others would wait behind it.
//! The queue instead sends requests in the order of how much their workspaces were served recently.
//! Each lower priority doubles the weight of that amount, and the earliest deadline comes first
//! among equals: a caller that returns after a rejection has less time left than a new one. A
//! workspace that is not served therefore comes first eventually, whatever its priority, unless
//! several more urgent workspaces together take all that is served: the recent service of each may
//! then stay too small to outweigh the lower priority.
//!
//! Weights change with time and with each request served, so the queue is not kept sorted. It is
//! short: requests that cannot be sent in time are not queued.

use crate::served::RecentService;
use catkinmast_model::UnixMs;
use std::cmp::Ordering;

/// Most requests that wait for a service at one node. The largest windows met are below 100, and a
/// queue of several times the window is served in time only if answers take a few milliseconds.
pub const QUEUE_MAX: usize = 256;
/// One waiting request in this many is sent in a round. An order has no effect if all are sent.
const ROUND_DIVISOR: usize = 2;
/// Most requests of a round. With a round every 20 ms, that is 200 a second at one node.
const ROUND_MAX: usize = 4;
/// Largest priority value that makes a difference.
const PRIORITY_MAX: u32 = 9;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(u64);

impl WaiterId {
    pub(crate) const fn number(self) -> u64 {
        self.0
    }
}

/// A waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// When the caller stops waiting.
    pub deadline_at: UnixMs,
    /// Until when the answer is on time.
    pub goal_at: UnixMs,
    /// Its number, assigned by [`WaitQueue::enqueue`].
    pub id: WaiterId,
    /// Whether it was sent before and refused.
    pub is_retry: bool,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// Name of its route.
    pub route: String,
    /// The workspace that it belongs to; none where no key was required.
    pub workspace: Option<String>,
}

impl Waiter {
    /// Returns its place in the order.
    ///
    /// The weight is one more than the recent service of the request's workspace, times two to the
    /// power of the request's priority. The lowest is sent first.
    fn rank(&self, now: UnixMs, served: &impl RecentService) -> Rank {
        let recent = served.recent_service(now, self.workspace.as_deref());
        let weight = (recent + 1.0) * f64::from(self.priority.min(PRIORITY_MAX)).exp2();
        Rank { deadline_at: self.deadline_at, id: self.id, weight }
    }
}

/// The place of a request in the order of a queue at one moment.
#[derive(Clone, Copy, Debug)]
struct Rank {
    deadline_at: UnixMs,
    id: WaiterId,
    weight: f64,
}

impl Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_weight = self.weight.total_cmp(&other.weight);
        by_weight.then_with(|| (self.deadline_at, self.id).cmp(&(other.deadline_at, other.id)))
    }
}

/// The requests that wait for targets of one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    next: u64,
    waiters: Vec<Waiter>,
}

impl WaitQueue {
    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the number for the next request.
    pub fn next_id(&self) -> WaiterId {
        WaiterId(self.next)
    }

    /// Adds a request and gives it [`next_id`](Self::next_id).
    pub fn enqueue(&mut self, waiter: Waiter) -> WaiterId {
        let id = self.next_id();
        self.next += 1;
        self.waiters.push(Waiter { id, ..waiter });
        id
    }

    /// Removes a request that no longer waits; returns whether it was waiting.
    pub fn remove(&mut self, id: WaiterId) -> bool {
        let position = self.waiters.iter().position(|waiter| waiter.id == id);
        position.is_some_and(|position| {
            self.waiters.swap_remove(position);
            true
        })
    }

    /// Removes and returns the request that is sent next.
    pub fn pop(&mut self, now: UnixMs, served: &impl RecentService) -> Option<Waiter> {
        let ranks = self.waiters.iter().map(|waiter| waiter.rank(now, served)).enumerate();
        let (position, _) = ranks.min_by(|(_, one), (_, other)| one.cmp(other))?;
        Some(self.waiters.swap_remove(position))
    }

    /// Removes and returns the requests of one round, the first to be sent in front. Rounds are for
    /// requests that wait without a window.
    pub fn pop_round(&mut self, now: UnixMs, served: &impl RecentService) -> Vec<Waiter> {
        let size = self.len().div_ceil(ROUND_DIVISOR).min(ROUND_MAX);
        (0..size).filter_map(|_| self.pop(now, served)).collect()
    }

    /// Returns how many waiting requests would be sent before one that is not in the queue yet.
    pub(crate) fn count_ahead(
        &self,
        now: UnixMs,
        served: &impl RecentService,
        newcomer: &Waiter,
    ) -> usize {
        let rank = newcomer.rank(now, served);
        let is_ahead = |waiter: &&Waiter| waiter.rank(now, served).cmp(&rank).is_lt();
        self.waiters.iter().filter(is_ahead).count()
    }

    /// Removes and returns the requests behind `newcomer` for which `is_hopeless` holds, given the
    /// number of requests that are sent before them. `ahead` is that number for `newcomer`, which
    /// is in the queue. Only the requests behind it are sorted.
    pub(crate) fn remove_displaced(
        &mut self,
        now: UnixMs,
        served: &impl RecentService,
        newcomer: &Waiter,
        ahead: usize,
        is_hopeless: impl Fn(&Waiter, usize) -> bool,
    ) -> Vec<Waiter> {
        if ahead + 1 >= self.waiters.len() {
            return Vec::new();
        }
        let rank = newcomer.rank(now, served);
        let mut behind: Vec<(Rank, &Waiter)> = self
            .waiters
            .iter()
            .map(|waiter| (waiter.rank(now, served), waiter))
            .filter(|(other, _)| other.cmp(&rank).is_gt())
            .collect();
        behind.sort_unstable_by(|(one, _), (other, _)| one.cmp(other));
        let mut displaced = Vec::new();
        let mut ahead = ahead + 1;
        for (_, waiter) in behind {
            if is_hopeless(waiter, ahead) {
                displaced.push(waiter.clone());
            } else {
                ahead += 1;
            }
        }
        self.waiters.retain(|waiter| displaced.iter().all(|gone| gone.id != waiter.id));
        displaced
    }
}
