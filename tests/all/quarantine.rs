//! Which requests are sent to no more targets, without a network.

use catkinmast_member::{CrashFact, Fact, FactTable, MergeOutcome};
use catkinmast_model::UnixMs;
use catkinmast_quarantine::{
    BLOCK_THRESHOLD, Evidence, Fingerprint, InterruptedRequests, Quarantine, RequestStatus,
    TargetIncarnation, TargetOutcome,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const NOW: UnixMs = UnixMs(1_000_000_000);
const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 86_400_000;

fn request(name: &str) -> Fingerprint {
    Fingerprint::of("POST", "site.example", "/lookup/a", name.as_bytes())
}

fn life(number: u32) -> TargetIncarnation {
    TargetIncarnation { started_at_unix_ms: None, id: format!("target-{number:03}") }
}

/// Opens a quarantine in which each of the requests was under way at each of its targets' ends.
fn quarantine(ends: &[(&str, &[u32])]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (name, lives) in ends {
        for number in *lives {
            quarantine.record_end(NOW, request(name), life(*number));
        }
    }
    quarantine
}

fn is_barred(quarantine: &Quarantine, now: UnixMs, name: &str) -> bool {
    matches!(quarantine.status(now, request(name)), RequestStatus::Blocked { .. })
}

#[test]
fn a_request_is_the_same_under_any_id_and_another_with_any_other_part() {
    let asked = Fingerprint::of("POST", "a.example", "/p", b"body");

    assert_eq!(asked, Fingerprint::of("POST", "a.example", "/p", b"body"));
    for other in [
        Fingerprint::of("GET", "a.example", "/p", b"body"),
        Fingerprint::of("POST", "b.example", "/p", b"body"),
        Fingerprint::of("POST", "a.example", "/q", b"body"),
        Fingerprint::of("POST", "a.example", "/p", b"bodies"),
        Fingerprint::of("POST", "a.example", "/pb", b"ody"),
    ] {
        assert_ne!(asked, other);
    }
}

#[yare::parameterized(
    none = { &[], false },
    two = { &[1, 2], false },
    three = { &[1, 2, 3], true },
    one_of_them_twice = { &[1, 2, 2], false },
)]
fn a_request_is_barred_once_three_targets_have_ended_under_it(lives: &[u32], barred: bool) {
    let quarantine = quarantine(&[("p", lives)]);

    assert_eq!(is_barred(&quarantine, NOW, "p"), barred);
}

#[test]
fn a_life_of_a_target_counts_once_and_its_next_life_again() {
    let mut quarantine = quarantine(&[("p", &[1, 2])]);
    let again = TargetIncarnation { started_at_unix_ms: Some(7), ..life(1) };

    assert!(quarantine.record_end(NOW, request("p"), again));

    assert!(is_barred(&quarantine, NOW, "p"));
}

// Symptom: a sound request is turned away.
// Sequence: targets end three times by chance while it is repeated; one answers it in between.
// Cause: ends are counted although a target has survived the request.
#[test]
fn an_answer_clears_a_request() {
    let mut quarantine = quarantine(&[("s", &[1, 2])]);

    assert!(quarantine.record_answer(request("s")));
    quarantine.record_end(NOW, request("s"), life(3));
    quarantine.record_end(NOW, request("s"), life(4));

    assert_eq!(quarantine.status(NOW, request("s")), RequestStatus::Allowed);
    assert!(!quarantine.record_answer(request("never under way")), "nothing changes");
}

// Symptom: sound requests are turned away with the one that ends the targets.
// Sequence: they are under way at the same targets, and tried elsewhere at the same moment as it is.
// Cause: an end counts against all that it broke off.
#[test]
fn a_request_is_not_blamed_for_ends_that_another_one_explains() {
    let quarantine = quarantine(&[("p", &[1, 2, 3, 4]), ("s", &[1, 2, 3])]);

    assert!(is_barred(&quarantine, NOW, "p"));
    assert_eq!(quarantine.status(NOW, request("s")), RequestStatus::Allowed);
}

