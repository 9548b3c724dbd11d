//! Running one sample: stream, score, copy.
//!
//! The runner is the node that holds the tokens. It tells the owner what it needs to decide: the
//! versions of the tokens so far, and the end. Tokens of a run that breaks stay here, so that the
//! next attempt can go on from them.

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

/// Time between two savings of a running sample's tokens, from which a duplicate can go on.
const SAVE_EVERY: Duration = Duration::from_millis(250);
/// How long a runner may stay silent towards the owner.
const ALIVE_EVERY: Duration = Duration::from_secs(1);
/// Pause between two tries at the scoring service.
const SCORE_RETRY: Duration = Duration::from_millis(300);
/// Most tries at the scoring service before the run is given back.
const SCORE_TRIES: u32 = 20;
/// The priority of samples at an engine; application requests are above it.
const ROLLOUT_PRIORITY: u8 = 10;

/// A run with all that its runner must know.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct RunJob {
    pub model: Name,
    pub order: RunOrder,
    pub scorer: Name,
    pub trainer: Name,
}

/// What a runner tells the owner.
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

/// Starts a run at its runner and passes what it reports to the control thread.
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
                    log::info!("the run of {sample} at {address} broke: {error}");
                }
            }
            None => {}
        }
    };
    let report_event =
        |event| shared.send_input(Input::Rollout { event, trainer: trainer.clone() });
    let pass_on = async {
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
    let ((), ended) = tokio::join!(run, pass_on);
    if !ended {
        // The runner is gone, and its tokens with it.
        report_event(Event::RunFailed {
            attempt,
            engine_at_fault: false,
            partial_kept: false,
            sample,
        });
    }
}

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

/// Cancels the request at the engine when the run is dropped in the middle.
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
                log::debug!("'{request_id}' could not be cancelled: {error}");
            }
        });
    }
}

/// Runs a sample here. Dropping the future cancels it.
pub(crate) async fn run_job(shared: Arc<Shared>, job: RunJob, events: mpsc::Sender<RunEvent>) {
    let last = match run_to_end(&shared, &job, &events).await {
        Ok(finished) => RunEvent::Safe { finished },
        Err(failed) => failed,
    };
    if events.send(last).await.is_err() {
        log::debug!("the owner of {} hung up before its end", job.request_id());
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
        log::info!("the stream of {} broke: {message}", job.request_id());
        let partial_kept = !content.tokens.is_empty();
        store(shared, &key, &content);
        return Err(RunEvent::Failed { engine_at_fault: true, partial_kept });
    }
    let whole = RunEvent::Complete { segments: content.segments.clone() };
    let gone = |_closed| RunEvent::Failed { engine_at_fault: false, partial_kept: false };
    events.send(whole).await.map_err(gone)?;
    content.score_millis = Some(score(shared, job, &content, events).await?);
    if !store(shared, &key, &content) {
        log::warn!("no room to hold {}; the sample is given back", job.request_id());
        return Err(RunEvent::Failed { engine_at_fault: false, partial_kept: false });
    }
    let mut holders = vec![shared.me().clone()];
    holders.extend(copy_to_another_node(shared, &key, &[]).await);
    let score_millis = content.score_millis.unwrap_or_default();
    Ok(Finished { holders, score_millis, segments: content.segments })
}

fn store(shared: &Shared, key: &ContentKey, content: &Content) -> bool {
    let mut holdings = lock(&shared.holdings);
    let stored = holdings.store(shared.now(), key.clone(), content.clone());
    shared.metrics.holdings_bytes.set(holdings.held_bytes() as i64);
    stored
}

