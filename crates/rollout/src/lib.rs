//! Scheduling and delivery of a trainer's steps, groups, samples and batches.
//!
//! One node at a time owns a trainer's steps. [`Rollout`] is the owner's state machine: it takes
//! commands and reports together with the current time and returns effects, and does no I/O itself.
//! It keeps each sample's metadata (state, segments, score, holders of its tokens) but never the
//! tokens: a step's tokens can be hundreds of megabytes, so they stay on the node that ran the
//! sample and on one other node that has a copy (see `docs/capacity-node.md`).
//!
//! State that must survive the owner is in the [`Ledger`], one value in the platform's key-value
//! service that is changed by compare-and-swap only. A new owner first writes its own fencing
//! number into the ledger; from then on every write of the old owner fails, however long it was
//! paused. A batch number is bound to a fixed list of samples in the ledger before the batch is
//! visible to anyone, and a claim is also a write of the ledger. This makes delivery exactly-once.

mod batches;
mod event;
mod ledger;
mod orders;
mod owner;
mod recovery;
mod runs;
mod sample;
mod schedule;
mod spec;
mod writer;

pub use event::{Effect, Event, HoldingReport, NodeInfo, RunOrder};
pub use ledger::{BatchRecord, BatchState, BoundSample, ClaimedSet, Ledger, StepRecord};
pub use orders::{OrderBook, OrderSettings};
pub use owner::{Phase, Rollout};
pub use sample::{Attempt, Finished, Sample, SampleState};
pub use schedule::{EngineInfo, RunAhead, ScheduleSettings};
pub use spec::{
    BatchView, BoundView, Command, GroupSpec, Progress, Registration, Reply, SpecError, StepSpec,
};
