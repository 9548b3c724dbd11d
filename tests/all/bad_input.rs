//! Parsers of untrusted input: arbitrary input gives a precise error, never a panic; valid input
//! round-trips.

use catkinmast_config::Document;
use catkinmast_member::Message;
use catkinmast_model::{Labels, Name, Selector};
use catkinmast_route::Ticket;
use catkinmast_wire::{DATAGRAM_MAX_BYTES, FrameError, SharedKey, open, parse_length_prefix, seal};
use proptest::prelude::*;

fn key() -> SharedKey {
    SharedKey::derive("a shared key of the tests")
}

fn pull(buckets: Vec<u64>) -> Message {
    Message::Pull { buckets }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_are_no_valid_frame(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(open::<Message>(&key(), &bytes, DATAGRAM_MAX_BYTES).is_err());
    }

    #[test]
    fn a_frame_round_trips(buckets in prop::collection::vec(any::<u64>(), 0..64)) {
        let frame = seal(&key(), &pull(buckets.clone()), DATAGRAM_MAX_BYTES).expect("it fits");
        prop_assert_eq!(open::<Message>(&key(), &frame, DATAGRAM_MAX_BYTES), Ok(pull(buckets)));
    }

    #[test]
    fn a_frame_with_any_bit_changed_is_refused(
        buckets in prop::collection::vec(any::<u64>(), 0..8),
        at in any::<prop::sample::Index>(),
        bit in 0..8_u32,
    ) {
        let mut frame = seal(&key(), &pull(buckets), DATAGRAM_MAX_BYTES).expect("it fits");
        let at = at.index(frame.len());
        frame[at] ^= 1 << bit;
        prop_assert!(open::<Message>(&key(), &frame, DATAGRAM_MAX_BYTES).is_err());
    }

    #[test]
    fn any_text_is_a_selector_or_an_error_with_an_offset_in_the_text(text in "\\PC{0,80}") {
        match text.parse::<Selector>() {
            Ok(selector) => {
                prop_assert_eq!(selector.as_str(), text.as_str());
                let _matches = selector.matches(&Labels::default());
            }
            Err(error) => prop_assert!(error.offset_bytes <= text.len()),
        }
    }

    #[test]
    fn a_selector_of_equalities_requires_each_label_value(
        pairs in prop::collection::btree_map("[a-z]{1,6}", "[a-z0-9]{1,6}", 1..5),
    ) {
        let terms: Vec<String> = pairs.iter().map(|(key, value)| format!("{key}={value}")).collect();
        let selector: Selector = terms.join(",").parse().expect("a selector");
        let labels = pairs.iter().fold(Labels::default(), |all, (key, value)| all.with(key, value));
        prop_assert!(selector.matches(&labels));
        let (key, _) = pairs.iter().next().expect("one pair");
        prop_assert!(!selector.matches(&labels.with(key, "other-value")));
    }

    #[test]
    fn any_text_is_a_document_or_faults_with_existing_lines(text in "[a-z\\[\\]={}\"0-9,. \n-]{0,300}") {
        if let Err(faults) = Document::parse(&text) {
            let lines = text.lines().count() + 1;
            prop_assert!(!faults.0.is_empty());
            prop_assert!(faults.0.iter().all(|fault| fault.line >= 1 && fault.line <= lines));
        }
    }

    #[test]
    fn a_ticket_round_trips_through_text(text in "[a-z:0-9-]{0,60}") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
        }
    }

    #[test]
    fn a_name_has_no_characters_that_need_escaping(text in "\\PC{0,70}") {
        if let Ok(name) = text.parse::<Name>() {
            prop_assert!(!name.as_str().contains(['/', ':', ' ', '%', '?', '#']));
        }
    }
}

// Guards against a node that runs out of memory: a peer sends a length prefix of 4 GiB, and the
// node allocates a buffer of that size.
#[test]
fn a_length_prefix_over_the_limit_is_refused_before_allocation() {
    let parsed = parse_length_prefix(u32::MAX.to_be_bytes());
    assert!(matches!(parsed, Err(FrameError::TooLarge { .. })), "{parsed:?}");
}

// Guards against a node that accepts frames from another deployment or of an unknown format.
#[test]
fn a_frame_with_another_key_or_format_version_is_refused() {
    let frame = seal(&key(), &pull(vec![1]), DATAGRAM_MAX_BYTES).expect("it fits");
    let other = SharedKey::derive("the key of somebody else");
    assert_eq!(open::<Message>(&other, &frame, DATAGRAM_MAX_BYTES), Err(FrameError::Tag));
    let mut newer_version = frame;
    newer_version[0] = 2;
    let refused = open::<Message>(&key(), &newer_version, DATAGRAM_MAX_BYTES);
    assert_eq!(refused, Err(FrameError::Version { found: 2 }));
}
