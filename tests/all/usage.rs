//! Usage of workspaces: windows of true time, counted once, whoever dies.

use catkinmast_model::{Incarnation, UnixMs};
use catkinmast_usage::{
    FleetClock, Ledger, UsageCounts, UsageSource, Window, WindowCounts, Windows,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const WINDOWS: Windows = Windows::of_ms(5_000);
const STEADY: UnixMs = UnixMs(70_000);
const WALL_MS: i64 = 1_764_720_000_000;

/// What a clock shows that is off by so much.
fn wall(steady: UnixMs, off_ms: i64) -> UnixMs {
    UnixMs((steady.0 as i64 + WALL_MS + off_ms) as u64)
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16))
}

fn teller(node: &str, life: u64) -> UsageSource {
    UsageSource { incarnation: Incarnation(life), node: node.parse().expect("a name") }
}

fn table(window: u64, complete: bool, counts: &[(&str, u64)]) -> WindowCounts {
    let counts = counts.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect();
    WindowCounts { complete, counts, window: Window(window) }
}

fn totals(pairs: &[(&str, u64)]) -> BTreeMap<String, u64> {
    pairs.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect()
}

proptest! {
    // Symptom: requests are counted in the wrong window.
    // Sequence: the time of day of some machines jumps by seconds, and jumps back.
    // Cause: a node goes by its own clock.
    #[test]
    fn clocks_that_lie_do_not_move_the_time_beyond_the_others_while_they_are_fewer_than_half(
        honest_off_ms in prop::collection::vec(-25_i64..25, 3..40),
        lies_ms in prop::collection::vec(-86_400_000_i64..86_400_000, 0..40),
        turn in any::<prop::sample::Index>(),
    ) {
        let liars = lies_ms.len().min((honest_off_ms.len() - 1) / 2);
        let mut off_ms: Vec<i64> = honest_off_ms.iter().chain(&lies_ms[..liars]).copied().collect();
        let places = turn.index(off_ms.len());
        off_ms.rotate_left(places);
        let mut time = FleetClock::default();

        let mut steady = STEADY;
        for (number, off_ms) in off_ms.iter().enumerate() {
            steady = steady.plus(300);
            time.record_reading(address(number), wall(steady, *off_ms), steady);
        }

        let estimate = time.at(steady).expect("an estimate").0 as i64;
        let moved_ms = estimate - wall(steady, 0).0 as i64;
        let (least, most) = (honest_off_ms.iter().min(), honest_off_ms.iter().max());
        prop_assert!(Some(&moved_ms) >= least && Some(&moved_ms) <= most, "{} ms", moved_ms);
    }

    #[test]
    fn tables_add_up_to_what_was_told_however_often_and_in_which_order(
        told in prop::collection::vec((0_usize..4, 0_u64..3, 0_u64..3, 1_u64..9), 1..40),
        repeats in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let mut ledger = Ledger::default();
        let mut expected: BTreeMap<(usize, u64, u64), u64> = BTreeMap::new();
        let again = repeats.iter().map(|index| index.get(&told));
        for (node, life, window, count) in told.iter().chain(again) {
            let held = expected.entry((*node, *life, *window)).or_default();
            *held = (*held).max(*count);
            let teller = teller(&format!("node-{node}"), *life);
            ledger.record(&teller, table(*window, false, &[("a", *count)]));
        }

        for window in 0..3 {
            let sum: u64 =
                expected.iter().filter(|((_, _, w), _)| *w == window).map(|(_, count)| count).sum();
            prop_assert_eq!(ledger.totals(Window(window)).get("a").copied().unwrap_or(0), sum);
        }
    }
}

#[test]
fn a_clock_that_jumps_and_jumps_back_moves_nothing() {
    let mut time = FleetClock::default();
    for round in 0..40 {
        let steady = STEADY.plus(round * 300);
        for node in 0..50 {
            let jumped = (10..30).contains(&round) && node % 3 == 0;
            let off_ms = (node as i64 % 7) - 3 + if jumped { -2_400 } else { 0 };
            time.record_reading(address(node), wall(steady, off_ms), steady);
        }

        let estimate = time.at(steady).expect("an estimate");

        let off_ms = estimate.0 as i64 - wall(steady, 0).0 as i64;
        assert!(off_ms.abs() <= 3, "round {round}: {off_ms} ms off");
    }
    assert_eq!(time.clock_count(), 50);
}

