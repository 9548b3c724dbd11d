//! Workspaces and keys: which requests are served, what targets receive, and where keys must not
//! appear.

use super::harness::{CHANGE_BOUND_MS, HOST, Node, Site, document, submission, until};
use super::store::StoreMode;
use reqwest::RequestBuilder;
use serde_json::{Value, json};
use std::time::Duration;

const KEY_A: &str = "alphakey0123456789";
const KEY_B: &str = "betakey0123456789";

/// Returns the usual configuration with workspaces and a public route for scoring calls.
fn with_keys(version: u64, tenants: &[(&str, &[&str])]) -> Value {
    let mut document = document(version);
    let tenants: Vec<Value> =
        tenants.iter().map(|(name, keys)| json!({ "name": name, "apiKeys": keys })).collect();
    document["tenants"] = json!(tenants);
    let scores = json!({ "name": "scores", "host": HOST, "prefix": "/lookup/score/",
        "kind": "idempotent", "timeoutMs": 3_000, "targetLatencyMs": 800, "priority": 2,
        "service": "plain", "attempts": 4, "public": true });
    document["routes"].as_array_mut().expect("routes").push(scores);
    document
}

async fn site_with_keys(nodes: usize, engines: usize) -> Site {
    let site = Site::start(nodes, engines, 2).await;
    put_in_force(&site, 5, &[("a", &[KEY_A]), ("b", &[KEY_B])]).await;
    site
}

async fn put_in_force(site: &Site, version: u64, tenants: &[(&str, &[&str])]) {
    site.store.put("op/config", &with_keys(version, tenants));
    for node in &site.nodes {
        until("the configuration is in force", || async {
            let lines = node.lines("document_in_force");
            lines.iter().any(|line| line["version"] == version).then_some(())
        })
        .await;
    }
}

fn lookup(site: &Site, node: &Node, id: &str) -> RequestBuilder {
    site.client
        .post(format!("http://{}/lookup/a", node.callers))
        .header("Host", HOST)
        .header("X-Catkinmast-Request-Id", id)
        .header("X-Catkinmast-Deadline-Ms", "3000")
        .body("question")
}

fn with_key(request: RequestBuilder, key: &str) -> RequestBuilder {
    request.header("Authorization", format!("Bearer {key}"))
}

async fn status(request: RequestBuilder) -> u16 {
    request.send().await.map_or(0, |answer| answer.status().as_u16())
}

fn batch(site: &Site, node: &Node, id: &str, key: &str) -> RequestBuilder {
    let mut items = submission(id, 2, 3, 0);
    for item in items["items"].as_array_mut().expect("items") {
        item["scorerUrl"]["path"] = json!("/lookup/score/x");
        item["headers"]["X-Catkinmast-Tenant"] = json!("somebody");
        item["headers"]["Authorization"] = json!(format!("Bearer {KEY_B}"));
    }
    let request = site
        .client
        .post(format!("http://{}/rollout/{id}", node.callers))
        .header("Host", HOST)
        .header("X-Catkinmast-Request-Id", id)
        .body(items.to_string());
    with_key(request, key)
}

fn read(site: &Site, node: &Node, id: &str) -> RequestBuilder {
    let url = format!("http://{}/-/lots/{id}?after=0", node.callers);
    site.client.get(url).header("Host", HOST)
}

