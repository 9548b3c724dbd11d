//! How much each workspace was served recently.

use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// Half-life of the recent service of a workspace.
const HALF_LIFE_MS: u64 = 5_000;
/// Recent service below this is dropped.
const SERVED_MIN: f64 = 0.01;
/// Number of records at which those below [`SERVED_MIN`] are dropped. Looking through all records
/// for each request served would cost a node with many workspaces more than the queue does.
const PRUNE_AT: usize = 128;

/// Tells how much a workspace was served recently.
pub trait RecentService {
    /// Returns the number of requests of a workspace that were served recently, decayed by age.
    fn recent_service(&self, now: UnixMs, workspace: Option<&str>) -> f64;
}

/// How much a workspace has been served, decayed to the moment `at`.
#[derive(Clone, Copy, Debug)]
struct Served {
    at: UnixMs,
    served: f64,
}

impl Served {
    fn decayed_to(self, now: UnixMs) -> f64 {
        let halvings = now.since_ms(self.at) as f64 / HALF_LIFE_MS as f64;
        self.served * (-halvings).exp2()
    }
}

/// The recent service of workspaces by one node.
#[derive(Clone, Debug, Default)]
pub struct ServedRecord {
    prune_at: usize,
    /// Requests without a workspace are in the first field, so that a look-up needs no owned key.
    without_workspace: Option<Served>,
    by_workspace: IndexMap<String, Served>,
}

impl ServedRecord {
    /// Records that a request of a workspace was served.
    pub fn record_served(&mut self, now: UnixMs, workspace: Option<&str>) {
        let served = Served { at: now, served: self.recent_service(now, workspace) + 1.0 };
        match workspace {
            None => self.without_workspace = Some(served),
            Some(name) => match self.by_workspace.get_mut(name) {
                Some(recent) => *recent = served,
                None => {
                    self.by_workspace.insert(name.to_owned(), served);
                }
            },
        }
        if self.by_workspace.len() >= self.prune_at.max(PRUNE_AT) {
            self.by_workspace.retain(|_, recent| recent.decayed_to(now) >= SERVED_MIN);
            self.prune_at = self.by_workspace.len() * 2;
        }
    }
}

impl RecentService for ServedRecord {
    fn recent_service(&self, now: UnixMs, workspace: Option<&str>) -> f64 {
        let recent = match workspace {
            None => self.without_workspace.as_ref(),
            Some(name) => self.by_workspace.get(name),
        };
        recent.map_or(0.0, |recent| recent.decayed_to(now))
    }
}
