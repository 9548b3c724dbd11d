//! Tests of queries over the audit trails of several processes.

use catkinmast_serve::atomic_writes;
use catkinmast_trail::{StepBreakdown, format_entry, history, means_by_model, step_breakdowns};

const LOGS: &str = r#"
collector-prefix {"at_unix_ms":1000,"at_ms":7,"node":"n1","event":"batch_owned","request":"b1"}
{"at_unix_ms":1500,"at_ms":3,"node":"n2","event":"batch_taken_over","request":"b1","from":"n1"}
{"at_unix_ms":1200,"at_ms":9,"node":"n1","event":"item_run","request":"i1","batch":"b1","why":"silent"}
{"at_unix_ms":1300,"at_ms":9,"node":"n1","event":"item_run","request":"i2","batch":"b1","why":""}
{"at_unix_ms":1900,"at_ms":3,"node":"n2","event":"item_run","request":"i1","batch":"b1","why":""}
not a line of ours
{"at_unix_ms":1100,"at_ms":3,"node":"n3","event":"request_ended","request":"q9","status":502}
"#;

fn events(id: &str) -> Vec<String> {
    let entries = history(LOGS.lines(), id);
    entries.iter().map(|entry| entry.line["event"].as_str().expect("an event").to_owned()).collect()
}

#[test]
fn the_history_of_an_item_includes_the_lines_of_its_batch() {
    assert_eq!(events("i1"), ["batch_owned", "item_run", "batch_taken_over", "item_run"]);
}

#[test]
fn the_history_of_a_request_excludes_other_requests() {
    assert_eq!(events("q9"), ["request_ended"]);
    assert!(events("nobody").is_empty());
}

#[test]
fn an_entry_is_formatted_with_its_time_node_event_and_fields() {
    let entries = history(LOGS.lines(), "q9");

    assert_eq!(
        format_entry(&entries[0], 1_000),
        "    100 ms  n3  request_ended  request=\"q9\"  status=502"
    );
}

/// The trail of one step with two items: the long one moves to another target and ends the step.
const STEP: &str = r#"
{"at_unix_ms":1000,"event":"batch_owned","model":"m","request":"b1","step":4}
{"at_unix_ms":1500,"batch":"b1","event":"item_run","last_event":9,"ms":490,"outcome":"whole","request":"short"}
{"at_unix_ms":1102,"batch":"b1","event":"item_run","last_event":null,"ms":2,"outcome":"broken","request":"long"}
{"at_unix_ms":4200,"batch":"b1","event":"item_moved","last_event":60,"ms":3000,"request":"long"}
{"at_unix_ms":7250,"batch":"b1","event":"item_run","last_event":130,"ms":3000,"outcome":"whole","request":"long"}
{"at_unix_ms":7300,"event":"results_listed","request":"b1"}
{"at_unix_ms":7500,"event":"batch_ended","request":"b1"}
{"at_unix_ms":9000,"event":"batch_owned","model":"m","request":"b2","step":5}
"#;

#[test]
fn the_breakdown_of_a_step_follows_its_last_item() {
    let steps = step_breakdowns(STEP.lines());

    let expected = StepBreakdown {
        batch: "b1".to_owned(),
        events: 130,
        item: "long".to_owned(),
        listed_ms: 50,
        model: "m".to_owned(),
        owners: 1,
        read_ms: 200,
        running_ms: 6_000,
        runs: 2,
        between_runs_ms: 50,
        step: Some(4),
        took_ms: 6_500,
        waited_ms: 200,
    };
    assert_eq!(steps, [expected], "a step that has not ended has no breakdown");
}

#[test]
fn the_parts_of_a_breakdown_add_up() {
    let steps = step_breakdowns(STEP.lines());

    let mean = &means_by_model(&steps)["m"];

    let parts =
        mean.waited_ms + mean.running_ms + mean.between_runs_ms + mean.listed_ms + mean.read_ms;
    assert_eq!((mean.steps, parts), (1, mean.took_ms));
}

// Guards against unreadable lines in the audit trail of a busy node: the lines of a quarter of a
// second went out as one large write, of which a pipe accepts only 4,096 bytes atomically, so that
// the collector could read other processes' lines in between.
#[test]
fn no_write_exceeds_what_a_pipe_accepts_at_once() {
    let lines: Vec<String> = (0..200).map(|number| "x".repeat(number * 7 % 700)).collect();

    let texts = atomic_writes(lines.iter().map(String::as_str));

    assert!(texts.iter().all(|text| text.len() <= 4_096 && text.ends_with('\n')));
    assert!(texts.len() < lines.len() / 4, "too many writes: {}", texts.len());
    let joined: String = texts.concat();
    assert_eq!(joined.lines().collect::<Vec<_>>(), lines);
}

#[test]
fn truncated_and_joined_lines_are_counted() {
    let log = "12.0 n {\"event\":\"a\"}\n12.1 n {\"event\":\"b\n{\"event\":\"c\"}{\"event\":\n\nother text";

    assert_eq!(catkinmast_trail::count_unreadable(log.lines()), 2);
}
