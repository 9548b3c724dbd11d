//! Planned stops: requests in progress complete, and new ones go to other nodes.

use crate::support::fleet::{CALLER, Fleet, FleetSize};
use futures::StreamExt;
use serde_json::{Value, json};

/// Guards against planned stops that truncate long answers. SIGTERM arrives during a stream of
/// tokens that takes longer than the grace period of the web framework, which closes connections
/// some seconds after its shutdown was requested.
#[tokio::test]
async fn a_long_stream_completes_after_sigterm() {
    // Arrange: the engine is so slow that the stream takes many seconds.
    let size = FleetSize { engines: 1, nodes: 2, services: 0 };
    let engine = ["--tick-ms", "200", "--median-tokens", "400"];
    let mut fleet = Fleet::start_with(&size, &engine, &[]).await;
    let url = format!("http://{}/v1/generate/citation", fleet.nodes[0].http);
    let body = json!({ "prompt": "a long citation", "max_tokens": 400, "seed": 3 });
    let sent = fleet.client.post(url).bearer_auth(CALLER).json(&body).send().await;
    let mut stream = sent.expect("the stream starts").bytes_stream();
    let first = stream.next().await.expect("a first chunk").expect("no error");

    // Act
    fleet.nodes[0].process.signal("TERM");
    let mut text = first.to_vec();
    while let Some(chunk) = stream.next().await {
        text.extend_from_slice(&chunk.expect("no error"));
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
    assert!(tokens > 100, "the stream had only {tokens} tokens");
    assert_eq!(exit_code, Some(0), "no request was aborted");
}

/// Guards against callers that keep connecting to a leaving node. An operator drains a node through
/// another one; answers to address lookups must stop naming the node at once, and not only after
/// its peers have declared it dead.
#[tokio::test]
async fn a_draining_node_is_no_longer_listed_and_exits_by_itself() {
    // Arrange
    let mut fleet = Fleet::start(&FleetSize { engines: 0, nodes: 3, services: 1 }).await;
    let path = format!("/v1/nodes/{}/drain", fleet.nodes[2].name);

    // Act
    let (status, _) = fleet.send_as_operator("POST", 0, &path, None).await;
    let url = format!("http://{}/v1/addresses", fleet.nodes[1].http);
    fleet
        .poll_until("the node is no longer listed", async || {
            let (_, text) = fleet.send("GET", CALLER, &url, None).await;
            let answer: Value = serde_json::from_str(&text).ok()?;
            let entries = answer["addresses"].as_array()?;
            let listed = entries.iter().any(|entry| entry["node"] == "entry-2");
            (entries.len() == 2 && !listed).then_some(())
        })
        .await;
    let still_running = fleet.nodes[2].process.is_running();

    // Assert: the node was still running, and so served callers that hold its address.
    assert_eq!(status, 202);
    assert!(still_running);
    assert_eq!(fleet.nodes[2].process.exit_code(), Some(0));
}
