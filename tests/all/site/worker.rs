//! A stand-in of a worker: a plain service's or a model engine.
//!
//! An engine answers an item with as many events as the first byte of its body says. All that it
//! runs is recorded, so that a test can tell what ran, how often and from where.

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

/// A request whose body begins so ends each worker that begins to run it.
pub(crate) const CRASHING_BODY: &str = "crash";
/// The same for streams: the answer begins at once, and the worker ends more than a second later, before
/// any event, as if the request had waited there.
pub(crate) const CRASHING_LATE_BODY: &str = "late crash";
/// How much later.
const LATE: Duration = Duration::from_millis(1_200);

/// How a worker behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Behaviour {
    /// Refuses everything for load.
    Full,
    /// Answers without its signature.
    OmitsStamp,
    /// Runs requests and closes the connection without an answer.
    LosesAnswers,
    /// Takes orders without an answer and carries them out later.
    CarriesOutOrdersLate,
    /// As it should.
    Normal,
    /// Answers with the id of another request.
    WrongId,
    /// Falls silent after so many events of each stream.
    SilentAfter(u64),
}

/// One run of a request.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) after: u64,
    pub(crate) at: Instant,
    /// Whether the request carried a caller's key.
    pub(crate) has_key: bool,
    pub(crate) request: String,
    pub(crate) worker: String,
    /// The workspaces that it was said to be from, one a header.
    pub(crate) workspaces: Vec<String>,
}

/// What all workers of a test have run.
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
    /// How long after a crash the worker starts again, under another id.
    back_after: Duration,
    /// When its life began, in milliseconds; none where it does not tell.
    born: Option<u64>,
    busy_until: Option<Instant>,
    conduct: Behaviour,
    crashes: u64,
    event_ms: u64,
    load_ms: u64,
    orders: u64,
    orders_seen: Vec<Value>,
    /// Where it listens; none while it is down.
    server: Option<Server>,
    versions: BTreeMap<String, u64>,
    work_ms: u64,
}

/// A worker.
pub(crate) struct Worker {
    pub(crate) id: String,
    home: Home,
    sequence: u64,
    state: Arc<Mutex<State>>,
}

/// What a worker's lives share.
#[derive(Clone)]
struct Home {
    runs: Runs,
    service: String,
    store: Store,
}

/// Counts a run that its caller has left.
struct Abandon {
    state: Arc<Mutex<State>>,
    whole: bool,
}

impl Abandon {
    const fn whole(&mut self) {
        self.whole = true;
    }
}

impl Drop for Abandon {
    fn drop(&mut self) {
        if !self.whole {
            self.state.lock().expect("no test panics while it holds a worker").abandoned += 1;
        }
    }
}

impl Worker {
    /// Starts a worker and registers it.
    pub(crate) async fn start(store: &Store, runs: &Runs, service: &str, id: &str) -> Self {
        let versions = BTreeMap::from([("model-a".to_owned(), 1), ("model-b".to_owned(), 1)]);
        let state = Arc::new(Mutex::new(State {
            abandoned: 0,
            back_after: Duration::from_secs(3),
            born: None,
            busy_until: None,
            conduct: Behaviour::Normal,
            crashes: 0,
            event_ms: 10,
            load_ms: 200,
            orders: 0,
            orders_seen: Vec::new(),
            server: None,
            versions,
            work_ms: 5,
        }));
        let home = Home { runs: runs.clone(), service: service.to_owned(), store: store.clone() };
        listen(&state, &home, id, ANY_PORT).await;
        let mut worker = Self { id: id.to_owned(), home, sequence: 0, state };
        worker.register("ready");
        worker
    }

    /// Writes the worker's entry.
    pub(crate) fn register(&mut self, state: &str) {
        if self.lock().server.is_none() {
            return;
        }
        self.sequence += 1;
        register(&self.lock(), &self.home, &self.id, state, self.sequence);
    }

    /// Lets the worker tell when its life began.
    pub(crate) fn report_start_time(&mut self, born: u64) {
        self.lock().born = Some(born);
        self.register("ready");
    }

    fn begin_life(&self, born: u64) {
        let mut state = self.lock();
        state.born = Some(born);
        state.busy_until = None;
        state.orders = 0;
    }

    /// Starts the worker again under its id, at another address; it knows nothing of before.
    pub(crate) async fn restart_under_same_id(&mut self, born: u64) {
        self.crash();
        self.begin_life(born);
        self.sequence = 0;
        listen(&self.state, &self.home, &self.id, ANY_PORT).await;
        self.register("ready");
    }

    /// Removes the worker's entry; it serves on.
    pub(crate) fn deregister(&self) {
        self.home.store.remove(&format!("servers/{}", self.id));
    }

    /// Writes an entry as an older heartbeat had it.
    pub(crate) fn register_with_old_sequence(&mut self) {
        self.sequence -= 1;
        self.register("ready");
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no test panics while it holds a worker")
    }

    /// Changes how the worker behaves.
    pub(crate) fn set_behaviour(&self, conduct: Behaviour) {
        self.lock().conduct = conduct;
    }

