//! End-to-end tests with nodes, targets and the platform stand-in as separate processes.

mod bad_requests;
mod broken_network;
mod calls;
mod configuration;
mod graceful_stop;
mod rollouts;
