//! Network calls between this node and other nodes, engines, scorers and the key-value service.
//!
//! The functions here run on the traffic threads. They perform what the control thread has decided
//! and report back to it; they make no decisions about ownership or permissions.

pub(crate) mod calls;
pub(crate) mod content;
pub(crate) mod holdings;
pub(crate) mod owner_tasks;
pub(crate) mod peer;
pub(crate) mod publish;
pub(crate) mod runner;
pub(crate) mod store;
