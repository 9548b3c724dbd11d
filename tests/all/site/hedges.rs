//! Hedged requests and attempt limits: a request whose target hangs is answered by another one long
//! before its deadline, and what may not run twice is not sent twice.

use super::harness::{HOST, Node, Site, document, submission, until};
use super::worker::{Behaviour, Worker};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Work time of a target that does not answer in time.
const HANGS_MS: u64 = 30_000;
/// A request that is answered with this much of its 3 s left did not wait for its deadline or for
/// that of a scoring call.
const LEFT_MIN_MS: u64 = 500;

/// Starts one more plain target and waits until the nodes know it. It reports that it is cold, so
/// that nodes choose it only where the earlier targets are no choice.
pub(super) async fn add_plain(site: &mut Site, id: &str) {
    let mut worker = Worker::start(&site.store, &site.runs, "plain", id).await;
    worker.report_cold(600_000);
    site.plain.push(worker);
    wait_for_line(site, "target_joined", id).await;
    wait_for_line(site, "target_cold", id).await;
}

async fn wait_for_line(site: &Site, event: &str, target: &str) {
    for node in &site.nodes {
        until("the nodes know the target", || async {
            node.lines(event).iter().any(|line| line["target"] == target).then_some(())
        })
        .await;
    }
}

/// Starts a site with one node and a target that hangs, to which the node has a connection, and one
/// that works. The first request goes to the one that hangs.
async fn start_with_hanging_target() -> Site {
    let mut site = Site::start(1, 0, 1).await;
    assert_eq!(status(&site, "/lookup/a", "first").await, 200);
    add_plain(&mut site, "plain-1").await;
    site.plain[0].set_pace(10, HANGS_MS);
    site
}

async fn status(site: &Site, path: &str, id: &str) -> u16 {
    let answer = site.call(&site.nodes[0], path, id).await;
    answer.expect("an answer").status().as_u16()
}

pub(super) async fn line_of(node: &Node, event: &str, request: &str) -> Value {
    until("its trail line", || async {
        node.lines(event).into_iter().find(|line| line["request"] == request)
    })
    .await
}

fn left_ms(line: &Value) -> u64 {
    line["left_ms"].as_u64().expect("a number")
}

// Guards against a lookup that waits for its caller's deadline because its target hangs, and against
// a target that goes on working on a request that is answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_whose_target_hangs_is_answered_by_another_one() {
    let site = start_with_hanging_target().await;

    let answered = status(&site, "/lookup/a", "q1").await;

    assert_eq!(answered, 200);
    let line = line_of(&site.nodes[0], "attempt_hedged", "q1").await;
    assert_eq!(
        (&line["first_target"], &line["target"], &line["outcome"]),
        (&json!("plain-0"), &json!("plain-1"), &json!("won"))
    );
    assert!(left_ms(&line) >= LEFT_MIN_MS, "{line}");
    until("the first run is cancelled", || async {
        (site.plain[0].abandoned() == 1).then_some(())
    })
    .await;
}

// Guards against a target that works on a hedge for longer than its caller waits.
#[tokio::test(flavor = "multi_thread")]
async fn a_hedge_carries_the_time_that_its_caller_has_left() {
    let site = start_with_hanging_target().await;

    assert_eq!(status(&site, "/lookup/a", "q1").await, 200);

    let given_ms: Vec<u64> = site.runs.of("q1").iter().filter_map(|run| run.deadline_ms).collect();
    assert_eq!(given_ms.len(), 2, "{given_ms:?}");
    assert!(given_ms[0] <= 3_000 && given_ms[1] < given_ms[0], "{given_ms:?}");
}

