//! Tracks which targets may receive work.
//!
//! The registry lags and has outages, and entries of live targets disappear with an outage. The
//! table guards against these failures:
//!
//! - *A draining target gets work*, because a late heartbeat of it arrives after its removal. Its
//!   requests then fail, or run past the time allowed for draining. A drain is therefore final for
//!   an incarnation, and an entry with an old sequence number is ignored.
//! - *All targets disappear when the registry returns*, because it lost their entries while it was
//!   away. All requests would be refused for seconds. A removal that
//!   [an outage](crate::RegistryOutage) may explain therefore takes effect only if the entry does
//!   not come back; any other removal takes effect at once.
//! - *A target that the registry lost keeps getting work.* Without an entry it must not be used;
//!   only an entry that is not older than the last one brings it back.
//! - *A target that restarted under its id is mistaken for its earlier incarnation.* Its heartbeats
//!   and order numbers start again, so its entries look old and orders expect numbers that it never
//!   had; it would be skipped, or load nothing, for good. Entries therefore carry the start time of
//!   the incarnation, and anything from an earlier one is ignored.
//! - *An entry written by another program is used.* Work would go to something that is no target.
//!   Where most targets report a start time, an entry without one is ignored.

use crate::shares::{Demand, SHARE_UNIT, interleave};
use catkinmast_model::UnixMs;
use catkinmast_places::Evacuations;
use indexmap::IndexMap;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64, xxh3_64_with_seed};

/// A target as the registry lists it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetEntry {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// How much longer it was cold when it wrote the entry.
    pub cold_left_ms: u64,
    /// Start time of this incarnation by the target's own clock. `None` where targets do not report
    /// it.
    pub started_at_unix_ms: Option<u64>,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is draining.
    pub draining: bool,
    /// Its id. After a restart it has another id, or the same id and a later start time.
    pub id: String,
    /// The weight versions that it holds, by model.
    pub models: Vec<(String, u64)>,
    /// Whether the provider may reclaim it at short notice.
    pub reclaimable: bool,
    /// Sequence number of its heartbeat.
    pub sequence: u64,
    /// Its service.
    pub service: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
}

impl TargetEntry {
    /// Returns a hash of all but the sequence number: entries with the same digest mean the same.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3Default::new();
        Self { sequence: 0, ..self.clone() }.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the version of a model that it holds.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.models.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
    }

    /// Returns whether its weights of a model are recent enough. Models that it does not list count
    /// as recent enough.
    pub fn serves(&self, model: &str, oldest: u64) -> bool {
        self.version(model).is_none_or(|version| version >= oldest)
    }

    /// Returns the model that the target is kept current for: the one on which it lags least behind
    /// the newest published version, given by `versions`. If several lag equally, prefers
    /// `assigned` if it is among them. A lag of one version counts as none, because such a target
    /// may still serve the next step.
    fn main_model<'a>(
        &'a self,
        versions: &IndexMap<String, u64>,
        assigned: Option<&'a str>,
    ) -> Option<&'a str> {
        let lag = |(model, version): &(String, u64)| {
            let newest = versions.get(model).copied().unwrap_or(0);
            newest.saturating_sub(*version).saturating_sub(1)
        };
        let least = self.models.iter().map(lag).min()?;
        let mut fresh = self.models.iter().filter(|held| lag(held) == least);
        match assigned {
            Some(assigned) if fresh.clone().any(|(model, _)| model == assigned) => Some(assigned),
            _ => fresh.next().map(|(model, _)| model.as_str()),
        }
    }
}

/// What a change of a target means for requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetChange {
    /// The target may receive work.
    Joined(String),
    /// The target receives no more work.
    Left(String),
    /// No change for requests.
    None,
    /// The target has restarted under its id. Anything known about it belongs to an earlier
    /// incarnation.
    Restarted(String),
}

#[derive(Clone, Debug)]
struct KnownTarget {
    entry: TargetEntry,
    has_left: bool,
    presence: Presence,
}

/// Whether a target's entry is in the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Presence {
    Listed,
    Missing,
    /// The entry disappeared with an outage of the registry and may reappear until then.
    MayReturn {
        until: UnixMs,
    },
}

/// The targets of one service, in the orders in which they are walked.
#[derive(Clone, Debug, Default)]
struct ServiceIndex {
    /// Data centre and id, in the order by which all nodes share targets among models.
    ordered: BTreeSet<(String, String)>,
    /// Ids in the order in which this node prefers them: its own data centre first, and then by a
    /// hash that is different at each node, so that nodes spread over the targets.
    near: BTreeMap<(bool, u64), String>,
}

