//! Holds the lease of a duty, with a fencing number.
//!
//! A duty is a job that one node at a time does for all nodes. The receivers of its calls may
//! ignore the fencing number. So the holder stops before its lease can lapse, by a clock that also
//! runs while the instance is suspended, and a new holder waits until no call of the previous one
//! can still arrive. A holder keeps the duty while it lives; if no live holder is known, the first
//! in rank takes it. A holder that cannot do the work names its successor.

use crate::clock;
use crate::node::Node;
use crate::peers::{self, Owner};
use crate::platform::Platform;
use crate::store::{LeaseId, StoreAnswer, StoreCall, StoredItem};
use catkinmast_lease::{Action, Change, HolderRecord, LeaseClaim, LeaseSettings, Report};
use catkinmast_member::OwnerFact;
use catkinmast_model::{Fence, Name, UnixMs, Verdict};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Duration of the lease without renewal: long enough for a slow store, which takes half a second,
/// and short enough that a dead holder's successor begins before the next step of a trainer.
const LEASE_TTL_MS: u64 = 2_500;
/// The holder stops this long before the lease lapses. The successor's wait after the lapse is
/// shorter by this margin, so a larger margin shortens the time without a holder. The rest of the
/// lease covers one lost renewal and one that a slow store answers after half a second.
const LEASE_MARGIN_MS: u64 = 1_200;
/// Interval of the renewals.
const LEASE_RENEW_MS: u64 = 500;
/// Delay after a failed attempt to take, read or renew the lease.
const LEASE_RETRY_MS: u64 = 300;
/// Added to a new holder's wait, for calls of the previous holder that are in flight.
const IN_FLIGHT_MS: u64 = 200;
/// How long a node that has stepped down does not take the duty again.
const STEP_DOWN_MS: u64 = 10_000;

/// This node's claim to one duty.
#[derive(Debug)]
pub(crate) struct DutyLease {
    duty: &'static str,
    /// Whether this incarnation has held the duty.
    held_since_start: Cell<bool>,
    /// Whether the previous incarnation of this node held the duty when it ended.
    held_before: bool,
    key: &'static str,
    lease: Cell<Option<LeaseId>>,
    record: HolderRecord,
    stepped_down_until: Cell<UnixMs>,
    claim: RefCell<LeaseClaim>,
}

impl DutyLease {
    /// Opens a claim that does not hold the duty yet; none before this node has joined the fleet.
    pub(crate) async fn open<P: Platform>(
        node: &Rc<Node<P>>,
        duty: &'static str,
        key: &'static str,
    ) -> Option<Rc<Self>> {
        let me = peers::me(node)?;
        let record = HolderRecord { incarnation: me.incarnation, node: me.node };
        let settings = node.settings();
        let claim = LeaseClaim::open_with(
            record.clone(),
            LeaseSettings {
                margin_ms: LEASE_MARGIN_MS,
                order_flight_ms: (settings.order_lease_ms + IN_FLIGHT_MS)
                    .saturating_sub(LEASE_MARGIN_MS),
                renew_every_ms: LEASE_RENEW_MS,
                retry_every_ms: LEASE_RETRY_MS,
                ttl_ms: LEASE_TTL_MS.max(settings.lease_min_ms),
            },
        );
        let held_before = held_before(node, key, &record).await;
        Some(Rc::new(Self {
            duty,
            held_since_start: Cell::new(false),
            held_before,
            key,
            lease: Cell::new(None),
            record,
            stepped_down_until: Cell::new(UnixMs(0)),
            claim: RefCell::new(claim),
        }))
    }

    /// Returns the fencing number while the duty is held.
    pub(crate) fn fence(&self, now: UnixMs) -> Option<Fence> {
        self.claim.borrow().fence(now)
    }

    /// Returns the fencing number while the duty is held and the wait for calls of the previous
    /// holder is over.
    pub(crate) fn order_fence(&self, now: UnixMs) -> Option<Fence> {
        self.claim.borrow().order_fence(now)
    }

