//! Bytes without end, from targets, the store and callers: the node's memory stays within the limit
//! of the smallest instances, other requests are served meanwhile, and nothing of the bytes is
//! passed on as a complete answer.

use super::harness::{Node, Site, complete_output, document, submission, until};
use super::proxy::Link;
use super::worker::{EndlessWorker, Reply, Worker};
use futures::future::join_all;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The memory of the smallest instances. A process that uses more is killed.
const MEMORY_MAX_KB: u64 = 110_000;

const HEAD_LINE: &str = "HTTP/1.1 200 OK\r\nX-Long: a";
const HEADERS: &str = "HTTP/1.1 200 OK\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Catkinmast-Request-Id: {id}\r\nX-Catkinmast-Server-Stamp: s\r\nContent-Length: 1000000000000\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nX-Catkinmast-Request-Id: {id}\r\nX-Catkinmast-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str =
    "HTTP/1.1 200 OK\r\nX-Catkinmast-Request-Id: {id}\r\nX-Catkinmast-Server-Stamp: s\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Catkinmast-Request-Id: {id}\r\nX-Catkinmast-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nX-Catkinmast-Request-Id: {id}\r\nX-Catkinmast-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNPROCESSABLE: &str = "HTTP/1.1 422 Unprocessable Entity\r\nX-Catkinmast-Request-Id: {id}\r\nX-Catkinmast-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const COMPLETE: &str = "HTTP/1.1 200 OK\r\nX-Catkinmast-Request-Id: {id}\r\nX-Catkinmast-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nwhole";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nX-Catkinmast-Request-Id: {id}\r\nX-Catkinmast-Server-Stamp: s\r\nX-Catkinmast-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\r\n";
const AN_EVENT: &str = "HTTP/1.1 200 OK\r\nX-Catkinmast-Request-Id: {id}\r\nX-Catkinmast-Server-Stamp: s\r\nX-Catkinmast-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: {id}-1\n\n";
const ONE_BYTE_CHUNK: &str = "1\r\na\r\n";
const TEN_BYTE_CHUNK: &str = "a\r\naaaaaaaaaa\r\n";

fn assert_memory_is_bounded(node: &Node) {
    let peak_kb = node.peak_memory_kb();
    println!("peak memory: {peak_kb} KB");
    assert!(peak_kb < MEMORY_MAX_KB, "the process used {peak_kb} KB");
    assert!(node.exit_status().is_none(), "the process runs");
}

/// Asserts that nothing of an endless answer is open some time after its request has ended.
async fn assert_connections_are_closed(worker: &EndlessWorker) {
    until("the connections are closed", || async {
        (worker.open_connections() == 0).then_some(())
    })
    .await;
}

async fn lookup(site: &Site, id: String) -> (u16, String) {
    let answer = site.call(&site.nodes[0], "/lookup/a", &id).await.expect("an answer");
    let status = answer.status().as_u16();
    (status, answer.text().await.expect("a whole body"))
}

