//! The model engines' protocol: streams of tokens, orders, and load reports.
//!
//! Tokens come as lines of JSON over one HTTP answer. The last line counts the tokens, so a stream
//! that was cut never passes for a whole one.

use crate::StoreError;
use bytes::BytesMut;
use catkinmast_model::{Fence, UnixMs, Verdict, Version};
use displaydoc::Display;
use futures::{Stream, StreamExt};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The longest line accepted from an engine, in bytes.
const LINE_MAX_BYTES: usize = 256 * 1024;
/// How long an engine may be silent in the middle of a stream.
const SILENCE_MAX: Duration = Duration::from_secs(10);
/// How long an order, a cancellation or a load report may take.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What is asked of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateRequest {
    /// Most tokens to produce, those already held included.
    pub max_tokens: u32,
    /// The model.
    pub model: String,
    /// Higher ones enter the engine's batch first.
    pub priority: u8,
    /// The prompt.
    pub prompt: String,
    /// Our name for this attempt; every line of the answer repeats it.
    pub request_id: String,
    /// How many tokens we already hold; the engine goes on after them.
    pub resume_from: u32,
    /// The sampling seed.
    pub seed: u64,
}

/// One line of an engine's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum EngineLine {
    /// Some tokens.
    Chunk {
        /// The request that they answer.
        request_id: String,
        /// Index of the first of them.
        start: u32,
        /// The tokens.
        tokens: Vec<u32>,
        /// The version that produced them.
        version: Version,
    },
    /// The end of a whole answer.
    End {
        /// How many tokens the answer has, those already held included.
        count: u32,
        /// The request that it answers.
        request_id: String,
    },
}

/// What an engine reports of itself, with a lag.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// When this was true.
    pub as_of_unix_ms: UnixMs,
    /// Sequences that wait.
    pub queued: usize,
    /// Sequences in the batch.
    pub running: usize,
    /// The version served for each model.
    pub versions: IndexMap<String, Version>,
}

/// An order to load a version of a model's weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightOrder {
    /// The sender's fencing number.
    pub fence: Fence,
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: Version,
}

/// Why an engine did not do what it was asked.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EngineError {
    /// the engine refused an order with an old fencing number
    Fenced,
    /// the engine's stream broke ({verdict}): {message}
    Broken {
        /// What was seen.
        message: String,
        /// Whether tokens may have been produced.
        verdict: Verdict,
    },
}

impl std::error::Error for EngineError {}

impl EngineError {
    fn broken(verdict: Verdict, message: impl Into<String>) -> Self {
        Self::Broken { message: message.into(), verdict }
    }
}

/// Model engines, reached by their addresses.
pub trait Engines: Clone + Send + Sync + 'static {
    /// Starts a stream of tokens.
    ///
    /// # Errors
    /// When the engine refuses or cannot be reached; each line can fail as well.
    fn generate(
        &self,
        engine: SocketAddr,
        request: &GenerateRequest,
    ) -> impl Future<
        Output = Result<
            impl Stream<Item = Result<EngineLine, EngineError>> + Send + Unpin + use<Self>,
            EngineError,
        >,
    > + Send;

    /// Cancels a request; an engine that no longer knows it does nothing.
    ///
    /// # Errors
    /// When the engine cannot be reached.
    fn cancel(
        &self,
        engine: SocketAddr,
        request_id: &str,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Orders a version of a model's weights; the load report shows when it is there.
    ///
    /// # Errors
    /// [`EngineError::Fenced`] when the engine has seen a higher fencing number.
    fn order(
        &self,
        engine: SocketAddr,
        order: &WeightOrder,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Reads the engine's lagging report.
    ///
    /// # Errors
    /// When the engine cannot be reached.
    fn load(
        &self,
        engine: SocketAddr,
    ) -> impl Future<Output = Result<LoadReport, EngineError>> + Send;
}

/// Engines over HTTP and lines of JSON.
#[derive(Clone, Debug)]
pub struct HttpEngines {
    client: reqwest::Client,
}

impl HttpEngines {
    /// Makes a client; nothing is sent yet.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn open() -> Result<Self, StoreError> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(Duration::from_secs(1))
            .build()
            .map_err(|error| StoreError::Unavailable {
                message: error.to_string(),
                verdict: Verdict::NotRun,
            })?;
        Ok(Self { client })
    }

    async fn post(
        &self,
        engine: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<reqwest::StatusCode, EngineError> {
        let url = format!("http://{engine}{path}");
        let sent = self.client.post(url).json(body).timeout(CONTROL_TIMEOUT).send().await;
        sent.map(|response| response.status()).map_err(|error| broken(&error))
    }
}

fn broken(error: &reqwest::Error) -> EngineError {
    let verdict = if error.is_connect() { Verdict::NotRun } else { Verdict::MayHaveRun };
    EngineError::broken(verdict, error.to_string())
}

/// Names a request to cancel.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelRequest {
    /// The request.
    pub request_id: String,
}

