//! The platform's stand-in: key-value service, instance list, and the switches for its faults.

#![expect(clippy::redundant_type_annotations, reason = "written by the framework's route macros")]

use crate::web::{StandinError, WebServer};
use catkinmast_model::{Instance, InstanceState, Name, UnixMs};
use catkinmast_platform::{Entry, Expect, KvReply, KvRequest, Lease};
use indexmap::IndexMap;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, get, post, routes};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};

/// How many fetches of weights the store serves at once; the others wait for their turn.
const WEIGHT_FETCHES_AT_ONCE: usize = 2;
/// The largest value that the service holds (brief, "Where it will run").
const VALUE_MAX_BYTES: usize = 1 << 20;

/// How the stand-in of the platform starts.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// How far the instance list lags behind.
    pub list_lag_ms: u64,
    /// How long one fetch of weights takes; a few are served at once.
    pub weights_fetch_ms: u64,
}

/// The faults that can be switched on while it runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// How many of the next writes take effect but lose their reply.
    pub lose_write_replies: u32,
    /// Whether every call is refused.
    pub outage: bool,
    /// How much later every call is answered.
    pub slow_ms: u64,
}

#[derive(Debug, Default)]
struct Store {
    calls: IndexMap<&'static str, u64>,
    deleted: BTreeMap<String, u64>,
    entries: BTreeMap<String, (Entry, Option<Lease>)>,
    faults: PlatformFaults,
    instances: IndexMap<Name, Instance>,
    instances_log: VecDeque<(UnixMs, Instance)>,
    leases: IndexMap<Lease, LeaseTerm>,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct LeaseTerm {
    expires_at: UnixMs,
    ttl_ms: u64,
}

#[derive(Debug)]
struct Shared {
    changed: Notify,
    list_lag_ms: u64,
    store: Mutex<Store>,
    weight_fetches: Semaphore,
    weights_fetch_ms: u64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// A running stand-in of the platform.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    web: WebServer,
}

impl Platform {
    /// Starts the stand-in.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn spawn(settings: PlatformSettings) -> Result<Self, StandinError> {
        let shared = Arc::new(Shared {
            changed: Notify::new(),
            list_lag_ms: settings.list_lag_ms,
            store: Mutex::default(),
            weight_fetches: Semaphore::new(WEIGHT_FETCHES_AT_ONCE),
            weights_fetch_ms: settings.weights_fetch_ms,
        });
        let state = Arc::clone(&shared);
        let web = WebServer::bind(settings.address, move |rocket| {
            rocket
                .manage(state)
                .mount("/", routes![kv, instances, put_instance, faults, calls, weights])
        })
        .await?;
        Ok(Self { shared, web })
    }

    /// Returns where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.web.address()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
    }

    /// Adds or changes an instance; readers of the list see it after the lag.
    pub fn list_instance(&self, instance: Instance) {
        self.shared.lock().instances_log.push_back((UnixMs::from_wall_clock(), instance));
    }

    /// Returns how often each kind of call was made.
    pub fn call_counts(&self) -> IndexMap<&'static str, u64> {
        self.shared.lock().calls.clone()
    }
}

impl Store {
    fn expire(&mut self, now: UnixMs) -> bool {
        let lapsed: Vec<Lease> = self
            .leases
            .iter()
            .filter(|(_, term)| term.expires_at <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &lapsed {
            self.end_lease(*lease);
        }
        !lapsed.is_empty()
    }

    fn end_lease(&mut self, lease: Lease) {
        self.leases.shift_remove(&lease);
        let hanging = self.entries.iter().filter(|(_, (_, on))| *on == Some(lease));
        let keys: Vec<String> = hanging.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.version += 1;
            self.entries.remove(&key);
            self.deleted.insert(key, self.version);
        }
    }

    fn put(&mut self, key: String, value: String, expect: Expect, on: Option<Lease>) -> KvReply {
        let current = self.entries.get(&key).map(|(entry, _)| entry.version);
        let holds = match expect {
            Expect::Absent => current.is_none(),
            Expect::Any => true,
            Expect::Version(version) => current == Some(version),
        };
        let lease_lives = on.is_none_or(|lease| self.leases.contains_key(&lease));
        if !holds || !lease_lives || value.len() > VALUE_MAX_BYTES {
            return KvReply::Conflict { current };
        }
        self.version += 1;
        let version = self.version;
        self.deleted.remove(&key);
        self.entries.insert(key.clone(), (Entry { key, value, version }, on));
        KvReply::Written { version }
    }

    fn changed_after(&self, prefix: &str, after_version: u64) -> Vec<Entry> {
        let written = self.entries.values().map(|(entry, _)| entry.clone());
        let deleted = self.deleted.iter().map(|(key, version)| Entry {
            key: key.clone(),
            value: String::new(),
            version: *version,
        });
        written
            .chain(deleted)
            .filter(|entry| entry.key.starts_with(prefix) && entry.version > after_version)
            .collect()
    }

