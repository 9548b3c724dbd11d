//! The programs on the users' platform, as separate processes, with stand-ins of everything else.
//!
//! The stand-ins run in the test's process: the store and the workers that [`store`] and
//! [`worker`] describe. Waits poll until a condition holds; their limit only guards against a hang.

pub(crate) mod harness;
pub(crate) mod provider;
pub(crate) mod proxy;
pub(crate) mod store;
pub(crate) mod web;
pub(crate) mod worker;

mod bad_input;
mod batches;
mod configuration;
mod crashes;
mod duties;
mod orders;
mod requests;
mod soak;
mod soak_keys;
mod standby;
mod starts;
mod stops;
mod workspaces;
