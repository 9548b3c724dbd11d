//! Carries out the decisions of the gates: keeps requests waiting until their turn, and reports how
//! they ended.
//!
//! Everything runs on one thread, so the requests of a service wake each other: whoever changes a
//! gate passes on the turns that follow. A timer runs only at the end of a pause of a window below
//! one.

use crate::caller::ErrorAnswer;
use crate::clock;
use crate::forward::{AttemptFailure, Cause, OutgoingRequest};
use crate::metrics::count;
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_admission::{
    Arrival, Decision, Gate, Outcome, RecentService, ServedRecord, Turn, WaiterId,
};
use catkinmast_dispatch::{Route, RouteKind};
use catkinmast_fairness::FairShares;
use catkinmast_model::UnixMs;
use http::StatusCode;
use indexmap::IndexMap;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// How long before the caller's deadline a waiting request is rejected, so that the caller still
/// receives the answer.
const ANSWER_BEFORE_MS: u64 = 20;

/// The gates of all services.
#[derive(Debug, Default)]
pub(crate) struct Gates(RefCell<IndexMap<String, ServiceGate>>);

impl Gates {
    /// Calls `act` with the recent service of the workspaces at a service.
    pub(crate) fn with_served<T>(&self, service: &str, act: impl FnOnce(&ServedRecord) -> T) -> T {
        match self.0.borrow().get(service) {
            Some(entry) => act(&entry.served),
            None => act(&ServedRecord::default()),
        }
    }

    /// Returns whether a second attempt of a request would delay no other request.
    pub(crate) fn has_spare(&self, service: &str) -> bool {
        let mut gates = self.0.borrow_mut();
        gates.get_mut(service).is_none_or(|entry| entry.gate.has_spare(clock::now()))
    }
}

/// The recent service of workspaces over all nodes; that of this node where nothing else is known.
struct FleetService<'a> {
    own: &'a ServedRecord,
    shares: &'a FairShares,
}

impl RecentService for FleetService<'_> {
    fn recent_service(&self, now: UnixMs, workspace: Option<&str>) -> f64 {
        let own = self.own.recent_service(now, workspace);
        workspace.map_or(own, |workspace| self.shares.recent_service(now, workspace).max(own))
    }
}

#[derive(Debug)]
struct ServiceGate {
    gate: Gate,
    /// When the window was limited; none while unlimited.
    limited_at: Option<UnixMs>,
    served: ServedRecord,
    /// When a timer calls the gate; none if no timer runs.
    timer_at: Option<UnixMs>,
    waiting: IndexMap<WaiterId, oneshot::Sender<Turn>>,
}

impl ServiceGate {
    fn open(now: UnixMs) -> Self {
        Self {
            gate: Gate::open(now),
            limited_at: None,
            served: ServedRecord::default(),
            timer_at: None,
            waiting: IndexMap::new(),
        }
    }
}

/// A request that was not sent because it cannot be served in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rejection {
    retry_after_ms: u64,
    waited_ms: u64,
    why: &'static str,
}

impl Rejection {
    /// Returns the answer to the caller, which depends on whether a target may have run the request
    /// before.
    pub(crate) fn answer(self, may_have_run: bool) -> ErrorAnswer {
        let answer = if may_have_run {
            ErrorAnswer::new(StatusCode::BAD_GATEWAY, self.why)
        } else {
            ErrorAnswer::not_run(self.why, self.retry_after_ms)
        };
        answer.waited(self.waited_ms)
    }
}

/// Counts a request in the window of a service until it is dropped. Dropped without
/// [`end`](Self::end), the request counts as cancelled.
#[derive(Debug)]
struct Permit<P: Platform> {
    is_ended: bool,
    node: Rc<Node<P>>,
    route: String,
    service: String,
}

impl<P: Platform> Permit<P> {
    fn end(mut self, outcome: Outcome) {
        self.is_ended = true;
        self.finish(outcome);
    }

