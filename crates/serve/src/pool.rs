//! Connections to targets, peers and the store.
//!
//! A connection carries one request at a time. It is reused only after the complete answer was read
//! and nothing else arrived. When a request is given up, for example because its caller
//! disconnected, the connection that carries it is dropped, which resets it at once: the target
//! stops working on the request, and bytes that have not left this instance never do. After an
//! orderly close the kernel would go on sending them, and deliver them seconds later where a link
//! was cut. Connections are also reset when the process is killed. Only a connection whose last
//! request was answered completely is closed in order.

use crate::clock;
use crate::followed_stream::{FollowedStream, Follower};
use crate::reading::{self, HeldBytes, ReadError, ReadMemory};
use bytes::Bytes;
use catkinmast_model::{UnixMs, Verdict};
use displaydoc::Display;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::{IndexMap, IndexSet};
use prometheus_client::metrics::counter::Counter;
use socket2::{SockRef, TcpKeepalive};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

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
/// Most requests to a target that one connection carries: what is remembered of them takes 12 KB.
const REQUESTS_PER_CONNECTION_MAX: usize = 512;
/// Size limit of the head of an answer. Usual heads have some hundred bytes.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// Size limit of a connection's read buffer: 300 connections with full buffers take a tenth of the
/// memory of the smallest instances.
const READ_BUFFER_MAX_BYTES: usize = 32 << 10;
/// Most bytes that arrive before the head of an answer: heads of interim answers (`1xx`), which are
/// skipped, and what is read with the head.
const BEFORE_HEAD_MAX_BYTES: usize = HEAD_MAX_BYTES + 3 * READ_BUFFER_MAX_BYTES;
/// Limit of all large answers that are being read, together. Copies while they grow take as much
/// again; both are a seventh of the memory of the smallest instances.
const ANSWERS_MAX_BYTES: usize = 8 << 20;
/// The same of callers' requests until they are answered: the largest request that callers may send.
const REQUESTS_MAX_BYTES: usize = 32 << 20;

/// the call failed ({verdict}): {message}
#[derive(Clone, Debug, Display)]
pub(crate) struct CallError {
    /// The error as observed.
    pub message: String,
    /// Whether the answer was over a limit, rather than the connection broken.
    pub over_limit: bool,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl CallError {
    pub(crate) fn may_have_run(message: impl Into<String>) -> Self {
        Self { message: message.into(), over_limit: false, verdict: Verdict::MayHaveRun }
    }

    pub(crate) fn not_run(message: impl Into<String>) -> Self {
        Self { message: message.into(), over_limit: false, verdict: Verdict::NotRun }
    }

    /// The error of an answer whose body was not read to its end.
    fn of_body(error: &ReadError) -> Self {
        let over_limit = !matches!(error, ReadError::Broken(_));
        Self { over_limit, ..Self::may_have_run(format!("in the answer: {error}")) }
    }

    /// The error of a request that was sent and has no response head.
    fn of_head(error: &hyper::Error, exchange: &Exchange) -> Self {
        if error.is_parse_too_large() || exchange.is_over_limit() {
            let message = format!("a response head of over {HEAD_MAX_BYTES} bytes or 100 fields");
            return Self { over_limit: true, ..Self::may_have_run(message) };
        }
        Self::may_have_run(error.to_string())
    }
}

/// Follows the request that a connection carries.
#[derive(Clone, Debug, Default)]
struct Exchange(Rc<ExchangeState>);

#[derive(Debug, Default)]
struct ExchangeState {
    /// What has arrived since the request was sent, until the head of its answer is complete.
    before_head_bytes: Cell<Option<usize>>,
    /// Whether the answer was read completely.
    is_answered: Cell<bool>,
}

impl Exchange {
    /// Records that a request is sent.
    fn begin(&self) {
        self.0.before_head_bytes.set(Some(0));
        self.0.is_answered.set(false);
    }

    /// Records that the head of the answer has arrived.
    fn head_arrived(&self) {
        self.0.before_head_bytes.set(None);
    }

    /// Records that the answer was read completely.
    fn end(&self) {
        self.0.is_answered.set(true);
    }

    fn is_over_limit(&self) -> bool {
        self.0.before_head_bytes.get().is_some_and(|bytes| bytes > BEFORE_HEAD_MAX_BYTES)
    }
}

impl Follower for Exchange {
    fn bytes_arrived(&self, count: usize) -> io::Result<()> {
        let before_head_bytes = &self.0.before_head_bytes;
        before_head_bytes.set(before_head_bytes.get().map(|bytes| bytes + count));
        if self.is_over_limit() {
            return Err(io::Error::other("too many bytes before the head of an answer"));
        }
        Ok(())
    }

    fn before_close(&self, stream: &TcpStream) {
        if self.0.is_answered.get() {
            // Without this option the connection is reset, which loses no request.
            drop(SockRef::from(stream).set_linger(None));
        }
    }
}

/// Hashes of the ids of the requests that a connection has carried to a target.
///
/// A target may send an answer a second time, where the answer to a later request is due. The id in
/// it names the request, not the sending. So no connection carries a request twice: an answer with
/// the id of the request in progress then belongs to this sending of it.
#[derive(Debug, Default)]
struct CarriedIds(IndexSet<u64>);

impl CarriedIds {
    /// Records a request. One without an id counts like one with an id of its own.
    fn insert(&mut self, id: Option<&str>) {
        self.0.insert(Self::hash(id));
    }

