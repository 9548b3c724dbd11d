//! Samples: each exactly once, truly attributed, never too old, whatever dies.

use crate::support::fleet::{Fleet, FleetSize, TRAINER};
use catkinmast_model::{Segments, Version};
use catkinmast_standin::expected_token;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{Read, Write};

/// Groups in a step.
const GROUPS: u64 = 6;
/// Samples in a group, as the tests' configuration has it.
const GROUP_SIZE: u64 = 4;
/// The trainer's bound.
const BOUND: u64 = 2;

fn size() -> FleetSize {
    FleetSize { engines: 3, nodes: 4, services: 2 }
}

/// The trainer of the tests, which asks any node that is up.
struct Trainer<'f> {
    fleet: &'f Fleet,
    node: usize,
    seen: BTreeSet<(u64, u64, u64)>,
    version: u64,
}

impl<'f> Trainer<'f> {
    async fn register(fleet: &'f Fleet, node: usize) -> Self {
        let trainer = Self { fleet, node, seen: BTreeSet::new(), version: 0 };
        let body = json!({
            "batch_samples": 8,
            "group_size": GROUP_SIZE,
            "idle_weight_percent": 50,
            "staleness_bound_versions": BOUND,
        });
        trainer.until_done("PUT", "", Some(&body)).await;
        trainer
    }

    async fn send(&self, method: &str, path: &str, body: Option<&Value>) -> (u16, String) {
        let node = self.fleet.nodes[self.node].http;
        let url = format!("http://{node}/v1/trainers/citation-trainer{path}");
        self.fleet.send(method, TRAINER, &url, body).await
    }

    async fn until_done(&self, method: &str, path: &str, body: Option<&Value>) {
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
        self.until_done("PUT", &format!("/steps/{step}"), Some(&body)).await;
    }

    async fn publish(&mut self) {
        self.version += 1;
        self.until_done("PUT", &format!("/versions/{}", self.version), None).await;
    }

    /// Fetches and claims a batch; returns false for one that is void.
    async fn take(&mut self, batch: u64) -> bool {
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
                let samples = (status == 200).then(|| whole_batch(&text)).flatten()?;
                match self.send("POST", &claim, Some(&body)).await.0 {
                    200 => Some(Some(samples)),
                    410 => Some(None),
                    _ => None,
                }
            })
            .await;
        let Some(samples) = samples else { return false };
        for sample in &samples {
            self.check(sample);
        }
        true
    }

    /// Checks one claimed sample against what an engine can only have produced.
    fn check(&mut self, sample: &Value) {
        let number = |field: &str| sample["id"][field].as_u64().expect("a number");
        let (step, group, index) = (number("step"), number("group"), number("index"));
        assert!(self.seen.insert((step, group, index)), "{step}/{group}/{index} came twice");
        let segments: Segments =
            serde_json::from_value(sample["segments"].clone()).expect("segments");
        let age = segments.age_versions(Version(self.version));
        assert!(age <= BOUND, "{step}/{group}/{index} is {age} versions old");
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

    /// Takes batches from `next` on until `steps` whole steps were claimed; returns the next.
    async fn take_steps(&mut self, mut next: u64, steps: u64) -> u64 {
        let wanted = (steps * GROUPS * GROUP_SIZE) as usize;
        while self.seen.len() < wanted {
            self.take(next).await;
            next += 1;
        }
        assert_eq!(self.seen.len(), wanted);
        next
    }
}

fn prompt(step: u64, group: u64) -> String {
    format!("prompt {group} of step {step}")
}

/// A trainer that talks to `node`, with two steps submitted and the first batch claimed.
async fn in_the_middle_of_a_step(fleet: &Fleet, node: usize) -> Trainer<'_> {
    let mut trainer = Trainer::register(fleet, node).await;
    trainer.submit(1).await;
    trainer.submit(2).await;
    assert!(trainer.take(1).await);
    trainer
}

