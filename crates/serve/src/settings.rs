//! Settings of a process, checked at start.

use catkinmast_dispatch::ChangeBound;
use displaydoc::Display;
use std::net::SocketAddr;

/// Settings of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Processor time that this process has, in thousandths of a core.
    pub capacity_millicores: u32,
    /// Where callers reach this process; none on a process without traffic.
    pub callers: Option<SocketAddr>,
    /// How soon a change of configuration or targets must be in force.
    pub change_bound: ChangeBound,
    /// The data centre that this process stands in.
    pub data_centre: String,
    /// Where callers ask for addresses.
    pub directory: Option<SocketAddr>,
    /// The longest time for which an answer with addresses counts.
    pub directory_ttl_max_ms: u64,
    /// The duties that one node at a time has towards the platform; none where there are none.
    pub duties: Option<DutySettings>,
    /// How long a planned stop may take.
    pub grace_ms: u64,
    /// The age of the configuration from which no key is served, in milliseconds; none where keys that
    /// are known are served however old it is.
    pub keys_refused_from_age_ms: Option<u64>,
    /// The shortest lease that the store grants.
    pub lease_min_ms: u64,
    /// Name of this node; its instance's.
    pub node: String,
    /// How long after another holder's last order to a target ours may come.
    pub order_lease_ms: u64,
    /// Where the other nodes reach this one, by UDP and TCP.
    pub peer: SocketAddr,
    /// Where the platform asks whether this node is ready.
    pub ready: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The largest value that the store takes.
    pub value_max_bytes: usize,
}

/// The duties that one node at a time has towards the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutySettings {
    /// Where its calls go.
    pub address: SocketAddr,
    /// Whether the numbers of targets are ordered.
    pub orders_targets: bool,
    /// Whether the use of each workspace is reported.
    pub reports_usage: bool,
    /// How long after its end a window's usage is due.
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
    /// What stands there.
    pub value: String,
}

impl std::error::Error for SettingsError {}
