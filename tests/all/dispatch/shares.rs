//! Sharing of targets among models by their work.

use super::{Target, plan_loads};
use catkinmast_dispatch::{
    Demand, RolloutSettings, TargetEntry, TargetTable, WeightRollout, interleave,
};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

fn models() -> Vec<String> {
    ["long", "longer", "short"].map(str::to_owned).to_vec()
}

/// Work of three models whose steps have 200 to 232 items of 11 or 20 tokens.
fn uneven() -> Demand {
    let mut demand = Demand::default();
    demand.record_batch("short", 200 * 11);
    demand.record_batch("long", 224 * 20);
    demand.record_batch("longer", 232 * 20);
    demand
}

fn targets(count: usize) -> Vec<Target> {
    (0..count)
        .map(|number| Target {
            data_centre: format!("dc{}", number % 4),
            id: format!("t{number:02}"),
            models: models().into_iter().map(|model| (model, 1)).collect(),
        })
        .collect()
}

fn table(targets: &[Target]) -> TargetTable {
    let mut table = TargetTable::default();
    for target in targets {
        table.apply_entry(TargetEntry {
            address: "127.0.0.1:1".parse().expect("an address"),
            cold_left_ms: 0,
            started_at_unix_ms: None,
            data_centre: target.data_centre.clone(),
            draining: false,
            id: target.id.clone(),
            models: target.models.clone(),
            reclaimable: false,
            sequence: 1,
            service: "s".to_owned(),
            slots: 8,
        });
    }
    table
}

fn counts(rollout: &WeightRollout, targets: &[Target]) -> Vec<usize> {
    let of = |model: &String| {
        targets.iter().filter(|target| rollout.model_of(&target.id) == Some(model)).count()
    };
    models().iter().map(of).collect()
}

#[test]
fn shares_follow_the_work_and_add_up() {
    let shares = uneven().shares(&models(), 45);

    assert_eq!(shares.iter().map(|share| (share + 500) / 1_000).collect::<Vec<_>>(), [18, 18, 9]);
}

#[test]
fn without_batches_models_share_equally() {
    assert_eq!(Demand::default().shares(&models(), 9), [3_000, 3_000, 3_000]);
}

#[test]
fn a_model_with_little_work_keeps_half_of_an_equal_share() {
    let mut demand = uneven();
    demand.record_batch("idle", 1);
    let models = ["idle", "long", "longer", "short"].map(str::to_owned);

    let shares = demand.shares(&models, 40);

    assert_eq!(shares[0], 5_000);
    assert!(shares.iter().sum::<u64>() <= 40_000);
}

#[test]
fn an_absurd_estimate_leaves_others_their_minimum_share() {
    let mut demand = uneven();
    for _ in 0..50 {
        demand.record_batch("short", u64::MAX);
    }

    let shares = demand.shares(&models(), 1_000_000);

    assert_eq!(shares[..2], [166_666_666, 166_666_666]);
}

#[test]
fn one_large_step_counts_for_a_quarter_of_the_mean_work() {
    let mut demand = uneven();
    demand.record_batch("short", 200 * 11 * 5);

    let shares = demand.shares(&models(), 45);

    assert!(shares[2] < 45_000 / 3, "{shares:?}");
}

#[test]
fn places_are_interleaved_in_proportion_from_the_first_on() {
    let places = interleave(&[18_000, 18_000, 9_000], 45);

    let of = |index: usize, upto: usize| places[..upto].iter().filter(|p| **p == index).count();
    assert_eq!([of(0, 45), of(1, 45), of(2, 45)], [18, 18, 9]);
    assert!((3..=5).contains(&of(2, 20)), "{places:?}");
}

// Guards against a step of long items that waits for slots while another model's targets are half
// free, so that its last item starts up to 6 s after the first. Three models, one with a quarter of
// the work of the others together, must not share 45 targets equally.
#[test]
fn a_model_is_kept_current_on_as_many_targets_as_its_work_asks_for() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    let targets = targets(45);

    plan_loads(&mut rollout, UnixMs(0), &targets, &models(), &uneven());

    assert_eq!(counts(&rollout, &targets), [18, 18, 9]);
}

#[test]
fn batch_owners_and_the_node_that_orders_loads_agree_before_anything_is_loaded() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    let targets = targets(45);
    let (table, demand) = (table(&targets), uneven());
    plan_loads(&mut rollout, UnixMs(0), &targets, &models(), &Demand::default());

    plan_loads(&mut rollout, UnixMs(100), &targets, &models(), &demand);

    for model in models() {
        let own = table.for_model("s", &model, 1, &IndexMap::new(), &demand);
        assert!(own.iter().all(|id| rollout.model_of(id) == Some(model.as_str())), "{model}");
    }
}

// Guards against a third of the targets changing their models and loading when a new node takes
// over the orders, while steps wait. The successor must assign targets by the versions that they
// hold.
#[test]
fn a_new_node_that_orders_loads_leaves_targets_with_the_models_that_they_hold() {
    let mut targets = targets(9);
    let mut versions = IndexMap::new();
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    for (number, target) in targets.iter_mut().enumerate() {
        target.models[(number + 1) % 3].1 = 7;
    }
    for model in models() {
        rollout.version_published(&model, 7);
        versions.insert(model, 7);
    }

    let orders = plan_loads(&mut rollout, UnixMs(0), &targets, &models(), &Demand::default());

    assert!(orders.is_empty(), "{orders:?}");
    let table = table(&targets);
    let own = table.for_model("s", "long", 6, &versions, &Demand::default());
    assert_eq!(own.len(), 3);
}

#[test]
fn small_changes_of_work_move_no_target() {
    let mut rollout = WeightRollout::open(RolloutSettings::default());
    let targets = targets(45);
    let mut demand = uneven();
    rollout.version_published("long", 1);
    plan_loads(&mut rollout, UnixMs(0), &targets, &models(), &demand);
    let before = counts(&rollout, &targets);
    demand.record_batch("long", 224 * 20 * 12 / 10);

    plan_loads(&mut rollout, UnixMs(100), &targets, &models(), &demand);

    assert_eq!(counts(&rollout, &targets), before);
}