// Guards against a request that fails because both of its targets hang, although it may be sent to a
// third.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_of_which_both_attempts_hang_is_repeated() {
    let mut site = Site::start(1, 0, 2).await;
    for worker in &site.plain {
        worker.set_pace(10, 30);
    }
    // Two at once, so that the node has a connection to each target and prefers both to the third.
    let (one, other) =
        futures::future::join(status(&site, "/check/a", "c1"), status(&site, "/check/a", "c2"))
            .await;
    assert_eq!((one, other), (200, 200));
    add_plain(&mut site, "plain-2").await;
    site.plain[0].set_pace(10, HANGS_MS);
    site.plain[1].set_pace(10, HANGS_MS);

    let answered = status(&site, "/lookup/a", "q1").await;

    assert_eq!(answered, 200);
    let runs = site.runs.of("q1");
    assert_eq!(runs.len(), 3, "{runs:?}");
    assert_eq!(runs[2].worker, "plain-2");
    let line = line_of(&site.nodes[0], "attempt_given_up", "q1").await;
    assert!(left_ms(&line) >= LEFT_MIN_MS, "{line}");
    assert_eq!(line_of(&site.nodes[0], "attempt_hedged", "q1").await["outcome"], "lost");
}

// Guards against a request that fails because its hedge was refused while the first attempt was
// running, and against a refusal of which admission does not learn.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_hedge_leaves_the_first_attempt_running() {
    // A target that is cold refuses for another reason than load, so here the second one is not.
    let mut site = Site::start(1, 0, 1).await;
    assert_eq!(status(&site, "/lookup/a", "first").await, 200);
    let second = Worker::start(&site.store, &site.runs, "plain", "plain-1").await;
    site.plain.push(second);
    wait_for_line(&site, "target_joined", "plain-1").await;
    // The target that was called last is chosen last.
    assert_eq!(status(&site, "/lookup/a", "second").await, 200);
    assert_eq!(site.plain[1].ran().len(), 1);
    site.plain[0].set_pace(10, 400);
    site.plain[1].set_behaviour(Behaviour::Full);

    let answered = status(&site, "/lookup/a", "q1").await;

    assert_eq!(answered, 200);
    let runs = site.runs.of("q1");
    assert_eq!((runs.len(), runs[0].worker.as_str()), (1, "plain-0"));
    assert_eq!(line_of(&site.nodes[0], "attempt_hedged", "q1").await["outcome"], "lost");
    until("admission counts the refusal", || async {
        (!site.nodes[0].lines("admission_limited").is_empty()).then_some(())
    })
    .await;
}

// Guards against samples that are late because the answer of their scoring call was lost: such a call
// waited 3 s before it was repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_scoring_call_whose_target_hangs_is_answered_by_another_one() {
    let mut site = Site::start(1, 1, 1).await;
    assert_eq!(status(&site, "/lookup/a", "first").await, 200);
    add_plain(&mut site, "plain-1").await;
    site.plain[0].set_pace(10, HANGS_MS);

    assert_eq!(site.submit(&site.nodes[0], "b", &submission("b", 1, 3, 1)).await, 202);

    let results = site.read_all(&site.nodes[0], "b", 1).await;
    assert_eq!(results[0]["score"], "stamp.plain-1.br0", "{results:?}");
    let line = line_of(&site.nodes[0], "attempt_hedged", "br0").await;
    assert_eq!(line["outcome"], "won");
    assert!(left_ms(&line) >= LEFT_MIN_MS, "{line}");
}

// Guards against a call that runs twice: it is neither hedged nor given up, although it takes longer
// than both delays of its route's goal.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_not_run_twice_is_neither_hedged_nor_given_up() {
    let site = Site::start(1, 0, 2).await;
    for worker in &site.plain {
        worker.set_pace(10, 900);
    }

    for number in 0..2 {
        let id = format!("c{number}");
        assert_eq!(status(&site, "/check/a", &id).await, 200);
        assert_eq!(site.runs.of(&id).len(), 1);
    }

    assert_eq!(site.nodes[0].lines("attempt_hedged"), Vec::<Value>::new());
    assert_eq!(site.nodes[0].lines("attempt_given_up"), Vec::<Value>::new());
}

