//! How many targets a service has: what goes away is replaced, where it can be had.

use catkinmast_model::UnixMs;
use catkinmast_scaling::{
    OrderOutcome, Pool, PoolCounts, Scaling, ScalingConfig, ScalingError, TargetOrder,
};
use proptest::prelude::*;

const TERMS: ScalingConfig = ScalingConfig { boot_ms: 4_000, max: 30, min: 1 };
const TICK_MS: u64 = 250;

fn pool(data_centre: &str) -> Pool {
    Pool { data_centre: data_centre.to_owned(), reclaimable: false }
}

fn serving(counts: &[(&str, u32)]) -> PoolCounts {
    counts.iter().map(|(data_centre, count)| (pool(data_centre), *count)).collect()
}

/// Plans for a while with the same targets; returns the orders with their times.
fn play(
    scaling: &mut Scaling,
    from_ms: u64,
    for_ms: u64,
    serving: &PoolCounts,
    outcome: OrderOutcome,
) -> Vec<(u64, TargetOrder)> {
    let mut orders = Vec::new();
    for at_ms in (from_ms..from_ms + for_ms).step_by(TICK_MS as usize) {
        for order in scaling.plan(UnixMs(at_ms), TERMS, serving) {
            let count = serving.get(&order.pool).copied().unwrap_or(0);
            scaling.record_outcome(UnixMs(at_ms), &order, count, outcome);
            orders.push((at_ms, order));
        }
    }
    orders
}

fn settled(counts: &[(&str, u32)]) -> Scaling {
    let mut scaling = Scaling::open(None);
    let orders = play(&mut scaling, 0, 4_000, &serving(counts), OrderOutcome::Accepted);
    assert_eq!(orders, []);
    scaling
}

#[test]
fn targets_that_are_still_coming_are_not_taken_for_all_there_are() {
    let mut scaling = Scaling::open(None);

    for second in 0..5 {
        let at_ms = second * 1_000;
        play(
            &mut scaling,
            at_ms,
            1_000,
            &serving(&[("a", second as u32 + 1)]),
            OrderOutcome::Accepted,
        );
    }
    assert_eq!(scaling.desired(), None);

    play(&mut scaling, 5_000, 4_000, &serving(&[("a", 9)]), OrderOutcome::Accepted);
    assert_eq!(scaling.desired(), Some(&serving(&[("a", 9)])));
}

// Symptom: steps get longer and longer over a day.
// Sequence: targets are drained, taken back or lost, one after the other, and none comes in their place.
#[test]
fn a_data_centre_that_has_lost_targets_is_ordered_to_have_them_again() {
    let mut scaling = settled(&[("a", 15), ("b", 15)]);

    let short = serving(&[("a", 11), ("b", 15)]);
    let orders = play(&mut scaling, 4_000, 20_000, &short, OrderOutcome::Accepted);

    let expected = TargetOrder { count: 15, pool: pool("a") };
    assert!(orders.iter().all(|(_, order)| *order == expected), "{orders:?}");
    let at: Vec<u64> = orders.iter().map(|(at_ms, _)| *at_ms).collect();
    assert_eq!(at, [5_500, 13_500, 21_500], "not again while they start");
}

// Symptom: each replacement of a target by the operators brings one more.
#[test]
fn a_target_that_is_replaced_within_a_second_is_not_ordered() {
    let mut scaling = settled(&[("a", 15)]);

    let mut orders =
        play(&mut scaling, 4_000, 1_000, &serving(&[("a", 14)]), OrderOutcome::Accepted);
    orders.extend(play(&mut scaling, 5_000, 5_000, &serving(&[("a", 16)]), OrderOutcome::Accepted));

    assert_eq!(orders, []);
}

// Symptom: a holder of the duty that follows another one orders what was left when it came.
#[test]
fn what_a_service_is_to_have_outlives_the_holder_of_the_duty() {
    let wanted = settled(&[("a", 15)]).desired().cloned();
    let mut scaling = Scaling::open(wanted);

    let orders = play(&mut scaling, 0, 4_000, &serving(&[("a", 9)]), OrderOutcome::Accepted);

    assert_eq!(orders, [(1_500, TargetOrder { count: 15, pool: pool("a") })]);
}

// Symptom: a service is short of targets while there are some to be had in another data centre.
#[test]
fn other_data_centres_stand_in_while_none_are_to_be_had_in_one() {
    let mut scaling = settled(&[("a", 10), ("b", 10), ("c", 10)]);
    let short = serving(&[("a", 6), ("b", 10), ("c", 10)]);
    play(&mut scaling, 4_000, 2_000, &short, OrderOutcome::NoCapacity);

    let orders = play(&mut scaling, 6_000, 2_000, &short, OrderOutcome::Accepted);

    let order = |data_centre, count| TargetOrder { count, pool: pool(data_centre) };
    let orders: Vec<TargetOrder> = orders.into_iter().map(|(_, order)| order).collect();
    assert!(orders.contains(&order("b", 12)), "{orders:?}");
    assert!(orders.contains(&order("c", 12)), "{orders:?}");
}

// Symptom: a bound that the operators change counts only once the holder of the duty changes.
#[test]
fn a_bound_that_the_operators_change_counts_at_once() {
    let mut scaling = settled(&[("a", 15)]);
    let lower = ScalingConfig { max: 10, ..TERMS };

    let orders: Vec<TargetOrder> = (4_000..8_000)
        .step_by(TICK_MS as usize)
        .flat_map(|at_ms| scaling.plan(UnixMs(at_ms), lower, &serving(&[("a", 8)])))
        .collect();

    assert_eq!(orders, [TargetOrder { count: 10, pool: pool("a") }]);
}

#[test]
fn terms_that_allow_no_number_are_an_error_that_names_both() {
    let error = ScalingConfig { min: 5, max: 4, ..TERMS }.validated().expect_err("unfit");

    assert_eq!(error, ScalingError { min: 5, max: 4 });
    assert_eq!(error.to_string(), "scaling has min 5 over max 4");
}

proptest! {
    #[test]
    fn no_order_is_beyond_the_bounds(
        began in prop::collection::vec(0_u32..50, 1..4),
        later in prop::collection::vec((prop::collection::vec(0_u32..50, 1..4), 0_u8..3), 0..12),
    ) {
        let of = |counts: &[u32]| -> PoolCounts {
            counts.iter().enumerate().map(|(index, count)| (pool(&format!("z{index}")), *count)).collect()
        };
        let mut scaling = Scaling::open(None);
        play(&mut scaling, 0, 4_000, &of(&began), OrderOutcome::Accepted);
        for (round, (counts, outcome)) in later.iter().enumerate() {
            let outcomes = [OrderOutcome::Accepted, OrderOutcome::NoCapacity, OrderOutcome::Unknown];
            let outcome = outcomes[usize::from(*outcome)];
            let at_ms = 4_000 + round as u64 * 2_000;

            let orders = play(&mut scaling, at_ms, 2_000, &of(counts), outcome);

            prop_assert!(orders.iter().all(|(_, order)| (1..=30).contains(&order.count)));
        }
    }
}
