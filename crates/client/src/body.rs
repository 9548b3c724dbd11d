//! The bodies of requests and answers.

use crate::ClientError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep, sleep_until};

/// A request's body.
#[derive(Debug)]
pub enum RequestBody {
    /// Complete in memory.
    Buffered(Full<Bytes>),
    /// Sent as it arrives. An error breaks the request off.
    Streamed(mpsc::Receiver<io::Result<Bytes>>),
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Buffered(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Self::Streamed(chunks) => {
                chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(full) if full.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(full) => full.size_hint(),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// An answer's body, which ends with an error at its request's deadline.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    deadline: Option<Pin<Box<Sleep>>>,
}

impl AnswerBody {
    pub(crate) fn new(body: Incoming, deadline: Option<Instant>) -> Self {
        Self { body, deadline: deadline.map(|at| Box::pin(sleep_until(at))) }
    }

    /// Returns the length in bytes that the answer states, if any.
    pub fn length_bytes(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the next part; `None` at the end.
    ///
    /// # Errors
    /// Fails if the connection breaks, or at the deadline.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        while let Some(frame) = self.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    /// Fails if the connection breaks, or at the deadline.
    pub async fn bytes(self) -> Result<Bytes, ClientError> {
        Ok(self.collect().await?.to_bytes())
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = ClientError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ClientError>>> {
        if self.deadline.as_mut().is_some_and(|deadline| deadline.as_mut().poll(cx).is_ready()) {
            return Poll::Ready(Some(Err(ClientError::out_of_time())));
        }
        Pin::new(&mut self.body)
            .poll_frame(cx)
            .map_err(|error| ClientError::after_sending(error.to_string()))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
