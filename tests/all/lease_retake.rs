//! A lease that an earlier life on the same machine held.

use catkinmast_lease::{Action, Change, HolderRecord, LeaseClaim, LeaseSettings, Report};
use catkinmast_model::{Fence, Incarnation, UnixMs};

fn tenure() -> LeaseClaim {
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

// Symptom: no engine gets new weights for six seconds after all nodes restarted.
// Sequence: the holder of the orders is killed and starts again; its lease has not lapsed yet.
// Cause: it waits for the lapse, and then for orders of another holder that never was.
#[test]
fn orders_go_on_at_once_under_a_lease_taken_from_oneself() {
    let mut tenure = tenure();
    let (action, _) = tenure.tick(UnixMs(10_000), true);

    let change = tenure.report(UnixMs(10_010), &Report::TakenFromSelf(Fence(9)));

    assert_eq!(action, Some(Action::Take));
    assert_eq!(change, Some(Change::Gained(Fence(9))));
    assert_eq!(tenure.order_fence(UnixMs(10_010)), Some(Fence(9)));
}

#[test]
fn orders_wait_under_a_lease_taken_from_another() {
    let mut tenure = tenure();
    tenure.tick(UnixMs(10_000), true);

    tenure.report(UnixMs(10_010), &Report::Taken(Fence(9)));

    assert_eq!(tenure.fence(UnixMs(10_010)), Some(Fence(9)));
    assert_eq!(tenure.order_fence(UnixMs(11_200)), None);
}

#[test]
fn the_holder_stops_a_margin_before_the_lapse_by_its_own_clock() {
    let mut tenure = tenure();
    tenure.tick(UnixMs(10_000), true);
    tenure.report(UnixMs(10_010), &Report::TakenFromSelf(Fence(9)));

    assert_eq!(tenure.fence(UnixMs(11_299)), Some(Fence(9)));
    assert_eq!(tenure.fence(UnixMs(11_300)), None);
}
