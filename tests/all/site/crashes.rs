//! Requests that end the targets that run them.

use super::harness::{Site, until};
use super::worker::{CRASHING_BODY, Conduct};

#[tokio::test(flavor = "multi_thread")]
async fn the_trail_tells_a_target_that_ended_from_an_answer_that_was_lost() {
    let site = Site::start(1, 0, 2).await;
    site.plain[0].set_conduct(Conduct::LosesAnswers);
    site.plain[1].set_conduct(Conduct::LosesAnswers);
    let lost = site.call(&site.nodes[0], "/check/a", "c1").await.expect("an answer");
    assert_eq!(lost.status(), 502);

    let ended =
        site.call_with(&site.nodes[0], "/check/a", "c2", CRASHING_BODY).await.expect("an answer");

    assert_eq!(ended.status(), 502);
    let line =
        until("the end is seen", || async { site.nodes[0].lines("target_ended").first().cloned() })
            .await;
    let attempts = site.nodes[0].lines("attempt_failed");
    let of = |id: &str| attempts.iter().find(|line| line["request"] == id).cloned();
    let (lost, ended) = (of("c1").expect("its line"), of("c2").expect("its line"));
    assert_eq!(line["fingerprint"], ended["fingerprint"]);
    assert_ne!(line["fingerprint"], lost["fingerprint"], "requests are told apart by content");
    assert_eq!(line["target"], ended["target"]);
    assert_eq!(site.nodes[0].lines("target_ended").len(), 1, "the lost answer ended no target");
}
