//! `catkinmast-front`: an entry instance's process on the users' platform.

use argh::FromArgs;
use catkinmast_adapter::UsersPlatform;
use std::process::ExitCode;

/// Runs an entry node between callers and targets. Its settings are in the file that the
/// environment variable of the platform names; every problem in it is reported at start.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// port on this instance's address that serves the metrics; none: they are not served
    #[argh(option)]
    metrics_port: Option<u16>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match catkinmast_serve::run_front::<UsersPlatform>(arguments.metrics_port) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("catkinmast-front: {error}");
            ExitCode::FAILURE
        }
    }
}
