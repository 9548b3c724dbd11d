//! Planned stops cut no requests, and the directory lists no node that is stopping.

use super::harness::{HOST, Node, Site, complete_output, document, submission, until};
use super::worker::Behaviour;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

// Guards against requests that are cut when a node is replaced: SIGTERM arrives while a request is
// at a target, and the process must not exit or close the connection before it has forwarded the
// answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_answers_its_requests_and_leaves_the_directory() {
    let mut site = Site::start(3, 0, 1).await;
    site.plain[0].set_pace(10, 1_500);
    let leaving = site.nodes.remove(0);
    let stopping = async {
        until("the request is at the target", || async {
            (!site.runs.of("q1").is_empty()).then_some(())
        })
        .await;
        leaving.signal("TERM");
    };

    let (answer, ()) = tokio::join!(site.call(&leaving, "/lookup/a", "q1"), stopping);

    let answer = answer.expect("the answer is forwarded");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["connection"], "close");
    assert!(!site.is_ready(&leaving).await, "the stopping node is still ready");
    site.wait_until_all_listed(2).await;
    let status = loop {
        if let Some(status) = leaving.exit_status() {
            break status;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    };
    assert!(status.success(), "{status}");
    assert_eq!(leaving.lines("stopped").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_owner_hands_its_batches_over() {
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(60, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 20, 20, 1)).await, 202);
    let owner = site.owner_of("b1").await;

    site.nodes[owner].signal("TERM");

    let all = site.read_all(&site.nodes[(owner + 1) % 3], "b1", 20).await;
    for result in &all {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["text"], complete_output(id, 20));
    }
}

// Guards against a request that is cut seconds after a planned stop began: the node has answered
// everything and exits, while a caller that kept its address still sends requests. The node must
// accept none between its decision to exit and the exit.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_during_a_nodes_exit_is_answered_or_not_forwarded() {
    let site = Site::start(2, 0, 1).await;
    site.plain[0].set_pace(10, 40);
    let leaving = &site.nodes[0];
    leaving.signal("TERM");

    let callers = (0..8).map(|caller| {
        let site = &site;
        async move {
            let mut unanswered = Vec::new();
            for number in 0..1_000 {
                let id = format!("q{caller}x{number}");
                if site.call(leaving, "/lookup/a", &id).await.is_err() {
                    unanswered.push(id);
                    if unanswered.len() > 20 {
                        break;
                    }
                }
            }
            unanswered
        }
    });
    let unanswered: Vec<String> =
        futures::future::join_all(callers).await.into_iter().flatten().collect();

    assert!(!unanswered.is_empty(), "all requests were answered: the node did not end");
    for id in unanswered {
        assert!(site.runs.of(&id).is_empty(), "{id} reached a target and was not answered");
    }
}

/// How long after the first bytes of an answer the node is stopped.
const BEFORE_STOP: Duration = Duration::from_millis(500);

/// Sends a request for a stream of events.
async fn open_stream(site: &Site, node: &Node, id: &str, events: u8) -> reqwest::Response {
    let request = site
        .client
        .post(format!("http://{}/stream/a", node.callers))
        .header("Host", HOST)
        .header("X-Catkinmast-Request-Id", id)
        .header("X-Catkinmast-Deadline-Ms", "12000")
        .header("X-Catkinmast-Model", "model-a");
    request.body(vec![events]).send().await.expect("the stream begins")
}

/// Reads streams that last longer than a node without requests takes to stop, while the node stops.
async fn assert_streams_are_whole(site: &Site, node: &Node) {
    const EVENTS: u8 = 50;
    let streams = (0..4).map(|number| async move {
        let id = format!("s{number}-{}", node.pid());
        let stream = open_stream(site, node, &id, EVENTS).await;
        (id, stream.text().await)
    });
    let stop = async {
        tokio::time::sleep(BEFORE_STOP).await;
        node.signal("TERM");
    };

    let (streams, ()) = tokio::join!(futures::future::join_all(streams), stop);

    for (id, text) in streams {
        let text = text.expect("the stream is not cut");
        assert!(text.ends_with(&format!("data: {id}-{EVENTS}\n\n")), "{text}");
    }
}

async fn exit(node: &Node) {
    until("the process exits", || async { node.exit_status() }).await;
}

// Guards against streams that a planned stop cuts while their targets send, also when the node is
// replaced twice in a row.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_passes_on_its_streams_to_their_end() {
    let site = Site::start(2, 1, 0).await;
    site.engines[0].set_pace(100, 5);

    for _ in 0..2 {
        assert_streams_are_whole(&site, &site.nodes[0]).await;

        exit(&site.nodes[0]).await;
        site.nodes[0].restart();
        until("the new process is ready", || async {
            site.is_ready(&site.nodes[0]).await.then_some(())
        })
        .await;
    }
    let stopped = site.nodes[0].lines("stopped");
    assert!(stopped.iter().all(|line| line["in_flight"] == 0), "{stopped:?}");
}