    fn allows(&self, id: Option<&str>) -> bool {
        self.0.len() < REQUESTS_PER_CONNECTION_MAX && !self.0.contains(&Self::hash(id))
    }

    fn hash(id: Option<&str>) -> u64 {
        id.map_or(0, |id| xxh3_64(id.as_bytes()))
    }
}

/// A connection in use; dropping it resets it.
#[derive(Debug)]
pub(crate) struct Connection {
    address: SocketAddr,
    carried: CarriedIds,
    exchange: Exchange,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether it has carried a request before.
    reused: bool,
}

impl Connection {
    /// Returns whether an answer with this id can belong to the request in progress, which has the
    /// id `request`. An answer without an id may be an extra one to any earlier request.
    pub(crate) fn may_answer(&self, request: Option<&str>, answer: Option<&str>) -> bool {
        answer == request || (answer.is_none() && !self.reused)
    }
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
    /// The memory of answers that are being read.
    pub answers: ReadMemory,
    /// The memory of callers' requests.
    pub requests: ReadMemory,
}

impl Pool {
    pub(crate) fn new(connections_opened: Counter) -> Self {
        Self {
            connections_opened,
            idle: RefCell::new(IndexMap::new()),
            answers: ReadMemory::new(ANSWERS_MAX_BYTES),
            requests: ReadMemory::new(REQUESTS_MAX_BYTES),
        }
    }

    /// Sends a request to a peer or to the platform and returns the head of its answer. The other
    /// side is trusted to answer each request once.
    ///
    /// The verdict of an error depends on how far the request got: it cannot have run if the
    /// connection never opened, or had closed before the request was handed to it.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        self.exchange(address, request, &Cell::new(false), |_| true).await
    }

    /// Sends a request to a target, on a connection that has not carried a request with this id. The
    /// caller must check that the answer [may belong](Connection::may_answer) to it. Sets
    /// `handed_over` while a connection may carry the request: a request that is cancelled before
    /// that has not run.
    pub(crate) async fn send_to_target(
        &self,
        address: SocketAddr,
        id: Option<&str>,
        request: Request<Full<Bytes>>,
        handed_over: &Cell<bool>,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let is_usable = |connection: &Connection| connection.carried.allows(id);
        let (response, mut connection) =
            self.exchange(address, request, handed_over, is_usable).await?;
        connection.carried.insert(id);
        Ok((response, connection))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        handed_over: &Cell<bool>,
        is_usable: impl Fn(&Connection) -> bool,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let mut request = request;
        loop {
            let mut connection = match self.take_idle(address, &is_usable).await {
                Some(connection) => connection,
                None => self.connect(address).await?,
            };
            handed_over.set(true);
            connection.exchange.begin();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.exchange.head_arrived();
                    return Ok((response, connection));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if connection.reused => {
                        handed_over.set(false);
                        request = unsent;
                    }
                    Some(_) => return Err(CallError::not_run(error.into_error().to_string())),
                    None => {
                        return Err(CallError::of_head(&error.into_error(), &connection.exchange));
                    }
                },
            }
        }
    }

    /// Reads the complete body of a target's answer, of at most `max_bytes`.
    pub(crate) async fn read_body(
        &self,
        body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, CallError> {
        let mut held = self.answers.begin();
        let read = reading::read_body(body, max_bytes, &mut held).await;
        read.map_err(|error| CallError::of_body(&error))
    }

    /// Returns a connection to the pool after its answer was read completely.
    pub(crate) fn release(&self, mut connection: Connection, answer: &HeaderMap) {
        connection.exchange.end();
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

    /// Takes the idle connection that was released last among those that are usable.
    async fn take_idle(
        &self,
        address: SocketAddr,
        is_usable: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        loop {
            let now = clock::now();
            let idle = {
                let mut idle = self.idle.borrow_mut();
                let idle_here = idle.get_mut(&address)?;
                let last = idle_here.iter().rposition(|idle| is_usable(&idle.connection))?;
                idle_here.remove(last)
            };
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
        let refused = |error: &io::Error| error.kind() == ErrorKind::ConnectionRefused;
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
        let configured = set_timeouts_and_keepalive(&stream)
            .and_then(|()| SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
        if let Err(error) = configured {
            return Err(CallError::not_run(error.to_string()));
        }
        let exchange = Exchange::default();
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX_BYTES)
            .max_header_size(HEAD_MAX_BYTES)
            .handshake(TokioIo::new(FollowedStream::new(stream, exchange.clone())))
            .await;
        let (sender, connection) =
            handshake.map_err(|error| CallError::not_run(error.to_string()))?;
        // Errors of the connection are reported to the request that it carries.
        let task = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(Connection {
            address,
            carried: CarriedIds::default(),
            exchange,
            reused: false,
            sender,
            task: task.abort_handle(),
        })
    }
}

/// Sets socket options that detect a silent peer. A peer that lost power or is cut off sends
/// nothing; without these options calls on the connection hang until their deadline.
pub(crate) fn set_timeouts_and_keepalive(stream: &TcpStream) -> io::Result<()> {
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
    stated_s.map_or(IDLE_MAX_MS, |seconds| seconds.saturating_sub(1).saturating_mul(1_000))
}

/// Reads the complete body of an answer of the store or a peer, of at most `max_bytes`. It counts
/// towards no common limit, so that answers of targets cannot cut this node off from them.
pub(crate) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, CallError> {
    let read = reading::read_body(body, max_bytes, &mut HeldBytes::unlimited()).await;
    read.map_err(|error| CallError::of_body(&error))
}
