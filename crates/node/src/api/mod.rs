//! The HTTP interface of a node, for callers, trainers and operators.
//!
//! Handlers read the snapshot, ask the aggregates on the request path, and hand commands to the
//! control thread. Whatever is given up on is answered at once with its verdict and the time to
//! come back ([`answer::Problem`]); nothing is held back to keep a client from asking again.

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

/// How long the web framework lets connections end once it is told to stop.
///
/// It looks once whether any connection is open, and then waits the whole time. The drain has
/// waited for every request before that, so this only has to flush what a slow caller still reads.
const STOP_GRACE_S: u32 = 5;

/// The running web server.
#[derive(Debug)]
pub(crate) struct WebServer {
    pub address: SocketAddr,
    pub shutdown: rocket::Shutdown,
    pub task: tokio::task::JoinHandle<()>,
}

/// Serves the interface at the address of the settings.
pub(crate) async fn serve(shared: Arc<Shared>) -> Result<WebServer, String> {
    let http = shared.settings.http;
    let figment = rocket::Config::figment()
        .merge(("address", http.ip()))
        .merge(("port", http.port()))
        .merge(("log_level", "off"))
        .merge(("cli_colors", false))
        // The framework would stop by itself on SIGTERM, in the middle of the drain.
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()))
        .merge(("shutdown.grace", STOP_GRACE_S))
        .merge(("shutdown.mercy", 1));
    let (ready, bound) = oneshot::channel();
    let rocket = mount(rocket::custom(figment), Arc::clone(&shared)).attach(announce(ready));
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

fn announce(ready: oneshot::Sender<SocketAddr>) -> AdHoc {
    let ready = std::sync::Mutex::new(Some(ready));
    AdHoc::on_liftoff("announce the bound address", move |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        let sender = crate::shared::lock(&ready).take();
        Box::pin(async move {
            if let Some(sender) = sender {
                // Nobody waits any more when the start was given up.
                let _unheard = sender.send(address);
            }
        })
    })
}

/// Counts a request from its arrival until the last piece of its answer was handed over.
///
/// A planned stop waits for this count. The framework keeps a request's cache until its answer
/// was sent, whichever way the handler ended.
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
