//! Invalid requests to a running node are refused at once with a clear error, and it keeps serving.

use crate::support::fleet::{CALLER, Fleet, FleetSize, OPERATOR, TRAINER, verdict};
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream, UdpSocket};

/// Method, token, path and body of a request; status and a part of the text of its answer.
type Case<'a> = (&'a str, &'a str, String, Option<&'a Value>, u16, &'a str);

fn one_node() -> FleetSize {
    FleetSize { engines: 0, nodes: 1, services: 1 }
}

/// Sends raw bytes, closes the sending side, and returns the answer.
fn raw(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(bytes).expect("written");
    // A node that has already answered may have closed the connection; its answer is still read.
    if let Err(error) = stream.shutdown(Shutdown::Write) {
        assert_eq!(error.kind(), ErrorKind::NotConnected, "shutdown for writing: {error}");
    }
    let mut answer = Vec::new();
    let _reset = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn invalid_requests_are_answered_with_the_field_or_value() {
    let fleet = Fleet::start(&one_node()).await;
    let node = fleet.nodes[0].http;
    let trainer = "/v1/trainers/citation-trainer";
    let invalid_sizes = json!({ "batch_samples": 10, "group_size": 4, "idle_weight_percent": 50,
        "staleness_bound_versions": 2 });
    let unbound_claim = json!({ "at_version": 0, "batch": 1 });
    let cases: [Case<'_>; 8] = [
        ("GET", CALLER, "/v1/call/nothing/path".to_owned(), None, 404, "service 'nothing'"),
        ("GET", CALLER, "/v1/call/badges/unlisted".to_owned(), None, 404, "'/unlisted'"),
        ("GET", CALLER, "/v1/addresses?data_centre=Salle%20A".to_owned(), None, 400, "data_centre"),
        ("PUT", TRAINER, trainer.to_owned(), Some(&invalid_sizes), 400, "batch_samples"),
        ("POST", TRAINER, format!("{trainer}/batches/1/claim"), Some(&unbound_claim), 400, "batch"),
        ("PUT", TRAINER, "/v1/trainers/other".to_owned(), Some(&invalid_sizes), 403, "'other'"),
        ("GET", CALLER, "/v1/config".to_owned(), None, 403, "Operator"),
        ("GET", "unknown-secret", "/v1/status".to_owned(), None, 401, "token"),
    ];

    for (method, token, path, body, status, expected) in cases {
        let url = format!("http://{node}{path}");
        let (actual_status, text) = fleet.send(method, token, &url, body).await;
        assert_eq!(actual_status, status, "{path}: {text}");
        assert!(text.contains(expected), "{path}: {text}");
        assert_eq!(verdict(&text), "not_run", "{path}: {text}");
    }
}

// Guards against a target that runs a truncated request: a caller closes its connection in the
// middle of a body, and the node takes the end of the connection for the end of the body.
#[tokio::test]
async fn a_truncated_body_reaches_no_target() {
    let fleet = Fleet::start(&one_node()).await;
    let head = |length: usize| {
        format!(
            "POST /v1/call/badges/award HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {CALLER}\r\n\
             Content-Length: {length}\r\n\r\n"
        )
    };

    // The first body is short enough to be buffered, the second is streamed.
    raw(fleet.nodes[0].http, format!("{}half", head(100)).as_bytes());
    let long = [head(200_000).as_bytes(), vec![b'x'; 100_000].as_slice()].concat();
    raw(fleet.nodes[0].http, &long);
    let (status, _) = fleet.call(0, "/award", "whole", None).await;

    assert_eq!(status, 200, "the node keeps serving");
    let url = format!("http://{}/standin/runs", fleet.services[0].1);
    let runs = fleet.client.get(url).send().await.expect("the service answers");
    let runs: Vec<Value> = runs.json().await.expect("a list of runs");
    let bodies: Vec<&str> = runs.iter().filter_map(|run| run["body"].as_str()).collect();
    assert_eq!(bodies, ["whole"]);
}

#[tokio::test]
async fn long_bodies_are_forwarded_and_too_long_ones_refused() {
    let fleet = Fleet::start(&one_node()).await;
    let long_body = "y".repeat(300_000);
    let too_long_body = "z".repeat((8 << 20) + 1);

    let (forwarded, answer) = fleet.call(0, "/progress", &long_body, None).await;
    let (refused, problem) = fleet.call(0, "/progress", &too_long_body, None).await;

    assert_eq!(forwarded, 200);
    assert_eq!(answer, catkinmast_standin::answer_of("/progress", &long_body));
    // The node refuses while the caller is still sending, which may only see the connection close.
    assert!(refused == 413 || refused == 0, "{refused}: {problem}");
    assert_eq!(fleet.count_runs("/progress", &too_long_body).await, 0);
}

#[tokio::test]
async fn malformed_frames_are_counted_and_dropped() {
    let fleet = Fleet::start(&one_node()).await;
    let node = &fleet.nodes[0];
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");

    for size in [0, 1, 16, 17, 100, 1_400, 2_000] {
        socket.send_to(&vec![7; size], node.control).expect("sent");
    }
    raw(node.control, &[255; 64]);
    raw(node.control, &[0, 0, 0, 20, 1, 2, 3]);
    raw(node.http, b"NONSENSE\r\n\r\n");

    let url = format!("http://{}/metrics", node.http);
    fleet
        .poll_until("malformed frames are counted", async || {
            let (_, text) = fleet.send("GET", OPERATOR, &url, None).await;
            let line =
                text.lines().find(|line| line.starts_with("catkinmast_frames_refused_total"))?;
            let count: u32 = line.rsplit(' ').next()?.parse().ok()?;
            (count >= 7).then_some(())
        })
        .await;
    let (status, _) = fleet.call(0, "/progress", "after garbage", None).await;
    assert_eq!(status, 200, "the node keeps serving");
}

// Guards against a refusal without a retry time: a service has no live target, and since a node does
// not delay its refusals, callers that do not know when to retry would do so at once.
#[tokio::test]
async fn a_refusal_has_a_verdict_and_a_retry_time() {
    let fleet = Fleet::start(&FleetSize { engines: 0, nodes: 1, services: 0 }).await;
    let url = format!("http://{}/v1/call/badges/progress", fleet.nodes[0].http);

    let sent = fleet.client.post(url).bearer_auth(CALLER).send().await.expect("an answer");
    let headers = sent.headers().clone();
    let text = sent.text().await.expect("a body");

    // `Retry-After` is in seconds, the field in the body is a point in time.
    let problem: Value = serde_json::from_str(&text).expect("a problem");
    assert_eq!(headers["catkinmast-verdict"], "not_run");
    assert!(headers["retry-after"].to_str().is_ok_and(|text| text.parse::<u32>().is_ok()));
    assert!(problem["retry_at_unix_ms"].is_u64());
}
