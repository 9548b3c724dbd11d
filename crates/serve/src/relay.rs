//! Event streams, passed on to callers as they arrive.

use crate::caller::{self, Answer};
use crate::calls;
use crate::clock;
use crate::crashes::StreamRun;
use crate::feed::{self, Subject};
use crate::forward::{
    self, AttemptFailure, Cause, ChosenTarget, CompleteAnswer, InFlight, OutgoingRequest,
};
use crate::metrics::count;
use crate::node::Node;
use crate::platform::Platform;
use crate::pool::Connection;
use crate::usage::CountedRequest;
use bytes::Bytes;
use catkinmast_dispatch::{CallOutcome, EventScanner, Route};
use catkinmast_model::{UnixMs, Verdict};
use displaydoc::Display;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming};
use serde_json::json;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Sleep, sleep, timeout};

/// Size limit of a stream: some hundred times a long one. Within its deadline, a target that sends
/// as fast as the connection carries it would take all processor time of a node.
const STREAM_MAX_BYTES: usize = 16 << 20;
/// What a part of a stream counts at least towards that limit, for the processor time that it takes.
const PART_MIN_BYTES: usize = 64;

/// Size limit of one event of a stream that is passed on.
const PASSED_ON_EVENT_MAX_BYTES: usize = 1 << 20;
/// A stream that ends at its deadline counts as a failure of its target only if no event has
/// completed for this long. The deadline of others is too short for them.
const STALLED_MS: u64 = 1_800;

/// The reason why a stream ends as broken.
#[derive(Debug, Display)]
pub(crate) enum StreamError {
    /// the target's connection broke: {0}
    Broken(hyper::Error),
    /// the stream did not end by its deadline
    Late,
    /// {what} of over {max_bytes} bytes
    OverLimit {
        /// The limit.
        max_bytes: usize,
        /// What is over the limit.
        what: &'static str,
    },
}

impl std::error::Error for StreamError {}

/// The body of a stream. It ends as complete only if the target's own body did. If it breaks or the
/// caller disconnects, the connection to the target is closed.
#[derive(Debug)]
pub(crate) struct Relay<P: Platform> {
    body: Incoming,
    connection: Option<Connection>,
    deadline: Pin<Box<Sleep>>,
    /// Its events, if it is an event stream.
    events: Option<EventScanner>,
    last_event_at: UnixMs,
    /// Its usage record until the first event arrives, when the request counts as started.
    usage: Option<CountedRequest<P>>,
    headers: HeaderMap,
    in_flight: Option<InFlight<P>>,
    latency_ms: u64,
    node: Rc<Node<P>>,
    passed_on_bytes: usize,
    request: Option<String>,
    run: StreamRun,
    target: String,
}

