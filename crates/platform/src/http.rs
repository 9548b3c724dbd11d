//! The platform over HTTP and JSON.

use crate::{Entry, Expect, InstanceList, KeyValue, KvReply, KvRequest, Lease, StoreError};
use catkinmast_model::{Instance, Verdict};
use std::net::SocketAddr;
use std::time::Duration;

/// How long one call may take; the service answers in milliseconds when it is well.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The platform's services behind one HTTP address.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: reqwest::Client,
}

impl HttpPlatform {
    /// Makes a client for the platform at `address`; nothing is sent yet.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn open(address: SocketAddr) -> Result<Self, StoreError> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(Duration::from_millis(500))
            .build()
            .map_err(|error| not_run(&error))?;
        Ok(Self { address, client })
    }

    async fn call(&self, request: &KvRequest, timeout: Duration) -> Result<KvReply, StoreError> {
        let url = format!("http://{}/kv", self.address);
        let sent = self.client.post(url).json(request).timeout(timeout).send().await;
        let response = sent.map_err(|error| classify(&error))?;
        let status = response.status();
        if status.is_server_error() {
            // The service says so itself before it touches a key.
            return Err(StoreError::Unavailable {
                message: format!("status {status}"),
                verdict: Verdict::NotRun,
            });
        }
        match response.json().await.map_err(|error| classify(&error))? {
            KvReply::Conflict { current } => Err(StoreError::Conflict { current }),
            reply => Ok(reply),
        }
    }

    async fn entries(
        &self,
        request: &KvRequest,
        timeout: Duration,
    ) -> Result<Vec<Entry>, StoreError> {
        match self.call(request, timeout).await? {
            KvReply::Entries { entries } => Ok(entries),
            other => Err(unexpected(&other)),
        }
    }
}

/// A connection that was never made carried no byte of the request; all else may have run.
fn classify(error: &reqwest::Error) -> StoreError {
    if error.is_connect() {
        return not_run(error);
    }
    StoreError::Unavailable { message: error.to_string(), verdict: Verdict::MayHaveRun }
}

fn not_run(error: &reqwest::Error) -> StoreError {
    StoreError::Unavailable { message: error.to_string(), verdict: Verdict::NotRun }
}

fn unexpected(reply: &KvReply) -> StoreError {
    StoreError::Unavailable {
        message: format!("unexpected reply {reply:?}"),
        verdict: Verdict::MayHaveRun,
    }
}

impl KeyValue for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let request = KvRequest::Get { key: key.to_owned() };
        Ok(self.entries(&request, CALL_TIMEOUT).await?.pop())
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<Lease>,
    ) -> Result<u64, StoreError> {
        let request =
            KvRequest::Put { expect, key: key.to_owned(), lease, value: value.to_owned() };
        match self.call(&request, CALL_TIMEOUT).await? {
            KvReply::Written { version } => Ok(version),
            other => Err(unexpected(&other)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.entries(&KvRequest::List { prefix: prefix.to_owned() }, CALL_TIMEOUT).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after_version: u64,
        wait_ms: u64,
    ) -> Result<Vec<Entry>, StoreError> {
        let request = KvRequest::Watch { after_version, prefix: prefix.to_owned(), wait_ms };
        self.entries(&request, CALL_TIMEOUT + Duration::from_millis(wait_ms)).await
    }

    async fn grant(&self, ttl_ms: u64) -> Result<Lease, StoreError> {
        match self.call(&KvRequest::Grant { ttl_ms }, CALL_TIMEOUT).await? {
            KvReply::Granted { lease } => Ok(lease),
            other => Err(unexpected(&other)),
        }
    }

    async fn renew(&self, lease: Lease) -> Result<(), StoreError> {
        self.call(&KvRequest::Renew { lease }, CALL_TIMEOUT).await.map(|_| ())
    }

    async fn revoke(&self, lease: Lease) -> Result<(), StoreError> {
        self.call(&KvRequest::Revoke { lease }, CALL_TIMEOUT).await.map(|_| ())
    }
}

impl InstanceList for HttpPlatform {
    async fn instances(&self) -> Result<Vec<Instance>, StoreError> {
        let url = format!("http://{}/instances", self.address);
        let sent = self.client.get(url).timeout(CALL_TIMEOUT).send().await;
        let response = sent.map_err(|error| classify(&error))?;
        let listed = response.error_for_status().map_err(|error| classify(&error))?;
        listed.json().await.map_err(|error| classify(&error))
    }
}
