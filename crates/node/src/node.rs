//! The running node: starting, draining, stopping.

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

/// The largest datagram read; a longer one is no frame of ours.
const DATAGRAM_READ_BYTES: usize = 2_048;
/// Nodes of this program share duties alike, whatever they run on.
const EQUAL_CAPACITY_MILLICORES: u32 = 1_000;
/// How often a drain looks whether it is done.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// How long the control thread has to give its duties up.
const CONTROL_STOP: Duration = Duration::from_secs(2);
/// How often the datagram thread looks whether the node has stopped.
const SOCKET_LOOK: Duration = Duration::from_millis(200);

/// the node cannot start: {part}: {message}
#[derive(Clone, Debug, Display)]
pub struct NodeError {
    /// What went wrong.
    pub message: String,
    /// Which part of the node.
    pub part: &'static str,
}

impl std::error::Error for NodeError {}

fn failed(part: &'static str) -> impl FnOnce(std::io::Error) -> NodeError {
    move |error| NodeError { message: error.to_string(), part }
}

/// How a drain ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainReport {
    /// Requests and runs that were still in progress when the deadline passed, and were cut.
    pub cut: usize,
    /// When the node had nothing left to do, or gave up waiting.
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
    /// Starts a node on the runtime of the caller.
    ///
    /// # Errors
    /// When an address cannot be bound or a thread cannot be started.
    pub async fn spawn(settings: Settings) -> Result<Self, NodeError> {
        let (socket, listener) = bind_control(settings.control).await?;
        let control = socket.local_addr().map_err(failed("control address"))?;
        let incarnation = Incarnation(UnixMs::from_wall_clock().0);
        let (inputs, received) = std::sync::mpsc::channel();
        let clients = Clients::open(settings.platform)
            .map_err(|message| NodeError { message, part: "HTTP client" })?;
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
            capacity_millicores: EQUAL_CAPACITY_MILLICORES,
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
        // The thread ends when it is told to stop; nobody joins it.
        control::spawn(start).map_err(failed("control thread"))?;
        Ok(Self { inputs, peers_task, shared, stopped, web })
    }

    /// Returns the node's name.
    pub fn name(&self) -> &Name {
        &self.shared.settings.name
    }

    /// Returns where callers, trainers and operators reach the node.
    pub const fn http_address(&self) -> SocketAddr {
        self.web.address
    }

    /// Returns where the other nodes reach the node.
    pub fn control_address(&self) -> SocketAddr {
        self.shared.control
    }

    /// Waits until an operator has asked this node to leave.
    pub async fn drain_requested(&self) {
        self.shared.drain_requested.notified().await;
    }

    /// Leaves: vanishes from answers about addresses at once, serves until the last answer that
    /// named this node has expired and the last request has ended, then stops.
    ///
    /// The configuration's `drain_deadline_ms` bounds the wait; what is still in progress then is
    /// cut and counted in the report.
    pub async fn drain(mut self) -> DrainReport {
        self.shared.send_input(Input::Leave);
        let deadline_ms =
            self.shared.snapshot().document().map_or(30_000, |d| d.limits.drain_deadline_ms);
        let deadline = self.shared.now().plus(deadline_ms);
        let cut = loop {
            tokio::time::sleep(DRAIN_LOOK).await;
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
            log::warn!("the drain deadline passed with {cut} requests in progress");
        }
        self.stop_control().await;
        self.web.shutdown.clone().notify();
        if let Err(error) = (&mut self.web.task).await {
            log::warn!("the web server did not stop in order: {error}");
        }
        DrainReport { cut, ended_at: self.shared.now() }
    }

    async fn stop_control(&mut self) {
        let (done, stopped) = oneshot::channel();
        if self.inputs.send(Input::Stop { done }).is_ok()
            && tokio::time::timeout(CONTROL_STOP, stopped).await.is_err()
        {
            log::warn!("the control thread did not stop in time");
        }
    }

    /// Stops without a word to anybody, as a crash would. For tests and demonstrations.
    pub fn crash(self) {
        drop(self);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let (done, _stopped) = oneshot::channel();
        // A control thread that has stopped already needs no second word.
        let _unheard = self.inputs.send(Input::Stop { done });
        let _already = self.stopped.set(());
        self.peers_task.abort();
        self.web.task.abort();
    }
}

/// Binds the same port for datagrams and for connections.
async fn bind_control(address: SocketAddr) -> Result<(UdpSocket, TcpListener), NodeError> {
    let listener = TcpListener::bind(address).await.map_err(failed("control address"))?;
    let bound = listener.local_addr().map_err(failed("control address"))?;
    let socket = UdpSocket::bind(bound).map_err(failed("control address"))?;
    Ok((socket, listener))
}

/// Hands datagrams to the control thread, from a thread of its own.
fn receive_datagrams(
    socket: &UdpSocket,
    shared: &Arc<Shared>,
    stopped: &Arc<OnceLock<()>>,
) -> Result<(), NodeError> {
    let socket = socket.try_clone().map_err(failed("control address"))?;
    socket.set_read_timeout(Some(SOCKET_LOOK)).map_err(failed("control address"))?;
    let (shared, stopped) = (Arc::clone(shared), Arc::clone(stopped));
    let receive = move || {
        let mut buffer = [0; DATAGRAM_READ_BYTES];
        while stopped.get().is_none() {
            // An error means that nothing came for a while: look again.
            if let Ok((size, from)) = socket.recv_from(&mut buffer) {
                shared.receive_datagram(from, &buffer[..size]);
            }
        }
    };
    std::thread::Builder::new()
        .name("datagrams".to_owned())
        .spawn(receive)
        .map(|_running| ())
        .map_err(failed("datagram thread"))
}
