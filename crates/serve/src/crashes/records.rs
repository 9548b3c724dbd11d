//! Records of the evidence in the platform's store.
//!
//! Nodes hold evidence in memory and share it with nodes that start. If all were killed at the same
//! moment, the evidence would be lost and a request could end three more targets. So evidence of
//! two or more ends is written to the store, and one node reads it after all have restarted.
//! Evidence of a single end is not written: most such requests were in flight by chance, and a
//! write for each would cost more calls than everything else that follows a target's crash.

use super::{has_evidence, merge_evidence, publish_evidence};
use crate::feed;
use crate::node::Node;
use crate::peers;
use crate::platform::Platform;
use crate::store::{Put, StoreAnswer, StoreCall};
use catkinmast_member::FactKey;
use catkinmast_model::UnixMs;
use catkinmast_quarantine::{Evidence, Fingerprint};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Prefix of the keys of evidence; the fingerprint follows.
const RECORD_PREFIX: &str = "cm/q/";
/// Prefix of the keys of trials; the fingerprint and the trial's number follow.
const TRIAL_PREFIX: &str = "cm/qt/";
/// Lease time of a trial's key: longer than a request runs. After it another node may claim the
/// trial, in case the first one has died.
pub(super) const TRIAL_LEASE_MS: u64 = 60_000;
/// Number of ends from which evidence is stored.
const SAVED_MIN_ENDS: usize = 2;
/// How often failed writes are repeated and old evidence is expired.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Evidence that arrives within this time is written with one call.
const COALESCE: Duration = Duration::from_millis(20);
/// Most records written with one call, within the store's limit of 32 keys.
const RECORDS_PER_CALL: usize = 30;
/// The duty whose first-ranked node reads and deletes the records: that of watching the store, as
/// this node does so anyway.
const DUTY: &str = "feeds";

/// The value of a record.
#[derive(Debug, Deserialize, Serialize)]
struct Record {
    evidence: Evidence,
    fingerprint: Fingerprint,
}

fn key(fingerprint: Fingerprint) -> String {
    format!("{RECORD_PREFIX}{fingerprint}")
}

/// Maintains the records until the process ends: reads those of earlier processes once, writes new
/// evidence and deletes what has expired.
pub(crate) async fn maintain_records<P: Platform>(node: Rc<Node<P>>) {
    let mut has_loaded = false;
    loop {
        if timeout(CHECK_INTERVAL, node.crashes_changed.notified()).await.is_ok() {
            sleep(COALESCE).await;
        }
        // Only once this node knows the others: before that it ranks first for every duty.
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

/// Reads the stored records and shares them with all nodes; returns whether they could be read.
async fn load_records<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let Ok((items, _)) = feed::read_all(node, RECORD_PREFIX).await else { return false };
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

/// Writes new evidence; what cannot be written is queued again for the next check.
async fn save_records<P: Platform>(node: &Rc<Node<P>>) {
    // Removed from the queue before the call, because evidence that arrives during it has to be
    // written again.
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

/// Expires old evidence; deletes its records too if `deletes_records` is set, which one node does.
async fn expire_old<P: Platform>(node: &Rc<Node<P>>, deletes_records: bool) {
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
    if !deletes_records {
        return;
    }
    for part in old.chunks(RECORDS_PER_CALL) {
        let deletes = part.iter().map(|fingerprint| key(*fingerprint)).collect();
        let call = StoreCall::Transaction { deletes, expected: Vec::new(), puts: Vec::new() };
        // A record that is not deleted is read after a restart of all nodes, and expires there.
        drop(node.store(&call).await);
    }
}

/// Claims the right to send a request under suspicion once, as a trial; only one node gets it.
pub(super) async fn claim_trial<P: Platform>(
    node: &Rc<Node<P>>,
    fingerprint: Fingerprint,
    number: usize,
) -> bool {
    let opened = node.store(&StoreCall::LeaseOpen { ttl_ms: TRIAL_LEASE_MS }).await;
    let Ok(StoreAnswer::Lease { lease: Some(lease), .. }) = opened else { return false };
    let key = format!("{TRIAL_PREFIX}{fingerprint}/{number}");
    let value = node.settings().node.clone().into_bytes();
    // An earlier incarnation of this node may have claimed the trial and made it. Its claim is bound
    // to another lease. If no way to the store gives an answer, this node may hold the claim; no node
    // tries then until the key expires.
    let claimed = node.store_under_lease(&key, 0, lease, &value).await;
    matches!(claimed, Ok(StoreAnswer::Committed { .. }))
}
