//! Calls of plain services: `/v1/call/<service>/<path>`, any method, bodies streamed.

use crate::api::answer::Problem;
use crate::api::guard::RequestContext;
use crate::api::ticket;
use crate::auth::Role;
use crate::edge::calls::{Answer, AnswerBody, CallBody, CallRequest, call_service, find_call};
use bytes::Bytes;
use futures::{StreamExt, TryStreamExt};
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

/// A body up to this size is held, so that it can be sent again; a longer one is streamed.
const HELD_BODY_MAX_BYTES: usize = 64 * 1024;
/// Size of the pieces in which a longer body is passed on.
const PIECE_BYTES: usize = 16 * 1024;
/// The prefix of every path that is served here.
const PREFIX: &str = "/v1/call/";
/// A caller's own bound on the time that a call may take.
const TIMEOUT_HEADER: &str = "Catkinmast-Timeout-Ms";

/// Serves calls of plain services.
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
        let answered = match serve(request, data).await {
            Ok(answer) => respond(answer),
            Err(problem) => problem.respond_to(request),
        };
        match answered {
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
    let most = snapshot.document().map_or(0, |document| document.limits.request_body_max_bytes);
    let (body, pump) = open_body(request, data, most).await?;
    let call_request = CallRequest {
        body,
        headers: own_headers(request),
        method: method_of(request)?,
        path,
        service: &service,
        workspace: &workspace,
        timeout_ms: timeout_ms(request)?,
    };
    let ticket = request.headers().get_one(ticket::TICKET_HEADER);
    let calling = async {
        match ticket.filter(|_| !call.idempotent) {
            Some(text) => ticket::call_once(shared, call_request, text, request).await,
            None => call_service(shared, call_request).await.map_err(Problem::from),
        }
    };
    match pump {
        // The body comes in while the call is under way; the answer may end the pump early.
        Some(pump) => {
            tokio::pin!(pump);
            tokio::pin!(calling);
            tokio::select! {
                biased;
                answer = &mut calling => answer,
                () = &mut pump => calling.await,
            }
        }
        None => calling.await,
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

fn own_headers(request: &Request<'_>) -> Vec<(String, String)> {
    let headers = request.headers().iter();
    headers.map(|header| (header.name().to_string(), header.value().to_owned())).collect()
}

fn method_of(request: &Request<'_>) -> Result<reqwest::Method, Problem> {
    let name = request.method().as_str();
    reqwest::Method::from_bytes(name.as_bytes())
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

/// Reads a short body whole, or prepares the passing on of a longer one.
async fn open_body<'r>(
    request: &Request<'_>,
    data: Data<'r>,
    most: u64,
) -> Result<(CallBody, Option<impl Future<Output = ()> + use<'r>>), Problem> {
    let announced = request.headers().get_one("Content-Length").and_then(|text| text.parse().ok());
    if announced.is_some_and(|length: u64| length > most) {
        return Err(too_long(most));
    }
    let mut stream = data.open((most + 1).bytes());
    let mut first = Vec::new();
    let mut limited = (&mut stream).take(HELD_BODY_MAX_BYTES as u64);
    let read = limited.read_to_end(&mut first).await;
    read.map_err(|error| Problem::invalid("body", format!("was cut: {error}")))?;
    if first.len() as u64 > most {
        return Err(too_long(most));
    }
    if announced
        .is_some_and(|length| length > first.len() as u64 && first.len() < HELD_BODY_MAX_BYTES)
    {
        return Err(Problem::invalid("body", "ended before its announced length"));
    }
    if first.len() < HELD_BODY_MAX_BYTES {
        return Ok((CallBody::Buffered(Bytes::from(first)), None));
    }
    let (sender, mut pieces) = mpsc::channel::<Result<Bytes, std::io::Error>>(4);
    let received = futures::stream::poll_fn(move |context| pieces.poll_recv(context));
    let body = CallBody::Streamed(reqwest::Body::wrap_stream(received));
    Ok((body, Some(pump(stream, first, sender, most, announced))))
}

fn too_long(most: u64) -> Problem {
    let message = format!("the body is longer than request_body_max_bytes ({most})");
    Problem { status: 413, ..Problem::invalid("body", message) }
}

/// Passes a long body on. One that was cut, or is too long, ends as an error, so that the target
/// never takes a part for the whole.
async fn pump(
    mut stream: DataStream<'_>,
    first: Vec<u8>,
    sender: mpsc::Sender<Result<Bytes, std::io::Error>>,
    most: u64,
    announced: Option<u64>,
) {
    let mut passed = first.len() as u64;
    let mut next = Ok(Bytes::from(first));
    loop {
        let failed = next.is_err();
        if sender.send(next).await.is_err() || failed {
            return;
        }
        let mut piece = vec![0; PIECE_BYTES];
        next = match stream.read(&mut piece).await {
            Ok(0) if announced.is_some_and(|length| length != passed) => {
                Err(std::io::ErrorKind::UnexpectedEof.into())
            }
            Ok(0) => return,
            Ok(count) => {
                passed += count as u64;
                piece.truncate(count);
                if passed > most {
                    Err(std::io::Error::other("the body is too long"))
                } else {
                    Ok(Bytes::from(piece))
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
        AnswerBody::Streamed { length_bytes, response: target } => {
            let permit = answer.permit;
            let pieces = target.bytes_stream().map_err(std::io::Error::other);
            // The permit lives as long as the stream. The announced length is what makes a cut
            // visible: the connection closes before it is reached.
            let pieces = pieces.inspect(move |_| {
                let _held = &permit;
            });
            response.raw_header("Content-Length", length_bytes.to_string());
            response.streamed_body(StreamReader::new(Box::pin(pieces)));
        }
    }
    response.ok::<std::convert::Infallible>().map_err(|never| match never {})
}
