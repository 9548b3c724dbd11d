//! Small stand-ins for the systems that catkinmast meets.
//!
//! Each is a server on loopback with the protocol that the real system would be met through, the
//! faults that the brief names, and a record of what it did. `catkinmast-local` and the tests
//! compare those records with what callers and trainers received; a node's own counters are never
//! asked whether a promise held.

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
