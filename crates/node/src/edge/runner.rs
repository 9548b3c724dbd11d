//! Runs of single samples: streaming from an engine, scoring and copying.
//!
//! The runner is the node that runs a sample and holds its tokens. It reports to the owner only
//! what the owner decides by: the weight versions of the tokens so far, and the end of the run. The
//! tokens of a run that fails stay on the runner, so that the next attempt can resume from them.

use crate::control::Input;
use crate::edge::calls::{CallRequest, call_service};
use crate::edge::content::copy_to_another_node;
use crate::edge::holdings::{Content, ContentKey};
use crate::edge::peer::run_remotely;
use crate::shared::{Shared, lock};
use bytes::Bytes;
use catkinmast_model::{Name, Verdict};
use catkinmast_platform::{EngineLine, Engines, GenerateRequest};
use catkinmast_rollout::{Attempt, Event, Finished, RunOrder};
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Interval at which the tokens of a running sample are stored, so that a duplicate can resume from
/// them.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);
/// After this time without tokens the runner sends a heartbeat to the owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay between calls of the scoring service for a sample.
const SCORE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Limit on the calls of the scoring service for a sample, after which the run fails.
const SCORE_ATTEMPTS_MAX: u32 = 20;
/// The priority of samples at an engine; requests of applications have a higher one.
const ROLLOUT_PRIORITY: u8 = 10;

/// A run, with everything that its runner needs. The order of fields is the wire format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct RunJob {
    pub model: Name,
    pub order: RunOrder,
    pub scorer: Name,
    pub trainer: Name,
}

/// A report of a runner to the owner. The order of variants and fields is the wire format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum RunEvent {
    Alive,
    Failed { engine_at_fault: bool, partial_kept: bool },
    Progress { segments: catkinmast_model::Segments },
    Safe { finished: Finished },
    Complete { segments: catkinmast_model::Segments },
}

impl RunEvent {
    pub(crate) const fn ends_run(&self) -> bool {
        matches!(self, Self::Failed { .. } | Self::Safe { .. })
    }
}

impl RunJob {
    fn key(&self, attempt: Attempt) -> ContentKey {
        ContentKey { attempt, sample: self.order.sample, trainer: self.trainer.clone() }
    }

    fn request_id(&self) -> String {
        format!("{}/{}/{}", self.trainer, self.order.sample, self.order.attempt)
    }
}

/// Starts a run on its runner and passes the runner's events to the control thread.
pub(crate) async fn run_for_owner(shared: Arc<Shared>, job: RunJob) {
    let (sender, mut events) = mpsc::channel(64);
    let (attempt, sample) = (job.order.attempt, job.order.sample);
    let trainer = job.trainer.clone();
    let runner = shared.snapshot().node(&job.order.runner).map(|node| node.control);
    let here = job.order.runner == *shared.me();
    let run = async {
        match runner {
            _ if here => run_job(Arc::clone(&shared), job, sender).await,
            Some(address) => {
                if let Err(error) = run_remotely(&shared, address, job, &sender).await {
                    log::info!(
                        "the run of sample {sample} on node address {address} failed: {error}"
                    );
                }
            }
            None => {}
        }
    };
    let report_event =
        |event| shared.send_input(Input::Rollout { event, trainer: trainer.clone() });
    let forward = async {
        while let Some(event) = events.recv().await {
            let ends = event.ends_run();
            for event in owner_events(event, attempt, sample) {
                report_event(event);
            }
            if ends {
                return true;
            }
        }
        false
    };
    let ((), ended) = tokio::join!(run, forward);
    if !ended {
        // The runner is gone, and the tokens that it held are lost.
        report_event(Event::RunFailed {
            attempt,
            engine_at_fault: false,
            partial_kept: false,
            sample,
        });
    }
}

/// Converts a runner's event to events for the owner's state machine.
fn owner_events(
    event: RunEvent,
    attempt: Attempt,
    sample: catkinmast_model::SampleId,
) -> Vec<Event> {
    match event {
        RunEvent::Alive => Vec::new(),
        RunEvent::Failed { engine_at_fault, partial_kept } => {
            vec![Event::RunFailed { attempt, engine_at_fault, partial_kept, sample }]
        }
        RunEvent::Progress { segments } => vec![Event::RunProgress { attempt, sample, segments }],
        RunEvent::Safe { finished } => vec![Event::RunSafe { attempt, finished, sample }],
        RunEvent::Complete { segments } => vec![
            Event::RunProgress { attempt, sample, segments },
            Event::RunComplete { attempt, sample },
        ],
    }
}

