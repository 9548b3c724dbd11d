//! A batch submission and its results.

use serde::{Deserialize, Serialize};

/// The request that scores an item's text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reward {
    /// Its body.
    pub body: Vec<u8>,
    /// The host whose route it takes.
    pub host: String,
    /// Its request id; kept over repetitions.
    pub id: String,
    /// Its path.
    pub path: String,
}

/// One item: a request for tokens that runs later.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// Body of the request.
    pub body: Vec<u8>,
    /// The group of items that share its prompt.
    pub group: Option<String>,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Its id, which is also its request id.
    pub id: String,
    /// The caller's estimate of its output tokens.
    pub length_hint_tokens: Option<u64>,
    /// Path of the request.
    pub path: String,
    /// The request that scores it.
    pub reward: Option<Reward>,
    /// Prompt tokens and the most output tokens.
    pub tokens: u64,
}

impl Item {
    /// Returns how many tokens it is expected to generate.
    pub fn expected_tokens(&self) -> u64 {
        self.length_hint_tokens.unwrap_or(self.tokens)
    }
}

/// A batch submission as accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// The items, in the submitted order.
    pub items: Vec<Item>,
    /// The model that the items run on.
    pub model: Option<String>,
    /// The oldest weight version that may produce its tokens.
    pub oldest_version: u64,
    /// The trainer's step.
    pub step: Option<u64>,
    /// Complete groups that the trainer waits for.
    pub target_groups: Option<u32>,
}

impl Submission {
    /// Returns how many tokens its items are expected to generate.
    pub fn work_tokens(&self) -> u64 {
        self.items.iter().map(Item::expected_tokens).fold(0, u64::saturating_add)
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ItemState {
    /// Its text is whole.
    Completed,
    /// It was given up.
    Errored,
}

/// An item's result.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemResult {
    /// The item.
    pub id: String,
    /// The mark of the scoring answer.
    pub score: Option<String>,
    /// How it ended.
    pub state: ItemState,
    /// The data of all its events, joined by line feeds.
    pub text: String,
    /// All weight versions that produced it, rising.
    pub versions: Vec<u64>,
}

impl ItemResult {
    /// Makes the result of an item that was given up.
    pub fn errored(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            score: None,
            state: ItemState::Errored,
            text: String::new(),
            versions: Vec::new(),
        }
    }

    /// Returns about how many bytes it takes in an answer.
    pub fn size_bytes(&self) -> usize {
        const FIELDS_BYTES: usize = 160;
        self.text.len() + self.id.len() + FIELDS_BYTES
    }
}

/// What is held of an item's text when its run broke off; another target goes on from there.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Number of the last whole event.
    pub last_event_id: Option<u64>,
    /// The data of the events so far, joined by line feeds.
    pub text: String,
    /// The versions that produced them, rising.
    pub versions: Vec<u64>,
    /// Whether the text is whole and waits for its score only.
    pub complete: bool,
}

impl Progress {
    /// Takes the text of a finished item, of which only the score is to be asked for again.
    pub fn of_finished(result: &ItemResult) -> Self {
        Self {
            last_event_id: None,
            text: result.text.clone(),
            versions: result.versions.clone(),
            complete: result.state == ItemState::Completed,
        }
    }

    /// Tells whether there is anything to go on from.
    pub const fn is_started(&self) -> bool {
        self.last_event_id.is_some() || self.complete
    }

    /// Adds the data of one event.
    pub fn push(&mut self, data: &str, id: Option<u64>) {
        if self.last_event_id.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event_id = id.or_else(|| Some(self.last_event_id.unwrap_or(0) + 1));
    }

    /// Notes a version that produced an event.
    pub fn note_version(&mut self, version: u64) {
        if let Err(place) = self.versions.binary_search(&version) {
            self.versions.insert(place, version);
        }
    }
}
