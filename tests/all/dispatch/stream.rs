//! Events of token streams, however their bytes are cut.

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
fn events_have_their_lines_number_and_fields() {
    let (events, whole) = read(&[STREAM.as_bytes()]);

    assert!(whole);
    assert_eq!(events.len(), 2);
    assert_eq!(events[0].data, "a\nb");
    assert_eq!(events[0].id, Some(1));
    assert_eq!(events[0].fields, [("x-version".to_owned(), "7".to_owned())]);
    assert_eq!((events[1].data.as_str(), events[1].id), ("c", Some(2)));
}

// Symptom: a piece of text stands twice in a sample.
// Sequence: a target stops in the middle of an event, and another goes on after the last one.
// Cause: the half event is taken for a whole one.
#[test]
fn half_an_event_is_not_handed_out() {
    let (events, whole) = read(&[b"id: 1\ndata: a\n\nid: 2\ndata: ha"]);

    assert_eq!(events.len(), 1);
    assert!(!whole);
}

proptest! {
    #[test]
    fn the_cut_of_the_bytes_does_not_matter(cut in 0..STREAM.len()) {
        let (first, second) = STREAM.as_bytes().split_at(cut);
        prop_assert_eq!(read(&[first, second]), read(&[STREAM.as_bytes()]));
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        read(&[&bytes]);
    }
}
