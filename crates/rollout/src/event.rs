//! What happens to the owner of a trainer's steps, and what it wants done.

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
    /// Where it stands.
    pub data_centre: Name,
    /// Whether it leaves: it gets no new work, and what it holds is copied elsewhere.
    pub leaving: bool,
    /// Its name.
    pub name: Name,
}

/// What a node holds of a sample, told to a new owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldingReport {
    /// The attempt.
    pub attempt: Attempt,
    /// The holder.
    pub holder: Name,
    /// The sample.
    pub sample: SampleId,
    /// The score of a whole sample, in thousandths; none while it is partial.
    pub score_millis: Option<i64>,
    /// The versions of the tokens held.
    pub segments: Segments,
}

/// One attempt to run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunOrder {
    /// The attempt.
    pub attempt: Attempt,
    /// The engine.
    pub engine: EngineInfo,
    /// Most tokens.
    pub max_tokens: u32,
    /// How often the runner tells how far it is, beside each change of version.
    pub progress_every_ms: u64,
    /// The prompt.
    pub prompt: String,
    /// The attempt whose tokens, held by the runner, are gone on from.
    pub resume: Option<Attempt>,
    /// The node that runs it.
    pub runner: Name,
    /// The sample.
    pub sample: SampleId,
    /// The sampling seed.
    pub seed: u64,
}

/// What happens to the aggregate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A trainer's command.
    Command {
        /// The command.
        command: Command,
        /// Names the reply's receiver.
        reply_to: u64,
    },
    /// Nobody holds the tokens of a sample any more, as a reader found.
    ContentLost {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
    },
    /// One more node holds a sample's tokens.
    Copied {
        /// The attempt.
        attempt: Attempt,
        /// The new holder; none when the copy failed.
        holder: Option<Name>,
        /// The sample.
        sample: SampleId,
    },
    /// The live engines of the trainer's model.
    Engines(Vec<EngineInfo>),
    /// An engine's lagging report.
    EngineVersion {
        /// The engine.
        engine: Name,
        /// The version it serves.
        version: Version,
    },
    /// What the nodes hold, in answer to [`Effect::FindHoldings`].
    Holdings(Vec<HoldingReport>),
    /// The lease's state.
    Lease {
        /// The fencing number, none while the lease is not held for certain.
        fence: Option<Fence>,
    },
    /// The ledger was changed by someone else.
    LedgerConflict,
    /// The ledger and its version, none when it does not exist.
    LedgerRead(Option<(Box<Ledger>, u64)>),
    /// The ledger's service does not answer, or a reply was lost.
    LedgerUnknown,
    /// The ledger was written and is now at this version.
    LedgerWritten {
        /// The key's version.
        version: u64,
    },
    /// The nodes that are not gone, this one included.
    Nodes(Vec<NodeInfo>),
    /// Orders to engines may be sent under this number.
    OrderFence(Option<Fence>),
    /// A run ended without a whole sample.
    RunFailed {
        /// The attempt.
        attempt: Attempt,
        /// Whether the engine broke it.
        engine_at_fault: bool,
        /// Whether the runner keeps the tokens for another attempt.
        partial_kept: bool,
        /// The sample.
        sample: SampleId,
    },
    /// A run gained tokens.
    RunProgress {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
        /// The versions of all its tokens so far.
        segments: Segments,
    },
    /// A sample is whole, scored and held.
    RunSafe {
        /// The attempt.
        attempt: Attempt,
        /// What is known of it.
        finished: Finished,
        /// The sample.
        sample: SampleId,
    },
    /// All tokens of a run are there; score and copy are under way.
    RunComplete {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
    },
    /// A stored step was read back; none when it cannot be found.
    StepLoaded {
        /// The step's content.
        spec: Option<StepSpec>,
        /// Its number.
        step: u64,
    },
    /// A step's content was stored, or not.
    StepStored {
        /// The step.
        step: u64,
        /// Whether it is stored.
        stored: bool,
    },
    /// Time has passed.
    Tick,
}

/// What the aggregate wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Stop a run.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// The sample.
        sample: SampleId,
    },
    /// Let a holder copy a sample to one more node; report [`Event::Copied`].
    CopyAgain {
        /// The attempt.
        attempt: Attempt,
        /// A node that holds it.
        holder: Name,
        /// The sample.
        sample: SampleId,
    },
    /// Ask all nodes what they hold of this trainer; report [`Event::Holdings`].
    FindHoldings,
    /// Let holders drop what is no longer needed.
    Forget {
        /// Samples and attempts.
        samples: Vec<(SampleId, Attempt)>,
    },
    /// Read a stored step; report [`Event::StepLoaded`].
    LoadStep {
        /// Digest of its content.
        digest: String,
        /// The step.
        step: u64,
    },
    /// Order an engine to load a version.
    Order {
        /// Where it listens.
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
    /// Answer a command.
    Reply {
        /// The answer.
        reply: Reply,
        /// The receiver.
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
    /// Write the ledger if it is at `expect`; report what came back.
    WriteLedger {
        /// The key's version, none when it must not exist.
        expect: Option<u64>,
        /// The new ledger.
        ledger: Box<Ledger>,
    },
}
