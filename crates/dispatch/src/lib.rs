//! The decisions of the path between callers and targets, without a network.
//!
//! Everything here is a plain aggregate: it is told what happened and when, and says what to do.
//! It owns no socket, clock, thread or random source, so that each decision is played in a test.
//!
//! - [`Document`]: the operators' routes and services, and which route a request takes.
//! - [`TargetTable`]: which targets may receive work, from a registry that lags and has outages.
//! - [`LoadBalancer`]: what this process sees of each target by its own calls, and the choice among them.
//! - [`WaitQueue`]: whose request is tried next while all targets refuse for load.
//! - [`Batch`]: a batch submission, its items, and the results in their fixed positions.
//! - [`Freshness`]: how old a node's view of the store is, and when it looks for itself.
//! - [`RunTimeEstimator`]: how long items run.
//! - [`Lookahead`]: which weights a later batch of the same items will accept.
//! - [`Rollout`]: which target is brought to which weight version, and when.
//! - [`Demand`]: how many targets each model gets.
//! - [`EventReader`]: the events of a token stream.

mod batch;
mod copies;
mod document;
mod freshness;
mod load;
mod lookahead;
mod rollout;
mod run_time;
mod shares;
mod stream;
mod submission;
mod targets;
mod wait_queue;

pub use batch::{Batch, BatchPolicy, Chunk, Merge, NextItem, group_of};
pub use copies::{CopiedTexts, SentTexts, TextUpdate};
pub use document::{
    Document, EngineConfig, Limits, Route, RouteKind, ServiceConfig, WeightedService,
};
pub use freshness::{ChangeBound, ConfirmationSource, Freshness, WATCHERS};
pub use load::{CallOutcome, Candidate, LoadBalancer, LoadBalancerSettings};
pub use lookahead::Lookahead;
pub use rollout::{LoadOrder, LoadOutcome, Rollout, RolloutSettings, RolloutTarget};
pub use run_time::RunTimeEstimator;
pub use shares::{Demand, interleave};
pub use stream::{EventReader, StreamEvent};
pub use submission::{Item, ItemResult, ItemState, Progress, Reward, Submission};
pub use targets::{TargetChange, TargetEntry, TargetTable};
pub use wait_queue::{WaitQueue, WaiterId};
