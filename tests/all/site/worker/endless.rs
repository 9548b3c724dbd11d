//! A stand-in for a faulty worker that sends bytes without end in place of an answer or within one.

use super::{Run, Runs};
use crate::site::store::Store;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Size of one write of a fast reply.
const WRITE_BYTES: usize = 16 << 10;
/// A connection is closed after this many bytes or this time, so that a failing test ends.
const SENT_MAX_BYTES: usize = 256 << 20;
const SENT_FOR: Duration = Duration::from_secs(30);

/// The bytes that a worker sends for each request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reply {
    /// Sent once; `{id}` stands for the id of the request.
    pub(crate) start: &'static str,
    /// Sent again and again.
    pub(crate) repeated: &'static str,
    /// Pause before each repetition; without one, they follow each other as fast as they are read.
    pub(crate) pause: Option<Duration>,
}

impl Reply {
    pub(crate) const fn fast(start: &'static str, repeated: &'static str) -> Self {
        Self { start, repeated, pause: None }
    }

    pub(crate) const fn slow(start: &'static str, repeated: &'static str) -> Self {
        Self { start, repeated, pause: Some(Duration::from_millis(50)) }
    }
}

/// A running worker; its tasks end with the test's runtime.
pub(crate) struct EndlessWorker {
    open: Arc<AtomicUsize>,
    reply: Arc<Mutex<Reply>>,
    requests: Arc<AtomicUsize>,
}

impl EndlessWorker {
    /// Starts a worker and registers it in the store.
    pub(crate) async fn start(
        store: &Store,
        runs: &Runs,
        service: &str,
        id: &str,
        reply: Reply,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let worker = Self {
            open: Arc::default(),
            reply: Arc::new(Mutex::new(reply)),
            requests: Arc::default(),
        };
        register(store, service, id, address);
        let (open, reply, requests) =
            (Arc::clone(&worker.open), Arc::clone(&worker.reply), Arc::clone(&worker.requests));
        let (runs, id) = (runs.clone(), id.to_owned());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (open, reply, requests) =
                    (Arc::clone(&open), Arc::clone(&reply), Arc::clone(&requests));
                let (runs, id) = (runs.clone(), id.clone());
                tokio::spawn(async move {
                    open.fetch_add(1, Ordering::Relaxed);
                    serve(stream, &reply, &requests, &runs, &id).await;
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        worker
    }

    /// Returns how many requests the worker has received, also those for its report.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns how many connections are open.
    pub(crate) fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

pub(super) fn register(store: &Store, service: &str, id: &str, address: SocketAddr) {
    let models = json!([{ "name": "model-a", "version": 1, "adapters": [] },
                        { "name": "model-b", "version": 1, "adapters": [] }]);
    let entry = json!({
        "service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 4,
        "state": "ready", "coldLeftMs": 0, "models": models, "seq": 1,
    });
    store.put(&format!("servers/{id}"), &entry);
}

async fn serve(
    mut stream: TcpStream,
    reply: &Mutex<Reply>,
    requests: &AtomicUsize,
    runs: &Runs,
    id: &str,
) {
    let Some(head) = read_request(&mut stream).await else { return };
    let reply = *reply.lock().expect("no test panics while it holds a reply");
    let request = header(&head, "x-catkinmast-request-id").unwrap_or_default();
    if !request.is_empty() {
        runs.push(Run {
            after: header(&head, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0),
            at: Instant::now(),
            body: bytes::Bytes::new(),
            deadline_ms: None,
            has_key: false,
            request: request.clone(),
            worker: id.to_owned(),
            workspaces: Vec::new(),
        });
    }
    requests.fetch_add(1, Ordering::Relaxed);
    let start = reply.start.replace("{id}", &request);
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    send_repeated(&mut stream, reply).await;
}

async fn send_repeated(stream: &mut TcpStream, reply: Reply) {
    let times = if reply.pause.is_some() { 1 } else { WRITE_BYTES / reply.repeated.len() };
    let bytes = reply.repeated.repeat(times.max(1)).into_bytes();
    let started = Instant::now();
    let mut sent_bytes = 0;
    while sent_bytes < SENT_MAX_BYTES && started.elapsed() < SENT_FOR {
        if let Some(pause) = reply.pause {
            tokio::time::sleep(pause).await;
        }
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        sent_bytes += bytes.len();
    }
}

/// Reads a request with its body, and returns its head.
pub(super) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = header(head, "content-length").and_then(|text| text.parse().ok());
        if body.len() >= length.unwrap_or(0) {
            return Some(head.to_owned());
        }
    }
}

pub(super) fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
}
