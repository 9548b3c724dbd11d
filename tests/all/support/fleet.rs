//! Runs the shipped binaries as separate processes, with stand-ins for the platform and targets.
//!
//! Waits poll until a condition holds. Their time limit only detects hangs: it is long enough that
//! no test fails merely because the machine is slow.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a condition may take before a test is considered hung.
const HANG_TIMEOUT: Duration = Duration::from_mins(1);
/// Token with the role of a caller.
pub(crate) const CALLER: &str = "caller-secret";
/// Token with the role of an operator.
pub(crate) const OPERATOR: &str = "operator-secret";
/// Token of the trainer `citation-trainer`.
pub(crate) const TRAINER: &str = "trainer-secret";

/// A child process that is killed on drop.
pub(crate) struct Process {
    child: Child,
    /// The first line that the process printed.
    pub(crate) first_line: String,
}

impl Process {
    fn start(binary: &str, arguments: &[String]) -> Self {
        let mut child = Command::new(binary)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the binary starts");
        let mut first_line = String::new();
        let output = child.stdout.take().expect("standard output is piped");
        BufReader::new(output).read_line(&mut first_line).expect("the process prints a line");
        Self { child, first_line: first_line.trim().to_owned() }
    }

    /// Sends a signal by name: `KILL`, `STOP`, `CONT` or `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(status.expect("kill runs").success(), "signal {name} to {pid}");
    }

    /// Returns whether the process is still running.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the process can be asked").is_none()
    }

    /// Waits for the process to end and returns its exit code.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let started_at = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status.code();
            }
            assert!(started_at.elapsed() < HANG_TIMEOUT, "the process did not exit");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _already_dead = self.child.kill();
        let _already_reaped = self.child.wait();
    }
}

/// Starts a stand-in and returns its process and address.
pub(crate) fn start_standin(arguments: &[&str]) -> (Process, SocketAddr) {
    let arguments: Vec<String> = arguments.iter().map(|argument| (*argument).to_owned()).collect();
    let process = Process::start(env!("CARGO_BIN_EXE_catkinmast-standin"), &arguments);
    let address = process.first_line.parse().expect("the first line is the address");
    (process, address)
}

/// The process and addresses of a node.
pub(crate) struct NodeProcess {
    pub(crate) control: SocketAddr,
    pub(crate) http: SocketAddr,
    pub(crate) name: String,
    pub(crate) process: Process,
}

/// Number of processes of each kind in a fleet.
pub(crate) struct FleetSize {
    pub(crate) engines: u32,
    pub(crate) nodes: u32,
    pub(crate) services: u32,
}

/// Nodes and stand-ins, each a separate process.
pub(crate) struct Fleet {
    pub(crate) client: reqwest::Client,
    pub(crate) engines: Vec<(Process, SocketAddr)>,
    pub(crate) nodes: Vec<NodeProcess>,
    pub(crate) platform: SocketAddr,
    pub(crate) services: Vec<(Process, SocketAddr)>,
    _platform_process: Process,
}

/// Returns the initial configuration document of a fleet.
pub(crate) fn document() -> String {
    include_str!("fleet.toml").to_owned()
}

impl Fleet {
    /// Starts a fleet, applies the initial configuration, and waits until every node is ready.
    pub(crate) async fn start(size: &FleetSize) -> Self {
        Self::start_with(size, &["--tick-ms", "5"], &[]).await
    }

    /// Starts a fleet with additional arguments for its engines and services.
    pub(crate) async fn start_with(size: &FleetSize, engine: &[&str], service: &[&str]) -> Self {
        let (platform_process, platform) = start_standin(&["platform", "--list-lag-ms", "100"]);
        let mut fleet = Self {
            client: reqwest::Client::builder()
                .no_proxy()
                .pool_max_idle_per_host(0)
                .build()
                .expect("a client"),
            engines: Vec::new(),
            nodes: Vec::new(),
            platform,
            services: Vec::new(),
            _platform_process: platform_process,
        };
        for number in 0..size.engines {
            let started = start_standin(&[&["engine"], engine].concat());
            fleet.set_instance(&format!("engine-{number}"), "engine", started.1, "live").await;
            fleet.engines.push(started);
        }
        for number in 0..size.services {
            let started = start_standin(&[&["service"], service].concat());
            fleet.set_instance(&format!("service-{number}"), "service", started.1, "live").await;
            fleet.services.push(started);
        }
        for number in 0..size.nodes {
            fleet.start_node(number);
        }
        fleet.apply_initial_document().await;
        fleet.wait_ready(&size.targets()).await;
        fleet
    }

