//! The test harness of a site: the store, workers, entry nodes and provider, and a client for
//! calls.

use super::provider::Provider;
use super::proxy::Proxy;
use super::store::Store;
use super::web::Server;
use super::worker::{Runs, Worker};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a test waits for a condition before it fails as hung.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_mins(1);
/// The most addresses that a node's directory lists.
const DIRECTORY_MAX: usize = 64;
/// The host name of all routes.
pub(crate) const HOST: &str = "site.example";

/// Bound on the time from the store's acknowledgement of a change until the change is in force at
/// all nodes that reach the store.
pub(crate) const CHANGE_BOUND_MS: u64 = 2_000;

/// The event under which the log has a panic of the process. It may have ended a task only.
pub(crate) const PANICKED: &str = "panicked";

const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const DIRECTORY_PORT: u16 = 8143;

/// An entry node's process.
pub(crate) struct Node {
    pub(crate) callers: SocketAddr,
    child: Arc<Mutex<Process>>,
    pub(crate) directory: SocketAddr,
    pub(crate) store_endpoint: usize,
    _store_server: Server,
    folder: Arc<tempfile::TempDir>,
    log: Arc<Mutex<Vec<Value>>>,
    _provider_server: Server,
    pub(crate) ready: SocketAddr,
    /// The proxy between this node and the store; it forwards unless a test changes it.
    pub(crate) store_link: Proxy,
}

impl Drop for Node {
    fn drop(&mut self) {
        kill_and_reap(&mut self.child());
    }
}

fn kill_and_reap(process: &mut Process) {
    let _already_dead = process.0.kill();
    let _already_reaped = process.0.wait();
}

/// A process that is killed when its handle is dropped. Otherwise a process that a test restarts
/// with a delay can outlive the test (four of them were left after a soak of 50 seeds).
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        kill_and_reap(self);
    }
}

/// Sends a signal by name, e.g. `KILL`, `STOP`, `CONT` or `TERM`, to a process.
pub(crate) fn signal(pid: u32, name: &str) {
    let status = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
    assert!(status.is_ok(), "kill runs");
}

/// A running site.
pub(crate) struct Site {
    pub(crate) client: reqwest::Client,
    pub(crate) engines: Vec<Worker>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) plain: Vec<Worker>,
    pub(crate) provider: Provider,
    pub(crate) runs: Runs,
    pub(crate) store: Store,
}

/// Returns the initial configuration of a site.
pub(crate) fn document(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            { "name": "lookups", "host": HOST, "prefix": "/lookup/", "kind": "idempotent",
              "timeoutMs": 3_000, "targetLatencyMs": 150, "priority": 2, "service": "plain",
              "attempts": 3 },
            { "name": "checks", "host": HOST, "prefix": "/check/", "kind": "non_idempotent",
              "timeoutMs": 3_000, "targetLatencyMs": 150, "priority": 1, "service": "plain",
              "attempts": 3 },
            { "name": "rollouts", "host": HOST, "prefix": "/rollout/", "kind": "rollout",
              "timeoutMs": 10_000, "targetLatencyMs": 400, "priority": 1, "service": "llm",
              "attempts": 3, "runTargetMs": 7_500, "maxWaitS": 40, "resumable": true },
            { "name": "streams", "host": HOST, "prefix": "/stream/", "kind": "stream",
              "timeoutMs": 10_000, "targetLatencyMs": 400, "priority": 1, "service": "llm",
              "attempts": 2 },
        ],
        "services": [
            { "name": "plain", "healthPath": "/health", "maxConnections": 96, "protocol": "h1",
              "tls": false },
            { "name": "llm", "healthPath": "/health", "maxConnections": 96, "protocol": "h1",
              "tls": false, "engine": { "slots": 4, "models": [{ "name": "model-a" },
              { "name": "model-b" }] } },
        ],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 1_048_576, "headerTimeoutMs": 3_000,
                    "idleTimeoutMs": 15_000 },
    })
}

