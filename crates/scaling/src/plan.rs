//! Which orders are due.

use crate::{Pool, ScalingConfig, TargetOrder};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// How long the targets must not change before their number is taken for what the service began with.
const STEADY_MS: u64 = 3_000;
/// How long a pool is short before more are ordered: a replacement that the provider makes by itself
/// starts within this time.
const SHORT_MS: u64 = 1_500;
/// Added to the time that new targets take, before a pool that is still short is ordered again.
const ORDER_AGAIN_MS: u64 = 4_000;
/// How long after a refusal an order is made again: nothing was to be had.
const REFUSED_PAUSE_MS: u64 = 2_000;

/// How many targets each pool is to have.
pub type DesiredCounts = IndexMap<Pool, u32>;

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It may have been taken, or not.
    Unknown,
    /// None are to be had there now.
    NoCapacity,
    /// It was taken.
    Accepted,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    order_from: UnixMs,
    /// Targets that are missing and are not to be had.
    refused_short: u32,
    /// Targets that this pool has in place of others' that are not to be had.
    stands_in: u32,
    short_since: Option<UnixMs>,
}

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct Scaling {
    seen: (DesiredCounts, UnixMs),
    states: IndexMap<Pool, State>,
    /// What the service is to have; none until it is known.
    wanted: Option<DesiredCounts>,
}

impl Scaling {
    /// Opens the scaling of a service; `wanted` is what it is to have, where that was found before.
    pub fn open(wanted: Option<DesiredCounts>) -> Self {
        let seen = (DesiredCounts::new(), UnixMs(0));
        Self { seen, states: IndexMap::new(), wanted }
    }

    /// Returns what the service is to have, once that is known.
    pub const fn desired(&self) -> Option<&DesiredCounts> {
        self.wanted.as_ref()
    }

    /// Returns the orders that are due under the terms in force, given how many targets of each pool
    /// serve.
    pub fn plan(
        &mut self,
        now: UnixMs,
        terms: ScalingConfig,
        serving: &DesiredCounts,
    ) -> Vec<TargetOrder> {
        if self.wanted.is_none() {
            self.learn(now, serving);
        }
        let Some(wanted) = self.wanted.clone() else { return Vec::new() };
        let mut orders = Vec::new();
        for (pool, count) in &wanted {
            let state = self.states.entry(pool.clone()).or_default();
            let count = (count + state.stands_in).clamp(terms.min, terms.max);
            if serving.get(pool).copied().unwrap_or(0) >= count {
                state.short_since = None;
                state.refused_short = 0;
                continue;
            }
            let since = *state.short_since.get_or_insert(now);
            if now.since_ms(since) >= SHORT_MS && now >= state.order_from {
                state.order_from = now.plus(terms.boot_ms + ORDER_AGAIN_MS);
                orders.push(TargetOrder { count, pool: pool.clone() });
            }
        }
        self.stand_in(&wanted);
        orders
    }

    /// Takes what became of an order, when so many targets of its pool served.
    pub fn record_outcome(
        &mut self,
        now: UnixMs,
        order: &TargetOrder,
        serving: u32,
        outcome: OrderOutcome,
    ) {
        let state = self.states.entry(order.pool.clone()).or_default();
        match outcome {
            OrderOutcome::Accepted => state.refused_short = 0,
            OrderOutcome::NoCapacity => {
                state.refused_short = order.count.saturating_sub(serving);
                state.order_from = now.plus(REFUSED_PAUSE_MS);
            }
            OrderOutcome::Unknown => state.order_from = now.plus(REFUSED_PAUSE_MS),
        }
    }

    /// Lets pools of other data centres stand in for what is not to be had, evenly.
    fn stand_in(&mut self, wanted: &DesiredCounts) {
        let refused = |state: &&State| state.refused_short > 0;
        let short: u32 = self.states.values().map(|state| state.refused_short).sum();
        let others = wanted.len() - self.states.values().filter(refused).count();
        for pool in wanted.keys() {
            let state = self.states.entry(pool.clone()).or_default();
            let can = state.refused_short == 0 && others > 0;
            state.stands_in = if can { short.div_ceil(others as u32) } else { 0 };
        }
    }

    /// Takes the targets that serve for what the service began with, once they have not changed for a
    /// while.
    fn learn(&mut self, now: UnixMs, serving: &DesiredCounts) {
        if self.seen.0 != *serving {
            self.seen = (serving.clone(), now);
        }
        let is_steady = now.since_ms(self.seen.1) >= STEADY_MS;
        if is_steady && !serving.is_empty() {
            self.wanted = Some(serving.clone());
        }
    }
}
