//! Items, texts and result positions of a batch.

use catkinmast_dispatch::{
    Batch, BatchPolicy, Chunk, Item, ItemFailures, ItemResult, ItemState, Merge, Progress,
    Submission, UnlistedWork,
};
use catkinmast_model::UnixMs;
use proptest::prelude::*;
use std::collections::BTreeSet;

/// By this time no result waits for the rest of its group.
const LATE: UnixMs = UnixMs(10_000);

fn item(id: &str, group: &str, hint: u64) -> Item {
    Item {
        body: Vec::new(),
        group: Some(group.to_owned()),
        headers: Vec::new(),
        id: id.to_owned(),
        length_hint_tokens: Some(hint),
        path: "/r/".to_owned(),
        reward: None,
        tokens: 500,
    }
}

fn submission(items: Vec<Item>, target_groups: u32) -> Submission {
    Submission {
        items,
        model: Some("m".to_owned()),
        oldest_version: 3,
        step: Some(1),
        target_groups: Some(target_groups),
    }
}

fn policy() -> BatchPolicy {
    BatchPolicy {
        attempts: 2,
        due_at: UnixMs(7_500),
        give_up_at: UnixMs(40_000),
        rerun_from: UnixMs(3_750),
        single_version: false,
    }
}

fn batch(count: usize) -> Batch {
    let items = (0..count).map(|n| item(&format!("i{n}"), &format!("g{}", n / 2), 10)).collect();
    // Nine is more than there are groups, so the number that the trainer waits for is unknown.
    Batch::open(submission(items, 9), policy(), |_| false)
}

/// Returns items in groups of two.
fn items(groups: usize) -> Vec<Item> {
    (0..groups * 2).map(|n| item(&format!("i{n}"), &format!("g{}", n / 2), 10)).collect()
}

fn batch_of_groups(groups: usize, target: u32) -> Batch {
    Batch::open(submission(items(groups), target), policy(), |_| false)
}

fn finish_groups(batch: &mut Batch, at: UnixMs, groups: std::ops::Range<usize>) {
    for number in groups.start * 2..groups.end * 2 {
        batch.record_result(at, result(&format!("i{number}")));
    }
}

fn result(id: &str) -> ItemResult {
    ItemResult {
        id: id.to_owned(),
        score: None,
        state: ItemState::Completed,
        text: format!("text of {id}"),
        versions: vec![3],
    }
}

fn order(batch: &mut Batch) -> Vec<String> {
    let indices: Vec<usize> =
        std::iter::from_fn(|| batch.next_item(UnixMs(0))).map(|next| next.index).collect();
    indices.into_iter().map(|index| batch.submission().items[index].id.clone()).collect()
}

#[test]
fn the_longest_items_start_first_across_groups() {
    let items = vec![
        item("short", "a", 10),
        item("long", "a", 90),
        item("longest", "b", 200),
        item("beside", "b", 5),
        item("middle", "c", 50),
    ];
    let mut batch = Batch::open(submission(items, 2), policy(), |_| false);

    let order = order(&mut batch);

    assert_eq!(order, ["longest", "long", "middle", "short", "beside"]);
}

#[test]
fn resubmitted_groups_start_by_length_like_all_others() {
    let items = vec![item("long", "a", 90), item("again", "b", 20), item("short", "a", 10)];
    let mut batch = Batch::open(submission(items, 1), policy(), |group| group == "b");

    assert_eq!(order(&mut batch), ["long", "again", "short"]);
}

// Guards against a result at two positions, or one that moves. Two nodes own a batch for a moment
// and both have results for the same chunk, and the other's is created first. The loser must take
// over the other's chunk, neither listing its own instead nor the other's twice.
#[test]
fn a_chunk_that_another_owner_created_first_is_merged_unchanged() {
    let mut batch = batch(4);
    for id in ["i0", "i1"] {
        batch.next_item(UnixMs(0));
        batch.record_result(UnixMs(0), result(id));
    }
    let ours = batch.chunk_to_write(LATE, usize::MAX).cloned().expect("a chunk");
    let theirs = Chunk { number: 0, results: vec![result("i1"), result("i2")] };

    let merged = batch.merge(&theirs);

    assert_eq!(ours.results.len(), 2);
    assert_eq!(merged, Merge::Foreign);
    let next =
        batch.chunk_to_write(LATE, usize::MAX).cloned().expect("a chunk of the remaining results");
    assert_eq!(next, Chunk { number: 1, results: vec![result("i0")] });
    assert_eq!(batch.merge(&next), Merge::Ours);
    let listed: Vec<&str> = batch.page(0, usize::MAX).iter().map(|r| r.id.as_str()).collect();
    assert_eq!(listed, ["i1", "i2", "i0"]);
}

