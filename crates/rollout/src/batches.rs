//! Binding, fetching, claiming and voiding of batches.
//!
//! Samples are bound to batches in the order of steps, in complete groups, and only a few batches
//! ahead of the trainer. A fetch returns what the ledger records; a claim checks the staleness of
//! every sample once more.

use crate::event::Effect;
use crate::ledger::{BatchRecord, BatchState, BoundSample};
use crate::owner::{Rollout, WaitingFetch};
use crate::sample::{Attempt, SampleState};
use crate::spec::{BatchView, BoundView, Registration, Reply, invalid};
use crate::writer::{Intent, LEDGER_RETRY_MS, SettledSamples};
use catkinmast_model::{Name, Refusal, SampleId, UnixMs, Version};
use indexmap::IndexMap;

/// How many bound batches may wait for their claim; samples of a batch bound too early only become
/// stale.
const BOUND_AHEAD_MAX: usize = 4;
/// The longest time a fetch waits for its batch.
const FETCH_WAIT_MAX_MS: u64 = 10_000;

impl Rollout {
    pub(crate) fn register(&mut self, now: UnixMs, reply_to: u64, registration: Registration) {
        if let Err(error) = registration.check() {
            return self.reply(reply_to, Reply::Invalid(error));
        }
        if self.registration() == Some(&registration) {
            return self.reply(reply_to, Reply::Registered(registration));
        }
        if !self.refuse_without_lease(now, reply_to) {
            self.writer.intents.push(Intent::Register { registration, reply_to });
        }
    }

    pub(crate) fn publish(&mut self, now: UnixMs, reply_to: u64, version: Version) {
        if version <= self.ledger.trainer_version {
            let version = self.ledger.trainer_version;
            return self.reply(reply_to, Reply::Published { version });
        }
        if !self.refuse_without_lease(now, reply_to) {
            self.writer.intents.push(Intent::Publish { reply_to, version });
        }
    }

    pub(crate) fn step_stored(&mut self, now: UnixMs, step: u64, stored: bool) {
        let Some(submission) = self.submitted.shift_remove(&step) else { return };
        let registration = self.registration().map(|registration| registration.group_size);
        let (true, Some(group_size)) = (stored, registration) else {
            let refusal = Refusal::not_run("the step could not be stored");
            let refusal = refusal.retry_at(now.plus(LEDGER_RETRY_MS));
            for receiver in submission.reply_to {
                self.reply(receiver, Reply::Refused(refusal.clone()));
            }
            return;
        };
        let groups = submission.spec.groups.len() as u32;
        self.specs.insert(step, submission.spec);
        let (digest, reply_to) = (submission.digest, submission.reply_to);
        self.writer.intents.push(Intent::AddStep { digest, group_size, groups, reply_to, step });
    }

    /// Binds batches for which enough complete groups of the oldest open step are safe.
    pub(crate) fn bind_ready(&mut self) {
        if self.fence.is_none() {
            return;
        }
        loop {
            let bound = self.ledger.bound_batches() + self.writer.pending_binds();
            if bound >= BOUND_AHEAD_MAX {
                return;
            }
            let Some((step, samples)) = self.next_batch() else { return };
            for BoundSample(group, index, _) in &samples {
                let id = SampleId { step, group: *group, index: *index };
                if let Some(sample) = self.samples.get_mut(&id) {
                    sample.state = SampleState::Bound;
                }
            }
            self.writer.intents.push(Intent::Bind { samples, step });
        }
    }

    /// Returns the step and samples of the next batch, if they are ready. Steps are bound in order:
    /// a later one waits until all samples of the earlier one are bound.
    fn next_batch(&mut self) -> Option<(u64, Vec<BoundSample>)> {
        let batch_samples = self.registration()?.batch_samples;
        let open: Vec<(u64, u32)> =
            self.ledger.open_steps().map(|(step, record)| (step, record.group_size)).collect();
        for (step, group_size) in open {
            let groups = self.unbound_groups(step);
            if groups.is_empty() {
                continue;
            }
            let wanted = ((batch_samples / group_size.max(1)).max(1) as usize).min(groups.len());
            let ready: Vec<u32> =
                groups.iter().filter(|(_, ready)| **ready).map(|(group, _)| *group).collect();
            if ready.len() < wanted {
                return None;
            }
            let samples = self.bound_samples(step, &ready[..wanted]);
            return Some((step, samples));
        }
        None
    }

    /// Returns the step's groups that are in no batch, and for each whether all its samples are
    /// safe.
    fn unbound_groups(&self, step: u64) -> IndexMap<u32, bool> {
        let mut groups = IndexMap::new();
        for sample in self.samples.values().filter(|sample| sample.id.step == step) {
            if matches!(sample.state, SampleState::Bound | SampleState::Claimed) {
                continue;
            }
            let ready = groups.entry(sample.id.group).or_insert(true);
            *ready &= sample.state == SampleState::Safe;
        }
        groups
    }

