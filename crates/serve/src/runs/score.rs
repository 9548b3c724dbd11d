//! Scoring of items whose output is complete.

use super::finish;
use crate::admission;
use crate::batches::{LocalBatch, Run};
use crate::calls;
use crate::clock;
use crate::forward::OutgoingRequest;
use crate::hedging::{self, AttemptPlan};
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_dispatch::{Item, ItemResult, ItemState, NextItem, Progress, RewardRequest};
use catkinmast_quarantine::RequestSource;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Deadline of one scoring call.
const SCORE_TIMEOUT_MS: u64 = 3_000;
/// Pause before a scoring call is repeated; doubled each time up to [`SCORE_RETRY_PAUSE_MAX_MS`].
const SCORE_RETRY_PAUSE_MS: u64 = 30;
const SCORE_RETRY_PAUSE_MAX_MS: u64 = 500;

/// Starts scoring an item whose complete output an earlier run has left.
pub(super) fn start_scoring<P: Platform>(
    node: &Rc<Node<P>>,
    local: &Rc<RefCell<LocalBatch>>,
    next: NextItem,
) {
    let NextItem { index, progress } = next;
    let output = progress.clone();
    let (node, shared) = (Rc::clone(node), Rc::clone(local));
    let task = tokio::task::spawn_local(async move {
        let item = shared.borrow().batch.submission().items[index].clone();
        score_item(&node, &shared, index, &item, output).await;
        shared.borrow_mut().runs.swap_remove(&index);
    });
    let run = Run {
        started_at: clock::now(),
        progress: Rc::new(RefCell::new(progress)),
        scoring: true,
        target: String::new(),
        task: task.abort_handle(),
    };
    local.borrow_mut().runs.insert(index, run);
}

/// Scores an item whose output is complete, and records its result.
pub(super) async fn score_item<P: Platform>(
    node: &Rc<Node<P>>,
    local: &RefCell<LocalBatch>,
    index: usize,
    item: &Item,
    progress: Progress,
) {
    let score = match &item.reward {
        None => None,
        Some(reward) => match score(node, local, index, reward).await {
            Some(score) => Some(score),
            None => return finish(node, local, ItemResult::errored(&*item.id)),
        },
    };
    let single = local.borrow().batch.policy().single_version;
    if single && progress.versions.len() > 1 {
        let from = clock::now();
        local.borrow_mut().batch.put_back(index, from, Progress::default());
        return;
    }
    let result = ItemResult {
        id: item.id.clone(),
        score,
        state: ItemState::Completed,
        text: progress.text,
        versions: progress.versions,
    };
    finish(node, local, result);
}

/// Repeats a scoring call under the same id until it is answered with success; returns none after
/// as many answers with status 500 as the batch's policy allows attempts. Other failures are
/// repeated without a limit.
async fn score<P: Platform>(
    node: &Rc<Node<P>>,
    local: &RefCell<LocalBatch>,
    index: usize,
    reward: &RewardRequest,
) -> Option<String> {
    let mut pause_ms = SCORE_RETRY_PAUSE_MS;
    let mut tried: Vec<String> = Vec::new();
    loop {
        let chosen = node.document().and_then(|document| {
            let route = document.route(&reward.host, &reward.path)?;
            let service = route.service(node.random_u64())?;
            let chosen = calls::choose(node, service, &tried)?;
            let plan = AttemptPlan::of_scoring_call(route, tried.is_empty());
            Some((chosen, plan, service.to_owned(), route.name.clone()))
        });
        if let Some((chosen, mut plan, service, route)) = chosen {
            let request = score_request(reward, route);
            tried = vec![chosen.id.clone()];
            let attempt =
                hedging::attempt(node, &mut plan, &service, &chosen, &request, &mut tried);
            match attempt.await {
                // The target's signature of its answer is the score.
                Ok(answer) if answer.status.is_success() => return answer.metadata.signature,
                Ok(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR => {
                    let was_last = local.borrow_mut().batch.record_score_failure(index);
                    let line = json!({
                        "request": reward.id, "target": answer.target, "was_last": was_last,
                    });
                    node.note("score_failed", line);
                    if was_last {
                        return None;
                    }
                    local.borrow().note_failure();
                }
                Ok(answer) => {
                    let status = answer.status.as_u16();
                    node.note("score_refused", json!({ "request": reward.id, "status": status }));
                }
                // The attempt writes its own line to the audit trail.
                Err(failure) => admission::bypass_failed(node, &service, &chosen.id, &failure),
            }
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(SCORE_RETRY_PAUSE_MAX_MS);
    }
}

fn score_request(reward: &RewardRequest, route: String) -> OutgoingRequest {
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(&reward.host) {
        headers.insert(HOST, host);
    }
    OutgoingRequest {
        body: reward.body.clone().into(),
        deadline_at: clock::now().plus(SCORE_TIMEOUT_MS),
        headers,
        last_event_id: None,
        method: Method::POST,
        path: reward.path.clone(),
        priority: 0,
        request_id: Some(reward.id.clone()),
        route: Some(route),
        source: RequestSource::Batch,
        workspace: None,
    }
}
