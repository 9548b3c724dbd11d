//! The delays and the budget of hedged requests.

use crate::latencies::Latencies;
use catkinmast_model::UnixMs;
use catkinmast_route::RetryBudget;
use indexmap::IndexMap;

/// Hedges for each hundred first attempts: the added load that targets near capacity can take.
const HEDGE_BUDGET_PERCENT: u32 = 10;
/// Hedges that are saved at the start, so that a node with few requests can hedge at all.
const HEDGE_BUDGET_SAVED: u32 = 4;
/// Percentage of attempts that is answered before a hedge is sent: the remaining 5 % stay within the
/// budget.
const HEDGE_PERCENT: u32 = 95;
/// With fewer recent answers, the route's goal decides: the 95th percentile of fewer than 20 is the
/// longest of them.
const OBSERVATIONS_MIN: f32 = 20.0;
/// Divides the goal into the delay of a hedge as long as latencies are unknown. Two thirds remain for
/// the second attempt.
const GOAL_PER_DELAY_UNKNOWN: u64 = 3;
/// The shortest delay is the goal divided by this. A request that is answered earlier gains nothing
/// from a hedge.
const GOAL_PER_DELAY_MIN: u64 = 4;
/// The longest delay is the goal divided by this, so that the second attempt has half of the goal.
const GOAL_PER_DELAY_MAX: u64 = 2;
/// An attempt is given up after no less than this many goals. Its answer would be late anyway, but
/// a target under load still answers within this time.
const LIMIT_IN_GOALS: u64 = 4;
/// Percentage of answers of which the attempt limit is a multiple.
const LIMIT_PERCENT: u32 = 99;
/// The attempt limit in units of that percentile: twice as long would still be a usual variation of
/// load.
const LIMIT_IN_PERCENTILES: u64 = 3;
/// If a larger share of attempts is not answered, the targets are slow rather than failing, and the
/// limit grows.
const UNANSWERED_SHARE_MAX: f32 = 0.5;
/// Growth of the limit beyond the longest unanswered attempt, in that case.
const LIMIT_GROWTH: u64 = 2;
/// Routes with a table of latencies: 250 KB at most. Beyond that the least recently used is dropped.
const ROUTES_MAX: usize = 256;

/// Whether a hedge may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgePermit {
    /// It may be sent, and is charged to the budget.
    Granted,
    /// The budget is used up.
    NoBudget,
    /// The service has no spare capacity.
    NoRoom,
}

/// Decides about second attempts, by the latencies of this node's own attempts.
#[derive(Clone, Debug)]
pub struct Hedging {
    budget: RetryBudget,
    routes: IndexMap<String, Latencies>,
}

impl Default for Hedging {
    fn default() -> Self {
        let budget = RetryBudget::new(HEDGE_BUDGET_PERCENT).with_saved(HEDGE_BUDGET_SAVED);
        Self { budget, routes: IndexMap::new() }
    }
}

impl Hedging {
    /// Counts the first attempt of a request, which adds to the budget.
    pub fn first_attempt(&mut self) {
        self.budget.first_attempt();
    }

    /// Records that an attempt was answered after `latency_ms`.
    pub fn answered(&mut self, now: UnixMs, route: &str, latency_ms: u64) {
        self.latencies(now, route).answered(now, latency_ms);
    }

    /// Records that an attempt ended after `ran_ms` without an answer, although the request may
    /// have run: it was overtaken, given up or cancelled, or its connection broke. It counts as an
    /// attempt that takes at least as long.
    pub fn outlasted(&mut self, now: UnixMs, route: &str, ran_ms: u64) {
        self.latencies(now, route).outlasted(now, ran_ms);
    }

    /// Returns when a hedge of an attempt is due that was sent at `sent_at`; none if neither the
    /// route's latencies nor its goal are known. A goal of 0 means that there is none.
    pub fn hedge_at(
        &self,
        now: UnixMs,
        route: &str,
        sent_at: UnixMs,
        goal_ms: u64,
    ) -> Option<UnixMs> {
        self.delay_ms(now, route, goal_ms).map(|delay_ms| sent_at.plus(delay_ms))
    }

