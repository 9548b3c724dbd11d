//! The operators' configuration: its document, its checks, its differences and its revisions.
//!
//! An operator writes one TOML document. [`Document::parse`] reads it and reports every fault
//! with its line and field; a document with a fault is never stored. Each accepted document is a
//! revision. [`Head`] is the one small value in the platform's service that says which revision
//! is in force; bodies are stored under their digest beside it, so that a writer that dies
//! between the two writes leaves nothing that blocks the next one.

mod check;
mod diff;
mod document;
mod follower;
mod place;
mod revision;

pub use check::{Fault, Faults};
pub use diff::{Change, diff, merge};
pub use document::{
    Call, CallClass, DataCentre, Document, Limits, Model, PlainService, Trainer, Workers, Workspace,
};
pub use follower::{Follower, FollowerEffect, FollowerEvent, ObservedHead, PEERS_ASKED};
pub use revision::{Accepted, Digest, HEAD_KEY, Head, body_key};
