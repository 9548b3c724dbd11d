//! Placement of runs on targets, and moves from slow targets to faster ones.

use super::start_run;
use crate::batches::LocalBatch;
use crate::clock;
use crate::forward::ChosenTarget;
use crate::metrics::count;
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_dispatch::{Candidate, LoadBalancer, NextItem, Submission, TargetEntry};
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

/// The targets assigned to a batch's model, by service. They are computed once in each pass over a
/// batch: computed for each item, they took a third of an owner's processor time.
#[derive(Debug, Default)]
pub(super) struct ModelTargets(IndexMap<String, Option<IndexSet<String>>>);

impl ModelTargets {
    /// Returns the ids of a service's targets for the model; none if the batch names no model.
    fn of<P: Platform>(
        &mut self,
        node: &Node<P>,
        service: &str,
        submission: &Submission,
    ) -> Option<&IndexSet<String>> {
        if !self.0.contains_key(service) {
            let model_targets = submission.model.as_ref().map(|model| {
                let (targets, versions) = (node.targets.borrow(), node.versions.borrow());
                let demand = node.demand.borrow();
                let oldest = submission.oldest_version;
                let ids = targets.for_model(service, model, oldest, &versions, &demand);
                ids.into_iter().map(str::to_owned).collect()
            });
            self.0.insert(service.to_owned(), model_targets);
        }
        self.0[service].as_ref()
    }

    /// Returns the recent latency of the fastest of the targets computed so far; 0 if there are
    /// none.
    fn fastest_ms(&self, load: &LoadBalancer) -> u64 {
        load.fastest_ms(self.0.values().flatten().flatten().map(String::as_str))
    }
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
    let mut model_targets = ModelTargets::default();
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
        if let Some(faster) = faster_target(node, local, index, &target, &mut model_targets) {
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
    model_targets: &mut ModelTargets,
) -> Option<ChosenTarget> {
    if let Some(left_ms) = time_left_if_evacuated(node, local, index, target) {
        if left_ms < MOVED_RUN_EXPECTED_MS {
            return None;
        }
        let (id, address) = pick_free(node, local, index, left_ms, model_targets)?;
        return Some(ChosenTarget { address, id });
    }
    // Most runs are on targets of normal speed; a free target is searched only for the others, and
    // for the first run of a pass, when no latencies are known yet.
    let (current_ms, fastest_ms) = {
        let load = node.balancer.borrow();
        (load.latency_ms(target), model_targets.fastest_ms(&load))
    };
    if current_ms * 10 < fastest_ms * MOVE_MIN_RATIO_TENTHS {
        return None;
    }
    let (id, address) = pick_free(node, local, index, MOVED_RUN_EXPECTED_MS, model_targets)?;
    let candidate_ms = node.balancer.borrow().latency_ms(&id);
    (candidate_ms > 0 && current_ms * 10 >= candidate_ms * MOVE_MIN_RATIO_TENTHS)
        .then_some(ChosenTarget { address, id })
}

pub(super) fn choose<P: Platform>(
    node: &Rc<Node<P>>,
    local: &RefCell<LocalBatch>,
    next: &NextItem,
    model_targets: &mut ModelTargets,
) -> Option<ChosenTarget> {
    let run_ms = {
        let local = local.borrow();
        let item = &local.batch.submission().items[next.index];
        node.expected_run_ms(item, next.progress.last_event_id)
    };
    pick_free(node, local, next.index, run_ms, model_targets)
        .map(|(id, address)| ChosenTarget { address, id })
}

/// Chooses a target with a free slot and new enough weights, preferably the one on which the item's
/// group ran.
fn pick_free<P: Platform>(
    node: &Rc<Node<P>>,
    local: &RefCell<LocalBatch>,
    index: usize,
    run_ms: u64,
    model_targets: &mut ModelTargets,
) -> Option<(String, SocketAddr)> {
    let local = local.borrow();
    let submission = local.batch.submission();
    let item = &submission.items[index];
    let document = node.document()?;
    let host = local.origin().host.as_str();
    let route = document.route(host, &item.path)?;
    let service = route.service(xxhash_rust::xxh3::xxh3_64(item.id.as_bytes()))?;
    let preferred = item.group.as_ref().and_then(|group| local.group_targets.get(group));
    let random = node.random_u64();
    let oldest = submission.oldest_version;
    let model_targets = model_targets.of(node, service, submission);
    let fits = |entry: &TargetEntry| {
        submission.model.as_ref().is_none_or(|model| entry.serves(model, oldest))
    };
    node.pick(service, fits, |load, now, candidates| {
        let is_model_target =
            |candidate: &&Candidate<'_>| model_targets.is_none_or(|ids| ids.contains(candidate.id));
        let model_candidates: Vec<Candidate<'_>> =
            candidates.iter().filter(is_model_target).copied().collect();
        // If all targets of the model are backing off, use the others rather than none.
        let all_back_off =
            model_candidates.iter().all(|candidate| load.is_unavailable(now, candidate.id));
        let from = if all_back_off { candidates } else { &model_candidates };
        let preferred = preferred.map(String::as_str);
        load.choose_with_free_slot(now, from, preferred, run_ms, random)
            .map(|candidate| candidate.id.to_owned())
    })
}
