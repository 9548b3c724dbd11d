//! Runs the items of batches: which next, where, what their streams say, and their scores.

use crate::batches::{Held, Run};
use crate::clock;
use crate::forward::{self, Chosen, InFlight, Outgoing};
use crate::metrics::count;
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_dispatch::{
    EventReader, Item, ItemResult, ItemState, Load, NextItem, Outcome, Pick, Progress, Reward,
    Submission, TargetEntry,
};
use catkinmast_model::UnixMs;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use indexmap::{IndexMap, IndexSet};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How often waiting items are looked at again although nothing was heard: a target's rest ends,
/// another owner's items leave a slot.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How long an item waits after a run of it failed.
const FAILED_PAUSE_MS: u64 = 50;
/// How long an item waits after a target refused it for load.
const FULL_PAUSE_MS: u64 = 20;
/// The longest wait for a run's first event: a prompt is read in some milliseconds, and a target
/// that loads refuses at once.
const FIRST_EVENT_MAX: Duration = Duration::from_millis(1_200);
/// The longest silence within a stream. Over a day of 3,000 runs, with targets four times slower
/// among them, the longest silence of a live target was 266 ms. A text that moves for nothing costs
/// a prompt that is read again.
const SILENCE_MAX: Duration = Duration::from_millis(700);
/// How long a run may take that its caller has not bounded.
const RUN_MAX_MS: u64 = 30_000;
/// A run stays where it is for this long: by then its target's pace is known.
const MOVE_AFTER_MS: u64 = 300;
/// A run moves from a target that takes at least this many tenths of the time of the free one; the
/// way of a move costs about as much as one event.
const MOVE_FROM_TENTHS: u64 = 18;
/// Runs moved in one look. A target of eight slots that turns slow is emptied in one, and the
/// moves of several do not hold up a small machine's other work for longer than an event.
const MOVES_AT_ONCE: usize = 12;
/// How long one scoring call may take.
const SCORE_MAX_MS: u64 = 3_000;
/// Pause between two tries of a scoring call; doubled up to [`SCORE_PAUSE_MAX_MS`].
const SCORE_PAUSE_MS: u64 = 30;
const SCORE_PAUSE_MAX_MS: u64 = 500;

/// How a run ended.
#[derive(Debug)]
enum RunEnd {
    /// The target's answer says that the item failed.
    Failed,
    /// The item can never be done.
    Impossible,
    /// It broke off; another target can go on from the text so far.
    Broken { outcome: Outcome, why: String },
    /// The text is whole.
    Whole,
}

/// Starts items as targets become free, until the process ends.
pub(crate) async fn schedule<P: Platform>(node: Rc<Node<P>>) {
    loop {
        let open = node.batches.open();
        if open.is_empty() {
            node.work.notified().await;
        } else {
            // Either way the batches are looked at.
            drop(timeout(LOOK_EVERY, node.work.notified()).await);
        }
        if node.leaving.get() {
            continue;
        }
        for held in node.batches.open() {
            start_items(&node, &held);
            move_slow_runs(&node, &held);
        }
    }
}

/// The targets that are kept current for a batch's model, by service. They are worked out once in a
/// look at a batch: worked out for each item, they took a third of an owner's processor time.
#[derive(Debug, Default)]
struct OwnTargets(IndexMap<String, Option<IndexSet<String>>>);

impl OwnTargets {
    /// Returns the ids of a service's own targets; none where the batch names no model.
    fn of<P: Platform>(
        &mut self,
        node: &Node<P>,
        service: &str,
        submission: &Submission,
    ) -> Option<&IndexSet<String>> {
        if !self.0.contains_key(service) {
            let own = submission.model.as_ref().map(|model| {
                let (targets, versions) = (node.targets.borrow(), node.versions.borrow());
                let demand = node.demand.borrow();
                let oldest = submission.oldest_version;
                let ids = targets.for_model(service, model, oldest, &versions, &demand);
                ids.into_iter().map(str::to_owned).collect()
            });
            self.0.insert(service.to_owned(), own);
        }
        self.0[service].as_ref()
    }

    /// Returns the recent latency of the fastest of those that were asked for; 0 where none was.
    fn fastest_ms(&self, load: &Load) -> u64 {
        load.fastest_ms(self.0.values().flatten().flatten().map(String::as_str))
    }
}

