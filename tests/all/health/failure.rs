//! Nodes that are cut off, lost datagrams, and targets that return or restart.

use super::fleet::{Fleet, FleetOptions};
use super::{advice, failing, hint, table};
use catkinmast_health::{HealthChange, HintState};
use catkinmast_model::UnixMs;

const CARDS: FleetOptions = FleetOptions { nodes: 66, targets: 43, hints: true, loss_percent: 0 };

/// Returns the number of targets that a node avoids.
fn avoided(fleet: &Fleet, node: usize) -> usize {
    let table = &fleet.nodes[node].table;
    let is_avoided = |id: &str| table.advice(fleet.now, id, || 0).avoid;
    fleet.targets.iter().filter(|target| is_avoided(&target.id)).count()
}

// Guards against one node that empties the tables of all others: it is cut off from the targets, or
// out of processor time, and reports each as failing.
#[test]
fn a_node_that_reports_all_targets_is_not_believed() {
    let mut fleet = Fleet::open(CARDS, 1);
    fleet.call(0..66, 1_000, 21, 30_000);
    fleet.nodes[65].is_cut_off = true;
    fleet.call(65..66, 20, 21, 30_000);

    let mut most = 0;
    for _ in 0..100 {
        fleet.run_for(100);
        most = most.max((0..65).map(|node| avoided(&fleet, node)).max().unwrap_or(0));
    }

    assert!(avoided(&fleet, 65) > 21, "it avoids them itself");
    assert!(most <= 43 / 2, "{most} targets were avoided at once");
    let at_end = (0..65).map(|node| avoided(&fleet, node)).max().unwrap_or(0);
    assert!(at_end <= 4, "{at_end} targets are avoided");
}

// Guards against a target that is kept from all nodes because some of them cannot reach it: they find
// it dead again and again, and check it in turn like others.
#[yare::parameterized(
    one_node = { 1, 10 },
    a_data_centre = { 20, 25 },
)]
fn a_target_that_some_nodes_cannot_reach_is_used_by_the_others(
    cut_off: usize,
    avoided_percent_max: usize,
) {
    let mut fleet = Fleet::open(CARDS, 4);
    for node in &mut fleet.nodes[..cut_off] {
        node.cut_off_from = Some(5);
    }
    fleet.call(0..66, 1_000, 21, 60_000);
    fleet.call(0..2, 50, 21, 60_000);

    let mut avoided = 0;
    for _ in 0..300 {
        fleet.run_for(200);
        let avoids =
            |node: &usize| fleet.nodes[*node].table.advice(fleet.now, "plain-5", || 0).avoid;
        avoided += (cut_off..66).filter(avoids).count();
    }

    let percent = avoided * 100 / (300 * (66 - cut_off));
    assert!(percent <= avoided_percent_max, "avoided in {percent} % of the time");
}

// Guards against hints that need each datagram: a third is lost.
#[test]
fn dead_targets_are_avoided_although_datagrams_are_lost() {
    let options = FleetOptions { loss_percent: 33, ..CARDS };
    let mut fleet = Fleet::open(options, 2);
    fleet.call(0..22, 92, 21, 20_000);
    fleet.run_for(5_000);
    for number in 0..26 {
        fleet.targets[number].is_dead = true;
    }
    let from = fleet.now;

    fleet.run_for(2_000);

    let attempts = fleet.dead_attempts_since(from);
    assert!(attempts <= 26 * 6, "{attempts} calls at dead targets");
}

