//! Plans which target loads which weight version, and when.
//!
//! A load takes a target out of a model's work for about a second, each load beyond the necessary
//! ones (for each version, one load on each target of the model's fair share) has a price, and the
//! weight store slows down when many targets load at once. So only as many targets are kept current
//! as the work of the models asks for ([`Demand`]), with some to spare. They are divided among the
//! models by their work, a target loads only for its own model, the target that lags most goes
//! first, and only a part of a model's targets load at once.

use crate::shares::{Demand, SHARE_UNIT, interleave};
use catkinmast_model::UnixMs;
use indexmap::{IndexMap, IndexSet};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// How far two models may differ in their surplus over their shares, in thousandths of a target,
/// before a target moves. With less, a change of a fifth in a step's lengths moves a target back
/// and forth.
const IMBALANCE_MAX: i64 = 2 * SHARE_UNIT as i64;

/// Targets are released only if there are more than this percentage of those needed: the work varies
/// from step to step, and a target that is needed again costs a load.
const KEPT_MAX_PERCENT: usize = 125;

/// Limits on loads.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSettings {
    /// One target in this many may load at once.
    pub targets_per_load: usize,
    /// At least this many targets may load at once.
    pub min_concurrent_loads: usize,
    /// How long a target backs off after a failed load.
    pub retry_backoff_ms: u64,
    /// How long a load may take before it is given up if its end is not observed.
    pub load_max_ms: u64,
    /// How long a model's loads are deferred after one of its batches was opened.
    pub batch_start_ms: u64,
}

impl Default for RolloutSettings {
    /// - `targets_per_load`, one in five: the users' weight stores serve that many before loads
    ///   slow down.
    /// - `min_concurrent_loads`, two: a model with two targets is not held up by one that does not
    ///   answer.
    /// - `retry_backoff_ms`, 500 ms: by then a lost order shows in the target's report.
    /// - `load_max_ms`, 15 s: an order may be executed up to 12 s late.
    /// - `batch_start_ms`, 300 ms: the time in which a batch's items start.
    fn default() -> Self {
        Self {
            targets_per_load: 5,
            min_concurrent_loads: 2,
            retry_backoff_ms: 500,
            load_max_ms: 15_000,
            batch_start_ms: 300,
        }
    }
}

/// A target that may load weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RolloutTarget<'a> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its id.
    pub id: &'a str,
    /// The weight versions that it holds, by model.
    pub models: &'a [(String, u64)],
}

impl RolloutTarget<'_> {
    fn version(&self, model: &str) -> u64 {
        self.models.iter().find(|(name, _)| name == model).map_or(0, |(_, version)| *version)
    }

    fn version_sum(&self) -> u64 {
        self.models.iter().fold(0, |sum, (_, version)| sum.saturating_add(*version))
    }
}

/// An order for a target to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The model.
    pub model: String,
    /// The target's id.
    pub target: String,
    /// The version to load.
    pub version: u64,
}

/// The outcome of a load order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The target has the version.
    Done,
    /// The load failed, or its outcome is unknown.
    Failed,
}

/// Which model each target of one service is kept current for, and the loads in progress.
#[derive(Clone, Debug, Default)]
pub struct WeightRollout {
    assigned: IndexMap<String, String>,
    /// The targets that are kept current.
    kept: IndexSet<String>,
    loading: IndexMap<String, (LoadOrder, UnixMs)>,
    /// Until when a model's loads are deferred.
    deferred_until: IndexMap<String, UnixMs>,
    published: IndexMap<String, u64>,
    backoff_until: IndexMap<String, UnixMs>,
    settings: RolloutSettings,
}

