//! The worker's server and its entry in the registry, across restarts.

use super::serving::serve;
use super::{SharedContext, State, lock};
use crate::site::web::Server;
use futures::FutureExt;
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

/// A free port of the loopback address.
pub(super) const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

pub(super) async fn listen(
    state: &Arc<Mutex<State>>,
    context: &SharedContext,
    id: &str,
    address: SocketAddr,
) {
    let (shared, context, name) = (Arc::clone(state), context.clone(), id.to_owned());
    let server = Server::bind_at(address, move |request| {
        let (state, context, id) = (Arc::clone(&shared), context.clone(), name.clone());
        async move { serve(&state, &context, &id, request).await }.boxed()
    })
    .await;
    lock(state).server = Some(server);
}

pub(super) fn register(
    state: &State,
    context: &SharedContext,
    id: &str,
    status: &str,
    sequence: u64,
) {
    let Some(server) = &state.server else { return };
    let models: Vec<Value> = state
        .versions
        .iter()
        .map(|(name, version)| json!({ "name": name, "version": version, "adapters": [] }))
        .collect();
    let address = state.link_address.unwrap_or(server.address);
    let mut entry = json!({
        "service": context.service, "address": address, "zone": state.zone, "version": "v1",
        "slots": state.slots, "state": status, "coldLeftMs": state.cold_left_ms, "models": models, "seq": sequence,
    });
    if let Some(started_at_ms) = state.started_at_ms {
        entry["born"] = json!(started_at_ms);
    }
    context.store.put(&format!("servers/{id}"), &entry);
}

/// Crashes a worker with all its connections. It restarts at the same address after a while, under
/// another id.
pub(super) fn crash_by_request(state: &Arc<Mutex<State>>, context: &SharedContext, id: &str) {
    let (server, restart_after, crashes) = {
        let mut state = lock(state);
        let Some(server) = state.server.take() else { return };
        state.crashes += 1;
        (server, state.restart_after, state.crashes)
    };
    let address = server.address;
    let (state, context, old) = (Arc::clone(state), context.clone(), id.to_owned());
    let first = old.split('+').next().unwrap_or_default();
    let new = format!("{first}+{crashes}");
    tokio::spawn(async move {
        tokio::time::sleep(restart_after).await;
        context.store.remove(&format!("servers/{old}"));
        listen(&state, &context, &new, address).await;
        register(&lock(&state), &context, &new, "ready", 1);
    });
    drop(server);
}
