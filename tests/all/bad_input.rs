//! Bad input: no panic, bounded memory, a clear error, nothing lost.

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
    fn any_bytes_are_a_frame_of_ours_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(open::<Message>(&key(), &bytes, DATAGRAM_MAX_BYTES).is_err());
    }

    #[test]
    fn a_frame_is_read_as_it_was_written(buckets in prop::collection::vec(any::<u64>(), 0..64)) {
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
    fn any_text_is_a_selector_or_an_error_that_names_its_place(text in "\\PC{0,80}") {
        match text.parse::<Selector>() {
            Ok(selector) => {
                prop_assert_eq!(selector.as_str(), text.as_str());
                let _decided = selector.matches(&Labels::default());
            }
            Err(error) => prop_assert!(error.offset_bytes <= text.len()),
        }
    }

    #[test]
    fn a_selector_of_equal_terms_matches_just_those_labels(
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
    fn any_text_is_a_document_or_faults_with_lines_that_exist(text in "[a-z\\[\\]={}\"0-9,. \n-]{0,300}") {
        if let Err(faults) = Document::parse(&text) {
            let lines = text.lines().count() + 1;
            prop_assert!(!faults.0.is_empty());
            prop_assert!(faults.0.iter().all(|fault| fault.line >= 1 && fault.line <= lines));
        }
    }

    #[test]
    fn a_ticket_is_read_as_it_is_shown(text in "[a-z:0-9-]{0,60}") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
        }
    }

    #[test]
    fn a_name_never_holds_what_would_need_escaping(text in "\\PC{0,70}") {
        if let Ok(name) = text.parse::<Name>() {
            prop_assert!(!name.as_str().contains(['/', ':', ' ', '%', '?', '#']));
        }
    }
}

/// Symptom: a peer that announces four gigabytes takes the node's memory.
#[test]
fn an_announced_length_over_the_cap_is_refused_before_memory_is_taken() {
    let announced = parse_length_prefix(u32::MAX.to_be_bytes());
    assert!(matches!(announced, Err(FrameError::TooLarge { .. })), "{announced:?}");
}

/// Symptom: a node of another deployment joins this one.
#[test]
fn a_frame_under_another_key_or_of_another_format_is_refused() {
    let frame = seal(&key(), &pull(vec![1]), DATAGRAM_MAX_BYTES).expect("it fits");
    let other = SharedKey::derive("the key of somebody else");
    assert_eq!(open::<Message>(&other, &frame, DATAGRAM_MAX_BYTES), Err(FrameError::Tag));
    let mut newer = frame;
    newer[0] = 2;
    let refused = open::<Message>(&key(), &newer, DATAGRAM_MAX_BYTES);
    assert_eq!(refused, Err(FrameError::Version { found: 2 }));
}