#[yare::parameterized(
    head_line = { Reply::fast(HEAD_LINE, "a") },
    head_line_slow = { Reply::slow(HEAD_LINE, "a") },
    headers = { Reply::fast(HEADERS, "X-More: a\r\n") },
    headers_slow = { Reply::slow(HEADERS, "X-More: a\r\n") },
    interim_heads = { Reply::fast(INTERIM, INTERIM) },
    interim_heads_slow = { Reply::slow(INTERIM, INTERIM) },
    no_status_line = { Reply::fast("no", "answer") },
    length = { Reply::fast(LENGTH, "a") },
    length_slow = { Reply::slow(LENGTH, "a") },
    chunks = { Reply::fast(CHUNKED, TEN_BYTE_CHUNK) },
    chunks_of_one_byte = { Reply::fast(CHUNKED, ONE_BYTE_CHUNK) },
    chunks_slow = { Reply::slow(CHUNKED, ONE_BYTE_CHUNK) },
    until_close = { Reply::fast(UNTIL_CLOSE, "a") },
    refusal = { Reply::fast(REFUSAL, TEN_BYTE_CHUNK) },
    refusal_slow = { Reply::slow(REFUSAL, ONE_BYTE_CHUNK) },
    error = { Reply::fast(ERROR, TEN_BYTE_CHUNK) },
    error_slow = { Reply::slow(ERROR, ONE_BYTE_CHUNK) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_idempotent_call_to_a_target_that_sends_without_end_is_answered_by_another(
    reply: Reply,
) {
    let site = Site::start(1, 0, 1).await;
    let faulty = EndlessWorker::start(&site.store, &site.runs, "plain", "endless-0", reply).await;
    until("the faulty target is asked", || async {
        assert_eq!(lookup(&site, "first".to_owned()).await.1, "first by plain-0");
        (faulty.requests() > 0).then_some(())
    })
    .await;

    let ids = (0..60).map(|number| format!("q{number}"));
    let answers = join_all(ids.clone().map(|id| lookup(&site, id))).await;

    for (id, (status, body)) in ids.zip(answers) {
        assert_eq!((status, body), (200, format!("{id} by plain-0")));
    }
    assert_memory_is_bounded(&site.nodes[0]);
    assert_connections_are_closed(&faulty).await;
}

// Guards against a process that is killed for its memory: all calls go to a target that sends
// without end, and the node holds what each connection has sent.
#[yare::parameterized(
    head_line = { Reply::fast(HEAD_LINE, "a") },
    headers = { Reply::fast(HEADERS, "X-More: a\r\n") },
    interim_heads = { Reply::fast(INTERIM, INTERIM) },
    length = { Reply::fast(LENGTH, "a") },
    chunks = { Reply::fast(CHUNKED, TEN_BYTE_CHUNK) },
    chunks_of_one_byte = { Reply::fast(CHUNKED, ONE_BYTE_CHUNK) },
    chunks_slow = { Reply::slow(CHUNKED, ONE_BYTE_CHUNK) },
    until_close = { Reply::fast(UNTIL_CLOSE, "a") },
    refusal = { Reply::fast(REFUSAL, TEN_BYTE_CHUNK) },
    error = { Reply::fast(ERROR, TEN_BYTE_CHUNK) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn calls_that_may_not_be_repeated_fail_at_a_target_that_sends_without_end(reply: Reply) {
    let site = Site::start(1, 0, 1).await;
    let faulty = EndlessWorker::start(&site.store, &site.runs, "plain", "endless-0", reply).await;
    site.plain[0].crash();
    site.plain[0].deregister();
    until("the faulty target is the only one", || async {
        (lookup(&site, "first".to_owned()).await.0 == 502).then_some(())
    })
    .await;

    let ids: Vec<String> = (0..150).map(|number| format!("c{number}")).collect();
    let calls = ids.iter().map(|id| site.call(&site.nodes[0], "/check/a", id));
    let answers = join_all(calls).await;

    for (id, answer) in ids.iter().zip(answers) {
        let status = answer.expect("an answer").status().as_u16();
        let runs = site.runs.of(id).len();
        assert!(matches!((status, runs), (502 | 504, 1) | (503, 0)), "{status} after {runs} runs");
    }
    assert_memory_is_bounded(&site.nodes[0]);
    assert_connections_are_closed(&faulty).await;
}

// Guards against an answer that belongs to another request: bytes that follow a complete answer on
// its connection must not answer the next request on it.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_after_a_complete_answer_answer_no_other_request() {
    let site = Site::start(1, 0, 1).await;
    let reply = Reply::fast(COMPLETE, COMPLETE);
    let faulty = EndlessWorker::start(&site.store, &site.runs, "plain", "endless-0", reply).await;

    let number = AtomicUsize::new(0);
    until("the faulty target has answered some requests", || async {
        let id = format!("q{}", number.fetch_add(1, Ordering::Relaxed));
        let (status, body) = lookup(&site, id.clone()).await;
        assert_eq!(status, 200);
        assert!(body == "whole" || body == format!("{id} by plain-0"), "answered {body:?}");
        (faulty.requests() >= 5).then_some(())
    })
    .await;
    assert_memory_is_bounded(&site.nodes[0]);
    assert_connections_are_closed(&faulty).await;
}

// Guards against items that wait for ever at a target that sends bytes but no events, and against
// text that is no part of the output. Each item starts at the faulty target.
#[yare::parameterized(
    head_line = { Reply::fast(HEAD_LINE, "a") },
    head_line_slow = { Reply::slow(HEAD_LINE, "a") },
    line = { Reply::fast(AN_EVENT, "a") },
    line_slow = { Reply::slow(AN_EVENT, "a") },
    comments = { Reply::fast(AN_EVENT, ": a\n") },
    comments_slow = { Reply::slow(AN_EVENT, ": a\n") },
    fields = { Reply::fast(AN_EVENT, "data: a\n") },
    fields_slow = { Reply::slow(AN_EVENT, "data: a\n") },
    short_fields = { Reply::fast(AN_EVENT, "a\n") },
    empty_lines = { Reply::fast(AN_EVENT, "\n") },
    events = { Reply::fast(EVENTS, "data: a\n\n") },
    refusal = { Reply::fast(REFUSAL, TEN_BYTE_CHUNK) },
    refusal_slow = { Reply::slow(REFUSAL, ONE_BYTE_CHUNK) },
    error = { Reply::fast(ERROR, TEN_BYTE_CHUNK) },
    error_slow = { Reply::slow(ERROR, ONE_BYTE_CHUNK) },
    unprocessable_slow = { Reply::slow(UNPROCESSABLE, ONE_BYTE_CHUNK) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn items_at_an_engine_that_sends_without_end_go_on_at_another(reply: Reply) {
    const ITEMS: usize = 4;
    let mut site = Site::start(1, 0, 1).await;
    let faulty = EndlessWorker::start(&site.store, &site.runs, "llm", "endless-0", reply).await;
    let batch = submission("b1", ITEMS, 5, 1);
    assert_eq!(site.submit(&site.nodes[0], "b1", &batch).await, 202);
    until("the items run at the faulty engine", || async {
        let ran = (0..ITEMS).all(|number| !site.runs.of(&format!("b1i{number}")).is_empty());
        ran.then_some(())
    })
    .await;
    site.add_engine("engine-0").await;

    let results = site.read_all(&site.nodes[0], "b1", ITEMS).await;

    for result in results {
        let item = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "completed", "{result}");
        assert_eq!(result["text"], complete_output(item, 5));
    }
    assert_memory_is_bounded(&site.nodes[0]);
    assert_connections_are_closed(&faulty).await;
}

// Guards against an on-call reader who takes bytes without end for a broken connection.
#[yare::parameterized(
    line = { Reply::fast(AN_EVENT, "a"), "an event of over 65536 bytes" },
    comments_slow = { Reply::slow(AN_EVENT, ": a\n"), "no complete event within 700 ms" },
    events = { Reply::fast(EVENTS, "data: a\n\n"), "an output of over 1048576 bytes" },
    head_line = { Reply::fast(HEAD_LINE, "a"), "a response head of over 16384 bytes" },
    error = { Reply::fast(ERROR, TEN_BYTE_CHUNK), "in the answer: a body of over" },
    error_slow = { Reply::slow(ERROR, ONE_BYTE_CHUNK), "did not end within 1200 ms" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn the_trail_says_why_a_run_without_end_was_ended(reply: Reply, why: &str) {
    let site = Site::start(1, 0, 0).await;
    let _faulty = EndlessWorker::start(&site.store, &site.runs, "llm", "endless-0", reply).await;

    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 2, 5, 1)).await, 202);

    let runs = until("a run has ended", || async {
        let runs = site.nodes[0].lines("item_run");
        (!runs.is_empty()).then_some(runs)
    })
    .await;
    assert_eq!(runs[0]["outcome"], "broken");
    let found = runs[0]["why"].as_str().expect("a reason");
    assert!(found.contains(why), "the reason is {found:?}");
}

