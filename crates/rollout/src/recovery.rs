//! Takeover by a new owner: rebuilds the state from the ledger and from the samples that nodes
//! hold.
//!
//! The new owner reads the ledger, writes its own fencing number into it (from then on no write of
//! a previous owner succeeds), loads the open steps, and asks every node which samples it holds. A
//! complete sample with a surviving holder is kept, a partial one is resumed, and all others are
//! run again. A bound batch stays bound only if exactly the attempts that it names survive, because
//! a repeated fetch must return the same samples.

use crate::event::{Effect, HoldingReport, NodeInfo};
use crate::ledger::{BatchState, BoundSample, Ledger};
use crate::owner::{Phase, Rollout};
use crate::sample::{Finished, Partial, SampleState};
use crate::spec::{Reply, StepSpec};
use crate::writer::Intent;
use catkinmast_model::{Fence, Name, Refusal, SampleId};

/// How many nodes should hold a complete sample.
const HOLDERS_WANTED: usize = 2;

impl Rollout {
    /// Handles a change of the lease. Without the lease, writes and orders stop. Runs continue:
    /// nobody else can deliver their samples without the ledger, and once the lease is regained the
    /// ledger shows whether another owner has written.
    pub(crate) fn lease_changed(&mut self, fence: Option<Fence>) {
        let Some(fence) = fence else {
            self.fence = None;
            return;
        };
        // Each time the lease is gained its number is higher, so an equal number is a repeated
        // event.
        if fence > self.last_fence {
            self.fence = Some(fence);
            self.last_fence = fence;
            if !self.writer.busy {
                self.writer.busy = true;
                self.effects.push(Effect::ReadLedger);
            }
        }
    }

    pub(crate) fn ledger_read(&mut self, read: Option<(Box<Ledger>, u64)>) {
        self.writer.busy = false;
        self.writer.retry_at = None;
        let (ledger, version) = match read {
            Some((ledger, version)) => (*ledger, Some(version)),
            None => (Ledger::default(), None),
        };
        let written = self.writer.pending.as_ref().map(|pending| pending.ledger.write_id.clone());
        if let (Some(version), true) = (version, written.as_ref() == Some(&ledger.write_id)) {
            return self.ledger_written(version);
        }
        if ledger.fence > self.last_fence {
            // A later owner has written the ledger. It must not be overwritten, even if this node
            // has not noticed the loss of its lease yet.
            self.fence = None;
        }
        if version == self.writer.version && self.phase != Phase::TakingOver {
            return self.resume_writes();
        }
        self.take_over(ledger, version);
    }

    /// Repeats the pending write, since nobody else has written the ledger; without one, writes
    /// only the fencing number.
    fn resume_writes(&mut self) {
        let Some(fence) = self.fence else { return };
        match &mut self.writer.pending {
            Some(pending) => {
                pending.ledger.fence = fence;
                self.send_pending();
            }
            None => self.writer.intents.push(Intent::TakeOver),
        }
    }

    /// Starts to rebuild all state from a ledger that another owner may have written.
    fn take_over(&mut self, ledger: Ledger, version: Option<u64>) {
        self.cancel_all_runs();
        self.refuse_pending("the trainer's steps were taken over in the middle of this");
        self.samples.clear();
        self.specs.clear();
        self.copying.clear();
        self.ledger = ledger;
        self.writer.version = version;
        self.phase = Phase::TakingOver;
        self.writer.intents.push(Intent::TakeOver);
    }

    /// Refuses all pending commands. A change in the pending write may have taken effect.
    pub(crate) fn refuse_pending(&mut self, message: &str) {
        let unsettled = self.writer.pending.take().map_or_else(Vec::new, |p| p.intents);
        let unsent = std::mem::take(&mut self.writer.intents);
        for receiver in unsettled.iter().flat_map(|(intent, _)| receivers(intent)) {
            self.reply(receiver, Reply::Refused(Refusal::may_have_run(message)));
        }
        let submitted = std::mem::take(&mut self.submitted);
        let waiting = std::mem::take(&mut self.waiting);
        let not_run = unsent
            .iter()
            .flat_map(receivers)
            .chain(submitted.into_values().flat_map(|submission| submission.reply_to))
            .chain(waiting.into_iter().map(|waiter| waiter.reply_to));
        let receivers: Vec<u64> = not_run.collect();
        for receiver in receivers {
            self.reply(receiver, Reply::Refused(Refusal::not_run(message)));
        }
    }

