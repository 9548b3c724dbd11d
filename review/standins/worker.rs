//! Workers: a plain service, and model engines that stream events.

use crate::http::{Message, Server, serve, write_answer};
use crate::json::{Json, quote};
use crate::store::Store;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A request that a worker has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub worker: String,
    pub began_ms: u128,
    /// The events that were sent, or 1 for a plain answer.
    pub events: u64,
    /// When the last event was sent or the channel was found closed.
    pub ended_ms: u128,
    pub complete: bool,
}

#[derive(Clone)]
pub struct Runs {
    runs: Arc<Mutex<Vec<Run>>>,
    began: Instant,
}

impl Runs {
    pub fn open(began: Instant) -> Self {
        Self { runs: Arc::default(), began }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn all(&self) -> Vec<Run> {
        self.lock().clone()
    }

    pub fn of(&self, request: &str) -> Vec<Run> {
        self.lock().iter().filter(|run| run.request == request).cloned().collect()
    }

    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    fn begin(&self, request: &str, worker: &str) -> usize {
        let began_ms = self.now_ms();
        let mut runs = self.lock();
        runs.push(Run {
            request: request.to_owned(),
            worker: worker.to_owned(),
            began_ms,
            events: 0,
            ended_ms: began_ms,
            complete: false,
        });
        runs.len() - 1
    }

    fn update(&self, run: usize, events: u64, complete: bool) {
        let ended_ms = self.now_ms();
        let mut runs = self.lock();
        runs[run].events = events;
        runs[run].ended_ms = ended_ms;
        runs[run].complete = complete;
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub event: Duration,
    pub work: Duration,
}

/// The models of all engines, each at version 1.
pub const MODELS: [&str; 3] = ["daka510000", "rada7437b5", "ravo486f6a"];

/// The time between two writes of a worker's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A worker, across its boots.
#[derive(Clone)]
pub struct Worker {
    boot: Arc<Mutex<(String, Server)>>,
    name: String,
    pace: Pace,
    runs: Runs,
    service: String,
    store: Store,
}

impl Worker {
    /// Starts a worker and registers it.
    pub fn start(
        store: &Store,
        runs: &Runs,
        service: &str,
        number: usize,
        pace: Pace,
    ) -> io::Result<Self> {
        let name = format!("i-{service}-{number}");
        let (runs, store, service) = (runs.clone(), store.clone(), service.to_owned());
        let boot = Arc::new(Mutex::new(boot(&store, &runs, &service, &name, pace)?));
        Ok(Self { boot, name, pace, runs, service, store })
    }

    fn current(&self) -> (String, Server) {
        self.boot.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Returns the id of the current boot.
    pub fn id(&self) -> String {
        self.current().0
    }

    /// Crashes the worker; it comes back under another id and at another address after a while.
    pub fn crash(&self, down: Duration) {
        self.current().1.crash();
        let worker = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let id = format!("{}-{}", worker.name, worker.runs.now_ms());
            let next = boot(&worker.store, &worker.runs, &worker.service, &id, worker.pace);
            if let (Ok(next), Ok(mut boot)) = (next, worker.boot.lock()) {
                *boot = next;
            }
        });
    }
}

/// Boots a worker under an id. Its entry is written every 1.2 s, and removed after three intervals
/// of silence.
fn boot(
    store: &Store,
    runs: &Runs,
    service: &str,
    id: &str,
    pace: Pace,
) -> io::Result<(String, Server)> {
    let (own_runs, own_id) = (runs.clone(), id.to_owned());
    let server = serve(SocketAddr::from(([127, 0, 0, 1], 0)), move |request, stream| {
        answer(&own_runs, &own_id, pace, request, stream)
    })?;
    let booted = (id.to_owned(), server.clone());
    let (store, service, id) = (store.clone(), service.to_owned(), id.to_owned());
    std::thread::spawn(move || {
        let mut seq = 0;
        while !server.is_down() {
            seq += 1;
            let entry = entry(&service, &server.address, &id, seq);
            store.put(&format!("servers/{id}"), &entry);
            std::thread::sleep(HEARTBEAT);
        }
        std::thread::sleep(HEARTBEAT * 2);
        store.remove(&format!("servers/{id}"));
    });
    Ok(booted)
}

fn models() -> String {
    let model = |name: &&str| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}");
    MODELS.iter().map(model).collect::<Vec<_>>().join(",")
}

fn entry(service: &str, address: &SocketAddr, id: &str, seq: u64) -> String {
    let zone = ["salle-a", "salle-b", "salle-c"][id.len() % 3];
    let common = format!(
        "\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq}"
    );
    if service == "modeles" {
        format!("{{{common},\"stage\":\"hybrid\",\"models\":[{}]}}", models())
    } else {
        format!("{{{common}}}")
    }
}