// Guards against targets that get no calls for long after their return, and against a burst of
// calls from all nodes at once when they do.
#[test]
fn a_target_that_returns_is_used_again_soon_and_slowly_at_first() {
    let mut fleet = Fleet::open(CARDS, 3);
    fleet.call(0..66, 300, 21, 60_000);
    fleet.run_for(5_000);
    fleet.targets[0].is_dead = true;
    fleet.run_for(8_000);
    fleet.targets[0].is_dead = false;
    fleet.targets[0].work_ms = 0;
    let returned_at = fleet.now;

    let mut used_after_ms = None;
    for _ in 0..80 {
        fleet.run_for(50);
        if used_after_ms.is_none() && fleet.targets[0].work_ms > 0 {
            used_after_ms = Some(fleet.now.since_ms(returned_at));
            fleet.run_for(500);
            let cleared = (0..66).filter(|node| {
                let advice = fleet.nodes[*node].table.advice(fleet.now, "plain-0", || 0);
                !advice.avoid && advice.slowdown_tenths > 25
            });
            let count = cleared.count();
            assert!(count >= 60, "{count} nodes know and start slowly");
        }
    }

    let used_after_ms = used_after_ms.expect("it is used again");
    assert!(used_after_ms <= 3_000, "used after {used_after_ms} ms");
    let avoiding = (0..66).filter(|node| avoided(&fleet, *node) > 0).count();
    assert_eq!(avoiding, 0);
    let advice = fleet.nodes[0].table.advice(fleet.now, "plain-0", || 0);
    assert!(advice.slowdown_tenths <= 20, "{advice:?}");
}

// Guards against hints about an earlier incarnation: a target that restarts under its id gets no
// calls because of what its predecessor did.
#[test]
fn a_restarted_target_starts_without_hints() {
    let mut table = table(10);
    table.receive(UnixMs(1_000), &[failing("plain-0", "a", 0), failing("plain-0", "b", 0)]);

    table.target_joined(UnixMs(1_200), "plain-0", "plain");
    let restarted = advice(&table, 1_200, "plain-0");
    table.receive(UnixMs(1_300), &[failing("plain-0", "c", 200)]);
    let after_old_hint = advice(&table, 1_300, "plain-0");
    table.receive(UnixMs(1_300), &[failing("plain-0", "d", 50)]);

    assert!(!restarted.avoid);
    assert!(!after_old_hint.avoid, "the hint is older than the incarnation");
    assert!(advice(&table, 1_300, "plain-0").avoid);
}

#[test]
fn a_single_failure_of_its_own_is_reported_to_three_peers_at_once() {
    let mut table = table(10);

    let change = table.failed(UnixMs(1_000), "plain-3");
    let sends = table.outgoing(UnixMs(1_000));

    assert_eq!(change, Some(HealthChange::Hinted { target: "plain-3".to_owned() }));
    assert!(advice(&table, 1_000, "plain-3").avoid);
    assert_eq!((sends.len(), sends[0].peers, sends[0].hints.len()), (1, 3, 1));
    assert_eq!(sends[0].hints[0].state, HintState::Failing);
    assert!(table.outgoing(UnixMs(1_100)).is_empty(), "it is reported once");
}

#[test]
fn a_hint_is_passed_on_once_and_at_most_six_times() {
    let mut table = table(10);
    let mut last = failing("plain-1", "a", 0);
    last.hops = 6;

    table.receive(UnixMs(1_000), &[failing("plain-0", "a", 0), last]);
    let first = table.outgoing(UnixMs(1_100));
    table.receive(UnixMs(1_200), &[failing("plain-0", "a", 200)]);
    let again = table.outgoing(UnixMs(1_300));

    let hints: Vec<_> = first.iter().flat_map(|send| &send.hints).collect();
    assert_eq!(hints.len(), 1);
    assert_eq!((hints[0].hops, hints[0].age_ms), (1, 100));
    assert!(again.is_empty());
}

#[test]
fn an_answer_clears_older_hints_and_is_reported() {
    let mut table = table(10);
    table.receive(UnixMs(1_000), &[failing("plain-0", "a", 0)]);
    table.outgoing(UnixMs(1_000));

    let change = table.answered(UnixMs(1_500), "plain-0", Some("lookups"), 20);
    let sends = table.outgoing(UnixMs(1_500));
    table.receive(UnixMs(1_600), &[failing("plain-0", "b", 300)]);

    assert_eq!(change, Some(HealthChange::Cleared { target: "plain-0".to_owned() }));
    assert_eq!(sends[0].hints[0].state, HintState::Serving);
    assert!(!advice(&table, 1_600, "plain-0").avoid, "the second hint is older than the answer");
}

