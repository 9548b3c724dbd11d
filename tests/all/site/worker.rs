//! A stand-in for a worker, i.e. a target that is a plain service or a model engine.
//!
//! An engine streams as many events for an item as the first byte of the request's body says. All
//! runs are recorded, so that a test can check what ran, how often, and from which event it
//! resumed.

use super::harness::until;
use super::store::Store;
use super::web::{Answer, AnswerBody, Server, answer};
use bytes::Bytes;
use futures::FutureExt;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;

/// A request whose body starts with this text crashes each worker that starts to run it.
pub(crate) const CRASHING_BODY: &str = "crash";
/// A stream whose body starts with this text crashes the worker after [`LATE_CRASH_DELAY`]. The
/// response headers are sent at once and no event follows, like a request that is still queued at
/// the worker.
pub(crate) const CRASHING_LATE_BODY: &str = "late crash";
/// Delay of a late crash.
const LATE_CRASH_DELAY: Duration = Duration::from_millis(1_200);

/// How a worker responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Behaviour {
    /// Rejects all requests because of overload.
    Full,
    /// Responds without the header that identifies the worker.
    OmitsStamp,
    /// Runs requests and closes the connection without a response.
    LosesAnswers,
    /// Accepts one order without a response and carries it out later.
    CarriesOutOrdersLate,
    /// Responds as specified.
    Normal,
    /// Responds with the id of another request.
    WrongId,
    /// Stops sending after this many events of each stream, with the connection open.
    SilentAfter(u64),
}

/// One run of a request.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) after: u64,
    pub(crate) at: Instant,
    /// Whether the request had an `Authorization` header, i.e. a caller's key.
    pub(crate) has_key: bool,
    pub(crate) request: String,
    pub(crate) worker: String,
    /// The values of the request's workspace headers.
    pub(crate) workspaces: Vec<String>,
}

/// The runs of all workers of a test.
#[derive(Clone, Debug, Default)]
pub(crate) struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    /// Returns all runs so far.
    pub(crate) fn all(&self) -> Vec<Run> {
        self.0.lock().expect("no test panics while it holds the runs").clone()
    }

    /// Returns the runs of a request.
    pub(crate) fn of(&self, request: &str) -> Vec<Run> {
        self.all().into_iter().filter(|run| run.request == request).collect()
    }

    fn push(&self, run: Run) {
        self.0.lock().expect("no test panics while it holds the runs").push(run);
    }
}

struct State {
    abandoned: u64,
    cold_left_ms: u64,
    /// How long after a crash by a request the worker restarts, under another id.
    restart_after: Duration,
    /// The start time it reports, in milliseconds; `None` if it does not report one.
    started_at_ms: Option<u64>,
    busy_until: Option<Instant>,
    behaviour: Behaviour,
    crashes: u64,
    event_ms: u64,
    load_ms: u64,
    orders: u64,
    orders_seen: Vec<Value>,
    /// The listening server; `None` while the worker is down.
    server: Option<Server>,
    versions: BTreeMap<String, u64>,
    work_ms: u64,
    zone: String,
}

/// A worker, across its restarts.
pub(crate) struct Worker {
    pub(crate) id: String,
    context: SharedContext,
    sequence: u64,
    state: Arc<Mutex<State>>,
}

/// What all incarnations of a worker share.
#[derive(Clone)]
struct SharedContext {
    runs: Runs,
    service: String,
    store: Store,
}

/// Counts a run as abandoned if it is dropped before it is complete, because its caller
/// disconnected or the worker crashed.
struct AbandonGuard {
    state: Arc<Mutex<State>>,
    complete: bool,
}

impl AbandonGuard {
    const fn complete(&mut self) {
        self.complete = true;
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if !self.complete {
            self.state.lock().expect("no test panics while it holds a worker").abandoned += 1;
        }
    }
}

