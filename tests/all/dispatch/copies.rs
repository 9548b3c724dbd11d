//! Incremental copies of partial texts, for the node that would take over a batch.

use catkinmast_dispatch::{CopiedTexts, Progress, SentTexts, TextUpdate};
use proptest::prelude::*;

fn text(item: &str, events: std::ops::RangeInclusive<u64>, run: &str) -> (String, Progress) {
    let mut progress = Progress::default();
    progress.note_version(1);
    for event in events {
        progress.push(&format!("{run}-{event}"), Some(event));
    }
    (item.to_owned(), progress)
}

fn bytes(updates: &[TextUpdate]) -> usize {
    updates.iter().map(|update| update.progress.text.len()).sum()
}

#[test]
fn a_copy_follows_growing_texts_and_each_byte_is_sent_once() {
    let (mut sent, mut copy) = (SentTexts::default(), CopiedTexts::default());
    let mut sent_bytes = 0;

    for events in [3, 8, 8, 20] {
        let updates = sent.updates(&[text("a", 1..=events, "r"), text("b", 1..=2, "r")]);
        sent_bytes += bytes(&updates);
        assert!(copy.apply(updates));
    }

    let expected = [text("a", 1..=20, "r"), text("b", 1..=2, "r")];
    assert_eq!(copy.into_texts(), expected);
    assert_eq!(sent_bytes, expected.iter().map(|(_, progress)| progress.text.len()).sum::<usize>());
}

// Guards against a result that joins texts of two runs. A run fails and its item restarts, and the
// new text outgrows what was sent of the first run; comparing lengths alone would append to the old
// text.
#[test]
fn a_restarted_text_replaces_the_former_one() {
    let (mut sent, mut copy) = (SentTexts::default(), CopiedTexts::default());
    assert!(copy.apply(sent.updates(&[text("a", 1..=5, "first")])));

    assert!(copy.apply(sent.updates(&[text("a", 1..=9, "other")])));

    assert_eq!(copy.into_texts(), [text("a", 1..=9, "other")]);
}

#[test]
fn a_copy_that_missed_a_part_reports_it_and_is_sent_everything() {
    let (mut sent, mut copy) = (SentTexts::default(), CopiedTexts::default());
    assert!(copy.apply(sent.updates(&[text("a", 1..=2, "r")])));
    let _lost = sent.updates(&[text("a", 1..=4, "r")]);

    assert!(!copy.apply(sent.updates(&[text("a", 1..=6, "r")])));
    sent.forget();

    assert!(copy.apply(sent.updates(&[text("a", 1..=6, "r")])));
    assert_eq!(copy.into_texts(), [text("a", 1..=6, "r")]);
}

proptest! {
    // Whatever is lost on the way, a copy holds what a single run had at some time, never a mix.
    #[test]
    fn a_copy_never_joins_texts_of_two_runs(
        steps in prop::collection::vec((1..30_u64, any::<bool>(), any::<bool>()), 1..20),
    ) {
        let (mut sent, mut copy) = (SentTexts::default(), CopiedTexts::default());
        let mut run = 0;
        for (events, restarts, is_lost) in steps {
            run += u64::from(restarts);
            let updates = sent.updates(&[text("a", 1..=events, &format!("run{run}"))]);
            if !is_lost && !copy.apply(updates) {
                sent.forget();
            }
        }
        for (_, progress) in copy.into_texts() {
            let runs: std::collections::BTreeSet<&str> =
                progress.text.lines().filter_map(|line| line.split('-').next()).collect();
            prop_assert!(runs.len() <= 1, "{}", progress.text);
            prop_assert_eq!(progress.text.lines().count() as u64, progress.last_event_id.unwrap_or(0));
        }
    }
}
