//! The health of targets as this node and others have observed it.

mod receive;

pub use receive::Received;

use crate::hint::{HintState, ObserverKey, TargetKey};
use crate::outbox::{Observation, Outbox, Send, Urgency};
use crate::reports::{
    Belief, Contradicted, HOLD_MS, LAPSE_MS, Phase, Report, ReportCounts, Reports, phase,
};
use crate::slowdown::{RouteMeans, Slowdown, SlowdownReport, UNIT_TENTHS};
use catkinmast_model::UnixMs;
use indexmap::{IndexMap, IndexSet};

/// Targets that are tracked; others count as healthy and of normal speed. The largest deployment
/// has 870.
const TARGETS_MAX: usize = 1_024;
/// Interval at which slowdowns are sent.
const SLOWDOWN_INTERVAL_MS: u64 = 1_000;
/// Slowdowns in one datagram.
const SLOWDOWNS_MAX: usize = 16;
/// A target that serves again counts as this many times slower at first.
const SLOW_START_FACTOR: u64 = 4;
/// Time in which that factor falls to one.
const SLOW_START_MS: u64 = 2_000;
/// Interval at which a node in turn checks a target, and at which it sends a call to one that
/// accepts connections. A refusal for load, of a target that still loads, renews no hint.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// How long a node may send a call to a failing target that accepted its connection, also if others
/// report meanwhile that they cannot reach it: the time in which a quiet node makes a call.
const REACHABLE_MS: u64 = 5_000;

/// How a target is to be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Advice {
    /// Whether it should get a call only if no other target has capacity.
    pub avoid: bool,
    /// Whether the next call should go there, to find out whether it has returned.
    pub probe: bool,
    /// How slow it is relative to other targets, in tenths. It includes the slow start.
    pub slowdown_tenths: u64,
}

impl Default for Advice {
    fn default() -> Self {
        Self { avoid: false, probe: false, slowdown_tenths: UNIT_TENTHS }
    }
}

/// A change of what this node believes of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The target is avoided from now on.
    Hinted {
        /// Its id.
        target: String,
    },
    /// The target serves again.
    Cleared {
        /// Its id.
        target: String,
    },
}

#[derive(Clone, Debug)]
struct Target {
    /// The last answer to this node, or one that another node has reported after a failure.
    answered_at: Option<UnixMs>,
    checked_at: Option<UnixMs>,
    contradicted: Contradicted,
    id: String,
    /// Since when a connection to it could be opened, after it was reported as failing.
    reachable_at: Option<UnixMs>,
    reports: Reports,
    /// When the last answer was observed that was passed on to others.
    relayed_answer_at: UnixMs,
    /// When a call was last sent there while it counted as failing.
    sent_at: Option<UnixMs>,
    serves_again_at: Option<UnixMs>,
    service: u32,
    slowdown: Slowdown,
    /// Earlier observations are of another incarnation.
    valid_from: UnixMs,
}

/// The health of targets.
#[derive(Clone, Debug)]
pub struct HealthTable {
    counts: ReportCounts,
    /// Next target whose slowdown is sent in turn.
    next_slowdown: usize,
    observer: ObserverKey,
    outbox: Outbox,
    routes: RouteMeans,
    /// Number of targets of each service.
    services: IndexMap<String, u32>,
    slowdowns_due_at: UnixMs,
    targets: IndexMap<TargetKey, Target>,
}

impl HealthTable {
    /// Opens an empty table of the node `observer`.
    pub fn open(observer: ObserverKey) -> Self {
        Self {
            counts: ReportCounts::default(),
            next_slowdown: 0,
            observer,
            outbox: Outbox::default(),
            routes: RouteMeans::default(),
            services: IndexMap::new(),
            slowdowns_due_at: UnixMs(0),
            targets: IndexMap::new(),
        }
    }