fn start_items<P: Platform>(node: &Rc<Node<P>>, held: &Rc<RefCell<Held>>) {
    let now = clock::now();
    let mut own = OwnTargets::default();
    let given_up = held.borrow_mut().batch.expire(now);
    if given_up > 0 {
        let held = held.borrow();
        node.note("items_given_up", json!({ "request": held.id, "items": given_up }));
        held.finished.notify_one();
    }
    loop {
        let Some(next) = held.borrow_mut().batch.next_item(now) else { return };
        if next.progress.whole {
            start_scoring(node, held, next);
            continue;
        }
        let Some(chosen) = choose(node, held, &next, &mut own) else {
            held.borrow_mut().batch.put_back(next.index, now, next.progress);
            return;
        };
        start_run(node, held, next, chosen);
    }
}

fn start_run<P: Platform>(
    node: &Rc<Node<P>>,
    held: &Rc<RefCell<Held>>,
    next: NextItem,
    chosen: Chosen,
) {
    let group = held.borrow().batch.submission().items[next.index].group.clone();
    if let Some(group) = group {
        held.borrow_mut().group_targets.insert(group, chosen.id.clone());
    }
    let in_flight = InFlight::begin(node, &chosen.id);
    let NextItem { index, progress } = next;
    let progress = Rc::new(RefCell::new(progress));
    let target = chosen.id.clone();
    let shared = Rc::clone(&progress);
    let run = run_item(Rc::clone(node), Rc::clone(held), index, shared, chosen, in_flight);
    let task = tokio::task::spawn_local(run).abort_handle();
    let run = Run { began_at: clock::now(), progress, scoring: false, target, task };
    held.borrow_mut().runs.insert(index, run);
}

/// Scores an item whose whole text an earlier run has left.
fn start_scoring<P: Platform>(node: &Rc<Node<P>>, held: &Rc<RefCell<Held>>, next: NextItem) {
    let NextItem { index, progress } = next;
    let text = progress.clone();
    let (node, shared) = (Rc::clone(node), Rc::clone(held));
    let task = tokio::task::spawn_local(async move {
        let item = shared.borrow().batch.submission().items[index].clone();
        score_item(&node, &shared, index, &item, text).await;
        shared.borrow_mut().runs.swap_remove(&index);
    });
    let run = Run {
        began_at: clock::now(),
        progress: Rc::new(RefCell::new(progress)),
        scoring: true,
        target: String::new(),
        task: task.abort_handle(),
    };
    held.borrow_mut().runs.insert(index, run);
}

/// Moves runs from slow targets to free fast ones once nothing waits: a group is complete with its
/// slowest item, and a text goes on elsewhere from its last event for some milliseconds of reading.
///
/// A run is started at the free target as soon as it has stopped. Put back to wait for the next
/// look, several runs left slow targets for one free slot, and all but one went back to where they
/// had been: some moved every 300 ms and generated nothing.
fn move_slow_runs<P: Platform>(node: &Rc<Node<P>>, held: &Rc<RefCell<Held>>) {
    if held.borrow().batch.has_waiting() {
        return;
    }
    let now = clock::now();
    let mut own = OwnTargets::default();
    let old: Vec<(usize, String)> = held
        .borrow()
        .runs
        .iter()
        .filter(|(_, run)| !run.scoring && now.since_ms(run.began_at) >= MOVE_AFTER_MS)
        .map(|(index, run)| (*index, run.target.clone()))
        .collect();
    let mut moves = 0;
    for (index, target) in old {
        if moves >= MOVES_AT_ONCE {
            return;
        }
        if let Some(faster) = faster_target(node, held, index, &target, &mut own) {
            move_run(node, held, index, &target, faster);
            moves += 1;
        }
    }
}

fn move_run<P: Platform>(
    node: &Rc<Node<P>>,
    held: &Rc<RefCell<Held>>,
    index: usize,
    from: &str,
    faster: Chosen,
) {
    let next = {
        let mut held = held.borrow_mut();
        let item = held.batch.submission().items[index].id.clone();
        let line = json!({ "request": item, "batch": held.id, "from": from, "to": faster.id });
        node.note("item_moved", line);
        held.stop_run(index);
        held.batch.take_item(index)
    };
    count(&node.metrics.item_runs, "moved");
    if let Some(next) = next {
        start_run(node, held, next, faster);
    }
}

