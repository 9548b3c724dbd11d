//! The number of targets of a service: lost ones are replaced, where targets are available.

use catkinmast_model::UnixMs;
use catkinmast_scaling::{
    OrderOutcome, Pool, PoolCounts, Scaling, ScalingConfig, ScalingError, TargetOrder,
};
use proptest::prelude::*;

const CONFIG: ScalingConfig = ScalingConfig { boot_ms: 4_000, max: 30, min: 1 };
const TICK_MS: u64 = 250;

fn pool(data_centre: &str) -> Pool {
    Pool { data_centre: data_centre.to_owned(), reclaimable: false }
}

fn serving(counts: &[(&str, u32)]) -> PoolCounts {
    counts.iter().map(|(data_centre, count)| (pool(data_centre), *count)).collect()
}

/// Plans for a while with the same serving targets and returns the orders with their times.
fn plan_for(
    scaling: &mut Scaling,
    from_ms: u64,
    for_ms: u64,
    serving: &PoolCounts,
    outcome: OrderOutcome,
) -> Vec<(u64, TargetOrder)> {
    let mut orders = Vec::new();
    for at_ms in (from_ms..from_ms + for_ms).step_by(TICK_MS as usize) {
        for order in scaling.plan(UnixMs(at_ms), CONFIG, serving) {
            let count = serving.get(&order.pool).copied().unwrap_or(0);
            scaling.record_outcome(UnixMs(at_ms), &order, count, outcome);
            orders.push((at_ms, order));
        }
    }
    orders
}

fn settled(counts: &[(&str, u32)]) -> Scaling {
    let mut scaling = Scaling::open(None);
    let orders = plan_for(&mut scaling, 0, 4_000, &serving(counts), OrderOutcome::Accepted);
    assert_eq!(orders, []);
    scaling
}

#[test]
fn targets_that_are_still_starting_do_not_set_the_desired_counts() {
    let mut scaling = Scaling::open(None);

    for second in 0..5 {
        let at_ms = second * 1_000;
        plan_for(
            &mut scaling,
            at_ms,
            1_000,
            &serving(&[("a", second as u32 + 1)]),
            OrderOutcome::Accepted,
        );
    }
    assert_eq!(scaling.desired(), None);

    plan_for(&mut scaling, 5_000, 4_000, &serving(&[("a", 9)]), OrderOutcome::Accepted);
    assert_eq!(scaling.desired(), Some(&serving(&[("a", 9)])));
}

// Guards against steps that get longer over a day, because targets are drained, reclaimed or lost
// one after the other and none is replaced.
#[test]
fn lost_targets_of_a_data_centre_are_ordered_again() {
    let mut scaling = settled(&[("a", 15), ("b", 15)]);

    let short = serving(&[("a", 11), ("b", 15)]);
    let orders = plan_for(&mut scaling, 4_000, 20_000, &short, OrderOutcome::Accepted);

    let expected = TargetOrder { count: 15, pool: pool("a") };
    assert!(orders.iter().all(|(_, order)| *order == expected), "{orders:?}");
    let at: Vec<u64> = orders.iter().map(|(at_ms, _)| *at_ms).collect();
    assert_eq!(at, [5_500, 13_500, 21_500], "not ordered again while they start");
}

// Guards against one target too many for each target that the operators replace.
#[test]
fn a_target_that_is_replaced_within_a_second_is_not_ordered() {
    let mut scaling = settled(&[("a", 15)]);

    let mut orders =
        plan_for(&mut scaling, 4_000, 1_000, &serving(&[("a", 14)]), OrderOutcome::Accepted);
    orders.extend(plan_for(
        &mut scaling,
        5_000,
        5_000,
        &serving(&[("a", 16)]),
        OrderOutcome::Accepted,
    ));

    assert_eq!(orders, []);
}

// Guards against a new holder of the duty that orders only as many targets as were left when it
// took over.
#[test]
fn desired_counts_survive_a_change_of_the_duty_holder() {
    let wanted = settled(&[("a", 15)]).desired().cloned();
    let mut scaling = Scaling::open(wanted);

    let orders = plan_for(&mut scaling, 0, 4_000, &serving(&[("a", 9)]), OrderOutcome::Accepted);

    assert_eq!(orders, [(1_500, TargetOrder { count: 15, pool: pool("a") })]);
}

// Guards against a service that is short of targets while another data centre has some available.
#[test]
fn other_data_centres_substitute_for_unavailable_targets() {
    let mut scaling = settled(&[("a", 10), ("b", 10), ("c", 10)]);
    let short = serving(&[("a", 6), ("b", 10), ("c", 10)]);
    plan_for(&mut scaling, 4_000, 2_000, &short, OrderOutcome::NoCapacity);

    let orders = plan_for(&mut scaling, 6_000, 2_000, &short, OrderOutcome::Accepted);

    let order = |data_centre, count| TargetOrder { count, pool: pool(data_centre) };
    let orders: Vec<TargetOrder> = orders.into_iter().map(|(_, order)| order).collect();
    assert!(orders.contains(&order("b", 12)), "{orders:?}");
    assert!(orders.contains(&order("c", 12)), "{orders:?}");
}

// Guards against a changed bound that takes effect only when the holder of the duty changes.
#[test]
fn a_changed_bound_takes_effect_at_once() {
    let mut scaling = settled(&[("a", 15)]);
    let lower = ScalingConfig { max: 10, ..CONFIG };

    let orders: Vec<TargetOrder> = (4_000..8_000)
        .step_by(TICK_MS as usize)
        .flat_map(|at_ms| scaling.plan(UnixMs(at_ms), lower, &serving(&[("a", 8)])))
        .collect();

    assert_eq!(orders, [TargetOrder { count: 10, pool: pool("a") }]);
}

#[test]
fn bounds_that_allow_no_number_are_an_error_that_names_both() {
    let error = ScalingConfig { min: 5, max: 4, ..CONFIG }
        .validated()
        .expect_err("min above max is rejected");

    assert_eq!(error, ScalingError { min: 5, max: 4 });
    assert_eq!(error.to_string(), "scaling min 5 is above max 4");
}

proptest! {
    #[test]
    fn no_order_exceeds_the_bounds(
        initial in prop::collection::vec(0_u32..50, 1..4),
        later in prop::collection::vec((prop::collection::vec(0_u32..50, 1..4), 0_u8..3), 0..12),
    ) {
        let of = |counts: &[u32]| -> PoolCounts {
            counts.iter().enumerate().map(|(index, count)| (pool(&format!("z{index}")), *count)).collect()
        };
        let mut scaling = Scaling::open(None);
        plan_for(&mut scaling, 0, 4_000, &of(&initial), OrderOutcome::Accepted);
        for (round, (counts, outcome)) in later.iter().enumerate() {
            let outcomes = [OrderOutcome::Accepted, OrderOutcome::NoCapacity, OrderOutcome::Unknown];
            let outcome = outcomes[usize::from(*outcome)];
            let at_ms = 4_000 + round as u64 * 2_000;

            let orders = plan_for(&mut scaling, at_ms, 2_000, &of(counts), outcome);

            let are_in_bounds = orders.iter().all(|(_, order)| (1..=30).contains(&order.count));
            prop_assert!(are_in_bounds, "{:?}", orders);
        }
    }
}
