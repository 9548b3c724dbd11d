//! Shares when datagrams are lost, nodes die or restart, and the fleet is cut.

use super::fleet::{Fleet, Outcomes, Sender, Spread, senders};
use catkinmast_fairness::FairShares;

const WORKSPACES: usize = 86;
const NODES: usize = 73;

/// Returns 86 workspaces, the first of which sends ten times as much as each other through three
/// nodes.
fn one_large() -> Vec<Sender> {
    senders(WORKSPACES, 20.0, |workspace| match workspace {
        0 => Spread::Few { first: 40, count: 3 },
        _ => Spread::All,
    })
}

fn fleet(senders: &[Sender]) -> Fleet {
    let offered_per_s: f64 = senders.iter().map(|sender| sender.per_s).sum();
    Fleet::new(NODES, offered_per_s * 0.92, 21)
}

/// Checks that the small workspaces are served and the large one is limited: its share is a quarter
/// of what it sends, and without shares it would get 0.92 of it.
fn check(outcomes: &[Outcomes], what: &str) {
    let part = |outcomes: &[Outcomes]| {
        let served: u64 = outcomes.iter().map(|outcome| outcome.served).sum();
        let offered: u64 = outcomes.iter().map(|outcome| outcome.offered).sum();
        served as f64 / offered as f64
    };
    let (large, small) = (part(&outcomes[..1]), part(&outcomes[1..]));
    assert!(large < 0.66 && small > 0.93, "{what}: large {large:.3}, small {small:.3}");
}

// Guards against sums that are lost without their weights.
#[test]
fn a_tenth_of_the_datagrams_is_lost() {
    let senders = one_large();
    let mut fleet = fleet(&senders);
    fleet.lost = 0.1;

    fleet.run(&senders, 45);

    check(&fleet.run(&senders, 40), "with losses");
}

// Guards against the sums of dead nodes: a third dies, and their callers go to the next nodes.
#[test]
fn a_third_of_the_nodes_dies() {
    let senders = one_large();
    let mut fleet = fleet(&senders);
    fleet.run(&senders, 30);

    for node in fleet.nodes.iter_mut().step_by(3) {
        *node = None;
    }
    fleet.run(&senders, 15);

    check(&fleet.run(&senders, 40), "after the deaths");
}

// Guards against nodes that restart in another epoch than the others, and against their old sums.
#[test]
fn a_third_of_the_nodes_restarts() {
    let senders = one_large();
    let mut fleet = fleet(&senders);
    fleet.run(&senders, 30);

    for node in fleet.nodes.iter_mut().step_by(3) {
        *node = Some(FairShares::default());
    }
    fleet.run(&senders, 15);

    check(&fleet.run(&senders, 40), "after the restarts");
}

// Guards against a ratio that stays biased after a cut: each half goes on by itself, with the large
// workspace in one of them only.
#[test]
fn a_cut_in_two_halves_ends() {
    let senders = one_large();
    let mut fleet = fleet(&senders);
    fleet.run(&senders, 30);
    fleet.cut_at = NODES / 2;
    fleet.run(&senders, 30);
    check(&fleet.run(&senders, 30), "during the cut");

    fleet.cut_at = 0;
    fleet.run(&senders, 15);

    check(&fleet.run(&senders, 40), "after the cut");
}

// Guards against a single node that waits for others: nothing is ever received.
#[test]
fn a_node_alone_decides_by_its_own_counts() {
    let senders = senders(12, 20.0, |_| Spread::All);
    let offered_per_s: f64 = senders.iter().map(|sender| sender.per_s).sum();
    let mut fleet = Fleet::new(1, offered_per_s * 0.7, 2);
    fleet.run(&senders, 10);

    let outcomes = fleet.run(&senders, 30);

    let small: u64 = outcomes[1..].iter().map(|outcome| outcome.rejected).sum();
    assert!(outcomes[0].rejected > 20 * small.max(1), "{outcomes:?}");
}
