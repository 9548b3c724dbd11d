//! Verifies a run: compares what callers and trainers received with the stand-ins' records.

use crate::fleet::Fleet;
use catkinmast_config::Call;
use catkinmast_model::{Segments, Version};
use catkinmast_standin::expected_token;
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A sample as received by a trainer.
#[derive(Clone, Debug)]
pub(crate) struct SampleRecord {
    pub attempt: String,
    pub group: u32,
    pub index: u32,
    pub prompt: String,
    pub seed: u64,
    pub segments: Segments,
    pub step: u64,
    pub tokens: Vec<u32>,
    pub trainer: String,
}

/// The result of a call for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    /// The answer differs from the service's answer to this request.
    Corrupted,
    MayHaveRun,
    RefusedNotRun,
    Complete,
}

#[derive(Debug, Default)]
struct Observations {
    violations: Vec<String>,
    disconnections: Vec<SocketAddr>,
    calls_ended: IndexMap<(String, String), (CallOutcome, bool)>,
    calls_sent: u64,
    claimed: Vec<(SampleRecord, u64)>,
    crashed: IndexSet<SocketAddr>,
    interrupted_by_drain: usize,
    over_staleness_bound: u64,
    samples_submitted: u64,
    trained: Duration,
    waited: Duration,
}

/// Collects what callers and trainers observe.
#[derive(Debug, Default)]
pub(crate) struct Verifier {
    observations: Mutex<Observations>,
}

/// The results of a run. The field names are the keys of the printed JSON.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    samples_submitted: u64,
    samples_claimed: u64,
    samples_lost: u64,
    samples_doubled: u64,
    samples_over_staleness_bound: u64,
    samples_misattributed: u64,
    calls_sent: u64,
    calls_answered_whole: u64,
    calls_refused_not_run: u64,
    calls_refused_not_run_but_ran: u64,
    calls_may_have_run: u64,
    calls_cut: u64,
    calls_doubled: u64,
    non_idempotent_run_twice: u64,
    trainer_idle_percent: f64,
    staleness_mean_versions: f64,
    staleness_max_versions: u64,
    kv_calls: u64,
    seed: u64,
    kv_calls_by_kind: IndexMap<&'static str, u64>,
    /// Violations that no counter covers.
    broken: Vec<String>,
}

impl Verifier {
    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violation that no counter covers.
    pub(crate) fn record_violation(&self, message: String) {
        self.observations().violations.push(message);
    }

    pub(crate) fn record_submitted_samples(&self, count: u64) {
        self.observations().samples_submitted += count;
    }

    /// Records a claimed sample and its age relative to `at_version`, the trainer's version.
    pub(crate) fn record_claimed_sample(&self, sample: SampleRecord, at_version: u64, bound: u64) {
        let mut observations = self.observations();
        let age = sample.segments.age_versions(Version(at_version));
        observations.over_staleness_bound += u64::from(age > bound);
        observations.claimed.push((sample, age));
    }

    pub(crate) fn record_wait(&self, waited: Duration) {
        self.observations().waited += waited;
    }

    pub(crate) fn record_training(&self, trained: Duration) {
        self.observations().trained += trained;
    }

    pub(crate) fn record_call(&self) {
        self.observations().calls_sent += 1;
    }

    pub(crate) fn record_call_outcome(&self, outcome: CallOutcome, call: &Call, body: &str) {
        let key = (call.path.clone(), body.to_owned());
        self.observations().calls_ended.insert(key, (outcome, call.idempotent));
    }

    pub(crate) fn record_disconnection(&self, address: SocketAddr) {
        self.observations().disconnections.push(address);
    }

    pub(crate) fn record_node_crash(&self, address: SocketAddr) {
        self.observations().crashed.insert(address);
    }

    pub(crate) fn record_node_drain(&self, interrupted: usize) {
        self.observations().interrupted_by_drain += interrupted;
    }

