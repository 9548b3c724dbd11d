//! Counts how much each workspace uses catkinmast, in windows of the fleet's time of day.
//!
//! - [`FleetClock`]: the time of day by the median of the fleet's clocks.
//! - [`Windows`]: the windows of time.
//! - [`UsageCounts`]: the requests of this node, by window and workspace.
//! - [`Ledger`]: the counts that all nodes have reported, and which nodes have not yet reported the
//!   final counts of a window.
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