impl Worker {
    /// Starts a worker and registers it in the store.
    pub(crate) async fn start(store: &Store, runs: &Runs, service: &str, id: &str) -> Self {
        let versions = BTreeMap::from([("model-a".to_owned(), 1), ("model-b".to_owned(), 1)]);
        let state = Arc::new(Mutex::new(State {
            abandoned: 0,
            cold_left_ms: 0,
            restart_after: Duration::from_secs(3),
            started_at_ms: None,
            busy_until: None,
            behaviour: Behaviour::Normal,
            crashes: 0,
            event_ms: 10,
            load_ms: 200,
            orders: 0,
            orders_seen: Vec::new(),
            server: None,
            versions,
            work_ms: 5,
            zone: "zone-a".to_owned(),
        }));
        let context =
            SharedContext { runs: runs.clone(), service: service.to_owned(), store: store.clone() };
        listen(&state, &context, id, ANY_PORT).await;
        let mut worker = Self { id: id.to_owned(), context, sequence: 0, state };
        worker.register("ready");
        worker
    }

    /// Writes the worker's registry entry with this state, unless the worker is down.
    pub(crate) fn register(&mut self, state: &str) {
        if self.lock().server.is_none() {
            return;
        }
        self.sequence += 1;
        register(&self.lock(), &self.context, &self.id, state, self.sequence);
    }

    /// Registers the worker in another zone.
    pub(crate) fn move_to_zone(&mut self, zone: &str) {
        zone.clone_into(&mut self.lock().zone);
        self.register("ready");
    }

    /// Registers the worker as cold for some more time.
    pub(crate) fn report_cold(&mut self, cold_left_ms: u64) {
        self.lock().cold_left_ms = cold_left_ms;
        self.register("ready");
    }

    /// Makes the worker report a start time.
    pub(crate) fn report_start_time(&mut self, started_at_ms: u64) {
        self.lock().started_at_ms = Some(started_at_ms);
        self.register("ready");
    }

    fn reset_state(&self, started_at_ms: u64) {
        let mut state = self.lock();
        state.started_at_ms = Some(started_at_ms);
        state.busy_until = None;
        state.orders = 0;
    }

    /// Restarts the worker under its id, at another address and without its earlier state.
    pub(crate) async fn restart_under_same_id(&mut self, started_at_ms: u64) {
        self.crash();
        self.reset_state(started_at_ms);
        self.sequence = 0;
        listen(&self.state, &self.context, &self.id, ANY_PORT).await;
        self.register("ready");
    }

    /// Removes the worker's registry entry; the worker continues to serve.
    pub(crate) fn deregister(&self) {
        self.context.store.remove(&format!("servers/{}", self.id));
    }

    /// Writes a registry entry with an older sequence number, like a heartbeat that arrives late.
    pub(crate) fn register_with_old_sequence(&mut self) {
        self.sequence -= 1;
        self.register("ready");
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no test panics while it holds a worker")
    }

    /// Changes how the worker responds.
    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Changes how the worker responds, and restores the normal behaviour after `duration`.
    pub(crate) fn set_behaviour_for(&self, behaviour: Behaviour, duration: Duration) {
        self.set_behaviour(behaviour);
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            state.lock().expect("no test panics while it holds a worker").behaviour =
                Behaviour::Normal;
        });
    }

    /// Sets the time between events of a stream, and the duration of a plain request.
    pub(crate) fn set_pace(&self, event_ms: u64, work_ms: u64) {
        let mut state = self.lock();
        state.event_ms = event_ms;
        state.work_ms = work_ms;
    }

    /// Returns the weight version that the worker has of a model.
    pub(crate) fn version(&self, model: &str) -> u64 {
        finish_due_order(&mut self.lock());
        self.lock().versions.get(model).copied().unwrap_or(0)
    }

    /// Returns all orders that the worker has accepted.
    pub(crate) fn orders_seen(&self) -> Vec<Value> {
        self.lock().orders_seen.clone()
    }

    /// Returns how many runs were dropped before they were complete, because their caller
    /// disconnected or the worker crashed.
    pub(crate) fn abandoned(&self) -> u64 {
        self.lock().abandoned
    }

    /// Returns how often a request has crashed the worker.
    pub(crate) fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Sets how long after a crash by a request the worker restarts.
    pub(crate) fn set_restart_after(&self, restart_after: Duration) {
        self.lock().restart_after = restart_after;
    }

    /// Returns the address on which the worker listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.lock().server.as_ref().expect("it is up").address
    }

    /// Stops the worker without deregistering it.
    pub(crate) fn crash(&self) {
        let server = self.lock().server.take();
        drop(server);
    }

    /// Stops the worker without deregistering it, and returns a socket that refuses connections at
    /// its address. While no socket holds the port, another connection of this machine may take it,
    /// and the worker cannot listen there again.
    pub(crate) async fn crash_and_hold_port(&self) -> TcpSocket {
        let address = self.address();
        self.crash();
        until("the port is free", || async {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_reuseaddr(true).expect("the option is known");
            socket.bind(address).is_ok().then_some(socket)
        })
        .await
    }

    /// Listens again at the address and under the id that it had before a crash.
    pub(crate) async fn listen_again(&self, held_port: TcpSocket) {
        let address = held_port.local_addr().expect("it is bound");
        listen(&self.state, &self.context, &self.id, address).await;
    }

    /// Returns the runs of this worker under its first id, i.e. those before the first crash by a
    /// request.
    pub(crate) fn ran(&self) -> Vec<Run> {
        self.context.runs.all().into_iter().filter(|run| run.worker == self.id).collect()
    }
}

