//! Which targets may receive work, by a registry that lags and has outages.

use catkinmast_dispatch::{Demand, TargetChange, TargetEntry, TargetTable};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

fn entry(id: &str, sequence: u64, draining: bool) -> TargetEntry {
    TargetEntry {
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "dc".to_owned(),
        draining,
        id: id.to_owned(),
        models: vec![("x".to_owned(), 1), ("y".to_owned(), 1)],
        sequence,
        service: "s".to_owned(),
        slots: 4,
    }
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
    table.seen(entry("a", 5, false));

    assert_eq!(table.seen(entry("a", 6, true)), TargetChange::Left("a".to_owned()));
    table.seen(entry("a", 5, false));
    table.seen(entry("a", 7, false));

    assert!(usable(&table).is_empty());
}

#[test]
fn a_removed_target_is_out_at_once_and_back_with_a_newer_entry() {
    let mut table = TargetTable::default();
    table.seen(entry("a", 5, false));

    let removed = table.removed(UnixMs(0), "a", false);

    assert_eq!(removed, TargetChange::Left("a".to_owned()));
    assert!(usable(&table).is_empty());
    assert_eq!(table.seen(entry("a", 4, false)), TargetChange::None);
    assert_eq!(table.seen(entry("a", 6, false)), TargetChange::Joined("a".to_owned()));
}

#[test]
fn a_target_that_vanished_with_an_outage_serves_until_it_had_time_to_return() {
    let mut table = TargetTable::default();
    table.seen(entry("a", 5, false));
    table.seen(entry("b", 5, false));
    table.removed(UnixMs(1_000), "a", true);
    table.removed(UnixMs(1_000), "b", true);

    assert_eq!(usable(&table), ["a", "b"]);
    table.seen(entry("b", 6, false));
    assert!(table.expire(UnixMs(3_199)).is_empty());
    assert_eq!(table.expire(UnixMs(3_200)), [TargetChange::Left("a".to_owned())]);
    assert_eq!(usable(&table), ["b"]);
}

#[test]
fn a_target_that_another_answers_for_is_out() {
    let mut table = TargetTable::default();
    table.seen(entry("a", 5, false));

    assert_eq!(table.refused("a"), TargetChange::Left("a".to_owned()));
    assert_eq!(table.refused("a"), TargetChange::None);
}

#[test]
fn while_all_serve_all_models_each_model_keeps_to_its_own_share() {
    let mut table = TargetTable::default();
    for number in 0..6 {
        table.seen(entry(&format!("t{number}"), 1, false));
    }

    let (x, y) = (for_model(&table, "x", 1, 1), for_model(&table, "y", 1, 1));

    assert_eq!((x.len(), y.len()), (3, 3));
    assert!(x.iter().all(|id| !y.contains(id)));
}

#[test]
fn a_model_with_too_few_of_its_own_uses_all_that_may_serve_it() {
    let mut table = TargetTable::default();
    for number in 0..6 {
        table.seen(entry(&format!("t{number}"), 1, false));
        table.version_seen(&format!("t{number}"), "y", 4);
    }

    assert_eq!(for_model(&table, "x", 1, 4).len(), 6);
    assert!(for_model(&table, "x", 2, 4).is_empty(), "none is new enough");
}
