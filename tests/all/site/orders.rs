//! Weight versions: one node sends the orders, and a late order has no effect.
//!
//! Also the reports of drained store instances, and invalid registry entries.

use super::harness::{Site, until};
use super::store::StoreMode;
use super::worker::Behaviour;
use serde_json::json;
use std::time::Duration;

fn publish_version(site: &Site, version: u64) {
    let value = json!({ "model": "model-a", "version": version });
    site.store.put("op/version/model-a", &value);
}

async fn wait_for_version(site: &Site, version: u64, engines: usize) {
    until("the engines have the version", || async {
        let current = site.engines.iter().filter(|engine| engine.version("model-a") == version);
        (current.count() >= engines).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn published_versions_reach_the_engines_under_one_holder_per_fencing_number() {
    // Two models share four engines, so each model is loaded on two of them.
    let site = Site::start(3, 4, 0).await;
    publish_version(&site, 2);
    wait_for_version(&site, 2, 2).await;
    let holder = site
        .nodes
        .iter()
        .position(|node| !node.lines("order_sent").is_empty())
        .expect("one node sends the orders");

    site.nodes[holder].signal("KILL");
    publish_version(&site, 3);

    wait_for_version(&site, 3, 2).await;
    site.nodes[holder].restart();
    let orders: Vec<serde_json::Value> =
        site.engines.iter().flat_map(super::worker::Worker::orders_seen).collect();
    let mut fences: Vec<(u64, String)> = orders
        .iter()
        .map(|order| {
            (order["fence"].as_u64().expect("a fencing number"), order["holder"].to_string())
        })
        .collect();
    fences.sort();
    fences.dedup();
    let numbers: Vec<u64> = fences.iter().map(|(fence, _)| *fence).collect();
    let mut distinct = numbers.clone();
    distinct.dedup();
    assert_eq!(numbers, distinct, "two holders share a fencing number: {fences:?}");
}

// Guards against an engine that loads twice or goes back to an older version: an order gets no
// answer, is sent again, and the first is carried out seconds later. Each order states how many
// came before it.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_is_carried_out_late_has_no_effect() {
    let site = Site::start(1, 1, 0).await;
    site.engines[0].set_behaviour(Behaviour::CarriesOutOrdersLate);

    publish_version(&site, 2);

    wait_for_version(&site, 2, 1).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let accepted = site.engines[0].orders_seen().len();
    assert_eq!(accepted, 1, "the engine accepted {accepted} orders instead of 1");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_instance_to_be_drained_is_reported_drained() {
    let site = Site::start(2, 0, 0).await;

    site.store.put("op/retire/store-1", &json!({ "durationS": 10 }));

    until("the report", || async {
        let value = site.store.get("status/retire/store-1")?;
        let status: serde_json::Value = serde_json::from_slice(&value).ok()?;
        (status["state"] == "completed").then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_instance_to_be_drained_again_is_reported_again() {
    let site = Site::start(2, 0, 0).await;
    let report = || async {
        site.store.get("status/retire/store-1").map(|_| site.store.remove("status/retire/store-1"))
    };
    site.store.put("op/retire/store-1", &json!({ "durationS": 10 }));
    until("the report", report).await;

    site.store.put("op/retire/store-1", &json!({ "durationS": 20 }));

    until("the second report", report).await;
}

/// Starts a node, lets it gain the duty `orders`, and has the store refuse it until the duty is
/// lost.
async fn site_whose_holder_lost_the_store() -> Site {
    let site = Site::start(1, 1, 0).await;
    let node = &site.nodes[0];
    until("the duty is held", || async {
        (!node.duty_lines("duty_gained", "orders").is_empty()).then_some(())
    })
    .await;
    site.store.set_mode(node.store_endpoint, StoreMode::Refuses);
    until("the duty is lost", || async {
        (!node.duty_lines("duty_lost", "orders").is_empty()).then_some(())
    })
    .await;
    site
}

// Guards against engines that get no new weights for seconds after an outage. The outage is longer
// than the holder may act without a renewal and shorter than its lease. The holder finds its own
// key, of the same incarnation, and must not wait for its lapse as if another node held it.
#[tokio::test(flavor = "multi_thread")]
async fn the_holder_retakes_its_own_lease_key_after_an_outage_of_the_store() {
    let site = site_whose_holder_lost_the_store().await;
    let node = &site.nodes[0];
    site.store.hold_leases();

    site.store.set_mode(node.store_endpoint, StoreMode::Normal);

    until("the lease again", || async {
        (node.duty_lines("duty_gained", "orders").len() == 2).then_some(())
    })
    .await;
    let report =
        until("the report", || async { node.duty_lines("duty_report", "orders").get(1).cloned() });
    assert_eq!(report.await["acts_at_once"], true);
}

// Guards against orders of a dead holder that arrive after its successor's: the answer to the write
// by which the successor takes the duty is lost, and it takes its own key for an earlier holding.
#[yare::parameterized(
    no_answer_is_lost = { &[] },
    at_one_node = { &[0] },
    at_the_other_node = { &[1] },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_successor_waits_for_the_orders_of_the_dead_holder(losing: &[usize]) {
    let site = Site::start(3, 1, 0).await;
    let gained =
        |number: &usize| !site.nodes[*number].duty_lines("duty_gained", "orders").is_empty();
    let holder = until("a holder", || async { (0..3).find(gained) }).await;
    let others: Vec<usize> = (0..3).filter(|number| *number != holder).collect();
    for index in losing {
        let endpoint = site.nodes[others[*index]].store_endpoint;
        site.store.set_mode(endpoint, StoreMode::LosesWriteAnswers);
    }

    site.nodes[holder].signal("KILL");

    let successor = until("a successor", || async { others.iter().copied().find(gained) }).await;
    let node = &site.nodes[successor];
    let report =
        until("the report", || async { node.duty_lines("duty_report", "orders").first().cloned() });
    assert_eq!(report.await["acts_at_once"], false, "{}", node.audit_trail());
}

// Guards against a key that lapses under its holder: it is bound to an earlier lease, while the
// node renews a new one.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_whose_key_is_bound_to_an_unrenewed_lease_takes_it_again() {
    let site = site_whose_holder_lost_the_store().await;
    let node = &site.nodes[0];
    let asks = || {
        let calls = site.store.calls_at(node.store_endpoint);
        calls.iter().filter(|call| *call == "kv-key key=cm/orders").count()
    };
    let asked_before = asks();
    site.store.hold_leases();
    site.store.set_mode(node.store_endpoint, StoreMode::DropsWrites);
    until("the node reads the key", || async { (asks() > asked_before).then_some(()) }).await;

    site.store.set_mode(node.store_endpoint, StoreMode::Normal);

    until("the lease again", || async {
        (node.duty_lines("duty_gained", "orders").len() > 1).then_some(())
    })
    .await;
    let (held, renewed) = (site.store.lease_of("cm/orders"), site.store.newest_lease());
    assert_eq!(held, renewed, "the key is bound to a lease that is not renewed");
}

// Guards against an engine that gets no weights and no items after a restart under the same id: it
// drains, ends and starts again with new counts, while the node still uses those of the earlier
// incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_restarts_under_its_id_gets_orders_with_its_new_count() {
    let mut site = Site::start(1, 1, 0).await;
    site.engines[0].report_start_time(1_000);
    publish_version(&site, 2);
    wait_for_version(&site, 2, 1).await;
    site.engines[0].register("draining");
    let node = &site.nodes[0];
    until("the drain", || async { (!node.lines("target_left").is_empty()).then_some(()) }).await;

    site.engines[0].restart_under_same_id(9_000).await;
    publish_version(&site, 3);

    wait_for_version(&site, 3, 1).await;
    let restarts = site.nodes[0].lines("target_reborn");
    assert_eq!(restarts.last().map(|line| line["born_at_unix_ms"].clone()), Some(json!(9_000)));
    let expected: Vec<_> =
        site.engines[0].orders_seen().iter().map(|order| order["expected"].clone()).collect();
    assert_eq!(expected, [0, 0], "an incarnation counts only its own orders");
}

// Guards against work for targets that do not exist: another program writes to the registry. A
// worker's entry is overwritten with an unknown state, and two more entries lack a field or cannot
// be decoded. No default may stand in for a missing field, and an unreadable entry must remove the
// target.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_registry_entries_add_no_target_and_leave_the_others_in_use() {
    let mut site = Site::start(1, 0, 2).await;
    let foreign = json!({ "service": "plain", "address": "127.0.0.1:9", "state": "ready" });
    site.store.put("servers/foreign-1", &foreign);
    site.store.put("servers/foreign-2", &json!("not an entry"));

    site.plain[0].register("paused");

    let node = &site.nodes[0];
    until("the target has left", || async {
        (!node.lines("target_left").is_empty()).then_some(())
    })
    .await;
    for number in 0..8 {
        let answer = site.call(node, "/lookup/x", &format!("r-{number}")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    assert!(site.plain[0].ran().is_empty(), "its entry is invalid");
    assert_eq!(site.plain[1].ran().len(), 8);
}