/// A free port of the loopback address.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

async fn listen(state: &Arc<Mutex<State>>, context: &SharedContext, id: &str, address: SocketAddr) {
    let (shared, context, name) = (Arc::clone(state), context.clone(), id.to_owned());
    let server = Server::bind_at(address, move |request| {
        let (state, context, id) = (Arc::clone(&shared), context.clone(), name.clone());
        async move { serve(&state, &context, &id, request).await }.boxed()
    })
    .await;
    state.lock().expect("no test panics while it holds a worker").server = Some(server);
}

fn register(state: &State, context: &SharedContext, id: &str, status: &str, sequence: u64) {
    let Some(server) = &state.server else { return };
    let models: Vec<Value> = state
        .versions
        .iter()
        .map(|(name, version)| json!({ "name": name, "version": version, "adapters": [] }))
        .collect();
    let mut entry = json!({
        "service": context.service, "address": server.address, "zone": state.zone, "version": "v1",
        "slots": 4, "state": status, "coldLeftMs": state.cold_left_ms, "models": models, "seq": sequence,
    });
    if let Some(started_at_ms) = state.started_at_ms {
        entry["born"] = json!(started_at_ms);
    }
    context.store.put(&format!("servers/{id}"), &entry);
}

/// Crashes a worker with all its connections. It restarts at the same address after a while, under
/// another id.
fn crash_by_request(state: &Arc<Mutex<State>>, context: &SharedContext, id: &str) {
    let (server, restart_after, crashes) = {
        let mut state = state.lock().expect("no test panics while it holds a worker");
        let Some(server) = state.server.take() else { return };
        state.crashes += 1;
        (server, state.restart_after, state.crashes)
    };
    let address = server.address;
    let (state, context, old) = (Arc::clone(state), context.clone(), id.to_owned());
    let first = old.split('+').next().unwrap_or_default();
    let new = format!("{first}+{crashes}");
    tokio::spawn(async move {
        tokio::time::sleep(restart_after).await;
        context.store.remove(&format!("servers/{old}"));
        listen(&state, &context, &new, address).await;
        register(
            &state.lock().expect("no test panics while it holds a worker"),
            &context,
            &new,
            "ready",
            1,
        );
    });
    drop(server);
}

fn finish_due_order(state: &mut State) {
    if state.busy_until.is_some_and(|until| until <= Instant::now()) {
        state.busy_until = None;
        if let Some(order) = state.orders_seen.last().cloned() {
            apply(state, &order);
        }
    }
}

fn apply(state: &mut State, order: &Value) {
    let model = order["model"].as_str().unwrap_or_default().to_owned();
    state.versions.insert(model, order["version"].as_u64().unwrap_or(0));
}

fn header_text(head: &http::request::Parts, name: &str) -> Option<String> {
    Some(head.headers.get(name)?.to_str().ok()?.to_owned())
}

fn header_texts(head: &http::request::Parts, name: &str) -> Vec<String> {
    let values = head.headers.get_all(name).into_iter();
    values.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned()).collect()
}

