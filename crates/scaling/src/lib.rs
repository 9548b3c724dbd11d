//! Decides how many targets a service has in each data centre, and of which kind.
//!
//! [`Scaling`] handles one service. The code that uses it reports which targets serve and the
//! outcomes of orders, and it returns what to order. It replaces targets that are reclaimed by the
//! provider, fail for good, or are drained without a replacement, because trainers wait meanwhile.
//!
//! It owns no socket, clock or thread.

use serde::{Deserialize, Serialize};

mod config;
mod plan;

pub use config::{ScalingConfig, ScalingError};
pub use plan::{OrderOutcome, PoolCounts, Scaling};

/// A kind of target in a data centre. Each pool is ordered separately.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Pool {
    /// The data centre.
    pub data_centre: String,
    /// Whether the provider may reclaim its targets, possibly all of a data centre at once.
    pub reclaimable: bool,
}

/// An order to set the number of targets in a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetOrder {
    /// The number of targets.
    pub count: u32,
    /// The pool.
    pub pool: Pool,
}
