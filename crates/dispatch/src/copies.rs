//! What the node that would follow an owner needs to hear of the texts in progress.
//!
//! A text grows by an event each 40 ms for up to seven seconds; sent whole each time, the texts of a
//! batch would cross the network several times. So only what is new of each is sent, and a copy that
//! has missed a part asks for all.
//!
//! *Texts of two runs are joined* where an item began anew and its text has outgrown what was told of
//! the first run. It would be noticed as a result that no run generated. So what is new names the digest
//! of what comes before it, on both sides.

use crate::submission::Progress;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// What is new of a text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TextUpdate {
    /// The digest of what the receiver must have of the text already; none where it has nothing.
    pub after_digest: Option<u64>,
    /// The item.
    pub item: String,
    /// The text with what came before left out.
    pub progress: Progress,
}

/// What a copy has been told of a text.
#[derive(Clone, Copy, Debug)]
struct ToldText {
    bytes: usize,
    digest: u64,
}

/// What a copy has been told of the texts of a batch.
#[derive(Clone, Debug, Default)]
pub struct SentTexts(IndexMap<String, ToldText>);

impl SentTexts {
    /// Returns what is new of some texts, and counts it as told.
    pub fn updates(&mut self, texts: &[(String, Progress)]) -> Vec<TextUpdate> {
        texts.iter().filter_map(|(item, progress)| self.news_of(item, progress)).collect()
    }

    fn news_of(&mut self, item: &str, progress: &Progress) -> Option<TextUpdate> {
        let text = &progress.text;
        let told = self.0.get(item).copied();
        let before = told.filter(|told| {
            text.get(..told.bytes).is_some_and(|start| digest(start) == told.digest)
        });
        let new = &text[before.map_or(0, |told| told.bytes)..];
        if new.is_empty() {
            return None;
        }
        self.0.insert(item.to_owned(), ToldText { bytes: text.len(), digest: digest(text) });
        Some(TextUpdate {
            after_digest: before.map(|told| told.digest),
            item: item.to_owned(),
            progress: Progress { text: new.to_owned(), ..progress.clone() },
        })
    }

    /// Forgets what was told: the copy missed a part, or another node holds it now.
    pub fn forget(&mut self) {
        self.0.clear();
    }
}

/// The texts of a batch as far as its copy has them.
#[derive(Clone, Debug, Default)]
pub struct CopiedTexts(IndexMap<String, Progress>);

impl CopiedTexts {
    /// Takes news; returns false when a part before them is missing.
    pub fn apply(&mut self, news: Vec<TextUpdate>) -> bool {
        let mut whole = true;
        for TextUpdate { after_digest, item, progress } in news {
            let held = self.0.entry(item).or_default();
            match after_digest {
                None => *held = progress,
                Some(after) if digest(&held.text) == after => {
                    let text = std::mem::take(&mut held.text) + &progress.text;
                    *held = Progress { text, ..progress };
                }
                Some(_) => whole = false,
            }
        }
        whole
    }

    /// Gives out the texts.
    pub fn into_texts(self) -> Vec<(String, Progress)> {
        self.0.into_iter().collect()
    }
}

fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
