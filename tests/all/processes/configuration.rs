//! A change of the configuration is accepted once and takes effect on all nodes, and no node
//! returns to an older revision.

use crate::support::fleet::{Fleet, FleetSize, OPERATOR, TRAINER, document};
use serde_json::{Value, json};
use std::process::Command;

/// Starts catkinmast-ctl with the operator's token.
fn start_ctl(node: &str, arguments: &[&str]) -> std::process::Child {
    Command::new(env!("CARGO_BIN_EXE_catkinmast-ctl"))
        .args(["--node", node, "--token", OPERATOR, "--json"])
        .args(arguments)
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("catkinmast-ctl starts")
}

/// Returns the fleet's document with one text replaced.
fn edited_document(from: &str, to: &str) -> String {
    let text = document();
    assert!(text.contains(from));
    text.replace(from, to)
}

/// Guards against changes that are overwritten unnoticed. Two operators apply different documents
/// based on the same revision at the same time through different nodes; if the second write
/// replaced the first, both operators would believe that their change is in force.
#[tokio::test]
async fn of_two_concurrent_changes_one_is_accepted_and_one_conflicts() {
    // Arrange
    let fleet = Fleet::start(&FleetSize { engines: 0, nodes: 3, services: 0 }).await;
    let folder = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("a file");
        path.to_str().expect("a path").to_owned()
    };
    let one = write("one.toml", &edited_document("timeout_ms = 8000", "timeout_ms = 7000"));
    let two = write("two.toml", &edited_document("timeout_ms = 8000", "timeout_ms = 6000"));

    // Act
    let apply = |node: usize, file: &str| {
        start_ctl(&fleet.nodes[node].http.to_string(), &["config", "apply", file, "--base", "1"])
    };
    let (first, second) = (apply(0, &one), apply(1, &two));
    let codes = [first, second].map(|child| {
        let output = child.wait_with_output().expect("catkinmast-ctl ends");
        output.status.code().expect("an exit code")
    });

    // Assert: exit codes of one accepted (0) and one conflicting (4) change.
    let mut sorted = codes;
    sorted.sort_unstable();
    assert_eq!(sorted, [0, 4]);
    let accepted = if codes[0] == 0 { "timeout_ms = 7000" } else { "timeout_ms = 6000" };
    for node in 0..3 {
        let text = fleet
            .poll_until("revision 2 is in force", async || {
                let (_, shown) = fleet.send_as_operator("GET", node, "/v1/config", None).await;
                let text = shown["text"].as_str()?.to_owned();
                (shown["revision"] == 2).then_some(text)
            })
            .await;
        assert!(text.contains(accepted));
    }
    let results = fleet
        .poll_until("the audit trail has all three entries", async || {
            let (_, audit) = fleet.send_as_operator("GET", 2, "/v1/audit", None).await;
            let entries = audit.as_array()?.clone();
            let text = |entry: &Value, field: &str| entry[field].as_str().map(str::to_owned);
            let results: Vec<String> =
                entries.iter().filter_map(|entry| text(entry, "result")).collect();
            let by_alice = entries.iter().all(|entry| entry["who"] == "alice");
            (results.len() == 3 && by_alice).then_some(results)
        })
        .await;
    assert_eq!(results.iter().filter(|result| *result == "accepted").count(), 2);
    assert_eq!(results.iter().filter(|result| *result == "conflict").count(), 1);
}

