//! Calls of the key-value service, each counted in the metrics under its purpose.

use crate::control::Input;
use crate::shared::Shared;
use catkinmast_config::{Digest, HEAD_KEY, Head, body_key};
use catkinmast_lease::{HolderRecord, Report, TTL_MS};
use catkinmast_model::{Fence, Name};
use catkinmast_platform::{Expect, InstanceList, KeyValue, LeaseId, StoreError};
use catkinmast_rollout::{Event, Ledger, StepSpec};
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of one part of a stored step; the service accepts values of up to a megabyte.
const STEP_PART_MAX_BYTES: usize = 700_000;
/// How long one watch request for the configuration's head waits.
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

/// Reads the configuration's head and its version. A head that cannot be parsed counts as absent.
pub(crate) async fn read_head(shared: &Shared) -> Result<Option<(Head, u64)>, StoreError> {
    shared.metrics.count_kv_call("config");
    let entry = shared.clients.store.get(HEAD_KEY).await?;
    Ok(entry.and_then(|entry| Some((serde_json::from_str(&entry.value).ok()?, entry.version))))
}

/// Waits for a head of the configuration that is newer than `after_version`; returns `None` if none
/// appears in time.
pub(crate) async fn watch_head(
    shared: &Shared,
    after_version: u64,
) -> Result<Option<(Head, u64)>, StoreError> {
    shared.metrics.count_kv_call("config_watch");
    let changed = shared.clients.store.watch(HEAD_KEY, after_version, WATCH_WAIT_MS).await?;
    let newest = changed.into_iter().max_by_key(|entry| entry.version);
    Ok(newest.and_then(|entry| Some((serde_json::from_str(&entry.value).ok()?, entry.version))))
}

/// Reads a document by its digest; returns `None` if the stored text does not match the digest.
pub(crate) async fn read_body(shared: &Shared, digest: Digest) -> Option<String> {
    shared.metrics.count_kv_call("config");
    let entry = shared.clients.store.get(&body_key(digest)).await.ok().flatten()?;
    (Digest::of(&entry.value) == digest).then_some(entry.value)
}

/// Reads the platform's list of instances and passes it to the control thread.
pub(crate) async fn read_instances(shared: Arc<Shared>) {
    match shared.clients.store.instances().await {
        Ok(instances) => shared.send_input(Input::Instances(instances)),
        Err(error) => log::debug!("cannot read the platform's list of instances: {error}"),
    }
}

/// Tries to take a trainer's lease, and reports the result.
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
        log::debug!("cannot revoke an unused lease, which will expire: {error}");
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

/// Releases a trainer's lease.
pub(crate) async fn release_lease(shared: Arc<Shared>, lease: LeaseId) {
    shared.metrics.count_kv_call("lease");
    if let Err(error) = shared.clients.store.revoke(lease).await {
        log::info!("cannot release a lease, which will expire: {error}");
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
                // Never overwritten: an operator has to inspect it.
                log::error!("the ledger of trainer {trainer} cannot be parsed: {error}");
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
            log::info!("the ledger of trainer {trainer} may not have been written: {error}");
            Event::LedgerUnknown
        }
    };
    shared.send_input(Input::Rollout { event, trainer });
}

/// Stores a step's content in parts. The keys contain the content's digest, so that a repetition
/// writes the same values.
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

/// Splits a text into parts of at most `max_bytes`, at character boundaries.
fn split_text(text: &str, max_bytes: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > max_bytes {
        let cut = (0..=max_bytes).rev().find(|at| rest.is_char_boundary(*at)).unwrap_or(max_bytes);
        let (part, tail) = rest.split_at(cut);
        parts.push(part);
        rest = tail;
    }
    parts.push(rest);
    parts
}

/// Reads a stored step.
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
        // The state machine requests the step again at once, which would be a busy loop while the
        // service is unavailable.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    shared.send_input(Input::Rollout { event: Event::StepLoaded { spec, step }, trainer });
}
