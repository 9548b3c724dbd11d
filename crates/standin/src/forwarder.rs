//! A TCP forwarder that simulates network faults between two processes.
//!
//! [`Forwarder::cut`] closes all connections, including new ones. [`Forwarder::hold`] keeps
//! connections open but forwards no bytes. It holds them as the kernel of a sender does whose
//! network is down: they arrive later, unless the connection is reset.

use crate::web::StandinError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How much later than held bytes the rest of their connection arrives. A server that reads the end
/// of a connection together with a request may not run the request.
const REST_DELAY: Duration = Duration::from_millis(100);
/// Most held bytes of a connection that arrive before the rest.
const HELD_MAX_BYTES: usize = 16 << 10;

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
    resets: Arc<AtomicUsize>,
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
        let resets = Arc::new(AtomicUsize::new(0));
        let task = tokio::spawn(accept(listener, to, Arc::clone(&mode), Arc::clone(&resets)));
        Ok(Self { address, mode, resets, task })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many clients have reset a connection that was held.
    pub fn resets(&self) -> usize {
        self.resets.load(Ordering::SeqCst)
    }

    /// Forwards connections in both directions; the initial mode.
    pub fn pass(&self) {
        self.mode.send_replace(Mode::Pass);
    }

    /// Closes all open connections, and new ones as soon as they are accepted.
    pub fn cut(&self) {
        self.mode.send_replace(Mode::Cut);
    }

    /// Keeps connections open without forwarding any bytes. Held bytes of a client that resets its
    /// connection are lost.
    pub fn hold(&self) {
        self.mode.send_replace(Mode::Hold);
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    resets: Arc<AtomicUsize>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(forward(stream, to, mode.subscribe(), Arc::clone(&resets)));
    }
}

async fn forward(
    mut client: TcpStream,
    to: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    resets: Arc<AtomicUsize>,
) {
    let Ok(mut server) = TcpStream::connect(to).await else { return };
    let mut was_held = false;
    loop {
        let current = *mode.borrow_and_update();
        match current {
            Mode::Cut => return,
            Mode::Hold => {
                was_held = true;
                tokio::select! {
                    changed = mode.changed() => if changed.is_err() { return },
                    _ = client.ready(Interest::ERROR) => {
                        resets.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                }
            }
            Mode::Pass => {
                if std::mem::take(&mut was_held) && !deliver_held(&mut client, &mut server).await {
                    return;
                }
                tokio::select! {
                    _ = copy_bidirectional(&mut client, &mut server) => return,
                    changed = mode.changed() => if changed.is_err() { return },
                }
            }
        }
    }
}

/// Forwards what a client sent while its connection was held. Returns whether the connection lasts.
async fn deliver_held(client: &mut TcpStream, server: &mut TcpStream) -> bool {
    if !client.take_error().is_ok_and(|error| error.is_none()) {
        return false;
    }
    let mut held = vec![0; HELD_MAX_BYTES];
    // A connection without held bytes is not waited for.
    let read = tokio::time::timeout(REST_DELAY, client.read(&mut held)).await;
    let Ok(Ok(length @ 1..)) = read else { return read.is_err() };
    let delivered = server.write_all(&held[..length]).await.is_ok();
    tokio::time::sleep(REST_DELAY).await;
    delivered
}
