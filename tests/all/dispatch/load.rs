//! The choice among targets by the load that this process observes.

use catkinmast_dispatch::{CallOutcome, Candidate, LoadBalancer, LoadBalancerSettings};
use catkinmast_model::UnixMs;

fn candidates() -> [Candidate<'static>; 3] {
    ["a", "b", "c"].map(|id| Candidate {
        connected: true,
        id,
        is_cold: false,
        same_data_centre: true,
        slots: 4,
    })
}

fn answered(balancer: &mut LoadBalancer, id: &str, latency_ms: u64) {
    balancer.call_sent(id);
    balancer.call_ended(UnixMs(0), id, 4, CallOutcome::Answered { latency_ms });
}

#[test]
fn the_least_loaded_target_is_chosen() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    balancer.call_sent("a");
    balancer.call_sent("b");

    let chosen = balancer.choose(UnixMs(0), &candidates(), &[], 0).expect("a target");

    assert_eq!(chosen.id, "c");
}

// Guards against opening a connection for a fifth of all calls. 55 nodes each make a few calls a
// second to 36 targets; if equal targets are chosen in turn, most calls go to one without an idle
// connection.
#[test]
fn a_connected_target_is_preferred_until_it_has_one_more_call() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    let mut candidates = candidates();
    candidates[0].connected = false;
    candidates[2].connected = false;

    for draw in 0..3 {
        assert_eq!(balancer.choose(UnixMs(0), &candidates, &[], draw).expect("a target").id, "b");
    }
    balancer.call_sent("b");

    assert_ne!(balancer.choose(UnixMs(0), &candidates, &[], 0).expect("a target").id, "b");
}

#[test]
fn a_tried_target_is_chosen_only_if_there_is_no_other() {
    let balancer = LoadBalancer::open(LoadBalancerSettings::default());
    let tried = ["a".to_owned(), "b".to_owned()];

    assert_eq!(
        balancer.choose(UnixMs(0), &candidates(), &tried, 0).map(|candidate| candidate.id),
        Some("c")
    );
    assert!(balancer.choose(UnixMs(0), &candidates()[..2], &tried, 0).is_some());
}

#[test]
fn a_failing_target_backs_off_increasingly_and_returns() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    balancer.call_sent("a");
    balancer.call_ended(UnixMs(1_000), "a", 4, CallOutcome::Failed);

    assert!(balancer.is_unavailable(UnixMs(1_399), "a"));
    assert!(!balancer.is_unavailable(UnixMs(1_400), "a"));
    balancer.call_sent("a");
    balancer.call_ended(UnixMs(2_000), "a", 4, CallOutcome::Failed);
    assert!(balancer.is_unavailable(UnixMs(2_799), "a"));
    assert!(!balancer.is_unavailable(UnixMs(2_800), "a"));
}

#[test]
fn if_all_targets_back_off_all_may_be_chosen() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    for id in ["a", "b", "c"] {
        balancer.call_sent(id);
        balancer.call_ended(UnixMs(0), id, 4, CallOutcome::Failed);
    }

    assert!(balancer.choose(UnixMs(1), &candidates(), &[], 0).is_some());
}

// Guards against a third of all arrivals at engines being refused. An engine with free slots
// refuses for a second while it loads weights; retried every 60 ms like a full one, it refuses
// again and again.
#[test]
fn a_target_that_refuses_with_free_slots_backs_off_longer_than_a_full_one() {
    let mut loading = LoadBalancer::open(LoadBalancerSettings::default());
    loading.call_sent("a");
    loading.call_ended(UnixMs(0), "a", 4, CallOutcome::Overloaded);
    let mut full = LoadBalancer::open(LoadBalancerSettings::default());
    for _ in 0..4 {
        full.call_sent("a");
    }
    full.call_ended(UnixMs(0), "a", 4, CallOutcome::Overloaded);

    assert!(loading.is_unavailable(UnixMs(249), "a"));
    assert!(!full.is_unavailable(UnixMs(60), "a"));
}

#[test]
fn items_go_to_the_fastest_target_with_a_free_slot() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    answered(&mut balancer, "a", 200);
    answered(&mut balancer, "b", 50);
    answered(&mut balancer, "c", 50);
    for _ in 0..4 {
        balancer.call_sent("b");
    }

    let chosen = balancer
        .choose_with_free_slot(UnixMs(0), &candidates(), Some("a"), 1_000, 0)
        .expect("a target");

    assert_eq!(chosen.id, "c");
}

#[test]
fn no_item_goes_to_a_target_without_a_free_slot() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    for candidate in candidates() {
        for _ in 0..4 {
            balancer.call_sent(candidate.id);
        }
    }

    assert_eq!(balancer.choose_with_free_slot(UnixMs(0), &candidates(), None, 1_000, 0), None);
}

// Guards against a step's longest items starting 1.1 s late. Targets start to load as a step is
// submitted. If only the node that ordered a load knows of it, the step's longest items go to the
// emptiest targets, which are those that load; they are refused and find the others filled with
// shorter items.
#[test]
fn a_loading_target_gets_no_item_until_its_load_is_expected_to_end() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    for id in ["b", "c"] {
        balancer.call_sent(id);
    }
    balancer.record_loading_until("a", UnixMs(900));

    let meanwhile = balancer
        .choose_with_free_slot(UnixMs(899), &candidates(), Some("a"), 1_000, 0)
        .expect("a target");
    let afterwards = balancer
        .choose_with_free_slot(UnixMs(900), &candidates(), Some("a"), 1_000, 0)
        .expect("a target");

    assert_ne!(meanwhile.id, "a");
    assert_eq!(afterwards.id, "a");
}
