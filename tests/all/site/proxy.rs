//! A loopback TCP proxy that delays bytes, closes connections, or blocks one or both directions.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the proxy does with the bytes it receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Link {
    /// Forwards each chunk after a delay.
    Delays(Duration),
    /// Answers each request with these bytes in place of the target's answer: the part before `|` once,
    /// the rest again and again.
    Floods(&'static str),
    /// Forwards at once.
    Open,
    /// Closes the direction of a connection in which bytes arrive, without a TCP reset.
    Resets,
    /// Forwards nothing in the given directions: from the target (`answers`) or to it (`requests`).
    Silent { answers: bool, requests: bool },
}

/// A running proxy; its tasks end with the test's runtime.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    link: Arc<Mutex<Link>>,
}

impl Proxy {
    /// Starts a proxy that connects to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let link = Arc::new(Mutex::new(Link::Open));
        let shared = Arc::clone(&link);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let Ok(target) = TcpStream::connect(target).await else { continue };
                let (from_caller, to_caller) = caller.into_split();
                let (from_target, to_target) = target.into_split();
                tokio::spawn(forward(from_caller, to_target, Arc::clone(&shared), false));
                tokio::spawn(forward(from_target, to_caller, Arc::clone(&shared), true));
            }
        });
        Self { address, link }
    }

    /// Changes what the proxy does, also on open connections.
    pub(crate) fn set(&self, link: Link) {
        *self.link.lock().expect("no test panics while it holds a link") = link;
    }
}

async fn forward(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    link: Arc<Mutex<Link>>,
    is_answer: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let now = *link.lock().expect("no test panics while it holds a link");
        match now {
            Link::Open => {}
            Link::Delays(time) => tokio::time::sleep(time).await,
            Link::Resets => return,
            Link::Floods(bytes) => {
                if is_answer {
                    flood(&mut to, bytes).await;
                    return;
                }
            }
            Link::Silent { answers, requests } => {
                if if is_answer { answers } else { requests } {
                    // Bytes read from a silent link are lost, so the connection cannot be used
                    // again.
                    std::future::pending::<()>().await;
                }
            }
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Sends bytes again and again, at most as many as end a failing test in time.
async fn flood(to: &mut (impl AsyncWriteExt + Unpin), bytes: &str) {
    const SENT_MAX_BYTES: usize = 256 << 20;
    let (start, repeated) = bytes.split_once('|').unwrap_or(("", bytes));
    let block = repeated.repeat((16 << 10) / repeated.len());
    let mut sent_bytes = 0;
    if to.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    while sent_bytes < SENT_MAX_BYTES && to.write_all(block.as_bytes()).await.is_ok() {
        sent_bytes += block.len();
    }
}