fn answer(
    runs: &Runs,
    id: &str,
    pace: Pace,
    request: &Message,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let expected = request.header("x-catkinmast-expect-instance");
    if !expected.is_empty() && expected != id {
        let instance = [("X-Catkinmast-Instance-Id", id.to_owned())];
        return write_answer(stream, 421, &instance, b"");
    }
    match request.path() {
        "/health" => {
            let instance = [("X-Catkinmast-Instance-Id", id.to_owned())];
            return write_answer(stream, 200, &instance, b"");
        }
        "/-/report" => {
            let body = format!(
                "{{\"stage\":\"hybrid\",\"models\":[{}],\"busy\":false,\"seq\":0,\"queued\":0,\
                 \"inFlight\":0,\"kvUsed\":0,\"kvTotal\":69777,\"handles\":0}}",
                models()
            );
            let kind = [("Content-Type", "application/json".to_owned())];
            return write_answer(stream, 200, &kind, body.as_bytes());
        }
        _ => {}
    }
    let request_id = request.header("x-catkinmast-request-id").to_owned();
    if request_id.is_empty() {
        let not_run = [("X-Catkinmast-Not-Run", "1".to_owned())];
        return write_answer(stream, 400, &not_run, b"");
    }
    let run = runs.begin(&request_id, id);
    if request.header("x-catkinmast-model").is_empty() {
        std::thread::sleep(pace.work);
        let headers = [
            ("X-Catkinmast-Request-Id", request_id.clone()),
            ("X-Catkinmast-Server-Stamp", format!("stamp.{id}.{request_id}")),
        ];
        write_answer(stream, 200, &headers, format!("{request_id} by {id}").as_bytes())?;
        runs.update(run, 1, true);
        return Ok(());
    }
    stream_events(runs, run, id, pace, request, &request_id, stream)
}

/// Streams as many events as the first byte of the body says.
fn stream_events(
    runs: &Runs,
    run: usize,
    id: &str,
    pace: Pace,
    request: &Message,
    request_id: &str,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let events = request.body.first().copied().map_or(3, u64::from);
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Catkinmast-Request-Id: {request_id}\r\nX-Catkinmast-Server-Stamp: stamp.{id}.{request_id}\r\n\
         X-Catkinmast-Weight-Versions: 1\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in after + 1..=events {
        std::thread::sleep(pace.event);
        let event = format!("id: {number}\ndata: {request_id}-{number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if let Err(error) = stream.write_all(chunk.as_bytes()) {
            runs.update(run, number - 1, false);
            return Err(error);
        }
        runs.update(run, number, false);
    }
    stream.write_all(b"0\r\n\r\n")?;
    runs.update(run, events, true);
    Ok(())
}

/// Returns the operator's configuration.
pub fn configuration(version: u64) -> String {
    let models: Vec<String> =
        MODELS.iter().map(|name| format!("{{\"name\":{}}}", quote(name))).collect();
    let text = format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-lookup\",\"host\":\"ficu95.example\",\"prefix\":\"/lohu930/\",\"kind\":\"idempotent\",\
         \"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"registre\",\"attempts\":2}},\
         {{\"name\":\"r-reconcile\",\"host\":\"ficu95.example\",\"prefix\":\"/pufi791/\",\"kind\":\"idempotent\",\
         \"timeoutMs\":3000,\"targetLatencyMs\":800,\"priority\":2,\"service\":\"registre\",\"attempts\":4}},\
         {{\"name\":\"r-citation\",\"host\":\"ficu95.example\",\"prefix\":\"/pule252/\",\"kind\":\"rollout\",\
         \"timeoutMs\":10000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"modeles\",\"attempts\":3,\
         \"runTargetMs\":7500,\"maxWaitS\":40,\"resumable\":true,\"sticky\":true}},\
         {{\"name\":\"r-draft\",\"host\":\"ficu95.example\",\"prefix\":\"/suvo418/\",\"kind\":\"stream\",\
         \"timeoutMs\":10000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"modeles\",\"attempts\":2,\
         \"sticky\":true}}],\
         \"services\":[{{\"name\":\"modeles\",\"healthPath\":\"/health\",\"maxConnections\":130,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":8,\"kvCapacity\":69777,\
         \"kvTokenBytes\":131072,\"linkMbps\":1100000.0,\"models\":[{}]}}}},\
         {{\"name\":\"registre\",\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\
         \"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        models.join(",")
    );
    debug_assert!(Json::parse(&text).is_some(), "the configuration is JSON");
    text
}
