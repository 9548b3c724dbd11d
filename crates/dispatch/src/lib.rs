//! Dispatch decisions between callers and targets, without I/O.
//!
//! The types here are plain state machines: the code that uses them reports what happened and when,
//! and they return what to do. They own no socket, clock, thread or random source, so that tests
//! can drive each decision.
//!
//! - [`Document`]: the operators' routes and services, and the route of a request.
//! - [`TargetTable`]: which targets may receive work, as listed by a registry that lags and has
//!   outages.
//! - [`RegistryOutage`]: whether the registry was away, or only this node's way to it.
//! - [`LoadBalancer`]: the load of each target as observed from this process's own calls, and the
//!   choice among targets.
//! - [`Batch`]: a batch submission, its items, and the results at their fixed positions.
//! - [`Freshness`]: how old a node's view of the store is, and when it must read the store itself.
//! - [`RunTimeEstimator`]: how long items run.
//! - [`Lookahead`]: which weights a later batch of the same items will accept.
//! - [`WeightRollout`]: which target loads which weight version, and when.
//! - [`Demand`]: how many targets each model gets.
//! - [`EventReader`]: a parser for token streams.
//! - [`SentTexts`] and [`CopiedTexts`]: incremental copies of partial texts.

mod batch;
mod copies;
mod document;
mod freshness;
mod load;
mod lookahead;
mod outage;
mod rollout;
mod run_time;
mod shares;
mod stream;
mod submission;
mod targets;
mod unlisted;

pub use batch::{Batch, BatchPolicy, Chunk, Merge, NextItem, group_of};
pub use copies::{CopiedTexts, SentTexts, TextUpdate};
pub use document::{
    Document, EngineConfig, Limits, Route, RouteKind, ServiceConfig, WeightedService,
};
pub use freshness::{ChangeBound, ConfirmationSource, Freshness, WATCHERS};
pub use load::{CallOutcome, CallPreference, Candidate, LoadBalancer, LoadBalancerSettings};
pub use lookahead::Lookahead;
pub use outage::RegistryOutage;
pub use rollout::{LoadOrder, LoadOutcome, RolloutSettings, RolloutTarget, WeightRollout};
pub use run_time::RunTimeEstimator;
pub use shares::{Demand, interleave};
pub use stream::{EVENT_MAX_BYTES, EventReader, EventScanner, StreamEvent};
pub use submission::{
    Item, ItemResult, ItemState, Progress, ProgressMark, RewardRequest, Submission,
};
pub use targets::{TargetChange, TargetEntry, TargetTable};
pub use unlisted::{ItemFailures, UnlistedWork};
