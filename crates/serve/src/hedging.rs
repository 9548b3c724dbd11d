//! Sends attempts of calls that may be repeated: hedges them, and gives them up.
//!
//! `catkinmast-hedge` decides when. A second attempt is cancelled, or cancels the first, by dropping
//! its future, which closes the connection so that the target stops working on the request. Since a
//! caller's handler owns both futures, a caller that disconnects ends both in the same way.

use crate::admission;
use crate::calls;
use crate::clock;
use crate::crashes;
use crate::forward::{self, AttemptFailure, ChosenTarget, CompleteAnswer, OutgoingRequest};
use crate::metrics::count;
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_dispatch::Route;
use catkinmast_hedge::HedgePermit;
use catkinmast_model::UnixMs;
use serde_json::json;
use std::cell::Cell;
use std::future::pending;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::sleep;

/// How the attempts of one request may be hedged and given up, and how many may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptPlan {
    goal_ms: u64,
    /// Whether the next attempt is the request's first.
    is_first: bool,
    possible_runs: u32,
    /// Targets that may run the request.
    runs_max: u32,
}

impl AttemptPlan {
    /// Plans the attempts of a caller's request. On a route whose requests may not be repeated,
    /// nothing is hedged or given up.
    pub(crate) fn of_call(route: &Route) -> Self {
        let runs_max = if route.repeatable() { route.attempts.max(1) } else { 1 };
        Self { goal_ms: route.latency_goal_ms, is_first: true, possible_runs: 0, runs_max }
    }

    /// Plans an attempt of a scoring call, which may be repeated without a limit, on a route of any
    /// kind.
    pub(crate) const fn of_scoring_call(route: &Route, is_first: bool) -> Self {
        Self { goal_ms: route.latency_goal_ms, is_first, possible_runs: 0, runs_max: u32::MAX }
    }

    /// Returns how many targets may have run the request so far.
    pub(crate) const fn possible_runs(&self) -> u32 {
        self.possible_runs
    }

    /// Returns whether one more target may run the request while `running` attempts are running.
    const fn may_repeat(&self, running: u32) -> bool {
        self.possible_runs.saturating_add(running) < self.runs_max
    }

    fn record(&mut self, result: &Result<CompleteAnswer, AttemptFailure>) {
        let may_have_run = result.as_ref().is_err_and(|failure| failure.verdict.may_have_run());
        self.possible_runs += u32::from(may_have_run);
    }
}

/// Sends a request to the chosen target, and to a second one if the first has not answered when a
/// hedge is due. Returns the first complete answer. If both attempts fail, returns a failure that
/// says "not run" only if neither may have run. Adds the second target to `tried`.
pub(crate) async fn attempt<P: Platform>(
    node: &Rc<Node<P>>,
    plan: &mut AttemptPlan,
    service: &str,
    chosen: &ChosenTarget,
    outgoing: &OutgoingRequest,
    tried: &mut Vec<String>,
) -> Result<CompleteAnswer, AttemptFailure> {
    if plan.runs_max < 2 {
        let result = forward::attempt(node, chosen, outgoing, pending()).await;
        plan.record(&result);
        return result;
    }
    if std::mem::take(&mut plan.is_first) {
        node.hedging.borrow_mut().first_attempt();
    }
    let repeats = Repeats::new(plan.may_repeat(1));
    let hedge_at = if plan.may_repeat(1) { hedge_at(node, plan.goal_ms, outgoing) } else { None };
    let mut first = pin!(limited_attempt(node, plan.goal_ms, chosen, outgoing, &repeats));
    let sent_at = clock::now();
    let ended = tokio::select! {
        biased;
        result = &mut first => Some(result),
        () = due(hedge_at) => None,
    };
    let result = match ended {
        Some(result) => result,
        None => match hedge_target(node, service, outgoing, tried) {
            None => first.await,
            Some(other) => {
                tried.push(other.id.clone());
                repeats.allow(plan.may_repeat(2));
                let second = pin!(limited_attempt(node, plan.goal_ms, &other, outgoing, &repeats));
                let hedge = Hedge::begin(node, outgoing, [chosen, &other], sent_at);
                return race(plan, service, &repeats, hedge, first, second).await;
            }
        },
    };
    plan.record(&result);
    result
}