    fn apply(&mut self, request: KvRequest, now: UnixMs) -> KvReply {
        match request {
            KvRequest::Get { key } => {
                let found = self.entries.get(&key).map(|(entry, _)| entry.clone());
                KvReply::Entries { entries: found.into_iter().collect() }
            }
            KvRequest::Grant { ttl_ms } => {
                self.version += 1;
                let lease = Lease(self.version);
                self.leases.insert(lease, LeaseTerm { expires_at: now.plus(ttl_ms), ttl_ms });
                KvReply::Granted { lease }
            }
            KvRequest::List { prefix } => {
                let under = self.entries.values().filter(|(e, _)| e.key.starts_with(&prefix));
                KvReply::Entries { entries: under.map(|(entry, _)| entry.clone()).collect() }
            }
            KvRequest::Put { expect, key, lease, value } => self.put(key, value, expect, lease),
            KvRequest::Renew { lease } => match self.leases.get_mut(&lease) {
                Some(term) => {
                    term.expires_at = now.plus(term.ttl_ms);
                    KvReply::Done
                }
                None => KvReply::Conflict { current: None },
            },
            KvRequest::Revoke { lease } => {
                self.end_lease(lease);
                KvReply::Done
            }
            KvRequest::Watch { after_version, prefix, .. } => {
                KvReply::Entries { entries: self.changed_after(&prefix, after_version) }
            }
        }
    }
}

const fn call_name(request: &KvRequest) -> &'static str {
    match request {
        KvRequest::Get { .. } => "get",
        KvRequest::Grant { .. } => "grant",
        KvRequest::List { .. } => "list",
        KvRequest::Put { .. } => "put",
        KvRequest::Renew { .. } => "renew",
        KvRequest::Revoke { .. } => "revoke",
        KvRequest::Watch { .. } => "watch",
    }
}

#[post("/kv", data = "<request>")]
async fn kv(
    request: Json<KvRequest>,
    shared: &State<Arc<Shared>>,
) -> Result<Json<KvReply>, Status> {
    let request = request.into_inner();
    let faults = {
        let mut store = shared.lock();
        *store.calls.entry(call_name(&request)).or_default() += 1;
        store.faults
    };
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.outage {
        return Err(Status::ServiceUnavailable);
    }
    if let KvRequest::Watch { after_version, prefix, wait_ms } = request {
        return Ok(Json(watch(shared, &prefix, after_version, wait_ms).await));
    }
    let is_write = matches!(request, KvRequest::Put { .. } | KvRequest::Renew { .. });
    let (reply, lost) = {
        let mut store = shared.lock();
        let now = UnixMs::from_wall_clock();
        store.expire(now);
        let reply = store.apply(request, now);
        let lost = is_write && store.faults.lose_write_replies > 0;
        store.faults.lose_write_replies -= u32::from(lost);
        (reply, lost)
    };
    shared.changed.notify_waiters();
    if lost {
        // The write stands, its reply does not come: the caller's deadline passes first.
        tokio::time::sleep(Duration::from_secs(30)).await;
    }
    Ok(Json(reply))
}

async fn watch(shared: &Shared, prefix: &str, after_version: u64, wait_ms: u64) -> KvReply {
    let ends_at = UnixMs::from_wall_clock().plus(wait_ms);
    loop {
        let changed = shared.changed.notified();
        let now = UnixMs::from_wall_clock();
        let entries = {
            let mut store = shared.lock();
            store.expire(now);
            store.changed_after(prefix, after_version)
        };
        if !entries.is_empty() || now >= ends_at || shared.lock().faults.outage {
            return KvReply::Entries { entries };
        }
        // Leases lapse without a call, so the wait looks again now and then.
        let pause = Duration::from_millis(ends_at.since_ms(now).min(200));
        drop(tokio::time::timeout(pause, changed).await);
    }
}

#[get("/instances")]
fn instances(shared: &State<Arc<Shared>>) -> Result<Json<Vec<Instance>>, Status> {
    let mut store = shared.lock();
    *store.calls.entry("instances").or_default() += 1;
    if store.faults.outage {
        return Err(Status::ServiceUnavailable);
    }
    let visible_until = UnixMs(UnixMs::from_wall_clock().0.saturating_sub(shared.list_lag_ms));
    while store.instances_log.front().is_some_and(|(at, _)| *at <= visible_until) {
        if let Some((_, instance)) = store.instances_log.pop_front() {
            if instance.state == InstanceState::Gone {
                store.instances.shift_remove(&instance.name);
            } else {
                store.instances.insert(instance.name.clone(), instance);
            }
        }
    }
    Ok(Json(store.instances.values().cloned().collect()))
}

#[post("/instances", data = "<instance>")]
fn put_instance(instance: Json<Instance>, shared: &State<Arc<Shared>>) {
    shared.lock().instances_log.push_back((UnixMs::from_wall_clock(), instance.into_inner()));
}

#[post("/faults", data = "<wanted>")]
fn faults(wanted: Json<PlatformFaults>, shared: &State<Arc<Shared>>) {
    shared.lock().faults = wanted.into_inner();
}

/// The weight store: its rate is limited by how many fetch at once.
#[get("/weights/<_model>/<_version>")]
async fn weights(
    _model: &str,
    _version: u64,
    shared: &State<Arc<Shared>>,
) -> Result<&'static str, Status> {
    if shared.lock().faults.outage {
        return Err(Status::ServiceUnavailable);
    }
    let turn = shared.weight_fetches.acquire().await;
    let _held = turn.map_err(|_closed| Status::ServiceUnavailable)?;
    tokio::time::sleep(Duration::from_millis(shared.weights_fetch_ms)).await;
    Ok("weights")
}

#[get("/calls")]
fn calls(shared: &State<Arc<Shared>>) -> Json<IndexMap<&'static str, u64>> {
    Json(shared.lock().calls.clone())
}
