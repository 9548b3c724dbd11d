//! The delay of a hedge, the attempt limit, and the budget.

use super::{GOAL_MS, ROUTE, START, delay_ms, hedging_after, limit_ms};
use catkinmast_hedge::{HedgePermit, Hedging};
use proptest::collection::vec;
use proptest::prelude::*;

/// A bucket is at most an eighth of its latency wide.
const fn is_within_bucket(estimate_ms: u64, exact_ms: u64) -> bool {
    estimate_ms >= exact_ms && estimate_ms <= exact_ms + exact_ms / 8
}

/// Returns the latency within which `percent` of these attempts were answered.
fn exact_ms(latencies_ms: &[u64], percent: usize) -> u64 {
    let mut sorted = latencies_ms.to_vec();
    sorted.sort_unstable();
    sorted[(sorted.len() * percent).div_ceil(100) - 1]
}

// Guards against hedges at a time without meaning on a node with few requests, whose latencies are
// too few for a percentile.
#[test]
fn with_fewer_than_20_answers_the_goal_decides() {
    let hedging = hedging_after([5; 19]);

    assert_eq!(delay_ms(&hedging, START, GOAL_MS), Some(50), "a third of the goal");
    assert_eq!(limit_ms(&hedging, START, GOAL_MS), Some(600), "four times the goal");
}

#[test]
fn without_a_goal_and_without_answers_nothing_is_hedged_or_given_up() {
    let hedging = hedging_after([5; 19]);

    assert_eq!(delay_ms(&hedging, START, 0), None);
    assert_eq!(limit_ms(&hedging, START, 0), None);
}

#[yare::parameterized(
    fast_answers = { 2, 37 },
    usual_answers = { 55, 55 },
    slow_answers = { 400, 75 },
)]
fn a_hedge_is_sent_after_a_quarter_to_a_half_of_the_goal(latency_ms: u64, expected_ms: u64) {
    let hedging = hedging_after([latency_ms; 40]);

    assert_eq!(delay_ms(&hedging, START, GOAL_MS), Some(expected_ms));
}

// Guards against attempts that are given up although their target is only as slow as usual for the
// route.
#[test]
fn an_attempt_may_take_three_times_the_99th_percentile() {
    let hedging = hedging_after([400; 40]);

    let limit_ms = limit_ms(&hedging, START, GOAL_MS).expect("a limit");

    assert!(is_within_bucket(limit_ms, 1_200), "{limit_ms}");
}

// Guards against a request that is repeated when its caller has no time left for another answer,
// and so loses the one that was about to arrive.
#[test]
fn an_attempt_is_not_given_up_if_too_little_time_is_left_for_another() {
    let hedging = Hedging::default();
    let limit_ends = START.plus(600);

    let at = |deadline_at| hedging.give_up_at(START, ROUTE, START, deadline_at, GOAL_MS);

    assert_eq!(at(limit_ends.plus(50)), None);
    assert_eq!(at(limit_ends.plus(51)), Some(limit_ends));
}

// Guards against delays that stay long after a period of load, or short after it began.
#[test]
fn old_answers_lose_their_weight() {
    let mut hedging = hedging_after([400; 100]);
    let now = START.plus(60_000);

    for _ in 0..30 {
        hedging.answered(now, ROUTE, 40);
    }

    let delay_ms = delay_ms(&hedging, now, 0).expect("a delay");
    assert!(is_within_bucket(delay_ms, 40), "{delay_ms}");
}

// Guards against a service that is slow but works, and of whose answers the callers get none,
// because each attempt is given up at a limit that stems from faster times.
#[yare::parameterized(
    after_fast_answers = { 40 },
    without_answers = { 0 },
)]
fn the_limit_grows_if_most_attempts_outlast_it(answers: usize) {
    let mut hedging = hedging_after(vec![20; answers]);
    let mut now = START;

    for _ in 0..200 {
        now = now.plus(100);
        let limit_ms = limit_ms(&hedging, now, GOAL_MS).expect("a limit");
        if limit_ms >= 1_500 {
            return;
        }
        hedging.outlasted(now, ROUTE, limit_ms);
    }

    panic!("the limit stays at {:?} ms", limit_ms(&hedging, now, GOAL_MS));
}

