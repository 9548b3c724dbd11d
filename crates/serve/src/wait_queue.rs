//! A request's wait for its turn while all targets of its service refuse for load.

use crate::clock;
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_dispatch::WaiterId;
use catkinmast_model::UnixMs;
use std::rc::Rc;

/// A request that waits; it leaves when this is dropped.
#[derive(Debug)]
pub(crate) struct QueuePlace<P: Platform> {
    id: WaiterId,
    node: Rc<Node<P>>,
    service: String,
}

impl<P: Platform> QueuePlace<P> {
    /// Begins to wait for a request that came `since`.
    pub(crate) fn wait(
        node: &Rc<Node<P>>,
        service: &str,
        since: UnixMs,
        workspace: Option<&str>,
        priority: u32,
    ) -> Self {
        let mut turns = node.wait_queues.borrow_mut();
        let id = turns.entry(service.to_owned()).or_default().enqueue(since, workspace, priority);
        Self { id, node: Rc::clone(node), service: service.to_owned() }
    }

    /// Tells whether it is this request's turn.
    pub(crate) fn is_due(&self) -> bool {
        let mut turns = self.node.wait_queues.borrow_mut();
        turns.get_mut(&self.service).is_none_or(|turns| turns.is_due(clock::now(), self.id))
    }
}

impl<P: Platform> Drop for QueuePlace<P> {
    fn drop(&mut self) {
        if let Some(turns) = self.node.wait_queues.borrow_mut().get_mut(&self.service) {
            turns.remove(self.id);
        }
    }
}

/// Takes it that a request of a workspace was served.
pub(crate) fn request_served<P: Platform>(node: &Node<P>, service: &str, workspace: Option<&str>) {
    let mut turns = node.wait_queues.borrow_mut();
    turns.entry(service.to_owned()).or_default().record_served(clock::now(), workspace);
}