    /// Continues the takeover once this owner's fencing number is in the ledger.
    pub(crate) fn continue_takeover(&mut self) {
        if self.phase != Phase::TakingOver {
            return;
        }
        self.phase = Phase::Loading;
        self.holdings_awaited = true;
        self.effects.push(Effect::FindHoldings);
        let open: Vec<(u64, String, u32, u32)> = self
            .ledger
            .open_steps()
            .map(|(step, record)| (step, record.digest.clone(), record.groups, record.group_size))
            .collect();
        for (step, digest, groups, group_size) in open {
            self.loading.insert(step);
            self.add_samples(step, groups, group_size);
            self.effects.push(Effect::LoadStep { digest, step });
        }
        self.drop_claimed_samples();
        self.finish_loading();
    }

    /// Removes the claimed samples of open steps, so that they are not run again.
    fn drop_claimed_samples(&mut self) {
        let ledger = &self.ledger;
        self.samples.retain(|id, _| {
            let step = ledger.steps.get(&id.step);
            step.is_none_or(|step| !step.claimed.contains(step.position(*id)))
        });
    }

    pub(crate) fn step_loaded(&mut self, step: u64, spec: Option<StepSpec>) {
        if !self.loading.contains(&step) {
            return;
        }
        match spec {
            Some(spec) => {
                self.loading.shift_remove(&step);
                self.specs.insert(step, spec);
                self.finish_loading();
            }
            None => {
                // The step exists, since the ledger names it, but the service did not respond:
                // retry.
                if let Some(record) = self.ledger.steps.get(&step) {
                    let digest = record.digest.clone();
                    self.effects.push(Effect::LoadStep { digest, step });
                }
            }
        }
    }

    pub(crate) fn holdings_found(&mut self, found: Vec<HoldingReport>) {
        if !std::mem::take(&mut self.holdings_awaited) {
            return;
        }
        for report in found {
            self.apply_holding(report);
        }
        self.finish_loading();
    }

    fn apply_holding(&mut self, report: HoldingReport) {
        let bound = self.bound_attempt(report.sample);
        let fits = self.fits_bound(report.sample, &report.segments);
        let Some(sample) = self.samples.get_mut(&report.sample) else { return };
        let Some(score_millis) = report.score_millis else {
            if sample.finished.is_none() && fits {
                let (attempt, runner) = (report.attempt, report.holder);
                sample.partial = Some(Partial { attempt, runner, segments: report.segments });
            }
            return;
        };
        if bound.is_some_and(|attempt| attempt != report.attempt) {
            return;
        }
        match &mut sample.finished {
            Some((attempt, finished)) if *attempt == report.attempt => {
                finished.holders.push(report.holder);
            }
            Some(_) => {}
            None => {
                let holders = vec![report.holder];
                let finished = Finished { holders, score_millis, segments: report.segments };
                sample.finished = Some((report.attempt, finished));
                sample.state = SampleState::Safe;
            }
        }
    }

    /// Returns the attempt at a sample that a bound batch names.
    fn bound_attempt(&self, id: SampleId) -> Option<crate::sample::Attempt> {
        let bound = self
            .ledger
            .batches
            .values()
            .filter(|batch| batch.state == BatchState::Bound && batch.step == id.step);
        let mut samples = bound.flat_map(|batch| &batch.samples);
        samples.find(|bound| bound.0 == id.group && bound.1 == id.index).map(|bound| bound.2)
    }

