//! Planned stops cut no requests, and the directory lists no node that is stopping.

use super::harness::{Site, complete_output, submission, until};

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
