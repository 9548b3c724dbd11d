//! How changes of the store's keys reach all nodes, and what that costs each of them.

use catkinmast_feed::{
    Changes, FANOUT, HashSpan, KeyTable, Recipient, StoreEvent, StoredItem, datagrams, delegate,
};
use catkinmast_wire::{pack, unpack};
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The entry of a target: what it means, and its count of heartbeats.
fn written(key: &str, revision: u64, meaning: u8, heartbeat: u8) -> StoreEvent {
    let value = vec![meaning, heartbeat];
    StoreEvent::Written(StoredItem { key: key.to_owned(), lease: None, revision, value })
}

fn deleted(key: &str, revision: u64) -> StoreEvent {
    StoreEvent::Deleted { key: key.to_owned(), revision }
}

/// What stands for the meaning of an entry made by [`written`].
fn meaning(item: &StoredItem) -> u64 {
    u64::from(item.value[0])
}

/// Returns a table that holds the entries of `count` targets, at revision `count`.
fn table_of(count: u64) -> KeyTable {
    let mut table = KeyTable::default();
    let entries = (1..=count).map(|number| written(&format!("t{number:05}"), number, 1, 0));
    table.apply(entries.collect(), count, meaning);
    table
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000))
}

/// Returns the recipients of a fleet in which one node in twenty is strong.
fn fleet(count: usize) -> Vec<Recipient> {
    let mut nodes: Vec<Recipient> = (0..count)
        .map(|number| Recipient {
            address: address(number),
            capacity_millicores: if number.is_multiple_of(20) { 500 } else { 120 },
            hash: xxh3_64(format!("node-{number}").as_bytes()),
        })
        .collect();
    nodes.sort_unstable_by_key(|node| node.hash);
    nodes
}

/// What a message from one node to all costs.
#[derive(Debug, Default)]
struct Spread {
    copies_max: usize,
    received: BTreeMap<SocketAddr, usize>,
    steps: usize,
}

/// Spreads a message from the first node. A node in `dead` passes nothing on.
fn spread(nodes: &[Recipient], salt: u64, dead: &[SocketAddr]) -> Spread {
    let mut spread = Spread::default();
    let mut queue = VecDeque::from([(nodes[0], HashSpan::ALL, 0)]);
    while let Some((node, span, steps)) = queue.pop_front() {
        if dead.contains(&node.address) {
            continue;
        }
        spread.steps = spread.steps.max(steps);
        let others: Vec<Recipient> =
            nodes.iter().filter(|other| other.address != node.address).copied().collect();
        let copies = delegate(&others, span, node.hash, salt);
        spread.copies_max = spread.copies_max.max(copies.len());
        for copy in copies {
            *spread.received.entry(copy.to).or_default() += 1;
            let receiver = nodes.iter().find(|other| other.address == copy.to);
            queue.push_back((*receiver.expect("a known node"), copy.span, steps + 1));
        }
    }
    spread
}

// Guards against a watcher that sends each change to every node itself: at 834 nodes its link would
// have to carry 580 MB a second.
#[yare::parameterized(
    nodes_30 = { 30, 2 },
    nodes_300 = { 300, 3 },
    nodes_1000 = { 1_000, 3 },
    nodes_2000 = { 2_000, 3 },
)]
fn a_message_reaches_each_node_once_with_a_bounded_number_of_copies(count: usize, steps: usize) {
    let nodes = fleet(count);

    let spread = spread(&nodes, 7, &[]);

    assert_eq!(spread.received.len(), count - 1);
    assert!(spread.received.values().all(|copies| *copies == 1), "a node got two copies");
    assert!(spread.copies_max <= FANOUT + 1, "{} copies", spread.copies_max);
    assert!(spread.steps <= steps, "{} steps", spread.steps);
}

