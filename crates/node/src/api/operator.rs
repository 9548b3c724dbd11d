//! Endpoints for operators: the configuration, status, drains, and the audit trail.

#![expect(clippy::needless_pass_by_value, reason = "the framework hands guards over by value")]

use crate::api::answer::{Problem, read_json};
use crate::api::guard::RequestContext;
use crate::auth::Role;
use crate::control::Input;
use crate::edge::peer::{PeerReply, PeerRequest, call_peer};
use crate::edge::publish::{self, ApplyRequest, ApplyResult};
use crate::edge::store::read_head;
use crate::shared::Shared;
use catkinmast_config::{Accepted, Change, diff};
use catkinmast_member::{NodeFact, OwnerFact, TargetFact};
use catkinmast_model::{Name, Refusal, UnixMs, Verdict};
use catkinmast_platform::{Expect, KeyValue};
use rocket::data::Data;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, put};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// Maximum size of a request body.
const REQUEST_MAX_BYTES: u64 = 1 << 20;
/// Number of audit entries returned by default.
const AUDIT_ENTRIES_DEFAULT: usize = 100;
const DAY_MS: u64 = 86_400_000;
/// Maximum number of days of the audit trail read for one request.
const AUDIT_DAYS_READ_MAX: u64 = 14;
/// Maximum number of attempts to write an audit entry.
const AUDIT_WRITE_ATTEMPTS_MAX: u32 = 20;
/// Delay between two of these attempts.
const AUDIT_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The configuration in force at this node.
#[derive(Debug, Serialize)]
pub(crate) struct ConfigView {
    revision: u64,
    text: String,
}

/// Returns the configuration in force at this node, revision 0 without text if there is none.
#[get("/v1/config")]
pub(crate) fn show(context: RequestContext) -> Result<Json<ConfigView>, Problem> {
    context.require_role(Role::Operator)?;
    let snapshot = context.shared.snapshot();
    let view = snapshot.config.as_ref().map_or_else(
        || ConfigView { revision: 0, text: String::new() },
        |config| ConfigView { revision: config.revision.0, text: config.text.clone() },
    );
    Ok(Json(view))
}

/// Puts a configuration in force.
#[put("/v1/config", data = "<data>")]
pub(crate) async fn apply(
    context: RequestContext,
    data: Data<'_>,
) -> Result<(Status, Json<ApplyResult>), Problem> {
    let author = context.require_role(Role::Operator)?;
    let request: ApplyRequest = read_json(data, REQUEST_MAX_BYTES).await?;
    if request.operation_id.is_empty() || request.operation_id.len() > 128 {
        return Err(Problem::invalid("operation_id", "is empty or longer than 128 bytes"));
    }
    let result = publish::apply(&context.shared, &author, &request).await;
    let (status, outcome, to) = match &result {
        ApplyResult::Accepted { revision, .. } => (Status::Ok, "accepted", *revision),
        ApplyResult::Conflict { in_force_revision, .. } => {
            (Status::Conflict, "conflict", *in_force_revision)
        }
        ApplyResult::Faulty { .. } => {
            (Status::UnprocessableEntity, "faulty", request.base_revision)
        }
        ApplyResult::Refused { refusal } if refusal.verdict == Verdict::NotRun => {
            (Status::ServiceUnavailable, "not_run", request.base_revision)
        }
        ApplyResult::Refused { .. } => (Status::BadGateway, "may_have_run", request.base_revision),
    };
    let what = format!("config apply, operation {}", request.operation_id);
    record_audit_entry(
        &context.shared,
        AuditEntry::now(&author, what, outcome).with_revisions(request.base_revision, to),
    );
    Ok((status, Json(result)))
}

/// Lists the accepted configuration changes, newest last.
#[get("/v1/config/history")]
pub(crate) async fn history(context: RequestContext) -> Result<Json<Vec<Accepted>>, Problem> {
    context.require_role(Role::Operator)?;
    let head = read_head(&context.shared).await.map_err(|error| {
        let refusal = Refusal::not_run(error.to_string());
        Problem::from(refusal.retry_at(context.shared.now().plus(1_000)))
    })?;
    Ok(Json(head.map_or_else(Vec::new, |(head, _)| head.operations().to_vec())))
}

/// A document to compare.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DiffBody {
    text: String,
}

/// Compares a document with the configuration in force at this node.
#[post("/v1/config/diff", data = "<data>")]
pub(crate) async fn diff_config(
    context: RequestContext,
    data: Data<'_>,
) -> Result<Json<Vec<Change>>, Problem> {
    context.require_role(Role::Operator)?;
    let DiffBody { text } = read_json(data, REQUEST_MAX_BYTES).await?;
    let snapshot = context.shared.snapshot();
    let in_force = snapshot.config.as_ref().map_or("", |config| config.text.as_str());
    Ok(Json(diff(in_force, &text)))
}

/// The status of a node and its view of the deployment.
#[derive(Debug, Serialize)]
pub(crate) struct StatusView {
    config_revision: u64,
    held_bytes: usize,
    leaving_until_unix_ms: Option<UnixMs>,
    node: Name,
    nodes: Vec<NodeFact>,
    owners: Vec<OwnerFact>,
    ready: bool,
    requests_in_flight: u32,
    requests_waiting: usize,
    targets: Vec<TargetFact>,
}

