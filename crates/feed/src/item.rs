//! Keys of the store, and their changes.

use serde::{Deserialize, Serialize};

/// A lease of the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseId(pub u64);

/// A key in the store, with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredItem {
    /// The key.
    pub key: String,
    /// The lease that the key is bound to.
    pub lease: Option<LeaseId>,
    /// The revision of its last change; 0 if the key does not exist.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A change of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreEvent {
    /// The key was removed.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: u64,
    },
    /// The key was written.
    Written(StoredItem),
}

impl StoreEvent {
    /// Returns the key.
    pub fn key(&self) -> &str {
        match self {
            Self::Deleted { key, .. } => key,
            Self::Written(item) => &item.key,
        }
    }

    /// Returns the revision of the change.
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Deleted { revision, .. } => *revision,
            Self::Written(item) => item.revision,
        }
    }

    /// Returns about how many bytes it takes in a message.
    pub(crate) fn size_bytes(&self) -> usize {
        let value = if let Self::Written(item) = self { item.value.len() } else { 0 };
        size_bytes(self.key(), value)
    }
}

/// Returns about how many bytes a key with a value of that length takes in a message.
pub(crate) const fn size_bytes(key: &str, value_bytes: usize) -> usize {
    const FRAMING_BYTES: usize = 16;
    key.len() + value_bytes + FRAMING_BYTES
}
