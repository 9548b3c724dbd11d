//! Starts and stops a process.

use crate::batches;
use crate::clock;
use crate::crashes;
use crate::duties;
use crate::fairness;
use crate::feed::{self, Subject};
use crate::listener::{self, ADDRESSES_TTL_MS};
use crate::node::Node;
use crate::orders;
use crate::outage;
use crate::peers;
use crate::platform::Platform;
use crate::runs;
use crate::settings::Settings;
use crate::store::{Put, StoreAnswer, StoreCall, StoreRefusal, StoredItem};
use crate::trail::Trail;
use catkinmast_member::Membership;
use catkinmast_model::Incarnation;
use displaydoc::Display;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Prefix of the keys under which nodes register.
const NODES: &str = "cm/n/";
/// Delay between two attempts to register.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Callers keep addresses for up to three times their TTL.
const ADDRESS_TTL_FACTOR: u64 = 3;
/// Part of the grace time that is reserved for the exit itself.
const EXIT_RESERVE_MS: u64 = 1_000;
/// How long the answers to requests in progress at the end of the grace time may take to be sent.
const LAST_ANSWERS_MS: u64 = 300;
/// Interval of the summary lines: rare enough to cost little, frequent enough to show
/// when an incident began.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);
/// How long a node waits for the list of targets before it joins the fleet without it. A whole fleet
/// that starts at once gets the list within seconds, and must find itself meanwhile.
const JOIN_WITHOUT_TARGETS_AFTER_MS: u64 = 500;
/// Interval at which a node that has registered checks whether it knows the targets.
const TARGETS_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which a start waits for the configuration, and a stop for its last requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// the process could not start: {0}
#[derive(Clone, Debug, Display)]
pub struct StartError(String);

impl std::error::Error for StartError {}

fn start_error(what: &str) -> impl FnOnce(std::io::Error) -> StartError {
    move |error| StartError(format!("{what}: {error}"))
}

fn block_on(work: impl Future<Output = Result<(), StartError>>) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(start_error("cannot start the async runtime"))?;
    LocalSet::new().block_on(&runtime, work)
}

/// Runs a node that serves callers until it receives SIGTERM.
///
/// # Errors
/// If a setting is wrong or an address cannot be bound.
pub fn run_front<P: Platform>(metrics_port: Option<u16>) -> Result<(), StartError> {
    let settings = P::settings().map_err(|error| StartError(error.to_string()))?;
    block_on(front::<P>(settings, metrics_port))
}

/// Runs a standby process, which serves nothing, until it receives SIGTERM.
///
/// The platform requires a process on each instance of its store. All durable data is in that
/// store, so this process only logs that it runs.
///
/// # Errors
/// If a setting is wrong.
pub fn run_standby<P: Platform>() -> Result<(), StartError> {
    let settings = P::settings().map_err(|error| StartError(error.to_string()))?;
    block_on(async move {
        let trail = Trail::open(&settings.node);
        trail.note(clock::now(), "started", json!({ "role": "standby" }));
        let mut stop = signal(SignalKind::terminate())
            .map_err(start_error("cannot install the handler of SIGTERM"))?;
        let mut reload = signal(SignalKind::hangup())
            .map_err(start_error("cannot install the handler of SIGHUP"))?;
        loop {
            tokio::select! {
                _ = stop.recv() => break,
                _ = reload.recv() => trail.note(clock::now(), "reloaded", json!({})),
            }
        }
        trail.note(clock::now(), "stopped", json!({}));
        // Leaves the writer of the audit trail time to write the last lines.
        sleep(Duration::from_millis(EXIT_RESERVE_MS)).await;
        Ok(())
    })
}