/// Returns a batch submission of `items` items in groups of two, with `events` events each.
pub(crate) fn submission(prefix: &str, items: usize, events: u8, oldest_version: u64) -> Value {
    let items: Vec<Value> = (0..items)
        .map(|number| {
            json!({
                "id": format!("{prefix}i{number}"), "path": format!("/rollout/{prefix}"),
                "headers": { "X-Catkinmast-Model": "model-a",
                             "X-Catkinmast-Token-Count": "100,400" },
                "body": STANDARD.encode([events]), "tokens": 500,
                "group": format!("{prefix}g{}", number / 2),
                "scorerUrl": { "id": format!("{prefix}r{number}"), "host": HOST,
                               "path": "/lookup/score", "body": STANDARD.encode("score") },
            })
        })
        .collect();
    json!({ "step": 1, "model": "model-a", "minVersion": oldest_version, "targetGroups": 2,
            "items": items })
}

/// Polls until `poll` returns a value. Panics with `what` after [`HANG_TIMEOUT`].
pub(crate) async fn until<T, F: Future<Output = Option<T>>>(what: &str, poll: impl Fn() -> F) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = poll().await {
            return found;
        }
        assert!(started.elapsed() < HANG_TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns a loopback address that no node of any other test has. On a shared address, another
/// test's connections could take a port before the node binds it.
fn unique_address() -> std::net::Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let second = 16 + (process % 200) as u8;
    let third = (process / 200 % 64) as u8 * 4 + (number / 250) as u8 % 4;
    std::net::Ipv4Addr::new(127, second, third, 1 + (number % 250) as u8)
}

/// Returns the text of a node's settings file.
pub(crate) fn settings(name: &str, ip: std::net::Ipv4Addr, store: SocketAddr) -> String {
    format!(
        r#"node = "{name}"
role = "entry"
machineClass = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
portRange = [7380, 7395]
aFieldThatIsNotKnownHere = 1
[listen]
front = "{ip}:{FRONT_PORT}"
readyAddr = "{ip}:{READY_PORT}"
directory = "{ip}:{DIRECTORY_PORT}"
[limits]
cores = 1
cpuShare = 0.25
[bounds]
configMs = {CHANGE_BOUND_MS}
drainMs = {CHANGE_BOUND_MS}
graceS = 8
leaseMs = 3000
reportWindowS = 1
ttl_max_s = 5
usageLateS = 10
[platform]
address = "{store}"
valueBytes = 1048576
ttlMinMs = 1000
"#
    )
}

/// Options of a site.
#[derive(Clone, Copy, Debug, Default)]
struct SiteOptions {
    behind_proxies: bool,
    duties: bool,
}

/// Returns the settings that enable the duties towards the provider.
fn duty_settings(provider: SocketAddr) -> String {
    format!(
        r#"[cloud]
address = "{provider}"
duties = ["usage", "autoscale"]
dutyPerS = 50.0
"#
    )
}

impl Node {
    async fn start(store: &Store, provider: &Provider, name: &str, options: SiteOptions) -> Self {
        let (store_endpoint, store_server) = store.open_endpoint().await;
        let store_link = Proxy::start(store_server.address).await;
        let store_at =
            if options.behind_proxies { store_link.address } else { store_server.address };
        let ip = unique_address();
        let folder = Arc::new(tempfile::tempdir().expect("a folder for the settings"));
        let (_, provider_server) = provider.open_endpoint().await;
        let mut text = settings(name, ip, store_at);
        if options.duties {
            text.push_str(&duty_settings(provider_server.address));
        }
        std::fs::write(folder.path().join("settings.toml"), text)
            .expect("the settings are written");
        let log = Arc::new(Mutex::new(Vec::new()));
        let child = spawn(&folder, &log);
        let at = |port: u16| SocketAddr::from((ip, port));
        Self {
            callers: at(FRONT_PORT),
            child: Arc::new(Mutex::new(child)),
            directory: at(DIRECTORY_PORT),
            store_endpoint,
            _store_server: store_server,
            folder,
            log,
            _provider_server: provider_server,
            ready: at(READY_PORT),
            store_link,
        }
    }

