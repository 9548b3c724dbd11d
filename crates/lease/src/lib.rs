//! Leases on exclusive work, with fencing numbers.
//!
//! [`LeaseClaim`] is one node's claim on one duty, e.g. the steps of a trainer. It decides when to
//! ask for the lease, when to renew it and when to stop acting on it; the edge carries out the
//! calls on the key-value service and reports what came back.
//!
//! Three things go wrong with leases, and each has its guard here:
//!
//! - *The holder is paused past its lease.* It would go on acting beside the new holder. So the
//!   holder counts the time by its own clock from **before** the renewal was sent, stops
//!   [`MARGIN_MS`] before the service would let the lease lapse, and [`LeaseClaim::fence`] is asked
//!   right before each act, not once at the start.
//! - *A reply is lost.* The holder cannot know whether it holds the lease. After a lost reply it
//!   reads the key and looks for its own life in it.
//! - *A new holder starts while an order of the old one is on its way* to a target that does not
//!   check fencing numbers. The new holder's orders wait [`ORDER_FLIGHT_MS`].
//!
//! The fencing number is the key-value service's version of the key, which only grows.

use catkinmast_model::{Fence, Incarnation, Name, UnixMs};
use serde::{Deserialize, Serialize};

/// Time to live of a lease in the key-value service.
pub const TTL_MS: u64 = 6_000;
/// How long before the lapse the holder stops acting.
pub const MARGIN_MS: u64 = 1_000;
/// Time between two renewals.
pub const RENEW_EVERY_MS: u64 = 2_000;
/// Time between two tries to take a lease that seems free.
pub const RETRY_EVERY_MS: u64 = 1_000;
/// The longest that an order can be on its way to a target.
pub const ORDER_FLIGHT_MS: u64 = 2_000;

/// The times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// How long before the lapse the holder stops acting. Default: [`MARGIN_MS`].
    pub margin_ms: u64,
    /// How long a new holder's orders wait. Default: [`ORDER_FLIGHT_MS`].
    pub order_flight_ms: u64,
    /// Time between two renewals. Default: [`RENEW_EVERY_MS`].
    pub renew_every_ms: u64,
    /// Time between two tries to take a lease that seems free. Default: [`RETRY_EVERY_MS`].
    pub retry_every_ms: u64,
    /// Time to live of the lease in the key-value service. Default: [`TTL_MS`].
    pub ttl_ms: u64,
}

impl LeaseSettings {
    /// The defaults, as a constant.
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

/// What the key of a lease holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// The holder's life.
    pub incarnation: Incarnation,
    /// The holder.
    pub node: Name,
}

/// What the edge should do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Open a lease of the service and create the key on it; report [`Report::Taken`],
    /// [`Report::Refused`] or [`Report::Unknown`].
    Take,
    /// Read the key and report [`Report::Read`].
    Read,
    /// Renew the lease; report [`Report::Renewed`], [`Report::Refused`] or [`Report::Unknown`].
    Renew,
    /// End the lease; nothing is reported.
    Release,
}

/// What came back from the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// The key's holder and fencing number, none when the key is absent.
    Read(Option<(HolderRecord, Fence)>),
    /// Another holds the lease, or it has lapsed.
    Refused,
    /// The lease was renewed.
    Renewed,
    /// The key was created under this fencing number.
    Taken(Fence),
    /// The key was taken over from an earlier life on the same machine: no order of another holder
    /// can be on its way, so orders need not wait.
    TakenFromSelf(Fence),
    /// The reply was lost, or the service does not answer.
    Unknown,
}

/// A change that the duty must know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The lease is held under this number.
    Gained(Fence),
    /// The lease is no longer held for certain: writes and orders must stop.
    Lapsed,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Free,
    Asking { sent_at: UnixMs },
    Held { fence: Fence, safe_until: UnixMs, since: UnixMs },
}

/// One node's claim on one duty.
#[derive(Clone, Debug)]
pub struct LeaseClaim {
    in_flight: Option<(Action, UnixMs)>,
    me: HolderRecord,
    next_at: UnixMs,
    phase: Phase,
    settings: LeaseSettings,
}

impl LeaseClaim {
    /// Opens a claim that holds nothing, with the default times.
    pub const fn open(me: HolderRecord) -> Self {
        Self::open_with(me, LeaseSettings::DEFAULT)
    }

    /// Opens a claim that holds nothing.
    pub const fn open_with(me: HolderRecord, settings: LeaseSettings) -> Self {
        Self { in_flight: None, me, next_at: UnixMs(0), phase: Phase::Free, settings }
    }

    /// Returns the fencing number if the duty may be acted on at `now`.
    pub fn fence(&self, now: UnixMs) -> Option<Fence> {
        match self.phase {
            Phase::Held { fence, safe_until, .. } if now < safe_until => Some(fence),
            _ => None,
        }
    }

    /// Returns the fencing number if orders to targets may be sent at `now`.
    ///
    /// A new holder waits until no order of the old one can still be on its way.
    pub fn order_fence(&self, now: UnixMs) -> Option<Fence> {
        match self.phase {
            Phase::Held { since, .. } if now.since_ms(since) >= self.settings.order_flight_ms => {
                self.fence(now)
            }
            _ => None,
        }
    }

    /// Does what has become due. `wanted` tells whether this node should hold the duty.
    pub fn tick(&mut self, now: UnixMs, wanted: bool) -> (Option<Action>, Option<Change>) {
        let lapsed = self.check_lapse(now);
        if lapsed.is_some() || self.in_flight.is_some() {
            return (None, lapsed);
        }
        if matches!(self.phase, Phase::Held { .. }) && !wanted {
            // At once, not with the next renewal: until then nobody else can go on.
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

    /// Takes what came back from the service.
    pub fn report(&mut self, now: UnixMs, report: &Report) -> Option<Change> {
        let sent = self.in_flight.take();
        match report {
            Report::Taken(fence) => self.gain(now, *fence),
            Report::TakenFromSelf(fence) => {
                let change = self.gain(now, *fence);
                if let Phase::Held { since, .. } = &mut self.phase {
                    *since = UnixMs(now.0.saturating_sub(self.settings.order_flight_ms));
                }
                change
            }
            Report::Renewed => self.renewed(sent),
            Report::Refused => self.lose(),
            // A renewal whose reply is lost may still have worked; the next one tells. A lost
            // reply to the taking is settled by reading the key.
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
        let held = matches!(self.phase, Phase::Held { .. });
        self.phase = Phase::Free;
        held.then_some(Change::Lapsed)
    }

    fn read(&mut self, now: UnixMs, found: Option<&(HolderRecord, Fence)>) -> Option<Change> {
        match found {
            Some((holder, fence)) if *holder == self.me => self.gain(now, *fence),
            _ => self.lose(),
        }
    }

    /// The lease is given up by our own clock, whether or not the service could be asked.
    fn check_lapse(&mut self, now: UnixMs) -> Option<Change> {
        match self.phase {
            Phase::Held { safe_until, .. } if now >= safe_until => self.lose(),
            _ => None,
        }
    }
}
