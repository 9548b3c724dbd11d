//! How many targets a service has in each data centre, and of which kind.
//!
//! [`Scaling`] is one service's. It is told which targets serve and what became of its orders, and says
//! what to order. It answers the loss of targets while trainers wait: taken back by the provider, gone
//! for good, or drained without another in their place.
//!
//! It owns no socket, clock or thread.

use serde::{Deserialize, Serialize};

mod config;
mod plan;

pub use config::{ScalingConfig, ScalingError};
pub use plan::{DesiredCounts, OrderOutcome, Scaling};

/// A kind of target in a data centre; each is ordered by itself.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Pool {
    /// The data centre.
    pub data_centre: String,
    /// Whether the provider may take its targets back, all of a data centre at once.
    pub reclaimable: bool,
}

/// How many targets a pool is to have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetOrder {
    /// The number.
    pub count: u32,
    /// The pool.
    pub pool: Pool,
}
