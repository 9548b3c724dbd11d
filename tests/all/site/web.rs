//! A small HTTP server for stand-ins, whose connections can be closed by the test.

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The body of a stand-in's response.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;
/// A stand-in's response; `None` closes the connection without one.
pub(crate) type Answer = Option<http::Response<AnswerBody>>;

/// Builds a response with a fixed body.
pub(crate) fn answer(status: u16, body: impl Into<Bytes>) -> http::Response<AnswerBody> {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed_unsync();
    http::Response::builder().status(status).body(body).expect("a plain answer")
}

/// A listening server. Dropping it closes the listener and all its connections.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    close: watch::Sender<u64>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
        self.close_connections();
    }
}

impl Server {
    /// Starts a server on a free loopback port.
    pub(crate) async fn bind<H>(handle: H) -> Self
    where
        H: Fn(http::Request<Incoming>) -> BoxFuture<'static, Answer> + Send + Sync + 'static,
    {
        Self::bind_at(SocketAddr::from(([127, 0, 0, 1], 0)), handle).await
    }

    /// Starts a server on an address.
    pub(crate) async fn bind_at<H>(address: SocketAddr, handle: H) -> Self
    where
        H: Fn(http::Request<Incoming>) -> BoxFuture<'static, Answer> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (close, closes) = watch::channel(0);
        let handle = Arc::new(handle);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (handle, mut closes) = (Arc::clone(&handle), closes.clone());
                closes.mark_unchanged();
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let answer = handle(request);
                        async move { answer.await.ok_or_else(|| std::io::Error::other("cut")) }
                    });
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        _ = connection => {}
                        _ = closes.changed() => {}
                    }
                });
            }
        });
        Self { address, close, task }
    }

    /// Closes all open connections.
    pub(crate) fn close_connections(&self) {
        self.close.send_modify(|count| *count += 1);
    }
}
