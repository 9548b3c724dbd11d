//! Membership in virtual time: failure detection, the spread of facts, and control traffic.

use catkinmast_bench::VirtualFleet;
use catkinmast_member::{
    ConfigFact, DutyRank, Fact, Membership, MembershipSettings, Message, NodeFact, NodeState,
    Output, TargetFact, TargetFactSource,
};
use catkinmast_model::{Incarnation, InstanceKind, InstanceState, Labels, Revision, UnixMs};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use yare::parameterized;

/// Returns a fleet in which all nodes have the same facts.
fn settled(nodes: usize, seed: u64, loss_percent: u32) -> VirtualFleet {
    let mut fleet = VirtualFleet::open(nodes, seed, loss_percent);
    let agreed = fleet.run_until_holds(UnixMs(60_000), VirtualFleet::all_agree);
    assert!(agreed.is_some(), "{nodes} nodes, seed {seed}: facts still differ after 60 s");
    fleet
}

fn config(revision: u64) -> Fact {
    Fact::Config(ConfigFact { digest: format!("{revision:032x}"), revision: Revision(revision) })
}

fn target(incarnation: u64, state: InstanceState, source: TargetFactSource) -> Fact {
    Fact::Target(TargetFact {
        address: "127.0.0.1:9000".parse().expect("an address"),
        data_centre: "place-0".parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        kind: InstanceKind::Service,
        labels: Labels::default().with("app", "registre"),
        name: "worker-1".parse().expect("a name"),
        source,
        state,
    })
}

fn node_of(name: &str, capacity_millicores: u32) -> NodeFact {
    NodeFact {
        capacity_millicores,
        control: "127.0.0.1:7400".parse().expect("an address"),
        data_centre: "place-0".parse().expect("a name"),
        has_data_folder: false,
        http: "127.0.0.1:7400".parse().expect("an address"),
        incarnation: Incarnation(1),
        name: name.parse().expect("a name"),
        refutation: 0,
        state: NodeState::Live,
    }
}

/// Guards against duties on nodes with too little processor capacity. With 8 of 55 nodes on half a
/// core and the others on an eighth, an owner chosen by hash alone used up its share at the start
/// of each step: generated output arrived late and targets appeared slow.
#[test]
fn duties_prefer_the_nodes_with_most_capacity_and_spread_among_them() {
    // Arrange
    let weak = (0..47).map(|number| node_of(&format!("weak-{number}"), 120));
    let strong = (0..8).map(|number| node_of(&format!("strong-{number}"), 500));
    let nodes: Vec<NodeFact> = weak.chain(strong).collect();

    // Act
    let first = |duty: &str| {
        let first = nodes.iter().min_by_key(|node| DutyRank::of(node, duty));
        first.expect("a node").name.to_string()
    };
    let firsts: Vec<String> = (0..16).map(|number| first(&format!("batches/{number}"))).collect();

    // Assert
    assert!(firsts.iter().all(|name| name.starts_with("strong-")), "{firsts:?}");
    let distinct: std::collections::BTreeSet<&String> = firsts.iter().collect();
    assert!(distinct.len() >= 5, "16 duties on 8 nodes: {distinct:?}");
}

/// Guards against a node that never gets a fact it missed. It was cut off when the fact was sent,
/// and since then a node joins or leaves every second, as in a restart of the fleet. A node that
/// pulls a difference only after two seconds without new facts then never pulls.
#[test]
fn missed_facts_are_pulled_while_new_facts_keep_arriving() {
    const PING_EVERY_MS: u64 = 300;
    const PULLS_WITHIN_MS: u64 = 3_000;
    let settings = MembershipSettings { probe_every_ms: PING_EVERY_MS, ..Default::default() };
    let me = node_of("me", 250);
    let rng = Pcg64Mcg::seed_from_u64(1);
    let mut members = Membership::new(me, Vec::new(), settings, rng);
    let from = SocketAddr::from(([127, 0, 0, 2], 7_400));
    let (start, mut pulled_after_ms) = (UnixMs(100_000), None);
    members.receive(start, from, Message::Facts { facts: vec![Fact::Node(node_of("other", 250))] });

    for ping in 1..40 {
        let now = start.plus(ping * PING_EVERY_MS);
        // Three of four pings bring a new fact. The digest is made up, so it always differs.
        let facts = match ping % 4 {
            0 => Vec::new(),
            _ => vec![target(ping, InstanceState::Live, TargetFactSource::List)],
        };
        let outputs =
            members.receive(now, from, Message::Ping { digest: ping, facts, sequence: ping });
        let pulls =
            |output: &Output| matches!(output, Output::Send { message: Message::Pull { .. }, .. });
        if pulled_after_ms.is_none() && outputs.iter().any(pulls) {
            pulled_after_ms = Some(now.since_ms(start));
        }
    }

    assert!(pulled_after_ms.is_some_and(|ms| ms <= PULLS_WITHIN_MS), "{pulled_after_ms:?}");
}

