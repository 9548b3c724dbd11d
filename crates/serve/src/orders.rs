//! Brings engines to the weight versions that trainers publish.
//!
//! One node gives all orders, under a lease with a fencing number. Engines need not check the
//! number: so the holder stops before its lease can lapse, by a clock that counts pauses, and a
//! new holder waits until no order of the old one can arrive near its own. Every order names the
//! number of orders that the engine must have accepted before it, so one that is carried out late
//! finds that number changed and does nothing.

use crate::clock;
use crate::forward::Chosen;
use crate::metrics::count;
use crate::node::Node;
use crate::peers;
use crate::platform::{EngineReport, OrderCall, Platform};
use crate::pool::{CallError, read_whole};
use crate::store::{Expectation, LeaseId, Put, StoreAnswer, StoreCall, StoreRefusal};
use bytes::Bytes;
use catkinmast_dispatch::{
    LoadOrder, OrderOutcome, Rollout, RolloutSettings, RolloutTarget, TargetEntry,
};
use catkinmast_lease::{Action, Change, HolderRecord, Report, Tenure, TenureSettings};
use catkinmast_member::OwnerFact;
use catkinmast_model::{Fence, Name, Verdict};
use http::{Request, StatusCode};
use http_body_util::Full;
use indexmap::IndexMap;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The key of the lease.
pub(crate) const LEASE_KEY: &str = "cm/orders";
/// The duty's name among nodes.
const DUTY: &str = "orders";
/// How often what is due is done.
const TICK: Duration = Duration::from_millis(100);
/// The lease lasts this long without renewal: long enough for a slow store's half second, short
/// enough that a dead holder's successor begins before the next step of a trainer.
const LEASE_TTL_MS: u64 = 2_500;
/// The holder stops this long before the lapse. A successor need not wait again for what the
/// holder has waited, so a large margin brings the orders back sooner; what is left of the lease
/// covers one renewal that is lost and one that a slow store answers after half a second.
const LEASE_MARGIN_MS: u64 = 1_200;
const LEASE_RENEW_MS: u64 = 500;
const LEASE_RETRY_MS: u64 = 300;
/// Added to the time that a new holder waits, for orders on their way.
const ORDER_FLIGHT_MS: u64 = 200;
/// How long an engine may take to answer a report or an order.
const ENGINE_MAX: Duration = Duration::from_secs(1);
/// How long after an order the first look at the engine's report is worth it, and the next ones.
/// A load takes nearly a second, and a report is some hundred milliseconds old.
const FIRST_LOOK: Duration = Duration::from_secs(1);
const NEXT_LOOK: Duration = Duration::from_millis(300);
/// How long a target takes no new work after an order: over 15 days of 9 targets, the first run
/// that one took began 904 ms after it, or later.
const LOAD_MS: u64 = 900;
/// Looks at a report before an order counts as lost: an order may be carried out seconds late.
const LOOKS_MAX: u32 = 20;
/// After an order that got no answer, the report shows within this time whether it was accepted.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// The largest report.
const REPORT_MAX_BYTES: usize = 1 << 20;

/// What the holder of the orders knows.
#[derive(Debug)]
struct Holder {
    lease: Cell<Option<LeaseId>>,
    /// Orders that each target has accepted in which life, as far as known.
    accepted: RefCell<IndexMap<String, Accepted>>,
    rollouts: RefCell<IndexMap<String, Rollout>>,
    /// How each service's targets were shared among models when it was last told.
    shared: RefCell<IndexMap<String, serde_json::Value>>,
    tenure: RefCell<Tenure>,
    /// The machines that were reported empty, and the revision that asked for it: one may be asked for
    /// again, and its report is gone by then.
    vacated: RefCell<IndexMap<String, u64>>,
}

/// Orders that a target has accepted since it started.
#[derive(Clone, Copy, Debug)]
struct Accepted {
    born_at_unix_ms: Option<u64>,
    orders: u64,
}

impl Holder {
    /// Returns how many orders a target has accepted in its present life. One that started again
    /// counts anew: an order that names the former count is refused for good.
    fn accepted(&self, entry: &TargetEntry) -> Option<u64> {
        let accepted = self.accepted.borrow().get(&entry.id).copied()?;
        (accepted.born_at_unix_ms == entry.born_at_unix_ms).then_some(accepted.orders)
    }