    /// Changes how the worker behaves, for a while.
    pub(crate) fn set_behaviour_for(&self, conduct: Behaviour, lasts: Duration) {
        self.set_behaviour(conduct);
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            tokio::time::sleep(lasts).await;
            state.lock().expect("no test panics while it holds a worker").conduct =
                Behaviour::Normal;
        });
    }

    /// Changes the time between events, and that of a plain request.
    pub(crate) fn set_pace(&self, event_ms: u64, work_ms: u64) {
        let mut state = self.lock();
        state.event_ms = event_ms;
        state.work_ms = work_ms;
    }

    /// Returns the version that the worker has of a model.
    pub(crate) fn version(&self, model: &str) -> u64 {
        settle(&mut self.lock());
        self.lock().versions.get(model).copied().unwrap_or(0)
    }

    /// Returns all orders that reached the worker.
    pub(crate) fn orders_seen(&self) -> Vec<Value> {
        self.lock().orders_seen.clone()
    }

    /// Returns how many runs were left by their caller.
    pub(crate) fn abandoned(&self) -> u64 {
        self.lock().abandoned
    }

    /// Returns how often a request has ended the worker.
    pub(crate) fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Sets how long after such an end the worker is back.
    pub(crate) fn set_back_after(&self, back_after: Duration) {
        self.lock().back_after = back_after;
    }

    /// Returns where the worker listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.lock().server.as_ref().expect("it is up").address
    }

    /// Ends the worker without a word.
    pub(crate) fn crash(&self) {
        let server = self.lock().server.take();
        drop(server);
    }

    /// Returns what this worker ran.
    pub(crate) fn ran(&self) -> Vec<Run> {
        self.home.runs.all().into_iter().filter(|run| run.worker == self.id).collect()
    }
}

/// A free port of the loopback address.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

async fn listen(state: &Arc<Mutex<State>>, home: &Home, id: &str, address: SocketAddr) {
    let (shared, home, name) = (Arc::clone(state), home.clone(), id.to_owned());
    let server = Server::bind_at(address, move |request| {
        let (state, home, id) = (Arc::clone(&shared), home.clone(), name.clone());
        async move { serve(&state, &home, &id, request).await }.boxed()
    })
    .await;
    state.lock().expect("no test panics while it holds a worker").server = Some(server);
}

fn register(state: &State, home: &Home, id: &str, status: &str, sequence: u64) {
    let Some(server) = &state.server else { return };
    let models: Vec<Value> = state
        .versions
        .iter()
        .map(|(name, version)| json!({ "name": name, "version": version, "adapters": [] }))
        .collect();
    let mut entry = json!({
        "service": home.service, "address": server.address, "zone": "zone-a", "version": "v1",
        "slots": 4, "state": status, "coldLeftMs": 0, "models": models, "seq": sequence,
    });
    if let Some(born) = state.born {
        entry["born"] = json!(born);
    }
    home.store.put(&format!("servers/{id}"), &entry);
}

/// Ends a worker with all its connections; it is back at its address after a while, under another id.
fn end_by_request(state: &Arc<Mutex<State>>, home: &Home, id: &str) {
    let (server, back_after, crashes) = {
        let mut state = state.lock().expect("no test panics while it holds a worker");
        let Some(server) = state.server.take() else { return };
        state.crashes += 1;
        (server, state.back_after, state.crashes)
    };
    let address = server.address;
    let (state, home, old) = (Arc::clone(state), home.clone(), id.to_owned());
    let first = old.split('+').next().unwrap_or_default();
    let new = format!("{first}+{crashes}");
    tokio::spawn(async move {
        tokio::time::sleep(back_after).await;
        home.store.remove(&format!("servers/{old}"));
        listen(&state, &home, &new, address).await;
        register(
            &state.lock().expect("no test panics while it holds a worker"),
            &home,
            &new,
            "ready",
            1,
        );
    });
    drop(server);
}

fn settle(state: &mut State) {
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

fn text(head: &http::request::Parts, name: &str) -> Option<String> {
    Some(head.headers.get(name)?.to_str().ok()?.to_owned())
}

fn texts(head: &http::request::Parts, name: &str) -> Vec<String> {
    let values = head.headers.get_all(name).into_iter();
    values.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned()).collect()
}

