//! The keys of a batch in the store, and the encoding of their values.

use crate::feed;
use crate::node::Node;
use crate::peers::Owner;
use crate::platform::Platform;
use crate::store::{Expectation, Put, StoreAnswer, StoreCall, StoreRefusal, StoredItem};
use catkinmast_dispatch::{Chunk, Submission, UnlistedWork};
use catkinmast_model::Verdict;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Prefix of the records' keys; the batch's id follows.
pub(super) const RECORD_PREFIX: &str = "cm/h/";

/// Prefix of the keys of submissions (`p`, in parts), unlisted work (`t`) and chunks of results
/// (`c`); the batch's id and the letter follow. A chunk holds the results of one write; chunks are
/// numbered from 0.
pub(super) const DATA_PREFIX: &str = "cm/d/";

/// The part of a value's allowed size that is used; the rest is left for its framing.
pub(super) const VALUE_FILL_PERCENT: usize = 70;

/// The most keys that one transaction changes, within the store's limit of 32.
pub(super) const TRANSACTION_MAX_KEYS: usize = 30;

/// The request that submitted a batch, and its workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Origin {
    pub host: String,
    pub path: String,
    /// The workspace; none if it was submitted without an API key.
    pub workspace: Option<String>,
}

/// The batches that a call may access.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Scope {
    /// All batches: the configuration requires no API keys.
    All,
    /// Batches that were submitted without an API key.
    Public,
    /// The same, and the batches of a workspace.
    Workspace(String),
}

impl Scope {
    /// Returns whether it covers a batch. Calls about a batch that it does not cover are answered
    /// as if the batch did not exist.
    pub(super) fn covers(&self, origin: &Origin) -> bool {
        match (self, &origin.workspace) {
            (Self::All, _) | (_, None) => true,
            (Self::Public, Some(_)) => false,
            (Self::Workspace(mine), Some(theirs)) => mine == theirs,
        }
    }
}

/// The record of a batch in the store: its owner, its origin and whether it is ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Record {
    pub(super) accepted_at_unix_ms: u64,
    pub(super) ended: bool,
    pub(super) origin: Origin,
    pub(super) owner: Owner,
    pub(super) item_count: usize,
}

pub(super) fn record_key(batch: &str) -> String {
    format!("{RECORD_PREFIX}{batch}")
}

pub(super) fn part_key(batch: &str, number: usize) -> String {
    format!("{DATA_PREFIX}{batch}/p{number:03}")
}

pub(super) fn work_key(batch: &str) -> String {
    format!("{DATA_PREFIX}{batch}/t")
}

pub(super) fn chunk_prefix(batch: &str) -> String {
    format!("{DATA_PREFIX}{batch}/c")
}

pub(super) fn chunk_key(batch: &str, number: u32) -> String {
    format!("{DATA_PREFIX}{batch}/c{number:05}")
}

pub(super) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreRefusal> {
    postcard::to_stdvec(value)
        .map_err(|error| StoreRefusal { message: error.to_string(), verdict: Verdict::NotRun })
}

pub(super) fn unexpected_answer(answer: &StoreAnswer) -> StoreRefusal {
    StoreRefusal { message: format!("unexpected answer {answer:?}"), verdict: Verdict::MayHaveRun }
}

pub(super) fn part_max_bytes<P: Platform>(node: &Node<P>) -> usize {
    node.settings().value_max_bytes * VALUE_FILL_PERCENT / 100
}

pub(super) fn report_unreadable<P: Platform>(
    node: &Node<P>,
    item: &StoredItem,
    error: &postcard::Error,
) {
    node.note("own_key_unreadable", json!({ "key": item.key, "why": error.to_string() }));
}

pub(super) fn decode_chunks<P: Platform>(node: &Node<P>, items: &[StoredItem]) -> Vec<Chunk> {
    let mut chunks: Vec<Chunk> = Vec::new();
    for item in items {
        match postcard::from_bytes(&item.value) {
            Ok(chunk) => chunks.push(chunk),
            Err(error) => report_unreadable(node, item, &error),
        }
    }
    chunks.sort_by_key(|chunk| chunk.number);
    chunks
}

pub(super) async fn read_record<P: Platform>(
    node: &Node<P>,
    batch: &str,
) -> Result<Option<(Record, u64)>, StoreRefusal> {
    match node.store(&StoreCall::Get { key: record_key(batch), may_be_old: false }).await? {
        StoreAnswer::Item(None) => Ok(None),
        StoreAnswer::Item(Some(item)) => match postcard::from_bytes(&item.value) {
            Ok(record) => Ok(Some((record, item.revision))),
            Err(error) => Err(StoreRefusal { message: error.to_string(), verdict: Verdict::Ran }),
        },
        other => Err(unexpected_answer(&other)),
    }
}

/// The outcome of writing a record: written at a revision, or found changed to another record.
pub(super) enum RecordWrite {
    Changed(Record, u64),
    Done(u64),
}

pub(super) async fn write_record<P: Platform>(
    node: &Node<P>,
    batch: &str,
    record: &Record,
    revision: u64,
) -> Result<RecordWrite, StoreRefusal> {
    let key = record_key(batch);
    let call = StoreCall::Transaction {
        deletes: Vec::new(),
        expected: vec![Expectation { key: key.clone(), revision }],
        puts: vec![Put { key, lease: None, value: encode(record)? }],
    };
    match node.store(&call).await? {
        StoreAnswer::Committed { revision } => Ok(RecordWrite::Done(revision)),
        StoreAnswer::Conflict { items } => {
            let item = items.first().ok_or_else(|| StoreRefusal {
                message: "a conflict without a key".to_owned(),
                verdict: Verdict::Ran,
            })?;
            let found = postcard::from_bytes(&item.value).map_err(|error| StoreRefusal {
                message: error.to_string(),
                verdict: Verdict::Ran,
            })?;
            Ok(RecordWrite::Changed(found, item.revision))
        }
        other => Err(unexpected_answer(&other)),
    }
}

/// The stored state of a batch, apart from its record.
pub(super) struct StoredBatch {
    pub(super) chunks: Vec<Chunk>,
    pub(super) submission: Submission,
    pub(super) work: UnlistedWork,
}

/// Reads a batch's submission, results and unlisted work from the store.
pub(super) async fn read_stored_batch<P: Platform>(
    node: &Node<P>,
    batch: &str,
) -> Result<StoredBatch, StoreRefusal> {
    let (items, _) = feed::read_all(node, &format!("{DATA_PREFIX}{batch}/")).await?;
    let (chunk_prefix, work_key) = (chunk_prefix(batch), work_key(batch));
    let (chunks, others): (Vec<StoredItem>, Vec<StoredItem>) =
        items.into_iter().partition(|item| item.key.starts_with(&chunk_prefix));
    let (work, parts): (Vec<StoredItem>, Vec<StoredItem>) =
        others.into_iter().partition(|item| item.key == work_key);
    let body: Vec<u8> = parts.into_iter().flat_map(|part| part.value).collect();
    let submission = postcard::from_bytes(&body).map_err(|error| StoreRefusal {
        message: format!("batch {batch}: {error}"),
        verdict: Verdict::Ran,
    })?;
    let work = work.first().and_then(|item| {
        let work = postcard::from_bytes(&item.value);
        work.inspect_err(|error| report_unreadable(node, item, error)).ok()
    });
    let work = work.unwrap_or_default();
    Ok(StoredBatch { chunks: decode_chunks(node, &chunks), submission, work })
}
