//! The vocabulary that every other crate shares.
//!
//! Names, labels, selectors, weight versions, verdicts and points in time live here, and nothing
//! else does: this crate owns no socket, clock, thread or random source. It is the lowest layer,
//! so any two crates can speak of a sample or a verdict without depending on each other.

mod ids;
mod instance;
mod labels;
mod selector;
mod time;
mod verdict;
mod version;

pub use ids::{Fence, Incarnation, Name, NameError, Revision, SampleId};
pub use instance::{Instance, InstanceKind, InstanceState};
pub use labels::Labels;
pub use selector::{Selector, SelectorError};
pub use time::UnixMs;
pub use verdict::{Refusal, Verdict};
pub use version::{Segment, Segments, Version};
