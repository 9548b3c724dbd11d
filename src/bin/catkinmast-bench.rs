//! Benchmarks of the decisions: a thin wrapper over `catkinmast_bench`.

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::process::ExitCode;

/// Counts what is allocated, so that state can be measured in bytes.
#[global_allocator]
static COUNTING: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    catkinmast_bench::main()
}
