//! Application callers, which make calls to services through the entry nodes.
//!
//! A caller requests the addresses of nodes and caches them until they expire.

use crate::Run;
use crate::fleet::Fleet;
use crate::verifier::{CallOutcome, Verifier};
use catkinmast_config::{Call, Document};
use catkinmast_standin::answer_of;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of callers among which the call rate is divided.
const CALLER_COUNT: u64 = 6;
/// Maximum attempts for one call.
const ATTEMPTS_MAX: u32 = 8;
/// Pause between two attempts, and before addresses are requested again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

struct Caller {
    addresses: Vec<(SocketAddr, String)>,
    data_centre: String,
    expires_at: u64,
    fleet: Arc<Fleet>,
    verifier: Arc<Verifier>,
    rng: Pcg64Mcg,
}

/// The result of one attempt of a call.
enum AttemptOutcome {
    Answered(String),
    Disconnected(SocketAddr),
    Refused { may_have_run: bool },
}

/// Starts all callers; their tasks end after the duration of the run.
pub(crate) fn spawn_all(
    fleet: &Arc<Fleet>,
    verifier: &Arc<Verifier>,
    document: &Document,
    run: &Run,
) -> Vec<tokio::task::JoinHandle<()>> {
    let calls: Vec<(String, Call)> = document
        .services
        .iter()
        .flat_map(|s| s.calls.iter().map(|call| (s.name.to_string(), call.clone())))
        .filter(|(_, call)| call.path != "/score")
        .collect();
    let interval =
        Duration::from_secs_f64(CALLER_COUNT as f64 / run.calls_per_second.max(1) as f64);
    let ends_at = Instant::now() + Duration::from_secs(run.duration_s);
    let spawn = |number: u64| {
        let data_centres = &document.data_centres;
        let caller = Caller {
            addresses: Vec::new(),
            data_centre: data_centres[number as usize % data_centres.len()].name.to_string(),
            expires_at: 0,
            fleet: Arc::clone(fleet),
            verifier: Arc::clone(verifier),
            rng: Pcg64Mcg::seed_from_u64(run.seed * 1_000 + number),
        };
        tokio::spawn(caller.run(number, calls.clone(), interval, ends_at))
    };
    (0..CALLER_COUNT).map(spawn).collect()
}

fn now_ms() -> u64 {
    catkinmast_model::UnixMs::from_wall_clock().0
}

impl Caller {
    async fn run(
        mut self,
        caller: u64,
        calls: Vec<(String, Call)>,
        interval: Duration,
        ends_at: Instant,
    ) {
        let mut ticks = tokio::time::interval(interval);
        let mut number = 0;
        while Instant::now() < ends_at {
            ticks.tick().await;
            number += 1;
            let (service, call) = &calls[self.rng.random_range(0..calls.len())];
            let body = format!("caller-{caller}-call-{number}");
            self.call(service, call, &body).await;
        }
    }

    /// Makes one call, with several attempts if needed.
    ///
    /// Every non-idempotent call carries a ticket, and every ticket is unique. So the call may be
    /// repeated after any failure, not only after the verdict `not_run`.
    async fn call(&mut self, service: &str, call: &Call, body: &str) {
        self.verifier.record_call();
        let mut ticket = None;
        let mut may_have_run = false;
        for attempt in 0..ATTEMPTS_MAX {
            let Some((address, prefix)) = self.address().await else { continue };
            if !call.idempotent && ticket.is_none() {
                ticket = Some(format!("{prefix}{body}-{attempt}"));
            }
            match self.send(address, service, call, body, ticket.as_deref()).await {
                AttemptOutcome::Answered(answer) => {
                    let complete = answer == answer_of(&call.path, body);
                    let outcome =
                        if complete { CallOutcome::Complete } else { CallOutcome::Corrupted };
                    return self.verifier.record_call_outcome(outcome, call, body);
                }
                AttemptOutcome::Refused { may_have_run: attempt_may_have_run } => {
                    may_have_run |= attempt_may_have_run;
                }
                AttemptOutcome::Disconnected(address) => {
                    self.verifier.record_disconnection(address);
                    self.expires_at = 0;
                    may_have_run = true;
                }
            }
            if !may_have_run {
                // No attempt may have run, so a new ticket is safe. It is also needed: the node
                // that keeps the record of the old ticket may be gone.
                ticket = None;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let outcome =
            if may_have_run { CallOutcome::MayHaveRun } else { CallOutcome::RefusedNotRun };
        self.verifier.record_call_outcome(outcome, call, body);
    }

    async fn send(
        &self,
        address: SocketAddr,
        service: &str,
        call: &Call,
        body: &str,
        ticket: Option<&str>,
    ) -> AttemptOutcome {
        let url = format!("http://{address}/v1/call/{service}{}", call.path);
        let mut request = self.fleet.client.post(url).body(body.to_owned());
        if let Some(ticket) = ticket {
            request = request.header("Catkinmast-Ticket", ticket);
        }
        let response = match request.send().await {
            Ok(response) => response,
            // Without a connection no request was sent.
            Err(error) if error.is_connect() => {
                return AttemptOutcome::Refused { may_have_run: false };
            }
            Err(_) => return AttemptOutcome::Disconnected(address),
        };
        let status = response.status();
        match response.text().await {
            Ok(answer) if status.is_success() => AttemptOutcome::Answered(answer),
            Ok(problem) => {
                let problem: Value = serde_json::from_str(&problem).unwrap_or_default();
                AttemptOutcome::Refused { may_have_run: problem["verdict"] != "not_run" }
            }
            Err(_) => AttemptOutcome::Disconnected(address),
        }
    }

    /// Returns a node's address and ticket prefix, after a refresh if the cached ones expired.
    async fn address(&mut self) -> Option<(SocketAddr, String)> {
        if self.addresses.is_empty() || now_ms() >= self.expires_at {
            self.refresh_addresses().await;
        }
        let candidates = self.addresses.len().min(3);
        if candidates == 0 {
            tokio::time::sleep(RETRY_PAUSE).await;
            return None;
        }
        Some(self.addresses[self.rng.random_range(0..candidates)].clone())
    }

    async fn refresh_addresses(&mut self) {
        let address = self.fleet.any_address(&mut self.rng);
        let url = format!("http://{address}/v1/addresses?data_centre={}", self.data_centre);
        let Ok(response) = self.fleet.client.get(url).send().await else { return };
        let Ok(answer) = response.json::<Value>().await else { return };
        let entries = answer["addresses"].as_array().map_or(&[][..], Vec::as_slice);
        let read = |entry: &Value| {
            let address = entry["address"].as_str()?.parse().ok()?;
            Some((address, entry["ticket_prefix"].as_str()?.to_owned()))
        };
        self.addresses = entries.iter().filter_map(read).collect();
        self.expires_at = answer["expires_at_unix_ms"].as_u64().unwrap_or(0);
    }
}
