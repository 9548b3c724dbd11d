//! How old a node's view of what others write to the store is.

use catkinmast_model::UnixMs;

/// The age of a node's view of the store.
///
/// Only an answer of the store that may not be old makes a view younger. Whoever passes a view on
/// passes its age on with it, so that hearing from another node proves no more than that node knew.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at: Option<UnixMs>,
}

impl Freshness {
    /// Takes it that the view was complete at a moment.
    pub fn confirm(&mut self, at: UnixMs) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns how long ago the view was last known to be complete, in milliseconds; none if it
    /// never was.
    pub fn age_ms(&self, now: UnixMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.since_ms(at))
    }
}
