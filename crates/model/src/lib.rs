//! Basic types that all other crates share.
//!
//! These are names, labels, selectors, weight versions, verdicts and points in time. This is the
//! lowest layer, so two crates can exchange a sample or a verdict without depending on each other.
//! It owns no socket, thread or random source, and reads a clock only in
//! [`UnixMs::from_wall_clock`].

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
