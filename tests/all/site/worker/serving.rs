//! Serving of requests: plain answers and streams of events.

use super::capacity::Slot;
use super::orders::{finish_due_order, order, report};
use super::registry::crash_by_request;
use super::runs::Run;
use super::{
    Behaviour, CRASHING_BODY, CRASHING_LATE_BODY, FAILING_TEXT, LATE_CRASH_DELAY, SharedContext,
    State, UNLUCKY_RUNS, UNLUCKY_TEXT, UNPROCESSABLE_TEXT, lock,
};
use crate::site::web::{Answer, AnswerBody, answer};
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Holds the slot of a run. Counts the run as abandoned if it is dropped before it is complete,
/// because its caller disconnected or the worker crashed.
struct AbandonGuard {
    complete: bool,
    _slot: Slot,
    state: Arc<Mutex<State>>,
}

impl AbandonGuard {
    const fn complete(&mut self) {
        self.complete = true;
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if !self.complete {
            lock(&self.state).abandoned += 1;
        }
    }
}

fn header_text(head: &http::request::Parts, name: &str) -> Option<String> {
    Some(head.headers.get(name)?.to_str().ok()?.to_owned())
}

fn header_texts(head: &http::request::Parts, name: &str) -> Vec<String> {
    let values = head.headers.get_all(name).into_iter();
    values.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned()).collect()
}

/// Serves a request; `id` is the worker's current id.
pub(super) async fn serve(
    state: &Arc<Mutex<State>>,
    context: &SharedContext,
    id: &str,
    request: http::Request<Incoming>,
) -> Answer {
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    if header_text(&head, "x-catkinmast-expect-instance").is_some_and(|expected| expected != id) {
        let mut refusal = answer(421, "");
        echo_id(&mut refusal, &head)?;
        return Some(refusal);
    }
    match head.uri.path() {
        "/-/report" => return Some(report(state)),
        "/-/order" => return order(state, &body),
        _ => {}
    }
    context.counts.update(|counts| counts.arrivals += 1);
    let (behaviour, busy, capacity) = {
        let mut state = lock(state);
        finish_due_order(&mut state);
        (state.behaviour, state.busy_until.is_some(), state.capacity.clone())
    };
    if behaviour == Behaviour::Full || (busy && is_stream(&head)) {
        return refuse(context, &head);
    }
    let Some(slot) = capacity.acquire().await else { return refuse(context, &head) };
    context.counts.update(|counts| counts.runs += 1);
    context.runs.push(new_run(&head, &body, id));
    run(state, context, id, &head, &body, behaviour, slot).await
}

/// Refuses a request for load, with the header that says that it did not run.
fn refuse(context: &SharedContext, head: &http::request::Parts) -> Answer {
    context.counts.update(|counts| counts.refusals += 1);
    let mut refusal = answer(503, "");
    echo_id(&mut refusal, head)?;
    refusal.headers_mut().insert("x-catkinmast-not-run", "1".parse().ok()?);
    Some(refusal)
}

/// Names the request in the answer to it, if it has an id.
fn echo_id(answer: &mut http::Response<AnswerBody>, head: &http::request::Parts) -> Option<()> {
    if let Some(id) = header_text(head, "x-catkinmast-request-id") {
        answer.headers_mut().insert("x-catkinmast-request-id", id.parse().ok()?);
    }
    Some(())
}

fn is_stream(head: &http::request::Parts) -> bool {
    head.headers.contains_key("x-catkinmast-model")
}

fn request_id(head: &http::request::Parts) -> String {
    header_text(head, "x-catkinmast-request-id").unwrap_or_default()
}

