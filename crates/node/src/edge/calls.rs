//! A call of a plain service: admission, choice of target, sending, verdict, retry.
//!
//! The verdict comes from how far the bytes got. A connection that never came about carried
//! nothing: `NotRun`. A target that refuses with the header `Catkinmast-Verdict: not_run` has
//! said so itself. Everything else that is not an answer may have run. Calls that may not be
//! repeated use a client that opens a connection for each of them and never sends again by
//! itself, so that "the connection never came about" is all there is to prove.

use crate::control::Input;
use crate::metrics::CallLabels;
use crate::shared::{Shared, lock};
use bytes::{Bytes, BytesMut};
use catkinmast_config::{Call, CallClass, PlainService};
use catkinmast_model::{Name, Refusal, UnixMs, Verdict};
use catkinmast_route::{AdmissionDecision, Choice, Dequeued, Outcome};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// How a target says that it refused before anything ran.
pub(crate) const VERDICT_HEADER: &str = "Catkinmast-Verdict";
/// Names a request in its answer, as the log lines that concern it do.
const REQUEST_HEADER: &str = "Catkinmast-Request";
/// Most targets tried for one call.
const ATTEMPTS_MAX: usize = 3;
/// When a caller should come back if no target could be used.
const NO_TARGET_RETRY_MS: u64 = 500;
/// Headers of a request that concern one connection only, or this system.
const DROPPED_HEADERS: [&str; 10] = [
    "authorization",
    "catkinmast-forwarded",
    "catkinmast-ticket",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
];

/// A request's body.
#[derive(Debug)]
pub(crate) enum CallBody {
    /// All of it is here, so it can be sent again.
    Buffered(Bytes),
    /// It is being received; it can be sent once.
    Streamed(reqwest::Body),
}

/// A call of a plain service.
#[derive(Debug)]
pub(crate) struct CallRequest<'a> {
    pub body: CallBody,
    pub headers: Vec<(String, String)>,
    pub method: reqwest::Method,
    /// The path with its query.
    pub path: String,
    pub service: &'a str,
    pub workspace: &'a str,
    pub timeout_ms: Option<u64>,
}

impl<'a> CallRequest<'a> {
    /// Makes the call by which a sample is scored.
    pub(crate) fn scoring(scorer: &'a Name, body: Bytes) -> Self {
        Self {
            body: CallBody::Buffered(body),
            headers: vec![("Content-Type".to_owned(), "application/json".to_owned())],
            method: reqwest::Method::POST,
            path: "/score".to_owned(),
            service: scorer.as_str(),
            workspace: "",
            timeout_ms: None,
        }
    }
}

/// A target's answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub body: AnswerBody,
    pub headers: Vec<(String, String)>,
    pub permit: Permit,
    pub status: u16,
}

/// An answer's body.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// All of it is here.
    Buffered(Bytes),
    /// It is longer than is held; its length is known, so that a cut shows.
    Streamed { length_bytes: u64, response: reqwest::Response },
}

impl Answer {
    pub(crate) async fn into_bytes(self) -> Result<Bytes, Refusal> {
        match self.body {
            AnswerBody::Buffered(bytes) => Ok(bytes),
            AnswerBody::Streamed { response, .. } => response
                .bytes()
                .await
                .map_err(|error| Refusal::may_have_run(format!("the answer was cut: {error}"))),
        }
    }
}

/// A place among the requests that are served at once; dropping it frees the place.
#[derive(Debug)]
pub(crate) struct Permit {
    began: Instant,
    shared: Arc<Shared>,
    workspace: String,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service_us = self.began.elapsed().as_micros() as u64;
        let now = self.shared.now();
        let mut admission = lock(&self.shared.traffic.admission);
        let dequeued = admission.finish(now, &self.workspace, service_us);
        self.shared.metrics.requests_in_flight.set(i64::from(admission.in_flight()));
        drop(admission);
        notify_waiting(&self.shared, dequeued);
    }
}