#[test]
fn a_chunk_stays_the_same_until_it_is_known_to_be_durable() {
    let mut batch = batch(4);
    batch.record_result(UnixMs(0), result("i0"));
    let first = batch.chunk_to_write(LATE, usize::MAX).cloned();
    batch.record_result(UnixMs(0), result("i1"));

    assert_eq!(batch.chunk_to_write(LATE, usize::MAX).cloned(), first);
}

// Guards against a step that ends half a second after its last group is complete, and against 34
// store writes for a step of 128 items. Both happen if results are listed as they arrive: a reader
// that gets part of a group returns half a second later and misses the rest meanwhile.
#[test]
fn a_result_is_listed_with_its_complete_group() {
    let mut batch = batch(4);
    batch.record_result(UnixMs(0), result("i0"));
    batch.record_result(UnixMs(0), result("i2"));
    assert_eq!(batch.chunk_to_write(UnixMs(10), usize::MAX), None);

    batch.record_result(UnixMs(20), result("i1"));

    let chunk = batch.chunk_to_write(UnixMs(20), usize::MAX).cloned().expect("a complete group");
    assert_eq!(chunk, Chunk { number: 0, results: vec![result("i0"), result("i1")] });
}

#[test]
fn a_result_waits_for_its_group_for_two_seconds_from_shortly_before_the_due_time() {
    let mut batch = batch(4);
    batch.record_result(UnixMs(100), result("i0"));
    batch.record_result(UnixMs(1_900), result("i2"));

    assert_eq!(batch.next_listing_at(), Some(UnixMs(8_800)));
    assert_eq!(batch.chunk_to_write(UnixMs(8_799), usize::MAX), None);
    let chunk = batch.chunk_to_write(UnixMs(8_800), usize::MAX).expect("a chunk");
    assert_eq!(chunk.results, [result("i0"), result("i2")], "a single write lists all results");
}

// Guards against a step that ends half a second after its last group, although the last groups
// completed within half a second. If each group is listed as soon as it is complete, a reader that
// gets the last but one returns half a second later and misses the last one meanwhile.
#[test]
fn the_last_groups_that_a_trainer_waits_for_are_listed_together() {
    let mut batch = batch_of_groups(10, 9);
    finish_groups(&mut batch, UnixMs(1_000), 0..7);
    let first = batch.chunk_to_write(UnixMs(1_000), usize::MAX).cloned().expect("a chunk");
    batch.merge(&first);
    assert_eq!(first.results.len(), 14, "groups that are not among the last are listed at once");

    finish_groups(&mut batch, UnixMs(5_000), 7..8);
    assert_eq!(batch.chunk_to_write(UnixMs(5_500), usize::MAX), None, "waits for the last group");
    finish_groups(&mut batch, UnixMs(6_000), 8..9);

    let last = batch.chunk_to_write(UnixMs(6_000), usize::MAX).expect("a chunk of the last groups");
    assert_eq!(last.results.len(), 4);
}

#[test]
fn complete_groups_are_listed_before_the_due_time_though_others_are_missing() {
    let mut batch = batch_of_groups(10, 9);
    finish_groups(&mut batch, UnixMs(1_000), 0..8);

    assert_eq!(batch.next_listing_at(), Some(UnixMs(6_800)));
    let chunk = batch.chunk_to_write(UnixMs(6_800), usize::MAX).cloned().expect("a chunk");
    batch.merge(&chunk);
    assert_eq!(chunk.results.len(), 16);
}

