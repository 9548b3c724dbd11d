//! The configuration document that operators write.
//!
//! Each optional field documents its default. Durations in the document are settings; the running
//! system stores the deadlines computed from them.

use crate::check::{Faults, check};
use crate::source_map::SourceMap;
use catkinmast_model::{InstanceKind, Labels, Name, Selector, Version};
use serde::{Deserialize, Serialize};

/// Maximum size of a document: half of the megabyte that a value of the platform's key-value
/// service holds.
const DOCUMENT_MAX_BYTES: usize = 512 * 1024;

/// A complete configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the deployment.
    pub deployment: Name,
    /// The data centres that hold instances.
    pub data_centres: Vec<DataCentre>,
    /// Limits for the complete deployment.
    #[serde(default)]
    pub limits: Limits,
    /// The customers that send requests. Documents in force may still use the former name, `teams`.
    #[serde(alias = "teams")]
    pub workspaces: Vec<Workspace>,
    /// The instances that operators expect the platform to list.
    pub workers: Vec<Workers>,
    /// The models that engines serve.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The plain services and their calls.
    #[serde(default)]
    pub services: Vec<PlainService>,
    /// The trainers that use rollouts.
    #[serde(default)]
    pub trainers: Vec<Trainer>,
}

/// A data centre and the region it belongs to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: Name,
    /// Region of the data centre.
    pub region: Name,
}

/// Limits that apply to the complete deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// How long a caller may keep an answer about addresses. Default: 5,000.
    pub address_ttl_ms: u64,
    /// Maximum time that a leaving node still serves. Default: 30,000.
    pub drain_deadline_ms: u64,
    /// Maximum size of a request body. Default: 8 MiB.
    pub request_body_max_bytes: u64,
    /// Maximum size of an answer of unknown length, which is buffered before it is forwarded.
    /// Default: 1 MiB.
    pub unsized_answer_max_bytes: u64,
    /// Maximum number of requests that a node serves at once. Default: 512.
    pub in_flight_max: u32,
    /// Maximum number of requests in a node's queue. Default: 256.
    pub queue_max: u32,
    /// Maximum number of retries, in percent of first attempts. Default: 10.
    pub retry_budget_percent: u32,
    /// How long a node keeps the answer to a call with a ticket. Default: 600,000.
    pub ticket_memory_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            address_ttl_ms: 5_000,
            drain_deadline_ms: 30_000,
            request_body_max_bytes: 8 << 20,
            unsized_answer_max_bytes: 1 << 20,
            in_flight_max: 512,
            queue_max: 256,
            retry_budget_percent: 10,
            ticket_memory_ms: 600_000,
        }
    }
}

/// A customer of the service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace; a caller's bearer token contains it.
    pub name: Name,
    /// Labels for operators; the service does not use them.
    #[serde(default)]
    pub labels: Labels,
    /// Maximum number of its requests that a node serves at once. Default: the node's own limit.
    #[serde(default)]
    pub in_flight_max: Option<u32>,
}

/// A pool of equal instances that the platform is expected to list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// Name of the pool.
    pub name: Name,
    /// Kind of the instances.
    pub kind: InstanceKind,
    /// Labels of the instances; `data_centre` and `region` are added to them.
    #[serde(default)]
    pub labels: Labels,
    /// Data centres of the instances.
    pub data_centres: Vec<Name>,
    /// Number of instances in each data centre.
    pub per_data_centre: u32,
    /// Whether the instances refuse orders with an old fencing number. Default: false.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A model that engines serve.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: Name,
    /// Labels for operators; the service does not use them.
    #[serde(default)]
    pub labels: Labels,
    /// Selects the engines that serve the model.
    pub engines: Selector,
    /// Maximum share of the engines that swap weights at once, in percent. Default: 34.
    #[serde(default = "default_swap_percent")]
    pub swap_at_once_percent: u32,
    /// Weight version to roll back to; orders may then name an older version. Default: none.
    #[serde(default)]
    pub roll_back_to: Option<Version>,
}