    /// Applies the initial configuration through the first node.
    async fn apply_initial_document(&self) {
        let body = json!({ "base_revision": 0, "operation_id": "first", "text": document() });
        self.poll_until("the first configuration is accepted", async || {
            let (status, answer) = self.send_as_operator("PUT", 0, "/v1/config", Some(&body)).await;
            (status == 200).then_some(answer)
        })
        .await;
    }

    /// Waits until every node is ready and lists all targets and nodes.
    async fn wait_ready(&self, targets: &usize) {
        for node in 0..self.nodes.len() {
            self.poll_until("the node is ready", async || {
                let status = self.status(node).await;
                let count = |list: &str| status[list].as_array().map_or(0, Vec::len);
                let complete = count("targets") == *targets && count("nodes") == self.nodes.len();
                (status["ready"] == true && complete).then_some(())
            })
            .await;
        }
    }

    /// Starts a node at free ports.
    pub(crate) fn start_node(&mut self, number: u32) {
        let loopback = "127.0.0.1:0";
        self.start_node_at(number, loopback, loopback);
    }

    /// Kills a node and starts a new process with the same name and addresses.
    pub(crate) fn replace_node(&mut self, node: usize) {
        let mut killed = self.nodes.remove(node);
        killed.process.signal("KILL");
        killed.process.exit_code();
        let (http, control) = (killed.http.to_string(), killed.control.to_string());
        self.start_node_at(node as u32, &http, &control);
        let started = self.nodes.pop().expect("the node just started");
        self.nodes.insert(node, started);
    }

    fn start_node_at(&mut self, number: u32, http: &str, control: &str) {
        let data_centre = ["salle-a", "salle-b", "salle-c"][number as usize % 3];
        let peers: Vec<String> = self.nodes.iter().map(|node| node.control.to_string()).collect();
        let name = format!("entry-{number}");
        let tokens = format!(
            "caller:app={CALLER},operator:alice={OPERATOR},trainer:citation-trainer={TRAINER}"
        );
        let platform = self.platform.to_string();
        let options = [
            ("--name", name.as_str()),
            ("--data-centre", data_centre),
            ("--http", http),
            ("--control", control),
            ("--peers", &peers.join(",")),
            ("--platform", &platform),
            ("--shared-key", "a shared key of the tests"),
            ("--tokens", &tokens),
        ];
        let arguments: Vec<String> = options
            .iter()
            .flat_map(|(flag, value)| [(*flag).to_owned(), (*value).to_owned()])
            .collect();
        let process = Process::start(env!("CARGO_BIN_EXE_catkinmast-node"), &arguments);
        let addresses: Value =
            serde_json::from_str(&process.first_line).expect("a line of addresses");
        let address = |field: &str| addresses[field].as_str().and_then(|text| text.parse().ok());
        let control = address("control").expect("the control address");
        let http = address("http").expect("the HTTP address");
        self.nodes.push(NodeProcess { control, http, name, process });
    }

    /// Adds or updates an instance in the platform's list.
    pub(crate) async fn set_instance(
        &self,
        name: &str,
        kind: &str,
        address: SocketAddr,
        state: &str,
    ) {
        let app = if kind == "engine" { "citation" } else { "registre" };
        let instance = json!({
            "address": address,
            "data_centre": "salle-a",
            "incarnation": 1,
            "kind": kind,
            "labels": { "app": app },
            "name": name,
            "state": state,
        });
        let url = format!("http://{}/instances", self.platform);
        let sent = self.client.post(url).json(&instance).send().await;
        assert!(sent.expect("the platform answers").status().is_success());
    }

    /// Sets the faults that the platform stand-in simulates; faults not given are switched off.
    pub(crate) async fn set_platform_faults(&self, faults: &Value) {
        let url = format!("http://{}/faults", self.platform);
        let sent = self.client.post(url).json(faults).send().await;
        assert!(sent.expect("the platform answers").status().is_success());
    }

