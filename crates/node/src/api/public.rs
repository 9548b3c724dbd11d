//! Endpoints for clients of any role: addresses, health, metrics. Only addresses need a token.

#![expect(clippy::needless_pass_by_value, reason = "the framework hands guards over by value")]

use crate::api::answer::Problem;
use crate::api::guard::RequestContext;
use crate::auth::Role;
use catkinmast_model::{Name, Refusal, UnixMs};
use catkinmast_route::{AddressAnswer, address_answer};
use rocket::get;
use rocket::serde::json::Json;

/// Returns the addresses of the nodes, those of the caller's data centre first.
#[get("/v1/addresses?<data_centre>")]
pub(crate) fn addresses(
    context: RequestContext,
    data_centre: Option<&str>,
) -> Result<Json<AddressAnswer>, Problem> {
    if !context.shared.has_open_access() && context.identity.is_none() {
        context.require_role(Role::Caller)?;
    }
    let snapshot = context.shared.snapshot();
    let Some(document) = snapshot.document() else {
        let retry_at = context.shared.now().plus(500);
        return Err(Refusal::not_run("this node knows no configuration yet")
            .retry_at(retry_at)
            .into());
    };
    let near: Name = match data_centre {
        Some(text) => {
            text.parse().map_err(|error| Problem::invalid("data_centre", format!("{error}")))?
        }
        None => context.shared.settings.data_centre.clone(),
    };
    let region_of = |name: &Name| document.region(name).cloned();
    Ok(Json(address_answer(
        UnixMs::from_wall_clock(),
        snapshot.nodes.iter(),
        &near,
        region_of,
        document.limits.address_ttl_ms,
        document.limits.ticket_memory_ms,
    )))
}

/// Liveness probe: always succeeds.
#[get("/healthz")]
pub(crate) const fn healthz() -> &'static str {
    "ok\n"
}

/// Readiness probe: succeeds if this node accepts new callers.
#[get("/readyz")]
pub(crate) fn readyz(context: RequestContext) -> Result<&'static str, Problem> {
    let snapshot = context.shared.snapshot();
    if snapshot.leaving_until.is_some() {
        return Err(Problem::with_status(503, "this node leaves"));
    }
    if !snapshot.ready {
        return Err(Problem::with_status(
            503,
            "the configuration in force is not known for certain",
        ));
    }
    Ok("ready\n")
}

/// Returns the metrics in the OpenMetrics text format.
#[get("/metrics")]
pub(crate) fn metrics(context: RequestContext) -> (rocket::http::ContentType, String) {
    let kind = rocket::http::ContentType::new("application", "openmetrics-text")
        .with_params([("version", "1.0.0"), ("charset", "utf-8")]);
    (kind, context.shared.metrics.text())
}
