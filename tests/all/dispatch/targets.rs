//! Which targets may receive work, by a registry that lags and has outages.

use catkinmast_dispatch::{Demand, TargetChange, TargetEntry, TargetTable};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

fn entry(id: &str, sequence: u64, draining: bool) -> TargetEntry {
    TargetEntry {
        address: "127.0.0.1:1".parse().expect("an address"),
        started_at_unix_ms: None,
        data_centre: "dc".to_owned(),
        draining,
        id: id.to_owned(),
        models: vec![("x".to_owned(), 1), ("y".to_owned(), 1)],
        reclaimable: false,
        sequence,
        service: "s".to_owned(),
        slots: 4,
    }
}

/// An entry of a target that tells when its life began.
fn born(id: &str, born_at_unix_ms: u64, sequence: u64, draining: bool) -> TargetEntry {
    TargetEntry { started_at_unix_ms: Some(born_at_unix_ms), ..entry(id, sequence, draining) }
}

/// `in_force` is the version in force of both models.
fn for_model<'a>(table: &'a TargetTable, model: &str, oldest: u64, in_force: u64) -> Vec<&'a str> {
    let versions = ["x", "y"].map(|model| (model.to_owned(), in_force));
    let versions = IndexMap::from(versions);
    table.for_model("s", model, oldest, &versions, &Demand::default())
}

fn usable(table: &TargetTable) -> Vec<&str> {
    table.usable("s").map(|entry| entry.id.as_str()).collect()
}

#[test]
fn leaving_is_sticky_whatever_comes_late() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 5, false));

    assert_eq!(table.apply_entry(entry("a", 6, true)), TargetChange::Left("a".to_owned()));
    table.apply_entry(entry("a", 5, false));
    table.apply_entry(entry("a", 7, false));

    assert!(usable(&table).is_empty());
}

#[test]
fn a_removed_target_is_out_at_once_and_back_with_a_newer_entry() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 5, false));

    let removed = table.apply_removal(UnixMs(0), "a", false);

    assert_eq!(removed, TargetChange::Left("a".to_owned()));
    assert!(usable(&table).is_empty());
    assert_eq!(table.apply_entry(entry("a", 4, false)), TargetChange::None);
    assert_eq!(table.apply_entry(entry("a", 6, false)), TargetChange::Joined("a".to_owned()));
}

#[test]
fn a_target_that_vanished_with_an_outage_serves_until_it_had_time_to_return() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 5, false));
    table.apply_entry(entry("b", 5, false));
    table.apply_removal(UnixMs(1_000), "a", true);
    table.apply_removal(UnixMs(1_000), "b", true);

    assert_eq!(usable(&table), ["a", "b"]);
    table.apply_entry(entry("b", 6, false));
    assert!(table.expire(UnixMs(3_199)).is_empty());
    assert_eq!(table.expire(UnixMs(3_200)), [TargetChange::Left("a".to_owned())]);
    assert_eq!(usable(&table), ["b"]);
}

#[test]
fn a_target_that_another_answers_for_is_out() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 5, false));

    assert_eq!(table.mark_left("a"), TargetChange::Left("a".to_owned()));
    assert_eq!(table.mark_left("a"), TargetChange::None);
}

#[test]
fn while_all_serve_all_models_each_model_keeps_to_its_own_share() {
    let mut table = TargetTable::default();
    for number in 0..6 {
        table.apply_entry(entry(&format!("t{number}"), 1, false));
    }

    let (x, y) = (for_model(&table, "x", 1, 1), for_model(&table, "y", 1, 1));

    assert_eq!((x.len(), y.len()), (3, 3));
    assert!(x.iter().all(|id| !y.contains(id)));
}

#[test]
fn a_model_with_too_few_of_its_own_uses_all_that_may_serve_it() {
    let mut table = TargetTable::default();
    for number in 0..6 {
        table.apply_entry(entry(&format!("t{number}"), 1, false));
        table.record_version(&format!("t{number}"), "y", 4);
    }

    assert_eq!(for_model(&table, "x", 1, 4).len(), 6);
    assert!(for_model(&table, "x", 2, 4).is_empty(), "none is new enough");
}

