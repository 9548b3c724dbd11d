//! Follows what others write to the store: the operators' configuration, the trainers' versions
//! and the targets' entries.
//!
//! A feed reads its prefix whole, then waits for changes after that revision. When the history
//! is lost it reads the whole again; reads that may be old are never used here, because an old
//! entry would bring back a target that has left.

use crate::clock;
use crate::node::Node;
use crate::platform::{OperatorNotice, Platform};
use crate::store::{StoreAnswer, StoreCall, StoreEvent, StoreRefusal, StoredItem};
use catkinmast_dispatch::{Document, TargetChange};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long one wait for changes lasts. A connection that has gone silent is noticed by then, and
/// each wait costs a call of the store.
const WAIT_MS: u64 = 10_000;
/// Changes that come within this time cost one call instead of several. A configuration must be in
/// force within two seconds, a leaving target out of use within two.
const GATHER: Duration = Duration::from_millis(200);
/// First pause after a failure; doubled up to [`PAUSE_MAX_MS`], with jitter.
const PAUSE_MS: u64 = 100;
const PAUSE_MAX_MS: u64 = 800;
/// When more than one target in this many vanishes at once, the registry forgot them; targets
/// that leave do so one by one.
const VANISHED_PART: usize = 3;

/// Follows the operators' keys until the process ends.
pub(crate) async fn follow_operators<P: Platform>(node: Rc<Node<P>>) {
    let mut pause_ms = PAUSE_MS;
    loop {
        let failed = match read_whole(&node, P::OPERATOR_PREFIX).await {
            Ok((items, as_of)) => {
                pause_ms = PAUSE_MS;
                for item in &items {
                    take_operator_item(&node, item);
                }
                watch(&node, P::OPERATOR_PREFIX, as_of, |event| {
                    if let StoreEvent::Written(item) = event {
                        take_operator_item(&node, item);
                    }
                })
                .await
            }
            Err(refusal) => Some(refusal),
        };
        if failed.is_some() {
            pause_ms = pause(&node, pause_ms).await;
        }
    }
}

/// Follows the targets' entries until the process ends.
pub(crate) async fn follow_targets<P: Platform>(node: Rc<Node<P>>) {
    let mut pause_ms = PAUSE_MS;
    let mut away = false;
    loop {
        let failed = match read_whole(&node, P::TARGETS_PREFIX).await {
            Ok((items, as_of)) => {
                pause_ms = PAUSE_MS;
                replace_targets(&node, &items, std::mem::take(&mut away));
                watch(&node, P::TARGETS_PREFIX, as_of, |event| take_target_event(&node, event))
                    .await
            }
            Err(refusal) => Some(refusal),
        };
        if failed.is_some() {
            away = true;
            pause_ms = pause(&node, pause_ms).await;
        }
    }
}

async fn pause<P: Platform>(node: &Node<P>, pause_ms: u64) -> u64 {
    let jittered_ms = pause_ms / 2 + node.draw() % pause_ms;
    sleep(Duration::from_millis(jittered_ms)).await;
    (pause_ms * 2).min(PAUSE_MAX_MS)
}

/// Reads all keys under a prefix, and the revision after which changes are wanted.
pub(crate) async fn read_whole<P: Platform>(
    node: &Node<P>,
    prefix: &str,
) -> Result<(Vec<StoredItem>, u64), StoreRefusal> {
    let mut all: Vec<StoredItem> = Vec::new();
    let mut first_as_of = None;
    loop {
        let after = all.last().map(|item| item.key.clone()).unwrap_or_default();
        let call = StoreCall::Range { after, may_be_old: false, prefix: prefix.to_owned() };
        let StoreAnswer::Items { as_of, items, truncated } = node.store(&call).await? else {
            return Err(StoreRefusal {
                message: "another answer than a page of keys".to_owned(),
                verdict: catkinmast_model::Verdict::Ran,
            });
        };
        // Pages are no snapshot: what changed between them is seen again from the first one on.
        first_as_of.get_or_insert(as_of);
        let more = truncated && !items.is_empty();
        all.extend(items);
        if !more {
            return Ok((all, first_as_of.unwrap_or(as_of)));
        }
    }
}

/// Waits for changes until the history is lost (none) or the store does not answer.
async fn watch<P: Platform>(
    node: &Node<P>,
    prefix: &str,
    mut after: u64,
    take: impl Fn(&StoreEvent),
) -> Option<StoreRefusal> {
    loop {
        let call = StoreCall::Watch { after, prefix: prefix.to_owned(), wait_ms: WAIT_MS };
        match node.store(&call).await {
            Ok(StoreAnswer::Events { as_of, events }) => {
                events.iter().for_each(&take);
                after = after.max(as_of);
                if !events.is_empty() {
                    sleep(GATHER).await;
                }
            }
            Ok(_) => {
                node.note("feed_restarted", json!({ "prefix": prefix, "after": after }));
                return None;
            }
            Err(refusal) => {
                let why = json!({ "prefix": prefix, "after": after, "why": refusal.message });
                node.note("feed_lost", why);
                return Some(refusal);
            }
        }
    }
}

fn take_operator_item<P: Platform>(node: &Node<P>, item: &StoredItem) {
    match P::operator_notice(&item.key, &item.value) {
        Ok(Some(OperatorNotice::Document(document))) => install(node, document, item.revision),
        Ok(Some(OperatorNotice::Version { model, version })) => {
            let mut versions = node.versions.borrow_mut();
            let held = versions.entry(model.clone()).or_insert(0);
            if version > *held {
                *held = version;
                drop(versions);
                node.note(
                    "version_named",
                    json!({ "model": model, "version": version, "revision": item.revision }),
                );
            }
        }
        Ok(Some(OperatorNotice::Vacate { node: machine })) => {
            if node.vacating.borrow_mut().insert(machine.clone()) {
                node.note("vacate_asked", json!({ "machine": machine }));
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

/// Puts a configuration in force if it is newer than the one held: a late answer must not bring
/// an old one back.
fn install<P: Platform>(node: &Node<P>, document: Document, revision: u64) {
    let held = node.document().map_or(0, |held| held.version);
    if node.document().is_some() && document.version <= held {
        return;
    }
    node.note(
        "document_in_force",
        json!({
            "version": document.version, "was": held, "routes": document.routes.len(),
            "revision": revision,
        }),
    );
    node.metrics.document_version.set(document.version as i64);
    *node.document.borrow_mut() = Some(Rc::new(document));
    node.work.notify_one();
}

fn replace_targets<P: Platform>(node: &Node<P>, items: &[StoredItem], was_away: bool) {
    let now = clock::now();
    let entries = items.iter().filter_map(|item| decode_target(node, item)).collect::<Vec<_>>();
    let changes = {
        let mut targets = node.targets.borrow_mut();
        if was_away || targets.vanish_count(&entries) * VANISHED_PART > targets.count() {
            targets.registry_was_away(now);
        }
        targets.replaced(now, entries)
    };
    for change in &changes {
        node.target_changed(change, "list");
    }
}

fn take_target_event<P: Platform>(node: &Node<P>, event: &StoreEvent) {
    let change = match event {
        StoreEvent::Deleted { key, .. } => {
            node.targets.borrow_mut().removed(clock::now(), P::target_id(key))
        }
        StoreEvent::Written(item) => match decode_target(node, item) {
            Some(entry) => node.targets.borrow_mut().seen(entry),
            None => TargetChange::None,
        },
    };
    node.target_changed(&change, "event");
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
