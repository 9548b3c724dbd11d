//! Tokens of samples that this node holds: of its own runs, and copies for other runners.
//!
//! Bounded in bytes. What is full refuses a new copy, and the runner looks for another holder;
//! nothing that a batch may name is pushed out. Content that no owner has asked for in a long
//! time belongs to a trainer that is gone, and is dropped.

use catkinmast_model::{Name, SampleId, Segments, UnixMs};
use catkinmast_rollout::{Attempt, HoldingReport};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How long content is kept that nobody asks for.
const KEPT_MS: u64 = 3_600_000;
/// Most bytes of tokens held.
const HELD_MAX_BYTES: usize = 256 << 20;

/// Names content: the trainer, the sample, and the attempt that made it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct ContentKey {
    pub attempt: Attempt,
    pub sample: SampleId,
    pub trainer: Name,
}

/// A sample's tokens.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Content {
    /// None while the sample is not whole and scored.
    pub score_millis: Option<i64>,
    pub segments: Segments,
    pub tokens: Vec<u32>,
}

#[derive(Debug)]
struct HeldContent {
    content: Content,
    expires_at: UnixMs,
}

/// The content that a node holds.
#[derive(Debug, Default)]
pub(crate) struct Holdings {
    held: IndexMap<ContentKey, HeldContent>,
    held_bytes: usize,
}

impl Content {
    fn size_bytes(&self) -> usize {
        self.tokens.len() * size_of::<u32>()
    }
}

impl Holdings {
    /// Stores content and tells whether there was room for it.
    pub(crate) fn store(&mut self, now: UnixMs, key: ContentKey, content: Content) -> bool {
        self.remove(&key);
        if self.held_bytes + content.size_bytes() > HELD_MAX_BYTES {
            return false;
        }
        self.held_bytes += content.size_bytes();
        self.held.insert(key, HeldContent { content, expires_at: now.plus(KEPT_MS) });
        true
    }

    pub(crate) fn get(&mut self, now: UnixMs, key: &ContentKey) -> Option<&Content> {
        let held = self.held.get_mut(key)?;
        held.expires_at = now.plus(KEPT_MS);
        Some(&held.content)
    }

    pub(crate) fn remove(&mut self, key: &ContentKey) {
        if let Some(held) = self.held.swap_remove(key) {
            self.held_bytes -= held.content.size_bytes();
        }
    }

    /// Lists what is held of a trainer, for a new owner.
    pub(crate) fn report(&self, trainer: &Name, holder: &Name) -> Vec<HoldingReport> {
        let of_trainer = self.held.iter().filter(|(key, _)| key.trainer == *trainer);
        of_trainer
            .map(|(key, held)| HoldingReport {
                attempt: key.attempt,
                holder: holder.clone(),
                sample: key.sample,
                score_millis: held.content.score_millis,
                segments: held.content.segments.clone(),
            })
            .collect()
    }

    pub(crate) fn drop_expired(&mut self, now: UnixMs) {
        self.held.retain(|_, held| held.expires_at > now);
        self.held_bytes = self.held.values().map(|held| held.content.size_bytes()).sum();
    }

    pub(crate) const fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}