/// Begins with the tokens of the attempt that this one goes on from.
fn start_content(shared: &Shared, job: &RunJob) -> Content {
    let Some(resumed) = job.order.resume else { return Content::default() };
    let mut holdings = lock(&shared.holdings);
    let held = holdings.get(shared.now(), &job.key(resumed)).cloned();
    held.map_or_else(Content::default, |held| Content { score_millis: None, ..held })
}

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
    let mut told = Told { at: Instant::now(), segments: content.segments.as_slice().len() };
    let mut saved_at = Instant::now();
    loop {
        let line = match tokio::time::timeout(ALIVE_EVERY, lines.next()).await {
            Ok(line) => line,
            Err(_elapsed) => {
                tell_owner(events, RunEvent::Alive).await?;
                continue;
            }
        };
        match line {
            Some(Ok(EngineLine::Chunk { start, tokens, version, .. })) => {
                if start as usize != content.tokens.len() {
                    return Err(format!("tokens from {start} after {}", content.tokens.len()));
                }
                content.segments.push(version, tokens.len() as u32);
                content.tokens.extend_from_slice(&tokens);
            }
            Some(Ok(EngineLine::End { count, .. })) => {
                guard.finished = true;
                let held = content.tokens.len();
                let whole = count as usize == held;
                return if whole { Ok(()) } else { Err(format!("{count} announced, {held} held")) };
            }
            Some(Err(error)) => return Err(error.to_string()),
            None => return Err("the stream ended without its end line".to_owned()),
        }
        if saved_at.elapsed() >= SAVE_EVERY {
            saved_at = Instant::now();
            store(shared, key, content);
        }
        if told.is_old(content, order.progress_every_ms) {
            told = Told { at: Instant::now(), segments: content.segments.as_slice().len() };
            let segments = content.segments.clone();
            tell_owner(events, RunEvent::Progress { segments }).await?;
        }
    }
}

/// What the owner was last told of a run.
struct Told {
    at: Instant,
    segments: usize,
}

impl Told {
    /// A new version is told at once, the number of tokens only now and then.
    fn is_old(&self, content: &Content, every_ms: u64) -> bool {
        content.segments.as_slice().len() != self.segments
            || self.at.elapsed() >= Duration::from_millis(every_ms)
    }
}

async fn tell_owner(events: &mpsc::Sender<RunEvent>, event: RunEvent) -> Result<(), String> {
    events.send(event).await.map_err(|_closed| "the owner hung up".to_owned())
}

#[derive(Serialize)]
struct ScoreRequest<'a> {
    tokens: &'a [u32],
}

#[derive(Deserialize)]
struct ScoreReply {
    score: f64,
}

/// Scores a whole sample.
///
/// A scoring call that did not run, or that may be repeated, is tried again for a while. One that
/// may have run and may not be repeated is never sent again for the same tokens: the sample is
/// given back, and a new attempt makes new tokens with a call of their own.
async fn score(
    shared: &Arc<Shared>,
    job: &RunJob,
    content: &Content,
    events: &mpsc::Sender<RunEvent>,
) -> Result<i64, RunEvent> {
    let give_back = || RunEvent::Failed { engine_at_fault: false, partial_kept: false };
    let body = serde_json::to_vec(&ScoreRequest { tokens: &content.tokens });
    let body = Bytes::from(body.map_err(|_unwritable| give_back())?);
    for _ in 0..SCORE_TRIES {
        let request = CallRequest::scoring(&job.scorer, body.clone());
        match call_service(shared, request).await {
            Ok(answer) if answer.status == 200 => {
                let read = answer.into_bytes().await.ok();
                let reply: Option<ScoreReply> =
                    read.and_then(|bytes| serde_json::from_slice(&bytes).ok());
                if let Some(reply) = reply {
                    return Ok((reply.score * 1_000.0).round() as i64);
                }
                log::warn!("the score of {} cannot be read", job.request_id());
                return Err(give_back());
            }
            Ok(answer) => {
                log::warn!("the scorer answered {} for {}", answer.status, job.request_id());
            }
            Err(refusal) if refusal.verdict == Verdict::NotRun => {}
            Err(_) if is_idempotent(shared, &job.scorer) => {}
            Err(refusal) => {
                log::warn!("the score of {} is unsettled: {}", job.request_id(), refusal.message);
                return Err(give_back());
            }
        }
        tell_owner(events, RunEvent::Alive).await.map_err(|_gone| give_back())?;
        tokio::time::sleep(SCORE_RETRY).await;
    }
    Err(give_back())
}

fn is_idempotent(shared: &Shared, scorer: &Name) -> bool {
    let snapshot = shared.snapshot();
    let service = snapshot.document().and_then(|document| document.service(scorer.as_str()));
    service.and_then(|service| service.call("/score")).is_some_and(|call| call.idempotent)
}
