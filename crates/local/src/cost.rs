//! Measures the overhead of a call through a node compared with a direct call to the same target.
//!
//! Rounds of direct and of forwarded calls alternate within one run, so that other load on the
//! machine affects both alike. Only the ratios can be compared between machines.

use crate::fleet::Fleet;
use argh::FromArgs;
use catkinmast_config::Document;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// The configuration of the measurement: one service with one target.
const CONFIGURATION: &str = include_str!("cost.toml");
/// Calls of each kind in a round.
const CALLS_PER_ROUND: u32 = 500;

/// compare a call through a node with a direct call to the same target
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "cost")]
pub(crate) struct Cost {
    /// rounds of 500 calls of each kind (default 10)
    #[argh(option, default = "10")]
    rounds: u32,
}

/// The latencies of one kind of call.
#[derive(Debug, Default)]
struct Measurement {
    elapsed: Duration,
    latencies: Vec<Duration>,
}

impl Measurement {
    fn percentile(&mut self, percent: usize) -> Duration {
        self.latencies.sort_unstable();
        let index = self.latencies.len() * percent / 100;
        self.latencies.get(index).copied().unwrap_or_default()
    }

    fn calls_per_s(&self) -> f64 {
        self.latencies.len() as f64 / self.elapsed.as_secs_f64().max(1e-9)
    }
}

/// Runs the subcommand and prints the comparison.
pub(crate) fn main(cost: &Cost) -> ExitCode {
    if let Err(exit) = crate::start_log() {
        return exit;
    }
    let outcome = tokio::runtime::Runtime::new()
        .map_err(|error| error.to_string())
        .and_then(|runtime| runtime.block_on(measure(cost)));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(cost: &Cost) -> Result<(), String> {
    let document = Document::parse(CONFIGURATION).map_err(|faults| faults.to_string())?;
    let fleet = Fleet::start(&document, 1, 0).await?;
    fleet.apply(CONFIGURATION).await?;
    fleet.wait_until_ready().await?;
    let target =
        fleet.services.values().next().ok_or("the configuration has no service target")?.address();
    let node = fleet.any_address(&mut rand_pcg::Pcg64Mcg::new(1));
    let urls = [
        format!("http://{target}/progress"),
        format!("http://{node}/v1/call/badges/progress"),
        format!("http://{node}/v1/call/badges/award"),
    ];
    let mut measurements = [Measurement::default(), Measurement::default(), Measurement::default()];
    // The first round opens the connections and is not counted.
    for round in 0..=cost.rounds {
        for (measurement, url) in measurements.iter_mut().zip(&urls) {
            let (elapsed, latencies) = call_sequentially(&fleet, url).await?;
            if round > 0 {
                measurement.elapsed += elapsed;
                measurement.latencies.extend(latencies);
            }
        }
    }
    fleet.stop();
    print(&mut measurements);
    Ok(())
}

/// Makes one round of calls, one after another; returns its duration and each latency.
async fn call_sequentially(fleet: &Fleet, url: &str) -> Result<(Duration, Vec<Duration>), String> {
    let started_at = Instant::now();
    let mut latencies = Vec::new();
    for _ in 0..CALLS_PER_ROUND {
        let sent_at = Instant::now();
        let sent = fleet.client.post(url).body("youth-17").send().await;
        let response = sent.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("{url}: {}", response.status()));
        }
        response.bytes().await.map_err(|error| error.to_string())?;
        latencies.push(sent_at.elapsed());
    }
    Ok((started_at.elapsed(), latencies))
}

fn print(measurements: &mut [Measurement; 3]) {
    let labels = ["direct", "through a node", "through a node, not repeatable"];
    let baseline = (
        measurements[0].percentile(50),
        measurements[0].percentile(99),
        measurements[0].calls_per_s(),
    );
    println!(
        "{:<32} {:>8} {:>8} {:>10} {:>10} {:>10} {:>12}",
        "one call at a time",
        "p50 us",
        "p99 us",
        "p50 ratio",
        "p99 ratio",
        "calls/s",
        "calls ratio"
    );
    for (measurement, label) in measurements.iter_mut().zip(labels) {
        let (p50, p99, rate) =
            (measurement.percentile(50), measurement.percentile(99), measurement.calls_per_s());
        println!(
            "{label:<32} {:>8} {:>8} {:>10.2} {:>10.2} {:>10.0} {:>12.2}",
            p50.as_micros(),
            p99.as_micros(),
            p50.as_secs_f64() / baseline.0.as_secs_f64(),
            p99.as_secs_f64() / baseline.1.as_secs_f64(),
            rate,
            rate / baseline.2
        );
    }
}
