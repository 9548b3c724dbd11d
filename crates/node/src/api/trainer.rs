//! Endpoints for trainers: registration, steps, batches, weight versions and progress.

use crate::api::answer::{Problem, read_json};
use crate::api::guard::RequestContext;
use crate::auth::Role;
use crate::edge::content;
use crate::edge::holdings::{Content, ContentKey};
use crate::edge::peer::{PeerRequest, call_peer, forward_command_to_owner};
use crate::shared::Shared;
use catkinmast_model::{Name, Refusal, SampleId, Segments, Version};
use catkinmast_rollout::{BatchView, BoundView, Command, Registration, Reply, StepSpec};
use futures::StreamExt;
use rocket::data::Data;
use rocket::response::stream::TextStream;
use rocket::serde::json::Json;
use rocket::{get, post, put};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum size of a step's JSON text.
const STEP_BODY_MAX_BYTES: u64 = 64 << 20;
/// Maximum size of the body of any other request.
const SMALL_BODY_MAX_BYTES: u64 = 16 * 1024;
/// Maximum time that a fetch waits for its batch to be bound.
const FETCH_WAIT_MAX_MS: u64 = 10_000;
/// Number of samples of a batch that are read from their holders concurrently.
const CONCURRENT_READS_MAX: usize = 8;

/// Checks that the token is this trainer's and that the trainer is configured.
fn authorized_trainer(context: &RequestContext, trainer: &str) -> Result<Name, Problem> {
    context.require_trainer(trainer)?;
    configured_trainer(context, trainer)
}

/// Checks that a trainer is configured.
fn configured_trainer(context: &RequestContext, trainer: &str) -> Result<Name, Problem> {
    let name: Name =
        trainer.parse().map_err(|error| Problem::invalid("trainer", format!("{error}")))?;
    let snapshot = context.shared.snapshot();
    let Some(document) = snapshot.document() else {
        let refusal = Refusal::not_run("this node knows no configuration yet");
        return Err(refusal.retry_at(context.shared.now().plus(500)).into());
    };
    match document.trainer(trainer) {
        Some(_) => Ok(name),
        None => Err(Problem::with_status(404, format!("trainer '{trainer}' is not configured"))),
    }
}

/// Converts the owner's reply to a response; `expected` extracts the expected reply.
fn extract_reply<T>(reply: Reply, expected: impl FnOnce(Reply) -> Option<T>) -> Result<T, Problem> {
    match reply {
        Reply::Invalid(error) => Err(Problem::invalid(error.field, error.message)),
        Reply::NotYet { retry_at } => {
            Err(Refusal::not_run("the batch is not bound yet").retry_at(retry_at).into())
        }
        Reply::Refused(refusal) => Err(refusal.into()),
        Reply::Void { batch } => Err(Problem::with_status(
            410,
            format!("batch {batch} is void: it aged beyond the bound, or its content was lost"),
        )),
        other => expected(other).ok_or_else(|| Problem::with_status(500, "an unexpected answer")),
    }
}

/// Sets the trainer's staleness bound and its group and batch sizes.
#[put("/v1/trainers/<trainer>", data = "<data>")]
pub(crate) async fn register(
    context: RequestContext,
    trainer: &str,
    data: Data<'_>,
) -> Result<Json<Registration>, Problem> {
    let name = authorized_trainer(&context, trainer)?;
    let registration = read_json(data, SMALL_BODY_MAX_BYTES).await?;
    let reply =
        forward_command_to_owner(&context.shared, &name, Command::Register(registration)).await;
    extract_reply(reply, |reply| match reply {
        Reply::Registered(registration) => Some(Json(registration)),
        _ => None,
    })
}

/// The response to an accepted step.
#[derive(Debug, Serialize)]
pub(crate) struct StepAccepted {
    step: u64,
}

/// Submits a step; submitting the same step again changes nothing.
#[put("/v1/trainers/<trainer>/steps/<step>", data = "<data>")]
pub(crate) async fn submit(
    context: RequestContext,
    trainer: &str,
    step: u64,
    data: Data<'_>,
) -> Result<Json<StepAccepted>, Problem> {
    let name = authorized_trainer(&context, trainer)?;
    let spec: StepSpec = read_json(data, STEP_BODY_MAX_BYTES).await?;
    let reply =
        forward_command_to_owner(&context.shared, &name, Command::Submit { step, spec }).await;
    extract_reply(reply, |reply| match reply {
        Reply::Accepted { step } => Some(Json(StepAccepted { step })),
        _ => None,
    })
}

/// The request body of a claim: the trainer's weight version.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClaimBody {
    at_version: Version,
}

/// The response to a claim.
#[derive(Debug, Serialize)]
pub(crate) struct BatchClaimed {
    batch: u64,
}

/// Claims the right to train on a batch; repeating the claim changes nothing.
#[post("/v1/trainers/<trainer>/batches/<batch>/claim", data = "<data>")]
pub(crate) async fn claim(
    context: RequestContext,
    trainer: &str,
    batch: u64,
    data: Data<'_>,
) -> Result<Json<BatchClaimed>, Problem> {
    let name = authorized_trainer(&context, trainer)?;
    let ClaimBody { at_version } = read_json(data, SMALL_BODY_MAX_BYTES).await?;
    let reply =
        forward_command_to_owner(&context.shared, &name, Command::Claim { at_version, batch })
            .await;
    extract_reply(reply, |reply| match reply {
        Reply::Claimed { batch } => Some(Json(BatchClaimed { batch })),
        _ => None,
    })
}

