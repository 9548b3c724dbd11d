//! A run of an item on a target, and the event stream that it reads.

use super::score::score_item;
use super::{FAILED_RETRY_PAUSE_MAX_MS, FAILED_RETRY_PAUSE_MS, OVERLOADED_RETRY_PAUSE_MS, finish};
use crate::batches::LocalBatch;
use crate::clock;
use crate::crashes::StreamRun;
use crate::forward::{self, AttemptFailure, ChosenTarget, InFlight, OutgoingRequest};
use crate::metrics::count;
use crate::node::Node;
use crate::platform::Platform;
use crate::reading::HeldBytes;
use catkinmast_dispatch::{CallOutcome, EVENT_MAX_BYTES, EventReader, Item, ItemResult, Progress};
use catkinmast_model::{UnixMs, Verdict};
use catkinmast_quarantine::{Fingerprint, RequestSource};
use http::header::{AUTHORIZATION, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Time-out for the head of a run's answer, and again for the first part of its body: reading a
/// prompt takes some milliseconds, and a target that is loading weights refuses at once.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time-out between two events; bytes that complete no event do not count. Over a day of 3,000 runs, some on targets four times slower, the
/// longest gap of a live target was 266 ms. A false time-out costs reading the prompt again.
const EVENT_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest deadline that is announced to a target for a run, also if its batch allows more.
/// Nothing at this node stops a run after it.
const RUN_MAX_MS: u64 = 30_000;
/// Size limit of the output of one run: a page of results has at most a megabyte.
const OUTPUT_MAX_BYTES: usize = 1 << 20;
/// What an event counts at least towards that limit, for the processor time that it takes.
const EVENT_MIN_BYTES: usize = 16;

/// The parameters of a run apart from its item.
#[derive(Clone, Debug)]
pub(super) struct RunSpec {
    pub give_up_at: UnixMs,
    pub host: String,
    pub model: Option<String>,
    /// The oldest weight version that may generate its events.
    pub oldest_version: u64,
    /// The workspace that the item belongs to.
    pub workspace: Option<String>,
}

impl RunSpec {
    /// Returns the parameters of runs of a batch's own items.
    pub(super) fn of(local: &LocalBatch) -> Self {
        let submission = local.batch.submission();
        Self {
            give_up_at: local.batch.policy().give_up_at,
            host: local.origin().host.clone(),
            model: submission.model.clone(),
            oldest_version: submission.oldest_version,
            workspace: local.origin().workspace.clone(),
        }
    }
}

/// The outcome of a run.
#[derive(Debug)]
pub(super) enum RunEnd {
    /// The target answered that the item failed.
    Failed,
    /// The target answered that the item can never be processed.
    Unprocessable,
    /// It was interrupted; another target can continue from the output so far.
    Broken { outcome: CallOutcome, verdict: Verdict, why: String },
    /// The output is complete.
    Complete,
}

pub(super) async fn run_item<P: Platform>(
    node: Rc<Node<P>>,
    local: Rc<RefCell<LocalBatch>>,
    index: usize,
    progress: Rc<RefCell<Progress>>,
    chosen: ChosenTarget,
    in_flight: InFlight<P>,
) {
    let started_at = clock::now();
    let resumed_after = progress.borrow().last_event_id;
    let item = local.borrow().batch.submission().items[index].clone();
    let spec = RunSpec::of(&local.borrow());
    let longest_gap_ms = Cell::new(0);
    let end = run(&node, &spec, &item, &progress, &chosen, &longest_gap_ms).await;
    let output = progress.borrow().clone();
    let outcome = match &end {
        // No failure of the target; the latency of its events is counted in `TokenStream::read`.
        RunEnd::Complete | RunEnd::Failed | RunEnd::Unprocessable => CallOutcome::Cancelled,
        RunEnd::Broken { outcome, .. } => *outcome,
    };
    in_flight.end(outcome);
    let (label, why) = match &end {
        RunEnd::Complete => ("whole", ""),
        RunEnd::Failed => ("failed", ""),
        RunEnd::Unprocessable => ("impossible", ""),
        RunEnd::Broken { why, .. } => ("broken", why.as_str()),
    };
    count(&node.metrics.item_runs, label);
    let fingerprint = (label == "broken").then(|| fingerprint(&item, &spec.host).to_string());
    node.note(
        "item_run",
        json!({
            "request": item.id, "batch": local.borrow().id, "target": chosen.id, "outcome": label,
            "why": why, "versions": output.versions, "resumed_after": resumed_after,
            "last_event": output.last_event_id, "longest_gap_ms": longest_gap_ms.get(),
            "ms": clock::now().since_ms(started_at), "fingerprint": fingerprint,
        }),
    );
    match end {
        RunEnd::Complete => {
            if resumed_after.is_none() {
                let run_ms = clock::now().since_ms(started_at);
                node.run_times.borrow_mut().record(item.expected_tokens(), run_ms);
            }
            if let Some(run) = local.borrow_mut().runs.get_mut(&index) {
                run.scoring = true;
            }
            score_item(&node, &local, index, &item, output).await;
        }
        RunEnd::Broken { outcome, verdict, .. } => {
            let pause_ms = if outcome == CallOutcome::Overloaded {
                OVERLOADED_RETRY_PAUSE_MS
            } else if verdict.may_have_run() {
                let has_events = output.last_event_id != resumed_after;
                interruption_pause_ms(&local, index, has_events)
            } else {
                FAILED_RETRY_PAUSE_MS
            };
            let from = clock::now().plus(pause_ms);
            local.borrow_mut().batch.put_back(index, from, output);
        }
        RunEnd::Unprocessable => finish(&node, &local, ItemResult::errored(item.id)),
        RunEnd::Failed => {
            if local.borrow_mut().batch.record_failure(index) {
                finish(&node, &local, ItemResult::errored(item.id));
            } else {
                local.borrow().note_failure();
                let from = clock::now().plus(FAILED_RETRY_PAUSE_MS);
                local.borrow_mut().batch.put_back(index, from, Progress::default());
            }
        }
    }
    local.borrow_mut().runs.swap_remove(&index);
    node.work.notify_one();
}

/// Counts a run that broke off, and returns how long its item waits before the next.
fn interruption_pause_ms(local: &RefCell<LocalBatch>, index: usize, has_events: bool) -> u64 {
    let in_a_row = local.borrow_mut().batch.record_interruption(index, has_events);
    let doublings = in_a_row.saturating_sub(1).min(u64::BITS - 1);
    FAILED_RETRY_PAUSE_MS.saturating_mul(1 << doublings).min(FAILED_RETRY_PAUSE_MAX_MS)
}

/// Returns the fingerprint of an item, which equals that of its [requests](outgoing).
fn fingerprint(item: &Item, host: &str) -> Fingerprint {
    Fingerprint::of(Method::POST.as_str(), host, &item.path, &item.body)
}

fn outgoing(item: &Item, spec: &RunSpec, after: Option<u64>) -> OutgoingRequest {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    if let Ok(host) = HeaderValue::from_str(&spec.host) {
        headers.insert(HOST, host);
    }
    forward::strip_hop_by_hop(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    OutgoingRequest {
        body: item.body.clone().into(),
        deadline_at: spec.give_up_at.min(clock::now().plus(RUN_MAX_MS)),
        headers,
        last_event_id: after,
        method: Method::POST,
        path: item.path.clone(),
        priority: 0,
        request_id: Some(item.id.clone()),
        route: None,
        source: RequestSource::Batch,
        workspace: spec.workspace.clone(),
    }
}

/// Sends an item's request to a target and reads its events into `progress`.
pub(super) async fn run<P: Platform>(
    node: &Rc<Node<P>>,
    spec: &RunSpec,
    item: &Item,
    progress: &Rc<RefCell<Progress>>,
    chosen: &ChosenTarget,
    longest_gap_ms: &Cell<u64>,
) -> RunEnd {
    let after = progress.borrow().last_event_id;
    let mut request = outgoing(item, spec, after);
    if node.document().is_some_and(|document| document.workspaces.is_some()) {
        request.headers.remove(AUTHORIZATION);
    }
    let stream_run = StreamRun::begin(chosen.clone(), request.clone());
    let broken = |why: &str, outcome| RunEnd::Broken {
        outcome,
        verdict: Verdict::MayHaveRun,
        why: why.to_owned(),
    };
    let opened = match timeout(FIRST_EVENT_TIMEOUT, forward::open(node, chosen, &request)).await {
        Ok(Ok(opened)) => opened,
        Ok(Err(AttemptFailure { message: why, verdict, .. })) => {
            return RunEnd::Broken { outcome: CallOutcome::Failed, verdict, why };
        }
        Err(_) => {
            let limit_ms = FIRST_EVENT_TIMEOUT.as_millis();
            return broken(&format!("no response head within {limit_ms} ms"), CallOutcome::Failed);
        }
    };
    let (response, connection, metadata) = opened;
    let (parts, body) = response.into_parts();
    if let Some(refusal) = forward::refusal(parts.status, &metadata) {
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            let change = node.targets.borrow_mut().mark_left(&chosen.id);
            node.target_changed(&change, "another target answered at its address");
        }
        return match read_rest(node, body).await {
            Ok(()) => {
                node.pool.release(connection, &parts.headers);
                RunEnd::Broken {
                    outcome: CallOutcome::Overloaded,
                    verdict: refusal.verdict,
                    why: refusal.message,
                }
            }
            Err(why) => broken(&why, CallOutcome::Failed),
        };
    }
    match parts.status {
        StatusCode::UNPROCESSABLE_ENTITY | StatusCode::INTERNAL_SERVER_ERROR => {
            if let Err(why) = read_rest(node, body).await {
                return broken(&why, CallOutcome::Failed);
            }
            node.pool.release(connection, &parts.headers);
            let is_final = parts.status == StatusCode::UNPROCESSABLE_ENTITY;
            return if is_final { RunEnd::Unprocessable } else { RunEnd::Failed };
        }
        status if !status.is_success() => {
            return broken(&format!("the target answered {status}"), CallOutcome::Failed);
        }
        _ => {}
    }
    if metadata.signature.is_none() || metadata.request_id.is_none() {
        return broken("an answer without a target's signature or request id", CallOutcome::Failed);
    }
    let progress = Rc::clone(progress);
    let mut stream = TokenStream {
        body,
        longest_gap_ms: 0,
        model: spec.model.clone(),
        oldest_version: spec.oldest_version,
        output_bytes: 0,
        progress,
        version: metadata.version,
    };
    let start = stream.progress.borrow().mark();
    let read = stream.read(node, chosen, &stream_run).await;
    longest_gap_ms.set(stream.longest_gap_ms);
    match read {
        Ok(()) => {
            node.pool.release(connection, &parts.headers);
            stream.progress.borrow_mut().complete = true;
            stream_run.completed(node);
            RunEnd::Complete
        }
        Err(ReadError::Disconnected(why)) => {
            stream_run.connection_broke(node);
            broken(&why, CallOutcome::Failed)
        }
        Err(ReadError::NoOutput(why)) => {
            stream.progress.borrow_mut().return_to(&start);
            broken(&why, CallOutcome::Failed)
        }
        Err(ReadError::Other(why)) => broken(&why, CallOutcome::Failed),
    }
}

/// Reads the body of an answer without events. Only a whole answer counts, and its connection can
/// be used again.
async fn read_rest<P: Platform>(node: &Node<P>, body: Incoming) -> Result<(), String> {
    let read = node.pool.read_body(body, forward::BUFFERED_ANSWER_MAX_BYTES);
    match timeout(FIRST_EVENT_TIMEOUT, read).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(error.message),
        Err(_) => {
            let limit_ms = FIRST_EVENT_TIMEOUT.as_millis();
            Err(format!("the body of an answer did not end within {limit_ms} ms"))
        }
    }
}