const fn default_swap_percent() -> u32 {
    34
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Name of the service, as callers write it.
    pub name: Name,
    /// Labels for operators; the service does not use them.
    #[serde(default)]
    pub labels: Labels,
    /// Selects the instances that serve calls.
    pub targets: Selector,
    /// Maximum time of a call. Default: 2,000.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Maximum number of calls in flight at one target. Default: 64.
    #[serde(default = "default_target_in_flight")]
    pub target_in_flight_max: u32,
    /// The calls that the service answers; other paths are refused.
    pub calls: Vec<Call>,
}

const fn default_timeout_ms() -> u64 {
    2_000
}

const fn default_target_in_flight() -> u32 {
    64
}

/// One call of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// A path, or a prefix of whole path segments.
    pub path: String,
    /// Whether the call may run twice. There is no default: a wrong guess would run a call with
    /// side effects twice.
    pub idempotent: bool,
    /// Class of the call, which decides the order under overload. Default: lookup.
    #[serde(default)]
    pub class: CallClass,
}

/// The class of a request, from most to least urgent.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CallClass {
    /// A call for which a user is waiting.
    #[default]
    Lookup,
    /// Intended for calls with side effects; whether a call may be repeated is decided by
    /// [`Call::idempotent`].
    Act,
    /// Samples for a trainer.
    Rollout,
    /// Background work, such as audits.
    Audit,
}

/// A trainer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// Name of the trainer; its bearer token contains it.
    pub name: Name,
    /// Labels for operators; the service does not use them.
    #[serde(default)]
    pub labels: Labels,
    /// The workspace of the trainer. Documents in force may still use the former name, `team`.
    #[serde(alias = "team")]
    pub workspace: Name,
    /// The model that is trained.
    pub model: Name,
    /// Selects the engines of the model that generate the samples. Default: all.
    #[serde(default)]
    pub engines: Selector,
    /// The plain service that scores the samples.
    pub scorer: Name,
    /// Staleness bound: maximum age of a sample that the trainer may use, in weight versions.
    pub staleness_bound_versions: u64,
    /// Number of samples in a group.
    pub group_size: u32,
    /// Number of samples in a batch; a multiple of `group_size`.
    pub batch_samples: u32,
    /// Preference between idle time of the trainer and stale samples: at 100, samples are generated
    /// ahead up to the staleness bound; at 0, none are generated ahead. Default: 50.
    #[serde(default = "default_idle_weight")]
    pub idle_weight_percent: u32,
}

const fn default_idle_weight() -> u32 {
    50
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    /// Returns the first syntax or type error, or else all faults found, each with its line and
    /// field.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        if text.len() > DOCUMENT_MAX_BYTES {
            let message = format!("has {} bytes, {DOCUMENT_MAX_BYTES} are allowed", text.len());
            return Err(Faults::one(1, "document", message));
        }
        let document: Self = toml::from_str(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            Faults::one(SourceMap::line_at(text, offset), "document", error.message())
        })?;
        check(&document, &SourceMap::parse(text))?;
        Ok(document)
    }

    /// Returns the plain service `name`.
    pub fn service(&self, name: &str) -> Option<&PlainService> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// Returns the model `name`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// Returns the trainer `name`.
    pub fn trainer(&self, name: &str) -> Option<&Trainer> {
        self.trainers.iter().find(|trainer| trainer.name.as_str() == name)
    }

    /// Returns the workspace `name`.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.name.as_str() == name)
    }

    /// Returns the region of a data centre.
    pub fn region(&self, data_centre: &Name) -> Option<&Name> {
        let mut data_centres = self.data_centres.iter();
        data_centres.find(|listed| listed.name == *data_centre).map(|listed| &listed.region)
    }
}

impl PlainService {
    /// Returns the call for a path: the one with the longest matching prefix.
    pub fn call(&self, path: &str) -> Option<&Call> {
        let listed = self.calls.iter().filter(|call| has_path_prefix(path, &call.path));
        listed.max_by_key(|call| call.path.len())
    }
}

/// Compares whole path segments, so that `/cover` is not a prefix of `/cover-check`.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
