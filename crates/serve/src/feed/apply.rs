//! Applies the changes of a feed: configurations, weight versions, drain requests, and targets that
//! join or leave.

use super::state::{Source, Subject};
use crate::cold;
use crate::node::Node;
use crate::platform::{OperatorRemoval, OperatorUpdate, Platform};
use crate::store::{StoreEvent, StoredItem};
use catkinmast_dispatch::Document;
use catkinmast_model::UnixMs;
use serde_json::json;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Applies a key that an operator or a trainer has written.
pub(super) fn apply_operator_item<P: Platform>(node: &Node<P>, item: &StoredItem, source: Source) {
    match P::operator_update(&item.key, &item.value) {
        Ok(Some(OperatorUpdate::Document(document))) => {
            install(node, document, item.revision, source);
        }
        Ok(Some(OperatorUpdate::Version { model, version })) => {
            let mut versions = node.versions.borrow_mut();
            let held = versions.entry(model.clone()).or_insert(0);
            if version > *held {
                *held = version;
                drop(versions);
                node.note(
                    "version_named",
                    json!({
                        "model": model, "version": version, "revision": item.revision,
                        "by": source.to_string(),
                    }),
                );
            }
        }
        Ok(Some(OperatorUpdate::Evacuate { data_centre })) => {
            let is_new =
                node.targets.borrow_mut().evacuations_mut().begin(&data_centre, item.revision);
            if is_new {
                node.note(
                    "evacuation_begun",
                    json!({
                        "data_centre": data_centre, "revision": item.revision,
                        "by": source.to_string(),
                    }),
                );
                node.work.notify_one();
            }
        }
        Ok(Some(OperatorUpdate::Drain { instance })) => {
            let previous = node.draining.borrow_mut().insert(instance.clone(), item.revision);
            if previous != Some(item.revision) {
                let fields = json!({ "machine": instance, "revision": item.revision });
                node.note("vacate_asked", fields);
            }
        }
        Ok(None) => {}
        Err(error) => {
            node.note(
                "operator_key_unreadable",
                json!({ "key": item.key, "why": error.to_string() }),
            );
        }
    }
}

/// Applies the removal of a key by an operator.
pub(super) fn apply_operator_removal<P: Platform>(node: &Node<P>, key: &str, source: Source) {
    match P::operator_removal(key) {
        Some(OperatorRemoval::Evacuate { data_centre }) => {
            // Marked first: no request may go there between the two.
            cold::mark_data_centre(node, &data_centre);
            if node.targets.borrow_mut().evacuations_mut().end(&data_centre) {
                let fields = json!({ "data_centre": data_centre, "by": source.to_string() });
                node.note("evacuation_ended", fields);
                node.work.notify_one();
            }
        }
        None => {}
    }
}

/// Puts a configuration in force if its version is newer than the current one, so that a late
/// answer does not restore an old configuration.
fn install<P: Platform>(node: &Node<P>, document: Document, revision: u64, source: Source) {
    let held = node.document().map_or(0, |held| held.version);
    if node.document().is_some() && document.version <= held {
        return;
    }
    node.note(
        "document_in_force",
        json!({
            "version": document.version, "was": held, "routes": document.routes.len(),
            "revision": revision, "by": source.to_string(),
        }),
    );
    node.metrics.document_version.set(document.version as i64);
    *node.document.borrow_mut() = Some(Rc::new(document));
    node.work.notify_one();
}

/// Applies changes of targets' entries. After an outage of the store, a removed target may register
/// again until `return_by`, and stays in use until then.
pub(super) fn apply_target_events<P: Platform>(
    node: &Node<P>,
    events: &[StoreEvent],
    return_by: Option<UnixMs>,
) {
    for event in events {
        let change = match event {
            StoreEvent::Deleted { key, .. } => {
                node.targets.borrow_mut().apply_removal(P::target_id(key), return_by)
            }
            StoreEvent::Written(item) => match decode_target(node, item) {
                Some(entry) => {
                    cold::mark(node, &entry.id, entry.cold_left_ms);
                    node.targets.borrow_mut().apply_entry(entry)
                }
                // The entry cannot be decoded, so it may no longer describe the target that is
                // known by this id. That target may have left unnoticed, so it is removed.
                None => node.targets.borrow_mut().apply_removal(P::target_id(&item.key), None),
            },
        };
        node.target_changed(&change, "registry");
    }
}

/// Returns what stands for the meaning of a key's value: for a target's entry, all but its count of
/// heartbeats.
pub(super) fn digest<P: Platform>(subject: Subject, item: &StoredItem) -> u64 {
    match subject {
        Subject::Operators => item.revision,
        Subject::Targets => match P::target_entry(&item.key, &item.value) {
            Ok(entry) => entry.digest(),
            Err(_) => xxh3_64(&item.value),
        },
    }
}

fn decode_target<P: Platform>(
    node: &Node<P>,
    item: &StoredItem,
) -> Option<catkinmast_dispatch::TargetEntry> {
    match P::target_entry(&item.key, &item.value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            node.note("target_unreadable", json!({ "key": item.key, "why": error.to_string() }));
            None
        }
    }
}
