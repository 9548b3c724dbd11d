//! Which targets may receive work, with a registry that lags and has outages.

use catkinmast_dispatch::{Demand, TargetChange, TargetEntry, TargetTable};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

fn entry(id: &str, sequence: u64, draining: bool) -> TargetEntry {
    TargetEntry {
        address: "127.0.0.1:1".parse().expect("an address"),
        cold_left_ms: 0,
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

/// Returns an entry of a target that reports its start time.
fn started(id: &str, started_at_unix_ms: u64, sequence: u64, draining: bool) -> TargetEntry {
    TargetEntry { started_at_unix_ms: Some(started_at_unix_ms), ..entry(id, sequence, draining) }
}

/// Calls `TargetTable::for_model` with version `in_force` of both models in force.
fn for_model<'a>(table: &'a TargetTable, model: &str, oldest: u64, in_force: u64) -> Vec<&'a str> {
    let versions = ["x", "y"].map(|model| (model.to_owned(), in_force));
    let versions = IndexMap::from(versions);
    table.for_model("s", model, oldest, &versions, &Demand::default())
}

fn usable(table: &TargetTable) -> Vec<&str> {
    table.usable("s").map(|entry| entry.id.as_str()).collect()
}

#[test]
fn draining_is_final_despite_late_entries() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 5, false));

    assert_eq!(table.apply_entry(entry("a", 6, true)), TargetChange::Left("a".to_owned()));
    table.apply_entry(entry("a", 5, false));
    table.apply_entry(entry("a", 7, false));

    assert!(usable(&table).is_empty());
}

#[test]
fn a_removed_target_is_unusable_until_a_newer_entry() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 5, false));

    let removed = table.apply_removal("a", None);

    assert_eq!(removed, TargetChange::Left("a".to_owned()));
    assert!(usable(&table).is_empty());
    assert_eq!(table.apply_entry(entry("a", 4, false)), TargetChange::None);
    assert_eq!(table.apply_entry(entry("a", 6, false)), TargetChange::Joined("a".to_owned()));
}

#[test]
fn a_target_lost_in_an_outage_serves_until_its_grace_period_ends() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 5, false));
    table.apply_entry(entry("b", 5, false));
    table.apply_removal("a", Some(UnixMs(3_200)));
    table.apply_removal("b", Some(UnixMs(3_200)));

    assert_eq!(usable(&table), ["a", "b"]);
    table.apply_entry(entry("b", 6, false));
    assert!(table.expire(UnixMs(3_199)).is_empty());
    assert_eq!(table.expire(UnixMs(3_200)), [TargetChange::Left("a".to_owned())]);
    assert_eq!(usable(&table), ["b"]);
}

#[test]
fn a_target_is_marked_as_left_once() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 5, false));

    assert_eq!(table.mark_left("a"), TargetChange::Left("a".to_owned()));
    assert_eq!(table.mark_left("a"), TargetChange::None);
}

#[test]
fn while_all_targets_serve_all_models_each_model_uses_its_own_share() {
    let mut table = TargetTable::default();
    for number in 0..6 {
        table.apply_entry(entry(&format!("t{number}"), 1, false));
    }

    let (x, y) = (for_model(&table, "x", 1, 1), for_model(&table, "y", 1, 1));

    assert_eq!((x.len(), y.len()), (3, 3));
    assert!(x.iter().all(|id| !y.contains(id)));
}

#[test]
fn a_model_with_too_few_targets_uses_all_that_may_serve_it() {
    let mut table = TargetTable::default();
    for number in 0..6 {
        table.apply_entry(entry(&format!("t{number}"), 1, false));
        table.record_version(&format!("t{number}"), "y", 4);
    }

    assert_eq!(for_model(&table, "x", 1, 4).len(), 6);
    assert!(for_model(&table, "x", 2, 4).is_empty(), "no version is recent enough");
}

// Guards against a target that receives no work after a restart under its id. It drains, ends and
// restarts, and its heartbeats count from 1, so the entry of the new incarnation looks old and the
// drain looks final.
#[test]
fn a_target_that_restarts_under_its_id_receives_work() {
    let mut table = TargetTable::default();
    table.apply_entry(started("a", 1_000, 40, false));
    table.apply_entry(started("a", 1_000, 41, true));

    let change = table.apply_entry(started("a", 9_000, 1, false));

    assert_eq!(change, TargetChange::Restarted("a".to_owned()));
    assert_eq!(usable(&table), ["a"]);
}

#[test]
fn late_entries_of_an_earlier_incarnation_are_ignored() {
    let mut table = TargetTable::default();
    table.apply_entry(started("a", 1_000, 40, false));
    table.record_version("a", "x", 7);
    table.apply_entry(started("a", 9_000, 1, false));

    assert_eq!(table.apply_entry(started("a", 1_000, 41, true)), TargetChange::None);
    assert_eq!(table.apply_start_time("a", Some(1_000)), (false, TargetChange::None));
    assert_eq!(table.entry("a").and_then(|entry| entry.version("x")), Some(1));
    assert_eq!(usable(&table), ["a"]);
}

#[test]
fn a_report_of_a_later_incarnation_may_precede_its_entry() {
    let mut table = TargetTable::default();
    table.apply_entry(started("a", 1_000, 40, false));
    table.record_version("a", "x", 7);

    let reported = table.apply_start_time("a", Some(9_000));

    assert_eq!(reported, (true, TargetChange::Restarted("a".to_owned())));
    assert_eq!(table.entry("a").and_then(|entry| entry.version("x")), None);
    assert_eq!(table.apply_entry(started("a", 9_000, 1, false)), TargetChange::None);
    assert_eq!(table.apply_entry(started("a", 1_000, 41, false)), TargetChange::None);
}

