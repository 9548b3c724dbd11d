//! Usage of workspaces: each request counts once, in its window, whichever node fails.

use catkinmast_model::{Incarnation, UnixMs};
use catkinmast_usage::{
    FleetClock, Ledger, UsageCounts, UsageSource, Window, WindowCounts, Windows,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const WINDOWS: Windows = Windows::of_ms(5_000);
const MONOTONIC: UnixMs = UnixMs(70_000);
const WALL_MS: i64 = 1_764_720_000_000;

/// Returns what a clock shows that is wrong by `off_ms`.
fn wall(monotonic: UnixMs, off_ms: i64) -> UnixMs {
    UnixMs((monotonic.0 as i64 + WALL_MS + off_ms) as u64)
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16))
}

fn source(node: &str, incarnation: u64) -> UsageSource {
    UsageSource { incarnation: Incarnation(incarnation), node: node.parse().expect("a name") }
}

fn window_counts(window: u64, complete: bool, counts: &[(&str, u64)]) -> WindowCounts {
    let counts = counts.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect();
    WindowCounts { complete, counts, window: Window(window) }
}

fn totals(pairs: &[(&str, u64)]) -> BTreeMap<String, u64> {
    pairs.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect()
}

proptest! {
    // Guards against requests in the wrong window: the time of day of some machines jumps by
    // seconds and back, and a node that used its own clock would follow it.
    #[test]
    fn a_minority_of_wrong_clocks_does_not_move_the_estimate_beyond_the_others(
        correct_off_ms in prop::collection::vec(-25_i64..25, 3..40),
        wrong_off_ms in prop::collection::vec(-86_400_000_i64..86_400_000, 0..40),
        rotation in any::<prop::sample::Index>(),
    ) {
        let wrong_count = wrong_off_ms.len().min((correct_off_ms.len() - 1) / 2);
        let mut off_ms: Vec<i64> =
            correct_off_ms.iter().chain(&wrong_off_ms[..wrong_count]).copied().collect();
        let places = rotation.index(off_ms.len());
        off_ms.rotate_left(places);
        let mut time = FleetClock::default();

        let mut monotonic = MONOTONIC;
        for (number, off_ms) in off_ms.iter().enumerate() {
            monotonic = monotonic.plus(300);
            time.record_reading(address(number), wall(monotonic, *off_ms), monotonic);
        }

        let estimate = time.at(monotonic).expect("an estimate").0 as i64;
        let moved_ms = estimate - wall(monotonic, 0).0 as i64;
        let (least, most) = (correct_off_ms.iter().min(), correct_off_ms.iter().max());
        prop_assert!(
            Some(&moved_ms) >= least && Some(&moved_ms) <= most,
            "the estimate is off by {} ms, the correct clocks by {:?} to {:?}",
            moved_ms,
            least,
            most
        );
    }

    #[test]
    fn totals_do_not_depend_on_order_or_repetition_of_reports(
        reports in prop::collection::vec((0_usize..4, 0_u64..3, 0_u64..3, 1_u64..9), 1..40),
        repeats in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let mut ledger = Ledger::default();
        let mut expected: BTreeMap<(usize, u64, u64), u64> = BTreeMap::new();
        let again = repeats.iter().map(|index| index.get(&reports));
        for (node, incarnation, window, count) in reports.iter().chain(again) {
            let held = expected.entry((*node, *incarnation, *window)).or_default();
            *held = (*held).max(*count);
            let source = source(&format!("node-{node}"), *incarnation);
            ledger.record(&source, window_counts(*window, false, &[("a", *count)]));
        }

        for window in 0..3 {
            let sum: u64 =
                expected.iter().filter(|((_, _, w), _)| *w == window).map(|(_, count)| count).sum();
            prop_assert_eq!(ledger.totals(Window(window)).get("a").copied().unwrap_or(0), sum);
        }
    }
}

