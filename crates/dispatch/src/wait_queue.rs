//! Whose request is tried next while all targets of a service refuse for load.
//!
//! It answers a burst of one workspace, or of one route, that takes more than the targets of a service
//! can do for a while. Tried in no order, each request has the same chance, so a workspace that sends ten
//! times as much is served ten times as much, and the others wait behind it. Here the requests that wait are
//! tried in the order of what their workspaces have had of late, each rank of priority counting as half of
//! the one before, and the oldest first among equals. No workspace can push another out: one that gets
//! nothing comes first in the end, whatever its rank.

use catkinmast_model::UnixMs;
use indexmap::{IndexMap, IndexSet};

/// The time after which what a workspace has had counts half.
const HALVED_AFTER_MS: u64 = 5_000;
/// What a workspace has had is forgotten when less of it is left.
const FORGOTTEN_BELOW: f64 = 0.01;
/// The rank from which lower ones no longer differ.
const PRIORITY_MAX: u32 = 9;
/// Of those that wait, one in so many is tried in a turn: an order means nothing where all are tried.
const DUE_PART: usize = 2;
/// The most that are tried in a turn; with a turn each 20 ms, 200 a second at one node.
const DUE_MAX: usize = 4;
/// How long it stays the same requests' turn.
const DEAL_EVERY_MS: u64 = 10;

/// Names a request that waits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(u64);

#[derive(Clone, Debug)]
struct Waiting {
    id: WaiterId,
    priority: u32,
    since: UnixMs,
    workspace: Option<String>,
}

/// What a workspace has had, as it counted at a moment.
#[derive(Clone, Copy, Debug)]
struct Share {
    at: UnixMs,
    had: f64,
}

impl Share {
    fn now(self, now: UnixMs) -> f64 {
        let halvings = now.since_ms(self.at) as f64 / HALVED_AFTER_MS as f64;
        self.had * (-halvings).exp2()
    }
}

/// The requests that wait for the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    dealt_at: Option<UnixMs>,
    due: IndexSet<WaiterId>,
    next: u64,
    shares: IndexMap<Option<String>, Share>,
    waiting: Vec<Waiting>,
}

impl WaitQueue {
    /// Takes a request that waits, and came `since`.
    pub fn enqueue(&mut self, since: UnixMs, workspace: Option<&str>, priority: u32) -> WaiterId {
        let id = WaiterId(self.next);
        self.next += 1;
        let workspace = workspace.map(str::to_owned);
        self.waiting.push(Waiting { id, priority, since, workspace });
        id
    }

    /// Takes a request out that waits no longer.
    pub fn remove(&mut self, id: WaiterId) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Takes it that a request was served.
    pub fn record_served(&mut self, now: UnixMs, workspace: Option<&str>) {
        let workspace = workspace.map(str::to_owned);
        let share = self.shares.entry(workspace).or_insert(Share { at: now, had: 0.0 });
        *share = Share { at: now, had: share.now(now) + 1.0 };
        self.shares.retain(|_, share| share.now(now) >= FORGOTTEN_BELOW);
    }

    /// Tells whether it is a request's turn to be tried.
    pub fn is_due(&mut self, now: UnixMs, id: WaiterId) -> bool {
        if self.dealt_at.is_none_or(|at| now.since_ms(at) >= DEAL_EVERY_MS) {
            self.deal(now);
        }
        self.due.contains(&id)
    }

    /// Finds out whose turn it is.
    fn deal(&mut self, now: UnixMs) {
        self.dealt_at = Some(now);
        let place = |waiting: &Waiting| (self.weight(now, waiting), waiting.since, waiting.id);
        let mut places: Vec<(f64, UnixMs, WaiterId)> = self.waiting.iter().map(place).collect();
        places.sort_unstable_by(|one, other| {
            one.0.total_cmp(&other.0).then_with(|| (one.1, one.2).cmp(&(other.1, other.2)))
        });
        let due = places.len().div_ceil(DUE_PART).min(DUE_MAX);
        self.due = places[..due].iter().map(|(_, _, id)| *id).collect();
    }

    /// Returns how much a request's workspace has had, by its rank; the least is first.
    fn weight(&self, now: UnixMs, waiting: &Waiting) -> f64 {
        let had = self.shares.get(&waiting.workspace).map_or(0.0, |share| share.now(now));
        let rank = f64::from(waiting.priority.min(PRIORITY_MAX));
        (had + 1.0) * rank.exp2()
    }
}