// Symptom: of two requests with the same record the sound one is turned away, or neither is barred.
// Sequence: both were under way at three targets that ended.
// Cause: nothing tells them apart but one more run of each.
#[test]
fn two_requests_with_the_same_record_are_told_apart_by_a_trial() {
    let mut quarantine = quarantine(&[("p", &[1, 2, 3]), ("s", &[1, 2, 3])]);
    for name in ["p", "s"] {
        assert_eq!(quarantine.status(NOW, request(name)), RequestStatus::Trial { number: 3 });
        quarantine.record_trial_request(NOW, request(name), 3);
        assert!(is_barred(&quarantine, NOW, name), "this node has asked for its trial");
    }

    quarantine.record_end(NOW, request("p"), life(4));

    assert!(is_barred(&quarantine, NOW, "p"));
    assert_eq!(quarantine.status(NOW, request("s")), RequestStatus::Allowed);
}

#[test]
fn two_trials_at_most_before_a_request_is_barred_whatever_others_explain() {
    let mut numbers = BTreeSet::new();
    let mut quarantine = quarantine(&[("p", &[1, 2, 3]), ("s", &[1, 2, 3])]);

    for number in 4..10 {
        match quarantine.status(NOW, request("p")) {
            RequestStatus::Trial { number } => numbers.insert(number),
            _ => break,
        };
        for name in ["p", "s"] {
            quarantine.record_end(NOW, request(name), life(number));
        }
    }

    assert_eq!(numbers, BTreeSet::from([3, 4]));
    assert!(is_barred(&quarantine, NOW, "p"));
}

// Symptom: a request stays barred after its targets' software was mended.
// Sequence: it is barred, the software is replaced, its caller comes again for days.
// Cause: what is barred is never tried again, so nothing can clear it.
#[test]
fn a_barred_request_is_tried_again_after_ever_longer_times() {
    let mut quarantine = quarantine(&[("p", &[1, 2, 3])]);
    let first = NOW.plus(10 * MINUTE_MS);
    assert_eq!(quarantine.status(NOW, request("p")), RequestStatus::Blocked { until: first });
    assert_eq!(quarantine.status(first, request("p")), RequestStatus::Trial { number: 3 });

    quarantine.record_end(first, request("p"), life(4));

    let second = first.plus(20 * MINUTE_MS);
    assert_eq!(quarantine.status(first, request("p")), RequestStatus::Blocked { until: second });
    assert_eq!(quarantine.status(second, request("p")), RequestStatus::Trial { number: 4 });
    quarantine.record_answer(request("p"));
    assert_eq!(quarantine.status(second, request("p")), RequestStatus::Allowed);
}

#[test]
fn evidence_that_bars_nothing_is_forgotten_in_minutes_and_the_rest_in_a_day() {
    let mut quarantine = quarantine(&[("p", &[1, 2, 3]), ("s", &[1, 2])]);

    assert_eq!(quarantine.expire(NOW.plus(9 * MINUTE_MS)), []);
    assert_eq!(quarantine.expire(NOW.plus(10 * MINUTE_MS)), [request("s")]);
    assert_eq!(quarantine.expire(NOW.plus(DAY_MS)), [request("p")]);

    assert!(quarantine.is_empty());
}

#[test]
fn what_is_kept_is_bounded_and_barred_requests_go_last() {
    let mut quarantine = quarantine(&[("p", &[1, 2, 3])]);
    for number in 0..3_000 {
        let at = NOW.plus(1 + u64::from(number));
        quarantine.record_end(at, request(&format!("s{number}")), life(number));
    }

    let forgotten = quarantine.expire(NOW.plus(MINUTE_MS));

    assert_eq!(forgotten.len(), 2_001);
    assert!(is_barred(&quarantine, NOW, "p"));
    assert!(quarantine.evidence(request("s2999")).is_some(), "the oldest go first");
}

#[test]
fn a_broken_connection_counts_only_if_its_target_is_found_to_have_ended() {
    let mut broken = InterruptedRequests::default();
    assert!(broken.record(NOW, request("p"), &life(1)), "the first at this target");
    assert!(!broken.record(NOW, request("s"), &life(1)));
    assert!(broken.record(NOW, request("t"), &life(2)));

    broken.forget(request("s"));
    let ended = broken.resolve(NOW.plus(10), TargetOutcome::Ended(&life(1)));

    assert_eq!(ended, [(request("p"), life(1))]);
    assert_eq!(
        broken.resolve(NOW.plus(20), TargetOutcome::Ended(&life(1))),
        [],
        "each end counts once"
    );
    let late = NOW.plus(MINUTE_MS);
    assert_eq!(
        broken.resolve(late, TargetOutcome::Gone { id: &life(2).id }),
        [],
        "that has other causes"
    );
}

