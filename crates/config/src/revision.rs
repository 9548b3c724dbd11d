//! Revisions: which document is in force.
//!
//! The head is one small value that is changed only by compare-and-swap. It names the revision, the
//! digest of the document and the operation that wrote it, and keeps the operations before it. When
//! the reply to a write of the head is lost, the writer reads the head and looks for its own
//! operation: if it is there, the write was accepted; if the head has moved without it, there was a
//! conflict. The head keeps the last 64 operations, so the writer must look before 64 others have
//! followed. It never repeats the write blindly, which could put a document in force twice or
//! replace a newer one.

use catkinmast_model::{Revision, UnixMs};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Number of operations that the head keeps; a lost reply is looked up among them.
const OPERATIONS_KEPT: usize = 64;

/// The digest of a document's text: the first 16 bytes of its BLAKE3 hash.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 16]);

impl Digest {
    /// Computes the digest of `text`.
    pub fn of(text: &str) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..16]);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let refuse = || format!("'{text}' is not a digest of 32 hexadecimal digits");
        let value = u128::from_str_radix(&text, 16).map_err(|_not_hex| refuse())?;
        if text.len() != 32 {
            return Err(refuse());
        }
        Ok(Self(value.to_be_bytes()))
    }
}

/// Returns the key under which the text of a document, its body, is stored.
pub fn body_key(digest: Digest) -> String {
    format!("config/body/{digest}")
}

/// An accepted operation: a change of configuration that resulted in a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Time of acceptance.
    pub at_unix_ms: UnixMs,
    /// Author of the change.
    pub author: String,
    /// Digest of the document.
    pub digest: Digest,
    /// The writer's identifier of the operation.
    pub operation_id: String,
    /// The resulting revision.
    pub revision: Revision,
}

/// The newest accepted operation, whose document is in force, and up to 63 before it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The newest operation last.
    operations: Vec<Accepted>,
}

impl Head {
    /// Returns the newest operation, whose document is in force.
    pub fn in_force(&self) -> Option<&Accepted> {
        self.operations.last()
    }

    /// Returns the revision in force, 0 before the first.
    pub fn revision(&self) -> Revision {
        self.in_force().map_or_else(Revision::default, |accepted| accepted.revision)
    }

    /// Returns the operations that the head keeps, oldest first.
    pub fn operations(&self) -> &[Accepted] {
        &self.operations
    }

    /// Returns the operation with the writer's identifier `operation_id`.
    pub fn find(&self, operation_id: &str) -> Option<&Accepted> {
        self.operations.iter().find(|accepted| accepted.operation_id == operation_id)
    }

    /// Returns the head after one more operation.
    #[must_use]
    pub fn with(
        &self,
        digest: Digest,
        author: &str,
        operation_id: &str,
        at_unix_ms: UnixMs,
    ) -> Self {
        let mut operations = self.operations.clone();
        operations.push(Accepted {
            at_unix_ms,
            author: author.to_owned(),
            digest,
            operation_id: operation_id.to_owned(),
            revision: Revision(self.revision().0 + 1),
        });
        let surplus = operations.len().saturating_sub(OPERATIONS_KEPT);
        operations.drain(..surplus);
        Self { operations }
    }
}
