//! Benchmarks of the decisions, in virtual time.

use std::process::ExitCode;

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
