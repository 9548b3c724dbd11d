//! What other nodes send: impossible values, and bounds on what is kept and sent.

use catkinmast_fairness::{
    ENTRIES_MAX, Entry, FairShares, Half, Load, WORKSPACE_MAX_BYTES, WORKSPACES_MAX,
};
use catkinmast_model::UnixMs;
use proptest::prelude::*;

const NOW: UnixMs = UnixMs(1_000_000);

fn load(weight: f32, offered: f32, served: f32) -> Load {
    Load { weight, offered, served }
}

fn half(workspace: &str, load: Load) -> Half {
    let entries = vec![Entry { workspace: workspace.to_owned(), load }];
    Half { entries, epoch: 1, ..Half::default() }
}

/// Returns shares that know one workspace.
fn shares() -> FairShares {
    let mut shares = FairShares::default();
    shares.set_size(2, 1);
    shares.record_offered(NOW, "a", 0);
    shares.record_served(NOW, "a");
    shares
}

// Guards against sums that one wrong value makes useless.
#[test]
fn impossible_values_are_named_and_not_added() {
    let values = [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -1.0, 1e30];
    for value in values {
        let loads = [
            ("weight", load(value, 1.0, 1.0)),
            ("offered", load(0.5, value, 1.0)),
            ("served", load(0.5, 1.0, value)),
        ];
        for (field, load) in loads {
            let mut shares = shares();
            let before = shares.clone().outgoing(NOW);

            let bad = shares.receive(NOW, half("a", load)).expect_err("it is refused");

            assert_eq!((bad.field, bad.value), (format!("a.{field}"), value.to_string()));
            assert_eq!(shares.outgoing(NOW), before);
            let fleet = Half { fleet: load, ..Half::default() };
            let bad = shares.receive(NOW, fleet).expect_err("it is refused");
            assert_eq!(bad.field, format!("fleet.{field}"));
            let total = Half { total: load, ..Half::default() };
            let bad = shares.receive(NOW, total).expect_err("it is refused");
            assert_eq!(bad.field, format!("total.{field}"));
        }
    }
}

#[test]
fn long_names_and_lists_are_refused() {
    let mut shares = shares();
    let one = load(0.5, 1.0, 1.0);
    let long = "w".repeat(WORKSPACE_MAX_BYTES + 1);
    let entry = Entry { workspace: "a".to_owned(), load: one };
    let many = Half { entries: vec![entry; ENTRIES_MAX + 1], ..Half::default() };

    let long = shares.receive(NOW, half(&long, one)).expect_err("it is refused");
    let many = shares.receive(NOW, many).expect_err("it is refused");
    let none = shares.receive(NOW, half("", one)).expect_err("it is refused");

    assert_eq!((long.field.as_str(), long.value.as_str()), ("workspace_bytes", "65"));
    assert_eq!((many.field.as_str(), many.value.as_str()), ("entries", "17"));
    assert_eq!(none.field, "workspace_bytes");
}

// Guards against memory that grows with the names that peers send, and against datagrams that grow
// with them.
#[test]
fn at_most_512_workspaces_are_kept_and_datagrams_stay_small() {
    let mut shares = FairShares::default();
    shares.set_size(2, 2_000);
    for number in 0..2_000 {
        let name = format!("workspace-of-a-customer-{number}");
        shares.record_offered(NOW, &name, 0);
        let one = load(0.5, number as f32, 1.0);
        shares.receive(NOW, half(&name, one)).expect("it is possible");
    }

    for second in 0..10 {
        let half = shares.outgoing(NOW.plus(second * 1_000)).expect("there is something to tell");
        let bytes = postcard::to_stdvec(&half).expect("it can be encoded").len();
        // The frame adds 17 bytes and the variant one.
        assert!(bytes + 18 <= 400 && half.entries.len() <= ENTRIES_MAX, "{bytes}");
    }
    assert!(shares.known_workspaces() <= WORKSPACES_MAX);
}

#[test]
fn a_node_without_requests_sends_nothing() {
    let mut shares = FairShares::default();
    shares.set_size(3, 5);
    assert_eq!(shares.outgoing(NOW), None);

    shares.record_offered(NOW, "a", 0);
    shares.record_served(NOW, "a");

    assert!(shares.outgoing(NOW.plus(1_000)).is_some());
    let long_after = (0..60).map(|second| NOW.plus(60_000 + second * 1_000));
    let sent = long_after.filter_map(|now| shares.outgoing(now)).count();
    assert!(sent < 20, "{sent} datagrams of a node that has nothing to tell");
}

proptest! {
    // Guards against a panic, and against values that are no numbers, for any message.
    #[test]
    fn any_message_leaves_the_decisions_intact(
        messages in prop::collection::vec(
            (any::<u32>(), any::<f32>(), any::<f32>(), any::<f32>(), "[a-c]{0,3}", 0_u64..20_000),
            0..60,
        ),
    ) {
        let mut shares = shares();
        let mut now = NOW;
        for (epoch, weight, offered, served, workspace, later_ms) in messages {
            now = now.plus(later_ms);
            let one = load(weight, offered, served);
            let half = Half { epoch, fleet: one, total: one, ..half(&workspace, one) };
            let _may_be_refused = shares.receive(now, half);
            shares.record_offered(now, &workspace, 3);
            let _may_be_rejected = shares.admits(now, &workspace, 3, 0.5);
            prop_assert!(shares.recent_service(now, &workspace).is_finite());
        }
        if let Some(half) = shares.outgoing(now) {
            prop_assert!(half.fleet.weight.is_finite() && half.fleet.offered.is_finite());
            prop_assert!(half.entries.iter().all(|entry| entry.load.offered.is_finite()));
        }
    }
}
