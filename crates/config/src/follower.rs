//! How a node follows the configuration in force.
//!
//! The head in the key-value service is what is agreed. A few watchers in each data centre wait
//! for it to change; revision and digest then spread as a fact, and each node fetches the body.
//! [`Follower`] decides what to read, ask, fetch and watch, and which body to install; the edge
//! carries it out. A body is installed only if its revision is higher than the one in force, so
//! no late or repeated message can take a configuration back.
//!
//! A node that starts must not serve with an old revision, or with none. It reads the head; while
//! the service is away it asks several peers and takes the highest revision that they have in
//! force. One peer alone might itself be behind; a change reaches all within seconds, so several
//! are not all behind by more than that.

use crate::revision::Digest;
use catkinmast_model::{Revision, UnixMs};

/// Time between two tries to learn the first revision.
const BOOT_RETRY_MS: u64 = 500;
/// Time between two tries to fetch a body.
const BODY_RETRY_MS: u64 = 200;
/// Pause after a watch that failed, so that an outage is not met with a storm of calls.
const WATCH_PAUSE_MS: u64 = 1_000;
/// How many peers a node asks what they have in force; fewer must do when fewer are known.
pub const PEERS_ASKED: usize = 3;

/// What a head in the key-value service says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedHead {
    /// Digest of the document in force.
    pub digest: Digest,
    /// The revision in force.
    pub revision: Revision,
    /// Version of the head's key.
    pub version: u64,
}

/// What happens to a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowerEvent {
    /// A peer says that this is in force.
    Announced {
        /// Digest of the document.
        digest: Digest,
        /// Its revision.
        revision: Revision,
    },
    /// A body was fetched and fits its digest.
    BodyFetched {
        /// Its revision.
        revision: Revision,
    },
    /// A body could not be fetched.
    BodyMissing,
    /// The head was read; none means that nothing was ever in force.
    HeadRead(Option<ObservedHead>),
    /// The head cannot be read.
    HeadUnavailable,
    /// Peers said what they have in force.
    PeersAnswered {
        /// How many answered.
        answers: usize,
        /// The highest of their revisions.
        newest: Option<(Revision, Digest)>,
    },
    /// Time has passed.
    Tick {
        /// How many peers are known.
        peers: usize,
        /// Whether this node watches the service for its data centre.
        watches: bool,
    },
    /// A watch ended, with a newer head if one came.
    WatchEnded {
        /// The newer head.
        head: Option<ObservedHead>,
        /// Whether the service answered.
        worked: bool,
    },
}

/// What a follower wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowerEffect {
    /// Ask some peers what they have in force.
    AskPeers,
    /// Fetch a body.
    FetchBody {
        /// Its digest.
        digest: Digest,
        /// Its revision.
        revision: Revision,
    },
    /// Put the fetched body in force.
    Install {
        /// Its revision.
        revision: Revision,
    },
    /// Read the head.
    ReadHead,
    /// Wait for a head after this version of its key.
    Watch {
        /// The version.
        after_version: u64,
    },
}

/// A call that is under way, or when to make the next one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    NotBefore(UnixMs),
    UnderWay,
}

impl Call {
    fn begin(&mut self, now: UnixMs) -> bool {
        let due = matches!(self, Self::NotBefore(at) if *at <= now);
        if due {
            *self = Self::UnderWay;
        }
        due
    }
}

/// A node's knowledge of the configuration in force.
#[derive(Clone, Debug)]
pub struct Follower {
    boot: Call,
    fetch: Call,
    /// The revision that was in force when we started, once that is known: none older is served.
    floor: Option<Revision>,
    head_version: u64,
    in_force: Revision,
    peers: usize,
    wanted: Option<(Revision, Digest)>,
    watch: Call,
}

impl Default for Follower {
    fn default() -> Self {
        let at_once = Call::NotBefore(UnixMs(0));
        Self {
            boot: at_once,
            fetch: at_once,
            floor: None,
            head_version: 0,
            in_force: Revision::default(),
            peers: 0,
            wanted: None,
            watch: at_once,
        }
    }
}

