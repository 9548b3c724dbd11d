//! Tells the platform how many targets each service is to have, on the node that holds the duty
//! towards the platform.

use crate::clock;
use crate::duties::send_duty_call;
use crate::duty_lease::DutyLease;
use crate::metrics::count;
use crate::node::Node;
use crate::platform::{DutyCall, Platform};
use crate::pool::CallError;
use crate::settings::DutySettings;
use crate::store::{Expectation, Put, StoreAnswer, StoreCall};
use catkinmast_scaling::{OrderOutcome, Pool, PoolCounts, Scaling, ScalingConfig, TargetOrder};
use http::StatusCode;
use indexmap::IndexMap;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Prefix of the keys with the desired counts, by service. Without them a holder that
/// takes over after a loss of targets would take the remaining ones for the desired number.
const DESIRED: &str = "cm/w/";
/// Interval at which due work is done.
const TICK: Duration = Duration::from_millis(250);

/// The scaling state of one service, at the holder of the duty.
#[derive(Debug)]
struct Service {
    scaling: Scaling,
    /// Whether the desired counts are in the store.
    written: bool,
}

/// Orders targets whenever this node holds the duty, until the process ends.
pub(crate) async fn order_targets<P: Platform>(node: Rc<Node<P>>, lease: Rc<DutyLease>) {
    let mut services: IndexMap<String, Service> = IndexMap::new();
    loop {
        sleep(TICK).await;
        let Some(duties) = node.settings().duties.filter(|duties| duties.orders_targets) else {
            continue;
        };
        if lease.order_fence(clock::now()).is_none() {
            services.clear();
            continue;
        }
        for (name, config) in scaled(&node) {
            if !services.contains_key(&name) {
                let Some(service) = open(&node, &name).await else { continue };
                services.insert(name.clone(), service);
            }
            let Some(service) = services.get_mut(&name) else { continue };
            service.plan(&node, &lease, &duties, &name, config).await;
        }
    }
}

/// Returns the services whose targets are ordered, with their scaling settings.
fn scaled<P: Platform>(node: &Node<P>) -> Vec<(String, ScalingConfig)> {
    let Some(document) = node.document() else { return Vec::new() };
    let scaled = document.services.iter().filter_map(|(name, config)| {
        let scaling = config.scaling?;
        Some((name.clone(), scaling))
    });
    scaled.collect()
}

/// Opens a service with the desired counts that an earlier holder stored; none while the store does
/// not answer.
async fn open<P: Platform>(node: &Rc<Node<P>>, service: &str) -> Option<Service> {
    let call = StoreCall::Get { key: desired_key(service), may_be_old: false };
    let Ok(StoreAnswer::Item(found)) = node.store(&call).await else { return None };
    let desired = found.and_then(|item| {
        let desired = postcard::from_bytes::<Vec<(Pool, u32)>>(&item.value);
        desired.ok().map(|pools| pools.into_iter().collect::<PoolCounts>())
    });
    let written = desired.is_some();
    Some(Service { scaling: Scaling::open(desired), written })
}

fn desired_key(service: &str) -> String {
    format!("{DESIRED}{service}")
}

/// Returns the number of serving targets in each pool of a service. Those of an evacuated data
/// centre count: they come back, and need no replacement.
fn serving<P: Platform>(node: &Node<P>, service: &str) -> PoolCounts {
    let mut serving = PoolCounts::new();
    for entry in node.targets.borrow().serving(service) {
        let data_centre = entry.data_centre.clone();
        let pool = Pool { data_centre, reclaimable: entry.reclaimable };
        *serving.entry(pool).or_default() += 1;
    }
    serving.sort_unstable_keys();
    serving
}

impl Service {
    async fn plan<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        lease: &DutyLease,
        duties: &DutySettings,
        name: &str,
        config: ScalingConfig,
    ) {
        let serving = serving(node, name);
        let orders = self.scaling.plan(clock::now(), config, &serving);
        if !self.written
            && let Some(desired) = self.scaling.desired()
        {
            self.written = write(node, lease, name, desired).await;
        }
        for order in orders {
            let call = DutyCall::Targets {
                count: order.count,
                data_centre: &order.pool.data_centre,
                reclaimable: order.pool.reclaimable,
                service: name,
            };
            let Some(answer) = send_duty_call(node, lease, duties, &call).await else { return };
            log_order(node, name, &order, &serving, &answer);
            let outcome = outcome(&answer);
            let serving_count = serving.get(&order.pool).copied().unwrap_or(0);
            self.scaling.record_outcome(clock::now(), &order, serving_count, outcome);
        }
    }
}

fn outcome(answer: &Result<StatusCode, CallError>) -> OrderOutcome {
    match answer {
        Ok(StatusCode::OK) => OrderOutcome::Accepted,
        Ok(StatusCode::CONFLICT) => OrderOutcome::NoCapacity,
        // Also a refusal with another status: the order may be in force.
        Ok(_) | Err(_) => OrderOutcome::Unknown,
    }
}

fn log_order<P: Platform>(
    node: &Node<P>,
    service: &str,
    order: &TargetOrder,
    serving: &PoolCounts,
    answer: &Result<StatusCode, CallError>,
) {
    let label = match outcome(answer) {
        OrderOutcome::Accepted => "taken",
        OrderOutcome::NoCapacity => "none_left",
        OrderOutcome::Unknown => "unanswered",
    };
    count(&node.metrics.target_orders, label);
    node.note(
        "targets_ordered",
        json!({
            "service": service, "data_centre": order.pool.data_centre, "count": order.count,
            "reclaimable": order.pool.reclaimable, "serving": serving.get(&order.pool),
            "status": answer.as_ref().ok().map(StatusCode::as_u16),
            "why": answer.as_ref().err().map(|error| error.message.clone()),
        }),
    );
}

/// Stores the desired counts of a service for later holders. Returns whether they were stored.
async fn write<P: Platform>(
    node: &Rc<Node<P>>,
    lease: &DutyLease,
    service: &str,
    desired: &PoolCounts,
) -> bool {
    let Some(fence) = lease.order_fence(clock::now()) else { return false };
    let pools: Vec<(&Pool, u32)> = desired.iter().map(|(pool, count)| (pool, *count)).collect();
    let Ok(value) = postcard::to_stdvec(&pools) else { return false };
    let call = StoreCall::Transaction {
        deletes: Vec::new(),
        expected: vec![Expectation { key: lease.key().to_owned(), revision: fence.0 }],
        puts: vec![Put { key: desired_key(service), lease: None, value }],
    };
    matches!(node.store(&call).await, Ok(StoreAnswer::Committed { .. }))
}
