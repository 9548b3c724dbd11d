//! Decides where no work may go for a while: data centres that operators evacuate, and targets that
//! have just started and bear few requests.
//!
//! - [`Evacuations`]: which data centres are evacuated.
//! - [`ColdTargets`]: which targets are cold, and how many requests this node may still send there.
//! - [`SenderRing`]: which nodes may send to a cold target, and each one's share of its limit.
//!
//! It owns no socket, clock or thread.

mod cold;
mod evacuation;
mod senders;

pub use cold::{ColdConfig, ColdTargets};
pub use evacuation::Evacuations;
pub use senders::{ColdShare, SenderRing};
