//! How a node follows the configuration in force.
//!
//! The head in the key-value service is authoritative. A few nodes in each data centre watch it.
//! Revision and digest then spread as a fact, and each node fetches the document. [`Follower`]
//! decides what to read, ask, fetch and watch, and which document to install; the caller carries it
//! out. A document is installed only if its revision is higher than the one in force, so a late or
//! repeated message cannot revert a configuration.
//!
//! A node that starts must not serve with an old revision, or with none. It reads the head. While
//! the service is unavailable, it asks several peers and, once all of them have answered, takes the
//! highest revision that they have in force. A single peer may be behind; several are not all
//! behind by more than a few seconds, because a change reaches all nodes within seconds.

use crate::revision::Digest;
use catkinmast_model::{Revision, UnixMs};

/// Interval between attempts to learn the first revision.
const FIRST_REVISION_RETRY_MS: u64 = 500;
/// Interval between attempts to fetch a document.
const BODY_RETRY_MS: u64 = 200;
/// Pause after a failed watch, so that an outage does not cause a storm of calls.
const WATCH_PAUSE_MS: u64 = 1_000;
/// Number of peers that a node asks for the revision in force; if it knows fewer, it asks those.
pub const PEERS_ASKED: usize = 3;

/// A head that was read from the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedHead {
    /// Digest of the document in force.
    pub digest: Digest,
    /// The revision in force.
    pub revision: Revision,
    /// Version of the head's key.
    pub version: u64,
}

/// An input of a [`Follower`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowerEvent {
    /// A peer reports this document as in force.
    Announced {
        /// Digest of the document.
        digest: Digest,
        /// Revision of the document.
        revision: Revision,
    },
    /// A document was fetched and matches its digest.
    BodyFetched {
        /// Revision of the document.
        revision: Revision,
    },
    /// A document could not be fetched.
    BodyMissing,
    /// The head was read; none means that there has never been a revision.
    HeadRead(Option<ObservedHead>),
    /// The head cannot be read.
    HeadUnavailable,
    /// Peers reported what they have in force.
    PeersAnswered {
        /// Number of peers that answered.
        answers: usize,
        /// The highest revision among the answers.
        newest: Option<(Revision, Digest)>,
    },
    /// Time has passed.
    Tick {
        /// Number of peers known.
        peers: usize,
        /// Whether this node watches the head for its data centre.
        watches: bool,
    },
    /// A watch ended, with a newer head if there is one.
    WatchEnded {
        /// The newer head, if there is one.
        head: Option<ObservedHead>,
        /// Whether the service answered.
        succeeded: bool,
    },
}

/// An action for the caller to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowerEffect {
    /// Ask [`PEERS_ASKED`] peers what they have in force.
    AskPeers,
    /// Fetch a document.
    FetchBody {
        /// Digest of the document.
        digest: Digest,
        /// Revision of the document.
        revision: Revision,
    },
    /// Put the fetched document in force.
    Install {
        /// Revision of the document.
        revision: Revision,
    },
    /// Read the head.
    ReadHead,
    /// Wait for a head that is newer than this version of its key.
    Watch {
        /// Version of the head's key.
        after_version: u64,
    },
}

/// The state of a repeated call: in progress, or the time of the next one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallState {
    NotBefore(UnixMs),
    InProgress,
}

impl CallState {
    fn start_if_due(&mut self, now: UnixMs) -> bool {
        let due = matches!(self, Self::NotBefore(at) if *at <= now);
        if due {
            *self = Self::InProgress;
        }
        due
    }
}

/// A node's view of the configuration in force, and the calls it makes to follow it.
#[derive(Clone, Debug)]
pub struct Follower {
    head_call: CallState,
    fetch_call: CallState,
    /// The revision that was in force when this node started; none until known. No older revision
    /// is served.
    min_revision: Option<Revision>,
    head_version: u64,
    in_force: Revision,
    peers: usize,
    pending: Option<(Revision, Digest)>,
    watch_call: CallState,
}

impl Default for Follower {
    fn default() -> Self {
        let at_once = CallState::NotBefore(UnixMs(0));
        Self {
            head_call: at_once,
            fetch_call: at_once,
            min_revision: None,
            head_version: 0,
            in_force: Revision::default(),
            peers: 0,
            pending: None,
            watch_call: at_once,
        }
    }
}