// Guards against two watchers whose trees fail together: a tenth of the nodes has died unnoticed.
#[test]
fn the_trees_of_two_origins_rarely_miss_the_same_node() {
    let nodes = fleet(1_000);
    let dead: Vec<SocketAddr> = nodes.iter().skip(1).step_by(10).map(|node| node.address).collect();

    let (first, second) = (spread(&nodes, 1, &dead), spread(&nodes, 2, &dead));

    let missed = nodes[1..].iter().filter(|node| {
        !dead.contains(&node.address)
            && !first.received.contains_key(&node.address)
            && !second.received.contains_key(&node.address)
    });
    let missed = missed.count();
    assert!(missed <= 100, "{missed} of 900 live nodes are missed by both");
}

// Guards against a message that goes round in a circle: the views of the nodes differ.
#[test]
fn a_message_ends_although_each_node_knows_other_nodes() {
    let nodes = fleet(60);
    let mut queue = VecDeque::from([(nodes[0], HashSpan::ALL)]);
    let mut copies = 0;

    while let Some((node, span)) = queue.pop_front() {
        let known: Vec<Recipient> = nodes
            .iter()
            .filter(|other| other.address != node.address && (other.hash ^ node.hash) % 3 != 0)
            .copied()
            .collect();
        for copy in delegate(&known, span, node.hash, 3) {
            copies += 1;
            let receiver = nodes.iter().find(|other| other.address == copy.to);
            queue.push_back((*receiver.expect("a known node"), copy.span));
            assert!(copies < 1_000, "it does not end");
        }
    }
}

// Guards against news that grow with the number of targets although nothing happens: each target
// writes its entry every few seconds to show that it lives.
#[yare::parameterized(
    targets_300 = { 300 },
    targets_3000 = { 3_000 },
    targets_10000 = { 10_000 },
    targets_20000 = { 20_000 },
)]
fn heartbeats_of_targets_are_no_news(count: u64) {
    let mut table = table_of(count);

    let beats = (1..=count).map(|number| written(&format!("t{number:05}"), count + number, 1, 1));
    let news = table.apply(beats.collect(), 2 * count, meaning);

    assert!(news.is_empty(), "{} events for {count} heartbeats", news.len());
    assert_eq!(table.as_of(), 2 * count);
    assert_eq!(table.base_of(2 * count), count, "a peer at the last news lacks nothing");
}

// Guards against a late entry that brings back a target that has left: without the last heartbeat
// before the removal, the late one looks newer.
#[test]
fn a_removal_brings_the_last_heartbeat_with_it() {
    let (mut watcher, mut peer) = (table_of(2), table_of(2));
    watcher.apply(vec![written("t00001", 3, 1, 9)], 3, meaning);

    let news = watcher.apply(vec![deleted("t00001", 8)], 8, meaning);

    assert_eq!(news, [written("t00001", 7, 1, 9), deleted("t00001", 8)]);
    assert_eq!(peer.apply(news.clone(), 8, meaning), news, "the peer learns the same");
}

#[test]
fn a_peer_that_missed_changes_gets_them_and_no_others() {
    let mut table = table_of(600);
    table.apply(vec![written("t00001", 601, 2, 0), deleted("t00002", 602)], 602, meaning);

    assert_eq!(table.changes_after(601), Some(vec![deleted("t00002", 602)]));
    assert_eq!(table.changes_after(602), Some(Vec::new()));
    assert_eq!(table.changes_after(603), None, "it does not know them itself");
}

// Guards against changes that are lost without a gap in the revisions: a list was read in pages, its
// last page is later than the changes that follow, and a datagram among them is lost.
#[test]
fn changes_after_a_list_in_pages_are_in_the_order_of_their_revisions() {
    let mut table = KeyTable::default();
    table.begin_log(10);
    table.apply(vec![written("t1", 9, 1, 0), written("t9", 40, 1, 0)], 10, meaning);
    table.apply(vec![written("t2", 20, 1, 0), written("t9", 40, 1, 0)], 50, meaning);

    let changes = table.changes_after(10).expect("they are known");

    let revisions: Vec<u64> = changes.iter().map(StoreEvent::revision).collect();
    assert_eq!(revisions, [20, 40]);
}

