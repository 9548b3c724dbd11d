//! A TCP forwarder that simulates network faults between two processes.
//!
//! [`Forwarder::cut`] closes all connections, including new ones. [`Forwarder::hold`] keeps
//! connections open but forwards no bytes.

use crate::web::StandinError;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How the forwarder treats connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    Cut,
    Hold,
    Pass,
}

/// A running forwarder.
#[derive(Debug)]
pub struct Forwarder {
    address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    task: tokio::task::JoinHandle<()>,
}

impl Forwarder {
    /// Starts to forward connections from `address` to `to`.
    ///
    /// # Errors
    /// Fails if `address` cannot be bound.
    pub async fn spawn(address: SocketAddr, to: SocketAddr) -> Result<Self, StandinError> {
        let start_error = |error: std::io::Error| StandinError { message: error.to_string() };
        let listener = TcpListener::bind(address).await.map_err(start_error)?;
        let address = listener.local_addr().map_err(start_error)?;
        let mode = Arc::new(watch::channel(Mode::Pass).0);
        let task = tokio::spawn(accept(listener, to, Arc::clone(&mode)));
        Ok(Self { address, mode, task })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards connections in both directions; the initial mode.
    pub fn pass(&self) {
        self.mode.send_replace(Mode::Pass);
    }

    /// Closes all open connections, and new ones as soon as they are accepted.
    pub fn cut(&self) {
        self.mode.send_replace(Mode::Cut);
    }

    /// Keeps connections open without forwarding any bytes.
    pub fn hold(&self) {
        self.mode.send_replace(Mode::Hold);
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, mode: Arc<watch::Sender<Mode>>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(forward(stream, to, mode.subscribe()));
    }
}

async fn forward(mut client: TcpStream, to: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let Ok(mut server) = TcpStream::connect(to).await else { return };
    loop {
        let current = *mode.borrow_and_update();
        match current {
            Mode::Cut => return,
            Mode::Hold => {
                if mode.changed().await.is_err() {
                    return;
                }
            }
            Mode::Pass => {
                tokio::select! {
                    _ = copy_bidirectional(&mut client, &mut server) => return,
                    changed = mode.changed() => if changed.is_err() { return },
                }
            }
        }
    }
}
