//! Under failures of nodes, engines and the key-value service, each sample is delivered exactly
//! once, attributed to the right weight versions, and within the staleness bound.

use crate::support::fleet::{Fleet, FleetSize, TRAINER};
use catkinmast_model::{Segments, Version};
use catkinmast_standin::expected_token;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{Read, Write};

/// Number of groups in a step.
const GROUPS: u64 = 6;
/// Number of samples in a group, as in the configuration of the tests.
const GROUP_SIZE: u64 = 4;
/// The trainer's staleness bound.
const STALENESS_BOUND: u64 = 2;

fn fleet_size() -> FleetSize {
    FleetSize { engines: 3, nodes: 4, services: 2 }
}

/// A trainer that sends its requests to one node and records the samples that it has claimed.
struct Trainer<'f> {
    fleet: &'f Fleet,
    node: usize,
    claimed: BTreeSet<(u64, u64, u64)>,
    version: u64,
}

impl<'f> Trainer<'f> {
    async fn register(fleet: &'f Fleet, node: usize) -> Self {
        let trainer = Self { fleet, node, claimed: BTreeSet::new(), version: 0 };
        let body = json!({
            "batch_samples": 8,
            "group_size": GROUP_SIZE,
            "idle_weight_percent": 50,
            "staleness_bound_versions": STALENESS_BOUND,
        });
        trainer.send_until_accepted("PUT", "", Some(&body)).await;
        trainer
    }

    async fn send(&self, method: &str, path: &str, body: Option<&Value>) -> (u16, String) {
        let node = self.fleet.nodes[self.node].http;
        let url = format!("http://{node}/v1/trainers/citation-trainer{path}");
        self.fleet.send(method, TRAINER, &url, body).await
    }

    async fn send_until_accepted(&self, method: &str, path: &str, body: Option<&Value>) {
        self.fleet
            .poll_until(path, async || {
                let (status, text) = self.send(method, path, body).await;
                assert!(status != 400 && status != 422, "{path}: {text}");
                (200..300).contains(&status).then_some(())
            })
            .await;
    }

    async fn submit(&self, step: u64) {
        let groups: Vec<Value> =
            (0..GROUPS).map(|group| json!({ "prompt": prompt(step, group) })).collect();
        let body = json!({
            "deadline_unix_ms": 9_999_999_999_999_u64,
            "groups": groups,
            "max_tokens": 300,
            "seed": step,
        });
        self.send_until_accepted("PUT", &format!("/steps/{step}"), Some(&body)).await;
    }

    async fn publish(&mut self) {
        self.version += 1;
        self.send_until_accepted("PUT", &format!("/versions/{}", self.version), None).await;
    }

    /// Fetches and claims a batch, and checks its samples; returns false if the batch is void.
    async fn claim_batch(&mut self, batch: u64) -> bool {
        let path = format!("/batches/{batch}?wait_ms=1000");
        let claim = format!("/batches/{batch}/claim");
        let body = json!({ "at_version": self.version });
        let samples = self
            .fleet
            .poll_until("the batch is claimed", async || {
                let (status, text) = self.send("GET", &path, None).await;
                if status == 410 {
                    return Some(None);
                }
                let samples = (status == 200).then(|| parse_complete_batch(&text)).flatten()?;
                match self.send("POST", &claim, Some(&body)).await.0 {
                    200 => Some(Some(samples)),
                    410 => Some(None),
                    _ => None,
                }
            })
            .await;
        let Some(samples) = samples else { return false };
        for sample in &samples {
            self.check_sample(sample);
        }
        true
    }

    /// Checks that a claimed sample is new, not stale, and has the tokens that its versions
    /// generate.
    fn check_sample(&mut self, sample: &Value) {
        let number = |field: &str| sample["id"][field].as_u64().expect("a number");
        let (step, group, index) = (number("step"), number("group"), number("index"));
        assert!(
            self.claimed.insert((step, group, index)),
            "{step}/{group}/{index} was delivered twice"
        );
        let segments: Segments =
            serde_json::from_value(sample["segments"].clone()).expect("segments");
        let age = segments.age_versions(Version(self.version));
        assert!(age <= STALENESS_BOUND, "{step}/{group}/{index} is {age} versions old");
        let seed = step.wrapping_mul(1_000_003).wrapping_add(group << 16 | index);
        let tokens = sample["tokens"].as_array().expect("tokens");
        assert_eq!(tokens.len() as u32, segments.token_count());
        assert!(!tokens.is_empty(), "{step}/{group}/{index} has no token");
        for segment in segments.as_slice() {
            for at in segment.start..segment.end {
                let expected = expected_token(&prompt(step, group), seed, at, segment.version);
                assert_eq!(tokens[at as usize].as_u64(), Some(u64::from(expected)));
            }
        }
    }

