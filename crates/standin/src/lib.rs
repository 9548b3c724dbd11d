//! Stand-ins for the external systems that catkinmast depends on, for tests and local runs.
//!
//! Each one is a server on loopback that speaks the protocol of the real system, can reproduce
//! its faults, and records what it did. `catkinmast-local` and the tests compare these records
//! with what callers and trainers received, and do not rely on the nodes' own counters.

mod command;
mod engine;
mod forwarder;
mod platform;
mod service;
mod web;

pub use command::main;
pub use engine::{Engine, EngineSettings, RunRecord, expected_token};
pub use forwarder::Forwarder;
pub use platform::{Platform, PlatformFaults, PlatformSettings};
pub use service::{CallRecord, PlainService, ServiceSettings, answer_of};
pub use web::{StandinError, WebServer};
