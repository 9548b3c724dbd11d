//! Items, texts and positions of a batch.

use catkinmast_dispatch::{
    Batch, BatchPolicy, Chunk, Item, ItemResult, ItemState, Merge, Progress, Submission,
};
use catkinmast_model::UnixMs;
use proptest::prelude::*;
use std::collections::BTreeSet;

/// By then no result waits for the rest of its group any more.
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

fn terms() -> BatchPolicy {
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
    Batch::open(submission(items, 9), terms(), |_| false)
}

/// Items of groups of two.
fn items(groups: usize) -> Vec<Item> {
    (0..groups * 2).map(|n| item(&format!("i{n}"), &format!("g{}", n / 2), 10)).collect()
}

fn batch_of_groups(groups: usize, target: u32) -> Batch {
    Batch::open(submission(items(groups), target), terms(), |_| false)
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
fn the_longest_items_start_first_in_whichever_group() {
    let items = vec![
        item("short", "a", 10),
        item("long", "a", 90),
        item("longest", "b", 200),
        item("beside", "b", 5),
        item("middle", "c", 50),
    ];
    let mut batch = Batch::open(submission(items, 2), terms(), |_| false);

    let order = order(&mut batch);

    assert_eq!(order, ["longest", "long", "middle", "short", "beside"]);
}

#[test]
fn groups_that_come_again_start_by_their_lengths_like_all_others() {
    let items = vec![item("long", "a", 90), item("again", "b", 20), item("short", "a", 10)];
    let mut batch = Batch::open(submission(items, 1), terms(), |group| group == "b");

    assert_eq!(order(&mut batch), ["long", "again", "short"]);
}

// Symptom: a result stands at two positions, or moves.
// Sequence: two nodes own a batch for a moment; both have results for the same chunk, and the
// other's is created first.
// Cause: the loser lists its own results anyway, or lists those of the winner twice.
#[test]
fn a_chunk_that_another_owner_created_first_is_taken_as_it_is() {
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
    let next = batch.chunk_to_write(LATE, usize::MAX).cloned().expect("what is left");
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

// Symptom: a step ends half a second after its last group is complete, and a step of 128 items
// takes 34 writes of the store.
// Sequence: the reader is given one result of a group, comes back half a second later, and the rest
// of the group is listed in between.
// Cause: results are listed as they come, though a trainer can use whole groups only.
#[test]
fn a_result_is_listed_with_its_whole_group() {
    let mut batch = batch(4);
    batch.record_result(UnixMs(0), result("i0"));
    batch.record_result(UnixMs(0), result("i2"));
    assert_eq!(batch.chunk_to_write(UnixMs(10), usize::MAX), None);

    batch.record_result(UnixMs(20), result("i1"));

    let chunk = batch.chunk_to_write(UnixMs(20), usize::MAX).cloned().expect("a whole group");
    assert_eq!(chunk, Chunk { number: 0, results: vec![result("i0"), result("i1")] });
}

#[test]
fn a_result_waits_for_its_group_until_two_seconds_from_when_all_are_due_and_no_longer() {
    let mut batch = batch(4);
    batch.record_result(UnixMs(100), result("i0"));
    batch.record_result(UnixMs(1_900), result("i2"));

    assert_eq!(batch.next_listing_at(), Some(UnixMs(8_800)));
    assert_eq!(batch.chunk_to_write(UnixMs(8_799), usize::MAX), None);
    let chunk = batch.chunk_to_write(UnixMs(8_800), usize::MAX).expect("a chunk");
    assert_eq!(chunk.results, [result("i0"), result("i2")], "one write for all that is there");
}

// Symptom: a step whose last groups are whole within half a second of each other ends half a second
// after the last of them.
// Sequence: a reader is given the last group but one, comes back half a second later, and the last
// one is listed in between.
// Cause: each group is listed as soon as it is whole, though the trainer needs all of them.
#[test]
fn the_last_groups_that_a_trainer_waits_for_are_listed_together() {
    let mut batch = batch_of_groups(10, 9);
    finish_groups(&mut batch, UnixMs(1_000), 0..7);
    let first = batch.chunk_to_write(UnixMs(1_000), usize::MAX).cloned().expect("a chunk");
    batch.merge(&first);
    assert_eq!(first.results.len(), 14, "groups that are not among the last are listed at once");

    finish_groups(&mut batch, UnixMs(5_000), 7..8);
    assert_eq!(batch.chunk_to_write(UnixMs(5_500), usize::MAX), None, "one more is waited for");
    finish_groups(&mut batch, UnixMs(6_000), 8..9);

    let last = batch.chunk_to_write(UnixMs(6_000), usize::MAX).expect("all that is waited for");
    assert_eq!(last.results.len(), 4);
}

#[test]
fn whole_groups_are_listed_before_all_are_due_though_others_are_missing() {
    let mut batch = batch_of_groups(10, 9);
    finish_groups(&mut batch, UnixMs(1_000), 0..8);

    assert_eq!(batch.next_listing_at(), Some(UnixMs(6_800)));
    let chunk = batch.chunk_to_write(UnixMs(6_800), usize::MAX).cloned().expect("a chunk");
    batch.merge(&chunk);
    assert_eq!(chunk.results.len(), 16);
}

#[yare::parameterized(
    soon_after_the_last_listing = { 7_000, 7_900 },
    when_all_are_due = { 7_500, 7_900 },
    when_they_are_overdue = { 8_000, 9_000 },
)]
fn a_late_group_waits_for_the_last_one_no_longer_than_its_worth_allows(at_ms: u64, listed_ms: u64) {
    let mut batch = batch_of_groups(10, 9);
    finish_groups(&mut batch, UnixMs(1_000), 0..7);
    let first = batch.chunk_to_write(UnixMs(1_000), usize::MAX).cloned().expect("a chunk");
    batch.merge(&first);

    finish_groups(&mut batch, UnixMs(at_ms), 7..8);

    assert_eq!(batch.next_listing_at(), Some(UnixMs(listed_ms)));
}