#[yare::parameterized(
    shortly_before_all_are_due = { 7_000, 7_900 },
    when_all_are_due = { 7_500, 7_900 },
    when_they_are_overdue = { 8_000, 9_000 },
)]
fn a_late_group_waits_for_the_last_one_for_a_limited_time(at_ms: u64, listed_ms: u64) {
    let mut batch = batch_of_groups(10, 9);
    finish_groups(&mut batch, UnixMs(1_000), 0..7);
    let first = batch.chunk_to_write(UnixMs(1_000), usize::MAX).cloned().expect("a chunk");
    batch.merge(&first);

    finish_groups(&mut batch, UnixMs(at_ms), 7..8);

    assert_eq!(batch.next_listing_at(), Some(UnixMs(listed_ms)));
}

// Guards against generating a group again that was complete when its step ended. The trainer has
// all groups that it waits for and ends the step; a group that completed after them is listed but
// was not consumed, so its texts must be kept.
#[test]
fn texts_of_groups_that_completed_after_the_last_consumed_one_are_kept() {
    let mut batch = batch_of_groups(3, 2);
    finish_groups(&mut batch, UnixMs(0), 0..3);
    let chunk = batch.chunk_to_write(UnixMs(0), usize::MAX).cloned().expect("a chunk");
    batch.merge(&chunk);

    batch.end();

    let left: Vec<String> = batch.take_progress().into_iter().map(|(id, _)| id).collect();
    assert_eq!(left, ["i4", "i5"]);
    assert_eq!(batch.unconsumed_groups().into_iter().collect::<Vec<_>>(), ["g2"]);
}

#[test]
fn a_resubmitted_group_is_waited_for_whichever_others_are_complete() {
    let mut batch = Batch::open(submission(items(3), 2), policy(), |group| group == "g2");
    finish_groups(&mut batch, UnixMs(0), 0..2);
    assert!(!batch.is_complete());

    finish_groups(&mut batch, UnixMs(10), 2..3);

    assert!(batch.is_complete());
    assert_eq!(batch.consumed_groups().len(), 3);
}

// Guards against a step as long as its longest item because that item's group was left incomplete
// by an earlier step. The trainer ends a step without the groups with the longest items, and waits
// for each when they come again, under weights that do not accept their texts. Without second runs,
// nothing is generated under newer weights before the later step is submitted.
#[test]
fn the_longest_unfinished_items_are_run_again_after_half_of_the_time() {
    let items = vec![
        item("a", "g0", 200),
        item("b", "g1", 150),
        item("c", "g2", 100),
        item("d", "g3", 90),
        item("e", "g4", 10),
        item("again", "g5", 300),
    ];
    let mut batch = Batch::open(submission(items, 5), policy(), |group| group == "g5");
    while batch.next_item(UnixMs(0)).is_some() {}
    batch.record_result(UnixMs(500), result("e"));
    let of = |batch: &Batch, now, version| -> Vec<String> {
        let indices = batch.rerun_candidates(UnixMs(now), 5, |_| Some(version));
        indices.into_iter().map(|index| batch.submission().items[index].id.clone()).collect()
    };

    assert_eq!(of(&batch, 3_749, 3), Vec::<String>::new(), "too early for second runs");
    assert_eq!(of(&batch, 3_750, 3), ["a", "b", "c"], "one surplus group: three candidates");
    assert_eq!(of(&batch, 3_750, 5), Vec::<String>::new(), "the later step accepts their texts");
    batch.end();
    assert_eq!(of(&batch, 3_750, 3), Vec::<String>::new());
}

#[test]
fn nothing_is_run_twice_if_the_trainer_leaves_no_group() {
    let mut batch = batch_of_groups(4, 4);
    while batch.next_item(UnixMs(0)).is_some() {}

    assert_eq!(batch.rerun_candidates(UnixMs(7_000), 9, |_| Some(3)), Vec::<usize>::new());
}

#[test]
fn an_owner_that_shuts_down_lists_all_its_results() {
    let mut batch = batch(4);
    batch.record_result(UnixMs(0), result("i0"));

    let chunk = batch.chunk_of_all_results(usize::MAX).cloned().expect("a chunk");

    assert_eq!(chunk.results, [result("i0")]);
}

