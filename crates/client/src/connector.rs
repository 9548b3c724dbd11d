//! Opens connections that are reset when they end.

use futures::TryFutureExt;
use futures::future::MapOk;
use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tower_service::Service;

type Connecting = <HttpConnector as Service<Uri>>::Future;
type Connection = TokioIo<TcpStream>;

/// Opens TCP connections with a linger of 0.
#[derive(Clone, Debug)]
pub(crate) struct ResettingConnector(HttpConnector);

impl ResettingConnector {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        Self(connector)
    }
}

impl Service<Uri> for ResettingConnector {
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = MapOk<Connecting, fn(Connection) -> Connection>;
    type Response = Connection;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        self.0.call(req).map_ok(reset_at_end as fn(Connection) -> Connection)
    }
}

fn reset_at_end(connection: Connection) -> Connection {
    // Fails only if this is no socket.
    let _no_socket = SockRef::from(connection.inner()).set_linger(Some(Duration::ZERO));
    connection
}
