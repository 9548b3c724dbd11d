//! A plain service's stand-in: answers calls, and counts how often it ran each one.
//!
//! `/score` makes it a scorer as well. The answer is a function of the request, so a caller can
//! check that the answer it received is the whole answer to its own request.

#![expect(clippy::redundant_type_annotations, reason = "written by the framework's route macros")]

use crate::web::{StandinError, WebServer};
use indexmap::IndexMap;
use rocket::data::ToByteUnit;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Data, State, get, post, routes};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The largest request body that it reads.
const BODY_MAX_MIB: u64 = 8;

/// How a plain service's stand-in starts.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSettings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// How long each call takes.
    pub answer_after_ms: u64,
}

/// One run of one call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallRecord {
    /// The request body.
    pub body: String,
    /// The path called.
    pub path: String,
}

#[derive(Debug, Default)]
struct Shared {
    answer_after_ms: u64,
    leaving: Mutex<bool>,
    runs: Mutex<Vec<CallRecord>>,
}

impl Shared {
    fn runs(&self) -> MutexGuard<'_, Vec<CallRecord>> {
        self.runs.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn refuses_calls(&self) -> bool {
        *self.leaving.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// A running stand-in of a plain service.
#[derive(Debug)]
pub struct PlainService {
    shared: Arc<Shared>,
    web: WebServer,
}

impl PlainService {
    /// Starts the stand-in.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn spawn(settings: ServiceSettings) -> Result<Self, StandinError> {
        let shared =
            Arc::new(Shared { answer_after_ms: settings.answer_after_ms, ..Shared::default() });
        let state = Arc::clone(&shared);
        let web = WebServer::bind(settings.address, move |rocket| {
            rocket.manage(state).mount("/", routes![score, run_post, run_get, runs, leave])
        })
        .await?;
        Ok(Self { shared, web })
    }

    /// Returns where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.web.address()
    }

    /// Begins to refuse new calls, as an instance that leaves does.
    pub fn leave(&self) {
        *self.shared.leaving.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = true;
    }

    /// Returns how often each body was run, by path and body.
    pub fn run_counts(&self) -> IndexMap<(String, String), u32> {
        let mut counts = IndexMap::new();
        for run in self.shared.runs().iter() {
            *counts.entry((run.path.clone(), run.body.clone())).or_default() += 1;
        }
        counts
    }
}

/// Returns the answer that the stand-in gives to `body` at `path`.
pub fn answer_of(path: &str, body: &str) -> String {
    let digest = xxhash_rust::xxh3::xxh3_64(format!("{path}\n{body}").as_bytes());
    format!("{{\"path\":\"{path}\",\"digest\":\"{digest:016x}\",\"whole\":true}}")
}

/// A refusal before anything ran: the header is how a target says so.
#[derive(rocket::Responder)]
#[response(status = 503)]
struct LeavingRefusal {
    inner: &'static str,
    verdict: rocket::http::Header<'static>,
}

fn leaving_refusal() -> LeavingRefusal {
    LeavingRefusal {
        inner: "leaving",
        verdict: rocket::http::Header::new("Catkinmast-Verdict", "not_run; leaving"),
    }
}

async fn run(shared: &Shared, path: PathBuf, body: String) -> Result<String, LeavingRefusal> {
    if shared.refuses_calls() {
        return Err(leaving_refusal());
    }
    let path = format!("/{}", path.display());
    let answer = answer_of(&path, &body);
    shared.runs().push(CallRecord { body, path });
    // The timer rounds up to a millisecond, which would hide what a call costs.
    if shared.answer_after_ms > 0 {
        tokio::time::sleep(Duration::from_millis(shared.answer_after_ms)).await;
    }
    Ok(answer)
}

#[post("/<path..>", data = "<body>", rank = 5)]
async fn run_post(
    path: PathBuf,
    body: Data<'_>,
    shared: &State<Arc<Shared>>,
) -> Result<Result<String, LeavingRefusal>, Status> {
    let read = body.open(BODY_MAX_MIB.mebibytes()).into_string().await;
    // A body that was cut is no request, as for any server that keeps to HTTP.
    let complete = read.ok().filter(rocket::data::Capped::is_complete).ok_or(Status::BadRequest)?;
    Ok(run(shared, path, complete.into_inner()).await)
}

#[get("/<path..>", rank = 5)]
async fn run_get(path: PathBuf, shared: &State<Arc<Shared>>) -> Result<String, LeavingRefusal> {
    run(shared, path, String::new()).await
}

/// What a trainer's scoring service is asked.
#[derive(Debug, Deserialize)]
struct ScoreRequest {
    tokens: Vec<u32>,
}

/// What it answers.
#[derive(Debug, Serialize)]
struct ScoreReply {
    score: f64,
}

#[post("/score", data = "<request>", rank = 1)]
async fn score(request: Json<ScoreRequest>, shared: &State<Arc<Shared>>) -> Json<ScoreReply> {
    tokio::time::sleep(Duration::from_millis(shared.answer_after_ms)).await;
    let sum: u64 = request.tokens.iter().map(|token| u64::from(*token)).sum();
    Json(ScoreReply { score: (sum % 1000) as f64 / 1000.0 })
}

#[get("/standin/runs", rank = 1)]
fn runs(shared: &State<Arc<Shared>>) -> Json<Vec<CallRecord>> {
    Json(shared.runs().clone())
}

#[post("/standin/leave", rank = 1)]
fn leave(shared: &State<Arc<Shared>>) -> Status {
    *shared.leaving.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = true;
    Status::NoContent
}