// Guards against generating a whole group again although most of its items had finished. A step
// ends while one item of a group is missing and the group is submitted again; the texts of the
// finished items must be kept too.
#[test]
fn finished_texts_of_incomplete_groups_are_kept_for_the_next_batch() {
    let mut batch = batch(4);
    for id in ["i0", "i1"] {
        batch.record_result(UnixMs(0), result(id));
    }
    let listed = batch.chunk_to_write(UnixMs(0), usize::MAX).cloned().expect("a complete group");
    batch.merge(&listed);
    batch.record_result(UnixMs(0), result("i2"));

    batch.end();

    let left = batch.take_progress();
    assert_eq!(left, [("i2".to_owned(), Progress::of_finished(&result("i2")))]);
    let mut next = Batch::open(submission(vec![item("i2", "g1", 10)], 1), policy(), |_| true);
    assert!(next.resume_from("i2", left[0].1.clone()));
    assert!(next.next_item(UnixMs(0)).is_some_and(|next| next.progress.complete));
}

#[test]
fn texts_of_finished_items_are_saved_until_they_are_durable() {
    let mut batch = batch(4);
    batch.record_result(UnixMs(0), result("i0"));
    assert_eq!(batch.unlisted_texts(), [("i0".to_owned(), Progress::of_finished(&result("i0")))]);

    let chunk = batch.chunk_to_write(LATE, usize::MAX).cloned().expect("a chunk");
    batch.merge(&chunk);

    assert!(batch.unlisted_texts().is_empty());
}

#[test]
fn results_are_not_readable_before_they_are_durable() {
    let mut batch = batch(2);
    batch.record_result(UnixMs(0), result("i0"));
    batch.chunk_to_write(LATE, usize::MAX);

    assert!(batch.page(0, usize::MAX).is_empty());
}

#[test]
fn a_text_is_resumed_only_if_its_versions_are_recent_enough() {
    let old = Progress { versions: vec![2, 3], last_event_id: Some(4), ..Progress::default() };
    let new = Progress { versions: vec![3, 4], last_event_id: Some(4), ..Progress::default() };

    assert!(!batch(2).resume_from("i0", old));
    assert!(batch(2).resume_from("i0", new));
}

#[test]
fn an_item_fails_for_good_only_after_all_attempts() {
    let mut batch = batch(1);

    assert!(!batch.record_failure(0));
    assert!(batch.record_failure(0));
}

#[test]
fn runs_that_break_off_are_counted_until_one_brings_events() {
    let mut batch = batch(2);

    let counts = [false, false, true, false].map(|events| batch.record_interruption(0, events));

    assert_eq!(counts, [1, 2, 0, 1]);
    assert_eq!(batch.record_interruption(1, false), 1, "each item has its own count");
}

// Guards against a complete text that is not scored as long as longer items wait for an engine.
#[test]
fn a_complete_text_is_found_behind_items_that_wait() {
    let mut batch = batch(3);
    let complete = Progress { complete: true, ..Progress::default() };
    let last = (0..3).filter_map(|_| batch.next_item(UnixMs(0))).last().expect("the last item");
    for index in 0..3 {
        let progress = if index == last.index { complete.clone() } else { Progress::default() };
        batch.put_back(index, UnixMs(5), progress);
    }
    let mut next_complete =
        |now: u64| batch.next_item_where(UnixMs(now), |_, progress| progress.complete);

    let found = [4, 5, 5].map(|now| next_complete(now).map(|next| next.index));

    assert_eq!(found, [None, Some(last.index), None]);
    assert!(batch.next_item(UnixMs(5)).is_some_and(|next| next.index != last.index));
}

#[test]
fn items_are_given_up_at_their_deadline_and_not_before() {
    let mut batch = batch(3);
    batch.record_result(UnixMs(0), result("i0"));

    assert_eq!(batch.expire(UnixMs(39_999)), 0);
    assert_eq!(batch.expire(UnixMs(40_000)), 2);
    let chunk = batch.chunk_to_write(LATE, usize::MAX).cloned().expect("a chunk");
    let errored = chunk.results.iter().filter(|r| r.state == ItemState::Errored).count();
    assert_eq!(errored, 2);
}

#[test]
fn nothing_starts_after_a_batch_ends() {
    let mut batch = batch(3);
    batch.end();

    assert_eq!(batch.next_item(UnixMs(0)), None);
}

