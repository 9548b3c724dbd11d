//! The shares of workspaces, and the decision to admit a request.

use crate::contention::Contention;
use crate::epoch::{self, Epoch};
use crate::half::{BadHalf, Half};
use crate::means::Means;
use crate::own::{OwnLoads, weight_of};
use catkinmast_model::UnixMs;

/// Interval at which the level is computed. It costs some microseconds for each workspace, which is
/// too much for each request at a node with 0.09 of a core.
const UPDATE_INTERVAL_MS: u64 = 250;

/// Demand and share of a workspace that sends more than its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverShare {
    /// Recent requests of the workspace over all nodes (half-life 5 s).
    pub demand: f64,
    /// How many of them its share is.
    pub level: f64,
}

/// The shares of workspaces, as this node knows them.
#[derive(Clone, Debug)]
pub struct FairShares {
    contention: Contention,
    epoch: Epoch,
    /// The level of a request of priority 0, as a mean over the nodes.
    level: f64,
    means: Means,
    nodes: usize,
    own: OwnLoads,
    updated_at: UnixMs,
    workspaces: usize,
}

impl Default for FairShares {
    fn default() -> Self {
        Self {
            contention: Contention::default(),
            epoch: Epoch::default(),
            level: f64::INFINITY,
            means: Means::default(),
            nodes: 1,
            own: OwnLoads::default(),
            updated_at: UnixMs(0),
            workspaces: 0,
        }
    }
}

impl FairShares {
    /// Sets the number of live nodes, this one included, and the number of configured workspaces.
    /// All nodes with one configuration must set the same number of workspaces.
    pub fn set_size(&mut self, nodes: usize, workspaces: usize) {
        self.nodes = nodes.max(1);
        self.workspaces = workspaces;
    }

    /// Records that a request arrived. Priority 0 is the most urgent.
    pub fn record_offered(&mut self, now: UnixMs, workspace: &str, priority: u32) {
        self.own.record_offered(now, workspace, priority);
    }

    /// Records that an admitted request was answered by a target.
    pub fn record_served(&mut self, now: UnixMs, workspace: &str) {
        self.own.record_served(now, workspace);
        self.contention.record_ended(now, true);
    }

    /// Records that an admitted request was refused for load or ran out of time.
    pub fn record_unserved(&mut self, now: UnixMs) {
        self.contention.record_ended(now, false);
    }

    /// Returns whether a request is admitted; `draw` is a random number from 0 to below 1.
    pub fn admits(&mut self, now: UnixMs, workspace: &str, priority: u32, draw: f64) -> bool {
        self.update(now);
        self.over_share(workspace, priority).is_none_or(|over| draw * over.demand < over.level)
    }

    /// Returns demand and share of a workspace whose demand exceeds its share by more than chance.
    pub fn over_share(&self, workspace: &str, priority: u32) -> Option<OverShare> {
        if self.level.is_infinite() {
            return None;
        }
        let nodes = self.nodes as f64;
        let demand = self.means.get(workspace)?.offered * nodes;
        let level = self.level * weight_of(priority) * nodes;
        (demand - demand.sqrt() > level).then_some(OverShare { demand, level })
    }

    /// Returns whether fewer requests are served than are sent to targets, over all nodes.
    pub const fn is_contended(&self) -> bool {
        self.contention.is_contended()
    }

    /// Returns the recent requests of a workspace that were served by all nodes (half-life 5 s), as
    /// far as this node knows.
    pub fn recent_service(&self, now: UnixMs, workspace: &str) -> f64 {
        let mean = self.means.get(workspace).map_or(0.0, |mean| mean.served);
        let own = self.own.get(now, workspace).map_or(0.0, |own| own.served);
        (mean * self.nodes as f64).max(own)
    }

    /// Returns the largest number of workspaces that any part of the state holds.
    pub fn known_workspaces(&self) -> usize {
        self.epoch.len().max(self.means.len()).max(self.own.len())
    }

    /// Returns one half of this node's weights and sums, to be sent to another node; none if there
    /// is nothing to tell. Called once a second.
    pub fn outgoing(&mut self, now: UnixMs) -> Option<Half> {
        self.update(now);
        if !self.contention.is_active(now) && self.epoch.is_empty() {
            return None;
        }
        let fleet = self.contention.split(now);
        Some(self.epoch.split(epoch::groups(self.workspaces), fleet))
    }

    /// Adds what another node has sent.
    ///
    /// # Errors
    /// If a value is impossible; nothing of the message is added then.
    pub fn receive(&mut self, now: UnixMs, half: Half) -> Result<(), BadHalf> {
        half.check()?;
        self.contention.receive(now, half.fleet);
        if self.epoch.is_before(half.epoch) {
            // A node that joined the epoch late has received too little for means of its own.
            if self.epoch.age_ms(now) >= epoch::length_ms(self.nodes) / 2 {
                self.take_means(now);
            }
            self.epoch.start(now, half.epoch, &mut self.own);
        }
        self.epoch.add(now, half);
        Ok(())
    }

    fn take_means(&mut self, now: UnixMs) {
        let Some(total) = self.epoch.total(now, self.nodes) else { return };
        let groups = epoch::groups(self.workspaces);
        let means = self.epoch.means(now, self.nodes, groups);
        self.means.take(self.epoch.number(), groups, self.workspaces, total, means);
    }

    /// Ends the epoch if its time is over.
    fn advance(&mut self, now: UnixMs) {
        let length_ms = epoch::length_ms(self.nodes);
        let age_ms = self.epoch.age_ms(now);
        if age_ms < length_ms {
            return;
        }
        // After an epoch without a request, or in which this node did nothing, what it knows is no
        // longer about the workspaces that send now.
        if self.epoch.is_empty() || age_ms >= 2 * length_ms {
            self.means = Means::default();
        } else {
            self.take_means(now);
        }
        self.epoch.start(now, self.epoch.number().wrapping_add(1), &mut self.own);
    }

    fn update(&mut self, now: UnixMs) {
        if now.since_ms(self.updated_at) < UPDATE_INTERVAL_MS {
            return;
        }
        self.updated_at = now;
        self.advance(now);
        let level_binds = self.level.is_finite();
        self.contention.update(now, self.nodes, level_binds, self.means.served_part());
        self.level = if self.contention.is_contended() {
            let groups = epoch::groups(self.workspaces);
            let headroom = self.contention.headroom();
            self.means.level(now, &self.own, self.workspaces, groups, headroom)
        } else {
            f64::INFINITY
        };
    }
}