impl<P: Platform> Body for Relay<P> {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        // A body that is always ready must not keep the deadline from passing.
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(self.end_as_broken(StreamError::Late))));
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match polled {
            Poll::Ready(None) => {
                self.finish(None);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                Poll::Ready(Some(Err(self.end_as_broken(StreamError::Broken(error)))))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if let Err(error) = self.check_limits(frame.data_ref().map_or(&[], Bytes::as_ref)) {
                    return Poll::Ready(Some(Err(self.end_as_broken(error))));
                }
                self.run.received();
                if let Some(usage) = self.usage.take() {
                    usage.began_now();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

impl<P: Platform> Relay<P> {
    /// Counts a part of the stream.
    fn check_limits(&mut self, part: &[u8]) -> Result<(), StreamError> {
        self.passed_on_bytes += part.len().max(PART_MIN_BYTES);
        if self.passed_on_bytes > STREAM_MAX_BYTES {
            return Err(StreamError::OverLimit { max_bytes: STREAM_MAX_BYTES, what: "a stream" });
        }
        let Some(events) = &mut self.events else {
            self.last_event_at = clock::now();
            return Ok(());
        };
        if events.read(part) > 0 {
            self.last_event_at = clock::now();
        }
        if events.unfinished_bytes() > PASSED_ON_EVENT_MAX_BYTES {
            let max_bytes = PASSED_ON_EVENT_MAX_BYTES;
            return Err(StreamError::OverLimit { max_bytes, what: "an event" });
        }
        Ok(())
    }

    /// Returns the outcome that is counted for the target.
    fn outcome(&self, error: Option<&StreamError>) -> CallOutcome {
        let stalled = clock::now().since_ms(self.last_event_at) >= STALLED_MS;
        match error {
            None => CallOutcome::Answered { latency_ms: self.latency_ms },
            Some(StreamError::Late) if !stalled => CallOutcome::Cancelled,
            Some(_) => CallOutcome::Failed,
        }
    }

    fn end_as_broken(&mut self, error: StreamError) -> StreamError {
        self.finish(Some(&error));
        self.node.note(
            "stream_broken",
            json!({
                "request": self.request, "target": self.target, "why": error.to_string(),
                "passed_on_bytes": self.passed_on_bytes,
            }),
        );
        error
    }

    /// Ends the stream, as complete if there is no error.
    fn finish(&mut self, error: Option<&StreamError>) {
        let complete = error.is_none();
        let outcome = self.outcome(error);
        if let Some(usage) = self.usage.take() {
            usage.not_run();
        }
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.end(outcome);
        }
        if complete {
            self.run.completed(&self.node);
        } else if matches!(error, Some(StreamError::Broken(_))) {
            self.run.connection_broke(&self.node);
        }
        if let Some(connection) = self.connection.take()
            && complete
        {
            self.node.pool.release(connection, &self.headers);
        }
        count(&self.node.metrics.answers, if complete { "streamed" } else { "stream_broken" });
    }
}

/// Sends a stream's request to one target after another until one runs it.
pub(crate) async fn stream<P: Platform>(
    node: &Rc<Node<P>>,
    route: &Route,
    outgoing: OutgoingRequest,
) -> Answer<P> {
    let id = outgoing.request_id.clone();
    let mut tried = Vec::new();
    loop {
        let service = route.service(node.random_u64()).unwrap_or_default();
        let Some(chosen) = calls::choose(node, service, &tried) else {
            let failure = calls::no_target(node, service);
            return caller::end_with_failure(node, id.as_deref(), route, &failure);
        };
        if tried.contains(&chosen.id) {
            let failure = overloaded(format!("all {} targets of {service} refused", tried.len()));
            return caller::end_with_failure(node, id.as_deref(), route, &failure);
        }
        tried.push(chosen.id.clone());
        match start(node, &chosen, &outgoing).await {
            Ok(answer) => return answer,
            Err(failure) if failure.verdict == Verdict::NotRun && !failure.is_blocked() => {}
            Err(failure) => return caller::end_with_failure(node, id.as_deref(), route, &failure),
        }
    }
}

fn overloaded(message: String) -> AttemptFailure {
    AttemptFailure::not_run(Cause::Overloaded, message)
}

async fn start<P: Platform>(
    node: &Rc<Node<P>>,
    chosen: &ChosenTarget,
    outgoing: &OutgoingRequest,
) -> Result<Answer<P>, AttemptFailure> {
    let in_flight = InFlight::begin(node, &chosen.id, outgoing);
    let started_at = clock::now();
    let opened = match timeout(left(outgoing), forward::open(node, chosen, outgoing)).await {
        Ok(opened) => opened,
        Err(_) => Err(AttemptFailure::may_have_run("no answer within the caller's time")),
    };
    let (response, connection, metadata) = match opened {
        Ok(opened) => opened,
        Err(failure) => {
            in_flight.end(failure.outcome());
            note_failed(node, chosen, outgoing, &failure);
            return Err(failure);
        }
    };
    let latency_ms = clock::now().since_ms(started_at);
    let (mut head, body) = response.into_parts();
    if let Some(refusal) = forward::refusal(head.status, &metadata) {
        in_flight.end(CallOutcome::Overloaded);
        return Err(refusal);
    }
    if let Some(failure) = forward::unproven_promise(head.status, &metadata) {
        in_flight.end(failure.outcome());
        note_failed(node, chosen, outgoing, &failure);
        return Err(failure);
    }
    if head.status.is_success() && metadata.signature.is_none() {
        in_flight.end(CallOutcome::Failed);
        return Err(AttemptFailure::may_have_run("an answer without a target's signature"));
    }
    let answer_headers = head.headers.clone();
    forward::strip_hop_by_hop(&mut head.headers);
    if head.status.is_success() {
        let relay = Relay {
            body,
            connection: Some(connection),
            deadline: Box::pin(sleep(left(outgoing))),
            events: is_event_stream(&answer_headers).then(EventScanner::default),
            last_event_at: clock::now(),
            usage: CountedRequest::sent(node, outgoing.workspace.as_deref()),
            headers: answer_headers,
            in_flight: Some(in_flight),
            latency_ms,
            node: Rc::clone(node),
            passed_on_bytes: 0,
            request: outgoing.request_id.clone(),
            run: StreamRun::begin(chosen.clone(), outgoing.clone()),
            target: chosen.id.clone(),
        };
        return Ok(Response::from_parts(head, Either::Right(relay)));
    }
    let read = node.pool.read_body(body, forward::BUFFERED_ANSWER_MAX_BYTES);
    let read = match timeout(left(outgoing), read).await {
        Ok(read) => read.map_err(|error| error.message),
        Err(_) => {
            Err("the body of an error answer did not end within the caller's time".to_owned())
        }
    };
    let body = match read {
        Ok(body) => body,
        Err(why) => {
            in_flight.end(CallOutcome::Failed);
            note_failed(node, chosen, outgoing, &AttemptFailure::may_have_run(&*why));
            return Err(AttemptFailure::may_have_run(why));
        }
    };
    in_flight.end(CallOutcome::Answered { latency_ms });
    node.pool.release(connection, &answer_headers);
    let answer = CompleteAnswer {
        body,
        headers: head.headers,
        metadata,
        status: head.status,
        target: chosen.id.clone(),
    };
    Ok(pass_on_error(answer))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(http::header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Returns the rest of a request's time.
fn left(outgoing: &OutgoingRequest) -> Duration {
    Duration::from_millis(outgoing.deadline_at.since_ms(clock::now()))
}

fn note_failed<P: Platform>(
    node: &Node<P>,
    chosen: &ChosenTarget,
    outgoing: &OutgoingRequest,
    failure: &AttemptFailure,
) {
    let fields = json!({
        "request": outgoing.request_id, "target": chosen.id, "why": failure.message,
        "verdict": failure.verdict, "fingerprint": outgoing.fingerprint_if(failure.verdict),
        "targets_age_ms": feed::age_ms(node, Subject::Targets),
    });
    node.note("attempt_failed", fields);
}

fn pass_on_error<P: Platform>(answer: CompleteAnswer) -> Answer<P> {
    let status: StatusCode = answer.status;
    let mut response = Response::new(Either::Left(Full::new(answer.body)));
    *response.status_mut() = status;
    *response.headers_mut() = answer.headers;
    response
}
