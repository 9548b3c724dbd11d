//! Orders engines to load the weight versions that trainers publish.
//!
//! One node at a time sends all orders, under a lease with a fencing number. Engines may ignore the
//! number. So the holder stops before its lease can lapse, by a clock that also runs while the
//! instance is suspended, and a new holder waits until no order of the previous one can still
//! arrive. Every order states how many orders the engine must have accepted before it; one that
//! arrives late finds another number and has no effect.

use crate::clock;
use crate::duty_lease::DutyLease;
use crate::forward::ChosenTarget;
use crate::metrics::count;
use crate::node::Node;
use crate::peers;
use crate::platform::{EngineReport, OrderCall, Platform};
use crate::pool::CallError;
use crate::store::{Put, StoreCall};
use bytes::Bytes;
use catkinmast_dispatch::{
    LoadOrder, LoadOutcome, RolloutSettings, RolloutTarget, TargetEntry, WeightRollout,
};
use catkinmast_model::Verdict;
use http::{Request, StatusCode};
use http_body_util::Full;
use indexmap::IndexMap;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The key of the duty's lease.
pub(crate) const LEASE_KEY: &str = "cm/orders";
/// The duty's name among nodes.
const DUTY: &str = "orders";
/// Interval at which due work is done.
const TICK: Duration = Duration::from_millis(100);
/// How long an engine may take to answer an order or a request for its report.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay from an order to the first read of the engine's report. A load takes nearly a second, and
/// a report is a few hundred milliseconds old.
const FIRST_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Delay to each further read of the report.
const NEXT_REPORT_DELAY: Duration = Duration::from_millis(300);
/// How long a target counts as loading after an order. In 15 days with 9 targets, no target began a
/// run earlier than 904 ms after an order.
const LOAD_MS: u64 = 900;
/// Reads of the report before an order counts as lost. An engine may carry it out seconds late.
const REPORTS_MAX: u32 = 20;
/// Within this time the engine's report shows whether an order without an answer was accepted.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// Size limit of an engine's report.
const REPORT_MAX_BYTES: usize = 1 << 20;

/// This node's state of the duty.
#[derive(Debug)]
struct OrderDuty {
    /// Orders that each target has accepted, by target id, as far as known.
    accepted: RefCell<IndexMap<String, AcceptedOrders>>,
    rollouts: RefCell<IndexMap<String, WeightRollout>>,
    /// How each service's targets were shared among models when that was last logged.
    logged_shares: RefCell<IndexMap<String, serde_json::Value>>,
    lease: Rc<DutyLease>,
    /// The store instances whose reports as drained were begun or sent, each with the revision of
    /// the request. An instance may be drained again, and its earlier report is gone by then.
    drained: RefCell<IndexMap<String, u64>>,
}

/// Orders that a target has accepted in one incarnation.
#[derive(Clone, Copy, Debug)]
struct AcceptedOrders {
    started_at_unix_ms: Option<u64>,
    orders: u64,
}

impl OrderDuty {
    /// Returns how many orders a target has accepted in its current incarnation. The count starts
    /// anew when the target restarts, and the engine refuses every order with the old count.
    fn accepted(&self, entry: &TargetEntry) -> Option<u64> {
        let accepted = self.accepted.borrow().get(&entry.id).copied()?;
        (accepted.started_at_unix_ms == entry.started_at_unix_ms).then_some(accepted.orders)
    }

    fn record_accepted(&self, target: &str, started_at_unix_ms: Option<u64>, orders: u64) {
        self.accepted
            .borrow_mut()
            .insert(target.to_owned(), AcceptedOrders { started_at_unix_ms, orders });
    }
}

/// Takes part in the duty until the process ends.
pub(crate) async fn run_order_duty<P: Platform>(node: Rc<Node<P>>) {
    let Some(lease) = DutyLease::open(&node, DUTY, LEASE_KEY).await else { return };
    let holder = Rc::new(OrderDuty {
        accepted: RefCell::new(IndexMap::new()),
        rollouts: RefCell::new(IndexMap::new()),
        logged_shares: RefCell::new(IndexMap::new()),
        lease,
        drained: RefCell::new(IndexMap::new()),
    });
    loop {
        sleep(TICK).await;
        holder.lease.tick(&node);
        let now = clock::now();
        if holder.lease.order_fence(now).is_some() {
            plan(&node, &holder);
        }
        // A report of a drain goes to the store, so it need not wait for the calls of the previous
        // holder.
        if holder.lease.fence(now).is_some() {
            report_drained(&node, &holder);
        }
    }
}