/// Reads a batch; one whose last line is missing is not whole.
fn whole_batch(text: &str) -> Option<Vec<Value>> {
    let lines: Vec<Value> =
        text.lines().map(serde_json::from_str).collect::<Result<_, _>>().ok()?;
    let samples: Vec<Value> =
        lines.iter().filter(|line| line["kind"] == "sample").cloned().collect();
    let last = lines.last()?;
    let whole = last["kind"] == "end" && last["samples"].as_u64() == Some(samples.len() as u64);
    whole.then_some(samples)
}

/// Symptom: samples are lost or come twice, or a batch changes between two fetches.
/// Sequence: the owner of the trainer's steps is killed with some batches claimed, some bound and
/// the rest running.
/// Cause: what only the owner knew is gone.
#[tokio::test]
async fn killing_the_owner_in_the_middle_of_a_step_loses_and_doubles_nothing() {
    // Arrange
    let fleet = Fleet::start(&size()).await;
    let owner = fleet.owner_index(0).await;
    let other = (owner + 1) % fleet.nodes.len();
    let mut trainer = in_the_middle_of_a_step(&fleet, other).await;

    // Act
    fleet.nodes[owner].process.signal("KILL");
    let next = trainer.take_steps(2, 1).await;
    trainer.publish().await;
    trainer.take_steps(next, 2).await;

    // Assert: every sample was checked as it was claimed.
    assert_ne!(fleet.owner_index(other).await, owner);
}

/// Symptom: a planned stop costs a trainer its samples, or the stop never ends.
/// Sequence: SIGTERM to the owner of the trainer's steps in the middle of a step, while it runs
/// samples and holds the tokens of others.
/// Cause: duties and tokens that are not handed over.
#[tokio::test]
async fn stopping_the_owner_hands_its_trainer_over_and_ends_in_order() {
    // Arrange: slow engines, so that the stop meets the step in its middle.
    let mut fleet = Fleet::start_with(&size(), &["--tick-ms", "40"], &[]).await;
    let owner = fleet.owner_index(0).await;
    let other = (owner + 1) % fleet.nodes.len();
    let mut trainer = in_the_middle_of_a_step(&fleet, other).await;

    // Act
    fleet.nodes[owner].process.signal("TERM");
    fleet
        .poll_until("another node owns the trainer", async || {
            (fleet.owner_index(other).await != owner).then_some(())
        })
        .await;
    let next = trainer.take_steps(2, 1).await;
    trainer.publish().await;
    trainer.take_steps(next, 2).await;

    // Assert: every sample was checked as it was claimed.
    assert_eq!(fleet.nodes[owner].process.exit_code(), Some(0), "nothing was cut");
}

/// Symptom: two owners deliver the same samples, or a paused owner binds over the new one.
/// Sequence: the owner is stopped for longer than its lease; another node takes over and goes on;
/// the old owner wakes up with all it was about to do.
/// Cause: a paused process does not notice that its lease has lapsed.
#[tokio::test]
async fn an_owner_paused_past_its_lease_changes_nothing_when_it_wakes() {
    // Arrange
    let fleet = Fleet::start(&size()).await;
    let owner = fleet.owner_index(0).await;
    let other = (owner + 1) % fleet.nodes.len();
    let mut trainer = in_the_middle_of_a_step(&fleet, other).await;

    // Act: the pause ends only when another node has taken the trainer over.
    fleet.nodes[owner].process.signal("STOP");
    fleet
        .poll_until("another node owns the trainer", async || {
            (fleet.owner_index(other).await != owner).then_some(())
        })
        .await;
    let next = trainer.take_steps(2, 1).await;
    fleet.nodes[owner].process.signal("CONT");
    trainer.publish().await;
    let next = trainer.take_steps(next, 2).await;

    // Assert: the woken node knows its successor, and the trainer can go on through it.
    assert!(next > 1);
    fleet
        .poll_until("the woken node knows the new owner", async || {
            (fleet.owner_index(owner).await != owner).then_some(())
        })
        .await;
    trainer.node = owner;
    trainer.submit(3).await;
    trainer.take_steps(next, 3).await;
}

