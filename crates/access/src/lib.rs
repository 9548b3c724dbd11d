//! Workspaces and the keys that identify their callers.
//!
//! A caller's key is a secret. It is converted to a [`KeyDigest`] where it is read, and only the
//! digest is stored, compared, sent to other nodes or written down. The time that a comparison of
//! digests takes reveals nothing about a key.
//!
//! [`Workspaces`] holds the workspaces of one configuration. [`admit`] decides which workspace a
//! request belongs to, or why it is refused, by that configuration and by the age of this node's
//! view of it.

mod admit;
mod credential;
mod digest;
mod workspaces;

pub use admit::{Admission, ViewAge, admit};
pub use credential::{CredentialError, credential};
pub use digest::{KeyDigest, ParseDigestError};
pub use workspaces::{Workspace, WorkspaceConfig, WorkspaceError, Workspaces};
