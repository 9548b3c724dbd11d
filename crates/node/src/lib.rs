//! The node process that runs on an entry instance.
//!
//! [`Node::spawn`] takes checked [`Settings`] and returns a handle of the running node:
//!
//! - `control` is a single thread that owns the state machines of membership, configuration, leases
//!   and the steps of the trainers that this node owns. It receives inputs over a channel, passes
//!   them to the state machines, and publishes an immutable snapshot, which the traffic threads
//!   (the async runtime) read without a lock.
//! - `edge` holds the tasks that perform the network calls requested by the state machines. They
//!   run on the traffic threads and report back over the same channel.
//! - `api` is the HTTP interface. It reads the snapshot and decides with `catkinmast-route`; it
//!   does not wait for the key-value service to serve a call.

mod api;
mod auth;
mod clock;
mod control;
mod edge;
mod log_setup;
mod metrics;
mod node;
mod settings;
mod shared;
mod snapshot;

pub use auth::{Identity, Role, Token};
pub use log_setup::{LogSetupError, start_log};
pub use node::{DrainReport, Node, NodeError};
pub use settings::{Arguments, SettingFault, SettingFaults, Settings};
