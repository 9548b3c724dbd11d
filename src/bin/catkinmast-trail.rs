//! `catkinmast-trail`: prints the history of a request from the logs of several processes.

use argh::FromArgs;
use std::process::ExitCode;

/// Prints the audit trail of one request, item, batch or target from the logs of all processes,
/// ordered by time. Reads the named log files, or standard input if there are none.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// id of a request, an item, a batch submission or a target, or a request's fingerprint
    #[argh(positional)]
    id: String,
    /// log files, one for each process or merged
    #[argh(positional)]
    files: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let text = match catkinmast_trail::read_logs(&arguments.files) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("catkinmast-trail: {error}");
            return ExitCode::FAILURE;
        }
    };
    let unreadable = catkinmast_trail::count_unreadable(text.lines());
    if unreadable > 0 {
        eprintln!("catkinmast-trail: skipped {unreadable} lines that are truncated or joined");
    }
    let entries = catkinmast_trail::history(text.lines(), &arguments.id);
    let Some(first) = entries.first().map(|entry| entry.at_unix_ms) else {
        eprintln!("catkinmast-trail: no line mentions {}", arguments.id);
        return ExitCode::FAILURE;
    };
    for entry in &entries {
        println!("{}", catkinmast_trail::format_entry(entry, first));
    }
    ExitCode::SUCCESS
}