    fn note_accepted(&self, target: &str, born_at_unix_ms: Option<u64>, orders: u64) {
        self.accepted.borrow_mut().insert(target.to_owned(), Accepted { born_at_unix_ms, orders });
    }
}

fn duty() -> Name {
    peers::name_of(DUTY)
}

/// Takes part in the duty until the process ends.
pub(crate) async fn give_orders<P: Platform>(node: Rc<Node<P>>) {
    let Some(me) = peers::me(&node) else { return };
    let record = HolderRecord { incarnation: me.incarnation, node: me.node.clone() };
    let settings = node.settings();
    let tenure = Tenure::open_with(
        record.clone(),
        TenureSettings {
            margin_ms: LEASE_MARGIN_MS,
            order_flight_ms: (settings.order_lease_ms + ORDER_FLIGHT_MS)
                .saturating_sub(LEASE_MARGIN_MS),
            renew_every_ms: LEASE_RENEW_MS,
            retry_every_ms: LEASE_RETRY_MS,
            ttl_ms: LEASE_TTL_MS.max(settings.lease_min_ms),
        },
    );
    let holder = Rc::new(Holder {
        accepted: RefCell::new(IndexMap::new()),
        lease: Cell::new(None),
        rollouts: RefCell::new(IndexMap::new()),
        shared: RefCell::new(IndexMap::new()),
        tenure: RefCell::new(tenure),
        vacated: RefCell::new(IndexMap::new()),
    });
    let held_before = held_before(&node, &record).await;
    let mut gained = false;
    loop {
        sleep(TICK).await;
        let now = clock::now();
        gained |= holder.tenure.borrow().fence(now).is_some();
        let wanted = !node.leaving.get() && (is_wanted(&node) || (held_before && !gained));
        let (action, change) = holder.tenure.borrow_mut().tick(now, wanted);
        note_change(&node, &record, change);
        if let Some(action) = action {
            let call = keep_lease(Rc::clone(&node), Rc::clone(&holder), record.clone(), action);
            tokio::task::spawn_local(call);
        }
        if holder.tenure.borrow().order_fence(now).is_some() {
            plan(&node, &holder);
        }
        if holder.tenure.borrow().fence(now).is_some() {
            report_vacated(&node, &holder);
        }
    }
}

/// Tells whether an earlier life of this node held the lease when it ended. It takes up the orders
/// at once; another would have to wait for the lapse, and then for orders on their way.
async fn held_before<P: Platform>(node: &Node<P>, record: &HolderRecord) -> bool {
    // Taking the lease reads the key again, so an old answer does no harm.
    let call = StoreCall::Get { key: LEASE_KEY.to_owned(), may_be_old: true };
    let found = node.store(&call).await;
    let Ok(StoreAnswer::Item(Some(item))) = found else { return false };
    postcard::from_bytes::<HolderRecord>(&item.value).is_ok_and(|held| held.node == record.node)
}

/// The holder stays while it lives; if none is known to, the first in rank follows.
fn is_wanted<P: Platform>(node: &Node<P>) -> bool {
    match peers::holder_of(node, &duty()) {
        Some(holder) => peers::me(node).is_some_and(|me| me.node == holder),
        None => peers::is_first_for(node, DUTY),
    }
}

fn note_change<P: Platform>(node: &Node<P>, me: &HolderRecord, change: Option<Change>) {
    match change {
        None => {}
        Some(Change::Lapsed) => node.note("orders_lease_lost", json!({})),
        Some(Change::Gained(fence)) => {
            node.note("orders_lease_gained", json!({ "fence": fence.0 }));
            let fact = OwnerFact {
                fence,
                incarnation: me.incarnation,
                node: me.node.clone(),
                trainer: duty(),
            };
            peers::tell_holder(node, fact);
        }
    }
}

