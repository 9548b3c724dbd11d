//! Steps, groups, samples and batches: what a trainer asks for and receives.
//!
//! One node at a time owns a trainer's steps. [`Rollout`] is the owner's aggregate: commands and
//! reports come in with `now`, effects come out, and it owns no socket, clock or thread. It keeps
//! what a sample *is* (state, segments, score, who holds the tokens) and never the tokens
//! themselves: at the users' size a step's tokens are hundreds of megabytes, so they stay with
//! the node that ran the sample and with one copy elsewhere (see `docs/CAPACITY.md`).
//!
//! What must survive the owner is in the [`Ledger`], one value of the platform's key-value service
//! that is changed by compare-and-swap only. A new owner's first act is to write its own fencing
//! number into it, after which every write of the old owner fails, however long it was paused.
//! A batch number is bound to a fixed list of samples in the ledger before anyone sees it, and a
//! claim is a write of the ledger as well; that makes delivery exactly-once.

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
