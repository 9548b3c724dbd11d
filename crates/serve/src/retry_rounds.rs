//! Rounds of attempts of requests that wait without the window of a gate: no target of their service
//! can be tried, all are cold or load weights, or their route has no latency goal.

use crate::clock;
use crate::forward::OutgoingRequest;
use crate::node::Node;
use crate::platform::Platform;
use catkinmast_admission::{WaitQueue, Waiter, WaiterId};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Time between two rounds: a slot becomes free about this often.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// The waiting requests of each service.
#[derive(Debug, Default)]
pub(crate) struct RetryRounds(RefCell<IndexMap<String, Rounds>>);

#[derive(Debug, Default)]
struct Rounds {
    /// Whether a task runs that starts the next round. It ends when nothing waits.
    is_running: bool,
    queue: WaitQueue,
    waiting: IndexMap<WaiterId, oneshot::Sender<()>>,
}

/// A request's place in the queue; dropping it removes the request.
#[derive(Debug)]
struct QueuePlace<P: Platform> {
    id: WaiterId,
    node: Rc<Node<P>>,
    service: String,
}

impl<P: Platform> Drop for QueuePlace<P> {
    fn drop(&mut self) {
        if let Some(rounds) = self.node.retry_rounds.0.borrow_mut().get_mut(&self.service) {
            rounds.queue.remove(self.id);
            rounds.waiting.swap_remove(&self.id);
        }
    }
}

/// Waits until it is a request's turn to be tried again, at most until `refuse_at`.
pub(crate) async fn wait<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    outgoing: &OutgoingRequest,
    refuse_at: UnixMs,
) {
    let (turn, receiver) = oneshot::channel();
    let place = {
        let mut services = node.retry_rounds.0.borrow_mut();
        let rounds = services.entry(service.to_owned()).or_default();
        let id = rounds.queue.enqueue(waiter(outgoing, rounds.queue.next_id()));
        rounds.waiting.insert(id, turn);
        if !rounds.is_running {
            rounds.is_running = true;
            tokio::task::spawn_local(run(Rc::clone(node), service.to_owned()));
        }
        QueuePlace { id, node: Rc::clone(node), service: service.to_owned() }
    };
    let left_ms = refuse_at.since_ms(clock::now());
    // Both ends of the wait lead to one more attempt, and a refusal after `refuse_at` is final.
    let _ = timeout(Duration::from_millis(left_ms), receiver).await;
    drop(place);
}

fn waiter(outgoing: &OutgoingRequest, id: WaiterId) -> Waiter {
    Waiter {
        deadline_at: outgoing.deadline_at,
        goal_at: outgoing.deadline_at,
        id,
        is_retry: true,
        priority: outgoing.priority,
        route: outgoing.route.clone().unwrap_or_default(),
        workspace: outgoing.workspace.clone(),
    }
}

/// Starts rounds of a service until nothing waits.
async fn run<P: Platform>(node: Rc<Node<P>>, service: String) {
    while start_round(&node, &service) {
        sleep(ROUND_INTERVAL).await;
    }
}

/// Returns whether there may be another round.
fn start_round<P: Platform>(node: &Node<P>, service: &str) -> bool {
    let mut services = node.retry_rounds.0.borrow_mut();
    let Some(rounds) = services.get_mut(service) else { return false };
    let now = clock::now();
    let due = node.gates.with_served(service, |served| rounds.queue.pop_round(now, served));
    rounds.is_running = !due.is_empty();
    for waiter in due {
        if let Some(turn) = rounds.waiting.swap_remove(&waiter.id) {
            // The receiver is gone if the caller has disconnected.
            let _ = turn.send(());
        }
    }
    rounds.is_running
}
