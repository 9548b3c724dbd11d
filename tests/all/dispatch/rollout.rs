//! Loads of weights: divided among models, limited in number, the most urgent first.

use super::{Target, plan_loads};
use catkinmast_dispatch::{Demand, LoadOrder, LoadOutcome, RolloutSettings, WeightRollout};
use catkinmast_model::UnixMs;
use std::collections::BTreeMap;

/// Plans loads for all models.
fn plan(
    rollout: &mut WeightRollout,
    now: UnixMs,
    targets: &[Target],
    demand: &Demand,
) -> Vec<LoadOrder> {
    plan_loads(rollout, now, targets, &models(), demand)
}

fn models() -> Vec<String> {
    ["x", "y", "z"].map(str::to_owned).to_vec()
}

fn targets(count: usize) -> Vec<Target> {
    (0..count)
        .map(|number| Target {
            data_centre: format!("dc{}", number % 3),
            id: format!("t{number}"),
            models: models().into_iter().map(|model| (model, 1)).collect(),
        })
        .collect()
}

fn loaded(targets: &mut [Target], order: &LoadOrder) {
    let target = targets.iter_mut().find(|target| target.id == order.target).expect("a target");
    let held = target.models.iter_mut().find(|(model, _)| *model == order.model);
    held.expect("a model").1 = order.version;
}

/// Carries out loads, round after round, until none is ordered.
fn carry_out(rollout: &mut WeightRollout, targets: &mut [Target]) -> Vec<LoadOrder> {
    let mut all = Vec::new();
    for round in 0..100 {
        let now = UnixMs(round * 1_000);
        let orders = plan(rollout, now, targets, &Demand::default());
        if orders.is_empty() {
            return all;
        }
        for order in &orders {
            loaded(targets, order);
            rollout.record_outcome(now, &order.target, LoadOutcome::Done);
        }
        all.extend(orders);
    }
    all
}

#[test]
fn each_target_loads_for_one_model_and_models_share_equally() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    let mut targets = targets(9);
    for model in models() {
        rollout.version_published(&model, 2);
    }

    let orders = carry_out(&mut rollout, &mut targets);

    let mut by_model: BTreeMap<String, usize> = BTreeMap::new();
    for order in &orders {
        *by_model.entry(order.model.clone()).or_insert(0) += 1;
    }
    assert_eq!(orders.len(), 9, "one load for each target");
    assert!(by_model.values().all(|count| *count == 3), "{by_model:?}");
}

#[test]
fn at_most_a_fifth_of_all_and_half_of_a_models_targets_load_at_once() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    for model in models() {
        rollout.version_published(&model, 2);
    }

    let orders = plan(&mut rollout, UnixMs(0), &targets(45), &Demand::default());

    assert_eq!(orders.len(), 9);
    let of_x = orders.iter().filter(|order| order.model == "x").count();
    assert!(of_x <= 7, "half of fifteen");
}

// Guards against a step that stands still while another model's targets are loaded. One model is
// two versions behind everywhere, the others one; it must be loaded first, whatever the order of
// the targets.
#[test]
fn a_model_without_current_targets_goes_first() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    rollout.version_published("x", 2);
    rollout.version_published("y", 2);
    rollout.version_published("z", 3);

    let orders = plan(&mut rollout, UnixMs(0), &targets(9), &Demand::default());

    assert_eq!(orders[0].model, "z");
}

#[test]
fn with_fewer_targets_than_models_each_model_is_loaded() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    let mut targets = targets(1);
    for model in models() {
        rollout.version_published(&model, 2);
    }

    carry_out(&mut rollout, &mut targets);

    assert!(targets[0].models.iter().all(|(_, version)| *version == 2), "{targets:?}");
}

#[test]
fn a_model_that_lost_targets_gets_others_with_few_moves() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    let mut targets = targets(9);
    for model in models() {
        rollout.version_published(&model, 2);
    }
    carry_out(&mut rollout, &mut targets);
    let model = rollout.model_of("t0").expect("a model").to_owned();
    targets.retain(|target| rollout.model_of(&target.id) != Some(&model) || target.id == "t1");

    let moved = carry_out(&mut rollout, &mut targets);

    assert!(moved.len() <= 2, "{moved:?}");
    assert!(targets.iter().any(|target| rollout.model_of(&target.id) == Some(&model)));
}

