//! The choice among targets by the load that this process observes.

use catkinmast_dispatch::{
    CallOutcome, CallPreference, Candidate, LoadBalancer, LoadBalancerSettings,
};
use catkinmast_model::UnixMs;

fn candidates() -> [Candidate<'static>; 3] {
    ["a", "b", "c"].map(|id| Candidate {
        connected: true,
        id,
        is_cold: false,
        preference: CallPreference::Normal,
        same_data_centre: true,
        slots: 4,
        slowdown_tenths: 10,
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

// Guards against calls to a target that other nodes know to be dead while one is only full.
#[test]
fn a_target_to_be_avoided_is_chosen_only_if_there_is_no_other() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    let mut candidates = candidates();
    candidates[0].preference = CallPreference::Avoid;
    candidates[1].preference = CallPreference::Avoid;
    balancer.call_sent("c");
    balancer.call_ended(UnixMs(0), "c", 4, CallOutcome::Overloaded);

    let others = balancer.choose(UnixMs(1), &candidates, &[], 0).expect("a target");
    let tried = balancer.choose(UnixMs(1), &candidates, &["c".to_owned()], 0).expect("a target");
    let all = balancer.choose(UnixMs(1), &candidates[..2], &[], 1).expect("a target");

    assert_eq!(others.id, "c");
    assert_eq!(tried.preference, CallPreference::Avoid);
    assert_eq!(all.preference, CallPreference::Avoid);
}

#[test]
fn a_target_to_be_probed_is_chosen_first_unless_it_backs_off() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    let mut candidates = candidates();
    candidates[2].preference = CallPreference::Probe;
    candidates[2].connected = false;
    candidates[2].slowdown_tenths = 40;

    let first = balancer.choose(UnixMs(0), &candidates, &[], 0).expect("a target");
    balancer.call_sent("c");
    balancer.call_ended(UnixMs(0), "c", 4, CallOutcome::Failed);
    let then = balancer.choose(UnixMs(1), &candidates, &[], 0).expect("a target");

    assert_eq!(first.id, "c");
    assert_ne!(then.id, "c");
}

// Guards against backoffs of up to 3.2 s at nodes that have tried a target several times, after
// another node has seen it serve.
#[test]
fn a_target_that_serves_others_again_no_longer_backs_off_after_failures_but_after_refusals() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    balancer.call_sent("a");
    balancer.call_ended(UnixMs(0), "a", 4, CallOutcome::Failed);
    balancer.call_sent("b");
    balancer.call_ended(UnixMs(0), "b", 4, CallOutcome::Overloaded);

    balancer.serves_again("a");
    balancer.serves_again("b");

    assert!(!balancer.is_unavailable(UnixMs(1), "a"));
    assert!(balancer.is_unavailable(UnixMs(1), "b"));
}

// Guards against targets that look slow because they answered a long call: routes of 20 ms and of
// 200 ms of work share a service, and one mean over both sent the short calls elsewhere.
#[test]
fn calls_compare_targets_by_the_stated_slowdown_and_not_by_mixed_latencies() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    answered(&mut balancer, "a", 200);
    answered(&mut balancer, "b", 20);
    answered(&mut balancer, "c", 20);
    let mut candidates = candidates();
    candidates[1].slowdown_tenths = 16;
    candidates[2].slowdown_tenths = 16;

    let chosen = balancer.choose(UnixMs(0), &candidates, &[], 0).expect("a target");

    assert_eq!(chosen.id, "a");
}

// Guards against uneven load from nodes that have no other call in flight when they choose: all
// calls went to the fastest target.
#[test]
fn calls_one_after_another_are_spread_by_speed() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    let mut candidates = candidates();
    for (candidate, slowdown_tenths) in candidates.iter_mut().zip([6, 10, 16]) {
        candidate.slowdown_tenths = slowdown_tenths;
    }
    let mut calls = [0_u64; 3];

    for number in 0..300 {
        let now = UnixMs(number * 50);
        let id = balancer.choose(now, &candidates, &[], number).expect("a target").id;
        balancer.call_sent(id);
        balancer.call_ended(now.plus(20), id, 4, CallOutcome::Answered { latency_ms: 20 });
        calls[["a", "b", "c"].iter().position(|held| *held == id).expect("a candidate")] += 1;
    }

    let work: Vec<u64> =
        calls.iter().zip([6, 10, 16]).map(|(count, slowdown)| count * slowdown).collect();
    let mean = work.iter().sum::<u64>() / 3;
    assert!(work.iter().all(|work| work * 10 <= mean * 12 && work * 10 >= mean * 8), "{work:?}");
}

// Guards against callers that are answered late while others have capacity: half of the targets are
// six times slower for a while, and calls went to them by their speed, one for each six elsewhere.
#[test]
fn a_target_that_is_much_slower_gets_calls_only_if_the_others_are_busy() {
    let mut balancer = LoadBalancer::open(LoadBalancerSettings::default());
    let candidate = |id, slowdown_tenths| Candidate {
        connected: true,
        id,
        is_cold: false,
        preference: CallPreference::Normal,
        same_data_centre: true,
        slots: 6,
        slowdown_tenths,
    };
    let candidates = [candidate("fast", 6), candidate("slow", 36)];
    let mut calls_to_fast = 0;

    let chosen = loop {
        let chosen = balancer.choose(UnixMs(1_000), &candidates, &[], 0).expect("a target").id;
        if chosen == "slow" || calls_to_fast == 100 {
            break chosen;
        }
        balancer.call_sent(chosen);
        calls_to_fast += 1;
    };

    assert_eq!(chosen, "slow", "a busy target is no better");
    assert!(calls_to_fast >= 4, "{calls_to_fast}");
}
