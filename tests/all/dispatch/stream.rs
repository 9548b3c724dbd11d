//! Events of token streams, wherever the byte stream is split.

use catkinmast_dispatch::{EventReader, StreamEvent};
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
