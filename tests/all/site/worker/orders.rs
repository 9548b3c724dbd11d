//! Orders to load weights, and the report on the weights that a worker has.

use super::{Behaviour, State, lock};
use crate::site::web::{Answer, AnswerBody, answer};
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub(super) fn finish_due_order(state: &mut State) {
    if state.busy_until.is_some_and(|until| until <= Instant::now()) {
        state.busy_until = None;
        if let Some(order) = state.orders_seen.last().cloned() {
            apply(state, &order);
        }
    }
}

fn apply(state: &mut State, order: &Value) {
    let model = order["model"].as_str().unwrap_or_default().to_owned();
    state.versions.insert(model, order["version"].as_u64().unwrap_or(0));
}

pub(super) fn report(state: &Arc<Mutex<State>>) -> http::Response<AnswerBody> {
    let mut state = lock(state);
    finish_due_order(&mut state);
    let models: Vec<Value> = state
        .versions
        .iter()
        .map(|(name, version)| json!({ "name": name, "version": version }))
        .collect();
    let busy = state.busy_until.is_some();
    let mut body =
        json!({ "stage": "hybrid", "models": models, "busy": busy, "seq": state.orders });
    if let Some(started_at_ms) = state.started_at_ms {
        body["born"] = json!(started_at_ms);
    }
    answer(200, body.to_string())
}

pub(super) fn order(state: &Arc<Mutex<State>>, body: &[u8]) -> Answer {
    let order: Value = serde_json::from_slice(body).ok()?;
    let mut worker = lock(state);
    finish_due_order(&mut worker);
    if worker.busy_until.is_some() || order["expected"].as_u64() != Some(worker.orders) {
        return Some(answer(409, ""));
    }
    if worker.behaviour == Behaviour::CarriesOutOrdersLate {
        worker.behaviour = Behaviour::Normal;
        let state = Arc::clone(state);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            let mut worker = lock(&state);
            if order["expected"].as_u64() == Some(worker.orders) {
                worker.orders += 1;
                worker.orders_seen.push(order.clone());
                apply(&mut worker, &order);
            }
        });
        return None;
    }
    worker.orders += 1;
    worker.orders_seen.push(order);
    worker.busy_until = Some(Instant::now() + Duration::from_millis(worker.load_ms));
    Some(answer(202, ""))
}
