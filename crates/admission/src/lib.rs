//! Decides which requests a node sends to a service now, queues, or rejects.
//!
//! Targets do not publish their load. What all nodes can see alike is the latency of the answers and
//! the refusals, so each node limits by itself how many requests it has in flight at a service.
//!
//! - [`Gate`]: the decisions for one service at one node.
//! - [`WaitQueue`]: the requests beyond the limit, in the order in which they are sent.
//! - [`ServedRecord`]: how much each workspace was served recently, the default [`RecentService`].
//!
//! It owns no socket, clock, thread or random source.

mod gate;
mod latency;
mod queue;
mod served;
mod window;

pub use gate::{Arrival, Decision, Gate, Outcome, Turn};
pub use queue::{QUEUE_MAX, WaitQueue, Waiter, WaiterId};
pub use served::{RecentService, ServedRecord};
