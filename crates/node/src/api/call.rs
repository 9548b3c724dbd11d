//! Calls of plain services at `/v1/call/<service>/<path>`. Long bodies are streamed.

use crate::api::answer::Problem;
use crate::api::guard::RequestContext;
use crate::api::ticket;
use crate::auth::Role;
use crate::edge::calls::{Answer, AnswerBody, CallBody, CallRequest, call_service, find_call};
use bytes::Bytes;
use futures::{StreamExt, TryStreamExt};
use http_body_util::BodyDataStream;
use rocket::data::{Data, DataStream, ToByteUnit};
use rocket::http::{Method, Status};
use rocket::request::FromRequest;
use rocket::response::{Responder, Response};
use rocket::route::{Handler, Outcome, Route};
use rocket::{Request, async_trait};
use std::io::Cursor;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;
use tokio_util::io::StreamReader;

/// A shorter body is buffered, so that a retry can send it again; a longer one is streamed.
const BUFFERED_BODY_MAX_BYTES: usize = 64 * 1024;
/// Size of the chunks in which a streamed body is forwarded.
const CHUNK_BYTES: usize = 16 * 1024;
/// Path prefix of the routes in this module.
const PREFIX: &str = "/v1/call/";
/// Request header with the caller's timeout for the call.
const TIMEOUT_HEADER: &str = "Catkinmast-Timeout-Ms";

/// Route handler for calls of plain services.
#[derive(Clone, Copy, Debug)]
struct CallHandler;

/// Returns one route for each method.
pub(crate) fn routes() -> Vec<Route> {
    let methods = [
        Method::Delete,
        Method::Get,
        Method::Head,
        Method::Options,
        Method::Patch,
        Method::Post,
        Method::Put,
    ];
    let route = |method| Route::new(method, "/v1/call/<service>/<path..>", CallHandler);
    methods.into_iter().map(route).collect()
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let result = match serve(request, data).await {
            Ok(answer) => respond(answer),
            Err(problem) => problem.respond_to(request),
        };
        match result {
            Ok(response) => Outcome::Success(response),
            Err(status) => Outcome::Error(status),
        }
    }
}

async fn serve(request: &Request<'_>, data: Data<'_>) -> Result<Answer, Problem> {
    let context = RequestContext::from_request(request).await.succeeded();
    let context = context.ok_or_else(|| Problem::with_status(500, "the node is not set up"))?;
    let workspace = context.require_role(Role::Caller)?;
    let shared = &context.shared;
    let (service, path) = split_path(request)?;
    let snapshot = shared.snapshot();
    let (_, call) = find_call(&snapshot, &service, &path)?;
    let max_bytes =
        snapshot.document().map_or(0, |document| document.limits.request_body_max_bytes);
    let (body, forwarding) = open_body(request, data, max_bytes).await?;
    let call_request = CallRequest {
        body,
        headers: request_headers(request),
        method: request_method(request)?,
        path,
        service: &service,
        workspace: &workspace,
        timeout_ms: timeout_ms(request)?,
    };
    let ticket = request.headers().get_one(ticket::TICKET_HEADER);
    let call_future = async {
        match ticket.filter(|_| !call.idempotent) {
            Some(text) => ticket::call_once(shared, call_request, text, request).await,
            None => call_service(shared, call_request).await.map_err(Problem::from),
        }
    };
    match forwarding {
        // The body is received while the call runs; an early answer stops the forwarding.
        Some(forwarding) => {
            tokio::pin!(forwarding);
            tokio::pin!(call_future);
            tokio::select! {
                biased;
                answer = &mut call_future => answer,
                () = &mut forwarding => call_future.await,
            }
        }
        None => call_future.await,
    }
}

fn split_path(request: &Request<'_>) -> Result<(String, String), Problem> {
    let raw = request.uri().path().as_str();
    let rest = raw.strip_prefix(PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Problem::invalid("service", "is empty"));
    }
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    Ok((service.to_owned(), format!("/{path}{query}")))
}

fn request_headers(request: &Request<'_>) -> Vec<(String, String)> {
    let headers = request.headers().iter();
    headers.map(|header| (header.name().to_string(), header.value().to_owned())).collect()
}

fn request_method(request: &Request<'_>) -> Result<http::Method, Problem> {
    let name = request.method().as_str();
    http::Method::from_bytes(name.as_bytes())
        .map_err(|_unknown| Problem::invalid("method", format!("'{name}' is not known")))
}