/// Returns a free target that is worth the move of a run.
fn faster_target<P: Platform>(
    node: &Rc<Node<P>>,
    held: &RefCell<Held>,
    index: usize,
    target: &str,
    own: &mut OwnTargets,
) -> Option<Chosen> {
    // Most runs are at targets like any other; a free one is looked for only for the rest.
    let (here_ms, fastest_ms) = {
        let load = node.load.borrow();
        (load.latency_ms(target), own.fastest_ms(&load))
    };
    if here_ms * 10 < fastest_ms * MOVE_FROM_TENTHS {
        return None;
    }
    let (id, address) = pick_free(node, held, index, own)?;
    let there_ms = node.load.borrow().latency_ms(&id);
    (there_ms > 0 && here_ms * 10 >= there_ms * MOVE_FROM_TENTHS).then_some(Chosen { address, id })
}

fn choose<P: Platform>(
    node: &Rc<Node<P>>,
    held: &RefCell<Held>,
    next: &NextItem,
    own: &mut OwnTargets,
) -> Option<Chosen> {
    pick_free(node, held, next.index, own).map(|(id, address)| Chosen { address, id })
}

/// Chooses a target with a free slot whose weights are new enough.
fn pick_free<P: Platform>(
    node: &Rc<Node<P>>,
    held: &RefCell<Held>,
    index: usize,
    own: &mut OwnTargets,
) -> Option<(String, SocketAddr)> {
    let held = held.borrow();
    let submission = held.batch.submission();
    let item = &submission.items[index];
    let document = node.document()?;
    let (host, _) = held.origin();
    let route = document.route(host, &item.path)?;
    let service = route.service(xxhash_rust::xxh3::xxh3_64(item.id.as_bytes()))?;
    let preferred = item.group.as_ref().and_then(|group| held.group_targets.get(group));
    let draw = node.draw();
    let oldest = submission.oldest_version;
    let own = own.of(node, service, submission);
    let fits = |entry: &TargetEntry| {
        submission.model.as_ref().is_none_or(|model| entry.serves(model, oldest))
    };
    node.pick(service, fits, |load, now, picks| {
        let is_own = |pick: &&Pick<'_>| own.is_none_or(|ids| ids.contains(pick.id));
        let own_picks: Vec<Pick<'_>> = picks.iter().filter(is_own).copied().collect();
        // Where all of its own fail or refuse, the others serve rather than none.
        let all_rest = own_picks.iter().all(|pick| load.rests(now, pick.id));
        let from = if all_rest { picks } else { &own_picks };
        let preferred = preferred.map(String::as_str);
        load.choose_free(now, from, preferred, draw).map(|pick| pick.id.to_owned())
    })
}

async fn run_item<P: Platform>(
    node: Rc<Node<P>>,
    held: Rc<RefCell<Held>>,
    index: usize,
    progress: Rc<RefCell<Progress>>,
    chosen: Chosen,
    in_flight: InFlight<P>,
) {
    let began_at = clock::now();
    let resumed_after = progress.borrow().last_event_id;
    let item = held.borrow().batch.submission().items[index].clone();
    let longest_gap_ms = Cell::new(0);
    let end = run(&node, &held, &item, &progress, &chosen, &longest_gap_ms).await;
    let text = progress.borrow().clone();
    let outcome = match &end {
        RunEnd::Whole | RunEnd::Failed | RunEnd::Impossible => Outcome::Cancelled,
        RunEnd::Broken { outcome, .. } => *outcome,
    };
    in_flight.end(outcome);
    let (label, why) = match &end {
        RunEnd::Whole => ("whole", ""),
        RunEnd::Failed => ("failed", ""),
        RunEnd::Impossible => ("impossible", ""),
        RunEnd::Broken { why, .. } => ("broken", why.as_str()),
    };
    count(&node.metrics.item_runs, label);
    node.note(
        "item_run",
        json!({
            "request": item.id, "batch": held.borrow().id, "target": chosen.id, "outcome": label,
            "why": why, "versions": text.versions, "resumed_after": resumed_after,
            "last_event": text.last_event_id, "longest_gap_ms": longest_gap_ms.get(),
            "ms": clock::now().since_ms(began_at),
        }),
    );
    match end {
        RunEnd::Whole => {
            if let Some(run) = held.borrow_mut().runs.get_mut(&index) {
                run.scoring = true;
            }
            score_item(&node, &held, index, &item, text).await;
        }
        RunEnd::Broken { outcome, .. } => {
            let pause_ms = if outcome == Outcome::Full { FULL_PAUSE_MS } else { FAILED_PAUSE_MS };
            let from = clock::now().plus(pause_ms);
            held.borrow_mut().batch.put_back(index, from, text);
        }
        RunEnd::Impossible => finish(&node, &held, ItemResult::errored(item.id)),
        RunEnd::Failed => {
            if held.borrow_mut().batch.failed(index) {
                finish(&node, &held, ItemResult::errored(item.id));
            } else {
                let from = clock::now().plus(FAILED_PAUSE_MS);
                held.borrow_mut().batch.put_back(index, from, Progress::default());
            }
        }
    }
    held.borrow_mut().runs.swap_remove(&index);
    node.work.notify_one();
}

