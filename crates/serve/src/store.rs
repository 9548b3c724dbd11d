//! Typed calls of the platform's store, and their answers.
//!
//! The store may refuse this instance while it serves the others. Then a peer makes the call on its
//! behalf; a peer never forwards it further. A call that may have been carried out is reported as
//! such, and the code that makes the call must be able to find out whether it was.

pub use catkinmast_feed::{LeaseId, StoreEvent, StoredItem};

use catkinmast_model::Verdict;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// A condition of a transaction on a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Expectation {
    /// The key.
    pub key: String,
    /// The revision of its last change; 0 if it must not exist.
    pub revision: u64,
}

/// A value to write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The lease that the key is bound to; none if it does not expire.
    pub lease: Option<LeaseId>,
    /// The value.
    pub value: Vec<u8>,
}

/// A call of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
        /// Whether an answer that is seconds old will do; it costs a tenth of a current one.
        may_be_old: bool,
    },
    /// Ends a lease.
    LeaseEnd {
        /// The lease.
        lease: LeaseId,
    },
    /// Opens a lease.
    LeaseOpen {
        /// How long the lease lasts without renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    LeaseRenew {
        /// The lease.
        lease: LeaseId,
    },
    /// Reads one page of the keys under a prefix.
    Range {
        /// The key after which the page begins; empty for the first page.
        after: String,
        /// Whether an answer that is seconds old will do; it costs a tenth of a current one.
        may_be_old: bool,
        /// The prefix.
        prefix: String,
    },
    /// Changes keys atomically, if all expectations hold.
    Transaction {
        /// Keys to delete.
        deletes: Vec<String>,
        /// The conditions that must hold.
        expected: Vec<Expectation>,
        /// Keys to write.
        puts: Vec<Put>,
    },
    /// Waits for changes under a prefix.
    Watch {
        /// The revision after which changes are reported.
        after: u64,
        /// The prefix.
        prefix: String,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

impl StoreCall {
    /// Returns the kind of the call, as a label in metrics and the audit trail.
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

/// An answer of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreAnswer {
    /// A transaction was committed.
    Committed {
        /// Its revision.
        revision: u64,
    },
    /// An expectation of a transaction does not hold.
    Conflict {
        /// The current state of the expected keys.
        items: Vec<StoredItem>,
    },
    /// The changes of a watch.
    Events {
        /// The revision up to which the changes are complete.
        as_of: u64,
        /// The changes, in order.
        events: Vec<StoreEvent>,
    },
    /// The store no longer has the history after the requested revision.
    HistoryLost,
    /// One key, or none if it does not exist.
    Item(Option<StoredItem>),
    /// A page of keys.
    Items {
        /// The store's revision at the time of the read.
        as_of: u64,
        /// The keys.
        items: Vec<StoredItem>,
        /// Whether more keys follow.
        truncated: bool,
    },
    /// A lease was opened or renewed.
    Lease {
        /// The lease; none in the answer to a renewal.
        lease: Option<LeaseId>,
        /// How long the lease lasts, in milliseconds.
        ttl_ms: u64,
    },
    /// A lease was ended.
    LeaseEnded,
    /// The lease does not exist.
    NoLease,
}

/// the store refused ({verdict}): {message}
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub struct StoreRefusal {
    /// What failed.
    pub message: String,
    /// Whether the call may have been carried out.
    pub verdict: Verdict,
}

impl std::error::Error for StoreRefusal {}

impl StoreRefusal {
    /// Returns the refusal of a call that was refused as `earlier` says before it was made again.
    pub(crate) fn after(self, earlier: &Self) -> Self {
        let message = format!(
            "{} ({}); {} ({})",
            earlier.message, earlier.verdict, self.message, self.verdict
        );
        Self { message, verdict: earlier.verdict.combined_with(self.verdict) }
    }

    /// Like [`after`](Self::after), if there was an earlier refusal.
    pub(crate) fn after_any(self, earlier: Option<&Self>) -> Self {
        match earlier {
            Some(earlier) => self.after(earlier),
            None => self,
        }
    }
}