#[test]
fn a_node_that_hears_nobody_goes_by_its_own_clock() {
    let mut time = FleetClock::default();
    assert_eq!(time.at(STEADY), None);

    time.record_reading(address(0), UnixMs(WALL_MS as u64), STEADY);

    assert_eq!(time.at(STEADY.plus(5)), Some(UnixMs(WALL_MS as u64 + 5)));
}

#[test]
fn a_request_counts_in_the_window_in_which_a_target_began_it() {
    let mut counts = UsageCounts::open(WINDOWS);
    let early = counts.request_sent(UnixMs(4_990), "a");
    let queued = counts.request_sent(UnixMs(4_995), "a");
    let refused = counts.request_sent(UnixMs(4_996), "b");

    counts.request_started(early, None);
    counts.request_started(queued, Some(UnixMs(5_040)));
    counts.request_not_run(refused);

    let tables = counts.window_counts(UnixMs(6_000));
    assert_eq!(tables, [table(0, true, &[("a", 1)]), table(1, false, &[("a", 1)])]);
}

#[test]
fn a_window_is_complete_when_nothing_that_was_sent_in_it_is_open() {
    let mut counts = UsageCounts::open(WINDOWS);
    let open = counts.request_sent(UnixMs(4_900), "a");

    assert_eq!(counts.window_counts(UnixMs(5_100)), []);

    counts.request_started(open, None);
    assert_eq!(counts.window_counts(UnixMs(5_100)), [table(0, true, &[("a", 1)])]);
}

// Symptom: a window is never closed.
// Sequence: a target falls silent with a request, and the request stays open for long.
#[test]
fn a_request_that_stays_unanswered_counts_as_begun() {
    let mut counts = UsageCounts::open(WINDOWS);
    let _open = counts.request_sent(UnixMs(4_900), "a");

    let tables = counts.window_counts(UnixMs(8_100));

    assert_eq!(tables, [table(0, true, &[("a", 1)])]);
}

#[test]
fn windows_that_are_over_for_long_are_forgotten() {
    let mut counts = UsageCounts::open(WINDOWS);
    let sent = counts.request_sent(UnixMs(100), "a");
    counts.request_started(sent, None);

    let tables = counts.window_counts(UnixMs(100_000));

    assert!(tables.iter().all(|table| table.window > Window(0)), "{tables:?}");
}

// Symptom: a node's requests are missing in a report, or stand in it twice.
// Sequence: a node tells of its counts, is killed, starts again and counts anew.
#[test]
fn what_a_node_told_before_it_died_stays_beside_what_its_next_life_tells() {
    let mut ledger = Ledger::default();
    ledger.record(&teller("n", 4), table(7, false, &[("a", 2), ("b", 1)]));
    ledger.record(&teller("n", 4), table(7, false, &[("a", 3)]));

    ledger.record(&teller("n", 9), table(7, true, &[("a", 1)]));

    assert_eq!(ledger.totals(Window(7)), totals(&[("a", 4), ("b", 1)]));
    assert_eq!(ledger.source_count(Window(7)), 2);
}

#[test]
fn a_window_waits_for_the_lives_that_have_not_told_all_of_it() {
    let mut ledger = Ledger::default();
    let (first, second) = (teller("n", 4), teller("m", 5));
    ledger.record(&first, table(7, true, &[("a", 2)]));
    ledger.record(&second, table(7, false, &[("a", 2)]));

    assert_eq!(ledger.missing(Window(7), [&first, &second]), [&second]);

    ledger.record(&second, table(7, true, &[("a", 2)]));
    assert!(ledger.missing(Window(7), [&first, &second]).is_empty());
}