/// Guards against duties that move without need: a node that leaves must affect only its own.
#[test]
fn duties_of_other_nodes_stay_when_a_node_leaves() {
    let nodes: Vec<NodeFact> = (0..8).map(|number| node_of(&format!("n-{number}"), 250)).collect();
    let first = |nodes: &[NodeFact], duty: &str| {
        let first = nodes.iter().min_by_key(|node| DutyRank::of(node, duty));
        first.expect("a node").name.clone()
    };

    let gone = first(&nodes, "orders");
    let left: Vec<NodeFact> = nodes.iter().filter(|node| node.name != gone).cloned().collect();

    for duty in (0..32).map(|number| format!("batches/{number}")) {
        let before = first(&nodes, &duty);
        assert!(before == gone || first(&left, &duty) == before, "{duty}");
    }
}

#[parameterized(
    of_eight = { 8, 1 },
    of_thirty_two = { 32, 2 },
    of_three_hundred_and_twenty = { 320, 3 },
)]
fn a_killed_node_is_gone_everywhere_within_seconds(nodes: usize, seed: u64) {
    // Arrange
    let mut fleet = settled(nodes, seed, 1);
    let killed_at = fleet.now();

    // Act
    fleet.kill(nodes - 1);
    let agreed = fleet.run_until_holds(killed_at.plus(60_000), VirtualFleet::all_agree);

    // Assert: a probe every second, then the time to refute, then the spread of the fact.
    let took_ms = agreed.expect("facts differ 60 s after the kill").since_ms(killed_at);
    assert!(took_ms <= 15_000, "{took_ms} ms");
}

/// Guards against false suspicions by a process that was paused for some seconds. When it resumes,
/// all its timers are overdue, so its own probes look unanswered and its suspicions unrefuted.
#[test]
fn a_paused_node_suspects_nobody_when_it_resumes() {
    // Arrange
    let mut fleet = settled(8, 4, 0);

    // Act: pause it repeatedly, at different points of the probe period.
    let mut believed_gone = None;
    for pause in 0..20 {
        fleet.run_until(fleet.now().plus(8_000 + pause * 50));
        fleet.pause(3);
        fleet.run_until(fleet.now().plus(30_000));
        believed_gone = fleet.state(0, 3);
        fleet.resume(3);
    }
    let back = fleet.run_until_holds(fleet.now().plus(30_000), VirtualFleet::all_agree);

    // Assert: it was gone at the end of the last pause and refuted that; no other node was ever
    // suspected.
    assert_eq!(believed_gone, Some(NodeState::Gone));
    assert!(back.is_some(), "facts differ 30 s after the last pause");
    let suspected_others = (0..8).flat_map(|node| fleet.changes(node).to_vec()).any(|(_, fact)| {
        let Fact::Node(node) = fact else { return false };
        node.name.as_str() != "entry-3" && node.state > NodeState::Live
    });
    assert!(!suspected_others);
}

/// The smallest case of a paused process: a probe is outstanding when the process is paused, and
/// the first event after the pause is the overdue tick.
#[test]
fn an_overdue_tick_counts_no_probe_as_unanswered() {
    // Arrange
    let node = |number: u16| NodeFact {
        capacity_millicores: 1_000,
        control: SocketAddr::from(([127, 0, 0, 1], number)),
        data_centre: "place-0".parse().expect("a name"),
        has_data_folder: false,
        http: SocketAddr::from(([127, 0, 0, 1], number)),
        incarnation: Incarnation(1),
        name: format!("entry-{number}").parse().expect("a name"),
        refutation: 0,
        state: NodeState::Live,
    };
    let rng = Pcg64Mcg::seed_from_u64(1);
    let settings = MembershipSettings::default();
    let mut view = Membership::new(node(1), Vec::new(), settings, rng);
    view.observe(UnixMs(0), Fact::Node(node(2)));
    let probed = view
        .tick(UnixMs(100))
        .into_iter()
        .any(|output| matches!(output, Output::Send { message: Message::Ping { .. }, .. }));

    // Act
    let outputs = view.tick(UnixMs(30_000));

    // Assert
    assert!(probed);
    let suspects = |output: &Output| matches!(output, Output::Changed(Fact::Node(_)));
    assert!(!outputs.iter().any(suspects), "{outputs:?}");
}

/// Guards against a restarted node that stays dead or is taken for the old one. A process dies and
/// another starts at its address at once; only the incarnation tells them apart.
#[test]
fn a_restart_at_the_same_address_is_a_new_incarnation() {
    // Arrange
    let mut fleet = settled(8, 5, 0);

    // Act
    fleet.kill(2);
    fleet.run_until(fleet.now().plus(300));
    fleet.restart(2);
    let agreed = fleet.run_until_holds(fleet.now().plus(30_000), VirtualFleet::all_agree);

    // Assert
    assert!(agreed.is_some(), "facts differ 30 s after the restart");
    let newest = fleet.changes(0).iter().rev().find_map(|(_, fact)| match fact {
        Fact::Node(node) if node.name.as_str() == "entry-2" => Some(node.incarnation),
        _ => None,
    });
    assert_eq!(newest, Some(Incarnation(2)));
}

