//! Regression bounds on the routing benchmark: counts and virtual times.

use catkinmast_bench::{Chooser, SCENES, Scene, run_choice, run_overload};

fn scene(name: &str) -> Scene {
    let found = SCENES.iter().find(|(title, _)| *title == name);
    found.expect("a scene").1
}

/// Symptom: a dead third of the targets multiplies the load on the rest.
/// Sequence: three of nine targets refuse every connection, at 70 % load.
/// Cause: retries without a budget, and targets that are asked again and again.
#[test]
fn a_dead_third_costs_at_most_a_tenth_more_attempts() {
    let shipped = run_choice(scene("a third dead, 70 % load, protected"), Chooser::Least, 1);
    let without =
        run_choice(scene("a third dead, 70 % load, no budget and no ejection"), Chooser::Least, 1);
    assert!(shipped.attempts_percent <= 110, "{shipped:?}");
    assert!(shipped.failed <= 120, "of 60,000: {shipped:?}");
    assert!(without.attempts_percent >= 200, "the mechanism makes the difference: {without:?}");
}

/// Symptom: one call in a hundred waits behind a slow target.
/// Sequence: three of nine targets take four times as long.
/// Cause: a choice that does not see how slow a target is, or sees it late.
#[test]
fn slow_targets_do_not_show_in_the_tail() {
    let slow = scene("a third four times slower, 70 % load");
    let shipped = run_choice(slow, Chooser::Least, 1);
    let round_robin = run_choice(slow, Chooser::RoundRobin, 1);
    assert!(shipped.p99_us <= 45_000, "{shipped:?}");
    assert!(shipped.p99_us * 10 <= round_robin.p99_us, "{round_robin:?}");
}

/// Symptom: at three times the capacity nobody is served in time.
/// Sequence: lookups, acts and audits arrive at 300 % of what the node can do.
/// Cause: all wait in one queue until all are late.
#[test]
fn overload_keeps_lookups_and_refuses_the_rest_at_once() {
    let shipped = run_overload(300, true, 1);
    let plain_queue = run_overload(300, false, 1);
    assert!(shipped.lookups_in_time_percent >= 95, "{shipped:?}");
    assert!(shipped.lookup_goodput_percent >= 85, "{shipped:?}");
    assert!(shipped.refusal_p99_ms <= 100, "{shipped:?}");
    assert!(plain_queue.lookups_in_time_percent <= 10, "{plain_queue:?}");
}