/// Cancels the request at the engine if the run is dropped before its stream has ended.
struct EngineGuard {
    address: SocketAddr,
    finished: bool,
    request_id: String,
    shared: Arc<Shared>,
}

impl Drop for EngineGuard {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let (shared, request_id, address) =
            (Arc::clone(&self.shared), self.request_id.clone(), self.address);
        tokio::spawn(async move {
            if let Err(error) = shared.clients.engines.cancel(address, &request_id).await {
                log::debug!("cannot cancel request '{request_id}' at its engine: {error}");
            }
        });
    }
}

/// Runs a sample on this node. Dropping the future cancels the run.
pub(crate) async fn run_job(shared: Arc<Shared>, job: RunJob, events: mpsc::Sender<RunEvent>) {
    let last = match run_to_end(&shared, &job, &events).await {
        Ok(finished) => RunEvent::Safe { finished },
        Err(failed) => failed,
    };
    if events.send(last).await.is_err() {
        log::debug!("the owner of run {} disconnected before the run ended", job.request_id());
    }
}

async fn run_to_end(
    shared: &Arc<Shared>,
    job: &RunJob,
    events: &mpsc::Sender<RunEvent>,
) -> Result<Finished, RunEvent> {
    let key = job.key(job.order.attempt);
    let mut content = start_content(shared, job);
    let streamed = stream_tokens(shared, job, &key, &mut content, events).await;
    if let Err(message) = streamed {
        log::info!("the stream of run {} failed: {message}", job.request_id());
        let partial_kept = !content.tokens.is_empty();
        store(shared, &key, &content);
        return Err(RunEvent::Failed { engine_at_fault: true, partial_kept });
    }
    let complete = RunEvent::Complete { segments: content.segments.clone() };
    let gone = |_closed| RunEvent::Failed { engine_at_fault: false, partial_kept: false };
    events.send(complete).await.map_err(gone)?;
    content.score_millis = Some(score(shared, job, &content, events).await?);
    if !store(shared, &key, &content) {
        log::warn!("no space to hold the tokens of run {}; the run fails", job.request_id());
        return Err(RunEvent::Failed { engine_at_fault: false, partial_kept: false });
    }
    let mut holders = vec![shared.me().clone()];
    holders.extend(copy_to_another_node(shared, &key, &[]).await);
    let score_millis = content.score_millis.unwrap_or_default();
    Ok(Finished { holders, score_millis, segments: content.segments })
}

/// Stores content here and updates the metric; returns false if there is not enough space.
fn store(shared: &Shared, key: &ContentKey, content: &Content) -> bool {
    let mut holdings = lock(&shared.holdings);
    let stored = holdings.store(shared.now(), key.clone(), content.clone());
    shared.metrics.holdings_bytes.set(holdings.held_bytes() as i64);
    stored
}

/// Returns the tokens of the attempt from which this run resumes; empty if it starts anew or the
/// tokens are not held here.
fn start_content(shared: &Shared, job: &RunJob) -> Content {
    let Some(resumed) = job.order.resume else { return Content::default() };
    let mut holdings = lock(&shared.holdings);
    let held = holdings.get(shared.now(), &job.key(resumed)).cloned();
    held.map_or_else(Content::default, |held| Content { score_millis: None, ..held })
}

