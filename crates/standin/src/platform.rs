//! The platform's stand-in: key-value service, instance list, and the switches for its faults.

#![expect(clippy::redundant_type_annotations, reason = "written by the framework's route macros")]

use crate::web::{StandinError, WebServer};
use catkinmast_model::{Instance, InstanceState, Name, UnixMs};
use indexmap::IndexMap;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, delete, get, post, routes};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};

/// How many fetches of weights the store serves at once; the others wait for their turn.
const CONCURRENT_WEIGHT_FETCHES_MAX: usize = 2;
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
    entries: BTreeMap<String, StoredEntry>,
    faults: PlatformFaults,
    instances: IndexMap<Name, Instance>,
    pending_instances: VecDeque<(UnixMs, Instance)>,
    leases: IndexMap<u64, Lease>,
    version: u64,
}

/// A key as it stands.
#[derive(Clone, Debug)]
struct StoredEntry {
    lease: u64,
    revision: u64,
    /// As it came, in base64.
    value: String,
}

impl StoredEntry {
    fn as_json(&self, key: &str) -> Value {
        json!({ "key": key, "value": self.value, "revision": self.revision, "lease": self.lease })
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    expires_at: UnixMs,
    ttl_ms: u64,
}

#[derive(Debug)]
struct Shared {
    changes: Notify,
    list_lag_ms: u64,
    store: Mutex<Store>,
    weight_fetch_permits: Semaphore,
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
            changes: Notify::new(),
            list_lag_ms: settings.list_lag_ms,
            store: Mutex::default(),
            weight_fetch_permits: Semaphore::new(CONCURRENT_WEIGHT_FETCHES_MAX),
            weights_fetch_ms: settings.weights_fetch_ms,
        });
        let state = Arc::clone(&shared);
        let web = WebServer::bind(settings.address, move |rocket| {
            rocket.manage(state).mount(
                "/",
                routes![
                    kv_key,
                    kv_range,
                    kv_watch,
                    kv_txn,
                    kv_lease,
                    kv_keep,
                    kv_lease_end,
                    instances,
                    put_instance,
                    faults,
                    calls,
                    weights
                ],
            )
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
    pub fn set_instance(&self, instance: Instance) {
        self.shared.lock().pending_instances.push_back((UnixMs::from_wall_clock(), instance));
    }

    /// Returns how often each kind of call was made.
    pub fn call_counts(&self) -> IndexMap<&'static str, u64> {
        self.shared.lock().calls.clone()
    }
}

/// A transaction's body.
#[derive(Debug, Deserialize)]
struct Transaction {
    #[serde(default)]
    deletes: Vec<String>,
    #[serde(default)]
    expected: Vec<ExpectedRow>,
    #[serde(default)]
    puts: Vec<PutRow>,
}

#[derive(Debug, Deserialize)]
struct ExpectedRow {
    key: String,
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct PutRow {
    key: String,
    #[serde(default)]
    lease: u64,
    value: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LeaseRequest {
    ttl_ms: u64,
}

/// What the service answers: a status and a body.
type Answer = Result<Json<Value>, (Status, Json<Value>)>;

const fn status(status: Status, body: Value) -> (Status, Json<Value>) {
    (status, Json(body))
}

impl Store {
    fn expire(&mut self, now: UnixMs) {
        let expired = self.leases.iter().filter(|(_, lease_record)| lease_record.expires_at <= now);
        let expired_ids: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired_ids {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.shift_remove(&lease);
        let attached = self.entries.iter().filter(|(_, entry)| entry.lease == lease);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.version += 1;
            self.delete(&key);
        }
    }

    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.deleted.insert(key.to_owned(), self.version);
        }
    }

