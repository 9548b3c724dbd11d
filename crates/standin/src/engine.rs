//! A model engine's stand-in.
//!
//! It batches continuously: a tick advances every running sequence by some tokens, fewer each as
//! the batch fills. Waiting sequences enter by priority. A weight order is fetched from the weight
//! store at a limited rate and then swapped in between two ticks, so a sequence's tokens can come
//! from several versions; each chunk names the version that produced it. The engine keeps its own
//! record of every token it sent, which is what attribution is checked against.

#![expect(clippy::redundant_type_annotations, reason = "written by the framework's route macros")]
#![expect(clippy::needless_pass_by_value, reason = "the framework hands guards over by value")]

use crate::web::{StandinError, WebServer};
use catkinmast_model::{Fence, Segment, Segments, UnixMs, Version};
use catkinmast_platform::{CancelRequest, EngineLine, GenerateRequest, LoadReport, WeightOrder};
use indexmap::IndexMap;
use rocket::http::Status;
use rocket::response::stream::TextStream;
use rocket::serde::json::Json;
use rocket::{State, get, post, routes};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// Size of the vocabulary from which tokens are drawn.
const VOCABULARY_SIZE: u64 = 50_000;
/// One sequence in this many is a straggler, ten times the usual length.
const STRAGGLER_INTERVAL: u64 = 24;
/// How many prompt prefixes fit into the cache.
const CACHED_PREFIXES_MAX: usize = 64;
/// How many cache events are kept for readers.
const CACHE_EVENTS_MAX: usize = 256;
/// One cache event in this many is lost, as real engines lose them.
const CACHE_EVENT_LOSS_INTERVAL: u64 = 10;

/// How an engine's stand-in starts.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fence: bool,
    /// How old a load report is.
    pub load_lag_ms: u64,
    /// How many sequences run at once.
    pub max_batch: usize,
    /// The length of a usual sequence.
    pub median_tokens: u32,
    /// How long swapping weights takes once they are fetched.
    pub swap_ms: u64,
    /// Time between two ticks.
    pub tick_ms: u64,
    /// Tokens that a lone sequence gains in a tick.
    pub tokens_per_tick: u32,
    /// Where weights are fetched from before a swap; none takes no time.
    pub weight_store: Option<SocketAddr>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            checks_fence: true,
            load_lag_ms: 200,
            max_batch: 16,
            median_tokens: 48,
            swap_ms: 150,
            tick_ms: 10,
            tokens_per_tick: 8,
            weight_store: None,
        }
    }
}

/// What the engine did for one request, by its own record.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RunRecord {
    /// Whether it ran to its end.
    pub finished: bool,
    /// First token index of this run.
    pub resumed_from: u32,
    /// The versions of the tokens, counted from `resumed_from`.
    pub segments: Segments,
}

#[derive(Debug)]
struct Sequence {
    prefill_ticks: u32,
    length: u32,
    next: u32,
    request: GenerateRequest,
    sender: mpsc::UnboundedSender<EngineLine>,
}

#[derive(Debug, Default)]
struct Faults {
    crashed: bool,
    fail_swaps: u32,
    slow_factor: u32,
}

#[derive(Debug, Default)]
struct EngineState {
    cache: VecDeque<u64>,
    /// When it happened, its number, and the digest of the prompt.
    cache_events: VecDeque<(UnixMs, u64, u64)>,
    cache_sequence: u64,
    faults: Faults,
    fence: Fence,
    load: LoadReport,
    records: IndexMap<String, RunRecord>,
    running: Vec<Sequence>,
    swap: Option<Swap>,
    ticks: u64,
    versions: IndexMap<String, Version>,
    waiting: Vec<Sequence>,
}

