//! The fleet under load: what dead targets cost, how even the load is, and what hints cost.

use super::fleet::{Fleet, FleetOptions};

const CARDS: FleetOptions = FleetOptions { nodes: 66, targets: 43, hints: true, loss_percent: 0 };

/// Sixty percent of the targets die while a third of the nodes make 240 calls a second. Returns the
/// fleet two seconds later, and the calls at dead targets meanwhile.
fn lose_targets(options: FleetOptions, seed: u64) -> (Fleet, usize) {
    let mut fleet = Fleet::open(options, seed);
    fleet.call(0..66, 5_000, 21, 20_000);
    fleet.call(0..22, 92, 21, 20_000);
    fleet.run_for(10_000);
    for number in 0..26 {
        fleet.targets[number * 43 / 26].is_dead = true;
    }
    let from = fleet.now;
    fleet.run_for(2_000);
    let attempts = fleet.dead_attempts_since(from);
    (fleet, attempts)
}

// Guards against each of 66 nodes finding 26 dead targets by itself: 180 of 393 lookups were late in
// the two seconds after the targets had gone.
#[test]
fn a_dead_target_costs_the_fleet_few_calls_and_not_one_for_each_node() {
    for seed in 0..5 {
        let (mut fleet, attempts) = lose_targets(CARDS, seed);
        let alone = FleetOptions { hints: false, ..CARDS };
        let (_, attempts_alone) = lose_targets(alone, seed);
        let from = fleet.now;
        fleet.run_for(6_000);
        let later = fleet.dead_attempts_since(from);
        let checks = fleet.checks_since(from);

        assert!(attempts <= 26 * 4, "{attempts} calls at dead targets");
        assert!(attempts * 4 < attempts_alone, "{attempts} calls, {attempts_alone} without hints");
        assert!(later <= 26, "{later} calls at dead targets in the next 6 s");
        assert!(checks <= 26 * 3 * 4, "{checks} connections to dead targets in 6 s");
    }
}

// Guards against one target with twice the work of others: the busiest plain target got 1.6 to 2.1
// times the mean.
#[test]
fn work_over_speed_of_the_busiest_target_is_near_the_mean() {
    for seed in 0..5 {
        let mut fleet = Fleet::open(CARDS, seed);
        fleet.call(0..66, 5_000, 21, 60_000);
        fleet.call(0..6, 40, 200, 60_000);
        fleet.run_for(30_000);
        for target in &mut fleet.targets {
            target.work_ms = 0;
        }
        fleet.run_for(30_000);

        assert!(fleet.busiest_percent() <= 130, "{} %", fleet.busiest_percent());
    }
}

// Guards against a connection for a fifth of all calls: 55 nodes that each spread a few calls a second
// over 36 targets opened 1,780 for 8,469 requests.
#[yare::parameterized(
    quiet = { 5_000 },
    a_few_a_second = { 330 },
    busy = { 90 },
)]
fn most_calls_find_an_open_connection(every_ms: u64) {
    let mut fleet = Fleet::open(FleetOptions { nodes: 55, targets: 36, ..CARDS }, 5);
    fleet.call(0..55, every_ms, 21, 60_000);

    fleet.run_for(60_000);

    let calls: u64 = fleet.nodes.iter().map(|node| node.calls).sum();
    let opened: u64 = fleet.nodes.iter().map(|node| node.connections_opened).sum();
    assert!(opened * 10 <= calls, "{opened} connections for {calls} calls");
}

// Guards against control traffic that grows with the fleet.
#[yare::parameterized(
    cards = { CARDS, 26 },
    large = { FleetOptions { nodes: 320, targets: 870, hints: true, loss_percent: 0 }, 522 },
)]
fn a_node_keeps_to_its_budget_while_most_targets_die(options: FleetOptions, dead: usize) {
    let mut fleet = Fleet::open(options, 7);
    fleet.call(0..options.nodes, 5_000, 21, 30_000);
    fleet.call(0..options.nodes / 3, 92, 21, 30_000);
    fleet.run_for(10_000);
    let quiet = fleet.nodes.iter().map(|node| node.sent_bytes).max().unwrap_or(0);
    for number in 0..dead {
        fleet.targets[number].is_dead = true;
    }
    fleet.run_for(10_000);

    let most = fleet.nodes.iter().map(|node| node.sent_bytes).max().unwrap_or(0);
    assert!(quiet <= 300 * 10 + 4_000, "{quiet} bytes");
    assert!(most <= 300 * 20 + 4_000, "{most} bytes");
}
