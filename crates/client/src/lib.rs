//! An HTTP client whose requests never arrive after they were given up.
//!
//! The kernel goes on sending what a closed connection still holds. Where a link was cut, a request
//! whose deadline has passed would reach its target seconds later. The connections of this client
//! are reset when they end, also by the end of the process, which discards these bytes. A request
//! ends when its answer was read completely, or when its future or its answer's body is dropped.

mod body;
mod connector;

pub use body::{AnswerBody, RequestBody};

use connector::ResettingConnector;
use displaydoc::Display;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as PooledClient;
use hyper_util::rt::TokioExecutor;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// the request failed: {message}
#[derive(Clone, Debug, Display)]
pub struct ClientError {
    /// Whether no connection could be opened, so that nothing was sent.
    pub is_connect: bool,
    /// The error as observed.
    pub message: String,
}

impl std::error::Error for ClientError {}

impl ClientError {
    fn after_sending(message: impl Into<String>) -> Self {
        Self { is_connect: false, message: message.into() }
    }

    fn out_of_time() -> Self {
        Self::after_sending("no complete answer by the deadline")
    }
}

/// Settings of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// How long a connection may take to open.
    pub connect_timeout_ms: u64,
    /// Whether connections carry several requests. A connection that was used before can break while
    /// a request is written, which leaves it unknown whether the target has read it.
    pub reuses_connections: bool,
}

/// A client for HTTP/1.1. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    connections: PooledClient<ResettingConnector, RequestBody>,
}

impl Client {
    /// Creates a client. Nothing is sent yet.
    pub fn open(settings: &ClientSettings) -> Self {
        let connector = ResettingConnector::new(Duration::from_millis(settings.connect_timeout_ms));
        let mut builder = PooledClient::builder(TokioExecutor::new());
        if !settings.reuses_connections {
            builder.pool_max_idle_per_host(0).retry_canceled_requests(false);
        }
        Self { connections: builder.build(connector) }
    }

    /// Sends a request and returns the head of its answer. The answer's body ends with an error at
    /// the deadline.
    ///
    /// # Errors
    /// Fails if no connection can be opened, if it breaks, or at the deadline.
    pub async fn send(
        &self,
        request: Request<RequestBody>,
        deadline: Instant,
    ) -> Result<Response<AnswerBody>, ClientError> {
        let answered = timeout_at(deadline, self.head(request)).await;
        let response = answered.map_err(|_elapsed| ClientError::out_of_time())??;
        Ok(response.map(|body| AnswerBody::new(body, Some(deadline))))
    }

    /// Like [`Self::send`], without a deadline.
    ///
    /// # Errors
    /// Fails if no connection can be opened, or if it breaks.
    pub async fn open_stream(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<AnswerBody>, ClientError> {
        let response = self.head(request).await?;
        Ok(response.map(|body| AnswerBody::new(body, None)))
    }

    async fn head(&self, request: Request<RequestBody>) -> Result<Response<Incoming>, ClientError> {
        self.connections.request(request).await.map_err(|error| ClientError {
            is_connect: error.is_connect(),
            message: with_sources(&error),
        })
    }
}

/// Returns the message of an error with those of its causes.
fn with_sources(error: &(impl std::error::Error + ?Sized)) -> String {
    let mut message = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        message.push_str(": ");
        message.push_str(&cause.to_string());
        source = cause.source();
    }
    message
}
