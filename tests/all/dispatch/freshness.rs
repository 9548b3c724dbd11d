//! The age of a view of the store, and a fleet that keeps its views fresh, in virtual time.

use catkinmast_dispatch::{ChangeBound, ConfirmationSource, Freshness, WATCHERS};
use catkinmast_model::UnixMs;
use yare::parameterized;

const BOUND: ChangeBound = ChangeBound::from_ms(2_000);
/// Time that a call of the store takes, including the datagram that reports it.
const CALL_MS: u64 = 5;
/// How often a scripted node acts.
const TICK_MS: u64 = 1;

/// A node of a scripted fleet. It knows one number that only increases in the store.
#[derive(Clone, Copy, Default)]
struct Node {
    calls: usize,
    /// When the answer to its call arrives, and the number in that answer.
    call: Option<(UnixMs, u64)>,
    freshness: Freshness,
    known: u64,
    reaches_store: bool,
    watches_again_at: UnixMs,
}

/// A fleet whose nodes are in the order of their ranks.
struct Fleet {
    nodes: Vec<Node>,
    now: UnixMs,
    stored: u64,
}

impl Fleet {
    fn open(size: usize) -> Self {
        let mut node = Node { reaches_store: true, ..Node::default() };
        node.freshness.confirm(UnixMs(0), ConfirmationSource::OtherRank);
        Self { nodes: vec![node; size], now: UnixMs(0), stored: 0 }
    }

    fn run_until(&mut self, until: UnixMs) {
        while self.now < until {
            self.now = self.now.plus(TICK_MS);
            for rank in 0..self.nodes.len() {
                self.act(rank);
            }
        }
    }

    fn act(&mut self, rank: usize) {
        let (now, stored) = (self.now, self.stored);
        let node = &mut self.nodes[rank];
        if let Some((at, read)) = node.call {
            if at <= now {
                node.call = None;
                self.answered(rank, read);
            }
            return;
        }
        let is_watching = rank < WATCHERS && now >= node.watches_again_at;
        if is_watching || node.freshness.next_read_at(rank, BOUND) <= now {
            node.calls += 1;
            node.watches_again_at = now.plus(BOUND.watch_wait_ms());
            node.call = node.reaches_store.then_some((now.plus(CALL_MS), stored));
        }
    }

    /// Handles an answer of the store and reports it to all other nodes.
    fn answered(&mut self, rank: usize, read: u64) {
        let now = self.now;
        let sent_at = UnixMs(now.since_ms(UnixMs(CALL_MS)));
        let sender = &mut self.nodes[rank];
        sender.known = sender.known.max(read);
        sender.freshness.confirm(sent_at, ConfirmationSource::OwnCall);
        let Some(age_ms) = sender.freshness.reportable_age_ms(now, BOUND) else { return };
        for (other, node) in self.nodes.iter_mut().enumerate().filter(|(other, _)| *other != rank) {
            let confirmed_by = if rank < other {
                ConfirmationSource::EarlierRank
            } else {
                ConfirmationSource::OtherRank
            };
            node.freshness.confirm(UnixMs(now.since_ms(UnixMs(age_ms))), confirmed_by);
            node.known = node.known.max(read);
        }
    }

    fn calls(&self) -> usize {
        self.nodes.iter().map(|node| node.calls).sum()
    }
}

#[parameterized(
    both_watchers_of_eight = { 8, 2 },
    all_but_one_of_eight = { 8, 7 },
    half_of_thirty = { 30, 15 },
    all_but_one_of_three_hundred_and_twenty = { 320, 319 },
    all_but_one_of_a_thousand = { 1_000, 999 },
)]
fn a_change_is_known_in_time_whichever_nodes_lose_the_store(size: usize, lost: usize) {
    let mut fleet = Fleet::open(size);
    // The failure may come at any moment between two answers.
    for lost_after_ms in [0, 300, 700, 999] {
        let lost_at = fleet.now.plus(10_000 + lost_after_ms);
        fleet.run_until(lost_at);
        for node in &mut fleet.nodes[..lost] {
            node.reaches_store = false;
            node.call = None;
        }
        fleet.stored += 1;

        fleet.run_until(lost_at.plus(BOUND.as_ms()));

        for (rank, node) in fleet.nodes.iter().enumerate() {
            assert_eq!(
                node.known, fleet.stored,
                "rank {rank} of {size}, store lost at {lost_at:?}"
            );
        }
        for node in &mut fleet.nodes {
            node.reaches_store = true;
        }
    }
}

