//! The operators' command line.
//!
//! Every command prints a table for people, or JSON with `--json`. Exit codes: 0 done, 1 refused
//! or unreachable and not run, 2 wrong arguments, 3 a document with faults, 4 a conflict, 5 the
//! action may have run.

mod commands;
mod http;
mod table;

pub use commands::{Exit, main};
