//! The handle of a running node: starts, drains and stops it.

use crate::api::{self, WebServer};
use crate::clock::Clock;
use crate::control::{self, Input, StartArguments};
use crate::edge::holdings::Holdings;
use crate::edge::peer;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::{Clients, Shared, Traffic};
use crate::snapshot::Snapshot;
use arc_swap::ArcSwap;
use catkinmast_member::{NodeFact, NodeState};
use catkinmast_model::{Incarnation, Name, UnixMs};
use displaydoc::Display;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot};

/// Size of the receive buffer; a valid frame is always smaller than this.
const DATAGRAM_BUFFER_BYTES: usize = 2_048;
/// The capacity that every node reports. It is the same for all, so that duties are shared equally
/// whatever hardware the nodes run on.
const REPORTED_CAPACITY_MILLICORES: u32 = 1_000;
/// Interval between checks of whether a drain is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a drain waits for the control thread to release its duties and stop.
const CONTROL_STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Read timeout of the datagram socket, after which its thread checks whether the node has stopped.
const SOCKET_READ_TIMEOUT: Duration = Duration::from_millis(200);

/// the node cannot start: {part}: {message}
#[derive(Clone, Debug, Display)]
pub struct NodeError {
    /// The cause.
    pub message: String,
    /// The part of the node that failed.
    pub part: &'static str,
}

impl std::error::Error for NodeError {}

fn start_error(part: &'static str) -> impl FnOnce(std::io::Error) -> NodeError {
    move |error| NodeError { message: error.to_string(), part }
}

/// The result of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainReport {
    /// Number of requests and runs that were still in progress at the deadline and were aborted.
    pub cut: usize,
    /// When the drain completed or its deadline passed.
    pub ended_at: UnixMs,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    inputs: Sender<Input>,
    peers_task: tokio::task::JoinHandle<()>,
    shared: Arc<Shared>,
    stopped: Arc<OnceLock<()>>,
    web: WebServer,
}

impl Node {
    /// Starts a node on the caller's runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, or the HTTP server or a thread cannot be started.
    pub async fn spawn(settings: Settings) -> Result<Self, NodeError> {
        let (socket, listener) = bind_control(settings.control).await?;
        let control = socket.local_addr().map_err(start_error("control address"))?;
        let incarnation = Incarnation(UnixMs::from_wall_clock().0);
        let (inputs, received) = std::sync::mpsc::channel();
        let clients = Clients::open(settings.platform);
        let shared = Arc::new(Shared {
            clients,
            clock: Clock::start(),
            control,
            datagrams_waiting: AtomicUsize::new(0),
            drain_requested: Notify::new(),
            holdings: Mutex::new(Holdings::default()),
            in_progress: AtomicUsize::new(0),
            incarnation,
            inputs: inputs.clone(),
            metrics: Metrics::open(),
            next_request: AtomicU64::new(0),
            settings,
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            traffic: Traffic::open(incarnation.0 ^ u64::from(control.port())),
        });
        let web = api::serve(Arc::clone(&shared))
            .await
            .map_err(|message| NodeError { message, part: "HTTP server" })?;
        let me = NodeFact {
            capacity_millicores: REPORTED_CAPACITY_MILLICORES,
            control,
            data_centre: shared.settings.data_centre.clone(),
            has_data_folder: shared.settings.data_folder.is_some(),
            http: web.address,
            incarnation,
            name: shared.settings.name.clone(),
            refutation: 0,
            state: NodeState::Live,
        };
        let peers_task = tokio::spawn(peer::serve(Arc::clone(&shared), listener));
        let stopped = Arc::new(OnceLock::new());
        receive_datagrams(&socket, &shared, &stopped)?;
        let runtime = Handle::current();
        let start =
            StartArguments { inputs: received, me, runtime, shared: Arc::clone(&shared), socket };
        // The thread is not joined; it ends on `Input::Stop`.
        control::spawn(start).map_err(start_error("control thread"))?;
        Ok(Self { inputs, peers_task, shared, stopped, web })
    }

    /// Returns the node's name.
    pub fn name(&self) -> &Name {
        &self.shared.settings.name
    }