#[derive(Debug)]
struct Swap {
    done_at: UnixMs,
    model: String,
    version: Version,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<EngineState>,
    settings: EngineSettings,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Returns the token that any engine produces at `index` under `version`.
pub fn expected_token(prompt: &str, seed: u64, index: u32, version: Version) -> u32 {
    let text = format!("{prompt}\n{seed}\n{index}\n{version}");
    (xxh3_64(text.as_bytes()) % VOCABULARY_SIZE) as u32
}

/// A sequence's length depends on prompt and seed alone, so it is the same on every engine.
fn sequence_length(request: &GenerateRequest, median_tokens: u32) -> u32 {
    let hash = xxh3_64(format!("{}\n{}", request.prompt, request.seed).as_bytes());
    let base_length = median_tokens / 2 + (hash % u64::from(median_tokens.max(1))) as u32;
    let length_factor = if (hash >> 32).is_multiple_of(STRAGGLER_INTERVAL) { 10 } else { 1 };
    (base_length * length_factor).clamp(1, request.max_tokens.max(1))
}

/// A running stand-in of a model engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    ticker: tokio::task::JoinHandle<()>,
    web: WebServer,
}

impl Engine {
    /// Starts the stand-in.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn spawn(settings: EngineSettings) -> Result<Self, StandinError> {
        let address = settings.address;
        let shared = Arc::new(Shared { state: Mutex::default(), settings });
        let state = Arc::clone(&shared);
        let web = WebServer::bind(address, move |rocket| {
            rocket.manage(state).mount(
                "/",
                routes![generate, cancel, order, load, cache_events, records, set_faults],
            )
        })
        .await?;
        let ticker = tokio::spawn(tick_forever(Arc::clone(&shared)));
        Ok(Self { shared, ticker, web })
    }

    /// Returns where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.web.address()
    }

    /// Returns the engine's own record, by request id.
    pub fn records(&self) -> IndexMap<String, RunRecord> {
        self.shared.lock().records.clone()
    }

    /// Returns the version that it serves for `model`.
    pub fn version(&self, model: &str) -> Version {
        self.shared.lock().versions.get(model).copied().unwrap_or_default()
    }

    /// Lets the next `count` weight swaps fail.
    pub fn fail_swaps(&self, count: u32) {
        self.shared.lock().faults.fail_swaps = count;
    }

    /// Makes every tick `factor` times as long.
    pub fn slow_down(&self, factor: u32) {
        self.shared.lock().faults.slow_factor = factor;
    }

    /// Stops without a goodbye: streams end in the middle, nothing new is answered.
    pub fn crash(&self) {
        self.web.crash();
        self.ticker.abort();
        let mut state = self.shared.lock();
        state.faults.crashed = true;
        state.running.clear();
        state.waiting.clear();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.ticker.abort();
    }
}

async fn tick_forever(shared: Arc<Shared>) {
    loop {
        let slow_factor = u64::from(shared.lock().faults.slow_factor.max(1));
        tokio::time::sleep(Duration::from_millis(shared.settings.tick_ms * slow_factor)).await;
        shared.lock().tick(UnixMs::from_wall_clock(), &shared.settings);
    }
}

