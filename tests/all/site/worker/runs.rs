//! The record of all runs of a test.

use bytes::Bytes;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One run of a request.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) after: u64,
    pub(crate) at: Instant,
    pub(crate) body: Bytes,
    /// How much time the request had left, by its header.
    pub(crate) deadline_ms: Option<u64>,
    /// Whether the request had an `Authorization` header, i.e. a caller's key.
    pub(crate) has_key: bool,
    pub(crate) request: String,
    pub(crate) worker: String,
    /// The values of the request's workspace headers.
    pub(crate) workspaces: Vec<String>,
}

/// The runs of all workers of a test.
#[derive(Clone, Debug, Default)]
pub(crate) struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    /// Returns all runs so far.
    pub(crate) fn all(&self) -> Vec<Run> {
        self.0.lock().expect("no test panics while it holds the runs").clone()
    }

    /// Returns the runs of a request.
    pub(crate) fn of(&self, request: &str) -> Vec<Run> {
        self.all().into_iter().filter(|run| run.request == request).collect()
    }

    /// Returns how many runs of requests with this body there were.
    pub(crate) fn count_of_body(&self, body: &[u8]) -> usize {
        self.all().iter().filter(|run| run.body == body).count()
    }

    pub(super) fn push(&self, run: Run) {
        self.0.lock().expect("no test panics while it holds the runs").push(run);
    }
}
