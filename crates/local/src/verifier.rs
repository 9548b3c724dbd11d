//! The judge: compares what was received with what the stand-ins recorded.

use crate::fleet::Fleet;
use catkinmast_config::Call;
use catkinmast_model::{Segments, Version};
use catkinmast_standin::expected_token;
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A sample as a trainer received it.
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

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    Cut,
    MayHaveRun,
    RefusedNotRun,
    Whole,
}

#[derive(Debug, Default)]
struct Notes {
    broken: Vec<String>,
    broken_connections: Vec<SocketAddr>,
    calls_ended: IndexMap<(String, String), (CallOutcome, bool)>,
    calls_sent: u64,
    claimed: Vec<(SampleRecord, u64)>,
    crashed: IndexSet<SocketAddr>,
    drain_cut: usize,
    over_bound: u64,
    samples_submitted: u64,
    trained: Duration,
    waited: Duration,
}

/// Collects what callers and trainers saw.
#[derive(Debug, Default)]
pub(crate) struct Judge {
    notes: Mutex<Notes>,
}

/// The outcome of a run.
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
    broken: Vec<String>,
}

impl Judge {
    fn notes(&self) -> MutexGuard<'_, Notes> {
        self.notes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn note_broken(&self, message: String) {
        self.notes().broken.push(message);
    }

    pub(crate) fn samples_submitted(&self, count: u64) {
        self.notes().samples_submitted += count;
    }

    pub(crate) fn sample_claimed(&self, sample: SampleRecord, at_version: u64, bound: u64) {
        let mut notes = self.notes();
        let age = sample.segments.age_versions(Version(at_version));
        notes.over_bound += u64::from(age > bound);
        notes.claimed.push((sample, age));
    }

    pub(crate) fn trainer_waited(&self, waited: Duration) {
        self.notes().waited += waited;
    }

    pub(crate) fn trainer_trained(&self, trained: Duration) {
        self.notes().trained += trained;
    }

    pub(crate) fn call_sent(&self) {
        self.notes().calls_sent += 1;
    }

    pub(crate) fn call_ended(&self, outcome: CallOutcome, call: &Call, body: &str) {
        let key = (call.path.clone(), body.to_owned());
        self.notes().calls_ended.insert(key, (outcome, call.idempotent));
    }

    pub(crate) fn connection_broke(&self, address: SocketAddr) {
        self.notes().broken_connections.push(address);
    }

    pub(crate) fn node_crashed(&self, address: SocketAddr) {
        self.notes().crashed.insert(address);
    }

    pub(crate) fn node_drained(&self, cut: usize) {
        self.notes().drain_cut += cut;
    }

    pub(crate) fn judge(&self, fleet: &Fleet, seed: u64) -> Summary {
        let notes = self.notes();
        let mut runs: IndexMap<(String, String), u32> = IndexMap::new();
        for service in fleet.services.values() {
            for (call, count) in service.run_counts() {
                *runs.entry(call).or_default() += count;
            }
        }
        let ended = |wanted: CallOutcome| {
            notes.calls_ended.values().filter(|(outcome, _)| *outcome == wanted).count() as u64
        };
        let run_twice = notes
            .calls_ended
            .iter()
            .filter(|(call, (_, idempotent))| !idempotent && runs.get(*call) > Some(&1))
            .count() as u64;
        let false_not_run = notes
            .calls_ended
            .iter()
            .filter(|(call, (outcome, _))| {
                *outcome == CallOutcome::RefusedNotRun && runs.contains_key(*call)
            })
            .count() as u64;
        // A connection to a node that was dropped without warning breaks; any other was cut.
        let cut = notes.broken_connections.iter().filter(|at| !notes.crashed.contains(*at));
        let ids = notes.claimed.iter().map(|(s, _)| (&s.trainer, s.step, s.group, s.index));
        let distinct: IndexSet<_> = ids.collect();
        let claimed = notes.claimed.len() as u64;
        let ages: Vec<u64> = notes.claimed.iter().map(|(_, age)| *age).collect();
        let in_all = (notes.waited + notes.trained).as_secs_f64();
        let kv_calls_by_kind = fleet.platform.call_counts();
        Summary {
            samples_submitted: notes.samples_submitted,
            samples_claimed: claimed,
            samples_lost: notes.samples_submitted.saturating_sub(distinct.len() as u64),
            samples_doubled: claimed - distinct.len() as u64,
            samples_over_staleness_bound: notes.over_bound,
            samples_misattributed: misattributed(&notes.claimed, fleet),
            calls_sent: notes.calls_sent,
            calls_answered_whole: ended(CallOutcome::Whole),
            calls_refused_not_run: ended(CallOutcome::RefusedNotRun),
            calls_refused_not_run_but_ran: false_not_run,
            calls_may_have_run: ended(CallOutcome::MayHaveRun),
            calls_cut: ended(CallOutcome::Cut) + cut.count() as u64 + notes.drain_cut as u64,
            calls_doubled: run_twice,
            non_idempotent_run_twice: run_twice,
            trainer_idle_percent: round(100.0 * notes.waited.as_secs_f64() / in_all.max(1e-9)),
            staleness_mean_versions: round(
                ages.iter().sum::<u64>() as f64 / ages.len().max(1) as f64,
            ),
            staleness_max_versions: ages.iter().copied().max().unwrap_or(0),
            kv_calls: kv_calls_by_kind.values().sum(),
            seed,
            kv_calls_by_kind,
            broken: notes.broken.clone(),
        }
    }
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Counts samples whose segments disagree with the tokens, or with the engine's own record.
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
        let tokens_fit = sample.tokens.iter().enumerate().all(|(index, token)| {
            version_at(index as u32).is_some_and(|version| {
                *token == expected_token(&sample.prompt, sample.seed, index as u32, version)
            })
        });
        let id = format!(
            "{}/{}/{}/{}/{}",
            sample.trainer, sample.step, sample.group, sample.index, sample.attempt
        );
        let record_fits = records.get(&id).is_some_and(|record| {
            record.finished
                && record.placed_segments().iter().all(|segment| {
                    (segment.start..segment.end)
                        .all(|index| version_at(index) == Some(segment.version))
                })
        });
        !(tokens_fit && record_fits)
    });
    wrong.count() as u64
}

impl Summary {
    /// Tells whether every promise was kept.
    pub(crate) fn all_kept(&self) -> bool {
        let broken = [
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
        broken.iter().all(|count| *count == 0) && all_ended
    }

    /// Prints the summary for people, then as one line of JSON.
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
        for broken in &self.broken {
            println!("broken   {broken}");
        }
        println!("promises {}", if self.all_kept() { "all kept" } else { "BROKEN" });
        println!("{}", serde_json::to_string(self).unwrap_or_default());
    }
}
