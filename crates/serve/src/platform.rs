//! What the process needs from the platform it runs on: names, formats and calls.
//!
//! An implementation translates and decides nothing: no retry, no timeout, no choice.

use crate::settings::{Settings, SettingsError};
use crate::store::{StoreAnswer, StoreCall, StoreRefusal};
use bytes::Bytes;
use catkinmast_dispatch::{Document, ItemResult, StreamEvent, Submission, TargetEntry};
use displaydoc::Display;
use http::request::Parts;
use http::{HeaderMap, Method};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::SocketAddr;

/// {what} cannot be read: {problem}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct DecodeError {
    /// What went wrong.
    pub problem: String,
    /// What was read.
    pub what: String,
}

impl std::error::Error for DecodeError {}

/// A call of the platform's store as it goes over the wire.
#[derive(Clone, Debug)]
pub struct StoreRequest {
    /// The body, empty where there is none.
    pub body: Bytes,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
}

/// What the operator, or a trainer, has written to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorUpdate {
    /// A configuration.
    Document(Document),
    /// A store machine is to be emptied.
    Drain {
        /// The machine's node.
        node: String,
    },
    /// A trainer has published a version of its model.
    Version {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
}

/// A caller's call about a batch submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchCall {
    /// Ends the batch.
    End {
        /// The batch.
        batch: String,
    },
    /// Reads the body of an item.
    ItemBody {
        /// The batch.
        batch: String,
        /// The item.
        item: String,
    },
    /// Reads results.
    Read {
        /// The first position wanted.
        after: usize,
        /// The batch.
        batch: String,
        /// How long the call may wait for a result.
        wait_ms: u64,
    },
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerOptions {
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// The request's id.
    pub request_id: Option<String>,
}

/// What we say of a request to its target.
#[derive(Clone, Debug, Default)]
pub struct TargetRequestMetadata<'a> {
    /// What is left of the caller's time.
    pub deadline_ms: Option<u64>,
    /// The only target that may run it.
    pub expected_target: Option<&'a str>,
    /// The event after which a stream goes on.
    pub last_event_id: Option<u64>,
    /// The request's id.
    pub request_id: Option<&'a str>,
    /// The workspace that it is from; whatever the caller says of it is replaced.
    pub workspace: Option<&'a str>,
}

/// What a target says of its answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetResponseMetadata {
    /// Whether the target says that the request did not run.
    pub not_run: bool,
    /// The request that it answers.
    pub request_id: Option<String>,
    /// The target's signature.
    pub signature: Option<String>,
    /// The weight version that the run began with.
    pub version: Option<u64>,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// When this life of it began, by its own clock; none where engines do not tell.
    pub started_at_unix_ms: Option<u64>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Weight versions by model.
    pub models: Vec<(String, u64)>,
    /// Orders accepted since its start.
    pub orders_accepted: u64,
}

/// An order to an engine.
#[derive(Clone, Debug)]
pub struct OrderCall<'a> {
    /// The number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
    /// The fencing number.
    pub fence: u64,
    /// Who gives the order.
    pub holder: &'a str,
    /// The model.
    pub model: &'a str,
    /// Whether running requests go on under the new version.
    pub runs_continue: bool,
    /// The version to load.
    pub version: u64,
}

/// What one node at a time tells the platform.
#[derive(Clone, Debug)]
pub enum DutyCall<'a> {
    /// How many targets of a service a data centre is to have.
    Targets {
        /// The number.
        count: u32,
        /// The data centre.
        data_centre: &'a str,
        /// Whether it is about targets that the platform may take back.
        reclaimable: bool,
        /// The service.
        service: &'a str,
    },
    /// The requests of each workspace that began to run in a window.
    Usage {
        /// The requests by workspace.
        counts: &'a BTreeMap<String, u64>,
        /// The window's number.
        window: u64,
    },
}

/// A duty's call as it goes over the wire, by POST.
#[derive(Clone, Debug)]
pub struct DutyRequest {
    /// The body.
    pub body: Bytes,
    /// The headers that name the holder.
    pub headers: HeaderMap,
    /// The path.
    pub path: &'static str,
}

/// The names, formats and calls of a platform.
pub trait Platform: Copy + Debug + 'static {
    /// Prefix of the keys that the operators write.
    const OPERATOR_PREFIX: &'static str;
    /// Prefix of the keys under which targets register.
    const TARGETS_PREFIX: &'static str;

    /// Reads the settings of this process.
    ///
    /// # Errors
    /// Names the field and the value that is wrong.
    fn settings() -> Result<Settings, SettingsError>;

    /// Writes a call of the store.
    fn store_request(call: &StoreCall) -> StoreRequest;

    /// Reads the store's answer.
    ///
    /// # Errors
    /// When the store refused, or the answer cannot be read.
    fn store_answer(
        call: &StoreCall,
        status: u16,
        body: &[u8],
    ) -> Result<StoreAnswer, StoreRefusal>;

    /// Reads what the operator wrote under a key; none for keys that matter to others.
    ///
    /// # Errors
    /// When the value is not in its format.
    fn operator_update(key: &str, value: &[u8]) -> Result<Option<OperatorUpdate>, DecodeError>;

    /// Reads a target's id from its key.
    fn target_id(key: &str) -> &str;

    /// Reads a target's entry.
    ///
    /// # Errors
    /// When the value is not in its format: others than targets may have written it.
    fn target_entry(key: &str, value: &[u8]) -> Result<TargetEntry, DecodeError>;

    /// Writes that a store machine is empty.
    fn drained(node: &str) -> (String, Vec<u8>);

    /// Tells whether this is the platform's question for readiness.
    fn is_readiness_probe(head: &Parts) -> bool;

    /// Tells whether this is a caller's question for addresses.
    fn is_address_lookup(head: &Parts) -> bool;

    /// Writes the answer to a question for addresses.
    fn addresses(addresses: &[SocketAddr], ttl_ms: u64) -> Bytes;

    /// Reads a call about a batch submission.
    fn batch_call(head: &Parts) -> Option<BatchCall>;

    /// Reads what a caller says of its request.
    fn caller_options(headers: &HeaderMap) -> CallerOptions;

    /// Reads a batch submission.
    ///
    /// # Errors
    /// When it is not in its format; the error names the field.
    fn submission(body: &[u8]) -> Result<Submission, DecodeError>;

    /// Writes a page of results.
    fn page(total: usize, next: usize, results: &[ItemResult]) -> Bytes;

    /// Marks a request to a target.
    fn set_request_metadata(headers: &mut HeaderMap, marks: &TargetRequestMetadata<'_>);

    /// Reads what a target says of its answer.
    fn response_metadata(headers: &HeaderMap) -> TargetResponseMetadata;

    /// Reads the version that an event says it was produced by.
    fn event_version(event: &StreamEvent) -> Option<u64>;

    /// Writes an order: path and body.
    fn order(call: &OrderCall<'_>) -> (&'static str, Bytes);

    /// Writes a duty's call of the holder with a fencing number.
    fn duty_request(call: &DutyCall<'_>, holder: &str, fence: u64) -> DutyRequest;

    /// The path of an engine's report.
    fn report_path() -> &'static str;

    /// Reads an engine's report.
    ///
    /// # Errors
    /// When it is not in its format.
    fn report(body: &[u8]) -> Result<EngineReport, DecodeError>;
}