async fn front<P: Platform>(
    settings: Settings,
    metrics_port: Option<u16>,
) -> Result<(), StartError> {
    let trail = Trail::open(&settings.node);
    let datagrams = UdpSocket::bind(settings.peer)
        .await
        .map_err(start_error("cannot bind the peer address (UDP)"))?;
    let node = Rc::new(Node::<P>::open(settings, datagrams, trail));
    let settings = node.settings();
    node.note(
        "started",
        json!({ "role": "front", "callers": settings.callers, "peer": settings.peer,
                "store": settings.store, "data_centre": settings.data_centre }),
    );
    let mut stop = signal(SignalKind::terminate())
        .map_err(start_error("cannot install the handler of SIGTERM"))?;
    listen(&node, metrics_port).await?;
    spawn_local(reload_on_signal(Rc::clone(&node)));
    spawn_local(summarize(Rc::clone(&node)));
    spawn_local(feed::follow(Rc::clone(&node), Subject::Operators));
    for subject in [Subject::Operators, Subject::Targets] {
        spawn_local(feed::catch_up(Rc::clone(&node), subject));
    }
    spawn_local(feed::run_heartbeats(Rc::clone(&node)));
    spawn_local(outage::probe_during_outages(Rc::clone(&node)));
    spawn_local(crashes::maintain_records(Rc::clone(&node)));
    spawn_local(join_and_serve(Rc::clone(&node)));
    stop.recv().await;
    leave(&node).await;
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError(format!("cannot bind address {address}: {error}")))
}

async fn listen<P: Platform>(
    node: &Rc<Node<P>>,
    metrics_port: Option<u16>,
) -> Result<(), StartError> {
    let settings = node.settings();
    let peers = bind(settings.peer).await?;
    spawn_local(listener::accept(Rc::clone(node), peers, listener::serve_peer));
    if let Some(callers) = settings.callers {
        let callers = bind(callers).await?;
        spawn_local(listener::accept(Rc::clone(node), callers, listener::serve_caller));
    }
    for address in [settings.ready, settings.directory].into_iter().flatten() {
        let probes = bind(address).await?;
        spawn_local(listener::accept(
            Rc::clone(node),
            probes,
            listener::serve_readiness_and_addresses,
        ));
    }
    if let Some(port) = metrics_port {
        let metrics = bind(SocketAddr::new(settings.peer.ip(), port)).await?;
        spawn_local(listener::accept(Rc::clone(node), metrics, listener::serve_metrics));
    }
    Ok(())
}

/// Registers, joins the fleet, waits until it knows a configuration and the targets, and starts all
/// background tasks.
async fn join_and_serve<P: Platform>(node: Rc<Node<P>>) {
    let settings = node.settings();
    let (incarnation, seeds) = register(&node, &settings).await;
    spawn_local(feed::follow_from_peers(Rc::clone(&node), Subject::Targets, seeds.clone()));
    // Callers are sent to a node from the moment at which it joins.
    let began_at = clock::now();
    while !feed::is_started(&node, Subject::Targets)
        && clock::now().since_ms(began_at) < JOIN_WITHOUT_TARGETS_AFTER_MS
    {
        sleep(TARGETS_POLL_INTERVAL).await;
    }
    peers::join(&node, &settings, incarnation, seeds);
    spawn_local(peers::run_membership(Rc::clone(&node)));
    while node.document().is_none() || !feed::is_started(&node, Subject::Targets) {
        sleep(POLL_INTERVAL).await;
    }
    node.ready.set(true);
    node.note("ready", json!({ "incarnation": incarnation.0 }));
    spawn_local(batches::take_over_orphans(Rc::clone(&node)));
    spawn_local(runs::schedule(Rc::clone(&node)));
    spawn_local(orders::run_order_duty(Rc::clone(&node)));
    spawn_local(duties::serve(Rc::clone(&node)));
    spawn_local(fairness::share_loads(Rc::clone(&node)));
}

/// Registers this node's address, and retries until that succeeds. The store's revision of that
/// write is the incarnation, so a restart has a higher one whatever the instance's clock shows.
/// Returns the incarnation and the addresses of the other nodes.
async fn register<P: Platform>(
    node: &Rc<Node<P>>,
    settings: &Settings,
) -> (Incarnation, Vec<SocketAddr>) {
    let key = format!("{NODES}{}", settings.node);
    let value = settings.peer.to_string().into_bytes();
    let call = StoreCall::Transaction {
        deletes: Vec::new(),
        expected: Vec::new(),
        puts: vec![Put { key, lease: None, value }],
    };
    loop {
        if let Ok(StoreAnswer::Committed { revision }) = node.store(&call).await
            && let Ok(items) = registered_nodes(node).await
        {
            let registered = items.iter().filter_map(|item| {
                let name = item.key.strip_prefix(NODES)?;
                Some((peers::to_node_name(name), Incarnation(item.revision)))
            });
            *node.registered.borrow_mut() = registered.collect();
            let seeds = items
                .iter()
                .filter_map(|item| std::str::from_utf8(&item.value).ok()?.parse().ok())
                .filter(|address| *address != settings.peer)
                .collect();
            return (Incarnation(revision), seeds);
        }
        sleep(REGISTER_RETRY_DELAY).await;
    }
}

