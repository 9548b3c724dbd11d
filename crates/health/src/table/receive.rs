//! Applies the hints of other nodes.

use super::{HealthChange, HealthTable};
use crate::hint::{HintState, TargetHint, TargetKey};
use crate::outbox::{Observation, Urgency};
use crate::reports::{Belief, HOLD_MS, Report};
use crate::slowdown::SlowdownReport;
use catkinmast_model::UnixMs;

/// Nodes that may pass a hint on: with three peers each, six reach 729 nodes.
const HOPS_MAX: u8 = 6;
/// Answers observed within this time of each other count as the same news.
const SERVING_NEWS_MS: u64 = 500;

/// What came of received hints.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Hints that changed what this node knows.
    pub applied: u64,
    /// Hints that are not believed until a second observer reports the same.
    pub discounted: u64,
    /// The changes.
    pub changes: Vec<HealthChange>,
}

impl HealthTable {
    /// Applies the hints of another node.
    pub fn receive(&mut self, now: UnixMs, hints: &[TargetHint]) -> Received {
        let mut received = Received::default();
        let own = self.observer;
        for hint in hints.iter().filter(|hint| hint.observer != own) {
            let observed_at = UnixMs(now.0.saturating_sub(u64::from(hint.age_ms)));
            let known = self.targets.get(&hint.target);
            if known.is_none_or(|target| observed_at < target.valid_from) {
                continue;
            }
            match hint.state {
                HintState::Failing => self.receive_failing(now, hint, observed_at, &mut received),
                HintState::Serving => self.receive_serving(now, hint, observed_at, &mut received),
                HintState::Slowdown { tenths, observations } => {
                    let observer = hint.observer;
                    let report = SlowdownReport { observed_at, observer, observations, tenths };
                    self.receive_slowdown(now, hint.target, report, &mut received);
                }
            }
        }
        received
    }

    fn receive_failing(
        &mut self,
        now: UnixMs,
        hint: &TargetHint,
        observed_at: UnixMs,
        received: &mut Received,
    ) {
        let Some(target) = self.targets.get(&hint.target) else { return };
        let is_outdated = target.answered_at.is_some_and(|at| at >= observed_at)
            || now.since_ms(observed_at) >= HOLD_MS;
        if is_outdated {
            return;
        }
        let is_news = target.reports.is_news(hint.observer, observed_at);
        let urgency = if target.reports.is_empty() { Urgency::Change } else { Urgency::Renewal };
        let report = Report { observed_at, observer: hint.observer };
        received.changes.extend(self.report_failure(now, hint.target, report));
        if self.belief(now, hint.target) == Belief::Discounted {
            received.discounted += 1;
        } else {
            received.applied += u64::from(is_news);
        }
        if is_news {
            self.relay(now, hint, observed_at, urgency);
        }
    }

    fn receive_serving(
        &mut self,
        now: UnixMs,
        hint: &TargetHint,
        observed_at: UnixMs,
        received: &mut Received,
    ) {
        let Some(target) = self.targets.get_mut(&hint.target) else { return };
        // Nodes that missed the failure pass the answer on as well; otherwise a seventh of the
        // nodes of a fleet of 66 did not hear of it.
        let is_fresh = now.since_ms(observed_at) < HOLD_MS;
        let is_news = is_fresh && observed_at.since_ms(target.relayed_answer_at) >= SERVING_NEWS_MS;
        if is_news {
            target.relayed_answer_at = observed_at;
        }
        let is_applied = target.reports.iter().any(|held| held.observed_at <= observed_at);
        received.applied += u64::from(is_applied);
        received.changes.extend(self.serves(now, hint.target, observed_at, hint.observer));
        if is_news {
            self.relay(now, hint, observed_at, Urgency::Change);
        }
    }

    fn receive_slowdown(
        &mut self,
        now: UnixMs,
        target: TargetKey,
        report: SlowdownReport,
        received: &mut Received,
    ) {
        let Some(held) = self.targets.get_mut(&target) else { return };
        received.applied += u64::from(held.slowdown.receive(now, report));
        // A latency is that of an answer, so it is newer evidence than a report of a failure.
        if held.reports.iter().any(|held| held.observed_at < report.observed_at) {
            received.changes.extend(self.serves(now, target, report.observed_at, report.observer));
        }
    }

    fn relay(&mut self, now: UnixMs, hint: &TargetHint, observed_at: UnixMs, urgency: Urgency) {
        if hint.hops >= HOPS_MAX {
            return;
        }
        let observation = Observation {
            hops: hint.hops + 1,
            observed_at,
            observer: hint.observer,
            state: hint.state,
            target: hint.target,
        };
        self.outbox.add(now, observation, urgency);
    }
}
