//! Input events and output effects of the owner of a trainer's steps.

use crate::ledger::Ledger;
use crate::sample::{Attempt, Finished};
use crate::schedule::EngineInfo;
use crate::spec::{Command, Reply, StepSpec};
use catkinmast_model::{Fence, Name, SampleId, Segments, Version};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A node that can run samples and hold their tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeInfo {
    /// Data centre in which the node runs.
    pub data_centre: Name,
    /// Whether the node is leaving: it gets no new work, and the samples it holds are copied
    /// elsewhere.
    pub leaving: bool,
    /// Name of the node.
    pub name: Name,
}

/// A node's report to a new owner about a sample that it holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldingReport {
    /// The attempt.
    pub attempt: Attempt,
    /// The holder.
    pub holder: Name,
    /// The sample.
    pub sample: SampleId,
    /// The score of a complete sample, in thousandths; `None` if the sample is partial.
    pub score_millis: Option<i64>,
    /// The weight versions of the tokens held.
    pub segments: Segments,
}

/// An order to a node to run one attempt at a sample.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunOrder {
    /// The attempt.
    pub attempt: Attempt,
    /// The engine.
    pub engine: EngineInfo,
    /// Maximum number of tokens.
    pub max_tokens: u32,
    /// Interval at which the runner reports progress, in addition to each change of version.
    pub progress_every_ms: u64,
    /// The prompt.
    pub prompt: String,
    /// The attempt to resume from, whose tokens the runner holds.
    pub resume: Option<Attempt>,
    /// The node that runs the attempt.
    pub runner: Name,
    /// The sample.
    pub sample: SampleId,
    /// The sampling seed.
    pub seed: u64,
}

/// An input of the owner's state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A trainer's command.
    Command {
        /// The command.
        command: Command,
        /// Identifies the receiver of the reply.
        reply_to: u64,
    },
    /// A reader found that no node holds the tokens of a sample any more.
    ContentLost {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
    },
    /// A copy of a sample's tokens to one more node succeeded or failed.
    Copied {
        /// The attempt.
        attempt: Attempt,
        /// The new holder; `None` if the copy failed.
        holder: Option<Name>,
        /// The sample.
        sample: SampleId,
    },
    /// The live engines of the trainer's model.
    Engines(Vec<EngineInfo>),
    /// An engine's report of its version, which may be outdated.
    EngineVersion {
        /// The engine.
        engine: Name,
        /// The version it serves.
        version: Version,
    },
    /// The samples that nodes hold, in reply to [`Effect::FindHoldings`].
    Holdings(Vec<HoldingReport>),
    /// A change of the lease.
    Lease {
        /// The fencing number; `None` while the lease is not certain to be held.
        fence: Option<Fence>,
    },
    /// A write of the ledger failed because it was not at the expected version.
    LedgerConflict,
    /// The ledger and the version of its key; `None` if it does not exist.
    LedgerRead(Option<(Box<Ledger>, u64)>),
    /// The key-value service did not respond to a read or write of the ledger, or the reply was
    /// lost.
    LedgerUnknown,
    /// The ledger was written.
    LedgerWritten {
        /// The new version of its key.
        version: u64,
    },
    /// The present nodes, including this one and those that are leaving.
    Nodes(Vec<NodeInfo>),
    /// The fencing number for orders to engines; `None` while no orders may be sent.
    OrderFence(Option<Fence>),
    /// A run ended without a complete sample.
    RunFailed {
        /// The attempt.
        attempt: Attempt,
        /// Whether the engine caused the failure.
        engine_at_fault: bool,
        /// Whether the runner keeps the tokens so that another attempt can resume from them.
        partial_kept: bool,
        /// The sample.
        sample: SampleId,
    },
    /// A run has generated more tokens.
    RunProgress {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
        /// The weight versions of all its tokens so far.
        segments: Segments,
    },
    /// A sample is complete, scored and stored on its holders.
    RunSafe {
        /// The attempt.
        attempt: Attempt,
        /// The metadata of the sample.
        finished: Finished,
        /// The sample.
        sample: SampleId,
    },
    /// All tokens of a run have been generated; scoring and copying are in progress.
    RunComplete {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
    },
    /// A stored step was read back, or the read failed.
    StepLoaded {
        /// The step's content; `None` if it could not be read.
        spec: Option<StepSpec>,
        /// The number of the step.
        step: u64,
    },
    /// Storing a step's content succeeded or failed.
    StepStored {
        /// The step.
        step: u64,
        /// Whether it succeeded.
        stored: bool,
    },
    /// Periodic timer.
    Tick,
}

/// An action that the owner's state machine requests from its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Stop a run.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
    },
    /// Have a holder copy a sample to one more node; report [`Event::Copied`].
    CopyAgain {
        /// The attempt.
        attempt: Attempt,
        /// A node that holds the sample.
        holder: Name,
        /// The sample.
        sample: SampleId,
    },
    /// Ask all nodes which samples of this trainer they hold; report [`Event::Holdings`].
    FindHoldings,
    /// Have holders drop samples that are no longer needed.
    Forget {
        /// The samples, each with the attempt to drop.
        samples: Vec<(SampleId, Attempt)>,
    },
    /// Read a stored step; report [`Event::StepLoaded`].
    LoadStep {
        /// Digest of its content.
        digest: String,
        /// The step.
        step: u64,
    },
    /// Order an engine to load a weight version.
    Order {
        /// Address on which the engine listens.
        address: SocketAddr,
        /// The engine.
        engine: Name,
        /// The fencing number.
        fence: Fence,
        /// The version.
        version: Version,
    },
    /// Read the ledger; report [`Event::LedgerRead`] or [`Event::LedgerUnknown`].
    ReadLedger,
    /// Reply to a command.
    Reply {
        /// The reply.
        reply: Reply,
        /// Identifies the receiver, as given with the command.
        reply_to: u64,
    },
    /// Start a run.
    Run(RunOrder),
    /// Store a step's content; report [`Event::StepStored`].
    StoreStep {
        /// Digest of its content.
        digest: String,
        /// The content.
        spec: StepSpec,
        /// The step.
        step: u64,
    },
    /// Write the ledger if its key is at version `expect`; report [`Event::LedgerWritten`],
    /// [`Event::LedgerConflict`] or [`Event::LedgerUnknown`].
    WriteLedger {
        /// The expected version of the key; `None` if the key must not exist.
        expect: Option<u64>,
        /// The new ledger.
        ledger: Box<Ledger>,
    },
}
