//! A whole deployment on loopback: a thin wrapper over `catkinmast_local`.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinmast_local::main()
}
