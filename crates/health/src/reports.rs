//! Reports of failures of one target, and which of them are believed.

use crate::hint::ObserverKey;
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// How long a hint holds. A dead target costs the fleet a few attempts in each such time, and a
/// target that returns gets no calls for at most about as long.
pub(crate) const HOLD_MS: u64 = 2_000;
/// How much later each next node in rank checks whether a target has returned: longer than a
/// failed connection (1 ms if refused, 400 ms at most) and its hint usually take.
const RANK_STEP_MS: u64 = 250;
/// After this time beyond the hold all nodes may use the target, so that no target is avoided for
/// good after its hints were lost.
pub(crate) const LAPSE_MS: u64 = 4_000;
/// Observers kept for each target.
const OBSERVERS_MAX: usize = 8;
/// A failure within this time of an answer needs a second observer: the answer shows that the
/// target serves others, and the observer itself may be cut off from it.
const CONTESTED_MS: u64 = 1_000;

/// How long reports of an observer whose last one was followed by an answer to another node need an
/// observer without such a report. Otherwise a node that alone cannot reach a target would keep all
/// others from it for 2 s after each of its calls.
const CONTRADICTED_MS: u64 = 30_000;

/// A report of a failure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) observed_at: UnixMs,
    pub(crate) observer: ObserverKey,
}

/// The reports of a target's failures, one for each observer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reports(Vec<Report>);

/// Whether reports of a failure are believed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Belief {
    /// There are none, or an answer is newer.
    None,
    /// There is one observer, which may be mistaken.
    Discounted,
    /// The target counts as failing since the last report.
    Failing {
        /// Time of the last report.
        reported_at: UnixMs,
    },
}

/// Who has reported how many targets of each service as failing.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportCounts(IndexMap<(ObserverKey, u32), u32>);

impl ReportCounts {
    pub(crate) fn add(&mut self, observer: ObserverKey, service: u32) {
        *self.0.entry((observer, service)).or_default() += 1;
    }

    pub(crate) fn remove(&mut self, observer: ObserverKey, service: u32) {
        if let Some(count) = self.0.get_mut(&(observer, service)) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.0.swap_remove(&(observer, service));
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether an observer reports more than half of a service's targets. Such an observer
    /// may itself be cut off or out of processor time.
    pub(crate) fn exceeds_half(&self, observer: ObserverKey, service: u32, targets: u32) -> bool {
        self.0.get(&(observer, service)).is_some_and(|count| count * 2 > targets)
    }
}

impl Reports {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Report> {
        self.0.iter()
    }

    /// Returns the time of the last report.
    pub(crate) fn last_at(&self) -> Option<UnixMs> {
        self.0.iter().map(|held| held.observed_at).max()
    }

    /// Returns whether a failure seen by an observer at `observed_at` should reach all nodes: the
    /// observer has not reported the target since it last answered, and fewer than two others have
    /// within the hold.
    pub(crate) fn is_news(&self, observer: ObserverKey, observed_at: UnixMs) -> bool {
        let is_recent = |held: &&Report| observed_at.since_ms(held.observed_at) < HOLD_MS;
        self.0.iter().all(|held| held.observer != observer)
            && self.0.iter().filter(is_recent).count() < 2
    }

    /// Records a report. An observer's first report since the last answer counts: each renewal
    /// needs another observer, so that no node can keep others from a target that only it cannot
    /// reach. Reports of this node itself (`own`) matter only here, and the last one counts.
    ///
    /// Returns the observer whose report was dropped for it, if all places were taken, and whether
    /// the observer is new.
    pub(crate) fn add(&mut self, report: Report, own: ObserverKey) -> (Option<ObserverKey>, bool) {
        if let Some(held) = self.0.iter_mut().find(|held| held.observer == report.observer) {
            if report.observer == own {
                held.observed_at = held.observed_at.max(report.observed_at);
            }
            return (None, false);
        }
        let oldest = (0..self.0.len()).min_by_key(|index| self.0[*index].observed_at);
        let dropped = match oldest {
            Some(oldest) if self.0.len() >= OBSERVERS_MAX => {
                Some(self.0.swap_remove(oldest).observer)
            }
            _ => None,
        };
        self.0.push(report);
        (dropped, true)
    }

    /// Removes the reports that `is_kept` refuses, and passes their observers to `removed`.
    pub(crate) fn retain(
        &mut self,
        is_kept: impl Fn(&Report) -> bool,
        mut removed: impl FnMut(ObserverKey),
    ) {
        self.0.retain(|held| {
            let keep = is_kept(held);
            if !keep {
                removed(held.observer);
            }
            keep
        });
    }

    /// Returns whether the target counts as failing, given the last answer that is known, the
    /// observer that is this node, the observers that others have contradicted, and those that
    /// report too many targets.
    pub(crate) fn belief(
        &self,
        answered_at: Option<UnixMs>,
        own: ObserverKey,
        is_contradicted: impl Fn(ObserverKey) -> bool,
        reports_too_many: impl Fn(ObserverKey) -> bool,
    ) -> Belief {
        let is_newer =
            |held: &&Report| answered_at.is_none_or(|answered_at| held.observed_at > answered_at);
        let newer = || self.0.iter().filter(is_newer);
        let (Some(first), Some(reported_at)) =
            (newer().next(), newer().map(|held| held.observed_at).max())
        else {
            return Belief::None;
        };
        let is_single = newer().count() == 1;
        let is_contested = answered_at
            .is_some_and(|answered_at| first.observed_at.since_ms(answered_at) < CONTESTED_MS);
        let is_doubtful = newer().all(|held| is_contradicted(held.observer))
            || is_single && (is_contested || reports_too_many(first.observer));
        if is_doubtful && newer().all(|held| held.observer != own) {
            return Belief::Discounted;
        }
        Belief::Failing { reported_at }
    }
}

/// The observers whose reports an answer to another node has contradicted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contradicted(Vec<(ObserverKey, UnixMs)>);

impl Contradicted {
    /// Records that the target answered another node after an observer's report.
    pub(crate) fn add(&mut self, now: UnixMs, observer: ObserverKey) {
        self.0.retain(|(held, _)| *held != observer);
        if self.0.len() >= OBSERVERS_MAX {
            self.0.remove(0);
        }
        self.0.push((observer, now));
    }

    pub(crate) fn contains(&self, now: UnixMs, observer: ObserverKey) -> bool {
        let is_valid = |at: UnixMs| now.since_ms(at) < CONTRADICTED_MS;
        self.0.iter().any(|(held, at)| *held == observer && is_valid(*at))
    }
}

/// Where a failing target stands for this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// It is avoided.
    Held,
    /// It is this node's turn to check whether the target has returned.
    Turn,
    /// All nodes may use it.
    Lapsed,
}

/// Returns the phase of a target that was last reported as failing at `reported_at`. `rank` is this
/// node's rank for the target, 0 for the first.
pub(crate) fn phase(now: UnixMs, reported_at: UnixMs, rank: impl FnOnce() -> usize) -> Phase {
    let held_until = reported_at.plus(HOLD_MS);
    if now < held_until {
        return Phase::Held;
    }
    if now >= held_until.plus(LAPSE_MS) {
        return Phase::Lapsed;
    }
    let since = held_until.plus(rank() as u64 * RANK_STEP_MS);
    if now >= since { Phase::Turn } else { Phase::Held }
}
