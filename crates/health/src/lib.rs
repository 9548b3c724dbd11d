//! Decides which targets a node avoids without evidence of its own, and how fast each target is.
//!
//! A node makes about a fifth of a call a second to a service, so by its own calls it learns of a
//! dead target only when one of them fails. Nodes therefore report failures to each other. A
//! report is a prior and never a ban: an answer that is newer takes precedence, a node that reports
//! most of a service's targets needs a second observer, and when all targets are reported, any of
//! them is chosen.
//!
//! - [`HealthTable`]: what this node and others have observed, and the [`Advice`] that follows.
//! - [`TargetHint`]: an observation as it is sent to other nodes.
//!
//! It owns no socket, clock, thread or random source.

mod hint;
mod outbox;
mod reports;
mod slowdown;
mod table;

pub use hint::{DATAGRAM_OVERHEAD_BYTES, HintState, ObserverKey, TargetHint, TargetKey};
pub use outbox::Send;
pub use table::{Advice, HealthChange, HealthTable, Received};
