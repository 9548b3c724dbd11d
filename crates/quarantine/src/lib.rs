//! Quarantine of requests that crash the targets which run them.
//!
//! - [`Fingerprint`]: a digest of a request's content, the same under any request id and at any
//!   node.
//! - [`RequestSource`]: whether a caller waits for a request, or it belongs to a batch, whose
//!   requests are exempt.
//! - [`TargetIncarnation`]: one run of a target's process, so that each crash counts once.
//! - [`InterruptedRequests`]: requests whose connection broke, until it is known whether the target
//!   ended.
//! - [`Evidence`]: the target incarnations that ended while a request was in flight, merged from
//!   the observations of all nodes.
//! - [`Quarantine`]: decides which requests may be sent to a target.
//!
//! This crate does no I/O and reads no clock. Times are wall-clock times because nodes share the
//! evidence. Intervals compared between nodes are minutes, so clock differences of seconds do no
//! harm; the one shorter interval, `OUTCOME_WAIT_MS`, is measured within one node.

mod evidence;
mod fingerprint;
mod incarnation;
mod interrupted;
mod quarantine;
mod source;

pub use evidence::Evidence;
pub use fingerprint::Fingerprint;
pub use incarnation::TargetIncarnation;
pub use interrupted::{InterruptedRequests, TargetOutcome};
pub use quarantine::{BLOCK_THRESHOLD, Quarantine, RequestStatus};
pub use source::RequestSource;