// Guards against a log that is too short for a large fleet: while many targets are replaced, a peer
// that missed a second of it would read the whole list.
#[test]
fn the_log_is_as_long_as_the_list_of_keys() {
    let mut table = table_of(5_000);
    let changes = (1..=4_000).map(|number| written(&format!("t{number:05}"), 5_000 + number, 2, 0));

    table.apply(changes.collect(), 9_000, meaning);

    assert_eq!(table.changes_after(5_000).map(|events| events.len()), Some(4_000));
}

#[test]
fn a_list_in_pages_makes_the_same_table() {
    let table = table_of(30_000);
    let mut listed = Vec::new();
    loop {
        let after = listed.last().map(|item: &StoredItem| item.key.clone()).unwrap_or_default();
        let page = table.page(&after);
        listed.extend(page.items);
        if !page.truncated {
            break;
        }
    }

    let mut copy = KeyTable::default();
    copy.begin_log(table.as_of());
    let events = copy.difference(&listed, table.as_of());
    assert_eq!(copy.apply(events, table.as_of(), meaning).len(), 30_000);
    assert!(table.difference(&listed, table.as_of()).is_empty());
}

#[test]
fn changes_larger_than_a_datagram_are_split_without_a_gap() {
    let events: Vec<StoreEvent> =
        (1..=200).map(|number| written(&format!("t{number:05}"), number, 1, 0)).collect();
    let changes = Changes {
        after: 0,
        after_outage: false,
        as_of: 200,
        confirmed_ms_ago: Some(3),
        events: Some(events),
    };

    let parts = datagrams(changes);

    assert!(parts.len() > 1);
    assert!(parts.windows(2).all(|pair| pair[1].after == pair[0].as_of));
    assert_eq!(parts.last().map(|part| (part.as_of, part.confirmed_ms_ago)), Some((200, Some(3))));
}

// Guards against a list of targets that fills the links of a fleet that starts: 10,000 entries of
// half a kilobyte, to each node.
#[test]
fn a_page_of_entries_is_sent_in_a_fifth_of_its_size() {
    let items: Vec<StoredItem> = (0..1_000)
        .map(|number| {
            let value = format!(
                r#"{{"service":"mira51b","address":"10.128.{}.{}:8080","zone":"salle-a","version":"v1",
                "slots":6,"state":"ready","coldLeftMs":0,"stage":"hybrid","models":[
                {{"name":"daka510000","version":{},"adapters":[]}},
                {{"name":"rada7437b5","version":1,"adapters":[]}}],"seq":{number}}}"#,
                number / 250,
                number % 250,
                1 + number % 7,
            );
            let key = format!("servers/i-{:016x}", xxh3_64(value.as_bytes()));
            StoredItem { key, lease: None, revision: 1_000 + number, value: value.into_bytes() }
        })
        .collect();

    let message = postcard::to_stdvec(&items).expect("items are encoded");

    let packed = pack(&message);

    assert!(packed.len() * 5 <= message.len(), "{} of {} bytes", packed.len(), message.len());
    assert_eq!(unpack(&packed), Ok(message));
}

proptest! {
    #[test]
    fn a_packed_message_from_outside_is_read_without_a_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..400),
    ) {
        drop(unpack(&bytes));
    }
}

// Guards against bulk news that fill the links of the nodes that pass them on: when 10,000 targets
// register, each node on the way would send 4 MB to each of seventeen others.
#[test]
fn many_changes_are_announced_instead_of_sent() {
    let events: Vec<StoreEvent> =
        (1..=5_000).map(|number| written(&format!("t{number:05}"), number, 1, 0)).collect();
    let changes = Changes {
        after: 0,
        after_outage: false,
        as_of: 5_000,
        confirmed_ms_ago: Some(3),
        events: Some(events),
    };

    let parts = datagrams(changes.clone());

    assert_eq!(parts, [Changes { events: None, ..changes }]);
}
