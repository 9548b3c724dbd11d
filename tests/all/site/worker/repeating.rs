//! A stand-in for a faulty worker that sends an answer a second time, where the next one on the same
//! connection is due.

use super::endless::{header, read_request, register};
use super::{Run, Runs};
use crate::site::store::Store;
use bytes::Bytes;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// How long a run takes.
const RUN_TIME: Duration = Duration::from_millis(20);
/// The events of a stream.
const EVENTS: u64 = 3;

/// A request that the worker received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exchange<'a> {
    /// How often its id arrived before.
    pub(crate) arrivals: usize,
    pub(crate) id: &'a str,
    pub(crate) path: &'a str,
}

/// How the worker answers a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scripted {
    /// Whether the answer is sent again before the next one.
    pub(crate) is_repeated: bool,
    /// 503 says that the request did not run.
    pub(crate) status: u16,
}

impl Scripted {
    pub(crate) const fn once(status: u16) -> Self {
        Self { is_repeated: false, status }
    }

    pub(crate) const fn twice(status: u16) -> Self {
        Self { is_repeated: true, status }
    }
}

/// Returns how a worker answers a request.
pub(crate) type Script = fn(Exchange<'_>) -> Scripted;

#[derive(Clone)]
struct Shared {
    arrivals: Arc<Mutex<BTreeMap<String, usize>>>,
    name: String,
    repeated: Arc<Mutex<usize>>,
    runs: Runs,
    script: Script,
}

/// A running worker; its tasks end with the test's runtime.
pub(crate) struct RepeatingWorker(Shared);

impl RepeatingWorker {
    /// Starts a worker and registers it in the store.
    pub(crate) async fn start(
        store: &Store,
        runs: &Runs,
        service: &str,
        name: &str,
        script: Script,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        register(store, service, name, listener.local_addr().expect("a bound address"));
        let shared = Shared {
            arrivals: Arc::default(),
            name: name.to_owned(),
            repeated: Arc::default(),
            runs: runs.clone(),
            script,
        };
        let accepting = shared.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, accepting.clone()));
            }
        });
        Self(shared)
    }

    /// Returns how many answers were sent again.
    pub(crate) fn repeated(&self) -> usize {
        *self.0.repeated.lock().expect("no test panics while it holds the count")
    }
}

async fn serve(mut stream: TcpStream, shared: Shared) {
    let mut late: Option<Vec<u8>> = None;
    while let Some(head) = read_request(&mut stream).await {
        if let Some(late) = late.take() {
            *shared.repeated.lock().expect("no test panics while it holds the count") += 1;
            if stream.write_all(&late).await.is_err() {
                return;
            }
        }
        let (answer, is_repeated) = answer(&head, &shared).await;
        if stream.write_all(&answer).await.is_err() {
            return;
        }
        late = is_repeated.then_some(answer);
    }
}

async fn answer(head: &str, shared: &Shared) -> (Vec<u8>, bool) {
    let id = header(head, "x-catkinmast-request-id").unwrap_or_default();
    let path = head.split(' ').nth(1).unwrap_or_default();
    let arrivals = {
        let mut all = shared.arrivals.lock().expect("no test panics while it holds the counts");
        let arrivals = all.entry(if id.is_empty() { path.to_owned() } else { id.clone() });
        let arrivals = arrivals.or_default();
        *arrivals += 1;
        *arrivals - 1
    };
    let Scripted { is_repeated, status } = (shared.script)(Exchange { arrivals, id: &id, path });
    if id.is_empty() {
        return (control_answer(path, status), is_repeated);
    }
    if status == 503 {
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Catkinmast-Request-Id: {id}\r\n\
             X-Catkinmast-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        );
        return (refusal.into_bytes(), is_repeated);
    }
    shared.runs.push(Run {
        after: header(head, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0),
        at: Instant::now(),
        body: Bytes::new(),
        deadline_ms: None,
        has_key: false,
        request: id.clone(),
        worker: shared.name.clone(),
        workspaces: Vec::new(),
    });
    tokio::time::sleep(RUN_TIME).await;
    let body = match header(head, "x-catkinmast-model") {
        Some(_) if status == 200 => events(&id),
        _ => format!("{id} by {}", shared.name),
    };
    let answer = format!(
        "HTTP/1.1 {status:03} Status\r\nX-Catkinmast-Request-Id: {id}\r\n\
         X-Catkinmast-Server-Stamp: stamp.{}.{id}\r\nX-Catkinmast-Weight-Versions: 1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        shared.name,
        body.len()
    );
    (answer.into_bytes(), is_repeated)
}

fn events(id: &str) -> String {
    let events = (1..=EVENTS).map(|number| format!("id: {number}\ndata: {id}-{number}\n\n"));
    events.collect::<Vec<_>>().concat()
}

/// Answers a request for the report, or an order.
fn control_answer(path: &str, status: u16) -> Vec<u8> {
    let models = json!([{ "name": "model-a", "version": 1 }, { "name": "model-b", "version": 1 }]);
    let report = json!({ "stage": "hybrid", "models": models, "busy": false, "seq": 0 });
    let body = if path == "/-/report" { report.to_string() } else { String::new() };
    format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