/// Starts the load orders that are due.
fn plan<P: Platform>(node: &Rc<Node<P>>, holder: &Rc<OrderDuty>) {
    let Some(document) = node.document() else { return };
    let now = clock::now();
    for (service, config) in &document.services {
        let Some(engine) = &config.engine else { continue };
        let orders = {
            let known = node.targets.borrow();
            let targets: Vec<RolloutTarget<'_>> = known
                .usable(service)
                .map(|entry| RolloutTarget {
                    data_centre: &entry.data_centre,
                    id: &entry.id,
                    models: &entry.models,
                })
                .collect();
            let mut rollouts = holder.rollouts.borrow_mut();
            let rollout = rollouts
                .entry(service.clone())
                .or_insert_with(|| WeightRollout::open(RolloutSettings::default()));
            for (model, version) in node.versions.borrow().iter() {
                rollout.version_published(model, *version);
            }
            for (model, at) in node.batch_opened_at.borrow().iter() {
                rollout.batch_opened(*at, model);
            }
            let demand = node.demand.borrow();
            let orders = rollout.plan(now, &targets, &engine.models, engine.slots, &demand);
            log_shares(node, holder, service, rollout);
            orders
        };
        let runs_continue = !document.routes.iter().any(|route| {
            route.single_version && route.services.iter().any(|s| s.service == *service)
        });
        for order in orders {
            let (node, holder) = (Rc::clone(node), Rc::clone(holder));
            let service = service.clone();
            tokio::task::spawn_local(async move {
                let outcome = carry_out(&node, &holder, &order, runs_continue).await;
                let label = if outcome == LoadOutcome::Done { "done" } else { "failed" };
                count(&node.metrics.orders, label);
                if let Some(rollout) = holder.rollouts.borrow_mut().get_mut(&service) {
                    rollout.record_outcome(clock::now(), &order.target, outcome);
                }
                node.work.notify_one();
            });
        }
    }
}

/// Logs how the targets of a service are shared among its models, when that has changed.
fn log_shares<P: Platform>(
    node: &Node<P>,
    holder: &OrderDuty,
    service: &str,
    rollout: &WeightRollout,
) {
    let counts = json!(rollout.counts());
    let mut logged_shares = holder.logged_shares.borrow_mut();
    if logged_shares.get(service) != Some(&counts) {
        node.note("targets_shared", json!({ "service": service, "targets": counts }));
        logged_shares.insert(service.to_owned(), counts);
    }
}

async fn carry_out<P: Platform>(
    node: &Rc<Node<P>>,
    holder: &Rc<OrderDuty>,
    order: &LoadOrder,
    runs_continue: bool,
) -> LoadOutcome {
    let entry = node.targets.borrow().entry(&order.target).cloned();
    let Some(entry) = entry else { return LoadOutcome::Failed };
    let started_at_unix_ms = entry.started_at_unix_ms;
    let known = holder.accepted(&entry);
    let chosen = ChosenTarget { address: entry.address, id: entry.id };
    // An order that is on its way as its sender is killed may arrive after the orders of a successor,
    // so it is only sent to an engine that answers.
    let report = read_report(node, &chosen).await;
    let expected_orders = match known {
        Some(_) if report.is_err() => return LoadOutcome::Failed,
        Some(accepted) => accepted,
        None => match report {
            Ok(report) if report.busy => return LoadOutcome::Failed,
            Ok(report) => {
                apply_report(node, holder, &chosen, &report);
                if has_version(&report, order) {
                    return LoadOutcome::Done;
                }
                report.orders_accepted
            }
            Err(_) => return LoadOutcome::Failed,
        },
    };
    // Checked right before the order: after a pause since the plan the lease may have lapsed.
    let fence = holder.lease.order_fence(clock::now());
    let Some(fence) = fence else { return LoadOutcome::Failed };
    let settings = node.settings();
    let call = OrderCall {
        expected_orders,
        fence: fence.0,
        holder: &settings.node,
        model: &order.model,
        runs_continue,
        version: order.version,
    };
    let (path, body) = P::engine_order(&call);
    peers::announce_loading(node, &chosen.id, LOAD_MS);
    let sent = engine_call::<P>(node, &chosen, Some((path, body))).await;
    let status = sent.as_ref().ok().map(|(status, _)| status.as_u16());
    node.note(
        "order_sent",
        json!({
            "target": chosen.id, "model": order.model, "version": order.version,
            "fence": fence.0, "expected_orders": expected_orders, "status": status,
            "why": sent.as_ref().err().map(|error| error.message.clone()),
        }),
    );
    holder.accepted.borrow_mut().swap_remove(&chosen.id);
    match sent {
        Ok((StatusCode::ACCEPTED, _)) => {
            let accepted = expected_orders.saturating_add(1);
            holder.record_accepted(&chosen.id, started_at_unix_ms, accepted);
            sleep(FIRST_REPORT_DELAY).await;
        }
        Ok((StatusCode::OK, _)) => {
            holder.record_accepted(&chosen.id, started_at_unix_ms, expected_orders);
            node.targets.borrow_mut().record_version(&chosen.id, &order.model, order.version);
            return LoadOutcome::Done;
        }
        Ok(_) => return LoadOutcome::Failed,
        Err(error) if error.verdict == Verdict::NotRun => return LoadOutcome::Failed,
        Err(_) => {
            sleep(REPORT_LAG).await;
            match read_report(node, &chosen).await {
                Ok(report) if report.busy || has_version(&report, order) => {}
                _ => return LoadOutcome::Failed,
            }
        }
    }
    wait_for_version(node, holder, &chosen, order).await
}

