//! Counts of what is in progress, such as requests and connections.

use hyper::body::{Body, Frame, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A count of what is in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveCount(Rc<Cell<usize>>);

impl ActiveCount {
    /// Counts one more until the guard is dropped.
    pub(crate) fn begin(&self) -> ActiveGuard {
        self.0.set(self.0.get() + 1);
        ActiveGuard(self.clone())
    }

    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }
}

/// One that is in progress.
#[derive(Debug)]
pub(crate) struct ActiveGuard(ActiveCount);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get().saturating_sub(1));
    }
}

/// A body that drops a guard when it was sent, or when it is dropped before that.
#[derive(Debug)]
pub(crate) struct GuardedBody<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    pub(crate) const fn new(body: B, guard: G) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B: Body + Unpin, G: Unpin> Body for GuardedBody<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