#[parameterized(eight = { 8 }, three_hundred_and_twenty = { 320 }, a_thousand = { 1_000 })]
fn only_the_watchers_read_the_store_while_they_are_answered(size: usize) {
    let mut fleet = Fleet::open(size);

    fleet.run_until(UnixMs(10_000));

    assert!(fleet.nodes[WATCHERS..].iter().all(|node| node.calls == 0));
    // Two watchers, and one call for each wait.
    assert!(fleet.calls() <= 2 * 10, "{} calls in ten seconds", fleet.calls());
}

#[parameterized(eight = { 8 }, three_hundred_and_twenty = { 320 }, a_thousand = { 1_000 })]
fn few_nodes_replace_watchers_that_have_lost_the_store(size: usize) {
    let mut fleet = Fleet::open(size);
    fleet.run_until(UnixMs(3_000));
    for node in &mut fleet.nodes[..WATCHERS] {
        node.reaches_store = false;
        node.call = None;
    }
    let before: usize = fleet.nodes[WATCHERS..].iter().map(|node| node.calls).sum();

    fleet.run_until(UnixMs(13_000));

    let after: usize = fleet.nodes[WATCHERS..].iter().map(|node| node.calls).sum();
    // One pair of nodes for each time that a view becomes stale.
    assert!(after - before <= 2 * 8, "{} calls in ten seconds", after - before);
}

#[test]
fn two_nodes_do_not_keep_confirming_each_other() {
    let mut views = [Freshness::default(); 2];
    views[0].confirm(UnixMs(0), ConfirmationSource::OwnCall);
    views[1].confirm(UnixMs(0), ConfirmationSource::OwnCall);

    for now in (100..5_000).step_by(100).map(UnixMs) {
        for (sender, receiver) in [(0, 1), (1, 0)] {
            if let Some(age_ms) = views[sender].reportable_age_ms(now, BOUND) {
                // A datagram takes 10 ms; the receiver subtracts the reported age from its arrival.
                let at = UnixMs(now.plus(10).since_ms(UnixMs(age_ms)));
                views[receiver].confirm(at, ConfirmationSource::EarlierRank);
            }
        }
    }

    for view in views {
        assert!(view.next_read_at(0, BOUND) < UnixMs(BOUND.as_ms()));
        assert!(view.age_ms(UnixMs(5_000)).is_some_and(|age_ms| age_ms > 4_900));
    }
}

#[test]
fn a_replacement_watches_until_an_earlier_rank_is_answered() {
    let mut view = Freshness::default();
    view.confirm(UnixMs(1_000), ConfirmationSource::OwnCall);
    view.confirm(UnixMs(1_000), ConfirmationSource::OtherRank);
    assert!(view.should_watch(UnixMs(1_100), 2, BOUND));

    view.confirm(UnixMs(1_200), ConfirmationSource::EarlierRank);

    assert!(!view.should_watch(UnixMs(1_300), 2, BOUND));
    assert!(view.should_watch(UnixMs(1_200 + BOUND.stale_ms()), 2, BOUND));
    assert!(view.should_watch(UnixMs(1_300), 1, BOUND), "a watcher watches regardless of others");
}

#[test]
fn an_invalidated_view_is_read_again_at_once() {
    let mut view = Freshness::default();
    view.confirm(UnixMs(1_000), ConfirmationSource::EarlierRank);

    view.invalidate();

    assert_eq!(view.age_ms(UnixMs(1_001)), None);
    assert_eq!(view.next_read_at(7, BOUND), UnixMs(0));
}

#[test]
fn a_wait_ends_before_the_view_is_stale() {
    let mut view = Freshness::default();
    view.confirm(UnixMs(1_000), ConfirmationSource::OwnCall);

    assert_eq!(view.next_wait_ms(UnixMs(1_000), BOUND), BOUND.watch_wait_ms());
    assert_eq!(view.next_wait_ms(UnixMs(1_400), BOUND), BOUND.watch_wait_ms() - 400);
    assert!(
        view.next_wait_ms(UnixMs(9_000), BOUND) > 0,
        "a slow store is not polled without pause"
    );
}
