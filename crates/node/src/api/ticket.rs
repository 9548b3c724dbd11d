//! Calls with a ticket: run at most once, by the node and incarnation that the ticket names.

use crate::api::answer::Problem;
use crate::edge::calls::{Answer, AnswerBody, CallRequest, admit, build_request, call_service};
use crate::shared::{Shared, lock};
use bytes::Bytes;
use catkinmast_client::ClientError;
use catkinmast_config::CallClass;
use catkinmast_model::{Refusal, UnixMs, Verdict};
use catkinmast_route::{RecordedAnswer, Ticket, TicketDecision};
use rocket::Request;
use std::sync::Arc;
use std::time::Duration;

/// Request header with the caller's ticket.
pub(crate) const TICKET_HEADER: &str = "Catkinmast-Ticket";
/// Marks a call that another node has forwarded, so that it is not forwarded again.
const FORWARDED_HEADER: &str = "Catkinmast-Forwarded";
/// Maximum size of an answer that is recorded for repetitions.
const RECORDED_MAX_BYTES: usize = 64 * 1024;
/// Delay before a caller asks again about a running call.
const RUNNING_RETRY_MS: u64 = 200;
/// Timeout of a forwarded call.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a call whose ticket names this incarnation of this node, or forwards it to the node named.
pub(crate) async fn call_once(
    shared: &Arc<Shared>,
    call: CallRequest<'_>,
    text: &str,
    request: &Request<'_>,
) -> Result<Answer, Problem> {
    let ticket: Ticket =
        text.parse().map_err(|error| Problem::invalid(TICKET_HEADER, format!("{error}")))?;
    if ticket.node == *shared.me() && ticket.incarnation == shared.incarnation {
        return run_once(shared, call, &ticket).await;
    }
    if request.headers().contains(FORWARDED_HEADER) {
        return Err(Refusal::may_have_run("the ticket names an earlier life of this node").into());
    }
    forward(shared, call, &ticket, request).await
}

async fn run_once(
    shared: &Arc<Shared>,
    call: CallRequest<'_>,
    ticket: &Ticket,
) -> Result<Answer, Problem> {
    let retry_at = shared.now().plus(RUNNING_RETRY_MS);
    let decision = lock(&shared.traffic.tickets).begin(UnixMs::from_wall_clock(), ticket);
    match decision {
        TicketDecision::Run => {}
        TicketDecision::Expired => {
            let message = "the ticket has expired, so nobody remembers whether its call ran";
            return Err(Refusal::may_have_run(message).into());
        }
        TicketDecision::Full => {
            let message = "no memory is left to remember one more call";
            return Err(Refusal::not_run(message).retry_at(retry_at).into());
        }
        TicketDecision::Recorded(recorded) => {
            return replay(shared, call.workspace, recorded).await;
        }
        TicketDecision::Running => {
            let message = "the call with this ticket is running; ask again for its answer";
            return Err(Refusal::may_have_run(message).retry_at(retry_at).into());
        }
        TicketDecision::Unsettled => {
            let message = "the call with this ticket may have run; its answer was lost";
            return Err(Refusal::may_have_run(message).into());
        }
    }
    let mut guard = TicketGuard { settled: false, shared, ticket };
    let answer = match call_service(shared, call).await {
        Ok(answer) => answer,
        Err(refusal) => {
            if refusal.verdict == Verdict::NotRun {
                guard.settled = true;
                lock(&shared.traffic.tickets).mark_not_run(ticket);
            }
            return Err(refusal.into());
        }
    };
    guard.settled = true;
    lock(&shared.traffic.tickets).record_answer(ticket, recorded_answer(&answer));
    Ok(answer)
}

/// Marks a ticket as unsettled on drop unless its call ended with an answer or as `NotRun`.
///
/// The handler may be dropped during the call; a repetition must not run then.
struct TicketGuard<'a> {
    settled: bool,
    shared: &'a Arc<Shared>,
    ticket: &'a Ticket,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if !self.settled {
            lock(&self.shared.traffic.tickets).mark_unsettled(self.ticket);
        }
    }
}

fn recorded_answer(answer: &Answer) -> RecordedAnswer {
    let is_content_type = |(name, _): &&(String, String)| name.eq_ignore_ascii_case("content-type");
    let content_type = answer.headers.iter().find(is_content_type).map(|(_, value)| value.clone());
    let body = match &answer.body {
        AnswerBody::Buffered(bytes) if bytes.len() <= RECORDED_MAX_BYTES => Some(bytes.to_vec()),
        _ => None,
    };
    RecordedAnswer { body, content_type, status: answer.status }
}

async fn replay(
    shared: &Arc<Shared>,
    workspace: &str,
    recorded: RecordedAnswer,
) -> Result<Answer, Problem> {
    let Some(body) = recorded.body else {
        let message = "the call ran; its answer was too long to be kept";
        let refusal =
            Refusal { message: message.to_owned(), retry_at_unix_ms: None, verdict: Verdict::Ran };
        return Err(refusal.into());
    };
    let deadline = shared.now().plus(1_000);
    let permit = admit(shared, workspace, CallClass::Act, deadline).await.map_err(|refusal| {
        // Only the repetition is refused: the call itself has run.
        Problem::from(Refusal { verdict: Verdict::Ran, ..refusal })
    })?;
    let mut headers = vec![("Catkinmast-Replayed".to_owned(), "true".to_owned())];
    headers.extend(
        recorded.content_type.map(|content_type| ("Content-Type".to_owned(), content_type)),
    );
    let body = AnswerBody::Buffered(Bytes::from(body));
    Ok(Answer { body, headers, permit, status: recorded.status })
}

/// Forwards a call to the node that its ticket names.
///
/// Every failure but a refused admission is `MayHaveRun`: an earlier attempt with the same ticket
/// may have reached that node, even if this one did not.
async fn forward(
    shared: &Arc<Shared>,
    call: CallRequest<'_>,
    ticket: &Ticket,
    request: &Request<'_>,
) -> Result<Answer, Problem> {
    let snapshot = shared.snapshot();
    let retry_at = shared.now().plus(1_000);
    let node = snapshot.node(&ticket.node);
    let Some(node) = node.filter(|node| node.incarnation == ticket.incarnation) else {
        let message = format!("node {} of the ticket is gone in that life", ticket.node);
        return Err(Refusal::may_have_run(message).into());
    };
    let permit = admit(shared, call.workspace, CallClass::Act, shared.now().plus(2_000)).await?;
    let url = format!("http://{}{}", node.http, request.uri());
    let excluded_headers = ["connection", "content-length", "host", "transfer-encoding"];
    let mut call = call;
    call.headers.push((FORWARDED_HEADER.to_owned(), "1".to_owned()));
    let body = call.body.take();
    let outgoing = build_request(&call, &url, &excluded_headers, body)
        .map_err(|error| Refusal::may_have_run(format!("the request is invalid: {error}")))?;
    let failed = |error: ClientError| {
        let message = format!("node {} of the ticket broke off: {}", ticket.node, error.message);
        Problem::from(Refusal::may_have_run(message).retry_at(retry_at))
    };
    let deadline = tokio::time::Instant::now() + FORWARD_TIMEOUT;
    let response = shared.clients.unpooled.send(outgoing, deadline).await.map_err(failed)?;
    let status = response.status().as_u16();
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| {
            !["connection", "transfer-encoding", "content-length"].contains(&name.as_str())
        })
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    let body = AnswerBody::Buffered(response.into_body().bytes().await.map_err(failed)?);
    Ok(Answer { body, headers, permit, status })
}
