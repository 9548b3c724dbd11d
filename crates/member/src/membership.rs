//! The failure detector, and how facts travel.
//!
//! Every second a node probes one other, in a shuffled order, so each node is probed about once a
//! second whatever the fleet's size. No answer in 400 ms brings a second probe and three by way
//! of other nodes; none answered by the end of the period makes a suspicion, which the suspect can refute by raising its
//! refutation number. An unrefuted suspicion becomes `Gone`.
//!
//! A process that was itself paused or starved must not accuse others: when a tick comes later
//! than [`LATE_TICK_MS`], outstanding probes are dropped instead of being counted as failures,
//! and open suspicions get their time again. This is the local-health idea of Lifeguard in its
//! smallest form.

use crate::fact::{Fact, FactKey, NodeFact, NodeState};
use crate::fact_table::{DIGEST_BUCKETS, FactTable, MergeOutcome, size_bytes};
use catkinmast_model::{Name, UnixMs};
use indexmap::{IndexMap, IndexSet};
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of facts in one message; with the frame they stay below a datagram.
pub(crate) const FACTS_BUDGET_BYTES: usize = 1_200;
/// A tick that comes this late tells of our own pause.
const LATE_TICK_MS: u64 = 400;
/// To how many nodes a fresh fact is pushed at once.
const PUSH_FANOUT: usize = 3;
/// How long a fact rests before its digest counts in a comparison.
const SETTLE_MS: u64 = 2_000;
/// How long a difference is left to news that may be on its way. *A node that was cut off does without
/// what it has missed* for as long as anything else is new, as in a fleet that is being restarted. It would
/// be noticed as a request that this node sends on after all others hold it back. A fact reaches all within
/// a second, so a difference that lasts longer is none of those.
const DIFFERENCE_MAX_MS: u64 = 1_500;
/// How long a gone node or target is remembered, so that a late message does not bring it back.
const GONE_KEPT_MS: u64 = 600_000;
/// Time between two tries to reach a node that was lost, or a seed that is no peer.
const REJOIN_EVERY_MS: u64 = 5_000;
/// Most seeds that a node that joins tells of itself at once; rumours reach the others.
const GREETED_MAX: usize = 128;
/// How many addresses of lost nodes are remembered.
const FORMER_MAX: usize = 512;

/// How the failure detector works.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Time between two probes. Default: 1,000.
    pub probe_every_ms: u64,
    /// How long a direct probe may take before indirect ones are sent. Default: 400.
    pub probe_timeout_ms: u64,
    /// How long a suspect has to refute. Default: 4,000.
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
        /// Digest of the sender's board.
        digest: u64,
        /// Facts to pass on.
        facts: Vec<Fact>,
        /// The probe that it answers.
        sequence: u64,
    },
    /// Facts, unasked.
    Facts {
        /// The facts.
        facts: Vec<Fact>,
    },
    /// A probe.
    Ping {
        /// Digest of the sender's board.
        digest: u64,
        /// Facts to pass on.
        facts: Vec<Fact>,
        /// Number of the probe.
        sequence: u64,
    },
    /// Asks the receiver to probe a third node.
    PingFor {
        /// The node to probe.
        control: SocketAddr,
        /// The asker's number of the probe.
        sequence: u64,
    },
    /// Asks for the facts in differing parts of the board.
    Pull {
        /// Digests of the asker's parts.
        buckets: Vec<u64>,
    },
}

/// What the failure detector wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// A fact was taken; the process may have to act on it.
    Changed(Fact),
    /// A datagram to send.
    Send {
        /// What to send.
        message: Message,
        /// Where to.
        to: SocketAddr,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub acknowledged: bool,
    pub ends_at: UnixMs,
    pub indirect: bool,
    pub indirect_at: UnixMs,
    pub node: Name,
    pub sequence: u64,
}

/// A probe that we make for another node.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub asker: SocketAddr,
    pub asker_sequence: u64,
    pub expires_at: UnixMs,
}

