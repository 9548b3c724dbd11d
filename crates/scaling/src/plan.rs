//! Plans the orders of targets for a service.

use crate::{Pool, ScalingConfig, TargetOrder};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// How long the number of targets must not change before it is taken as the service's initial size.
const SETTLE_MS: u64 = 3_000;
/// How long a pool is short before targets are ordered. A replacement by the provider itself starts
/// within this time.
const SHORTAGE_GRACE_MS: u64 = 1_500;
/// Added to the start-up time of new targets before a pool that is still short is ordered again.
const REORDER_MARGIN_MS: u64 = 4_000;
/// How long after an order that was refused, or whose outcome is unknown, the next one is made.
const REFUSED_RETRY_MS: u64 = 2_000;

/// A number of targets for each pool.
pub type PoolCounts = IndexMap<Pool, u32>;

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The order may or may not have been accepted.
    Unknown,
    /// The pool has no targets available now.
    NoCapacity,
    /// The order was accepted.
    Accepted,
}

#[derive(Clone, Copy, Debug, Default)]
struct PoolState {
    next_order_at: UnixMs,
    /// Missing targets that the provider refused to supply.
    unavailable: u32,
    /// Extra targets of this pool in place of unavailable ones of others.
    substitutes: u32,
    short_since: Option<UnixMs>,
}

/// The scaling state of one service.
#[derive(Clone, Debug)]
pub struct Scaling {
    /// The serving counts when they last changed, and the time of that change.
    last_serving: (PoolCounts, UnixMs),
    pools: IndexMap<Pool, PoolState>,
    /// The desired counts; `None` until they are known.
    desired: Option<PoolCounts>,
}

impl Scaling {
    /// Opens the scaling of a service, with the desired counts if they were determined before.
    pub fn open(desired: Option<PoolCounts>) -> Self {
        let last_serving = (PoolCounts::new(), UnixMs(0));
        Self { last_serving, pools: IndexMap::new(), desired }
    }

    /// Returns the desired counts, once they are known.
    pub const fn desired(&self) -> Option<&PoolCounts> {
        self.desired.as_ref()
    }

    /// Returns the orders that are due under the configuration in force, given how many targets of
    /// each pool serve.
    pub fn plan(
        &mut self,
        now: UnixMs,
        config: ScalingConfig,
        serving: &PoolCounts,
    ) -> Vec<TargetOrder> {
        if self.desired.is_none() {
            self.learn_desired(now, serving);
        }
        let Some(desired) = self.desired.clone() else { return Vec::new() };
        let mut orders = Vec::new();
        for (pool, count) in &desired {
            let state = self.pools.entry(pool.clone()).or_default();
            let count = (count + state.substitutes).clamp(config.min, config.max);
            if serving.get(pool).copied().unwrap_or(0) >= count {
                state.short_since = None;
                state.unavailable = 0;
                continue;
            }
            let since = *state.short_since.get_or_insert(now);
            if now.since_ms(since) >= SHORTAGE_GRACE_MS && now >= state.next_order_at {
                state.next_order_at = now.plus(config.boot_ms + REORDER_MARGIN_MS);
                orders.push(TargetOrder { count, pool: pool.clone() });
            }
        }
        self.assign_substitutes(&desired);
        orders
    }

    /// Records the outcome of an order, given how many targets of its pool served when it was made.
    pub fn record_outcome(
        &mut self,
        now: UnixMs,
        order: &TargetOrder,
        serving: u32,
        outcome: OrderOutcome,
    ) {
        let state = self.pools.entry(order.pool.clone()).or_default();
        match outcome {
            OrderOutcome::Accepted => state.unavailable = 0,
            OrderOutcome::NoCapacity => {
                state.unavailable = order.count.saturating_sub(serving);
                state.next_order_at = now.plus(REFUSED_RETRY_MS);
            }
            OrderOutcome::Unknown => state.next_order_at = now.plus(REFUSED_RETRY_MS),
        }
    }

    /// Distributes unavailable targets evenly over the pools that were not refused.
    fn assign_substitutes(&mut self, desired: &PoolCounts) {
        let refused = |state: &&PoolState| state.unavailable > 0;
        let total_unavailable: u32 = self.pools.values().map(|state| state.unavailable).sum();
        let others = desired.len() - self.pools.values().filter(refused).count();
        for pool in desired.keys() {
            let state = self.pools.entry(pool.clone()).or_default();
            let is_substitute = state.unavailable == 0 && others > 0;
            state.substitutes =
                if is_substitute { total_unavailable.div_ceil(others as u32) } else { 0 };
        }
    }

    /// Takes the serving targets as the desired counts once they have not changed for a while.
    fn learn_desired(&mut self, now: UnixMs, serving: &PoolCounts) {
        if self.last_serving.0 != *serving {
            self.last_serving = (serving.clone(), now);
        }
        let is_steady = now.since_ms(self.last_serving.1) >= SETTLE_MS;
        if is_steady && !serving.is_empty() {
            self.desired = Some(serving.clone());
        }
    }
}