proptest! {
    // Two owners finish, write and merge in any order; the store creates each chunk once.
    #[test]
    fn all_owners_list_results_in_one_sequence(steps in prop::collection::vec((0..2_usize, 0..8_usize, any::<bool>()), 1..60)) {
        let mut owners = [batch(8), batch(8)];
        let mut store: Vec<Chunk> = Vec::new();
        for (owner, number, writes) in steps {
            let batch = &mut owners[owner];
            if !writes {
                batch.record_result(UnixMs(0), result(&format!("i{number}")));
                continue;
            }
            let Some(chunk) = batch.chunk_to_write(LATE, usize::MAX).cloned() else { continue };
            if chunk.number as usize == store.len() {
                store.push(chunk.clone());
                batch.merge(&chunk);
            } else {
                let theirs = store[chunk.number as usize].clone();
                batch.merge(&theirs);
            }
        }
        let all: Vec<String> =
            store.iter().flat_map(|chunk| &chunk.results).map(|r| r.id.clone()).collect();
        let distinct: BTreeSet<&String> = all.iter().collect();
        prop_assert_eq!(distinct.len(), all.len());
        for batch in &owners {
            let listed: Vec<String> =
                batch.page(0, usize::MAX).iter().map(|r| r.id.clone()).collect();
            prop_assert!(all.starts_with(&listed));
        }
    }
}

// Guards against a new owner that counts an item's failures from zero.
#[test]
fn failures_of_an_earlier_owner_count() {
    let mut first = batch(2);
    first.record_failure(0);
    first.record_score_failure(1);
    let mut next = batch(2);

    next.restore_failures(UnixMs(0), first.unlisted_failures());

    assert!(next.record_failure(0), "the second of two attempts");
    assert!(next.record_score_failure(1), "the second of two attempts");
    assert_eq!(next.counts(), (2, 0, 0), "both have an attempt left");
}

// Guards against a new owner that runs an item that was given up, with its result not durable yet.
#[yare::parameterized(
    waiting_to_be_written = { false },
    being_written = { true },
)]
fn an_item_that_an_earlier_owner_gave_up_stays_given_up(is_being_written: bool) {
    let mut first = batch(4);
    first.record_result(UnixMs(0), ItemResult::errored("i0"));
    if is_being_written {
        assert!(first.chunk_to_write(LATE, 1 << 20).is_some());
    }
    let mut next = batch(4);

    next.restore_failures(UnixMs(0), first.unlisted_failures());

    assert_eq!(next.counts(), (3, 0, 1));
    let chunk = next.chunk_to_write(LATE, 1 << 20).expect("its result");
    assert_eq!(chunk.results, [ItemResult::errored("i0")]);
}

#[test]
fn failures_of_items_with_durable_results_are_not_passed_on() {
    let mut batch = batch(2);
    batch.record_failure(0);
    batch.record_result(UnixMs(0), result("i0"));
    batch.record_result(UnixMs(0), result("i1"));
    let chunk = batch.chunk_to_write(LATE, 1 << 20).expect("a chunk").clone();

    batch.merge(&chunk);

    assert!(batch.unlisted_failures().is_empty());
}

#[test]
fn what_two_nodes_know_of_an_item_is_combined() {
    let output = |last: u64| Progress { last_event_id: Some(last), ..Progress::default() };
    let failures = |runs, is_given_up| ItemFailures { is_given_up, runs, scores: 0 };
    let one = UnlistedWork {
        outputs: vec![("i0".to_owned(), output(4)), ("i1".to_owned(), output(2))],
        failures: vec![("i2".to_owned(), failures(2, false))],
    };
    let other = UnlistedWork {
        outputs: vec![("i1".to_owned(), output(3))],
        failures: vec![("i2".to_owned(), failures(1, true)), ("i3".to_owned(), failures(1, false))],
    };

    let both = one.combined_with(other);

    assert_eq!(both.outputs, [("i0".to_owned(), output(4)), ("i1".to_owned(), output(3))]);
    let known = [("i2".to_owned(), failures(2, true)), ("i3".to_owned(), failures(1, false))];
    assert_eq!(both.failures, known);
}
