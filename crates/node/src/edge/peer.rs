//! Requests between nodes, sent over TCP as `postcard` frames.
//!
//! Each request has a connection of its own: there are few requests, and a broken connection shows
//! at once that the runner or the owner is gone. The reply to a run is a stream of frames that ends
//! with the run.

use crate::control::Input;
use crate::edge::holdings::{Content, ContentKey};
use crate::edge::runner::{RunEvent, RunJob, run_job};
use crate::shared::{InProgress, Shared, lock};
use catkinmast_model::{Name, Refusal, SampleId};
use catkinmast_rollout::{Attempt, Command, HoldingReport, Reply};
use catkinmast_wire::{
    FrameError, LENGTH_BYTES, STREAM_FRAME_MAX_BYTES, SharedKey, length_prefix, open,
    parse_length_prefix, seal,
};
use displaydoc::Display;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Time limit for establishing a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for a peer to send its request after connecting.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for a peer's reply to a request other than a run or a trainer's command.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for a trainer's command; a fetch waits for up to half of it.
pub(crate) const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a runner may send nothing; it sends a heartbeat at least every second.
const RUN_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of a run's events that are buffered for a slow owner.
const RUN_EVENTS_BUFFERED: usize = 64;

/// A request from one node to another. The order of variants and fields is the wire format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerRequest {
    Config { digest: String },
    ContentLost { attempt: Attempt, sample: SampleId, trainer: Name },
    CopyTo { avoid: Vec<Name>, key: ContentKey },
    Drain,
    Fetch { key: ContentKey },
    Forget { keys: Vec<ContentKey> },
    Holdings { trainer: Name },
    InForce,
    Run(Box<RunJob>),
    Store { content: Content, key: ContentKey },
    Trainer { command: Command, trainer: Name },
}

/// The reply to a [`PeerRequest`]. The order of variants and fields is the wire format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerReply {
    Config(Option<String>),
    Content(Option<Content>),
    Copied(Option<Name>),
    Done,
    Holdings(Vec<HoldingReport>),
    InForce(Option<(u64, String)>),
    Run(RunEvent),
    Stored(bool),
    Trainer(Reply),
}

/// Why a call to a peer failed.
#[derive(Debug, Display)]
pub(crate) enum PeerError {
    /// cannot connect to the peer: {0}
    Unreachable(std::io::Error),
    /// the connection to the peer broke: {0}
    Broken(std::io::Error),
    /// the call to the peer timed out
    TimedOut,
    /// the peer sent an invalid frame: {0}
    Frame(FrameError),
    /// the peer's reply does not match the request
    Unexpected,
}

impl std::error::Error for PeerError {}

/// Seals a message and writes it with its length prefix.
pub(crate) async fn write_frame(
    stream: &mut TcpStream,
    key: &SharedKey,
    message: &impl Serialize,
) -> Result<(), PeerError> {
    let frame = seal(key, message, STREAM_FRAME_MAX_BYTES).map_err(PeerError::Frame)?;
    let mut bytes = length_prefix(&frame).to_vec();
    bytes.extend_from_slice(&frame);
    stream.write_all(&bytes).await.map_err(PeerError::Broken)
}

/// Reads and opens one frame.
pub(crate) async fn read_frame<M: DeserializeOwned>(
    stream: &mut TcpStream,
    key: &SharedKey,
    timeout: Duration,
) -> Result<M, PeerError> {
    let read = async {
        let mut prefix = [0; LENGTH_BYTES];
        stream.read_exact(&mut prefix).await.map_err(PeerError::Broken)?;
        let length = parse_length_prefix(prefix).map_err(PeerError::Frame)?;
        // Memory grows with the bytes received, not with the announced length.
        let mut frame = Vec::new();
        let mut limited = stream.take(length as u64);
        limited.read_to_end(&mut frame).await.map_err(PeerError::Broken)?;
        if frame.len() < length {
            return Err(PeerError::Broken(std::io::ErrorKind::UnexpectedEof.into()));
        }
        open(key, &frame, STREAM_FRAME_MAX_BYTES).map_err(PeerError::Frame)
    };
    tokio::time::timeout(timeout, read).await.map_err(|_elapsed| PeerError::TimedOut)?
}

