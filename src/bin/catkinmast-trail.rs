//! `catkinmast-trail`: what became of a request, from the logs of several processes.

use argh::FromArgs;
use std::io::Read;
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

fn read(files: &[String]) -> std::io::Result<String> {
    let mut text = String::new();
    if files.is_empty() {
        std::io::stdin().lock().read_to_string(&mut text)?;
    }
    for file in files {
        text.push_str(&std::fs::read_to_string(file)?);
        text.push('\n');
    }
    Ok(text)
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let text = match read(&arguments.files) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("catkinmast-trail: the logs cannot be read: {error}");
            return ExitCode::FAILURE;
        }
    };
    let steps = catkinmast_trail::story(text.lines(), &arguments.id);
    let Some(first) = steps.first().map(|step| step.at_unix_ms) else {
        eprintln!("catkinmast-trail: no line names {}", arguments.id);
        return ExitCode::FAILURE;
    };
    for step in &steps {
        println!("{}", catkinmast_trail::tell(step, first));
    }
    ExitCode::SUCCESS
}