#[test]
fn a_target_that_started_again_has_ended_in_its_former_life_only() {
    let former = TargetIncarnation { started_at_unix_ms: Some(1), ..life(1) };
    let present = TargetIncarnation { started_at_unix_ms: Some(2), ..life(1) };
    let mut broken = InterruptedRequests::default();
    broken.record(NOW, request("p"), &former);
    broken.record(NOW, request("s"), &present);

    let fate = TargetOutcome::Restarted { started_at_unix_ms: Some(2), id: &present.id };
    let ended = broken.resolve(NOW, fate);

    assert_eq!(ended, [(request("p"), former)]);
}

// Symptom: two nodes bar a request at different times, or one forgets what the other has seen.
// Sequence: each sees other ends of the same request, and tells the other late and twice.
// Cause: the later word replaces the earlier one.
#[test]
fn boards_join_what_two_nodes_have_seen_of_a_request() {
    let fact = |numbers: &[u32]| {
        let mut evidence = Evidence::default();
        for number in numbers {
            evidence.record_end(NOW, life(*number));
        }
        Fact::Crash(CrashFact { evidence, fingerprint: request("p") })
    };
    let (mut here, mut there) = (FactTable::default(), FactTable::default());
    here.merge(fact(&[1, 2]), 1);
    there.merge(fact(&[3]), 1);

    assert_eq!(here.merge(fact(&[3]), 1), MergeOutcome::Applied);
    assert_eq!(there.merge(fact(&[1, 2]), 1), MergeOutcome::Applied);

    assert_eq!(here.digest(), there.digest());
    assert_eq!(here.iter().next(), Some(&fact(&[1, 2, 3])));
    assert_eq!(
        here.merge(fact(&[2, 3]), 1),
        MergeOutcome::Unchanged,
        "nothing new is not passed on"
    );
}

fn evidence() -> impl Strategy<Value = Evidence> {
    prop::collection::vec((0_u32..24, 0_u64..50, prop::bool::weighted(0.2)), 0..12).prop_map(
        |ends| {
            let mut evidence = Evidence::default();
            for (number, at_ms, refuted) in ends {
                evidence.record_end(NOW.plus(at_ms), life(number));
                if refuted {
                    evidence.refute();
                }
            }
            evidence
        },
    )
}

fn joined(parts: &[&Evidence]) -> Evidence {
    let mut all = Evidence::default();
    for part in parts {
        all.merge(part);
    }
    all
}

proptest! {
    #[test]
    fn evidence_is_the_same_in_whatever_order_it_is_told(
        a in evidence(), b in evidence(), c in evidence(),
    ) {
        let told = joined(&[&a, &b, &c]);

        prop_assert_eq!(&told, &joined(&[&c, &a, &b]));
        prop_assert_eq!(&told, &joined(&[&a, &joined(&[&b, &c])]));
        prop_assert_eq!(&told, &joined(&[&a, &b, &c, &a, &b]));
    }
}

/// A day of a service of few targets: one request ends each target that runs it, again and again, while
/// sound ones that wait for the targets to be back are sent with it.
struct Day {
    ends: Vec<UnixMs>,
    nodes: Vec<Quarantine>,
    next_life: u32,
    now: UnixMs,
    rng: StdRng,
    runs: BTreeMap<String, Vec<UnixMs>>,
    trials: BTreeSet<(String, usize)>,
}

/// A call that is under way, at the node that took it.
struct Call {
    attempts_left: u32,
    name: String,
    node: usize,
}

const NODES: usize = 8;
const TARGETS: u32 = 3;
const ATTEMPTS: u32 = 3;
const ROUNDS: usize = 12;
const ENDS_TARGETS: &str = "p";
/// What is sent within this time of the third end was on its way before anyone could know.
const SETTLED_MS: u64 = 3_000;
/// Times that users let a request be sent after that.
const REPEATS_MAX: usize = 3;

impl Day {
    fn open(seed: u64) -> Self {
        Self {
            ends: Vec::new(),
            nodes: vec![Quarantine::default(); NODES],
            next_life: 0,
            now: NOW,
            rng: StdRng::seed_from_u64(seed),
            runs: BTreeMap::new(),
            trials: BTreeSet::new(),
        }
    }