async fn wait_for_version<P: Platform>(
    node: &Rc<Node<P>>,
    holder: &Rc<OrderDuty>,
    chosen: &ChosenTarget,
    order: &LoadOrder,
) -> LoadOutcome {
    for _ in 0..REPORTS_MAX {
        let known = node.targets.borrow().entry(&chosen.id).is_some_and(|entry| {
            entry.models.iter().any(|(model, held)| *model == order.model && *held >= order.version)
        });
        if known {
            return LoadOutcome::Done;
        }
        match read_report(node, chosen).await {
            Ok(report) => {
                apply_report(node, holder, chosen, &report);
                if has_version(&report, order) {
                    return LoadOutcome::Done;
                }
                if !report.busy {
                    return LoadOutcome::Failed;
                }
            }
            Err(_) => return LoadOutcome::Failed,
        }
        sleep(NEXT_REPORT_DELAY).await;
    }
    LoadOutcome::Failed
}

fn has_version(report: &EngineReport, order: &LoadOrder) -> bool {
    report.models.iter().any(|(model, held)| *model == order.model && *held >= order.version)
}

fn apply_report<P: Platform>(
    node: &Node<P>,
    holder: &OrderDuty,
    chosen: &ChosenTarget,
    report: &EngineReport,
) {
    if !report.busy {
        holder.record_accepted(&chosen.id, report.started_at_unix_ms, report.orders_accepted);
    }
    for (model, version) in &report.models {
        node.targets.borrow_mut().record_version(&chosen.id, model, *version);
    }
}

/// Reads the report of an engine, and applies the start time that it gives.
async fn read_report<P: Platform>(
    node: &Rc<Node<P>>,
    chosen: &ChosenTarget,
) -> Result<EngineReport, CallError> {
    let (status, body) = engine_call::<P>(node, chosen, None).await?;
    if status != StatusCode::OK {
        return Err(CallError::may_have_run(format!(
            "the engine answered {status} when asked for its report"
        )));
    }
    let report =
        P::engine_report(&body).map_err(|error| CallError::may_have_run(error.to_string()))?;
    let (is_current, change) =
        node.targets.borrow_mut().apply_start_time(&chosen.id, report.started_at_unix_ms);
    node.target_changed(&change, "its report");
    if !is_current {
        return Err(CallError::may_have_run("the report is from an earlier incarnation"));
    }
    Ok(report)
}

/// Sends an order to an engine, or reads its report if `order` is none.
async fn engine_call<P: Platform>(
    node: &Rc<Node<P>>,
    chosen: &ChosenTarget,
    order: Option<(&'static str, Bytes)>,
) -> Result<(StatusCode, Bytes), CallError> {
    let (request, body) = match order {
        Some((path, body)) => (Request::post(path), body),
        None => (Request::get(P::engine_report_path()), Bytes::new()),
    };
    let mut request = request
        .header(http::header::HOST, chosen.address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| CallError::not_run(error.to_string()))?;
    let metadata = crate::platform::TargetRequestMetadata {
        expected_target: Some(&chosen.id),
        ..crate::platform::TargetRequestMetadata::default()
    };
    P::set_request_metadata(request.headers_mut(), &metadata);
    let exchange = async {
        let handed_over = Cell::new(false);
        let sent = node.pool.send_to_target(chosen.address, None, request, &handed_over);
        let (response, connection) = sent.await?;
        let (head, body) = response.into_parts();
        let answered = P::response_metadata(&head.headers).request_id;
        if !connection.may_answer(None, answered.as_deref()) {
            return Err(CallError::may_have_run("the answer belongs to a request"));
        }
        let body = node.pool.read_body(body, REPORT_MAX_BYTES).await?;
        node.pool.release(connection, &head.headers);
        Ok((head.status, body))
    };
    match timeout(ENGINE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(CallError::may_have_run(format!(
            "the engine did not answer within {ENGINE_TIMEOUT:?}"
        ))),
    }
}

/// Reports each store instance to be drained as drained at once: this process keeps nothing on it
/// beside its data in the store, which it does not move itself.
fn report_drained<P: Platform>(node: &Rc<Node<P>>, holder: &Rc<OrderDuty>) {
    let requested = node.draining.borrow().clone();
    for (instance, revision) in requested {
        let reported = holder.drained.borrow_mut().insert(instance.clone(), revision);
        if reported == Some(revision) {
            continue;
        }
        let (node, holder) = (Rc::clone(node), Rc::clone(holder));
        tokio::task::spawn_local(async move {
            let (key, value) = P::drained_report(&instance);
            let puts = vec![Put { key, lease: None, value }];
            let call = StoreCall::Transaction { deletes: Vec::new(), expected: Vec::new(), puts };
            match node.store(&call).await {
                Ok(_) => {
                    node.note("vacate_done", json!({ "machine": instance, "revision": revision }));
                }
                Err(refusal) => {
                    let fields = json!({ "machine": instance, "why": refusal.message });
                    node.note("vacate_unreported", fields);
                    holder.drained.borrow_mut().swap_remove(&instance);
                }
            }
        });
    }
}
