//! The choice among targets by the load that this process sees.

use catkinmast_dispatch::{CallOutcome, Candidate, LoadBalancer, LoadBalancerSettings};
use catkinmast_model::UnixMs;

fn picks() -> [Candidate<'static>; 3] {
    ["a", "b", "c"].map(|id| Candidate { connected: true, id, same_data_centre: true, slots: 4 })
}

fn answered(load: &mut LoadBalancer, id: &str, latency_ms: u64) {
    load.call_sent(id);
    load.call_ended(UnixMs(0), id, 4, CallOutcome::Answered { latency_ms });
}

#[test]
fn the_emptiest_target_is_chosen() {
    let mut load = LoadBalancer::open(LoadBalancerSettings::default());
    load.call_sent("a");
    load.call_sent("b");

    let chosen = load.choose(UnixMs(0), &picks(), &[], 0).expect("a target");

    assert_eq!(chosen.id, "c");
}

// Symptom: a fifth of all calls open a connection to their target.
// Sequence: 55 nodes make a few calls a second each to 36 targets.
// Cause: equal targets are chosen in turn, whether a connection to them is there or not.
#[test]
fn a_connected_target_is_chosen_until_it_has_a_call_more() {
    let mut load = LoadBalancer::open(LoadBalancerSettings::default());
    let mut picks = picks();
    picks[0].connected = false;
    picks[2].connected = false;

    for draw in 0..3 {
        assert_eq!(load.choose(UnixMs(0), &picks, &[], draw).expect("a target").id, "b");
    }
    load.call_sent("b");

    assert_ne!(load.choose(UnixMs(0), &picks, &[], 0).expect("a target").id, "b");
}

#[test]
fn a_target_that_was_tried_is_chosen_only_where_there_is_no_other() {
    let load = LoadBalancer::open(LoadBalancerSettings::default());
    let tried = ["a".to_owned(), "b".to_owned()];

    assert_eq!(load.choose(UnixMs(0), &picks(), &tried, 0).map(|pick| pick.id), Some("c"));
    assert!(load.choose(UnixMs(0), &picks()[..2], &tried, 0).is_some());
}

#[test]
fn a_target_that_fails_rests_ever_longer_and_returns() {
    let mut load = LoadBalancer::open(LoadBalancerSettings::default());
    load.call_sent("a");
    load.call_ended(UnixMs(1_000), "a", 4, CallOutcome::Failed);

    assert!(load.is_backing_off(UnixMs(1_399), "a"));
    assert!(!load.is_backing_off(UnixMs(1_400), "a"));
    load.call_sent("a");
    load.call_ended(UnixMs(2_000), "a", 4, CallOutcome::Failed);
    assert!(load.is_backing_off(UnixMs(2_799), "a"));
    assert!(!load.is_backing_off(UnixMs(2_800), "a"));
}

#[test]
fn where_all_rest_all_may_be_chosen() {
    let mut load = LoadBalancer::open(LoadBalancerSettings::default());
    for id in ["a", "b", "c"] {
        load.call_sent(id);
        load.call_ended(UnixMs(0), id, 4, CallOutcome::Failed);
    }

    assert!(load.choose(UnixMs(1), &picks(), &[], 0).is_some());
}

// Symptom: a third of all arrivals at engines are refusals.
// Sequence: an engine refuses for a second while it loads weights, with its slots free.
// Cause: it is asked again every 60 ms, as one whose slots are full.
#[test]
fn a_target_that_refuses_with_free_slots_rests_longer_than_a_full_one() {
    let mut loading = LoadBalancer::open(LoadBalancerSettings::default());
    loading.call_sent("a");
    loading.call_ended(UnixMs(0), "a", 4, CallOutcome::Overloaded);
    let mut full = LoadBalancer::open(LoadBalancerSettings::default());
    for _ in 0..4 {
        full.call_sent("a");
    }
    full.call_ended(UnixMs(0), "a", 4, CallOutcome::Overloaded);

    assert!(loading.is_backing_off(UnixMs(249), "a"));
    assert!(!full.is_backing_off(UnixMs(60), "a"));
}

#[test]
fn items_go_to_the_fastest_target_with_a_free_slot() {
    let mut load = LoadBalancer::open(LoadBalancerSettings::default());
    answered(&mut load, "a", 200);
    answered(&mut load, "b", 50);
    answered(&mut load, "c", 50);
    for _ in 0..4 {
        load.call_sent("b");
    }

    let chosen =
        load.choose_with_free_slot(UnixMs(0), &picks(), Some("a"), 1_000, 0).expect("a target");

    assert_eq!(chosen.id, "c");
}

#[test]
fn no_item_goes_to_a_target_without_a_free_slot() {
    let mut load = LoadBalancer::open(LoadBalancerSettings::default());
    for pick in picks() {
        for _ in 0..4 {
            load.call_sent(pick.id);
        }
    }

    assert_eq!(load.choose_with_free_slot(UnixMs(0), &picks(), None, 1_000, 0), None);
}

// Symptom: a step's longest items begin 1.1 s after it.
// Sequence: targets begin to load as a step is asked for; its longest items go to the emptiest
// targets, which are those that load, are refused, and find the others filled with shorter ones.
// Cause: only the node that orders a load knows of it; the others learn of it by refusals.
#[test]
fn a_target_that_loads_takes_no_item_until_it_is_expected_to_have_loaded() {
    let mut load = LoadBalancer::open(LoadBalancerSettings::default());
    for id in ["b", "c"] {
        load.call_sent(id);
    }
    load.loading_until("a", UnixMs(900));

    let meanwhile =
        load.choose_with_free_slot(UnixMs(899), &picks(), Some("a"), 1_000, 0).expect("a target");
    let afterwards =
        load.choose_with_free_slot(UnixMs(900), &picks(), Some("a"), 1_000, 0).expect("a target");

    assert_ne!(meanwhile.id, "a");
    assert_eq!(afterwards.id, "a");
}
