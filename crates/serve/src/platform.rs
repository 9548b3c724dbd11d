//! The interface to the platform that the process runs on: its names, formats and calls.
//!
//! An implementation only translates. It decides nothing: no retries, no timeouts, no choices.

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
    /// What was decoded.
    pub what: String,
}

impl std::error::Error for DecodeError {}

/// A call of the platform's store in its wire format.
#[derive(Clone, Debug)]
pub struct StoreRequest {
    /// The body; empty if the call has none.
    pub body: Bytes,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
}

/// An update that an operator or a trainer has written to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorUpdate {
    /// A configuration.
    Document(Document),
    /// An instance of the store is to be drained.
    Drain {
        /// The name of the store instance.
        instance: String,
    },
    /// A data centre is to be evacuated: nothing more is sent to its targets.
    Evacuate {
        /// The data centre.
        data_centre: String,
    },
    /// A trainer has published a weight version of its model.
    Version {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
}

/// The removal of an update by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorRemoval {
    /// A data centre is no longer evacuated.
    Evacuate {
        /// The data centre.
        data_centre: String,
    },
}

/// A caller's call about a batch that it has submitted.
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
        /// The position of the first result to return.
        after: usize,
        /// The batch.
        batch: String,
        /// How long the call may wait for a result, in milliseconds.
        wait_ms: u64,
    },
}

/// The options that a caller sends with its request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerOptions {
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The request's id.
    pub request_id: Option<String>,
}

/// The metadata that is sent to a target with a request.
#[derive(Clone, Debug, Default)]
pub struct TargetRequestMetadata<'a> {
    /// The rest of the caller's deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The only target that may run the request.
    pub expected_target: Option<&'a str>,
    /// The event after which a resumed stream continues.
    pub last_event_id: Option<u64>,
    /// The request's id.
    pub request_id: Option<&'a str>,
    /// The workspace of the request. It replaces any value that the caller has sent.
    pub workspace: Option<&'a str>,
}

/// The metadata that a target sends with its response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetResponseMetadata {
    /// How much longer the target is cold, in milliseconds, if it reports that.
    pub cold_left_ms: Option<u64>,
    /// Whether the target reports that the request did not run.
    pub not_run: bool,
    /// The id of the request that the response is for.
    pub request_id: Option<String>,
    /// The target's signature.
    pub signature: Option<String>,
    /// The weight version with which the run began.
    pub version: Option<u64>,
}

/// The status report of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// When the engine started, by its own clock; none if engines do not report it.
    pub started_at_unix_ms: Option<u64>,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Weight versions by model.
    pub models: Vec<(String, u64)>,
    /// Number of orders accepted since the engine started.
    pub orders_accepted: u64,
}

/// An order to an engine.
#[derive(Clone, Debug)]
pub struct OrderCall<'a> {
    /// The number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
    /// The fencing number.
    pub fence: u64,
    /// The node that sends the order.
    pub holder: &'a str,
    /// The model.
    pub model: &'a str,
    /// Whether running requests continue under the new version.
    pub runs_continue: bool,
    /// The version to load.
    pub version: u64,
}

/// A call of the duty towards the platform, which one node at a time makes.
#[derive(Clone, Debug)]
pub enum DutyCall<'a> {
    /// Sets how many targets of a service a data centre is to have.
    Targets {
        /// The number.
        count: u32,
        /// The data centre.
        data_centre: &'a str,
        /// Whether these are targets that the platform may reclaim.
        reclaimable: bool,
        /// The service.
        service: &'a str,
    },
    /// Reports how many requests of each workspace began to run in a window.
    Usage {
        /// The number of requests by workspace.
        counts: &'a BTreeMap<String, u64>,
        /// The window's number.
        window: u64,
    },
}

/// A duty's call in its wire format, sent by POST.
#[derive(Clone, Debug)]
pub struct DutyRequest {
    /// The body.
    pub body: Bytes,
    /// The headers that name the holder and its fencing number.
    pub headers: HeaderMap,
    /// The path.
    pub path: &'static str,
}

/// The names, formats and calls of a platform, chosen at compile time.
pub trait Platform: Copy + Debug + 'static {
    /// Prefix of the keys that operators and trainers write.
    const OPERATOR_PREFIX: &'static str;
    /// Prefix of the keys under which targets register.
    const TARGETS_PREFIX: &'static str;

    /// Reads the settings of this process.
    ///
    /// # Errors
    /// If a setting is missing or wrong; the error names the field and its value.
    fn settings() -> Result<Settings, SettingsError>;

    /// Encodes a call of the store.
    fn store_request(call: &StoreCall) -> StoreRequest;

    /// Decodes the store's answer.
    ///
    /// # Errors
    /// If the store refused the call, or the answer cannot be decoded.
    fn store_answer(
        call: &StoreCall,
        status: u16,
        body: &[u8],
    ) -> Result<StoreAnswer, StoreRefusal>;

    /// Decodes the value that was written under a key; none for a key that
    /// this process does not use.
    ///
    /// # Errors
    /// If the value is not in its format.
    fn operator_update(key: &str, value: &[u8]) -> Result<Option<OperatorUpdate>, DecodeError>;

    /// Decodes the removal of a key; none for a key whose removal means nothing.
    fn operator_removal(key: &str) -> Option<OperatorRemoval>;

    /// Returns a target's id from its key.
    fn target_id(key: &str) -> &str;

    /// Decodes a target's registry entry.
    ///
    /// # Errors
    /// If the value is not in its format; others than targets may have written it.
    fn target_entry(key: &str, value: &[u8]) -> Result<TargetEntry, DecodeError>;

    /// Returns the key and value which report that an instance of the store is drained.
    fn drained_report(instance: &str) -> (String, Vec<u8>);

    /// Returns whether this is the platform's readiness probe.
    fn is_readiness_probe(head: &Parts) -> bool;

    /// Returns whether this is a caller's lookup of addresses.
    fn is_address_lookup(head: &Parts) -> bool;

    /// Encodes the answer to a lookup of addresses.
    fn addresses(addresses: &[SocketAddr], ttl_ms: u64) -> Bytes;

    /// Decodes a call about a batch; none if the request is another call.
    fn batch_call(head: &Parts) -> Option<BatchCall>;

    /// Reads the options of a request from its headers.
    fn caller_options(headers: &HeaderMap) -> CallerOptions;

    /// Decodes a batch submission.
    ///
    /// # Errors
    /// If it is not in its format; the error names the field.
    fn submission(body: &[u8]) -> Result<Submission, DecodeError>;

    /// Encodes a page of results.
    fn results_page(total: usize, next: usize, results: &[ItemResult]) -> Bytes;

    /// Writes the metadata of a request to a target into its headers.
    fn set_request_metadata(headers: &mut HeaderMap, metadata: &TargetRequestMetadata<'_>);

    /// Reads the metadata of a target's response from its headers.
    fn response_metadata(headers: &HeaderMap) -> TargetResponseMetadata;

    /// Returns the weight version that produced an event, if the event names it.
    fn event_version(event: &StreamEvent) -> Option<u64>;

    /// Encodes an order. Returns its path and body.
    fn engine_order(call: &OrderCall<'_>) -> (&'static str, Bytes);

    /// Encodes a call of a duty, by its holder with a fencing number.
    fn duty_request(call: &DutyCall<'_>, holder: &str, fence: u64) -> DutyRequest;

    /// Returns the path of an engine's report.
    fn engine_report_path() -> &'static str;

    /// Decodes an engine's report.
    ///
    /// # Errors
    /// If it is not in its format.
    fn engine_report(body: &[u8]) -> Result<EngineReport, DecodeError>;
}
