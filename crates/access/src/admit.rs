//! Decides who a request is from.

use crate::{CredentialError, KeyDigest, Workspace, Workspaces};

/// How old a node's view of the configuration is, and what that means for keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ViewAge {
    /// The view's age in milliseconds; none if it is not known.
    pub age_ms: Option<u64>,
    /// The age up to which an unknown key is known not to be a new one, in milliseconds.
    pub bound_ms: u64,
    /// The age from which keys that are known may have been taken away for too long, in milliseconds;
    /// none where they are served all the same.
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

/// Who a request is from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission<'a> {
    /// Of nobody in particular: no key is asked for.
    Anyone,
    /// The key belongs to no workspace.
    Denied(String),
    /// That cannot be told: the view is too old.
    Undetermined(String),
    /// Of this workspace.
    Workspace(&'a Workspace),
}

/// Decides who a request is from.
///
/// A denial is final for its caller. So a node denies an unknown key only by a view whose age it knows:
/// the key may be of a configuration that has not arrived.
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