/// The known targets, by id.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    /// The data centre of this node.
    data_centre: String,
    /// Hash of this node's name, by which its order of preference differs from that of others.
    salt: u64,
    services: IndexMap<String, ServiceIndex>,
    evacuations: Evacuations,
    /// How many listed entries have a start time. Updated with each change: recounting on each
    /// entry increased the processor time of a node's start with 3,000 targets by a quarter.
    with_start_time: usize,
    known: IndexMap<String, KnownTarget>,
    /// How many entries are listed.
    listed: usize,
}

impl TargetTable {
    /// Opens an empty table of a node.
    pub fn open(node: &str, data_centre: &str) -> Self {
        let salt = xxh3_64(node.as_bytes());
        Self { data_centre: data_centre.to_owned(), salt, ..Self::default() }
    }

    /// Applies a registry entry.
    pub fn apply_entry(&mut self, entry: TargetEntry) -> TargetChange {
        let id = entry.id.clone();
        self.update_counted(&id, |table| table.upsert(entry))
    }

    /// Applies a change to one target, and updates the indexes and the counts of listed entries.
    fn update_counted<R>(&mut self, id: &str, change: impl FnOnce(&mut Self) -> R) -> R {
        let before = self.tally(id);
        let place_before = self.place(id);
        let result = change(self);
        let after = self.tally(id);
        let place_after = self.place(id);
        if place_before != place_after {
            if let Some(place) = place_before {
                self.remove_from_index(id, place);
            }
            if let Some(place) = place_after {
                self.add_to_index(id, place);
            }
        }
        self.listed = self.listed + after.0 - before.0;
        self.with_start_time = self.with_start_time + after.1 - before.1;
        result
    }

    /// Returns the service and the data centre of a target.
    fn place(&self, id: &str) -> Option<(String, String)> {
        let entry = &self.known.get(id)?.entry;
        Some((entry.service.clone(), entry.data_centre.clone()))
    }

    fn near_key(&self, id: &str, data_centre: &str) -> (bool, u64) {
        (data_centre != self.data_centre, xxh3_64_with_seed(id.as_bytes(), self.salt))
    }

    fn add_to_index(&mut self, id: &str, (service, data_centre): (String, String)) {
        let near_key = self.near_key(id, &data_centre);
        let index = self.services.entry(service).or_default();
        index.near.insert(near_key, id.to_owned());
        index.ordered.insert((data_centre, id.to_owned()));
    }

    fn remove_from_index(&mut self, id: &str, (service, data_centre): (String, String)) {
        let near_key = self.near_key(id, &data_centre);
        if let Some(index) = self.services.get_mut(&service) {
            index.near.remove(&near_key);
            index.ordered.remove(&(data_centre, id.to_owned()));
        }
    }

    /// Returns what a target adds to the counts of listed entries and of entries with a start time.
    fn tally(&self, id: &str) -> (usize, usize) {
        match self.known.get(id) {
            Some(known) if known.presence == Presence::Listed => {
                (1, usize::from(known.entry.started_at_unix_ms.is_some()))
            }
            _ => (0, 0),
        }
    }

    const fn most_report_start_times(&self) -> bool {
        self.with_start_time * 2 > self.listed
    }

    fn upsert(&mut self, entry: TargetEntry) -> TargetChange {
        let Some(known) = self.known.get_mut(&entry.id) else {
            return self.insert(entry);
        };
        match (entry.started_at_unix_ms, known.entry.started_at_unix_ms) {
            (Some(new), Some(held)) if new < held => return TargetChange::None,
            (None, Some(_)) => return known.mark_overwritten(),
            (new, held) if new != held => return known.restart(entry),
            _ => {}
        }
        if entry.sequence < known.entry.sequence {
            return TargetChange::None;
        }
        let was_present = known.is_present();
        known.presence = Presence::Listed;
        known.has_left |= entry.draining;
        known.entry = entry;
        match (was_present, known.is_present()) {
            (true, false) => TargetChange::Left(known.entry.id.clone()),
            (false, true) => TargetChange::Joined(known.entry.id.clone()),
            _ => TargetChange::None,
        }
    }

