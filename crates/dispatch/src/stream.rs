//! The events of a token stream (`text/event-stream`).

/// One whole event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamEvent {
    /// Its data lines, joined by line feeds.
    pub data: String,
    /// Fields other than data and id, by name.
    pub fields: Vec<(String, String)>,
    /// Its number, by which a run goes on elsewhere.
    pub id: Option<u64>,
}

/// Cuts a byte stream into events.
///
/// A target may stop in the middle of an event. Only an event that its empty line has ended is
/// handed out: half an event would put text into a sample that a resumed run then repeats.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    held: Vec<u8>,
    open: StreamEvent,
    seen_line: bool,
}

impl EventReader {
    /// Takes the next bytes and returns the events that they complete.
    pub fn read(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.held.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.held[start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.held[start..start + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let text = String::from_utf8_lossy(line).into_owned();
            start += length + 1;
            if let Some(event) = self.take_line(&text) {
                events.push(event);
            }
        }
        self.held.drain(..start);
        events
    }

    /// Tells whether the stream stops between two events.
    pub fn is_between_events(&self) -> bool {
        self.held.is_empty() && !self.seen_line
    }

    fn take_line(&mut self, line: &str) -> Option<StreamEvent> {
        if line.is_empty() {
            let whole = std::mem::take(&mut self.seen_line);
            let event = std::mem::take(&mut self.open);
            return whole.then_some(event);
        }
        if line.starts_with(':') {
            return None;
        }
        self.seen_line = true;
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "data" if self.open.data.is_empty() => self.open.data.push_str(value),
            "data" => {
                self.open.data.push('\n');
                self.open.data.push_str(value);
            }
            "id" => self.open.id = value.parse().ok(),
            _ => self.open.fields.push((name.to_owned(), value.to_owned())),
        }
        None
    }
}
