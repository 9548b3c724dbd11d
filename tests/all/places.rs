//! Evacuated data centres, and the limits of cold targets.

use catkinmast_model::UnixMs;
use catkinmast_places::{ColdShare, ColdTargets, SenderRing};
use proptest::prelude::*;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("node-{number}")).collect()
}

fn ring(names: &[String]) -> SenderRing {
    SenderRing::new(names.iter().map(String::as_str))
}

/// Returns the sum of the shares of all nodes in a target's limit.
fn sum_of_shares(ring: &SenderRing, names: &[String], target: &str, limit_per_s: u32) -> u32 {
    names.iter().map(|name| ring.share(target, name, limit_per_s).requests_per_s).sum()
}

proptest! {
    // Guards against a cold target that crashes: each node keeps to a limit of its own, and the sum
    // over the nodes exceeds what the target bears.
    #[test]
    fn a_cold_target_gets_no_more_than_its_limit_in_any_second(
        count in 1..60_usize,
        limit_per_s in 0..40_u32,
        mut attempts in proptest::collection::vec((0..5_000_u64, 0..60_usize), 0..800),
    ) {
        let names = names(count);
        let ring = ring(&names);
        let mut nodes = vec![ColdTargets::default(); count];
        for node in &mut nodes {
            node.mark("cold", UnixMs(5_000));
        }
        attempts.sort_unstable();

        let mut sent = Vec::new();
        for (at_ms, number) in attempts {
            let node = number % count;
            let share = ring.share("cold", &names[node], limit_per_s);
            if nodes[node].may_send(UnixMs(at_ms), "cold", share) {
                nodes[node].record_sent(UnixMs(at_ms), "cold");
                sent.push(at_ms);
            }
        }

        for from in &sent {
            let within = sent.iter().filter(|at| (*from..from + 1_000).contains(*at)).count();
            prop_assert!(within <= limit_per_s as usize, "{within} requests from {from} ms on");
        }
    }
}

#[test]
fn a_target_is_unlimited_once_it_is_warm() {
    let mut targets = ColdTargets::default();
    targets.mark("a", UnixMs(3_000));
    let none = ColdShare { requests_per_s: 0 };

    assert!(!targets.may_send(UnixMs(2_999), "a", none));
    assert!(targets.may_send(UnixMs(3_000), "a", none));
    assert!(targets.may_send(UnixMs(0), "b", none), "it is not cold");
}

// Guards against a limit that grows with the fleet: with a share for each node, 2,000 nodes would
// send 2,000 requests a second to a target that bears eight.
#[yare::parameterized(
    nodes_30 = { 30 },
    nodes_300 = { 300 },
    nodes_1000 = { 1_000 },
    nodes_2000 = { 2_000 },
)]
fn a_cold_targets_limit_is_shared_among_a_fixed_number_of_nodes(count: usize) {
    let names = names(count);
    let ring = ring(&names);

    for number in 0..50 {
        let target = format!("target-{number}");
        let senders =
            names.iter().filter(|name| ring.share(&target, name, 8).requests_per_s > 0).count();
        assert_eq!((senders, sum_of_shares(&ring, &names, &target, 8)), (8, 8));
    }
}

#[test]
fn fewer_nodes_send_where_the_limit_is_small() {
    let names = names(20);
    let ring = ring(&names);

    assert_eq!(sum_of_shares(&ring, &names, "a", 0), 0);
    assert_eq!(sum_of_shares(&ring, &names, "a", 1), 1);
}
