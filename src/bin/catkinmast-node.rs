//! The process of an entry node: a thin wrapper over `catkinmast_node::Node`.

use catkinmast_node::{Arguments, Node, Settings, start_log};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for missing or invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a node that could not start.
const EXIT_START: u8 = 1;
/// Exit code for a shutdown that aborted requests.
const EXIT_CUT: u8 = 3;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match Settings::check(&arguments, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(faults) => {
            eprint!("{faults}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if let Err(error) = start_log(settings.log_level) {
        eprintln!("{error}");
        return ExitCode::from(EXIT_START);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    let code = runtime.block_on(run(settings));
    // After the drain only tasks that wait for a peer are left, and nothing depends on them.
    runtime.shutdown_background();
    code
}

async fn run(settings: Settings) -> ExitCode {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        eprintln!("cannot install handlers for SIGTERM and SIGINT");
        return ExitCode::from(EXIT_START);
    };
    let node = match Node::spawn(settings).await {
        Ok(node) => node,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_START);
        }
    };
    println!("{{\"http\":\"{}\",\"control\":\"{}\"}}", node.http_address(), node.control_address());
    log::info!(
        "node {} listens for callers on {} and for peers on {}",
        node.name(),
        node.http_address(),
        node.control_address()
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.drain_requested() => {}
    }
    log::info!("draining: serving until callers no longer hold this address");
    let report = tokio::select! {
        report = node.drain() => report,
        _ = terminate.recv() => return second_signal(),
        _ = interrupt.recv() => return second_signal(),
    };
    log::info!("drain complete; {} requests were aborted", report.cut);
    if report.cut == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_CUT) }
}

fn second_signal() -> ExitCode {
    log::warn!("received a second signal; stopping before the drain is complete");
    ExitCode::from(EXIT_CUT)
}
