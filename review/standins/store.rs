//! The platform's store: items, conditional writes, leases and watches.
//!
//! Every machine calls the store at an address of its own, so that the record shows who called.

use crate::http::{Message, serve, write_answer};
use crate::json::{Json, quote};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    created: u64,
    lease: u64,
    revision: u64,
    /// Base64, as it was written.
    value: String,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    revision: u64,
    /// Writes under a condition, as the record shows them.
    log: Vec<String>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    began: Instant,
}

const ANSWER_AFTER: Duration = Duration::from_millis(4);

fn as_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"createdAt\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { created, lease, revision, value: value.to_owned() };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !bound.is_empty() {
            self.revision += 1;
        }
        for key in bound {
            self.delete(&key);
        }
    }
}

impl Store {
    pub fn open(began: Instant) -> Self {
        Self { state: Arc::default(), changed: Arc::default(), began }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Writes a key as an operator, a trainer or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.write(key, &crate::json::base64(value.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes a key, as the platform does with the entry of a worker that is silent.
    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.delete(key);
        drop(state);
        self.changed.notify_all();
    }

    /// Takes the lines of the log.
    pub fn take_log(&self) -> Vec<String> {
        std::mem::take(&mut self.state().log)
    }

    /// Opens an address for one machine.
    pub fn listen(&self, machine: &str) -> io::Result<SocketAddr> {
        let (store, machine) = (self.clone(), machine.to_owned());
        serve(SocketAddr::from(([127, 0, 0, 1], 0)), move |request, stream| {
            store.answer(&machine, request, stream)
        })
        .map(|server| server.address)
    }

    fn answer(&self, machine: &str, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        std::thread::sleep(ANSWER_AFTER);
        self.state().expire_leases();
        let path = request.path().to_owned();
        let body =
            Json::parse(std::str::from_utf8(&request.body).unwrap_or("")).unwrap_or(Json::Null);
        let last = path.rsplit('/').next().unwrap_or("").parse().unwrap_or(0);
        let (status, answer) = match path.as_str() {
            "/-/kv-key" => self.key(&request.query("key")),
            "/-/kv-range" => self.range(&request.query("prefix"), &request.query("after")),
            "/-/kv-watch" => self.watch(request),
            "/-/kv-txn" => self.transaction(machine, &body),
            "/-/kv-lease" => self.open_lease(body.get("ttlMs").number()),
            path if path.starts_with("/-/kv-keep/") => self.keep(last),
            path if path.starts_with("/-/kv-lease-end/") => {
                self.state().end_lease(last);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        let kind = [("Content-Type", "application/json".to_owned())];
        write_answer(stream, status, &kind, answer.as_bytes())?;
        Ok(())
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state();
        match state.items.get(key) {
            None => (404, format!("{{\"asOf\":{}}}", state.revision)),
            Some(item) => {
                let item = as_json(key, item);
                (200, format!("{},\"asOf\":{}}}", &item[..item.len() - 1], state.revision))
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = found.map(|(key, item)| as_json(key, item)).collect();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"truncated\":false,\"asOf\":{revision}}}"))
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state();
        loop {
            let now = Instant::now();
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => as_json(key, item),
                    None => {
                        format!(
                            "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                            quote(key)
                        )
                    }
                })
                .collect();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"asOf\":{revision}}}"));
            }
            let left = until.saturating_duration_since(now).min(Duration::from_millis(100));
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }

    fn transaction(&self, machine: &str, body: &Json) -> (u16, String) {
        let mut state = self.state();
        let rows = body.get("expected").list();
        let held = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let differs =
            |row: &Json| held(&state, row.get("key").text()) != row.get("revision").number();
        if rows.iter().any(differs) {
            let items: Vec<String> = rows
                .iter()
                .map(|row| {
                    let key = row.get("key").text();
                    let none = || format!("{{\"key\":{},\"revision\":0}}", quote(key));
                    state.items.get(key).map_or_else(none, |item| as_json(key, item))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let lease = |put: &Json| put.get("lease").number();
        if puts.iter().any(|put| lease(put) != 0 && !state.leases.contains_key(&lease(put))) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            state.write(put.get("key").text(), put.get("value").text(), lease(put));
        }
        for key in body.get("deletes").list() {
            state.delete(key.text());
        }
        let revision = state.revision;
        let keys: Vec<&str> = puts.iter().map(|put| put.get("key").text()).collect();
        let ms = self.began.elapsed().as_millis();
        state.log.push(format!("{ms} store: write of {machine} to {}", keys.join(" ")));
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn open_lease(&self, ttl_ms: u64) -> (u16, String) {
        let mut state = self.state();
        state.next_lease += 1;
        let lease = 70_000 + state.next_lease;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        match self.state().leases.get_mut(&lease) {
            None => (404, "{}".to_owned()),
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
            }
        }
    }
}
