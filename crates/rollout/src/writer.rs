//! The single writer of the ledger.
//!
//! A change waits as an [`Intent`] until a ledger write that contains it is confirmed, and only
//! then is its command answered. One write is in flight at a time; changes that arrive meanwhile
//! are batched into the next one, so the rate of writes does not grow with the rate of commands.
//!
//! If the reply to a write is lost, the ledger is read. If it holds the `write_id` of the pending
//! write, the write took effect; if its key is still at the expected version, it did not and
//! is repeated; otherwise another owner has written and this node no longer owns the steps.

use crate::event::Effect;
use crate::ledger::{BatchRecord, BatchState, BoundSample, ClaimedSet, Ledger, StepRecord};
use crate::owner::Rollout;
use crate::sample::Attempt;
use crate::spec::{Registration, Reply};
use catkinmast_model::{SampleId, UnixMs, Version};

/// Delay before the ledger is read after a write whose outcome is unknown, and before a trainer
/// should retry a command that could not be completed.
pub(crate) const LEDGER_RETRY_MS: u64 = 500;

/// A change of the ledger that is not confirmed yet.
#[derive(Clone, Debug)]
pub(crate) enum Intent {
    AddStep { digest: String, group_size: u32, groups: u32, reply_to: Vec<u64>, step: u64 },
    Bind { samples: Vec<BoundSample>, step: u64 },
    Claim { batch: u64, reply_to: u64 },
    Publish { reply_to: u64, version: Version },
    Register { registration: Registration, reply_to: u64 },
    TakeOver,
    Void { at_version: Version, batch: u64, reply_to: Option<u64> },
}

/// A ledger write that is not confirmed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    /// The changes in the write, each with the samples of the batch that it settles.
    pub intents: Vec<(Intent, SettledSamples)>,
    pub ledger: Ledger,
}

/// The samples of a batch that a change settles, kept here because the ledger soon removes them.
pub(crate) type SettledSamples = Vec<(SampleId, Attempt)>;

/// The state of the ledger's single writer.
#[derive(Clone, Debug)]
pub(crate) struct Writer {
    /// Whether a call to the key-value service is in flight.
    pub busy: bool,
    pub intents: Vec<Intent>,
    pub name: String,
    pub pending: Option<PendingWrite>,
    pub retry_at: Option<UnixMs>,
    pub sequence: u64,
    /// The last confirmed version of the ledger's key.
    pub version: Option<u64>,
}

impl Writer {
    pub(crate) const fn open(name: String) -> Self {
        Self {
            busy: false,
            intents: Vec::new(),
            name,
            pending: None,
            retry_at: None,
            sequence: 0,
            version: None,
        }
    }

    /// Returns whether a pending change already claims or voids a batch.
    pub(crate) fn is_settling(&self, batch: u64) -> bool {
        self.pending_intents().any(|intent| {
            matches!(intent, Intent::Claim { batch: b, .. } | Intent::Void { batch: b, .. } if *b == batch)
        })
    }

    pub(crate) fn pending_binds(&self) -> usize {
        self.pending_intents().filter(|intent| matches!(intent, Intent::Bind { .. })).count()
    }

    fn pending_intents(&self) -> impl Iterator<Item = &Intent> {
        let pending = self.pending.iter().flat_map(|pending| &pending.intents);
        self.intents.iter().chain(pending.map(|(intent, _)| intent))
    }
}

impl Rollout {
    /// Writes all waiting changes if no write is in flight and the lease is held.
    pub(crate) fn flush(&mut self) {
        let Some(fence) = self.fence else { return };
        let idle = !self.writer.busy && self.writer.pending.is_none();
        if !idle || self.writer.intents.is_empty() {
            return;
        }
        let intents = std::mem::take(&mut self.writer.intents);
        let mut ledger = self.ledger.clone();
        let mut applied = Vec::new();
        for intent in intents {
            let settled = settled_by(&ledger, &intent);
            apply(&mut ledger, &intent);
            applied.push((intent, settled));
        }
        self.writer.sequence += 1;
        ledger.fence = fence;
        ledger.write_id = format!("{}/{}", self.writer.name, self.writer.sequence);
        self.writer.pending = Some(PendingWrite { intents: applied, ledger });
        self.send_pending();
    }

    pub(crate) fn send_pending(&mut self) {
        let Some(pending) = &self.writer.pending else { return };
        self.writer.busy = true;
        let ledger = Box::new(pending.ledger.clone());
        self.effects.push(Effect::WriteLedger { expect: self.writer.version, ledger });
    }

