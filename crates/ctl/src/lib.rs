//! `catkinmast-ctl`, the command line for operators.
//!
//! Commands print tables, or JSON with `--json`. Exit codes: 0 success, 1 refused or unreachable,
//! nothing was run, 2 invalid arguments, 3 invalid document, 4 conflict with another change, 5 the
//! action may have run.

mod commands;
mod http;
mod table;

pub use commands::{Exit, main};
