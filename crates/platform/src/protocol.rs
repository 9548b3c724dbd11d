//! The messages of the key-value service, as its adapter and the stand-in write them.

use serde::{Deserialize, Serialize};

/// A key and its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; empty for a deleted key in a watch's answer.
    pub value: String,
    /// The service's counter at the last write of this key.
    pub version: u64,
}

/// What a write expects of the key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// Nothing is expected.
    Any,
    /// The key must be at this version.
    Version(u64),
}

/// A lease of the service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Lease(pub u64);

/// One call of the service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum KvRequest {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Opens a lease.
    Grant {
        /// Time to live without renewal.
        ttl_ms: u64,
    },
    /// Reads all keys under a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Writes one key.
    Put {
        /// What the write expects.
        expect: Expect,
        /// The key.
        key: String,
        /// The lease on which the key hangs.
        lease: Option<Lease>,
        /// The value.
        value: String,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: Lease,
    },
    /// Ends a lease.
    Revoke {
        /// The lease.
        lease: Lease,
    },
    /// Waits for a change under a prefix.
    Watch {
        /// Only changes after this version count.
        after_version: u64,
        /// The prefix.
        prefix: String,
        /// How long to wait at most.
        wait_ms: u64,
    },
}

/// The service's answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "reply")]
pub enum KvReply {
    /// The expectation did not hold.
    Conflict {
        /// The key's version, none when it is absent.
        current: Option<u64>,
    },
    /// Done, nothing to say.
    Done,
    /// Entries read or changed.
    Entries {
        /// The entries, in the order of their keys.
        entries: Vec<Entry>,
    },
    /// A lease was opened.
    Granted {
        /// The lease.
        lease: Lease,
    },
    /// A key was written.
    Written {
        /// Its new version.
        version: u64,
    },
}
