//! Incremental updates of partial texts, for the node that would take over a batch from its owner.
//!
//! A text grows by an event every 40 ms for up to seven seconds. If it were sent in full each time,
//! the texts of a batch would cross the network several times. Only the new part of each text is
//! therefore sent, and a copy that has missed a part requests the full texts.
//!
//! If an item restarts and its new text outgrows what was sent of the first run, appending by
//! length alone would join texts of two runs into a result that no run generated. Each update
//! therefore carries the digest of the text before it, which the receiver checks.

use crate::submission::Progress;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The new part of a text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TextUpdate {
    /// Digest of the text that the receiver must already have. `None` if the update replaces the
    /// text.
    pub after_digest: Option<u64>,
    /// Id of the item.
    pub item: String,
    /// Progress of the item, with only the new part of the text.
    pub progress: Progress,
}

/// What was sent of a text.
#[derive(Clone, Copy, Debug)]
struct SentText {
    bytes: usize,
    digest: u64,
}

/// What was sent of the texts of a batch.
#[derive(Clone, Debug, Default)]
pub struct SentTexts(IndexMap<String, SentText>);

impl SentTexts {
    /// Returns the updates for some texts, and records them as sent.
    pub fn updates(&mut self, texts: &[(String, Progress)]) -> Vec<TextUpdate> {
        texts.iter().filter_map(|(item, progress)| self.update_of(item, progress)).collect()
    }

    fn update_of(&mut self, item: &str, progress: &Progress) -> Option<TextUpdate> {
        let text = &progress.text;
        let sent = self.0.get(item).copied();
        let prefix = sent.filter(|sent| {
            text.get(..sent.bytes).is_some_and(|start| digest(start) == sent.digest)
        });
        let new = &text[prefix.map_or(0, |sent| sent.bytes)..];
        if new.is_empty() {
            return None;
        }
        self.0.insert(item.to_owned(), SentText { bytes: text.len(), digest: digest(text) });
        Some(TextUpdate {
            after_digest: prefix.map(|sent| sent.digest),
            item: item.to_owned(),
            progress: Progress { text: new.to_owned(), ..progress.clone() },
        })
    }

    /// Forgets what was sent, because the copy missed a part or another node holds it now.
    pub fn forget(&mut self) {
        self.0.clear();
    }
}

/// The texts of a batch as far as this copy has received them.
#[derive(Clone, Debug, Default)]
pub struct CopiedTexts(IndexMap<String, Progress>);

impl CopiedTexts {
    /// Applies updates. Returns `false` if the copy lacks the text that one of the updates
    /// continues; that update is skipped.
    pub fn apply(&mut self, updates: Vec<TextUpdate>) -> bool {
        let mut complete = true;
        for TextUpdate { after_digest, item, progress } in updates {
            let held = self.0.entry(item).or_default();
            match after_digest {
                None => *held = progress,
                Some(after) if digest(&held.text) == after => {
                    let text = std::mem::take(&mut held.text) + &progress.text;
                    *held = Progress { text, ..progress };
                }
                Some(_) => complete = false,
            }
        }
        complete
    }

    /// Returns the texts.
    pub fn into_texts(self) -> Vec<(String, Progress)> {
        self.0.into_iter().collect()
    }
}

fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
