//! Trainers: register, submit a step, fetch a batch, claim it, publish a version, see progress.

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

/// The largest step, in bytes of its text.
const STEP_MAX_BYTES: u64 = 64 << 20;
/// The largest small request, in bytes.
const SMALL_MAX_BYTES: u64 = 16 * 1024;
/// The longest wait for a batch.
const WAIT_MAX_MS: u64 = 10_000;
/// How many samples of a batch are read from their holders at once.
const READS_AT_ONCE: usize = 8;

/// Checks the token and the trainer's name against the configuration.
fn known_trainer(context: &RequestContext, trainer: &str) -> Result<Name, Problem> {
    context.require_trainer(trainer)?;
    listed_trainer(context, trainer)
}

/// Checks a trainer's name against the configuration.
fn listed_trainer(context: &RequestContext, trainer: &str) -> Result<Name, Problem> {
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

/// Turns the owner's answer into what the trainer sees; `wanted` picks the answer that is due.
fn settle<T>(reply: Reply, wanted: impl FnOnce(Reply) -> Option<T>) -> Result<T, Problem> {
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
        other => wanted(other).ok_or_else(|| Problem::with_status(500, "an unexpected answer")),
    }
}

/// Sets the trainer's bound and sizes.
#[put("/v1/trainers/<trainer>", data = "<data>")]
pub(crate) async fn register(
    context: RequestContext,
    trainer: &str,
    data: Data<'_>,
) -> Result<Json<Registration>, Problem> {
    let name = known_trainer(&context, trainer)?;
    let registration = read_json(data, SMALL_MAX_BYTES).await?;
    let reply =
        forward_command_to_owner(&context.shared, &name, Command::Register(registration)).await;
    settle(reply, |reply| match reply {
        Reply::Registered(registration) => Some(Json(registration)),
        _ => None,
    })
}

/// Names what was accepted.
#[derive(Debug, Serialize)]
pub(crate) struct StepAccepted {
    step: u64,
}

/// Adds a step; the same step again changes nothing.
#[put("/v1/trainers/<trainer>/steps/<step>", data = "<data>")]
pub(crate) async fn submit(
    context: RequestContext,
    trainer: &str,
    step: u64,
    data: Data<'_>,
) -> Result<Json<StepAccepted>, Problem> {
    let name = known_trainer(&context, trainer)?;
    let spec: StepSpec = read_json(data, STEP_MAX_BYTES).await?;
    let reply =
        forward_command_to_owner(&context.shared, &name, Command::Submit { step, spec }).await;
    settle(reply, |reply| match reply {
        Reply::Accepted { step } => Some(Json(StepAccepted { step })),
        _ => None,
    })
}

/// The version at which a trainer claims.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClaimBody {
    at_version: Version,
}

/// Names what was claimed.
#[derive(Debug, Serialize)]
pub(crate) struct BatchClaimed {
    batch: u64,
}

/// Takes the right to use a batch; the same claim again is the same right.
#[post("/v1/trainers/<trainer>/batches/<batch>/claim", data = "<data>")]
pub(crate) async fn claim(
    context: RequestContext,
    trainer: &str,
    batch: u64,
    data: Data<'_>,
) -> Result<Json<BatchClaimed>, Problem> {
    let name = known_trainer(&context, trainer)?;
    let ClaimBody { at_version } = read_json(data, SMALL_MAX_BYTES).await?;
    let reply =
        forward_command_to_owner(&context.shared, &name, Command::Claim { at_version, batch })
            .await;
    settle(reply, |reply| match reply {
        Reply::Claimed { batch } => Some(Json(BatchClaimed { batch })),
        _ => None,
    })
}

/// Names the version in force.
#[derive(Debug, Serialize)]
pub(crate) struct VersionPublished {
    version: Version,
}