// Guards against a second SIGTERM that ends a stop at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_sigterm_cuts_no_stream() {
    let site = Site::start(2, 1, 0).await;
    site.engines[0].set_pace(100, 5);
    let again = async {
        tokio::time::sleep(BEFORE_STOP * 3).await;
        site.nodes[0].signal("TERM");
    };

    tokio::join!(assert_streams_are_whole(&site, &site.nodes[0]), again);
}

/// Sends a lookup on a connection with small buffers.
async fn send_lookup(node: &Node, id: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4 << 10).expect("the option is known");
    let mut stream = socket.connect(node.callers).await.expect("the node listens");
    let request = format!(
        "POST /lookup/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n\
         X-Catkinmast-Request-Id: {id}\r\nX-Catkinmast-Deadline-Ms: 3000\r\n\r\n."
    );
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    stream
}

// Guards against a long answer that a planned stop cuts because its caller reads slowly.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_sends_a_long_answer_to_a_slow_caller() {
    const ANSWER_BYTES: usize = 1_000_000;
    const READS: usize = 45;
    let site = Site::start(2, 0, 1).await;
    site.plain[0].set_behaviour(Behaviour::AnswersLong(ANSWER_BYTES));
    let mut stream = send_lookup(&site.nodes[0], "q1").await;
    let mut answer = vec![0; 2 * ANSWER_BYTES];
    let mut length = stream.read(&mut answer).await.expect("the answer begins");

    site.nodes[0].signal("TERM");
    for _ in 0..READS {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let until = length + ANSWER_BYTES / READS;
        length += stream.read(&mut answer[length..until]).await.unwrap_or_default();
    }
    while let Ok(more @ 1..) = stream.read(&mut answer[length..]).await {
        length += more;
    }

    let head_bytes = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").expect("a head") + 4;
    assert_eq!(length - head_bytes, ANSWER_BYTES);
}

// Guards against a read that a planned stop cuts while it waits for a result, at the owner of its
// batch or at another node.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_answers_reads_that_wait_for_long() {
    let site = Site::start(3, 1, 1).await;
    site.engines[0].set_pace(1_000, 5);
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 1, 30, 1)).await, 202);
    let owner = site.owner_of("b1").await;

    for stopping in [owner, (owner + 1) % 3] {
        let stop = async {
            tokio::time::sleep(BEFORE_STOP).await;
            site.nodes[stopping].signal("TERM");
        };
        let read = site.read_within(&site.nodes[stopping], "b1", 0, 20_000);
        let (page, ()) = tokio::join!(read, stop);

        assert_eq!(page, Some(Vec::new()), "at node {stopping}");
        exit(&site.nodes[stopping]).await;
        site.nodes[stopping].restart();
        until("the new process is ready", || async {
            site.is_ready(&site.nodes[stopping]).await.then_some(())
        })
        .await;
    }
}

// Guards against a batch that is lost when the node to which it is handed over stops as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_is_read_whole_when_its_owner_and_its_successor_stop() {
    let site = Site::start(3, 3, 1).await;
    for engine in &site.engines {
        engine.set_pace(60, 5);
    }
    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 20, 20, 1)).await, 202);
    let owner = site.owner_of("b1").await;

    site.nodes[owner].signal("TERM");
    let successor = until("a successor", || async {
        let handed_over = site.nodes[owner].lines("batch_handed_over");
        let name = handed_over.first()?["to"].as_str()?.to_owned();
        (0..3).find(|number| format!("node-{number}") == name)
    })
    .await;
    site.nodes[successor].signal("TERM");

    let all = site.read_all(&site.nodes[3 - owner - successor], "b1", 20).await;
    for result in &all {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["text"], complete_output(id, 20));
        assert!(result["score"].is_string(), "{result}");
    }
}

// Guards against a request that gets no answer, because its target runs it for longer than the grace
// time of a planned stop lasts.
#[yare::parameterized(
    repeatable = { "/lookup/a", 3 },
    not_repeatable = { "/check/a", 1 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_request_that_outlasts_the_grace_time_of_a_stop_is_answered(path: &str, attempts: usize) {
    let site = Site::start(2, 0, 1).await;
    let mut document = document(4);
    for route in document["routes"].as_array_mut().expect("the routes") {
        route["timeoutMs"] = json!(20_000);
    }
    site.store.put("op/config", &document);
    until("the configuration is in force", || async {
        (site.nodes[0].lines("document_in_force").len() >= 2).then_some(())
    })
    .await;
    site.plain[0].set_pace(10, 12_000);
    site.nodes[0].signal("TERM");
    tokio::time::sleep(Duration::from_millis(2_500)).await;

    let answer = site.call_within(&site.nodes[0], path, "q1", "question", 15_000).await;

    let status = answer.expect("an answer").status();
    assert_eq!(status, 504, "whether it ran is unknown");
    assert!((1..=attempts).contains(&site.runs.of("q1").len()));
}
