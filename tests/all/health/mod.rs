//! The health of targets, as nodes share it.

mod bounds;
mod failure;
mod fleet;
mod load;

use catkinmast_health::{Advice, HealthTable, HintState, ObserverKey, TargetHint, TargetKey};
use catkinmast_model::UnixMs;

/// Returns a table that tracks the targets `plain-0` and so on.
fn table(targets: usize) -> HealthTable {
    let mut table = HealthTable::open(ObserverKey::of("own"));
    for number in 0..targets {
        table.target_joined(UnixMs(0), &format!("plain-{number}"), "plain");
    }
    table
}

fn hint(target: &str, observer: &str, state: HintState, age_ms: u32) -> TargetHint {
    let (target, observer) = (TargetKey::of(target), ObserverKey::of(observer));
    TargetHint { target, state, observer, age_ms, hops: 0 }
}

fn failing(target: &str, observer: &str, age_ms: u32) -> TargetHint {
    hint(target, observer, HintState::Failing, age_ms)
}

/// Returns the advice of a node that ranks first for each target.
fn advice(table: &HealthTable, at_ms: u64, id: &str) -> Advice {
    table.advice(UnixMs(at_ms), id, || 0)
}
