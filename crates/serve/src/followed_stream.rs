//! A connection whose bytes are counted as they arrive.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is done with the bytes that arrive on a connection, before they are parsed.
pub(crate) trait OnRead: Unpin {
    /// Counts bytes.
    ///
    /// # Errors
    /// If nothing more is to be read.
    fn bytes_arrived(&self, count: usize) -> io::Result<()>;
}

/// A connection's stream.
#[derive(Debug)]
pub(crate) struct FollowedStream<O> {
    on_read: O,
    stream: TcpStream,
}

impl<O: OnRead> FollowedStream<O> {
    pub(crate) const fn new(stream: TcpStream, on_read: O) -> Self {
        Self { on_read, stream }
    }
}

impl<O: OnRead> AsyncRead for FollowedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - filled_before;
        if count > 0 {
            self.on_read.bytes_arrived(count)?;
        }
        polled
    }
}

impl<O: OnRead> AsyncWrite for FollowedStream<O> {
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
