//! A complete deployment on the loopback interface: a thin wrapper over `catkinmast_local`.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinmast_local::main()
}