    fn child(&self) -> std::sync::MutexGuard<'_, Process> {
        self.child.lock().expect("no test panics while it holds a process")
    }

    /// Returns the process's id.
    pub(crate) fn pid(&self) -> u32 {
        self.child().0.id()
    }

    /// Returns the most memory that the process has used, in kilobytes.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.trim().strip_suffix("kB"));
        number.and_then(|number| number.trim().parse().ok()).expect("a number of kilobytes")
    }

    /// Sends a signal by name, e.g. `KILL`, `STOP`, `CONT` or `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        signal(self.pid(), name);
    }

    /// Kills the process if it is running, and starts it again.
    pub(crate) fn restart(&self) {
        let mut child = self.child();
        kill_and_reap(&mut child);
        *child = spawn(&self.folder, &self.log);
    }

    /// Kills the process and starts it again after a delay.
    pub(crate) fn kill_and_restart(&self, after: Duration) {
        kill_and_reap(&mut self.child());
        let (child, folder, log) =
            (Arc::clone(&self.child), Arc::clone(&self.folder), Arc::clone(&self.log));
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            let mut child = child.lock().expect("no test panics while it holds a process");
            kill_and_reap(&mut child);
            *child = spawn(&folder, &log);
        });
    }

    /// Sends `TERM` to the process and starts it again when it has exited.
    pub(crate) fn stop_and_restart(&self) {
        self.signal("TERM");
        let (child, folder, log) =
            (Arc::clone(&self.child), Arc::clone(&self.folder), Arc::clone(&self.log));
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(50)).await;
                let mut child = child.lock().expect("no test panics while it holds a process");
                if child.0.try_wait().expect("the process status can be read").is_some() {
                    *child = spawn(&folder, &log);
                    return;
                }
            }
        });
    }

    /// Starts the process if it has exited, and resumes it if it is paused.
    pub(crate) fn revive(&self) {
        if self.exit_status().is_some() {
            self.restart();
        }
        self.signal("CONT");
    }

    /// Returns the exit status, or `None` while the process is running.
    pub(crate) fn exit_status(&self) -> Option<std::process::ExitStatus> {
        self.child().0.try_wait().expect("the process status can be read")
    }

    /// Returns the complete audit trail, for failure messages.
    pub(crate) fn audit_trail(&self) -> String {
        let log = self.log.lock().expect("no test panics while it holds the log");
        log.iter().map(Value::to_string).collect::<Vec<_>>().join("\n")
    }

    /// Returns a handle on the audit trail, which grows while the node runs.
    pub(crate) fn log(&self) -> Arc<Mutex<Vec<Value>>> {
        Arc::clone(&self.log)
    }

    /// Returns the lines of the audit trail with this event and this duty.
    pub(crate) fn duty_lines(&self, event: &str, duty: &str) -> Vec<Value> {
        self.lines(event).into_iter().filter(|line| line["duty"] == duty).collect()
    }

    /// Returns the lines of the audit trail with this event.
    pub(crate) fn lines(&self, event: &str) -> Vec<Value> {
        let log = self.log.lock().expect("no test panics while it holds the log");
        log.iter().filter(|line| line["event"] == event).cloned().collect()
    }
}

fn spawn(folder: &tempfile::TempDir, log: &Arc<Mutex<Vec<Value>>>) -> Process {
    let mut child = Command::new(env!("CARGO_BIN_EXE_catkinmast-front"))
        .env("CATKINMAST_BOOT", folder.path().join("settings.toml"))
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let errors = child.stderr.take().expect("standard error is piped");
    let panics = Arc::clone(log);
    std::thread::spawn(move || {
        for line in BufReader::new(errors).lines().map_while(Result::ok) {
            eprintln!("{line}");
            if line.contains("panicked at") {
                let line = json!({ "event": PANICKED, "why": line });
                panics.lock().expect("no test panics while it holds the log").push(line);
            }
        }
    });
    let output = child.stdout.take().expect("standard output is piped");
    let log = Arc::clone(log);
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let line = serde_json::from_str(&line).expect("each line is a JSON object");
            log.lock().expect("no test panics while it holds the log").push(line);
        }
    });
    Process(child)
}