impl WeightRollout {
    /// Opens a rollout that knows no published version yet.
    pub fn open(settings: RolloutSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records a version that a trainer has published. Versions only increase.
    pub fn version_published(&mut self, model: &str, version: u64) {
        let held = self.published.entry(model.to_owned()).or_insert(version);
        *held = (*held).max(version);
    }

    /// Records that a batch was opened. Its items start before targets load; a target continues the
    /// items that it runs while it loads.
    pub fn batch_opened(&mut self, at: UnixMs, model: &str) {
        let until = at.plus(self.settings.batch_start_ms);
        let held = self.deferred_until.entry(model.to_owned()).or_insert(until);
        *held = (*held).max(until);
    }

    /// Returns whether a model's next load is deferred because one of its batches was just opened.
    /// One load may run meanwhile. `current` is the number of the model's targets that may serve
    /// its next step; if it is 0, nothing is deferred, because no item could start.
    fn is_deferred(&self, now: UnixMs, model: &str, current: usize, loading: usize) -> bool {
        let deferred = self.deferred_until.get(model).is_some_and(|until| *until > now);
        deferred && current > 0 && loading > 0
    }

    /// Returns the model that a target is kept current for.
    pub fn model_of(&self, target: &str) -> Option<&str> {
        self.assigned.get(target).map(String::as_str)
    }

    /// Returns how many targets are kept current for each model, sorted by name.
    pub fn counts(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for model in self.assigned.values() {
            *counts.entry(model.as_str()).or_insert(0) += 1;
        }
        counts
    }

    /// Returns the loads to order now, and records them as in progress. `slots` is the number of
    /// requests that a target runs at once.
    pub fn plan(
        &mut self,
        now: UnixMs,
        targets: &[RolloutTarget<'_>],
        models: &[String],
        slots: u32,
        demand: &Demand,
    ) -> Vec<LoadOrder> {
        let present: IndexMap<&str, &RolloutTarget<'_>> =
            targets.iter().map(|target| (target.id, target)).collect();
        self.prune(now, &present);
        self.keep(targets, demand.targets_needed(models, slots).min(targets.len()));
        let kept: Vec<&RolloutTarget<'_>> =
            self.kept.iter().filter_map(|id| present.get(id.as_str()).copied()).collect();
        self.assign(&kept, models, demand);
        let max_concurrent = (targets.len() / self.settings.targets_per_load)
            .max(self.settings.min_concurrent_loads);
        let assigned_counts = self.assigned_counts();
        let mut lagging: Vec<(u64, LoadOrder)> =
            kept.iter().filter_map(|target| self.lag(now, target, &assigned_counts)).collect();
        // A model with few targets for its next step goes first: without one its step stands still,
        // while another model only loses some of its slots. A target that lags by one version still
        // serves the next step. Among models whose targets all serve the next step, the one with
        // the fewest targets at the published version goes first: only those can start texts that a
        // later step accepts.
        let (current, newest) = (self.current_counts(&kept, 1), self.current_counts(&kept, 0));
        lagging.sort_by_key(|(lag, order)| {
            let counts = if *lag < 2 { &newest } else { &current };
            let have = counts.get(&order.model).copied().unwrap_or(0);
            (*lag < 2, have, Reverse(*lag))
        });
        let mut loading_counts = self.loading_counts();
        let mut orders = Vec::new();
        for (_, order) in lagging {
            if self.loading.len() >= max_concurrent {
                break;
            }
            let loading = loading_counts.entry(order.model.clone()).or_insert(0);
            let current = current.get(&order.model).copied().unwrap_or(0);
            let assigned = assigned_counts.get(&order.model).copied().unwrap_or(0);
            let is_deferred = self.is_deferred(now, &order.model, current, *loading);
            if !is_deferred && *loading < max_loading(assigned) {
                *loading += 1;
                self.loading.insert(order.target.clone(), (order.clone(), now));
                orders.push(order);
            }
        }
        orders
    }

    /// Chooses the targets to keep current: those that were kept, then the most current ones, so
    /// that a new holder of the duty keeps the same ones. Others with the same versions come in an
    /// order by hash, which spreads them over the data centres.
    fn keep(&mut self, targets: &[RolloutTarget<'_>], needed: usize) {
        if self.kept.len() * 100 > needed * KEPT_MAX_PERCENT {
            self.kept.truncate(needed);
        }
        if self.kept.len() >= needed {
            return;
        }
        let mut others: Vec<(Reverse<u64>, u64, &RolloutTarget<'_>)> = targets
            .iter()
            .filter(|target| !self.kept.contains(target.id))
            .map(|target| (Reverse(target.version_sum()), xxh3_64(target.id.as_bytes()), target))
            .collect();
        let missing = (needed - self.kept.len()).min(others.len());
        if missing < others.len() {
            others.select_nth_unstable_by_key(missing, |(sum, hash, _)| (*sum, *hash));
        }
        others.truncate(missing);
        self.kept.extend(others.iter().map(|(_, _, target)| target.id.to_owned()));
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, now: UnixMs, target: &str, outcome: LoadOutcome) {
        self.loading.swap_remove(target);
        if outcome == LoadOutcome::Failed {
            self.backoff_until.insert(target.to_owned(), now.plus(self.settings.retry_backoff_ms));
        }
    }

    /// Returns the load that a target needs most, and by how many versions it lags.
    fn lag(
        &self,
        now: UnixMs,
        target: &RolloutTarget<'_>,
        assigned_counts: &IndexMap<String, usize>,
    ) -> Option<(u64, LoadOrder)> {
        let is_backing_off = self.backoff_until.get(target.id).is_some_and(|until| *until > now);
        if is_backing_off || self.loading.contains_key(target.id) {
            return None;
        }
        // A target is kept current for its own model, and for those that have no target at all.
        let own = self.assigned.get(target.id);
        let served = self
            .published
            .iter()
            .filter(|(model, _)| own == Some(*model) || !assigned_counts.contains_key(*model));
        let (lag, model, version) = served
            .map(|(model, published)| {
                (published.saturating_sub(target.version(model)), model, *published)
            })
            .max_by_key(|(lag, _, _)| *lag)?;
        let order = LoadOrder { model: model.clone(), target: target.id.to_owned(), version };
        (lag > 0).then_some((lag, order))
    }

    /// Returns how many of each model's targets are at most `slack` versions behind the published
    /// one.
    fn current_counts(
        &self,
        targets: &[&RolloutTarget<'_>],
        slack: u64,
    ) -> IndexMap<String, usize> {
        let mut counts = IndexMap::new();
        for target in targets {
            let Some(model) = self.assigned.get(target.id) else { continue };
            let published = self.published.get(model).copied().unwrap_or(0);
            if target.version(model).saturating_add(slack) >= published {
                *counts.entry(model.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Returns how many targets each model has; models without any are left out.
    fn assigned_counts(&self) -> IndexMap<String, usize> {
        count_by(self.assigned.values())
    }

    fn loading_counts(&self) -> IndexMap<String, usize> {
        count_by(self.loading.values().map(|(order, _)| &order.model))
    }

    fn prune(&mut self, now: UnixMs, present: &IndexMap<&str, &RolloutTarget<'_>>) {
        let is_present = |id: &String| present.contains_key(id.as_str());
        self.kept.retain(&is_present);
        let kept = &self.kept;
        self.assigned.retain(|id, _| kept.contains(id));
        self.backoff_until.retain(|id, until| is_present(id) && *until > now);
        let load_max_ms = self.settings.load_max_ms;
        self.loading.retain(|id, (_, since)| is_present(id) && now.since_ms(*since) < load_max_ms);
    }

    /// Assigns targets to models. Keeps existing assignments, gives a new target to the model that
    /// it is most current for or else to the one furthest below its share, and moves a target only
    /// if the surpluses of two models differ by two targets, because a move costs a load. Before
    /// the first version is published, the assignment is computed anew each time, because each node
    /// then computes the same one by itself.
    fn assign(&mut self, targets: &[&RolloutTarget<'_>], models: &[String], demand: &Demand) {
        if models.is_empty() {
            return;
        }
        let kept = &self.kept;
        self.assigned.retain(|id, _| kept.contains(id));
        let mut models = models.to_vec();
        models.sort_unstable();
        self.assigned.retain(|_, model| models.contains(model));
        if self.published.is_empty() {
            self.assigned.clear();
        }
        let shares = demand.shares(&models, targets.len());
        if targets.iter().any(|target| !self.assigned.contains_key(target.id)) {
            let mut sorted = targets.to_vec();
            sorted.sort_by_key(|target| (target.data_centre, target.id));
            for (target, share_index) in sorted.iter().zip(interleave(&shares, targets.len())) {
                if !self.assigned.contains_key(target.id) {
                    let model = self.most_current(target, &models).unwrap_or(&models[share_index]);
                    self.assigned.insert(target.id.to_owned(), model.clone());
                }
            }
        }
        self.rebalance(targets, &models, &shares);
    }

    /// Returns the model that a target is more current for than for any other.
    fn most_current<'a>(
        &self,
        target: &RolloutTarget<'_>,
        models: &'a [String],
    ) -> Option<&'a String> {
        let lag = |model: &String| {
            let published = self.published.get(model).copied().unwrap_or(0);
            published.saturating_sub(target.version(model)).saturating_sub(1)
        };
        let least = models.iter().map(lag).min()?;
        let mut candidates = models.iter().filter(|model| lag(model) == least);
        let first = candidates.next();
        first.filter(|_| candidates.next().is_none())
    }

    /// Moves targets until no two models differ by two targets in their surplus over their shares.
    fn rebalance(&mut self, targets: &[&RolloutTarget<'_>], models: &[String], shares: &[u64]) {
        let mut counts = self.assigned_counts();
        loop {
            let surplus = |index: &usize| {
                let count = counts.get(&models[*index]).copied().unwrap_or(0);
                (count as u64 * SHARE_UNIT) as i64 - shares[*index] as i64
            };
            let least = (0..models.len()).min_by_key(surplus);
            let most = (0..models.len()).max_by_key(surplus);
            let (Some(least), Some(most)) = (least, most) else { return };
            if surplus(&most) - surplus(&least) < IMBALANCE_MAX {
                return;
            }
            let moved = targets
                .iter()
                .filter(|target| self.assigned.get(target.id) == Some(&models[most]))
                .max_by_key(|target| target.version(&models[least]));
            let Some(moved) = moved else { return };
            self.assigned.insert(moved.id.to_owned(), models[least].clone());
            *counts.entry(models[least].clone()).or_insert(0) += 1;
            if let Some(count) = counts.get_mut(&models[most]) {
                *count -= 1;
            }
        }
    }
}

/// Returns how many of a model's targets may load at once: at most half, so that its items always
/// find one.
fn max_loading(assigned: usize) -> usize {
    (assigned / 2).max(1)
}

fn count_by<'a>(models: impl Iterator<Item = &'a String>) -> IndexMap<String, usize> {
    let mut counts = IndexMap::new();
    for model in models {
        *counts.entry(model.clone()).or_insert(0) += 1;
    }
    counts
}
