//! Listeners for callers, peers, readiness checks with address lookups, and metrics, and the
//! connections that they accept.

use crate::active::GuardedBody;
use crate::caller::{self, Answer};
use crate::followed_stream::FollowedStream;
use crate::head_timer::HeadTimer;
use crate::node::Node;
use crate::peers;
use crate::platform::Platform;
use crate::pool::set_timeouts_and_keepalive;
use bytes::Bytes;
use catkinmast_member::NodeState;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Limits of callers' connections before a configuration is known, and of all other connections.
const HEADER_MAX_BYTES: usize = 16 << 10;
const IDLE_MAX_MS: u64 = 15_000;
/// The smallest read buffer that hyper accepts.
const BUFFER_MIN_BYTES: usize = 8 << 10;
/// Most addresses in one answer.
const ADDRESSES_MAX: usize = 64;
/// How long callers may cache an answer with addresses. It is short because a leaving node has to
/// serve for three times this long after its address was last handed out, and a planned stop has
/// only a few seconds.
pub(crate) const ADDRESSES_TTL_MS: u64 = 1_000;
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the process shuts down.
pub(crate) async fn accept<P, S, F>(node: Rc<Node<P>>, listener: TcpListener, serve: S)
where
    P: Platform,
    S: Fn(Rc<Node<P>>, TcpStream) -> F,
    F: Future<Output = ()> + 'static,
{
    let mut closing = node.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if set_timeouts_and_keepalive(&stream).is_ok() {
                    tokio::task::spawn_local(serve(Rc::clone(&node), stream));
                }
            }
            Err(error) => {
                node.note("accept_failed", json!({ "why": error.to_string() }));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn builder(header_max_bytes: usize, idle_ms: u64) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(header_max_bytes.max(BUFFER_MIN_BYTES));
    builder
}

/// Serves a caller's connection. When the caller disconnects, the request in progress is dropped
/// with everything that it has opened.
pub(crate) async fn serve_caller<P: Platform>(node: Rc<Node<P>>, stream: TcpStream) {
    let limits = node.document().map(|document| document.limits);
    let header_max_bytes =
        limits.map_or(HEADER_MAX_BYTES, |limits| limits.header_max_bytes as usize);
    let idle_ms = limits.map_or(IDLE_MAX_MS, |limits| limits.idle_timeout_ms);
    let mut closing = node.closing.subscribe();
    let header_timeout_ms = limits.map_or(IDLE_MAX_MS, |limits| limits.header_timeout_ms);
    let timer = HeadTimer::new(Duration::from_millis(header_timeout_ms));
    let stream = TokioIo::new(FollowedStream::new(stream, timer.clone()));
    let _open = node.caller_connections.begin();
    let exchanges = timer.clone();
    let handle = service_fn(move |request| {
        let in_progress = (exchanges.begin_exchange(), node.in_flight.begin());
        let answer = caller::handle(Rc::clone(&node), request);
        async move { answer.await.map(|answer| answer.map(|body| GuardedBody::new(body, in_progress))) }
    });
    let connection = builder(header_max_bytes, idle_ms).serve_connection(stream, handle);
    let mut connection = pin!(connection);
    let mut overdue = pin!(timer.overdue());
    // An error means that the caller disconnected or sent an invalid request, which hyper answers.
    // The connection comes first: the rest of a head may have arrived while the process was paused.
    tokio::select! {
        biased;
        ended = connection.as_mut() => return drop(ended),
        _ = closing.wait_for(|closing| *closing) => {}
        () = overdue.as_mut() => return,
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        ended = connection => drop(ended),
        () = overdue => {}
    }
}

/// Serves another node's connection.
pub(crate) async fn serve_peer<P: Platform>(node: Rc<Node<P>>, stream: TcpStream) {
    let handle = service_fn(move |request| peers::answer(Rc::clone(&node), request));
    drop(
        builder(HEADER_MAX_BYTES, IDLE_MAX_MS).serve_connection(TokioIo::new(stream), handle).await,
    );
}

/// Serves the platform's readiness checks and callers' requests for addresses.
pub(crate) async fn serve_readiness_and_addresses<P: Platform>(
    node: Rc<Node<P>>,
    stream: TcpStream,
) {
    let handle = service_fn(move |request: Request<Incoming>| {
        let answer: Answer<P> = answer_readiness_or_addresses(&node, &request.into_parts().0);
        async move { Ok::<_, Infallible>(answer) }
    });
    drop(
        builder(HEADER_MAX_BYTES, IDLE_MAX_MS).serve_connection(TokioIo::new(stream), handle).await,
    );
}

fn answer_readiness_or_addresses<P: Platform>(node: &Node<P>, head: &Parts) -> Answer<P> {
    let ready = node.ready.get() && !node.leaving.get();
    if P::is_readiness_probe(head) {
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return caller::json_answer(status, Bytes::from_static(b"{}"));
    }
    if P::is_address_lookup(head) {
        let ttl_ms = ADDRESSES_TTL_MS.min(node.settings().directory_ttl_max_ms);
        let addresses = addresses(node);
        let status =
            if addresses.is_empty() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
        return caller::json_answer(status, P::addresses(&addresses, ttl_ms));
    }
    caller::json_answer(StatusCode::NOT_FOUND, Bytes::new())
}

/// Returns the addresses to hand out: those of live nodes, or, if none is known to be live, those
/// of leaving and suspected nodes, which may still serve.
fn addresses<P: Platform>(node: &Node<P>) -> Vec<SocketAddr> {
    let members = node.members.borrow();
    let Some(members) = members.as_ref() else { return Vec::new() };
    let of = |wanted: &[NodeState]| -> Vec<SocketAddr> {
        let nodes = members.nodes().filter(|peer| wanted.contains(&peer.state));
        nodes.map(|peer| peer.http).take(ADDRESSES_MAX).collect()
    };
    let live = of(&[NodeState::Live]);
    if live.is_empty() { of(&[NodeState::Suspect, NodeState::Leaving]) } else { live }
}

/// Serves the metrics.
pub(crate) async fn serve_metrics<P: Platform>(node: Rc<Node<P>>, stream: TcpStream) {
    let handle = service_fn(move |_: Request<Incoming>| {
        let text = node.metrics.text();
        async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
    });
    drop(
        builder(HEADER_MAX_BYTES, IDLE_MAX_MS).serve_connection(TokioIo::new(stream), handle).await,
    );
}