    fn bound_samples(&self, step: u64, groups: &[u32]) -> Vec<BoundSample> {
        let of_groups =
            self.samples.values().filter(|s| s.id.step == step && groups.contains(&s.id.group));
        of_groups
            .filter_map(|sample| {
                let (attempt, _) = sample.finished.as_ref()?;
                Some(BoundSample(sample.id.group, sample.id.index, *attempt))
            })
            .collect()
    }

    pub(crate) fn fetch(&mut self, now: UnixMs, reply_to: u64, batch: u64, until: UnixMs) {
        if batch == 0 {
            return self.reply(reply_to, invalid("batch", "is 0; batches count from 1"));
        }
        if let Some(reply) = self.batch_reply(batch) {
            return self.reply(reply_to, reply);
        }
        // The trainer's clock may be ahead of this node's.
        let until = until.min(now.plus(FETCH_WAIT_MAX_MS));
        if until <= now {
            return self.reply(reply_to, Reply::NotYet { retry_at: now.plus(LEDGER_RETRY_MS) });
        }
        self.waiting.push(WaitingFetch { batch, reply_to, until });
    }

    /// Returns the reply to a fetch of a batch, or `None` while its number is not bound.
    fn batch_reply(&self, batch: u64) -> Option<Reply> {
        if batch >= self.ledger.next_batch {
            return None;
        }
        let Some(record) = self.ledger.batches.get(&batch) else {
            return Some(Reply::Refused(Refusal::not_run(format!(
                "batch {batch} was settled long ago and is no longer held"
            ))));
        };
        if record.state == BatchState::Void {
            return Some(Reply::Void { batch });
        }
        let step = record.step;
        let views: Option<Vec<BoundView>> =
            record.samples.iter().map(|bound| self.bound_view(step, *bound)).collect();
        match views.filter(|views| !views.is_empty()) {
            Some(samples) => Some(Reply::Batch(BatchView { batch, samples, step })),
            None => Some(Reply::Refused(Refusal::not_run(format!(
                "batch {batch} was claimed before, and its content is no longer held"
            )))),
        }
    }

    fn bound_view(&self, step: u64, bound: BoundSample) -> Option<BoundView> {
        let BoundSample(group, index, attempt) = bound;
        let id = SampleId { step, group, index };
        let (held, finished) = self.samples.get(&id)?.finished.as_ref()?;
        (*held == attempt).then(|| BoundView { attempt, finished: finished.clone(), id })
    }

    pub(crate) fn answer_waiting_fetches(&mut self) {
        for waiter in std::mem::take(&mut self.waiting) {
            match self.batch_reply(waiter.batch) {
                Some(reply) => self.reply(waiter.reply_to, reply),
                None => self.waiting.push(waiter),
            }
        }
    }

    /// Claims a batch, i.e. gives the trainer the right to use it. A batch that has exceeded the
    /// staleness bound since it was bound is voided here, at the last moment before its use.
    pub(crate) fn claim(&mut self, now: UnixMs, reply_to: u64, batch: u64, at_version: Version) {
        let Some(record) = self.ledger.batches.get(&batch) else {
            let message = format!("{batch} is not bound");
            return self.reply(reply_to, invalid("batch", message));
        };
        match record.state {
            BatchState::Claimed => return self.reply(reply_to, Reply::Claimed { batch }),
            BatchState::Void => return self.reply(reply_to, Reply::Void { batch }),
            BatchState::Bound => {}
        }
        if self.refuse_without_lease(now, reply_to) {
            return;
        }
        let current = self.ledger.trainer_version.max(at_version);
        let intent = if self.is_stale(batch, current) {
            Intent::Void { at_version, batch, reply_to: Some(reply_to) }
        } else {
            Intent::Claim { batch, reply_to }
        };
        self.writer.intents.push(intent);
    }

    fn bound_ids(&self, batch: u64) -> SettledSamples {
        self.ledger.batches.get(&batch).map_or_else(Vec::new, BatchRecord::ids)
    }

    /// Returns whether the batch holds a sample that exceeds the staleness bound or no longer
    /// exists.
    fn is_stale(&self, batch: u64, current: Version) -> bool {
        let bound = self.registration().map_or(0, |r| r.staleness_bound_versions);
        self.bound_ids(batch).iter().any(|(id, _)| {
            self.samples.get(id).is_none_or(|sample| sample.age_versions(current) > bound)
        })
    }

    /// Voids bound batches and restarts samples that exceed the staleness bound after a new
    /// version.
    pub(crate) fn drop_stale(&mut self) {
        let current = self.ledger.trainer_version;
        let Some(bound) = self.registration().map(|r| r.staleness_bound_versions) else { return };
        let stale_batches: Vec<u64> = self
            .ledger
            .batches
            .iter()
            .filter(|(_, record)| record.state == BatchState::Bound)
            .map(|(number, _)| *number)
            .filter(|number| !self.writer.is_settling(*number) && self.is_stale(*number, current))
            .collect();
        for batch in stale_batches {
            self.void(batch);
        }
        let ids: Vec<SampleId> = self.samples.keys().copied().collect();
        for id in ids {
            self.drop_if_stale(id, current, bound);
        }
    }

