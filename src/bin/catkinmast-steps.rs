//! `catkinmast-steps`: prints where the time of each training step went.

use argh::FromArgs;
use catkinmast_trail::{StepBreakdown, means_by_model, step_breakdowns};
use std::process::ExitCode;

/// Prints the critical path of each step that its trainer has ended, from the audit trails of all
/// processes, and the means of each model. The columns are the times that the step's last item
/// waited for a target, ran, was idle between runs (standing), was scored and listed, and was read.
/// Reads the named log files, or standard input if there are none.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// log files, one for each process or merged
    #[argh(positional)]
    files: Vec<String>,
}

fn print(step: &StepBreakdown) {
    let number = step.step.map_or_else(|| "-".to_owned(), |number| number.to_string());
    println!(
        "{:<16} {number:>4} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>5} {:>6}  {}",
        step.model,
        step.took_ms,
        step.waited_ms,
        step.running_ms,
        step.between_runs_ms,
        step.listed_ms,
        step.read_ms,
        step.events,
        step.runs,
        step.owners,
        step.item,
    );
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let text = match catkinmast_trail::read_logs(&arguments.files) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("catkinmast-steps: {error}");
            return ExitCode::FAILURE;
        }
    };
    let unreadable = catkinmast_trail::count_unreadable(text.lines());
    if unreadable > 0 {
        eprintln!("catkinmast-steps: skipped {unreadable} lines that are truncated or joined");
    }
    let steps = step_breakdowns(text.lines());
    if steps.is_empty() {
        eprintln!("catkinmast-steps: the logs contain no completed step");
        return ExitCode::FAILURE;
    }
    println!(
        "{:<16} {:>4} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>5} {:>6}  item",
        "model",
        "step",
        "took_ms",
        "waited",
        "running",
        "standing",
        "listed",
        "read",
        "events",
        "runs",
        "owners"
    );
    steps.iter().for_each(print);
    for (model, mean) in means_by_model(&steps) {
        println!(
            "{model:<16} mean {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}  of {} steps",
            mean.took_ms,
            mean.waited_ms,
            mean.running_ms,
            mean.between_runs_ms,
            mean.listed_ms,
            mean.read_ms,
            mean.steps,
        );
    }
    ExitCode::SUCCESS
}
