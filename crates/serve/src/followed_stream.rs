//! A connection whose bytes are counted as they arrive, and whose end is announced.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What follows the events of a connection's stream.
pub(crate) trait Follower: Unpin {
    /// Counts bytes that arrived, before they are parsed.
    ///
    /// # Errors
    /// If nothing more is to be read.
    fn bytes_arrived(&self, count: usize) -> io::Result<()>;

    /// Prepares the stream for its end: it is closed right after.
    fn before_close(&self, _stream: &TcpStream) {}
}

/// A connection's stream.
#[derive(Debug)]
pub(crate) struct FollowedStream<F: Follower> {
    follower: F,
    stream: TcpStream,
}

impl<F: Follower> FollowedStream<F> {
    pub(crate) const fn new(stream: TcpStream, follower: F) -> Self {
        Self { follower, stream }
    }
}

impl<F: Follower> Drop for FollowedStream<F> {
    fn drop(&mut self) {
        self.follower.before_close(&self.stream);
    }
}

impl<F: Follower> AsyncRead for FollowedStream<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - filled_before;
        if count > 0 {
            self.follower.bytes_arrived(count)?;
        }
        polled
    }
}

impl<F: Follower> AsyncWrite for FollowedStream<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