    fn drop_if_stale(&mut self, id: SampleId, current: Version, bound: u64) {
        let Some(sample) = self.samples.get(&id) else { return };
        match sample.state {
            SampleState::Safe if sample.age_versions(current) > bound => self.start_over(id),
            SampleState::Running => {
                let stale: Vec<Attempt> = sample
                    .runs
                    .iter()
                    .filter(|(_, run)| !self.fits_bound(id, &run.segments))
                    .map(|(attempt, _)| *attempt)
                    .collect();
                for attempt in stale {
                    self.cancel_stale_run(id, attempt);
                }
            }
            _ => {}
        }
    }

    fn cancel_stale_run(&mut self, id: SampleId, attempt: Attempt) {
        let Some(sample) = self.samples.get_mut(&id) else { return };
        let Some(run) = sample.runs.shift_remove(&attempt) else { return };
        if sample.runs.is_empty() {
            sample.state = SampleState::Queued;
        }
        self.give_up_run(id, attempt, &run);
    }

    /// Discards a sample's tokens and queues it again.
    pub(crate) fn start_over(&mut self, id: SampleId) {
        self.cancel_runs(id);
        let Some(sample) = self.samples.get_mut(&id) else { return };
        let held = sample.finished.as_ref().map(|(attempt, _)| *attempt);
        self.tokens_wasted += sample.start_over();
        if let Some(attempt) = held {
            self.effects.push(Effect::Forget { samples: vec![(id, attempt)] });
        }
    }

    pub(crate) fn apply_claim(&mut self, settled: &[(SampleId, Attempt)]) {
        for (id, _) in settled {
            if let Some(sample) = self.samples.get_mut(id) {
                sample.state = SampleState::Claimed;
            }
        }
        self.forget_settled();
    }

    pub(crate) fn apply_void(&mut self, settled: &[(SampleId, Attempt)]) {
        let current = self.ledger.trainer_version;
        let bound = self.registration().map_or(0, |r| r.staleness_bound_versions);
        for (id, _) in settled {
            let Some(sample) = self.samples.get_mut(id) else { continue };
            if sample.state != SampleState::Bound {
                continue;
            }
            sample.state = SampleState::Safe;
            if sample.finished.is_none() || sample.age_versions(current) > bound {
                self.start_over(*id);
            }
        }
        self.forget_settled();
    }

    /// Drops claimed samples whose batch the ledger no longer lists, and steps that are done.
    fn forget_settled(&mut self) {
        let listed: indexmap::IndexSet<SampleId> = self
            .ledger
            .batches
            .keys()
            .flat_map(|number| self.bound_ids(*number))
            .map(|(id, _)| id)
            .collect();
        let dropped: Vec<SampleId> = self
            .samples
            .values()
            .filter(|s| s.state == SampleState::Claimed && !listed.contains(&s.id))
            .map(|sample| sample.id)
            .collect();
        let mut forgotten = Vec::new();
        for id in dropped {
            if let Some((attempt, _)) = self.samples.shift_remove(&id).and_then(|s| s.finished) {
                forgotten.push((id, attempt));
            }
        }
        if !forgotten.is_empty() {
            self.effects.push(Effect::Forget { samples: forgotten });
        }
        let done: Vec<u64> =
            self.specs.keys().copied().filter(|step| self.steps_ahead(*step).is_none()).collect();
        for step in done {
            if self.ledger.steps.contains_key(&step) {
                self.specs.shift_remove(&step);
                self.lengths.forget_step(step);
            }
        }
    }

    pub(crate) fn content_lost(&mut self, id: SampleId, attempt: Attempt) {
        let Some(sample) = self.samples.get_mut(&id) else { return };
        if sample.finished.as_ref().is_none_or(|(held, _)| *held != attempt) {
            return;
        }
        match sample.state {
            SampleState::Safe => self.start_over(id),
            SampleState::Bound => {
                sample.finished = None;
                self.void_batch_of(id);
            }
            _ => {}
        }
    }

    fn void_batch_of(&mut self, id: SampleId) {
        let bound = self.ledger.batches.iter().filter(|(_, r)| r.state == BatchState::Bound);
        let numbers: Vec<u64> = bound.map(|(number, _)| *number).collect();
        for batch in numbers {
            let holds = self.bound_ids(batch).iter().any(|(held, _)| *held == id);
            if holds && !self.writer.is_settling(batch) {
                self.void(batch);
            }
        }
    }

    pub(crate) fn void(&mut self, batch: u64) {
        let at_version = self.ledger.trainer_version;
        self.writer.intents.push(Intent::Void { at_version, batch, reply_to: None });
    }

    pub(crate) fn copied(&mut self, id: SampleId, attempt: Attempt, holder: Option<Name>) {
        self.copying.shift_remove(&id);
        if holder.is_none() {
            self.failed_copies.push(id);
        }
        let Some(sample) = self.samples.get_mut(&id) else { return };
        if let (Some((held, finished)), Some(holder)) = (&mut sample.finished, holder)
            && *held == attempt
            && !finished.holders.contains(&holder)
        {
            finished.holders.push(holder);
        }
    }
}