/// Connects to a peer and sends the request.
async fn connect(
    shared: &Shared,
    to: SocketAddr,
    request: &PeerRequest,
) -> Result<TcpStream, PeerError> {
    let connecting = TcpStream::connect(to);
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_elapsed| PeerError::TimedOut)?
        .map_err(PeerError::Unreachable)?;
    // A request that is given up is reset, so that bytes that the network holds never arrive.
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
    if let Err(error) = configured {
        log::debug!("cannot set the options of the connection to {to}: {error}");
    }
    write_frame(&mut stream, &shared.settings.shared_key, request).await?;
    Ok(stream)
}

/// Sends a request to a peer and returns its reply.
pub(crate) async fn call_peer(
    shared: &Shared,
    to: SocketAddr,
    request: &PeerRequest,
) -> Result<PeerReply, PeerError> {
    let timeout = match request {
        PeerRequest::Trainer { .. } => COMMAND_TIMEOUT,
        _ => REPLY_TIMEOUT,
    };
    let mut stream = connect(shared, to, request).await?;
    read_frame(&mut stream, &shared.settings.shared_key, timeout).await
}

/// Runs a sample on a peer, and forwards the run's events until it ends.
pub(crate) async fn run_remotely(
    shared: &Shared,
    to: SocketAddr,
    job: RunJob,
    events: &mpsc::Sender<RunEvent>,
) -> Result<(), PeerError> {
    let request = PeerRequest::Run(Box::new(job));
    let mut stream = connect(shared, to, &request).await?;
    loop {
        let key = &shared.settings.shared_key;
        match read_frame(&mut stream, key, RUN_IDLE_TIMEOUT).await? {
            PeerReply::Run(event) => {
                let ends = event.ends_run();
                if events.send(event).await.is_err() || ends {
                    return Ok(());
                }
            }
            _ => return Err(PeerError::Unexpected),
        }
    }
}

