//! Reading log files, and what of them cannot be read.

use crate::object;
use displaydoc::Display;
use std::io::Read;

/// {source_name} cannot be read: {problem}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct LogError {
    /// What went wrong.
    pub problem: String,
    /// The file, or standard input.
    pub source_name: String,
}

impl std::error::Error for LogError {}

fn cannot_read(source_name: &str) -> impl FnOnce(std::io::Error) -> LogError {
    move |error| LogError { problem: error.to_string(), source_name: source_name.to_owned() }
}

/// Reads log files one after the other, or standard input where none is named.
///
/// # Errors
/// Names the file that cannot be read.
pub fn read_logs(files: &[String]) -> Result<String, LogError> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().lock().read_to_string(&mut text);
        read.map_err(cannot_read("standard input"))?;
    }
    for file in files {
        text.push_str(&std::fs::read_to_string(file).map_err(cannot_read(file))?);
        text.push('\n');
    }
    Ok(text)
}

/// Counts the lines that begin an object and are none: cut, or joined to another. What is told of a
/// request without them may lack a step.
pub fn count_unreadable<'a>(lines: impl Iterator<Item = &'a str>) -> usize {
    lines.filter(|line| line.contains('{') && object(line).is_none()).count()
}
