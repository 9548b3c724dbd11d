//! Labels: key-value pairs that operators attach to instances and other entries.

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

    /// Returns the set with one label added or replaced.
    #[must_use]
    pub fn with(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.0.insert(key.into(), value.into());
        self
    }

    /// Iterates over the pairs in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(key, value)| (key.as_str(), value.as_str()))
    }
}
