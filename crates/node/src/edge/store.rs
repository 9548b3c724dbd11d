//! Calls of the key-value service, each counted under the duty it is made for.

use crate::control::Input;
use crate::shared::Shared;
use catkinmast_config::{Digest, HEAD_KEY, Head, body_key};
use catkinmast_lease::{HolderRecord, Report, TTL_MS};
use catkinmast_model::{Fence, Name};
use catkinmast_platform::{Expect, InstanceList, KeyValue, LeaseId, StoreError};
use catkinmast_rollout::{Event, Ledger, StepSpec};
use std::sync::Arc;
use std::time::Duration;

/// The longest value of one part of a stored step; the service holds a megabyte.
const STEP_PART_MAX_BYTES: usize = 700_000;
/// How long one watch of the configuration's head waits.
const WATCH_WAIT_MS: u64 = 10_000;

pub(crate) fn lease_key(trainer: &Name) -> String {
    format!("lease/trainer/{trainer}")
}

fn ledger_key(trainer: &Name) -> String {
    format!("trainer/{trainer}/ledger")
}

fn step_key(trainer: &Name, step: u64, digest: &str, part: usize) -> String {
    format!("trainer/{trainer}/step/{step}/{digest}/{part:04}")
}

/// Reads the configuration's head.
pub(crate) async fn read_head(shared: &Shared) -> Result<Option<(Head, u64)>, StoreError> {
    shared.metrics.count_kv_call("config");
    let entry = shared.clients.store.get(HEAD_KEY).await?;
    Ok(entry.and_then(|entry| Some((serde_json::from_str(&entry.value).ok()?, entry.version))))
}

/// Waits for a newer head of the configuration.
pub(crate) async fn watch_head(
    shared: &Shared,
    after_version: u64,
) -> Result<Option<(Head, u64)>, StoreError> {
    shared.metrics.count_kv_call("config_watch");
    let changed = shared.clients.store.watch(HEAD_KEY, after_version, WATCH_WAIT_MS).await?;
    let newest = changed.into_iter().max_by_key(|entry| entry.version);
    Ok(newest.and_then(|entry| Some((serde_json::from_str(&entry.value).ok()?, entry.version))))
}

/// Reads a document by its digest; a value that does not fit the digest is no document.
pub(crate) async fn read_body(shared: &Shared, digest: Digest) -> Option<String> {
    shared.metrics.count_kv_call("config");
    let entry = shared.clients.store.get(&body_key(digest)).await.ok().flatten()?;
    (Digest::of(&entry.value) == digest).then_some(entry.value)
}

/// Reads the platform's list of instances and tells the control thread.
pub(crate) async fn read_instances(shared: Arc<Shared>) {
    match shared.clients.store.instances().await {
        Ok(instances) => shared.send_input(Input::Instances(instances)),
        Err(error) => log::debug!("the list of instances cannot be read: {error}"),
    }
}

/// Takes a trainer's lease.
pub(crate) async fn take_lease(shared: Arc<Shared>, trainer: Name) {
    shared.metrics.count_kv_call("lease");
    let granted = shared.clients.store.grant(TTL_MS).await;
    let Ok(lease) = granted else {
        return shared.send_input(Input::Lease { lease: None, report: Report::Unknown, trainer });
    };
    let holder =
        HolderRecord { incarnation: shared.incarnation, node: shared.settings.name.clone() };
    let value = serde_json::to_string(&holder).unwrap_or_default();
    shared.metrics.count_kv_call("lease");
    let key = lease_key(&trainer);
    let report = match shared.clients.store.put(&key, &value, Expect::Absent, Some(lease)).await {
        Ok(version) => Report::Taken(Fence(version)),
        Err(StoreError::Conflict { .. }) => Report::Refused,
        Err(_) => Report::Unknown,
    };
    if report == Report::Refused
        && let Err(error) = shared.clients.store.revoke(lease).await
    {
        log::debug!("an unused lease is left to lapse: {error}");
    }
    shared.send_input(Input::Lease { lease: Some(lease), report, trainer });
}

/// Reads who holds a trainer's lease.
pub(crate) async fn read_lease(shared: Arc<Shared>, trainer: Name) {
    shared.metrics.count_kv_call("lease");
    let report = match shared.clients.store.get(&lease_key(&trainer)).await {
        Ok(entry) => Report::Read(entry.and_then(|entry| {
            let holder = serde_json::from_str(&entry.value).ok()?;
            Some((holder, Fence(entry.version)))
        })),
        Err(_) => Report::Unknown,
    };
    shared.send_input(Input::Lease { lease: None, report, trainer });
}

