//! Bounds on state and messages that hold for any sequence of events.

use super::{advice, table};
use catkinmast_health::{
    DATAGRAM_OVERHEAD_BYTES, HealthTable, HintState, ObserverKey, TargetHint, TargetKey,
};
use catkinmast_model::UnixMs;
use proptest::prelude::*;

const TARGETS: usize = 12;

fn any_state() -> impl Strategy<Value = HintState> {
    prop_oneof![
        3 => Just(HintState::Failing),
        1 => Just(HintState::Serving),
        1 => (any::<u16>(), any::<u16>())
            .prop_map(|(tenths, observations)| HintState::Slowdown { tenths, observations }),
    ]
}

fn any_hint(observers: usize) -> impl Strategy<Value = TargetHint> {
    let age_ms = prop_oneof![Just(0_u32), 0..3_000_u32, any::<u32>()];
    (0..TARGETS, any_state(), 0..observers, age_ms, any::<u8>()).prop_map(
        |(target, state, observer, age_ms, hops)| TargetHint {
            target: TargetKey::of(&format!("plain-{target}")),
            state,
            observer: ObserverKey::of(&format!("front-{observer}")),
            age_ms,
            hops,
        },
    )
}

proptest! {
    // Guards against a wrong budget: the size is computed without encoding.
    #[test]
    fn the_size_of_a_hint_is_that_of_its_encoding(hint in any_hint(400)) {
        let encoded = postcard::to_stdvec(&hint).expect("it encodes");

        prop_assert_eq!(hint.encoded_bytes(), encoded.len());
    }

    // Guards against one node that takes a service's targets from all others, by whatever it sends.
    #[test]
    fn one_observer_never_takes_more_than_half_of_the_targets(
        hints in proptest::collection::vec((0..400_u64, any_hint(1)), 0..200),
    ) {
        let mut table = table(TARGETS);
        let mut now = UnixMs(10_000);
        for (later_ms, hint) in hints {
            now = now.plus(later_ms);
            table.receive(now, &[hint]);

            let avoided = (0..TARGETS)
                .filter(|number| advice(&table, now.0, &format!("plain-{number}")).avoid)
                .count();
            prop_assert!(avoided <= TARGETS / 2, "{avoided} are avoided");
        }
    }

    // Guards against control traffic without a bound, and against panics on what others send.
    #[test]
    fn a_node_sends_no_more_than_its_budget(
        events in proptest::collection::vec((0..300_u64, any_hint(400), any::<bool>()), 0..400),
    ) {
        let mut table = table(TARGETS);
        let start = UnixMs(10_000);
        let mut now = start;
        let mut sent_bytes = 0;
        for (number, (later_ms, hint, is_own)) in events.into_iter().enumerate() {
            now = now.plus(later_ms);
            if is_own {
                table.failed(now, &format!("plain-{}", number % TARGETS));
            } else {
                table.receive(now, &[hint]);
            }
            for send in table.outgoing(now) {
                let hint_bytes: usize = send.hints.iter().map(TargetHint::encoded_bytes).sum();
                prop_assert!(hint_bytes + DATAGRAM_OVERHEAD_BYTES <= 1_400);
                sent_bytes += (hint_bytes + DATAGRAM_OVERHEAD_BYTES) * send.peers;
            }

            let allowed = 4_000 + 300 * now.since_ms(start) / 1_000;
            prop_assert!(sent_bytes as u64 <= allowed, "{sent_bytes} bytes of {allowed}");
        }
    }

    // Guards against a target without a call for good: whatever was reported, it is usable once no
    // reports have come for the hold and the time for checks.
    #[test]
    fn every_target_is_usable_six_seconds_after_the_last_report(
        hints in proptest::collection::vec((0..400_u64, any_hint(20)), 0..100),
    ) {
        let mut table = table(TARGETS);
        let mut now = UnixMs(10_000);
        for (later_ms, hint) in hints {
            now = now.plus(later_ms);
            table.receive(now, &[hint]);
        }

        let later = now.plus(6_000);
        for number in 0..TARGETS {
            let id = format!("plain-{number}");
            prop_assert!(!table.advice(later, &id, || 1_000).avoid);
        }
    }
}

#[test]
fn a_table_tracks_a_bounded_number_of_targets() {
    let mut table = HealthTable::open(ObserverKey::of("own"));

    for number in 0..2_000 {
        table.target_joined(UnixMs(0), &format!("plain-{number}"), "plain");
    }
    table.failed(UnixMs(1), "plain-1999");

    assert_eq!(table.len(), 1_024);
    assert!(
        !advice(&table, 1, "plain-1999").avoid,
        "a target that is not tracked counts as healthy"
    );
}

#[test]
fn targets_of_services_that_are_not_kept_are_dropped() {
    let mut table = table(3);
    table.target_joined(UnixMs(0), "engine-0", "llm");
    table.failed(UnixMs(1), "engine-0");

    table.retain_services(|service| service == "plain");

    assert!(table.is_tracked("plain-2") && !table.is_tracked("engine-0"));
    assert_eq!(table.failing_count(UnixMs(1)), 0);
}

#[test]
fn targets_that_left_make_room() {
    let mut table = table(3);

    table.failed(UnixMs(1), "plain-0");
    table.target_left("plain-0");
    table.target_left("unknown");

    assert_eq!(table.len(), 2);
    assert!(table.outgoing(UnixMs(1)).is_empty(), "nothing is said of it");
}
