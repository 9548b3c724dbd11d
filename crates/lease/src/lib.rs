//! Leases with fencing numbers, for work that only one node may do at a time.
//!
//! A *duty* is a job that one node does for all nodes under a lease, e.g. the steps of a trainer.
//! [`LeaseClaim`] is the state machine of one node's claim on one duty. It decides when to request
//! the lease, when to renew it and when to stop acting on it. The caller performs the calls to the
//! key-value service and reports their results.
//!
//! Three failures are guarded against:
//!
//! - *The holder is paused beyond its lease* and would go on acting beside the new holder. So the
//!   holder measures the lease by its own clock from **before** the renewal was sent and stops
//!   [`MARGIN_MS`] before the service would expire it. Callers check [`LeaseClaim::fence`] right
//!   before each action, not once at the start.
//! - *A reply is lost*, and the holder cannot know whether it holds the lease. If the reply to a
//!   request for the lease is lost, it reads the key and looks for its own incarnation in it.
//! - *A new holder starts while an order of the old one is in transit* to a target that does not
//!   check fencing numbers. So the new holder's orders wait for [`ORDER_FLIGHT_MS`].
//!
//! The fencing number is the key's version in the key-value service, which only grows.

use catkinmast_model::{Fence, Incarnation, Name, UnixMs};
use serde::{Deserialize, Serialize};

/// Time to live of a lease in the key-value service.
pub const TTL_MS: u64 = 6_000;
/// The holder stops acting this long before the lease expires.
pub const MARGIN_MS: u64 = 1_000;
/// Interval between renewals.
pub const RENEW_EVERY_MS: u64 = 2_000;
/// Interval between attempts to take a lease.
pub const RETRY_EVERY_MS: u64 = 1_000;
/// The longest time an order can be in transit to a target.
pub const ORDER_FLIGHT_MS: u64 = 2_000;

/// The timing of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// The holder stops acting this long before the lease expires. Default: [`MARGIN_MS`].
    pub margin_ms: u64,
    /// How long the orders of a new holder are held back. Default: [`ORDER_FLIGHT_MS`].
    pub order_flight_ms: u64,
    /// Interval between renewals. Default: [`RENEW_EVERY_MS`].
    pub renew_every_ms: u64,
    /// Interval between attempts to take a lease. Default: [`RETRY_EVERY_MS`].
    pub retry_every_ms: u64,
    /// Time to live of the lease in the key-value service. Default: [`TTL_MS`].
    pub ttl_ms: u64,
}

impl LeaseSettings {
    /// The default settings, usable in constant contexts.
    pub const DEFAULT: Self = Self {
        margin_ms: MARGIN_MS,
        order_flight_ms: ORDER_FLIGHT_MS,
        renew_every_ms: RENEW_EVERY_MS,
        retry_every_ms: RETRY_EVERY_MS,
        ttl_ms: TTL_MS,
    };
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// The value stored under the key of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// The incarnation of the holding node.
    pub incarnation: Incarnation,
    /// The name of the holding node.
    pub node: Name,
}

/// A call to the key-value service that the caller should make.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Open a lease and create the key under it; report [`Report::Taken`], [`Report::Refused`] or
    /// [`Report::Unknown`].
    Take,
    /// Read the key and report [`Report::Read`].
    Read,
    /// Renew the lease; report [`Report::Renewed`], [`Report::Refused`] or [`Report::Unknown`].
    Renew,
    /// End the lease; nothing is reported.
    Release,
}

/// The result of an [`Action`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// The key's holder and fencing number, or `None` if the key does not exist.
    Read(Option<(HolderRecord, Fence)>),
    /// Another node holds the lease, or it has expired.
    Refused,
    /// The lease was renewed.
    Renewed,
    /// The key was created, with this fencing number.
    Taken(Fence),
    /// The key was taken over from an earlier holding of this node: no order of another holder can
    /// be in transit, so orders need not wait.
    TakenFromSelf(Fence),
    /// The reply was lost, or the service does not respond.
    Unknown,
}

/// A change of the claim that the code which performs the duty must react to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The lease is held, with this fencing number.
    Gained(Fence),
    /// The lease was released or is no longer certain to be held: writes and orders must stop.
    Lapsed,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Free,
    Asking { sent_at: UnixMs },
    Held { fence: Fence, safe_until: UnixMs, since: UnixMs },
}

/// One node's claim on the lease of one duty.
#[derive(Clone, Debug)]
pub struct LeaseClaim {
    /// The action that awaits its report, and when it was sent.
    in_flight: Option<(Action, UnixMs)>,
    own_record: HolderRecord,
    /// The fencing number under which the lease was last held.
    last_fence: Option<Fence>,
    next_at: UnixMs,
    phase: Phase,
    settings: LeaseSettings,
}

impl LeaseClaim {
    /// Creates a claim that does not hold the lease, with the default settings.
    pub const fn open(own_record: HolderRecord) -> Self {
        Self::open_with(own_record, LeaseSettings::DEFAULT)
    }

