//! Placement of runs on targets, and moves from slow targets to faster ones.

use super::start_run;
use crate::batches::LocalBatch;
use crate::clock;
use crate::forward::ChosenTarget;
use crate::metrics::count;
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_dispatch::{
    Candidate, Item, LoadBalancer, NextItem, Route, Submission, TargetEntry,
};
use catkinmast_model::UnixMs;
use indexmap::{IndexMap, IndexSet};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The age from which a run may move: by then the latency of its target is known.
const MOVE_MIN_AGE_MS: u64 = 300;
/// A run moves if the latency of its target is at least this many tenths of that of the free one: a
/// move costs about as much time as one event, so a smaller difference does not make up for it.
const MOVE_MIN_RATIO_TENTHS: u64 = 18;
/// The assumed remaining time of a run that is considered for a move. A shorter one stays in an
/// evacuated data centre until it ends.
const MOVED_RUN_EXPECTED_MS: u64 = 2_000;
/// Most runs moved in one pass: enough to move all runs from a target of eight slots that becomes
/// slow, and few enough not to delay other work on a small machine for longer than an event takes.
const MOVES_PER_PASS: usize = 12;

/// How long the targets of a model are used before they are computed again, for each target of the
/// service: the computation takes about a twentieth of that.
const VALID_US_PER_TARGET: u64 = 20;

/// What the targets of a model depend on, besides the table of targets: the service, the model and
/// the oldest version that a batch accepts.
type ModelKey = (String, String, u64);

#[derive(Debug)]
struct ComputedTargets {
    ids: Rc<IndexSet<String>>,
    valid_until: UnixMs,
}

/// The targets assigned to the models of batches. They are computed again after a time that grows
/// with the number of targets: computed for each item, they took a third of an owner's processor
/// time, and computed for each pass, most of it in a fleet of thousands of targets.
#[derive(Debug, Default)]
pub(crate) struct ModelTargets(IndexMap<ModelKey, ComputedTargets>);

/// Returns the ids of a service's targets for the model of a batch; none if it names no model.
fn model_targets<P: Platform>(
    node: &Node<P>,
    service: &str,
    submission: &Submission,
) -> Option<Rc<IndexSet<String>>> {
    let model = submission.model.as_ref()?;
    let now = clock::now();
    let key = (service.to_owned(), model.clone(), submission.oldest_version);
    let mut computed = node.model_targets.borrow_mut();
    if let Some(held) = computed.0.get(&key).filter(|held| held.valid_until > now) {
        return Some(Rc::clone(&held.ids));
    }
    let (targets, versions) = (node.targets.borrow(), node.versions.borrow());
    let demand = node.demand.borrow();
    let ids = targets.for_model(service, model, submission.oldest_version, &versions, &demand);
    let ids: Rc<IndexSet<String>> = Rc::new(ids.into_iter().map(str::to_owned).collect());
    let valid_ms = targets.count(service) as u64 * VALID_US_PER_TARGET / 1_000;
    computed.0.retain(|_, held| held.valid_until > now);
    let held = ComputedTargets { ids: Rc::clone(&ids), valid_until: now.plus(valid_ms) };
    computed.0.insert(key, held);
    Some(ids)
}

/// Moves runs from slow targets to free faster ones once no item waits: a group is complete only
/// with its slowest item, and a run continues elsewhere from its last event at the cost of some
/// milliseconds for reading the prompt.
///
/// Each run starts on the free target as soon as it has stopped. If stopped runs waited for the
/// next pass instead, several would leave slow targets for one free slot, and all but one would go
/// back: some then moved every 300 ms and generated nothing.
pub(super) fn move_slow_runs<P: Platform>(node: &Rc<Node<P>>, local: &Rc<RefCell<LocalBatch>>) {
    if local.borrow().batch.has_waiting() {
        return;
    }
    let now = clock::now();
    let fastest_ms = fastest_ms(node, &local.borrow());
    let old: Vec<(usize, String)> = local
        .borrow()
        .runs
        .iter()
        .filter(|(_, run)| !run.scoring && now.since_ms(run.started_at) >= MOVE_MIN_AGE_MS)
        .map(|(index, run)| (*index, run.target.clone()))
        .collect();
    let mut moves = 0;
    for (index, target) in old {
        if moves >= MOVES_PER_PASS {
            return;
        }
        if let Some(faster) = faster_target(node, local, index, &target, fastest_ms) {
            move_run(node, local, index, &target, faster);
            moves += 1;
        }
    }
}

fn move_run<P: Platform>(
    node: &Rc<Node<P>>,
    local: &Rc<RefCell<LocalBatch>>,
    index: usize,
    from: &str,
    faster: ChosenTarget,
) {
    let next = {
        let mut local = local.borrow_mut();
        let item = local.batch.submission().items[index].id.clone();
        let run = local.runs.get(&index);
        let last_event = run.and_then(|run| run.progress.borrow().last_event_id);
        let ms = run.map(|run| clock::now().since_ms(run.started_at));
        let line = json!({
            "request": item, "batch": local.id, "from": from, "to": faster.id,
            "last_event": last_event, "ms": ms,
        });
        node.note("item_moved", line);
        local.stop_run(index);
        local.batch.take_item(index)
    };
    count(&node.metrics.item_runs, "moved");
    if let Some(next) = next {
        start_run(node, local, next, faster);
    }
}

