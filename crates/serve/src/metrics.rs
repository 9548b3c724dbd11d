//! The metrics of the process, exported in the `OpenMetrics` text format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use serde_json::Map;

/// Upper bounds of the latency buckets, in seconds: from a short lookup to a trainer's timeout.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.1, 0.15, 0.4, 1.0, 2.5, 7.5, 15.0];

/// A metrics label with few values.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct Label {
    pub reason: &'static str,
}

/// The counters, gauges and histograms of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub answers: Family<Label, Counter>,
    pub attempts: Family<Label, Counter>,
    pub batches_open: Gauge,
    pub connections_opened: Counter,
    pub document_version: Gauge,
    pub feed_age_ms: Family<Label, Gauge>,
    pub item_runs: Family<Label, Counter>,
    pub item_seconds: Histogram,
    /// Load orders to engines.
    pub orders: Family<Label, Counter>,
    pub request_seconds: Histogram,
    pub requests_barred: Gauge,
    pub store_calls: Family<Label, Counter>,
    pub store_failures: Family<Label, Counter>,
    /// Orders to the platform for a number of targets.
    pub target_orders: Family<Label, Counter>,
    pub targets_ended: Family<Label, Counter>,
    pub usage_reports: Family<Label, Counter>,
    /// Messages of workspaces' loads between nodes.
    pub workspace_load_datagrams: Family<Label, Counter>,
    /// Requests of workspaces by the decision on their shares.
    pub workspace_shares: Family<Label, Counter>,
    registry: Registry,
}

impl Metrics {
    pub(crate) fn open() -> Self {
        let mut registry = Registry::with_prefix("catkinmast");
        let metrics = Self {
            answers: Family::default(),
            attempts: Family::default(),
            batches_open: Gauge::default(),
            connections_opened: Counter::default(),
            document_version: Gauge::default(),
            feed_age_ms: Family::default(),
            item_runs: Family::default(),
            item_seconds: Histogram::new(LATENCY_BUCKETS_S),
            orders: Family::default(),
            request_seconds: Histogram::new(LATENCY_BUCKETS_S),
            requests_barred: Gauge::default(),
            store_calls: Family::default(),
            store_failures: Family::default(),
            target_orders: Family::default(),
            targets_ended: Family::default(),
            usage_reports: Family::default(),
            workspace_load_datagrams: Family::default(),
            workspace_shares: Family::default(),
            registry: Registry::default(),
        };
        let m = &metrics;
        registry.register("answers", "Answers to callers by outcome", m.answers.clone());
        registry.register("attempts", "Attempts at targets by outcome", m.attempts.clone());
        registry.register("batches_open", "Batch submissions owned here", m.batches_open.clone());
        registry.register(
            "connections_opened",
            "Connections opened to targets, peers and the store",
            m.connections_opened.clone(),
        );
        registry.register(
            "document_version",
            "Version of the configuration in force here",
            m.document_version.clone(),
        );
        registry.register(
            "feed_age_ms",
            "Milliseconds since what is known of the store was last known to be complete, by subject",
            m.feed_age_ms.clone(),
        );
        registry.register("item_runs", "Runs of batch items by outcome", m.item_runs.clone());
        registry.register(
            "item_seconds",
            "Time from a batch's acceptance to an item's result",
            m.item_seconds.clone(),
        );
        registry.register("orders", "Orders to engines by outcome", m.orders.clone());
        registry.register(
            "request_seconds",
            "Time from a request's head to its answer",
            m.request_seconds.clone(),
        );
        registry.register(
            "requests_barred",
            "Requests that are sent to no target because targets ended under them",
            m.requests_barred.clone(),
        );
        registry.register(
            "target_orders",
            "Orders of numbers of targets by outcome",
            m.target_orders.clone(),
        );
        registry.register(
            "usage_reports",
            "Reports of usage by what the platform answered",
            m.usage_reports.clone(),
        );
        registry.register(
            "workspace_load_datagrams",
            "Messages of workspaces' loads between nodes by direction",
            m.workspace_load_datagrams.clone(),
        );
        registry.register(
            "workspace_shares",
            "Requests of workspaces by the decision on their shares",
            m.workspace_shares.clone(),
        );
        registry.register("store_calls", "Calls of the store by duty", m.store_calls.clone());
        registry.register(
            "store_failures",
            "Calls of the store that failed, by way",
            m.store_failures.clone(),
        );
        registry.register(
            "targets_ended",
            "Lives of targets that ended with a request of ours under way, by how that was seen",
            m.targets_ended.clone(),
        );
        Self { registry, ..metrics }
    }

    /// Returns the number of calls of the store so far, by kind.
    pub(crate) fn store_calls_so_far(&self) -> serde_json::Value {
        let kinds = ["get", "get_old", "lease", "renew", "range_old", "range", "write", "watch"];
        let count = |reason| self.store_calls.get_or_create(&Label { reason }).get();
        kinds
            .iter()
            .map(|kind| ((*kind).to_owned(), count(*kind).into()))
            .collect::<Map<_, _>>()
            .into()
    }

    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# the metrics could not be written: {error}\n"),
        }
    }
}

/// Increments the counter of a reason.
pub(crate) fn count(family: &Family<Label, Counter>, reason: &'static str) {
    family.get_or_create(&Label { reason }).inc();
}
