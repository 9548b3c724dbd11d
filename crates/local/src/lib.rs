//! Runs a complete deployment on loopback in one process and verifies its guarantees.
//!
//! Entry nodes and stand-ins are started by the library calls that their binaries use. Trainer
//! steps and application calls run concurrently while weights are swapped, one node drains,
//! another one crashes, an engine crashes, and the platform loses replies and has an outage. At
//! the end the stand-ins' records are compared with what callers and trainers received. The
//! nodes' own counters are not used as evidence.

mod caller;
mod cost;
mod faults;
mod fleet;
mod trainer;
mod verifier;

use argh::FromArgs;
use catkinmast_config::Document;
use fleet::Fleet;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use verifier::Summary;

/// Time that a plain service takes for each call.
const SERVICE_LATENCY_MS: u64 = 3;
/// Time limit for a complete run.
const RUN_TIMEOUT: Duration = Duration::from_secs(57);

/// catkinmast-local: runs a complete deployment in one process on loopback.
#[derive(Clone, Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Cost(cost::Cost),
    Run(Run),
}

/// send trainer steps and application calls through a deployment and verify the results
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct Run {
    /// path of the operators' configuration (TOML)
    #[argh(positional)]
    file: String,
    /// seed for the random choices of callers and trainers (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of steps of each trainer (default 10)
    #[argh(option, default = "10")]
    steps: u64,
    /// number of entry nodes (default 7)
    #[argh(option, default = "7")]
    nodes: u32,
    /// application calls per second, over all callers (default 60)
    #[argh(option, default = "60")]
    calls_per_second: u64,
    /// duration of the application calls, in seconds (default 25)
    #[argh(option, default = "25")]
    duration_s: u64,
    /// do not inject faults
    #[argh(switch)]
    no_faults: bool,
}

/// Parses the command line and runs the subcommand.
pub fn main() -> ExitCode {
    let run = match argh::from_env::<Arguments>().command {
        Command::Cost(cost) => return cost::main(&cost),
        Command::Run(run) => run,
    };
    let text = match std::fs::read_to_string(&run.file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("file '{}' cannot be read: {error}", run.file);
            return ExitCode::from(2);
        }
    };
    let document = match Document::parse(&text) {
        Ok(document) => document,
        Err(faults) => {
            faults.0.iter().for_each(|fault| eprintln!("{}: {fault}", run.file));
            return ExitCode::from(3);
        }
    };
    if run.nodes == 0 {
        eprintln!("--nodes must be at least 1, got 0");
        return ExitCode::from(2);
    }
    if let Err(exit) = start_log() {
        return exit;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let outcome = runtime.block_on(run_deployment(run, document, text));
    runtime.shutdown_background();
    match outcome {
        Ok(summary) => {
            summary.print();
            if summary.all_guarantees_kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the log at the level in `CATKINMAST_LOG_LEVEL`, which defaults to off.
fn start_log() -> Result<(), ExitCode> {
    // If no logger is installed, the web framework installs one that prints to standard output.
    let level = std::env::var("CATKINMAST_LOG_LEVEL").unwrap_or_else(|_unset| "off".to_owned());
    let level = match level.parse() {
        Ok(level) => level,
        Err(error) => {
            eprintln!("invalid CATKINMAST_LOG_LEVEL '{level}': {error}");
            return Err(ExitCode::from(2));
        }
    };
    if let Err(error) = catkinmast_node::start_log(level) {
        eprintln!("{error}");
    }
    Ok(())
}

async fn run_deployment(run: Run, document: Document, text: String) -> Result<Summary, String> {
    let started_at = Instant::now();
    println!(
        "{}: {} entry nodes, {} trainer(s), seed {}",
        document.deployment,
        run.nodes,
        document.trainers.len(),
        run.seed
    );
    let fleet = Arc::new(Fleet::start(&document, run.nodes, SERVICE_LATENCY_MS).await?);
    fleet.apply(&text).await?;
    fleet.wait_until_ready().await?;
    println!("{:5.1} s  all nodes are ready", started_at.elapsed().as_secs_f64());
    let verifier = Arc::new(verifier::Verifier::default());
    let callers = caller::spawn_all(&fleet, &verifier, &document, &run);
    let trainers = trainer::spawn_all(&fleet, &verifier, &document, &run);
    let faults = (!run.no_faults).then(|| {
        tokio::spawn(faults::inject(Arc::clone(&fleet), Arc::clone(&verifier), text, started_at))
    });
    let all_tasks = async {
        for task in trainers.into_iter().chain(callers) {
            if let Err(error) = task.await {
                verifier.record_violation(format!("a driver ended early: {error}"));
            }
        }
        if let Some(faults) = faults
            && let Err(error) = faults.await
        {
            verifier.record_violation(format!("the faults ended early: {error}"));
        }
    };
    if tokio::time::timeout(RUN_TIMEOUT.saturating_sub(started_at.elapsed()), all_tasks)
        .await
        .is_err()
    {
        verifier.record_violation("the run did not end in time".to_owned());
    }
    println!("{:5.1} s  done", started_at.elapsed().as_secs_f64());
    let summary = verifier.verify(&fleet, run.seed);
    fleet.stop();
    Ok(summary)
}