/// Tells requests that waited what became of them.
fn notify_waiting(shared: &Shared, dequeued: Dequeued) {
    let mut waiting = lock(&shared.traffic.admission_waiting);
    let admitted = dequeued.admitted.into_iter().map(|id| (id, None));
    let refused = dequeued.refused.into_iter().map(|(id, refusal)| (id, Some(refusal)));
    for (id, verdict) in admitted.chain(refused) {
        if let Some(sender) = waiting.swap_remove(&id)
            && sender.send(verdict).is_err()
        {
            log::debug!("a request that waited was given up on by its caller");
        }
    }
}

/// Gets a place for a request, waiting for it if that can be in time.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    workspace: &str,
    class: CallClass,
    deadline: UnixMs,
) -> Result<Permit, Refusal> {
    let permit = || Permit {
        began: Instant::now(),
        shared: Arc::clone(shared),
        workspace: workspace.to_owned(),
    };
    let (waited, id) = {
        let mut admission = lock(&shared.traffic.admission);
        let (admitted, dequeued) = admission.arrive(shared.now(), workspace, class, deadline);
        shared.metrics.requests_in_flight.set(i64::from(admission.in_flight()));
        let waited = match admitted {
            AdmissionDecision::Admitted => return Ok(permit()),
            AdmissionDecision::Refused(refusal) => return Err(refusal),
            AdmissionDecision::Queued(id) => {
                let (sender, waited) = oneshot::channel();
                lock(&shared.traffic.admission_waiting).insert(id, sender);
                (waited, id)
            }
        };
        drop(admission);
        notify_waiting(shared, dequeued);
        waited
    };
    let wait = Duration::from_millis(deadline.since_ms(shared.now()));
    match tokio::time::timeout(wait, waited).await {
        Ok(Ok(None)) => Ok(permit()),
        Ok(Ok(Some(refusal))) => Err(refusal),
        _ => {
            let removed = lock(&shared.traffic.admission_waiting).swap_remove(&id);
            lock(&shared.traffic.admission).abandon(id);
            if removed.is_none() {
                // It was admitted in the same moment: the place is ours to give back.
                drop(permit());
            }
            let message = "the request waited past its deadline";
            Err(Refusal::not_run(message).retry_at(shared.now().plus(NO_TARGET_RETRY_MS)))
        }
    }
}

/// A call in flight at a target; one that is dropped unfinished teaches nothing.
pub(crate) struct TargetCall {
    choice: Choice,
    done: bool,
    shared: Arc<Shared>,
}

impl TargetCall {
    pub(crate) fn target(&self) -> &Name {
        &self.choice.target
    }

    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.done = true;
        lock(&self.shared.traffic.targets).finish(self.shared.now(), &self.choice, outcome);
    }
}

impl Drop for TargetCall {
    fn drop(&mut self) {
        if !self.done {
            let mut targets = lock(&self.shared.traffic.targets);
            targets.finish(self.shared.now(), &self.choice, Outcome::Unknown);
        }
    }
}

/// Chooses one of `targets` that was not tried yet.
pub(crate) fn choose_target(
    shared: &Arc<Shared>,
    targets: &[Name],
    tried: &[Name],
    in_flight_max: u32,
) -> Option<TargetCall> {
    let untried = targets.iter().filter(|name| !tried.contains(name));
    let untried: Vec<Name> = untried.cloned().collect();
    let mut rng = lock(&shared.traffic.rng);
    let choice =
        lock(&shared.traffic.targets).pick(shared.now(), &untried, in_flight_max, &mut *rng)?;
    Some(TargetCall { choice, done: false, shared: Arc::clone(shared) })
}

/// Why a target gave no answer that can be passed on.
struct Failure {
    leaving: bool,
    message: String,
    outcome: Outcome,
    verdict: Verdict,
}

impl Failure {
    fn new(verdict: Verdict, message: impl Into<String>) -> Self {
        Self { leaving: false, message: message.into(), outcome: Outcome::Failed, verdict }
    }
}

/// Calls a plain service.
pub(crate) async fn call_service(
    shared: &Arc<Shared>,
    request: CallRequest<'_>,
) -> Result<Answer, Refusal> {
    let service = request.service.to_owned();
    let number = shared.next_request.fetch_add(1, Ordering::Relaxed);
    let id = format!("{}-{}-{number}", shared.me(), shared.incarnation);
    let mut called = call_admitted(shared, &id, request).await;
    match &mut called {
        Ok(answer) => answer.headers.push((REQUEST_HEADER.to_owned(), id)),
        Err(refusal) => {
            log::info!(
                "request {id} of {service} is refused, {}: {}",
                refusal.verdict,
                refusal.message
            );
        }
    }
    let verdict = called.as_ref().map_or_else(|refusal| refusal.verdict, |_| Verdict::Ran);
    let labels = CallLabels { service, verdict: verdict.to_string() };
    shared.metrics.calls.get_or_create(&labels).inc();
    called
}