/// Serves requests of other nodes until the task is aborted.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    if let Err(error) = serve_one(&shared, stream).await {
                        if matches!(error, PeerError::Frame(_)) {
                            shared.metrics.frames_refused.inc();
                        }
                        log::debug!("a request from node address {from} failed: {error}");
                    }
                });
            }
            Err(error) => {
                // Most likely out of file descriptors: wait for some to be closed.
                log::warn!("cannot accept a connection from a node: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_one(shared: &Arc<Shared>, mut stream: TcpStream) -> Result<(), PeerError> {
    let key = shared.settings.shared_key.clone();
    let request = read_frame(&mut stream, &key, REQUEST_TIMEOUT).await?;
    if let PeerRequest::Run(job) = request {
        return serve_run(shared, stream, *job).await;
    }
    let reply = answer(shared, request).await;
    write_frame(&mut stream, &key, &reply).await
}

/// Runs a sample for its owner. If the owner disconnects, the run is dropped and thereby cancelled.
async fn serve_run(
    shared: &Arc<Shared>,
    mut stream: TcpStream,
    job: RunJob,
) -> Result<(), PeerError> {
    let _in_progress = InProgress::begin(Arc::clone(shared));
    let (sender, mut events) = mpsc::channel(RUN_EVENTS_BUFFERED);
    let run = run_job(Arc::clone(shared), job, sender);
    tokio::pin!(run);
    let mut ended = false;
    let mut byte = [0; 1];
    loop {
        tokio::select! {
            () = &mut run, if !ended => ended = true,
            event = events.recv() => match event {
                Some(event) => {
                    let reply = PeerReply::Run(event);
                    write_frame(&mut stream, &shared.settings.shared_key, &reply).await?;
                }
                None => return Ok(()),
            },
            read = stream.read(&mut byte) => {
                // The owner sends nothing after its request, so it has closed the connection.
                let reason = read.err().unwrap_or_else(|| std::io::ErrorKind::UnexpectedEof.into());
                return Err(PeerError::Broken(reason));
            }
        }
    }
}

async fn answer(shared: &Arc<Shared>, request: PeerRequest) -> PeerReply {
    let now = shared.now();
    match request {
        PeerRequest::Config { digest } => {
            let snapshot = shared.snapshot();
            let found = snapshot.config.as_ref().filter(|in_force| {
                catkinmast_config::Digest::of(&in_force.text).to_string() == digest
            });
            PeerReply::Config(found.map(|in_force| in_force.text.clone()))
        }
        PeerRequest::ContentLost { attempt, sample, trainer } => {
            shared.send_input(Input::Rollout {
                event: catkinmast_rollout::Event::ContentLost { attempt, sample },
                trainer,
            });
            PeerReply::Done
        }
        PeerRequest::CopyTo { avoid, key } => PeerReply::Copied(
            crate::edge::content::copy_to_another_node(shared, &key, &avoid).await,
        ),
        PeerRequest::Drain => {
            shared.drain_requested.notify_one();
            PeerReply::Done
        }
        PeerRequest::Fetch { key } => {
            PeerReply::Content(lock(&shared.holdings).get(now, &key).cloned())
        }
        PeerRequest::Forget { keys } => {
            let mut holdings = lock(&shared.holdings);
            for key in &keys {
                holdings.remove(key);
            }
            PeerReply::Done
        }
        PeerRequest::Holdings { trainer } => {
            PeerReply::Holdings(lock(&shared.holdings).report(&trainer, shared.me()))
        }
        PeerRequest::InForce => {
            let snapshot = shared.snapshot();
            let in_force = snapshot.config.as_ref();
            PeerReply::InForce(in_force.map(|config| {
                (config.revision.0, catkinmast_config::Digest::of(&config.text).to_string())
            }))
        }
        PeerRequest::Store { content, key } => {
            PeerReply::Stored(lock(&shared.holdings).store(now, key, content))
        }
        PeerRequest::Trainer { command, trainer } => {
            PeerReply::Trainer(handle_command_locally(shared, trainer, command).await)
        }
        PeerRequest::Run(_) => PeerReply::Done,
    }
}

/// Passes a trainer's command to this node's control thread, and returns the reply.
pub(crate) async fn handle_command_locally(
    shared: &Shared,
    trainer: Name,
    command: Command,
) -> Reply {
    let (reply, answered) = oneshot::channel();
    shared.send_input(Input::Command { command, reply, trainer });
    match tokio::time::timeout(COMMAND_TIMEOUT, answered).await {
        Ok(Ok(reply)) => reply,
        _ => Reply::Refused(Refusal::may_have_run("the command was not answered in time")),
    }
}

/// Sends a trainer's command to the node that owns the trainer's steps, and returns the reply.
pub(crate) async fn forward_command_to_owner(
    shared: &Shared,
    trainer: &Name,
    command: Command,
) -> Reply {
    let snapshot = shared.snapshot();
    let retry_at = shared.now().plus(300);
    let Some(owner) = snapshot.owners.get(trainer) else {
        let refusal = Refusal::not_run("no node owns the trainer's steps yet");
        return Reply::Refused(refusal.retry_at(retry_at));
    };
    if owner.node == *shared.me() && owner.incarnation == shared.incarnation {
        return handle_command_locally(shared, trainer.clone(), command).await;
    }
    let Some(node) = snapshot.node(&owner.node) else {
        let refusal = Refusal::not_run("the node that owned the trainer's steps is gone");
        return Reply::Refused(refusal.retry_at(retry_at));
    };
    let request = PeerRequest::Trainer { command, trainer: trainer.clone() };
    match call_peer(shared, node.control, &request).await {
        Ok(PeerReply::Trainer(reply)) => reply,
        Err(PeerError::Unreachable(error)) => {
            let message = format!("node {} owns the trainer's steps: {error}", owner.node);
            Reply::Refused(Refusal::not_run(message).retry_at(retry_at))
        }
        Ok(_) | Err(_) => {
            // Every command is idempotent, so the trainer may retry.
            let message = format!("node {}, which owns the trainer's steps, broke off", owner.node);
            Reply::Refused(Refusal::may_have_run(message).retry_at(retry_at))
        }
    }
}
