//! The policy benchmark: idle time, staleness, waste and recovery, against named baselines.

use crate::engines::{EngineModel, SwapMode, length_of};
use crate::simulation::{Fault, Outcome, Recovery, Simulation, SimulationSettings};
use catkinmast_model::{SampleId, UnixMs};
use catkinmast_rollout::{OrderSettings, Registration, ScheduleSettings};
use displaydoc::Display;
use serde::Serialize;
use std::str::FromStr;

/// The longest that a run may take, in virtual time.
const RUN_MAX_MS: u64 = 6 * 3_600_000;

/// One of the brief's two deployments.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Nine citation engines; staleness weighs more.
    Registre,
    /// Twelve triage engines; idle time weighs more.
    Cooperative,
}

/// deployment '{text}' is not known; write registre or cooperative
#[derive(Clone, Debug, Display)]
pub struct DeploymentError {
    /// The refused text.
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
    /// Returns the world of this deployment with the policy that ships.
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

/// A policy with a name.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// What it changes.
    pub change: fn(&mut SimulationSettings),
    /// Its name in the table.
    pub name: &'static str,
}

/// One row of a table: the mean over the seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyRow {
    /// Mean age of claimed samples, in versions.
    pub age_mean_versions: f64,
    /// Age that 99 of 100 samples do not exceed.
    pub age_p99_versions: u64,
    /// Largest age.
    pub age_max_versions: u64,
    /// Trainer idle time, in percent.
    pub idle_percent: f64,
    /// Writes of the ledger for each step.
    pub ledger_writes_per_step: f64,
    /// Largest ledger, in bytes.
    pub ledger_max_bytes: usize,
    /// Mean time of a step, in milliseconds.
    pub step_ms: u64,
    /// Tokens generated that no claimed sample has, in percent of those generated.
    pub tokens_wasted_percent: f64,
    /// The policy.
    pub variant: String,
    /// Promises broken, over all seeds.
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

/// Runs one variant over `seeds` seeds from `seed` on.
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

/// The baselines, from the plainest to the policy that ships.
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

/// One engine is four times slower than the others.
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

/// What a swap does to running samples.
pub const SWAPS: [Variant; 3] = [
    Variant { name: "abort", change: |settings| settings.engine.swap = SwapMode::Abort },
    Variant {
        name: "finish on old",
        change: |settings| settings.engine.swap = SwapMode::FinishOld,
    },
    Variant { name: "continue (ships)", change: |_| {} },
];

/// What survives the loss of the owner.
pub const RECOVERIES: [Variant; 3] = [
    Variant { name: "start over", change: |settings| settings.recovery = Recovery::Nothing },
    Variant { name: "finished copies", change: |settings| settings.recovery = Recovery::Finished },
    Variant { name: "finished and partial (ships)", change: |_| {} },
];

/// The weights between idle time and staleness.
pub const WEIGHTS: [Variant; 6] = [
    Variant { name: "0", change: |s| s.registration.idle_weight_percent = 0 },
    Variant { name: "20", change: |s| s.registration.idle_weight_percent = 20 },
    Variant { name: "40", change: |s| s.registration.idle_weight_percent = 40 },
    Variant { name: "60", change: |s| s.registration.idle_weight_percent = 60 },
    Variant { name: "80", change: |s| s.registration.idle_weight_percent = 80 },
    Variant { name: "100", change: |s| s.registration.idle_weight_percent = 100 },
];

/// The owner of the trainer's steps dies in the middle of two steps.
pub const OWNER_CRASHES: [(UnixMs, Fault); 2] =
    [(UnixMs(60_000), Fault::OwnerCrash), (UnixMs(200_000), Fault::OwnerCrash)];

/// Returns the time in which no schedule can make one step: all tokens at full speed, or the
/// longest sample alone on an engine.
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
    // A full batch makes half as many tokens for each sequence, and `max_batch` of them.
    let capacity = settings.engines as u64 * u64::from(model.max_batch * model.tokens_per_s) / 2;
    let per_step = lengths.len() / settings.steps as usize;
    let longest: u64 = lengths.chunks(per_step).filter_map(|step| step.iter().max()).sum();
    let longest = longest / settings.steps;
    (total * 1_000 / capacity).max(longest * 1_000 / u64::from(model.tokens_per_s))
}
