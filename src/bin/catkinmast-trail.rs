//! `catkinmast-trail`: what became of a request, from the logs of several processes.

use argh::FromArgs;
use std::process::ExitCode;

/// Prints what the audit trails of all processes tell of one request, item, batch or target, in the
/// order of time. Reads log files, or standard input where none is named.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// id of a request, an item, a batch submission or a target
    #[argh(positional)]
    id: String,
    /// log files, one for each process, or collected
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
        eprintln!("catkinmast-trail: {unreadable} lines are left out, they are cut or joined");
    }
    let steps = catkinmast_trail::history(text.lines(), &arguments.id);
    let Some(first) = steps.first().map(|step| step.at_unix_ms) else {
        eprintln!("catkinmast-trail: no line names {}", arguments.id);
        return ExitCode::FAILURE;
    };
    for step in &steps {
        println!("{}", catkinmast_trail::format_entry(step, first));
    }
    ExitCode::SUCCESS
}
