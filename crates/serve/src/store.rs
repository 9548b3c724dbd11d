//! The platform's store: typed calls, directly or by way of a peer.
//!
//! The store may turn this machine away while it serves the others. Then a peer makes the call:
//! one hop, never further. A call that may have been done is reported so; whoever makes it must
//! be able to tell afterwards whether it was.

use catkinmast_model::Verdict;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// A lease of the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseId(pub u64);

/// What a transaction expects of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Expectation {
    /// The key.
    pub key: String,
    /// The revision of its last change; 0: it does not exist.
    pub revision: u64,
}

/// A value to write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The lease on which it hangs.
    pub lease: Option<LeaseId>,
    /// The value.
    pub value: Vec<u8>,
}

/// One call of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
        /// Whether an answer that is seconds old will do; it costs a tenth.
        may_be_old: bool,
    },
    /// Ends a lease.
    LeaseEnd {
        /// The lease.
        lease: LeaseId,
    },
    /// Opens a lease.
    LeaseOpen {
        /// How long it lasts without renewal.
        ttl_ms: u64,
    },
    /// Renews a lease.
    LeaseRenew {
        /// The lease.
        lease: LeaseId,
    },
    /// Reads the keys under a prefix, a page at a time.
    Range {
        /// The key after which the page begins; empty for the first.
        after: String,
        /// Whether an answer that is seconds old will do; it costs a tenth.
        may_be_old: bool,
        /// The prefix.
        prefix: String,
    },
    /// Changes keys, all or none.
    Transaction {
        /// Keys to delete.
        deletes: Vec<String>,
        /// What must hold.
        expected: Vec<Expectation>,
        /// Keys to write.
        puts: Vec<Put>,
    },
    /// Waits for changes under a prefix.
    Watch {
        /// The revision after which changes are wanted.
        after: u64,
        /// The prefix.
        prefix: String,
        /// How long to wait.
        wait_ms: u64,
    },
}

impl StoreCall {
    /// A short name for counters.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Get { may_be_old: true, .. } => "get_old",
            Self::Get { .. } => "get",
            Self::LeaseEnd { .. } | Self::LeaseOpen { .. } => "lease",
            Self::LeaseRenew { .. } => "renew",
            Self::Range { may_be_old: true, .. } => "range_old",
            Self::Range { .. } => "range",
            Self::Transaction { .. } => "write",
            Self::Watch { .. } => "watch",
        }
    }
}

/// A key as it stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredItem {
    /// The key.
    pub key: String,
    /// The lease with which it lapses.
    pub lease: Option<LeaseId>,
    /// The revision of its last change; 0 where it does not exist.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A change of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreEvent {
    /// It was removed.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: u64,
    },
    /// It was written.
    Written(StoredItem),
}

/// What the store answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreAnswer {
    /// A transaction was done.
    Committed {
        /// Its revision.
        revision: u64,
    },
    /// A transaction's expectations do not hold.
    Conflict {
        /// The expected keys as they stand.
        items: Vec<StoredItem>,
    },
    /// Changes.
    Events {
        /// The revision up to which they are complete.
        as_of: u64,
        /// The changes, in order.
        events: Vec<StoreEvent>,
    },
    /// The history after the wanted revision is no longer there.
    HistoryLost,
    /// One key, or none.
    Item(Option<StoredItem>),
    /// A page of keys.
    Items {
        /// The store's revision.
        as_of: u64,
        /// The keys.
        items: Vec<StoredItem>,
        /// Whether there are more.
        truncated: bool,
    },
    /// A lease was opened or renewed.
    Lease {
        /// The lease; none in the answer to a renewal.
        lease: Option<LeaseId>,
        /// How long it lasts.
        ttl_ms: u64,
    },
    /// A lease was ended.
    LeaseEnded,
    /// The lease is not there.
    NoLease,
}

/// the store refused ({verdict}): {message}
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub struct StoreRefusal {
    /// What was seen.
    pub message: String,
    /// Whether the call may have been done.
    pub verdict: Verdict,
}

impl std::error::Error for StoreRefusal {}
