//! Benchmarks of the decisions: a thin wrapper over `catkinmast_bench`.

use std::process::ExitCode;

fn main() -> ExitCode {
    catkinmast_bench::main()
}
