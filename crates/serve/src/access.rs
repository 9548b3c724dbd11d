//! Determines the workspace of a caller's request, by the configuration in force on this node.

use crate::batches::Scope;
use crate::feed::{self, Subject};
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_access::{Admission, ViewAge, Workspace, admit, credential};
use catkinmast_dispatch::Document;
use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderValue};

/// Why a request is refused. The texts contain no part of a key.
#[derive(Clone, Debug)]
pub(crate) enum Refusal {
    /// Permanently: the key belongs to no workspace.
    Denied(String),
    /// Temporarily: this node's configuration is too old to decide.
    Unsure(String),
}

/// Returns the workspace of a request; none if no key is required.
///
/// # Errors
/// If the key belongs to no workspace, or may belong to one that this node does not know yet.
pub(crate) fn workspace<P: Platform>(
    node: &Node<P>,
    document: &Document,
    is_public: bool,
    headers: &HeaderMap,
) -> Result<Option<Workspace>, Refusal> {
    let settings = node.settings();
    let view = ViewAge {
        age_ms: feed::age_ms(node, Subject::Operators),
        bound_ms: settings.change_bound.as_ms(),
        fail_closed_after_ms: settings.keys_refused_from_age_ms,
    };
    let values = headers.get_all(AUTHORIZATION).into_iter().map(HeaderValue::as_bytes);
    match admit(document.workspaces.as_ref(), is_public, credential(values), view) {
        Admission::Anyone => Ok(None),
        Admission::Denied(why) => Err(Refusal::Denied(why)),
        Admission::Undetermined(why) => Err(Refusal::Unsure(why)),
        Admission::Workspace(workspace) => Ok(Some(workspace.clone())),
    }
}

/// Returns the scope of batches that a call may see.
///
/// # Errors
/// As [`workspace`].
pub(crate) fn scope<P: Platform>(
    node: &Node<P>,
    document: &Document,
    host: &str,
    headers: &HeaderMap,
) -> Result<Scope, Refusal> {
    if document.workspaces.is_none() {
        return Ok(Scope::All);
    }
    let has_no_key = !headers.contains_key(AUTHORIZATION);
    if has_no_key && document.has_public_batches(host) {
        return Ok(Scope::Public);
    }
    let workspace = workspace(node, document, false, headers)?;
    Ok(workspace.map_or(Scope::Public, |workspace| Scope::Workspace(workspace.name)))
}