/// Guards against duties that only follow additions to the configuration. Operators remove a
/// trainer and add it again; its node must not go on with its steps in between, and a node must own
/// it again afterwards.
#[tokio::test]
async fn a_removed_trainer_is_released_and_can_be_added_again() {
    // Arrange
    let fleet = Fleet::start(&FleetSize { engines: 1, nodes: 2, services: 1 }).await;
    fleet.owner_index(0).await;
    let progress = async || {
        let node = fleet.nodes[1].http;
        let url = format!("http://{node}/v1/trainers/citation-trainer/progress");
        fleet.send("GET", TRAINER, &url, None).await.0
    };
    let served = async || (progress().await == 200).then_some(());
    fleet.poll_until("the trainer is served", served).await;
    let text = document();
    let without = text.split("[[trainers]]").next().expect("the part before").to_owned();
    let apply = async |base: u64, text: &str| {
        let operation = format!("change-{base}");
        let body = json!({ "base_revision": base, "operation_id": operation, "text": text });
        fleet.send_as_operator("PUT", 0, "/v1/config", Some(&body)).await.0
    };

    // Act, assert
    assert_eq!(apply(1, &without).await, 200);
    let unknown = async || (progress().await == 404).then_some(());
    fleet.poll_until("the trainer is no longer known", unknown).await;
    assert_eq!(apply(2, &text).await, 200);
    fleet.poll_until("the trainer is served again", served).await;
}

/// Guards against changes that are accepted twice, or reported as not run although they were. The
/// key-value service performs the write of the head but its reply is lost, which looks like a lost
/// request.
#[tokio::test]
async fn a_head_write_with_a_lost_reply_is_accepted_once() {
    // Arrange
    let fleet = Fleet::start(&FleetSize { engines: 0, nodes: 2, services: 0 }).await;
    let text = edited_document("timeout_ms = 8000", "timeout_ms = 7500");
    let body = json!({ "base_revision": 1, "operation_id": "lost-reply", "text": text });
    // The first write is the body, whose loss is reported at once; the second is the head.
    fleet.set_platform_faults(&json!({ "lose_write_replies": 2 })).await;

    // Act: the operator repeats the same operation until its outcome is known.
    let revision = fleet
        .poll_until("the outcome of the operation is known", async || {
            let (status, answer) =
                fleet.send_as_operator("PUT", 0, "/v1/config", Some(&body)).await;
            (status == 200).then(|| answer["revision"].as_u64())
        })
        .await;
    let (_, repeated) = fleet.send_as_operator("PUT", 1, "/v1/config", Some(&body)).await;

    // Assert
    assert_eq!(revision, Some(2));
    assert_eq!(
        repeated["revision"].as_u64(),
        Some(2),
        "a repeated operation has the same revision"
    );
    let (_, history) = fleet.send_as_operator("GET", 0, "/v1/config/history", None).await;
    let operations = history.as_array().expect("a list");
    let matching = operations.iter().filter(|entry| entry["operation_id"] == "lost-reply");
    assert_eq!((operations.len(), matching.count()), (2, 1));
}

/// Guards against nodes that start during an outage without a configuration or with an old one. The
/// key-value service is unavailable when the node starts, so that only its peers, which have
/// revision 2, can provide it.
#[tokio::test]
async fn a_node_started_during_an_outage_takes_the_newest_configuration_from_peers() {
    // Arrange
    let mut fleet = Fleet::start(&FleetSize { engines: 0, nodes: 3, services: 1 }).await;
    let text = edited_document("timeout_ms = 8000", "timeout_ms = 7000");
    let body = json!({ "base_revision": 1, "operation_id": "second", "text": text });
    let (status, _) = fleet.send_as_operator("PUT", 0, "/v1/config", Some(&body)).await;
    assert_eq!(status, 200);
    for node in 0..3 {
        fleet
            .poll_until("revision 2 is in force", async || {
                (fleet.status(node).await["config_revision"] == 2).then_some(())
            })
            .await;
    }
    fleet.set_platform_faults(&json!({ "outage": true })).await;

    // Act
    fleet.start_node(3);
    let ready = async || {
        let status = fleet.status(3).await;
        (status["ready"] == true).then(|| status["config_revision"].as_u64())
    };
    let revision = fleet.poll_until("the new node is ready", ready).await;
    let (called, _) = fleet.call(3, "/progress", "during-outage", None).await;
    let (refused, answer) = fleet.send_as_operator("PUT", 3, "/v1/config", Some(&body)).await;

    // Assert: the node serves calls, and refuses changes of the configuration as not run.
    assert_eq!(revision, Some(2));
    assert_eq!(called, 200);
    assert_eq!((refused, answer["refusal"]["verdict"].as_str()), (503, Some("not_run")));
}
