//! Runs the items of batches: scheduling, placement, streams and scoring.

mod placement;
mod score;
mod second;
mod stream;

pub(crate) use placement::ModelTargets;
pub(crate) use second::SecondRuns;

use crate::batches::{LocalBatch, Run};
use crate::clock;
use crate::forward::{ChosenTarget, InFlight};
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_dispatch::{ItemResult, ItemState, NextItem};
use catkinmast_model::UnixMs;
use indexmap::IndexSet;
use placement::{choose, move_slow_runs, service_of, service_of_split};
use score::start_scoring;
use second::start_second_runs;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use stream::run_item;
use tokio::time::timeout;

/// How often waiting items are scheduled again without being woken: a target's backoff ends, or
/// another owner's items free a slot.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(100);
/// How long an item waits after a run of it failed, before it may run again.
const FAILED_RETRY_PAUSE_MS: u64 = 50;
/// The longest wait after a run failed: the wait doubles with each run in a row that brought no event.
/// It bounds how often an item meets targets that crash, and is short beside a step.
const FAILED_RETRY_PAUSE_MAX_MS: u64 = 800;
/// How long an item waits after a target refused it for load, before it may run again.
const OVERLOADED_RETRY_PAUSE_MS: u64 = 20;

/// Starts and moves runs as targets become free, until the process ends.
pub(crate) async fn schedule<P: Platform>(node: Rc<Node<P>>) {
    loop {
        if node.batches.to_run().is_empty() {
            node.work.notified().await;
        } else {
            // After a time-out too, the batches are checked.
            drop(timeout(SCHEDULE_INTERVAL, node.work.notified()).await);
        }
        if node.leaving.get() {
            continue;
        }
        for local in node.batches.to_run() {
            start_items(&node, &local);
            move_slow_runs(&node, &local);
        }
        start_second_runs(&node);
    }
}

fn start_items<P: Platform>(node: &Rc<Node<P>>, local: &Rc<RefCell<LocalBatch>>) {
    let now = clock::now();
    let given_up = local.borrow_mut().batch.expire(now);
    if given_up > 0 {
        let local = local.borrow();
        node.note("items_given_up", json!({ "request": local.id, "items": given_up }));
        local.results_pending.notify_one();
    }
    // A complete text needs no engine, so it does not wait for one.
    while let Some(next) = next_complete_item(local, now) {
        start_scoring(node, local, next);
    }
    let mut full_services = IndexSet::new();
    while let Some(next) = next_item(node, local, now, &full_services) {
        if let Some(chosen) = choose(node, local, &next) {
            start_run(node, local, next, chosen);
            continue;
        }
        let split_service = service_of_split(node, local, next.index);
        local.borrow_mut().batch.put_back(next.index, now, next.progress);
        let Some(full) = split_service else { return };
        full_services.insert(full);
    }
}

fn next_complete_item(local: &RefCell<LocalBatch>, now: UnixMs) -> Option<NextItem> {
    local.borrow_mut().batch.next_item_where(now, |_, progress| progress.complete)
}

/// Takes the next item whose service is not one of those without a free target. Otherwise an item of
/// a service without targets would hold back all shorter items of its batch.
fn next_item<P: Platform>(
    node: &Node<P>,
    local: &RefCell<LocalBatch>,
    now: UnixMs,
    full_services: &IndexSet<String>,
) -> Option<NextItem> {
    let mut local = local.borrow_mut();
    if full_services.is_empty() {
        return local.batch.next_item(now);
    }
    let document = node.document()?;
    let host = local.origin().host.clone();
    local.batch.next_item_where(now, |item, _| {
        let service = document.route(&host, &item.path).and_then(|route| service_of(route, item));
        service.is_some_and(|service| !full_services.contains(service))
    })
}

fn start_run<P: Platform>(
    node: &Rc<Node<P>>,
    local: &Rc<RefCell<LocalBatch>>,
    next: NextItem,
    chosen: ChosenTarget,
) {
    let group = local.borrow().batch.submission().items[next.index].group.clone();
    if let Some(group) = group {
        local.borrow_mut().group_targets.insert(group, chosen.id.clone());
    }
    let NextItem { index, progress } = next;
    let run_ms = {
        let local = local.borrow();
        let item = &local.batch.submission().items[index];
        node.expected_run_ms(item, progress.last_event_id)
    };
    let in_flight = InFlight::begin_run(node, &chosen.id, clock::now().plus(run_ms));
    let progress = Rc::new(RefCell::new(progress));
    let target = chosen.id.clone();
    let shared = Rc::clone(&progress);
    let run = run_item(Rc::clone(node), Rc::clone(local), index, shared, chosen, in_flight);
    let task = tokio::task::spawn_local(run).abort_handle();
    let run = Run { started_at: clock::now(), progress, scoring: false, target, task };
    local.borrow_mut().runs.insert(index, run);
}

fn finish<P: Platform>(node: &Node<P>, local: &RefCell<LocalBatch>, result: ItemResult) {
    let mut local = local.borrow_mut();
    let now = clock::now();
    let ms = now.since_ms(local.accepted_at);
    node.metrics.item_seconds.observe(ms as f64 / 1_000.0);
    if result.state == ItemState::Errored {
        local.note_failure();
    }
    local.batch.record_result(now, result);
    local.results_pending.notify_one();
}
