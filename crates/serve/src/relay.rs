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
use crate::pool::{Connection, read_body};
use crate::usage::CountedRequest;
use bytes::Bytes;
use catkinmast_dispatch::{CallOutcome, Route};
use catkinmast_model::Verdict;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming};
use serde_json::json;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;

/// The body of a stream. It ends as complete only if the target's own body did. If it breaks or the
/// caller disconnects, the connection to the target is closed.
#[derive(Debug)]
pub(crate) struct Relay<P: Platform> {
    body: Incoming,
    connection: Option<Connection>,
    /// Its usage record until the first event arrives, when the request counts as started.
    usage: Option<CountedRequest<P>>,
    headers: HeaderMap,
    in_flight: Option<InFlight<P>>,
    latency_ms: u64,
    node: Rc<Node<P>>,
    run: StreamRun,
}

impl<P: Platform> Body for Relay<P> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.finish(true),
            Poll::Ready(Some(Err(_))) => self.finish(false),
            Poll::Ready(Some(Ok(_))) => {
                self.run.received();
                if let Some(usage) = self.usage.take() {
                    usage.began_now();
                }
            }
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

impl<P: Platform> Relay<P> {
    fn finish(&mut self, complete: bool) {
        let latency_ms = self.latency_ms;
        if let Some(usage) = self.usage.take() {
            usage.not_run();
        }
        if let Some(in_flight) = self.in_flight.take() {
            let answered = CallOutcome::Answered { latency_ms };
            in_flight.end(if complete { answered } else { CallOutcome::Failed });
        }
        if complete {
            self.run.completed(&self.node);
        } else {
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
    let left = Duration::from_millis(outgoing.deadline_at.since_ms(started_at));
    let opened = match timeout(left, forward::open(node, chosen, outgoing)).await {
        Ok(opened) => opened,
        Err(_) => Err(AttemptFailure::may_have_run("no answer within the caller's time")),
    };
    let (response, connection, metadata) = match opened {
        Ok(opened) => opened,
        Err(failure) => {
            in_flight.end(failure.outcome());
            let why = json!({
                "request": outgoing.request_id, "target": chosen.id, "why": failure.message,
                "verdict": failure.verdict, "fingerprint": outgoing.fingerprint_if(failure.verdict),
                "targets_age_ms": feed::age_ms(node, Subject::Targets),
            });
            node.note("attempt_failed", why);
            return Err(failure);
        }
    };
    let latency_ms = clock::now().since_ms(started_at);
    let (mut head, body) = response.into_parts();
    if let Some(refusal) = forward::refusal(head.status, &metadata) {
        in_flight.end(CallOutcome::Overloaded);
        return Err(refusal);
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
            usage: CountedRequest::sent(node, outgoing.workspace.as_deref()),
            headers: answer_headers,
            in_flight: Some(in_flight),
            latency_ms,
            node: Rc::clone(node),
            run: StreamRun::begin(chosen.clone(), outgoing.clone()),
        };
        return Ok(Response::from_parts(head, Either::Right(relay)));
    }
    in_flight.end(CallOutcome::Answered { latency_ms });
    let body = read_body(body, forward::BUFFERED_ANSWER_MAX_BYTES).await.unwrap_or_default();
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

fn pass_on_error<P: Platform>(answer: CompleteAnswer) -> Answer<P> {
    let status: StatusCode = answer.status;
    let mut response = Response::new(Either::Left(Full::new(answer.body)));
    *response.status_mut() = status;
    *response.headers_mut() = answer.headers;
    response
}
