//! Calls of plain services: admission, choice of a target, sending, verdict and retries.
//!
//! The verdict of a failed call depends on how far the request got. If no connection was
//! established, nothing was sent and the verdict is `NotRun`; likewise if the target refuses with
//! the header `Catkinmast-Verdict: not_run`. After any other failure the call may have run. Calls
//! that may not be repeated use a client that opens a new connection for each call and never
//! retries by itself, so that a failure to connect proves that nothing was sent.

use crate::control::Input;
use crate::metrics::CallLabels;
use crate::shared::{Shared, lock};
use bytes::{Bytes, BytesMut};
use catkinmast_client::{ClientError, RequestBody};
use catkinmast_config::{Call, CallClass, PlainService};
use catkinmast_model::{Name, Refusal, UnixMs, Verdict};
use catkinmast_route::{AdmissionDecision, Choice, Dequeued, Outcome};
use http::{Method, Response, StatusCode};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Header by which a target states that it refused a request before running it.
pub(crate) const VERDICT_HEADER: &str = "Catkinmast-Verdict";
/// Header of an answer that gives the request's id, as it appears in log lines.
const REQUEST_HEADER: &str = "Catkinmast-Request";
/// Limit on the number of targets tried for one call.
const ATTEMPTS_MAX: usize = 3;
/// After how long a caller should retry if no target could be used.
const NO_TARGET_RETRY_MS: u64 = 500;
/// Headers that are not forwarded: they concern only one connection, or are meant for this node.
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
    /// Complete in memory, so it can be sent again.
    Buffered(Bytes),
    /// Still being received, so it can be sent only once.
    Streamed(mpsc::Receiver<io::Result<Bytes>>),
}

impl CallBody {
    /// Returns the body to send. A streamed one is empty afterwards.
    pub(crate) fn take(&mut self) -> Self {
        match self {
            Self::Buffered(bytes) => Self::Buffered(bytes.clone()),
            Self::Streamed(chunks) => Self::Streamed(std::mem::replace(chunks, mpsc::channel(1).1)),
        }
    }
}

/// A call of a plain service.
#[derive(Debug)]
pub(crate) struct CallRequest<'a> {
    pub body: CallBody,
    pub headers: Vec<(String, String)>,
    pub method: Method,
    /// The path, including the query.
    pub path: String,
    pub service: &'a str,
    pub workspace: &'a str,
    pub timeout_ms: Option<u64>,
}

impl<'a> CallRequest<'a> {
    /// Creates the call that scores a sample.
    pub(crate) fn scoring(scorer: &'a Name, body: Bytes) -> Self {
        Self {
            body: CallBody::Buffered(body),
            headers: vec![("Content-Type".to_owned(), "application/json".to_owned())],
            method: Method::POST,
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
    /// Complete in memory.
    Buffered(Bytes),
    /// Too long to buffer. Its length is known, so that the receiver can detect truncation.
    Streamed { body: catkinmast_client::AnswerBody, length_bytes: u64 },
}

impl Answer {
    /// Returns the complete body.
    ///
    /// # Errors
    ///
    /// Fails with the verdict `MayHaveRun` if a streamed body breaks off.
    pub(crate) async fn into_bytes(self) -> Result<Bytes, Refusal> {
        match self.body {
            AnswerBody::Buffered(bytes) => Ok(bytes),
            AnswerBody::Streamed { body, .. } => body
                .bytes()
                .await
                .map_err(|error| Refusal::may_have_run(format!("the answer was cut: {error}"))),
        }
    }
}

/// Admission of one request; dropping it lets the next one in.
#[derive(Debug)]
pub(crate) struct Permit {
    started: Instant,
    shared: Arc<Shared>,
    workspace: String,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service_us = self.started.elapsed().as_micros() as u64;
        let now = self.shared.now();
        let mut admission = lock(&self.shared.traffic.admission);
        let dequeued = admission.finish(now, &self.workspace, service_us);
        self.shared.metrics.requests_in_flight.set(i64::from(admission.in_flight()));
        drop(admission);
        notify_waiting(&self.shared, dequeued);
    }
}

/// Sends the outcome of their wait to requests that have left the queue.
fn notify_waiting(shared: &Shared, dequeued: Dequeued) {
    let mut waiting = lock(&shared.traffic.admission_waiting);
    let admitted = dequeued.admitted.into_iter().map(|id| (id, None));
    let refused = dequeued.refused.into_iter().map(|(id, refusal)| (id, Some(refusal)));
    for (id, outcome) in admitted.chain(refused) {
        if let Some(sender) = waiting.swap_remove(&id)
            && sender.send(outcome).is_err()
        {
            log::debug!("a queued request was abandoned by its caller");
        }
    }
}

/// Admits a request, waiting in the queue if necessary.
///
/// # Errors
///
/// Fails if the queue does not take the request or the deadline passes first.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    workspace: &str,
    class: CallClass,
    deadline: UnixMs,
) -> Result<Permit, Refusal> {
    let permit = || Permit {
        started: Instant::now(),
        shared: Arc::clone(shared),
        workspace: workspace.to_owned(),
    };
    let (waited, id) = {
        let mut admission = lock(&shared.traffic.admission);
        let (decision, dequeued) = admission.arrive(shared.now(), workspace, class, deadline);
        shared.metrics.requests_in_flight.set(i64::from(admission.in_flight()));
        let waited = match decision {
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
                // The request was admitted at the same moment: release its permit.
                drop(permit());
            }
            let message = "the request waited past its deadline";
            Err(Refusal::not_run(message).retry_at(shared.now().plus(NO_TARGET_RETRY_MS)))
        }
    }
}

