//! Runs one case of the review: `review-case NUMBER RECORD`. With `TROUBLE=0` in the environment it
//! does the same without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod site;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// After this time a case counts as hung.
const TIME_MAX: Duration = Duration::from_secs(100);

fn watch_time() {
    std::thread::sleep(TIME_MAX);
    eprintln!("the case did not end in {} s", TIME_MAX.as_secs());
    site::kill_all();
    std::process::exit(2);
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-case NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(watch_time);
    let outcome = match name.as_str() {
        "crashes" => cases::crashes(trouble, Path::new(record)),
        "stream" => cases::stream(trouble, Path::new(record)),
        _ => Err(std::io::Error::other("no such case")),
    };
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
