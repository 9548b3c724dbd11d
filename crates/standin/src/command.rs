//! The command line that runs a stand-in as a separate process.

use crate::{
    Engine, EngineSettings, Forwarder, PlainService, Platform, PlatformSettings, ServiceSettings,
};
use argh::FromArgs;
use std::net::SocketAddr;
use std::process::ExitCode;

/// catkinmast-standin: runs a stand-in for an external system. Prints its address as the first
/// line of standard output.
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(EngineArguments),
    Forward(ForwardArguments),
    Platform(PlatformArguments),
    Service(ServiceArguments),
}

/// a model engine
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    address: SocketAddr,
    /// accept weight orders with an outdated fencing number
    #[argh(switch)]
    ignores_fence: bool,
    /// median length of a sequence, in tokens (default 48)
    #[argh(option, default = "48")]
    median_tokens: u32,
    /// time between two ticks of the batch, in milliseconds (default 10)
    #[argh(option, default = "10")]
    tick_ms: u64,
    /// address of the weight store (default: none; weights are available at once)
    #[argh(option)]
    weight_store: Option<SocketAddr>,
}

/// a TCP forwarder that can close and stall connections
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "forward")]
struct ForwardArguments {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    address: SocketAddr,
    /// address to which connections are forwarded
    #[argh(option)]
    to: SocketAddr,
}

/// the platform: key-value service, list of instances and weight store
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    address: SocketAddr,
    /// lag of the list of instances, in milliseconds (default 500)
    #[argh(option, default = "500")]
    list_lag_ms: u64,
    /// duration of one fetch of weights, in milliseconds (default 50)
    #[argh(option, default = "50")]
    weights_fetch_ms: u64,
}

/// a plain service, which can also score samples
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArguments {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    address: SocketAddr,
    /// duration of each call, in milliseconds (default 2)
    #[argh(option, default = "2")]
    answer_after_ms: u64,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Parses the command line and runs the stand-in until the process is killed.
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    // If no logger is installed, the web framework installs one that prints to standard output.
    if let Err(error) = fern::Dispatch::new().level(log::LevelFilter::Off).apply() {
        eprintln!("cannot install the silent logger: {error}");
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(serve(arguments.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(command: Command) -> Result<(), crate::StandinError> {
    match command {
        Command::Engine(arguments) => {
            let engine = Engine::spawn(EngineSettings {
                address: arguments.address,
                checks_fence: !arguments.ignores_fence,
                median_tokens: arguments.median_tokens,
                tick_ms: arguments.tick_ms,
                weight_store: arguments.weight_store,
                ..EngineSettings::default()
            })
            .await?;
            println!("{}", engine.address());
            std::future::pending::<()>().await;
        }
        Command::Forward(arguments) => {
            let forwarder = Forwarder::spawn(arguments.address, arguments.to).await?;
            println!("{}", forwarder.address());
            std::future::pending::<()>().await;
        }
        Command::Platform(arguments) => {
            let platform = Platform::spawn(PlatformSettings {
                address: arguments.address,
                list_lag_ms: arguments.list_lag_ms,
                weights_fetch_ms: arguments.weights_fetch_ms,
            })
            .await?;
            println!("{}", platform.address());
            std::future::pending::<()>().await;
        }
        Command::Service(arguments) => {
            let service = PlainService::spawn(ServiceSettings {
                address: arguments.address,
                answer_after_ms: arguments.answer_after_ms,
            })
            .await?;
            println!("{}", service.address());
            std::future::pending::<()>().await;
        }
    }
    Ok(())
}
