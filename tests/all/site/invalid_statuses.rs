//! Answers of targets whose status is not a final one of HTTP (200 to 599): they are no answers.

use super::harness::{Site, complete_output, submission, until};
use super::worker::{Exchange, RepeatingWorker, Script, Scripted};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn with_000(_: Exchange<'_>) -> Scripted {
    Scripted::once(0)
}

fn with_101(_: Exchange<'_>) -> Scripted {
    Scripted::once(101)
}

fn with_600(_: Exchange<'_>) -> Scripted {
    Scripted::once(600)
}

fn with_999(_: Exchange<'_>) -> Scripted {
    Scripted::once(999)
}

/// Sends a request and returns the status line of the answer, which a client may refuse to read.
async fn status_line(site: &Site, path: &str, id: &str, headers: &str) -> String {
    let node = &site.nodes[0];
    let mut stream = TcpStream::connect(node.callers).await.expect("the node listens");
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Catkinmast-Request-Id: {id}\r\n\
         X-Catkinmast-Deadline-Ms: 3000\r\n{headers}Connection: close\r\nContent-Length: 1\r\n\r\nq"
    );
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("the answer is read");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    answer.lines().next().unwrap_or_default().to_owned()
}

/// Starts a node and a target of a service that gives each request an invalid status.
async fn site_with(service: &str, script: Script, engines: usize, plain: usize) -> Site {
    let site = Site::start(1, engines, plain).await;
    RepeatingWorker::start(&site.store, &site.runs, service, "invalid", script).await;
    until("the target is known", || async {
        let joined = site.nodes[0].lines("target_joined");
        joined.iter().any(|line| line["target"] == "invalid").then_some(())
    })
    .await;
    site
}

// Guards against an answer whose status is invalid and that its caller gets as an answer.
#[yare::parameterized(
    zero_call = { with_000 as Script, "plain", "/check/a", "" },
    zero_stream = { with_000 as Script, "llm", "/stream/a", "X-Catkinmast-Model: model-a\r\n" },
    switching_call = { with_101 as Script, "plain", "/check/a", "" },
    switching_stream = { with_101 as Script, "llm", "/stream/a", "X-Catkinmast-Model: model-a\r\n" },
    six_hundred_call = { with_600 as Script, "plain", "/check/a", "" },
    six_hundred_stream = { with_600 as Script, "llm", "/stream/a", "X-Catkinmast-Model: model-a\r\n" },
    largest_call = { with_999 as Script, "plain", "/check/a", "" },
    largest_stream = { with_999 as Script, "llm", "/stream/a", "X-Catkinmast-Model: model-a\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_request_that_is_answered_with_an_invalid_status_has_failed(
    script: Script,
    service: &str,
    path: &str,
    headers: &str,
) {
    let site = site_with(service, script, 0, 0).await;

    let line = status_line(&site, path, "q1", headers).await;

    assert!(line.starts_with("HTTP/1.1 502 "), "{line}\n{}", site.nodes[0].audit_trail());
    assert_eq!(site.runs.of("q1").len(), 1);
}

#[yare::parameterized(
    zero = { with_000 as Script },
    switching = { with_101 as Script },
    six_hundred = { with_600 as Script },
    largest = { with_999 as Script },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn items_and_scoring_calls_that_are_answered_with_an_invalid_status_run_elsewhere(
    script: Script,
) {
    let site = site_with("llm", script, 1, 1).await;
    RepeatingWorker::start(&site.store, &site.runs, "plain", "invalid-too", script).await;

    assert_eq!(site.submit(&site.nodes[0], "b1", &submission("b1", 4, 3, 1)).await, 202);

    for result in site.read_all(&site.nodes[0], "b1", 4).await {
        let item = result["id"].as_str().expect("an id");
        assert_eq!(result["text"], complete_output(item, 3), "{result}");
        assert!(result["score"].as_str().is_some_and(|score| score.contains("plain-")), "{result}");
    }
}
