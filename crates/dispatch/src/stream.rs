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

/// Splits a byte stream into events.
///
/// A target may stop in the middle of an event. An event is returned only once its closing empty
/// line has arrived: part of an event would add text to a sample that a resumed run then repeats.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
    event: StreamEvent,
    has_line: bool,
}

impl EventReader {
    /// Reads more bytes and returns the events that they complete.
    pub fn read(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.buffer[start..start + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let text = String::from_utf8_lossy(line).into_owned();
            start += length + 1;
            if let Some(event) = self.take_line(&text) {
                events.push(event);
            }
        }
        self.buffer.drain(..start);
        events
    }

    /// Returns whether the bytes read so far end with a complete event, or are none.
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty() && !self.has_line
    }

    fn take_line(&mut self, line: &str) -> Option<StreamEvent> {
        if line.is_empty() {
            let is_complete = std::mem::take(&mut self.has_line);
            let event = std::mem::take(&mut self.event);
            return is_complete.then_some(event);
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
            _ => self.event.fields.push((name.to_owned(), value.to_owned())),
        }
        None
    }
}
