//! The state of one process, and its calls to the store and to peers.

use crate::active::ActiveCount;
use crate::admission::Gates;
use crate::batches::Batches;
use crate::clock;
use crate::cold::{self, Cold};
use crate::crashes;
use crate::fairness::Fairness;
use crate::feed::Feeds;
use crate::health::{self, Health};
use crate::metrics::{Metrics, count};
use crate::outage::{self, Outage};
use crate::peers::{PACKED_ENCODING, PeerAnswer, PeerCall, RankCache};
use crate::platform::Platform;
use crate::pool::{Pool, read_body};
use crate::retry_rounds::RetryRounds;
use crate::runs::ModelTargets;
use crate::settings::Settings;
use crate::store::{Expectation, LeaseId, Put, StoreAnswer, StoreCall, StoreRefusal};
use crate::trail::Trail;
use crate::usage::Usage;
use bytes::Bytes;
use catkinmast_dispatch::{
    Candidate, Demand, Document, Item, LoadBalancer, LoadBalancerSettings, RunTimeEstimator,
    TargetChange, TargetEntry, TargetTable,
};
use catkinmast_feed::Recipient;
use catkinmast_health::Advice;
use catkinmast_hedge::Hedging;
use catkinmast_member::{Membership, NodeState};
use catkinmast_model::{Incarnation, Name, UnixMs, Verdict};
use catkinmast_quarantine::{Fingerprint, InterruptedRequests, Quarantine};
use catkinmast_wire::SharedKey;
use http::Request;
use http_body_util::Full;
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// After this time a call counts as lost. The store usually answers within milliseconds, and within
/// half a second when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time that a watch may take beyond its wait, and a call via a peer beyond a direct one.
const WATCH_SLACK_MS: u64 = 1_000;
/// How long calls go to peers first after a direct call to the store has failed.
const STORE_BACKOFF_MS: u64 = 1_500;
/// Peers that are tried for one call of the store: with two, the call succeeds even if one of them
/// is itself cut off from the store.
const STORE_PEERS_MAX: usize = 2;
/// Approximate time per stream event, to estimate the remaining time of a resumed run.
const EVENT_MS: u64 = 40;
/// Least number of targets with room among which a call chooses. A choice between two would do for an
/// even load; more are needed where some fail or are slow, but a node with few calls learns of a slow
/// target only by a call to it.
const NEAR_TARGETS_MIN: usize = 16;
/// Largest number, for a node that makes as many calls a second. A few nodes make most of the calls,
/// and with few targets each they would give some targets twice the mean work.
const NEAR_TARGETS_MAX: usize = 48;
/// Size limit of the answers of the store and of peers: a page of 1 MB in base64, with a margin.
const ANSWER_MAX_BYTES: usize = 4 << 20;

