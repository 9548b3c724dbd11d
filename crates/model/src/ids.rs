//! Identifiers: names chosen by operators, and numbers assigned by the system.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Maximum length of a name: it is part of a key in the platform's key-value service.
const NAME_MAX_BYTES: usize = 64;

/// A validated name of an instance, service, model, workspace or trainer.
///
/// A name consists of 1 to 64 lower-case letters, digits, `-`, `_` and `.`, so that it can be part
/// of a path, a key of the platform's key-value service or a label without escaping.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

impl Name {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > NAME_MAX_BYTES {
            return Err(NameError::TooLong { length_bytes: text.len() });
        }
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
        match text.chars().find(|c| !allowed(*c)) {
            Some(character) => Err(NameError::Character { name: text.to_owned(), character }),
            None => Ok(Self(text.to_owned())),
        }
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0
    }
}

/// The error of parsing a [`Name`].
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum NameError {
    /// a name is empty
    Empty,
    /// a name has {length_bytes} bytes, 64 are allowed
    TooLong {
        /// Length of the refused text.
        length_bytes: usize,
    },
    /// name '{name}' holds {character:?}; a-z, 0-9, '-', '_' and '.' are allowed
    Character {
        /// The refused text.
        name: String,
        /// Its first character that is not allowed.
        character: char,
    },
}

impl std::error::Error for NameError {}

/// A number that tells the runs of a restarted process apart; later runs have higher ones.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

/// A fencing number, which grows with each change of a lease's holder.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fence(pub u64);

/// The number of an accepted configuration; each one is higher than those before it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Revision(pub u64);

macro_rules! impl_display_as_number {
    ($($name:ident),+) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )+};
}

impl_display_as_number!(Incarnation, Fence, Revision);

/// The position of a sample among those of its trainer: its step, its group in the step, and its
/// index in the group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SampleId {
    /// Number of the trainer's step.
    pub step: u64,
    /// Index of the group in the step.
    pub group: u32,
    /// Index of the sample in its group.
    pub index: u32,
}

impl fmt::Display for SampleId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.step, self.group, self.index)
    }
}