/// The response to a publication: the latest published version.
#[derive(Debug, Serialize)]
pub(crate) struct VersionPublished {
    version: Version,
}

/// Publishes a weight version; the weights must already be in the weight store.
#[put("/v1/trainers/<trainer>/versions/<version>")]
pub(crate) async fn publish(
    context: RequestContext,
    trainer: &str,
    version: u64,
) -> Result<Json<VersionPublished>, Problem> {
    let name = authorized_trainer(&context, trainer)?;
    let command = Command::Publish { version: Version(version) };
    let reply = forward_command_to_owner(&context.shared, &name, command).await;
    extract_reply(reply, |reply| match reply {
        Reply::Published { version } => Some(Json(VersionPublished { version })),
        _ => None,
    })
}

/// Returns the progress of the trainer's steps, to the trainer and to operators.
#[get("/v1/trainers/<trainer>/progress")]
pub(crate) async fn progress(
    context: RequestContext,
    trainer: &str,
) -> Result<Json<catkinmast_rollout::Progress>, Problem> {
    let name = if context.require_role(Role::Operator).is_ok() {
        configured_trainer(&context, trainer)?
    } else {
        authorized_trainer(&context, trainer)?
    };
    let reply = forward_command_to_owner(&context.shared, &name, Command::Progress).await;
    extract_reply(reply, |reply| match reply {
        Reply::Progress(progress) => Some(Json(progress)),
        _ => None,
    })
}

/// One line of a batch's JSON lines.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
enum Line {
    Batch { batch: u64, samples: usize, step: u64 },
    End { samples: usize },
    Sample { attempt: String, id: SampleId, score: f64, segments: Segments, tokens: Vec<u32> },
}

/// Streams a batch as JSON lines; the last line has the sample count.
#[get("/v1/trainers/<trainer>/batches/<batch>?<wait_ms>")]
pub(crate) async fn fetch(
    context: RequestContext,
    trainer: &str,
    batch: u64,
    wait_ms: Option<u64>,
) -> Result<TextStream![String], Problem> {
    let name = authorized_trainer(&context, trainer)?;
    let wait_ms = wait_ms.unwrap_or(0).min(FETCH_WAIT_MAX_MS);
    let until = context.shared.now().plus(wait_ms);
    let reply =
        forward_command_to_owner(&context.shared, &name, Command::Fetch { batch, until }).await;
    let view = extract_reply(reply, |reply| match reply {
        Reply::Batch(view) => Some(view),
        _ => None,
    })?;
    let shared = Arc::clone(&context.shared);
    Ok(TextStream! {
        let BatchView { batch, samples, step } = view;
        let count = samples.len();
        yield json_line(&Line::Batch { batch, samples: count, step });
        let reads = samples.into_iter().map(|sample| read_sample(&shared, &name, sample));
        let mut lines = futures::stream::iter(reads).buffered(CONCURRENT_READS_MAX);
        let mut sent_count = 0;
        while let Some(line) = lines.next().await {
            // A lost sample ends the answer without its last line. The trainer then fetches again,
            // and finds the batch void and its samples being generated anew.
            let Some(line) = line else { break };
            sent_count += 1;
            yield json_line(&line);
        }
        if sent_count == count {
            yield json_line(&Line::End { samples: count });
        }
    })
}

fn json_line(line: &Line) -> String {
    let mut text = serde_json::to_string(line).unwrap_or_default();
    text.push('\n');
    text
}

/// Reads a sample's tokens and checks them against the owner's record of the sample.
///
/// If no holder has them, reports the loss to the owner and returns none.
async fn read_sample(shared: &Arc<Shared>, trainer: &Name, bound: BoundView) -> Option<Line> {
    let BoundView { attempt, finished, id } = bound;
    let key = ContentKey { attempt, sample: id, trainer: trainer.clone() };
    let content = content::read(shared, &key, &finished.holders).await;
    let is_consistent = |content: &Content| {
        content.segments == finished.segments
            && content.tokens.len() == finished.segments.token_count() as usize
    };
    if let Some(content) = content.filter(is_consistent) {
        Some(Line::Sample {
            attempt: attempt.to_string(),
            id,
            score: finished.score_millis as f64 / 1_000.0,
            segments: content.segments,
            tokens: content.tokens,
        })
    } else {
        log::warn!("no holder has the tokens of sample {id} of trainer {trainer}");
        let lost = PeerRequest::ContentLost { attempt, sample: id, trainer: trainer.clone() };
        report_lost(shared, trainer, lost).await;
        None
    }
}

async fn report_lost(shared: &Arc<Shared>, trainer: &Name, lost: PeerRequest) {
    let snapshot = shared.snapshot();
    let owner = snapshot.owners.get(trainer).and_then(|owner| snapshot.node(&owner.node));
    let Some(owner) = owner else { return };
    if let Err(error) = call_peer(shared, owner.control, &lost).await {
        log::warn!("cannot report a lost sample to the owner of trainer {trainer}: {error}");
    }
}
