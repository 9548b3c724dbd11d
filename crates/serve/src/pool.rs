//! Connections to targets, peers and the store.
//!
//! A connection carries one request at a time. It is reused only after the complete answer was read
//! and nothing else arrived. When a caller disconnects, the connection that carries its request to
//! the target is dropped, which closes it at once so that the target stops working on the request.

use crate::clock;
use bytes::Bytes;
use catkinmast_model::{UnixMs, Verdict};
use displaydoc::Display;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use prometheus_client::metrics::counter::Counter;
use socket2::{SockRef, TcpKeepalive};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Time-out for opening a connection. Within a region a round trip takes 1 ms; a lost SYN packet is
/// retransmitted after 1 s, which is too late for a short request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged: longer than a target's machine can pause without
/// its requests failing anyway.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of keepalive probes. A connection may go silent without a reset; probes detect it after
/// about 2 s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// How long an idle connection may be reused, unless its target states another time.
const IDLE_MAX_MS: u64 = 8_000;
/// Most idle connections kept for one address.
const IDLE_PER_ADDRESS_MAX: usize = 24;
/// How long to wait until an idle connection accepts a request. A released connection does so
/// within one iteration of the event loop, unless it is still sending a body that its target did
/// not read.
const READY_TIMEOUT: Duration = Duration::from_millis(10);

/// the call failed ({verdict}): {message}
#[derive(Clone, Debug, Display)]
pub(crate) struct CallError {
    /// The error as observed.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl CallError {
    pub(crate) fn may_have_run(message: impl Into<String>) -> Self {
        Self { message: message.into(), verdict: Verdict::MayHaveRun }
    }

    fn not_run(message: impl Into<String>) -> Self {
        Self { message: message.into(), verdict: Verdict::NotRun }
    }
}

/// A connection in use; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether it has carried a request before.
    reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: UnixMs,
}

/// Idle connections by address.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: RefCell<IndexMap<SocketAddr, Vec<Idle>>>,
    connections_opened: Counter,
}

impl Pool {
    pub(crate) fn new(connections_opened: Counter) -> Self {
        Self { connections_opened, idle: RefCell::new(IndexMap::new()) }
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// The verdict of an error depends on how far the request got: it cannot have run if the
    /// connection never opened, or had closed before the request was handed to it.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        self.send_marked(address, request, &Cell::new(false)).await
    }

    /// Like [`send`](Self::send); sets `handed_over` while a connection may carry the request. A
    /// request that is cancelled before that has not run.
    pub(crate) async fn send_marked(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        handed_over: &Cell<bool>,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let mut request = request;
        loop {
            let mut connection = match self.take_idle(address).await {
                Some(connection) => connection,
                None => self.connect(address).await?,
            };
            handed_over.set(true);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if connection.reused => {
                        handed_over.set(false);
                        request = unsent;
                    }
                    Some(_) => return Err(CallError::not_run(error.into_error().to_string())),
                    None => return Err(CallError::may_have_run(error.into_error().to_string())),
                },
            }
        }
    }

    /// Returns a connection to the pool after its answer was read completely.
    pub(crate) fn release(&self, mut connection: Connection, answer: &HeaderMap) {
        let closes = answer
            .get(http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let until = clock::now().plus(idle_max_ms(answer));
        let mut idle = self.idle.borrow_mut();
        let idle_here = idle.entry(connection.address).or_default();
        if idle_here.len() < IDLE_PER_ADDRESS_MAX {
            idle_here.push(Idle { connection, until });
        }
    }

    /// Returns whether the pool has an idle connection to an address.
    pub(crate) fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let now = clock::now();
        idle.get(&address).is_some_and(|idle_here| idle_here.iter().any(|idle| idle.until > now))
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().swap_remove(&address);
    }

    async fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let now = clock::now();
            let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop)?;
            let Idle { mut connection, until } = idle;
            if until <= now || connection.sender.is_closed() {
                continue;
            }
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
                return Some(connection);
            }
        }
    }

    /// Returns whether an address refuses connections, which shows that the process listening there
    /// has ended. An address that does not answer may only be cut off, and counts as not refusing.
    pub(crate) async fn refuses_connections(&self, address: SocketAddr) -> bool {
        self.connections_opened.inc();
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let refused = |error: &std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
        matches!(opened, Ok(Err(error)) if refused(&error))
    }

    /// Returns whether an address accepts a connection.
    pub(crate) async fn accepts_connections(&self, address: SocketAddr) -> bool {
        self.connections_opened.inc();
        matches!(timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, CallError> {
        self.connections_opened.inc();
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallError::not_run(error.to_string())),
            Err(_) => return Err(CallError::not_run("no connection in time")),
        };
        if let Err(error) = set_timeouts_and_keepalive(&stream) {
            return Err(CallError::not_run(error.to_string()));
        }
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| CallError::not_run(error.to_string()))?;
        // Errors of the connection are reported to the request that it carries.
        let task = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(Connection { address, reused: false, sender, task: task.abort_handle() })
    }
}

/// Sets socket options that detect a silent peer. A peer that lost power or is cut off sends
/// nothing; without these options calls on the connection hang until their deadline.
pub(crate) fn set_timeouts_and_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Returns how long an idle connection may be reused: the time stated in `Keep-Alive` less a
/// second, because the other side may be closing it when the next request arrives.
fn idle_max_ms(answer: &HeaderMap) -> u64 {
    let stated_s = answer
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    stated_s.map_or(IDLE_MAX_MS, |seconds| (seconds * 1_000).saturating_sub(1_000))
}

/// Reads a complete body of at most `max_bytes`.
pub(crate) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, CallError> {
    let limited = http_body_util::Limited::new(body, max_bytes);
    match limited.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(CallError::may_have_run(error.to_string())),
    }
}
