//! The keys that a node knows, and their last changes.
//!
//! Targets write their entries every few seconds only to show that they live. Such a write has no
//! consequence at other nodes, and there are as many as targets, so it is applied here and not
//! passed on. When the key is removed, the last such write comes with the removal: whether a later
//! entry is older than the removed one is judged by the count that it holds.

use crate::item::{StoreEvent, StoredItem, size_bytes};
use indexmap::IndexSet;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

/// Changes that are kept at least for peers that have missed some.
const LOG_MIN_EVENTS: usize = 512;
/// Size limit of a page of keys.
const PAGE_MAX_BYTES: usize = 512 << 10;

/// A page of keys, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyPage {
    /// The revision up to which the table was complete.
    pub as_of: u64,
    /// The keys.
    pub items: Vec<StoredItem>,
    /// Whether more keys follow.
    pub truncated: bool,
}

#[derive(Clone, Debug)]
struct HeldItem {
    /// Stands for what the value means.
    digest: u64,
    /// Whether it was written since it was last passed on.
    is_withheld: bool,
    item: StoredItem,
}

/// The keys of one feed, as a node knows them.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    as_of: u64,
    items: BTreeMap<String, HeldItem>,
    /// The last changes, in the order in which they were applied. Those of a list that was read in
    /// pages may be later than changes that follow.
    log: VecDeque<StoreEvent>,
    /// The revision after which the log holds all changes.
    log_from: u64,
}

impl KeyTable {
    /// Returns the revision up to which the table is complete.
    pub const fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the changes from this table to a complete list of keys that was read at `as_of`, in
    /// the order of their revisions: they may be sent in several datagrams, and a node that misses
    /// one asks for the changes after the last revision that it has.
    pub fn difference(&self, listed: &[StoredItem], as_of: u64) -> Vec<StoreEvent> {
        let keys: IndexSet<&str> = listed.iter().map(|item| item.key.as_str()).collect();
        let removed = self.items.keys().filter(|key| !keys.contains(key.as_str()));
        let removed = removed.map(|key| StoreEvent::Deleted { key: key.clone(), revision: as_of });
        let is_new = |item: &&StoredItem| {
            self.items.get(&item.key).is_none_or(|held| item.revision > held.item.revision)
        };
        let written = listed.iter().filter(is_new).cloned().map(StoreEvent::Written);
        let mut events: Vec<StoreEvent> = removed.chain(written).collect();
        events.sort_by_key(StoreEvent::revision);
        events
    }

    /// Records that the changes before `as_of` are not known one by one: the first list of keys was
    /// read then.
    pub const fn begin_log(&mut self, as_of: u64) {
        self.log_from = as_of;
    }

    /// Applies changes up to `as_of`, and returns those that mean something: `digest` stands for
    /// what a value means. Changes up to an earlier revision than that of this table are ignored,
    /// because they could restore deleted keys.
    pub fn apply(
        &mut self,
        events: Vec<StoreEvent>,
        as_of: u64,
        digest: impl Fn(&StoredItem) -> u64,
    ) -> Vec<StoreEvent> {
        if as_of < self.as_of {
            return Vec::new();
        }
        let mut applied = Vec::new();
        for event in events {
            match event {
                StoreEvent::Written(item) => self.write(item, &digest, &mut applied),
                StoreEvent::Deleted { key, revision } => self.delete(key, revision, &mut applied),
            }
        }
        self.log.extend(applied.iter().cloned());
        self.as_of = as_of;
        self.shorten_log();
        applied
    }

    fn write(
        &mut self,
        item: StoredItem,
        digest: impl Fn(&StoredItem) -> u64,
        applied: &mut Vec<StoreEvent>,
    ) {
        let held = self.items.get_mut(&item.key);
        if held.as_ref().is_some_and(|held| held.item.revision >= item.revision) {
            return;
        }
        let digest = digest(&item);
        match held {
            Some(held) if held.digest == digest => {
                held.item = item;
                held.is_withheld = true;
            }
            _ => {
                let held = HeldItem { digest, is_withheld: false, item: item.clone() };
                self.items.insert(item.key.clone(), held);
                applied.push(StoreEvent::Written(item));
            }
        }
    }

    fn delete(&mut self, key: String, revision: u64, applied: &mut Vec<StoreEvent>) {
        let is_new = self.items.get(&key).is_some_and(|held| held.item.revision < revision);
        if !is_new {
            return;
        }
        let held = self.items.remove(&key);
        if let Some(held) = held.filter(|held| held.is_withheld) {
            // Directly before the removal, so that changes stay in the order of their revisions.
            let revision = revision.saturating_sub(1);
            applied.push(StoreEvent::Written(StoredItem { revision, ..held.item }));
        }
        applied.push(StoreEvent::Deleted { key, revision });
    }

    /// Drops the oldest changes. A log that is longer than the list of keys helps nobody: a peer
    /// that misses more reads the list.
    fn shorten_log(&mut self) {
        let max_events = self.items.len().max(LOG_MIN_EVENTS);
        while self.log.len() > max_events {
            if let Some(event) = self.log.pop_front() {
                self.log_from = self.log_from.max(event.revision());
            }
        }
    }

    /// Returns the changes after a revision, in the order of their revisions; none if they are not
    /// all known.
    pub fn changes_after(&self, after: u64) -> Option<Vec<StoreEvent>> {
        let is_known = after >= self.log_from && after <= self.as_of;
        is_known.then(|| {
            let later = self.log.iter().filter(|event| event.revision() > after);
            let mut later: Vec<StoreEvent> = later.cloned().collect();
            later.sort_by_key(StoreEvent::revision);
            later
        })
    }

    /// Returns the earliest revision up to which a peer must be complete so that the changes after
    /// `after` complete it.
    pub fn base_of(&self, after: u64) -> u64 {
        let revisions = self.log.iter().map(StoreEvent::revision);
        let last = revisions.filter(|revision| *revision <= after).max().unwrap_or(0);
        last.max(self.log_from).min(after)
    }

    /// Returns the page of keys that begins after a key; an empty one for the first page.
    pub fn page(&self, after: &str) -> KeyPage {
        let mut items = Vec::new();
        let mut spent_bytes = 0;
        let mut truncated = false;
        for held in self.items.range::<str, _>((Bound::Excluded(after), Bound::Unbounded)) {
            let item = &held.1.item;
            spent_bytes += size_bytes(&item.key, item.value.len());
            if spent_bytes > PAGE_MAX_BYTES && !items.is_empty() {
                truncated = true;
                break;
            }
            items.push(item.clone());
        }
        KeyPage { as_of: self.as_of, items, truncated }
    }
}