impl Follower {
    /// Returns the revision in force on this node.
    pub const fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Returns whether this node may serve: the installed revision is not older than the one that
    /// was in force when the node started.
    pub fn may_serve(&self) -> bool {
        self.min_revision.is_some_and(|min_revision| self.in_force >= min_revision)
            && self.in_force > Revision::default()
    }

    /// Returns whether new callers should use this node: it may serve and knows of no revision
    /// newer than the installed one.
    pub fn is_ready(&self) -> bool {
        self.may_serve() && self.pending.is_none()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: UnixMs, event: FollowerEvent) -> Vec<FollowerEffect> {
        match event {
            FollowerEvent::Announced { digest, revision } => {
                self.set_pending(now, revision, digest);
            }
            FollowerEvent::BodyFetched { revision } => return self.body_fetched(now, revision),
            FollowerEvent::BodyMissing => {
                self.fetch_call = CallState::NotBefore(now.plus(BODY_RETRY_MS));
            }
            FollowerEvent::HeadRead(head) => {
                self.head_call = CallState::NotBefore(now);
                let found = head.map_or_else(Revision::default, |head| head.revision);
                self.min_revision.get_or_insert(found);
                self.apply_head(now, head);
            }
            FollowerEvent::HeadUnavailable if self.peers > 0 => {
                return vec![FollowerEffect::AskPeers];
            }
            FollowerEvent::HeadUnavailable => {
                self.head_call = CallState::NotBefore(now.plus(FIRST_REVISION_RETRY_MS));
            }
            FollowerEvent::PeersAnswered { answers, newest } => {
                self.peers_answered(now, answers, newest);
            }
            FollowerEvent::Tick { peers, watches } => return self.tick(now, peers, watches),
            FollowerEvent::WatchEnded { head, succeeded } => {
                let pause_ms = if succeeded { 0 } else { WATCH_PAUSE_MS };
                self.watch_call = CallState::NotBefore(now.plus(pause_ms));
                self.apply_head(now, head);
            }
        }
        Vec::new()
    }

    fn tick(&mut self, now: UnixMs, peers: usize, watches: bool) -> Vec<FollowerEffect> {
        self.peers = peers;
        let mut effects = Vec::new();
        if self.min_revision.is_none() && self.head_call.start_if_due(now) {
            effects.push(FollowerEffect::ReadHead);
        }
        if let Some((revision, digest)) = self.pending
            && self.fetch_call.start_if_due(now)
        {
            effects.push(FollowerEffect::FetchBody { digest, revision });
        }
        if watches && self.min_revision.is_some() && self.watch_call.start_if_due(now) {
            effects.push(FollowerEffect::Watch { after_version: self.head_version });
        }
        effects
    }

    fn set_pending(&mut self, now: UnixMs, revision: Revision, digest: Digest) {
        let known = self.pending.map_or(self.in_force, |(pending, _)| pending);
        if revision > known {
            self.pending = Some((revision, digest));
            if self.fetch_call != CallState::InProgress {
                self.fetch_call = CallState::NotBefore(now);
            }
        }
    }

    fn apply_head(&mut self, now: UnixMs, head: Option<ObservedHead>) {
        if let Some(head) = head {
            self.head_version = self.head_version.max(head.version);
            self.set_pending(now, head.revision, head.digest);
        }
    }

    fn peers_answered(&mut self, now: UnixMs, answers: usize, newest: Option<(Revision, Digest)>) {
        self.head_call = CallState::NotBefore(now.plus(FIRST_REVISION_RETRY_MS));
        let Some((revision, digest)) = newest else { return };
        if answers >= PEERS_ASKED.min(self.peers) {
            self.min_revision.get_or_insert(revision);
            self.set_pending(now, revision, digest);
        }
    }

    fn body_fetched(&mut self, now: UnixMs, revision: Revision) -> Vec<FollowerEffect> {
        self.fetch_call = CallState::NotBefore(now);
        if revision <= self.in_force {
            return Vec::new();
        }
        self.in_force = revision;
        if self.pending.is_some_and(|(pending, _)| pending <= revision) {
            self.pending = None;
        }
        vec![FollowerEffect::Install { revision }]
    }
}