// Guards against a limit that grows to the caller's deadline because a few answers are lost: a lost
// answer has no latency.
#[test]
fn a_few_lost_answers_leave_the_limit_as_it_is() {
    let mut hedging = hedging_after((0..400).map(|number| 60 + number % 40));
    let before_ms = limit_ms(&hedging, START, 0);

    for _ in 0..12 {
        hedging.outlasted(START, ROUTE, 300);
    }

    assert_eq!(limit_ms(&hedging, START, 0), before_ms);
}

#[test]
fn hedges_are_refused_without_spare_capacity_and_with_an_empty_budget() {
    let mut hedging = Hedging::default();

    let without_spare = hedging.may_hedge(START, false);
    let permits = [(); 5].map(|()| hedging.may_hedge(START, true));

    assert_eq!(without_spare, HedgePermit::NoRoom);
    assert_eq!(permits[..4], [HedgePermit::Granted; 4], "the saved units were not spent before");
    assert_eq!(permits[4], HedgePermit::NoBudget);
}

// Guards against memory that grows with each renaming of routes.
#[test]
fn the_latencies_of_the_least_recently_used_route_are_dropped() {
    let mut hedging = Hedging::default();

    for number in 0..400_u64 {
        for _ in 0..25 {
            hedging.answered(START.plus(number * 1_000), &format!("route {number}"), 40);
        }
    }

    let now = START.plus(400_000);
    let known = |number: u64| {
        let sent_at = START.plus(number * 1_000);
        hedging.hedge_at(sent_at, &format!("route {number}"), now, 0).is_some()
    };
    assert_eq!((0..400).filter(|number| known(*number)).count(), 256);
    assert!(known(399));
}

proptest! {
    // Guards against percentiles that are wrong by more than the width of a bucket.
    #[test]
    fn the_delay_is_the_95th_percentile_and_the_limit_three_times_the_99th(
        latencies_ms in vec(1..30_000_u64, 20..300),
    ) {
        let hedging = hedging_after(latencies_ms.clone());

        let delay_ms = delay_ms(&hedging, START, 0).expect("a delay");
        let limit_ms = limit_ms(&hedging, START, 0);

        prop_assert!(is_within_bucket(delay_ms, exact_ms(&latencies_ms, 95)), "{}", delay_ms);
        if let Some(limit_ms) = limit_ms {
            prop_assert!(is_within_bucket(limit_ms / 3, exact_ms(&latencies_ms, 99)));
        }
    }

    // Guards against hedges that come earlier and earlier: slow attempts are the ones that are
    // overtaken, and if they left no trace, only fast answers would count.
    #[test]
    fn an_overtaken_attempt_never_makes_hedges_earlier(
        answers_ms in vec(1..3_000_u64, 20..200),
        overtaken_ms in vec(0..3_000_u64, 0..60),
        one_more_ms in 0..3_000_u64,
    ) {
        let mut hedging = hedging_after(answers_ms);
        for ran_ms in overtaken_ms {
            hedging.outlasted(START, ROUTE, ran_ms);
        }
        let before_ms = delay_ms(&hedging, START, 0);

        hedging.outlasted(START, ROUTE, one_more_ms);

        prop_assert!(delay_ms(&hedging, START, 0) >= before_ms);
    }

    // Guards against hedges that add more load than a tenth and the saved units, whatever the order
    // of requests and hedges.
    #[test]
    fn hedges_stay_within_a_tenth_of_first_attempts_and_four(
        is_hedge in vec(any::<bool>(), 0..2_000),
    ) {
        let mut hedging = Hedging::default();
        let (mut first_attempts, mut hedges) = (0, 0);

        for is_hedge in is_hedge {
            if is_hedge {
                let permit = hedging.may_hedge(START, true);
                hedges += usize::from(permit == HedgePermit::Granted);
            } else {
                hedging.first_attempt();
                first_attempts += 1;
            }
        }

        prop_assert!(hedges <= first_attempts / 10 + 4, "{} for {}", hedges, first_attempts);
    }
}