    fn revision(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.revision)
    }

    /// Does all of a transaction or nothing.
    fn transact(&mut self, transaction: Transaction) -> Answer {
        let is_current = |row: &ExpectedRow| self.revision(&row.key) == row.revision;
        if !transaction.expected.iter().all(is_current) {
            let current = |row: &ExpectedRow| match self.entries.get(&row.key) {
                Some(entry) => entry.as_json(&row.key),
                None => json!({ "key": row.key, "revision": 0 }),
            };
            let items: Vec<Value> = transaction.expected.iter().map(current).collect();
            return Err(status(Status::PreconditionFailed, json!({ "items": items })));
        }
        let lease_exists = |put: &PutRow| put.lease == 0 || self.leases.contains_key(&put.lease);
        if !transaction.puts.iter().all(lease_exists) {
            return Err(status(Status::NotFound, json!({})));
        }
        let fits = |put: &PutRow| put.value.len() <= VALUE_MAX_BYTES / 3 * 4;
        if !transaction.puts.iter().all(fits) {
            return Err(status(Status::PayloadTooLarge, json!({})));
        }
        self.version += 1;
        for PutRow { key, lease, value } in transaction.puts {
            self.deleted.remove(&key);
            self.entries.insert(key, StoredEntry { lease, revision: self.version, value });
        }
        for key in &transaction.deletes {
            self.delete(key);
        }
        Ok(Json(json!({ "revision": self.version })))
    }

    fn events_after(&self, prefix: &str, after: u64) -> Vec<Value> {
        let written = self.entries.iter().map(|(key, entry)| (entry.revision, entry.as_json(key)));
        let deletion_event = |(key, revision): (&String, &u64)| {
            (*revision, json!({ "key": key, "revision": revision, "deleted": true }))
        };
        let mut events: Vec<(u64, Value)> = written
            .chain(self.deleted.iter().map(deletion_event))
            .filter(|(revision, event)| {
                let key = event["key"].as_str().unwrap_or_default();
                *revision > after && key.starts_with(prefix)
            })
            .collect();
        events.sort_by_key(|(revision, _)| *revision);
        events.into_iter().map(|(_, event)| event).collect()
    }
}

/// Counts a call and lets the faults act on it; an error is the answer.
async fn begin_call(shared: &Shared, name: &'static str) -> Result<(), (Status, Json<Value>)> {
    let faults = {
        let mut store = shared.lock();
        *store.calls.entry(name).or_default() += 1;
        store.faults
    };
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.outage {
        return Err(status(Status::ServiceUnavailable, json!({})));
    }
    shared.lock().expire(UnixMs::from_wall_clock());
    Ok(())
}

/// Makes a change; its reply may be lost.
async fn write(
    shared: &Shared,
    name: &'static str,
    operation: impl FnOnce(&mut Store, UnixMs) -> Answer,
) -> Answer {
    begin_call(shared, name).await?;
    let (answer, is_reply_lost) = {
        let mut store = shared.lock();
        let answer = operation(&mut store, UnixMs::from_wall_clock());
        let can_lose_reply = matches!(name, "put" | "renew");
        let is_reply_lost = can_lose_reply && store.faults.lose_write_replies > 0;
        store.faults.lose_write_replies -= u32::from(is_reply_lost);
        (answer, is_reply_lost)
    };
    shared.changes.notify_waiters();
    if is_reply_lost {
        // The write stands, its reply does not come: the caller's deadline passes first.
        tokio::time::sleep(Duration::from_secs(30)).await;
    }
    answer
}

#[get("/-/kv-key?<key>")]
async fn kv_key(key: &str, shared: &State<Arc<Shared>>) -> Answer {
    begin_call(shared, "get").await?;
    let store = shared.lock();
    match store.entries.get(key) {
        Some(entry) => Ok(Json(entry.as_json(key))),
        None => Err(status(Status::NotFound, json!({}))),
    }
}

#[get("/-/kv-range?<prefix>&<after>")]
async fn kv_range(prefix: &str, after: Option<&str>, shared: &State<Arc<Shared>>) -> Answer {
    begin_call(shared, "list").await?;
    let store = shared.lock();
    let matching = store.entries.iter().filter(|(key, _)| {
        key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
    });
    let items: Vec<Value> = matching.map(|(key, entry)| entry.as_json(key)).collect();
    Ok(Json(json!({ "asOf": store.version, "items": items, "truncated": false })))
}

