//! The failure detector, and the exchange of facts.
//!
//! Every second a node probes one other node, in shuffled order, so each node is probed about once
//! a second whatever the size of the fleet. If no answer arrives within 400 ms, the node sends a
//! second probe and asks three other nodes to probe for it. If none is answered by the end of the
//! period, the node becomes suspect, which it can refute by raising its refutation number. A
//! suspicion that is not refuted turns into `Gone`.
//!
//! A process that was itself paused or starved must not accuse others: when a tick comes more than
//! [`LATE_TICK_MS`] after the one before, outstanding probes are dropped instead of counted as
//! failures, and the deadlines of open suspicions start anew. This is a minimal form of Lifeguard's
//! local health awareness.

use crate::fact::{Fact, FactKey, NodeFact, NodeState};
use crate::fact_table::{DIGEST_BUCKETS, FactTable, MergeOutcome, size_bytes};
use catkinmast_model::{Name, UnixMs};
use indexmap::{IndexMap, IndexSet};
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of facts in one message; with the frame they fit in a datagram.
pub(crate) const FACTS_BUDGET_BYTES: usize = 1_200;
/// A longer time between ticks means that this process was paused.
const LATE_TICK_MS: u64 = 400;
/// Number of nodes to which a new fact is pushed at once.
const PUSH_FANOUT: usize = 3;
/// How long after the last new fact a differing digest is ignored: the missing facts may still be
/// on their way.
const PULL_DELAY_MS: u64 = 2_000;
/// How long a difference may last before facts are pulled although new ones keep arriving.
///
/// Without this limit a node that was cut off would not pull what it missed while other facts keep
/// changing, as during a restart of the fleet; for example, it would keep sending targets a request
/// that the other nodes have quarantined. A fact reaches all nodes within a second, so a difference
/// that lasts longer is not due to facts on their way.
const DIFFERENCE_MAX_MS: u64 = 1_500;
/// How long the tombstone of a node or target is kept, so that a late message does not revive it.
const TOMBSTONE_KEPT_MS: u64 = 600_000;
/// Interval between attempts to reach a lost node, or a seed that is not a peer.
const REJOIN_EVERY_MS: u64 = 5_000;
/// Maximum number of seeds to which a joining node announces itself; gossip reaches the others.
const ANNOUNCE_SEEDS_MAX: usize = 128;
/// Maximum number of addresses of lost nodes that are kept.
const LOST_ADDRESSES_MAX: usize = 512;

/// Timing of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Interval between probes. Default: 1,000.
    pub probe_every_ms: u64,
    /// Time without an answer to a direct probe after which indirect ones are sent. Default: 400.
    pub probe_timeout_ms: u64,
    /// Time that a suspect has to refute a suspicion. Default: 4,000.
    pub suspicion_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self { probe_every_ms: 1_000, probe_timeout_ms: 400, suspicion_ms: 4_000 }
    }
}

/// A datagram between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// The answer to a probe.
    Ack {
        /// Digest of the sender's fact table.
        digest: u64,
        /// Facts to pass on.
        facts: Vec<Fact>,
        /// Sequence number of the probe that it answers.
        sequence: u64,
    },
    /// Facts, pushed or in answer to a pull.
    Facts {
        /// The facts.
        facts: Vec<Fact>,
    },
    /// A probe.
    Ping {
        /// Digest of the sender's fact table.
        digest: u64,
        /// Facts to pass on.
        facts: Vec<Fact>,
        /// Sequence number of the probe.
        sequence: u64,
    },
    /// A request to probe a third node.
    PingFor {
        /// Address of the node to probe.
        control: SocketAddr,
        /// The requester's sequence number of the probe.
        sequence: u64,
    },
    /// A request for the facts in buckets that differ.
    Pull {
        /// The requester's digest of each bucket.
        buckets: Vec<u64>,
    },
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// A fact was applied; the process may have to act on it. A crash fact is the one received,
    /// without the evidence that was held before.
    Changed(Fact),
    /// A datagram to send.
    Send {
        /// The datagram.
        message: Message,
        /// Address of the receiver.
        to: SocketAddr,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub acknowledged: bool,
    pub ends_at: UnixMs,
    pub indirect_sent: bool,
    pub indirect_at: UnixMs,
    pub node: Name,
    pub sequence: u64,
}

