//! Tests of a lease that is taken over, from another node or from an earlier incarnation of this
//! one.

use catkinmast_lease::{Action, Change, HolderRecord, LeaseClaim, LeaseSettings, Report};
use catkinmast_model::{Fence, Incarnation, UnixMs};

fn claim() -> LeaseClaim {
    let node = "n1".parse().expect("a name");
    let settings = LeaseSettings {
        margin_ms: 1_200,
        order_flight_ms: 2_000,
        renew_every_ms: 500,
        retry_every_ms: 300,
        ttl_ms: 2_500,
    };
    LeaseClaim::open_with(HolderRecord { incarnation: Incarnation(2), node }, settings)
}

// Guards against a pause of weight orders after a restart of all nodes: no engine got new weights
// for six seconds, because the restarted holder waited for its own old lease to expire, and then
// for orders of another holder that did not exist.
#[test]
fn orders_continue_at_once_after_a_takeover_from_an_earlier_incarnation() {
    let mut claim = claim();
    let (action, _) = claim.tick(UnixMs(10_000), true);

    let change = claim.report(UnixMs(10_010), &Report::TakenFromSelf(Fence(9)));

    assert_eq!(action, Some(Action::Take));
    assert_eq!(change, Some(Change::Gained(Fence(9))));
    assert_eq!(claim.order_fence(UnixMs(10_010)), Some(Fence(9)));
}

#[test]
fn orders_wait_after_a_takeover_from_another_node() {
    let mut claim = claim();
    claim.tick(UnixMs(10_000), true);

    claim.report(UnixMs(10_010), &Report::Taken(Fence(9)));

    assert_eq!(claim.fence(UnixMs(10_010)), Some(Fence(9)));
    assert_eq!(claim.order_fence(UnixMs(11_200)), None);
}

#[test]
fn the_holder_stops_before_its_lease_expires_by_its_own_clock() {
    let mut claim = claim();
    claim.tick(UnixMs(10_000), true);
    claim.report(UnixMs(10_010), &Report::TakenFromSelf(Fence(9)));

    assert_eq!(claim.fence(UnixMs(11_299)), Some(Fence(9)));
    assert_eq!(claim.fence(UnixMs(11_300)), None);
}

// Guards against orders beside those of an earlier holder: the key of a write without an answer is
// taken for one under which the duty was held.
#[test]
fn only_a_number_that_was_gained_counts_as_held() {
    let mut claim = claim();
    claim.tick(UnixMs(10_000), true);
    claim.report(UnixMs(10_010), &Report::Taken(Fence(9)));
    let (_, lapse) = claim.tick(UnixMs(11_300), true);
    claim.tick(UnixMs(11_600), true);
    let late = claim.report(UnixMs(12_900), &Report::Taken(Fence(11)));

    assert_eq!((lapse, late), (Some(Change::Lapsed), None));
    assert!(claim.has_held(Fence(9)));
    assert!(!claim.has_held(Fence(11)), "its answer came too late to hold the lease");
}