    /// Returns the number of targets that are tracked.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is tracked.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Tracks a target of a service. A target that is tracked already has restarted: earlier
    /// observations no longer count.
    pub fn target_joined(&mut self, now: UnixMs, id: &str, service: &str) {
        let key = TargetKey::of(id);
        if let Some(held) = self.targets.get(&key)
            && held.id != id
        {
            return;
        }
        self.remove(key);
        if self.targets.len() >= TARGETS_MAX {
            return;
        }
        let number = match self.services.get_full(service) {
            Some((number, ..)) => number,
            None => self.services.insert_full(service.to_owned(), 0).0,
        };
        self.services[number] += 1;
        let target = Target {
            answered_at: None,
            checked_at: None,
            contradicted: Contradicted::default(),
            id: id.to_owned(),
            reachable_at: None,
            reports: Reports::default(),
            relayed_answer_at: UnixMs(0),
            sent_at: None,
            serves_again_at: None,
            service: number as u32,
            slowdown: Slowdown::default(),
            valid_from: now,
        };
        self.targets.insert(key, target);
    }

    /// Stops tracking a target.
    pub fn target_left(&mut self, id: &str) {
        if self.is_tracked(id) {
            self.remove(TargetKey::of(id));
        }
    }

    /// Returns whether a target is tracked.
    pub fn is_tracked(&self, id: &str) -> bool {
        self.targets.get(&TargetKey::of(id)).is_some_and(|target| target.id == id)
    }

    /// Stops tracking the targets of services that are not kept.
    pub fn retain_services(&mut self, kept: impl Fn(&str) -> bool) {
        let is_dropped = |target: &Target| {
            let service = self.services.get_index(target.service as usize);
            service.is_none_or(|(name, _)| !kept(name))
        };
        let dropped: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| is_dropped(target))
            .map(|(key, _)| *key)
            .collect();
        for key in dropped {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(target) = self.targets.swap_remove(&key) else { return };
        for report in target.reports.iter() {
            self.counts.remove(report.observer, target.service);
        }
        if let Some((_, count)) = self.services.get_index_mut(target.service as usize) {
            *count = count.saturating_sub(1);
        }
        self.outbox.forget(key);
    }

    /// Records an answer of a target to a request of a route, `latency_ms` after it was sent.
    pub fn answered(
        &mut self,
        now: UnixMs,
        id: &str,
        route: Option<&str>,
        latency_ms: u64,
    ) -> Option<HealthChange> {
        let key = TargetKey::of(id);
        let target = self.targets.get_mut(&key)?;
        if let Some(relative) = route.and_then(|route| self.routes.record(route, latency_ms)) {
            target.slowdown.record(now, relative);
        }
        let had_reports = !target.reports.is_empty();
        if had_reports {
            target.relayed_answer_at = now;
        }
        let change = self.serves(now, key, now, self.observer);
        if had_reports {
            let observation = self.own_observation(now, key, HintState::Serving);
            self.outbox.add(now, observation, Urgency::Change);
        }
        change
    }

    /// Records that a connection to a target failed, or that an answer was lost or not the
    /// target's.
    pub fn failed(&mut self, now: UnixMs, id: &str) -> Option<HealthChange> {
        let key = TargetKey::of(id);
        let target = self.targets.get(&key)?;
        let is_news = target.reports.is_news(self.observer, now);
        let change =
            self.report_failure(now, key, Report { observed_at: now, observer: self.observer });
        if is_news {
            let observation = self.own_observation(now, key, HintState::Failing);
            self.outbox.add(now, observation, Urgency::Change);
        }
        change
    }

    /// Records that a target refused a request for load. That is no sign of failure, and none that
    /// it serves, since it may be loading weights: the target stays as it is.
    pub fn refused(&mut self, now: UnixMs, id: &str) {
        self.postpone_probe(now, id);
    }

    /// Records that a call is sent to a target.
    pub fn sent(&mut self, now: UnixMs, id: &str) {
        self.postpone_probe(now, id);
    }

    fn postpone_probe(&mut self, now: UnixMs, id: &str) {
        if let Some(target) = self.targets.get_mut(&TargetKey::of(id))
            && !target.reports.is_empty()
        {
            target.sent_at = Some(now);
        }
    }

    fn own_observation(&self, now: UnixMs, target: TargetKey, state: HintState) -> Observation {
        Observation { hops: 0, observed_at: now, observer: self.observer, state, target }
    }

