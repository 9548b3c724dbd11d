//! Events of token streams, wherever the byte stream is split.

use catkinmast_dispatch::{EVENT_MAX_BYTES, EventReader, EventScanner, StreamEvent};
use proptest::prelude::*;

const STREAM: &str =
    "x-version: 7\nid: 1\ndata: a\ndata: b\n\n: a comment\n\nid: 2\r\ndata:c\r\n\r\n";

fn read(parts: &[&[u8]]) -> (Vec<StreamEvent>, bool) {
    let mut reader = EventReader::default();
    let events = parts.iter().flat_map(|part| reader.read(part)).collect();
    (events, reader.is_between_events())
}

#[test]
fn events_are_parsed_with_lines_number_and_fields() {
    let (events, is_complete) = read(&[STREAM.as_bytes()]);

    assert!(is_complete);
    assert_eq!(events.len(), 2);
    assert_eq!(events[0].data, "a\nb");
    assert_eq!(events[0].id, Some(1));
    assert_eq!(events[0].fields, [("x-version".to_owned(), "7".to_owned())]);
    assert_eq!((events[1].data.as_str(), events[1].id), ("c", Some(2)));
}

// Guards against text that appears twice in a sample. A target stops in the middle of an event and
// another resumes after the last complete one; the partial event must not count.
#[test]
fn a_partial_event_is_not_returned() {
    let (events, is_complete) = read(&[b"id: 1\ndata: a\n\nid: 2\ndata: ha"]);

    assert_eq!(events.len(), 1);
    assert!(!is_complete);
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_bytes_are_split(cut in 0..STREAM.len()) {
        let (first, second) = STREAM.as_bytes().split_at(cut);
        prop_assert_eq!(read(&[first, second]), read(&[STREAM.as_bytes()]));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        read(&[&bytes]);
    }
}

// Guards against memory that grows without end: a target sends an event that it never completes.
#[yare::parameterized(
    line = { "a" },
    comments = { ": a\n" },
    data = { "data: a\n" },
    fields = { "a\n" },
    empty_lines = { "\n" },
)]
fn an_event_without_end_is_over_the_limit(repeated: &str) {
    let mut reader = EventReader::default();
    let mut read_bytes = 0;

    while !reader.is_over_limit() && read_bytes <= EVENT_MAX_BYTES {
        assert_eq!(reader.read(repeated.as_bytes()), []);
        read_bytes += repeated.len();
    }

    assert!(reader.is_over_limit());
    assert!(!reader.is_between_events(), "the stream cannot end as complete");
    assert_eq!(reader.read(b"\n\ndata: a\n\n"), [], "nothing more is read");
}

#[test]
fn comments_between_events_do_not_add_up_to_the_limit() {
    let event = format!(": {}\nid: 1\ndata: a\n\n", "a".repeat(1_000));
    let mut reader = EventReader::default();

    let events = (0..200).map(|_| reader.read(event.as_bytes()).len()).sum::<usize>();

    assert_eq!(events, 200);
    assert!(!reader.is_over_limit());
}

// Guards against work that grows with the square of an event's size: each piece of a long line led to
// a search of the whole line.
#[test]
fn each_byte_is_searched_once_however_the_stream_is_split() {
    let event = format!("data: {}\n\n", "a".repeat(40_000));
    let mut reader = EventReader::default();

    let events = event.as_bytes().chunks(1).flat_map(|piece| reader.read(piece)).count();

    assert_eq!(events, 1);
    assert_eq!(reader.searched_bytes(), event.len());
}

#[test]
fn the_scanner_finds_the_events_that_the_reader_returns() {
    for cut in 0..STREAM.len() {
        let (first, second) = STREAM.as_bytes().split_at(cut);
        let mut scanner = EventScanner::default();

        let events = scanner.read(first) + scanner.read(second);

        assert_eq!(events, read(&[first, second]).0.len());
        assert_eq!(scanner.unfinished_bytes(), 0);
    }
}
