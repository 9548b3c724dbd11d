//! Bad input gets an error status or a closed connection, uses bounded memory, and does not stop
//! the node from serving.

use super::harness::{CHANGE_BOUND_MS, HOST, PANICKED, Site, settings, submission, until};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

fn exchange(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
    // A node may close the connection before it has read everything; only its answer matters.
    let _closed_early = stream.write_all(bytes);
    let _closed_early = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    let _reset = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[yare::parameterized(
    garbage = { b"\x16\x03\x01 what is this\r\n\r\n".to_vec(), "400" },
    bad_chunk = { b"POST /lookup/a HTTP/1.1\r\nHost: site.example\r\nX-Catkinmast-Request-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n".to_vec(), "400" },
    cut_body = { b"POST /lookup/a HTTP/1.1\r\nHost: site.example\r\nX-Catkinmast-Request-Id: q1\r\nContent-Length: 50\r\n\r\nhalf".to_vec(), "" },
    two_lengths = { b"POST /lookup/a HTTP/1.1\r\nHost: site.example\r\nX-Catkinmast-Request-Id: q1\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nhalf".to_vec(), "400" },
    batch_without_id = { b"POST /rollout/a HTTP/1.1\r\nHost: site.example\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}".to_vec(), "400" },
    batch_not_json = { b"POST /rollout/a HTTP/1.1\r\nHost: site.example\r\nX-Catkinmast-Request-Id: b1\r\nContent-Length: 3\r\nConnection: close\r\n\r\n{{{".to_vec(), "400" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn malformed_requests_are_refused_and_reach_no_target(bytes: Vec<u8>, status: &str) {
    let site = Site::start(1, 1, 1).await;
    let address = site.nodes[0].callers;

    let answer = tokio::task::spawn_blocking(move || exchange(address, &bytes)).await;

    let answer = answer.expect("the exchange ends");
    assert!(
        answer.is_empty() || answer.starts_with(&format!("HTTP/1.1 {status}")),
        "answered {answer:?}"
    );
    assert!(site.runs.all().is_empty(), "no target was asked");
    let valid = site.call(&site.nodes[0], "/lookup/a", "q2").await.expect("an answer");
    assert_eq!(valid.status(), 200);
}

// Guards against request smuggling. A caller sends a body with both Content-Length and chunked
// encoding that contains a second request; if the node and the target disagree about where the body
// ends, the target runs the second request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_smuggled_in_a_body_never_runs() {
    let site = Site::start(1, 0, 1).await;
    let inner = "POST /lookup/x HTTP/1.1\r\nHost: site.example\r\nX-Catkinmast-Request-Id: \
                 smuggled\r\nContent-Length: 0\r\n\r\n";
    let request = format!(
        "POST /lookup/a HTTP/1.1\r\nHost: {HOST}\r\nX-Catkinmast-Request-Id: q1\r\n\
         Content-Length: 4\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n{:x}\r\n{inner}\r\n0\r\n\r\n",
        inner.len()
    );
    let address = site.nodes[0].callers;

    let _answer = tokio::task::spawn_blocking(move || exchange(address, request.as_bytes())).await;

    assert!(site.runs.of("smuggled").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_operators_limit_is_refused() {
    let site = Site::start(1, 0, 1).await;
    let request = site
        .client
        .post(format!("http://{}/lookup/a", site.nodes[0].callers))
        .header("Host", HOST)
        .header("X-Catkinmast-Request-Id", "q1")
        .body(vec![b'x'; 2 << 20]);

    let status = request.send().await.map(|answer| answer.status().as_u16());

    assert!(status.as_ref().map_or(true, |status| *status == 413), "{status:?}");
    assert!(site.runs.all().is_empty());
}

/// Starts a node with invalid settings; returns what it writes to standard error.
fn error_at_start(settings: &std::path::Path) -> String {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_catkinmast-front"))
        .env("CATKINMAST_BOOT", settings)
        .output()
        .expect("the binary runs");
    assert!(!output.status.success());
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn an_invalid_settings_file_is_named_with_the_problem() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, "node = \"n\"\nportRange = [9, 3]\n").expect("the file is written");

    let error = error_at_start(&path);

    assert!(error.contains("settings.toml"), "the file is named: {error}");
    assert!(error.contains("missing field"), "the problem is named: {error}");
}

#[test]
fn a_bound_of_zero_is_named_with_its_field() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.toml");
    let store = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let text = settings("n", std::net::Ipv4Addr::LOCALHOST, store);
    let bound = format!("configMs = {CHANGE_BOUND_MS}");
    std::fs::write(&path, text.replace(&bound, "configMs = 0")).expect("the file is written");

    let error = error_at_start(&path);

    assert!(error.contains("bounds.configMs is 0"), "field and value are named: {error}");
}

/// Returns an entry like those of targets, with some fields replaced.
fn entry_with(fields: &Value) -> Vec<u8> {
    let mut entry = json!({
        "service": "llm", "address": "127.0.0.1:9", "zone": "zone-a", "version": "v1", "slots": 4,
        "state": "ready", "coldLeftMs": 0, "seq": 1,
        "models": [{ "name": "model-a", "version": 1, "adapters": [] }],
    });
    let fields = fields.as_object().expect("an object").clone();
    entry.as_object_mut().expect("an object").extend(fields);
    entry.to_string().into_bytes()
}

/// Returns an entry in which a number is replaced by this text.
fn entry_with_number(field: &str, number: &str) -> Vec<u8> {
    let entry = String::from_utf8(entry_with(&json!({ field: 12_345 }))).expect("text");
    entry.replace("12345", number).into_bytes()
}

/// Returns an entry with arrays in arrays.
fn nested_entry(depth: usize) -> Vec<u8> {
    let models = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    entry_with_number("models", &models)
}

// Guards against one odd entry among those of the targets, by which nodes end or stop following the
// others.
#[yare::parameterized(
    nested = { nested_entry(100) },
    deeply_nested = { nested_entry(200_000) },
    unknown_nested = { entry_with_number("other", &"[".repeat(100_000)) },
    port_out_of_range = { entry_with(&json!({ "address": "127.0.0.1:70000" })) },
    port_zero = { entry_with(&json!({ "address": "127.0.0.1:0" })) },
    slots_too_large = { entry_with_number("slots", "4294967296") },
    slots_largest = { entry_with_number("slots", "4294967295") },
    slots_endless = { entry_with_number("slots", &"9".repeat(5_000)) },
    slots_exponent = { entry_with_number("slots", "1e400") },
    sequence_largest = { entry_with_number("seq", "18446744073709551615") },
    start_time_largest = { entry_with_number("born", "18446744073709551615") },
    cold_exponent = { entry_with_number("coldLeftMs", "1e400") },
    cold_largest = { entry_with_number("coldLeftMs", "1e300") },
    model_version_largest = {
        entry_with(&json!({ "models": [{ "name": "model-a", "version": u64::MAX }] }))
    },
    no_text = { b"\xff\xfe\x00".to_vec() },
    nothing = { Vec::new() },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_odd_entry_keeps_no_node_from_following_the_others(value: Vec<u8>) {
    let mut site = Site::start(2, 1, 1).await;

    site.store.put_bytes("servers/odd", value);
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.add_engine("engine-late").await;
    for node in &site.nodes {
        node.restart();
    }

    for node in &site.nodes {
        until("the later target is known", || async {
            let joined = node.lines("target_joined");
            joined.iter().any(|line| line["target"] == "engine-late").then_some(())
        })
        .await;
        assert!(node.exit_status().is_none(), "the process runs");
    }
    site.wait_until_all_listed(2).await;
    site.store.put("op/version/model-a", &json!({ "model": "model-a", "version": 2 }));
    until("an engine has the later weights", || async {
        site.engines.iter().any(|engine| engine.version("model-a") == 2).then_some(())
    })
    .await;
    let batch = submission("b1", 4, 3, 1);
    assert_eq!(site.submit(&site.nodes[0], "b1", &batch).await, 202);
    assert_eq!(site.read_all(&site.nodes[1], "b1", 4).await.len(), 4);
    let answer = site.call(&site.nodes[1], "/lookup/a", "q1").await.expect("an answer");
    assert_eq!(answer.status(), 200);
    for node in &site.nodes {
        assert_eq!(node.exit_status(), None, "the process runs");
        assert_eq!(node.lines(PANICKED), Vec::<Value>::new());
    }
}
