//! Calls: requests of callers that are answered by one complete answer of a target.

use crate::admission::Admission;
use crate::caller::{ErrorAnswer, error_of};
use crate::clock;
use crate::cold;
use crate::crashes;
use crate::fairness;
use crate::forward::{AttemptFailure, Cause, ChosenTarget, CompleteAnswer, OutgoingRequest};
use crate::hedging::{self, AttemptPlan};
use crate::node::Node;
use crate::platform::Platform;
use crate::retry_rounds;
use catkinmast_dispatch::Route;
use catkinmast_model::{UnixMs, Verdict};
use http::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause before targets are tried again after all have been tried: a slot becomes free about this
/// often. Targets that do not listen refuse at once; without a pause one request made 125,784
/// attempts in 3 s.
const RETRY_ROUND_PAUSE: Duration = Duration::from_millis(20);
/// A request that finds all targets overloaded is refused once less than this part of the caller's
/// time is left.
const REFUSE_WITH_LEFT_PERCENT: u64 = 70;
/// How long before the caller's deadline a time-out is answered, so that the caller still receives
/// the answer.
const ANSWER_BEFORE_MS: u64 = 20;

/// Attempts a request on targets until one answers, the attempts are used up or the deadline is
/// near.
pub(crate) async fn serve<P: Platform>(
    node: &Rc<Node<P>>,
    route: &Route,
    outgoing: &OutgoingRequest,
) -> Result<CompleteAnswer, ErrorAnswer> {
    let shares = fairness::admit(node, outgoing)?;
    shares.record_end(attempt_targets(node, route, outgoing).await)
}

async fn attempt_targets<P: Platform>(
    node: &Rc<Node<P>>,
    route: &Route,
    outgoing: &OutgoingRequest,
) -> Result<CompleteAnswer, ErrorAnswer> {
    let started_at = clock::now();
    let budget_ms = outgoing.deadline_at.since_ms(started_at);
    let mut admission = Admission::begin(node, route, outgoing, started_at);
    let mut tried: Vec<String> = Vec::new();
    let mut plan = AttemptPlan::of_call(route);
    let mut may_have_run = false;
    loop {
        let left_ms = outgoing.deadline_at.since_ms(clock::now());
        if left_ms <= ANSWER_BEFORE_MS {
            let status = StatusCode::GATEWAY_TIMEOUT;
            return Err(ErrorAnswer::new(status, format!("no answer in {budget_ms} ms")));
        }
        crashes::check(node, outgoing).map_err(|failure| final_error(&failure, may_have_run))?;
        let service = route.service(node.random_u64()).unwrap_or_default();
        if can_send(node, service) {
            admission.enter(service).await.map_err(|rejection| rejection.answer(may_have_run))?;
        }
        let chosen = choose(node, service, &tried);
        let has_target = chosen.is_some();
        let failure = if let Some(chosen) = chosen {
            tried.push(chosen.id.clone());
            let sent_at = clock::now();
            let attempt = hedging::attempt(node, &mut plan, service, &chosen, outgoing, &mut tried);
            let result = attempt.await;
            may_have_run = plan.possible_runs() > 0;
            match result {
                Ok(answer) => {
                    admission.answered(service, clock::now().since_ms(sent_at));
                    return Ok(answer);
                }
                Err(failure) if admission.is_refusal_for_load(service, &chosen.id, &failure) => {
                    let again = admission.refused(service);
                    again.map_err(|rejection| rejection.answer(may_have_run))?;
                    if all_tried(node, service, &tried) {
                        tried.clear();
                    }
                    continue;
                }
                Err(failure) => failure,
            }
        } else {
            admission.leave();
            no_target(node, service)
        };
        if failure.is_blocked() || failure.cause == Cause::Evacuated {
            return Err(final_error(&failure, may_have_run));
        }
        let repeatable = route.repeatable() || !may_have_run;
        if plan.possible_runs() >= route.attempts.max(1) || !repeatable {
            return Err(final_error(&failure, may_have_run));
        }
        let refuse_at = refuse_at(outgoing.deadline_at, budget_ms);
        let is_overloaded = failure.cause == Cause::Overloaded && !may_have_run;
        if is_overloaded && clock::now() > refuse_at {
            return Err(final_error(&failure, may_have_run));
        }
        if failure.verdict == Verdict::NotRun && (!has_target || all_tried(node, service, &tried)) {
            tried.clear();
            sleep(RETRY_ROUND_PAUSE).await;
            if is_overloaded {
                retry_rounds::wait(node, service, outgoing, refuse_at).await;
            }
        }
    }
}

/// Returns the time from which a request is refused if all targets are overloaded: a later refusal
/// would leave the caller no time to try elsewhere.
const fn refuse_at(deadline_at: UnixMs, budget_ms: u64) -> UnixMs {
    UnixMs(deadline_at.0.saturating_sub(budget_ms * REFUSE_WITH_LEFT_PERCENT / 100))
}

/// Returns the answer to a request that is not sent any more, which depends on whether a target may
/// have run it during this call.
fn final_error(failure: &AttemptFailure, may_have_run: bool) -> ErrorAnswer {
    if may_have_run {
        return ErrorAnswer::new(StatusCode::BAD_GATEWAY, failure.message.clone());
    }
    error_of(failure)
}

/// Returns whether this node may send a request to any target of a service.
fn can_send<P: Platform>(node: &Node<P>, service: &str) -> bool {
    node.targets.borrow().usable(service).any(|entry| cold::may_send(node, entry))
}

fn all_tried<P: Platform>(node: &Node<P>, service: &str, tried: &[String]) -> bool {
    let targets = node.targets.borrow();
    let mut within_reach = targets.usable(service).filter(|entry| cold::may_send(node, entry));
    within_reach.all(|entry| tried.contains(&entry.id))
}

/// Returns the failure of a request for which this node has no target.
pub(crate) fn no_target<P: Platform>(node: &Node<P>, service: &str) -> AttemptFailure {
    let targets = node.targets.borrow();
    if targets.usable(service).next().is_none() && targets.serving(service).next().is_some() {
        let message = format!("all targets of service {service} are in evacuated data centres");
        return AttemptFailure::not_run(Cause::Evacuated, message);
    }
    AttemptFailure::not_run(Cause::Overloaded, format!("service {service} has no target"))
}

/// Chooses a target of a service, preferably not one of `tried`.
pub(crate) fn choose<P: Platform>(
    node: &Node<P>,
    service: &str,
    tried: &[String],
) -> Option<ChosenTarget> {
    let random = node.random_u64();
    let chosen = node.pick_near(service, tried, |load, now, candidates| {
        load.choose(now, candidates, tried, random).map(|candidate| candidate.id.to_owned())
    });
    chosen.map(|(id, address)| ChosenTarget { address, id })
}