async fn call_admitted(
    shared: &Arc<Shared>,
    id: &str,
    mut request: CallRequest<'_>,
) -> Result<Answer, Refusal> {
    let snapshot = shared.snapshot();
    let (service, call) = find_call(&snapshot, request.service, &request.path)?;
    let timeout_ms = request.timeout_ms.map_or(service.timeout_ms, |ms| ms.min(service.timeout_ms));
    let deadline = shared.now().plus(timeout_ms);
    let permit = admit(shared, request.workspace, call.class, deadline).await?;
    lock(&shared.traffic.budget).first_attempt();
    let targets = snapshot.services.get(&service.name).cloned().unwrap_or_default();
    let mut tried = Vec::new();
    loop {
        let Some(flight) = choose_target(shared, &targets, &tried, service.target_in_flight_max)
        else {
            return Err(no_target(shared, &service.name, targets.len(), tried.len()));
        };
        tried.push(flight.target().clone());
        let failure = match attempt(shared, &snapshot, &mut request, call, deadline, &flight).await
        {
            Ok((answer, latency_us)) => {
                flight.finish(Outcome::Answered { latency_us });
                return Ok(answer.with_permit(permit));
            }
            Err(failure) => failure,
        };
        let target = flight.target().clone();
        flight.finish(failure.outcome);
        log::debug!("request {id}: target {target}: {} ({})", failure.message, failure.verdict);
        if failure.leaving {
            shared.send_input(Input::TargetRefused { target: target.clone() });
        }
        let may_repeat = call.idempotent || !failure.verdict.may_have_run();
        let can_repeat =
            matches!(request.body, CallBody::Buffered(_)) && tried.len() < ATTEMPTS_MAX;
        let in_time = shared.now() < deadline;
        if may_repeat
            && can_repeat
            && in_time
            && (failure.leaving || lock(&shared.traffic.budget).take_retry())
        {
            shared.metrics.retries.inc();
            continue;
        }
        let message = format!("target {target}: {}", failure.message);
        let retry_at = shared.now().plus(NO_TARGET_RETRY_MS);
        return Err(Refusal {
            message,
            retry_at_unix_ms: Some(retry_at),
            verdict: failure.verdict,
        });
    }
}

/// An answer without its permit yet.
struct BareAnswer {
    body: AnswerBody,
    headers: Vec<(String, String)>,
    status: u16,
}

impl BareAnswer {
    fn with_permit(self, permit: Permit) -> Answer {
        Answer { body: self.body, headers: self.headers, permit, status: self.status }
    }
}

/// Why there is no such call.
#[derive(Debug)]
pub(crate) enum CallLookupError {
    /// The node cannot tell yet.
    NotReady(Refusal),
    /// The configuration lists no such service, or no such call of it.
    Unlisted { field: &'static str, message: String },
}

impl From<CallLookupError> for Refusal {
    fn from(no_call: CallLookupError) -> Self {
        match no_call {
            CallLookupError::NotReady(refusal) => refusal,
            CallLookupError::Unlisted { message, .. } => Self::not_run(message),
        }
    }
}

/// Finds the service and the listed call for a path.
pub(crate) fn find_call<'s>(
    snapshot: &'s crate::snapshot::Snapshot,
    service: &str,
    path: &str,
) -> Result<(&'s PlainService, &'s Call), CallLookupError> {
    let Some(document) = snapshot.document() else {
        let message = "this node does not know the configuration in force yet";
        return Err(CallLookupError::NotReady(Refusal::not_run(message)));
    };
    let Some(found) = document.service(service) else {
        let message = format!("service '{service}' is not configured");
        return Err(CallLookupError::Unlisted { field: "service", message });
    };
    let bare = path.split('?').next().unwrap_or(path);
    found.call(bare).map(|call| (found, call)).ok_or_else(|| {
        let message = format!("service '{service}' lists no call '{bare}'");
        CallLookupError::Unlisted { field: "path", message }
    })
}