/// Returns nodes, targets, trainers' owners and load, as this node sees them.
#[get("/v1/status")]
pub(crate) fn status(context: RequestContext) -> Result<Json<StatusView>, Problem> {
    context.require_role(Role::Operator)?;
    let shared = &context.shared;
    let snapshot = shared.snapshot();
    let (in_flight, waiting) = {
        let admission = crate::shared::lock(&shared.traffic.admission);
        (admission.in_flight(), admission.queued())
    };
    Ok(Json(StatusView {
        config_revision: snapshot.config.as_ref().map_or(0, |config| config.revision.0),
        held_bytes: crate::shared::lock(&shared.holdings).held_bytes(),
        leaving_until_unix_ms: snapshot.leaving_until,
        node: shared.me().clone(),
        nodes: snapshot.nodes.clone(),
        owners: snapshot.owners.values().cloned().collect(),
        ready: snapshot.ready,
        requests_in_flight: in_flight,
        requests_waiting: waiting,
        targets: snapshot.targets.values().cloned().collect(),
    }))
}

/// Drains a node: it leaves the deployment, finishes the work in progress, and exits.
#[post("/v1/nodes/<node>/drain")]
pub(crate) async fn drain_node(context: RequestContext, node: &str) -> Result<Status, Problem> {
    let who = context.require_role(Role::Operator)?;
    let shared = &context.shared;
    let name: Name = node.parse().map_err(|error| Problem::invalid("node", format!("{error}")))?;
    if name == *shared.me() {
        shared.drain_requested.notify_one();
    } else {
        let snapshot = shared.snapshot();
        let Some(found) = snapshot.node(&name) else {
            return Err(Problem::with_status(404, format!("node '{node}' is not known")));
        };
        if let Ok(PeerReply::Done) = call_peer(shared, found.control, &PeerRequest::Drain).await {
        } else {
            let message = format!("node '{node}' did not answer");
            return Err(Refusal::may_have_run(message).into());
        }
    }
    record_audit_entry(shared, AuditEntry::now(&who, format!("drain node {node}"), "accepted"));
    Ok(Status::Accepted)
}

/// Drains a target: it receives no new work until its next incarnation.
#[post("/v1/targets/<target>/drain")]
pub(crate) async fn drain_target(context: RequestContext, target: &str) -> Result<Status, Problem> {
    let who = context.require_role(Role::Operator)?;
    let name: Name =
        target.parse().map_err(|error| Problem::invalid("target", format!("{error}")))?;
    let (reply, found) = oneshot::channel();
    context.shared.send_input(Input::DrainTarget { reply, target: name });
    if found.await != Ok(true) {
        return Err(Problem::with_status(404, format!("target '{target}' is not known")));
    }
    record_audit_entry(
        &context.shared,
        AuditEntry::now(&who, format!("drain target {target}"), "accepted"),
    );
    Ok(Status::Accepted)
}

/// An entry of the audit trail: one operator's action.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct AuditEntry {
    at_unix_ms: UnixMs,
    from_revision: Option<u64>,
    result: String,
    to_revision: Option<u64>,
    what: String,
    who: String,
}

impl AuditEntry {
    fn now(who: &str, what: String, result: &str) -> Self {
        Self {
            at_unix_ms: UnixMs::from_wall_clock(),
            from_revision: None,
            result: result.to_owned(),
            to_revision: None,
            what,
            who: who.to_owned(),
        }
    }

    fn with_revisions(self, from: u64, to: u64) -> Self {
        Self { from_revision: Some(from), to_revision: Some(to), ..self }
    }
}

/// Logs an audit entry and writes it to the store in the background, with retries.
fn record_audit_entry(shared: &Arc<Shared>, entry: AuditEntry) {
    let shared = Arc::clone(shared);
    let value = serde_json::to_string(&entry).unwrap_or_default();
    log::info!("audit: {value}");
    let number = shared.next_request.fetch_add(1, Ordering::Relaxed);
    let day = audit_day_key(entry.at_unix_ms);
    let key = format!("audit/{day}/{:014}-{}-{number}", entry.at_unix_ms.0, shared.me());
    tokio::spawn(async move {
        for _ in 0..AUDIT_WRITE_ATTEMPTS_MAX {
            shared.metrics.count_kv_call("audit");
            // Only this call writes the key, so a repeated write is harmless.
            if shared.clients.store.put(&key, &value, Expect::Any, None).await.is_ok() {
                return;
            }
            tokio::time::sleep(AUDIT_RETRY_DELAY).await;
        }
        log::error!("audit entry not written to the store, it is only in this log: {value}");
    });
}

/// Returns the day since the Unix epoch as the key part of that day's entries.
///
/// The trail is stored and read by day, so that the cost of reading the newest entries does not
/// grow with its length.
fn audit_day_key(at: UnixMs) -> String {
    format!("{:06}", at.0 / DAY_MS)
}

/// Returns the newest entries of the audit trail, oldest first.
#[get("/v1/audit?<last>")]
pub(crate) async fn audit(
    context: RequestContext,
    last: Option<usize>,
) -> Result<Json<Vec<AuditEntry>>, Problem> {
    context.require_role(Role::Operator)?;
    let limit = last.unwrap_or(AUDIT_ENTRIES_DEFAULT);
    let today = UnixMs::from_wall_clock().0;
    let mut entries: Vec<AuditEntry> = Vec::new();
    for day in 0..AUDIT_DAYS_READ_MAX {
        if entries.len() >= limit {
            break;
        }
        let prefix =
            format!("audit/{}/", audit_day_key(UnixMs(today.saturating_sub(day * DAY_MS))));
        context.shared.metrics.count_kv_call("audit");
        let listed = context.shared.clients.store.list(&prefix).await.map_err(|error| {
            let refusal = Refusal::not_run(error.to_string());
            Problem::from(refusal.retry_at(context.shared.now().plus(1_000)))
        })?;
        let day_entries = listed.iter().filter_map(|entry| serde_json::from_str(&entry.value).ok());
        entries = day_entries.chain(entries).collect();
    }
    entries.drain(..entries.len().saturating_sub(limit));
    Ok(Json(entries))
}
