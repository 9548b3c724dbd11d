//! The messages between nodes: calls, answers and datagrams.
//!
//! They are encoded with postcard: the order of variants and fields is the format.

use crate::batches::{BatchCopy, Origin, Scope};
use crate::feed::Subject;
use crate::store::{StoreAnswer, StoreCall, StoreRefusal, StoredItem};
use catkinmast_dispatch::{ItemFailures, ItemResult, Submission, TextUpdate, UnlistedWork};
use catkinmast_fairness::Half;
use catkinmast_feed::{Changes, HashSpan};
use catkinmast_health::TargetHint;
use catkinmast_member::Message;
use catkinmast_model::{Incarnation, Name, UnixMs};
use catkinmast_usage::{UsageSource, WindowCounts};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A call between nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerCall {
    /// Hands a batch over to the receiver, which is its owner in the store already.
    Adopt { batch: String, work: UnlistedWork },
    /// Asks for the changes of a feed after a revision.
    Changes { after: u64, subject: Subject },
    /// Ends a batch that the receiver owns.
    End { batch: String, scope: Scope },
    /// Sends a copy of a batch to the receiver, which takes the batch over if its owner dies.
    KeepCopy { batch: String, copy: Box<BatchCopy> },
    /// Sends the new generated output of a batch of which the receiver has a copy, and all failures of
    /// its items.
    KeepOutputs { batch: String, failures: Vec<(String, ItemFailures)>, texts: Vec<TextUpdate> },
    /// Reads the body of an item of a batch that the receiver owns.
    ItemBody { batch: String, item: String, scope: Scope },
    /// Reads results of a batch that the receiver owns.
    Read { after: usize, batch: String, scope: Scope, wait_ms: u64 },
    /// Reports the sender's counts of the requests of workspaces.
    Usage { window_counts: Vec<WindowCounts>, source: UsageSource },
    /// Calls the store for a node that cannot reach it.
    Store(StoreCall),
    /// Forwards a submission to the owner of its model's batches.
    Submit { batch: String, origin: Origin, submission: Box<Submission> },
    /// Asks for the page of a feed's keys that begins after a key; an empty one for the first page.
    Keys { after: String, subject: Subject },
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerAnswer {
    /// The call was accepted: a submission is durable, a copy or counts are kept.
    Accepted,
    /// The receiver takes the batch over.
    Adopting,
    /// The body of an item.
    Body(Vec<u8>),
    /// Changes of a feed.
    Changes(Changes),
    /// The batch is ended, and that is durable.
    Ended,
    /// There is no such batch, the caller may not see it, or a submission's id is taken.
    NoBatch,
    /// There is no such item.
    NoItem,
    /// The receiver does not own the batch.
    NotOwner,
    /// A page of results.
    Page { results: Vec<ItemResult>, total: usize },
    /// The store's answer.
    Store(Result<StoreAnswer, StoreRefusal>),
    /// The receiver cannot serve the call now, or lacks the changes or the copy that it is about.
    Unavailable,
    /// A page of a feed's keys, and how long ago the sender's view was last confirmed as complete.
    Keys { as_of: u64, confirmed_ms_ago: u64, items: Vec<StoredItem>, truncated: bool },
    /// A submission was not confirmed as stored; the verdict says whether it may have been stored.
    Unconfirmed(StoreRefusal),
}

/// A datagram between nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Datagram {
    /// A batch was ended, and that is durable.
    BatchEnded { batch: String },
    /// The owner of a batch is dead; the receiver is to take the batch over.
    BatchOrphaned { batch: String, owner: Owner },
    /// A batch has a new owner.
    BatchOwned { batch: String, model: Option<String>, owner: Owner, work_tokens: u64, items: u64 },
    /// Changes of a feed.
    Changes { changes: Changes, subject: Subject },
    /// A membership message, with the sender's wall-clock time.
    Member { message: Message, wall: UnixMs },
    /// The store answers again after an outage.
    StoreReturned,
    /// The incarnation of a target that started at `started_at_unix_ms` loads weights for about
    /// `for_ms` from now on.
    TargetLoading { started_at_unix_ms: Option<u64>, for_ms: u64, target: String },
    /// Changes of a feed that the node at `origin` has read, to be passed on within `span`.
    RelayedChanges { changes: Changes, origin: SocketAddr, span: HashSpan, subject: Subject },
    /// What nodes have observed of targets.
    TargetHints { hints: Vec<TargetHint> },
    /// One half of the sender's sums of the requests of workspaces.
    WorkspaceLoad(Half),
}

/// An incarnation of a node, as the owner of batches or a candidate for a duty.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct Owner {
    /// Where the node takes calls and datagrams of its peers.
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub node: Name,
}