/// A call in progress at a target. If it is dropped before `finish`, its outcome counts as unknown.
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

/// Chooses one of `targets` that has not been tried yet.
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

/// Why an attempt gave no answer that can be passed to the caller.
struct AttemptFailure {
    /// Whether the target refused because it is leaving.
    leaving: bool,
    message: String,
    outcome: Outcome,
    verdict: Verdict,
}

impl AttemptFailure {
    fn new(verdict: Verdict, message: impl Into<String>) -> Self {
        Self { leaving: false, message: message.into(), outcome: Outcome::Failed, verdict }
    }
}

/// Calls a plain service, and logs and counts the result.
pub(crate) async fn call_service(
    shared: &Arc<Shared>,
    request: CallRequest<'_>,
) -> Result<Answer, Refusal> {
    let service = request.service.to_owned();
    let number = shared.next_request.fetch_add(1, Ordering::Relaxed);
    let id = format!("{}-{}-{number}", shared.me(), shared.incarnation);
    let mut result = call_with_retries(shared, &id, request).await;
    match &mut result {
        Ok(answer) => answer.headers.push((REQUEST_HEADER.to_owned(), id)),
        Err(refusal) => {
            log::info!(
                "request {id} to service {service} failed ({}): {}",
                refusal.verdict,
                refusal.message
            );
        }
    }
    let verdict = result.as_ref().map_or_else(|refusal| refusal.verdict, |_| Verdict::Ran);
    let labels = CallLabels { service, verdict: verdict.to_string() };
    shared.metrics.calls.get_or_create(&labels).inc();
    result
}

