//! Workspaces and the keys by which their callers are known.
//!
//! A caller's key is a secret. It is turned into a [`KeyDigest`] where it is read, and only the digest is
//! kept, compared, sent to other nodes or written down. A comparison of digests tells by its time nothing
//! of a key.
//!
//! [`Workspaces`] are those of one configuration. [`admit`] decides who a request is from, or why it is
//! turned away, by that configuration and by how old this node's view of it is.

mod admit;
mod credential;
mod digest;
mod workspaces;

pub use admit::{Admission, ViewAge, admit};
pub use credential::{CredentialError, credential};
pub use digest::{KeyDigest, ParseDigestError};
pub use workspaces::{Workspace, WorkspaceConfig, WorkspaceError, Workspaces};
