//! The requests that a worker runs at once, queues and refuses.

use std::sync::{Arc, Mutex};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The requests that a worker has received. Requests for another worker are not counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct RequestCounts {
    /// All requests, i.e. those that were refused, those that ran, and those whose connection was
    /// closed while they were queued.
    pub(crate) arrivals: u64,
    /// Requests that were refused for load.
    pub(crate) refusals: u64,
    /// Requests that started to run.
    pub(crate) runs: u64,
}

/// The slots and the queue of a worker.
#[derive(Clone)]
pub(super) struct Capacity {
    /// One permit for each slot and each place in the queue.
    places: Arc<Semaphore>,
    /// One permit for each slot. Waiters get permits in the order of their arrival.
    slots: Arc<Semaphore>,
}

impl Capacity {
    pub(super) fn new(slots: usize, queue_places: usize) -> Self {
        Self {
            places: Arc::new(Semaphore::new(slots + queue_places)),
            slots: Arc::new(Semaphore::new(slots)),
        }
    }

    /// Returns the capacity of a worker that neither queues nor refuses requests for load.
    pub(super) fn unlimited() -> Self {
        Self::new(Semaphore::MAX_PERMITS, 0)
    }

    /// Waits in the queue for a slot. Returns none at once if all slots and all places in the queue
    /// are taken.
    pub(super) async fn acquire(&self) -> Option<Slot> {
        let place = Arc::clone(&self.places).try_acquire_owned().ok()?;
        let slot = Arc::clone(&self.slots).acquire_owned().await.ok()?;
        Some(Slot { _place: place, _slot: slot })
    }
}

/// A slot in use, until it is dropped.
pub(super) struct Slot {
    _place: OwnedSemaphorePermit,
    _slot: OwnedSemaphorePermit,
}

/// The counts of a worker, across its restarts.
#[derive(Clone, Default)]
pub(super) struct SharedCounts(Arc<Mutex<RequestCounts>>);

impl SharedCounts {
    pub(super) fn get(&self) -> RequestCounts {
        *self.0.lock().expect("no test panics while it holds the counts")
    }

    pub(super) fn update(&self, change: impl FnOnce(&mut RequestCounts)) {
        change(&mut self.0.lock().expect("no test panics while it holds the counts"));
    }
}