async fn call_with_retries(
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
    let mut verdict = Verdict::NotRun;
    loop {
        let Some(flight) = choose_target(shared, &targets, &tried, service.target_in_flight_max)
        else {
            let refusal = no_target(shared, &service.name, targets.len(), tried.len());
            return Err(Refusal { verdict, ..refusal });
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
        verdict = verdict.combined_with(failure.verdict);
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
        return Err(Refusal { message, retry_at_unix_ms: Some(retry_at), verdict });
    }
}

/// An answer before the request's permit is attached to it.
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

/// Why a call cannot be looked up.
#[derive(Debug)]
pub(crate) enum CallLookupError {
    /// The node has no configuration yet.
    NotReady(Refusal),
    /// The configuration lists no such service, or the service lists no such call.
    Unlisted { field: &'static str, message: String },
}

impl From<CallLookupError> for Refusal {
    fn from(error: CallLookupError) -> Self {
        match error {
            CallLookupError::NotReady(refusal) => refusal,
            CallLookupError::Unlisted { message, .. } => Self::not_run(message),
        }
    }
}

/// Finds the service, and its listed call for a path; the query is ignored.
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
    let path = path.split('?').next().unwrap_or(path);
    found.call(path).map(|call| (found, call)).ok_or_else(|| {
        let message = format!("service '{service}' lists no call '{path}'");
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

/// Sends the request to one target, and returns the answer with the latency in microseconds.
async fn attempt(
    shared: &Arc<Shared>,
    snapshot: &crate::snapshot::Snapshot,
    request: &mut CallRequest<'_>,
    call: &Call,
    deadline: UnixMs,
    flight: &TargetCall,
) -> Result<(BareAnswer, u64), AttemptFailure> {
    let Some(address) = snapshot.address(flight.target()) else {
        return Err(AttemptFailure::new(Verdict::NotRun, "has no address"));
    };
    let client = if call.idempotent { &shared.clients.pooled } else { &shared.clients.unpooled };
    let url = format!("http://{address}{}", request.path);
    let body = request.body.take();
    let sending = build_request(request, &url, &DROPPED_HEADERS, body).map_err(|error| {
        AttemptFailure::new(Verdict::NotRun, format!("the request is invalid: {error}"))
    })?;
    let started = Instant::now();
    let timeout = Duration::from_millis(deadline.since_ms(shared.now()));
    let sent = client.send(sending, tokio::time::Instant::now() + timeout).await;
    let response = sent.map_err(|error| classify(&error))?;
    check_refusal(&response)?;
    check_status(response.status())?;
    let max_bytes =
        snapshot.document().map_or(0, |document| document.limits.unsized_answer_max_bytes);
    let answer = read_answer(response, max_bytes).await?;
    Ok((answer, started.elapsed().as_micros() as u64))
}

/// Builds the request that is sent to `url`, without the headers in `dropped_headers`.
pub(crate) fn build_request(
    request: &CallRequest<'_>,
    url: &str,
    dropped_headers: &[&str],
    body: CallBody,
) -> Result<http::Request<RequestBody>, http::Error> {
    let mut builder = http::Request::builder().method(request.method.clone()).uri(url);
    for (name, value) in &request.headers {
        if !dropped_headers.contains(&name.to_ascii_lowercase().as_str()) {
            builder = builder.header(name, value);
        }
    }
    builder.body(match body {
        CallBody::Buffered(bytes) => RequestBody::from(bytes),
        CallBody::Streamed(chunks) => RequestBody::Streamed(chunks),
    })
}

/// Converts a transport error. Only a failure to connect proves that nothing was sent.
fn classify(error: &ClientError) -> AttemptFailure {
    let verdict = if error.is_connect { Verdict::NotRun } else { Verdict::MayHaveRun };
    AttemptFailure::new(verdict, error.message.clone())
}

/// Returns an error if the target has refused the request before running it.
fn check_refusal(response: &Response<catkinmast_client::AnswerBody>) -> Result<(), AttemptFailure> {
    let verdict = response.headers().get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
    let Some(verdict) = verdict.filter(|verdict| verdict.starts_with("not_run")) else {
        return Ok(());
    };
    Err(AttemptFailure {
        leaving: verdict.contains("leaving"),
        message: format!("refused: {verdict}"),
        outcome: Outcome::Overloaded,
        verdict: Verdict::NotRun,
    })
}

/// Returns an error if a status does not end an exchange: callers could not read it as an answer's.
fn check_status(status: StatusCode) -> Result<(), AttemptFailure> {
    if (200..600).contains(&status.as_u16()) {
        return Ok(());
    }
    let message = format!("the answer's status {} is none of HTTP's", status.as_u16());
    Err(AttemptFailure::new(Verdict::MayHaveRun, message))
}

/// Reads an answer of up to `max_bytes` into memory; a longer one of known length is streamed.
///
/// If the source of a streamed body of unknown length breaks off, the web framework ends the body
/// as if it were complete. A body of unknown length is therefore never streamed.
async fn read_answer(
    response: Response<catkinmast_client::AnswerBody>,
    max_bytes: u64,
) -> Result<BareAnswer, AttemptFailure> {
    let status = response.status().as_u16();
    let headers = forwarded_headers(&response);
    let mut body = response.into_body();
    let length_bytes = body.length_bytes();
    if let Some(length_bytes) = length_bytes.filter(|length| *length > max_bytes) {
        let body = AnswerBody::Streamed { body, length_bytes };
        return Ok(BareAnswer { body, headers, status });
    }
    let mut buffer = BytesMut::new();
    while let Some(chunk) = body.chunk().await.map_err(|error| classify(&error))? {
        if (buffer.len() + chunk.len()) as u64 > max_bytes {
            let message = format!("an answer of unknown length is longer than {max_bytes} bytes");
            return Err(AttemptFailure::new(Verdict::Ran, message));
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(BareAnswer { body: AnswerBody::Buffered(buffer.freeze()), headers, status })
}

fn forwarded_headers(response: &Response<catkinmast_client::AnswerBody>) -> Vec<(String, String)> {
    let forwarded = response.headers().iter().filter(|(name, _)| {
        !DROPPED_HEADERS.contains(&name.as_str()) && name.as_str() != "upgrade"
    });
    forwarded
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}