async fn keep_lease<P: Platform>(
    node: Rc<Node<P>>,
    holder: Rc<Holder>,
    record: HolderRecord,
    action: Action,
) {
    let report = match action {
        Action::Take => take(&node, &holder, &record).await,
        Action::Read => read(&node, &holder).await,
        Action::Renew => renew(&node, &holder).await,
        Action::Release => {
            if let Some(lease) = holder.lease.take() {
                // A release that is lost costs the successor the lease's time, no more.
                drop(node.store(&StoreCall::LeaseEnd { lease }).await);
            }
            return;
        }
    };
    let now = clock::now();
    let change = holder.tenure.borrow_mut().report(now, &report);
    note_change(&node, &record, change);
    if change.is_some() {
        let at_once = holder.tenure.borrow().order_fence(now).is_some();
        node.note("orders_lease_report", json!({ "orders_at_once": at_once }));
    }
}

async fn take<P: Platform>(node: &Node<P>, holder: &Holder, record: &HolderRecord) -> Report {
    let ttl_ms = LEASE_TTL_MS.max(node.settings().lease_min_ms);
    let opened = node.store(&StoreCall::LeaseOpen { ttl_ms }).await;
    let Ok(StoreAnswer::Lease { lease: Some(lease), .. }) = opened else {
        return Report::Refused;
    };
    holder.lease.set(Some(lease));
    let Ok(value) = postcard::to_stdvec(record) else { return Report::Refused };
    match create(node, lease, 0, &value).await {
        Ok(StoreAnswer::Committed { revision }) => Report::Taken(Fence(revision)),
        Ok(StoreAnswer::Conflict { items }) => {
            let Some(item) = items.first() else { return Report::Refused };
            let held = postcard::from_bytes::<HolderRecord>(&item.value);
            // Of an earlier life, or of this one: its lease was not renewed in time, by our clock,
            // while the store was away and let no lease lapse.
            let mine_before = held.is_ok_and(|held| {
                held.node == record.node && held.incarnation <= record.incarnation
            });
            if !mine_before {
                return Report::Refused;
            }
            match create(node, lease, item.revision, &value).await {
                Ok(StoreAnswer::Committed { revision }) => Report::TakenFromSelf(Fence(revision)),
                Ok(_) => Report::Refused,
                Err(_) => Report::Unknown,
            }
        }
        Ok(_) => Report::Refused,
        Err(refusal) if refusal.verdict == Verdict::NotRun => Report::Refused,
        Err(_) => Report::Unknown,
    }
}

async fn create<P: Platform>(
    node: &Node<P>,
    lease: LeaseId,
    revision: u64,
    value: &[u8],
) -> Result<StoreAnswer, StoreRefusal> {
    let call = StoreCall::Transaction {
        deletes: Vec::new(),
        expected: vec![Expectation { key: LEASE_KEY.to_owned(), revision }],
        puts: vec![Put { key: LEASE_KEY.to_owned(), lease: Some(lease), value: value.to_vec() }],
    };
    node.store(&call).await
}

async fn read<P: Platform>(node: &Node<P>, holder: &Holder) -> Report {
    match node.store(&StoreCall::Get { key: LEASE_KEY.to_owned(), may_be_old: false }).await {
        // A key of ours from before hangs on a lease that nobody renews: it lapses, and another
        // takes it, while renewals of the new lease succeed.
        Ok(StoreAnswer::Item(Some(item))) if item.lease != holder.lease.get() => Report::Read(None),
        Ok(StoreAnswer::Item(Some(item))) => {
            let record = postcard::from_bytes(&item.value).ok();
            Report::Read(record.map(|record| (record, Fence(item.revision))))
        }
        Ok(_) => Report::Read(None),
        Err(_) => Report::Unknown,
    }
}

async fn renew<P: Platform>(node: &Node<P>, holder: &Holder) -> Report {
    let Some(lease) = holder.lease.get() else { return Report::Refused };
    match node.store(&StoreCall::LeaseRenew { lease }).await {
        Ok(StoreAnswer::Lease { .. }) => Report::Renewed,
        Ok(_) => Report::Refused,
        Err(_) => Report::Unknown,
    }
}