/// The state of one process. Everything runs on one thread, and no borrow is held across an await.
#[derive(Debug)]
pub(crate) struct Node<P> {
    pub batches: Batches,
    /// Requests that were interrupted at targets that have sent nothing since.
    pub interrupted: RefCell<InterruptedRequests>,
    /// Connections of callers that are open.
    pub caller_connections: ActiveCount,
    /// Set when the process stops accepting connections and requests of callers.
    pub closing: watch::Sender<bool>,
    /// Set at the end of a stop's grace time, when requests in progress are answered as they are.
    pub grace_over: watch::Sender<bool>,
    pub cold: Cold,
    /// Wakes the background task that stores the evidence against requests that crash targets.
    pub crashes_changed: Notify,
    pub datagrams: UdpSocket,
    /// The work queued for each model, by which targets are shared among the models.
    pub demand: RefCell<Demand>,
    /// The configuration in force.
    pub document: RefCell<Option<Rc<Document>>>,
    /// The shares of workspaces in what is served.
    pub fairness: Fairness,
    pub feeds: Feeds,
    /// The health of targets, as this node and others have observed it.
    pub health: Health,
    /// Admits callers' requests to services.
    pub gates: Gates,
    pub hedging: RefCell<Hedging>,
    /// Requests of callers whose answers are not passed to their connections completely.
    pub in_flight: ActiveCount,
    /// When this node joined the fleet; none before.
    pub joined_at: Cell<Option<UnixMs>>,
    /// Authenticates the datagrams between nodes.
    pub datagram_key: SharedKey,
    /// Whether a planned stop has begun.
    pub leaving: Cell<bool>,
    pub run_times: RefCell<RunTimeEstimator>,
    pub balancer: RefCell<LoadBalancer>,
    pub members: RefCell<Option<Membership>>,
    pub metrics: Metrics,
    /// When the last batch was opened, by model.
    pub batch_opened_at: RefCell<IndexMap<String, UnixMs>>,
    pub outage: Outage,
    /// The targets of each model, as placing runs uses them.
    pub model_targets: RefCell<ModelTargets>,
    pub pool: Pool,
    /// The requests during which targets have ended, and the evidence against each.
    pub quarantine: RefCell<Quarantine>,
    /// Whether the node has joined the fleet and has received a configuration.
    pub ready: Cell<bool>,
    pub ranks: RefCell<RankCache>,
    /// The nodes that messages for all go to, and the version of the facts that they come from.
    pub recipients: RefCell<Option<(u64, Rc<[Recipient]>)>>,
    /// The incarnations of the nodes that were registered when this one started.
    pub registered: RefCell<IndexMap<Name, Incarnation>>,
    pub rng: RefCell<Pcg64Mcg>,
    /// Requests that wait because no target of their service can be tried.
    pub retry_rounds: RetryRounds,
    pub settings: RefCell<Rc<Settings>>,
    pub store_backoff_until: Cell<UnixMs>,
    pub targets: RefCell<TargetTable>,
    pub trail: Trail,
    /// Requests for which this node's evidence is not in the store yet.
    pub unsaved_crashes: RefCell<IndexSet<Fingerprint>>,
    /// The requests of workspaces, counted here and reported by other nodes.
    pub usage: Usage,
    /// The store instances that are to be drained, each with the revision of the request.
    pub draining: RefCell<IndexMap<String, u64>>,
    /// The newest published weight version of each model.
    pub versions: RefCell<IndexMap<String, u64>>,
    /// Wakes the scheduler of batch items.
    pub work: Notify,
    platform: PhantomData<P>,
}

impl<P: Platform> Node<P> {
    pub(crate) fn open(settings: Settings, datagrams: UdpSocket, trail: Trail) -> Self {
        let metrics = Metrics::open();
        let targets = TargetTable::open(&settings.node, &settings.data_centre);
        let pool = Pool::new(metrics.connections_opened.clone());
        Self {
            batches: Batches::default(),
            interrupted: RefCell::new(InterruptedRequests::default()),
            caller_connections: ActiveCount::default(),
            closing: watch::Sender::new(false),
            grace_over: watch::Sender::new(false),
            cold: Cold::default(),
            crashes_changed: Notify::new(),
            datagrams,
            demand: RefCell::new(Demand::default()),
            document: RefCell::new(None),
            fairness: Fairness::default(),
            feeds: Feeds::default(),
            health: Health::open(&settings.node),
            gates: Gates::default(),
            hedging: RefCell::new(Hedging::default()),
            in_flight: ActiveCount::default(),
            joined_at: Cell::new(None),
            // The platform provides no shared secret. With this fixed key the tag of a datagram
            // still rejects data that is not a frame.
            datagram_key: SharedKey::derive(""),
            leaving: Cell::new(false),
            run_times: RefCell::new(RunTimeEstimator::default()),
            balancer: RefCell::new(LoadBalancer::open(LoadBalancerSettings::default())),
            members: RefCell::new(None),
            metrics,
            batch_opened_at: RefCell::new(IndexMap::new()),
            outage: Outage::default(),
            model_targets: RefCell::new(ModelTargets::default()),
            pool,
            quarantine: RefCell::new(Quarantine::default()),
            ready: Cell::new(false),
            ranks: RefCell::new(RankCache::default()),
            recipients: RefCell::new(None),
            registered: RefCell::new(IndexMap::new()),
            rng: RefCell::new(Pcg64Mcg::from_os_rng()),
            retry_rounds: RetryRounds::default(),
            settings: RefCell::new(Rc::new(settings)),
            store_backoff_until: Cell::new(UnixMs(0)),
            targets: RefCell::new(targets),
            trail,
            unsaved_crashes: RefCell::new(IndexSet::new()),
            usage: Usage::default(),
            draining: RefCell::new(IndexMap::new()),
            versions: RefCell::new(IndexMap::new()),
            work: Notify::new(),
            platform: PhantomData,
        }
    }

