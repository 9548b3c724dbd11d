//! The gate of a service: which requests of callers are sent now, queued, or rejected.

use crate::latency::{MEAN_ANSWERS, MovingMean, RouteLatency};
use crate::queue::{QUEUE_MAX, WaitQueue, Waiter, WaiterId};
use crate::served::RecentService;
use crate::window::Window;
use catkinmast_model::UnixMs;
use catkinmast_route::RetryBudget;
use indexmap::IndexMap;

/// Retries after a refusal, in percent of first attempts.
const RETRY_PERCENT: u32 = 20;
/// Retries that can be made at once after a start.
const RETRIES_SAVED: u32 = 10;
/// Time in which one retry is earned also without requests.
const RETRY_EVERY_MS: u64 = 5_000;
/// Shortest time after which a rejected caller is told to return.
const RETRY_AFTER_MIN_MS: u64 = 50;
/// Time after which a rejected caller is told to return if no expected time is known.
const RETRY_AFTER_UNKNOWN_MS: u64 = 250;
/// Callers ignore a `Retry-After` that is longer than this part of the time that they have left.
const RETRY_AFTER_LEFT_DIVISOR: u64 = 3;
/// How many times the mean deviation of the latency is added to its mean for the time that a queued
/// request needs once it is sent. Under overload the queue is as long as this allows, so with fewer
/// many of its requests would be late.
const DEVIATIONS: f64 = 2.0;
/// Most routes of a service whose latency is remembered.
const ROUTES_MAX: usize = 64;

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// When it arrived from its caller, also if it has been sent and refused since.
    pub arrived_at: UnixMs,
    /// When the caller stops waiting.
    pub deadline_at: UnixMs,
    /// Time after its arrival within which the caller should be answered.
    pub goal_ms: u64,
    /// Whether it was sent before and refused.
    pub is_retry: bool,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// Name of its route. Requests of one route take similar times.
    pub route: &'a str,
    /// The workspace that it belongs to; none where no key was required.
    pub workspace: Option<&'a str>,
}

/// The decision on a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is sent now and counts as in flight until [`Gate::ended`].
    Admitted,
    /// It waits until [`Gate::next`] returns its turn.
    Queued(WaiterId),
    /// It cannot be served in time.
    Rejected {
        /// Time after which the caller may return.
        retry_after_ms: u64,
    },
}

/// What happens to a request that has waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// It is sent now and counts as in flight until [`Gate::ended`].
    Admitted,
    /// It can no longer be served in time, because others were placed ahead of it.
    Rejected {
        /// Time after which the caller may return.
        retry_after_ms: u64,
    },
}

/// How a request that was sent ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A target answered.
    Answered {
        /// Time from sending the request to its complete answer.
        latency_ms: u64,
    },
    /// Nothing can be concluded, for example because the caller disconnected.
    Cancelled,
    /// Attempts failed in another way than by a refusal for load.
    Failed,
    /// A target refused it for load.
    Refused,
}

/// Admits the requests of callers to one service at one node.
#[derive(Clone, Debug)]
pub struct Gate {
    budget: RetryBudget,
    displaced: Vec<Waiter>,
    /// Mean latency of the service's recent answers to callers' requests. The window counts only
    /// these, so they decide how fast the queue moves.
    mean: MovingMean<MEAN_ANSWERS>,
    queue: WaitQueue,
    routes: IndexMap<String, RouteLatency>,
    window: Window,
}

impl Gate {
    /// Opens a gate without a limit.
    pub fn open(now: UnixMs) -> Self {
        let budget = RetryBudget::new(RETRY_PERCENT)
            .with_saved(RETRIES_SAVED)
            .with_minimum(now, RETRY_EVERY_MS);
        Self {
            budget,
            displaced: Vec::new(),
            mean: MovingMean::default(),
            queue: WaitQueue::default(),
            routes: IndexMap::new(),
            window: Window::default(),
        }
    }