    /// Polls until `probe` returns a value, and returns it; fails the test after a time limit.
    pub(crate) async fn poll_until<T>(&self, what: &str, probe: impl AsyncFn() -> Option<T>) -> T {
        let started_at = Instant::now();
        loop {
            if let Some(found) = probe().await {
                return found;
            }
            assert!(started_at.elapsed() < HANG_TIMEOUT, "timed out waiting until {what}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a request and returns the status and body of the answer, status 0 if there is none.
    pub(crate) async fn send(
        &self,
        method: &str,
        token: &str,
        url: &str,
        body: Option<&Value>,
    ) -> (u16, String) {
        let method = method.parse().expect("a method");
        let mut request = self.client.request(method, url).bearer_auth(token);
        if let Some(body) = body {
            request = request.json(body);
        }
        let Ok(response) = request.send().await else { return (0, String::new()) };
        let status = response.status().as_u16();
        (status, response.text().await.unwrap_or_default())
    }

    /// Sends a request to a node with the operator's token.
    pub(crate) async fn send_as_operator(
        &self,
        method: &str,
        node: usize,
        path: &str,
        body: Option<&Value>,
    ) -> (u16, Value) {
        let url = format!("http://{}{path}", self.nodes[node].http);
        let (status, text) = self.send(method, OPERATOR, &url, body).await;
        (status, serde_json::from_str(&text).unwrap_or(Value::Null))
    }

    /// Returns a node's status.
    pub(crate) async fn status(&self, node: usize) -> Value {
        self.send_as_operator("GET", node, "/v1/status", None).await.1
    }

    /// Waits until a node owns the trainer, as the node `asked` sees it, and returns its index.
    pub(crate) async fn owner_index(&self, asked: usize) -> usize {
        self.poll_until("some node owns the trainer", async || {
            let status = self.status(asked).await;
            let owner = status["owners"][0]["node"].as_str()?.to_owned();
            self.nodes.iter().position(|node| node.name == owner)
        })
        .await
    }

    /// Returns how often the services have run a call with this path and body.
    pub(crate) async fn count_runs(&self, path: &str, body: &str) -> usize {
        let mut count = 0;
        for (_, address) in &self.services {
            let url = format!("http://{address}/standin/runs");
            let Ok(response) = self.client.get(url).send().await else { continue };
            let runs: Vec<Value> = response.json().await.expect("a list of runs");
            count += runs.iter().filter(|run| run["path"] == path && run["body"] == body).count();
        }
        count
    }

    /// Returns the ticket prefix of a node.
    pub(crate) async fn ticket_prefix(&self, node: usize) -> String {
        let url = format!("http://{}/v1/addresses", self.nodes[node].http);
        let (status, text) = self.send("GET", CALLER, &url, None).await;
        assert_eq!(status, 200, "{text}");
        let answer: Value = serde_json::from_str(&text).expect("an answer");
        let entries = answer["addresses"].as_array().expect("addresses").clone();
        let name = &self.nodes[node].name;
        let entry = entries.iter().find(|entry| entry["node"] == name.as_str());
        entry.expect("the node itself")["ticket_prefix"].as_str().expect("a prefix").to_owned()
    }

    /// Calls a service, with a ticket if given, and returns the status and body of the answer.
    pub(crate) async fn call(
        &self,
        node: usize,
        path: &str,
        body: &str,
        ticket: Option<&str>,
    ) -> (u16, String) {
        let url = format!("http://{}/v1/call/badges{path}", self.nodes[node].http);
        let mut request = self.client.post(url).bearer_auth(CALLER).body(body.to_owned());
        if let Some(ticket) = ticket {
            request = request.header("Catkinmast-Ticket", ticket);
        }
        let Ok(response) = request.send().await else { return (0, String::new()) };
        let status = response.status().as_u16();
        (status, response.text().await.unwrap_or_default())
    }
}

impl FleetSize {
    fn targets(&self) -> usize {
        (self.engines + self.services) as usize
    }
}

/// Returns the verdict in an error body, empty if there is none.
pub(crate) fn verdict(body: &str) -> String {
    let problem: Value = serde_json::from_str(body).unwrap_or_default();
    problem["verdict"].as_str().unwrap_or_default().to_owned()
}
