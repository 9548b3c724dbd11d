//! The audit trails of a seed that fails.

use super::super::harness::Node;
use serde_json::Value;
use std::sync::{Arc, Mutex};

/// Writes the audit trails of all nodes to files if the test panics.
pub(super) struct TrailsOnFailure {
    logs: Vec<Arc<Mutex<Vec<Value>>>>,
    seed: u64,
}

impl TrailsOnFailure {
    pub(super) fn new(nodes: &[Node], seed: u64) -> Self {
        Self { logs: nodes.iter().map(Node::log).collect(), seed }
    }
}

impl Drop for TrailsOnFailure {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for (number, log) in self.logs.iter().enumerate() {
            let Ok(lines) = log.lock() else { continue };
            let text: Vec<String> = lines.iter().map(Value::to_string).collect();
            let name = format!("soak-{}-{}-node-{number}.jsonl", self.seed, std::process::id());
            let path = std::env::temp_dir().join(name);
            match std::fs::write(&path, text.join("\n")) {
                Ok(()) => println!("audit trail: {}", path.display()),
                Err(error) => println!("audit trail not written: {error}"),
            }
        }
    }
}
