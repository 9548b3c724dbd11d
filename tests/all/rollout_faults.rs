//! Randomised fault injection against the state machine of a trainer's steps, in virtual time.
//!
//! After every step of the simulation these invariants must hold: a batch's samples never change
//! once bound, a settled batch stays settled, fencing numbers never decrease, each sample is
//! claimed once, no sample exceeds the staleness bound, and every sample is claimed in the end. The
//! seeds are fixed, so the result is the same on every run; `CATKINMAST_SCHEDULES` sets the number
//! of schedules.

use catkinmast_bench::{EngineModel, Fault, Recovery, Simulation, SimulationSettings};
use catkinmast_model::UnixMs;
use catkinmast_rollout::{OrderSettings, Registration, ScheduleSettings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of schedules unless the environment sets another.
const SCHEDULES: u32 = 300;
/// The end of each simulation, in virtual time.
const ENDS_AT: UnixMs = UnixMs(3_600_000);

fn small_world(seed: u64, bound: u64, idle_weight_percent: u32) -> SimulationSettings {
    SimulationSettings {
        engine: EngineModel { max_batch: 6, median_tokens: 120, ..EngineModel::default() },
        engines: 4,
        groups: 6,
        nodes: 5,
        orders: OrderSettings::default(),
        recovery: Recovery::Partials,
        registration: Registration {
            batch_samples: 8,
            group_size: 4,
            idle_weight_percent,
            staleness_bound_versions: bound,
        },
        schedule: ScheduleSettings::default(),
        seed,
        steps: 4,
        submitted_ahead: 2,
        train_batch_ms: 3_000,
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..2_usize).prop_map(Fault::EngineCrash),
        (1..4_u32).prop_map(Fault::LoseReplies),
        Just(Fault::OwnerCrash),
        Just(Fault::OwnerPause),
        (500..20_000_u64).prop_map(|duration_ms| Fault::StoreOutage { duration_ms }),
        (0..4_usize).prop_map(Fault::SwapFails),
    ]
}

fn schedule() -> impl Strategy<Value = Vec<(UnixMs, Fault)>> {
    let timed = (500..90_000_u64, fault()).prop_map(|(at, fault)| (UnixMs(at), fault));
    proptest::collection::vec(timed, 0..6).prop_filter("at least one node must survive", |faults| {
        let losses =
            |(_, fault): &&(UnixMs, Fault)| matches!(fault, Fault::OwnerCrash | Fault::OwnerPause);
        faults.iter().filter(losses).count() <= 3
    })
}

fn schedules() -> u32 {
    let asked = std::env::var("CATKINMAST_SCHEDULES").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(SCHEDULES)
}

#[test]
fn no_fault_schedule_violates_an_invariant() {
    let config = Config { cases: schedules(), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let inputs = (schedule(), 0..1_000_u64, 0..3_u64, 0..101_u32);

    let outcome = runner.run(&inputs, |(faults, seed, bound, weight)| {
        let world = Simulation::open(small_world(seed, bound, weight), &faults);
        let violations = world.run(ENDS_AT).violations;
        prop_assert!(violations.is_empty(), "{violations:?}");
        Ok(())
    });

    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// Guards against results that differ between runs with the same seed and faults, because an order
/// depends on a hash, a clock or an address.
#[test]
fn the_same_seed_gives_the_same_outcome() {
    let faults = [(UnixMs(4_000), Fault::OwnerCrash), (UnixMs(9_000), Fault::LoseReplies(2))];
    let run = || Simulation::open(small_world(3, 1, 50), &faults).run(ENDS_AT);

    let (first, second) = (run(), run());

    assert_eq!(first, second);
    assert!(first.violations.is_empty(), "{:?}", first.violations);
}

/// Guards against delivering samples twice: four samples were in batch 13 and again in batch 14. A
/// new version voids batch 10, and the trainer's claim of batch 10 arrives before the ledger is
/// written and voids it once more. The second void released the samples although they were already
/// bound again.
#[test]
fn a_claim_racing_with_a_void_does_not_release_samples_twice() {
    // The schedule in which the randomised test found the failure.
    let faults = [(UnixMs(15_468), Fault::OwnerPause)];

    let outcome = Simulation::open(small_world(157, 2, 50), &faults).run(ENDS_AT);

    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
}