/// Reads the registered nodes. A stale read is sufficient, since gossip adds missing nodes. If it
/// lists no other node, as at the first start of the fleet, the current list is read.
async fn registered_nodes<P: Platform>(node: &Node<P>) -> Result<Vec<StoredItem>, StoreRefusal> {
    let own_key = format!("{NODES}{}", node.settings().node);
    let items = feed::read_stale(node, NODES).await?;
    if items.iter().any(|item| item.key != own_key) {
        return Ok(items);
    }
    feed::read_all(node, NODES).await.map(|(items, _)| items)
}

async fn reload_on_signal<P: Platform>(node: Rc<Node<P>>) {
    let Ok(mut reload) = signal(SignalKind::hangup()) else {
        return node.note("reload_unavailable", json!({}));
    };
    while reload.recv().await.is_some() {
        match P::settings() {
            Ok(settings) => {
                node.note("reloaded", json!({ "store": settings.store }));
                *node.settings.borrow_mut() = Rc::new(settings);
            }
            Err(error) => node.note("reload_refused", json!({ "why": error.to_string() })),
        }
    }
}

/// Logs a summary of the counters at a fixed interval.
async fn summarize<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(SUMMARY_INTERVAL).await;
        node.note(
            "summary",
            json!({
                "store_calls": node.metrics.store_calls_so_far(),
                "in_flight": node.in_flight.get(),
                "connections_opened": node.metrics.connections_opened.get(),
            }),
        );
    }
}

/// Shuts down gracefully. The node leaves the directory at once, and accepts requests until the last
/// address given out has expired. The accepted ones are answered, as far as the grace time allows:
/// their connections end once the last byte of the answer was sent. Those that are still in progress
/// at its end are told that they may have run.
async fn leave<P: Platform>(node: &Rc<Node<P>>) {
    let began_at = clock::now();
    node.leaving.set(true);
    note_progress(node, "leaving");
    peers::with_members(node, Membership::leave);
    let handover = spawn_local(batches::hand_over_all(Rc::clone(node)));
    let grace_until = began_at.plus(node.settings().grace_ms.saturating_sub(EXIT_RESERVE_MS));
    let addresses_expire_at = began_at.plus(ADDRESS_TTL_FACTOR * ADDRESSES_TTL_MS);
    let close_at = addresses_expire_at.min(grace_until);
    sleep(Duration::from_millis(close_at.since_ms(clock::now()))).await;
    // A request that is accepted later may need more than the rest of the grace time.
    node.closing.send_replace(true);
    note_progress(node, "closing");
    sleep(POLL_INTERVAL).await;
    while clock::now() < grace_until
        && (node.caller_connections.get() > 0 || !handover.is_finished())
    {
        sleep(POLL_INTERVAL).await;
    }
    node.grace_over.send_replace(true);
    let answered_by = clock::now().plus(LAST_ANSWERS_MS);
    while clock::now() < answered_by && node.caller_connections.get() > 0 {
        sleep(POLL_INTERVAL).await;
    }
    note_progress(node, "stopped");
    // Leaves the writer of the audit trail time to write the last lines.
    sleep(Duration::from_millis(300)).await;
}

/// Logs a step of a planned stop, with what is still in progress.
fn note_progress<P: Platform>(node: &Node<P>, step: &'static str) {
    let (in_flight, connections) = (node.in_flight.get(), node.caller_connections.get());
    node.note(step, json!({ "in_flight": in_flight, "connections": connections }));
}
