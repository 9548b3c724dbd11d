//! Callers' requests: routing, attempts and answers.

use crate::access::{self, Refusal};
use crate::batch_calls;
use crate::batches::Origin;
use crate::calls;
use crate::clock;
use crate::feed::{self, Subject};
use crate::forward::{self, AttemptFailure, Cause, CompleteAnswer, OutgoingRequest};
use crate::metrics::count;
use crate::node::Node;
use crate::platform::Platform;
use crate::reading::{self, HeldBytes, ReadError};
use bytes::Bytes;
use catkinmast_dispatch::{Document, Route, RouteKind};
use catkinmast_model::{UnixMs, Verdict};
use catkinmast_quarantine::RequestSource;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use serde_json::json;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

/// The body of an answer: buffered, or passed on as it arrives.
pub(crate) type AnswerBody<P> = Either<Full<Bytes>, crate::relay::Relay<P>>;
/// An answer to a caller.
pub(crate) type Answer<P> = Response<AnswerBody<P>>;

/// Retry-After of a refusal because this node has no configuration yet or the store does not
/// answer: after a restart both are available after about this time.
pub(crate) const RETRY_AFTER_MS: u64 = 500;
/// Retry-After of a refusal because all targets are overloaded: about the time of one usual
/// request.
const OVERLOADED_RETRY_AFTER_MS: u64 = 100;
/// Retry-After of a refusal because all targets of the service are evacuated: operators take that
/// back after seconds at the earliest.
const EVACUATED_RETRY_AFTER_MS: u64 = 1_000;
/// Deadline of a request whose caller has set none.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// An error that this service answers itself, rather than a target.
#[derive(Clone, Debug)]
pub(crate) struct ErrorAnswer {
    retry_after_ms: Option<u64>,
    message: String,
    status: StatusCode,
    /// How long the request waited for the window of its service, if it came to a limited one.
    waited_ms: Option<u64>,
}