impl EngineState {
    fn tick(&mut self, now: UnixMs, settings: &EngineSettings) {
        self.ticks += 1;
        self.finish_swap(now);
        self.admit(settings);
        let new_tokens = tokens_per_sequence(settings, self.running.len());
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|sequence| !self.advance(sequence, new_tokens));
        self.running = running;
        if now.since_ms(self.load.as_of_unix_ms) >= settings.load_lag_ms {
            self.load = LoadReport {
                as_of_unix_ms: now,
                queued: self.waiting.len(),
                running: self.running.len(),
                versions: self.versions.clone(),
            };
        }
    }

    fn finish_swap(&mut self, now: UnixMs) {
        if self.swap.as_ref().is_some_and(|swap| swap.done_at <= now)
            && let Some(swap) = self.swap.take()
        {
            if self.faults.fail_swaps > 0 {
                self.faults.fail_swaps -= 1;
            } else {
                self.versions.insert(swap.model, swap.version);
            }
        }
    }

    fn admit(&mut self, settings: &EngineSettings) {
        self.waiting.sort_by_key(|sequence| std::cmp::Reverse(sequence.request.priority));
        while self.running.len() < settings.max_batch && !self.waiting.is_empty() {
            let mut sequence = self.waiting.remove(0);
            sequence.prefill_ticks = u32::from(!self.touch_prefix(&sequence.request.prompt));
            self.running.push(sequence);
        }
    }

    /// Tells whether the prompt's prefix was cached, and caches it.
    fn touch_prefix(&mut self, prompt: &str) -> bool {
        let digest = xxh3_64(prompt.as_bytes());
        let found = self.cache.iter().position(|cached| *cached == digest);
        if let Some(position) = found {
            self.cache.remove(position);
        } else {
            self.cache_sequence += 1;
            if !self.cache_sequence.is_multiple_of(CACHE_EVENT_LOSS_INTERVAL) {
                let now = UnixMs::from_wall_clock();
                self.cache_events.push_back((now, self.cache_sequence, digest));
                if self.cache_events.len() > CACHE_EVENTS_MAX {
                    self.cache_events.pop_front();
                }
            }
        }
        self.cache.push_back(digest);
        if self.cache.len() > CACHED_PREFIXES_MAX {
            self.cache.pop_front();
        }
        found.is_some()
    }

    /// Advances one sequence and tells whether it is over.
    fn advance(&mut self, sequence: &mut Sequence, new_tokens: u32) -> bool {
        if sequence.prefill_ticks > 0 {
            sequence.prefill_ticks -= 1;
            return sequence.sender.is_closed();
        }
        let request = &sequence.request;
        let version = self.versions.get(&request.model).copied().unwrap_or_default();
        let end = (sequence.next + new_tokens).min(sequence.length);
        let tokens: Vec<u32> = (sequence.next..end)
            .map(|index| expected_token(&request.prompt, request.seed, index, version))
            .collect();
        let record = self.records.entry(request.request_id.clone()).or_default();
        record.segments.push(version, tokens.len() as u32);
        let chunk = EngineLine::Chunk {
            request_id: request.request_id.clone(),
            start: sequence.next,
            tokens,
            version,
        };
        sequence.next = end;
        let is_disconnected = sequence.sender.send(chunk).is_err();
        if end == sequence.length {
            record.finished = true;
            let count = end;
            let request_id = request.request_id.clone();
            drop(sequence.sender.send(EngineLine::End { count, request_id }));
        }
        is_disconnected || end == sequence.length
    }
}

/// Tokens that each sequence gains in a tick: a fuller batch is slower for each, faster in all.
fn tokens_per_sequence(settings: &EngineSettings, running: usize) -> u32 {
    let batch_slowdown = running * 2 / settings.max_batch.max(1);
    (settings.tokens_per_tick / (1 + batch_slowdown as u32)).max(1)
}

#[post("/generate", data = "<request>")]
fn generate(
    request: Json<GenerateRequest>,
    shared: &State<Arc<Shared>>,
) -> Result<TextStream![String], Status> {
    let request = request.into_inner();
    let (sender, mut lines) = mpsc::unbounded_channel();
    let length = sequence_length(&request, shared.settings.median_tokens);
    {
        let mut state = shared.lock();
        if state.faults.crashed {
            return Err(Status::InternalServerError);
        }
        let record = state.records.entry(request.request_id.clone()).or_default();
        record.resumed_from = request.resume_from;
        let next = request.resume_from.min(length);
        state.waiting.push(Sequence { prefill_ticks: 0, length, next, request, sender });
    };
    Ok(TextStream! {
        while let Some(line) = lines.recv().await {
            if let Ok(mut text) = serde_json::to_string(&line) {
                text.push('\n');
                yield text;
            }
        }
    })
}

