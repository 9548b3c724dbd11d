//! The operators' configuration: documents, their validation, differences and revisions.
//!
//! An operator writes one TOML document. [`Document::parse`] reads it and reports a syntax or type
//! error, or else every fault, with its line and field; a document with a fault is never stored.
//! Each accepted document is a revision. [`Head`] is the small value in the platform's key-value
//! service that names the revision in force. Documents are stored beside it under their digest, so
//! a writer that dies between the two writes leaves nothing that blocks the next one.

mod check;
mod diff;
mod document;
mod follower;
mod revision;
mod source_map;

pub use check::{Fault, Faults};
pub use diff::{Change, diff, merge};
pub use document::{
    Call, CallClass, DataCentre, Document, Limits, Model, PlainService, Trainer, Workers, Workspace,
};
pub use follower::{Follower, FollowerEffect, FollowerEvent, ObservedHead, PEERS_ASKED};
pub use revision::{Accepted, Digest, HEAD_KEY, Head, body_key};