/// Returns the expected remaining time of a run on a target in an evacuated data centre, in
/// milliseconds; none if the data centre is not evacuated.
fn time_left_if_evacuated<P: Platform>(
    node: &Node<P>,
    local: &RefCell<LocalBatch>,
    index: usize,
    target: &str,
) -> Option<u64> {
    let targets = node.targets.borrow();
    targets.entry(target).filter(|entry| targets.is_evacuated(entry))?;
    let local = local.borrow();
    let last_event = local.runs.get(&index)?.progress.borrow().last_event_id;
    Some(node.expected_run_ms(&local.batch.submission().items[index], last_event))
}

/// Returns a free target that a run is to move to: a faster one, or one outside an evacuated data
/// centre.
fn faster_target<P: Platform>(
    node: &Rc<Node<P>>,
    local: &RefCell<LocalBatch>,
    index: usize,
    target: &str,
    fastest_ms: u64,
) -> Option<ChosenTarget> {
    if let Some(left_ms) = time_left_if_evacuated(node, local, index, target) {
        if left_ms < MOVED_RUN_EXPECTED_MS {
            return None;
        }
        let (id, address) = pick_free(node, local, index, left_ms)?;
        return Some(ChosenTarget { address, id });
    }
    // Most runs are on targets of normal speed; a free target is searched only for the others.
    let current_ms = node.balancer.borrow().latency_ms(target);
    if current_ms * 10 < fastest_ms * MOVE_MIN_RATIO_TENTHS {
        return None;
    }
    let (id, address) = pick_free(node, local, index, MOVED_RUN_EXPECTED_MS)?;
    let candidate_ms = node.balancer.borrow().latency_ms(&id);
    (candidate_ms > 0 && current_ms * 10 >= candidate_ms * MOVE_MIN_RATIO_TENTHS)
        .then_some(ChosenTarget { address, id })
}

pub(super) fn choose<P: Platform>(
    node: &Rc<Node<P>>,
    local: &RefCell<LocalBatch>,
    next: &NextItem,
) -> Option<ChosenTarget> {
    let run_ms = {
        let local = local.borrow();
        let item = &local.batch.submission().items[next.index];
        node.expected_run_ms(item, next.progress.last_event_id)
    };
    pick_free(node, local, next.index, run_ms).map(|(id, address)| ChosenTarget { address, id })
}

/// Returns the service that runs an item, always the same for one item and route.
pub(super) fn service_of<'a>(route: &'a Route, item: &Item) -> Option<&'a str> {
    route.service(xxhash_rust::xxh3::xxh3_64(item.id.as_bytes()))
}

/// Returns the service of an item if its route splits items among several services.
pub(super) fn service_of_split<P: Platform>(
    node: &Node<P>,
    local: &RefCell<LocalBatch>,
    index: usize,
) -> Option<String> {
    let local = local.borrow();
    let item = &local.batch.submission().items[index];
    let document = node.document()?;
    let route = document.route(&local.origin().host, &item.path)?;
    let is_split = route.services.len() > 1;
    service_of(route, item).filter(|_| is_split).map(str::to_owned)
}

/// Chooses a target with a free slot and new enough weights, preferably the one on which the item's
/// group ran.
fn pick_free<P: Platform>(
    node: &Rc<Node<P>>,
    local: &RefCell<LocalBatch>,
    index: usize,
    run_ms: u64,
) -> Option<(String, SocketAddr)> {
    let local = local.borrow();
    let submission = local.batch.submission();
    let item = &submission.items[index];
    let document = node.document()?;
    let host = local.origin().host.as_str();
    let route = document.route(host, &item.path)?;
    let service = service_of(route, item)?;
    let preferred = item.group.as_ref().and_then(|group| local.group_targets.get(group));
    let random = node.random_u64();
    let oldest = submission.oldest_version;
    let fits = |entry: &TargetEntry| {
        submission.model.as_ref().is_none_or(|model| entry.serves(model, oldest))
    };
    let preferred = preferred.map(String::as_str);
    let choose = |load: &LoadBalancer, now: UnixMs, candidates: &[Candidate<'_>]| {
        load.choose_with_free_slot(now, candidates, preferred, run_ms, random)
            .map(|candidate| candidate.id.to_owned())
    };
    let Some(ids) = model_targets(node, service, submission) else {
        return node.pick(service, fits, choose);
    };
    // If all targets of the model are backing off, use the others rather than none.
    let now = clock::now();
    let all_back_off = ids.iter().all(|id| node.balancer.borrow().is_unavailable(now, id));
    if all_back_off {
        return node.pick(service, fits, choose);
    }
    node.pick_among(ids.iter().map(String::as_str), fits, choose)
}

/// Returns the recent latency of the fastest of the targets of a batch's model; 0 if none is known.
fn fastest_ms<P: Platform>(node: &Node<P>, local: &LocalBatch) -> u64 {
    let submission = local.batch.submission();
    let Some(document) = node.document() else { return 0 };
    let services: IndexSet<&str> = submission
        .items
        .first()
        .and_then(|item| document.route(&local.origin().host, &item.path))
        .map(|route| route.services.iter().map(|share| share.service.as_str()).collect())
        .unwrap_or_default();
    let ids = services.iter().filter_map(|service| model_targets(node, service, submission));
    let balancer = node.balancer.borrow();
    let fastest = ids.map(|ids| balancer.fastest_ms(ids.iter().map(String::as_str)));
    fastest.filter(|latency_ms| *latency_ms > 0).min().unwrap_or(0)
}
