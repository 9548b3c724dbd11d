//! The story of a request from several processes' trails.

use catkinmast_trail::{story, tell};

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
    let steps = story(LOGS.lines(), id);
    steps.iter().map(|step| step.line["event"].as_str().expect("an event").to_owned()).collect()
}

#[test]
fn an_items_story_is_its_own_lines_and_its_batchs() {
    assert_eq!(events("i1"), ["batch_owned", "item_run", "batch_taken_over", "item_run"]);
}

#[test]
fn a_requests_story_holds_nothing_of_others() {
    assert_eq!(events("q9"), ["request_ended"]);
    assert!(events("nobody").is_empty());
}

#[test]
fn a_step_is_told_with_its_time_node_event_and_inputs() {
    let steps = story(LOGS.lines(), "q9");

    assert_eq!(tell(&steps[0], 1_000), "    100 ms  n3  request_ended  request=\"q9\"  status=502");
}
