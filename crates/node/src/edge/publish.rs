//! Changes of the configuration by operators.
//!
//! The document is stored under its digest, then the head is changed by compare-and-swap. If the
//! reply to that write is lost, the head is read again and searched for the operation's id. The
//! answer says that the operation was accepted, was not accepted, or may have been; it is never
//! accepted twice.

use crate::control::Input;
use crate::control::configuration::observed_head;
use crate::edge::store::{read_body, read_head};
use crate::shared::Shared;
use catkinmast_config::{
    Accepted, Change, Digest, Document, Faults, FollowerEvent, HEAD_KEY, Head, body_key, diff,
    merge,
};
use catkinmast_model::{Refusal, Revision};
use catkinmast_platform::{Expect, KeyValue, StoreError};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of reads of the head after an unanswered write, before the answer is `MayHaveRun`.
const OUTCOME_READS: u32 = 4;
/// Interval between these reads.
const OUTCOME_READ_INTERVAL: Duration = Duration::from_millis(300);

/// An operator's request to change the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ApplyRequest {
    /// The revision on which the document is based.
    pub base_revision: u64,
    /// Identifies the operation; a request with the same id is a repetition of the same operation.
    pub operation_id: String,
    /// Whether to merge the document with changes made since its base, if they do not conflict.
    #[serde(default)]
    pub rebase: bool,
    /// The new document.
    pub text: String,
}

/// The result of a change. Variants and fields are written out as JSON.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub(crate) enum ApplyResult {
    Accepted { from_revision: u64, revision: u64 },
    Conflict { changes: Vec<Change>, in_force_revision: u64 },
    Faulty { faults: Faults },
    Refused { refusal: Refusal },
}

fn unavailable(error: &StoreError) -> ApplyResult {
    let refusal = Refusal {
        message: format!("the configuration cannot be changed now: {error}"),
        retry_at_unix_ms: Some(catkinmast_model::UnixMs::from_wall_clock().plus(1_000)),
        verdict: error.verdict(),
    };
    ApplyResult::Refused { refusal }
}

/// Checks a document and makes it the configuration in force.
pub(crate) async fn apply(shared: &Shared, author: &str, request: &ApplyRequest) -> ApplyResult {
    if let Err(faults) = Document::parse(&request.text) {
        return ApplyResult::Faulty { faults };
    }
    let read = match read_head(shared).await {
        Ok(read) => read,
        // Nothing has been written yet.
        Err(error) => {
            let message = error.to_string();
            let verdict = catkinmast_model::Verdict::NotRun;
            return unavailable(&StoreError::Unavailable { message, verdict });
        }
    };
    let (head, version) = read.map_or_else(|| (Head::default(), None), |(h, v)| (h, Some(v)));
    if let Some(found) = head.find(&request.operation_id) {
        return accepted(found);
    }
    let text = match resolve_base(shared, &head, request).await {
        Ok(text) => text,
        Err(result) => return result,
    };
    write(shared, author, request, &head, version, &text).await
}

/// Returns the text to put in force: the request's own, or its merge with the changes made since
/// its base.
async fn resolve_base(
    shared: &Shared,
    head: &Head,
    request: &ApplyRequest,
) -> Result<String, ApplyResult> {
    let in_force_revision = head.revision().0;
    if in_force_revision == request.base_revision {
        return Ok(request.text.clone());
    }
    let conflict = |changes| ApplyResult::Conflict { changes, in_force_revision };
    let of_revision = |revision: Revision| {
        head.operations().iter().find(|accepted| accepted.revision == revision)
    };
    let base = of_revision(Revision(request.base_revision));
    let (Some(base), Some(current)) = (base, head.in_force()) else {
        return Err(conflict(Vec::new()));
    };
    let base = read_body(shared, base.digest).await;
    let current = read_body(shared, current.digest).await;
    let (Some(base), Some(current)) = (base, current) else { return Err(conflict(Vec::new())) };
    if !request.rebase {
        return Err(conflict(diff(&base, &current)));
    }
    let merged = merge(&base, &request.text, &current).map_err(&conflict)?;
    match Document::parse(&merged) {
        Ok(_) => Ok(merged),
        Err(faults) => Err(ApplyResult::Faulty { faults }),
    }
}

/// Stores the document and changes the head.
async fn write(
    shared: &Shared,
    author: &str,
    request: &ApplyRequest,
    head: &Head,
    version: Option<u64>,
    text: &str,
) -> ApplyResult {
    let digest = Digest::of(text);
    shared.metrics.count_kv_call("config");
    if let Err(error) = shared.clients.store.put(&body_key(digest), text, Expect::Any, None).await {
        // The head was not changed, so neither was the configuration.
        let message = error.to_string();
        let verdict = catkinmast_model::Verdict::NotRun;
        return unavailable(&StoreError::Unavailable { message, verdict });
    }
    let next = head.with(digest, author, &request.operation_id, shared.now());
    let value = serde_json::to_string(&next).unwrap_or_default();
    let expect = version.map_or(Expect::Absent, Expect::Version);
    shared.metrics.count_kv_call("config");
    match shared.clients.store.put(HEAD_KEY, &value, expect, None).await {
        Ok(version) => {
            report_head(shared, &next, version);
            next.in_force().map_or_else(|| outcome_unknown(request), accepted)
        }
        Err(_) => read_outcome(shared, request, head).await,
    }
}

/// Determines from the head whether a write of it that was refused or not answered took effect.
async fn read_outcome(shared: &Shared, request: &ApplyRequest, before: &Head) -> ApplyResult {
    for _ in 0..OUTCOME_READS {
        if let Ok(Some((head, version))) = read_head(shared).await {
            report_head(shared, &head, version);
            if let Some(found) = head.find(&request.operation_id) {
                return accepted(found);
            }
            if head.revision() > before.revision() {
                let in_force_revision = head.revision().0;
                return ApplyResult::Conflict { changes: Vec::new(), in_force_revision };
            }
        }
        tokio::time::sleep(OUTCOME_READ_INTERVAL).await;
    }
    outcome_unknown(request)
}

/// Reports the head to the control thread, so that this node follows at once. Other nodes receive
/// the change from the watchers and from this node.
fn report_head(shared: &Shared, head: &Head, version: u64) {
    let head = observed_head(Some((head.clone(), version)));
    shared.send_input(Input::ConfigEvent(FollowerEvent::HeadRead(head)));
}

fn accepted(operation: &Accepted) -> ApplyResult {
    let revision = operation.revision.0;
    ApplyResult::Accepted { from_revision: revision.saturating_sub(1), revision }
}

fn outcome_unknown(request: &ApplyRequest) -> ApplyResult {
    let message = format!(
        "nobody knows yet whether operation '{}' was accepted; ask again with the same \
         operation_id, which cannot apply it twice",
        request.operation_id
    );
    let retry_at = catkinmast_model::UnixMs::from_wall_clock().plus(1_000);
    ApplyResult::Refused { refusal: Refusal::may_have_run(message).retry_at(retry_at) }
}