impl Site {
    /// Starts a site and waits until each node lists all nodes in its directory.
    pub(crate) async fn start(nodes: usize, engines: usize, plain: usize) -> Self {
        Self::start_with(nodes, engines, plain, SiteOptions::default()).await
    }

    /// Like [`Self::start`], with a proxy between each node and the store.
    pub(crate) async fn start_behind_proxies(nodes: usize, engines: usize, plain: usize) -> Self {
        let options = SiteOptions { behind_proxies: true, ..SiteOptions::default() };
        Self::start_with(nodes, engines, plain, options).await
    }

    /// Starts a site of plain targets whose nodes perform the duties towards the provider.
    pub(crate) async fn start_with_duties(nodes: usize, plain: usize) -> Self {
        let options = SiteOptions { duties: true, ..SiteOptions::default() };
        Self::start_with(nodes, 0, plain, options).await
    }

    /// Like [`Self::start_with_duties`], with a proxy between each node and the store.
    pub(crate) async fn start_with_duties_behind_proxies(nodes: usize, plain: usize) -> Self {
        let options = SiteOptions { behind_proxies: true, duties: true };
        Self::start_with(nodes, 0, plain, options).await
    }

    async fn start_with(nodes: usize, engines: usize, plain: usize, options: SiteOptions) -> Self {
        let store = Store::open();
        let runs = Runs::default();
        let client = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .timeout(HANG_TIMEOUT)
            .build()
            .expect("a client");
        let mut site = Self {
            client,
            engines: Vec::new(),
            nodes: Vec::new(),
            plain: Vec::new(),
            provider: Provider::default(),
            runs,
            store,
        };
        site.store.put("op/config", &document(3));
        for number in 0..engines {
            site.add_engine(&format!("engine-{number}")).await;
        }
        for number in 0..plain {
            let id = format!("plain-{number}");
            let worker = Worker::start(&site.store, &site.runs, "plain", &id).await;
            site.plain.push(worker);
        }
        for number in 0..nodes {
            let name = format!("node-{number}");
            site.nodes.push(Node::start(&site.store, &site.provider, &name, options).await);
        }
        site.wait_until_all_listed(nodes).await;
        site
    }

    /// Starts one more engine.
    pub(crate) async fn add_engine(&mut self, id: &str) {
        let worker = Worker::start(&self.store, &self.runs, "llm", id).await;
        self.engines.push(worker);
    }

    /// Waits until the directory of each node lists `count` nodes, or as many as it lists at most.
    pub(crate) async fn wait_until_all_listed(&self, count: usize) {
        let count = count.min(DIRECTORY_MAX);
        for node in &self.nodes {
            until("all nodes in the directory", || async {
                (self.directory(node).await.len() == count).then_some(())
            })
            .await;
        }
    }

    /// Returns the addresses in a node's directory, or none if it does not respond with addresses.
    pub(crate) async fn directory(&self, node: &Node) -> Vec<String> {
        let url = format!("http://{}/-/resolve?name={HOST}&region=r&zone=zone-a", node.directory);
        let Ok(response) = self.client.get(url).send().await else { return Vec::new() };
        let Ok(answer) = response.json::<Value>().await else { return Vec::new() };
        let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }

    /// Returns whether a node reports that it is ready.
    pub(crate) async fn is_ready(&self, node: &Node) -> bool {
        let url = format!("http://{}/-/ready", node.ready);
        self.client.get(url).send().await.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a request through a node, with a default body.
    pub(crate) async fn call(
        &self,
        node: &Node,
        path: &str,
        id: &str,
    ) -> reqwest::Result<reqwest::Response> {
        self.call_with(node, path, id, "question").await
    }

    /// Sends a request with a body through a node.
    pub(crate) async fn call_with(
        &self,
        node: &Node,
        path: &str,
        id: &str,
        body: &str,
    ) -> reqwest::Result<reqwest::Response> {
        self.call_within(node, path, id, body, 3_000).await
    }

    /// Sends a request with a body through a node, and gives it a time in which it is answered.
    pub(crate) async fn call_within(
        &self,
        node: &Node,
        path: &str,
        id: &str,
        body: &str,
        deadline_ms: u64,
    ) -> reqwest::Result<reqwest::Response> {
        self.client
            .post(format!("http://{}{path}", node.callers))
            .header("Host", HOST)
            .header("X-Catkinmast-Request-Id", id)
            .header("X-Catkinmast-Deadline-Ms", deadline_ms)
            .body(body.to_owned())
            .send()
            .await
    }

    /// Submits a batch to a node. Returns the status, or 0 if the node does not respond.
    pub(crate) async fn submit(&self, node: &Node, id: &str, batch: &Value) -> u16 {
        let answer = self.send_submission(node, id, batch).await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    /// Submits a batch to a node.
    pub(crate) async fn send_submission(
        &self,
        node: &Node,
        id: &str,
        batch: &Value,
    ) -> reqwest::Result<reqwest::Response> {
        self.client
            .post(format!("http://{}/rollout/{id}", node.callers))
            .header("Host", HOST)
            .header("X-Catkinmast-Request-Id", id)
            .body(batch.to_string())
            .send()
            .await
    }

    /// Reads a batch's results after a position, or `None` if the node does not respond with them.
    pub(crate) async fn read(&self, node: &Node, id: &str, after: usize) -> Option<Vec<Value>> {
        self.read_within(node, id, after, 200).await
    }

    /// Like [`Self::read`], with a time limit for the node to wait for a result.
    pub(crate) async fn read_within(
        &self,
        node: &Node,
        id: &str,
        after: usize,
        wait_ms: u64,
    ) -> Option<Vec<Value>> {
        let url = format!("http://{}/-/lots/{id}?after={after}", node.callers);
        let request = self.client.get(url).header("X-Catkinmast-Wait-Ms", wait_ms);
        let answer = request.send().await.ok()?;
        if answer.status() != 200 {
            return None;
        }
        let page: Value = answer.json().await.ok()?;
        page["results"].as_array().cloned()
    }

    /// Reads a batch through a node until all `count` results are available.
    pub(crate) async fn read_all(&self, node: &Node, id: &str, count: usize) -> Vec<Value> {
        until("all results", || async {
            let mut results = Vec::new();
            while let Some(page) = self.read(node, id, results.len()).await {
                if page.is_empty() {
                    break;
                }
                results.extend(page);
            }
            (results.len() == count).then_some(results)
        })
        .await
    }

    /// Ends a batch through a node. Returns the status, or 0 if the node does not respond.
    pub(crate) async fn end(&self, node: &Node, id: &str) -> u16 {
        let request = self.client.delete(format!("http://{}/-/lots/{id}", node.callers));
        request.send().await.map_or(0, |answer| answer.status().as_u16())
    }

    /// Waits until a node has logged that it owns a batch. Returns the lowest index of the nodes
    /// that have logged it, which need not be the owner after a takeover.
    pub(crate) async fn owner_of(&self, id: &str) -> usize {
        let owns = |node: &Node| node.lines("batch_owned").iter().any(|line| line["request"] == id);
        until("an owner", || async { self.nodes.iter().position(owns) }).await
    }
}

/// Returns the generated output of a complete item of `events` events.
pub(crate) fn complete_output(item: &str, events: u64) -> String {
    let lines: Vec<String> = (1..=events).map(|number| format!("{item}-{number}")).collect();
    lines.join("\n")
}