    /// Compares the observations with the records of the fleet's stand-ins.
    pub(crate) fn verify(&self, fleet: &Fleet, seed: u64) -> Summary {
        let observations = self.observations();
        let mut run_counts: IndexMap<(String, String), u32> = IndexMap::new();
        for service in fleet.services.values() {
            for (call, count) in service.run_counts() {
                *run_counts.entry(call).or_default() += count;
            }
        }
        let ended = |wanted: CallOutcome| {
            observations.calls_ended.values().filter(|(outcome, _)| *outcome == wanted).count()
                as u64
        };
        let run_twice = observations
            .calls_ended
            .iter()
            .filter(|(call, (_, idempotent))| !idempotent && run_counts.get(*call) > Some(&1))
            .count() as u64;
        let ran_despite_refusal = observations
            .calls_ended
            .iter()
            .filter(|(call, (outcome, _))| {
                *outcome == CallOutcome::RefusedNotRun && run_counts.contains_key(*call)
            })
            .count() as u64;
        // Connections to a crashed node are expected to fail; all other failures are violations.
        let interrupted =
            observations.disconnections.iter().filter(|at| !observations.crashed.contains(*at));
        let ids = observations.claimed.iter().map(|(s, _)| (&s.trainer, s.step, s.group, s.index));
        let distinct: IndexSet<_> = ids.collect();
        let claimed = observations.claimed.len() as u64;
        let ages: Vec<u64> = observations.claimed.iter().map(|(_, age)| *age).collect();
        let total_s = (observations.waited + observations.trained).as_secs_f64();
        let kv_calls_by_kind = fleet.platform.call_counts();
        Summary {
            samples_submitted: observations.samples_submitted,
            samples_claimed: claimed,
            samples_lost: observations.samples_submitted.saturating_sub(distinct.len() as u64),
            samples_doubled: claimed - distinct.len() as u64,
            samples_over_staleness_bound: observations.over_staleness_bound,
            samples_misattributed: misattributed(&observations.claimed, fleet),
            calls_sent: observations.calls_sent,
            calls_answered_whole: ended(CallOutcome::Complete),
            calls_refused_not_run: ended(CallOutcome::RefusedNotRun),
            calls_refused_not_run_but_ran: ran_despite_refusal,
            calls_may_have_run: ended(CallOutcome::MayHaveRun),
            calls_cut: ended(CallOutcome::Corrupted)
                + interrupted.count() as u64
                + observations.interrupted_by_drain as u64,
            calls_doubled: run_twice,
            non_idempotent_run_twice: run_twice,
            trainer_idle_percent: round(
                100.0 * observations.waited.as_secs_f64() / total_s.max(1e-9),
            ),
            staleness_mean_versions: round(
                ages.iter().sum::<u64>() as f64 / ages.len().max(1) as f64,
            ),
            staleness_max_versions: ages.iter().copied().max().unwrap_or(0),
            kv_calls: kv_calls_by_kind.values().sum(),
            seed,
            kv_calls_by_kind,
            broken: observations.violations.clone(),
        }
    }
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Counts samples whose segments do not match their tokens or the engine's record.
fn misattributed(claimed: &[(SampleRecord, u64)], fleet: &Fleet) -> u64 {
    let mut records = IndexMap::new();
    for engine in fleet.engines.values() {
        records.extend(engine.records());
    }
    let wrong = claimed.iter().filter(|(sample, _)| {
        let version_at = |index: u32| {
            let segments = sample.segments.as_slice();
            segments.iter().find(|segment| segment.end > index).map(|segment| segment.version)
        };
        let tokens_match = sample.tokens.iter().enumerate().all(|(index, token)| {
            version_at(index as u32).is_some_and(|version| {
                *token == expected_token(&sample.prompt, sample.seed, index as u32, version)
            })
        });
        let id = format!(
            "{}/{}/{}/{}/{}",
            sample.trainer, sample.step, sample.group, sample.index, sample.attempt
        );
        let record_matches = records.get(&id).is_some_and(|record| {
            record.finished
                && record.absolute_segments().iter().all(|segment| {
                    (segment.start..segment.end)
                        .all(|index| version_at(index) == Some(segment.version))
                })
        });
        !(tokens_match && record_matches)
    });
    wrong.count() as u64
}

impl Summary {
    /// Returns whether every guarantee was kept and every call ended.
    pub(crate) fn all_guarantees_kept(&self) -> bool {
        let violation_counts = [
            self.samples_lost,
            self.samples_doubled,
            self.samples_over_staleness_bound,
            self.samples_misattributed,
            self.calls_refused_not_run_but_ran,
            self.calls_cut,
            self.calls_doubled,
            self.non_idempotent_run_twice,
            self.broken.len() as u64,
        ];
        let all_ended = self.calls_answered_whole
            + self.calls_refused_not_run
            + self.calls_may_have_run
            + self.calls_cut
            >= self.calls_sent;
        violation_counts.iter().all(|count| *count == 0) && all_ended
    }

    /// Prints the summary as text, then as one line of JSON.
    pub(crate) fn print(&self) {
        println!(
            "\nsamples  {} submitted, {} claimed, {} lost, {} doubled, {} over the bound, {} \
             misattributed",
            self.samples_submitted,
            self.samples_claimed,
            self.samples_lost,
            self.samples_doubled,
            self.samples_over_staleness_bound,
            self.samples_misattributed
        );
        println!(
            "calls    {} sent, {} whole, {} not run, {} may have run, {} cut, {} run twice",
            self.calls_sent,
            self.calls_answered_whole,
            self.calls_refused_not_run,
            self.calls_may_have_run,
            self.calls_cut,
            self.non_idempotent_run_twice
        );
        println!(
            "trainer  idle {} %, staleness mean {} and max {} versions",
            self.trainer_idle_percent, self.staleness_mean_versions, self.staleness_max_versions
        );
        println!("platform {} calls: {:?}", self.kv_calls, self.kv_calls_by_kind);
        for violation in &self.broken {
            println!("broken   {violation}");
        }
        println!("promises {}", if self.all_guarantees_kept() { "all kept" } else { "BROKEN" });
        println!("{}", serde_json::to_string(self).unwrap_or_default());
    }
}