async fn serve(
    state: &Arc<Mutex<State>>,
    home: &Home,
    id: &str,
    request: http::Request<Incoming>,
) -> Answer {
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    if text(&head, "x-catkinmast-expect-instance").is_some_and(|expected| expected != id) {
        return Some(answer(421, ""));
    }
    match head.uri.path() {
        "/-/report" => return Some(report(state)),
        "/-/order" => return order(state, &body),
        _ => {}
    }
    let request = text(&head, "x-catkinmast-request-id").unwrap_or_default();
    let (conduct, busy, work_ms, event_ms) = {
        let mut state = state.lock().expect("no test panics while it holds a worker");
        settle(&mut state);
        (state.conduct, state.busy_until.is_some(), state.work_ms, state.event_ms)
    };
    let streams = head.headers.contains_key("x-catkinmast-model");
    if conduct == Behaviour::Full || (busy && streams) {
        let mut refusal = answer(503, "");
        refusal.headers_mut().insert("x-catkinmast-not-run", "1".parse().ok()?);
        return Some(refusal);
    }
    let after = text(&head, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let run = Run {
        after,
        at: Instant::now(),
        has_key: head.headers.contains_key("authorization"),
        request: request.clone(),
        worker: id.to_owned(),
        workspaces: texts(&head, "x-catkinmast-tenant"),
    };
    home.runs.push(run);
    if body.starts_with(CRASHING_BODY.as_bytes()) {
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        end_by_request(state, home, id);
        return None;
    }
    if conduct == Behaviour::LosesAnswers {
        return None;
    }
    let mut abandon = Abandon { state: Arc::clone(state), whole: false };
    let mut response = if body.starts_with(CRASHING_LATE_BODY.as_bytes()) {
        http::Response::new(body_that_ends_the_worker(state, home, id))
    } else if streams {
        let model = text(&head, "x-catkinmast-model").unwrap_or_default();
        let version = {
            let state = state.lock().expect("no test panics while it holds a worker");
            state.versions.get(&model).copied().unwrap_or(0)
        };
        let events = body.first().copied().map_or(3, u64::from);
        let body = event_body(&request, after, events, event_ms, conduct, abandon);
        let mut response = http::Response::new(body);
        response.headers_mut().insert("content-type", "text/event-stream".parse().ok()?);
        response
            .headers_mut()
            .insert("x-catkinmast-weight-versions", version.to_string().parse().ok()?);
        response
    } else {
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        abandon.whole();
        answer(200, format!("{request} by {id}"))
    };
    let echoed = if conduct == Behaviour::WrongId { "another".to_owned() } else { request.clone() };
    response.headers_mut().insert("x-catkinmast-request-id", echoed.parse().ok()?);
    if conduct != Behaviour::OmitsStamp {
        let stamp = format!("stamp.{id}.{request}");
        response.headers_mut().insert("x-catkinmast-server-stamp", stamp.parse().ok()?);
    }
    Some(response)
}

fn body_that_ends_the_worker(state: &Arc<Mutex<State>>, home: &Home, id: &str) -> AnswerBody {
    let (state, home, id) = (Arc::clone(state), home.clone(), id.to_owned());
    let frames = stream::once(async move {
        tokio::time::sleep(LATE).await;
        end_by_request(&state, &home, &id);
        std::future::pending::<Result<Frame<Bytes>, std::io::Error>>().await
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

fn event_body(
    request: &str,
    after: u64,
    events: u64,
    event_ms: u64,
    conduct: Behaviour,
    abandon: Abandon,
) -> AnswerBody {
    let request = request.to_owned();
    let silent_after = if let Behaviour::SilentAfter(count) = conduct { count } else { u64::MAX };
    let frames = stream::unfold((after + 1, abandon), move |(number, mut abandon)| {
        let request = request.clone();
        async move {
            if number > events {
                abandon.whole();
                return None;
            }
            if number > after.saturating_add(silent_after) {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(Duration::from_millis(event_ms)).await;
            let event = format!("id: {number}\ndata: {request}-{number}\n\n");
            let frame = Ok::<_, std::io::Error>(Frame::data(Bytes::from(event)));
            Some((frame, (number + 1, abandon)))
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

fn report(state: &Arc<Mutex<State>>) -> http::Response<AnswerBody> {
    let mut state = state.lock().expect("no test panics while it holds a worker");
    settle(&mut state);
    let models: Vec<Value> = state
        .versions
        .iter()
        .map(|(name, version)| json!({ "name": name, "version": version }))
        .collect();
    let busy = state.busy_until.is_some();
    let mut body =
        json!({ "stage": "hybrid", "models": models, "busy": busy, "seq": state.orders });
    if let Some(born) = state.born {
        body["born"] = json!(born);
    }
    answer(200, body.to_string())
}

fn order(state: &Arc<Mutex<State>>, body: &[u8]) -> Answer {
    let order: Value = serde_json::from_slice(body).ok()?;
    let mut held = state.lock().expect("no test panics while it holds a worker");
    settle(&mut held);
    if held.busy_until.is_some() || order["expected"].as_u64() != Some(held.orders) {
        return Some(answer(409, ""));
    }
    if held.conduct == Behaviour::CarriesOutOrdersLate {
        held.conduct = Behaviour::Normal;
        let state = Arc::clone(state);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            let mut held = state.lock().expect("no test panics while it holds a worker");
            if order["expected"].as_u64() == Some(held.orders) {
                held.orders += 1;
                held.orders_seen.push(order.clone());
                apply(&mut held, &order);
            }
        });
        return None;
    }
    held.orders += 1;
    held.orders_seen.push(order);
    held.busy_until = Some(Instant::now() + Duration::from_millis(held.load_ms));
    Some(answer(202, ""))
}
