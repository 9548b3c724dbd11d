//! Which target is brought to which weight version, and when.
//!
//! A load takes a target out of a model's work for about a second, its price counts beyond one
//! load a version for each target of a fair share, and the weight store slows down when many load
//! at once. So targets are split among the models by their work ([`Demand`]), a target is loaded
//! only for its model, the one that lags most goes first, and never more than a part of a model's
//! targets load at once.

use crate::shares::{Demand, SHARE_UNIT, interleave};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use std::collections::BTreeMap;

/// Two models may be this far apart from what they should have, in the unit of shares, before a
/// target moves. With less, the change of a step's lengths by a fifth moves one back and forth.
const APART_MAX: i64 = 2 * SHARE_UNIT as i64;

/// Bounds on loads.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSettings {
    /// One target in this many may load at once.
    pub targets_per_load: usize,
    /// At least so many may load at once.
    pub min_concurrent_loads: usize,
    /// How long a target rests whose load failed.
    pub retry_backoff_ms: u64,
    /// A load that has not been seen to end after so long is given up.
    pub load_max_ms: u64,
    /// How long a model's loads wait after one of its batches was opened.
    pub batch_start_ms: u64,
}

impl Default for RolloutSettings {
    /// One in five: the users' weight stores serve that many before loads slow down. Two, so that
    /// a model of two targets is not held up by one that does not answer. 500 ms: a lost order
    /// shows in the target's report by then. 15 s: an order may be carried out up to 12 s late.
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

/// A target that may be loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutTarget {
    /// Where it stands.
    pub data_centre: String,
    /// Its id.
    pub id: String,
    /// Its versions by model.
    pub models: Vec<(String, u64)>,
}

impl RolloutTarget {
    fn version(&self, model: &str) -> u64 {
        self.models.iter().find(|(name, _)| name == model).map_or(0, |(_, version)| *version)
    }
}

/// A load to order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The model.
    pub model: String,
    /// The target's id.
    pub target: String,
    /// The version to load.
    pub version: u64,
}

/// How an order went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The target has the version.
    Done,
    /// It could not be carried out, or nothing is known of it.
    Failed,
}

/// The versions of all targets of one service.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    assigned: IndexMap<String, String>,
    loading: IndexMap<String, (LoadOrder, UnixMs)>,
    /// Until when a model's loads wait.
    held_until: IndexMap<String, UnixMs>,
    named: IndexMap<String, u64>,
    rests_until: IndexMap<String, UnixMs>,
    settings: RolloutSettings,
}