    fn finish(&self, outcome: Outcome) {
        let why = if outcome == Outcome::Refused { "a target refused" } else { "late answers" };
        with_gate(&self.node, &self.service, why, |entry, now| {
            entry.gate.ended(now, &self.route, outcome);
        });
    }
}

impl<P: Platform> Drop for Permit<P> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.finish(Outcome::Cancelled);
        }
    }
}

/// A request's place in the queue of a gate; dropping it removes the request.
#[derive(Debug)]
struct QueuePlace<P: Platform> {
    id: WaiterId,
    node: Rc<Node<P>>,
    route: String,
    service: String,
    turn: oneshot::Receiver<Turn>,
}

impl<P: Platform> Drop for QueuePlace<P> {
    fn drop(&mut self) {
        // If the request was admitted after its caller had disconnected, it is in flight.
        let was_admitted = self.turn.try_recv() == Ok(Turn::Admitted);
        with_gate(&self.node, &self.service, "", |entry, now| {
            entry.waiting.swap_remove(&self.id);
            entry.gate.leave(self.id);
            if was_admitted {
                entry.gate.ended(now, &self.route, Outcome::Cancelled);
            }
        });
    }
}

/// The admission of one request of a caller.
#[derive(Debug)]
pub(crate) struct Admission<'a, P: Platform> {
    arrived_at: UnixMs,
    is_gated: bool,
    node: &'a Rc<Node<P>>,
    outgoing: &'a OutgoingRequest,
    permit: Option<Permit<P>>,
    route: &'a Route,
    waited_ms: u64,
    was_counted: bool,
    was_refused: bool,
}

impl<'a, P: Platform> Admission<'a, P> {
    pub(crate) fn begin(
        node: &'a Rc<Node<P>>,
        route: &'a Route,
        outgoing: &'a OutgoingRequest,
        arrived_at: UnixMs,
    ) -> Self {
        let is_call = matches!(route.kind, RouteKind::Idempotent | RouteKind::NonIdempotent);
        Self {
            arrived_at,
            is_gated: is_call && route.latency_goal_ms > 0,
            node,
            outgoing,
            permit: None,
            route,
            waited_ms: 0,
            was_counted: false,
            was_refused: false,
        }
    }

    /// Waits until the request may be sent to a service. Returns at once if it already may.
    pub(crate) async fn enter(&mut self, service: &str) -> Result<(), Rejection> {
        if !self.is_gated || self.permit.as_ref().is_some_and(|permit| permit.service == service) {
            return Ok(());
        }
        self.permit = None;
        if !self.was_counted {
            self.was_counted = true;
            count(&self.node.metrics.admission, "offered");
        }
        let (sender, turn) = oneshot::channel();
        let draw = self.node.random_u64();
        let decision = with_gate(self.node, service, "", |entry, now| {
            let shares = self.node.fairness.shares.borrow();
            let served = FleetService { own: &entry.served, shares: &shares };
            let decision = entry.gate.arrive(now, self.arrival(), &served, draw);
            if let Decision::Queued(id) = decision {
                entry.waiting.insert(id, sender);
            }
            decision
        });
        match decision {
            Decision::Admitted => {}
            Decision::Rejected { retry_after_ms } => return Err(self.rejected(retry_after_ms)),
            Decision::Queued(id) => {
                let place = QueuePlace {
                    id,
                    node: Rc::clone(self.node),
                    route: self.route.name.clone(),
                    service: service.to_owned(),
                    turn,
                };
                self.wait(place).await?;
            }
        }
        count(&self.node.metrics.admission, "admitted");
        self.permit = Some(Permit {
            is_ended: false,
            node: Rc::clone(self.node),
            route: self.route.name.clone(),
            service: service.to_owned(),
        });
        if !self.was_refused {
            self.record_served(service);
        }
        Ok(())
    }

