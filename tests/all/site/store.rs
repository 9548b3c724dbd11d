//! A stand-in for the platform's store: transactions, leases, watches, and its faults.
//!
//! Each node has an endpoint of its own, so that the store can refuse a single node.

use super::web::{Answer, Server, answer};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How the store answers at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreMode {
    /// Carries out no call, and closes their connections without an answer.
    Closes,
    /// Writes are neither carried out nor answered; their connections are closed.
    DropsWrites,
    /// Writes are carried out, and their connections are closed without an answer.
    LosesWriteAnswers,
    /// Writes are carried out and never answered.
    LeavesWritesUnanswered,
    /// Answers normally.
    Normal,
    /// Refuses all calls with 503.
    Refuses,
    /// Accepts calls and never answers.
    Unresponsive,
}

/// What becomes of the write with which an outage begins.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum LastWrite {
    /// It is carried out and answered.
    Answered,
    /// It is carried out, and its connection is closed.
    #[default]
    Closed,
    /// Its connection is closed, and it is carried out after this time if its conditions hold then.
    Late(Duration),
    /// It is carried out, and its connection stays open.
    Silent,
}

/// An outage that begins with a write. By default all endpoints refuse all calls.
#[derive(Clone, Debug)]
pub(crate) struct Outage {
    /// How the endpoints answer that do not go on as before.
    pub(crate) mode: StoreMode,
    /// Whether only the creation of a key begins it, not a change.
    pub(crate) needs_creation: bool,
    /// Whether leases do not expire during the outage.
    pub(crate) pauses_leases: bool,
    /// The endpoints that go on as before.
    pub(crate) spared: Vec<usize>,
    pub(crate) write: LastWrite,
}

impl Default for Outage {
    fn default() -> Self {
        let write = LastWrite::default();
        Self {
            mode: StoreMode::Refuses,
            needs_creation: true,
            pauses_leases: false,
            spared: Vec::new(),
            write,
        }
    }
}

#[derive(Clone, Debug)]
struct Item {
    created: u64,
    lease: u64,
    revision: u64,
    value: Vec<u8>,
}

#[derive(Default)]
struct State {
    /// Numbers of calls, by name.
    calls: BTreeMap<String, u64>,
    /// All calls with their queries, by endpoint.
    calls_at: BTreeMap<usize, Vec<String>>,
    /// History up to this revision is dropped.
    compacted: u64,
    modes: Vec<Option<StoreMode>>,
    history: Vec<(u64, String, Option<Item>)>,
    items: BTreeMap<String, Item>,
    /// The TTL and the expiry of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    leases_paused_at: Option<Instant>,
    /// The prefix of the keys whose next write begins an outage.
    next_outage: Option<(String, Outage)>,
    revision: u64,
    /// Raised to cut all watches.
    watch_epoch: u64,
}

/// The stand-in for the store.
#[derive(Clone)]
pub(crate) struct Store {
    changed: Arc<Notify>,
    state: Arc<Mutex<State>>,
}

fn wire_item(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": STANDARD.encode(&item.value), "revision": item.revision,
            "createdAt": item.created, "lease": item.lease })
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { created, lease, revision: self.revision, value };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    /// Begins the outage that waits for a transaction with these puts, if there is one.
    fn begin_outage(&mut self, puts: &[Value]) -> Option<LastWrite> {
        let key = |put: &Value| put["key"].as_str().unwrap_or_default().to_owned();
        let (_, outage) = self.next_outage.take_if(|(prefix, outage)| {
            let mut keys = puts.iter().map(key).filter(|key| key.starts_with(prefix.as_str()));
            keys.any(|key| !outage.needs_creation || !self.items.contains_key(&key))
        })?;
        for (endpoint, mode) in self.modes.iter_mut().enumerate() {
            if !outage.spared.contains(&endpoint) {
                *mode = Some(outage.mode);
            }
        }
        self.leases_paused_at = outage.pauses_leases.then(Instant::now);
        self.watch_epoch += 1;
        Some(outage.write)
    }

    fn expire_leases(&mut self) {
        if self.leases_paused_at.is_some() {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }
}

impl Store {
    /// Opens an empty store.
    pub(crate) fn open() -> Self {
        Self { changed: Arc::new(Notify::new()), state: Arc::new(Mutex::new(State::default())) }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no test panics while it holds the store")
    }

    /// Opens an endpoint. It is open until the returned server is dropped.
    pub(crate) async fn open_endpoint(&self) -> (usize, Server) {
        let index = {
            let mut state = self.state();
            state.modes.push(Some(StoreMode::Normal));
            state.modes.len() - 1
        };
        let store = self.clone();
        let server = Server::bind(move |request| {
            let store = store.clone();
            async move { store.serve(index, request).await }.boxed()
        });
        (index, server.await)
    }

    /// Changes how the store answers at an endpoint.
    pub(crate) fn set_mode(&self, endpoint: usize, mode: StoreMode) {
        self.state().modes[endpoint] = Some(mode);
    }

