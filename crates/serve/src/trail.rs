//! Writes the audit trail to standard output, one JSON object per line.
//!
//! A line is written for each decision that affects a request or changes the state of the process.
//! Lines go through a bounded queue to a writer thread, so that a reader that does not read never
//! blocks a request. Lines that do not fit in the queue are dropped and counted.

use catkinmast_model::UnixMs;
use serde_json::{Map, Value, json};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Lines in the queue at most; 200 KB at the usual 200 bytes per line.
const QUEUE_MAX_LINES: usize = 1_000;
/// Lines of one event per second at most; further ones are suppressed and counted. It is four times
/// the rate of the busiest event on the heaviest measured day.
const EVENT_MAX_LINES_PER_S: u32 = 100;
/// Bytes that a pipe takes in one atomic write (`PIPE_BUF` of Linux).
const WRITE_MAX_BYTES: usize = 4_096;
/// The writer waits this long for more lines, so that it wakes up at most four times a second.
const WRITE_EVERY: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Queue {
    dropped: u64,
    lines: VecDeque<String>,
    stopped: bool,
}

#[derive(Debug, Default)]
struct Shared {
    changed: Condvar,
    queue: Mutex<Queue>,
}

#[derive(Debug)]
struct EventRate {
    suppressed: u32,
    name: &'static str,
    second: u64,
    written: u32,
}

/// The audit trail of a process.
#[derive(Debug)]
pub(crate) struct Trail {
    event_rates: RefCell<Vec<EventRate>>,
    node: String,
}

impl Trail {
    /// Starts the writer thread and returns the trail.
    pub(crate) fn open(node: &str) -> Self {
        let shared = Arc::new(Shared::default());
        let sink = Arc::clone(&shared);
        let output = fern::Output::call(move |record| sink.push(record.args().to_string()));
        let dispatch = fern::Dispatch::new()
            .level(log::LevelFilter::Warn)
            .level_for(module_path!(), log::LevelFilter::Info)
            .chain(output);
        // If the process opens a second trail, the first writer serves both.
        if dispatch.apply().is_ok() {
            std::thread::spawn(move || shared.write_all());
        }
        Self { event_rates: RefCell::new(Vec::new()), node: node.to_owned() }
    }

    /// Writes one line; `fields` must be an object.
    pub(crate) fn note(&self, now: UnixMs, event: &'static str, fields: Value) {
        let Some(suppressed) = self.admit(now, event) else { return };
        let mut line = Map::new();
        line.insert("at_unix_ms".into(), json!(UnixMs::from_wall_clock().0));
        line.insert("at_ms".into(), json!(now.0));
        line.insert("node".into(), json!(self.node));
        line.insert("event".into(), json!(event));
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        if suppressed > 0 {
            line.insert("left_out_before".into(), json!(suppressed));
        }
        log::info!("{}", Value::Object(line));
    }

    /// Counts a line against the rate of its event. Returns the number of lines suppressed before
    /// it, or none if this line is suppressed too.
    fn admit(&self, now: UnixMs, name: &'static str) -> Option<u32> {
        let mut event_rates = self.event_rates.borrow_mut();
        let second = now.0 / 1_000;
        let at = event_rates.iter().position(|rate| rate.name == name).unwrap_or_else(|| {
            event_rates.push(EventRate { suppressed: 0, name, second, written: 0 });
            event_rates.len() - 1
        });
        let rate = &mut event_rates[at];
        if rate.second != second {
            rate.second = second;
            rate.written = 0;
        }
        if rate.written >= EVENT_MAX_LINES_PER_S {
            rate.suppressed += 1;
            return None;
        }
        rate.written += 1;
        Some(std::mem::take(&mut rate.suppressed))
    }
}

impl Shared {
    fn push(&self, line: String) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.lines.len() >= QUEUE_MAX_LINES {
            queue.dropped += 1;
            return;
        }
        queue.lines.push_back(line);
        if queue.lines.len() == 1 {
            self.changed.notify_one();
        }
    }

    fn write_all(&self) {
        loop {
            let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
            while queue.lines.is_empty() && !queue.stopped {
                queue = self.changed.wait(queue).unwrap_or_else(PoisonError::into_inner);
            }
            drop(queue);
            std::thread::sleep(WRITE_EVERY);
            let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
            let lines = std::mem::take(&mut queue.lines);
            let dropped = std::mem::take(&mut queue.dropped);
            drop(queue);
            if !write_lines(&lines, dropped) {
                return;
            }
        }
    }
}

/// Writes lines to standard output. Returns false if a write fails, since the reader is gone.
fn write_lines(lines: &VecDeque<String>, dropped: u64) -> bool {
    let mut output = std::io::stdout().lock();
    let note =
        (dropped > 0).then(|| json!({ "event": "trail_dropped", "lines": dropped }).to_string());
    let lines = lines.iter().chain(&note).map(String::as_str);
    atomic_writes(lines).iter().all(|text| output.write_all(text.as_bytes()).is_ok())
        && output.flush().is_ok()
}

/// Joins lines into texts, each of which a pipe takes in one atomic write.
///
/// A pipe splits writes of more than 4,096 bytes. When the lines of a quarter of a second went out
/// in one write, readers got lines that were cut in the middle and joined to later ones (22 of
/// 2,915 on a busy day). A longer line is a text of its own.
pub fn atomic_writes<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<String> {
    let mut texts: Vec<String> = Vec::new();
    for line in lines {
        match texts.last_mut() {
            Some(text) if text.len() + line.len() < WRITE_MAX_BYTES => text.push_str(line),
            _ => texts.push(line.to_owned()),
        }
        if let Some(text) = texts.last_mut() {
            text.push('\n');
        }
    }
    texts
}
