//! Loads of weights: divided among models, limited in number, the most urgent first.

use catkinmast_dispatch::{
    Demand, LoadOrder, LoadOutcome, RolloutSettings, RolloutTarget, WeightRollout,
};
use catkinmast_model::UnixMs;
use std::collections::BTreeMap;

fn models() -> Vec<String> {
    ["x", "y", "z"].map(str::to_owned).to_vec()
}

fn targets(count: usize) -> Vec<RolloutTarget> {
    (0..count)
        .map(|number| RolloutTarget {
            data_centre: format!("dc{}", number % 3),
            id: format!("t{number}"),
            models: models().into_iter().map(|model| (model, 1)).collect(),
        })
        .collect()
}

fn loaded(targets: &mut [RolloutTarget], order: &LoadOrder) {
    let target = targets.iter_mut().find(|target| target.id == order.target).expect("a target");
    let held = target.models.iter_mut().find(|(model, _)| *model == order.model);
    held.expect("a model").1 = order.version;
}

/// Carries out loads, round after round, until none is ordered.
fn carry_out(rollout: &mut WeightRollout, targets: &mut [RolloutTarget]) -> Vec<LoadOrder> {
    let mut all = Vec::new();
    for round in 0..100 {
        let now = UnixMs(round * 1_000);
        let orders = rollout.plan(now, targets, &models(), &Demand::default());
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

    let orders = rollout.plan(UnixMs(0), &targets(45), &models(), &Demand::default());

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

    let orders = rollout.plan(UnixMs(0), &targets(9), &models(), &Demand::default());

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
    let first = rollout.plan(UnixMs(0), &targets, &models(), &Demand::default());
    rollout.record_outcome(UnixMs(10), "t0", LoadOutcome::Failed);

    assert_eq!(first.len(), 1);
    assert!(rollout.plan(UnixMs(400), &targets, &models(), &Demand::default()).is_empty());
    assert_eq!(rollout.plan(UnixMs(510), &targets, &models(), &Demand::default()), first);
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

    let at_once = rollout.plan(UnixMs(0), &targets, &models(), &demand);
    let soon = rollout.plan(UnixMs(299), &targets, &models(), &demand);
    let afterwards = rollout.plan(UnixMs(300), &targets, &models(), &demand);

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
    let first = rollout.plan(UnixMs(0), &targets, &models(), &Demand::default());
    for order in &first {
        loaded(&mut targets, order);
        rollout.record_outcome(UnixMs(1_000), &order.target, LoadOutcome::Done);
    }
    rollout.version_published("y", 2);

    let next = rollout.plan(UnixMs(1_000), &targets, &models(), &Demand::default());

    assert_eq!(next.first().map(|order| order.model.as_str()), Some("y"));
}
