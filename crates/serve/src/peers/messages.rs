//! What nodes say to each other.

use crate::batches::{BatchCopy, Origin, Scope};
use crate::feed::{Changes, Subject};
use crate::store::{StoreAnswer, StoreCall, StoreRefusal};
use catkinmast_dispatch::{ItemResult, Progress, Submission, TextUpdate};
use catkinmast_member::Message;
use catkinmast_model::{Incarnation, Name, UnixMs};
use catkinmast_usage::{UsageSource, WindowCounts};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A call between nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerCall {
    /// Gives a batch to the receiver, which the store names as its owner already.
    Adopt { batch: String, texts: Vec<(String, Progress)> },
    /// Asks for the changes of a feed that came after a revision.
    Changes { after: u64, subject: Subject },
    /// Ends a batch that the receiver owns.
    End { batch: String, scope: Scope },
    /// Keeps a copy of a batch for its owner, whom the receiver would follow.
    KeepCopy { batch: String, copy: Box<BatchCopy> },
    /// Keeps what is new of the texts of a batch of which the receiver has a copy.
    KeepOutputs { batch: String, texts: Vec<TextUpdate> },
    /// Reads the body of an item of a batch that the receiver owns.
    ItemBody { batch: String, item: String, scope: Scope },
    /// Reads results of a batch that the receiver owns.
    Read { after: usize, batch: String, scope: Scope, wait_ms: u64 },
    /// Tells what the sender has counted of the requests of workspaces.
    Usage { tables: Vec<WindowCounts>, teller: UsageSource },
    /// Makes a call of the store for a node that the store turns away.
    Store(StoreCall),
    /// Hands a submission to the owner of its model's batches.
    Submit { batch: String, origin: Origin, submission: Box<Submission> },
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerAnswer {
    /// The batch is kept.
    Accepted,
    /// The receiver takes the batch.
    Adopting,
    /// The body of an item.
    Body(Vec<u8>),
    /// Changes of a feed.
    Changes(Changes),
    /// The batch is ended, and that is durable.
    Ended,
    /// No batch that the caller may see.
    NoBatch,
    /// No such item.
    NoItem,
    /// The receiver does not own the batch.
    NotOwner,
    /// Results.
    Page { results: Vec<ItemResult>, total: usize },
    /// What the store answered.
    Store(Result<StoreAnswer, StoreRefusal>),
    /// The receiver could not do it now.
    Unavailable,
}

/// A datagram between nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Datagram {
    /// A batch was ended, and that is durable.
    BatchEnded { batch: String },
    /// A batch's owner is dead, and the batch falls to the receiver.
    BatchOrphaned { batch: String, owner: Owner },
    /// A batch has a new owner.
    BatchOwned { batch: String, model: Option<String>, owner: Owner, work_tokens: u64 },
    /// Changes of a feed.
    Changes { changes: Changes, subject: Subject },
    /// Membership, and what the sender's clock shows.
    Member { message: Message, wall: UnixMs },
    /// The store answers again after an outage.
    StoreReturned,
    /// A target, in the life that began then, loads weights from now on, for about so long.
    TargetLoads { started_at_unix_ms: Option<u64>, for_ms: u64, target: String },
}

/// A life of a node.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct Owner {
    /// Where it is reached.
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub node: Name,
}