// Guards against requests to something that is no target: another program writes an entry that is
// complete except for the start time.
#[test]
fn an_entry_without_start_time_is_ignored_if_most_have_one() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("foreign", 1, false));
    table.apply_entry(started("a", 1_000, 1, false));
    table.apply_entry(started("b", 1_000, 1, false));

    assert_eq!(usable(&table), ["a", "b"]);
    assert_eq!(table.serving_count(), 2);
}

#[test]
fn one_entry_with_a_start_time_does_not_exclude_those_without() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 1, false));
    table.apply_entry(entry("b", 1, false));
    table.apply_entry(started("foreign", 1_000, 1, false));

    assert_eq!(usable(&table), ["a", "b", "foreign"]);
}

#[test]
fn a_target_whose_entry_was_overwritten_is_unusable_until_it_writes_again() {
    let mut table = TargetTable::default();
    table.apply_entry(started("a", 1_000, 4, false));
    table.apply_entry(started("b", 1_000, 4, false));

    assert_eq!(table.apply_entry(entry("a", 9, false)), TargetChange::Left("a".to_owned()));
    assert_eq!(usable(&table), ["b"]);
    assert_eq!(
        table.apply_entry(started("a", 1_000, 5, false)),
        TargetChange::Joined("a".to_owned())
    );
}

proptest::proptest! {
    // The counts of listed entries are updated with each change; here they are checked against a
    // recount.
    #[test]
    fn usable_entries_depend_only_on_the_listed_ones(
        steps in proptest::collection::vec((0..6_u64, proptest::bool::ANY, proptest::bool::ANY), 1..60),
    ) {
        let mut table = TargetTable::default();
        let mut listed = std::collections::BTreeMap::new();
        for (sequence, (number, has_start, is_removed)) in (1_u64..).zip(steps) {
            let id = format!("{}{number}", if has_start { "started-" } else { "without-" });
            if is_removed {
                table.apply_removal(&id, None);
                listed.remove(&id);
            } else {
                let without_start = entry(&id, sequence, false);
                table.apply_entry(
                    if has_start { started(&id, 1_000, sequence, false) } else { without_start },
                );
                listed.insert(id, has_start);
            }
            let with_start = listed.values().filter(|has_start| **has_start).count();
            let most_have_start = with_start * 2 > listed.len();
            let counted = listed.iter().filter(|(_, has_start)| **has_start || !most_have_start);
            let mut expected: Vec<&str> = counted.map(|(id, _)| id.as_str()).collect();
            let mut seen = usable(&table);
            seen.sort_unstable();
            expected.sort_unstable();
            proptest::prop_assert_eq!(seen, expected);
        }
    }
}

#[test]
fn a_target_that_changes_its_service_is_listed_under_the_new_one_only() {
    let mut table = TargetTable::open("node-1", "dc");
    table.apply_entry(entry("a", 1, false));

    table.apply_entry(TargetEntry { service: "other".to_owned(), ..entry("a", 2, false) });

    assert!(usable(&table).is_empty());
    assert_eq!((table.count("s"), table.count("other")), (0, 1));
    assert_eq!(table.usable_near("other").count(), 1);
}

#[test]
fn a_node_prefers_targets_of_its_own_data_centre() {
    let mut table = TargetTable::open("node-1", "dc");
    for number in 0..20 {
        let data_centre = if number % 4 == 0 { "dc" } else { "other" }.to_owned();
        table.apply_entry(TargetEntry { data_centre, ..entry(&format!("t{number}"), 1, false) });
    }

    let near: Vec<&str> = table.usable_near("s").map(|entry| entry.data_centre.as_str()).collect();

    assert_eq!(near[..5], ["dc"; 5]);
    assert_eq!(near[5..], ["other"; 15]);
}

// Guards against nodes that all prefer the same targets: each node uses a few of them, and together
// they use all.
#[yare::parameterized(
    nodes_30 = { 30 },
    nodes_300 = { 300 },
    nodes_1000 = { 1_000 },
)]
fn nodes_spread_over_the_targets(nodes: usize) {
    const TARGETS_PER_NODE: usize = 2;
    const USED: usize = 16;
    let entries: Vec<TargetEntry> = (0..nodes * TARGETS_PER_NODE)
        .map(|number| entry(&format!("t{number}"), 1, false))
        .collect();

    let mut uses: IndexMap<String, usize> = IndexMap::new();
    for node in 0..nodes.min(60) {
        let mut table = TargetTable::open(&format!("node-{node}"), "dc");
        for entry in &entries {
            table.apply_entry(entry.clone());
        }
        for near in table.usable_near("s").take(USED) {
            *uses.entry(near.id.clone()).or_default() += 1;
        }
    }

    let most = uses.values().max().copied().unwrap_or(0);
    assert!(most <= nodes.min(60) * USED * 3 / entries.len() + 6, "{most} nodes use one target");
}

#[test]
fn targets_of_an_evacuated_data_centre_serve_but_get_no_work() {
    let mut table = TargetTable::default();
    table.apply_entry(entry("a", 1, false));
    table.apply_entry(TargetEntry { data_centre: "b".to_owned(), ..entry("b", 1, false) });

    table.evacuations_mut().begin("b", 7);

    assert_eq!(usable(&table), ["a"]);
    assert_eq!(table.serving("s").count(), 2);
    assert!(table.usable_entry("b").is_none());
    table.evacuations_mut().end("b");
    assert_eq!(usable(&table), ["b", "a"]);
}
