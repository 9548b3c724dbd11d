//! Reading of log files, and counting of lines that cannot be parsed.

use crate::parse_object;
use displaydoc::Display;
use std::io::Read;

/// {source_name} cannot be read: {problem}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct LogError {
    /// The I/O error.
    pub problem: String,
    /// The name of the file, or "standard input".
    pub source_name: String,
}

impl std::error::Error for LogError {}

fn cannot_read(source_name: &str) -> impl FnOnce(std::io::Error) -> LogError {
    move |error| LogError { problem: error.to_string(), source_name: source_name.to_owned() }
}

/// Reads log files one after the other, or standard input if `files` is empty.
///
/// # Errors
/// Returns the first file that cannot be read.
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

/// Counts the lines that start a JSON object but cannot be parsed, because they were truncated or
/// joined with another line. A history without them may be incomplete.
pub fn count_unreadable<'a>(lines: impl Iterator<Item = &'a str>) -> usize {
    lines.filter(|line| line.contains('{') && parse_object(line).is_none()).count()
}