    /// Creates a claim that does not hold the lease.
    pub const fn open_with(own_record: HolderRecord, settings: LeaseSettings) -> Self {
        Self {
            in_flight: None,
            own_record,
            last_fence: None,
            next_at: UnixMs(0),
            phase: Phase::Free,
            settings,
        }
    }

    /// Returns the fencing number if this node may perform the duty at `now`.
    pub fn fence(&self, now: UnixMs) -> Option<Fence> {
        match self.phase {
            Phase::Held { fence, safe_until, .. } if now < safe_until => Some(fence),
            _ => None,
        }
    }

    /// Returns the fencing number if orders to targets may be sent at `now`.
    ///
    /// A new holder waits until no order of the previous one can still be in transit.
    pub fn order_fence(&self, now: UnixMs) -> Option<Fence> {
        match self.phase {
            Phase::Held { since, .. } if now.since_ms(since) >= self.settings.order_flight_ms => {
                self.fence(now)
            }
            _ => None,
        }
    }

    /// Returns whether `fence` is the number under which this claim last held the lease, even if the
    /// lease has lapsed since.
    pub fn has_held(&self, fence: Fence) -> bool {
        self.last_fence == Some(fence)
    }

    /// Advances the claim to `now`, and returns the action to perform and the change of state, if
    /// any. `wanted` tells whether this node should hold the lease.
    pub fn tick(&mut self, now: UnixMs, wanted: bool) -> (Option<Action>, Option<Change>) {
        let lapsed = self.check_lapse(now);
        if lapsed.is_some() || self.in_flight.is_some() {
            return (None, lapsed);
        }
        if matches!(self.phase, Phase::Held { .. }) && !wanted {
            // Release at once instead of waiting for the next renewal, since no other node can take
            // over before the release.
            self.phase = Phase::Free;
            self.next_at = now.plus(self.settings.retry_every_ms);
            return (Some(Action::Release), Some(Change::Lapsed));
        }
        if now < self.next_at {
            return (None, None);
        }
        let action = match self.phase {
            Phase::Free if wanted => {
                self.phase = Phase::Asking { sent_at: now };
                self.next_at = now.plus(self.settings.retry_every_ms);
                Action::Take
            }
            Phase::Free => return (None, None),
            Phase::Asking { .. } => {
                self.next_at = now.plus(self.settings.retry_every_ms);
                Action::Read
            }
            Phase::Held { .. } => {
                self.next_at = now.plus(self.settings.renew_every_ms);
                Action::Renew
            }
        };
        self.in_flight = Some((action, now));
        (Some(action), None)
    }

    /// Applies the result of the last action, and returns the change of state, if any.
    pub fn report(&mut self, now: UnixMs, report: &Report) -> Option<Change> {
        let sent = self.in_flight.take();
        match report {
            Report::Taken(fence) => self.gain(now, *fence),
            Report::TakenFromSelf(fence) => {
                let change = self.gain(now, *fence);
                if let Phase::Held { since, .. } = &mut self.phase {
                    // As if held for the whole flight time, so that orders need not wait.
                    *since = UnixMs(now.0.saturating_sub(self.settings.order_flight_ms));
                }
                change
            }
            Report::Renewed => self.renewed(sent),
            Report::Refused => self.lose(),
            // A renewal whose reply was lost may have succeeded; the next one shows it. If the
            // reply to `Take` was lost, the next tick reads the key.
            Report::Unknown => None,
            Report::Read(found) => self.read(now, found.as_ref()),
        }
    }

    fn gain(&mut self, now: UnixMs, fence: Fence) -> Option<Change> {
        let Phase::Asking { sent_at } = self.phase else { return None };
        let safe_until = sent_at.plus(self.settings.ttl_ms - self.settings.margin_ms);
        if now >= safe_until {
            self.phase = Phase::Free;
            return None;
        }
        self.phase = Phase::Held { fence, safe_until, since: now };
        self.last_fence = Some(fence);
        self.next_at = now.plus(self.settings.renew_every_ms);
        Some(Change::Gained(fence))
    }

    fn renewed(&mut self, sent: Option<(Action, UnixMs)>) -> Option<Change> {
        let safe_ms = self.settings.ttl_ms - self.settings.margin_ms;
        if let (Phase::Held { safe_until, .. }, Some((Action::Renew, sent_at))) =
            (&mut self.phase, sent)
        {
            *safe_until = sent_at.plus(safe_ms);
        }
        None
    }

    fn lose(&mut self) -> Option<Change> {
        let was_held = matches!(self.phase, Phase::Held { .. });
        self.phase = Phase::Free;
        was_held.then_some(Change::Lapsed)
    }

    fn read(&mut self, now: UnixMs, found: Option<&(HolderRecord, Fence)>) -> Option<Change> {
        match found {
            Some((holder, fence)) if *holder == self.own_record => self.gain(now, *fence),
            _ => self.lose(),
        }
    }

    /// Gives the lease up at `safe_until`, the margin before it expires by this node's own clock,
    /// even if the service is unreachable.
    fn check_lapse(&mut self, now: UnixMs) -> Option<Change> {
        match self.phase {
            Phase::Held { safe_until, .. } if now >= safe_until => self.lose(),
            _ => None,
        }
    }
}
