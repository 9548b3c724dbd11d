//! Stand-ins for external systems, as separate processes: a thin wrapper over `catkinmast_standin`.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinmast_standin::main()
}