    /// Plays one return of the targets: all that waits is sent at once, and what breaks off is sent to
    /// the targets that are left.
    fn play_round(&mut self, mut calls: Vec<Call>) {
        let first = self.next_life;
        self.next_life += TARGETS;
        let mut up: Vec<u32> = (first..first + TARGETS).collect();
        while !calls.is_empty() && !up.is_empty() {
            calls = self.play_step(calls, &mut up);
            self.now = self.now.plus(50);
            self.tell_all();
        }
        self.now = self.now.plus(3_300);
    }

    fn play_step(&mut self, calls: Vec<Call>, up: &mut Vec<u32>) -> Vec<Call> {
        let mut at: BTreeMap<u32, Vec<Call>> = BTreeMap::new();
        for call in calls {
            if self.admits(call.node, &call.name) {
                self.runs.entry(call.name.clone()).or_default().push(self.now);
                at.entry(*up.choose(&mut self.rng).expect("one is up")).or_default().push(call);
            }
        }
        let mut left = Vec::new();
        for (target, calls) in at {
            let ends = calls.iter().any(|call| call.name == ENDS_TARGETS);
            for call in calls {
                let node = &mut self.nodes[call.node];
                // A sound request is done before its target ends as often as not.
                if !ends || (call.name != ENDS_TARGETS && self.rng.random()) {
                    node.record_answer(request(&call.name));
                    continue;
                }
                node.record_end(self.now, request(&call.name), life(target));
                if call.attempts_left > 1 {
                    left.push(Call { attempts_left: call.attempts_left - 1, ..call });
                }
            }
            if ends {
                self.ends.push(self.now);
                up.retain(|other| *other != target);
            }
        }
        left
    }

    fn admits(&mut self, node: usize, name: &str) -> bool {
        match self.nodes[node].status(self.now, request(name)) {
            RequestStatus::Blocked { .. } => false,
            RequestStatus::Allowed => true,
            RequestStatus::Trial { number } => {
                self.nodes[node].record_trial_request(self.now, request(name), number);
                self.trials.insert((name.to_owned(), number))
            }
        }
    }

    /// Every node tells every other one what it knows.
    fn tell_all(&mut self) {
        let names: Vec<String> = self.runs.keys().cloned().collect();
        for name in names {
            let of = request(&name);
            let held: Vec<Evidence> =
                self.nodes.iter().filter_map(|node| node.evidence(of).cloned()).collect();
            for node in &mut self.nodes {
                for evidence in &held {
                    node.merge(of, evidence);
                }
            }
        }
    }

    fn call(&mut self, name: String) -> Call {
        Call { attempts_left: ATTEMPTS, name, node: self.rng.random_range(0..NODES) }
    }
}

// Symptom: sound requests are turned away, or the request that ends the targets is sent on.
// Sequence: up to four calls of it and twelve sound ones wait for three targets to be back, are sent at
// once and break off together, over and over, as in the evidence at the head of the site's tests.
// Cause: which of them ended a target cannot be seen from one end.
//
// Counted by ends alone, 4 of the 200 days turn a sound request away for good; with requests of the same
// record let through instead of tried one at a time, one day sends the other one four times more.
#[test]
fn a_day_of_ends_bars_the_request_that_causes_them_and_no_other() {
    let mut turned_away = Vec::new();
    for seed in 0..200 {
        let mut day = Day::open(seed);
        let mut sound = Vec::new();
        for round in 0..ROUNDS {
            let copies = day.rng.random_range(1..=4);
            let mut calls: Vec<Call> =
                (0..copies).map(|_| day.call(ENDS_TARGETS.to_owned())).collect();
            for number in 0..day.rng.random_range(0..=12) {
                let name = format!("s{round}-{number}");
                sound.push(name.clone());
                calls.push(day.call(name));
            }
            day.play_round(calls);
        }
        let third = day.ends[BLOCK_THRESHOLD - 1].plus(SETTLED_MS);
        let repeats = day.runs[ENDS_TARGETS].iter().filter(|at| **at > third).count();
        assert!(repeats <= REPEATS_MAX, "seed {seed}: it was sent {repeats} times more");
        let refused = sound.into_iter().filter(|name| !day.admits(0, name));
        turned_away.extend(refused.map(|name| (seed, name)));
    }
    assert_eq!(turned_away, [], "sound requests that come again");
}