fn finish<P: Platform>(node: &Node<P>, held: &RefCell<Held>, result: ItemResult) {
    let mut held = held.borrow_mut();
    let now = clock::now();
    let ms = now.since_ms(held.accepted_at);
    node.metrics.item_seconds.observe(ms as f64 / 1_000.0);
    held.batch.finished(now, result);
    held.finished.notify_one();
}

fn outgoing(item: &Item, host: &str, give_up_at: UnixMs, after: Option<u64>) -> Outgoing {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    if let Ok(host) = HeaderValue::from_str(host) {
        headers.insert(HOST, host);
    }
    forward::strip_hop_by_hop(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    Outgoing {
        body: item.body.clone().into(),
        deadline_at: give_up_at.min(clock::now().plus(RUN_MAX_MS)),
        headers,
        last_event_id: after,
        method: Method::POST,
        path: item.path.clone(),
        request_id: Some(item.id.clone()),
    }
}

async fn run<P: Platform>(
    node: &Rc<Node<P>>,
    held: &RefCell<Held>,
    item: &Item,
    progress: &Rc<RefCell<Progress>>,
    chosen: &Chosen,
    longest_gap_ms: &Cell<u64>,
) -> RunEnd {
    let (request, oldest_version, model) = {
        let held = held.borrow();
        let give_up_at = held.batch.terms().give_up_at;
        let request = outgoing(item, held.origin().0, give_up_at, progress.borrow().last_event_id);
        let submission = held.batch.submission();
        (request, submission.oldest_version, submission.model.clone())
    };
    let broken = |why: &str, outcome| RunEnd::Broken { outcome, why: why.to_owned() };
    let opened = match timeout(FIRST_EVENT_MAX, forward::open(node, chosen, &request)).await {
        Ok(Ok(opened)) => opened,
        Ok(Err(error)) => return broken(&error.message, Outcome::Failed),
        Err(_) => return broken("no head in time", Outcome::Failed),
    };
    let (response, connection, marks) = opened;
    let (parts, body) = response.into_parts();
    if let Some(refusal) = forward::refusal(parts.status, &marks) {
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            let change = node.targets.borrow_mut().refused(&chosen.id);
            node.target_changed(&change, "another target answered at its address");
        }
        if crate::pool::read_whole(body, forward::HELD_MAX_BYTES).await.is_ok() {
            node.pool.keep(connection, &parts.headers);
        }
        return broken(&refusal.message, Outcome::Full);
    }
    match parts.status {
        StatusCode::UNPROCESSABLE_ENTITY => return RunEnd::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => {
            if crate::pool::read_whole(body, forward::HELD_MAX_BYTES).await.is_ok() {
                node.pool.keep(connection, &parts.headers);
            }
            return RunEnd::Failed;
        }
        status if !status.is_success() => {
            return broken(&format!("answered {status}"), Outcome::Failed);
        }
        _ => {}
    }
    if marks.signature.is_none() || marks.request_id.is_none() {
        return broken("an answer without a target's signature", Outcome::Failed);
    }
    let progress = Rc::clone(progress);
    let mut stream = TokenStream {
        body,
        longest_gap_ms: 0,
        model,
        oldest_version,
        progress,
        version: marks.version,
    };
    let read = stream.read(node, chosen).await;
    longest_gap_ms.set(stream.longest_gap_ms);
    match read {
        Ok(()) => {
            node.pool.keep(connection, &parts.headers);
            stream.progress.borrow_mut().whole = true;
            RunEnd::Whole
        }
        Err(why) => broken(&why, Outcome::Failed),
    }
}

/// The events of one run.
struct TokenStream {
    body: Incoming,
    longest_gap_ms: u64,
    model: Option<String>,
    oldest_version: u64,
    progress: Rc<RefCell<Progress>>,
    version: Option<u64>,
}