    async fn wait(&mut self, mut place: QueuePlace<P>) -> Result<(), Rejection> {
        count(&self.node.metrics.admission, "queued");
        let queued_at = clock::now();
        let left_ms = self.outgoing.deadline_at.since_ms(queued_at);
        let wait_max = Duration::from_millis(left_ms.saturating_sub(ANSWER_BEFORE_MS));
        let turn = timeout(wait_max, &mut place.turn).await;
        let waited_ms = clock::now().since_ms(queued_at);
        self.waited_ms += waited_ms;
        self.node.metrics.admission_wait_seconds.observe(waited_ms as f64 / 1_000.0);
        match turn {
            Ok(Ok(Turn::Admitted)) => Ok(()),
            Ok(Ok(Turn::Rejected { retry_after_ms })) => Err(self.rejected(retry_after_ms)),
            Ok(Err(_)) | Err(_) => Err(self.rejected(0)),
        }
    }

    /// Records that a target answered after `latency_ms`.
    pub(crate) fn answered(&mut self, service: &str, latency_ms: u64) {
        match self.permit.take() {
            Some(permit) => permit.end(Outcome::Answered { latency_ms }),
            None => self.record_served(service),
        }
    }

    /// Returns whether a failed attempt is a sign that the service is full.
    pub(crate) fn is_refusal_for_load(
        &self,
        service: &str,
        target: &str,
        failure: &AttemptFailure,
    ) -> bool {
        self.permit.is_some() && is_refusal_for_load(self.node, service, target, failure)
    }

    /// Records that a target refused for load; fails if the request may not be sent again.
    pub(crate) fn refused(&mut self, service: &str) -> Result<(), Rejection> {
        if let Some(permit) = self.permit.take() {
            permit.end(Outcome::Refused);
        }
        self.was_refused = true;
        let draw = self.node.random_u64();
        let deadline_at = self.outgoing.deadline_at;
        let rejected = with_gate(self.node, service, "", |entry, now| {
            let may_retry = entry.gate.may_retry(now);
            (!may_retry).then(|| entry.gate.retry_after_ms(now, deadline_at, draw))
        });
        let Some(retry_after_ms) = rejected else { return Ok(()) };
        count(&self.node.metrics.admission, "rejected_refused");
        let why = "the service is full: a target refused, and the retry budget is used up";
        Err(Rejection { retry_after_ms, waited_ms: self.waited_ms, why })
    }

    /// Gives back the place in the window while there is no target to send to.
    pub(crate) fn leave(&mut self) {
        self.permit = None;
    }

    fn arrival(&self) -> Arrival<'_> {
        Arrival {
            arrived_at: self.arrived_at,
            deadline_at: self.outgoing.deadline_at,
            goal_ms: self.route.latency_goal_ms,
            is_retry: self.was_refused,
            priority: self.outgoing.priority,
            route: &self.route.name,
            workspace: self.outgoing.workspace.as_deref(),
        }
    }

    fn rejected(&self, retry_after_ms: u64) -> Rejection {
        count(&self.node.metrics.admission, "rejected_wait");
        let why = "the service is full: the request would not be answered in time";
        Rejection { retry_after_ms, waited_ms: self.waited_ms, why }
    }

    fn record_served(&self, service: &str) {
        let workspace = self.outgoing.workspace.as_deref();
        with_gate(self.node, service, "", |entry, now| {
            entry.served.record_served(now, workspace);
        });
    }
}

/// Records the failure of an attempt that bypassed the gate, such as a scoring call or a hedge.
pub(crate) fn bypass_failed<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    target: &str,
    failure: &AttemptFailure,
) {
    // Without a gate, no caller's request has come by here that could make room.
    let has_gate = node.gates.0.borrow().contains_key(service);
    if has_gate && is_refusal_for_load(node, service, target, failure) {
        with_gate(node, service, "a target refused an attempt outside the window", |entry, now| {
            entry.gate.bypass_refused(now);
        });
    }
}

