//! The settings of a process, validated at start and at each reload.

use catkinmast_dispatch::ChangeBound;
use displaydoc::Display;
use std::net::SocketAddr;

/// The settings of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// CPU capacity of this process, in thousandths of a core.
    pub capacity_millicores: u32,
    /// The address for callers; none on a process without traffic.
    pub callers: Option<SocketAddr>,
    /// The time within which a change of configuration or targets must be in force.
    pub change_bound: ChangeBound,
    /// The data centre of this process.
    pub data_centre: String,
    /// The address at which callers look up addresses; none if this process has no directory.
    pub directory: Option<SocketAddr>,
    /// The longest TTL of the addresses in an answer of the directory.
    pub directory_ttl_max_ms: u64,
    /// The duty towards the platform; none if there is none.
    pub duties: Option<DutySettings>,
    /// How long a planned stop may take.
    pub grace_ms: u64,
    /// The age of the configuration from which requests with keys are refused, in milliseconds;
    /// none if known keys are accepted at any age.
    pub keys_refused_from_age_ms: Option<u64>,
    /// The shortest lease that the store grants.
    pub lease_min_ms: u64,
    /// The name of this node: the name of its instance.
    pub node: String,
    /// How long after a previous holder's last order a new holder must not send one, in
    /// milliseconds.
    pub order_lease_ms: u64,
    /// The address for the other nodes, by UDP and TCP.
    pub peer: SocketAddr,
    /// The address for the platform's readiness probes; none if it sends none.
    pub ready: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The largest value that the store accepts, in bytes.
    pub value_max_bytes: usize,
}

/// The settings of the duty towards the platform, which one node at a time does for all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutySettings {
    /// The address that its calls go to.
    pub address: SocketAddr,
    /// Whether this process orders targets from the platform.
    pub orders_targets: bool,
    /// Whether the usage of each workspace is reported.
    pub reports_usage: bool,
    /// How long after a window's end its usage report is due.
    pub usage_due_ms: u64,
    /// The length of a window of usage.
    pub window_ms: u64,
}

/// setting {field} is {value}: {problem}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct SettingsError {
    /// The field, or the file.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
    /// The value that was found.
    pub value: String,
}

impl std::error::Error for SettingsError {}
