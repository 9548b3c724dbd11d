//! Whether targets serve fewer requests than are sent to them, over all nodes.
//!
//! Only requests that were admitted and have ended count. Those that fairness rejects would keep
//! the service contended after the burst, and requests in flight would make each rise of the load
//! look like contention.

use crate::half::Load;
use catkinmast_model::UnixMs;

/// Half-life of the requests that count. It is shorter than that of the shares, so that contention
/// ends within seconds once all requests are served.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Contention begins if the requests that ended exceed those served by more than this part.
const BEGINS_ABOVE: f64 = 0.05;
/// While contention lasts, a larger excess than this shows that the targets have no spare capacity.
/// It is less than [`BEGINS_ABOVE`], since the shares keep the excess small.
const SHORT_ABOVE: f64 = 0.015;
/// A smaller excess than this shows that the targets have spare capacity. Between the two, a node
/// that sees few requests cannot tell.
const SPARE_BELOW: f64 = 0.005;
/// Standard deviations by which the requests not served must exceed the allowed part.
const DEVIATIONS: f64 = 2.0;
/// The same if the sums over all nodes in the last epoch show contention. It is above zero, since
/// those sums count rejected requests, and a single refusal by chance must not prolong contention.
const DEVIATIONS_AGAIN: f64 = 1.0;
/// Nodes whose requests a node's sums represent at least: the sums of the last seconds have been
/// halved and sent on about once.
const MIXED_NODES: f64 = 2.0;
/// Growth of the capacity per second, as a part. An excess is seen after about two seconds, so a
/// node exceeds the right level by some 4 %.
const GROWTH_PER_S: f64 = 0.01;
/// Headroom from which the growth doubles every half second, as long as there is spare capacity: a
/// node that has come so far without an excess is far below the capacity.
const FAST_FROM: f64 = 1.04;
/// Time in which the growth doubles then.
const GROWTH_DOUBLES_MS: f64 = 500.0;
/// Largest growth of the capacity per second, as a part.
const GROWTH_MAX_PER_S: f64 = 1.0;
/// Part of the added capacity that is kept at each update without spare capacity.
const KEPT_WHEN_SHORT: f64 = 0.5;
/// Time without an excess, while no workspace is above its level, after which contention ends.
const UNBOUND_MS: u64 = 3_000;

/// The recent load of the fleet, and whether it is contended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contention {
    at: UnixMs,
    fleet: Load,
    /// Since when the headroom has grown faster and faster.
    fast_since: Option<UnixMs>,
    is_contended: bool,
    /// Since when no workspace was above its level, without an excess.
    unbound_since: Option<UnixMs>,
    /// Factor by which the capacity may exceed what is known to be served.
    headroom: f64,
    updated_at: UnixMs,
}

impl Default for Contention {
    fn default() -> Self {
        Self {
            at: UnixMs(0),
            fleet: Load { weight: 1.0, ..Load::default() },
            fast_since: None,
            is_contended: false,
            unbound_since: None,
            headroom: 1.0,
            updated_at: UnixMs(0),
        }
    }
}

impl Contention {
    pub(crate) fn record_ended(&mut self, now: UnixMs, served: bool) {
        self.decay_to(now);
        self.fleet.offered += 1.0;
        self.fleet.served += f32::from(u8::from(served));
    }

    pub(crate) fn receive(&mut self, now: UnixMs, half: Load) {
        self.decay_to(now);
        self.fleet.add(half);
    }

    /// Returns whether this node knows of recent requests.
    pub(crate) fn is_active(&mut self, now: UnixMs) -> bool {
        self.decay_to(now);
        self.fleet.offered > 0.01
    }

    pub(crate) fn split(&mut self, now: UnixMs) -> Load {
        self.decay_to(now);
        self.fleet.split()
    }

    pub(crate) const fn is_contended(&self) -> bool {
        self.is_contended
    }

    pub(crate) const fn headroom(&self) -> f64 {
        self.headroom
    }

    /// Renews the weight at the rate at which weight and sums decay.
    fn decay_to(&mut self, now: UnixMs) {
        let factor = (-(now.since_ms(self.at) as f64) / HALF_LIFE_MS).exp2() as f32;
        self.at = now;
        self.fleet.weight = self.fleet.weight.mul_add(factor, 1.0 - factor);
        self.fleet.offered *= factor;
        self.fleet.served *= factor;
    }

    /// Updates the state and the headroom. `level_binds` tells whether any workspace is above the
    /// present level, and `served_part` is the part of all requests that was served in the last
    /// epoch.
    pub(crate) fn update(
        &mut self,
        now: UnixMs,
        nodes: usize,
        level_binds: bool,
        served_part: f64,
    ) {
        self.decay_to(now);
        let since_ms = now.since_ms(std::mem::replace(&mut self.updated_at, now)).min(1_000);
        if !self.is_contended {
            if self.begins(nodes, served_part) {
                *self = Self { is_contended: true, ..self.without_contention() };
            }
            return;
        }
        let excess = self.unserved() / f64::from(self.fleet.served).max(f64::MIN_POSITIVE);
        if excess > SHORT_ABOVE {
            self.fast_since = None;
            self.unbound_since = None;
            self.headroom = 1.0 + (self.headroom - 1.0) * KEPT_WHEN_SHORT;
        } else if level_binds {
            self.unbound_since = None;
            let growth_per_s = self.growth_per_s(now, excess);
            self.headroom *= 1.0 + growth_per_s * since_ms as f64 / 1_000.0;
        } else if now.since_ms(*self.unbound_since.get_or_insert(now)) >= UNBOUND_MS {
            *self = self.without_contention();
        }
    }

    fn growth_per_s(&mut self, now: UnixMs, excess: f64) -> f64 {
        if excess > SPARE_BELOW || self.headroom < FAST_FROM {
            self.fast_since = None;
            return GROWTH_PER_S;
        }
        let fast_ms = now.since_ms(*self.fast_since.get_or_insert(now));
        (GROWTH_PER_S * (fast_ms as f64 / GROWTH_DOUBLES_MS).exp2()).min(GROWTH_MAX_PER_S)
    }

    const fn without_contention(self) -> Self {
        Self { fast_since: None, is_contended: false, unbound_since: None, headroom: 1.0, ..self }
    }

    fn unserved(&self) -> f64 {
        f64::from(self.fleet.offered - self.fleet.served).max(0.0)
    }

    fn begins(&self, nodes: usize, served_part: f64) -> bool {
        let mixed = (nodes as f64).clamp(1.0, MIXED_NODES);
        let unserved = self.unserved() * mixed;
        let served = f64::from(self.fleet.served) * mixed;
        let was_contended = served_part * (1.0 + BEGINS_ABOVE) < 1.0;
        let deviations = if was_contended { DEVIATIONS_AGAIN } else { DEVIATIONS };
        unserved > 0.0 && unserved - deviations * unserved.sqrt() > BEGINS_ABOVE * served
    }
}