/// Guards against a fleet that stays split after a partition. Two regions are partitioned for
/// longer than tombstones are kept, so neither holds the nodes of the other and would probe them no
/// more.
#[test]
fn regions_partitioned_for_an_hour_rejoin() {
    // Arrange
    let mut fleet = settled(20, 6, 0);

    // Act
    fleet.set_partitioned(true);
    fleet.run_until(fleet.now().plus(3_600_000));
    let forgotten = fleet.state(0, 3);
    fleet.set_partitioned(false);
    let healed_at = fleet.now();
    let agreed = fleet.run_until_holds(healed_at.plus(60_000), VirtualFleet::all_agree);

    // Assert
    assert_eq!(forgotten, None, "node 3 is in the other region");
    let took_ms = agreed.expect("facts differ 60 s after the partition").since_ms(healed_at);
    assert!(took_ms <= 30_000, "{took_ms} ms");
}

/// Guards against nodes that use an old configuration many seconds after a new one was accepted.
/// With 5 % message loss, gossip alone can end before a fact has reached all nodes.
#[parameterized(
    seed_one = { 1 },
    seed_two = { 2 },
    seed_three = { 3 },
)]
fn a_revision_reaches_320_nodes_within_nine_seconds_despite_loss(seed: u64) {
    // Arrange
    let mut fleet = settled(320, seed, 5);
    let accepted_at = fleet.now();

    // Act
    fleet.observe(17, config(7));
    let known = fleet.run_until_holds(accepted_at.plus(9_000), |fleet| fleet.all_know(&config(7)));

    // Assert
    assert!(known.is_some(), "seed {seed}: not on all nodes within 9 s");
}

/// Guards against a configuration that reverts and a leaving target that gets work again. Older
/// facts arrive late, from nodes that did not have the newer ones; the last to arrive must not win.
#[test]
fn late_messages_never_revert_a_fact() {
    // Arrange
    let mut fleet = settled(16, 8, 0);
    let leaving = target(1, InstanceState::Leaving, TargetFactSource::Refusal);
    fleet.observe(1, config(9));
    fleet.observe(2, target(1, InstanceState::Live, TargetFactSource::List));
    fleet.observe(3, leaving.clone());
    fleet.run_until(fleet.now().plus(5_000));

    // Act: the lagging list still shows the target as live, and an old revision arrives.
    fleet.observe(4, config(8));
    fleet.observe(5, target(1, InstanceState::Live, TargetFactSource::List));
    fleet.run_until(fleet.now().plus(5_000));

    // Assert: all nodes have the newest facts, and on each node the revisions other than the late
    // one only rose.
    assert!(fleet.all_know(&config(9)));
    assert!(fleet.all_know(&leaving));
    for node in 0..16 {
        let revisions: Vec<Revision> = fleet
            .changes(node)
            .iter()
            .filter(|(at, _)| *at > UnixMs(0))
            .filter_map(|(_, fact)| match fact {
                Fact::Config(config) if config.revision != Revision(8) => Some(config.revision),
                _ => None,
            })
            .collect();
        assert!(revisions.is_sorted(), "{revisions:?}");
    }
}

/// Guards against control traffic that grows with the fleet, as it does when each node sends to all
/// others. Measures one minute without changes at several sizes.
#[parameterized(
    of_eight = { 8 },
    of_thirty_two = { 32 },
    of_a_hundred_and_twenty_eight = { 128 },
    of_three_hundred_and_twenty = { 320 },
)]
fn idle_control_traffic_is_far_below_the_budget_at_any_size(nodes: usize) {
    // Arrange
    let mut fleet = settled(nodes, 9, 0);
    fleet.run_until(fleet.now().plus(30_000));
    let before = fleet.traffic();

    // Act
    fleet.run_until(fleet.now().plus(60_000));

    // Assert: the budget is 2 KB per second and node in total, for bytes sent and received.
    let bytes = fleet.traffic().bytes - before.bytes;
    let per_node_s = bytes / 60 / nodes as u64;
    assert!(per_node_s <= 400, "{per_node_s} bytes a second and node");
}

/// Guards against repeated suspicions of live nodes at 5 % message loss, each of which is sent to
/// all nodes with its refutation. A probe or its answer is lost, and so are all indirect probes;
/// with too few of them this happens often in a large fleet.
#[test]
fn five_percent_loss_causes_few_false_suspicions_and_no_false_death() {
    // Arrange
    let mut fleet = VirtualFleet::open(320, 11, 5);
    fleet.run_until(UnixMs(30_000));
    let since = fleet.now();

    // Act
    fleet.run_until(since.plus(60_000));

    // Assert on the changes that one node receives.
    let received = |state: NodeState| {
        let changes = fleet.changes(0).iter().filter(|(at, _)| *at > since);
        changes.filter(|(_, f)| matches!(f, Fact::Node(node) if node.state == state)).count()
    };
    assert!(received(NodeState::Suspect) <= 6, "{} suspicions", received(NodeState::Suspect));
    assert_eq!(received(NodeState::Gone), 0);
}
