//! Decides which workspace a request belongs to.

use crate::{CredentialError, KeyDigest, Workspace, Workspaces};

/// The age of a node's view of the configuration, and the bounds that apply to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ViewAge {
    /// Age of the view in milliseconds. `None` if it is unknown.
    pub age_ms: Option<u64>,
    /// Age in milliseconds up to which the view contains every key that is in force.
    pub bound_ms: u64,
    /// Age in milliseconds beyond which known keys are refused, because they may have been revoked
    /// too long ago. `None` if known keys are accepted at any age.
    pub fail_closed_after_ms: Option<u64>,
}

impl ViewAge {
    fn is_current(&self) -> bool {
        self.age_ms.is_some_and(|age_ms| age_ms <= self.bound_ms)
    }

    fn is_closed(&self) -> bool {
        let is_older = |closed_ms| self.age_ms.is_none_or(|age_ms| age_ms > closed_ms);
        self.fail_closed_after_ms.is_some_and(is_older)
    }
}

/// Which workspace a request belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission<'a> {
    /// To no particular workspace: no key is required.
    Anyone,
    /// The key is missing, malformed or of no workspace; the text says which.
    Denied(String),
    /// The view is too old to decide; the text says why.
    Undetermined(String),
    /// To this workspace.
    Workspace(&'a Workspace),
}

/// Decides which workspace a request belongs to.
///
/// A denial is final for the caller. An unknown key is therefore denied only if the view is
/// current: otherwise the key may be from a configuration that has not arrived yet.
pub fn admit(
    workspaces: Option<&Workspaces>,
    is_public: bool,
    credential: Result<KeyDigest, CredentialError>,
    view: ViewAge,
) -> Admission<'_> {
    let Some(workspaces) = workspaces.filter(|_| !is_public) else { return Admission::Anyone };
    let key = match credential {
        Ok(key) => key,
        Err(CredentialError::Missing) if !view.is_current() => {
            let why = "the request carries no key, and the configuration may have changed";
            return Admission::Undetermined(why.to_owned());
        }
        Err(error) => return Admission::Denied(error.to_string()),
    };
    match workspaces.find_by_key(&key) {
        Some(_) if view.is_closed() => Admission::Undetermined(
            "the configuration is too old to tell whose key this is".to_owned(),
        ),
        Some(workspace) => Admission::Workspace(workspace),
        None if view.is_current() => {
            Admission::Denied(format!("the key with the digest {} is not known", key.short()))
        }
        None => Admission::Undetermined(format!(
            "the key with the digest {} is not known, and the configuration may have changed",
            key.short()
        )),
    }
}
