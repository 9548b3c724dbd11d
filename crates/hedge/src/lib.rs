//! Decides when a second attempt of a request is sent to another target while the first still runs
//! (a hedged request), and when an attempt is given up.
//!
//! A target may hang, or its answer may be lost. Without these decisions the caller then waits
//! until its own deadline, which is many times the usual latency.
//!
//! - [`Hedging`]: the latencies of each route at this node, the delays that follow from them, and
//!   the budget of hedges.
//!
//! It owns no socket, clock, thread or random source.

mod hedging;
mod latencies;

pub use hedging::{HedgePermit, Hedging};
