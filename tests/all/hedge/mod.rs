//! Hedged requests and attempt limits, without a network.

mod delays;
mod load;

use catkinmast_hedge::Hedging;
use catkinmast_model::UnixMs;

/// Name of the only route of most tests.
const ROUTE: &str = "lookups";
/// Latency goal of the route.
const GOAL_MS: u64 = 150;
/// When most tests begin.
const START: UnixMs = UnixMs(1_000_000);

/// Returns decisions that have seen answers with these latencies at [`START`].
fn hedging_after(latencies_ms: impl IntoIterator<Item = u64>) -> Hedging {
    let mut hedging = Hedging::default();
    for latency_ms in latencies_ms {
        hedging.answered(START, ROUTE, latency_ms);
    }
    hedging
}

/// Returns the delay of a hedge of an attempt that is sent at `now`.
fn delay_ms(hedging: &Hedging, now: UnixMs, goal_ms: u64) -> Option<u64> {
    hedging.hedge_at(now, ROUTE, now, goal_ms).map(|at| at.since_ms(now))
}

/// Returns the limit of an attempt that is sent at `now` and whose caller waits for a minute.
fn limit_ms(hedging: &Hedging, now: UnixMs, goal_ms: u64) -> Option<u64> {
    let deadline_at = now.plus(60_000);
    hedging.give_up_at(now, ROUTE, now, deadline_at, goal_ms).map(|at| at.since_ms(now))
}