    /// Changes how the store answers at all endpoints.
    pub(crate) fn set_all_modes(&self, mode: StoreMode) {
        self.state().modes.fill(Some(mode));
    }

    /// Lets an outage begin with the next transaction that creates a key under `prefix`: it is
    /// carried out, its connection is closed without an answer, and all endpoints refuse all calls
    /// from then on.
    pub(crate) fn go_down_after_write(&self, prefix: &str) {
        self.go_down_after_write_with(prefix, Outage::default());
    }

    /// Like [`Self::go_down_after_write`], with another kind of outage.
    pub(crate) fn go_down_after_write_with(&self, prefix: &str, outage: Outage) {
        self.state().next_outage = Some((prefix.to_owned(), outage));
    }

    /// Returns whether an outage still waits for its write.
    pub(crate) fn awaits_outage(&self) -> bool {
        self.state().next_outage.is_some()
    }

    /// Ends an outage, or prevents the next one if it has not begun. All endpoints answer normally.
    pub(crate) fn end_outage(&self) {
        let mut state = self.state();
        state.next_outage = None;
        state.modes.fill(Some(StoreMode::Normal));
        if let Some(paused_at) = state.leases_paused_at.take() {
            for (_, expires_at) in state.leases.values_mut() {
                *expires_at += paused_at.elapsed();
            }
        }
    }

