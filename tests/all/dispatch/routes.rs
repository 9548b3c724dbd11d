//! Which route a request takes, and which service.

use catkinmast_dispatch::{Document, Limits, Route, RouteKind, WeightedService};
use indexmap::IndexMap;

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, u64)]) -> Route {
    Route {
        attempts: 2,
        give_up_ms: None,
        host: host.to_owned(),
        is_public: false,
        kind: RouteKind::Idempotent,
        name: name.to_owned(),
        prefix: prefix.to_owned(),
        priority: 1,
        resumable: false,
        results_due_ms: None,
        services: shares
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
        single_version: false,
        timeout_ms: None,
        latency_goal_ms: 100,
    }
}

fn document(routes: Vec<Route>) -> Document {
    let limits =
        Limits { body_max_bytes: 1, header_max_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    Document { limits, routes, services: IndexMap::new(), version: 1, workspaces: None }
}

#[yare::parameterized(
    longest_prefix = { "h", "/a/b/c", Some("long") },
    shorter_prefix = { "h", "/a/x", Some("short") },
    host_in_capitals = { "H", "/a/x", Some("short") },
    other_host = { "other", "/a/x", None },
    no_prefix = { "h", "/ab", None },
)]
fn a_request_takes_the_longest_prefix_of_its_host(host: &str, path: &str, name: Option<&str>) {
    let document = document(vec![
        route("short", "h", "/a/", &[("s", 1)]),
        route("long", "h", "/a/b/", &[("s", 1)]),
    ]);

    assert_eq!(document.route(host, path).map(|route| route.name.as_str()), name);
}

#[test]
fn a_split_route_shares_in_proportion_to_its_weights() {
    let route = route("split", "h", "/", &[("big", 90), ("small", 10), ("none", 0)]);

    let small = (0..1_000).filter(|draw| route.service(*draw) == Some("small")).count();
    let none = (0..1_000).filter(|draw| route.service(*draw) == Some("none")).count();

    assert_eq!((small, none), (100, 0));
}
