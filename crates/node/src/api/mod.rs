//! The HTTP API of a node, for callers, trainers and operators.
//!
//! Handlers read the snapshot, use the state shared by all requests (admission, routing, tickets),
//! and send commands to the control thread. A request that cannot be served is answered at once
//! with its verdict and a retry time ([`answer::Problem`]); an answer is never delayed to slow down
//! a client's retries.

#![expect(clippy::redundant_type_annotations, reason = "written by the framework's route macros")]

mod answer;
mod call;
mod generate;
mod guard;
mod operator;
mod public;
mod ticket;
mod trainer;

use crate::shared::{InProgress, Shared};
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket, routes};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// How long the web framework waits for open connections to end when it shuts down.
///
/// The framework checks once for open connections and then waits the full time. The drain has
/// waited for all requests before that, so this only covers answers still being sent to slow
/// callers.
const STOP_GRACE_S: u32 = 5;

/// The running web server.
#[derive(Debug)]
pub(crate) struct WebServer {
    pub address: SocketAddr,
    pub shutdown: rocket::Shutdown,
    pub task: tokio::task::JoinHandle<()>,
}

/// Starts the web server at the address in the settings, and returns once it listens.
///
/// # Errors
///
/// A message for the operator if the server is misconfigured or the address cannot be bound.
pub(crate) async fn serve(shared: Arc<Shared>) -> Result<WebServer, String> {
    let http = shared.settings.http;
    let figment = rocket::Config::figment()
        .merge(("address", http.ip()))
        .merge(("port", http.port()))
        .merge(("log_level", "off"))
        .merge(("cli_colors", false))
        // By default the framework shuts down on SIGTERM, before the drain has ended.
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()))
        .merge(("shutdown.grace", STOP_GRACE_S))
        .merge(("shutdown.mercy", 1));
    let (ready, bound) = oneshot::channel();
    let rocket =
        mount(rocket::custom(figment), Arc::clone(&shared)).attach(report_bound_address(ready));
    let rocket = rocket.attach(count_requests(shared));
    let ignited = rocket.ignite().await.map_err(|error| error.pretty_print().to_string())?;
    let shutdown = ignited.shutdown();
    let task = tokio::spawn(async move {
        if let Err(error) = ignited.launch().await {
            log::error!("the web server stopped: {}", error.pretty_print());
        }
    });
    let address = bound.await.map_err(|_closed| format!("cannot listen at {http}"))?;
    Ok(WebServer { address, shutdown, task })
}

fn report_bound_address(ready: oneshot::Sender<SocketAddr>) -> AdHoc {
    let ready = std::sync::Mutex::new(Some(ready));
    AdHoc::on_liftoff("announce the bound address", move |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        let sender = crate::shared::lock(&ready).take();
        Box::pin(async move {
            if let Some(sender) = sender {
                // Sending fails only if the start was cancelled.
                let _cancelled = sender.send(address);
            }
        })
    })
}

/// Counts a request as in progress from its arrival until its answer is sent.
///
/// A graceful shutdown waits for this count to reach zero. The framework keeps a request's local
/// cache until the answer is sent, however the handler ends.
fn count_requests(shared: Arc<Shared>) -> AdHoc {
    AdHoc::on_request("count requests in progress", move |request, _| {
        let shared = Arc::clone(&shared);
        Box::pin(async move {
            request.local_cache(|| InProgress::begin(shared));
        })
    })
}

fn mount(rocket: Rocket<Build>, shared: Arc<Shared>) -> Rocket<Build> {
    rocket
        .manage(shared)
        .mount("/", routes![public::addresses, public::healthz, public::metrics, public::readyz])
        .mount("/", call::routes())
        .mount("/", routes![generate::generate])
        .mount(
            "/",
            routes![
                trainer::claim,
                trainer::fetch,
                trainer::progress,
                trainer::publish,
                trainer::register,
                trainer::submit
            ],
        )
        .mount(
            "/",
            routes![
                operator::apply,
                operator::audit,
                operator::diff_config,
                operator::drain_node,
                operator::drain_target,
                operator::history,
                operator::show,
                operator::status
            ],
        )
        .register("/", answer::catchers())
}