/// Returns whether a failed attempt is a sign that the service is full.
///
/// A cold target refuses by its rate, and this node also refuses for it. An engine refuses while it
/// loads weights; as in the load balancer, that is assumed if our own calls use less than half of
/// its slots. Neither says anything about the other targets. A plain target loads nothing, so its
/// refusals count at any number of our own calls: with many nodes, each has hardly one in flight.
fn is_refusal_for_load<P: Platform>(
    node: &Node<P>,
    service: &str,
    target: &str,
    failure: &AttemptFailure,
) -> bool {
    if failure.cause != Cause::Overloaded || node.cold.is_cold(clock::now(), target) {
        return false;
    }
    let is_engine = node.document().is_some_and(|document| document.engine(service).is_some());
    let slots = node.targets.borrow().entry(target).map_or(1, |entry| entry.slots);
    !is_engine || node.balancer.borrow().in_flight(target) * 2 >= slots
}

/// Calls `act` with the gate of a service, and passes on the turns that follow. `why` is the reason
/// for the log if the window becomes limited.
fn with_gate<P: Platform, T>(
    node: &Rc<Node<P>>,
    service: &str,
    why: &'static str,
    act: impl FnOnce(&mut ServiceGate, UnixMs) -> T,
) -> T {
    let now = clock::now();
    let mut gates = node.gates.0.borrow_mut();
    if !gates.contains_key(service) {
        gates.insert(service.to_owned(), ServiceGate::open(now));
    }
    let entry = &mut gates[service];
    let window_before = entry.gate.window();
    let result = act(entry, now);
    let turns = {
        let shares = node.fairness.shares.borrow();
        let served = FleetService { own: &entry.served, shares: &shares };
        entry.gate.next(now, &served, node.random_u64())
    };
    for (id, turn) in turns {
        if let Some(sender) = entry.waiting.swap_remove(&id) {
            // A receiver is dropped only together with the request's place in the queue.
            let _ = sender.send(turn);
        }
    }
    set_timer(node, service, entry, now);
    if entry.gate.window() != window_before {
        note_limit(node, service, entry, now, why);
        let sizes = gates.values().filter_map(|entry| entry.gate.window());
        let smallest = sizes.reduce(f64::min).unwrap_or(0.0);
        node.metrics.admission_window.set(smallest);
    }
    result
}

fn note_limit<P: Platform>(
    node: &Node<P>,
    service: &str,
    entry: &mut ServiceGate,
    now: UnixMs,
    why: &'static str,
) {
    let gate = &entry.gate;
    match (entry.limited_at, gate.window()) {
        (None, Some(window)) => {
            let line = json!({
                "service": service, "why": why, "window": window, "in_flight": gate.in_flight(),
                "mean_ms": gate.mean_ms(),
            });
            node.note("admission_limited", line);
            entry.limited_at = Some(now);
        }
        (Some(limited_at), None) => {
            let line = json!({ "service": service, "ms": now.since_ms(limited_at) });
            node.note("admission_unlimited", line);
            entry.limited_at = None;
        }
        (None, None) | (Some(_), Some(_)) => {}
    }
}

/// Starts a timer for the end of a pause while requests wait, unless one runs.
fn set_timer<P: Platform>(node: &Rc<Node<P>>, service: &str, entry: &mut ServiceGate, now: UnixMs) {
    let Some(next_at) = entry.gate.next_at(now) else { return };
    if entry.timer_at.is_some_and(|timer_at| timer_at <= next_at) {
        return;
    }
    entry.timer_at = Some(next_at);
    let (node, service) = (Rc::clone(node), service.to_owned());
    tokio::task::spawn_local(async move {
        sleep(Duration::from_millis(next_at.since_ms(now))).await;
        with_gate(&node, &service, "", |entry, _| {
            entry.timer_at.take_if(|timer_at| *timer_at <= next_at);
        });
    });
}
