//! Regression bounds on the policy benchmark. Its times are virtual, so they are the same on any
//! machine.

use catkinmast_bench::{
    Deployment, OWNER_CRASHES, PolicyRow, RECOVERIES, SCHEDULES, SLOW_ENGINE, Variant, WEIGHTS,
    run_variant,
};

fn row(deployment: Deployment, variants: &[Variant], name: &str) -> PolicyRow {
    let variant = variants.iter().find(|variant| variant.name == name).expect("a variant");
    let row = run_variant(deployment, 1, 1, &[], *variant);
    assert_eq!(row.violations, 0, "{row:?}");
    row
}

/// Guards against steps that wait for a few samples on a slow engine: one engine of nine runs at a
/// quarter of the usual speed, and its samples are not duplicated on engines that have become idle.
#[test]
fn duplicating_stragglers_shortens_steps_with_a_slow_engine() {
    let without = row(Deployment::Registre, &SLOW_ENGINE, "longest first");
    let with = row(Deployment::Registre, &SLOW_ENGINE, "longest first, tail duplicated (ships)");
    assert!(with.step_ms * 100 <= without.step_ms * 85, "{with:?} against {without:?}");
    assert!(with.step_ms <= 260_000, "{with:?}");
    assert!(with.tokens_wasted_percent <= 3.0, "{with:?}");
}

/// Guards against a run-ahead that ignores the idle weight, so that different weights give
/// the same idle time and staleness.
#[test]
fn the_weight_trades_idle_time_for_staleness() {
    let fresh = row(Deployment::Cooperative, &WEIGHTS, "0");
    let busy = row(Deployment::Cooperative, &WEIGHTS, "100");
    assert!(busy.idle_percent + 20.0 <= fresh.idle_percent, "{busy:?} against {fresh:?}");
    assert!(fresh.age_mean_versions + 0.8 <= busy.age_mean_versions);
    assert!(busy.age_max_versions <= 3, "the staleness bound is never exceeded");
}

/// Guards against losing a step's worth of tokens with one node: the owner of the steps crashes
/// twice, and finished samples have no copy elsewhere or running ones no tokens to resume from.
#[test]
fn copies_save_most_tokens_when_the_owner_crashes() {
    let run =
        |variant: &Variant| run_variant(Deployment::Cooperative, 1, 1, &OWNER_CRASHES, *variant);
    let rows: Vec<PolicyRow> = RECOVERIES.iter().map(run).collect();
    assert!(rows.iter().all(|row| row.violations == 0));
    let wasted: Vec<f64> = rows.iter().map(|row| row.tokens_wasted_percent).collect();
    assert!(wasted[1] * 2.0 <= wasted[0], "copies of finished samples: {wasted:?}");
    assert!(wasted[2] * 2.0 <= wasted[1], "and of running ones: {wasted:?}");
}

/// Guards against a change of the scheduling policy that makes steps slower than the baseline.
#[test]
fn the_shipped_schedule_is_no_slower_than_round_robin() {
    let baseline = row(Deployment::Registre, &SCHEDULES, "round robin, first come");
    let shipped = row(Deployment::Registre, &SCHEDULES, "longest first, tail duplicated (ships)");
    assert!(shipped.step_ms <= baseline.step_ms, "{shipped:?} against {baseline:?}");
    assert!(shipped.ledger_writes_per_step <= 16.0, "{shipped:?}");
}
