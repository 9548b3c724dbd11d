//! Items, texts and positions of a batch.

use catkinmast_dispatch::{
    Batch, BatchTerms, Chunk, Item, ItemResult, ItemState, Merge, Progress, Submission,
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

fn terms() -> BatchTerms {
    BatchTerms {
        attempts: 2,
        due_at: UnixMs(7_500),
        give_up_at: UnixMs(40_000),
        single_version: false,
    }
}

fn batch(count: usize) -> Batch {
    let items = (0..count).map(|n| item(&format!("i{n}"), &format!("g{}", n / 2), 10)).collect();
    Batch::open(submission(items, 9), terms(), |_| false)
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
fn the_longest_items_start_first_and_groups_beyond_the_target_last() {
    let items = vec![
        item("short", "a", 10),
        item("long", "a", 90),
        item("longest", "b", 200),
        item("beside", "b", 5),
        item("middle", "c", 50),
    ];
    let mut batch = Batch::open(submission(items, 2), terms(), |_| false);

    let order = order(&mut batch);

    assert_eq!(order, ["long", "middle", "short", "longest", "beside"]);
}

#[test]
fn groups_that_come_again_start_before_all_others() {
    let items = vec![item("long", "a", 90), item("again", "b", 200)];
    let mut batch = Batch::open(submission(items, 1), terms(), |group| group == "b");

    assert_eq!(order(&mut batch), ["again", "long"]);
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
        batch.finished(UnixMs(0), result(id));
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
    batch.finished(UnixMs(0), result("i0"));
    let first = batch.chunk_to_write(LATE, usize::MAX).cloned();
    batch.finished(UnixMs(0), result("i1"));

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
    batch.finished(UnixMs(0), result("i0"));
    batch.finished(UnixMs(0), result("i2"));
    assert_eq!(batch.chunk_to_write(UnixMs(10), usize::MAX), None);

    batch.finished(UnixMs(20), result("i1"));

    let chunk = batch.chunk_to_write(UnixMs(20), usize::MAX).cloned().expect("a whole group");
    assert_eq!(chunk, Chunk { number: 0, results: vec![result("i0"), result("i1")] });
}

#[test]
fn a_result_waits_two_seconds_for_its_group_and_no_longer() {
    let mut batch = batch(4);
    batch.finished(UnixMs(100), result("i0"));
    batch.finished(UnixMs(1_900), result("i2"));

    assert_eq!(batch.list_by(), Some(UnixMs(2_100)));
    assert_eq!(batch.chunk_to_write(UnixMs(2_099), usize::MAX), None);
    let chunk = batch.chunk_to_write(UnixMs(2_100), usize::MAX).expect("a chunk");
    assert_eq!(chunk.results, [result("i0"), result("i2")], "one write for all that is there");
}

#[test]
fn an_owner_that_leaves_lists_what_it_has() {
    let mut batch = batch(4);
    batch.finished(UnixMs(0), result("i0"));

    let chunk = batch.chunk_of_all(usize::MAX).cloned().expect("a chunk");

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
        batch.finished(UnixMs(0), result(id));
    }
    let listed = batch.chunk_to_write(UnixMs(0), usize::MAX).cloned().expect("a whole group");
    batch.merge(&listed);
    batch.finished(UnixMs(0), result("i2"));

    batch.end();

    let left = batch.take_progress();
    assert_eq!(left, [("i2".to_owned(), Progress::whole(&result("i2")))]);
    let mut next = Batch::open(submission(vec![item("i2", "g1", 10)], 1), terms(), |_| true);
    assert!(next.resume_from("i2", left[0].1.clone()));
    assert!(next.next_item(UnixMs(0)).is_some_and(|next| next.progress.whole));
}

#[test]
fn texts_of_finished_items_are_saved_until_they_are_durable() {
    let mut batch = batch(4);
    batch.finished(UnixMs(0), result("i0"));
    assert_eq!(batch.unlisted_texts(), [("i0".to_owned(), Progress::whole(&result("i0")))]);

    let chunk = batch.chunk_to_write(LATE, usize::MAX).cloned().expect("a chunk");
    batch.merge(&chunk);

    assert!(batch.unlisted_texts().is_empty());
}

#[test]
fn what_is_not_durable_is_not_shown() {
    let mut batch = batch(2);
    batch.finished(UnixMs(0), result("i0"));
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

    assert!(!batch.failed(0));
    assert!(batch.failed(0));
}

#[test]
fn items_are_given_up_when_their_time_is_over_and_not_before() {
    let mut batch = batch(3);
    batch.finished(UnixMs(0), result("i0"));

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
                batch.finished(UnixMs(0), result(&format!("i{number}")));
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
