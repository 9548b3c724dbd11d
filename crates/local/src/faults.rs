//! Injects faults into a run, one after another.

use crate::fleet::Fleet;
use crate::verifier::Verifier;
use catkinmast_model::InstanceState;
use catkinmast_standin::PlatformFaults;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause between two faults, in which the system should recover from the previous one.
const FAULT_INTERVAL: Duration = Duration::from_secs(2);
/// Duration of the platform's outage, which is shorter than a lease.
const OUTAGE_DURATION: Duration = Duration::from_secs(3);

/// Injects all faults and reports each on standard output.
pub(crate) async fn inject(
    fleet: Arc<Fleet>,
    verifier: Arc<Verifier>,
    text: String,
    started_at: Instant,
) {
    let report = |what: &str| println!("{:5.1} s  {what}", started_at.elapsed().as_secs_f64());
    tokio::time::sleep(FAULT_INTERVAL).await;

    report("the platform loses the replies to its next two writes");
    fleet
        .platform
        .set_faults(PlatformFaults { lose_write_replies: 2, ..PlatformFaults::default() });
    tokio::time::sleep(FAULT_INTERVAL).await;

    if let Some(engine) = fleet.engines.values().next() {
        report("an engine crashes");
        engine.crash();
    }
    if let Some(engine) = fleet.engines.values().nth(1) {
        report("another engine's next weight swap will fail");
        engine.fail_swaps(1);
    }
    tokio::time::sleep(FAULT_INTERVAL).await;
    if let Some(name) = fleet.engines.keys().next() {
        fleet.set_instance_state(name, InstanceState::Gone);
    }

    if let Some((name, service)) = fleet.services.first() {
        report("a service instance refuses new calls and is listed as leaving");
        service.leave();
        fleet.set_instance_state(name, InstanceState::Leaving);
    }
    tokio::time::sleep(FAULT_INTERVAL).await;

    let trainer = text.lines().find_map(|line| {
        let name = line.strip_prefix("name = \"")?.strip_suffix('"')?;
        name.ends_with("-trainer").then(|| name.to_owned())
    });
    let owner = fleet.owner_of(trainer.as_deref().unwrap_or_default()).await;
    if let Some(owner) = owner.clone() {
        report(&format!("{owner}, the owner of the trainer's steps, crashes"));
        if let Some(address) = fleet.crash_node(&owner) {
            verifier.record_node_crash(address);
        }
    }
    tokio::time::sleep(FAULT_INTERVAL).await;

    let draining_node = fleet.node_names().into_iter().next_back();
    if let Some(draining_node) = draining_node {
        report(&format!("{draining_node} starts to drain"));
        let interrupted = fleet.drain_node(&draining_node).await.unwrap_or(0);
        verifier.record_node_drain(interrupted);
        report(&format!("{draining_node} has drained; {interrupted} requests interrupted"));
    }

    report("the platform has an outage of three seconds");
    fleet.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    tokio::time::sleep(OUTAGE_DURATION).await;
    fleet.platform.set_faults(PlatformFaults::default());
    report("the platform has recovered");
}
