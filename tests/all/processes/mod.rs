//! Promises of the brief, proved with separate processes.

mod bad_requests;
mod broken_network;
mod calls;
mod configuration;
mod graceful_stop;
mod rollouts;