/// Returns the audit trails of all nodes.
fn trails(site: &Site) -> String {
    site.nodes.iter().map(Node::audit_trail).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_receives_the_workspace_and_never_the_key() {
    let site = site_with_keys(2, 0).await;
    let forged = lookup(&site, &site.nodes[0], "q1")
        .header("X-Catkinmast-Tenant", "b")
        .header("x-catkinmast-tenant", "c");

    let answered = status(with_key(forged, KEY_A)).await;

    assert_eq!(answered, 200);
    let run = &site.runs.of("q1")[0];
    assert_eq!(run.workspaces, ["a"]);
    assert!(!run.has_key);
    assert!(!trails(&site).contains(KEY_A));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_names_no_workspace_is_denied_and_not_run() {
    let site = site_with_keys(1, 0).await;
    let node = &site.nodes[0];
    let long = "k".repeat(4_000);
    let request = |number: usize| lookup(&site, node, &format!("q{number}"));
    let requests = [
        request(0),
        with_key(request(1), "unknown"),
        request(2).header("Authorization", format!("Basic {KEY_A}")),
        with_key(with_key(request(3), KEY_A), KEY_A),
        with_key(request(4), &long),
        request(5).header("Authorization", "Bearer "),
    ];

    for (number, request) in requests.into_iter().enumerate() {
        let answer = request.send().await.expect("an answer");

        assert_eq!(answer.status(), 401, "request {number}");
        assert_eq!(answer.headers()["www-authenticate"], "Bearer");
        assert!(site.runs.of(&format!("q{number}")).is_empty());
    }
    let trails = trails(&site);
    assert!(!trails.contains(KEY_A) && !trails.contains(&long));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_public_route_needs_no_key_and_forwards_none() {
    let site = site_with_keys(1, 0).await;
    let request = |id: &str| {
        site.client
            .post(format!("http://{}/lookup/score/x", site.nodes[0].callers))
            .header("Host", HOST)
            .header("X-Catkinmast-Request-Id", id)
            .header("X-Catkinmast-Tenant", "a")
    };

    let without = status(request("q1")).await;
    let with = status(with_key(request("q2"), KEY_A)).await;

    assert_eq!((without, with), (200, 200));
    for id in ["q1", "q2"] {
        let run = &site.runs.of(id)[0];
        assert!(run.workspaces.is_empty() && !run.has_key, "{run:?}");
    }
}

// Without workspaces the header is between the caller and the target, which may check the key
// itself.
#[tokio::test(flavor = "multi_thread")]
async fn without_workspaces_a_callers_authorization_is_forwarded() {
    let site = Site::start(1, 0, 1).await;

    let answered = status(with_key(lookup(&site, &site.nodes[0], "q1"), KEY_A)).await;

    assert_eq!(answered, 200);
    assert!(site.runs.of("q1")[0].has_key);
}

// Guards against a removed key that is accepted beyond the bound, or an added one that is denied:
// the keys change while a node has lost the store, and it gets the change from the other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_keys_is_in_force_in_time_at_a_node_that_the_store_refuses() {
    let site = site_with_keys(3, 0).await;
    site.store.set_mode(site.nodes[0].store_endpoint, StoreMode::Refuses);

    site.store.put("op/config", &with_keys(9, &[("a", &["newkey012345"]), ("b", &[KEY_B])]));
    tokio::time::sleep(Duration::from_millis(CHANGE_BOUND_MS)).await;

    for node in &site.nodes {
        assert_eq!(status(with_key(lookup(&site, node, "old"), KEY_A)).await, 401);
        assert_eq!(status(with_key(lookup(&site, node, "new"), "newkey012345")).await, 200);
    }
    assert!(site.runs.of("old").is_empty());
}

// Guards against permanent refusals of new keys by a node that does not know them yet: no node
// reaches the store, and their views get old.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_known_keys_are_served_and_unknown_ones_told_to_retry() {
    let site = site_with_keys(2, 0).await;
    for node in &site.nodes {
        site.store.set_mode(node.store_endpoint, StoreMode::Refuses);
    }
    let node = &site.nodes[0];

    let answer = until("the view is old", || async {
        let answer = with_key(lookup(&site, node, "new"), "newkey").send().await.ok()?;
        (answer.status() == 503).then_some(answer)
    })
    .await;

    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(status(with_key(lookup(&site, node, "old"), KEY_A)).await, 200);
    assert!(site.runs.of("new").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_belongs_to_its_workspace_and_outlives_its_key() {
    let site = site_with_keys(2, 1).await;
    let (first, second) = (&site.nodes[0], &site.nodes[1]);
    assert_eq!(status(batch(&site, first, "s1", KEY_A)).await, 202);

    put_in_force(&site, 7, &[("a", &["latekey012345"]), ("b", &[KEY_B])]).await;

    for node in [first, second] {
        assert_eq!(status(read(&site, node, "s1")).await, 401, "without a key");
        assert_eq!(status(with_key(read(&site, node, "s1"), KEY_A)).await, 401, "a removed key");
        assert_eq!(
            status(with_key(read(&site, node, "s1"), KEY_B)).await,
            404,
            "another workspace's batch"
        );
        assert_eq!(
            status(with_key(read(&site, node, "s9"), KEY_B)).await,
            404,
            "a batch that does not exist"
        );
        let end = site.client.delete(format!("http://{}/-/lots/s1", node.callers));
        assert_eq!(
            status(with_key(end.header("Host", HOST), KEY_B)).await,
            404,
            "the end of another workspace's batch"
        );
        let body = format!("http://{}/-/items/s1?id=s1i0", node.callers);
        let body = with_key(site.client.get(body).header("Host", HOST), KEY_B);
        assert_eq!(status(body).await, 404, "an item of another workspace's batch");
    }
    until("all results", || async {
        let page = with_key(read(&site, second, "s1"), "latekey012345").send().await.ok()?;
        let page: Value = page.json().await.ok()?;
        (page["results"].as_array()?.len() == 2).then_some(())
    })
    .await;
    assert_eq!(
        status(batch(&site, first, "s1", "latekey012345")).await,
        202,
        "the same submission again"
    );
    assert_eq!(
        status(batch(&site, second, "s1", KEY_B)).await,
        409,
        "the id belongs to another workspace"
    );
    for run in site.runs.all().into_iter().filter(|run| run.request.starts_with("s1")) {
        // Ids of scoring requests contain an `r`, and their route is public.
        let expected: &[&str] = if run.request.contains('r') { &[] } else { &["a"] };
        assert_eq!(run.workspaces, expected, "{run:?}");
        assert!(!run.has_key, "{run:?}");
    }
}

// Guards against items that run for no workspace or for another one, after the owner of their batch
// was killed and another node has taken the batch over from the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_is_taken_over_keeps_its_workspace() {
    let site = site_with_keys(3, 1).await;
    site.engines[0].set_pace(400, 5);
    assert_eq!(status(batch(&site, &site.nodes[0], "s1", KEY_A)).await, 202);
    let owner = site.owner_of("s1").await;

    site.nodes[owner].signal("KILL");

    let reader = &site.nodes[(owner + 1) % 3];
    until("all results", || async {
        let page = with_key(read(&site, reader, "s1"), KEY_A).send().await.ok()?;
        let page: Value = page.json().await.ok()?;
        (page["results"].as_array()?.len() == 2).then_some(())
    })
    .await;
    for run in site.runs.all().into_iter().filter(|run| run.request.starts_with("s1i")) {
        assert_eq!(run.workspaces, ["a"], "{run:?}");
    }
    assert!(!trails(&site).contains(KEY_A));
}

// Guards against keys in messages between nodes and in the memory of the receiver: a node that has
// lost the store reads the configuration via a peer, which must not forward the store's answer
// unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn no_key_is_in_the_memory_of_a_node_that_got_the_configuration_from_a_peer() {
    let site = site_with_keys(3, 0).await;
    let node = &site.nodes[2];
    site.store.set_mode(node.store_endpoint, StoreMode::Refuses);
    // A watch that is open when the store begins to refuse ends within half of the bound.
    tokio::time::sleep(Duration::from_millis(CHANGE_BOUND_MS)).await;

    put_in_force(&site, 9, &[("a", &["memorykey0123456789"]), ("b", &[KEY_B])]).await;

    let found = memory_holds(node.pid(), b"memorykey0123456789");
    assert!(!found, "the memory of node 2 contains the new key");
}

/// Returns whether the writable memory of a child process contains these bytes.
fn memory_holds(pid: u32, wanted: &[u8]) -> bool {
    use std::io::{Read, Seek, SeekFrom};
    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).expect("our child's maps");
    let mut memory = std::fs::File::open(format!("/proc/{pid}/mem")).expect("our child's memory");
    maps.lines().filter(|line| line.contains("rw-p")).any(|line| {
        let range = line.split(' ').next().and_then(|range| range.split_once('-'));
        let (from, to) = range.expect("a range");
        let parse = |text| u64::from_str_radix(text, 16).expect("an address");
        let mut bytes = vec![0; (parse(to) - parse(from)) as usize];
        let read =
            memory.seek(SeekFrom::Start(parse(from))).and_then(|_| memory.read_exact(&mut bytes));
        read.is_ok() && bytes.windows(wanted.len()).any(|window| window == wanted)
    })
}

// Guards against keys in the stored data of a batch and in its copies on other nodes: a trainer
// puts its key among the headers of its items, and the header was dropped only on the way to a
// target.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_among_an_items_headers_is_not_kept_with_its_batch() {
    let site = site_with_keys(2, 1).await;

    assert_eq!(status(batch(&site, &site.nodes[0], "s1", KEY_A)).await, 202);

    let keys = site.store.keys("cm/");
    assert!(keys.iter().any(|key| key.starts_with("cm/d/s1")), "the batch is stored: {keys:?}");
    for key in keys {
        let value = site.store.get(&key).unwrap_or_default();
        let holds = value.windows(KEY_B.len()).any(|window| window == KEY_B.as_bytes());
        assert!(!holds, "{key} holds a caller's key");
    }
}
