//! Outages of the registry, and a node's own loss of it.

use catkinmast_dispatch::{ChangeBound, RegistryOutage};
use catkinmast_model::UnixMs;
use std::ops::RangeInclusive;

const BOUND: ChangeBound = ChangeBound::from_ms(2_000);
/// How often a node hears of an answer of the registry.
const REPORT_MS: usize = 400;

/// Records the answers that a node hears of in a time.
fn hear(outage: &mut RegistryOutage, times_ms: RangeInclusive<u64>) {
    for at in times_ms.step_by(REPORT_MS) {
        outage.record_answer(UnixMs(at), UnixMs(at), BOUND);
    }
}

/// Returns what a node knows at `until` that has heard of answers since its start at 0.
fn heard_until(until: UnixMs) -> RegistryOutage {
    let mut outage = RegistryOutage::default();
    hear(&mut outage, 0..=until.0);
    outage
}

#[test]
fn entries_that_lapsed_in_an_outage_may_return_until_its_grace_ends() {
    let mut outage = heard_until(UnixMs(10_000));

    outage.record_answer(UnixMs(12_500), UnixMs(12_490), BOUND);

    assert_eq!(outage.entries_return_by(UnixMs(12_500), BOUND), Some(UnixMs(14_700)));
    hear(&mut outage, 12_900..=14_700);
    assert_eq!(outage.entries_return_by(UnixMs(14_699), BOUND), Some(UnixMs(14_700)));
    assert_eq!(outage.entries_return_by(UnixMs(14_700), BOUND), None);
}

// Guards against live targets that are taken out of use by changes that arrive in parts, of which
// only the last one confirms that the registry is back.
#[test]
fn removals_that_are_learnt_of_before_the_return_is_confirmed_may_return() {
    let outage = heard_until(UnixMs(10_000));

    assert_eq!(outage.entries_return_by(UnixMs(12_500), BOUND), Some(UnixMs(14_700)));
}

// Guards against a target that gets requests after it has left: a node that was cut off alone, and
// heard from its peers that the registry answered them, waits for the entry to return.
#[test]
fn a_registry_that_answered_any_node_was_not_away() {
    let outage = heard_until(UnixMs(14_000));

    assert_eq!(outage.entries_return_by(UnixMs(14_300), BOUND), None);
}

#[test]
fn a_cut_in_which_no_entry_can_lapse_is_no_outage() {
    let mut outage = heard_until(UnixMs(10_000));

    outage.record_answer(UnixMs(11_600), UnixMs(11_590), BOUND);

    assert_eq!(outage.entries_return_by(UnixMs(11_600), BOUND), None);
}

// Guards against a late report, of an answer from before an outage, that counts as its end.
#[test]
fn an_old_answer_is_no_return() {
    let mut outage = heard_until(UnixMs(10_000));
    outage.record_answer(UnixMs(12_000), UnixMs(10_100), BOUND);

    outage.record_answer(UnixMs(15_000), UnixMs(14_990), BOUND);

    assert_eq!(outage.entries_return_by(UnixMs(15_000), BOUND), Some(UnixMs(17_200)));
}
