//! The operators' command line: a thin wrapper over `catkinmast_ctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinmast_ctl::main()
}
