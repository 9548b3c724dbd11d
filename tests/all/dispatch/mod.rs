//! Dispatch decisions between callers and targets, without a network.

mod batch;
mod copies;
mod freshness;
mod load;
mod lookahead;
mod outage;
mod rollout;
mod routes;
mod shares;
mod stream;
mod targets;

use catkinmast_dispatch::{Demand, LoadOrder, RolloutTarget, WeightRollout};
use catkinmast_model::UnixMs;

/// Number of requests that a [`Target`] runs at once.
const SLOTS: u32 = 4;

/// A target that may load weights.
#[derive(Clone, Debug)]
struct Target {
    data_centre: String,
    id: String,
    models: Vec<(String, u64)>,
}

/// Calls `WeightRollout::plan` for targets.
fn plan_loads(
    rollout: &mut WeightRollout,
    now: UnixMs,
    targets: &[Target],
    models: &[String],
    demand: &Demand,
) -> Vec<LoadOrder> {
    let targets: Vec<RolloutTarget<'_>> = targets
        .iter()
        .map(|target| RolloutTarget {
            data_centre: &target.data_centre,
            id: &target.id,
            models: &target.models,
        })
        .collect();
    rollout.plan(now, &targets, models, SLOTS, demand)
}