    /// Decides on a request that arrives. `draw` spreads the `Retry-After` of rejected callers.
    ///
    /// Call [`next`](Self::next) after this if the request was queued.
    pub fn arrive(
        &mut self,
        now: UnixMs,
        arrival: Arrival<'_>,
        served: &impl RecentService,
        draw: u64,
    ) -> Decision {
        self.window.lift_if_unused(now);
        let goal_at = self.goal_at(arrival);
        if !self.window.is_limited() {
            self.admit(now, arrival.is_retry);
            return Decision::Admitted;
        }
        let retry_after_ms = self.retry_after_ms(now, arrival.deadline_at, draw);
        if self.is_out_of_time(now, arrival.route, arrival.deadline_at) {
            return Decision::Rejected { retry_after_ms };
        }
        if self.queue.is_empty() && self.window.has_room(now) {
            self.admit(now, arrival.is_retry);
            return Decision::Admitted;
        }
        let newcomer = self.waiter(arrival, goal_at);
        let ahead = self.queue.count_ahead(now, served, &newcomer);
        if self.is_hopeless(now, &newcomer, ahead) {
            return Decision::Rejected { retry_after_ms };
        }
        let id = self.queue.enqueue(newcomer.clone());
        let mut queue = std::mem::take(&mut self.queue);
        let is_hopeless = |waiter: &Waiter, ahead| self.is_hopeless(now, waiter, ahead);
        let displaced = queue.remove_displaced(now, served, &newcomer, ahead, is_hopeless);
        self.queue = queue;
        self.displaced.extend(displaced);
        Decision::Queued(id)
    }

    /// Returns the requests that stop waiting now: those that are sent, and those that can no longer
    /// be served in time.
    ///
    /// Call this after a request was queued or ended, and at [`next_at`](Self::next_at).
    pub fn next(
        &mut self,
        now: UnixMs,
        served: &impl RecentService,
        draw: u64,
    ) -> Vec<(WaiterId, Turn)> {
        self.window.lift_if_unused(now);
        let mut turns = Vec::new();
        for waiter in std::mem::take(&mut self.displaced) {
            turns.push((waiter.id, self.rejected(now, &waiter, draw)));
        }
        while self.window.has_room(now) {
            let Some(waiter) = self.queue.pop(now, served) else { break };
            if self.is_out_of_time(now, &waiter.route, waiter.deadline_at) {
                turns.push((waiter.id, self.rejected(now, &waiter, draw)));
            } else {
                self.admit(now, waiter.is_retry);
                turns.push((waiter.id, Turn::Admitted));
            }
        }
        turns
    }

    /// Returns when [`next`](Self::next) is to be called although no request ends before: at the end
    /// of a pause while requests wait.
    pub fn next_at(&self, now: UnixMs) -> Option<UnixMs> {
        if self.queue.is_empty() { None } else { self.window.paused_until(now) }
    }

    /// Removes a request whose caller no longer waits.
    pub fn leave(&mut self, id: WaiterId) {
        self.queue.remove(id);
        self.displaced.retain(|waiter| waiter.id != id);
    }

    /// Counts an admitted request as no longer in flight.
    pub fn ended(&mut self, now: UnixMs, route: &str, outcome: Outcome) {
        match outcome {
            Outcome::Answered { latency_ms } => {
                self.mean.record(latency_ms);
                let is_limited = self.window.is_limited();
                let route = self.route(route);
                // The threshold is taken before the answer is recorded: the first answers would
                // otherwise raise it themselves.
                let threshold_ms = route.threshold_ms();
                route.record(now, latency_ms, is_limited);
                self.window.answered(now, latency_ms as f64, threshold_ms);
            }
            Outcome::Refused => self.window.refused(now),
            Outcome::Cancelled | Outcome::Failed => {}
        }
        self.window.ended(now, self.mean.ms());
        self.window.lift_if_unused(now);
    }

    /// Records that a request that bypasses the gate was refused for load. It takes part in shrinking
    /// the window, so that callers' requests make room for it.
    pub fn bypass_refused(&mut self, now: UnixMs) {
        self.window.refused(now);
    }

    /// Spends one unit of the retry budget on a refused request; returns whether it may arrive
    /// again.
    pub fn may_retry(&mut self, now: UnixMs) -> bool {
        self.budget.take_retry_at(now)
    }

    /// Returns whether requests that are sent for safety only would delay no other.
    pub fn has_spare(&mut self, now: UnixMs) -> bool {
        self.window.lift_if_unused(now);
        self.queue.is_empty() && self.window.has_spare()
    }

    /// Returns the time after which a caller may return if its request is rejected now. It is spread
    /// by `draw` over 0.5 to 1.5 of the expected time until there is capacity, so that rejected
    /// callers do not all return at the same moment.
    pub fn retry_after_ms(&self, now: UnixMs, deadline_at: UnixMs, draw: u64) -> u64 {
        let left_ms = deadline_at.since_ms(now) / RETRY_AFTER_LEFT_DIVISOR;
        let expected_ms = match self.mean.ms() {
            Some(_) if self.window.is_limited() => self.expected_wait_ms(now, self.queue.len()),
            _ => RETRY_AFTER_UNKNOWN_MS as f64,
        };
        let spread = 0.5 + draw as f64 / u64::MAX as f64;
        ((expected_ms * spread) as u64).max(RETRY_AFTER_MIN_MS).min(left_ms)
    }

