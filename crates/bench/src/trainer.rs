//! The trainer of a world: it submits ahead, fetches, claims, trains and publishes, and checks what
//! it is given.

use crate::simulation::{Happening, Simulation};
use catkinmast_model::{SampleId, UnixMs, Version};
use catkinmast_rollout::{Attempt, Command, GroupSpec, Reply, StepSpec};
use indexmap::IndexMap;

/// How long a trainer waits before it sends a command again.
const RESEND_MS: u64 = 1_000;
/// How long a trainer waits for an answer.
const ANSWER_MS: u64 = 12_000;

/// What the trainer is about to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Next {
    Register,
    Submit(u64),
    Fetch(u64),
    Claim(u64),
    Publish(u64),
    Done,
}

#[derive(Debug)]
pub(crate) struct TrainerSim {
    pub asked: Option<(u64, Next)>,
    pub batch: u64,
    pub claimed_of_step: u32,
    pub idle_ms: u64,
    pub next: Next,
    pub resend_at: UnixMs,
    pub seen: IndexMap<u64, Vec<(SampleId, Attempt)>>,
    pub step: u64,
    pub submitted: u64,
    pub version: u64,
    pub waiting_since: Option<UnixMs>,
}

impl Simulation {
    fn ask(&mut self, next: &Next, command: Command) {
        self.reply_to += 1;
        self.trainer.asked = Some((self.reply_to, next.clone()));
        self.trainer.resend_at = self.now.plus(ANSWER_MS);
        let (owner, reply_to) = (self.current, self.reply_to);
        self.after(1, Happening::Send { command, owner, reply_to });
        self.after(ANSWER_MS, Happening::Resend);
    }

    pub(crate) fn trainer_acts(&mut self) {
        let next = self.trainer.next.clone();
        let at_version = Version(self.trainer.version);
        let command = match &next {
            Next::Register => Command::Register(self.settings.registration.clone()),
            Next::Submit(step) => Command::Submit { step: *step, spec: self.step_spec(*step) },
            Next::Fetch(batch) => Command::Fetch { batch: *batch, until: self.now.plus(10_000) },
            Next::Claim(batch) => Command::Claim { at_version, batch: *batch },
            Next::Publish(version) => Command::Publish { version: Version(*version) },
            Next::Done => return,
        };
        if matches!(next, Next::Fetch(_)) && self.trainer.waiting_since.is_none() {
            self.trainer.waiting_since = Some(self.now);
        }
        self.ask(&next, command);
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

    /// A command that was not answered is sent again: all of them are idempotent.
    pub(crate) fn trainer_resends(&mut self) {
        if self.trainer.asked.is_some() && self.now >= self.trainer.resend_at {
            self.trainer_acts();
        }
    }

    pub(crate) fn trainer_hears(&mut self, reply_to: u64, reply: Reply) {
        if self.trainer.asked.as_ref().is_none_or(|(asked, _)| *asked != reply_to) {
            return;
        }
        let Some((_, asked)) = self.trainer.asked.take() else { return };
        match (asked, reply) {
            (Next::Register, Reply::Registered(_)) => self.submit_more(),
            (Next::Submit(step), Reply::Accepted { .. }) => {
                self.trainer.submitted = step;
                self.submit_more();
            }
            (Next::Fetch(batch), Reply::Batch(view)) => {
                let samples = view.samples.iter().map(|s| (s.id, s.attempt)).collect();
                self.check_same(batch, samples);
                let ages = view.samples.iter().map(|sample| {
                    sample.finished.segments.age_versions(Version(self.trainer.version))
                });
                let ages: Vec<u64> = ages.collect();
                self.trainer.next = Next::Claim(batch);
                self.outcome.tokens_used += view
                    .samples
                    .iter()
                    .map(|s| u64::from(s.finished.segments.token_count()))
                    .sum::<u64>();
                self.trainer_acts();
                self.pending_ages(ages);
            }
            (Next::Claim(batch), Reply::Claimed { .. }) => self.batch_claimed(batch),
            (Next::Fetch(batch) | Next::Claim(batch), Reply::Void { .. }) => {
                self.trainer.seen.swap_remove(&batch);
                self.outcome.ages.truncate(self.claimed.len());
                self.trainer.batch += 1;
                self.trainer.next = Next::Fetch(self.trainer.batch);
                self.trainer_acts();
            }
            (Next::Publish(version), Reply::Published { .. }) => {
                self.trainer.version = version;
                self.next_step();
            }
            (_, Reply::Invalid(error)) => {
                self.outcome.violations.push(format!("a command was invalid: {error}"));
                self.trainer.next = Next::Done;
            }
            (_, _) => {
                // Refused, or not yet: asked again after a while.
                self.trainer.asked = Some((0, self.trainer.next.clone()));
                self.trainer.resend_at = self.now.plus(RESEND_MS);
                self.after(RESEND_MS, Happening::Resend);
            }
        }
    }

    /// Ages count once their batch is claimed; until then they stand behind those that do.
    fn pending_ages(&mut self, ages: Vec<u64>) {
        self.outcome.ages.truncate(self.claimed.len());
        self.outcome.ages.extend(ages);
    }

    fn submit_more(&mut self) {
        let wanted = (self.trainer.step + self.settings.submitted_ahead).min(self.settings.steps);
        self.trainer.next = if self.trainer.submitted < wanted {
            Next::Submit(self.trainer.submitted + 1)
        } else {
            Next::Fetch(self.trainer.batch)
        };
        self.trainer_acts();
    }

    fn check_same(&mut self, batch: u64, samples: Vec<(SampleId, Attempt)>) {
        match self.trainer.seen.get(&batch) {
            Some(before) if *before != samples => {
                self.outcome.violations.push(format!("batch {batch} differs when fetched again"));
            }
            Some(_) => {}
            None => {
                self.trainer.seen.insert(batch, samples);
            }
        }
    }

    fn batch_claimed(&mut self, batch: u64) {
        let samples = self.trainer.seen.get(&batch).cloned().unwrap_or_default();
        let bound = self.settings.registration.staleness_bound_versions;
        let ages = self.outcome.ages.split_off(self.claimed.len().min(self.outcome.ages.len()));
        for ((id, _), age) in samples.iter().zip(ages) {
            if let Some(before) = self.claimed.insert(*id, batch) {
                let message = format!("sample {id} in batch {batch} was claimed in {before}");
                self.outcome.violations.push(message);
            }
            if age > bound {
                self.outcome.violations.push(format!("sample {id} is {age} versions old"));
            }
            self.outcome.ages.push(age);
        }
        self.trainer.claimed_of_step += samples.len() as u32;
        if let Some(since) = self.trainer.waiting_since.take() {
            self.trainer.idle_ms += self.now.since_ms(since);
        }
        self.after(self.settings.train_batch_ms, Happening::Trained);
    }

    pub(crate) fn trained(&mut self) {
        self.trainer.batch += 1;
        let whole = self.settings.groups * self.settings.registration.group_size;
        if self.trainer.claimed_of_step < whole {
            self.trainer.next = Next::Fetch(self.trainer.batch);
        } else {
            self.trainer.claimed_of_step = 0;
            self.outcome.step_times_ms.push(self.now.0);
            self.trainer.next = Next::Publish(self.trainer.version + 1);
        }
        self.trainer_acts();
    }

    fn next_step(&mut self) {
        if self.trainer.step >= self.settings.steps {
            self.trainer.next = Next::Done;
            return;
        }
        self.trainer.step += 1;
        self.submit_more();
    }
}
