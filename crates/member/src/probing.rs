//! Probing: one other node a second, ways round, and addresses that were lost.

use crate::fact::{Fact, NodeFact, NodeState};
use crate::membership::{FACTS_BUDGET_BYTES, Membership, Message, Output, Probe, Relay};
use catkinmast_model::{Name, UnixMs};
use indexmap::IndexSet;
use rand::seq::{IndexedRandom, SliceRandom};
use std::net::SocketAddr;

/// How many other nodes are asked to probe a node that did not answer.
const HELPERS: usize = 3;

impl Membership {
    /// Probes one address that was lost, or a seed that is no peer.
    ///
    /// When two regions lose each other for longer than lost nodes are remembered, neither side
    /// knows anybody of the other any more, and without this they would stay apart for ever after
    /// the network has healed. One probe that gets through is enough: the digests differ, both
    /// sides pull, and every node that finds itself called gone refutes it.
    pub(crate) fn try_to_rejoin(&mut self, outputs: &mut Vec<Output>) {
        let peers: IndexSet<SocketAddr> = self.peers().map(|node| node.control).collect();
        if peers.is_empty() {
            // The regular probe asks the seeds then.
            return;
        }
        let known = self.seeds.iter().chain(&self.former);
        let lost: Vec<SocketAddr> =
            known.filter(|at| !peers.contains(*at) && **at != self.me.control).copied().collect();
        if let Some(to) = lost.choose(&mut self.rng).copied() {
            self.sequence += 1;
            self.ping(to, self.sequence, outputs);
        }
    }

    pub(crate) fn send_probe(&mut self, now: UnixMs, outputs: &mut Vec<Output>) {
        if self.order.is_empty() {
            self.order = self.peers().map(|node| node.name.clone()).collect();
            self.order.shuffle(&mut self.rng);
        }
        let next = self.next_in_order();
        self.sequence += 1;
        let sequence = self.sequence;
        match next {
            Some((node, to)) => {
                self.probe = Some(Probe {
                    acknowledged: false,
                    ends_at: now.plus(self.settings.probe_every_ms),
                    indirect: false,
                    indirect_at: now.plus(self.settings.probe_timeout_ms),
                    node,
                    sequence,
                });
                self.ping(to, sequence, outputs);
            }
            None => {
                if let Some(seed) = self.seeds.choose(&mut self.rng).copied() {
                    self.ping(seed, sequence, outputs);
                }
            }
        }
    }

    fn next_in_order(&mut self) -> Option<(Name, SocketAddr)> {
        while let Some(name) = self.order.pop() {
            let found = self.node(&name).filter(|node| node.state != NodeState::Gone);
            if let Some(control) = found.map(|node| node.control) {
                return Some((name, control));
            }
        }
        None
    }

    pub(crate) fn ping(&mut self, to: SocketAddr, sequence: u64, outputs: &mut Vec<Output>) {
        let mut facts = self.facts.take_pending(FACTS_BUDGET_BYTES, 1);
        if self.peers().next().is_none() && !facts.iter().any(|fact| self.is_me(fact)) {
            // A seed that does not know us yet must learn where to answer.
            facts.push(Fact::Node(self.me.clone()));
        }
        let message = Message::Ping { digest: self.facts.digest(), facts, sequence };
        outputs.push(Output::Send { message, to });
    }

    fn is_me(&self, fact: &Fact) -> bool {
        matches!(fact, Fact::Node(node) if node.name == self.me.name)
    }

    pub(crate) fn check_probe(&mut self, now: UnixMs, outputs: &mut Vec<Output>) {
        let Some(mut probe) = self.probe.take() else { return };
        if probe.acknowledged {
            return;
        }
        if now >= probe.ends_at {
            self.suspect(now, &probe.node, outputs);
            return;
        }
        if !probe.indirect && now >= probe.indirect_at {
            probe.indirect = true;
            self.probe_indirectly(&probe, outputs);
        }
        self.probe = Some(probe);
    }

    fn probe_indirectly(&mut self, probe: &Probe, outputs: &mut Vec<Output>) {
        let Some(control) = self.node(&probe.node).map(|node| node.control) else { return };
        let others: Vec<SocketAddr> = self
            .peers()
            .filter(|node| node.name != probe.node && node.state == NodeState::Live)
            .map(|node| node.control)
            .collect();
        for to in others.choose_multiple(&mut self.rng, HELPERS) {
            let message = Message::PingFor { control, sequence: probe.sequence };
            outputs.push(Output::Send { message, to: *to });
        }
        // Most often it was a single message that was lost.
        self.ping(control, probe.sequence, outputs);
    }

    fn suspect(&mut self, now: UnixMs, name: &Name, outputs: &mut Vec<Output>) {
        let Some(node) = self.node(name) else { return };
        // A leaving node that falls silent has left: nothing is waited for.
        let state = match node.state {
            NodeState::Live => NodeState::Suspect,
            NodeState::Leaving => NodeState::Gone,
            NodeState::Suspect | NodeState::Gone => return,
        };
        let suspected = NodeFact { state, ..node.clone() };
        self.take(now, Fact::Node(suspected), outputs);
    }

    pub(crate) fn acknowledge(&mut self, sequence: u64, outputs: &mut Vec<Output>) {
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
        {
            probe.acknowledged = true;
        }
        if let Some(relay) = self.relays.swap_remove(&sequence) {
            let message = Message::Ack {
                digest: self.facts.digest(),
                facts: Vec::new(),
                sequence: relay.asker_sequence,
            };
            outputs.push(Output::Send { message, to: relay.asker });
        }
    }

    pub(crate) fn relay(
        &mut self,
        now: UnixMs,
        asker: SocketAddr,
        control: SocketAddr,
        asker_sequence: u64,
        outputs: &mut Vec<Output>,
    ) {
        self.sequence += 1;
        let expires_at = now.plus(self.settings.probe_every_ms);
        self.relays.insert(self.sequence, Relay { asker, asker_sequence, expires_at });
        self.ping(control, self.sequence, outputs);
    }
}
