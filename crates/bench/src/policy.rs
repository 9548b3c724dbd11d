//! Scheduling policy benchmark: trainer idle time, staleness, wasted tokens and recovery of the
//! default policy against baselines.

use crate::engines::{EngineModel, SwapMode, length_of};
use crate::simulation::{Fault, Outcome, Recovery, Simulation, SimulationSettings};
use catkinmast_model::{SampleId, UnixMs};
use catkinmast_rollout::{OrderSettings, Registration, ScheduleSettings};
use displaydoc::Display;
use serde::Serialize;
use std::str::FromStr;

/// Limit on the virtual time of a simulation.
const RUN_MAX_MS: u64 = 6 * 3_600_000;

/// One of the two deployments that the benchmark models.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Nine citation engines; low staleness has priority.
    Registre,
    /// Twelve triage engines; low trainer idle time has priority.
    Cooperative,
}

/// deployment '{text}' is not known; write registre or cooperative
#[derive(Clone, Debug, Display)]
pub struct DeploymentError {
    /// The text that names no deployment.
    pub text: String,
}

impl std::error::Error for DeploymentError {}

impl FromStr for Deployment {
    type Err = DeploymentError;

    fn from_str(text: &str) -> Result<Self, DeploymentError> {
        match text {
            "registre" => Ok(Self::Registre),
            "cooperative" => Ok(Self::Cooperative),
            _ => Err(DeploymentError { text: text.to_owned() }),
        }
    }
}

impl Deployment {
    /// Returns the settings of this deployment with the default policy.
    pub fn settings(self, seed: u64) -> SimulationSettings {
        let (engines, bound, weight) = match self {
            Self::Registre => (9, 2, 20),
            Self::Cooperative => (12, 3, 90),
        };
        SimulationSettings {
            engine: EngineModel { lengths_seed: seed, ..EngineModel::default() },
            engines,
            groups: 48,
            nodes: 7,
            orders: OrderSettings::default(),
            recovery: Recovery::Partials,
            registration: Registration {
                batch_samples: 64,
                group_size: 8,
                idle_weight_percent: weight,
                staleness_bound_versions: bound,
            },
            schedule: ScheduleSettings::default(),
            seed,
            steps: 6,
            submitted_ahead: 3,
            train_batch_ms: 10_000,
        }
    }
}

/// A policy under comparison.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// Changes the default settings to this policy.
    pub change: fn(&mut SimulationSettings),
    /// Name in the table.
    pub name: &'static str,
}

/// Results of one policy over all seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyRow {
    /// Mean staleness of claimed samples, in weight versions.
    pub age_mean_versions: f64,
    /// Largest 99th percentile of staleness of any seed, in weight versions.
    pub age_p99_versions: u64,
    /// Largest staleness, in weight versions.
    pub age_max_versions: u64,
    /// Mean share of time that the trainer waited for batches, in percent.
    pub idle_percent: f64,
    /// Mean number of ledger writes per step.
    pub ledger_writes_per_step: f64,
    /// Size of the largest ledger, in bytes.
    pub ledger_max_bytes: usize,
    /// Mean time of a step, in milliseconds.
    pub step_ms: u64,
    /// Generated tokens that are in no fetched batch, in percent of all generated tokens.
    pub tokens_wasted_percent: f64,
    /// Name of the policy.
    pub variant: String,
    /// Number of violated guarantees, over all seeds.
    pub violations: usize,
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

impl PolicyRow {
    fn of(variant: &str, outcomes: &[Outcome], steps: u64) -> Self {
        let count = outcomes.len().max(1) as f64;
        let mean =
            |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / count;
        Self {
            age_mean_versions: round(mean(&Outcome::mean_age)),
            age_p99_versions: outcomes.iter().map(Outcome::p99_age).max().unwrap_or(0),
            age_max_versions: outcomes
                .iter()
                .filter_map(|outcome| outcome.ages.last().copied())
                .max()
                .unwrap_or(0),
            idle_percent: round(mean(&Outcome::idle_percent)),
            ledger_writes_per_step: round(mean(&|o| o.ledger_writes as f64) / steps as f64),
            ledger_max_bytes: outcomes.iter().map(|o| o.ledger_max_bytes).max().unwrap_or(0),
            step_ms: mean(&|o| o.mean_step_ms() as f64) as u64,
            tokens_wasted_percent: round(mean(&|outcome| {
                let wasted = outcome.tokens_generated.saturating_sub(outcome.tokens_used);
                100.0 * wasted as f64 / outcome.tokens_generated.max(1) as f64
            })),
            variant: variant.to_owned(),
            violations: outcomes.iter().map(|outcome| outcome.violations.len()).sum(),
        }
    }
}

