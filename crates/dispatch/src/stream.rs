//! Parser for token streams (`text/event-stream`).

/// A complete event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamEvent {
    /// Its data lines, joined by line feeds.
    pub data: String,
    /// Fields other than `data` and `id`, by name.
    pub fields: Vec<(String, String)>,
    /// Its number, from which a run can be resumed at another target.
    pub id: Option<u64>,
}

/// Size limit of an event that is not complete. Usual events have some hundred bytes; 300 streams
/// with events of this size take a sixth of the memory of the smallest instances.
pub const EVENT_MAX_BYTES: usize = 64 << 10;
/// Limit of the other fields of an event. A field takes forty times the memory of its shortest line.
const FIELDS_MAX: usize = 32;

/// Splits a byte stream into events.
///
/// A target may stop in the middle of an event. An event is returned only once its closing empty
/// line has arrived: part of an event would add text to a sample that a resumed run then repeats.
///
/// Holds at most [`EVENT_MAX_BYTES`] of an event that is not complete, and searches each byte once.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    event: StreamEvent,
    has_line: bool,
    is_over_limit: bool,
    /// The line that is not complete.
    line: Vec<u8>,
    searched_bytes: usize,
    /// Bytes since the last complete event, also those of comments and empty lines.
    unfinished_bytes: usize,
}

impl EventReader {
    /// Reads more bytes and returns the events that they complete. Reads nothing more once an event
    /// [is over the limit](Self::is_over_limit).
    pub fn read(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        let mut rest = bytes;
        while !rest.is_empty() && !self.is_over_limit {
            let line_feed = rest.iter().position(|byte| *byte == b'\n');
            let (part, after) = rest.split_at(line_feed.map_or(rest.len(), |index| index + 1));
            rest = after;
            self.searched_bytes += part.len();
            self.unfinished_bytes += part.len();
            if self.unfinished_bytes > EVENT_MAX_BYTES {
                self.is_over_limit = true;
                self.line = Vec::new();
                break;
            }
            self.line.extend_from_slice(part);
            if line_feed.is_some() {
                events.extend(self.take_line());
            }
        }
        events
    }

    /// Returns whether the bytes read so far end with a complete event, or are none.
    pub const fn is_between_events(&self) -> bool {
        self.line.is_empty() && !self.has_line && !self.is_over_limit
    }

    /// Returns whether an event has more than [`EVENT_MAX_BYTES`] or too many fields. The stream
    /// cannot be read on.
    pub const fn is_over_limit(&self) -> bool {
        self.is_over_limit
    }

    /// Returns how many bytes were searched for the end of a line, which is the work of reading.
    pub const fn searched_bytes(&self) -> usize {
        self.searched_bytes
    }

    /// Takes the complete line in the buffer, and returns the event that it completes.
    fn take_line(&mut self) -> Option<StreamEvent> {
        let mut bytes = std::mem::take(&mut self.line);
        let line = bytes.strip_suffix(b"\n").unwrap_or(&bytes);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let event = self.apply_line(&String::from_utf8_lossy(line));
        bytes.clear();
        self.line = bytes;
        event
    }

    fn apply_line(&mut self, line: &str) -> Option<StreamEvent> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            if !std::mem::take(&mut self.has_line) {
                return None;
            }
            self.unfinished_bytes = 0;
            return Some(event);
        }
        if line.starts_with(':') {
            return None;
        }
        self.has_line = true;
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "data" if self.event.data.is_empty() => self.event.data.push_str(value),
            "data" => {
                self.event.data.push('\n');
                self.event.data.push_str(value);
            }
            "id" => self.event.id = value.parse().ok(),
            _ if self.event.fields.len() == FIELDS_MAX => self.is_over_limit = true,
            _ => self.event.fields.push((name.to_owned(), value.to_owned())),
        }
        None
    }
}

/// Follows the events of a stream that is passed on, without keeping any of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    has_field: bool,
    line: ScannedLine,
    /// Bytes since the last complete event, also those of comments and empty lines.
    unfinished_bytes: usize,
}

/// What is known of the line that is not complete.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ScannedLine {
    Comment,
    #[default]
    Empty,
    Field,
}

impl EventScanner {
    /// Reads more bytes, and returns how many events they complete.
    pub fn read(&mut self, bytes: &[u8]) -> usize {
        let mut complete = 0;
        for byte in bytes {
            self.unfinished_bytes += 1;
            match (byte, self.line) {
                (b'\n', ScannedLine::Empty) if self.has_field => {
                    complete += 1;
                    self.has_field = false;
                    self.unfinished_bytes = 0;
                }
                (b'\n', line) => {
                    self.has_field |= line == ScannedLine::Field;
                    self.line = ScannedLine::Empty;
                }
                (b':', ScannedLine::Empty) => self.line = ScannedLine::Comment,
                (b'\r', ScannedLine::Empty) => {}
                (_, ScannedLine::Empty) => self.line = ScannedLine::Field,
                _ => {}
            }
        }
        complete
    }

    /// Returns the number of bytes since the last complete event.
    pub const fn unfinished_bytes(&self) -> usize {
        self.unfinished_bytes
    }
}
