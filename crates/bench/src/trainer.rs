//! Simulated trainer: submits steps ahead, fetches and claims batches, trains, publishes weight
//! versions, and checks the batches that it receives.

use crate::simulation::{SimEvent, Simulation};
use catkinmast_model::{SampleId, UnixMs, Version};
use catkinmast_rollout::{Attempt, Command, GroupSpec, Reply, StepSpec};
use indexmap::IndexMap;

/// Pause before a refused command is sent again.
const RESEND_PAUSE_MS: u64 = 1_000;
/// Time after which an unanswered command is sent again.
const ANSWER_TIMEOUT_MS: u64 = 12_000;

/// The trainer's next action.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TrainerAction {
    Register,
    Submit(u64),
    Fetch(u64),
    Claim(u64),
    Publish(u64),
    Done,
}

#[derive(Debug)]
pub(crate) struct TrainerSim {
    /// The command that awaits a reply: the number of the reply, and the action.
    pub pending: Option<(u64, TrainerAction)>,
    pub batch: u64,
    pub claimed_of_step: u32,
    pub idle_ms: u64,
    pub next: TrainerAction,
    pub resend_at: UnixMs,
    /// Samples of each fetched batch.
    pub fetched: IndexMap<u64, Vec<(SampleId, Attempt)>>,
    pub step: u64,
    pub submitted: u64,
    pub version: u64,
    pub waiting_since: Option<UnixMs>,
}

impl Simulation {
    fn send_command(&mut self, next: &TrainerAction, command: Command) {
        self.reply_to += 1;
        self.trainer.pending = Some((self.reply_to, next.clone()));
        self.trainer.resend_at = self.now.plus(ANSWER_TIMEOUT_MS);
        let (owner, reply_to) = (self.current_owner, self.reply_to);
        self.schedule_after(1, SimEvent::Send { command, owner, reply_to });
        self.schedule_after(ANSWER_TIMEOUT_MS, SimEvent::Resend);
    }

    pub(crate) fn trainer_send_next(&mut self) {
        let next = self.trainer.next.clone();
        let at_version = Version(self.trainer.version);
        let command = match &next {
            TrainerAction::Register => Command::Register(self.settings.registration.clone()),
            TrainerAction::Submit(step) => {
                Command::Submit { step: *step, spec: self.step_spec(*step) }
            }
            TrainerAction::Fetch(batch) => {
                Command::Fetch { batch: *batch, until: self.now.plus(10_000) }
            }
            TrainerAction::Claim(batch) => Command::Claim { at_version, batch: *batch },
            TrainerAction::Publish(version) => Command::Publish { version: Version(*version) },
            TrainerAction::Done => return,
        };
        if matches!(next, TrainerAction::Fetch(_)) && self.trainer.waiting_since.is_none() {
            self.trainer.waiting_since = Some(self.now);
        }
        self.send_command(&next, command);
    }

    fn step_spec(&self, step: u64) -> StepSpec {
        let group = |group| GroupSpec { prompt: format!("{step}/{group}") };
        StepSpec {
            deadline_unix_ms: UnixMs(u64::MAX),
            groups: (0..self.settings.groups).map(group).collect(),
            max_tokens: 1 << 20,
            seed: self.settings.seed,
        }
    }

    /// Sends an unanswered command again, which is safe because all commands are idempotent.
    pub(crate) fn trainer_resend_if_due(&mut self) {
        if self.trainer.pending.is_some() && self.now >= self.trainer.resend_at {
            self.trainer_send_next();
        }
    }

