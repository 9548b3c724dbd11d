//! The node's metrics, exported in the `OpenMetrics` text format.

use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels of a counted call of a plain service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct CallLabels {
    pub service: String,
    pub verdict: String,
}

/// Labels of a counted call of the key-value service. `duty` is the purpose of the call, such as
/// `lease` or `config`.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct DutyLabels {
    pub duty: String,
}

/// The node's counters and gauges.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub calls: Family<CallLabels, Counter>,
    pub config_revision: Gauge,
    pub frames_refused: Counter,
    pub control_sent_bytes: Counter,
    pub control_received_bytes: Counter,
    pub holdings_bytes: Gauge,
    pub kv_calls: Family<DutyLabels, Counter>,
    pub requests_in_flight: Gauge,
    pub retries: Counter,
    registry: Registry,
}

impl Metrics {
    pub(crate) fn open() -> Self {
        let mut registry = Registry::with_prefix("catkinmast");
        let calls = Family::default();
        registry.register("calls", "Calls of plain services by verdict", calls.clone());
        let config_revision = Gauge::default();
        registry.register(
            "config_revision",
            "Revision of the configuration in force here",
            config_revision.clone(),
        );
        let frames_refused = Counter::default();
        registry.register(
            "frames_refused",
            "Frames from nodes that were not ours or not whole",
            frames_refused.clone(),
        );
        let control_sent_bytes = Counter::default();
        registry.register(
            "control_sent_bytes",
            "Datagram payload sent to other nodes",
            control_sent_bytes.clone(),
        );
        let control_received_bytes = Counter::default();
        registry.register(
            "control_received_bytes",
            "Datagram payload received from other nodes",
            control_received_bytes.clone(),
        );
        let holdings_bytes = Gauge::default();
        registry.register(
            "holdings_bytes",
            "Tokens of samples held for trainers",
            holdings_bytes.clone(),
        );
        let kv_calls = Family::default();
        registry.register("kv_calls", "Calls of the key-value service by duty", kv_calls.clone());
        let requests_in_flight = Gauge::default();
        registry.register(
            "requests_in_flight",
            "Requests being served now",
            requests_in_flight.clone(),
        );
        let retries = Counter::default();
        registry.register("retries", "Calls tried again at another target", retries.clone());
        Self {
            calls,
            config_revision,
            frames_refused,
            control_sent_bytes,
            control_received_bytes,
            holdings_bytes,
            kv_calls,
            requests_in_flight,
            retries,
            registry,
        }
    }

    /// Counts one call of the key-value service.
    pub(crate) fn count_kv_call(&self, duty: &str) {
        self.kv_calls.get_or_create(&DutyLabels { duty: duty.to_owned() }).inc();
    }

    /// Returns all metrics in the `OpenMetrics` text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# the metrics could not be written: {error}\n"),
        }
    }
}