impl TokenStream {
    /// Reads events until the stream's end; an error says why it is not whole.
    async fn read<P: Platform>(&mut self, node: &Node<P>, chosen: &Chosen) -> Result<(), String> {
        let mut events = EventReader::default();
        let mut max = FIRST_EVENT_MAX;
        let mut last_at = clock::now();
        let mut first = true;
        loop {
            let frame = match timeout(max, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(error.to_string()),
                Ok(None) if events.is_between_events() => return Ok(()),
                Ok(None) => return Err("the stream ended within an event".to_owned()),
                Err(_) => return Err(format!("silent for {} ms", max.as_millis())),
            };
            let Some(data) = frame.data_ref() else { continue };
            for event in events.read(data) {
                self.take::<P>(node, chosen, &event)?;
            }
            let now = clock::now();
            if !first {
                let gap_ms = now.since_ms(last_at);
                self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
                node.load.borrow_mut().paced(&chosen.id, gap_ms);
            }
            first = false;
            last_at = now;
            max = SILENCE_MAX;
        }
    }

    fn take<P: Platform>(
        &mut self,
        node: &Node<P>,
        chosen: &Chosen,
        event: &catkinmast_dispatch::StreamEvent,
    ) -> Result<(), String> {
        if let Some(version) = P::event_version(event) {
            self.version = Some(version);
        }
        let mut progress = self.progress.borrow_mut();
        let expected = progress.last_event_id.map(|last| last + 1);
        if expected.is_some() && event.id.is_some() && event.id != expected {
            return Err(format!("event {:?} where {expected:?} is due", event.id));
        }
        if let Some(version) = self.version {
            if let Some(model) = &self.model {
                node.targets.borrow_mut().version_seen(&chosen.id, model, version);
            }
            if version < self.oldest_version {
                return Err(format!("version {version} is older than {}", self.oldest_version));
            }
            progress.note_version(version);
        }
        progress.push(&event.data, event.id);
        Ok(())
    }
}

/// Scores an item whose text is whole, and takes its result.
async fn score_item<P: Platform>(
    node: &Rc<Node<P>>,
    held: &RefCell<Held>,
    index: usize,
    item: &Item,
    progress: Progress,
) {
    let score = match &item.reward {
        None => None,
        Some(reward) => match score(node, held, reward).await {
            Some(score) => Some(score),
            None => return finish(node, held, ItemResult::errored(&*item.id)),
        },
    };
    let single = held.borrow().batch.terms().single_version;
    if single && progress.versions.len() > 1 {
        let from = clock::now();
        held.borrow_mut().batch.put_back(index, from, Progress::default());
        return;
    }
    let result = ItemResult {
        id: item.id.clone(),
        score,
        state: ItemState::Completed,
        text: progress.text,
        versions: progress.versions,
    };
    finish(node, held, result);
}

/// Repeats a scoring call under the same id until it is answered; none when it has failed as
/// often as it may.
async fn score<P: Platform>(
    node: &Rc<Node<P>>,
    held: &RefCell<Held>,
    reward: &Reward,
) -> Option<String> {
    let attempts = held.borrow().batch.terms().attempts;
    let mut failures = 0;
    let mut pause_ms = SCORE_PAUSE_MS;
    let mut tried: Vec<String> = Vec::new();
    loop {
        let chosen = node.document().and_then(|document| {
            let route = document.route(&reward.host, &reward.path)?;
            let service = route.service(node.draw())?;
            crate::caller::choose(node, service, &tried)
        });
        if let Some(chosen) = chosen {
            match forward::attempt(node, &chosen, &score_request(reward)).await {
                Ok(answer) if answer.status.is_success() => return answer.marks.signature,
                Ok(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR => {
                    failures += 1;
                    let line =
                        json!({ "request": reward.id, "target": chosen.id, "failures": failures });
                    node.note("score_failed", line);
                    if failures >= attempts {
                        return None;
                    }
                }
                Ok(answer) => {
                    let status = answer.status.as_u16();
                    node.note("score_refused", json!({ "request": reward.id, "status": status }));
                }
                // Its line is written by the attempt.
                Err(_) => {}
            }
            tried = vec![chosen.id];
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(SCORE_PAUSE_MAX_MS);
    }
}

fn score_request(reward: &Reward) -> Outgoing {
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(&reward.host) {
        headers.insert(HOST, host);
    }
    Outgoing {
        body: reward.body.clone().into(),
        deadline_at: clock::now().plus(SCORE_MAX_MS),
        headers,
        last_event_id: None,
        method: Method::POST,
        path: reward.path.clone(),
        request_id: Some(reward.id.clone()),
    }
}