    fn insert(&mut self, entry: TargetEntry) -> TargetChange {
        let id = entry.id.clone();
        let has_left = entry.draining;
        self.known.insert(id.clone(), KnownTarget { entry, has_left, presence: Presence::Listed });
        if has_left { TargetChange::None } else { TargetChange::Joined(id) }
    }

    /// Applies the removal of an entry. An entry that disappeared with an outage of the registry may
    /// be back until `return_by`, and its target is used until then.
    pub fn apply_removal(&mut self, id: &str, return_by: Option<UnixMs>) -> TargetChange {
        self.update_counted(id, |table| table.remove_entry(id, return_by))
    }

    fn remove_entry(&mut self, id: &str, return_by: Option<UnixMs>) -> TargetChange {
        let Some(known) = self.known.get_mut(id) else { return TargetChange::None };
        let was_present = known.is_present();
        known.presence = match return_by {
            Some(until) => Presence::MayReturn { until },
            None => Presence::Missing,
        };
        if was_present && !known.is_present() {
            return TargetChange::Left(id.to_owned());
        }
        TargetChange::None
    }

    /// Marks as missing the targets whose time to reappear has passed.
    pub fn expire(&mut self, now: UnixMs) -> Vec<TargetChange> {
        let mut changes = Vec::new();
        for (id, known) in &mut self.known {
            if matches!(known.presence, Presence::MayReturn { until } if until <= now) {
                known.presence = Presence::Missing;
                if !known.has_left {
                    changes.push(TargetChange::Left(id.clone()));
                }
            }
        }
        changes
    }

    /// Returns when the next target's time to reappear has passed.
    pub fn next_expiry(&self) -> Option<UnixMs> {
        let until = self.known.values().filter_map(|known| match known.presence {
            Presence::MayReturn { until } => Some(until),
            Presence::Listed | Presence::Missing => None,
        });
        until.min()
    }

    /// Applies a start time that a target reported itself; its registry entry lags behind that.
    ///
    /// Returns whether the report counts: `false` if it is from an earlier incarnation than the
    /// known one.
    pub fn apply_start_time(
        &mut self,
        id: &str,
        started_at_unix_ms: Option<u64>,
    ) -> (bool, TargetChange) {
        self.update_counted(id, |table| table.update_start_time(id, started_at_unix_ms))
    }

    fn update_start_time(
        &mut self,
        id: &str,
        started_at_unix_ms: Option<u64>,
    ) -> (bool, TargetChange) {
        let Some(known) = self.known.get_mut(id) else { return (true, TargetChange::None) };
        match (started_at_unix_ms, known.entry.started_at_unix_ms) {
            (Some(reported), Some(held)) if reported < held => (false, TargetChange::None),
            (Some(reported), Some(held)) if reported > held => {
                let entry = TargetEntry {
                    started_at_unix_ms,
                    cold_left_ms: 0,
                    draining: false,
                    models: Vec::new(),
                    sequence: 0,
                    ..known.entry.clone()
                };
                (true, known.restart(entry))
            }
            _ => (true, TargetChange::None),
        }
    }

    /// Marks a target as gone after it refused a request because it is draining, or another target
    /// answered at its address.
    pub fn mark_left(&mut self, id: &str) -> TargetChange {
        match self.known.get_mut(id) {
            Some(known) if known.is_present() => {
                known.has_left = true;
                TargetChange::Left(id.to_owned())
            }
            _ => TargetChange::None,
        }
    }

    /// Records the weight version that a target reported for a model. Versions only increase.
    pub fn record_version(&mut self, id: &str, model: &str, version: u64) {
        let Some(known) = self.known.get_mut(id) else { return };
        match known.entry.models.iter_mut().find(|(name, _)| name == model) {
            Some((_, held)) => *held = (*held).max(version),
            None => known.entry.models.push((model.to_owned(), version)),
        }
    }

