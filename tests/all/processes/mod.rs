//! Promises of the brief, proved with separate processes.

mod calls;
mod configuration;
mod graceful_stop;
mod rollouts;