fn timeout_ms(request: &Request<'_>) -> Result<Option<u64>, Problem> {
    let Some(text) = request.headers().get_one(TIMEOUT_HEADER) else { return Ok(None) };
    match text.parse() {
        Ok(0) | Err(_) => {
            let message = format!("is '{text}'; a number of milliseconds above 0 is needed");
            Err(Problem::invalid(TIMEOUT_HEADER, message))
        }
        Ok(timeout_ms) => Ok(Some(timeout_ms)),
    }
}

/// Reads a short body into memory, or returns a stream and the future that feeds it.
async fn open_body<'r>(
    request: &Request<'_>,
    data: Data<'r>,
    max_bytes: u64,
) -> Result<(CallBody, Option<impl Future<Output = ()> + use<'r>>), Problem> {
    let content_length =
        request.headers().get_one("Content-Length").and_then(|text| text.parse().ok());
    if content_length.is_some_and(|length: u64| length > max_bytes) {
        return Err(too_long(max_bytes));
    }
    let mut stream = data.open((max_bytes + 1).bytes());
    let mut buffered = Vec::new();
    let mut limited_stream = (&mut stream).take(BUFFERED_BODY_MAX_BYTES as u64);
    let read = limited_stream.read_to_end(&mut buffered).await;
    read.map_err(|error| Problem::invalid("body", format!("was cut: {error}")))?;
    if buffered.len() as u64 > max_bytes {
        return Err(too_long(max_bytes));
    }
    if content_length.is_some_and(|length| {
        length > buffered.len() as u64 && buffered.len() < BUFFERED_BODY_MAX_BYTES
    }) {
        return Err(Problem::invalid("body", "ended before its announced length"));
    }
    if buffered.len() < BUFFERED_BODY_MAX_BYTES {
        return Ok((CallBody::Buffered(Bytes::from(buffered)), None));
    }
    let (sender, chunks) = mpsc::channel(4);
    let body = CallBody::Streamed(chunks);
    Ok((body, Some(forward_body(stream, buffered, sender, max_bytes, content_length))))
}

fn too_long(max_bytes: u64) -> Problem {
    let message = format!("the body is longer than request_body_max_bytes ({max_bytes})");
    Problem { status: 413, ..Problem::invalid("body", message) }
}

/// Forwards a long body. A truncated or too long body ends with an error, so that the target never
/// takes it for complete.
async fn forward_body(
    mut stream: DataStream<'_>,
    buffered: Vec<u8>,
    sender: mpsc::Sender<Result<Bytes, std::io::Error>>,
    max_bytes: u64,
    content_length: Option<u64>,
) {
    let mut forwarded_bytes = buffered.len() as u64;
    let mut next = Ok(Bytes::from(buffered));
    loop {
        let failed = next.is_err();
        if sender.send(next).await.is_err() || failed {
            return;
        }
        let mut chunk = vec![0; CHUNK_BYTES];
        next = match stream.read(&mut chunk).await {
            Ok(0) if content_length.is_some_and(|length| length != forwarded_bytes) => {
                Err(std::io::ErrorKind::UnexpectedEof.into())
            }
            Ok(0) => return,
            Ok(count) => {
                forwarded_bytes += count as u64;
                chunk.truncate(count);
                if forwarded_bytes > max_bytes {
                    Err(std::io::Error::other("the body is too long"))
                } else {
                    Ok(Bytes::from(chunk))
                }
            }
            Err(error) => Err(error),
        };
    }
}

fn respond(answer: Answer) -> Result<Response<'static>, Status> {
    let mut response = Response::build();
    response.status(Status::new(answer.status));
    for (name, value) in answer.headers {
        response.raw_header_adjoin(name, value);
    }
    match answer.body {
        AnswerBody::Buffered(bytes) => {
            response.sized_body(bytes.len(), Cursor::new(bytes));
        }
        AnswerBody::Streamed { body, length_bytes } => {
            let permit = answer.permit;
            let chunks = BodyDataStream::new(body).map_err(std::io::Error::other);
            // The permit is released when the stream ends. With the content length, the caller
            // detects a truncated answer: the connection closes before all bytes are sent.
            let chunks = chunks.inspect(move |_| {
                let _permit = &permit;
            });
            response.raw_header("Content-Length", length_bytes.to_string());
            response.streamed_body(StreamReader::new(Box::pin(chunks)));
        }
    }
    response.ok::<std::convert::Infallible>().map_err(|never| match never {})
}
