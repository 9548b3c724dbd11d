//! `catkinmast-front`: the process of an entry node on the users' platform.

use argh::FromArgs;
use catkinmast_adapter::UsersPlatform;
use std::process::ExitCode;

/// Runs an entry node between callers and targets. The platform's environment variable names the
/// settings file; all problems in that file are reported at start.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// port on this instance's address on which to serve metrics; without it they are not served
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
