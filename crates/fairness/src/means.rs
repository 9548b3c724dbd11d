//! The mean loads of workspaces over all nodes, from the epochs that have ended.

use crate::WORKSPACES_MAX;
use crate::epoch::{KnownBy, Mean};
use crate::level::{Demand, max_min_level};
use crate::own::OwnLoads;
use catkinmast_model::UnixMs;
use indexmap::IndexMap;

/// Cycles of epochs after which a workspace that was not averaged again is dropped.
const KEPT_CYCLES: u32 = 3;
/// Largest factor by which an older mean is raised for the present load of the fleet.
const FACTOR_MAX: f64 = 10.0;
/// How many times the mean a workspace must send to be limited before all workspaces are known: the
/// level is not certain, and those that are not known yet are not limited either.
const CERTAIN_FACTOR: f64 = 3.0;

/// The mean load of a workspace, and the epoch that gave it.
#[derive(Clone, Copy, Debug)]
struct Known {
    mean: Mean,
    epoch: u32,
    /// What the fleet was offered in that epoch, above zero.
    total_offered: f64,
}

/// The mean loads that this node knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Means {
    by_workspace: IndexMap<String, Known>,
    /// The last epoch that was taken in.
    epoch: u32,
    /// Number of epochs taken in so far.
    epochs: u32,
    total: Mean,
}

impl Means {
    /// Takes in the means of an epoch that has ended, of the sum over all workspaces and of those
    /// that were averaged. Those that are not of the epoch's group are taken in only if they are far
    /// larger than the mean of all, or, if they were mixed, smaller than they were known to be.
    pub(crate) fn take<'a>(
        &mut self,
        epoch: u32,
        groups: u32,
        workspaces: usize,
        total: Mean,
        means: impl Iterator<Item = (&'a String, Mean, KnownBy)>,
    ) {
        self.epochs = self.epochs.saturating_add(1);
        self.total = total;
        let large = total.offered / workspaces.max(1) as f64 * CERTAIN_FACTOR;
        for (workspace, mean, known_by) in means {
            let old = self.get(workspace).map(|old| old.offered);
            let is_taken = match known_by {
                KnownBy::Group => true,
                KnownBy::OwnRequests => {
                    mean.offered >= large && old.is_none_or(|old| mean.offered > old)
                }
                KnownBy::Size => mean.offered >= large || old.is_some_and(|old| mean.offered < old),
            };
            if !is_taken {
                continue;
            }
            let total_offered = total.offered.max(f64::MIN_POSITIVE);
            self.by_workspace.insert(workspace.clone(), Known { mean, epoch, total_offered });
        }
        self.epoch = epoch;
        let kept_epochs = groups.saturating_mul(KEPT_CYCLES);
        self.by_workspace.retain(|_, known| epoch.wrapping_sub(known.epoch) <= kept_epochs);
        if self.by_workspace.len() > WORKSPACES_MAX {
            self.by_workspace.sort_unstable_by(|_, one, _, other| {
                other.mean.offered.total_cmp(&one.mean.offered)
            });
            self.by_workspace.truncate(WORKSPACES_MAX);
        }
    }

    /// Returns a mean as a part of what the whole fleet is offered now, since that changes faster
    /// than the parts of its workspaces.
    fn now(&self, known: Known) -> Mean {
        let factor = (self.total.offered / known.total_offered).min(FACTOR_MAX);
        Mean { offered: known.mean.offered * factor, served: known.mean.served * factor }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_workspace.len()
    }

    /// Returns the part of all requests that was served in the last epoch; 1 if there were none.
    pub(crate) fn served_part(&self) -> f64 {
        if self.total.offered > 0.0 { self.total.served / self.total.offered } else { 1.0 }
    }

    pub(crate) fn get(&self, workspace: &str) -> Option<Mean> {
        self.by_workspace.get(workspace).map(|known| self.now(*known))
    }

    /// Returns the level of max-min shares if `headroom` times what is served can be served.
    ///
    /// Until each of the `workspaces` may have been averaged, the requests that belong to none of
    /// the known ones count as those of the others, in equal parts, and only workspaces that send
    /// far more than the mean are limited.
    pub(crate) fn level(
        &self,
        now: UnixMs,
        own: &OwnLoads,
        workspaces: usize,
        groups: u32,
        headroom: f64,
    ) -> f64 {
        // Nodes at which a workspace sends nothing know nothing of its priorities.
        let usual_weight = own.mean_weight();
        // A workspace may miss one cycle. With a single group, one epoch averages all.
        let is_complete = self.epochs >= groups.saturating_mul(2).saturating_sub(1);
        let unknown = workspaces.saturating_sub(self.by_workspace.len());
        let unknown = if is_complete { 0 } else { unknown };
        let mut demands: Vec<Demand> = Vec::with_capacity(self.by_workspace.len() + unknown);
        for (workspace, known) in &self.by_workspace {
            let weight = own.get(now, workspace).map_or(usual_weight, |own| own.weight);
            demands.push(Demand { requests: self.now(*known).offered, weight });
        }
        let of_known: f64 = demands.iter().map(|demand| demand.requests).sum();
        let of_each = (self.total.offered - of_known).max(0.0) / unknown.max(1) as f64;
        demands.extend((0..unknown).map(|_| Demand { requests: of_each, weight: usual_weight }));
        let level = max_min_level(demands, self.total.served * headroom);
        if is_complete {
            return level;
        }
        let usual_share = self.total.offered / workspaces.max(1) as f64 / usual_weight;
        level.max(usual_share * CERTAIN_FACTOR)
    }
}