    pub(crate) fn trainer_receive_reply(&mut self, reply_to: u64, reply: Reply) {
        if self.trainer.pending.as_ref().is_none_or(|(pending, _)| *pending != reply_to) {
            return;
        }
        let Some((_, action)) = self.trainer.pending.take() else { return };
        match (action, reply) {
            (TrainerAction::Register, Reply::Registered(_)) => self.submit_more(),
            (TrainerAction::Submit(step), Reply::Accepted { .. }) => {
                self.trainer.submitted = step;
                self.submit_more();
            }
            (TrainerAction::Fetch(batch), Reply::Batch(view)) => {
                let samples = view.samples.iter().map(|s| (s.id, s.attempt)).collect();
                self.check_refetched(batch, samples);
                let ages = view.samples.iter().map(|sample| {
                    sample.finished.segments.age_versions(Version(self.trainer.version))
                });
                let ages: Vec<u64> = ages.collect();
                self.trainer.next = TrainerAction::Claim(batch);
                self.outcome.tokens_used += view
                    .samples
                    .iter()
                    .map(|s| u64::from(s.finished.segments.token_count()))
                    .sum::<u64>();
                self.trainer_send_next();
                self.append_pending_ages(ages);
            }
            (TrainerAction::Claim(batch), Reply::Claimed { .. }) => self.on_batch_claimed(batch),
            (TrainerAction::Fetch(batch) | TrainerAction::Claim(batch), Reply::Void { .. }) => {
                self.trainer.fetched.swap_remove(&batch);
                self.outcome.ages.truncate(self.claimed.len());
                self.trainer.batch += 1;
                self.trainer.next = TrainerAction::Fetch(self.trainer.batch);
                self.trainer_send_next();
            }
            (TrainerAction::Publish(version), Reply::Published { .. }) => {
                self.trainer.version = version;
                self.next_step();
            }
            (_, Reply::Invalid(error)) => {
                self.outcome.violations.push(format!("command refused as invalid: {error}"));
                self.trainer.next = TrainerAction::Done;
            }
            (_, _) => {
                // Refused or not ready yet: retried after a pause.
                self.trainer.pending = Some((0, self.trainer.next.clone()));
                self.trainer.resend_at = self.now.plus(RESEND_PAUSE_MS);
                self.schedule_after(RESEND_PAUSE_MS, SimEvent::Resend);
            }
        }
    }

    /// Stores the ages of a batch that is not claimed yet behind those of the claimed samples.
    fn append_pending_ages(&mut self, ages: Vec<u64>) {
        self.outcome.ages.truncate(self.claimed.len());
        self.outcome.ages.extend(ages);
    }

    fn submit_more(&mut self) {
        let submit_until =
            (self.trainer.step + self.settings.submitted_ahead).min(self.settings.steps);
        self.trainer.next = if self.trainer.submitted < submit_until {
            TrainerAction::Submit(self.trainer.submitted + 1)
        } else {
            TrainerAction::Fetch(self.trainer.batch)
        };
        self.trainer_send_next();
    }

    fn check_refetched(&mut self, batch: u64, samples: Vec<(SampleId, Attempt)>) {
        match self.trainer.fetched.get(&batch) {
            Some(before) if *before != samples => {
                self.outcome
                    .violations
                    .push(format!("batch {batch} has different samples when fetched again"));
            }
            Some(_) => {}
            None => {
                self.trainer.fetched.insert(batch, samples);
            }
        }
    }

    fn on_batch_claimed(&mut self, batch: u64) {
        let samples = self.trainer.fetched.get(&batch).cloned().unwrap_or_default();
        let bound = self.settings.registration.staleness_bound_versions;
        let ages = self.outcome.ages.split_off(self.claimed.len().min(self.outcome.ages.len()));
        for ((id, _), age) in samples.iter().zip(ages) {
            if let Some(before) = self.claimed.insert(*id, batch) {
                let message = format!(
                    "sample {id} claimed in batch {batch} was already claimed in batch {before}"
                );
                self.outcome.violations.push(message);
            }
            if age > bound {
                self.outcome.violations.push(format!(
                    "sample {id} is {age} versions old, over the staleness bound of {bound}"
                ));
            }
            self.outcome.ages.push(age);
        }
        self.trainer.claimed_of_step += samples.len() as u32;
        if let Some(since) = self.trainer.waiting_since.take() {
            self.trainer.idle_ms += self.now.since_ms(since);
        }
        self.schedule_after(self.settings.train_batch_ms, SimEvent::BatchTrained);
    }

    pub(crate) fn on_batch_trained(&mut self) {
        self.trainer.batch += 1;
        let step_samples = self.settings.groups * self.settings.registration.group_size;
        if self.trainer.claimed_of_step < step_samples {
            self.trainer.next = TrainerAction::Fetch(self.trainer.batch);
        } else {
            self.trainer.claimed_of_step = 0;
            self.outcome.step_times_ms.push(self.now.0);
            self.trainer.next = TrainerAction::Publish(self.trainer.version + 1);
        }
        self.trainer_send_next();
    }

    fn next_step(&mut self) {
        if self.trainer.step >= self.settings.steps {
            self.trainer.next = TrainerAction::Done;
            return;
        }
        self.trainer.step += 1;
        self.submit_more();
    }
}
