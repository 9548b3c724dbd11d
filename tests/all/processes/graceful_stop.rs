//! Planned stops.

use crate::support::fleet::{CALLER, Fleet, FleetSize};
use futures::StreamExt;
use serde_json::{Value, json};

/// Symptom: a planned stop cuts a long answer in the middle.
/// Sequence: SIGTERM arrives while a stream of tokens is on its way that takes longer than the
/// web framework's own grace.
/// Cause: the framework closes connections some seconds after it was told to stop.
#[tokio::test]
async fn sigterm_lets_a_long_stream_end_whole() {
    // Arrange: an engine so slow that the stream takes many seconds.
    let size = FleetSize { engines: 1, nodes: 2, services: 0 };
    let engine = ["--tick-ms", "200", "--median-tokens", "400"];
    let mut fleet = Fleet::start_with(&size, &engine, &[]).await;
    let url = format!("http://{}/v1/generate/citation", fleet.nodes[0].http);
    let body = json!({ "prompt": "a long citation", "max_tokens": 400, "seed": 3 });
    let sent = fleet.client.post(url).bearer_auth(CALLER).json(&body).send().await;
    let mut stream = sent.expect("the stream begins").bytes_stream();
    let first = stream.next().await.expect("a first piece").expect("unbroken");

    // Act
    fleet.nodes[0].process.signal("TERM");
    let mut text = first.to_vec();
    while let Some(piece) = stream.next().await {
        text.extend_from_slice(&piece.expect("unbroken"));
    }
    let exit_code = fleet.nodes[0].process.exit_code();

    // Assert
    let text = String::from_utf8(text).expect("text");
    let lines: Vec<Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("a line")).collect();
    let last = lines.last().expect("a last line");
    let tokens: usize =
        lines.iter().filter_map(|line| line["tokens"].as_array()).map(Vec::len).sum();
    assert_eq!(last["kind"], "end");
    assert_eq!(last["count"].as_u64(), Some(tokens as u64));
    assert!(tokens > 100, "the stream was long: {tokens} tokens");
    assert_eq!(exit_code, Some(0), "nothing was cut");
}

/// Symptom: callers keep connecting to a node that leaves.
/// Sequence: an operator drains a node through another one.
/// Cause: answers about addresses go on naming it until its peers have declared it dead.
#[tokio::test]
async fn a_draining_node_vanishes_from_answers_and_ends_by_itself() {
    // Arrange
    let mut fleet = Fleet::start(&FleetSize { engines: 0, nodes: 3, services: 1 }).await;
    let path = format!("/v1/nodes/{}/drain", fleet.nodes[2].name);

    // Act
    let (status, _) = fleet.send_as_operator("POST", 0, &path, None).await;
    let url = format!("http://{}/v1/addresses", fleet.nodes[1].http);
    fleet
        .poll_until("the node is no longer named", async || {
            let (_, text) = fleet.send("GET", CALLER, &url, None).await;
            let answer: Value = serde_json::from_str(&text).ok()?;
            let entries = answer["addresses"].as_array()?;
            let named = entries.iter().any(|entry| entry["node"] == "entry-2");
            (entries.len() == 2 && !named).then_some(())
        })
        .await;
    let still_runs = fleet.nodes[2].process.is_running();

    // Assert: it vanished while it was still there to serve whoever holds its address.
    assert_eq!(status, 202);
    assert!(still_runs);
    assert_eq!(fleet.nodes[2].process.exit_code(), Some(0));
}