impl Follower {
    /// Returns the revision in force here.
    pub const fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Tells whether this node may serve: it has installed a revision that cannot be older than
    /// what was in force when it started.
    pub fn may_serve(&self) -> bool {
        self.floor.is_some_and(|floor| self.in_force >= floor)
            && self.in_force > Revision::default()
    }

    /// Tells whether new callers should come here: it may serve, and knows of no revision that is
    /// newer than the one it has installed.
    pub fn is_ready(&self) -> bool {
        self.may_serve() && self.wanted.is_none()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: UnixMs, event: FollowerEvent) -> Vec<FollowerEffect> {
        match event {
            FollowerEvent::Announced { digest, revision } => self.want(now, revision, digest),
            FollowerEvent::BodyFetched { revision } => return self.body_fetched(now, revision),
            FollowerEvent::BodyMissing => self.fetch = Call::NotBefore(now.plus(BODY_RETRY_MS)),
            FollowerEvent::HeadRead(head) => {
                self.boot = Call::NotBefore(now);
                let found = head.map_or_else(Revision::default, |head| head.revision);
                self.floor.get_or_insert(found);
                self.head_seen(now, head);
            }
            FollowerEvent::HeadUnavailable if self.peers > 0 => {
                return vec![FollowerEffect::AskPeers];
            }
            FollowerEvent::HeadUnavailable => {
                self.boot = Call::NotBefore(now.plus(BOOT_RETRY_MS));
            }
            FollowerEvent::PeersAnswered { answers, newest } => {
                self.peers_answered(now, answers, newest);
            }
            FollowerEvent::Tick { peers, watches } => return self.tick(now, peers, watches),
            FollowerEvent::WatchEnded { head, worked } => {
                let pause_ms = if worked { 0 } else { WATCH_PAUSE_MS };
                self.watch = Call::NotBefore(now.plus(pause_ms));
                self.head_seen(now, head);
            }
        }
        Vec::new()
    }

    fn tick(&mut self, now: UnixMs, peers: usize, watches: bool) -> Vec<FollowerEffect> {
        self.peers = peers;
        let mut effects = Vec::new();
        if self.floor.is_none() && self.boot.begin(now) {
            effects.push(FollowerEffect::ReadHead);
        }
        if let Some((revision, digest)) = self.wanted
            && self.fetch.begin(now)
        {
            effects.push(FollowerEffect::FetchBody { digest, revision });
        }
        if watches && self.floor.is_some() && self.watch.begin(now) {
            effects.push(FollowerEffect::Watch { after_version: self.head_version });
        }
        effects
    }

    fn want(&mut self, now: UnixMs, revision: Revision, digest: Digest) {
        let known = self.wanted.map_or(self.in_force, |(wanted, _)| wanted);
        if revision > known {
            self.wanted = Some((revision, digest));
            if self.fetch != Call::UnderWay {
                self.fetch = Call::NotBefore(now);
            }
        }
    }

    fn head_seen(&mut self, now: UnixMs, head: Option<ObservedHead>) {
        if let Some(head) = head {
            self.head_version = self.head_version.max(head.version);
            self.want(now, head.revision, head.digest);
        }
    }

    fn peers_answered(&mut self, now: UnixMs, answers: usize, newest: Option<(Revision, Digest)>) {
        self.boot = Call::NotBefore(now.plus(BOOT_RETRY_MS));
        let Some((revision, digest)) = newest else { return };
        if answers >= PEERS_ASKED.min(self.peers) {
            self.floor.get_or_insert(revision);
            self.want(now, revision, digest);
        }
    }

    fn body_fetched(&mut self, now: UnixMs, revision: Revision) -> Vec<FollowerEffect> {
        self.fetch = Call::NotBefore(now);
        if revision <= self.in_force {
            return Vec::new();
        }
        self.in_force = revision;
        if self.wanted.is_some_and(|(wanted, _)| wanted <= revision) {
            self.wanted = None;
        }
        vec![FollowerEffect::Install { revision }]
    }
}