// Guards against the loss of an answer that is about to arrive: if the route allows no further
// target, nothing is gained by giving an attempt up.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_attempt_is_not_given_up_before_the_callers_deadline() {
    let site = Site::start(1, 0, 2).await;
    let mut config = document(5);
    config["routes"][0]["attempts"] = json!(2);
    site.store.put("op/config", &config);
    until("the configuration is in force", || async {
        let lines = site.nodes[0].lines("document_in_force");
        lines.iter().any(|line| line["version"] == 5).then_some(())
    })
    .await;
    for worker in &site.plain {
        worker.set_pace(10, 1_000);
    }

    let answered = status(&site, "/lookup/a", "q1").await;

    assert_eq!(answered, 200, "the limit is 600 ms and both targets take longer");
    assert_eq!(site.runs.of("q1").len(), 2);
    assert_eq!(site.nodes[0].lines("attempt_given_up"), Vec::<Value>::new());
}

// Guards against targets that go on working on both attempts of a caller that has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_ends_both_attempts() {
    let site = Site::start(1, 0, 2).await;
    for worker in &site.plain {
        worker.set_pace(10, HANGS_MS);
    }
    let request = site
        .client
        .post(format!("http://{}/lookup/a", site.nodes[0].callers))
        .header("Host", HOST)
        .header("X-Catkinmast-Request-Id", "q1")
        .header("X-Catkinmast-Deadline-Ms", "30000");
    let call = tokio::spawn(request.send());
    until("both targets run it", || async { (site.runs.of("q1").len() >= 2).then_some(()) }).await;

    call.abort();

    until("all runs are cancelled", || async {
        let abandoned: u64 = site.plain.iter().map(Worker::abandoned).sum();
        (abandoned as usize == site.runs.of("q1").len()).then_some(())
    })
    .await;
    assert!(site.nodes[0].lines("request_ended").is_empty(), "nothing is answered");
}

/// Returns a listener that does not answer new connections, like the address of an instance without
/// power, and the connections that fill its queue.
pub(super) async fn dark_address() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(1).expect("it listens");
    let address = listener.local_addr().expect("a bound address");
    let mut queued = Vec::new();
    let connect = || tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address));
    while let Ok(connected) = connect().await {
        queued.push(connected.expect("the queue has room"));
    }
    (listener, queued)
}

/// Adds a target at a dark address and waits until the nodes know it. While the first plain target
/// has a call in flight, requests go to the dark one first.
pub(super) async fn add_dark_target(site: &Site, dark: &TcpListener) {
    let entry = site.store.get("servers/plain-0").expect("its entry");
    let text = String::from_utf8(entry).expect("text");
    let dark_address = dark.local_addr().expect("a bound address").to_string();
    let entry = text.replace(&site.plain[0].address().to_string(), &dark_address);
    site.store.put_bytes("servers/dark", entry.into_bytes());
    wait_for_line(site, "target_joined", "dark").await;
}

// Guards against a lookup that waits until the connection to a target without power has timed out.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_is_hedged_while_its_connection_is_being_opened() {
    let site = Site::start(1, 0, 1).await;
    let (dark, _queued) = dark_address().await;
    site.plain[0].set_pace(10, 2_500);
    let check = async {
        // It keeps the target that works busy, so that the lookup goes to the other one first.
        assert_eq!(status(&site, "/check/a", "c1").await, 200);
    };
    let lookup = async {
        until("the call runs", || async { (!site.runs.of("c1").is_empty()).then_some(()) }).await;
        site.plain[0].set_pace(10, 5);
        add_dark_target(&site, &dark).await;
        status(&site, "/lookup/a", "q1").await
    };

    let ((), answered) = futures::future::join(check, lookup).await;

    assert_eq!(answered, 200);
    let line = line_of(&site.nodes[0], "attempt_hedged", "q1").await;
    assert_eq!((&line["first_target"], &line["outcome"]), (&json!("dark"), &json!("won")));
    assert!(left_ms(&line) >= LEFT_MIN_MS, "{line}");
}