#[test]
fn clocks_that_jump_and_jump_back_do_not_move_the_estimate() {
    let mut time = FleetClock::default();
    for round in 0..40 {
        let monotonic = MONOTONIC.plus(round * 300);
        for node in 0..50 {
            let jumped = (10..30).contains(&round) && node % 3 == 0;
            let off_ms = (node as i64 % 7) - 3 + if jumped { -2_400 } else { 0 };
            time.record_reading(address(node), wall(monotonic, off_ms), monotonic);
        }

        let estimate = time.at(monotonic).expect("an estimate");

        let off_ms = estimate.0 as i64 - wall(monotonic, 0).0 as i64;
        assert!(off_ms.abs() <= 3, "round {round}: {off_ms} ms off");
    }
    assert_eq!(time.clock_count(), 50);
}

#[test]
fn a_node_without_peers_uses_its_own_clock() {
    let mut time = FleetClock::default();
    assert_eq!(time.at(MONOTONIC), None);

    time.record_reading(address(0), UnixMs(WALL_MS as u64), MONOTONIC);

    assert_eq!(time.at(MONOTONIC.plus(5)), Some(UnixMs(WALL_MS as u64 + 5)));
}

#[test]
fn a_request_counts_in_the_window_in_which_a_target_started_it() {
    let mut counts = UsageCounts::open(WINDOWS);
    let early = counts.request_sent(UnixMs(4_990), "a");
    let queued = counts.request_sent(UnixMs(4_995), "a");
    let refused = counts.request_sent(UnixMs(4_996), "b");

    counts.request_started(early, None);
    counts.request_started(queued, Some(UnixMs(5_040)));
    counts.request_not_run(refused);

    let reported = counts.window_counts(UnixMs(6_000));
    assert_eq!(
        reported,
        [window_counts(0, true, &[("a", 1)]), window_counts(1, false, &[("a", 1)])]
    );
}

#[test]
fn a_window_is_complete_when_no_request_sent_in_it_is_open() {
    let mut counts = UsageCounts::open(WINDOWS);
    let open = counts.request_sent(UnixMs(4_900), "a");

    assert_eq!(counts.window_counts(UnixMs(5_100)), []);

    counts.request_started(open, None);
    assert_eq!(counts.window_counts(UnixMs(5_100)), [window_counts(0, true, &[("a", 1)])]);
}

// Guards against a window that is never closed because a target stopped answering and its request
// stays open.
#[test]
fn a_request_that_stays_unanswered_counts_as_started() {
    let mut counts = UsageCounts::open(WINDOWS);
    let _open = counts.request_sent(UnixMs(4_900), "a");

    let reported = counts.window_counts(UnixMs(8_100));

    assert_eq!(reported, [window_counts(0, true, &[("a", 1)])]);
}

#[test]
fn old_windows_are_dropped() {
    let mut counts = UsageCounts::open(WINDOWS);
    let sent = counts.request_sent(UnixMs(100), "a");
    counts.request_started(sent, None);

    let reported = counts.window_counts(UnixMs(100_000));

    assert!(reported.iter().all(|counts| counts.window > Window(0)), "{reported:?}");
}

// Guards against requests that are missing or counted twice in a report, after a node reports its
// counts, is killed, restarts and counts from zero.
#[test]
fn counts_of_a_killed_node_are_added_to_those_of_its_next_incarnation() {
    let mut ledger = Ledger::default();
    ledger.record(&source("n", 4), window_counts(7, false, &[("a", 2), ("b", 1)]));
    ledger.record(&source("n", 4), window_counts(7, false, &[("a", 3)]));

    ledger.record(&source("n", 9), window_counts(7, true, &[("a", 1)]));

    assert_eq!(ledger.totals(Window(7)), totals(&[("a", 4), ("b", 1)]));
    assert_eq!(ledger.source_count(Window(7)), 2);
}

#[test]
fn a_window_waits_for_incarnations_that_have_not_reported_it_completely() {
    let mut ledger = Ledger::default();
    let (first, second) = (source("n", 4), source("m", 5));
    ledger.record(&first, window_counts(7, true, &[("a", 2)]));
    ledger.record(&second, window_counts(7, false, &[("a", 2)]));

    assert_eq!(ledger.missing(Window(7), [&first, &second]), [&second]);

    ledger.record(&second, window_counts(7, true, &[("a", 2)]));
    assert!(ledger.missing(Window(7), [&first, &second]).is_empty());
}
