//! Batch submissions and their results.

use serde::{Deserialize, Serialize};

/// The request that scores an item's text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RewardRequest {
    /// Body of the request.
    pub body: Vec<u8>,
    /// Host whose route the request takes.
    pub host: String,
    /// Request id, which stays the same when the request is repeated.
    pub id: String,
    /// Path of the request.
    pub path: String,
}

/// An item: a request for tokens that runs later.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// Body of the request.
    pub body: Vec<u8>,
    /// Group of items that share its prompt.
    pub group: Option<String>,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Id of the item, which is also its request id.
    pub id: String,
    /// The caller's estimate of the number of output tokens.
    pub length_hint_tokens: Option<u64>,
    /// Path of the request.
    pub path: String,
    /// The request that scores its text.
    pub reward: Option<RewardRequest>,
    /// Number of prompt tokens plus the largest number of output tokens.
    pub tokens: u64,
}

impl Item {
    /// Returns how many tokens the item is expected to generate, or at most prompt and output
    /// together if the caller gave no estimate.
    pub fn expected_tokens(&self) -> u64 {
        self.length_hint_tokens.unwrap_or(self.tokens)
    }
}

/// A batch submission as it was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// Items in the submitted order.
    pub items: Vec<Item>,
    /// Model that the items run on.
    pub model: Option<String>,
    /// Oldest weight version that may produce tokens.
    pub oldest_version: u64,
    /// Step of the trainer.
    pub step: Option<u64>,
    /// Number of complete groups that the trainer waits for. `None` if it does not say.
    pub target_groups: Option<u32>,
}

impl Submission {
    /// Returns how many tokens the items are expected to generate.
    pub fn work_tokens(&self) -> u64 {
        self.items.iter().map(Item::expected_tokens).fold(0, u64::saturating_add)
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ItemState {
    /// Its text is complete.
    Completed,
    /// It was given up.
    Errored,
}

/// An item's result.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemResult {
    /// Id of the item.
    pub id: String,
    /// Score from the answer to the scoring request.
    pub score: Option<String>,
    /// How it ended.
    pub state: ItemState,
    /// Data of all events, joined by line feeds.
    pub text: String,
    /// All weight versions that produced the text, in ascending order.
    pub versions: Vec<u64>,
}

impl ItemResult {
    /// Creates the result of an item that was given up.
    pub fn errored(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            score: None,
            state: ItemState::Errored,
            text: String::new(),
            versions: Vec::new(),
        }
    }

    /// Returns about how many bytes the result takes in an answer.
    pub fn size_bytes(&self) -> usize {
        const FIELDS_BYTES: usize = 160;
        self.text.len() + self.id.len() + FIELDS_BYTES
    }
}

/// The text of an item so far, partial or complete, from which another target can resume it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Number of the last complete event.
    pub last_event_id: Option<u64>,
    /// Data of the events so far, joined by line feeds.
    pub text: String,
    /// Weight versions that produced the text, in ascending order.
    pub versions: Vec<u64>,
    /// Whether the text is complete and only its score is missing.
    pub complete: bool,
}

/// A point in the text of a [`Progress`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgressMark {
    last_event_id: Option<u64>,
    text_bytes: usize,
    versions: Vec<u64>,
}

impl Progress {
    /// Creates the progress of a finished item. Of a completed item only the score is requested
    /// again; an errored one starts again.
    pub fn of_finished(result: &ItemResult) -> Self {
        Self {
            last_event_id: None,
            text: result.text.clone(),
            versions: result.versions.clone(),
            complete: result.state == ItemState::Completed,
        }
    }

    /// Returns whether there is a text to resume.
    pub const fn is_started(&self) -> bool {
        self.last_event_id.is_some() || self.complete
    }

    /// Appends the data of one event.
    pub fn push(&mut self, data: &str, id: Option<u64>) {
        if self.last_event_id.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event_id = id.or_else(|| Some(self.last_event_id.unwrap_or(0) + 1));
    }

    /// Returns a mark of the text so far.
    pub fn mark(&self) -> ProgressMark {
        ProgressMark {
            last_event_id: self.last_event_id,
            text_bytes: self.text.len(),
            versions: self.versions.clone(),
        }
    }

    /// Drops the text since a mark.
    pub fn return_to(&mut self, mark: &ProgressMark) {
        self.last_event_id = mark.last_event_id;
        self.text.truncate(mark.text_bytes);
        self.versions.clone_from(&mark.versions);
    }

    /// Records a version that produced an event.
    pub fn note_version(&mut self, version: u64) {
        if let Err(place) = self.versions.binary_search(&version) {
            self.versions.insert(place, version);
        }
    }
}
