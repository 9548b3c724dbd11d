//! Weight orders: instruct a model's engines to load the trainer's weight version.
//!
//! Orders are level-triggered: an order is repeated until the engine reports the wanted version, so
//! a lost order, a failed swap and an engine that restarted with old weights are handled alike.
//! Only a share of the engines swaps at the same time, so that the model stays available and the
//! weight store is not loaded by all engines at once.
//!
//! Because some engines ignore fencing numbers, an order never names a version older than the
//! engine reports, unless an operator rolls back. So a late order from a paused previous holder can
//! set an engine back only until the next order.

use catkinmast_model::{Name, UnixMs, Version};
use indexmap::IndexMap;

/// Timing and concurrency of weight orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderSettings {
    /// Interval at which an order to the same engine is repeated.
    pub repeat_every_ms: u64,
    /// Time after which an order counts as failed and another engine may swap instead.
    pub give_up_after_ms: u64,
    /// How long an engine gets no order after one has failed.
    pub backoff_ms: u64,
    /// Maximum percentage of the engines that swap at the same time.
    pub at_once_percent: u32,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            repeat_every_ms: 2_000,
            give_up_after_ms: 20_000,
            backoff_ms: 5_000,
            at_once_percent: 34,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OpenOrder {
    give_up_at: UnixMs,
    repeat_at: UnixMs,
    version: Version,
}

/// The open orders of one model.
#[derive(Clone, Debug)]
pub struct OrderBook {
    open: IndexMap<Name, OpenOrder>,
    backoffs: IndexMap<Name, UnixMs>,
    settings: OrderSettings,
}

impl OrderBook {
    /// Creates a book without orders.
    pub fn open(settings: OrderSettings) -> Self {
        Self { open: IndexMap::new(), backoffs: IndexMap::new(), settings }
    }

    /// Sets the maximum percentage of the engines that swap at the same time.
    pub const fn set_at_once_percent(&mut self, percent: u32) {
        self.settings.at_once_percent = percent;
    }

    /// Returns whether an order to the engine is open.
    pub fn is_open(&self, engine: &Name) -> bool {
        self.open.contains_key(engine)
    }

    /// Returns the engines to which an order should be sent now.
    ///
    /// `engines` are the live engines with the versions they report. `may_go_back` allows orders
    /// for an older version than reported, while an operator rolls back.
    pub fn due(
        &mut self,
        now: UnixMs,
        wanted: Version,
        may_go_back: bool,
        engines: &[(Name, Option<Version>)],
    ) -> Vec<Name> {
        self.settle(now, wanted, engines);
        let mut due = self.repeat(now);
        let max_open = (engines.len() * self.settings.at_once_percent as usize / 100).max(1);
        // Engines that have not reported a version sort first: they hold no weights worth keeping.
        let mut outdated: Vec<&(Name, Option<Version>)> = engines
            .iter()
            .filter(|(name, version)| self.needs_order(now, name, *version, wanted, may_go_back))
            .collect();
        outdated.sort_by_key(|(_, version)| *version);
        for (name, _) in outdated {
            if self.open.len() >= max_open {
                break;
            }
            let open = OpenOrder {
                give_up_at: now.plus(self.settings.give_up_after_ms),
                repeat_at: now.plus(self.settings.repeat_every_ms),
                version: wanted,
            };
            self.open.insert(name.clone(), open);
            due.push(name.clone());
        }
        due
    }

    fn needs_order(
        &self,
        now: UnixMs,
        name: &Name,
        version: Option<Version>,
        wanted: Version,
        may_go_back: bool,
    ) -> bool {
        let backs_off = self.backoffs.get(name).is_some_and(|until| *until > now);
        let is_other = match version {
            Some(version) if may_go_back => version != wanted,
            Some(version) => version < wanted,
            None => true,
        };
        is_other && !backs_off && !self.open.contains_key(name)
    }

    /// Closes orders that are done, superseded by another version, timed out, or addressed to an
    /// engine that is gone.
    fn settle(&mut self, now: UnixMs, wanted: Version, engines: &[(Name, Option<Version>)]) {
        let backoff_until = now.plus(self.settings.backoff_ms);
        let backoffs = &mut self.backoffs;
        self.open.retain(|name, open| {
            let Some((_, version)) = engines.iter().find(|(engine, _)| engine == name) else {
                return false;
            };
            if *version == Some(wanted) || open.version != wanted {
                return false;
            }
            let expired = open.give_up_at <= now;
            if expired {
                backoffs.insert(name.clone(), backoff_until);
            }
            !expired
        });
        self.backoffs.retain(|_, until| *until > now);
    }

    fn repeat(&mut self, now: UnixMs) -> Vec<Name> {
        let mut due = Vec::new();
        for (name, open) in &mut self.open {
            if open.repeat_at <= now {
                open.repeat_at = now.plus(self.settings.repeat_every_ms);
                due.push(name.clone());
            }
        }
        due
    }
}