    /// Borrows the key whose revision is the fencing number.
    pub(crate) const fn key(&self) -> &'static str {
        self.key
    }

    /// Takes, renews, reads or releases the lease, as far as due.
    pub(crate) fn tick<P: Platform>(self: &Rc<Self>, node: &Rc<Node<P>>) {
        let now = clock::now();
        if self.fence(now).is_some() {
            self.held_since_start.set(true);
        }
        let wanted = self.is_wanted(node, now);
        let (action, change) = self.claim.borrow_mut().tick(now, wanted);
        self.announce_change(node, change);
        if let Some(action) = action {
            let (duty_lease, node) = (Rc::clone(self), Rc::clone(node));
            tokio::task::spawn_local(async move { duty_lease.carry_out(&node, action).await });
        }
    }

    fn is_wanted<P: Platform>(&self, node: &Node<P>, now: UnixMs) -> bool {
        if node.leaving.get() || now < self.stepped_down_until.get() {
            return false;
        }
        if self.held_before && !self.held_since_start.get() {
            return true;
        }
        match peers::holder_of(node, &self.name()) {
            Some(holder) => self.record.node == holder,
            None => peers::is_first_for(node, self.duty),
        }
    }

    /// Announces the next node in rank as holder, because this one cannot do the work, and does not
    /// take the duty again for some time. Does nothing if no other live node is known.
    pub(crate) fn step_down<P: Platform>(&self, node: &Node<P>, why: &str) {
        let now = clock::now();
        let Some(fence) = self.fence(now) else { return };
        let Some(successor) = peers::successor_for(node, self.duty) else { return };
        self.stepped_down_until.set(now.plus(STEP_DOWN_MS));
        let line = json!({ "duty": self.duty, "successor": successor.node, "why": why });
        node.note("duty_resigned", line);
        let Owner { incarnation, node: name, .. } = successor;
        // One above the number of this node, so that the announcement replaces this node's.
        let fence = Fence(fence.0 + 1);
        // The holder of a duty is announced like the owner of a trainer, with the duty's name.
        let fact = OwnerFact { fence, incarnation, node: name, trainer: self.name() };
        peers::announce_holder(node, fact);
    }

    fn name(&self) -> Name {
        peers::to_node_name(self.duty)
    }

    fn announce_change<P: Platform>(&self, node: &Node<P>, change: Option<Change>) {
        match change {
            None => {}
            Some(Change::Lapsed) => node.note("duty_lost", json!({ "duty": self.duty })),
            Some(Change::Gained(fence)) => {
                node.note("duty_gained", json!({ "duty": self.duty, "fence": fence.0 }));
                let HolderRecord { incarnation, node: name } = self.record.clone();
                let fact = OwnerFact { fence, incarnation, node: name, trainer: self.name() };
                peers::announce_holder(node, fact);
            }
        }
    }

    async fn carry_out<P: Platform>(&self, node: &Rc<Node<P>>, action: Action) {
        let report = match action {
            Action::Take => self.take(node).await,
            Action::Read => self.read(node).await,
            Action::Renew => self.renew(node).await,
            Action::Release => {
                if let Some(lease) = self.lease.take() {
                    // If the release is lost, the successor waits until the lease lapses.
                    drop(node.store(&StoreCall::LeaseEnd { lease }).await);
                }
                return;
            }
        };
        let now = clock::now();
        let change = self.claim.borrow_mut().report(now, &report);
        self.announce_change(node, change);
        if change.is_some() {
            let at_once = self.order_fence(now).is_some();
            node.note("duty_report", json!({ "duty": self.duty, "acts_at_once": at_once }));
        }
    }

    async fn take<P: Platform>(&self, node: &Node<P>) -> Report {
        let ttl_ms = LEASE_TTL_MS.max(node.settings().lease_min_ms);
        let opened = node.store(&StoreCall::LeaseOpen { ttl_ms }).await;
        let Ok(StoreAnswer::Lease { lease: Some(lease), .. }) = opened else {
            return Report::Refused;
        };
        self.lease.set(Some(lease));
        let Ok(value) = postcard::to_stdvec(&self.record) else { return Report::Refused };
        match node.store_under_lease(self.key, 0, lease, &value).await {
            Ok(StoreAnswer::Committed { revision }) => Report::Taken(Fence(revision)),
            Ok(StoreAnswer::Conflict { items }) => {
                let Some(item) = items.first() else { return Report::Refused };
                let Some(was_held) = self.was_held_by_self(item) else { return Report::Refused };
                match node.store_under_lease(self.key, item.revision, lease, &value).await {
                    Ok(StoreAnswer::Committed { revision }) if was_held => {
                        Report::TakenFromSelf(Fence(revision))
                    }
                    Ok(StoreAnswer::Committed { revision }) => Report::Taken(Fence(revision)),
                    Ok(_) => Report::Refused,
                    Err(_) => Report::Unknown,
                }
            }
            Ok(_) => Report::Refused,
            Err(refusal) if refusal.verdict == Verdict::NotRun => Report::Refused,
            Err(_) => Report::Unknown,
        }
    }

    /// Returns whether this node, or an earlier incarnation of it, has held the duty under a key; none
    /// if the key is of another node.
    ///
    /// A key of this incarnation outlives its holding, because the store lets no lease lapse during
    /// an outage. It can also come from a write without an answer, under which the duty was never
    /// held: the orders of a holder before it may still arrive.
    fn was_held_by_self(&self, item: &StoredItem) -> Option<bool> {
        let held = postcard::from_bytes::<HolderRecord>(&item.value).ok()?;
        if held.node != self.record.node || held.incarnation > self.record.incarnation {
            return None;
        }
        let is_of_earlier_incarnation = held.incarnation < self.record.incarnation;
        Some(is_of_earlier_incarnation || self.claim.borrow().has_held(Fence(item.revision)))
    }

    async fn read<P: Platform>(&self, node: &Node<P>) -> Report {
        let call = StoreCall::Get { key: self.key.to_owned(), may_be_old: false };
        match node.store(&call).await {
            // The key is bound to another lease than the one that this node renews. If that is an
            // earlier lease of this node, it will lapse and another node will take the duty, while
            // renewals of the new lease succeed.
            Ok(StoreAnswer::Item(Some(item))) if item.lease != self.lease.get() => {
                Report::Read(None)
            }
            Ok(StoreAnswer::Item(Some(item))) => {
                let record = postcard::from_bytes(&item.value).ok();
                Report::Read(record.map(|record| (record, Fence(item.revision))))
            }
            Ok(_) => Report::Read(None),
            Err(_) => Report::Unknown,
        }
    }

    async fn renew<P: Platform>(&self, node: &Node<P>) -> Report {
        let Some(lease) = self.lease.get() else { return Report::Refused };
        match node.store(&StoreCall::LeaseRenew { lease }).await {
            Ok(StoreAnswer::Lease { .. }) => Report::Renewed,
            Ok(_) => Report::Refused,
            Err(_) => Report::Unknown,
        }
    }
}

/// Returns whether the previous incarnation of this node held the lease when it ended. If so, this
/// node takes the duty at once; another would wait for the lapse, and then for calls in flight.
async fn held_before<P: Platform>(
    node: &Node<P>,
    key: &'static str,
    record: &HolderRecord,
) -> bool {
    // Taking the lease checks the key again, so a stale read is sufficient.
    let call = StoreCall::Get { key: key.to_owned(), may_be_old: true };
    let found = node.store(&call).await;
    let Ok(StoreAnswer::Item(Some(item))) = found else { return false };
    postcard::from_bytes::<HolderRecord>(&item.value).is_ok_and(|held| held.node == record.node)
}