/// A probe made for another node.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub requester: SocketAddr,
    pub requester_sequence: u64,
    pub expires_at: UnixMs,
}

/// A node's view of the fleet: its facts and the state of its failure detector.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) facts: FactTable,
    pub(crate) lost_addresses: IndexSet<SocketAddr>,
    pub(crate) tombstone_expiry: IndexMap<FactKey, UnixMs>,
    pub(crate) last_tick_at: Option<UnixMs>,
    pub(crate) me: NodeFact,
    pub(crate) next_probe_at: UnixMs,
    pub(crate) probe_order: Vec<Name>,
    pub(crate) probe: Option<Probe>,
    pub(crate) pull_after: UnixMs,
    /// Latest time of the next pull; none until a digest differs, after a pull, and after a digest
    /// that agrees.
    pub(crate) pull_by: Option<UnixMs>,
    pub(crate) rejoin_at: UnixMs,
    pub(crate) relays: IndexMap<u64, Relay>,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) sequence: u64,
    pub(crate) settings: MembershipSettings,
    pub(crate) suspects: IndexMap<Name, UnixMs>,
}

impl Membership {
    /// Creates the view of node `me`, which initially knows only the addresses `seeds`.
    pub fn new(
        me: NodeFact,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
        rng: Pcg64Mcg,
    ) -> Self {
        let mut table = FactTable::default();
        table.merge(Fact::Node(me.clone()), 2);
        Self {
            facts: table,
            lost_addresses: IndexSet::new(),
            tombstone_expiry: IndexMap::new(),
            last_tick_at: None,
            me,
            next_probe_at: UnixMs(0),
            probe_order: Vec::new(),
            probe: None,
            pull_after: UnixMs(0),
            pull_by: None,
            rejoin_at: UnixMs(0),
            relays: IndexMap::new(),
            rng,
            seeds,
            sequence: 0,
            settings,
            suspects: IndexMap::new(),
        }
    }

    /// Returns the fact table.
    pub const fn facts(&self) -> &FactTable {
        &self.facts
    }

    /// Returns this node's own fact.
    pub const fn me(&self) -> &NodeFact {
        &self.me
    }

