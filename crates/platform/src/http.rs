//! A client of the platform over HTTP.

use crate::{Entry, Expect, InstanceList, KeyValue, LeaseId, StoreError};
use bytes::Bytes;
use catkinmast_adapter::UsersPlatform;
use catkinmast_client::{Client, ClientError, ClientSettings, RequestBody};
use catkinmast_model::{Instance, Verdict};
use catkinmast_serve::{
    Expectation, Platform, Put, StoreAnswer, StoreCall, StoreEvent, StoreRequest, StoredItem,
};
use http::Request;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of one call; a healthy service answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A client of the platform's services, which share one HTTP address.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client,
}

impl HttpPlatform {
    /// Creates a client for the platform at `address`. Nothing is sent yet.
    pub fn open(address: SocketAddr) -> Self {
        let settings = ClientSettings { connect_timeout_ms: 500, reuses_connections: true };
        Self { address, client: Client::open(&settings) }
    }

    async fn call(&self, call: &StoreCall, timeout: Duration) -> Result<StoreAnswer, StoreError> {
        let StoreRequest { body, method, path } = UsersPlatform::store_request(call);
        let url = format!("http://{}{path}", self.address);
        let request = Request::builder().method(method).uri(url).body(RequestBody::from(body));
        let request = request.map_err(|error| not_run(error.to_string()))?;
        let sent = self.client.send(request, Instant::now() + timeout).await;
        let response = sent.map_err(|error| classify(&error))?;
        let status = response.status().as_u16();
        let body = response.into_body().bytes().await.map_err(|error| classify(&error))?;
        UsersPlatform::store_answer(call, status, &body).map_err(|refusal| {
            StoreError::Unavailable { message: refusal.message, verdict: refusal.verdict }
        })
    }
}

/// Converts the condition of a write to the store's form, in which an absent key has revision 0.
fn expectations(key: &str, expect: Expect) -> Vec<Expectation> {
    let revision = match expect {
        Expect::Any => return Vec::new(),
        Expect::Absent => 0,
        Expect::Version(version) => version,
    };
    vec![Expectation { key: key.to_owned(), revision }]
}

/// Converts a stored item. Catkinmast writes only text, so a value that is not UTF-8 comes from
/// another writer and is an error.
fn entry(item: StoredItem) -> Result<Entry, StoreError> {
    let value = String::from_utf8(item.value).map_err(|error| StoreError::Unavailable {
        message: format!("the value of {}: {error}", item.key),
        verdict: Verdict::Ran,
    })?;
    Ok(Entry { key: item.key, value, version: item.revision })
}

fn changed(event: StoreEvent) -> Result<Entry, StoreError> {
    match event {
        StoreEvent::Deleted { key, revision } => {
            Ok(Entry { key, value: String::new(), version: revision })
        }
        StoreEvent::Written(item) => entry(item),
    }
}

/// Classifies an error: if the connection failed, no byte of the request was sent; otherwise the
/// request may have run.
fn classify(error: &ClientError) -> StoreError {
    if error.is_connect {
        return not_run(error.message.clone());
    }
    may_have_run(error.message.clone())
}

fn not_run(message: String) -> StoreError {
    StoreError::Unavailable { message, verdict: Verdict::NotRun }
}

fn may_have_run(message: String) -> StoreError {
    StoreError::Unavailable { message, verdict: Verdict::MayHaveRun }
}

fn unexpected(answer: &StoreAnswer) -> StoreError {
    StoreError::Unavailable {
        message: format!("unexpected answer {answer:?}"),
        verdict: Verdict::MayHaveRun,
    }
}

impl KeyValue for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        match self
            .call(&StoreCall::Get { key: key.to_owned(), may_be_old: false }, CALL_TIMEOUT)
            .await?
        {
            StoreAnswer::Item(found) => found.map(entry).transpose(),
            other => Err(unexpected(&other)),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<u64, StoreError> {
        let call = StoreCall::Transaction {
            deletes: Vec::new(),
            expected: expectations(key, expect),
            puts: vec![Put { key: key.to_owned(), lease, value: value.as_bytes().to_vec() }],
        };
        match self.call(&call, CALL_TIMEOUT).await? {
            StoreAnswer::Committed { revision } => Ok(revision),
            StoreAnswer::Conflict { items } => {
                let revision = items.first().map(|item| item.revision);
                Err(StoreError::Conflict { current: revision.filter(|revision| *revision > 0) })
            }
            StoreAnswer::NoLease => Err(StoreError::Conflict { current: None }),
            other => Err(unexpected(&other)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        let mut all: Vec<Entry> = Vec::new();
        loop {
            let after = all.last().map(|last| last.key.clone()).unwrap_or_default();
            let call = StoreCall::Range { after, may_be_old: false, prefix: prefix.to_owned() };
            let (items, truncated) = match self.call(&call, CALL_TIMEOUT).await? {
                StoreAnswer::Items { items, truncated, .. } => (items, truncated),
                other => return Err(unexpected(&other)),
            };
            let more = truncated && !items.is_empty();
            for item in items {
                all.push(entry(item)?);
            }
            if !more {
                return Ok(all);
            }
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after_version: u64,
        wait_ms: u64,
    ) -> Result<Vec<Entry>, StoreError> {
        let prefix = prefix.to_owned();
        let call = StoreCall::Watch { after: after_version, prefix: prefix.clone(), wait_ms };
        match self.call(&call, CALL_TIMEOUT + Duration::from_millis(wait_ms)).await? {
            StoreAnswer::Events { events, .. } => events.into_iter().map(changed).collect(),
            // The changes since `after_version` are no longer available, so all current entries are
            // returned.
            StoreAnswer::HistoryLost => self.list(&prefix).await,
            other => Err(unexpected(&other)),
        }
    }

    async fn grant(&self, ttl_ms: u64) -> Result<LeaseId, StoreError> {
        match self.call(&StoreCall::LeaseOpen { ttl_ms }, CALL_TIMEOUT).await? {
            StoreAnswer::Lease { lease: Some(lease), .. } => Ok(lease),
            other => Err(unexpected(&other)),
        }
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        match self.call(&StoreCall::LeaseRenew { lease }, CALL_TIMEOUT).await? {
            StoreAnswer::Lease { .. } => Ok(()),
            StoreAnswer::NoLease => Err(StoreError::Conflict { current: None }),
            other => Err(unexpected(&other)),
        }
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call(&StoreCall::LeaseEnd { lease }, CALL_TIMEOUT).await.map(|_| ())
    }
}

impl InstanceList for HttpPlatform {
    async fn instances(&self) -> Result<Vec<Instance>, StoreError> {
        let url = format!("http://{}/instances", self.address);
        let request = Request::get(url).body(RequestBody::from(Bytes::new()));
        let request = request.map_err(|error| not_run(error.to_string()))?;
        let sent = self.client.send(request, Instant::now() + CALL_TIMEOUT).await;
        let response = sent.map_err(|error| classify(&error))?;
        if !response.status().is_success() {
            return Err(may_have_run(format!("status {}", response.status())));
        }
        let body = response.into_body().bytes().await.map_err(|error| classify(&error))?;
        serde_json::from_slice(&body).map_err(|error| may_have_run(error.to_string()))
    }
}