// Symptom: a target that started again under its id receives no work for the rest of its life.
// Sequence: it says that it leaves, ends, and starts again; its heartbeats count from 1.
// Cause: leaving is sticky for an id, and an entry with a lower number counts as a late one.
#[test]
fn a_target_that_starts_again_under_its_id_receives_work() {
    let mut table = TargetTable::default();
    table.apply_entry(born("a", 1_000, 40, false));
    table.apply_entry(born("a", 1_000, 41, true));

    let change = table.apply_entry(born("a", 9_000, 1, false));

    assert_eq!(change, TargetChange::Restarted("a".to_owned()));
    assert_eq!(usable(&table), ["a"]);
}

#[test]
fn what_comes_late_of_an_earlier_life_does_not_count() {
    let mut table = TargetTable::default();
    table.apply_entry(born("a", 1_000, 40, false));
    table.record_version("a", "x", 7);
    table.apply_entry(born("a", 9_000, 1, false));

    assert_eq!(table.apply_entry(born("a", 1_000, 41, true)), TargetChange::None);
    assert_eq!(table.apply_start_time("a", Some(1_000)), (false, TargetChange::None));
    assert_eq!(table.entry("a").and_then(|entry| entry.version("x")), Some(1));
    assert_eq!(usable(&table), ["a"]);
}

#[test]
fn a_report_of_a_later_life_comes_before_its_entry() {
    let mut table = TargetTable::default();
    table.apply_entry(born("a", 1_000, 40, false));
    table.record_version("a", "x", 7);

    let told = table.apply_start_time("a", Some(9_000));

    assert_eq!(told, (true, TargetChange::Restarted("a".to_owned())));
    assert_eq!(table.entry("a").and_then(|entry| entry.version("x")), None);
    assert_eq!(table.apply_entry(born("a", 9_000, 1, false)), TargetChange::None);
    assert_eq!(table.apply_entry(born("a", 1_000, 41, false)), TargetChange::None);
}

// Symptom: requests go to something that is no target.
// Sequence: another program writes an entry whose fields are all there, but for the start.
// Cause: nothing tells it from an entry of a target.
#[test]
fn where_most_targets_tell_their_start_an_entry_without_one_names_none() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("foreign", 1, false));
    table.apply_entry(born("a", 1_000, 1, false));
    table.apply_entry(born("b", 1_000, 1, false));

    assert_eq!(usable(&table), ["a", "b"]);
    assert_eq!(table.count(), 2);
}

#[test]
fn one_entry_with_a_start_does_not_take_out_the_targets_that_tell_none() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 1, false));
    table.apply_entry(entry("b", 1, false));
    table.apply_entry(born("foreign", 1_000, 1, false));

    assert_eq!(usable(&table), ["a", "b", "foreign"]);
}

#[test]
fn a_target_whose_entry_another_program_overwrote_is_out_until_it_writes_again() {
    let mut table = TargetTable::default();
    table.apply_entry(born("a", 1_000, 4, false));
    table.apply_entry(born("b", 1_000, 4, false));

    assert_eq!(table.apply_entry(entry("a", 9, false)), TargetChange::Left("a".to_owned()));
    assert_eq!(usable(&table), ["b"]);
    assert_eq!(table.apply_entry(born("a", 1_000, 5, false)), TargetChange::Joined("a".to_owned()));
}

proptest::proptest! {
    // The counts behind the rule for entries without a start are kept by each change.
    #[test]
    fn which_entries_count_follows_from_those_that_are_there(
        steps in proptest::collection::vec((0..6_u64, proptest::bool::ANY, proptest::bool::ANY), 1..60),
    ) {
        let mut table = TargetTable::default();
        let mut listed = std::collections::BTreeMap::new();
        for (sequence, (number, tells, is_removed)) in (1_u64..).zip(steps) {
            let id = format!("{}{number}", if tells { "born-" } else { "silent-" });
            if is_removed {
                table.apply_removal(UnixMs(0), &id, false);
                listed.remove(&id);
            } else {
                let silent = entry(&id, sequence, false);
                table.apply_entry(if tells { born(&id, 1_000, sequence, false) } else { silent });
                listed.insert(id, tells);
            }
            let telling = listed.values().filter(|tells| **tells).count();
            let most_tell = telling * 2 > listed.len();
            let counted = listed.iter().filter(|(_, tells)| **tells || !most_tell);
            let mut expected: Vec<&str> = counted.map(|(id, _)| id.as_str()).collect();
            let mut seen = usable(&table);
            seen.sort_unstable();
            expected.sort_unstable();
            proptest::prop_assert_eq!(seen, expected);
        }
    }
}
