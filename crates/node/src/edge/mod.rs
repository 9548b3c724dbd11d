//! What touches the outside: peers, engines, scorers, the key-value service.
//!
//! The functions here run on the traffic threads. They carry out what the control thread decided
//! and report back to it; they decide nothing about who owns or may do what.

pub(crate) mod calls;
pub(crate) mod content;
pub(crate) mod holdings;
pub(crate) mod owner_tasks;
pub(crate) mod peer;
pub(crate) mod publish;
pub(crate) mod runner;
pub(crate) mod store;
