//! What an operator writes.
//!
//! Every optional field documents its default. Durations in the document are an operator's own
//! settings; what the running system stores are the deadlines computed from them.

use crate::check::{Faults, check};
use crate::source_map::Places;
use catkinmast_model::{InstanceKind, Labels, Name, Selector, Version};
use serde::{Deserialize, Serialize};

/// The largest document accepted, in bytes: a value of the platform's service holds a megabyte.
const DOCUMENT_MAX_BYTES: usize = 512 * 1024;

/// A whole configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The deployment's name.
    pub deployment: Name,
    /// Where instances stand.
    pub data_centres: Vec<DataCentre>,
    /// Bounds of the whole deployment.
    #[serde(default)]
    pub limits: Limits,
    /// Who sends requests. Documents in force may still use the former name.
    #[serde(alias = "teams")]
    pub workspaces: Vec<Workspace>,
    /// The instances that operators expect the platform to list.
    pub workers: Vec<Workers>,
    /// What engines serve.
    #[serde(default)]
    pub models: Vec<Model>,
    /// What plain services answer.
    #[serde(default)]
    pub services: Vec<PlainService>,
    /// Who learns from rollouts.
    #[serde(default)]
    pub trainers: Vec<Trainer>,
}

/// A data centre and the region it belongs to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: Name,
    /// Its region.
    pub region: Name,
}

/// Bounds that hold for the whole deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// How long a caller may keep an answer about addresses. Default: 5,000.
    pub address_ttl_ms: u64,
    /// How long a node that leaves serves at most. Default: 30,000.
    pub drain_deadline_ms: u64,
    /// The largest request body. Default: 8 MiB.
    pub request_body_max_bytes: u64,
    /// The largest answer of unknown length, which is held before it is passed on. Default: 1 MiB.
    pub unsized_answer_max_bytes: u64,
    /// How many requests a node serves at once. Default: 512.
    pub in_flight_max: u32,
    /// How many requests wait in a node for a place. Default: 256.
    pub queue_max: u32,
    /// Retries allowed, in percent of first attempts. Default: 10.
    pub retry_budget_percent: u32,
    /// How long a node remembers the answer to a ticket. Default: 600,000.
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
    /// Its name; a caller's token names it.
    pub name: Name,
    /// Labels, for people.
    #[serde(default)]
    pub labels: Labels,
    /// How many of its requests a node serves at once. Default: no bound but the node's own.
    #[serde(default)]
    pub in_flight_max: Option<u32>,
}

/// Instances of one make that the platform lists.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// The name of this make.
    pub name: Name,
    /// What runs on them.
    pub kind: InstanceKind,
    /// Their labels; `data_centre` and `region` are added to them.
    #[serde(default)]
    pub labels: Labels,
    /// Where they stand.
    pub data_centres: Vec<Name>,
    /// How many stand in each data centre.
    pub per_data_centre: u32,
    /// Whether they refuse an order that carries an old fencing number. Default: false.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A model that engines serve.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: Name,
    /// Labels, for people.
    #[serde(default)]
    pub labels: Labels,
    /// Which instances serve it.
    pub engines: Selector,
    /// The largest share of its engines that swap weights at once, in percent. Default: 34.
    #[serde(default = "default_swap_percent")]
    pub swap_at_once_percent: u32,
    /// A version to go back to; orders may then name an older one. Default: none.
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
    /// Its name, as callers write it.
    pub name: Name,
    /// Labels, for people.
    #[serde(default)]
    pub labels: Labels,
    /// Which instances serve it.
    pub targets: Selector,
    /// How long a call may take. Default: 2,000.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// How many calls one target has in flight at most. Default: 64.
    #[serde(default = "default_target_in_flight")]
    pub target_in_flight_max: u32,
    /// What it answers; a path that is not listed is refused.
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
    /// The path, or the beginning of one.
    pub path: String,
    /// Whether it may be run twice. There is no default: a wrong guess sends a mechanic twice.
    pub idempotent: bool,
    /// What it is for; decides who waits when there is too much. Default: lookup.
    #[serde(default)]
    pub class: CallClass,
}

/// What a request is for, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CallClass {
    /// Somebody stands and waits.
    #[default]
    Lookup,
    /// A call that may not be repeated.
    Act,
    /// Samples for a trainer.
    Rollout,
    /// Work in the background.
    Audit,
}

/// A trainer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// Its name; its token names it.
    pub name: Name,
    /// Labels, for people.
    #[serde(default)]
    pub labels: Labels,
    /// The workspace it belongs to. Documents in force may still use the former name.
    #[serde(alias = "team")]
    pub workspace: Name,
    /// The model it trains.
    pub model: Name,
    /// Which of the model's engines make its samples. Default: all.
    #[serde(default)]
    pub engines: Selector,
    /// The plain service that scores its samples.
    pub scorer: Name,
    /// The oldest sample that it may use, in versions.
    pub staleness_bound_versions: u64,
    /// Samples in a group.
    pub group_size: u32,
    /// Samples in a batch; a multiple of `group_size`.
    pub batch_samples: u32,
    /// How much trainer idle time weighs against staleness, 0 to 100. Default: 50.
    #[serde(default = "default_idle_weight")]
    pub idle_weight_percent: u32,
}

const fn default_idle_weight() -> u32 {
    50
}

impl Document {
    /// Reads and checks a document.
    ///
    /// # Errors
    /// All faults found, each with its line and field.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        if text.len() > DOCUMENT_MAX_BYTES {
            let message = format!("has {} bytes, {DOCUMENT_MAX_BYTES} are allowed", text.len());
            return Err(Faults::one(1, "document", message));
        }
        let document: Self = toml::from_str(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            Faults::one(Places::line_at(text, offset), "document", error.message())
        })?;
        check(&document, &Places::of(text))?;
        Ok(document)
    }

    /// Finds a plain service.
    pub fn service(&self, name: &str) -> Option<&PlainService> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// Finds a model.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// Finds a trainer.
    pub fn trainer(&self, name: &str) -> Option<&Trainer> {
        self.trainers.iter().find(|trainer| trainer.name.as_str() == name)
    }

    /// Finds a workspace.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.name.as_str() == name)
    }

    /// Returns the region of a data centre.
    pub fn region(&self, data_centre: &Name) -> Option<&Name> {
        let mut places = self.data_centres.iter();
        places.find(|place| place.name == *data_centre).map(|place| &place.region)
    }
}

impl PlainService {
    /// Finds the call for a path: the longest listed beginning wins.
    pub fn call(&self, path: &str) -> Option<&Call> {
        let listed = self.calls.iter().filter(|call| begins_with(path, &call.path));
        listed.max_by_key(|call| call.path.len())
    }
}

/// Compares whole path segments, so that `/cover` does not stand for `/cover-check`.
fn begins_with(path: &str, beginning: &str) -> bool {
    let beginning = beginning.trim_end_matches('/');
    path.strip_prefix(beginning).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
