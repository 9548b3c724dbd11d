//! The message by which nodes share their counts.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Number of entries in a message.
pub const ENTRIES_MAX: usize = 16;
/// Size of a message on the wire, its frame included. One a second sent and one received make
/// 0.8 KB/s, which leaves room in the 2 KB/s of a node's control traffic.
pub const WIRE_MAX_BYTES: usize = 400;
/// Length of a workspace's name. Longer ones are not shared: one of them would take the place of
/// several others.
pub const WORKSPACE_MAX_BYTES: usize = 64;

/// Bytes of a message without its entries: frame version and tag (17), variant (1), epoch (5),
/// loads of the fleet and of the epoch (24) and number of entries (1).
const FIXED_BYTES: usize = 48;
/// Bytes of an entry without the characters of its name: the name's length and three numbers.
const ENTRY_FIXED_BYTES: usize = 13;

/// Largest weight that a node can hold: the fleet's total is its number of nodes.
const WEIGHT_MAX: f32 = 4_096.0;
/// Largest number of recent requests that a fleet can have: ten times what 320 nodes take in ten
/// seconds at 300 requests a second each.
const REQUESTS_MAX: f32 = 10_000_000.0;

/// Weight and sums of a push-sum average: the mean over all nodes is a sum divided by the weight.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Weight; the sum over all nodes is the number of nodes.
    pub weight: f32,
    /// Recent requests that arrived.
    pub offered: f32,
    /// Recent requests that were answered by a target.
    pub served: f32,
}

impl Load {
    /// Takes out one half, which is to be sent, and keeps the other.
    pub(crate) fn split(&mut self) -> Self {
        for value in [&mut self.weight, &mut self.offered, &mut self.served] {
            *value *= 0.5;
        }
        *self
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.weight += other.weight;
        self.offered += other.offered;
        self.served += other.served;
    }
}

/// The load of one workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Name of the workspace.
    pub workspace: String,
    /// Weight and sums of the workspace.
    pub load: Load,
}

impl Entry {
    /// Returns the size of an entry on the wire, in bytes.
    pub(crate) const fn wire_bytes(workspace: &str) -> usize {
        ENTRY_FIXED_BYTES + workspace.len()
    }
}

/// One half of a node's weights and sums, for another node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Half {
    /// Loads of workspaces.
    pub entries: Vec<Entry>,
    /// Number of the epoch in which entries and total are averaged.
    pub epoch: u32,
    /// Load of all workspaces over the last seconds, as far as requests have ended.
    pub fleet: Load,
    /// Load of all workspaces in the epoch.
    pub total: Load,
}

impl Half {
    /// Bytes that the entries of a message may take on the wire.
    pub(crate) const ENTRIES_MAX_BYTES: usize = WIRE_MAX_BYTES - FIXED_BYTES;

    /// Checks what another node sent.
    ///
    /// # Errors
    /// If a number cannot be a weight or a number of requests, or if a name or the list is too
    /// long.
    pub(crate) fn check(&self) -> Result<(), BadHalf> {
        if self.entries.len() > ENTRIES_MAX {
            return Err(BadHalf::new("entries", &self.entries.len()));
        }
        check_load("fleet", self.fleet)?;
        check_load("total", self.total)?;
        for entry in &self.entries {
            let length_bytes = entry.workspace.len();
            if length_bytes == 0 || length_bytes > WORKSPACE_MAX_BYTES {
                return Err(BadHalf::new("workspace_bytes", &length_bytes));
            }
            check_load(&entry.workspace, entry.load)?;
        }
        Ok(())
    }
}

fn check_load(of: &str, load: Load) -> Result<(), BadHalf> {
    let fields = [
        ("weight", load.weight, WEIGHT_MAX),
        ("offered", load.offered, REQUESTS_MAX),
        ("served", load.served, REQUESTS_MAX),
    ];
    for (name, value, max) in fields {
        // A value that is not a number is in no range.
        if !(0.0..=max).contains(&value) {
            return Err(BadHalf::new(format!("{of}.{name}"), &value));
        }
    }
    Ok(())
}

/// {field} cannot be {value}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct BadHalf {
    /// Name of the field.
    pub field: String,
    /// Its value, as text.
    pub value: String,
}

impl BadHalf {
    fn new(field: impl Into<String>, value: &impl ToString) -> Self {
        Self { field: field.into(), value: value.to_string() }
    }
}

impl std::error::Error for BadHalf {}