    /// Returns the targets of a service that may receive work.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetEntry> {
        self.serving(service).filter(|entry| !self.is_evacuated(entry))
    }

    /// Returns the targets of a service that serve, in evacuated data centres too.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetEntry> {
        let ordered = self.services.get(service).into_iter().flat_map(|index| &index.ordered);
        ordered.filter_map(|(_, id)| self.known.get(id)).filter_map(|known| self.entry_if(known))
    }

    /// Returns the targets of a service that may receive work, the ones that this node prefers
    /// first.
    pub fn usable_near<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetEntry> {
        let near = self.services.get(service).into_iter().flat_map(|index| index.near.values());
        near.filter_map(|id| self.usable_entry(id))
    }

    /// Returns a target's entry, if it may receive work.
    pub fn usable_entry(&self, id: &str) -> Option<&TargetEntry> {
        let entry = self.entry_if(self.known.get(id)?)?;
        (!self.is_evacuated(entry)).then_some(entry)
    }

    fn entry_if<'a>(&self, known: &'a KnownTarget) -> Option<&'a TargetEntry> {
        self.is_serving(known).then_some(&known.entry)
    }

    /// Returns the data centres that are evacuated, to change them.
    pub const fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Returns whether a target's data centre is evacuated.
    pub fn is_evacuated(&self, entry: &TargetEntry) -> bool {
        self.evacuations.contains(&entry.data_centre)
    }

    const fn is_serving(&self, known: &KnownTarget) -> bool {
        known.is_present()
            && (known.entry.started_at_unix_ms.is_some() || !self.most_report_start_times())
    }

    /// Returns the ids of the targets that are kept current for a model and may serve it, given the
    /// oldest acceptable version, the newest published versions and the work of each model.
    ///
    /// Owners of batches of different models do not see each other's load. While targets serve
    /// several models, each owner therefore uses only the targets of its own model. If fewer than
    /// half of the model's share are available, all targets that may serve it are returned.
    pub fn for_model<'a>(
        &'a self,
        service: &'a str,
        model: &str,
        oldest: u64,
        versions: &IndexMap<String, u64>,
        demand: &Demand,
    ) -> Vec<&'a str> {
        // In the order of data centres and ids.
        let usable: Vec<&TargetEntry> = self.usable(service).collect();
        let models = models_of(&usable);
        let shares = demand.shares(&models, usable.len());
        let assigned = interleave(&shares, usable.len());
        let own: Vec<&str> = usable
            .iter()
            .zip(assigned)
            .filter(|(entry, assigned)| {
                // The first condition is cheap and holds for few targets of a large fleet.
                entry.serves(model, oldest)
                    && entry.main_model(versions, Some(&models[*assigned])) == Some(model)
            })
            .map(|(entry, _)| entry.id.as_str())
            .collect();
        let place = models.iter().position(|held| held == model);
        let share = place.map_or(1, |place| (shares[place] / SHARE_UNIT) as usize);
        if own.len() * 2 >= share.max(1) {
            return own;
        }
        let serving = usable.into_iter().filter(|entry| entry.serves(model, oldest));
        serving.map(|entry| entry.id.as_str()).collect()
    }

    /// Returns the number of known targets of a service.
    pub fn count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |index| index.ordered.len())
    }

    /// Returns the number of targets that serve, of all services together.
    pub fn serving_count(&self) -> usize {
        self.known.values().filter(|known| self.is_serving(known)).count()
    }

    /// Returns a target's entry, even if the target is gone.
    pub fn entry(&self, id: &str) -> Option<&TargetEntry> {
        self.known.get(id).map(|known| &known.entry)
    }
}

/// Returns the models that targets hold, sorted and without duplicates.
fn models_of(targets: &[&TargetEntry]) -> Vec<String> {
    let mut models: BTreeSet<&String> = BTreeSet::new();
    let mut previous: &[(String, u64)] = &[];
    for entry in targets {
        // Most targets list the same models as the one before.
        let same = entry.models.len() == previous.len()
            && entry.models.iter().zip(previous).all(|(a, b)| a.0 == b.0);
        if !same {
            models.extend(entry.models.iter().map(|(name, _)| name));
            previous = &entry.models;
        }
    }
    models.into_iter().cloned().collect()
}

impl KnownTarget {
    /// Replaces the state by the entry of a later incarnation.
    fn restart(&mut self, entry: TargetEntry) -> TargetChange {
        let id = entry.id.clone();
        let has_left = entry.draining;
        let was_present = self.is_present();
        *self = Self { entry, has_left, presence: Presence::Listed };
        match (was_present, has_left) {
            (_, false) => TargetChange::Restarted(id),
            (true, true) => TargetChange::Left(id),
            (false, true) => TargetChange::None,
        }
    }

    /// Marks the entry as missing after another program overwrote it.
    fn mark_overwritten(&mut self) -> TargetChange {
        let was_present = self.is_present();
        self.presence = Presence::Missing;
        if was_present { TargetChange::Left(self.entry.id.clone()) } else { TargetChange::None }
    }

    const fn is_present(&self) -> bool {
        !self.has_left && !matches!(self.presence, Presence::Missing)
    }
}
