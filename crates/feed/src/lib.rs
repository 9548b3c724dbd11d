//! How the changes of the keys that others write to the store reach all nodes.
//!
//! A few nodes watch the store. What they see goes to all others over trees of bounded fan-out
//! ([`delegate`]), and a node that misses some of it pulls the changes, or the whole list of keys,
//! from any peer that has them ([`KeyTable`]). So the messages and bytes of a node depend on what
//! changes, and not on the number of nodes.
//!
//! It owns no socket, clock or thread.

mod fanout;
mod item;
mod message;
mod table;

pub use fanout::{Delegation, FANOUT, HashSpan, Recipient, delegate};
pub use item::{LeaseId, StoreEvent, StoredItem};
pub use message::{Changes, datagrams};
pub use table::{KeyPage, KeyTable};