    fn report_failure(
        &mut self,
        now: UnixMs,
        key: TargetKey,
        report: Report,
    ) -> Option<HealthChange> {
        let was_failing = matches!(self.belief(now, key), Belief::Failing { .. });
        let target = self.targets.get_mut(&key)?;
        let (dropped, is_new) = target.reports.add(report, self.observer);
        if let Some(dropped) = dropped {
            self.counts.remove(dropped, target.service);
        }
        if is_new {
            self.counts.add(report.observer, target.service);
        }
        if report.observer == self.observer {
            target.reachable_at = None;
        }
        let id = target.id.clone();
        let is_failing = matches!(self.belief(now, key), Belief::Failing { .. });
        (is_failing && !was_failing).then_some(HealthChange::Hinted { target: id })
    }

    /// Records that a target answered the node `answered` at `answered_at`, and removes older reports
    /// of failures.
    fn serves(
        &mut self,
        now: UnixMs,
        key: TargetKey,
        answered_at: UnixMs,
        answered: ObserverKey,
    ) -> Option<HealthChange> {
        let was_failing = matches!(self.belief(now, key), Belief::Failing { .. });
        let target = self.targets.get_mut(&key)?;
        target.answered_at = target.answered_at.max(Some(answered_at));
        let (counts, service) = (&mut self.counts, target.service);
        let contradicted = &mut target.contradicted;
        target.reports.retain(
            |held| held.observed_at > answered_at,
            |observer| {
                counts.remove(observer, service);
                if observer != answered {
                    contradicted.add(now, observer);
                }
            },
        );
        target.reachable_at = None;
        if !was_failing || !target.reports.is_empty() {
            return None;
        }
        target.serves_again_at = Some(now);
        Some(HealthChange::Cleared { target: target.id.clone() })
    }

    fn belief(&self, now: UnixMs, key: TargetKey) -> Belief {
        match self.targets.get(&key) {
            Some(target) if !target.reports.is_empty() => self.belief_of(now, target),
            _ => Belief::None,
        }
    }

    fn belief_of(&self, now: UnixMs, target: &Target) -> Belief {
        let targets = self.services.get_index(target.service as usize).map_or(0, |(_, n)| *n);
        target.reports.belief(
            target.answered_at,
            self.observer,
            |observer| target.contradicted.contains(now, observer),
            |observer| self.counts.exceeds_half(observer, target.service, targets),
        )
    }

    /// Returns how a target is to be used. `rank` is this node's rank for checking whether the
    /// target has returned, 0 for the first; it is called only when it matters.
    pub fn advice(&self, now: UnixMs, id: &str, rank: impl FnOnce() -> usize) -> Advice {
        let Some(target) = self.targets.get(&TargetKey::of(id)).filter(|held| held.id == id) else {
            return Advice::default();
        };
        let slowdown_tenths = target.slowdown.tenths(now) * slow_start_percent(now, target) / 100;
        let healthy = Advice { avoid: false, probe: false, slowdown_tenths };
        if target.reports.is_empty() {
            return healthy;
        }
        let Belief::Failing { reported_at } = self.belief_of(now, target) else { return healthy };
        let is_reachable = target.reachable_at.is_some_and(|at| now.since_ms(at) < REACHABLE_MS);
        let probe =
            is_reachable && target.sent_at.is_none_or(|at| now.since_ms(at) >= CHECK_INTERVAL_MS);
        if !probe && phase(now, reported_at, rank) == Phase::Lapsed {
            return healthy;
        }
        Advice { avoid: !probe, probe, slowdown_tenths }
    }

    /// Returns the targets to which this node should open a connection now, to find out whether
    /// they accept any. The result is passed to [`checked`](Self::checked). So no caller's request
    /// waits for a connection to a target that is still gone.
    pub fn checks_due(&mut self, now: UnixMs, rank: impl Fn(TargetKey) -> usize) -> Vec<String> {
        if self.counts.is_empty() {
            return Vec::new();
        }
        let is_due = |(key, target): (&TargetKey, &Target)| {
            if target.reports.is_empty()
                || target.checked_at.is_some_and(|at| now.since_ms(at) < CHECK_INTERVAL_MS)
            {
                return None;
            }
            let Belief::Failing { reported_at } = self.belief_of(now, target) else { return None };
            let is_turn = phase(now, reported_at, || rank(*key)) == Phase::Turn;
            is_turn.then_some(*key)
        };
        let due: Vec<TargetKey> = self.targets.iter().filter_map(is_due).collect();
        let ids = due.into_iter().filter_map(|key| {
            let target = self.targets.get_mut(&key)?;
            target.checked_at = Some(now);
            Some(target.id.clone())
        });
        ids.collect()
    }

