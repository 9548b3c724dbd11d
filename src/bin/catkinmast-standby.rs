//! `catkinmast-standby`: the process on a machine that holds nothing for us.

use argh::FromArgs;
use catkinmast_adapter::UsersPlatform;
use std::process::ExitCode;

/// Stays up on a store machine and holds nothing: all that lasts is in the platform's store.
#[derive(Debug, FromArgs)]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the library derives for structs with fields"
)]
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
