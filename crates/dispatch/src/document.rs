//! The operators' configuration as the request path reads it.

use catkinmast_access::Workspaces;
use catkinmast_scaling::ScalingConfig;
use indexmap::IndexMap;

/// What may be repeated of a route's requests, and how they are run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of the caller.
    NonIdempotent,
    /// Batch submissions, whose items run later.
    Rollout,
    /// A stream of events.
    Stream,
}

/// One service of a route and its share of the requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the other weights of the route.
    pub weight: u64,
}

/// A route: which requests go to which service, and on which terms.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Most targets that one attempt of the caller may be sent to.
    pub attempts: u32,
    /// How long after its first submission an item may be given up.
    pub give_up_ms: Option<u64>,
    /// The host whose requests it takes.
    pub host: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Whether its requests carry no key.
    pub is_public: bool,
    /// Its name.
    pub name: String,
    /// The path prefix, beginning and ending with a slash.
    pub prefix: String,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Whether a stream may go on at another target.
    pub resumable: bool,
    /// When all results of a batch submission are due, after it was first submitted.
    pub run_target_ms: Option<u64>,
    /// Where the requests go.
    pub services: Vec<WeightedService>,
    /// Whether one weight version must have produced a whole sample.
    pub single_version: bool,
    /// The longest that a request is kept waiting.
    pub timeout_ms: Option<u64>,
    /// The time within which an answer is worth its full value.
    pub target_latency_ms: u64,
}

impl Route {
    /// Chooses the service for a draw from `0..u64::MAX`, in proportion to the weights.
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

    /// Tells whether a request may be sent again after one that may have run.
    pub const fn repeatable(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent)
    }
}

/// What a service's model engines are.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineConfig {
    /// The models that they serve.
    pub models: Vec<String>,
    /// Requests that one engine runs at once.
    pub slots: u32,
}

/// A service's terms.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceConfig {
    /// Connections that one target accepts from all of us.
    pub connections_max: Option<u32>,
    /// Set where its targets are model engines.
    pub engine: Option<EngineConfig>,
    /// Set where the number of its targets is ordered.
    pub scaling: Option<ScalingConfig>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request body.
    pub body_max_bytes: u64,
    /// Largest request head.
    pub header_max_bytes: u64,
    /// How long a head may take.
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// The operators' configuration, whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// Bounds on callers.
    pub limits: Limits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: IndexMap<String, ServiceConfig>,
    /// Its version; a higher one replaces it.
    pub version: u64,
    /// The workspaces of callers; none where no keys are asked for.
    pub workspaces: Option<Workspaces>,
}

impl Document {
    /// Finds the route of a request: that with the longest prefix among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Tells whether calls about the batches of a host need no key: one of its batch routes is public.
    pub fn has_public_batches(&self, host: &str) -> bool {
        self.routes.iter().any(|route| {
            route.is_public
                && route.kind == RouteKind::Rollout
                && route.host.eq_ignore_ascii_case(host)
        })
    }

    /// Tells whether a service's targets are model engines.
    pub fn engine(&self, service: &str) -> Option<&EngineConfig> {
        self.services.get(service).and_then(|terms| terms.engine.as_ref())
    }
}