    pub(crate) fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    pub(crate) fn document(&self) -> Option<Rc<Document>> {
        self.document.borrow().clone()
    }

    /// Records that a batch was opened: its work, by which targets are shared among models, and
    /// its time, by which load orders are planned.
    pub(crate) fn record_demand(&self, model: Option<&str>, work_tokens: u64, items: u64) {
        if let Some(model) = model {
            self.batch_opened_at.borrow_mut().insert(model.to_owned(), clock::now());
            let mut demand = self.demand.borrow_mut();
            demand.record_batch(model, work_tokens);
            demand.record_items(model, items);
        }
    }

    /// Returns the expected run time of an item, in milliseconds. A resumed run begins after the
    /// event `after`.
    pub(crate) fn expected_run_ms(&self, item: &Item, after: Option<u64>) -> u64 {
        let run_times = self.run_times.borrow();
        let full_ms = run_times.expected_ms(item.expected_tokens());
        full_ms.saturating_sub(after.unwrap_or(0) * EVENT_MS)
    }

    pub(crate) fn random_u64(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Writes a line to the audit trail.
    pub(crate) fn note(&self, event: &'static str, fields: serde_json::Value) {
        self.trail.note(clock::now(), event, fields);
    }

    /// Returns the addresses of the live peers, in random order.
    pub(crate) fn live_peers(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let Some(members) = members.as_ref() else { return Vec::new() };
        let mut peers: Vec<SocketAddr> = members
            .peers()
            .filter(|node| node.state == NodeState::Live)
            .map(|node| node.control)
            .collect();
        let mut rng = self.rng.borrow_mut();
        for index in (1..peers.len()).rev() {
            peers.swap(index, rng.random_range(0..=index));
        }
        peers
    }

    /// Handles a change of the target table: logs it, closes idle connections, and stops the runs
    /// at a target that has restarted.
    pub(crate) fn target_changed(&self, change: &TargetChange, why: &'static str) {
        let (id, event) = match change {
            TargetChange::Joined(id) => (id, "target_joined"),
            TargetChange::Left(id) => (id, "target_left"),
            TargetChange::Restarted(id) => (id, "target_reborn"),
            TargetChange::None => return,
        };
        let entry = self.targets.borrow().entry(id).cloned();
        let Some(entry) = entry else { return };
        self.note(
            event,
            json!({
                "target": id, "service": entry.service, "address": entry.address,
                "heartbeat": entry.sequence, "born_at_unix_ms": entry.started_at_unix_ms, "why": why,
            }),
        );
        if !matches!(change, TargetChange::Joined(_)) {
            self.pool.close_idle(entry.address);
        }
        crashes::target_changed(self, change, &entry);
        health::target_changed(self, change, &entry);
        if matches!(change, TargetChange::Restarted(_)) {
            cold::mark_restarted(self, &entry);
            self.balancer.borrow_mut().target_restarted(id);
            // Connections of the ended incarnation may hang without an error; stopping the runs
            // lets their generated output continue on other targets at once.
            self.batches.stop_runs_at(id);
        }
        self.work.notify_one();
    }

    /// Runs `choose` over the usable targets among `ids` that `fits` accepts and that are not too
    /// cold for a request from here. Returns the chosen target's id and address.
    pub(crate) fn pick_among<'a>(
        &self,
        ids: impl Iterator<Item = &'a str>,
        fits: impl Fn(&TargetEntry) -> bool,
        choose: impl FnOnce(&LoadBalancer, UnixMs, &[Candidate<'_>]) -> Option<String>,
    ) -> Option<(String, SocketAddr)> {
        let targets = self.targets.borrow();
        let entries = ids.filter_map(|id| targets.usable_entry(id)).filter(|entry| fits(entry));
        self.pick_from(&targets, entries.map(|entry| (entry, Advice::default())), choose)
    }

    /// Like [`pick_among`](Self::pick_among), over all usable targets of a service.
    pub(crate) fn pick(
        &self,
        service: &str,
        fits: impl Fn(&TargetEntry) -> bool,
        choose: impl FnOnce(&LoadBalancer, UnixMs, &[Candidate<'_>]) -> Option<String>,
    ) -> Option<(String, SocketAddr)> {
        let targets = self.targets.borrow();
        let entries = targets.usable(service).filter(|entry| fits(entry));
        self.pick_from(&targets, entries.map(|entry| (entry, Advice::default())), choose)
    }

    /// Like [`pick`](Self::pick), over as many of the targets that this node prefers as have room
    /// for the calls that it makes. With a few targets for each node, a call costs as much in a
    /// large fleet as in a small one, and most calls find an open connection.
    pub(crate) fn pick_near(
        &self,
        service: &str,
        tried: &[String],
        choose: impl FnOnce(&LoadBalancer, UnixMs, &[Candidate<'_>]) -> Option<String>,
    ) -> Option<(String, SocketAddr)> {
        let now = clock::now();
        let targets = self.targets.borrow();
        let mut with_room = 0;
        let near = {
            let balancer = self.balancer.borrow();
            let wanted = balancer.calls_per_s(now) as usize;
            let wanted = wanted.clamp(NEAR_TARGETS_MIN, NEAR_TARGETS_MAX);
            let mut near: Vec<(&TargetEntry, Advice)> = Vec::new();
            for entry in targets.usable_near(service) {
                let advice = health::advice(self, &entry.id);
                near.push((entry, advice));
                let has_room = !advice.avoid
                    && !tried.contains(&entry.id)
                    && balancer.has_room(now, &entry.id, entry.slots)
                    && cold::may_send(self, entry);
                with_room += usize::from(has_room);
                if with_room >= wanted {
                    break;
                }
            }
            near
        };
        self.pick_from(&targets, near.into_iter(), choose)
    }

    fn pick_from<'a>(
        &self,
        targets: &TargetTable,
        entries: impl Iterator<Item = (&'a TargetEntry, Advice)>,
        choose: impl FnOnce(&LoadBalancer, UnixMs, &[Candidate<'_>]) -> Option<String>,
    ) -> Option<(String, SocketAddr)> {
        let now = clock::now();
        let settings = self.settings();
        let picks: Vec<Candidate<'_>> = entries
            .filter(|(entry, _)| cold::may_send(self, entry))
            .map(|(entry, advice)| Candidate {
                connected: self.pool.has_idle(entry.address),
                id: &entry.id,
                is_cold: self.cold.is_cold(now, &entry.id),
                preference: health::preference(advice),
                same_data_centre: entry.data_centre == settings.data_centre,
                slots: entry.slots,
                slowdown_tenths: advice.slowdown_tenths,
            })
            .collect();
        let id = choose(&self.balancer.borrow(), now, &picks)?;
        targets.entry(&id).map(|entry| (id.clone(), entry.address))
    }

    /// Calls the store, directly or via a peer.
    ///
    /// A watch is not repeated on the other path. If the store has dropped the history after the
    /// watch's revision, it reports so only with the next change, and until then this node would
    /// miss changes. So the feed reads all keys again instead.
    pub(crate) async fn store(&self, call: &StoreCall) -> Result<StoreAnswer, StoreRefusal> {
        let backs_off = clock::now() < self.store_backoff_until.get();
        if matches!(call, StoreCall::Watch { .. }) {
            return if backs_off {
                self.store_via_peers(call).await
            } else {
                self.store_direct(call).await
            };
        }
        let first = if backs_off {
            self.store_via_peers(call).await
        } else {
            self.store_direct(call).await
        };
        let first = match first {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let second = if backs_off {
            self.store_direct(call).await
        } else {
            self.store_via_peers(call).await
        };
        second.map_err(|refusal| refusal.after(&first))
    }

    /// Writes a key under a lease that was opened for this attempt, if the key has this revision.
    ///
    /// If the answer of one path is lost, the repetition on the other conflicts with the key that
    /// the first has written. A key that is bound to the lease can only come from this
    /// attempt, so that is reported as committed.
    pub(crate) async fn store_under_lease(
        &self,
        key: &str,
        revision: u64,
        lease: LeaseId,
        value: &[u8],
    ) -> Result<StoreAnswer, StoreRefusal> {
        let call = StoreCall::Transaction {
            deletes: Vec::new(),
            expected: vec![Expectation { key: key.to_owned(), revision }],
            puts: vec![Put { key: key.to_owned(), lease: Some(lease), value: value.to_vec() }],
        };
        let answer = self.store(&call).await?;
        if let StoreAnswer::Conflict { items } = &answer
            && let Some(own) = items.iter().find(|item| item.lease == Some(lease))
        {
            self.note("store_write_found", json!({ "key": key, "revision": own.revision }));
            return Ok(StoreAnswer::Committed { revision: own.revision });
        }
        Ok(answer)
    }

    /// Calls the store directly from this instance.
    pub(crate) async fn store_direct(&self, call: &StoreCall) -> Result<StoreAnswer, StoreRefusal> {
        count(&self.metrics.store_calls, call.kind());
        let timeout_after = match call {
            StoreCall::Watch { wait_ms, .. } => Duration::from_millis(wait_ms + WATCH_SLACK_MS),
            _ => STORE_TIMEOUT,
        };
        let began_at = clock::now();
        let result = self.exchange_retried_after_outage(call, timeout_after).await;
        match &result {
            Ok(_) => {
                self.store_backoff_until.set(UnixMs(0));
                outage::record_answer(self, call.kind());
            }
            Err(refusal) => {
                count(&self.metrics.store_failures, "direct");
                if self.outage.answered_since(began_at) {
                    return result;
                }
                self.store_backoff_until.set(clock::now().plus(STORE_BACKOFF_MS));
                if self.outage.record_failure(began_at) {
                    let fields = json!({ "by": call.kind(), "why": refusal.message });
                    self.note("store_lost", fields);
                }
            }
        }
        result
    }

    /// Calls the store, and repeats the call when an outage ends while it waits for its answer.
    async fn exchange_retried_after_outage(
        &self,
        call: &StoreCall,
        timeout_after: Duration,
    ) -> Result<StoreAnswer, StoreRefusal> {
        let may_have_run = |message: &str| StoreRefusal {
            message: message.to_owned(),
            verdict: Verdict::MayHaveRun,
        };
        let outage_ended = self.outage.ended.notified();
        tokio::select! {
            result = timeout(timeout_after, self.exchange_with_store(call)) => {
                return result.unwrap_or_else(|_| Err(may_have_run("no answer in time")));
            }
            () = outage_ended => {}
        }
        if matches!(call, StoreCall::Watch { .. }) {
            return Err(may_have_run("it was made during an outage"));
        }
        self.note("store_call_again", json!({ "by": call.kind() }));
        let again = timeout(timeout_after, self.exchange_with_store(call)).await;
        // The first call may still have been carried out, whatever the outcome of the second.
        again
            .unwrap_or_else(|_| Err(may_have_run("no answer in time")))
            .map_err(|refusal| StoreRefusal { verdict: Verdict::MayHaveRun, ..refusal })
    }

    /// Calls the store once, without a timeout.
    pub(crate) async fn exchange_with_store(
        &self,
        call: &StoreCall,
    ) -> Result<StoreAnswer, StoreRefusal> {
        let encoded = P::store_request(call);
        let address = self.settings().store;
        let request = Request::builder()
            .method(encoded.method)
            .uri(encoded.path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(encoded.body))
            .map_err(|error| StoreRefusal {
                message: error.to_string(),
                verdict: Verdict::NotRun,
            })?;
        let failed = |error: crate::pool::CallError| StoreRefusal {
            message: error.message,
            verdict: error.verdict,
        };
        let (response, connection) = self.pool.send(address, request).await.map_err(failed)?;
        let (head, body) = response.into_parts();
        let body = read_body(body, ANSWER_MAX_BYTES).await.map_err(failed)?;
        self.pool.release(connection, &head.headers);
        P::store_answer(call, head.status.as_u16(), &body)
    }

    async fn store_via_peers(&self, call: &StoreCall) -> Result<StoreAnswer, StoreRefusal> {
        let wait_ms = if let StoreCall::Watch { wait_ms, .. } = call { *wait_ms } else { 0 };
        let timeout_after = STORE_TIMEOUT + Duration::from_millis(wait_ms + WATCH_SLACK_MS);
        let peers = if wait_ms > 0 { 1 } else { STORE_PEERS_MAX };
        let mut refused: Option<StoreRefusal> = None;
        for peer in self.live_peers().into_iter().take(peers) {
            match self.store_via(peer, call, timeout_after).await {
                Ok(answer) => {
                    self.batches.store_returned();
                    return Ok(answer);
                }
                Err(refusal) => {
                    if matches!(call, StoreCall::Transaction { .. }) {
                        let (why, verdict) = (&refusal.message, refusal.verdict);
                        let line = json!({ "peer": peer, "why": why, "verdict": verdict });
                        self.note("store_write_failed_at_peer", line);
                    }
                    refused = Some(refusal.after_any(refused.as_ref()));
                }
            }
        }
        Err(refused.unwrap_or_else(no_live_peer))
    }

    /// Calls the store once, via one live peer.
    pub(crate) async fn store_via_one_peer(
        &self,
        call: &StoreCall,
    ) -> Result<StoreAnswer, StoreRefusal> {
        match self.live_peers().first() {
            Some(peer) => self.store_via(*peer, call, STORE_TIMEOUT).await,
            None => Err(no_live_peer()),
        }
    }

    async fn store_via(
        &self,
        peer: SocketAddr,
        call: &StoreCall,
        timeout_after: Duration,
    ) -> Result<StoreAnswer, StoreRefusal> {
        let refusal = |message: String, verdict| StoreRefusal { message, verdict };
        let result = match self.ask_peer(peer, &PeerCall::Store(call.clone()), timeout_after).await
        {
            Ok(PeerAnswer::Store(result)) => result,
            Ok(_) => Err(refusal("another answer than the store's".to_owned(), Verdict::Ran)),
            Err(error) => Err(refusal(error.message, error.verdict)),
        };
        if result.is_err() {
            count(&self.metrics.store_failures, "peer");
        }
        result
    }

    /// Calls a peer, with a timeout of `timeout_after`.
    pub(crate) async fn ask_peer(
        &self,
        peer: SocketAddr,
        call: &PeerCall,
        timeout_after: Duration,
    ) -> Result<PeerAnswer, crate::pool::CallError> {
        use crate::pool::CallError;
        let body =
            postcard::to_stdvec(call).map_err(|error| CallError::not_run(error.to_string()))?;
        let request = Request::post("/peer")
            .header(http::header::HOST, peer.to_string())
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallError::not_run(error.to_string()))?;
        let exchange = async {
            let (response, connection) = self.pool.send(peer, request).await?;
            let (head, body) = response.into_parts();
            let body = read_body(body, ANSWER_MAX_BYTES).await?;
            self.pool.release(connection, &head.headers);
            let unreadable = |why: String| CallError::may_have_run(why);
            let encoding = head.headers.get(http::header::CONTENT_ENCODING);
            let body = match encoding {
                Some(encoding) if encoding == PACKED_ENCODING => catkinmast_wire::unpack(&body)
                    .map_err(|error| unreadable(error.to_string()))?
                    .into(),
                _ => body,
            };
            postcard::from_bytes(&body).map_err(|error| unreadable(error.to_string()))
        };
        match timeout(timeout_after, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::may_have_run("the peer did not answer in time")),
        }
    }
}

fn no_live_peer() -> StoreRefusal {
    StoreRefusal { message: "no peer to ask".to_owned(), verdict: Verdict::NotRun }
}