/// Returns the last event that the caller has received, after which a stream continues.
fn last_event(head: &http::request::Parts) -> u64 {
    header_text(head, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn new_run(head: &http::request::Parts, body: &Bytes, id: &str) -> Run {
    Run {
        after: last_event(head),
        at: Instant::now(),
        body: body.clone(),
        deadline_ms: header_text(head, "x-catkinmast-deadline-ms").and_then(|ms| ms.parse().ok()),
        has_key: head.headers.contains_key("authorization"),
        request: request_id(head),
        worker: id.to_owned(),
        workspaces: header_texts(head, "x-catkinmast-tenant"),
    }
}

async fn run(
    state: &Arc<Mutex<State>>,
    context: &SharedContext,
    id: &str,
    head: &http::request::Parts,
    body: &Bytes,
    behaviour: Behaviour,
    slot: Slot,
) -> Answer {
    let work = Duration::from_millis(lock(state).work_ms);
    let meets_crash = is_unlucky(body) && context.runs.count_of_body(body) <= UNLUCKY_RUNS;
    if meets_crash || body.starts_with(CRASHING_BODY.as_bytes()) {
        tokio::time::sleep(work).await;
        crash_by_request(state, context, id);
        return None;
    }
    if behaviour == Behaviour::LosesAnswers {
        return None;
    }
    if let Behaviour::RunsAndAnswersUnsigned(status) = behaviour {
        return Some(answer(status, ""));
    }
    let mut guard = AbandonGuard { complete: false, _slot: slot, state: Arc::clone(state) };
    if behaviour == Behaviour::WithholdsAnswers {
        std::future::pending::<()>().await;
    }
    let request = request_id(head);
    let mut response = if let Some(status) = failure_status(body) {
        guard.complete();
        answer(status, "")
    } else if body.starts_with(CRASHING_LATE_BODY.as_bytes()) {
        http::Response::new(crashing_body(state, context, id))
    } else if is_stream(head) {
        stream_events(state, head, body, behaviour, guard)?
    } else {
        tokio::time::sleep(work).await;
        guard.complete();
        match behaviour {
            Behaviour::AnswersLong(bytes) => answer(200, "x".repeat(bytes)),
            _ => answer(200, format!("{request} by {id}")),
        }
    };
    let echoed =
        if behaviour == Behaviour::WrongId { "another".to_owned() } else { request.clone() };
    response.headers_mut().insert("x-catkinmast-request-id", echoed.parse().ok()?);
    if behaviour != Behaviour::OmitsStamp {
        let stamp = format!("stamp.{id}.{request}");
        response.headers_mut().insert("x-catkinmast-server-stamp", stamp.parse().ok()?);
    }
    Some(response)
}

fn stream_events(
    state: &Mutex<State>,
    head: &http::request::Parts,
    body: &Bytes,
    behaviour: Behaviour,
    guard: AbandonGuard,
) -> Answer {
    let model = header_text(head, "x-catkinmast-model").unwrap_or_default();
    let (version, event_ms) = {
        let state = lock(state);
        (state.versions.get(&model).copied().unwrap_or(0), state.event_ms)
    };
    let events = body.first().copied().map_or(3, u64::from);
    let body =
        event_stream(&request_id(head), last_event(head), events, event_ms, behaviour, guard);
    let mut response = http::Response::new(body);
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().ok()?);
    headers.insert("x-catkinmast-weight-versions", version.to_string().parse().ok()?);
    Some(response)
}

/// Returns the status with which each run of a request with this body is answered, if it fails.
fn failure_status(body: &[u8]) -> Option<u16> {
    match body.get(1..)? {
        FAILING_TEXT => Some(500),
        UNPROCESSABLE_TEXT => Some(422),
        _ => None,
    }
}

/// Returns whether the first runs of a request with this body meet a crash.
fn is_unlucky(body: &[u8]) -> bool {
    body.get(1..).is_some_and(|text| text.starts_with(UNLUCKY_TEXT))
}

fn crashing_body(state: &Arc<Mutex<State>>, context: &SharedContext, id: &str) -> AnswerBody {
    let (state, context, id) = (Arc::clone(state), context.clone(), id.to_owned());
    let frames = stream::once(async move {
        tokio::time::sleep(LATE_CRASH_DELAY).await;
        crash_by_request(&state, &context, &id);
        std::future::pending::<Result<Frame<Bytes>, std::io::Error>>().await
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

fn event_stream(
    request: &str,
    after: u64,
    events: u64,
    event_ms: u64,
    behaviour: Behaviour,
    guard: AbandonGuard,
) -> AnswerBody {
    let request = request.to_owned();
    let silent_after = if let Behaviour::SilentAfter(count) = behaviour { count } else { u64::MAX };
    let frames = stream::unfold((after + 1, guard), move |(number, mut guard)| {
        let request = request.clone();
        async move {
            if number > events {
                guard.complete();
                return None;
            }
            if number > after.saturating_add(silent_after) {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(Duration::from_millis(event_ms)).await;
            let event = format!("id: {number}\ndata: {request}-{number}\n\n");
            let frame = Ok::<_, std::io::Error>(Frame::data(Bytes::from(event)));
            Some((frame, (number + 1, guard)))
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