#[get("/-/kv-watch?<prefix>&<after>&<waitMs>")]
#[expect(non_snake_case, reason = "the name of the query's field")]
async fn kv_watch(prefix: &str, after: u64, waitMs: u64, shared: &State<Arc<Shared>>) -> Answer {
    begin_call(shared, "watch").await?;
    let deadline = UnixMs::from_wall_clock().plus(waitMs);
    loop {
        let changes = shared.changes.notified();
        let now = UnixMs::from_wall_clock();
        let (as_of, events, outage) = {
            let mut store = shared.lock();
            store.expire(now);
            (store.version, store.events_after(prefix, after), store.faults.outage)
        };
        if !events.is_empty() || now >= deadline || outage {
            return Ok(Json(json!({ "asOf": as_of, "events": events })));
        }
        // Leases lapse without a call, so the wait looks again now and then.
        let pause = Duration::from_millis(deadline.since_ms(now).min(200));
        drop(tokio::time::timeout(pause, changes).await);
    }
}

#[post("/-/kv-txn", data = "<transaction>")]
async fn kv_txn(transaction: Json<Transaction>, shared: &State<Arc<Shared>>) -> Answer {
    write(shared, "put", |store, _| store.transact(transaction.into_inner())).await
}

#[post("/-/kv-lease", data = "<request>")]
async fn kv_lease(request: Json<LeaseRequest>, shared: &State<Arc<Shared>>) -> Answer {
    write(shared, "grant", |store, now| {
        let ttl_ms = request.ttl_ms;
        store.version += 1;
        let lease = store.version;
        store.leases.insert(lease, Lease { expires_at: now.plus(ttl_ms), ttl_ms });
        Ok(Json(json!({ "lease": lease, "ttlMs": ttl_ms })))
    })
    .await
}

#[post("/-/kv-keep/<lease>")]
async fn kv_keep(lease: u64, shared: &State<Arc<Shared>>) -> Answer {
    write(shared, "renew", |store, now| match store.leases.get_mut(&lease) {
        Some(lease_record) => {
            lease_record.expires_at = now.plus(lease_record.ttl_ms);
            Ok(Json(json!({ "ttlMs": lease_record.ttl_ms })))
        }
        None => Err(status(Status::NotFound, json!({}))),
    })
    .await
}

#[delete("/-/kv-lease-end/<lease>")]
async fn kv_lease_end(lease: u64, shared: &State<Arc<Shared>>) -> Answer {
    write(shared, "revoke", |store, _| {
        store.end_lease(lease);
        Ok(Json(json!({})))
    })
    .await
}

#[get("/instances")]
fn instances(shared: &State<Arc<Shared>>) -> Result<Json<Vec<Instance>>, Status> {
    let mut store = shared.lock();
    *store.calls.entry("instances").or_default() += 1;
    if store.faults.outage {
        return Err(Status::ServiceUnavailable);
    }
    let visible_until = UnixMs(UnixMs::from_wall_clock().0.saturating_sub(shared.list_lag_ms));
    while store.pending_instances.front().is_some_and(|(at, _)| *at <= visible_until) {
        if let Some((_, instance)) = store.pending_instances.pop_front() {
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
    shared.lock().pending_instances.push_back((UnixMs::from_wall_clock(), instance.into_inner()));
}

#[post("/faults", data = "<request>")]
fn faults(request: Json<PlatformFaults>, shared: &State<Arc<Shared>>) {
    shared.lock().faults = request.into_inner();
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
    let permit = shared.weight_fetch_permits.acquire().await;
    let _permit = permit.map_err(|_closed| Status::ServiceUnavailable)?;
    tokio::time::sleep(Duration::from_millis(shared.weights_fetch_ms)).await;
    Ok("weights")
}

#[get("/calls")]
fn calls(shared: &State<Arc<Shared>>) -> Json<IndexMap<&'static str, u64>> {
    Json(shared.lock().calls.clone())
}