// Guards against a target that gets its share of calls although none of its answers ends.
#[yare::parameterized(
    head_line = { Reply::fast(HEAD_LINE, "a") },
    chunks = { Reply::fast(CHUNKED, TEN_BYTE_CHUNK) },
    length = { Reply::fast(LENGTH, "a") },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_target_that_sends_without_end_is_avoided(reply: Reply) {
    const CALLS: usize = 200;
    let site = Site::start(1, 0, 1).await;
    let faulty = EndlessWorker::start(&site.store, &site.runs, "plain", "endless-0", reply).await;

    for number in 0..CALLS {
        assert_eq!(lookup(&site, format!("q{number}")).await.0, 200);
    }

    let requests = faulty.requests();
    assert!(requests * 10 <= CALLS, "the faulty target got {requests} of {CALLS} calls");
}

// Guards against steps that wait for ever for a score.
#[yare::parameterized(
    head_line_slow = { Reply::slow(HEAD_LINE, "a") },
    chunks = { Reply::fast(CHUNKED, ONE_BYTE_CHUNK) },
    chunks_slow = { Reply::slow(CHUNKED, ONE_BYTE_CHUNK) },
    error_slow = { Reply::slow(ERROR, ONE_BYTE_CHUNK) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_score_is_taken_from_another_target_than_one_that_sends_without_end(reply: Reply) {
    const ITEMS: usize = 8;
    let site = Site::start(1, 1, 1).await;
    let faulty = EndlessWorker::start(&site.store, &site.runs, "plain", "endless-0", reply).await;

    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", ITEMS, 5, 1)).await, 202);
    let results = site.read_all(&site.nodes[0], "b1", ITEMS).await;

    for result in results {
        let item = result["id"].as_str().expect("an id");
        assert_eq!(result["text"], complete_output(item, 5));
        let score = format!("stamp.plain-0.{}", item.replace("b1i", "b1r"));
        assert_eq!(result["score"], score);
    }
    assert_memory_is_bounded(&site.nodes[0]);
    assert_connections_are_closed(&faulty).await;
}

/// Requests a stream, and returns its status and whether its body ended as complete.
async fn stream(site: &Site, id: &str, deadline_ms: u64) -> (u16, bool) {
    let mut answer =
        site.call_within(&site.nodes[0], "/stream/a", id, "\u{3}", deadline_ms).await.expect("one");
    let status = answer.status().as_u16();
    loop {
        match answer.chunk().await {
            Ok(Some(_)) => {}
            Ok(None) => return (status, true),
            Err(_) => return (status, false),
        }
    }
}

// Guards against a stream that is passed on until its caller closes: it ends as broken by its
// deadline at the latest.
#[yare::parameterized(
    line = { Reply::fast(AN_EVENT, "a") },
    line_slow = { Reply::slow(AN_EVENT, "a") },
    comments_slow = { Reply::slow(AN_EVENT, ": a\n") },
    events = { Reply::fast(EVENTS, "data: a\n\n") },
    events_slow = { Reply::slow(EVENTS, "data: a\n\n") },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_stream_without_end_ends_as_broken_by_its_deadline(reply: Reply) {
    const DEADLINE_MS: u64 = 2_000;
    let site = Site::start(1, 0, 1).await;
    let faulty = EndlessWorker::start(&site.store, &site.runs, "llm", "endless-0", reply).await;
    until("the engine is known", || async {
        (stream(&site, "s0", DEADLINE_MS).await.0 == 200).then_some(())
    })
    .await;

    let started = Instant::now();
    let ids: Vec<String> = (1..30).map(|number| format!("s{number}")).collect();
    let streams = join_all(ids.iter().map(|id| stream(&site, id, DEADLINE_MS)));
    let lookups = join_all((0..20).map(|number| lookup(&site, format!("q{number}"))));
    let (streams, lookups) = tokio::join!(streams, lookups);

    assert!(started.elapsed() < Duration::from_millis(DEADLINE_MS + 3_000), "ended in time");
    for (status, is_complete) in streams {
        assert!(matches!(status, 200 | 502 | 503), "answered {status}");
        assert!(status != 200 || !is_complete, "a stream ended as complete");
    }
    assert!(lookups.iter().all(|(status, _)| *status == 200), "{lookups:?}");
    assert_memory_is_bounded(&site.nodes[0]);
    assert_connections_are_closed(&faulty).await;
}

// Guards against an error answer that is cut off and passed on as complete.
#[yare::parameterized(
    fast = { Reply::fast(ERROR, TEN_BYTE_CHUNK) },
    slow = { Reply::slow(ERROR, ONE_BYTE_CHUNK) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_error_answer_without_end_to_a_stream_is_not_passed_on(reply: Reply) {
    let site = Site::start(1, 0, 0).await;
    let faulty = EndlessWorker::start(&site.store, &site.runs, "llm", "endless-0", reply).await;
    until("the engine is asked", || async {
        let answer = site.call_within(&site.nodes[0], "/stream/a", "s0", "\u{3}", 1_500).await;
        let status = answer.expect("an answer").status();
        assert_ne!(status, 500, "the error answer is not whole");
        (faulty.requests() > 0).then_some(())
    })
    .await;

    let answer = site.call_within(&site.nodes[0], "/stream/a", "s1", "\u{3}", 1_500).await;

    assert!(matches!(answer.expect("an answer").status().as_u16(), 502..=504));
    assert_memory_is_bounded(&site.nodes[0]);
    assert_connections_are_closed(&faulty).await;
}

// Guards against weights that are not moved on because an engine answers orders and requests for its
// report without end.
#[yare::parameterized(
    head_line = { Reply::fast(HEAD_LINE, "a") },
    chunks = { Reply::fast(CHUNKED, ONE_BYTE_CHUNK) },
    chunks_slow = { Reply::slow(CHUNKED, ONE_BYTE_CHUNK) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn orders_reach_other_engines_than_one_that_sends_without_end(reply: Reply) {
    let site = Site::start(1, 4, 0).await;
    let faulty = EndlessWorker::start(&site.store, &site.runs, "llm", "endless-0", reply).await;

    // The two models share the engines.
    for model in ["model-a", "model-b"] {
        let version = json!({ "model": model, "version": 2 });
        site.store.put(&format!("op/version/{model}"), &version);
    }

    let has_version = |engine: &Worker| ["model-a", "model-b"].map(|model| engine.version(model));
    until("the other engines have a version", || async {
        site.engines.iter().all(|engine| has_version(engine).contains(&2)).then_some(())
    })
    .await;
    until("the faulty engine is asked", || async { (faulty.requests() > 0).then_some(()) }).await;
    assert_memory_is_bounded(&site.nodes[0]);
}

// Guards against a node that loses the store for good, or is killed for its memory, because answers
// of the store do not end.
#[yare::parameterized(
    head_line = { "HTTP/1.1 200 OK\r\nX-Long: |a" },
    headers = { "HTTP/1.1 200 OK\r\n|X-More: a\r\n" },
    interim_heads = { "HTTP/1.1 100 Continue\r\n\r\n" },
    length = { "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n|a" },
    chunks = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n|a\r\naaaaaaaaaa\r\n" },
    chunks_of_one_byte = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n|1\r\na\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_node_serves_while_the_answers_of_the_store_do_not_end(bytes: &'static str) {
    let site = Site::start_behind_proxies(2, 1, 1).await;
    site.nodes[0].store_link.set(Link::Floods(bytes));

    let status = site.submit(&site.nodes[0], "b1", &submission("b1", 4, 5, 1)).await;
    let ids = (0..20).map(|number| format!("q{number}"));
    let answers = join_all(ids.map(|id| lookup(&site, id))).await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    assert!(matches!(status, 202 | 503), "answered {status}");
    assert!(answers.iter().all(|(status, _)| *status == 200), "{answers:?}");
    assert_memory_is_bounded(&site.nodes[0]);
    site.nodes[0].store_link.set(Link::Open);
    until("the batch is accepted", || async {
        let batch = submission("b1", 4, 5, 1);
        (site.submit(&site.nodes[0], "b1", &batch).await == 202).then_some(())
    })
    .await;
    site.read_all(&site.nodes[0], "b1", 4).await;
}

const REQUEST: &str = "POST /lookup/a HTTP/1.1\r\nHost: site.example\r\nX-Catkinmast-Request-Id: endless\r\nX-Catkinmast-Deadline-Ms: 4000\r\n";

/// Sends a request that does not end, until the node closes the connection. Returns what the node
/// answered, and after how long the connection ended.
async fn send_request_without_end(address: SocketAddr, request: Reply) -> (String, Duration) {
    let started = Instant::now();
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut from_node, mut to_node) = stream.into_split();
    let sending = tokio::spawn(async move {
        let times = if request.pause.is_some() { 1 } else { 16_384 / request.repeated.len() };
        let block = request.repeated.repeat(times);
        let mut sent = to_node.write_all(request.start.as_bytes()).await;
        while sent.is_ok() {
            if let Some(pause) = request.pause {
                tokio::time::sleep(pause).await;
            }
            sent = to_node.write_all(block.as_bytes()).await;
        }
    });
    let mut answer = Vec::new();
    let read = from_node.read_to_end(&mut answer);
    let ended = tokio::time::timeout(Duration::from_secs(30), read).await;
    sending.abort();
    // A connection that is closed while bytes are unread is reset.
    let _reset = ended.expect("the node closes the connection");
    (String::from_utf8_lossy(&answer).into_owned(), started.elapsed())
}

// Guards against callers that keep connections and memory of a node with requests that do not end.
#[yare::parameterized(
    head_line = { "X-Long: ", "a", false, 3_000 },
    head_line_slow = { "X-Long: ", "a", true, 3_000 },
    headers = { "", "X-More: a\r\n", false, 3_000 },
    headers_slow = { "", "X-More: a\r\n", true, 3_000 },
    length = { "Content-Length: 1000000000000\r\n\r\n", "a", false, 4_000 },
    length_slow = { "Content-Length: 1000000000000\r\n\r\n", "a", true, 4_000 },
    chunks = { "Transfer-Encoding: chunked\r\n\r\n", TEN_BYTE_CHUNK, false, 4_000 },
    chunks_of_one_byte = { "Transfer-Encoding: chunked\r\n\r\n", ONE_BYTE_CHUNK, false, 4_000 },
    chunks_slow = { "Transfer-Encoding: chunked\r\n\r\n", ONE_BYTE_CHUNK, true, 4_000 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn requests_without_end_end_in_time_and_hold_little_memory(
    rest: &str,
    repeated: &'static str,
    is_slow: bool,
    ends_after_ms: u64,
) {
    let site = Site::start(1, 0, 1).await;
    let mut document = document(4);
    document["limits"]["maxBodyBytes"] = json!(32 << 20);
    site.store.put("op/config", &document);
    until("the limits are in force", || async {
        let lines = site.nodes[0].lines("document_in_force");
        lines.iter().any(|line| line["version"] == 4).then_some(())
    })
    .await;
    let start = String::leak(format!("{REQUEST}{rest}"));
    let request = if is_slow { Reply::slow(start, repeated) } else { Reply::fast(start, repeated) };

    let address = site.nodes[0].callers;
    let requests = join_all((0..20).map(|_| send_request_without_end(address, request)));
    let lookups = join_all((0..20).map(|number| lookup(&site, format!("q{number}"))));
    let (ended, lookups) = tokio::join!(requests, lookups);

    assert!(lookups.iter().all(|(status, _)| *status == 200), "{lookups:?}");
    for (answer, after) in ended {
        assert!(!answer.starts_with("HTTP/1.1 200"), "answered {answer:?}");
        assert!(after < Duration::from_millis(ends_after_ms + 2_000), "ended after {after:?}");
    }
    assert!(site.runs.of("endless").is_empty(), "no target was asked");
    assert_memory_is_bounded(&site.nodes[0]);
}
