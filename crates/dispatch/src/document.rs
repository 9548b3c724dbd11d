//! The operators' configuration in the form that request handling uses.

use catkinmast_access::Workspaces;
use catkinmast_places::ColdConfig;
use catkinmast_scaling::ScalingConfig;
use indexmap::IndexMap;

/// How a route's requests are run, and whether they may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once each time the caller sends them.
    NonIdempotent,
    /// Batch submissions, whose items run later.
    Rollout,
    /// Requests that are answered by a stream of events.
    Stream,
}

/// A service of a route and its share of the requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other weights of the route.
    pub weight: u64,
}

/// A route: which requests go to which services, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Most targets that one request of the caller may be sent to, one after another.
    pub attempts: u32,
    /// Time from its first submission after which an unfinished item is given up.
    pub give_up_ms: Option<u64>,
    /// Host whose requests it matches.
    pub host: String,
    /// How its requests are run.
    pub kind: RouteKind,
    /// Whether its requests need no key.
    pub is_public: bool,
    /// Name of the route.
    pub name: String,
    /// Path prefix that it matches, beginning and ending with a slash.
    pub prefix: String,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether a stream may be resumed at another target.
    pub resumable: bool,
    /// How long after its first submission all results of a batch are due.
    pub results_due_ms: Option<u64>,
    /// Services that the requests go to.
    pub services: Vec<WeightedService>,
    /// Whether a single weight version must have produced a whole sample.
    pub single_version: bool,
    /// Longest time that a request is kept waiting.
    pub timeout_ms: Option<u64>,
    /// Time within which the caller should be answered. A later answer is worth less to it.
    pub latency_goal_ms: u64,
}

impl Route {
    /// Returns the service for a draw from `0..u64::MAX`, in proportion to the weights.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|share| share.weight).sum();
        if total == 0 {
            return self.services.first().map(|share| share.service.as_str());
        }
        let mut left = draw % total;
        for share in &self.services {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        None
    }

    /// Returns whether a request may be sent to another target after a target that may already have
    /// run it.
    pub const fn repeatable(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent)
    }
}

/// Configuration of a service's model engines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineConfig {
    /// Models that the engines serve.
    pub models: Vec<String>,
    /// Number of requests that one engine runs at once.
    pub slots: u32,
}

/// Configuration of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceConfig {
    /// Set if its targets bear fewer requests after they have started.
    pub cold: Option<ColdConfig>,
    /// Most connections that one target accepts from all nodes together.
    pub connections_max: Option<u32>,
    /// Set if its targets are model engines.
    pub engine: Option<EngineConfig>,
    /// Set if the number of its targets is scaled.
    pub scaling: Option<ScalingConfig>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request body.
    pub body_max_bytes: u64,
    /// Largest request head.
    pub header_max_bytes: u64,
    /// Longest time for receiving a request head.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// The complete configuration of the operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// Limits on callers.
    pub limits: Limits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services, by name.
    pub services: IndexMap<String, ServiceConfig>,
    /// Version of the configuration. A higher version replaces a lower one.
    pub version: u64,
    /// The workspaces of callers. `None` if no keys are required.
    pub workspaces: Option<Workspaces>,
}

impl Document {
    /// Returns the route of a request: the one with the longest matching prefix among those of the
    /// host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns whether requests that read or end batches of a host need no key, because one of its
    /// batch routes is public.
    pub fn has_public_batches(&self, host: &str) -> bool {
        self.routes.iter().any(|route| {
            route.is_public
                && route.kind == RouteKind::Rollout
                && route.host.eq_ignore_ascii_case(host)
        })
    }

    /// Returns whether callers' requests reach a service directly, and not only as items of batches.
    pub fn has_direct_route(&self, service: &str) -> bool {
        self.routes.iter().any(|route| {
            route.kind != RouteKind::Rollout
                && route.services.iter().any(|share| share.service == service)
        })
    }

    /// Returns the engine configuration of a service, if its targets are model engines.
    pub fn engine(&self, service: &str) -> Option<&EngineConfig> {
        self.services.get(service).and_then(|config| config.engine.as_ref())
    }
}
