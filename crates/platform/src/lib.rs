//! Clients of the platform: the key-value service, the list of instances, the model engines.
//!
//! Each outside system is a small trait. The key-value service is the platform's store, and its
//! messages are those of the users' platform: [`HttpPlatform`] carries the calls, the folder
//! `platform/` writes and reads them.
//! The key-value service handles several hundred writes and about two thousand reads a second and
//! has outages (brief, "What the platform gives"), so every call has a deadline, and every failed
//! write says whether it may have taken effect.

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
    /// The value; empty for a deleted key in a watch's answer.
    pub value: String,
    /// The service's counter at the last write of this key.
    pub version: u64,
}

/// What a write expects of the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// Nothing is expected.
    Any,
    /// The key must be at this version.
    Version(u64),
}

/// A key-value service with compare-and-swap, leases and watches.
pub trait KeyValue: Clone + Send + Sync + 'static {
    /// Reads one key.
    ///
    /// # Errors
    /// When the service does not answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Writes one key if `expect` holds, and returns the key's new version.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when `expect` does not hold; otherwise the error's verdict says
    /// whether the write may have taken effect.
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
    /// When the service does not answer.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Entry>, StoreError>> + Send;

    /// Waits until a key under `prefix` changes after `after_version`, at most `wait_ms`.
    ///
    /// Returns the changed entries; none means that the time ran out.
    ///
    /// # Errors
    /// When the service does not answer.
    fn watch(
        &self,
        prefix: &str,
        after_version: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Vec<Entry>, StoreError>> + Send;

    /// Opens a lease that lapses after `ttl_ms` without renewal.
    ///
    /// # Errors
    /// When the service does not answer.
    fn grant(&self, ttl_ms: u64) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when the lease has lapsed.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Ends a lease and deletes the keys that hang on it.
    ///
    /// # Errors
    /// When the service does not answer.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// The platform's lagging list of live and leaving instances.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the list as the platform knows it now.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>, StoreError>> + Send;
}

/// Why a call of the key-value service failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StoreError {
    /// the key is at version {current:?}, another was expected
    Conflict {
        /// The key's version, none when it is absent.
        current: Option<u64>,
    },
    /// the key-value service failed ({verdict}): {message}
    Unavailable {
        /// What was seen.
        message: String,
        /// Whether a write may have taken effect.
        verdict: Verdict,
    },
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Tells whether the write that failed may have taken effect.
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Conflict { .. } => Verdict::NotRun,
            Self::Unavailable { verdict, .. } => *verdict,
        }
    }
}
