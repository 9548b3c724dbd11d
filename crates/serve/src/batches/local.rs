//! The batches whose items this node runs, as their owner or in the interim until they have one.

use super::LocalBatch;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::rc::Rc;

/// A batch that this node runs, as its tasks share it.
pub(crate) type SharedBatch = Rc<RefCell<LocalBatch>>;

/// The batches whose items this node runs.
///
/// A batch is here once at most, either owned or run in the interim. A second entry would hide the
/// first from everything that stops runs, and its items would go on running and be scored after the
/// end of the batch was confirmed.
#[derive(Debug, Default)]
pub(super) struct LocalBatches {
    interim: RefCell<IndexMap<String, SharedBatch>>,
    owned: RefCell<IndexMap<String, SharedBatch>>,
}

impl LocalBatches {
    /// Returns a batch that this node owns.
    pub(super) fn owned(&self, batch: &str) -> Option<SharedBatch> {
        self.owned.borrow().get(batch).cloned()
    }

    /// Returns the batches that this node owns.
    pub(super) fn all_owned(&self) -> Vec<SharedBatch> {
        self.owned.borrow().values().cloned().collect()
    }

    /// Returns how many batches this node owns.
    pub(super) fn owned_count(&self) -> usize {
        self.owned.borrow().len()
    }

    /// Adds a batch that this node owns, unless it owns the batch already. Interim runs of it stop.
    pub(super) fn insert_owned(&self, local: SharedBatch) -> bool {
        let id = local.borrow().id.clone();
        if self.owned.borrow().contains_key(&id) {
            return false;
        }
        drop(self.stop_interim(&id));
        self.owned.borrow_mut().insert(id, local);
        true
    }

    /// Removes a batch that this node does not own any more. Its runs must have been stopped.
    pub(super) fn remove_owned(&self, batch: &str) {
        self.owned.borrow_mut().swap_remove(batch);
    }

    /// Returns the batches that are run in the interim.
    pub(super) fn all_interim(&self) -> Vec<SharedBatch> {
        self.interim.borrow().values().cloned().collect()
    }

    /// Returns the ids of the batches that are run in the interim.
    pub(super) fn interim_ids(&self) -> Vec<String> {
        self.interim.borrow().keys().cloned().collect()
    }

    /// Adds a batch to run in the interim, unless this node runs it already.
    pub(super) fn insert_interim(&self, local: SharedBatch) {
        let id = local.borrow().id.clone();
        if !self.runs(&id) {
            self.interim.borrow_mut().insert(id, local);
        }
    }

    /// Stops the interim runs of a batch and returns it.
    pub(super) fn stop_interim(&self, batch: &str) -> Option<SharedBatch> {
        let local = self.interim.borrow_mut().swap_remove(batch)?;
        local.borrow_mut().stop_runs();
        Some(local)
    }

    /// Returns whether this node runs the items of a batch.
    pub(super) fn runs(&self, batch: &str) -> bool {
        self.owned.borrow().contains_key(batch) || self.interim.borrow().contains_key(batch)
    }

    /// Returns all batches whose items this node runs.
    pub(super) fn all(&self) -> Vec<SharedBatch> {
        self.all_owned().into_iter().chain(self.all_interim()).collect()
    }
}
