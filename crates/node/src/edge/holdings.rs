//! In-memory store of samples' tokens: those of this node's runs, and copies for other runners.
//!
//! The store is bounded in bytes. A full store refuses new content, and the runner looks for
//! another holder; existing content is not evicted, since a batch may refer to it. Content that has
//! not been requested for [`RETENTION_MS`] belongs to a trainer that no longer exists, and is
//! dropped.

use catkinmast_model::{Name, SampleId, Segments, UnixMs};
use catkinmast_rollout::{Attempt, HoldingReport};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How long content is kept after it was stored or last requested.
const RETENTION_MS: u64 = 3_600_000;
/// Limit on the total size of the tokens held.
const HELD_MAX_BYTES: usize = 256 << 20;

/// Identifies content: the trainer, the sample, and the attempt that produced it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct ContentKey {
    pub attempt: Attempt,
    pub sample: SampleId,
    pub trainer: Name,
}

/// A sample's tokens.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Content {
    /// `None` until the sample is complete and scored.
    pub score_millis: Option<i64>,
    pub segments: Segments,
    pub tokens: Vec<u32>,
}

#[derive(Debug)]
struct HeldContent {
    content: Content,
    expires_at: UnixMs,
}

/// The content that this node holds.
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
    /// Stores content, replacing any under the same key.
    ///
    /// Returns false if there is not enough space; content under the same key is removed even then.
    pub(crate) fn store(&mut self, now: UnixMs, key: ContentKey, content: Content) -> bool {
        self.remove(&key);
        if self.held_bytes + content.size_bytes() > HELD_MAX_BYTES {
            return false;
        }
        self.held_bytes += content.size_bytes();
        self.held.insert(key, HeldContent { content, expires_at: now.plus(RETENTION_MS) });
        true
    }

    /// Returns content and extends its retention.
    pub(crate) fn get(&mut self, now: UnixMs, key: &ContentKey) -> Option<&Content> {
        let held = self.held.get_mut(key)?;
        held.expires_at = now.plus(RETENTION_MS);
        Some(&held.content)
    }

    pub(crate) fn remove(&mut self, key: &ContentKey) {
        if let Some(held) = self.held.swap_remove(key) {
            self.held_bytes -= held.content.size_bytes();
        }
    }

    /// Lists the content held for a trainer, for a new owner of its steps.
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