/// Announces weights that stand in the weight store.
#[put("/v1/trainers/<trainer>/versions/<version>")]
pub(crate) async fn publish(
    context: RequestContext,
    trainer: &str,
    version: u64,
) -> Result<Json<VersionPublished>, Problem> {
    let name = known_trainer(&context, trainer)?;
    let command = Command::Publish { version: Version(version) };
    let reply = forward_command_to_owner(&context.shared, &name, command).await;
    settle(reply, |reply| match reply {
        Reply::Published { version } => Some(Json(VersionPublished { version })),
        _ => None,
    })
}

/// Tells how far the trainer's steps are, to the trainer and to operators.
#[get("/v1/trainers/<trainer>/progress")]
pub(crate) async fn progress(
    context: RequestContext,
    trainer: &str,
) -> Result<Json<catkinmast_rollout::Progress>, Problem> {
    let name = if context.require_role(Role::Operator).is_ok() {
        listed_trainer(&context, trainer)?
    } else {
        known_trainer(&context, trainer)?
    };
    let reply = forward_command_to_owner(&context.shared, &name, Command::Progress).await;
    settle(reply, |reply| match reply {
        Reply::Progress(progress) => Some(Json(progress)),
        _ => None,
    })
}

/// One line of a batch.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
enum Line {
    Batch { batch: u64, samples: usize, step: u64 },
    End { samples: usize },
    Sample { attempt: String, id: SampleId, score: f64, segments: Segments, tokens: Vec<u32> },
}

/// Reads a batch as JSON lines; the last line counts the samples.
#[get("/v1/trainers/<trainer>/batches/<batch>?<wait_ms>")]
pub(crate) async fn fetch(
    context: RequestContext,
    trainer: &str,
    batch: u64,
    wait_ms: Option<u64>,
) -> Result<TextStream![String], Problem> {
    let name = known_trainer(&context, trainer)?;
    let wait_ms = wait_ms.unwrap_or(0).min(WAIT_MAX_MS);
    let until = context.shared.now().plus(wait_ms);
    let reply =
        forward_command_to_owner(&context.shared, &name, Command::Fetch { batch, until }).await;
    let view = settle(reply, |reply| match reply {
        Reply::Batch(view) => Some(view),
        _ => None,
    })?;
    let shared = Arc::clone(&context.shared);
    Ok(TextStream! {
        let BatchView { batch, samples, step } = view;
        let count = samples.len();
        yield text_of(&Line::Batch { batch, samples: count, step });
        let reads = samples.into_iter().map(|sample| read_sample(&shared, &name, sample));
        let mut lines = futures::stream::iter(reads).buffered(READS_AT_ONCE);
        let mut whole = 0;
        while let Some(line) = lines.next().await {
            // A sample that nobody holds ends the answer without its last line: the trainer asks
            // again, and by then the batch is void and its samples are being made anew.
            let Some(line) = line else { break };
            whole += 1;
            yield text_of(&line);
        }
        if whole == count {
            yield text_of(&Line::End { samples: count });
        }
    })
}

fn text_of(line: &Line) -> String {
    let mut text = serde_json::to_string(line).unwrap_or_default();
    text.push('\n');
    text
}

/// Reads a sample's tokens and checks them against what the owner knows of it.
async fn read_sample(shared: &Arc<Shared>, trainer: &Name, bound: BoundView) -> Option<Line> {
    let BoundView { attempt, finished, id } = bound;
    let key = ContentKey { attempt, sample: id, trainer: trainer.clone() };
    let content = content::read(shared, &key, &finished.holders).await;
    let fits = |content: &Content| {
        content.segments == finished.segments
            && content.tokens.len() == finished.segments.token_count() as usize
    };
    if let Some(content) = content.filter(fits) {
        Some(Line::Sample {
            attempt: attempt.to_string(),
            id,
            score: finished.score_millis as f64 / 1_000.0,
            segments: content.segments,
            tokens: content.tokens,
        })
    } else {
        log::warn!("no holder has sample {id} of trainer {trainer}");
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
        log::warn!("the owner of trainer {trainer} was not told of a lost sample: {error}");
    }
}