/// Waits for the first answer of two attempts, or for the failure of both.
async fn race<P: Platform>(
    plan: &mut AttemptPlan,
    service: &str,
    repeats: &Repeats,
    mut hedge: Hedge<'_, P>,
    mut first: Pin<&mut impl Future<Output = Result<CompleteAnswer, AttemptFailure>>>,
    mut second: Pin<&mut impl Future<Output = Result<CompleteAnswer, AttemptFailure>>>,
) -> Result<CompleteAnswer, AttemptFailure> {
    let (result, is_second) = tokio::select! {
        biased;
        result = &mut first => (result, false),
        result = &mut second => (result, true),
    };
    let failure = match result {
        Ok(answer) => {
            count(&hedge.node.metrics.attempts, "overtaken");
            hedge.outcome = if is_second { "won" } else { "lost" };
            return Ok(answer);
        }
        Err(failure) => failure,
    };
    if !failure.verdict.may_have_run() {
        repeats.allow(plan.may_repeat(1));
    }
    let other = if is_second { first.await } else { second.await };
    hedge.outcome = if other.is_ok() && !is_second { "won" } else { "lost" };
    let failure = Err(failure);
    plan.record(&failure);
    plan.record(&other);
    let other_is_worse = other.as_ref().is_err_and(|other| other.verdict.may_have_run());
    if other.is_err() && !other_is_worse {
        return failure;
    }
    // The caller's code learns of the other attempt only, and a refusal is a sign of load.
    if let Err(failure) = &failure {
        let refused_by = &hedge.targets[usize::from(is_second)].id;
        admission::bypass_failed(hedge.node, service, refused_by, failure);
    }
    other
}

/// Sends a request to a target, and gives the attempt up at its limit if the request may then be
/// repeated.
async fn limited_attempt<P: Platform>(
    node: &Rc<Node<P>>,
    goal_ms: u64,
    chosen: &ChosenTarget,
    outgoing: &OutgoingRequest,
    repeats: &Repeats,
) -> Result<CompleteAnswer, AttemptFailure> {
    let sent_at = clock::now();
    let give_up_at = {
        let hedging = node.hedging.borrow();
        hedging.give_up_at(sent_at, route(outgoing), sent_at, outgoing.deadline_at, goal_ms)
    };
    let given_up = async {
        due(give_up_at).await;
        repeats.allowed().await;
        let now = clock::now();
        node.note(
            "attempt_given_up",
            json!({
                "request": outgoing.request_id, "route": outgoing.route, "target": chosen.id,
                "ms": now.since_ms(sent_at), "left_ms": outgoing.deadline_at.since_ms(now),
            }),
        );
    };
    let mut observation = Observation { has_latency: true, node, outgoing, sent_at };
    let result = forward::attempt(node, chosen, outgoing, given_up).await;
    match &result {
        Ok(_) => observation.answered(),
        // A refusal, or a connection that did not open, says nothing about the latency.
        Err(failure) => observation.has_latency = failure.verdict.may_have_run(),
    }
    result
}

/// Records the latency of an attempt. An attempt that is dropped, or that fails after it may have
/// run, counts as one that takes at least as long as it ran.
struct Observation<'a, P: Platform> {
    has_latency: bool,
    node: &'a Rc<Node<P>>,
    outgoing: &'a OutgoingRequest,
    sent_at: UnixMs,
}

impl<P: Platform> Observation<'_, P> {
    fn answered(&mut self) {
        self.has_latency = false;
        let now = clock::now();
        let latency_ms = now.since_ms(self.sent_at);
        self.node.hedging.borrow_mut().answered(now, route(self.outgoing), latency_ms);
    }
}

impl<P: Platform> Drop for Observation<'_, P> {
    fn drop(&mut self) {
        if self.has_latency {
            let now = clock::now();
            let ran_ms = now.since_ms(self.sent_at);
            self.node.hedging.borrow_mut().outlasted(now, route(self.outgoing), ran_ms);
        }
    }
}

/// Whether the request may be repeated if a running attempt is given up. If not, the attempt runs
/// until the caller's deadline: a late answer is worth more than none.
struct Repeats {
    changed: Notify,
    is_allowed: Cell<bool>,
}