    /// Claims batches from `next` on until `steps` complete steps are claimed; returns the number
    /// of the next batch.
    async fn claim_steps(&mut self, mut next: u64, steps: u64) -> u64 {
        let expected = (steps * GROUPS * GROUP_SIZE) as usize;
        while self.claimed.len() < expected {
            self.claim_batch(next).await;
            next += 1;
        }
        assert_eq!(self.claimed.len(), expected);
        next
    }
}

fn prompt(step: u64, group: u64) -> String {
    format!("prompt {group} of step {step}")
}

/// Returns a trainer that uses `node`, with two steps submitted and the first batch claimed.
async fn trainer_within_a_step(fleet: &Fleet, node: usize) -> Trainer<'_> {
    let mut trainer = Trainer::register(fleet, node).await;
    trainer.submit(1).await;
    trainer.submit(2).await;
    assert!(trainer.claim_batch(1).await);
    trainer
}

/// Parses a batch; returns `None` if its end line is missing or does not match.
fn parse_complete_batch(text: &str) -> Option<Vec<Value>> {
    let lines: Vec<Value> =
        text.lines().map(serde_json::from_str).collect::<Result<_, _>>().ok()?;
    let samples: Vec<Value> =
        lines.iter().filter(|line| line["kind"] == "sample").cloned().collect();
    let last = lines.last()?;
    let is_complete =
        last["kind"] == "end" && last["samples"].as_u64() == Some(samples.len() as u64);
    is_complete.then_some(samples)
}

/// Guards against samples that are lost or delivered twice, and batches that change between two
/// fetches. The owner of the trainer's steps is killed while some batches are claimed, some are
/// bound and the rest still runs, so that all state only it held is lost.
#[tokio::test]
async fn a_killed_owner_loses_and_duplicates_no_samples() {
    // Arrange
    let fleet = Fleet::start(&fleet_size()).await;
    let owner = fleet.owner_index(0).await;
    let other = (owner + 1) % fleet.nodes.len();
    let mut trainer = trainer_within_a_step(&fleet, other).await;

    // Act
    fleet.nodes[owner].process.signal("KILL");
    let next = trainer.claim_steps(2, 1).await;
    trainer.publish().await;
    trainer.claim_steps(next, 2).await;

    // Assert: `claim_batch` has checked every sample.
    assert_ne!(fleet.owner_index(other).await, owner);
}

/// Guards against a planned stop that loses samples or never ends. SIGTERM reaches the owner of the
/// trainer's steps during a step, while it runs samples and holds tokens of others; its duties and
/// tokens must be handed over.
#[tokio::test]
async fn a_stopped_owner_hands_its_trainer_over_and_exits_cleanly() {
    // Arrange: engines are slow, so that the stop falls into the step.
    let mut fleet = Fleet::start_with(&fleet_size(), &["--tick-ms", "40"], &[]).await;
    let owner = fleet.owner_index(0).await;
    let other = (owner + 1) % fleet.nodes.len();
    let mut trainer = trainer_within_a_step(&fleet, other).await;

    // Act
    fleet.nodes[owner].process.signal("TERM");
    fleet
        .poll_until("another node owns the trainer", async || {
            (fleet.owner_index(other).await != owner).then_some(())
        })
        .await;
    let next = trainer.claim_steps(2, 1).await;
    trainer.publish().await;
    trainer.claim_steps(next, 2).await;

    // Assert: `claim_batch` has checked every sample.
    assert_eq!(fleet.nodes[owner].process.exit_code(), Some(0), "no request was aborted");
}

/// Guards against two owners that deliver the same samples or overwrite each other's batches. The
/// owner is paused for longer than its lease, another node takes over, and the old owner resumes
/// without having noticed that its lease has expired.
#[tokio::test]
async fn an_owner_paused_past_its_lease_changes_nothing_when_it_resumes() {
    // Arrange
    let fleet = Fleet::start(&fleet_size()).await;
    let owner = fleet.owner_index(0).await;
    let other = (owner + 1) % fleet.nodes.len();
    let mut trainer = trainer_within_a_step(&fleet, other).await;

    // Act: the pause ends only after another node has taken over.
    fleet.nodes[owner].process.signal("STOP");
    fleet
        .poll_until("another node owns the trainer", async || {
            (fleet.owner_index(other).await != owner).then_some(())
        })
        .await;
    let next = trainer.claim_steps(2, 1).await;
    fleet.nodes[owner].process.signal("CONT");
    trainer.publish().await;
    let next = trainer.claim_steps(next, 2).await;

    // Assert: the resumed node knows its successor, and the trainer can use it as before.
    assert!(next > 1);
    fleet
        .poll_until("the resumed node knows the new owner", async || {
            (fleet.owner_index(owner).await != owner).then_some(())
        })
        .await;
    trainer.node = owner;
    trainer.submit(3).await;
    trainer.claim_steps(next, 3).await;
}

