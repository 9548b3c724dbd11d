//! Requests that end the targets that run them.
//!
//! - [`Fingerprint`]: what a request asks, known again under another id and at another node.
//! - [`TargetIncarnation`]: one start of a target, so that its end counts once.
//! - [`InterruptedRequests`]: requests whose connection broke, until it is known whether their target ended.
//! - [`Evidence`]: the targets that ended under a request, joined from what all nodes saw.
//! - [`Quarantine`]: which requests are sent to no more targets.
//!
//! Nothing here owns a socket, a clock or a thread. Times are of wall clocks, because evidence is shared
//! between nodes; they count in minutes, so that clocks which differ by seconds do no harm.

mod evidence;
mod fingerprint;
mod incarnation;
mod interrupted;
mod quarantine;

pub use evidence::Evidence;
pub use fingerprint::Fingerprint;
pub use incarnation::TargetIncarnation;
pub use interrupted::{InterruptedRequests, TargetOutcome};
pub use quarantine::{BLOCK_THRESHOLD, Quarantine, RequestStatus};
