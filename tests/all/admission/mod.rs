//! Admission decisions: the window, the queue and the gate, without a network.

mod gate;
mod load;
mod queue;

mod simulation;

use catkinmast_admission::{Arrival, Decision, Gate, ServedRecord};
use catkinmast_model::UnixMs;

/// A draw that leaves the expected time of a `Retry-After` as it is.
const MIDDLE_DRAW: u64 = u64::MAX / 2;

/// Returns a request that arrives at `now_ms` with a goal of 150 ms and a deadline of 2 s.
fn arrival(now_ms: u64) -> Arrival<'static> {
    Arrival {
        arrived_at: UnixMs(now_ms),
        deadline_at: UnixMs(now_ms + 2_000),
        goal_ms: 150,
        is_retry: false,
        priority: 0,
        route: "lookups",
        workspace: None,
    }
}

/// Lets a request arrive at a gate whose workspaces were not served before.
fn arrive(gate: &mut Gate, now_ms: u64) -> Decision {
    gate.arrive(UnixMs(now_ms), arrival(now_ms), &ServedRecord::default(), MIDDLE_DRAW)
}