async fn serve(
    state: &Arc<Mutex<State>>,
    context: &SharedContext,
    id: &str,
    request: http::Request<Incoming>,
) -> Answer {
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    if header_text(&head, "x-catkinmast-expect-instance").is_some_and(|expected| expected != id) {
        return Some(answer(421, ""));
    }
    match head.uri.path() {
        "/-/report" => return Some(report(state)),
        "/-/order" => return order(state, &body),
        _ => {}
    }
    let request = header_text(&head, "x-catkinmast-request-id").unwrap_or_default();
    let (behaviour, busy, work_ms, event_ms) = {
        let mut state = state.lock().expect("no test panics while it holds a worker");
        finish_due_order(&mut state);
        (state.behaviour, state.busy_until.is_some(), state.work_ms, state.event_ms)
    };
    let streams = head.headers.contains_key("x-catkinmast-model");
    if behaviour == Behaviour::Full || (busy && streams) {
        let mut refusal = answer(503, "");
        refusal.headers_mut().insert("x-catkinmast-not-run", "1".parse().ok()?);
        return Some(refusal);
    }
    let after = header_text(&head, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let run = Run {
        after,
        at: Instant::now(),
        has_key: head.headers.contains_key("authorization"),
        request: request.clone(),
        worker: id.to_owned(),
        workspaces: header_texts(&head, "x-catkinmast-tenant"),
    };
    context.runs.push(run);
    if body.starts_with(CRASHING_BODY.as_bytes()) {
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        crash_by_request(state, context, id);
        return None;
    }
    if behaviour == Behaviour::LosesAnswers {
        return None;
    }
    let mut guard = AbandonGuard { state: Arc::clone(state), complete: false };
    let mut response = if body.starts_with(CRASHING_LATE_BODY.as_bytes()) {
        http::Response::new(crashing_body(state, context, id))
    } else if streams {
        let model = header_text(&head, "x-catkinmast-model").unwrap_or_default();
        let version = {
            let state = state.lock().expect("no test panics while it holds a worker");
            state.versions.get(&model).copied().unwrap_or(0)
        };
        let events = body.first().copied().map_or(3, u64::from);
        let body = event_stream(&request, after, events, event_ms, behaviour, guard);
        let mut response = http::Response::new(body);
        response.headers_mut().insert("content-type", "text/event-stream".parse().ok()?);
        response
            .headers_mut()
            .insert("x-catkinmast-weight-versions", version.to_string().parse().ok()?);
        response
    } else {
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        guard.complete();
        answer(200, format!("{request} by {id}"))
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

fn report(state: &Arc<Mutex<State>>) -> http::Response<AnswerBody> {
    let mut state = state.lock().expect("no test panics while it holds a worker");
    finish_due_order(&mut state);
    let models: Vec<Value> = state
        .versions
        .iter()
        .map(|(name, version)| json!({ "name": name, "version": version }))
        .collect();
    let busy = state.busy_until.is_some();
    let mut body =
        json!({ "stage": "hybrid", "models": models, "busy": busy, "seq": state.orders });
    if let Some(started_at_ms) = state.started_at_ms {
        body["born"] = json!(started_at_ms);
    }
    answer(200, body.to_string())
}

fn order(state: &Arc<Mutex<State>>, body: &[u8]) -> Answer {
    let order: Value = serde_json::from_slice(body).ok()?;
    let mut worker = state.lock().expect("no test panics while it holds a worker");
    finish_due_order(&mut worker);
    if worker.busy_until.is_some() || order["expected"].as_u64() != Some(worker.orders) {
        return Some(answer(409, ""));
    }
    if worker.behaviour == Behaviour::CarriesOutOrdersLate {
        worker.behaviour = Behaviour::Normal;
        let state = Arc::clone(state);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            let mut worker = state.lock().expect("no test panics while it holds a worker");
            if order["expected"].as_u64() == Some(worker.orders) {
                worker.orders += 1;
                worker.orders_seen.push(order.clone());
                apply(&mut worker, &order);
            }
        });
        return None;
    }
    worker.orders += 1;
    worker.orders_seen.push(order);
    worker.busy_until = Some(Instant::now() + Duration::from_millis(worker.load_ms));
    Some(answer(202, ""))
}