/// The reason why a stream was not read to its end.
#[derive(Debug)]
enum ReadError {
    /// The connection broke.
    Disconnected(String),
    /// Events that belong to no output that can be listed; none of the run is kept.
    NoOutput(String),
    /// A time-out, or events that cannot be used.
    Other(String),
}

/// The event stream of one run.
struct TokenStream {
    body: Incoming,
    longest_gap_ms: u64,
    model: Option<String>,
    oldest_version: u64,
    output_bytes: usize,
    progress: Rc<RefCell<Progress>>,
    version: Option<u64>,
}

impl TokenStream {
    /// Reads events until the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the output is incomplete or cannot be used; the error says why.
    async fn read<P: Platform>(
        &mut self,
        node: &Node<P>,
        chosen: &ChosenTarget,
        stream_run: &StreamRun,
    ) -> Result<(), ReadError> {
        let mut events = EventReader::default();
        let mut held = node.pool.answers.begin();
        let mut event_timeout = FIRST_EVENT_TIMEOUT;
        let mut event_due_at = Instant::now() + event_timeout;
        let mut last_at = clock::now();
        let mut first = true;
        loop {
            // Bytes that are always ready keep the time-out from passing; the size limit of an
            // event ends them.
            let frame = match timeout_at(event_due_at, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(ReadError::Disconnected(error.to_string())),
                Ok(None) if events.is_between_events() => return Ok(()),
                Ok(None) => {
                    let why = "the stream ended within an event".to_owned();
                    return Err(ReadError::Disconnected(why));
                }
                Err(_) => {
                    return Err(ReadError::Other(format!(
                        "no complete event within {} ms",
                        event_timeout.as_millis()
                    )));
                }
            };
            let Some(data) = frame.data_ref() else { continue };
            let complete = events.read(data);
            for event in &complete {
                self.apply_event::<P>(node, chosen, event).map_err(ReadError::Other)?;
                self.check_output(&mut held, event.data.len())?;
            }
            if events.is_over_limit() {
                let why = format!("an event of over {EVENT_MAX_BYTES} bytes or of too many fields");
                return Err(ReadError::Other(why));
            }
            if complete.is_empty() {
                continue;
            }
            stream_run.received();
            let now = clock::now();
            if !first {
                let gap_ms = now.since_ms(last_at);
                self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
                node.balancer.borrow_mut().record_latency(&chosen.id, gap_ms);
            }
            first = false;
            last_at = now;
            event_timeout = EVENT_TIMEOUT;
            event_due_at = Instant::now() + event_timeout;
        }
    }

