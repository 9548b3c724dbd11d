//! Error responses of the HTTP API: invalid requests and refusals, always as JSON.

use crate::edge::calls::{CallLookupError, VERDICT_HEADER};
use catkinmast_model::{Refusal, UnixMs, Verdict};
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Header, Status};
use rocket::response::{self, Responder, Response};
use rocket::{Catcher, Request, catch, catchers as rocket_catchers};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::Cursor;

/// Delay before a retry where the refusal names no time.
const DEFAULT_RETRY_DELAY_MS: u64 = 500;

/// An error response; its serialized form is the JSON body.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Problem {
    /// The invalid field or parameter, if the error concerns one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    pub message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_at_unix_ms: Option<UnixMs>,
    #[serde(skip)]
    pub status: u16,
    pub verdict: Verdict,
}

impl Problem {
    /// Returns the error for an invalid request: status 400, nothing was run.
    pub(crate) fn invalid(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            field: Some(field.into()),
            message: message.into(),
            retry_at_unix_ms: None,
            status: 400,
            verdict: Verdict::NotRun,
        }
    }

    pub(crate) fn with_status(status: u16, message: impl Into<String>) -> Self {
        Self {
            field: None,
            message: message.into(),
            retry_at_unix_ms: None,
            status,
            verdict: Verdict::NotRun,
        }
    }
}

impl From<CallLookupError> for Problem {
    fn from(no_call: CallLookupError) -> Self {
        match no_call {
            CallLookupError::NotReady(refusal) => refusal.into(),
            CallLookupError::Unlisted { field, message } => {
                Self { status: 404, ..Self::invalid(field, message) }
            }
        }
    }
}

impl From<Refusal> for Problem {
    /// Converts a refusal. Its cause is temporary, so the response always has a retry time.
    fn from(refusal: Refusal) -> Self {
        let default_retry_at = || UnixMs::from_wall_clock().plus(DEFAULT_RETRY_DELAY_MS);
        let status = match refusal.verdict {
            Verdict::NotRun => 503,
            Verdict::MayHaveRun | Verdict::Ran => 502,
        };
        Self {
            field: None,
            message: refusal.message,
            retry_at_unix_ms: Some(refusal.retry_at_unix_ms.unwrap_or_else(default_retry_at)),
            status,
            verdict: refusal.verdict,
        }
    }
}

impl<'r> Responder<'r, 'static> for Problem {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::build();
        response
            .status(Status::new(self.status))
            .header(ContentType::JSON)
            .raw_header(VERDICT_HEADER, self.verdict.to_string())
            .sized_body(body.len(), Cursor::new(body));
        if let Some(at) = self.retry_at_unix_ms {
            let wait_s = at.since_ms(UnixMs::from_wall_clock()).div_ceil(1_000).max(1);
            response.header(Header::new("Retry-After", wait_s.to_string()));
        }
        response.ok()
    }
}

/// Reads a JSON body of at most `max_bytes`; a parse error names the line and column.
pub(crate) async fn read_json<T: DeserializeOwned>(
    data: Data<'_>,
    max_bytes: u64,
) -> Result<T, Problem> {
    let read = data.open(max_bytes.bytes()).into_bytes().await;
    let bytes = read.map_err(|error| Problem::invalid("body", format!("was cut: {error}")))?;
    if !bytes.is_complete() {
        let message = format!("the body is longer than {max_bytes} bytes");
        return Err(Problem { status: 413, ..Problem::invalid("body", message) });
    }
    serde_json::from_slice(&bytes).map_err(|error| Problem::invalid("body", error.to_string()))
}

#[catch(default)]
fn catch_all(status: Status, request: &Request<'_>) -> Problem {
    let message = match status.code {
        404 => format!("no such path: {} {}", request.method(), request.uri().path()),
        422 => format!("the request cannot be read: {}", request.uri()),
        _ => status.reason_lossy().to_owned(),
    };
    Problem::with_status(status.code, message)
}

pub(crate) fn catchers() -> Vec<Catcher> {
    rocket_catchers![catch_all]
}