/// Guards against steps that never complete and samples attributed to wrong versions. An engine is
/// killed during its streams while another swaps weights, so that samples with tokens of one engine
/// are resumed on another.
#[tokio::test]
async fn a_killed_engine_leaves_samples_complete_and_attributed_to_their_versions() {
    // Arrange: engines are slow, so that the kill interrupts streams.
    let fleet = Fleet::start_with(&fleet_size(), &["--tick-ms", "40"], &[]).await;
    let mut trainer = Trainer::register(&fleet, 0).await;
    trainer.submit(1).await;
    trainer.submit(2).await;
    let running = async || {
        let (_, text) = trainer.send("GET", "/progress", None).await;
        let progress: Value = serde_json::from_str(&text).ok()?;
        (progress["samples_running"].as_u64()? > 0).then_some(())
    };
    fleet.poll_until("samples run", running).await;

    // Act
    fleet.engines[0].0.signal("KILL");
    let next = trainer.claim_steps(1, 1).await;
    trainer.publish().await;
    trainer.claim_steps(next, 2).await;

    // Assert: `claim_batch` has compared each token with the one that its version generates.
    assert_eq!(trainer.claimed.len() as u64, 2 * GROUPS * GROUP_SIZE);
}

/// Starts an engine that answers each request with a complete but empty HTTP body.
fn start_empty_engine() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the bound address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 8_192];
            if stream.read(&mut request).is_ok_and(|size| size > 0) {
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                let _disconnected = stream.write_all(answer);
            }
        }
    });
    address
}

/// Guards against truncated samples that are delivered as complete. An engine ends its HTTP answer
/// correctly but without the end line that gives the number of tokens, and the end of the body is
/// taken for the end of the sample.
#[tokio::test]
async fn a_stream_without_its_end_line_yields_no_sample() {
    // Arrange: the engine with empty answers is always the least loaded one.
    let fleet = Fleet::start(&fleet_size()).await;
    fleet.set_instance("engine-silent", "engine", start_empty_engine(), "live").await;
    let mut trainer = Trainer::register(&fleet, 0).await;
    let targets = async || {
        let status = fleet.status(0).await;
        (status["targets"].as_array().map_or(0, Vec::len) == 6).then_some(())
    };
    fleet.poll_until("the engine is known", targets).await;

    // Act
    trainer.submit(1).await;
    trainer.claim_steps(1, 1).await;

    // Assert: `claim_batch` has checked that no sample is empty.
    assert_eq!(trainer.claimed.len() as u64, GROUPS * GROUP_SIZE);
}

/// Guards against repeated changes of the owner while the key-value service is slow. Each call
/// takes most of a second for a whole step, which must not be taken for an outage.
#[tokio::test]
async fn a_slow_key_value_service_causes_no_change_of_owner() {
    // Arrange
    let fleet = Fleet::start(&fleet_size()).await;
    let owner = fleet.owner_index(0).await;
    fleet.set_platform_faults(&json!({ "slow_ms": 700 })).await;

    // Act
    let mut trainer = Trainer::register(&fleet, 0).await;
    trainer.submit(1).await;
    trainer.claim_steps(1, 1).await;
    let (call, _) = fleet.call(1, "/progress", "while-slow", None).await;

    // Assert
    assert_eq!(call, 200);
    assert_eq!(fleet.owner_index(0).await, owner, "no other node took over");
}

/// Guards against batches that are used twice and claims that are lost. The key-value service
/// performs writes that bind and claim but loses their replies, and then is unavailable for longer
/// than a lease. A lost reply looks like a lost request, and a retried write like a new one.
#[tokio::test]
async fn lost_replies_and_an_outage_of_the_key_value_service_duplicate_nothing() {
    // Arrange
    let fleet = Fleet::start(&fleet_size()).await;
    let mut trainer = Trainer::register(&fleet, 0).await;
    trainer.submit(1).await;

    // Act
    fleet.set_platform_faults(&json!({ "lose_write_replies": 3 })).await;
    assert!(trainer.claim_batch(1).await);
    fleet.set_platform_faults(&json!({ "outage": true })).await;
    let (status, body) =
        trainer.send("POST", "/batches/2/claim", Some(&json!({ "at_version": 0 }))).await;
    let (call, _) = fleet.call(1, "/progress", "during-outage", None).await;
    tokio::time::sleep(std::time::Duration::from_secs(8)).await;
    fleet.set_platform_faults(&json!({})).await;
    trainer.claim_steps(2, 1).await;

    // Assert: application calls are served, and the claim is not confirmed without the ledger.
    assert_eq!(call, 200);
    assert_ne!(status, 200, "{body}");
}
