//! The stand-ins as separate processes.

use crate::{
    Engine, EngineSettings, Forwarder, PlainService, Platform, PlatformSettings, ServiceSettings,
};
use argh::FromArgs;
use std::net::SocketAddr;
use std::process::ExitCode;

/// catkinmast-standin: small stand-ins of the systems that catkinmast meets. Prints its address
/// as the first line of standard output.
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
    /// where it listens (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    address: SocketAddr,
    /// accept orders with an old fencing number
    #[argh(switch)]
    ignores_fence: bool,
    /// length of a usual sequence, in tokens (default 48)
    #[argh(option, default = "48")]
    median_tokens: u32,
    /// time between two ticks of the batch (default 10)
    #[argh(option, default = "10")]
    tick_ms: u64,
    /// where weights are fetched from before a swap (default: none, no time)
    #[argh(option)]
    weight_store: Option<SocketAddr>,
}

/// a forwarder that cuts and holds up connections
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "forward")]
struct ForwardArguments {
    /// where it listens (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    address: SocketAddr,
    /// where connections are passed on to
    #[argh(option)]
    to: SocketAddr,
}

/// the platform: key-value service and list of instances
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// where it listens (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    address: SocketAddr,
    /// how far the list of instances lags behind (default 500)
    #[argh(option, default = "500")]
    list_lag_ms: u64,
    /// how long one fetch of weights takes (default 50)
    #[argh(option, default = "50")]
    weights_fetch_ms: u64,
}

/// a plain service, which can score samples as well
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArguments {
    /// where it listens (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    address: SocketAddr,
    /// how long each call takes (default 2)
    #[argh(option, default = "2")]
    answer_after_ms: u64,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs the command line of this process until it is killed.
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    // Without a log of our own, the web framework would start one that prints to standard output.
    if let Err(error) = fern::Dispatch::new().level(log::LevelFilter::Off).apply() {
        eprintln!("the log cannot be silenced: {error}");
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start: {error}");
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