fn no_target(shared: &Shared, service: &Name, known: usize, tried: usize) -> Refusal {
    let message = if known == 0 {
        format!("service '{service}' has no live target")
    } else if tried > 0 {
        format!("all targets of service '{service}' that may be tried failed")
    } else {
        format!("all {known} targets of service '{service}' are at their bound")
    };
    Refusal::not_run(message).retry_at(shared.now().plus(NO_TARGET_RETRY_MS))
}

async fn attempt(
    shared: &Arc<Shared>,
    snapshot: &crate::snapshot::Snapshot,
    request: &mut CallRequest<'_>,
    call: &Call,
    deadline: UnixMs,
    flight: &TargetCall,
) -> Result<(BareAnswer, u64), Failure> {
    let Some(address) = snapshot.address(flight.target()) else {
        return Err(Failure::new(Verdict::NotRun, "has no address"));
    };
    let client = if call.idempotent { &shared.clients.pooled } else { &shared.clients.unpooled };
    let url = format!("http://{address}{}", request.path);
    let mut sending = client.request(request.method.clone(), url);
    for (name, value) in &request.headers {
        if !DROPPED_HEADERS.contains(&name.to_ascii_lowercase().as_str()) {
            sending = sending.header(name, value);
        }
    }
    let body = std::mem::replace(&mut request.body, CallBody::Buffered(Bytes::new()));
    sending = match body {
        CallBody::Buffered(bytes) => {
            request.body = CallBody::Buffered(bytes.clone());
            sending.body(bytes)
        }
        CallBody::Streamed(stream) => {
            request.body = CallBody::Streamed(reqwest::Body::from(""));
            sending.body(stream)
        }
    };
    let began = Instant::now();
    let left = Duration::from_millis(deadline.since_ms(shared.now()));
    let response = sending.timeout(left).send().await.map_err(|error| classify(&error))?;
    refused_by_target(&response)?;
    let most = snapshot.document().map_or(0, |document| document.limits.unsized_answer_max_bytes);
    let answer = read_answer(response, most).await?;
    Ok((answer, began.elapsed().as_micros() as u64))
}

/// Only a connection that never came about proves that nothing ran.
fn classify(error: &reqwest::Error) -> Failure {
    let verdict = if error.is_connect() { Verdict::NotRun } else { Verdict::MayHaveRun };
    Failure::new(verdict, error.to_string())
}

fn refused_by_target(response: &reqwest::Response) -> Result<(), Failure> {
    let said = response.headers().get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
    let Some(said) = said.filter(|said| said.starts_with("not_run")) else { return Ok(()) };
    Err(Failure {
        leaving: said.contains("leaving"),
        message: format!("refused: {said}"),
        outcome: Outcome::Overloaded,
        verdict: Verdict::NotRun,
    })
}

/// Reads an answer that can be held; a long one of known length is passed on as it comes.
///
/// The web framework ends a body of unknown length as if it were whole when its source breaks, so
/// a body of unknown length is never passed on unread.
async fn read_answer(response: reqwest::Response, most: u64) -> Result<BareAnswer, Failure> {
    let status = response.status().as_u16();
    let headers = passed_headers(&response);
    let length_bytes = response.content_length();
    if let Some(length_bytes) = length_bytes.filter(|length| *length > most) {
        let body = AnswerBody::Streamed { length_bytes, response };
        return Ok(BareAnswer { body, headers, status });
    }
    let mut response = response;
    let mut held = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| classify(&error))? {
        if (held.len() + chunk.len()) as u64 > most {
            let message = format!("an answer of unknown length is longer than {most} bytes");
            return Err(Failure::new(Verdict::Ran, message));
        }
        held.extend_from_slice(&chunk);
    }
    Ok(BareAnswer { body: AnswerBody::Buffered(held.freeze()), headers, status })
}

fn passed_headers(response: &reqwest::Response) -> Vec<(String, String)> {
    let passed = response.headers().iter().filter(|(name, _)| {
        !DROPPED_HEADERS.contains(&name.as_str()) && name.as_str() != "upgrade"
    });
    passed
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}