    /// Returns the HTTP address for callers, trainers and operators.
    pub const fn http_address(&self) -> SocketAddr {
        self.web.address
    }

    /// Returns the address for other nodes, for both UDP and TCP.
    pub fn control_address(&self) -> SocketAddr {
        self.shared.control
    }

    /// Waits until an operator has requested that this node drain.
    pub async fn drain_requested(&self) {
        self.shared.drain_requested.notified().await;
    }

    /// Drains the node and stops it.
    ///
    /// Answers to address lookups no longer name the node from the start of the drain. The node
    /// goes on serving until every earlier answer that names it has expired and its last request
    /// has ended. The configuration's `drain_deadline_ms` bounds the wait; requests and runs that
    /// are still in progress then are aborted and counted in the report.
    pub async fn drain(mut self) -> DrainReport {
        self.shared.send_input(Input::Leave);
        let deadline_ms =
            self.shared.snapshot().document().map_or(30_000, |d| d.limits.drain_deadline_ms);
        let deadline = self.shared.now().plus(deadline_ms);
        let cut = loop {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            let now = self.shared.now();
            let in_progress = self.shared.in_progress.load(Ordering::SeqCst);
            let leaving_until = self.shared.snapshot().leaving_until;
            let answers_expired = leaving_until.is_some_and(|until| now >= until);
            if answers_expired && in_progress == 0 {
                break 0;
            }
            if now >= deadline {
                break in_progress;
            }
        };
        if cut > 0 {
            log::warn!("the drain deadline passed; aborting {cut} requests in progress");
        }
        self.stop_control().await;
        self.web.shutdown.clone().notify();
        if let Err(error) = (&mut self.web.task).await {
            log::warn!("the web server task failed during shutdown: {error}");
        }
        DrainReport { cut, ended_at: self.shared.now() }
    }

    async fn stop_control(&mut self) {
        let (done, stopped) = oneshot::channel();
        if self.inputs.send(Input::Stop { done }).is_ok()
            && tokio::time::timeout(CONTROL_STOP_TIMEOUT, stopped).await.is_err()
        {
            log::warn!("the control thread did not stop within {CONTROL_STOP_TIMEOUT:?}");
        }
    }

    /// Stops without notifying other nodes, as a crash would. For tests and demonstrations.
    pub fn crash(self) {
        drop(self);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let (done, _stopped) = oneshot::channel();
        // Sending fails if the control thread has stopped already.
        let _already_stopped = self.inputs.send(Input::Stop { done });
        let _already_set = self.stopped.set(());
        self.peers_task.abort();
        self.web.task.abort();
    }
}

/// Binds the same port for UDP and TCP.
async fn bind_control(address: SocketAddr) -> Result<(UdpSocket, TcpListener), NodeError> {
    let listener = TcpListener::bind(address).await.map_err(start_error("control address"))?;
    let bound = listener.local_addr().map_err(start_error("control address"))?;
    let socket = UdpSocket::bind(bound).map_err(start_error("control address"))?;
    Ok((socket, listener))
}

/// Starts the thread that receives datagrams and passes them to the control thread.
fn receive_datagrams(
    socket: &UdpSocket,
    shared: &Arc<Shared>,
    stopped: &Arc<OnceLock<()>>,
) -> Result<(), NodeError> {
    let socket = socket.try_clone().map_err(start_error("control address"))?;
    socket.set_read_timeout(Some(SOCKET_READ_TIMEOUT)).map_err(start_error("control address"))?;
    let (shared, stopped) = (Arc::clone(shared), Arc::clone(stopped));
    let receive = move || {
        let mut buffer = [0; DATAGRAM_BUFFER_BYTES];
        while stopped.get().is_none() {
            // An error is usually the read timeout: check `stopped` and read again.
            if let Ok((size, from)) = socket.recv_from(&mut buffer) {
                shared.receive_datagram(from, &buffer[..size]);
            }
        }
    };
    std::thread::Builder::new()
        .name("datagrams".to_owned())
        .spawn(receive)
        .map(|_running| ())
        .map_err(start_error("datagram thread"))
}
