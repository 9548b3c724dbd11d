//! A stand-in for a worker, i.e. a target that is a plain service or a model engine.
//!
//! An engine streams as many events for an item as the first byte of the request's body says. All
//! runs are recorded, so that a test can check what ran, how often, and from which event it
//! resumed.

mod capacity;
mod endless;
mod orders;
mod registry;
mod repeating;
mod runs;
mod serving;

pub(crate) use capacity::RequestCounts;
pub(crate) use endless::{EndlessWorker, Reply};
pub(crate) use repeating::{Exchange, RepeatingWorker, Script, Scripted};
pub(crate) use runs::{Run, Runs};

use super::harness::until;
use super::proxy::Proxy;
use super::store::Store;
use super::web::Server;
use capacity::{Capacity, SharedCounts};
use registry::{ANY_PORT, listen, register};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;

/// A request whose body starts with this text crashes each worker that starts to run it.
pub(crate) const CRASHING_BODY: &str = "crash";
/// A stream whose body starts with this text crashes the worker after [`LATE_CRASH_DELAY`]. The
/// response headers are sent at once and no event follows, like a request that is still queued at
/// the worker.
pub(crate) const CRASHING_LATE_BODY: &str = "late crash";
/// A request whose body is one byte and this text is sound, but its first [`UNLUCKY_RUNS`] runs,
/// under any request ids, meet a crash of the worker. The first byte is the number of events.
const UNLUCKY_TEXT: &[u8] = b"unlucky";
/// How many runs of an unlucky request meet a crash.
pub(crate) const UNLUCKY_RUNS: usize = 3;
/// A request whose body is one byte and this text is run and answered with 500.
pub(crate) const FAILING_TEXT: &[u8] = b"failing";
/// A request whose body is one byte and this text is run and answered with 422.
pub(crate) const UNPROCESSABLE_TEXT: &[u8] = b"unprocessable";
/// Delay of a late crash.
const LATE_CRASH_DELAY: Duration = Duration::from_millis(1_200);

/// How a worker responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Behaviour {
    /// Answers with a text of this many bytes.
    AnswersLong(usize),
    /// Rejects all requests because of overload.
    Full,
    /// Responds without the header that identifies the worker.
    OmitsStamp,
    /// Runs requests and responds with this status, with neither its stamp nor the header of a
    /// refusal.
    RunsAndAnswersUnsigned(u16),
    /// Runs requests and closes the connection without a response.
    LosesAnswers,
    /// Runs requests and keeps the connection open without a response.
    WithholdsAnswers,
    /// Accepts one order without a response and carries it out later.
    CarriesOutOrdersLate,
    /// Responds as specified.
    Normal,
    /// Responds with the id of another request.
    WrongId,
    /// Stops sending after this many events of each stream, with the connection open.
    SilentAfter(u64),
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
    capacity: Capacity,
    crashes: u64,
    event_ms: u64,
    /// The address in its registry entry, if that is not the server's own.
    link_address: Option<SocketAddr>,
    load_ms: u64,
    orders: u64,
    orders_seen: Vec<Value>,
    /// The listening server; `None` while the worker is down.
    server: Option<Server>,
    /// The number of slots that its registry entry states.
    slots: usize,
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
    counts: SharedCounts,
    runs: Runs,
    service: String,
    store: Store,
}

impl Worker {
    /// Starts a worker and registers it in the store.
    pub(crate) async fn start(store: &Store, runs: &Runs, service: &str, id: &str) -> Self {
        let mut worker = Self::listen(store, runs, service, id).await;
        worker.register("ready");
        worker
    }

    /// Starts a worker that is reached only through the returned proxy, and registers it.
    pub(crate) async fn start_behind_proxy(
        store: &Store,
        runs: &Runs,
        service: &str,
        id: &str,
    ) -> (Self, Proxy) {
        let mut worker = Self::listen(store, runs, service, id).await;
        let link = Proxy::start(worker.address()).await;
        worker.lock().link_address = Some(link.address);
        worker.register("ready");
        (worker, link)
    }

    async fn listen(store: &Store, runs: &Runs, service: &str, id: &str) -> Self {
        let versions = BTreeMap::from([("model-a".to_owned(), 1), ("model-b".to_owned(), 1)]);
        let state = Arc::new(Mutex::new(State {
            abandoned: 0,
            cold_left_ms: 0,
            restart_after: Duration::from_secs(3),
            started_at_ms: None,
            busy_until: None,
            behaviour: Behaviour::Normal,
            capacity: Capacity::unlimited(),
            crashes: 0,
            event_ms: 10,
            link_address: None,
            load_ms: 200,
            orders: 0,
            orders_seen: Vec::new(),
            server: None,
            slots: 4,
            versions,
            work_ms: 5,
            zone: "zone-a".to_owned(),
        }));
        let context = SharedContext {
            counts: SharedCounts::default(),
            runs: runs.clone(),
            service: service.to_owned(),
            store: store.clone(),
        };
        listen(&state, &context, id, ANY_PORT).await;
        Self { id: id.to_owned(), context, sequence: 0, state }
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

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
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
            lock(&state).behaviour = Behaviour::Normal;
        });
    }

    /// Sets the time between events of a stream, and the duration of a plain request.
    pub(crate) fn set_pace(&self, event_ms: u64, work_ms: u64) {
        let mut state = self.lock();
        state.event_ms = event_ms;
        state.work_ms = work_ms;
    }

    /// Limits the requests that the worker runs at once and those that it queues, and registers the
    /// number of slots. It refuses requests beyond them. Without a limit it runs all at once.
    ///
    /// Applies to requests that arrive from now on.
    pub(crate) fn set_capacity(&mut self, slots: usize, queue_places: usize) {
        self.lock().capacity = Capacity::new(slots, queue_places);
        self.lock().slots = slots;
        self.register("ready");
    }

    /// Returns the requests that the worker has received so far.
    pub(crate) fn counts(&self) -> RequestCounts {
        self.context.counts.get()
    }

    /// Returns the weight version that the worker has of a model.
    pub(crate) fn version(&self, model: &str) -> u64 {
        orders::finish_due_order(&mut self.lock());
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

/// Returns the body of a sound request whose first [`UNLUCKY_RUNS`] runs meet a crash.
pub(crate) fn unlucky_body(events: u8) -> Vec<u8> {
    [&[events], UNLUCKY_TEXT].concat()
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no test panics while it holds a worker")
}