    /// Returns the limit of requests in flight; none while unlimited.
    pub fn window(&self) -> Option<f64> {
        self.window.size()
    }

    /// Returns the number of admitted requests in flight.
    pub const fn in_flight(&self) -> u32 {
        self.window.in_flight()
    }

    /// Returns the mean latency of the service's recent answers, in milliseconds; none before the
    /// first.
    pub fn mean_ms(&self) -> Option<f64> {
        self.mean.ms()
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn admit(&mut self, now: UnixMs, is_retry: bool) {
        if !is_retry {
            self.budget.first_attempt();
        }
        self.window.sent(now);
    }

    fn rejected(&self, now: UnixMs, waiter: &Waiter, draw: u64) -> Turn {
        /// The fractional part of the golden ratio: its multiples are spread evenly, so that
        /// requests that are rejected together get different times.
        const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;
        let draw = draw.wrapping_add(waiter.id.number().wrapping_mul(SPREAD));
        Turn::Rejected { retry_after_ms: self.retry_after_ms(now, waiter.deadline_at, draw) }
    }

    /// Returns until when the answer to a request is on time. A caller that returns after a rejection
    /// counts its goal from when it first sent the request.
    fn goal_at(&mut self, arrival: Arrival<'_>) -> UnixMs {
        let limit_ms = arrival.deadline_at.since_ms(arrival.arrived_at);
        let route = self.route(arrival.route);
        route.goal_ms = arrival.goal_ms;
        if !arrival.is_retry {
            route.record_limit(limit_ms);
        }
        let spent_ms = route.spent_ms(limit_ms);
        UnixMs(arrival.arrived_at.plus(arrival.goal_ms).0.saturating_sub(spent_ms))
    }

    fn waiter(&self, arrival: Arrival<'_>, goal_at: UnixMs) -> Waiter {
        Waiter {
            deadline_at: arrival.deadline_at,
            goal_at,
            id: self.queue.next_id(),
            is_retry: arrival.is_retry,
            priority: arrival.priority,
            route: arrival.route.to_owned(),
            workspace: arrival.workspace.map(str::to_owned),
        }
    }

    /// Returns the expected time until a request is sent that has `ahead` others before it.
    fn expected_wait_ms(&self, now: UnixMs, ahead: usize) -> f64 {
        let mean_ms = self.mean.ms();
        self.window.room_in_ms(now, mean_ms) + ahead as f64 * self.window.interval_ms(mean_ms)
    }

    /// Returns whether a waiting request is unlikely to be answered in time, or exceeds the queue.
    fn is_hopeless(&self, now: UnixMs, waiter: &Waiter, ahead: usize) -> bool {
        if ahead >= QUEUE_MAX {
            return true;
        }
        let latency_ms = match self.routes.get(&waiter.route).map(|route| route.mean) {
            Some(mean) => mean.ms().map(|ms| ms + mean.deviation_ms() * DEVIATIONS),
            None => self.mean.ms(),
        };
        let end_ms = self.expected_wait_ms(now, ahead) + latency_ms.unwrap_or(0.0);
        // If the work alone takes longer than the goal, no answer meets it, and callers have use for
        // late ones.
        let route = self.routes.get(&waiter.route);
        let meets_goal = route.is_none_or(|route| {
            route.lowest_ms().is_none_or(|lowest_ms| lowest_ms < route.goal_ms as f64)
        });
        let limit_at =
            if meets_goal { waiter.goal_at.min(waiter.deadline_at) } else { waiter.deadline_at };
        end_ms > limit_at.since_ms(now) as f64
    }

    /// Returns whether less time is left than the work itself takes. The lowest mean is used and
    /// not the mean: if answers were slower than the caller's time, all would be rejected, and no
    /// answer would show that the service is faster again.
    fn is_out_of_time(&self, now: UnixMs, route: &str, deadline_at: UnixMs) -> bool {
        let lowest_ms = self.routes.get(route).and_then(RouteLatency::lowest_ms).unwrap_or(0.0);
        lowest_ms >= deadline_at.since_ms(now) as f64
    }

    fn route(&mut self, name: &str) -> &mut RouteLatency {
        if !self.routes.contains_key(name) {
            if self.routes.len() >= ROUTES_MAX {
                self.routes.swap_remove_index(0);
            }
            self.routes.insert(name.to_owned(), RouteLatency::default());
        }
        &mut self.routes[name]
    }
}
