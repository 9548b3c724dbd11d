//! Benchmarks of the policies and data structures: a thin wrapper over `catkinmast_bench`.

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::process::ExitCode;

/// Counts allocations, so that benchmarks can report the size of state in bytes.
#[global_allocator]
static COUNTING: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    catkinmast_bench::main()
}