impl ErrorAnswer {
    pub(crate) fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self { retry_after_ms: None, message: message.into(), status, waited_ms: None }
    }

    /// A refusal: the request was not run and will not be, so the caller may repeat it.
    pub(crate) fn not_run(message: impl Into<String>, retry_after_ms: u64) -> Self {
        let retry_after_ms = Some(retry_after_ms);
        Self { retry_after_ms, ..Self::new(StatusCode::SERVICE_UNAVAILABLE, message) }
    }

    /// A request that may have run. A caller that may repeat it should come back after
    /// `retry_after_ms`.
    pub(crate) fn unconfirmed(message: impl Into<String>, retry_after_ms: u64) -> Self {
        let retry_after_ms = Some(retry_after_ms);
        Self { retry_after_ms, ..Self::new(StatusCode::GATEWAY_TIMEOUT, message) }
    }

    /// Adds how long the request waited for the window of its service.
    pub(crate) fn waited(self, waited_ms: u64) -> Self {
        Self { waited_ms: Some(waited_ms), ..self }
    }

    pub(crate) fn of(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Denied(why) => Self::new(StatusCode::UNAUTHORIZED, why),
            Refusal::Unsure(why) => Self::not_run(why, RETRY_AFTER_MS),
        }
    }

    /// Returns whether the request was refused or ran out of time, as under too much load.
    pub(crate) const fn is_refused_or_late(&self) -> bool {
        matches!(self.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
    }

    pub(crate) fn answer<P: Platform>(&self) -> Answer<P> {
        let body = json!({ "error": self.message }).to_string();
        let mut answer = json_answer(self.status, Bytes::from(body));
        if self.status == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        if let Some(ms) = self.retry_after_ms
            && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", ms as f64 / 1_000.0))
        {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        answer
    }
}

/// Builds an answer with a JSON body.
pub(crate) fn json_answer<P: Platform>(status: StatusCode, body: Bytes) -> Answer<P> {
    let mut answer = Response::new(Either::Left(Full::new(body)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// Answers one request of a caller.
pub(crate) async fn handle<P: Platform>(
    node: Rc<Node<P>>,
    request: Request<Incoming>,
) -> Result<Answer<P>, Infallible> {
    let started_at = clock::now();
    let (head, body) = request.into_parts();
    let id = P::caller_options(&head.headers).request_id;
    let work = async {
        match P::batch_call(&head) {
            Some(call) => batch_calls::answer(&node, &head.headers, call).await,
            None => route_request(&node, head, body, started_at).await,
        }
    };
    let mut grace_over = node.grace_over.subscribe();
    let mut answer = tokio::select! {
        biased;
        answer = work => answer,
        _ = grace_over.wait_for(|is_over| *is_over) => {
            let message = "this node stops before the request has ended";
            let error = ErrorAnswer::new(StatusCode::GATEWAY_TIMEOUT, message);
            end_with_error(&node, id.as_deref(), None, &error)
        }
    };
    node.metrics.request_seconds.observe(clock::now().since_ms(started_at) as f64 / 1_000.0);
    if node.leaving.get() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

async fn route_request<P: Platform>(
    node: &Rc<Node<P>>,
    head: Parts,
    body: Incoming,
    started_at: UnixMs,
) -> Answer<P> {
    let options = P::caller_options(&head.headers);
    let id = options.request_id.clone();
    let Some(document) = node.document() else {
        return end_with_error(
            node,
            id.as_deref(),
            None,
            &ErrorAnswer::not_run("no configuration yet", RETRY_AFTER_MS),
        );
    };
    let host = host(&head.headers).to_owned();
    let Some(route) = document.route(&host, head.uri.path()).cloned() else {
        let error = no_route(node, &document, &host, head.uri.path());
        return end_with_error(node, id.as_deref(), None, &error);
    };
    let workspace = match access::workspace(node, &document, route.is_public, &head.headers) {
        Ok(workspace) => workspace,
        Err(refusal) => {
            return end_with_error(node, id.as_deref(), Some(&route), &ErrorAnswer::of(refusal));
        }
    };
    let workspace_priority = workspace.as_ref().and_then(|workspace| workspace.priority);
    let priority = workspace_priority.unwrap_or(route.priority);
    let workspace = workspace.map(|workspace| workspace.name);
    let deadline_ms = options.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let timeout_ms = route.timeout_ms.unwrap_or(u64::MAX);
    let deadline_at = started_at.plus(deadline_ms.min(timeout_ms));
    // Held until the request is answered, as the body is.
    let mut memory = node.pool.requests.begin();
    let max_bytes = document.limits.body_max_bytes;
    let body = match read_body(body, max_bytes, deadline_at, &mut memory).await {
        Ok(body) => body,
        Err(error) => return end_with_error(node, id.as_deref(), Some(&route), &error),
    };
    if route.kind == RouteKind::Rollout {
        let origin = Origin { host, path: head.uri.path().to_owned(), workspace };
        return batch_calls::submit(node, origin, body, id, &route).await;
    }
    let mut headers = head.headers;
    forward::strip_hop_by_hop(&mut headers);
    headers.remove(http::header::EXPECT);
    headers.remove(http::header::CONTENT_LENGTH);
    if document.workspaces.is_some() {
        headers.remove(AUTHORIZATION);
    }
    let path = head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str).to_owned();
    let outgoing = OutgoingRequest {
        body,
        deadline_at,
        headers,
        last_event_id: None,
        method: head.method,
        path,
        priority,
        request_id: id,
        route: Some(route.name.clone()),
        source: RequestSource::Caller,
        workspace,
    };
    if route.kind == RouteKind::Stream {
        return crate::relay::stream(node, &route, outgoing).await;
    }
    match calls::serve(node, &route, &outgoing).await {
        Ok(answer) => pass_on(node, answer),
        Err(error) => end_with_error(node, outgoing.request_id.as_deref(), Some(&route), &error),
    }
}

/// Returns the host that a request is for, without its port.
pub(crate) fn host(headers: &HeaderMap) -> &str {
    let host = headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

fn no_route<P: Platform>(
    node: &Node<P>,
    document: &Document,
    host: &str,
    path: &str,
) -> ErrorAnswer {
    let message = format!("no route for {host}{path} in version {}", document.version);
    if feed::is_current(node, Subject::Operators) {
        ErrorAnswer::new(StatusCode::NOT_FOUND, message)
    } else {
        // A newer version may have the route, and callers do not repeat a request after a 404.
        ErrorAnswer::not_run(message, RETRY_AFTER_MS)
    }
}

async fn read_body(
    body: Incoming,
    max_bytes: u64,
    until: UnixMs,
    held: &mut HeldBytes,
) -> Result<Bytes, ErrorAnswer> {
    let left_ms = until.since_ms(clock::now());
    let read = reading::read_body(body, max_bytes as usize, held);
    match tokio::time::timeout(Duration::from_millis(left_ms), read).await {
        Ok(read) => read.map_err(|error| unread_body(&error)),
        Err(_) => {
            Err(ErrorAnswer::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"))
        }
    }
}

/// Returns the answer to a request whose body was not read to its end.
fn unread_body(error: &ReadError) -> ErrorAnswer {
    let message = error.to_string();
    match error {
        ReadError::Broken(_) => ErrorAnswer::new(StatusCode::BAD_REQUEST, message),
        ReadError::OverLimit(_) => ErrorAnswer::new(StatusCode::PAYLOAD_TOO_LARGE, message),
        ReadError::OutOfMemory { .. } => ErrorAnswer::not_run(message, RETRY_AFTER_MS),
    }
}

/// Records the failure of a request's last attempt in the audit trail, and builds its answer.
pub(crate) fn end_with_failure<P: Platform>(
    node: &Node<P>,
    id: Option<&str>,
    route: &Route,
    failure: &AttemptFailure,
) -> Answer<P> {
    end_with_error(node, id, Some(route), &error_of(failure))
}

pub(crate) fn error_of(failure: &AttemptFailure) -> ErrorAnswer {
    match failure.verdict {
        Verdict::NotRun => {
            let retry_after_ms = match failure.cause {
                Cause::Blocked { retry_after_ms } => retry_after_ms,
                Cause::Evacuated => EVACUATED_RETRY_AFTER_MS,
                Cause::Overloaded | Cause::Other | Cause::Request => OVERLOADED_RETRY_AFTER_MS,
            };
            ErrorAnswer::not_run(failure.message.clone(), retry_after_ms)
        }
        Verdict::MayHaveRun | Verdict::Ran => {
            ErrorAnswer::new(StatusCode::BAD_GATEWAY, failure.message.clone())
        }
    }
}

/// Records in the trail that a request ends with an error of this service, and builds its answer.
pub(crate) fn end_with_error<P: Platform>(
    node: &Node<P>,
    id: Option<&str>,
    route: Option<&Route>,
    error: &ErrorAnswer,
) -> Answer<P> {
    let version = node.document().map(|document| document.version);
    node.note(
        "request_ended",
        json!({
            "request": id, "status": error.status.as_u16(), "why": error.message,
            "route": route.map(|route| &route.name), "document_version": version,
            "document_age_ms": feed::age_ms(node, Subject::Operators),
            "come_back_ms": error.retry_after_ms, "waited_ms": error.waited_ms,
        }),
    );
    let reason = match error.status.as_u16() {
        503 => "refused",
        401 => "no_workspace",
        404 => "no_route",
        504 => "out_of_time",
        400..500 => "bad_request",
        _ => "failed",
    };
    count(&node.metrics.answers, reason);
    error.answer()
}

fn pass_on<P: Platform>(node: &Node<P>, answer: CompleteAnswer) -> Answer<P> {
    count(&node.metrics.answers, "passed_on");
    let mut response = Response::new(Either::Left(Full::new(answer.body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
