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
const VOCABULARY: u64 = 50_000;
/// One sequence in this many is a straggler, ten times the usual length.
const STRAGGLER_EVERY: u64 = 24;
/// How many prompt prefixes fit into the cache.
const CACHE_PREFIXES: usize = 64;
/// How many cache events are kept for readers.
const CACHE_EVENTS: usize = 256;
/// One cache event in this many is lost, as real engines lose them.
const CACHE_EVENT_GAP: u64 = 10;

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
    cold_ticks: u32,
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
struct Batch {
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
    batch: Mutex<Batch>,
    settings: EngineSettings,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Returns the token that any engine produces at `index` under `version`.
pub fn expected_token(prompt: &str, seed: u64, index: u32, version: Version) -> u32 {
    let text = format!("{prompt}\n{seed}\n{index}\n{version}");
    (xxh3_64(text.as_bytes()) % VOCABULARY) as u32
}

/// A sequence's length depends on prompt and seed alone, so it is the same on every engine.
fn sequence_length(request: &GenerateRequest, median_tokens: u32) -> u32 {
    let draw = xxh3_64(format!("{}\n{}", request.prompt, request.seed).as_bytes());
    let spread = median_tokens / 2 + (draw % u64::from(median_tokens.max(1))) as u32;
    let factor = if (draw >> 32).is_multiple_of(STRAGGLER_EVERY) { 10 } else { 1 };
    (spread * factor).clamp(1, request.max_tokens.max(1))
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
        let shared = Arc::new(Shared { batch: Mutex::default(), settings });
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
        let mut batch = self.shared.lock();
        batch.faults.crashed = true;
        batch.running.clear();
        batch.waiting.clear();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.ticker.abort();
    }
}

async fn tick_forever(shared: Arc<Shared>) {
    loop {
        let slow = u64::from(shared.lock().faults.slow_factor.max(1));
        tokio::time::sleep(Duration::from_millis(shared.settings.tick_ms * slow)).await;
        shared.lock().tick(UnixMs::from_wall_clock(), &shared.settings);
    }
}

impl Batch {
    fn tick(&mut self, now: UnixMs, settings: &EngineSettings) {
        self.ticks += 1;
        self.finish_swap(now);
        self.admit(settings);
        let share = batch_share(settings, self.running.len());
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|sequence| !self.advance(sequence, share));
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
            sequence.cold_ticks = u32::from(!self.touch_prefix(&sequence.request.prompt));
            self.running.push(sequence);
        }
    }

    /// Tells whether the prompt's prefix was cached, and caches it.
    fn touch_prefix(&mut self, prompt: &str) -> bool {
        let digest = xxh3_64(prompt.as_bytes());
        let found = self.cache.iter().position(|cached| *cached == digest);
        if let Some(place) = found {
            self.cache.remove(place);
        } else {
            self.cache_sequence += 1;
            if !self.cache_sequence.is_multiple_of(CACHE_EVENT_GAP) {
                let now = UnixMs::from_wall_clock();
                self.cache_events.push_back((now, self.cache_sequence, digest));
                if self.cache_events.len() > CACHE_EVENTS {
                    self.cache_events.pop_front();
                }
            }
        }
        self.cache.push_back(digest);
        if self.cache.len() > CACHE_PREFIXES {
            self.cache.pop_front();
        }
        found.is_some()
    }

    /// Advances one sequence and tells whether it is over.
    fn advance(&mut self, sequence: &mut Sequence, share: u32) -> bool {
        if sequence.cold_ticks > 0 {
            sequence.cold_ticks -= 1;
            return sequence.sender.is_closed();
        }
        let request = &sequence.request;
        let version = self.versions.get(&request.model).copied().unwrap_or_default();
        let end = (sequence.next + share).min(sequence.length);
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
        let hung_up = sequence.sender.send(chunk).is_err();
        if end == sequence.length {
            record.finished = true;
            let count = end;
            let request_id = request.request_id.clone();
            drop(sequence.sender.send(EngineLine::End { count, request_id }));
        }
        hung_up || end == sequence.length
    }
}

/// Tokens that each sequence gains in a tick: a fuller batch is slower for each, faster in all.
fn batch_share(settings: &EngineSettings, running: usize) -> u32 {
    let crowding = running * 2 / settings.max_batch.max(1);
    (settings.tokens_per_tick / (1 + crowding as u32)).max(1)
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
        let mut batch = shared.lock();
        if batch.faults.crashed {
            return Err(Status::InternalServerError);
        }
        let record = batch.records.entry(request.request_id.clone()).or_default();
        record.resumed_from = request.resume_from;
        let next = request.resume_from.min(length);
        batch.waiting.push(Sequence { cold_ticks: 0, length, next, request, sender });
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
    let mut batch = shared.lock();
    batch.running.retain(|sequence| sequence.request.request_id != request.request_id);
    batch.waiting.retain(|sequence| sequence.request.request_id != request.request_id);
    Status::NoContent
}

#[post("/order", data = "<request>")]
fn order(request: Json<WeightOrder>, shared: &State<Arc<Shared>>) -> Status {
    let request = request.into_inner();
    let mut batch = shared.lock();
    if shared.settings.checks_fence && request.fence < batch.fence {
        return Status::Conflict;
    }
    batch.fence = batch.fence.max(request.fence);
    if batch.versions.get(&request.model) == Some(&request.version) {
        return Status::Ok;
    }
    let under_way = batch.swap.as_ref().is_some_and(|swap| swap.version == request.version);
    if !under_way {
        let (model, version) = (request.model, request.version);
        // Not done before the weights are there.
        batch.swap = Some(Swap { done_at: UnixMs(u64::MAX), model: model.clone(), version });
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
    let mut batch = shared.lock();
    let ours = |swap: &Swap| swap.version == version && swap.model == model;
    if !batch.swap.as_ref().is_some_and(ours) {
        return;
    }
    if fetched {
        let done_at = UnixMs::from_wall_clock().plus(shared.settings.swap_ms);
        batch.swap = Some(Swap { done_at, model, version });
    } else {
        batch.swap = None;
    }
}

#[get("/load")]
fn load(shared: &State<Arc<Shared>>) -> Result<Json<LoadReport>, Status> {
    let batch = shared.lock();
    if batch.faults.crashed {
        return Err(Status::InternalServerError);
    }
    Ok(Json(batch.load.clone()))
}

/// The cache events after a sequence number: as late as load reports, and with gaps.
#[get("/cache-events?<after>")]
fn cache_events(after: u64, shared: &State<Arc<Shared>>) -> Json<Vec<(u64, u64)>> {
    let batch = shared.lock();
    let now = UnixMs::from_wall_clock();
    let lag_ms = shared.settings.load_lag_ms;
    let visible = batch
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
    let mut batch = shared.lock();
    batch.faults.fail_swaps = request.fail_swaps;
    batch.faults.slow_factor = request.slow_factor;
    Status::NoContent
}

impl RunRecord {
    /// Returns the segments with their true token indices.
    pub fn placed_segments(&self) -> Vec<Segment> {
        let shift = |segment: &Segment| Segment {
            end: segment.end + self.resumed_from,
            start: segment.start + self.resumed_from,
            version: segment.version,
        };
        self.segments.as_slice().iter().map(shift).collect()
    }
}
