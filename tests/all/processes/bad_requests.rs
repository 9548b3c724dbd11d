//! Bad requests against a running node: a clear error at once, and the node goes on.

use crate::support::fleet::{CALLER, Fleet, FleetSize, OPERATOR, TRAINER, verdict};
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream, UdpSocket};

/// Method, token, path, body, and what is answered: the status and a part of the text.
type Case<'a> = (&'a str, &'a str, String, Option<&'a Value>, u16, &'a str);

fn one_node() -> FleetSize {
    FleetSize { engines: 0, nodes: 1, services: 1 }
}

/// Sends raw bytes, closes the sending side, and returns what comes back.
fn raw(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(bytes).expect("written");
    // A node that has answered already may have closed the connection by now; what it answered is
    // looked at all the same.
    if let Err(error) = stream.shutdown(Shutdown::Write) {
        assert_eq!(error.kind(), ErrorKind::NotConnected, "closed for writing: {error}");
    }
    let mut answer = Vec::new();
    let _reset = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn each_wrong_request_is_told_its_field_and_value() {
    // Arrange
    let fleet = Fleet::start(&one_node()).await;
    let node = fleet.nodes[0].http;
    let trainer = "/v1/trainers/citation-trainer";
    let wrong_batch = json!({ "batch_samples": 10, "group_size": 4, "idle_weight_percent": 50,
        "staleness_bound_versions": 2 });
    let unknown = json!({ "at_version": 0, "batch": 1 });
    let cases: [Case<'_>; 8] = [
        ("GET", CALLER, "/v1/call/nothing/path".to_owned(), None, 404, "service 'nothing'"),
        ("GET", CALLER, "/v1/call/badges/unlisted".to_owned(), None, 404, "'/unlisted'"),
        ("GET", CALLER, "/v1/addresses?data_centre=Salle%20A".to_owned(), None, 400, "data_centre"),
        ("PUT", TRAINER, trainer.to_owned(), Some(&wrong_batch), 400, "batch_samples"),
        ("POST", TRAINER, format!("{trainer}/batches/1/claim"), Some(&unknown), 400, "batch"),
        ("PUT", TRAINER, "/v1/trainers/other".to_owned(), Some(&wrong_batch), 403, "'other'"),
        ("GET", CALLER, "/v1/config".to_owned(), None, 403, "Operator"),
        ("GET", "unknown-secret", "/v1/status".to_owned(), None, 401, "token"),
    ];

    // Act, assert
    for (method, token, path, body, status, names) in cases {
        let url = format!("http://{node}{path}");
        let (answered, text) = fleet.send(method, token, &url, body).await;
        assert_eq!(answered, status, "{path}: {text}");
        assert!(text.contains(names), "{path}: {text}");
        assert_eq!(verdict(&text), "not_run", "{path}: {text}");
    }
}

/// Symptom: a target takes half of a request for the whole.
/// Sequence: a caller announces a body and hangs up in the middle of it.
/// Cause: the end of the connection is taken for the end of the body.
#[tokio::test]
async fn a_half_sent_body_reaches_no_target() {
    // Arrange
    let fleet = Fleet::start(&one_node()).await;
    let head = |length: usize| {
        format!(
            "POST /v1/call/badges/award HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {CALLER}\r\n\
             Content-Length: {length}\r\n\r\n"
        )
    };

    // Act: one short enough to be held, one long enough to be passed on as it comes.
    raw(fleet.nodes[0].http, format!("{}half", head(100)).as_bytes());
    let long = [head(200_000).as_bytes(), vec![b'x'; 100_000].as_slice()].concat();
    raw(fleet.nodes[0].http, &long);
    let (status, _) = fleet.call(0, "/award", "whole", None).await;

    // Assert
    assert_eq!(status, 200, "the node goes on");
    let url = format!("http://{}/standin/runs", fleet.services[0].1);
    let runs = fleet.client.get(url).send().await.expect("the service answers");
    let runs: Vec<Value> = runs.json().await.expect("a list of runs");
    let bodies: Vec<&str> = runs.iter().filter_map(|run| run["body"].as_str()).collect();
    assert_eq!(bodies, ["whole"]);
}

#[tokio::test]
async fn long_bodies_pass_and_over_long_ones_are_refused() {
    // Arrange
    let fleet = Fleet::start(&one_node()).await;
    let long = "y".repeat(300_000);
    let over_long = "z".repeat((8 << 20) + 1);

    // Act
    let (passed, answer) = fleet.call(0, "/progress", &long, None).await;
    let (refused, problem) = fleet.call(0, "/progress", &over_long, None).await;

    // Assert
    assert_eq!(passed, 200);
    assert_eq!(answer, catkinmast_standin::answer_of("/progress", &long));
    // The refusal comes while the caller is still sending; it may see the connection close.
    assert!(refused == 413 || refused == 0, "{refused}: {problem}");
    assert_eq!(fleet.count_runs("/progress", &over_long).await, 0);
}

#[tokio::test]
async fn garbage_is_counted_and_dropped() {
    // Arrange
    let fleet = Fleet::start(&one_node()).await;
    let node = &fleet.nodes[0];
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");

    // Act
    for size in [0, 1, 16, 17, 100, 1_400, 2_000] {
        socket.send_to(&vec![7; size], node.control).expect("sent");
    }
    raw(node.control, &[255; 64]);
    raw(node.control, &[0, 0, 0, 20, 1, 2, 3]);
    raw(node.http, b"NONSENSE\r\n\r\n");

    // Assert
    let url = format!("http://{}/metrics", node.http);
    fleet
        .poll_until("garbage was counted", async || {
            let (_, text) = fleet.send("GET", OPERATOR, &url, None).await;
            let line =
                text.lines().find(|line| line.starts_with("catkinmast_frames_refused_total"))?;
            let count: u32 = line.rsplit(' ').next()?.parse().ok()?;
            (count >= 7).then_some(())
        })
        .await;
    let (status, _) = fleet.call(0, "/progress", "after garbage", None).await;
    assert_eq!(status, 200, "the node goes on");
}

/// Symptom: a caller waits for its whole timeout although nobody will answer.
/// Sequence: the service has no live target.
/// Cause: a refusal that is held back so that the client does not ask again.
#[tokio::test]
async fn a_refusal_comes_at_once_with_the_time_to_come_back() {
    // Arrange
    let fleet = Fleet::start(&FleetSize { engines: 0, nodes: 1, services: 0 }).await;
    let url = format!("http://{}/v1/call/badges/progress", fleet.nodes[0].http);

    // Act
    let sent = fleet.client.post(url).bearer_auth(CALLER).send().await.expect("an answer");
    let headers = sent.headers().clone();
    let text = sent.text().await.expect("a body");

    // Assert: the header is in seconds, the body has the point in time.
    let problem: Value = serde_json::from_str(&text).expect("a problem");
    assert_eq!(headers["catkinmast-verdict"], "not_run");
    assert!(headers["retry-after"].to_str().is_ok_and(|text| text.parse::<u32>().is_ok()));
    assert!(problem["retry_at_unix_ms"].is_u64());
}
