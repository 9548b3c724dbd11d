//! The monotonic clock behind all decisions but the windows of usage, which follow wall clocks.
//!
//! A lease holder stops by its own clock. So that clock must include the time during which the
//! whole instance was suspended, and must never go back. `CLOCK_BOOTTIME` does both.

use catkinmast_model::UnixMs;
use rustix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the instance booted, suspended time included. It is no Unix time,
/// although it has the type of one.
pub(crate) fn now() -> UnixMs {
    let time = clock_gettime(ClockId::Boottime);
    UnixMs(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