    /// Iterates over all known nodes, including this one.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeFact> {
        self.facts.iter().filter_map(|fact| match fact {
            Fact::Node(node) => Some(node),
            _ => None,
        })
    }

    /// Iterates over the other nodes that are not gone.
    pub fn peers(&self) -> impl Iterator<Item = &NodeFact> {
        self.nodes().filter(|node| node.name != self.me.name && node.state != NodeState::Gone)
    }

    /// Removes a fact that is too old to matter.
    ///
    /// Peers that still hold it may send it again, until they remove it as well.
    pub fn forget(&mut self, key: &FactKey) {
        self.facts.forget(key);
    }

    /// Adds an address to probe while no peer is known, or while it is not the address of a peer.
    pub fn add_seed(&mut self, seed: SocketAddr) {
        if seed != self.me.control && !self.seeds.contains(&seed) {
            self.seeds.push(seed);
        }
    }

    /// Marks this node as leaving. The change is pushed at once and is final in this incarnation.
    pub fn leave(&mut self, now: UnixMs) -> Vec<Output> {
        self.me.state = NodeState::Leaving;
        self.observe(now, Fact::Node(self.me.clone()))
    }

    /// Announces this node to the seeds, and probes some of them to learn what they know.
    ///
    /// When a complete fleet starts at once, gossip alone takes seconds to spread all nodes to
    /// every node. Until then, nodes with a partial view would take duties from live owners.
    pub fn announce_to_seeds(&mut self) -> Vec<Output> {
        let seeds: Vec<SocketAddr> =
            self.seeds.choose_multiple(&mut self.rng, ANNOUNCE_SEEDS_MAX).copied().collect();
        let facts = vec![Fact::Node(self.me.clone())];
        let mut outputs: Vec<Output> = seeds
            .iter()
            .map(|to| Output::Send { message: Message::Facts { facts: facts.clone() }, to: *to })
            .collect();
        for to in seeds.iter().take(PUSH_FANOUT) {
            self.sequence += 1;
            self.ping(*to, self.sequence, &mut outputs);
        }
        outputs
    }

    /// Applies a fact that this node observed itself, and pushes it to some peers at once.
    pub fn observe(&mut self, now: UnixMs, fact: Fact) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.apply(now, fact, &mut outputs);
        self.push_pending(&mut outputs);
        outputs
    }

    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: UnixMs) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.was_paused(now) {
            self.restart_timers(now);
        }
        self.last_tick_at = Some(now);
        self.check_probe(now, &mut outputs);
        self.check_suspects(now, &mut outputs);
        self.remove_expired_tombstones(now);
        self.relays.retain(|_, relay| relay.expires_at > now);
        if now >= self.next_probe_at {
            self.next_probe_at = now.plus(self.settings.probe_every_ms);
            self.send_probe(now, &mut outputs);
        }
        if now >= self.rejoin_at {
            self.rejoin_at = now.plus(REJOIN_EVERY_MS);
            self.probe_lost_address(&mut outputs);
        }
        self.push_pending(&mut outputs);
        outputs
    }

    /// Handles a datagram from the address `from`.
    pub fn receive(&mut self, now: UnixMs, from: SocketAddr, message: Message) -> Vec<Output> {
        let mut outputs = Vec::new();
        match message {
            Message::Ack { digest, facts, sequence } => {
                self.apply_all(now, facts, &mut outputs);
                self.acknowledge(sequence, &mut outputs);
                self.compare_digest(now, from, digest, &mut outputs);
            }
            Message::Facts { facts } => self.apply_all(now, facts, &mut outputs),
            Message::Ping { digest, facts, sequence } => {
                self.apply_all(now, facts, &mut outputs);
                let facts = self.facts.take_pending(FACTS_BUDGET_BYTES, 1);
                let message = Message::Ack { digest: self.facts.digest(), facts, sequence };
                outputs.push(Output::Send { message, to: from });
                self.compare_digest(now, from, digest, &mut outputs);
            }
            Message::PingFor { control, sequence } => {
                self.relay(now, from, control, sequence, &mut outputs);
            }
            Message::Pull { buckets } => self.answer_pull(from, &buckets, &mut outputs),
        }
        self.push_pending(&mut outputs);
        outputs
    }

    fn was_paused(&self, now: UnixMs) -> bool {
        self.last_tick_at.is_some_and(|last| now.since_ms(last) > LATE_TICK_MS)
    }

    fn restart_timers(&mut self, now: UnixMs) {
        self.probe = None;
        for deadline in self.suspects.values_mut() {
            *deadline = now.plus(self.settings.suspicion_ms);
        }
    }

    fn apply_all(&mut self, now: UnixMs, facts: Vec<Fact>, outputs: &mut Vec<Output>) {
        for fact in facts {
            self.apply(now, fact, outputs);
        }
    }

    pub(crate) fn apply(&mut self, now: UnixMs, fact: Fact, outputs: &mut Vec<Output>) {
        if let Fact::Node(node) = &fact
            && node.name == self.me.name
            && self.refute(node)
        {
            let mine = Fact::Node(self.me.clone());
            self.pull_after = now.plus(PULL_DELAY_MS);
            self.facts.merge(mine, Self::sends_per_fact());
            return;
        }
        if self.facts.merge(fact.clone(), Self::sends_per_fact()) == MergeOutcome::Unchanged {
            return;
        }
        self.pull_after = now.plus(PULL_DELAY_MS);
        if fact.is_gone() {
            self.tombstone_expiry.insert(fact.key(), now.plus(TOMBSTONE_KEPT_MS));
        } else {
            self.tombstone_expiry.swap_remove(&fact.key());
        }
        if let Fact::Node(node) = &fact {
            self.track_node(now, node);
        }
        outputs.push(Output::Changed(fact));
    }

    /// Raises this node's refutation number if a peer reports a worse state than is true, and
    /// returns whether it did.
    fn refute(&mut self, claim: &NodeFact) -> bool {
        let same_incarnation = claim.incarnation == self.me.incarnation;
        let worse = claim.state > self.me.state && claim.refutation >= self.me.refutation;
        if same_incarnation && worse {
            self.me.refutation = claim.refutation + 1;
        }
        same_incarnation && worse
    }

    fn track_node(&mut self, now: UnixMs, node: &NodeFact) {
        match node.state {
            NodeState::Suspect => {
                let deadline = now.plus(self.settings.suspicion_ms);
                self.suspects.entry(node.name.clone()).or_insert(deadline);
            }
            NodeState::Live | NodeState::Leaving => {
                self.suspects.swap_remove(&node.name);
                self.lost_addresses.shift_remove(&node.control);
            }
            NodeState::Gone => {
                self.suspects.swap_remove(&node.name);
                self.lost_addresses.insert(node.control);
                if self.lost_addresses.len() > LOST_ADDRESSES_MAX {
                    self.lost_addresses.shift_remove_index(0);
                }
            }
        }
    }

    /// Returns how often a node sends a new fact at least: enough for one push and one probe. If no
    /// probe comes first, the last send is another push. A node that is missed notices the
    /// differing digest within seconds. With a number that grows with the fleet, twice the bytes
    /// were sent when a data centre failed, and facts did not reach all nodes earlier.
    const fn sends_per_fact() -> u8 {
        PUSH_FANOUT as u8 + 1
    }

    /// Returns what is known of a node.
    pub fn node(&self, name: &Name) -> Option<&NodeFact> {
        match self.facts.get(&FactKey::Node(name.clone())) {
            Some(Fact::Node(node)) => Some(node),
            _ => None,
        }
    }

    fn check_suspects(&mut self, now: UnixMs, outputs: &mut Vec<Output>) {
        let due: Vec<Name> = self
            .suspects
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.suspects.swap_remove(&name);
            if let Some(node) = self.node(&name) {
                let gone = NodeFact { state: NodeState::Gone, ..node.clone() };
                self.apply(now, Fact::Node(gone), outputs);
            }
        }
    }

    fn remove_expired_tombstones(&mut self, now: UnixMs) {
        let due: Vec<FactKey> = self
            .tombstone_expiry
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.tombstone_expiry.swap_remove(&key);
            self.facts.forget(&key);
        }
    }

    /// Pulls facts if the digests differ and no facts on their way can explain it, or if they have
    /// differed for longer than [`DIFFERENCE_MAX_MS`].
    fn compare_digest(
        &mut self,
        now: UnixMs,
        from: SocketAddr,
        digest: u64,
        outputs: &mut Vec<Output>,
    ) {
        if digest == self.facts.digest() {
            self.pull_by = None;
            return;
        }
        let pull_by = *self.pull_by.get_or_insert(now.plus(DIFFERENCE_MAX_MS));
        let has_no_peers = self.peers().next().is_none();
        if now < self.pull_after.min(pull_by) && !has_no_peers {
            return;
        }
        self.pull_by = None;
        self.pull_after = now.plus(PULL_DELAY_MS);
        let buckets = self.facts.buckets().to_vec();
        outputs.push(Output::Send { message: Message::Pull { buckets }, to: from });
    }

    fn answer_pull(&self, to: SocketAddr, buckets: &[u64], outputs: &mut Vec<Output>) {
        if buckets.len() != DIGEST_BUCKETS {
            return;
        }
        let mut facts = Vec::new();
        let mut spent_bytes = 0;
        for fact in self.facts.differing(buckets) {
            let size = size_bytes(&fact);
            if spent_bytes + size > FACTS_BUDGET_BYTES && !facts.is_empty() {
                let message = Message::Facts { facts: std::mem::take(&mut facts) };
                outputs.push(Output::Send { message, to });
                spent_bytes = 0;
            }
            spent_bytes += size;
            facts.push(fact);
        }
        if !facts.is_empty() {
            outputs.push(Output::Send { message: Message::Facts { facts }, to });
        }
    }

    fn push_pending(&mut self, outputs: &mut Vec<Output>) {
        if !self.facts.has_pending() {
            return;
        }
        let peers: Vec<SocketAddr> = self
            .peers()
            .filter(|node| node.state != NodeState::Suspect)
            .map(|node| node.control)
            .collect();
        let receivers: Vec<SocketAddr> =
            peers.choose_multiple(&mut self.rng, PUSH_FANOUT).copied().collect();
        if receivers.is_empty() {
            return;
        }
        let facts = self.facts.take_pending(FACTS_BUDGET_BYTES, receivers.len() as u8);
        for to in receivers {
            let message = Message::Facts { facts: facts.clone() };
            outputs.push(Output::Send { message, to });
        }
    }
}