/// Simulates one policy with each of `seeds` seeds, starting at `seed`.
pub fn run_variant(
    deployment: Deployment,
    seed: u64,
    seeds: u64,
    faults: &[(UnixMs, Fault)],
    variant: Variant,
) -> PolicyRow {
    let mut steps = 1;
    let outcomes: Vec<Outcome> = (seed..seed + seeds)
        .map(|seed| {
            let mut settings = deployment.settings(seed);
            (variant.change)(&mut settings);
            steps = settings.steps;
            Simulation::open(settings, faults).run(UnixMs(RUN_MAX_MS))
        })
        .collect();
    PolicyRow::of(variant.name, &outcomes, steps)
}

/// Scheduling policies, from the simplest baseline to the default.
pub const SCHEDULES: [Variant; 4] = [
    Variant {
        name: "round robin, first come",
        change: |settings| {
            settings.schedule = ScheduleSettings {
                duplicates_max_percent: 0,
                longest_first: false,
                prefix_affinity: false,
                resume_partials: false,
                round_robin: true,
            };
        },
    },
    Variant {
        name: "emptiest engine, first come",
        change: |settings| {
            settings.schedule.duplicates_max_percent = 0;
            settings.schedule.longest_first = false;
            settings.schedule.prefix_affinity = false;
        },
    },
    Variant {
        name: "longest first",
        change: |settings| settings.schedule.duplicates_max_percent = 0,
    },
    Variant { name: "longest first, tail duplicated (ships)", change: |_| {} },
];

/// Policies with one engine that is four times slower than the others.
pub const SLOW_ENGINE: [Variant; 2] = [
    Variant {
        name: "longest first",
        change: |settings| {
            settings.engine.slow_engine_factor = 4;
            settings.schedule.duplicates_max_percent = 0;
        },
    },
    Variant {
        name: "longest first, tail duplicated (ships)",
        change: |settings| settings.engine.slow_engine_factor = 4,
    },
];

/// Ways in which a weight swap treats running samples.
pub const SWAPS: [Variant; 3] = [
    Variant { name: "abort", change: |settings| settings.engine.swap = SwapMode::Abort },
    Variant {
        name: "finish on old",
        change: |settings| settings.engine.swap = SwapMode::FinishOld,
    },
    Variant { name: "continue (ships)", change: |_| {} },
];

/// What a new owner recovers after the loss of the previous one.
pub const RECOVERIES: [Variant; 3] = [
    Variant { name: "start over", change: |settings| settings.recovery = Recovery::Nothing },
    Variant { name: "finished copies", change: |settings| settings.recovery = Recovery::Finished },
    Variant { name: "finished and partial (ships)", change: |_| {} },
];

/// Weights of trainer idle time against staleness, in percent.
pub const WEIGHTS: [Variant; 6] = [
    Variant { name: "0", change: |s| s.registration.idle_weight_percent = 0 },
    Variant { name: "20", change: |s| s.registration.idle_weight_percent = 20 },
    Variant { name: "40", change: |s| s.registration.idle_weight_percent = 40 },
    Variant { name: "60", change: |s| s.registration.idle_weight_percent = 60 },
    Variant { name: "80", change: |s| s.registration.idle_weight_percent = 80 },
    Variant { name: "100", change: |s| s.registration.idle_weight_percent = 100 },
];

/// Crashes of the owner of the trainer's steps, in the middle of two steps.
pub const OWNER_CRASHES: [(UnixMs, Fault); 2] =
    [(UnixMs(60_000), Fault::OwnerCrash), (UnixMs(200_000), Fault::OwnerCrash)];

/// Returns a lower bound on the mean time of a step under any schedule: the time for all tokens
/// with every engine at full batch, or for the longest sample alone on an engine, whichever is
/// longer.
pub fn step_lower_bound_ms(settings: &SimulationSettings) -> u64 {
    let model = settings.engine;
    let lengths = (1..=settings.steps).flat_map(|step| {
        (0..settings.groups).flat_map(move |group| {
            (0..settings.registration.group_size)
                .map(move |index| length_of(SampleId { step, group, index }, &model))
        })
    });
    let lengths: Vec<u64> = lengths.map(u64::from).collect();
    let total: u64 = lengths.iter().sum::<u64>() / settings.steps;
    // At a full batch, each of the `max_batch` sequences runs at half the speed of a single one.
    let capacity = settings.engines as u64 * u64::from(model.max_batch * model.tokens_per_s) / 2;
    let per_step = lengths.len() / settings.steps as usize;
    let longest: u64 = lengths.chunks(per_step).filter_map(|step| step.iter().max()).sum();
    let longest = longest / settings.steps;
    (total * 1_000 / capacity).max(longest * 1_000 / u64::from(model.tokens_per_s))
}
