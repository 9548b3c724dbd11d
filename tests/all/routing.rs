//! Bounds on the routing benchmark, on counts and virtual times, and the budget for retries.

use catkinmast_bench::{Chooser, SCENARIOS, Scenario, run_choice, run_overload};
use catkinmast_model::UnixMs;
use catkinmast_route::RetryBudget;

fn scenario(name: &str) -> Scenario {
    let found = SCENARIOS.iter().find(|(title, _)| *title == name);
    found.expect("a scenario").1
}

/// Guards against dead targets that multiply the load on the others. Three of nine targets refuse
/// every connection at 70 % load; without a retry budget and ejection they are tried repeatedly.
#[test]
fn a_third_of_targets_dead_adds_at_most_a_tenth_to_attempts() {
    let protected = run_choice(scenario("a third dead, 70 % load, protected"), Chooser::Least, 1);
    let unprotected = run_choice(
        scenario("a third dead, 70 % load, no budget and no ejection"),
        Chooser::Least,
        1,
    );
    assert!(protected.attempts_percent <= 110, "{protected:?}");
    assert!(protected.failed <= 120, "of 60,000: {protected:?}");
    assert!(unprotected.attempts_percent >= 200, "without budget and ejection: {unprotected:?}");
}

/// Guards against a p99 latency set by slow targets. Three of nine targets take four times as long;
/// a policy that ignores latency, or learns it late, keeps choosing them.
#[test]
fn slow_targets_do_not_raise_tail_latency() {
    let slow = scenario("a third four times slower, 70 % load");
    let default_policy = run_choice(slow, Chooser::Least, 1);
    let round_robin = run_choice(slow, Chooser::RoundRobin, 1);
    assert!(default_policy.p99_us <= 45_000, "{default_policy:?}");
    assert!(
        default_policy.p99_us * 10 <= round_robin.p99_us,
        "{default_policy:?}, {round_robin:?}"
    );
}

/// Guards against overload in which no request is served in time. Lookups, acts and audits arrive
/// at 300 % of the node's capacity; in a single queue they all wait until all are late.
#[test]
fn overload_serves_lookups_and_refuses_the_rest_at_once() {
    let with_admission = run_overload(300, true, 1);
    let plain_queue = run_overload(300, false, 1);
    assert!(with_admission.lookups_in_time_percent >= 95, "{with_admission:?}");
    assert!(with_admission.lookup_goodput_percent >= 85, "{with_admission:?}");
    assert!(with_admission.refusal_p99_ms <= 100, "{with_admission:?}");
    assert!(plain_queue.lookups_in_time_percent <= 10, "{plain_queue:?}");
}

/// Guards against a budget that refuses the only retry of a node that makes few calls.
#[test]
fn a_retry_budget_with_a_minimum_rate_lets_a_node_with_few_requests_retry() {
    let start = UnixMs(1_000);
    let mut budget = RetryBudget::new(20).with_saved(1).with_minimum(start, 5_000);

    let taken = [start, start, start.plus(4_999), start.plus(5_000), start.plus(20_000)]
        .map(|now| budget.take_retry_at(now));

    assert_eq!(taken, [true, false, false, true, true]);
}