    /// Counts an event's data, of which the run's output has grown.
    fn check_output(&mut self, held: &mut HeldBytes, event_bytes: usize) -> Result<(), ReadError> {
        self.output_bytes += event_bytes.max(EVENT_MIN_BYTES);
        if self.output_bytes > OUTPUT_MAX_BYTES {
            return Err(ReadError::NoOutput(format!("an output of over {OUTPUT_MAX_BYTES} bytes")));
        }
        held.grow(event_bytes).map_err(|error| ReadError::NoOutput(error.to_string()))
    }

    fn apply_event<P: Platform>(
        &mut self,
        node: &Node<P>,
        chosen: &ChosenTarget,
        event: &catkinmast_dispatch::StreamEvent,
    ) -> Result<(), String> {
        if let Some(version) = P::event_version(event) {
            self.version = Some(version);
        }
        let mut progress = self.progress.borrow_mut();
        let expected = progress.last_event_id.map(|last| last + 1);
        if expected.is_some() && event.id.is_some() && event.id != expected {
            return Err(format!("received event {:?}, expected {expected:?}", event.id));
        }
        if let Some(version) = self.version {
            if let Some(model) = &self.model {
                node.targets.borrow_mut().record_version(&chosen.id, model, version);
            }
            if version < self.oldest_version {
                return Err(format!(
                    "weight version {version} is older than the oldest allowed, {}",
                    self.oldest_version
                ));
            }
            progress.note_version(version);
        }
        progress.push(&event.data, event.id);
        Ok(())
    }
}
