//! Admission control: which requests are served now, queued or refused.
//!
//! A node serves a bounded number of requests at once. When it is full, requests wait in a bounded
//! queue, ordered by class (the most urgent first) and then by deadline. A request that would miss
//! its deadline in the queue is refused on arrival, and a full queue drops a less urgent request
//! for a more urgent one. A request of a workspace that has its maximum in flight is refused and
//! not queued. Requests are refused before any byte is sent to a target, so the verdict `NotRun`
//! holds, and the refusal tells the caller at once when to retry.

use catkinmast_config::CallClass;
use catkinmast_model::{Refusal, UnixMs};
use indexmap::IndexMap;

/// Window of the moving average of the service time: a new sample has weight 1/16.
const MEAN_WINDOW: u64 = 16;
/// The shortest time after which a refused caller is told to retry.
const RETRY_FLOOR_MS: u64 = 50;

/// Identifies a request in the queue.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WaitId(u64);

/// Limits of a node's admission control.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Maximum number of requests served at once.
    pub in_flight_max: u32,
    /// Maximum number of requests in the queue.
    pub queue_max: u32,
}

/// The decision on a request that arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request is served now.
    Admitted,
    /// The request is refused.
    Refused(Refusal),
    /// The request waits in the queue.
    Queued(WaitId),
}

/// Requests that leave the queue.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Dequeued {
    /// Requests that are served now.
    pub admitted: Vec<WaitId>,
    /// Requests that are refused.
    pub refused: Vec<(WaitId, Refusal)>,
}

#[derive(Clone, Debug)]
struct Waiting {
    class: CallClass,
    deadline: UnixMs,
    id: WaitId,
    workspace: String,
}

/// The admission control of one node.
#[derive(Clone, Debug)]
pub struct Admission {
    in_flight: u32,
    limits: AdmissionLimits,
    mean_service_us: u64,
    next_id: u64,
    queue: Vec<Waiting>,
    workspace_in_flight: IndexMap<String, u32>,
    workspace_limits: IndexMap<String, u32>,
}

impl Admission {
    /// Creates an admission control without requests.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            in_flight: 0,
            limits,
            mean_service_us: 1_000,
            next_id: 0,
            queue: Vec::new(),
            workspace_in_flight: IndexMap::new(),
            workspace_limits: IndexMap::new(),
        }
    }

    /// Changes the limits of the node, and the maximum number of requests in flight of each
    /// workspace. Requests already admitted are not affected.
    pub fn set_limits(&mut self, limits: AdmissionLimits, workspace_limits: IndexMap<String, u32>) {
        self.limits = limits;
        self.workspace_limits = workspace_limits;
    }

    /// Returns the number of requests being served.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Decides on a request that arrives. Also returns the request that it displaces from a full
    /// queue, if any.
    pub fn arrive(
        &mut self,
        now: UnixMs,
        workspace: &str,
        class: CallClass,
        deadline: UnixMs,
    ) -> (AdmissionDecision, Dequeued) {
        let mut dequeued = Dequeued::default();
        if self.workspace_is_full(workspace) {
            let message =
                format!("workspace '{workspace}' has as many requests in flight as it may");
            return (AdmissionDecision::Refused(self.refusal(now, message, 1)), dequeued);
        }
        if self.in_flight < self.limits.in_flight_max && self.queue.is_empty() {
            self.count_in_flight(workspace);
            return (AdmissionDecision::Admitted, dequeued);
        }
        let ahead = self.queue.iter().filter(|waiting| waiting.class <= class).count() as u64;
        if now.plus(self.expected_wait_ms(ahead + 1)) > deadline {
            let message = "the node is full: the request would miss its deadline in the queue";
            return (AdmissionDecision::Refused(self.refusal(now, message, ahead + 1)), dequeued);
        }
        if self.queue.len() as u64 >= u64::from(self.limits.queue_max) {
            if let Some(displaced) = self.displace(now, class) {
                dequeued.refused.push(displaced);
            } else {
                let refusal = self.refusal(now, "the node's queue is full", ahead + 1);
                return (AdmissionDecision::Refused(refusal), dequeued);
            }
        }
        (AdmissionDecision::Queued(self.enqueue(workspace, class, deadline)), dequeued)
    }

    /// Counts a request as done after `service_us`, and admits queued ones.
    pub fn finish(&mut self, now: UnixMs, workspace: &str, service_us: u64) -> Dequeued {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(count) = self.workspace_in_flight.get_mut(workspace) {
            *count = count.saturating_sub(1);
        }
        let mean = self.mean_service_us * (MEAN_WINDOW - 1) + service_us;
        self.mean_service_us = (mean / MEAN_WINDOW).max(1);
        self.admit_waiting(now)
    }

    /// Removes a request whose caller went away while it was queued.
    pub fn abandon(&mut self, id: WaitId) {
        self.queue.retain(|waiting| waiting.id != id);
    }

    fn admit_waiting(&mut self, now: UnixMs) -> Dequeued {
        let mut dequeued = self.expire(now);
        while self.in_flight < self.limits.in_flight_max {
            let next =
                self.queue.iter().position(|waiting| !self.workspace_is_full(&waiting.workspace));
            let Some(position) = next else { break };
            let waiting = self.queue.remove(position);
            self.count_in_flight(&waiting.workspace);
            dequeued.admitted.push(waiting.id);
        }
        dequeued
    }

    /// Refuses the queued requests whose deadline has passed.
    pub fn expire(&mut self, now: UnixMs) -> Dequeued {
        let (late, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.queue).into_iter().partition(|w| w.deadline <= now);
        self.queue = kept;
        let message = "the request waited past its deadline";
        let refused = late.into_iter().map(|w| (w.id, self.refusal(now, message, 1))).collect();
        Dequeued { admitted: Vec::new(), refused }
    }

    fn workspace_is_full(&self, workspace: &str) -> bool {
        let in_flight = self.workspace_in_flight.get(workspace).copied().unwrap_or(0);
        self.workspace_limits.get(workspace).is_some_and(|limit| in_flight >= *limit)
    }

    fn count_in_flight(&mut self, workspace: &str) {
        self.in_flight += 1;
        match self.workspace_in_flight.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                self.workspace_in_flight.insert(workspace.to_owned(), 1);
            }
        }
    }

    fn enqueue(&mut self, workspace: &str, class: CallClass, deadline: UnixMs) -> WaitId {
        self.next_id += 1;
        let id = WaitId(self.next_id);
        let after = self.queue.partition_point(|w| (w.class, w.deadline) <= (class, deadline));
        self.queue.insert(after, Waiting { class, deadline, id, workspace: workspace.to_owned() });
        id
    }

    /// Refuses the least urgent queued request if it is less urgent than `class`.
    fn displace(&mut self, now: UnixMs, class: CallClass) -> Option<(WaitId, Refusal)> {
        let last = self.queue.pop_if(|waiting| waiting.class > class)?;
        let message = "the node's queue is full of more urgent requests";
        Some((last.id, self.refusal(now, message, 1)))
    }

    fn expected_wait_ms(&self, ahead: u64) -> u64 {
        let servers = u64::from(self.limits.in_flight_max.max(1));
        ahead * self.mean_service_us / servers / 1_000
    }

    fn refusal(&self, now: UnixMs, message: impl Into<String>, ahead: u64) -> Refusal {
        let wait_ms = self.expected_wait_ms(ahead).max(RETRY_FLOOR_MS);
        Refusal::not_run(message).retry_at(now.plus(wait_ms))
    }
}