/// A node's view of the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) facts: FactTable,
    pub(crate) former: IndexSet<SocketAddr>,
    pub(crate) gone_until: IndexMap<FactKey, UnixMs>,
    pub(crate) last_tick_at: Option<UnixMs>,
    pub(crate) me: NodeFact,
    pub(crate) next_probe_at: UnixMs,
    pub(crate) order: Vec<Name>,
    pub(crate) probe: Option<Probe>,
    pub(crate) pull_after: UnixMs,
    /// When a difference that has been seen is pulled at the latest; none while there is none.
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
    /// Opens the view of node `me`, which knows `seeds` to begin with.
    pub fn open(
        me: NodeFact,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
        rng: Pcg64Mcg,
    ) -> Self {
        let mut table = FactTable::default();
        table.merge(Fact::Node(me.clone()), 2);
        Self {
            facts: table,
            former: IndexSet::new(),
            gone_until: IndexMap::new(),
            last_tick_at: None,
            me,
            next_probe_at: UnixMs(0),
            order: Vec::new(),
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

    /// Borrows the board.
    pub const fn facts(&self) -> &FactTable {
        &self.facts
    }

    /// Borrows this node's own fact.
    pub const fn me(&self) -> &NodeFact {
        &self.me
    }

    /// Walks through all nodes known, this one included.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeFact> {
        self.facts.iter().filter_map(|fact| match fact {
            Fact::Node(node) => Some(node),
            _ => None,
        })
    }

    /// Walks through the other nodes that are not gone.
    pub fn peers(&self) -> impl Iterator<Item = &NodeFact> {
        self.nodes().filter(|node| node.name != self.me.name && node.state != NodeState::Gone)
    }

    /// Forgets a fact that is too old to matter; peers that still hold it tell it again, and forget it
    /// themselves soon after.
    pub fn forget(&mut self, key: &FactKey) {
        self.facts.forget(key);
    }

    /// Adds an address to ask while no peer is known.
    pub fn add_seed(&mut self, seed: SocketAddr) {
        if seed != self.me.control && !self.seeds.contains(&seed) {
            self.seeds.push(seed);
        }
    }

    /// Marks this node as leaving; that is told at once and never taken back in this life.
    pub fn leave(&mut self, now: UnixMs) -> Vec<Output> {
        self.me.state = NodeState::Leaving;
        self.observe(now, Fact::Node(self.me.clone()))
    }

    /// Tells the seeds of this node, and asks some of them for what they know.
    ///
    /// When a whole fleet starts at once, rumours alone take seconds to tell each node of all
    /// others; until then nodes with half a view would take duties from owners that live.
    pub fn announce_to_seeds(&mut self) -> Vec<Output> {
        let seeds: Vec<SocketAddr> =
            self.seeds.choose_multiple(&mut self.rng, GREETED_MAX).copied().collect();
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

    /// Takes a fact that this node found out itself, and pushes it to some peers at once.
    pub fn observe(&mut self, now: UnixMs, fact: Fact) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.take(now, fact, &mut outputs);
        self.push_pending(&mut outputs);
        outputs
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: UnixMs) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.is_late(now) {
            self.forgive(now);
        }
        self.last_tick_at = Some(now);
        self.check_probe(now, &mut outputs);
        self.check_suspects(now, &mut outputs);
        self.forget_gone(now);
        self.relays.retain(|_, relay| relay.expires_at > now);
        if now >= self.next_probe_at {
            self.next_probe_at = now.plus(self.settings.probe_every_ms);
            self.send_probe(now, &mut outputs);
        }
        if now >= self.rejoin_at {
            self.rejoin_at = now.plus(REJOIN_EVERY_MS);
            self.try_to_rejoin(&mut outputs);
        }
        self.push_pending(&mut outputs);
        outputs
    }

    /// Handles one datagram.
    pub fn receive(&mut self, now: UnixMs, from: SocketAddr, message: Message) -> Vec<Output> {
        let mut outputs = Vec::new();
        match message {
            Message::Ack { digest, facts, sequence } => {
                self.take_all(now, facts, &mut outputs);
                self.acknowledge(sequence, &mut outputs);
                self.compare(now, from, digest, &mut outputs);
            }
            Message::Facts { facts } => self.take_all(now, facts, &mut outputs),
            Message::Ping { digest, facts, sequence } => {
                self.take_all(now, facts, &mut outputs);
                let facts = self.facts.take_pending(FACTS_BUDGET_BYTES, 1);
                let message = Message::Ack { digest: self.facts.digest(), facts, sequence };
                outputs.push(Output::Send { message, to: from });
                self.compare(now, from, digest, &mut outputs);
            }
            Message::PingFor { control, sequence } => {
                self.relay(now, from, control, sequence, &mut outputs);
            }
            Message::Pull { buckets } => self.answer_pull(from, &buckets, &mut outputs),
        }
        self.push_pending(&mut outputs);
        outputs
    }

    fn is_late(&self, now: UnixMs) -> bool {
        self.last_tick_at.is_some_and(|last| now.since_ms(last) > LATE_TICK_MS)
    }

    fn forgive(&mut self, now: UnixMs) {
        self.probe = None;
        for deadline in self.suspects.values_mut() {
            *deadline = now.plus(self.settings.suspicion_ms);
        }
    }

    fn take_all(&mut self, now: UnixMs, facts: Vec<Fact>, outputs: &mut Vec<Output>) {
        for fact in facts {
            self.take(now, fact, outputs);
        }
    }

    pub(crate) fn take(&mut self, now: UnixMs, fact: Fact, outputs: &mut Vec<Output>) {
        if let Fact::Node(node) = &fact
            && node.name == self.me.name
            && self.refuted(node)
        {
            let mine = Fact::Node(self.me.clone());
            self.pull_after = now.plus(SETTLE_MS);
            self.facts.merge(mine, Self::sends());
            return;
        }
        if self.facts.merge(fact.clone(), Self::sends()) == MergeOutcome::Unchanged {
            return;
        }
        self.pull_after = now.plus(SETTLE_MS);
        if fact.is_gone() {
            self.gone_until.insert(fact.key(), now.plus(GONE_KEPT_MS));
        } else {
            self.gone_until.swap_remove(&fact.key());
        }
        if let Fact::Node(node) = &fact {
            self.note_node(now, node);
        }
        outputs.push(Output::Changed(fact));
    }

    /// Raises our refutation number when a peer believes worse of us than is true.
    fn refuted(&mut self, claim: &NodeFact) -> bool {
        let about_this_life = claim.incarnation == self.me.incarnation;
        let worse = claim.state > self.me.state && claim.refutation >= self.me.refutation;
        if about_this_life && worse {
            self.me.refutation = claim.refutation + 1;
        }
        about_this_life && worse
    }

    fn note_node(&mut self, now: UnixMs, node: &NodeFact) {
        match node.state {
            NodeState::Suspect => {
                let deadline = now.plus(self.settings.suspicion_ms);
                self.suspects.entry(node.name.clone()).or_insert(deadline);
            }
            NodeState::Live | NodeState::Leaving => {
                self.suspects.swap_remove(&node.name);
                self.former.shift_remove(&node.control);
            }
            NodeState::Gone => {
                self.suspects.swap_remove(&node.name);
                self.former.insert(node.control);
                if self.former.len() > FORMER_MAX {
                    self.former.shift_remove_index(0);
                }
            }
        }
    }

    /// How often each node passes a fresh fact on: once to each receiver of its push, and once
    /// more with a probe. Whoever is missed notices by the digest within seconds. More copies were
    /// tried, growing with the fleet: they cost twice the bytes when a data centre dies, and news
    /// was not everywhere earlier.
    const fn sends() -> u8 {
        PUSH_FANOUT as u8 + 1
    }

    pub(crate) fn node(&self, name: &Name) -> Option<&NodeFact> {
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
                self.take(now, Fact::Node(gone), outputs);
            }
        }
    }

    fn forget_gone(&mut self, now: UnixMs) {
        let due: Vec<FactKey> = self
            .gone_until
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.gone_until.swap_remove(&key);
            self.facts.forget(&key);
        }
    }

    /// Pulls when the boards differ and nothing is on its way that would explain it, or they have differed
    /// for too long.
    fn compare(&mut self, now: UnixMs, from: SocketAddr, digest: u64, outputs: &mut Vec<Output>) {
        if digest == self.facts.digest() {
            self.pull_by = None;
            return;
        }
        let pull_by = *self.pull_by.get_or_insert(now.plus(DIFFERENCE_MAX_MS));
        let knows_nobody = self.peers().next().is_none();
        if now < self.pull_after.min(pull_by) && !knows_nobody {
            return;
        }
        self.pull_by = None;
        self.pull_after = now.plus(SETTLE_MS);
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
