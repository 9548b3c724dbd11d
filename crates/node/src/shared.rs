//! State shared by all threads of a node.

use crate::auth::{Identity, Role};
use crate::clock::Clock;
use crate::control::Input;
use crate::edge::holdings::Holdings;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use arc_swap::ArcSwap;
use catkinmast_client::{Client, ClientSettings};
use catkinmast_model::{Incarnation, Name, Refusal, UnixMs};
use catkinmast_platform::{HttpEngines, HttpPlatform};
use catkinmast_route::{
    Admission, AdmissionLimits, RetryBudget, TargetBalancer, TargetSettings, TicketLimits,
    TicketTable, WaitId,
};
use catkinmast_wire::{DATAGRAM_MAX_BYTES, open};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot};

/// The adapter for the platform's services; another platform needs another adapter.
pub(crate) type Store = HttpPlatform;
/// The adapter for engines.
pub(crate) type EngineClient = HttpEngines;

/// Time limit for establishing a connection to a target.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Limit on the total size of the answers recorded for tickets.
const TICKET_ANSWERS_MAX_BYTES: usize = 8 << 20;
/// Limit on the datagrams queued for the control thread. Further ones are dropped; gossip sends the
/// facts again.
const DATAGRAMS_WAITING_MAX: usize = 4_096;
/// Limit on the number of remembered tickets.
const TICKETS_MAX: usize = 100_000;

/// State of the request path. Each part has a mutex of its own, held only for single calls.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub admission: Mutex<Admission>,
    pub admission_waiting: Mutex<IndexMap<WaitId, oneshot::Sender<Option<Refusal>>>>,
    pub budget: Mutex<RetryBudget>,
    pub rng: Mutex<Pcg64Mcg>,
    pub targets: Mutex<TargetBalancer>,
    pub tickets: Mutex<TicketTable>,
}

/// Clients for targets and for the platform's services.
#[derive(Debug)]
pub(crate) struct Clients {
    pub engines: EngineClient,
    /// Opens a new connection for each call and never retries by itself, for calls that may not be
    /// repeated. A pooled connection can break while the request is written, which leaves it
    /// unknown whether the target read the request.
    pub unpooled: Client,
    /// Reuses connections, for calls that may be repeated.
    pub pooled: Client,
    pub store: Store,
}

/// State shared by all threads of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub clients: Clients,
    pub clock: Clock,
    pub control: SocketAddr,
    pub datagrams_waiting: AtomicUsize,
    pub drain_requested: Notify,
    pub holdings: Mutex<Holdings>,
    /// Number of callers' requests and other nodes' runs in progress, for which a drain waits.
    pub in_progress: AtomicUsize,
    pub incarnation: Incarnation,
    pub inputs: Sender<Input>,
    pub metrics: Metrics,
    pub next_request: AtomicU64,
    pub settings: Settings,
    pub snapshot: ArcSwap<Snapshot>,
    pub traffic: Traffic,
}

/// Locks a mutex and ignores poisoning.
///
/// Each critical section only calls methods of the locked value, so its data stays usable even if
/// another holder has panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a request or run as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgress(Arc<Shared>);

impl InProgress {
    pub(crate) fn begin(shared: Arc<Shared>) -> Self {
        shared.in_progress.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Clients {
    pub(crate) fn open(platform: SocketAddr) -> Self {
        let client = |reuses_connections| {
            Client::open(&ClientSettings {
                connect_timeout_ms: CONNECT_TIMEOUT_MS,
                reuses_connections,
            })
        };
        Self {
            engines: EngineClient::open(),
            unpooled: client(false),
            pooled: client(true),
            store: Store::open(platform),
        }
    }
}

impl Traffic {
    pub(crate) fn open(seed: u64) -> Self {
        let limits = catkinmast_config::Limits::default();
        Self {
            admission: Mutex::new(Admission::new(AdmissionLimits {
                in_flight_max: limits.in_flight_max,
                queue_max: limits.queue_max,
            })),
            admission_waiting: Mutex::default(),
            budget: Mutex::new(RetryBudget::new(limits.retry_budget_percent)),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            targets: Mutex::new(TargetBalancer::new(TargetSettings::default())),
            tickets: Mutex::new(TicketTable::new(TicketLimits {
                answers_max_bytes: TICKET_ANSWERS_MAX_BYTES,
                retention_ms: limits.ticket_memory_ms,
                tickets_max: TICKETS_MAX,
            })),
        }
    }

    /// Applies a document's limits.
    pub(crate) fn set_limits(&self, document: &catkinmast_config::Document) {
        let limits = &document.limits;
        let bounded = |workspace: &catkinmast_config::Workspace| {
            workspace.in_flight_max.map(|limit| (workspace.name.as_str().to_owned(), limit))
        };
        let workspaces = document.workspaces.iter().filter_map(bounded).collect();
        let admission =
            AdmissionLimits { in_flight_max: limits.in_flight_max, queue_max: limits.queue_max };
        lock(&self.admission).set_limits(admission, workspaces);
        lock(&self.budget).set_percent(limits.retry_budget_percent);
        lock(&self.tickets).set_retention(limits.ticket_memory_ms);
    }
}

impl Shared {
    /// Returns the time of this node's own clock, which never goes back.
    ///
    /// For times that others store, such as the expiry of addresses and tickets, use the wall
    /// clock.
    pub(crate) fn now(&self) -> UnixMs {
        self.clock.now()
    }

    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    pub(crate) fn me(&self) -> &Name {
        &self.settings.name
    }

    /// Sends an input to the control thread; the input is dropped if the thread has stopped.
    pub(crate) fn send_input(&self, input: Input) {
        if self.inputs.send(input).is_err() {
            log::debug!("an input was dropped because the control thread has stopped");
        }
    }

    /// Decodes a datagram and passes it to the control thread.
    ///
    /// Invalid datagrams are counted and dropped here, on the receiving thread, and the queue of
    /// valid ones is bounded. A flood of datagrams thus costs neither memory nor the control
    /// thread's time.
    pub(crate) fn receive_datagram(&self, from: SocketAddr, bytes: &[u8]) {
        self.metrics.control_received_bytes.inc_by(bytes.len() as u64);
        let opened = open(&self.settings.shared_key, bytes, DATAGRAM_MAX_BYTES);
        let waiting = self.datagrams_waiting.load(Ordering::Relaxed);
        match opened {
            Ok(message) if waiting < DATAGRAMS_WAITING_MAX => {
                self.datagrams_waiting.fetch_add(1, Ordering::Relaxed);
                self.send_input(Input::Datagram { from, message });
            }
            Ok(_) => {
                log::debug!("a datagram from {from} was dropped: {waiting} are queued");
            }
            Err(error) => {
                self.metrics.frames_refused.inc();
                log::debug!("a datagram from {from} was dropped: {error}");
            }
        }
    }

    /// Returns the bearer of the token in an `Authorization` header, if the token is known.
    pub(crate) fn identify(&self, authorization: Option<&str>) -> Option<Identity> {
        let secret = authorization.and_then(|value| value.strip_prefix("Bearer "));
        let found = secret.and_then(|secret| {
            self.settings.tokens.iter().find(|token| token.matches_secret(secret.trim()))
        });
        found.map(|token| token.identity.clone())
    }

    /// Returns whether every request may act in every role.
    pub(crate) const fn has_open_access(&self) -> bool {
        self.settings.open_access
    }

    /// Returns whether an identity may act in a role.
    pub(crate) fn may_act_as(&self, identity: Option<&Identity>, role: Role) -> bool {
        self.has_open_access() || identity.is_some_and(|identity| identity.role == role)
    }
}
