//! The protocol of model engines: token streams, orders and load reports.
//!
//! Tokens arrive as lines of JSON in one HTTP response. The last line of a complete answer is
//! [`EngineLine::End`], with the token count; a stream that ends without it was cut off.

use bytes::{Bytes, BytesMut};
use catkinmast_client::{Client, ClientError, ClientSettings, RequestBody};
use catkinmast_model::{Fence, UnixMs, Verdict, Version};
use displaydoc::Display;
use futures::{Stream, StreamExt};
use http::header::CONTENT_TYPE;
use http::{Request, StatusCode};
use http_body_util::BodyDataStream;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum length of a line from an engine.
const LINE_MAX_BYTES: usize = 256 * 1024;
/// Maximum time without data from an engine during a stream.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of an order, a cancellation or a load report.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A request to an engine to generate tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateRequest {
    /// Maximum number of tokens, including those already received.
    pub max_tokens: u32,
    /// Name of the model.
    pub model: String,
    /// Priority; requests with a higher one enter the engine's batch first.
    pub priority: u8,
    /// The prompt.
    pub prompt: String,
    /// Identifier of this attempt at the request, which every line of the answer repeats.
    pub request_id: String,
    /// Number of tokens already received; the engine continues after them.
    pub resume_from: u32,
    /// The sampling seed.
    pub seed: u64,
}

/// A line of an engine's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum EngineLine {
    /// Some tokens.
    Chunk {
        /// Identifier of the attempt.
        request_id: String,
        /// Index of the first token.
        start: u32,
        /// The tokens.
        tokens: Vec<u32>,
        /// Weight version that generated them.
        version: Version,
    },
    /// The end of a complete answer.
    End {
        /// Number of tokens in the answer, including those already received.
        count: u32,
        /// Identifier of the attempt.
        request_id: String,
    },
}

/// An engine's report of its load, which lags.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Time to which the report applies.
    pub as_of_unix_ms: UnixMs,
    /// Number of sequences waiting.
    pub queued: usize,
    /// Number of sequences in the batch.
    pub running: usize,
    /// Weight version served for each model.
    pub versions: IndexMap<String, Version>,
}

/// An order to load a version of a model's weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightOrder {
    /// The sender's fencing number.
    pub fence: Fence,
    /// Name of the model.
    pub model: String,
    /// The version to load.
    pub version: Version,
}