/// Orders the loads that are due.
fn plan<P: Platform>(node: &Rc<Node<P>>, holder: &Rc<Holder>) {
    let Some(document) = node.document() else { return };
    let now = clock::now();
    for (service, terms) in &document.services {
        let Some(engine) = &terms.engine else { continue };
        let targets: Vec<RolloutTarget> = node
            .targets
            .borrow()
            .usable(service)
            .map(|entry| RolloutTarget {
                data_centre: entry.data_centre.clone(),
                id: entry.id.clone(),
                models: entry.models.clone(),
            })
            .collect();
        let orders = {
            let mut rollouts = holder.rollouts.borrow_mut();
            let rollout = rollouts
                .entry(service.clone())
                .or_insert_with(|| Rollout::open(RolloutSettings::default()));
            for (model, version) in node.versions.borrow().iter() {
                rollout.named(model, *version);
            }
            for (model, at) in node.opened.borrow().iter() {
                rollout.batch_opened(*at, model);
            }
            let orders = rollout.plan(now, &targets, &engine.models, &node.demand.borrow());
            note_shares(node, holder, service, rollout);
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
                let label = if outcome == OrderOutcome::Done { "done" } else { "failed" };
                count(&node.metrics.orders, label);
                if let Some(rollout) = holder.rollouts.borrow_mut().get_mut(&service) {
                    rollout.outcome(clock::now(), &order.target, outcome);
                }
                node.work.notify_one();
            });
        }
    }
}

/// Writes a line when the targets of a service are shared anew among its models.
fn note_shares<P: Platform>(node: &Node<P>, holder: &Holder, service: &str, rollout: &Rollout) {
    let counts = json!(rollout.counts());
    let mut shared = holder.shared.borrow_mut();
    if shared.get(service) != Some(&counts) {
        node.note("targets_shared", json!({ "service": service, "targets": counts }));
        shared.insert(service.to_owned(), counts);
    }
}

async fn carry_out<P: Platform>(
    node: &Rc<Node<P>>,
    holder: &Rc<Holder>,
    order: &LoadOrder,
    runs_continue: bool,
) -> OrderOutcome {
    let entry = node.targets.borrow().entry(&order.target).cloned();
    let Some(entry) = entry else { return OrderOutcome::Failed };
    let born_at_unix_ms = entry.born_at_unix_ms;
    let known = holder.accepted(&entry);
    let chosen = Chosen { address: entry.address, id: entry.id };
    let expected_orders = match known {
        Some(accepted) => accepted,
        None => match report(node, &chosen).await {
            Ok(report) if report.busy => return OrderOutcome::Failed,
            Ok(report) => {
                take_report(node, holder, &chosen, &report);
                if has_version(&report, order) {
                    return OrderOutcome::Done;
                }
                report.orders_accepted
            }
            Err(_) => return OrderOutcome::Failed,
        },
    };
    // Asked right before the order: a pause since the plan must not let it out under a lapsed lease.
    let fence = holder.tenure.borrow().order_fence(clock::now());
    let Some(fence) = fence else { return OrderOutcome::Failed };
    let settings = node.settings();
    let call = OrderCall {
        expected_orders,
        fence: fence.0,
        holder: &settings.node,
        model: &order.model,
        runs_continue,
        version: order.version,
    };
    let (path, body) = P::order(&call);
    peers::tell_load(node, &chosen.id, LOAD_MS);
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
            holder.note_accepted(&chosen.id, born_at_unix_ms, expected_orders + 1);
            sleep(FIRST_LOOK).await;
        }
        Ok((StatusCode::OK, _)) => {
            holder.note_accepted(&chosen.id, born_at_unix_ms, expected_orders);
            node.targets.borrow_mut().version_seen(&chosen.id, &order.model, order.version);
            return OrderOutcome::Done;
        }
        Ok(_) => return OrderOutcome::Failed,
        Err(error) if error.verdict == Verdict::NotRun => return OrderOutcome::Failed,
        Err(_) => {
            sleep(REPORT_LAG).await;
            match report(node, &chosen).await {
                Ok(report) if report.busy || has_version(&report, order) => {}
                _ => return OrderOutcome::Failed,
            }
        }
    }
    wait_for_version(node, holder, &chosen, order).await
}