/// Renews a trainer's lease.
pub(crate) async fn renew_lease(shared: Arc<Shared>, trainer: Name, lease: LeaseId) {
    shared.metrics.count_kv_call("lease");
    let report = match shared.clients.store.renew(lease).await {
        Ok(()) => Report::Renewed,
        Err(StoreError::Conflict { .. }) => Report::Refused,
        Err(_) => Report::Unknown,
    };
    shared.send_input(Input::Lease { lease: Some(lease), report, trainer });
}

/// Gives a trainer's lease up.
pub(crate) async fn release_lease(shared: Arc<Shared>, lease: LeaseId) {
    shared.metrics.count_kv_call("lease");
    if let Err(error) = shared.clients.store.revoke(lease).await {
        log::info!("a lease is left to lapse by itself: {error}");
    }
}

/// Reads a trainer's ledger.
pub(crate) async fn read_ledger(shared: Arc<Shared>, trainer: Name) {
    shared.metrics.count_kv_call("ledger");
    let event = match shared.clients.store.get(&ledger_key(&trainer)).await {
        Ok(None) => Event::LedgerRead(None),
        Ok(Some(entry)) => match serde_json::from_str::<Ledger>(&entry.value) {
            Ok(ledger) => Event::LedgerRead(Some((Box::new(ledger), entry.version))),
            Err(error) => {
                // Never written over: an operator has to look at it.
                log::error!("the ledger of trainer {trainer} cannot be read: {error}");
                Event::LedgerUnknown
            }
        },
        Err(_) => Event::LedgerUnknown,
    };
    shared.send_input(Input::Rollout { event, trainer });
}

/// Writes a trainer's ledger.
pub(crate) async fn write_ledger(
    shared: Arc<Shared>,
    trainer: Name,
    expect: Option<u64>,
    ledger: Box<Ledger>,
) {
    shared.metrics.count_kv_call("ledger");
    let value = serde_json::to_string(&*ledger).unwrap_or_default();
    let expect = expect.map_or(Expect::Absent, Expect::Version);
    let event = match shared.clients.store.put(&ledger_key(&trainer), &value, expect, None).await {
        Ok(version) => Event::LedgerWritten { version },
        Err(StoreError::Conflict { .. }) => Event::LedgerConflict,
        Err(error) => {
            log::info!("the ledger of trainer {trainer} may be unwritten: {error}");
            Event::LedgerUnknown
        }
    };
    shared.send_input(Input::Rollout { event, trainer });
}

/// Stores a step's content in parts; the digest in the keys makes a repetition harmless.
pub(crate) async fn store_step(
    shared: Arc<Shared>,
    trainer: Name,
    step: u64,
    digest: String,
    spec: StepSpec,
) {
    let text = serde_json::to_string(&spec).unwrap_or_default();
    let mut stored = true;
    let parts = split_text(&text, STEP_PART_MAX_BYTES);
    for (part, value) in parts.iter().enumerate() {
        shared.metrics.count_kv_call("step");
        let key = step_key(&trainer, step, &digest, part);
        let put = shared.clients.store.put(&key, value, Expect::Any, None).await;
        stored &= put.is_ok();
    }
    shared.send_input(Input::Rollout { event: Event::StepStored { step, stored }, trainer });
}

/// Cuts a text into parts of at most `most` bytes, between characters.
fn split_text(text: &str, most: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > most {
        let cut = (0..=most).rev().find(|at| rest.is_char_boundary(*at)).unwrap_or(most);
        let (part, tail) = rest.split_at(cut);
        parts.push(part);
        rest = tail;
    }
    parts.push(rest);
    parts
}

/// Reads a stored step back.
pub(crate) async fn load_step(shared: Arc<Shared>, trainer: Name, step: u64, digest: String) {
    shared.metrics.count_kv_call("step");
    let prefix = format!("trainer/{trainer}/step/{step}/{digest}/");
    let spec = match shared.clients.store.list(&prefix).await {
        Ok(parts) => {
            let text: String = parts.into_iter().map(|entry| entry.value).collect();
            serde_json::from_str(&text).ok()
        }
        Err(_) => None,
    };
    if spec.is_none() {
        // Asked again by the aggregate: not in a tight loop while the service is away.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    shared.send_input(Input::Rollout { event: Event::StepLoaded { spec, step }, trainer });
}