    /// Records whether a target accepted the connection of a check. A failure renews the hint. An
    /// accepted connection does not prove that the target serves, so a call finds out.
    pub fn checked(&mut self, now: UnixMs, id: &str, accepted: bool) -> Option<HealthChange> {
        if !accepted {
            return self.failed(now, id);
        }
        if let Some(target) = self.targets.get_mut(&TargetKey::of(id)) {
            target.reachable_at = Some(now);
        }
        None
    }

    /// Returns the number of targets that count as failing.
    pub fn failing_count(&self, now: UnixMs) -> usize {
        if self.counts.is_empty() {
            return 0;
        }
        let reported = self.targets.values().filter(|target| !target.reports.is_empty());
        reported
            .filter(|target| matches!(self.belief_of(now, target), Belief::Failing { .. }))
            .count()
    }

    /// Returns whether a target has answered since a time, as far as this node knows.
    pub fn has_answered_since(&self, id: &str, since: UnixMs) -> bool {
        let target = self.targets.get(&TargetKey::of(id));
        target.and_then(|target| target.answered_at).is_some_and(|at| at >= since)
    }

    /// Returns the datagrams to send now. To be called after each change of this node's own
    /// evidence, and each 100 ms.
    pub fn outgoing(&mut self, now: UnixMs) -> Vec<Send> {
        self.expire(now);
        let mut sends = self.outbox.take_due(now, HOLD_MS);
        if now >= self.slowdowns_due_at {
            self.slowdowns_due_at = now.plus(SLOWDOWN_INTERVAL_MS);
            let observations = self.slowdowns_to_send(now);
            sends.extend(self.outbox.send_slowdowns(now, observations.into_iter()));
        }
        sends
    }

    /// Removes reports that have lapsed.
    fn expire(&mut self, now: UnixMs) {
        if self.counts.is_empty() {
            return;
        }
        let counts = &mut self.counts;
        for target in self.targets.values_mut() {
            let service = target.service;
            let last_at = target.reports.last_at();
            if last_at.is_some_and(|at| now.since_ms(at) >= HOLD_MS + LAPSE_MS) {
                target.reports.retain(|_| false, |observer| counts.remove(observer, service));
            }
        }
    }

    /// Returns slowdowns to send: those that this node has observed since it last sent them, the
    /// most recent first, and then others in turn.
    fn slowdowns_to_send(&mut self, now: UnixMs) -> Vec<Observation> {
        let mut recent: Vec<(UnixMs, usize)> = self
            .targets
            .values()
            .enumerate()
            .filter(|(_, target)| target.slowdown.observed_at() > target.slowdown.sent_at)
            .map(|(index, target)| (target.slowdown.observed_at(), index))
            .collect();
        recent.sort_unstable_by(|a, b| b.cmp(a));
        recent.truncate(SLOWDOWNS_MAX / 2);
        let mut chosen: IndexSet<usize> = recent.into_iter().map(|(_, index)| index).collect();
        let count = self.targets.len();
        let start = self.next_slowdown;
        for offset in 0..count {
            if chosen.len() >= SLOWDOWNS_MAX {
                break;
            }
            let index = (start + offset) % count;
            self.next_slowdown = (index + 1) % count;
            let target = &self.targets[index];
            if target.slowdown.best_report(now, self.observer).is_some() {
                chosen.insert(index);
            }
        }
        let observer = self.observer;
        let to_observation = |index: usize| {
            let (key, target) = self.targets.get_index_mut(index)?;
            let report = target.slowdown.best_report(now, observer)?;
            if report.observer == observer {
                target.slowdown.sent_at = now;
            }
            let SlowdownReport { observed_at, observer, observations, tenths } = report;
            let state = HintState::Slowdown { tenths, observations };
            Some(Observation { hops: 0, observed_at, observer, state, target: *key })
        };
        chosen.into_iter().filter_map(to_observation).collect()
    }
}

/// Returns the factor on the expected work of a target that has begun to serve again, in percent.
fn slow_start_percent(now: UnixMs, target: &Target) -> u64 {
    let Some(since) = target.serves_again_at else { return 100 };
    let left_ms = SLOW_START_MS.saturating_sub(now.since_ms(since));
    100 + (SLOW_START_FACTOR - 1) * 100 * left_ms / SLOW_START_MS
}
