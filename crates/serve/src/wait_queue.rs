//! Waiting of requests while all targets of their service are overloaded.

use crate::clock;
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_dispatch::WaiterId;
use catkinmast_model::UnixMs;
use std::rc::Rc;

/// A request's place in the wait queue of a service; dropping it removes the request from the
/// queue.
#[derive(Debug)]
pub(crate) struct QueuePlace<P: Platform> {
    id: WaiterId,
    node: Rc<Node<P>>,
    service: String,
}

impl<P: Platform> QueuePlace<P> {
    /// Adds a request that arrived at `since` to the wait queue.
    pub(crate) fn enqueue(
        node: &Rc<Node<P>>,
        service: &str,
        since: UnixMs,
        workspace: Option<&str>,
        priority: u32,
    ) -> Self {
        let mut queues = node.wait_queues.borrow_mut();
        let id = queues.entry(service.to_owned()).or_default().enqueue(since, workspace, priority);
        Self { id, node: Rc::clone(node), service: service.to_owned() }
    }

    /// Returns whether the request is next in the queue and may be sent.
    pub(crate) fn is_due(&self) -> bool {
        let mut queues = self.node.wait_queues.borrow_mut();
        queues.get_mut(&self.service).is_none_or(|queue| queue.is_due(clock::now(), self.id))
    }
}

impl<P: Platform> Drop for QueuePlace<P> {
    fn drop(&mut self) {
        if let Some(queue) = self.node.wait_queues.borrow_mut().get_mut(&self.service) {
            queue.remove(self.id);
        }
    }
}

/// Records that a request of a workspace was served, for fair queueing between workspaces.
pub(crate) fn request_served<P: Platform>(node: &Node<P>, service: &str, workspace: Option<&str>) {
    let mut queues = node.wait_queues.borrow_mut();
    queues.entry(service.to_owned()).or_default().record_served(clock::now(), workspace);
}
