//! Weight orders: bringing a model's engines to the trainer's version.
//!
//! Orders are level-triggered: an engine is told the wanted version again and again until its
//! report shows it, so a lost order, a failed swap and an engine that came back with old weights
//! are one case. At most a share of the engines swaps at once, so the model is never out as a
//! whole and the weight store is not asked by all at the same moment.
//!
//! For engines that ignore fencing numbers, an order never names a version older than the engine
//! reports, unless an operator rolls back: a late order of a paused former holder can then not
//! take an engine back for longer than the next order.

use catkinmast_model::{Name, UnixMs, Version};
use indexmap::IndexMap;

/// How orders are paced.
#[derive(Clone, Copy, Debug)]
pub struct OrderSettings {
    /// Time between two orders to the same engine.
    pub repeat_every_ms: u64,
    /// After this an order counts as failed, and its place goes to another engine.
    pub give_up_after_ms: u64,
    /// How long a failed engine waits for its next order.
    pub backoff_ms: u64,
    /// The largest share of the engines that swaps at once, in percent.
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
struct Open {
    give_up_at: UnixMs,
    repeat_at: UnixMs,
    version: Version,
}

/// The orders under way for one model.
#[derive(Clone, Debug)]
pub struct OrderBook {
    open: IndexMap<Name, Open>,
    resting: IndexMap<Name, UnixMs>,
    settings: OrderSettings,
}

impl OrderBook {
    /// Opens an empty book.
    pub fn open(settings: OrderSettings) -> Self {
        Self { open: IndexMap::new(), resting: IndexMap::new(), settings }
    }

    /// Changes the largest share of the engines that swaps at once, in percent.
    pub const fn set_at_once_percent(&mut self, percent: u32) {
        self.settings.at_once_percent = percent;
    }

    /// Tells whether the engine is in the middle of a swap.
    pub fn is_open(&self, engine: &Name) -> bool {
        self.open.contains_key(engine)
    }

    /// Returns the orders to send now.
    ///
    /// `engines` are the live engines with the versions they report; `may_go_back` is set while
    /// an operator rolls back.
    pub fn due(
        &mut self,
        now: UnixMs,
        wanted: Version,
        may_go_back: bool,
        engines: &[(Name, Option<Version>)],
    ) -> Vec<Name> {
        self.settle(now, wanted, engines);
        let mut due = self.repeat(now);
        let most = (engines.len() * self.settings.at_once_percent as usize / 100).max(1);
        // Engines that never reported hold nothing worth keeping, so they go first.
        let mut behind: Vec<&(Name, Option<Version>)> = engines
            .iter()
            .filter(|(name, version)| self.needs(now, name, *version, wanted, may_go_back))
            .collect();
        behind.sort_by_key(|(_, version)| *version);
        for (name, _) in behind {
            if self.open.len() >= most {
                break;
            }
            let open = Open {
                give_up_at: now.plus(self.settings.give_up_after_ms),
                repeat_at: now.plus(self.settings.repeat_every_ms),
                version: wanted,
            };
            self.open.insert(name.clone(), open);
            due.push(name.clone());
        }
        due
    }

    fn needs(
        &self,
        now: UnixMs,
        name: &Name,
        version: Option<Version>,
        wanted: Version,
        may_go_back: bool,
    ) -> bool {
        let rests = self.resting.get(name).is_some_and(|until| *until > now);
        let other = match version {
            Some(version) if may_go_back => version != wanted,
            Some(version) => version < wanted,
            None => true,
        };
        other && !rests && !self.open.contains_key(name)
    }

    /// Closes orders that are done, overtaken by a newer version, or hopeless for now.
    fn settle(&mut self, now: UnixMs, wanted: Version, engines: &[(Name, Option<Version>)]) {
        let rest_until = now.plus(self.settings.backoff_ms);
        let resting = &mut self.resting;
        self.open.retain(|name, open| {
            let Some((_, version)) = engines.iter().find(|(engine, _)| engine == name) else {
                return false;
            };
            if *version == Some(wanted) || open.version != wanted {
                return false;
            }
            let hopeless = open.give_up_at <= now;
            if hopeless {
                resting.insert(name.clone(), rest_until);
            }
            !hopeless
        });
        self.resting.retain(|_, until| *until > now);
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
