//! Requests whose connection broke, while it is not known yet whether their target ended.

use crate::{Fingerprint, TargetIncarnation};
use catkinmast_model::UnixMs;

/// How long the fate of a target is waited for: the registry drops a dead target's entry after three
/// heartbeats, about four seconds.
const FATE_MAX_MS: u64 = 6_000;
/// Requests that wait for news of their targets: all that a small node has in flight at once. More are
/// not taken up; a request that ends targets breaks off again.
const WAITING_MAX: usize = 512;

#[derive(Clone, Debug)]
struct Broken {
    fingerprint: Fingerprint,
    life: TargetIncarnation,
    until: UnixMs,
}

/// What became of a target, as far as a news tells.
#[derive(Clone, Copy, Debug)]
pub enum TargetOutcome<'a> {
    /// This life of it is over.
    Ended(&'a TargetIncarnation),
    /// All its lives but the one that began then are over.
    Restarted {
        /// The target's id.
        id: &'a str,
        /// When the life began that goes on.
        started_at_unix_ms: Option<u64>,
    },
    /// It is gone: all its lives are over.
    Gone {
        /// The target's id.
        id: &'a str,
    },
}

impl TargetOutcome<'_> {
    fn is_end_of(self, life: &TargetIncarnation) -> bool {
        match self {
            Self::Ended(ended) => ended == life,
            Self::Restarted { id, started_at_unix_ms } => {
                life.id == id && life.started_at_unix_ms != started_at_unix_ms
            }
            Self::Gone { id } => life.id == id,
        }
    }
}

/// Requests that broke off at targets of which nothing was heard since.
#[derive(Clone, Debug, Default)]
pub struct InterruptedRequests(Vec<Broken>);

impl InterruptedRequests {
    /// Takes a request whose connection broke; returns whether it is the first one at this life of
    /// its target, so that somebody should ask whether the target lives.
    pub fn record(
        &mut self,
        now: UnixMs,
        fingerprint: Fingerprint,
        life: &TargetIncarnation,
    ) -> bool {
        self.0.retain(|broken| broken.until > now);
        let is_first = self.0.iter().all(|broken| broken.life != *life);
        if self.0.len() < WAITING_MAX {
            let until = now.plus(FATE_MAX_MS);
            self.0.push(Broken { fingerprint, life: life.clone(), until });
        }
        is_first
    }

    /// Takes news of a target; returns the requests that were under way at lives that are over, and
    /// those lives.
    pub fn resolve(
        &mut self,
        now: UnixMs,
        fate: TargetOutcome<'_>,
    ) -> Vec<(Fingerprint, TargetIncarnation)> {
        let is_over = |broken: &Broken| broken.until > now && fate.is_end_of(&broken.life);
        let ended: Vec<Broken> = self.0.iter().filter(|broken| is_over(broken)).cloned().collect();
        self.0.retain(|broken| !fate.is_end_of(&broken.life));
        ended.into_iter().map(|broken| (broken.fingerprint, broken.life)).collect()
    }

    /// Forgets a request that a target has survived meanwhile.
    pub fn forget(&mut self, fingerprint: Fingerprint) {
        self.0.retain(|broken| broken.fingerprint != fingerprint);
    }

    /// Tells whether no request waits for news of its target.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
