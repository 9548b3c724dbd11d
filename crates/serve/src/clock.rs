//! The monotonic clock behind all decisions.
//!
//! A lease holder stops by its own clock. So that clock must include the time during which the
//! whole instance was suspended, and must never go back. `CLOCK_BOOTTIME` does both.

use catkinmast_model::UnixMs;
use rustix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the instance booted, suspended time included.
pub(crate) fn now() -> UnixMs {
    let time = clock_gettime(ClockId::Boottime);
    UnixMs(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