// Guards against a target that flaps because one node cannot reach it while others can.
#[test]
fn a_failure_just_after_an_answer_needs_a_second_observer() {
    let mut table = table(10);
    table.answered(UnixMs(1_000), "plain-0", Some("lookups"), 20);

    table.receive(UnixMs(1_200), &[failing("plain-0", "a", 0)]);
    let one = advice(&table, 1_200, "plain-0").avoid;
    table.receive(UnixMs(1_300), &[failing("plain-0", "b", 0)]);

    assert!(!one);
    assert!(advice(&table, 1_300, "plain-0").avoid);
}

#[test]
fn hints_of_an_observer_of_more_than_half_count_with_a_second_observer() {
    let mut table = table(10);
    let all: Vec<_> = (0..10).map(|number| failing(&format!("plain-{number}"), "a", 0)).collect();

    let received = table.receive(UnixMs(1_000), &all);
    let believed = (0..10).filter(|n| advice(&table, 1_000, &format!("plain-{n}")).avoid).count();
    table.receive(UnixMs(1_000), &[failing("plain-4", "b", 0)]);

    assert_eq!(believed, 0);
    assert_eq!(received.discounted, 5, "the sixth and later ones");
    assert!(advice(&table, 1_000, "plain-4").avoid);
    assert!(!advice(&table, 1_000, "plain-5").avoid);
}

// Guards against targets taken for dead because they are full, and against calls to one that loads
// weights after a failure.
#[test]
fn a_refusal_for_load_is_no_evidence() {
    let mut table = table(10);

    table.refused(UnixMs(1_000), "plain-0");
    table.failed(UnixMs(1_000), "plain-1");
    table.refused(UnixMs(1_100), "plain-1");

    assert!(!advice(&table, 1_000, "plain-0").avoid);
    assert!(advice(&table, 1_100, "plain-1").avoid);
    assert!(
        table
            .outgoing(UnixMs(1_200))
            .iter()
            .all(|send| { send.hints.iter().all(|hint| hint.state == HintState::Failing) })
    );
}

#[test]
fn after_the_hold_nodes_check_in_turn_and_send_a_call_once_a_connection_opens() {
    let mut table = table(10);
    table.receive(UnixMs(1_000), &[failing("plain-0", "a", 0)]);

    let early = table.checks_due(UnixMs(2_999), |_| 0);
    let third_in_rank = table.checks_due(UnixMs(3_499), |_| 2);
    let its_turn = table.checks_due(UnixMs(3_500), |_| 2);
    let before = table.advice(UnixMs(3_500), "plain-0", || 2);
    table.checked(UnixMs(3_510), "plain-0", true);
    let reachable = table.advice(UnixMs(3_510), "plain-0", || 2);
    table.sent(UnixMs(3_520), "plain-0");
    let sent = table.advice(UnixMs(3_530), "plain-0", || 2);

    assert!(early.is_empty() && third_in_rank.is_empty());
    assert_eq!(its_turn, ["plain-0"]);
    assert!(before.avoid && !before.probe);
    assert!(reachable.probe && !reachable.avoid);
    assert!(sent.avoid && !sent.probe, "one call at a time");
}

#[test]
fn a_failed_check_renews_the_hint_for_others() {
    let mut table = table(10);
    table.receive(UnixMs(1_000), &[failing("plain-0", "a", 0)]);
    table.outgoing(UnixMs(1_100));

    table.checked(UnixMs(3_100), "plain-0", false);
    let sends = table.outgoing(UnixMs(3_100));

    assert!(advice(&table, 5_000, "plain-0").avoid);
    assert_eq!(sends[0].hints[0].state, HintState::Failing);
}

// Guards against one node that keeps a target from all others by reporting it again and again.
#[test]
fn a_renewal_needs_another_observer() {
    let mut table = table(10);
    table.receive(UnixMs(1_000), &[failing("plain-0", "a", 0)]);
    table.outgoing(UnixMs(1_100));

    table.receive(UnixMs(2_500), &[failing("plain-0", "a", 0)]);
    let passed_on = table.outgoing(UnixMs(3_000));
    let due = table.checks_due(UnixMs(3_000), |_| 0);
    table.receive(UnixMs(3_100), &[failing("plain-0", "b", 0)]);

    assert!(passed_on.is_empty());
    assert_eq!(due, ["plain-0"]);
    assert!(advice(&table, 5_000, "plain-0").avoid);
}

