//! How much of the service each workspace uses, by windows of true time.
//!
//! - [`FleetClock`]: the time of day as most clocks of the fleet have it.
//! - [`Windows`]: the windows into which it is divided.
//! - [`UsageCounts`]: what this node's own requests add to the windows.
//! - [`Ledger`]: what all nodes have told of theirs, and when a window can be closed.
//!
//! Nothing here owns a socket or a clock.

mod clock;
mod counts;
mod ledger;
mod window;

pub use clock::FleetClock;
pub use counts::{OpenRequestId, UsageCounts};
pub use ledger::{Ledger, UsageSource, WindowCounts};
pub use window::{Window, Windows};
