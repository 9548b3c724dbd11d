//! An entry instance's process: a thin wrapper over `catkinmast_node::Node`.

use catkinmast_node::{Arguments, Node, Settings, start_log};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that are missing or wrong.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a node that could not start.
const EXIT_START: u8 = 1;
/// Exit code for a stop that cut requests.
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
            eprintln!("the traffic threads cannot be started: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    let code = runtime.block_on(run(settings));
    // Tasks that still wait for a peer have nothing to finish.
    runtime.shutdown_background();
    code
}

async fn run(settings: Settings) -> ExitCode {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        eprintln!("signals cannot be received");
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
        "node {} serves at {}, peers at {}",
        node.name(),
        node.http_address(),
        node.control_address()
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.drain_wanted() => {}
    }
    log::info!("leaving: serving until no caller holds this address any more");
    let report = tokio::select! {
        report = node.drain() => report,
        _ = terminate.recv() => return second_signal(),
        _ = interrupt.recv() => return second_signal(),
    };
    log::info!("left; {} requests were cut", report.cut);
    if report.cut == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_CUT) }
}

fn second_signal() -> ExitCode {
    log::warn!("a second signal: stopped in the middle of the drain");
    ExitCode::from(EXIT_CUT)
}