    pub(crate) fn ledger_written(&mut self, version: u64) {
        self.writer.busy = false;
        self.writer.retry_at = None;
        self.writer.version = Some(version);
        if let Some(pending) = self.writer.pending.take() {
            self.ledger = pending.ledger;
            for (intent, settled) in pending.intents {
                self.on_committed(intent, &settled);
            }
        }
    }

    /// Handles a lost reply or a conflict: schedules a read of the ledger, which shows what
    /// happened.
    pub(crate) fn ledger_outcome_unknown(&mut self, now: UnixMs) {
        self.writer.busy = false;
        self.writer.retry_at = Some(now.plus(LEDGER_RETRY_MS));
    }

    pub(crate) fn retry_ledger(&mut self, now: UnixMs) {
        let due = self.writer.retry_at.is_some_and(|at| at <= now);
        if due && !self.writer.busy {
            self.writer.retry_at = None;
            self.writer.busy = true;
            self.effects.push(Effect::ReadLedger);
        }
    }

    /// Applies a confirmed change to the samples and answers the command that requested it.
    fn on_committed(&mut self, intent: Intent, settled: &[(SampleId, Attempt)]) {
        match intent {
            Intent::AddStep { group_size, groups, reply_to, step, .. } => {
                self.add_samples(step, groups, group_size);
                for receiver in reply_to {
                    self.reply(receiver, Reply::Accepted { step });
                }
            }
            Intent::Bind { .. } => self.answer_waiting_fetches(),
            Intent::Claim { batch, reply_to } => {
                self.batch_settled(batch, Some(reply_to), settled);
            }
            Intent::Publish { reply_to, version } => {
                self.reply(reply_to, Reply::Published { version });
                self.drop_stale();
            }
            Intent::Register { registration, reply_to } => {
                self.reply(reply_to, Reply::Registered(registration));
            }
            Intent::TakeOver => self.continue_takeover(),
            Intent::Void { batch, reply_to, .. } => {
                self.batch_settled(batch, reply_to, settled);
            }
        }
    }

    /// Acts on a batch's state in the ledger, which may differ from the requested one: a claim and
    /// a void of the same batch can be part of one write, and then the first of them takes effect.
    fn batch_settled(
        &mut self,
        batch: u64,
        reply_to: Option<u64>,
        settled: &[(SampleId, Attempt)],
    ) {
        let state = self.ledger.batches.get(&batch).map(|record| record.state);
        let reply = if let Some(BatchState::Claimed) = state {
            self.apply_claim(settled);
            Reply::Claimed { batch }
        } else {
            self.apply_void(settled);
            Reply::Void { batch }
        };
        if let Some(receiver) = reply_to {
            self.reply(receiver, reply);
        }
        self.answer_waiting_fetches();
    }
}

fn apply(ledger: &mut Ledger, intent: &Intent) {
    match intent {
        Intent::AddStep { digest, group_size, groups, step, .. } => {
            let record = StepRecord {
                claimed: ClaimedSet::default(),
                digest: digest.clone(),
                group_size: *group_size,
                groups: *groups,
            };
            ledger.steps.entry(*step).or_insert(record);
        }
        Intent::Bind { samples, step } => {
            ledger.bind(*step, samples.clone());
        }
        Intent::Claim { batch, .. } => {
            ledger.claim(*batch);
        }
        Intent::Publish { version, .. } => {
            ledger.trainer_version = ledger.trainer_version.max(*version);
        }
        Intent::Register { registration, .. } => {
            ledger.registration = Some(registration.clone());
        }
        Intent::TakeOver => {}
        Intent::Void { at_version, batch, .. } => {
            // A trainer that claims at a version has published it, even if this owner did not
            // receive the command.
            ledger.trainer_version = ledger.trainer_version.max(*at_version);
            ledger.void(*batch);
        }
    }
}

/// Returns the samples of the batch that a change settles, or none if the batch is already settled.
///
/// A trainer's claim can race with a void of the same batch. By the time the second of the two
/// changes is applied, the samples may already be bound to another batch; releasing them again
/// would bind and deliver them twice.
fn settled_by(ledger: &Ledger, intent: &Intent) -> SettledSamples {
    let (Intent::Claim { batch, .. } | Intent::Void { batch, .. }) = intent else {
        return Vec::new();
    };
    let bound = ledger.batches.get(batch).filter(|record| record.state == BatchState::Bound);
    bound.map_or_else(Vec::new, BatchRecord::ids)
}