    /// Returns when an attempt that was sent at `sent_at` is given up so that the request can be
    /// repeated; none if neither the route's latencies nor its goal are known, or if the time that
    /// is then left until the caller's deadline would be shorter than the delay of a hedge: most
    /// answers would come too late. A goal of 0 means that there is none.
    pub fn give_up_at(
        &self,
        now: UnixMs,
        route: &str,
        sent_at: UnixMs,
        deadline_at: UnixMs,
        goal_ms: u64,
    ) -> Option<UnixMs> {
        let delay_ms = self.delay_ms(now, route, goal_ms)?;
        let give_up_at = sent_at.plus(self.limit_ms(now, route, goal_ms)?);
        (deadline_at.since_ms(give_up_at) > delay_ms).then_some(give_up_at)
    }

    /// Decides whether a hedge that is due may be sent; charges it to the budget if so. `has_spare`
    /// says whether the service has spare capacity.
    pub fn may_hedge(&mut self, now: UnixMs, has_spare: bool) -> HedgePermit {
        if !has_spare {
            HedgePermit::NoRoom
        } else if self.budget.take_retry_at(now) {
            HedgePermit::Granted
        } else {
            HedgePermit::NoBudget
        }
    }

    fn delay_ms(&self, now: UnixMs, route: &str, goal_ms: u64) -> Option<u64> {
        let known_ms = self
            .well_known(now, route)
            .map(|latencies| latencies.of_attempts_ms(HEDGE_PERCENT).max(1));
        match known_ms {
            None => (goal_ms > 0).then_some(goal_ms / GOAL_PER_DELAY_UNKNOWN),
            Some(delay_ms) if goal_ms > 0 => {
                Some(delay_ms.clamp(goal_ms / GOAL_PER_DELAY_MIN, goal_ms / GOAL_PER_DELAY_MAX))
            }
            Some(delay_ms) => Some(delay_ms),
        }
    }

    fn limit_ms(&self, now: UnixMs, route: &str, goal_ms: u64) -> Option<u64> {
        let by_goal_ms = (goal_ms > 0).then_some(goal_ms * LIMIT_IN_GOALS);
        let by_answers_ms = self
            .well_known(now, route)
            .map(|latencies| latencies.of_answers_ms(LIMIT_PERCENT) * LIMIT_IN_PERCENTILES);
        let by_unanswered_ms = self
            .mostly_unanswered(now, route)
            .map(|latencies| latencies.longest_outlasted_ms() * LIMIT_GROWTH);
        by_goal_ms.max(by_answers_ms).max(by_unanswered_ms)
    }

    /// Returns the latencies of a route most of whose recent attempts were not answered.
    fn mostly_unanswered(&self, now: UnixMs, route: &str) -> Option<&Latencies> {
        self.routes.get(route).filter(|latencies| {
            latencies.attempt_count(now) >= OBSERVATIONS_MIN
                && latencies.unanswered_share() > UNANSWERED_SHARE_MAX
        })
    }

    /// Returns the latencies of a route with enough recent answers.
    fn well_known(&self, now: UnixMs, route: &str) -> Option<&Latencies> {
        self.routes.get(route).filter(|latencies| latencies.answer_count(now) >= OBSERVATIONS_MIN)
    }

    fn latencies(&mut self, now: UnixMs, route: &str) -> &mut Latencies {
        if !self.routes.contains_key(route) {
            self.make_room_for_route();
            self.routes.insert(route.to_owned(), Latencies::new(now));
        }
        &mut self.routes[route]
    }

    fn make_room_for_route(&mut self) {
        if self.routes.len() < ROUTES_MAX {
            return;
        }
        let last_used = |(_, latencies): &(usize, &Latencies)| latencies.last_used_at();
        let oldest = self.routes.values().enumerate().min_by_key(last_used);
        if let Some((index, _)) = oldest {
            self.routes.swap_remove_index(index);
        }
    }
}
