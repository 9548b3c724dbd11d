//! `catkinmast-standby`: the process on a store machine, which keeps no state.

use argh::FromArgs;
use catkinmast_adapter::UsersPlatform;
use std::process::ExitCode;

/// Runs on a store machine and keeps no state: all durable state is in the platform's store.
#[derive(Debug, FromArgs)]
#[expect(clippy::empty_structs_with_brackets, reason = "argh derives only for structs with braces")]
struct Arguments {}

fn main() -> ExitCode {
    let Arguments {} = argh::from_env();
    match catkinmast_serve::run_standby::<UsersPlatform>() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("catkinmast-standby: {error}");
            ExitCode::FAILURE
        }
    }
}
