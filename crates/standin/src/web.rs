//! The HTTP server that all stand-ins share.

use displaydoc::Display;
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// A stand-in could not be started: {message}
#[derive(Clone, Debug, Display)]
pub struct StandinError {
    /// The cause of the failure.
    pub message: String,
}

impl std::error::Error for StandinError {}

/// The running HTTP server of a stand-in.
#[derive(Debug)]
pub struct WebServer {
    address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl WebServer {
    /// Serves the routes that `mount` adds at `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        mount: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
    ) -> Result<Self, StandinError> {
        let figment = rocket::Config::figment()
            .merge(("address", address.ip()))
            .merge(("port", address.port()))
            .merge(("log_level", "off"))
            .merge(("shutdown.ctrlc", false))
            .merge(("shutdown.signals", Vec::<String>::new()))
            .merge(("shutdown.grace", 0))
            .merge(("shutdown.mercy", 0));
        let (ready, bound) = oneshot::channel();
        let ready = std::sync::Mutex::new(Some(ready));
        let report_address = AdHoc::on_liftoff("announce", move |rocket| {
            let address = SocketAddr::new(rocket.config().address, rocket.config().port);
            let sender = ready.lock().ok().and_then(|mut sender| sender.take());
            Box::pin(async move {
                if let Some(sender) = sender {
                    // The receiver is gone if the caller stopped waiting for the start.
                    let _closed = sender.send(address);
                }
            })
        });
        let rocket = mount(rocket::custom(figment)).attach(report_address);
        let task = tokio::spawn(async move {
            if let Err(error) = rocket.launch().await {
                log::error!("web server of a stand-in stopped: {}", error.pretty_print());
            }
        });
        let address = bound
            .await
            .map_err(|_closed| StandinError { message: format!("cannot bind {address}") })?;
        Ok(Self { address, task })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving abruptly, as a crash would.
    pub fn crash(&self) {
        self.task.abort();
    }
}

impl Drop for WebServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
