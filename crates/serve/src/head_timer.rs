//! The time that a caller may take to send the head of a request, from its first byte.
//!
//! hyper's own time-out also runs while a connection is idle, so it cannot be shorter than callers
//! may keep an idle connection.

use crate::followed_stream::Follower;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Follows the heads that arrive on one connection.
#[derive(Clone, Debug)]
pub(crate) struct HeadTimer(Rc<State>);

#[derive(Debug)]
struct State {
    /// Requests whose heads are complete and whose answers are not sent.
    exchanges: Cell<usize>,
    /// When the head that has begun to arrive is to be complete.
    head_due_at: Cell<Option<Instant>>,
    begun: Notify,
    timeout: Duration,
}

impl HeadTimer {
    pub(crate) fn new(timeout: Duration) -> Self {
        Self(Rc::new(State {
            exchanges: Cell::new(0),
            head_due_at: Cell::new(None),
            begun: Notify::new(),
            timeout,
        }))
    }

    /// Records that a head is complete. Bytes count as part of the next head once the returned
    /// value is dropped.
    pub(crate) fn begin_exchange(&self) -> Exchange {
        self.0.exchanges.set(self.0.exchanges.get() + 1);
        self.0.head_due_at.set(None);
        Exchange(self.clone())
    }

    /// Waits until a head is overdue.
    pub(crate) async fn overdue(&self) {
        loop {
            match self.0.head_due_at.get() {
                None => self.0.begun.notified().await,
                Some(due_at) => {
                    sleep_until(due_at).await;
                    if self.0.head_due_at.get() == Some(due_at) {
                        return;
                    }
                }
            }
        }
    }
}

impl Follower for HeadTimer {
    fn bytes_arrived(&self, _count: usize) -> io::Result<()> {
        if self.0.exchanges.get() == 0 && self.0.head_due_at.get().is_none() {
            self.0.head_due_at.set(Some(Instant::now() + self.0.timeout));
            self.0.begun.notify_one();
        }
        Ok(())
    }
}

/// A request whose answer is not sent.
#[derive(Debug)]
pub(crate) struct Exchange(HeadTimer);

impl Drop for Exchange {
    fn drop(&mut self) {
        let exchanges = &self.0.0.exchanges;
        exchanges.set(exchanges.get().saturating_sub(1));
    }
}