#[test]
fn a_failed_load_is_retried_after_a_backoff() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    rollout.version_published("x", 2);
    let targets = targets(1);
    let first = plan(&mut rollout, UnixMs(0), &targets, &Demand::default());
    rollout.record_outcome(UnixMs(10), "t0", LoadOutcome::Failed);

    assert_eq!(first.len(), 1);
    assert!(plan(&mut rollout, UnixMs(400), &targets, &Demand::default()).is_empty());
    assert_eq!(plan(&mut rollout, UnixMs(510), &targets, &Demand::default()), first);
}

// Guards against a step's longest items waiting for targets that load. A version is published and
// the step that needs it is opened at the same moment. Loads that start before the step's items
// block them; items that have started continue during a load.
#[test]
fn when_a_step_opens_one_target_loads_and_the_others_follow_once_items_started() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    let targets = targets(20);
    rollout.version_published("x", 2);
    rollout.batch_opened(UnixMs(0), "x");
    let demand = Demand::default();

    let at_once = plan(&mut rollout, UnixMs(0), &targets, &demand);
    let soon = plan(&mut rollout, UnixMs(299), &targets, &demand);
    let afterwards = plan(&mut rollout, UnixMs(300), &targets, &demand);

    assert_eq!(at_once.len(), 1);
    assert_eq!(soon, []);
    assert!(afterwards.len() > 1, "{afterwards:?}");
}

// Guards against a delay of 1.5 s between publishing a version and the first text that a later step
// accepts. One model's targets are all one version behind when another's version is published; the
// second half of the first model's targets must not load before any of the other's.
#[test]
fn a_model_without_a_target_of_its_newest_version_loads_before_one_that_has_some() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    let mut targets = targets(9);
    rollout.version_published("x", 2);
    let first = plan(&mut rollout, UnixMs(0), &targets, &Demand::default());
    for order in &first {
        loaded(&mut targets, order);
        rollout.record_outcome(UnixMs(1_000), &order.target, LoadOutcome::Done);
    }
    rollout.version_published("y", 2);

    let next = plan(&mut rollout, UnixMs(1_000), &targets, &Demand::default());

    assert_eq!(next.first().map(|order| order.model.as_str()), Some("y"));
}

/// Returns the demand of batches of `items` items for each model.
fn demand_of(items: u64) -> Demand {
    let mut demand = Demand::default();
    for model in models() {
        demand.record_items(&model, items);
    }
    demand
}

/// Plans loads and carries them out until none is ordered; returns how many there were.
fn load_all(rollout: &mut WeightRollout, targets: &mut [Target], demand: &Demand) -> usize {
    let mut count = 0;
    for round in 0..200 {
        let now = UnixMs(round * 1_000);
        let orders = plan(rollout, now, targets, demand);
        if orders.is_empty() {
            break;
        }
        for order in &orders {
            loaded(targets, order);
            rollout.record_outcome(now, &order.target, LoadOutcome::Done);
        }
        count += orders.len();
    }
    count
}

// Guards against loads that grow with the fleet: each version of each model was loaded on a share of
// all targets, whatever the work.
#[yare::parameterized(
    targets_300 = { 300 },
    targets_3000 = { 3_000 },
    targets_10000 = { 10_000 },
    targets_20000 = { 20_000 },
)]
fn a_version_is_loaded_on_as_many_targets_as_the_work_asks_for(count: usize) {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    let mut targets = targets(count);
    let demand = demand_of(40);
    for model in models() {
        rollout.version_published(&model, 2);
    }

    let loads = load_all(&mut rollout, &mut targets, &demand);

    assert_eq!(loads, 3 * 30, "three models, each with 3 slots an item at 4 slots a target");
}

#[test]
fn a_new_holder_keeps_the_targets_that_are_current() {
    let mut targets = targets(1_000);
    let demand = demand_of(40);
    let mut former = WeightRollout::open(RolloutSettings::default());
    let mut holder = WeightRollout::open(RolloutSettings::default());
    for model in models() {
        former.version_published(&model, 2);
        holder.version_published(&model, 2);
    }
    load_all(&mut former, &mut targets, &demand);

    assert_eq!(load_all(&mut holder, &mut targets, &demand), 0);
}

#[test]
fn more_targets_are_loaded_when_work_grows_and_others_when_targets_die() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    let mut targets = targets(1_000);
    for model in models() {
        rollout.version_published(&model, 2);
    }
    load_all(&mut rollout, &mut targets, &demand_of(40));

    assert_eq!(load_all(&mut rollout, &mut targets, &demand_of(400)), 3 * 300 - 3 * 30);
    let is_current = |target: &Target| target.models.iter().any(|(_, version)| *version == 2);
    targets.retain(|target| !is_current(target));
    assert_eq!(load_all(&mut rollout, &mut targets, &demand_of(400)), targets.len());
}
