//! Callers' calls about batches: submit, read results, read item bodies, and end.

use crate::access::{self, Refusal};
use crate::batches::{self, Acceptance, Lookup, Origin};
use crate::caller::{Answer, ErrorAnswer, RETRY_AFTER_MS, end_with_error, host, json_answer};
use crate::clock;
use crate::metrics::count;
use crate::node::Node;
use crate::platform::{BatchCall, Platform};
use bytes::Bytes;
use catkinmast_dispatch::Route;
use catkinmast_model::Verdict;
use http::header::AUTHORIZATION;
use http::{HeaderMap, StatusCode};
use serde_json::json;
use std::rc::Rc;

/// Answers a call about a submitted batch.
pub(crate) async fn answer<P: Platform>(
    node: &Rc<Node<P>>,
    headers: &HeaderMap,
    call: BatchCall,
) -> Answer<P> {
    let started_at = clock::now();
    let scope = match node.document() {
        Some(document) => access::scope(node, &document, host(headers), headers),
        None => Err(Refusal::Unsure("no configuration yet".to_owned())),
    };
    let scope = match scope {
        Ok(scope) => scope,
        Err(refusal) => {
            let id = P::caller_options(headers).request_id;
            return end_with_error(node, id.as_deref(), None, &ErrorAnswer::of(refusal));
        }
    };
    let is_end = matches!(call, BatchCall::End { .. });
    let (batch, call_name, result) = match call {
        BatchCall::Read { after, batch, wait_ms } => {
            let found = batches::read(node, &batch, &scope, after, wait_ms).await;
            let page = map_found(found, |(total, results)| {
                P::results_page(total, after + results.len(), &results)
            });
            (batch, "read", page)
        }
        BatchCall::ItemBody { batch, item } => {
            let found = batches::item_body(node, &batch, &scope, &item).await;
            (batch, "item_body", map_found(found, Bytes::from))
        }
        BatchCall::End { batch } => {
            let found = batches::end(node, &batch, &scope).await;
            (batch, "end", map_found(found, |()| Bytes::from_static(b"{}")))
        }
    };
    match result {
        Lookup::Found(body) => {
            count(&node.metrics.answers, "batch_call");
            json_answer(StatusCode::OK, body)
        }
        Lookup::Missing => {
            node.note("batch_call_missing", json!({ "request": batch, "call": call_name }));
            ErrorAnswer::new(StatusCode::NOT_FOUND, "no such batch or item").answer()
        }
        Lookup::Unavailable(why) => {
            let ms = clock::now().since_ms(started_at);
            node.note(
                "batch_call_unsure",
                json!({ "request": batch, "call": call_name, "why": why, "ms": ms }),
            );
            let error_answer = if is_end {
                // The batch may be stopped already, and its end written.
                ErrorAnswer::unconfirmed(why, RETRY_AFTER_MS)
            } else {
                ErrorAnswer::not_run(why, RETRY_AFTER_MS)
            };
            error_answer.answer()
        }
    }
}

fn map_found<T, U>(found: Lookup<T>, change: impl FnOnce(T) -> U) -> Lookup<U> {
    match found {
        Lookup::Found(found) => Lookup::Found(change(found)),
        Lookup::Missing => Lookup::Missing,
        Lookup::Unavailable(why) => Lookup::Unavailable(why),
    }
}

/// Answers a submission.
pub(crate) async fn submit<P: Platform>(
    node: &Rc<Node<P>>,
    origin: Origin,
    body: Bytes,
    id: Option<String>,
    route: &Route,
) -> Answer<P> {
    let started_at = clock::now();
    let fits = |id: &String| {
        !id.is_empty()
            && id.len() <= 100
            && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    };
    let Some(id) = id.filter(fits) else {
        let error_answer =
            ErrorAnswer::new(StatusCode::BAD_REQUEST, "a batch submission needs a plain id");
        return end_with_error(node, None, Some(route), &error_answer);
    };
    let mut submission = match P::submission(&body) {
        Ok(submission) => submission,
        Err(error) => {
            let error_answer = ErrorAnswer::new(StatusCode::BAD_REQUEST, error.to_string());
            return end_with_error(node, Some(&id), Some(route), &error_answer);
        }
    };
    drop(body);
    if node.document().is_some_and(|document| document.workspaces.is_some()) {
        // Keys are removed from the items' headers, because a batch is stored and sent to other
        // nodes.
        for item in &mut submission.items {
            item.headers.retain(|(name, _)| !name.eq_ignore_ascii_case(AUTHORIZATION.as_str()));
        }
    }
    let acceptance = batches::submit(node, &id, origin, submission).await;
    count(&node.metrics.submissions, acceptance.label());
    match acceptance {
        Acceptance::Accepted => {
            let ms = clock::now().since_ms(started_at);
            node.note("batch_accepted", json!({ "request": id, "route": route.name, "ms": ms }));
            count(&node.metrics.answers, "batch_accepted");
            json_answer(StatusCode::ACCEPTED, Bytes::from_static(b"{}"))
        }
        Acceptance::IdConflict => {
            let message = format!("the id {id} is taken");
            let error_answer = ErrorAnswer::new(StatusCode::CONFLICT, message);
            end_with_error(node, Some(&id), Some(route), &error_answer)
        }
        Acceptance::Unknown(refusal) => {
            let error_answer = if refusal.verdict == Verdict::NotRun {
                ErrorAnswer::not_run(refusal.message, RETRY_AFTER_MS)
            } else {
                ErrorAnswer::unconfirmed(refusal.message, RETRY_AFTER_MS)
            };
            end_with_error(node, Some(&id), Some(route), &error_answer)
        }
    }
}
