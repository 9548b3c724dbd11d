//! `catkinmast-steps`: where the time of each training step went.

use argh::FromArgs;
use catkinmast_trail::{StepAccount, steps, totals};
use std::io::Read;
use std::process::ExitCode;

/// Prints the critical path of each step that its trainer has ended, from the audit trails of all
/// processes: the time that the item which ended it waited for a target, ran, stood still between
/// runs, was scored and listed, and was read; and the means for each model. Reads log files, or
/// standard input where none is named.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// log files, one for each process, or collected
    #[argh(positional)]
    files: Vec<String>,
}

fn read(files: &[String]) -> Result<String, String> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().lock().read_to_string(&mut text);
        read.map_err(|error| format!("standard input: {error}"))?;
    }
    for file in files {
        text.push_str(&std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?);
        text.push('\n');
    }
    Ok(text)
}

fn print(step: &StepAccount) {
    let number = step.step.map_or_else(|| "-".to_owned(), |number| number.to_string());
    println!(
        "{:<16} {number:>4} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>5} {:>6}  {}",
        step.model,
        step.took_ms,
        step.waited_ms,
        step.running_ms,
        step.standing_ms,
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
    let text = match read(&arguments.files) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("catkinmast-steps: the logs cannot be read: {error}");
            return ExitCode::FAILURE;
        }
    };
    let steps = steps(text.lines());
    if steps.is_empty() {
        eprintln!("catkinmast-steps: no step has ended in these logs");
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
    for (model, mean) in totals(&steps) {
        println!(
            "{model:<16} mean {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}  of {} steps",
            mean.took_ms,
            mean.waited_ms,
            mean.running_ms,
            mean.standing_ms,
            mean.listed_ms,
            mean.read_ms,
            mean.steps,
        );
    }
    ExitCode::SUCCESS
}