impl Rollout {
    /// Opens a rollout that knows no version yet.
    pub fn open(settings: RolloutSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes a version that a trainer has published; versions only rise.
    pub fn version_published(&mut self, model: &str, version: u64) {
        let held = self.named.entry(model.to_owned()).or_insert(version);
        *held = (*held).max(version);
    }

    /// Takes the opening of a batch: its items start before targets load, which then go on with
    /// them while they load.
    pub fn batch_opened(&mut self, at: UnixMs, model: &str) {
        let until = at.plus(self.settings.batch_start_ms);
        let held = self.held_until.entry(model.to_owned()).or_insert(until);
        *held = (*held).max(until);
    }

    /// Tells whether a model's next load waits for its items to start. One goes on meanwhile; and
    /// where no target may serve its next step, none could start.
    fn waits(&self, now: UnixMs, model: &str, current: usize) -> bool {
        let held = self.held_until.get(model).is_some_and(|until| *until > now);
        held && current > 0 && self.loading_of(model) > 0
    }

    /// Returns the model that a target is kept current for.
    pub fn model_of(&self, target: &str) -> Option<&str> {
        self.assigned.get(target).map(String::as_str)
    }

    /// Counts the targets that are kept current for each model, in the order of the names.
    pub fn counts(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for model in self.assigned.values() {
            *counts.entry(model.as_str()).or_insert(0) += 1;
        }
        counts
    }

    /// Says which loads to order now.
    pub fn plan(
        &mut self,
        now: UnixMs,
        targets: &[RolloutTarget],
        models: &[String],
        demand: &Demand,
    ) -> Vec<LoadOrder> {
        self.forget(now, targets);
        self.assign(targets, models, demand);
        let at_once = (targets.len() / self.settings.targets_per_load)
            .max(self.settings.min_concurrent_loads);
        let mut behind: Vec<(u64, LoadOrder)> =
            targets.iter().filter_map(|target| self.lag(now, target)).collect();
        // A model that has few targets for its next step goes first: without one its step stands
        // still, while another model only loses some of its slots. Of those whose targets all serve
        // the next step, the one goes first that has fewest with the version named: only there
        // can texts be begun that a later step accepts.
        let count = |slack: u64| -> IndexMap<String, usize> {
            models
                .iter()
                .map(|model| (model.clone(), self.current_of(targets, model, slack)))
                .collect()
        };
        let (current, newest) = (count(1), count(0));
        behind.sort_by_key(|(lag, order)| {
            let of =
                |counts: &IndexMap<String, usize>| counts.get(&order.model).copied().unwrap_or(0);
            let have = if *lag < 2 { of(&newest) } else { of(&current) };
            (*lag < 2, have, std::cmp::Reverse(*lag))
        });
        let mut orders = Vec::new();
        for (_, order) in behind {
            if self.loading.len() >= at_once {
                break;
            }
            let waits =
                self.waits(now, &order.model, current.get(&order.model).copied().unwrap_or(0));
            if !waits && self.loading_of(&order.model) < self.at_once_of(&order.model) {
                self.loading.insert(order.target.clone(), (order.clone(), now));
                orders.push(order);
            }
        }
        orders
    }

    /// Takes the outcome of an order.
    pub fn record_outcome(&mut self, now: UnixMs, target: &str, outcome: LoadOutcome) {
        self.loading.swap_remove(target);
        if outcome == LoadOutcome::Failed {
            self.rests_until.insert(target.to_owned(), now.plus(self.settings.retry_backoff_ms));
        }
    }

    /// The load that a target needs most, and by how many versions it is behind.
    fn lag(&self, now: UnixMs, target: &RolloutTarget) -> Option<(u64, LoadOrder)> {
        let rests = self.rests_until.get(&target.id).is_some_and(|until| *until > now);
        if rests || self.loading.contains_key(&target.id) {
            return None;
        }
        let served = self.named.iter().filter(|(model, _)| self.serves(&target.id, model));
        let (lag, model, version) = served
            .map(|(model, named)| (named.saturating_sub(target.version(model)), model, *named))
            .max_by_key(|(lag, _, _)| *lag)?;
        let order = LoadOrder { model: model.clone(), target: target.id.clone(), version };
        (lag > 0).then_some((lag, order))
    }

    /// A target is kept current for its own model, and for models that have no target at all.
    fn serves(&self, target: &str, model: &str) -> bool {
        self.assigned.get(target).is_some_and(|of| of == model) || self.count_of(model) == 0
    }

    /// Counts a model's targets that are at most `slack` versions behind the one named.
    fn current_of(&self, targets: &[RolloutTarget], model: &str, slack: u64) -> usize {
        let named = self.named.get(model).copied().unwrap_or(0);
        targets
            .iter()
            .filter(|target| self.assigned.get(&target.id).is_some_and(|of| of == model))
            .filter(|target| target.version(model) + slack >= named)
            .count()
    }

    fn loading_of(&self, model: &str) -> usize {
        self.loading.values().filter(|(order, _)| order.model == model).count()
    }

    /// At most half of a model's targets load at once, so that its items always find one.
    fn at_once_of(&self, model: &str) -> usize {
        (self.count_of(model) / 2).max(1)
    }

    fn count_of(&self, model: &str) -> usize {
        self.assigned.values().filter(|assigned| *assigned == model).count()
    }

    fn forget(&mut self, now: UnixMs, targets: &[RolloutTarget]) {
        let present = |id: &String| targets.iter().any(|target| target.id == *id);
        self.assigned.retain(|id, _| present(id));
        self.rests_until.retain(|id, until| present(id) && *until > now);
        let load_max_ms = self.settings.load_max_ms;
        self.loading.retain(|id, (_, since)| present(id) && now.since_ms(*since) < load_max_ms);
    }

    /// Keeps what is assigned, gives new targets to the model that they are freshest for or else
    /// to the one that lacks most, and moves a target only where two of them are in the wrong
    /// place: a move costs a load. Before anything is loaded nothing is kept, so that all start
    /// from the places that each node works out for itself.
    fn assign(&mut self, targets: &[RolloutTarget], models: &[String], demand: &Demand) {
        if models.is_empty() {
            return;
        }
        let mut models = models.to_vec();
        models.sort_unstable();
        self.assigned.retain(|_, model| models.contains(model));
        if self.named.is_empty() {
            self.assigned.clear();
        }
        let shares = demand.shares(&models, targets.len());
        let mut sorted: Vec<&RolloutTarget> = targets.iter().collect();
        sorted.sort_by(|a, b| (&a.data_centre, &a.id).cmp(&(&b.data_centre, &b.id)));
        for (target, dealt) in sorted.iter().zip(interleave(&shares, targets.len())) {
            if !self.assigned.contains_key(&target.id) {
                let model = self.freshest(target, &models).unwrap_or(&models[dealt]);
                self.assigned.insert(target.id.clone(), model.clone());
            }
        }
        self.level(targets, &models, &shares);
    }

    /// The one model that a target is fresher for than for any other.
    fn freshest<'a>(&self, target: &RolloutTarget, models: &'a [String]) -> Option<&'a String> {
        let lag = |model: &String| {
            let named = self.named.get(model).copied().unwrap_or(0);
            named.saturating_sub(target.version(model)).saturating_sub(1)
        };
        let least = models.iter().map(lag).min()?;
        let mut fresh = models.iter().filter(|model| lag(model) == least);
        let first = fresh.next();
        first.filter(|_| fresh.next().is_none())
    }

    /// Moves targets until no two models are two targets apart from what they should have.
    fn level(&mut self, targets: &[RolloutTarget], models: &[String], shares: &[u64]) {
        loop {
            let surplus = |place: &usize| {
                (self.count_of(&models[*place]) as u64 * SHARE_UNIT) as i64 - shares[*place] as i64
            };
            let least = (0..models.len()).min_by_key(surplus);
            let most = (0..models.len()).max_by_key(surplus);
            let (Some(least), Some(most)) = (least, most) else { return };
            if surplus(&most) - surplus(&least) < APART_MAX {
                return;
            }
            let moved = targets
                .iter()
                .filter(|target| self.assigned.get(&target.id) == Some(&models[most]))
                .max_by_key(|target| target.version(&models[least]));
            let Some(moved) = moved else { return };
            self.assigned.insert(moved.id.clone(), models[least].clone());
        }
    }
}
