//! Simulated trainers, which submit steps in advance, fetch and claim batches, and publish weight
//! versions.

use crate::Run;
use crate::fleet::Fleet;
use crate::verifier::{SampleRecord, Verifier};
use catkinmast_config::{Document, Trainer};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};

const GROUPS_PER_STEP: u32 = 16;
/// Maximum length of a sample.
const MAX_TOKENS: u32 = 600;
/// Simulated training time for one batch.
const TRAINING_TIME: Duration = Duration::from_millis(200);
/// Number of steps submitted beyond the one being trained.
const STEPS_AHEAD: u64 = 2;
/// Pause before a request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

struct Driver {
    fleet: Arc<Fleet>,
    group_size: u32,
    verifier: Arc<Verifier>,
    name: String,
    rng: Pcg64Mcg,
    seed: u64,
    version: u64,
}

/// Starts all trainers of the document; each task ends after the last step.
pub(crate) fn spawn_all(
    fleet: &Arc<Fleet>,
    verifier: &Arc<Verifier>,
    document: &Document,
    run: &Run,
) -> Vec<tokio::task::JoinHandle<()>> {
    let spawn = |trainer: &Trainer| {
        let driver = Driver {
            fleet: Arc::clone(fleet),
            group_size: trainer.group_size,
            verifier: Arc::clone(verifier),
            name: trainer.name.to_string(),
            rng: Pcg64Mcg::seed_from_u64(run.seed),
            seed: run.seed,
            version: 0,
        };
        tokio::spawn(driver.run(trainer.clone(), run.steps))
    };
    document.trainers.iter().map(spawn).collect()
}

impl Driver {
    async fn run(mut self, trainer: Trainer, steps: u64) {
        let registration = json!({
            "batch_samples": trainer.batch_samples,
            "group_size": trainer.group_size,
            "idle_weight_percent": trainer.idle_weight_percent,
            "staleness_bound_versions": trainer.staleness_bound_versions,
        });
        self.send_until_accepted(reqwest::Method::PUT, "", Some(&registration)).await;
        let mut batch = 1;
        let mut submitted = 0;
        for step in 1..=steps {
            while submitted < (step + STEPS_AHEAD).min(steps) {
                submitted += 1;
                self.submit(submitted).await;
            }
            let mut remaining_samples = GROUPS_PER_STEP * self.group_size;
            while remaining_samples > 0 {
                remaining_samples -=
                    self.train_batch(batch, trainer.staleness_bound_versions).await;
                batch += 1;
            }
            self.version += 1;
            let path = format!("/versions/{}", self.version);
            self.send_until_accepted(reqwest::Method::PUT, &path, None).await;
            println!("         {}: step {step} trained, version {}", self.name, self.version);
        }
    }

    fn prompt(&self, step: u64, group: u32) -> String {
        format!("{}: draft {group} of step {step}", self.name)
    }

    async fn submit(&self, step: u64) {
        let groups: Vec<Value> = (0..GROUPS_PER_STEP)
            .map(|group| json!({ "prompt": self.prompt(step, group) }))
            .collect();
        let deadline = catkinmast_model::UnixMs::from_wall_clock().plus(60_000);
        let body = json!({
            "deadline_unix_ms": deadline,
            "groups": groups,
            "max_tokens": MAX_TOKENS,
            "seed": self.seed * 1_000 + step,
        });
        self.verifier.record_submitted_samples(u64::from(GROUPS_PER_STEP * self.group_size));
        self.clone_for_submission()
            .send_until_accepted(reqwest::Method::PUT, &format!("/steps/{step}"), Some(&body))
            .await;
    }

    fn clone_for_submission(&self) -> Self {
        Self {
            fleet: Arc::clone(&self.fleet),
            group_size: self.group_size,
            verifier: Arc::clone(&self.verifier),
            name: self.name.clone(),
            rng: self.rng.clone(),
            seed: self.seed,
            version: self.version,
        }
    }

    /// Fetches, claims and trains on a batch.
    ///
    /// Returns the number of samples, which is 0 if the batch is void.
    async fn train_batch(&mut self, batch: u64, bound: u64) -> u32 {
        let wait_started_at = Instant::now();
        let samples = loop {
            match self.fetch(batch).await {
                Fetched::Samples(samples) => {
                    let body = json!({ "at_version": self.version });
                    let path = format!("/batches/{batch}/claim");
                    match self.send(reqwest::Method::POST, &path, Some(&body)).await {
                        Some((200, _)) => break samples,
                        Some((410, _)) => return 0,
                        _ => {}
                    }
                }
                Fetched::Void => return 0,
                Fetched::NotYet => {}
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        self.verifier.record_wait(wait_started_at.elapsed());
        let count = samples.len() as u32;
        for sample in samples {
            self.verifier.record_claimed_sample(sample, self.version, bound);
        }
        tokio::time::sleep(TRAINING_TIME).await;
        self.verifier.record_training(TRAINING_TIME);
        count
    }

    async fn fetch(&mut self, batch: u64) -> Fetched {
        let path = format!("/batches/{batch}?wait_ms=2000");
        match self.send(reqwest::Method::GET, &path, None).await {
            Some((200, text)) => match self.read_samples(&text) {
                Some(samples) => Fetched::Samples(samples),
                None => Fetched::NotYet,
            },
            Some((410, _)) => Fetched::Void,
            _ => Fetched::NotYet,
        }
    }

    /// Parses the lines of a batch; returns `None` if its end line is missing or does not match.
    fn read_samples(&self, text: &str) -> Option<Vec<SampleRecord>> {
        let mut samples = Vec::new();
        for line in text.lines() {
            let line: Value = serde_json::from_str(line).ok()?;
            match line["kind"].as_str()? {
                "sample" => {
                    let step = line["id"]["step"].as_u64()?;
                    let group = line["id"]["group"].as_u64()? as u32;
                    let index = line["id"]["index"].as_u64()? as u32;
                    samples.push(SampleRecord {
                        attempt: line["attempt"].as_str()?.to_owned(),
                        group,
                        index,
                        prompt: self.prompt(step, group),
                        seed: (self.seed * 1_000 + step)
                            .wrapping_mul(1_000_003)
                            .wrapping_add(u64::from(group) << 16 | u64::from(index)),
                        segments: serde_json::from_value(line["segments"].clone()).ok()?,
                        step,
                        tokens: serde_json::from_value(line["tokens"].clone()).ok()?,
                        trainer: self.name.clone(),
                    });
                }
                "end" => {
                    let complete = line["samples"].as_u64() == Some(samples.len() as u64);
                    return complete.then_some(samples);
                }
                _ => {}
            }
        }
        None
    }

    /// Repeats a request until it succeeds or is rejected as invalid.
    ///
    /// Repeating is safe because all requests of trainers are idempotent.
    async fn send_until_accepted(
        &mut self,
        method: reqwest::Method,
        path: &str,
        body: Option<&Value>,
    ) {
        loop {
            match self.send(method.clone(), path, body).await {
                Some((status, _)) if (200..300).contains(&status) => return,
                Some((status, text)) if status == 400 || status == 422 => {
                    return self.verifier.record_violation(format!("{path}: {status}: {text}"));
                }
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    async fn send(
        &mut self,
        method: reqwest::Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(u16, String)> {
        let address = self.fleet.any_address(&mut self.rng);
        let url = format!("http://{address}/v1/trainers/{}{path}", self.name);
        let mut request = self.fleet.client.request(method, url);
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.text().await.ok()?))
    }
}

enum Fetched {
    NotYet,
    Samples(Vec<SampleRecord>),
    Void,
}
