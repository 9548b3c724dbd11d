//! The recent requests of workspaces at this node.

use crate::WORKSPACES_MAX;
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// Half-life of the recent requests of a workspace, as in the queue of waiting requests.
const HALF_LIFE_MS: f64 = 5_000.0;
/// Recent requests below this are dropped: one request counts for 20 s.
const REQUESTS_MIN: f64 = 0.06;
/// Part by which a request's priority changes the mean weight of its workspace.
const WEIGHT_GAIN: f64 = 1.0 / 16.0;
/// Largest priority value that makes a difference, as in the queue of waiting requests.
const PRIORITY_MAX: u32 = 9;

/// Returns the weight of a request: each lower priority halves it.
pub(crate) fn weight_of(priority: u32) -> f64 {
    (-f64::from(priority.min(PRIORITY_MAX))).exp2()
}

/// The recent requests of one workspace, decayed to the moment `at`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnLoad {
    at: UnixMs,
    pub offered: f64,
    pub served: f64,
    /// Mean weight of its requests, by their priorities.
    pub weight: f64,
}

impl OwnLoad {
    pub(crate) fn decayed_to(self, now: UnixMs) -> Self {
        let factor = (-(now.since_ms(self.at) as f64) / HALF_LIFE_MS).exp2();
        Self { at: now, offered: self.offered * factor, served: self.served * factor, ..self }
    }

    fn is_recent(&self) -> bool {
        self.offered.max(self.served) >= REQUESTS_MIN
    }
}

/// The recent requests of all workspaces at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnLoads {
    by_workspace: IndexMap<String, OwnLoad>,
}

impl OwnLoads {
    pub(crate) fn record_offered(&mut self, now: UnixMs, workspace: &str, priority: u32) {
        let weight = weight_of(priority);
        let load = self.load_mut(now, workspace, weight);
        load.offered += 1.0;
        load.weight += (weight - load.weight) * WEIGHT_GAIN;
    }

    pub(crate) fn record_served(&mut self, now: UnixMs, workspace: &str) {
        self.load_mut(now, workspace, weight_of(0)).served += 1.0;
    }

    fn load_mut(&mut self, now: UnixMs, workspace: &str, weight: f64) -> &mut OwnLoad {
        if !self.by_workspace.contains_key(workspace) {
            self.make_room(now);
            let load = OwnLoad { at: now, offered: 0.0, served: 0.0, weight };
            self.by_workspace.insert(workspace.to_owned(), load);
        }
        let load = &mut self.by_workspace[workspace];
        *load = load.decayed_to(now);
        load
    }

    fn make_room(&mut self, now: UnixMs) {
        if self.by_workspace.len() < WORKSPACES_MAX {
            return;
        }
        let offered = |load: &OwnLoad| load.decayed_to(now).offered;
        let smallest = self
            .by_workspace
            .values()
            .enumerate()
            .min_by(|(_, one), (_, other)| offered(one).total_cmp(&offered(other)))
            .map(|(index, _)| index);
        if let Some(index) = smallest {
            self.by_workspace.swap_remove_index(index);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_workspace.len()
    }

    pub(crate) fn get(&self, now: UnixMs, workspace: &str) -> Option<OwnLoad> {
        self.by_workspace.get(workspace).map(|load| load.decayed_to(now))
    }

    /// Drops workspaces without recent requests and returns the others.
    pub(crate) fn recent(&mut self, now: UnixMs) -> impl Iterator<Item = (&String, OwnLoad)> {
        self.by_workspace.retain(|_, load| load.decayed_to(now).is_recent());
        self.by_workspace.iter().map(move |(name, load)| (name, load.decayed_to(now)))
    }

    /// Returns the mean weight of the workspaces that send to this node.
    pub(crate) fn mean_weight(&self) -> f64 {
        let weights = self.by_workspace.values().map(|load| load.weight);
        let count = self.by_workspace.len();
        if count == 0 { 1.0 } else { weights.sum::<f64>() / count as f64 }
    }
}