#[post("/cancel", data = "<request>")]
fn cancel(request: Json<CancelRequest>, shared: &State<Arc<Shared>>) -> Status {
    let mut state = shared.lock();
    state.running.retain(|sequence| sequence.request.request_id != request.request_id);
    state.waiting.retain(|sequence| sequence.request.request_id != request.request_id);
    Status::NoContent
}

#[post("/order", data = "<request>")]
fn order(request: Json<WeightOrder>, shared: &State<Arc<Shared>>) -> Status {
    let request = request.into_inner();
    let mut state = shared.lock();
    if shared.settings.checks_fence && request.fence < state.fence {
        return Status::Conflict;
    }
    state.fence = state.fence.max(request.fence);
    if state.versions.get(&request.model) == Some(&request.version) {
        return Status::Ok;
    }
    let in_progress = state.swap.as_ref().is_some_and(|swap| swap.version == request.version);
    if !in_progress {
        let (model, version) = (request.model, request.version);
        // Not done before the weights are there.
        state.swap = Some(Swap { done_at: UnixMs(u64::MAX), model: model.clone(), version });
        tokio::spawn(fetch_weights(Arc::clone(shared.inner()), model, version));
    }
    Status::Accepted
}

/// Fetches weights from the store, which lets few fetch at once, and then begins the swap.
async fn fetch_weights(shared: Arc<Shared>, model: String, version: Version) {
    let fetched = match shared.settings.weight_store {
        None => true,
        Some(store) => {
            let url = format!("http://{store}/weights/{model}/{version}");
            reqwest::get(url).await.is_ok_and(|answer| answer.status().is_success())
        }
    };
    let mut state = shared.lock();
    let is_this_swap = |swap: &Swap| swap.version == version && swap.model == model;
    if !state.swap.as_ref().is_some_and(is_this_swap) {
        return;
    }
    if fetched {
        let done_at = UnixMs::from_wall_clock().plus(shared.settings.swap_ms);
        state.swap = Some(Swap { done_at, model, version });
    } else {
        state.swap = None;
    }
}

#[get("/load")]
fn load(shared: &State<Arc<Shared>>) -> Result<Json<LoadReport>, Status> {
    let state = shared.lock();
    if state.faults.crashed {
        return Err(Status::InternalServerError);
    }
    Ok(Json(state.load.clone()))
}

/// The cache events after a sequence number: as late as load reports, and with gaps.
#[get("/cache-events?<after>")]
fn cache_events(after: u64, shared: &State<Arc<Shared>>) -> Json<Vec<(u64, u64)>> {
    let state = shared.lock();
    let now = UnixMs::from_wall_clock();
    let lag_ms = shared.settings.load_lag_ms;
    let visible = state
        .cache_events
        .iter()
        .filter(|(at, number, _)| *number > after && now.since_ms(*at) >= lag_ms);
    Json(visible.map(|(_, number, digest)| (*number, *digest)).collect())
}

#[get("/standin/records")]
fn records(shared: &State<Arc<Shared>>) -> Json<IndexMap<String, RunRecord>> {
    Json(shared.lock().records.clone())
}

/// Faults that a test switches on from outside.
#[derive(Debug, Deserialize)]
struct FaultRequest {
    fail_swaps: u32,
    slow_factor: u32,
}

#[post("/standin/faults", data = "<request>")]
fn set_faults(request: Json<FaultRequest>, shared: &State<Arc<Shared>>) -> Status {
    let mut state = shared.lock();
    state.faults.fail_swaps = request.fail_swaps;
    state.faults.slow_factor = request.slow_factor;
    Status::NoContent
}

impl RunRecord {
    /// Returns the segments with their true token indices.
    pub fn absolute_segments(&self) -> Vec<Segment> {
        let shift = |segment: &Segment| Segment {
            end: segment.end + self.resumed_from,
            start: segment.start + self.resumed_from,
            version: segment.version,
        };
        self.segments.as_slice().iter().map(shift).collect()
    }
}