impl Engines for HttpEngines {
    async fn generate(
        &self,
        engine: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<
        impl Stream<Item = Result<EngineLine, EngineError>> + Send + Unpin + use<>,
        EngineError,
    > {
        let url = format!("http://{engine}/generate");
        let sent = self.client.post(url).json(request).send();
        let response = tokio::time::timeout(SILENCE_MAX, sent)
            .await
            .map_err(|_elapsed| EngineError::broken(Verdict::MayHaveRun, "no answer in time"))?
            .map_err(|error| broken(&error))?;
        if !response.status().is_success() {
            let message = format!("status {}", response.status());
            return Err(EngineError::broken(Verdict::NotRun, message));
        }
        let request_id = request.request_id.clone();
        Ok(Box::pin(lines(response.bytes_stream()).map(move |line| own_line(line, &request_id))))
    }

    async fn cancel(&self, engine: SocketAddr, request_id: &str) -> Result<(), EngineError> {
        let body = CancelRequest { request_id: request_id.to_owned() };
        self.post(engine, "/cancel", &body).await.map(|_| ())
    }

    async fn order(&self, engine: SocketAddr, order: &WeightOrder) -> Result<(), EngineError> {
        match self.post(engine, "/order", order).await? {
            reqwest::StatusCode::CONFLICT => Err(EngineError::Fenced),
            status if status.is_success() => Ok(()),
            status => Err(EngineError::broken(Verdict::MayHaveRun, format!("status {status}"))),
        }
    }

    async fn load(&self, engine: SocketAddr) -> Result<LoadReport, EngineError> {
        let url = format!("http://{engine}/load");
        let sent = self.client.get(url).timeout(CONTROL_TIMEOUT).send().await;
        let response = sent.and_then(reqwest::Response::error_for_status);
        let response = response.map_err(|error| broken(&error))?;
        response.json().await.map_err(|error| broken(&error))
    }
}

/// A line that answers another request is refused: late answers never reach a stranger.
fn own_line(
    line: Result<EngineLine, EngineError>,
    request_id: &str,
) -> Result<EngineLine, EngineError> {
    match &line {
        Ok(
            EngineLine::Chunk { request_id: named, .. } | EngineLine::End { request_id: named, .. },
        ) if named != request_id => {
            let message = format!("a line for '{named}' came in answer to '{request_id}'");
            Err(EngineError::broken(Verdict::MayHaveRun, message))
        }
        _ => line,
    }
}

/// Cuts a stream of bytes into lines; silence, over-long lines and garbage are errors.
fn lines(
    bytes: impl Stream<Item = Result<bytes::Bytes, reqwest::Error>> + Send,
) -> impl Stream<Item = Result<EngineLine, EngineError>> + Send {
    let start = (Box::pin(bytes), BytesMut::new(), false);
    futures::stream::unfold(start, |(mut bytes, mut held, failed)| async move {
        if failed {
            return None;
        }
        loop {
            if let Some(end) = held.iter().position(|byte| *byte == b'\n') {
                let line = held.split_to(end + 1);
                let parsed = parse_line(&line);
                let failed = parsed.is_err();
                return Some((parsed, (bytes, held, failed)));
            }
            if held.len() > LINE_MAX_BYTES {
                let error = EngineError::broken(Verdict::MayHaveRun, "a line is too long");
                return Some((Err(error), (bytes, held, true)));
            }
            match tokio::time::timeout(SILENCE_MAX, bytes.next()).await {
                Ok(Some(Ok(more))) => held.extend_from_slice(&more),
                Ok(Some(Err(error))) => return Some((Err(broken(&error)), (bytes, held, true))),
                Ok(None) => return None,
                Err(_elapsed) => {
                    let error = EngineError::broken(Verdict::MayHaveRun, "the stream fell silent");
                    return Some((Err(error), (bytes, held, true)));
                }
            }
        }
    })
}

fn parse_line(line: &[u8]) -> Result<EngineLine, EngineError> {
    serde_json::from_slice(line).map_err(|error| {
        EngineError::broken(Verdict::MayHaveRun, format!("unreadable line: {error}"))
    })
}
