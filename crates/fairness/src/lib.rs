//! Decides which workspaces' requests a node rejects while the targets cannot serve all requests.
//!
//! A workspace that sends ten times its share can spread its calls over all nodes, so that no node
//! sees more than a few of them. Nodes therefore share how many requests of each workspace they
//! were offered and have served, by push-sum gossip (Kempe, Dobra and Gehrke, 2003), and each
//! computes the same max-min shares from the means over all nodes.
//!
//! - [`FairShares`]: the counts of this node, the means over all nodes, and the decision to admit.
//! - [`Half`]: the message by which nodes share their counts; [`BadHalf`] says why one is dropped.
//! - [`max_min_level`]: the level of max-min shares.
//!
//! Nothing here owns a socket, a clock or a random source.

mod contention;
mod epoch;
mod half;
mod level;
mod means;
mod own;
mod shares;

pub use half::{BadHalf, ENTRIES_MAX, Entry, Half, Load, WIRE_MAX_BYTES, WORKSPACE_MAX_BYTES};
pub use level::{Demand, max_min_level};
pub use shares::{FairShares, OverShare};

/// Number of workspaces kept; those with the fewest requests are dropped first. A deployment has
/// 86, and at 512 the state of a node stays under 100 KB.
pub const WORKSPACES_MAX: usize = 512;
