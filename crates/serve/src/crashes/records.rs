//! What of the evidence outlives the processes: records in the platform's store.
//!
//! *All nodes forget at once.* They hold evidence in memory and tell it to those that start; killed all
//! at the same moment, they would let a request end three more targets. So evidence of two ends and more
//! is written to the store, and the first node of a fleet that has started reads it. Of one end it is
//! not: most are of requests that were under way by chance, and a write for each would cost more calls
//! than all else that a crash of a target brings.

use super::{has_evidence, merge_evidence, publish_evidence};
use crate::feed;
use crate::node::Node;
use crate::peers;
use crate::platform::Platform;
use crate::store::{Expectation, Put, StoreAnswer, StoreCall};
use catkinmast_member::FactKey;
use catkinmast_model::UnixMs;
use catkinmast_quarantine::{Evidence, Fingerprint};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Keys of the evidence.
const RECORD_PREFIX: &str = "cm/q/";
/// Keys of the trials.
const TRIAL_PREFIX: &str = "cm/qt/";
/// How long a trial is one node's: longer than a request runs. The key lapses then, so that another one
/// may try where that node has died.
pub(super) const TRIAL_LEASE_MS: u64 = 60_000;
/// Ends of which a record is kept.
const SAVED_MIN_ENDS: usize = 2;
/// How often records that could not be written are tried again, and old evidence is looked for.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// News that come within this time are written with one call.
const COALESCE: Duration = Duration::from_millis(20);
/// Records written with one call, within the store's bound of 32 keys.
const RECORDS_PER_CALL: usize = 30;
/// The duty of the node that reads the records: one that watches the store anyway.
const DUTY: &str = "feeds";

/// A record.
#[derive(Debug, Deserialize, Serialize)]
struct Record {
    evidence: Evidence,
    fingerprint: Fingerprint,
}

fn key(fingerprint: Fingerprint) -> String {
    format!("{RECORD_PREFIX}{fingerprint}")
}

/// Keeps the evidence until the process ends: writes what is new, reads what an earlier fleet has left,
/// forgets what is old.
pub(crate) async fn maintain_records<P: Platform>(node: Rc<Node<P>>) {
    let mut has_loaded = false;
    loop {
        if timeout(CHECK_INTERVAL, node.crashes_changed.notified()).await.is_ok() {
            sleep(COALESCE).await;
        }
        let is_first =
            peers::settles_after_ms(&node) == Some(0) && peers::is_first_for(&node, DUTY);
        if is_first && !has_loaded {
            has_loaded = load_records(&node).await;
        }
        if !has_evidence(&node) {
            continue;
        }
        save_records(&node).await;
        expire_old(&node, is_first).await;
        let blocked = node.quarantine.borrow().count_blocked(UnixMs::from_wall_clock());
        node.metrics.requests_barred.set(blocked as i64);
    }
}

/// Reads the records of an earlier fleet and tells the others; returns whether they were there to read.
async fn load_records<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let Ok((items, _)) = feed::read_whole(node, RECORD_PREFIX).await else { return false };
    for item in &items {
        match postcard::from_bytes::<Record>(&item.value) {
            Ok(Record { evidence, fingerprint }) => {
                if merge_evidence(node, fingerprint, &evidence, "the store") {
                    publish_evidence(node, fingerprint);
                }
            }
            Err(error) => {
                let why = json!({ "key": item.key, "why": error.to_string() });
                node.note("record_unreadable", why);
            }
        }
    }
    if !items.is_empty() {
        node.note("crashes_recalled", json!({ "records": items.len() }));
    }
    true
}

/// Writes what is new; what cannot be written is tried again at the next look.
async fn save_records<P: Platform>(node: &Rc<Node<P>>) {
    // Taken out before the call: what is seen while it waits has to be written again.
    let unsaved: Vec<Fingerprint> = {
        let mut unsaved = node.unsaved_crashes.borrow_mut();
        let count = unsaved.len().min(RECORDS_PER_CALL);
        unsaved.drain(..count).collect()
    };
    let mut puts = Vec::new();
    for fingerprint in &unsaved {
        let evidence = node.quarantine.borrow().evidence(*fingerprint).cloned();
        let Some(evidence) = evidence.filter(|evidence| evidence.len() >= SAVED_MIN_ENDS) else {
            continue;
        };
        let record = Record { evidence, fingerprint: *fingerprint };
        if let Ok(value) = postcard::to_stdvec(&record) {
            puts.push(Put { key: key(*fingerprint), lease: None, value });
        }
    }
    if !puts.is_empty() {
        let call = StoreCall::Transaction { deletes: Vec::new(), expected: Vec::new(), puts };
        if node.store(&call).await.is_err() {
            node.unsaved_crashes.borrow_mut().extend(unsaved);
        }
    }
}

/// Forgets what is too old to matter; one node removes its records.
async fn expire_old<P: Platform>(node: &Rc<Node<P>>, removes: bool) {
    let old = node.quarantine.borrow_mut().expire(UnixMs::from_wall_clock());
    if old.is_empty() {
        return;
    }
    peers::with_members(node, |members, _| {
        for fingerprint in &old {
            members.forget(&FactKey::Crash(*fingerprint));
        }
        Vec::new()
    });
    node.unsaved_crashes.borrow_mut().retain(|fingerprint| !old.contains(fingerprint));
    if !removes {
        return;
    }
    for part in old.chunks(RECORDS_PER_CALL) {
        let deletes = part.iter().map(|fingerprint| key(*fingerprint)).collect();
        let call = StoreCall::Transaction { deletes, expected: Vec::new(), puts: Vec::new() };
        // A record that stays is read by a fleet that starts anew, and is forgotten there.
        drop(node.store(&call).await);
    }
}

/// Asks for the right to try a barred request once; one node of the fleet gets it.
pub(super) async fn claim_trial<P: Platform>(
    node: &Rc<Node<P>>,
    fingerprint: Fingerprint,
    number: usize,
) -> bool {
    let opened = node.store(&StoreCall::LeaseOpen { ttl_ms: TRIAL_LEASE_MS }).await;
    let Ok(StoreAnswer::Lease { lease: Some(lease), .. }) = opened else { return false };
    let key = format!("{TRIAL_PREFIX}{fingerprint}/{number}");
    let value = node.settings().node.clone().into_bytes();
    let call = StoreCall::Transaction {
        deletes: Vec::new(),
        expected: vec![Expectation { key: key.clone(), revision: 0 }],
        puts: vec![Put { key, lease: Some(lease), value }],
    };
    // An answer that was lost may have won it; then nobody tries until the key lapses.
    matches!(node.store(&call).await, Ok(StoreAnswer::Committed { .. }))
}
