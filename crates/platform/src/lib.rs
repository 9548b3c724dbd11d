//! Clients of the platform: the key-value service, the instance list and the model engines.
//!
//! Each external system is a small trait. The key-value service is the platform's store:
//! [`HttpPlatform`] sends the calls, and the adapter in the folder `platform/` encodes and decodes
//! them. The store handles several hundred writes and about two thousand reads a second and has
//! outages, so each call has a deadline, and each failed write says whether it may have taken
//! effect.

mod engine;
mod http;

pub use catkinmast_serve::LeaseId;
pub use engine::{
    CancelRequest, EngineError, EngineLine, Engines, GenerateRequest, HttpEngines, LoadReport,
    WeightOrder,
};
pub use http::HttpPlatform;

use catkinmast_model::{Instance, Verdict};
use displaydoc::Display;

/// A key and its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; empty if a watch reports the key as deleted.
    pub value: String,
    /// The store's revision at the last write of this key. It is unrelated to the revisions of a
    /// configuration.
    pub version: u64,
}

/// The condition of a write on the current state of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// There is no condition.
    Any,
    /// The key must be at this version.
    Version(u64),
}

/// A key-value service with compare-and-swap, leases and watches.
pub trait KeyValue: Clone + Send + Sync + 'static {
    /// Reads one key.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Writes one key if `expect` holds, and returns the key's new version.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if `expect` does not hold or `lease` has lapsed. Otherwise
    /// the error's verdict says whether the write may have taken effect.
    fn put(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Reads all keys that begin with `prefix`, in order.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Entry>, StoreError>> + Send;

    /// Waits until a key under `prefix` changes after `after_version`, at most `wait_ms`.
    ///
    /// Returns the changed entries; none if the time ran out. If the changes since `after_version`
    /// are no longer available, returns all current entries, without the deleted ones.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    fn watch(
        &self,
        prefix: &str,
        after_version: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Vec<Entry>, StoreError>> + Send;

    /// Grants a lease that lapses after `ttl_ms` without renewal.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    fn grant(&self, ttl_ms: u64) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if the lease has lapsed.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Revokes a lease and deletes the keys attached to it.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// The platform's list of live and leaving instances, which lags.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the current list.
    ///
    /// # Errors
    /// Fails if the platform does not answer.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>, StoreError>> + Send;
}

/// The error of a call to the key-value service or the instance list.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StoreError {
    /// the key is at version {current:?}, another was expected
    Conflict {
        /// Version of the key; none if it is absent, or if the conflict is a lapsed lease.
        current: Option<u64>,
    },
    /// the key-value service failed ({verdict}): {message}
    Unavailable {
        /// Description of the failure.
        message: String,
        /// Whether a write may have taken effect.
        verdict: Verdict,
    },
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Returns whether the failed write may have taken effect.
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Conflict { .. } => Verdict::NotRun,
            Self::Unavailable { verdict, .. } => *verdict,
        }
    }
}