// Symptom: a group that was whole as its step ended is generated anew in a later step.
// Sequence: the trainer has all groups that it waits for and ends the step; one more had become
// whole after them.
// Cause: a group was taken for one that the trainer has because all of its results are listed.
#[test]
fn texts_of_groups_that_were_whole_after_the_last_one_taken_are_left() {
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
fn a_group_that_came_again_is_waited_for_whichever_others_are_whole() {
    let mut batch = Batch::open(submission(items(3), 2), terms(), |group| group == "g2");
    finish_groups(&mut batch, UnixMs(0), 0..2);
    assert!(!batch.is_complete());

    finish_groups(&mut batch, UnixMs(10), 2..3);

    assert!(batch.is_complete());
    assert_eq!(batch.consumed_groups().len(), 3);
}

// Symptom: a step takes as long as its longest item, and that item's group is one that the step
// before the last had left.
// Sequence: the trainer leaves the groups whose items take longest, and waits for each of them when
// they come again; their texts were begun under weights that the later step does not accept.
// Cause: nothing of them is generated under newer weights until the later step is asked for.
#[test]
fn the_longest_unfinished_items_are_worth_a_second_run_once_half_of_the_time_is_over() {
    let items = vec![
        item("a", "g0", 200),
        item("b", "g1", 150),
        item("c", "g2", 100),
        item("d", "g3", 90),
        item("e", "g4", 10),
        item("again", "g5", 300),
    ];
    let mut batch = Batch::open(submission(items, 5), terms(), |group| group == "g5");
    while batch.next_item(UnixMs(0)).is_some() {}
    batch.record_result(UnixMs(500), result("e"));
    let of = |batch: &Batch, now, version| -> Vec<String> {
        let indices = batch.rerun_candidates(UnixMs(now), 5, |_| Some(version));
        indices.into_iter().map(|index| batch.submission().items[index].id.clone()).collect()
    };

    assert_eq!(of(&batch, 3_749, 3), Vec::<String>::new(), "most may still be short");
    assert_eq!(of(&batch, 3_750, 3), ["a", "b", "c"], "one group is left: three may be it");
    assert_eq!(of(&batch, 3_750, 5), Vec::<String>::new(), "their texts fit the later step");
    batch.end();
    assert_eq!(of(&batch, 3_750, 3), Vec::<String>::new());
}

#[test]
fn nothing_is_run_twice_where_the_trainer_leaves_no_group() {
    let mut batch = batch_of_groups(4, 4);
    while batch.next_item(UnixMs(0)).is_some() {}

    assert_eq!(batch.rerun_candidates(UnixMs(7_000), 9, |_| Some(3)), Vec::<usize>::new());
}

#[test]
fn an_owner_that_leaves_lists_what_it_has() {
    let mut batch = batch(4);
    batch.record_result(UnixMs(0), result("i0"));

    let chunk = batch.chunk_of_all_results(usize::MAX).cloned().expect("a chunk");

    assert_eq!(chunk.results, [result("i0")]);
}

// Symptom: groups that come again are generated from the start though most of their items had been
// finished.
// Sequence: a step ends while one item of a group is missing; the group is asked for again.
// Cause: only the texts of items that had not finished were kept.
#[test]
fn finished_texts_of_incomplete_groups_are_left_for_the_next_batch() {
    let mut batch = batch(4);
    for id in ["i0", "i1"] {
        batch.record_result(UnixMs(0), result(id));
    }
    let listed = batch.chunk_to_write(UnixMs(0), usize::MAX).cloned().expect("a whole group");
    batch.merge(&listed);
    batch.record_result(UnixMs(0), result("i2"));

    batch.end();

    let left = batch.take_progress();
    assert_eq!(left, [("i2".to_owned(), Progress::of_finished(&result("i2")))]);
    let mut next = Batch::open(submission(vec![item("i2", "g1", 10)], 1), terms(), |_| true);
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
fn what_is_not_durable_is_not_shown() {
    let mut batch = batch(2);
    batch.record_result(UnixMs(0), result("i0"));
    batch.chunk_to_write(LATE, usize::MAX);

    assert!(batch.page(0, usize::MAX).is_empty());
}

#[test]
fn a_text_goes_on_only_where_its_versions_are_new_enough() {
    let old = Progress { versions: vec![2, 3], last_event_id: Some(4), ..Progress::default() };
    let new = Progress { versions: vec![3, 4], last_event_id: Some(4), ..Progress::default() };

    assert!(!batch(2).resume_from("i0", old));
    assert!(batch(2).resume_from("i0", new));
}

#[test]
fn an_item_fails_for_good_only_after_its_attempts() {
    let mut batch = batch(1);

    assert!(!batch.record_failure(0));
    assert!(batch.record_failure(0));
}

#[test]
fn items_are_given_up_when_their_time_is_over_and_not_before() {
    let mut batch = batch(3);
    batch.record_result(UnixMs(0), result("i0"));

    assert_eq!(batch.expire(UnixMs(39_999)), 0);
    assert_eq!(batch.expire(UnixMs(40_000)), 2);
    let chunk = batch.chunk_to_write(LATE, usize::MAX).cloned().expect("a chunk");
    let errored = chunk.results.iter().filter(|r| r.state == ItemState::Errored).count();
    assert_eq!(errored, 2);
}

#[test]
fn nothing_starts_after_the_end() {
    let mut batch = batch(3);
    batch.end();

    assert_eq!(batch.next_item(UnixMs(0)), None);
}

proptest! {
    // Two owners finish, write and merge in any order; the store creates each chunk once.
    #[test]
    fn positions_are_one_sequence_for_all_owners(steps in prop::collection::vec((0..2_usize, 0..8_usize, any::<bool>()), 1..60)) {
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