#[test]
fn reports_of_a_contradicted_observer_need_another_one() {
    let mut table = table(10);
    table.receive(UnixMs(1_000), &[failing("plain-0", "a", 0)]);
    table.receive(UnixMs(2_000), &[hint("plain-0", "b", HintState::Serving, 0)]);

    table.receive(UnixMs(5_000), &[failing("plain-0", "a", 0)]);
    let alone = advice(&table, 5_000, "plain-0").avoid;
    table.receive(UnixMs(5_100), &[failing("plain-0", "c", 0)]);
    let with_another = advice(&table, 5_100, "plain-0").avoid;

    assert!(!alone);
    assert!(with_another);
}

// Guards against targets that are avoided for good because the nodes that would check them are gone.
#[test]
fn a_hint_lapses_four_seconds_after_the_hold() {
    let mut table = table(10);
    table.receive(UnixMs(1_000), &[failing("plain-0", "a", 0)]);

    let held = table.advice(UnixMs(6_999), "plain-0", || 1_000);
    let lapsed = table.advice(UnixMs(7_000), "plain-0", || 1_000);

    assert!(held.avoid);
    assert!(!lapsed.avoid);
}

// Guards against targets that look slow because they answered long calls.
#[test]
fn slowdowns_compare_calls_of_the_same_route() {
    let mut table = table(10);
    for round in 0..20 {
        let at = UnixMs(1_000 + round * 100);
        for number in 0..4 {
            let (route, latency_ms) = if number < 2 { ("lookups", 20) } else { ("scores", 200) };
            table.answered(at, &format!("plain-{number}"), Some(route), latency_ms);
        }
        table.answered(at, "plain-4", Some("lookups"), 40);
        table.answered(at, "plain-5", Some("scores"), 400);
    }

    let slowdown = |number: u64| advice(&table, 3_000, &format!("plain-{number}")).slowdown_tenths;

    assert_eq!(slowdown(0), slowdown(2));
    assert_eq!(slowdown(4), slowdown(5));
    assert!(slowdown(4) >= slowdown(0) * 17 / 10, "{} and {}", slowdown(4), slowdown(0));
}

// Guards against a node out of processor time that reports every target as slow: it sees all answers
// late.
#[test]
fn a_node_that_sees_all_answers_late_finds_no_target_slow() {
    let mut table = table(10);
    for round in 0..200 {
        let latency_ms = if round < 100 { 20 } else { 120 };
        let id = format!("plain-{}", round % 10);
        table.answered(UnixMs(1_000 + round * 100), &id, Some("lookups"), latency_ms);
    }

    let slowdowns: Vec<u64> = (0..10)
        .map(|number| advice(&table, 21_000, &format!("plain-{number}")).slowdown_tenths)
        .collect();

    let (least, most) = (slowdowns.iter().min(), slowdowns.iter().max());
    assert!(most <= least.map(|least| least * 12 / 10).as_ref(), "{slowdowns:?}");
}

#[test]
fn reported_slowdowns_are_blended_by_observations_and_age() {
    let mut table = table(10);
    let slow = |observer: &str, tenths, observations, age_ms| {
        hint("plain-0", observer, HintState::Slowdown { tenths, observations }, age_ms)
    };

    table.receive(UnixMs(100_000), &[slow("a", 30, 16, 0)]);
    let one = advice(&table, 100_000, "plain-0").slowdown_tenths;
    table.receive(UnixMs(100_000), &[slow("b", 10, 16, 0)]);
    let two = advice(&table, 100_000, "plain-0").slowdown_tenths;
    table.receive(UnixMs(100_000), &[slow("a", 60, 16, 5_000)]);
    let older = advice(&table, 100_000, "plain-0").slowdown_tenths;

    assert_eq!(one, 29);
    assert_eq!(two, 20);
    assert_eq!(older, two, "an older report of the same observer changes nothing");
    assert_eq!(advice(&table, 160_000, "plain-0").slowdown_tenths, 10);
}
