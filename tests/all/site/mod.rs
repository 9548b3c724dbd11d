//! End-to-end tests of the programs for the users' platform.
//!
//! The programs run as separate processes. Stand-ins for everything else run in the test's process:
//! the store ([`store`]), the workers ([`worker`]) and the provider of instances ([`provider`]).
//! Waits poll until a condition holds; their time limit only guards against a hang.

pub(crate) mod harness;
pub(crate) mod provider;
pub(crate) mod proxy;
pub(crate) mod store;
pub(crate) mod web;
pub(crate) mod worker;

mod admission;
mod bad_input;
mod batches;
mod capacity;
mod configuration;
mod crashes;
mod duties;
mod endless;
mod evacuation;
mod failing_items;
mod fairness;
mod health;
mod hedges;
mod held_requests;
mod interrupted_items;
mod invalid_statuses;
mod orders;
mod refusals;
mod registry;
mod repeated_answers;
mod requests;
mod soak;
mod soak_keys;
mod standby;
mod starts;
mod stops;
mod trials;
mod workspaces;
