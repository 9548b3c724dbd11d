//! What goes wrong in the middle of a run, one thing after the other.

use crate::fleet::Fleet;
use crate::verifier::Judge;
use catkinmast_model::InstanceState;
use catkinmast_standin::PlatformFaults;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause between two faults, in which the system should get over the last one.
const PAUSE: Duration = Duration::from_secs(2);
/// How long the platform's outage lasts: shorter than a lease.
const OUTAGE: Duration = Duration::from_secs(3);

pub(crate) async fn cause(fleet: Arc<Fleet>, judge: Arc<Judge>, text: String, began: Instant) {
    let say = |what: &str| println!("{:5.1} s  {what}", began.elapsed().as_secs_f64());
    tokio::time::sleep(PAUSE).await;

    say("the platform loses the replies to its next two writes");
    fleet
        .platform
        .set_faults(PlatformFaults { lose_write_replies: 2, ..PlatformFaults::default() });
    tokio::time::sleep(PAUSE).await;

    if let Some(engine) = fleet.engines.values().next() {
        say("an engine crashes");
        engine.crash();
    }
    if let Some(engine) = fleet.engines.values().nth(1) {
        say("another engine's next weight swap will fail");
        engine.fail_swaps(1);
    }
    tokio::time::sleep(PAUSE).await;
    if let Some(name) = fleet.engines.keys().next() {
        fleet.list_as(name, InstanceState::Gone);
    }

    if let Some((name, service)) = fleet.services.first() {
        say("a service instance leaves");
        service.leave();
        fleet.list_as(name, InstanceState::Leaving);
    }
    tokio::time::sleep(PAUSE).await;

    let trainer = text.lines().find_map(|line| {
        let name = line.strip_prefix("name = \"")?.strip_suffix('"')?;
        name.ends_with("-trainer").then(|| name.to_owned())
    });
    let owner = fleet.owner_of(trainer.as_deref().unwrap_or_default()).await;
    if let Some(owner) = owner.clone() {
        say(&format!("{owner}, which owns the trainer's steps, is dropped without warning"));
        if let Some(address) = fleet.crash_node(&owner) {
            judge.node_crashed(address);
        }
    }
    tokio::time::sleep(PAUSE).await;

    let leaver = fleet.node_names().into_iter().next_back();
    if let Some(leaver) = leaver {
        say(&format!("{leaver} leaves"));
        let cut = fleet.drain_node(&leaver).await.unwrap_or(0);
        judge.node_drained(cut);
        say(&format!("{leaver} has left; {cut} requests cut"));
    }

    say("the platform is out for three seconds");
    fleet.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    tokio::time::sleep(OUTAGE).await;
    fleet.platform.set_faults(PlatformFaults::default());
    say("the platform is back");
}
