//! Labels: the key-value pairs that operators put on what they describe.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// An ordered set of labels.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Labels(IndexMap<String, String>);

impl Labels {
    /// Returns the value of `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Adds or replaces one label and returns the set.
    #[must_use]
    pub fn with(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.0.insert(key.into(), value.into());
        self
    }

    /// Walks through the pairs in the order in which they were written.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(key, value)| (key.as_str(), value.as_str()))
    }
}
