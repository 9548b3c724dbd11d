//! The metrics of the process, exported in the `OpenMetrics` text format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use serde_json::Map;
use std::sync::atomic::AtomicU64;

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
    pub admission: Family<Label, Counter>,
    pub admission_wait_seconds: Histogram,
    /// The smallest window of a service; 0 while none is limited.
    pub admission_window: Gauge<f64, AtomicU64>,
    pub answers: Family<Label, Counter>,
    pub attempts: Family<Label, Counter>,
    pub batches_open: Gauge,
    pub connections_opened: Counter,
    pub document_version: Gauge,
    pub feed_age_ms: Family<Label, Gauge>,
    pub hedges: Family<Label, Counter>,
    pub item_runs: Family<Label, Counter>,
    pub item_seconds: Histogram,
    /// Load orders to engines.
    pub orders: Family<Label, Counter>,
    pub request_seconds: Histogram,
    pub requests_barred: Gauge,
    /// Submissions of batches by outcome.
    pub submissions: Family<Label, Counter>,
    pub store_calls: Family<Label, Counter>,
    pub store_failures: Family<Label, Counter>,
    /// Orders to the platform for a number of targets.
    pub target_orders: Family<Label, Counter>,
    /// Hints about the health of targets.
    pub target_hints: Family<Label, Counter>,
    pub targets_avoided: Gauge,
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
            admission: Family::default(),
            admission_wait_seconds: Histogram::new(LATENCY_BUCKETS_S),
            admission_window: Gauge::default(),
            answers: Family::default(),
            attempts: Family::default(),
            batches_open: Gauge::default(),
            connections_opened: Counter::default(),
            document_version: Gauge::default(),
            feed_age_ms: Family::default(),
            hedges: Family::default(),
            item_runs: Family::default(),
            item_seconds: Histogram::new(LATENCY_BUCKETS_S),
            orders: Family::default(),
            request_seconds: Histogram::new(LATENCY_BUCKETS_S),
            requests_barred: Gauge::default(),
            submissions: Family::default(),
            store_calls: Family::default(),
            store_failures: Family::default(),
            target_orders: Family::default(),
            target_hints: Family::default(),
            targets_avoided: Gauge::default(),
            targets_ended: Family::default(),
            usage_reports: Family::default(),
            workspace_load_datagrams: Family::default(),
            workspace_shares: Family::default(),
            registry: Registry::default(),
        };
        metrics.register_calls(&mut registry);
        metrics.register_batches(&mut registry);
        metrics.register_targets(&mut registry);
        metrics.register_process(&mut registry);
        Self { registry, ..metrics }
    }

    fn register_calls(&self, registry: &mut Registry) {
        registry.register("admission", "Callers' requests by decision", self.admission.clone());
        registry.register(
            "admission_wait_seconds",
            "Time that requests waited for the window of their service",
            self.admission_wait_seconds.clone(),
        );
        registry.register(
            "admission_window",
            "Smallest window of a service, 0 while none is limited",
            self.admission_window.clone(),
        );
        registry.register("answers", "Answers to callers by outcome", self.answers.clone());
        registry.register("attempts", "Attempts at targets by outcome", self.attempts.clone());
        registry.register("hedges", "Second attempts by what became of them", self.hedges.clone());
        registry.register(
            "request_seconds",
            "Time from a request's head to its answer",
            self.request_seconds.clone(),
        );
        registry.register(
            "requests_barred",
            "Requests that are sent to no target because targets ended under them",
            self.requests_barred.clone(),
        );
        registry.register(
            "usage_reports",
            "Reports of usage by what the platform answered",
            self.usage_reports.clone(),
        );
        registry.register(
            "workspace_load_datagrams",
            "Messages of workspaces' loads between nodes by direction",
            self.workspace_load_datagrams.clone(),
        );
        registry.register(
            "workspace_shares",
            "Requests of workspaces by the decision on their shares",
            self.workspace_shares.clone(),
        );
    }

    fn register_batches(&self, registry: &mut Registry) {
        registry.register(
            "batches_open",
            "Batch submissions owned here",
            self.batches_open.clone(),
        );
        registry.register("item_runs", "Runs of batch items by outcome", self.item_runs.clone());
        registry.register(
            "item_seconds",
            "Time from a batch's acceptance to an item's result",
            self.item_seconds.clone(),
        );
        registry.register("orders", "Orders to engines by outcome", self.orders.clone());
        registry.register(
            "submissions",
            "Submissions of batches by outcome",
            self.submissions.clone(),
        );
    }

    fn register_targets(&self, registry: &mut Registry) {
        registry.register(
            "target_orders",
            "Orders of numbers of targets by outcome",
            self.target_orders.clone(),
        );
        registry.register(
            "target_hints",
            "Hints between nodes about the health of targets",
            self.target_hints.clone(),
        );
        registry.register(
            "targets_avoided",
            "Targets that get calls only if no other has capacity",
            self.targets_avoided.clone(),
        );
        registry.register(
            "targets_ended",
            "Lives of targets that ended with a request of ours under way, by how that was seen",
            self.targets_ended.clone(),
        );
    }

    fn register_process(&self, registry: &mut Registry) {
        registry.register(
            "connections_opened",
            "Connections opened to targets, peers and the store",
            self.connections_opened.clone(),
        );
        registry.register(
            "document_version",
            "Version of the configuration in force here",
            self.document_version.clone(),
        );
        registry.register(
            "feed_age_ms",
            "Milliseconds since what is known of the store was last known to be complete, by subject",
            self.feed_age_ms.clone(),
        );
        registry.register("store_calls", "Calls of the store by duty", self.store_calls.clone());
        registry.register(
            "store_failures",
            "Calls of the store that failed, by way",
            self.store_failures.clone(),
        );
    }

    /// Adds to the count of hints.
    pub(crate) fn count_hints(&self, reason: &'static str, number: u64) {
        if number > 0 {
            self.target_hints.get_or_create(&Label { reason }).inc_by(number);
        }
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