impl Repeats {
    fn new(is_allowed: bool) -> Self {
        Self { changed: Notify::new(), is_allowed: Cell::new(is_allowed) }
    }

    fn allow(&self, is_allowed: bool) {
        self.is_allowed.set(is_allowed);
        self.changed.notify_waiters();
    }

    /// Waits until the request may be repeated.
    async fn allowed(&self) {
        while !self.is_allowed.get() {
            self.changed.notified().await;
        }
    }
}

/// A hedge that was sent. When dropped, it is counted and written to the audit trail with its
/// outcome.
struct Hedge<'a, P: Platform> {
    node: &'a Rc<Node<P>>,
    outcome: &'static str,
    outgoing: &'a OutgoingRequest,
    sent_at: UnixMs,
    targets: [&'a ChosenTarget; 2],
    waited_ms: u64,
}

impl<'a, P: Platform> Hedge<'a, P> {
    fn begin(
        node: &'a Rc<Node<P>>,
        outgoing: &'a OutgoingRequest,
        targets: [&'a ChosenTarget; 2],
        first_sent_at: UnixMs,
    ) -> Self {
        count(&node.metrics.hedges, "sent");
        let sent_at = clock::now();
        let waited_ms = sent_at.since_ms(first_sent_at);
        Self { node, outcome: "cancelled", outgoing, sent_at, targets, waited_ms }
    }
}

impl<P: Platform> Drop for Hedge<'_, P> {
    fn drop(&mut self) {
        if self.outcome != "cancelled" {
            count(&self.node.metrics.hedges, self.outcome);
        }
        let now = clock::now();
        let [first, second] = self.targets;
        self.node.note(
            "attempt_hedged",
            json!({
                "request": self.outgoing.request_id, "route": self.outgoing.route,
                "target": second.id, "first_target": first.id, "outcome": self.outcome,
                "waited_ms": self.waited_ms, "ms": now.since_ms(self.sent_at),
                "left_ms": self.outgoing.deadline_at.since_ms(now),
            }),
        );
    }
}

/// Returns when a hedge of an attempt that is sent now is due.
fn hedge_at<P: Platform>(
    node: &Node<P>,
    goal_ms: u64,
    outgoing: &OutgoingRequest,
) -> Option<UnixMs> {
    let now = clock::now();
    node.hedging.borrow().hedge_at(now, route(outgoing), now, goal_ms)
}

/// Returns the target of a hedge that is due; none if it may not be sent.
fn hedge_target<P: Platform>(
    node: &Node<P>,
    service: &str,
    outgoing: &OutgoingRequest,
    tried: &[String],
) -> Option<ChosenTarget> {
    // A request that may be crashing its targets must not crash two at once.
    if crashes::is_suspected(node, outgoing) {
        return None;
    }
    let target =
        if node.gates.has_spare(service) { other_target(node, service, tried) } else { None };
    let permit = node.hedging.borrow_mut().may_hedge(clock::now(), target.is_some());
    match permit {
        HedgePermit::Granted => return target,
        HedgePermit::NoBudget => count(&node.metrics.hedges, "no_budget"),
        HedgePermit::NoRoom => count(&node.metrics.hedges, "no_room"),
    }
    None
}

/// Returns a target to which the request was not sent yet and that does not back off.
fn other_target<P: Platform>(
    node: &Node<P>,
    service: &str,
    tried: &[String],
) -> Option<ChosenTarget> {
    let chosen = calls::choose(node, service, tried)?;
    let backs_off = node.balancer.borrow().is_unavailable(clock::now(), &chosen.id);
    (!backs_off && !tried.contains(&chosen.id)).then_some(chosen)
}

/// Returns the route whose latencies an attempt belongs to.
fn route(outgoing: &OutgoingRequest) -> &str {
    outgoing.route.as_deref().unwrap_or_default()
}

/// Waits until a point in time; forever if there is none. Afterwards it lets other tasks run once:
/// if the process was paused, for example because its processor time was used up, an answer may
/// have arrived that no task has read yet.
async fn due(at: Option<UnixMs>) {
    let Some(at) = at else { return pending().await };
    sleep(Duration::from_millis(at.since_ms(clock::now()))).await;
    yield_now().await;
}
