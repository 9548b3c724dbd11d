//! Starts and stops the parts of a deployment: entry nodes, and stand-ins for all other systems.

use catkinmast_config::{Document, Workers};
use catkinmast_model::{Incarnation, Instance, InstanceKind, InstanceState, Name};
use catkinmast_node::{Arguments, Node, Settings};
use catkinmast_standin::{
    Engine, EngineSettings, PlainService, Platform, PlatformSettings, ServiceSettings,
};
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// The secret that the nodes of a local run share.
const SHARED_KEY: &str = "only for a run on loopback";
/// Lag of the platform's list of instances.
const LIST_LAG_MS: u64 = 500;
/// Duration of one fetch from the weight store, which serves two at a time.
const WEIGHTS_FETCH_MS: u64 = 60;
/// Time within which all nodes must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A node with its own runtime, so that it can be stopped abruptly like a crashed process.
#[derive(Debug)]
struct NodeProcess {
    node: Node,
    runtime: Runtime,
}

/// The running nodes and stand-ins.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub client: reqwest::Client,
    pub engines: IndexMap<Name, Engine>,
    nodes: Mutex<IndexMap<String, NodeProcess>>,
    addresses: Mutex<Vec<SocketAddr>>,
    pub platform: Platform,
    pub services: IndexMap<Name, PlainService>,
    instances: Mutex<IndexMap<Name, Instance>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Fleet {
    /// Starts `nodes` entry nodes and the document's workers.
    ///
    /// Each plain service answers a call after `answer_after_ms`.
    pub(crate) async fn start(
        document: &Document,
        nodes: u32,
        answer_after_ms: u64,
    ) -> Result<Self, String> {
        let settings = PlatformSettings {
            address: loopback(),
            list_lag_ms: LIST_LAG_MS,
            weights_fetch_ms: WEIGHTS_FETCH_MS,
        };
        let platform = Platform::spawn(settings).await.map_err(|error| error.to_string())?;
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(Duration::from_secs(15))
            .build()
            .map_err(|error| error.to_string())?;
        let mut fleet = Self {
            client,
            engines: IndexMap::new(),
            nodes: Mutex::default(),
            addresses: Mutex::default(),
            platform,
            services: IndexMap::new(),
            instances: Mutex::default(),
        };
        for workers in &document.workers {
            fleet.start_workers(workers, answer_after_ms).await?;
        }
        fleet.start_nodes(document, nodes).await?;
        Ok(fleet)
    }

    async fn start_workers(
        &mut self,
        workers: &Workers,
        answer_after_ms: u64,
    ) -> Result<(), String> {
        for data_centre in &workers.data_centres {
            for number in 1..=workers.per_data_centre {
                let name = format!("{}-{data_centre}-{number}", workers.name);
                let name: Name = name.parse().map_err(|error| format!("{error}"))?;
                let address = match workers.kind {
                    InstanceKind::Engine => self.start_engine(&name, workers).await?,
                    InstanceKind::Service | InstanceKind::Entry => {
                        let settings = ServiceSettings { address: loopback(), answer_after_ms };
                        let service = PlainService::spawn(settings).await;
                        let service = service.map_err(|error| error.to_string())?;
                        let address = service.address();
                        self.services.insert(name.clone(), service);
                        address
                    }
                };
                let instance = Instance {
                    address,
                    data_centre: data_centre.clone(),
                    incarnation: Incarnation(1),
                    kind: workers.kind,
                    labels: workers.labels.clone(),
                    name: name.clone(),
                    state: InstanceState::Live,
                };
                self.platform.set_instance(instance.clone());
                lock(&self.instances).insert(name, instance);
            }
        }
        Ok(())
    }

    async fn start_engine(&mut self, name: &Name, workers: &Workers) -> Result<SocketAddr, String> {
        let settings = EngineSettings {
            checks_fence: workers.checks_fence,
            weight_store: Some(self.platform.address()),
            ..EngineSettings::default()
        };
        let engine = Engine::spawn(settings).await.map_err(|error| error.to_string())?;
        let address = engine.address();
        self.engines.insert(name.clone(), engine);
        Ok(address)
    }

    async fn start_nodes(&self, document: &Document, count: u32) -> Result<(), String> {
        let data_centres = &document.data_centres;
        let mut peers: Vec<String> = Vec::new();
        for number in 0..count {
            let data_centre = &data_centres[number as usize % data_centres.len()].name;
            let arguments = Arguments {
                name: Some(format!("entry-{number}")),
                data_centre: Some(data_centre.to_string()),
                http: Some(loopback().to_string()),
                control: Some(loopback().to_string()),
                peers: Some(peers.join(",")),
                platform: Some(self.platform.address().to_string()),
                shared_key: Some(SHARED_KEY.to_owned()),
                open_access: true,
                ..Arguments::default()
            };
            let settings =
                Settings::check(&arguments, |_| None).map_err(|faults| faults.to_string())?;
            let runtime = Runtime::new().map_err(|error| error.to_string())?;
            let node = runtime
                .spawn(Node::spawn(settings))
                .await
                .map_err(|error| error.to_string())?
                .map_err(|error| error.to_string())?;
            if peers.len() < 3 {
                peers.push(node.control_address().to_string());
            }
            lock(&self.addresses).push(node.http_address());
            lock(&self.nodes).insert(format!("entry-{number}"), NodeProcess { node, runtime });
        }
        Ok(())
    }

    /// Returns the address of a random running node, or an unusable one if there is none.
    pub(crate) fn any_address(&self, rng: &mut impl rand::Rng) -> SocketAddr {
        let addresses = lock(&self.addresses);
        addresses.choose(rng).copied().unwrap_or_else(loopback)
    }

    /// Applies a configuration through the first node.
    pub(crate) async fn apply(&self, text: &str) -> Result<(), String> {
        let address = lock(&self.addresses)[0];
        let url = format!("http://{address}/v1/config");
        let current: Value = self.get(&url).await?;
        let body = json!({
            "base_revision": current["revision"],
            "operation_id": format!("local-{}", current["revision"]),
            "text": text,
        });
        let sent = self.client.put(&url).json(&body).send().await;
        let answer: Value =
            sent.map_err(|e| e.to_string())?.json().await.map_err(|e| e.to_string())?;
        match answer["result"].as_str() {
            Some("accepted") => Ok(()),
            _ => Err(format!("the configuration was not accepted: {answer}")),
        }
    }

    async fn get(&self, url: &str) -> Result<Value, String> {
        let sent = self.client.get(url).send().await.map_err(|error| error.to_string())?;
        sent.json().await.map_err(|error| error.to_string())
    }

    /// Waits until every node is ready and knows all targets and nodes.
    pub(crate) async fn wait_until_ready(&self) -> Result<(), String> {
        let started_at = Instant::now();
        let addresses = lock(&self.addresses).clone();
        let targets = lock(&self.instances).len();
        for address in addresses {
            loop {
                let status = self.get(&format!("http://{address}/v1/status")).await?;
                let count = |list: &str| status[list].as_array().map_or(0, Vec::len);
                let nodes = lock(&self.nodes).len();
                if status["ready"] == true && count("targets") == targets && count("nodes") == nodes
                {
                    break;
                }
                if started_at.elapsed() > READY_TIMEOUT {
                    return Err(format!("node {address} did not become ready: {status}"));
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Drains and stops a node; returns how many requests it interrupted.
    pub(crate) async fn drain_node(&self, name: &str) -> Option<usize> {
        let process = lock(&self.nodes).shift_remove(name)?;
        let address = process.node.http_address();
        let report = process.runtime.spawn(process.node.drain()).await.ok()?;
        lock(&self.addresses).retain(|known| *known != address);
        process.runtime.shutdown_background();
        Some(report.cut)
    }

    /// Stops a node abruptly, as a crash would, and returns its address.
    pub(crate) fn crash_node(&self, name: &str) -> Option<SocketAddr> {
        let process = lock(&self.nodes).shift_remove(name)?;
        let address = process.node.http_address();
        process.runtime.shutdown_background();
        process.node.crash();
        lock(&self.addresses).retain(|known| *known != address);
        Some(address)
    }

    /// Changes the state of an instance in the platform's list.
    pub(crate) fn set_instance_state(&self, name: &Name, state: InstanceState) {
        let instance = lock(&self.instances).get(name).cloned();
        if let Some(instance) = instance {
            self.platform.set_instance(Instance { state, ..instance });
        }
    }

    /// Returns the owner of a trainer's steps according to the node that started last.
    pub(crate) async fn owner_of(&self, trainer: &str) -> Option<String> {
        let address = lock(&self.addresses).last().copied()?;
        let status = self.get(&format!("http://{address}/v1/status")).await.ok()?;
        let owners = status["owners"].as_array()?;
        let owner = owners.iter().find(|owner| owner["trainer"] == trainer)?;
        owner["node"].as_str().map(str::to_owned)
    }

    pub(crate) fn node_names(&self) -> Vec<String> {
        lock(&self.nodes).keys().cloned().collect()
    }

    /// Stops all nodes without draining them.
    pub(crate) fn stop(&self) {
        for (_, process) in lock(&self.nodes).drain(..) {
            process.runtime.shutdown_background();
            process.node.crash();
        }
    }
}