/// Streams tokens from the engine into `content` until the sample is complete.
async fn stream_tokens(
    shared: &Arc<Shared>,
    job: &RunJob,
    key: &ContentKey,
    content: &mut Content,
    events: &mpsc::Sender<RunEvent>,
) -> Result<(), String> {
    let order = &job.order;
    let request = GenerateRequest {
        max_tokens: order.max_tokens,
        model: job.model.as_str().to_owned(),
        priority: ROLLOUT_PRIORITY,
        prompt: order.prompt.clone(),
        request_id: job.request_id(),
        resume_from: content.tokens.len() as u32,
        seed: order.seed,
    };
    let mut guard = EngineGuard {
        address: order.engine.address,
        finished: false,
        request_id: request.request_id.clone(),
        shared: Arc::clone(shared),
    };
    let opened = shared.clients.engines.generate(order.engine.address, &request).await;
    let mut lines = opened.map_err(|error| error.to_string())?;
    let mut last_report =
        LastReport { at: Instant::now(), segments: content.segments.as_slice().len() };
    let mut saved_at = Instant::now();
    loop {
        let line = match tokio::time::timeout(HEARTBEAT_INTERVAL, lines.next()).await {
            Ok(line) => line,
            Err(_elapsed) => {
                send_to_owner(events, RunEvent::Alive).await?;
                continue;
            }
        };
        match line {
            Some(Ok(EngineLine::Chunk { start, tokens, version, .. })) => {
                if start as usize != content.tokens.len() {
                    return Err(format!(
                        "the engine sent tokens from {start} on after {} tokens",
                        content.tokens.len()
                    ));
                }
                content.segments.push(version, tokens.len() as u32);
                content.tokens.extend_from_slice(&tokens);
            }
            Some(Ok(EngineLine::End { count, .. })) => {
                guard.finished = true;
                let received = content.tokens.len();
                let is_complete = count as usize == received;
                return if is_complete {
                    Ok(())
                } else {
                    Err(format!("the engine sent {count} tokens, but {received} were received"))
                };
            }
            Some(Err(error)) => return Err(error.to_string()),
            None => return Err("the stream ended without its end line".to_owned()),
        }
        if saved_at.elapsed() >= SAVE_INTERVAL {
            saved_at = Instant::now();
            store(shared, key, content);
        }
        if last_report.is_outdated(content, order.progress_every_ms) {
            last_report =
                LastReport { at: Instant::now(), segments: content.segments.as_slice().len() };
            let segments = content.segments.clone();
            send_to_owner(events, RunEvent::Progress { segments }).await?;
        }
    }
}

/// When and with how many segments a run's progress was last reported to the owner.
struct LastReport {
    at: Instant,
    segments: usize,
}

impl LastReport {
    /// Returns whether to report again: at once for a new weight version, otherwise every
    /// `interval_ms`.
    fn is_outdated(&self, content: &Content, interval_ms: u64) -> bool {
        content.segments.as_slice().len() != self.segments
            || self.at.elapsed() >= Duration::from_millis(interval_ms)
    }
}

async fn send_to_owner(events: &mpsc::Sender<RunEvent>, event: RunEvent) -> Result<(), String> {
    events.send(event).await.map_err(|_closed| "the owner disconnected".to_owned())
}

#[derive(Serialize)]
struct ScoreRequest<'a> {
    tokens: &'a [u32],
}

#[derive(Deserialize)]
struct ScoreReply {
    score: f64,
}

/// Scores a complete sample; returns the score in thousandths.
///
/// A scoring call that did not run or that may be repeated is retried a limited number of times. A
/// call that may have run and may not be repeated is not sent again for the same tokens. Instead
/// the run fails, and a new attempt generates new tokens, which are scored by a call of their own.
async fn score(
    shared: &Arc<Shared>,
    job: &RunJob,
    content: &Content,
    events: &mpsc::Sender<RunEvent>,
) -> Result<i64, RunEvent> {
    let failed = || RunEvent::Failed { engine_at_fault: false, partial_kept: false };
    let body = serde_json::to_vec(&ScoreRequest { tokens: &content.tokens });
    let body = Bytes::from(body.map_err(|_unserializable| failed())?);
    for _ in 0..SCORE_ATTEMPTS_MAX {
        let request = CallRequest::scoring(&job.scorer, body.clone());
        match call_service(shared, request).await {
            Ok(answer) if answer.status == 200 => {
                let read = answer.into_bytes().await.ok();
                let reply: Option<ScoreReply> =
                    read.and_then(|bytes| serde_json::from_slice(&bytes).ok());
                if let Some(reply) = reply {
                    return Ok((reply.score * 1_000.0).round() as i64);
                }
                log::warn!("the score of run {} cannot be parsed", job.request_id());
                return Err(failed());
            }
            Ok(answer) => {
                log::warn!(
                    "the scorer answered with status {} for run {}",
                    answer.status,
                    job.request_id()
                );
            }
            Err(refusal) if refusal.verdict == Verdict::NotRun => {}
            Err(_) if is_idempotent(shared, &job.scorer) => {}
            Err(refusal) => {
                log::warn!(
                    "it is unknown whether run {} was scored: {}",
                    job.request_id(),
                    refusal.message
                );
                return Err(failed());
            }
        }
        send_to_owner(events, RunEvent::Alive).await.map_err(|_gone| failed())?;
        tokio::time::sleep(SCORE_RETRY_DELAY).await;
    }
    Err(failed())
}

fn is_idempotent(shared: &Shared, scorer: &Name) -> bool {
    let snapshot = shared.snapshot();
    let service = snapshot.document().and_then(|document| document.service(scorer.as_str()));
    service.and_then(|service| service.call("/score")).is_some_and(|call| call.idempotent)
}