async fn wait_for_version<P: Platform>(
    node: &Rc<Node<P>>,
    holder: &Rc<Holder>,
    chosen: &Chosen,
    order: &LoadOrder,
) -> OrderOutcome {
    for _ in 0..LOOKS_MAX {
        let known = node.targets.borrow().entry(&chosen.id).is_some_and(|entry| {
            entry.models.iter().any(|(model, held)| *model == order.model && *held >= order.version)
        });
        if known {
            return OrderOutcome::Done;
        }
        match report(node, chosen).await {
            Ok(report) => {
                take_report(node, holder, chosen, &report);
                if has_version(&report, order) {
                    return OrderOutcome::Done;
                }
                if !report.busy {
                    return OrderOutcome::Failed;
                }
            }
            Err(_) => return OrderOutcome::Failed,
        }
        sleep(NEXT_LOOK).await;
    }
    OrderOutcome::Failed
}

fn has_version(report: &EngineReport, order: &LoadOrder) -> bool {
    report.models.iter().any(|(model, held)| *model == order.model && *held >= order.version)
}

fn take_report<P: Platform>(
    node: &Node<P>,
    holder: &Holder,
    chosen: &Chosen,
    report: &EngineReport,
) {
    if !report.busy {
        holder.note_accepted(&chosen.id, report.born_at_unix_ms, report.orders_accepted);
    }
    for (model, version) in &report.models {
        node.targets.borrow_mut().version_seen(&chosen.id, model, *version);
    }
}

async fn report<P: Platform>(
    node: &Rc<Node<P>>,
    chosen: &Chosen,
) -> Result<EngineReport, CallError> {
    let (status, body) = engine_call::<P>(node, chosen, None).await?;
    if status != StatusCode::OK {
        return Err(CallError::may_have_run(format!("the report was answered {status}")));
    }
    let report = P::report(&body).map_err(|error| CallError::may_have_run(error.to_string()))?;
    let (of_this_life, change) =
        node.targets.borrow_mut().told_birth(&chosen.id, report.born_at_unix_ms);
    node.target_changed(&change, "its report");
    if !of_this_life {
        return Err(CallError::may_have_run("the report is of an earlier life"));
    }
    Ok(report)
}

/// Sends an order, or asks for the report, at an engine.
async fn engine_call<P: Platform>(
    node: &Rc<Node<P>>,
    chosen: &Chosen,
    order: Option<(&'static str, Bytes)>,
) -> Result<(StatusCode, Bytes), CallError> {
    let (request, body) = match order {
        Some((path, body)) => (Request::post(path), body),
        None => (Request::get(P::report_path()), Bytes::new()),
    };
    let mut request = request
        .header(http::header::HOST, chosen.address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| CallError { message: error.to_string(), verdict: Verdict::NotRun })?;
    let marks = crate::platform::RequestMarks {
        expected_target: Some(&chosen.id),
        ..crate::platform::RequestMarks::default()
    };
    P::mark_request(request.headers_mut(), &marks);
    let exchange = async {
        let (response, connection) = node.pool.send(chosen.address, request).await?;
        let (head, body) = response.into_parts();
        let body = read_whole(body, REPORT_MAX_BYTES).await?;
        node.pool.keep(connection, &head.headers);
        Ok((head.status, body))
    };
    match timeout(ENGINE_MAX, exchange).await {
        Ok(result) => result,
        Err(_) => Err(CallError::may_have_run("the engine did not answer in time")),
    }
}

/// Reports store machines as empty: nothing that lasts is kept on them.
fn report_vacated<P: Platform>(node: &Rc<Node<P>>, holder: &Rc<Holder>) {
    let asked = node.vacating.borrow().clone();
    for (machine, revision) in asked {
        let reported = holder.vacated.borrow_mut().insert(machine.clone(), revision);
        if reported == Some(revision) {
            continue;
        }
        let (node, holder) = (Rc::clone(node), Rc::clone(holder));
        tokio::task::spawn_local(async move {
            let (key, value) = P::vacated(&machine);
            let puts = vec![Put { key, lease: None, value }];
            let call = StoreCall::Transaction { deletes: Vec::new(), expected: Vec::new(), puts };
            match node.store(&call).await {
                Ok(_) => {
                    node.note("vacate_done", json!({ "machine": machine, "revision": revision }));
                }
                Err(refusal) => {
                    let why = json!({ "machine": machine, "why": refusal.message });
                    node.note("vacate_unreported", why);
                    holder.vacated.borrow_mut().swap_remove(&machine);
                }
            }
        });
    }
}
