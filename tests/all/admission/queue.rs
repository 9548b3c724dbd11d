//! The queue of requests that wait for a service: fair between workspaces, then by deadline.

use catkinmast_admission::{RecentService, ServedRecord, WaitQueue, Waiter, WaiterId};
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
    since: u64,
    waiter: Waiter,
    workspace: usize,
}

fn waiter(queue: &WaitQueue, deadline_at: u64, workspace: Option<&str>, priority: u32) -> Waiter {
    Waiter {
        deadline_at: UnixMs(deadline_at),
        goal_at: UnixMs(deadline_at),
        id: queue.next_id(),
        is_retry: false,
        priority,
        route: "lookups".to_owned(),
        workspace: workspace.map(str::to_owned),
    }
}

/// Simulates a node whose targets have `slots_per_tick` free slots every [`TICK_MS`]. Waiting
/// requests take them in a seeded random order; with `is_fair`, only those of a round may.
fn simulate(senders: &[Sender], slots_per_tick: usize, is_fair: bool) -> Vec<Outcomes> {
    let mut queue = WaitQueue::default();
    let mut served = ServedRecord::default();
    let mut waiting: Vec<Request> = Vec::new();
    let mut results: Vec<Outcomes> = senders.iter().map(|_| Outcomes::default()).collect();
    let mut seed = 7_u64;
    for now_ms in (0..20_000).step_by(TICK_MS as usize) {
        let now = UnixMs(now_ms);
        for (workspace, sender) in senders.iter().enumerate() {
            let before = now_ms * sender.per_s / 1_000;
            let after = (now_ms + TICK_MS) * sender.per_s / 1_000;
            for _ in before..after {
                let since = now_ms;
                let waiter = waiter(&queue, since, Some(&sender.name), sender.priority);
                queue.enqueue(waiter.clone());
                waiting.push(Request { since, waiter, workspace });
            }
        }
        let mut due: Vec<WaiterId> = if is_fair {
            queue.pop_round(now, &served).iter().map(|waiter| waiter.id).collect()
        } else {
            waiting.iter().map(|request| request.waiter.id).collect()
        };
        let tried = due.clone();
        for index in (1..due.len()).rev() {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            due.swap(index, (seed >> 33) as usize % (index + 1));
        }
        due.truncate(slots_per_tick);
        waiting.retain_mut(|request| {
            let id = request.waiter.id;
            let is_served = due.contains(&id);
            let is_over = now_ms - request.since >= WAIT_MAX_MS;
            if is_served {
                served.record_served(now, Some(&senders[request.workspace].name));
                results[request.workspace].served += 1;
            } else if is_over {
                results[request.workspace].refused += 1;
            }
            if is_served || is_over {
                queue.remove(id);
            } else if is_fair && tried.contains(&id) {
                // A request that was tried in vain waits again.
                request.waiter.id = queue.enqueue(request.waiter.clone());
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
fn a_single_waiting_request_is_in_the_next_round() {
    let mut queue = WaitQueue::default();
    let id = queue.enqueue(waiter(&queue, 5, None, 9));

    let due = queue.pop_round(UnixMs(5), &ServedRecord::default());

    assert_eq!(due.iter().map(|waiter| waiter.id).collect::<Vec<_>>(), [id]);
}

proptest! {
    #[test]
    fn some_request_is_in_each_round(
        waits in prop::collection::vec((0_u8..5, 0_u32..12, 0_u64..100, any::<bool>()), 1..30),
    ) {
        let mut queue = WaitQueue::default();
        let mut served = ServedRecord::default();
        let mut held: IndexMap<WaiterId, ()> = IndexMap::new();
        for (workspace, priority, since, leaves) in waits {
            let name = format!("w{workspace}");
            let id = queue.enqueue(waiter(&queue, since, Some(&name), priority));
            held.insert(id, ());
            if leaves && held.len() > 1 {
                queue.remove(id);
                held.swap_remove(&id);
                served.record_served(UnixMs(since), Some(&name));
            }
        }

        let due = queue.pop_round(UnixMs(200), &served);

        prop_assert_eq!(due.len(), held.len().div_ceil(2).min(4));
        prop_assert!(due.iter().all(|waiter| held.contains_key(&waiter.id)));
    }

    // Guards against requests that are lost or sent twice, and against another order than the
    // weight (recent service and priority) and then the earliest deadline.
    #[test]
    fn requests_leave_once_and_in_order_of_weight_and_deadline(
        waits in prop::collection::vec((0_u8..3, 0_u32..4, 0_u64..100), 0..40),
        served_count in 0_u8..4,
    ) {
        let now = UnixMs(200);
        let mut queue = WaitQueue::default();
        let mut served = ServedRecord::default();
        (0..served_count).for_each(|_| served.record_served(now, Some("w0")));
        for (workspace, priority, deadline_at) in &waits {
            let name = format!("w{workspace}");
            queue.enqueue(waiter(&queue, *deadline_at, Some(&name), *priority));
        }

        let mut left = Vec::new();
        while let Some(waiter) = queue.pop(now, &served) {
            left.push(waiter);
        }

        let rank = |waiter: &Waiter| {
            let recent = served.recent_service(now, waiter.workspace.as_deref());
            let weight = (recent + 1.0) * f64::from(waiter.priority).exp2();
            (weight, waiter.deadline_at)
        };
        prop_assert_eq!(left.len(), waits.len());
        for pair in left.windows(2) {
            let in_order = rank(&pair[0]) <= rank(&pair[1]);
            prop_assert!(in_order, "{:?} before {:?}", pair[0], pair[1]);
        }
    }
}
