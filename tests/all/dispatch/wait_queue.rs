//! Fair queueing while all targets refuse for load.

use catkinmast_dispatch::{WaitQueue, WaiterId};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use proptest::prelude::*;

const TICK_MS: u64 = 20;
/// How long a request waits before it is refused.
const WAIT_MAX_MS: u64 = 450;

/// A workspace and the number of requests that it sends each second.
struct Sender {
    name: String,
    per_s: u64,
    priority: u32,
}

/// How many requests of a workspace were served and refused.
#[derive(Default)]
struct Outcomes {
    refused: u64,
    served: u64,
}

impl Outcomes {
    fn share(&self) -> f64 {
        self.served as f64 / (self.served + self.refused).max(1) as f64
    }
}

struct Request {
    id: WaiterId,
    since: u64,
    workspace: usize,
}

/// Simulates a node whose targets have `slots_per_tick` free slots every [`TICK_MS`]. Waiting
/// requests take them in a seeded random order; with `is_fair`, only requests that are due may.
fn simulate(senders: &[Sender], slots_per_tick: usize, is_fair: bool) -> Vec<Outcomes> {
    let mut queue = WaitQueue::default();
    let mut waiting: Vec<Request> = Vec::new();
    let mut results: Vec<Outcomes> = senders.iter().map(|_| Outcomes::default()).collect();
    let mut seed = 7_u64;
    for now_ms in (0..20_000).step_by(TICK_MS as usize) {
        let now = UnixMs(now_ms);
        for (workspace, sender) in senders.iter().enumerate() {
            let before = now_ms * sender.per_s / 1_000;
            let after = (now_ms + TICK_MS) * sender.per_s / 1_000;
            for _ in before..after {
                let id = queue.enqueue(now, Some(&sender.name), sender.priority);
                waiting.push(Request { id, since: now_ms, workspace });
            }
        }
        let mut is_due = |request: &Request| !is_fair || queue.is_due(now, request.id);
        let mut due: Vec<WaiterId> =
            waiting.iter().filter(|request| is_due(request)).map(|request| request.id).collect();
        for index in (1..due.len()).rev() {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            due.swap(index, (seed >> 33) as usize % (index + 1));
        }
        due.truncate(slots_per_tick);
        waiting.retain(|request| {
            let is_served = due.contains(&request.id);
            let is_over = now_ms - request.since >= WAIT_MAX_MS;
            if is_served {
                queue.record_served(now, Some(&senders[request.workspace].name));
                results[request.workspace].served += 1;
            } else if is_over {
                results[request.workspace].refused += 1;
            }
            if is_served || is_over {
                queue.remove(request.id);
            }
            !is_served && !is_over
        });
    }
    results
}

fn senders(count: usize, per_s: u64, greedy_per_s: u64) -> Vec<Sender> {
    let one = |number: usize| Sender {
        name: format!("w{number}"),
        per_s: if number == 0 { greedy_per_s } else { per_s },
        priority: 2,
    };
    (0..count).map(one).collect()
}

fn least_share(results: &[Outcomes]) -> f64 {
    results.iter().map(Outcomes::share).fold(1.0, f64::min)
}

// Guards against refusing callers of small workspaces while one workspace sends most requests. One
// of 72 workspaces sends ten times as much as all others together, and the targets can serve a
// quarter of it all. Without an order, only a quarter of the others' requests are served; in fair
// order, all are.
#[test]
fn a_workspace_that_sends_ten_times_as_much_as_all_others_does_not_starve_them() {
    let senders = senders(72, 1, 710);
    let slots_per_tick = 4;

    let without = simulate(&senders, slots_per_tick, false);
    let with = simulate(&senders, slots_per_tick, true);

    assert!(least_share(&without[1..]) < 0.5, "least share {}", least_share(&without[1..]));
    assert!(least_share(&with[1..]) > 0.9, "least share {}", least_share(&with[1..]));
    let served = |results: &[Outcomes]| results.iter().map(|result| result.served).sum::<u64>();
    assert!(served(&with) * 100 >= served(&without) * 98, "fairness leaves no slot empty");
}

// Guards against workspaces that get much less than the mean (less than a quarter of it) while one
// of 72 sends ten times its share and the targets can serve half of all requests. Nine tenths of
// the mean are required.
#[test]
fn a_workspace_that_sends_ten_times_its_share_leaves_others_their_share() {
    let senders = senders(72, 5, 50);

    let results = simulate(&senders, 4, true);

    let (served, all) = results.iter().fold((0, 0), |(served, all), result| {
        (served + result.served, all + result.served + result.refused)
    });
    let mean = served as f64 / all as f64;
    assert!(
        least_share(&results[1..]) >= mean * 0.9,
        "least share {}, mean {mean}",
        least_share(&results[1..])
    );
}

// Guards against urgent requests that wait behind others, and against starving the others. An
// urgent and a less urgent workspace each send more than the targets can serve.
#[test]
fn the_more_urgent_workspace_is_served_more_often_and_the_other_is_served_too() {
    let sender = |name: &str, priority| Sender { name: name.to_owned(), per_s: 100, priority };
    let senders = [sender("urgent", 0), sender("relaxed", 2)];

    let results = simulate(&senders, 2, true);

    assert!(results[0].share() > 0.7, "share of the urgent workspace {}", results[0].share());
    assert!(results[1].share() > 0.15, "share of the other workspace {}", results[1].share());
}

#[test]
fn a_single_waiting_request_is_due_at_once() {
    let mut queue = WaitQueue::default();
    let id = queue.enqueue(UnixMs(5), None, 9);

    assert!(queue.is_due(UnixMs(5), id));
}

proptest! {
    #[test]
    fn some_request_is_always_due(
        waits in prop::collection::vec((0_u8..5, 0_u32..12, 0_u64..100, any::<bool>()), 1..30),
    ) {
        let mut queue = WaitQueue::default();
        let mut held: IndexMap<WaiterId, ()> = IndexMap::new();
        for (workspace, priority, since, leaves) in waits {
            let name = format!("w{workspace}");
            let id = queue.enqueue(UnixMs(since), Some(&name), priority);
            held.insert(id, ());
            if leaves && held.len() > 1 {
                queue.remove(id);
                held.swap_remove(&id);
                queue.record_served(UnixMs(since), Some(&name));
            }
        }

        let due = held.keys().filter(|id| queue.is_due(UnixMs(200), **id)).count();

        prop_assert_eq!(due, held.len().div_ceil(2).min(4));
    }
}
