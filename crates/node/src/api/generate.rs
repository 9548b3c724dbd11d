//! Generation for applications: tokens from an engine chosen by selector, streamed as JSON lines.
//!
//! If an engine's stream fails, another engine resumes after the tokens already sent, so the caller
//! still receives the complete answer. The last line has the token count; an answer without it is
//! incomplete, and the caller must treat it as such.

use crate::api::answer::{Problem, read_json};
use crate::api::guard::RequestContext;
use crate::auth::Role;
use crate::edge::calls::{Permit, admit, choose_target};
use crate::shared::Shared;
use crate::snapshot::SUBSET_SIZE;
use catkinmast_config::CallClass;
use catkinmast_model::{Name, Refusal, Segments, Selector, Verdict, Version};
use catkinmast_platform::{EngineLine, Engines, GenerateRequest};
use catkinmast_route::{Outcome, stable_subset};
use futures::StreamExt;
use rocket::data::Data;
use rocket::post;
use rocket::response::stream::TextStream;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::sync::mpsc;

/// Maximum size of the request body.
const BODY_MAX_BYTES: u64 = 256 * 1024;
/// Maximum number of requests that a node has in flight at one engine.
const ENGINE_IN_FLIGHT_MAX: u32 = 64;
/// Maximum number of engines tried for one answer.
const ATTEMPTS_MAX: usize = 4;
/// Priority of application requests at an engine, above that of trainers' samples.
const CALLER_PRIORITY: u8 = 100;
/// How long a request may wait for admission.
const ADMISSION_WAIT_MS: u64 = 2_000;
/// Maximum number of lines buffered for a slow caller.
const LINES_BUFFERED_MAX: usize = 64;

/// The request body.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GenerateBody {
    max_tokens: u32,
    prompt: String,
    #[serde(default)]
    seed: u64,
}

/// One line of the answer.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
enum Line {
    Chunk { start: u32, tokens: Vec<u32>, version: Version },
    End { count: u32, segments: Segments },
    Refused { message: String, verdict: Verdict },
}

/// Generates text on an engine of a model.
#[post("/v1/generate/<model>?<selector>", data = "<data>")]
pub(crate) async fn generate(
    context: RequestContext,
    model: &str,
    selector: Option<&str>,
    data: Data<'_>,
) -> Result<TextStream![String], Problem> {
    let workspace = context.require_role(Role::Caller)?;
    let shared = Arc::clone(&context.shared);
    let model: Name =
        model.parse().map_err(|error| Problem::invalid("model", format!("{error}")))?;
    let selector: Selector = selector
        .unwrap_or_default()
        .parse()
        .map_err(|error| Problem::invalid("selector", format!("{error}")))?;
    let body: GenerateBody = read_json(data, BODY_MAX_BYTES).await?;
    if body.max_tokens == 0 {
        return Err(Problem::invalid("max_tokens", "is 0; at least 1 is needed"));
    }
    let deadline = shared.now().plus(ADMISSION_WAIT_MS);
    let permit = admit(&shared, &workspace, CallClass::Lookup, deadline).await?;
    let (sender, mut lines) = mpsc::channel(LINES_BUFFERED_MAX);
    tokio::spawn(async move {
        Generation { model, selector, body, sender, shared, _permit: permit }.run().await;
    });
    // A refusal before the first token is answered with an error status instead of a stream.
    let first = match lines.recv().await {
        Some(Line::Refused { message, verdict }) => {
            let refusal = Refusal { message, retry_at_unix_ms: None, verdict };
            return Err(refusal.retry_at(context.shared.now().plus(500)).into());
        }
        first => first,
    };
    Ok(TextStream! {
        let mut next = first;
        while let Some(line) = next {
            if let Ok(mut text) = serde_json::to_string(&line) {
                text.push('\n');
                yield text;
            }
            next = lines.recv().await;
        }
    })
}

/// One answer in progress.
struct Generation {
    model: Name,
    selector: Selector,
    body: GenerateBody,
    sender: mpsc::Sender<Line>,
    shared: Arc<Shared>,
    _permit: Permit,
}

/// Why the stream from one engine ended early.
enum StreamFailure {
    CallerDisconnected,
    Engine(String),
}

impl Generation {
    async fn run(self) {
        let mut segments = Segments::default();
        let mut tried = Vec::new();
        let mut message = format!("no live engine of model '{}' fits", self.model);
        while tried.len() < ATTEMPTS_MAX {
            let engines = self.shared.snapshot().engines(&self.model, &self.selector);
            let engines = stable_subset(self.shared.me(), &engines, SUBSET_SIZE);
            let Some(target_call) =
                choose_target(&self.shared, &engines, &tried, ENGINE_IN_FLIGHT_MAX)
            else {
                break;
            };
            let engine = target_call.target().clone();
            tried.push(engine.clone());
            let started_at = Instant::now();
            match self.stream_from(&engine, &mut segments).await {
                Ok(()) => {
                    let latency_us = started_at.elapsed().as_micros() as u64;
                    return target_call.finish(Outcome::Answered { latency_us });
                }
                Err(StreamFailure::CallerDisconnected) => return,
                Err(StreamFailure::Engine(reason)) => {
                    target_call.finish(Outcome::Failed);
                    log::info!("engine {engine} failed during an answer: {reason}");
                    message = format!("engine {engine}: {reason}");
                }
            }
        }
        let verdict = if tried.is_empty() { Verdict::NotRun } else { Verdict::MayHaveRun };
        // Sending fails only if the caller has disconnected.
        let _disconnected = self.sender.send(Line::Refused { message, verdict }).await;
    }

    async fn stream_from(
        &self,
        engine: &Name,
        segments: &mut Segments,
    ) -> Result<(), StreamFailure> {
        let engine_failure = |message: String| StreamFailure::Engine(message);
        let address = self.shared.snapshot().address(engine);
        let address = address.ok_or_else(|| engine_failure("it is gone".to_owned()))?;
        let number = self.shared.next_request.fetch_add(1, Ordering::Relaxed);
        let request = GenerateRequest {
            max_tokens: self.body.max_tokens,
            model: self.model.as_str().to_owned(),
            priority: CALLER_PRIORITY,
            prompt: self.body.prompt.clone(),
            request_id: format!("call/{}/{}/{number}", self.shared.me(), self.shared.incarnation),
            resume_from: segments.token_count(),
            seed: self.body.seed,
        };
        let opened = self.shared.clients.engines.generate(address, &request).await;
        let mut lines = opened.map_err(|error| engine_failure(error.to_string()))?;
        while let Some(line) = lines.next().await {
            match line.map_err(|error| engine_failure(error.to_string()))? {
                EngineLine::Chunk { start, tokens, version, .. } => {
                    if start != segments.token_count() {
                        return Err(engine_failure(format!(
                            "tokens from {start} were not expected"
                        )));
                    }
                    segments.push(version, tokens.len() as u32);
                    self.send(Line::Chunk { start, tokens, version }).await?;
                }
                EngineLine::End { count, .. } if count == segments.token_count() => {
                    return self.send(Line::End { count, segments: segments.clone() }).await;
                }
                EngineLine::End { count, .. } => {
                    return Err(engine_failure(format!("{count} tokens were announced")));
                }
            }
        }
        Err(engine_failure("the stream ended without its end line".to_owned()))
    }

    async fn send(&self, line: Line) -> Result<(), StreamFailure> {
        self.sender.send(line).await.map_err(|_closed| StreamFailure::CallerDisconnected)
    }
}