    fn finish_loading(&mut self) {
        if self.phase != Phase::Loading || self.holdings_awaited || !self.loading.is_empty() {
            return;
        }
        self.phase = Phase::Active;
        let bound: Vec<(u64, u64, Vec<BoundSample>)> = self
            .ledger
            .batches
            .iter()
            .filter(|(_, record)| record.state == BatchState::Bound)
            .map(|(number, record)| (*number, record.step, record.samples.clone()))
            .collect();
        for (batch, step, samples) in bound {
            self.restore_batch(batch, step, &samples);
        }
        let ids: Vec<SampleId> = self.samples.keys().copied().collect();
        for id in ids {
            self.ensure_copies(id);
        }
    }

    fn restore_batch(&mut self, batch: u64, step: u64, samples: &[BoundSample]) {
        let mut complete = true;
        for BoundSample(group, index, attempt) in samples {
            let id = SampleId { step, group: *group, index: *index };
            if let Some(sample) = self.samples.get_mut(&id) {
                sample.state = SampleState::Bound;
                complete &= sample.finished.as_ref().is_some_and(|(held, _)| held == attempt);
            }
        }
        if !complete {
            self.void(batch);
        }
    }

    /// Applies a new list of nodes. Runs on nodes that are gone and tokens held only there are
    /// lost.
    pub(crate) fn set_nodes(&mut self, nodes: Vec<NodeInfo>) {
        let gone = |name: &Name| !nodes.iter().any(|node| node.name == *name);
        let mut lost = Vec::new();
        let mut failed = Vec::new();
        for sample in self.samples.values_mut() {
            if let Some((attempt, finished)) = &mut sample.finished {
                finished.holders.retain(|holder| !gone(holder));
                if finished.holders.is_empty() {
                    lost.push((sample.id, *attempt));
                }
            }
            if sample.partial.as_ref().is_some_and(|partial| gone(&partial.runner)) {
                sample.partial = None;
            }
            let on_gone = sample.runs.iter().filter(|(_, run)| gone(&run.runner));
            failed.extend(on_gone.map(|(attempt, _)| (sample.id, *attempt)));
        }
        self.nodes = nodes;
        for (id, attempt) in failed {
            self.runner_lost(id, attempt);
        }
        for (id, attempt) in lost {
            self.content_lost(id, attempt);
        }
        let ids: Vec<SampleId> = self.samples.keys().copied().collect();
        for id in ids {
            self.ensure_copies(id);
        }
    }

    fn runner_lost(&mut self, id: SampleId, attempt: crate::sample::Attempt) {
        let Some(sample) = self.samples.get_mut(&id) else { return };
        let Some(run) = sample.runs.shift_remove(&attempt) else { return };
        if sample.runs.is_empty() && sample.state == SampleState::Running {
            sample.state = SampleState::Queued;
        }
        self.give_up_run(id, attempt, &run);
    }

    /// Requests one more copy if fewer than `HOLDERS_WANTED` nodes that are not leaving hold a
    /// sample.
    pub(crate) fn ensure_copies(&mut self, id: SampleId) {
        let Some(sample) = self.samples.get(&id) else { return };
        if !matches!(sample.state, SampleState::Safe | SampleState::Bound) {
            return;
        }
        let Some((attempt, finished)) = &sample.finished else { return };
        let staying = |name: &Name| self.nodes.iter().any(|n| n.name == *name && !n.leaving);
        let staying_holders = finished.holders.iter().filter(|holder| staying(holder)).count();
        let staying_nodes = self.nodes.iter().filter(|node| !node.leaving).count();
        let wanted = HOLDERS_WANTED.min(staying_nodes);
        if staying_holders >= wanted || self.copying.contains(&id) {
            return;
        }
        if let Some(holder) = finished.holders.first() {
            let (attempt, holder) = (*attempt, holder.clone());
            self.copying.insert(id);
            self.effects.push(Effect::CopyAgain { attempt, holder, sample: id });
        }
    }
}

fn receivers(intent: &Intent) -> Vec<u64> {
    match intent {
        Intent::AddStep { reply_to, .. } => reply_to.clone(),
        Intent::Claim { reply_to, .. }
        | Intent::Publish { reply_to, .. }
        | Intent::Register { reply_to, .. } => vec![*reply_to],
        Intent::Void { reply_to, .. } => reply_to.iter().copied().collect(),
        Intent::Bind { .. } | Intent::TakeOver => Vec::new(),
    }
}