/// Symptom: a step never becomes whole, or samples are attributed to the wrong version.
/// Sequence: an engine is killed in the middle of its streams, while another swaps weights.
/// Cause: a stream that broke has tokens of one engine and must go on at another.
#[tokio::test]
async fn killing_an_engine_in_the_middle_of_streams_keeps_samples_whole_and_attributed() {
    // Arrange: slow engines, so that the kill meets streams in their middle.
    let fleet = Fleet::start_with(&size(), &["--tick-ms", "40"], &[]).await;
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
    let next = trainer.take_steps(1, 1).await;
    trainer.publish().await;
    trainer.take_steps(next, 2).await;

    // Assert: each sample was compared, token by token, with what its versions must give.
    assert_eq!(trainer.seen.len() as u64, 2 * GROUPS * GROUP_SIZE);
}

/// An engine that answers each request with a whole HTTP body in which nothing is said.
fn silent_engine() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the bound address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 8_192];
            if stream.read(&mut request).is_ok_and(|size| size > 0) {
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                let _hung_up = stream.write_all(answer);
            }
        }
    });
    address
}

/// Symptom: a sample is delivered as whole although its engine broke off.
/// Sequence: an engine ends its answer in order, as HTTP goes, but without the line that counts the
/// tokens.
/// Cause: the end of a body is taken for the end of a sample.
#[tokio::test]
async fn an_answer_without_its_last_line_is_not_a_sample() {
    // Arrange: the emptiest engine is always the one that says nothing.
    let fleet = Fleet::start(&size()).await;
    fleet.set_instance("engine-silent", "engine", silent_engine(), "live").await;
    let mut trainer = Trainer::register(&fleet, 0).await;
    let targets = async || {
        let status = fleet.status(0).await;
        (status["targets"].as_array().map_or(0, Vec::len) == 6).then_some(())
    };
    fleet.poll_until("the engine is known", targets).await;

    // Act
    trainer.submit(1).await;
    trainer.take_steps(1, 1).await;

    // Assert: each sample was checked as it was claimed, and none is empty.
    assert_eq!(trainer.seen.len() as u64, GROUPS * GROUP_SIZE);
}

/// Symptom: a slow key-value service looks like a lost one, and steps are taken over back and forth.
/// Sequence: each call of the service takes most of a second, for a whole step.
/// Cause: deadlines of calls that fit only a service that is well.
#[tokio::test]
async fn a_slow_key_value_service_slows_a_step_and_no_more() {
    // Arrange
    let fleet = Fleet::start(&size()).await;
    let owner = fleet.owner_index(0).await;
    fleet.set_platform_faults(&json!({ "slow_ms": 700 })).await;

    // Act
    let mut trainer = Trainer::register(&fleet, 0).await;
    trainer.submit(1).await;
    trainer.take_steps(1, 1).await;
    let (call, _) = fleet.call(1, "/progress", "while-slow", None).await;

    // Assert
    assert_eq!(call, 200);
    assert_eq!(fleet.owner_index(0).await, owner, "nobody had to take over");
}

/// Symptom: a batch is used twice, or a claim is lost.
/// Sequence: the key-value service takes the writes that bind and claim, and loses their replies;
/// then it is away for longer than a lease.
/// Cause: a lost reply looks like a lost request, and a retried write like a new one.
#[tokio::test]
async fn lost_replies_and_an_outage_of_the_key_value_service_double_nothing() {
    // Arrange
    let fleet = Fleet::start(&size()).await;
    let mut trainer = Trainer::register(&fleet, 0).await;
    trainer.submit(1).await;

    // Act
    fleet.set_platform_faults(&json!({ "lose_write_replies": 3 })).await;
    assert!(trainer.take(1).await);
    fleet.set_platform_faults(&json!({ "outage": true })).await;
    let (status, body) =
        trainer.send("POST", "/batches/2/claim", Some(&json!({ "at_version": 0 }))).await;
    let (call, _) = fleet.call(1, "/progress", "during-outage", None).await;
    tokio::time::sleep(std::time::Duration::from_secs(8)).await;
    fleet.set_platform_faults(&json!({})).await;
    trainer.take_steps(2, 1).await;

    // Assert: application calls went on; the claim was refused, or its outcome left open, but it
    // was never confirmed without the ledger.
    assert_eq!(call, 200);
    assert_ne!(status, 200, "{body}");
}