    /// Writes a key, as an operator or a worker does.
    pub(crate) fn put(&self, key: &str, value: &Value) {
        let mut state = self.state();
        state.revision += 1;
        state.write(key, value.to_string().into_bytes(), 0);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Writes a key with any bytes, as another node does.
    pub(crate) fn put_bytes(&self, key: &str, value: Vec<u8>) {
        let mut state = self.state();
        state.revision += 1;
        state.write(key, value, 0);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Changes the bytes of a key, as another node does whose datagrams are lost.
    pub(crate) fn change(&self, key: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        state.revision += 1;
        let mut value = state.items.get(key).expect("the key is in the store").value.clone();
        change(&mut value);
        state.write(key, value, 0);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes a key, as the platform does.
    pub(crate) fn remove(&self, key: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.delete(key);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the value of a key.
    pub(crate) fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.state().items.get(key).map(|item| item.value.clone())
    }

    /// Returns the lease that a key is bound to; 0 for none.
    pub(crate) fn lease_of(&self, key: &str) -> u64 {
        self.state().items.get(key).map_or(0, |item| item.lease)
    }

    /// Returns the lease that was opened last; 0 for none.
    pub(crate) fn newest_lease(&self) -> u64 {
        self.state().leases.keys().max().copied().unwrap_or(0)
    }

    /// Returns the keys under a prefix.
    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        self.state().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns how often a call was made, at all endpoints.
    pub(crate) fn calls(&self, call: &str) -> u64 {
        self.state().calls.get(call).copied().unwrap_or(0)
    }

    /// Returns the calls at an endpoint so far, each with its query.
    pub(crate) fn calls_at(&self, endpoint: usize) -> Vec<String> {
        self.state().calls_at.get(&endpoint).cloned().unwrap_or_default()
    }

    /// Lets none of the open leases lapse for a minute, unless renewed, like a store that pauses
    /// leases during an outage.
    pub(crate) fn hold_leases(&self) {
        let later = Instant::now() + Duration::from_mins(1);
        for (_, expires_at) in self.state().leases.values_mut() {
            *expires_at = later;
        }
    }

    /// Changes a key without reporting it to a watch, drops the history and cuts the watches.
    pub(crate) fn lose_history_with(&self, key: &str, value: &Value) {
        let mut state = self.state();
        state.revision += 1;
        state.write(key, value.to_string().into_bytes(), 0);
        state.history.clear();
        state.compacted = state.revision;
        state.watch_epoch += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Cuts the watches.
    pub(crate) fn cut_watches(&self) {
        self.state().watch_epoch += 1;
        self.changed.notify_waiters();
    }

    async fn serve(&self, endpoint: usize, request: http::Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let name = head.uri.path().rsplit('/').find(|part| part.starts_with("kv-"))?.to_owned();
        let mode = {
            let mut state = self.state();
            *state.calls.entry(name.clone()).or_insert(0) += 1;
            let call = format!("{name} {}", head.uri.query().unwrap_or_default());
            state.calls_at.entry(endpoint).or_default().push(call);
            state.expire_leases();
            state.modes[endpoint].unwrap_or(StoreMode::Normal)
        };
        match mode {
            StoreMode::Refuses => return Some(answer(503, "")),
            StoreMode::Unresponsive => std::future::pending().await,
            StoreMode::Closes => return None,
            StoreMode::DropsWrites if name == "kv-txn" => return None,
            StoreMode::Normal
            | StoreMode::LosesWriteAnswers
            | StoreMode::DropsWrites
            | StoreMode::LeavesWritesUnanswered => {}
        }
        let query = head.uri.query().unwrap_or_default().to_owned();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let id = head.uri.path().rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let (status, value) = match name.as_str() {
            "kv-watch" => {
                let changes = self.watch(&query).await?;
                // A watch that was open when the endpoint became unresponsive is not answered
                // either.
                if self.state().modes[endpoint] == Some(StoreMode::Unresponsive) {
                    std::future::pending::<()>().await;
                }
                changes
            }
            "kv-key" => self.key(&query),
            "kv-range" => self.range(&query),
            "kv-txn" => match self.transaction(&body) {
                Ok(answer) => answer,
                Err(LastWrite::Silent) => std::future::pending().await,
                Err(_) => return None,
            },
            _ => self.lease(&name, id, &body),
        };
        if mode == StoreMode::LosesWriteAnswers && name == "kv-txn" {
            return None;
        }
        if mode == StoreMode::LeavesWritesUnanswered && name == "kv-txn" {
            std::future::pending::<()>().await;
        }
        Some(answer(status, value.to_string()))
    }

    fn key(&self, query: &str) -> (u16, Value) {
        let state = self.state();
        let key = parameter(query, "key");
        match state.items.get(&key) {
            None => (404, json!({ "asOf": state.revision })),
            Some(item) => {
                let mut value = wire_item(&key, item);
                value["asOf"] = json!(state.revision);
                (200, value)
            }
        }
    }

    fn range(&self, query: &str) -> (u16, Value) {
        let state = self.state();
        let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
        let items: Vec<Value> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| wire_item(key, item))
            .collect();
        (200, json!({ "items": items, "truncated": false, "asOf": state.revision }))
    }

    async fn watch(&self, query: &str) -> Option<(u16, Value)> {
        let prefix = parameter(query, "prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait_ms: u64 = parameter(query, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let epoch = self.state().watch_epoch;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state();
                if state.watch_epoch != epoch {
                    return None;
                }
                let events: Vec<Value> = state
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                    .map(|(revision, key, item)| match item {
                        Some(item) => wire_item(key, item),
                        None => json!({ "key": key, "revision": revision, "deleted": true }),
                    })
                    .collect();
                // Like the platform's store, reports a lost history only with the next change or at
                // the end of the wait.
                let over = Instant::now() >= until;
                if !events.is_empty() || over {
                    return Some(if after < state.compacted {
                        (410, json!({}))
                    } else {
                        (200, json!({ "events": events, "asOf": state.revision }))
                    });
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            let _woken_or_over = tokio::time::timeout(left, changed).await;
        }
    }

    fn transaction(&self, body: &Value) -> Result<(u16, Value), LastWrite> {
        let mut state = self.state();
        let rows = body["expected"].as_array().cloned().unwrap_or_default();
        let held = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let key = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        if rows.iter().any(|row| held(&state, &key(row)) != row["revision"].as_u64().unwrap_or(0)) {
            let items: Vec<Value> = rows
                .iter()
                .map(|row| match state.items.get(&key(row)) {
                    Some(item) => wire_item(&key(row), item),
                    None => json!({ "key": key(row), "revision": 0 }),
                })
                .collect();
            return Ok((412, json!({ "items": items })));
        }
        let puts = body["puts"].as_array().cloned().unwrap_or_default();
        let lease = |put: &Value| put["lease"].as_u64().unwrap_or(0);
        if puts.iter().any(|put| lease(put) != 0 && !state.leases.contains_key(&lease(put))) {
            return Ok((404, json!({})));
        }
        let last_write = state.begin_outage(&puts);
        if let Some(LastWrite::Late(delay)) = last_write {
            let (store, body) = (self.clone(), body.clone());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                store.transaction(&body)
            });
            drop(state);
            self.changed.notify_waiters();
            return Err(LastWrite::Late(delay));
        }
        state.revision += 1;
        for put in &puts {
            let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
            state.write(&key(put), value.expect("values are base64"), lease(put));
        }
        for deleted in body["deletes"].as_array().into_iter().flatten() {
            state.delete(deleted.as_str().unwrap_or_default());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_waiters();
        match last_write {
            None | Some(LastWrite::Answered) => Ok((200, json!({ "revision": revision }))),
            Some(unanswered) => Err(unanswered),
        }
    }

    fn lease(&self, name: &str, id: u64, body: &Value) -> (u16, Value) {
        let mut state = self.state();
        match name {
            "kv-lease" => {
                let ttl_ms = body["ttlMs"].as_u64().unwrap_or(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                let id = 70_000 + state.leases.len() as u64 + state.revision * 1_000;
                state.leases.insert(id, (ttl, Instant::now() + ttl));
                (200, json!({ "lease": id, "ttlMs": ttl_ms }))
            }
            "kv-keep" => match state.leases.get_mut(&id) {
                None => (404, json!({})),
                Some((ttl, expires_at)) => {
                    *expires_at = Instant::now() + *ttl;
                    (200, json!({ "ttlMs": ttl.as_millis() as u64 }))
                }
            },
            _ => {
                state.end_lease(id);
                drop(state);
                self.changed.notify_waiters();
                (200, json!({}))
            }
        }
    }
}

fn parameter(query: &str, name: &str) -> String {
    let found = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_default().to_owned()
}