/// The error of a call to an engine.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EngineError {
    /// the engine refused an order with an old fencing number
    Fenced,
    /// the engine's stream broke ({verdict}): {message}
    Broken {
        /// Description of the failure.
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

/// A client of model engines, which are identified by their addresses.
pub trait Engines: Clone + Send + Sync + 'static {
    /// Starts a token stream.
    ///
    /// # Errors
    /// Fails if the engine refuses the request or cannot be reached. Each line can fail as well.
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

    /// Cancels a request. This has no effect if the engine no longer knows it.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached.
    fn cancel(
        &self,
        engine: SocketAddr,
        request_id: &str,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Orders an engine to load a version of a model's weights. The load report shows when it is
    /// loaded.
    ///
    /// # Errors
    /// Returns [`EngineError::Fenced`] if the engine has seen a higher fencing number.
    fn order(
        &self,
        engine: SocketAddr,
        order: &WeightOrder,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Reads the engine's load report, which lags.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached.
    fn load(
        &self,
        engine: SocketAddr,
    ) -> impl Future<Output = Result<LoadReport, EngineError>> + Send;
}

/// A client of engines over HTTP, with lines of JSON.
#[derive(Clone, Debug)]
pub struct HttpEngines {
    client: Client,
}

impl HttpEngines {
    /// Creates a client. Nothing is sent yet.
    pub fn open() -> Self {
        let settings = ClientSettings { connect_timeout_ms: 1_000, reuses_connections: true };
        Self { client: Client::open(&settings) }
    }

    async fn post(
        &self,
        engine: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<StatusCode, EngineError> {
        let request = post_request(engine, path, body)?;
        let deadline = Instant::now() + CONTROL_TIMEOUT;
        let response = self.client.send(request, deadline).await.map_err(|error| broken(&error))?;
        let status = response.status();
        // Read to its end, so that the connection can be used again.
        response.into_body().bytes().await.map_err(|error| broken(&error))?;
        Ok(status)
    }
}

fn post_request(
    engine: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<Request<RequestBody>, EngineError> {
    let invalid = |message: String| EngineError::broken(Verdict::NotRun, message);
    let body = serde_json::to_vec(body).map_err(|error| invalid(error.to_string()))?;
    Request::post(format!("http://{engine}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .body(RequestBody::from(Bytes::from(body)))
        .map_err(|error| invalid(error.to_string()))
}

fn broken(error: &ClientError) -> EngineError {
    let verdict = if error.is_connect { Verdict::NotRun } else { Verdict::MayHaveRun };
    EngineError::broken(verdict, error.message.clone())
}

/// A request to cancel another request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelRequest {
    /// Identifier of the attempt to cancel.
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
        let sent = self.client.open_stream(post_request(engine, "/generate", request)?);
        let response = tokio::time::timeout(STREAM_IDLE_TIMEOUT, sent)
            .await
            .map_err(|_elapsed| EngineError::broken(Verdict::MayHaveRun, "no answer in time"))?
            .map_err(|error| broken(&error))?;
        if !response.status().is_success() {
            let message = format!("status {}", response.status());
            return Err(EngineError::broken(Verdict::NotRun, message));
        }
        let request_id = request.request_id.clone();
        Ok(Box::pin(
            lines(BodyDataStream::new(response.into_body()))
                .map(move |line| check_request_id(line, &request_id)),
        ))
    }

    async fn cancel(&self, engine: SocketAddr, request_id: &str) -> Result<(), EngineError> {
        let body = CancelRequest { request_id: request_id.to_owned() };
        self.post(engine, "/cancel", &body).await.map(|_| ())
    }

    async fn order(&self, engine: SocketAddr, order: &WeightOrder) -> Result<(), EngineError> {
        match self.post(engine, "/order", order).await? {
            StatusCode::CONFLICT => Err(EngineError::Fenced),
            status if status.is_success() => Ok(()),
            status => Err(EngineError::broken(Verdict::MayHaveRun, format!("status {status}"))),
        }
    }

    async fn load(&self, engine: SocketAddr) -> Result<LoadReport, EngineError> {
        let request = Request::get(format!("http://{engine}/load"))
            .body(RequestBody::from(Bytes::new()))
            .map_err(|error| EngineError::broken(Verdict::NotRun, error.to_string()))?;
        let deadline = Instant::now() + CONTROL_TIMEOUT;
        let response = self.client.send(request, deadline).await.map_err(|error| broken(&error))?;
        if !response.status().is_success() {
            let message = format!("status {}", response.status());
            return Err(EngineError::broken(Verdict::MayHaveRun, message));
        }
        let body = response.into_body().bytes().await.map_err(|error| broken(&error))?;
        serde_json::from_slice(&body).map_err(|error| {
            EngineError::broken(Verdict::MayHaveRun, format!("unreadable report: {error}"))
        })
    }
}

/// Refuses a line that answers another request, so that a late answer never reaches the wrong
/// caller.
fn check_request_id(
    line: Result<EngineLine, EngineError>,
    request_id: &str,
) -> Result<EngineLine, EngineError> {
    match &line {
        Ok(
            EngineLine::Chunk { request_id: other, .. } | EngineLine::End { request_id: other, .. },
        ) if other != request_id => {
            let message = format!("a line for '{other}' came in answer to '{request_id}'");
            Err(EngineError::broken(Verdict::MayHaveRun, message))
        }
        _ => line,
    }
}

/// Splits a stream of bytes into lines. If the stream ends within a line, that part is dropped
/// without an error. A stream without data for [`STREAM_IDLE_TIMEOUT`], a line that is too long and
/// one that cannot be parsed are errors.
fn lines(
    bytes: impl Stream<Item = Result<Bytes, ClientError>> + Send,
) -> impl Stream<Item = Result<EngineLine, EngineError>> + Send {
    let start = (Box::pin(bytes), BytesMut::new(), false);
    futures::stream::unfold(start, |(mut bytes, mut buffer, failed)| async move {
        if failed {
            return None;
        }
        loop {
            if let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end + 1);
                let parsed = parse_line(&line);
                let failed = parsed.is_err();
                return Some((parsed, (bytes, buffer, failed)));
            }
            if buffer.len() > LINE_MAX_BYTES {
                let error = EngineError::broken(Verdict::MayHaveRun, "a line is too long");
                return Some((Err(error), (bytes, buffer, true)));
            }
            match tokio::time::timeout(STREAM_IDLE_TIMEOUT, bytes.next()).await {
                Ok(Some(Ok(more))) => buffer.extend_from_slice(&more),
                Ok(Some(Err(error))) => return Some((Err(broken(&error)), (bytes, buffer, true))),
                Ok(None) => return None,
                Err(_elapsed) => {
                    let error = EngineError::broken(Verdict::MayHaveRun, "the stream fell silent");
                    return Some((Err(error), (bytes, buffer, true)));
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
