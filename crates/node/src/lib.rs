//! An entry instance's process.
//!
//! [`Node::spawn`] takes checked [`Settings`] and returns a running handle. Inside, one control
//! thread owns every aggregate that decides (`control`): membership, configuration, leases, and
//! the steps of the trainers that this node owns. It takes inputs from a channel, asks the
//! aggregates, and publishes an immutable snapshot that the traffic threads read
//! without a lock. What the aggregates want done outside (`edge`) is carried out by tasks on the
//! traffic threads, which report back over the same channel. The HTTP interface (`api`) reads the
//! snapshot, decides with `catkinmast-route`, and never waits for the key-value service.

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
