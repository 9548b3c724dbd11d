//! Probes: one other node every second, indirect probes, and probes of lost addresses.

use crate::fact::{Fact, NodeFact, NodeState};
use crate::membership::{FACTS_BUDGET_BYTES, Membership, Message, Output, Probe, Relay};
use catkinmast_model::{Name, UnixMs};
use indexmap::IndexSet;
use rand::seq::{IndexedRandom, SliceRandom};
use std::net::SocketAddr;

/// Number of other nodes that are asked to probe a node that did not answer.
const INDIRECT_PROBES: usize = 3;

impl Membership {
    /// Probes the address of one lost node, or of a seed that is not a peer.
    ///
    /// When two regions are partitioned for longer than tombstones are kept, neither side knows
    /// any node of the other, and without this probe they would stay apart after the network has
    /// healed. One probe that arrives is enough: the digests differ, both sides pull, and every
    /// node that is reported as gone refutes it.
    pub(crate) fn probe_lost_address(&mut self, outputs: &mut Vec<Output>) {
        let peers: IndexSet<SocketAddr> = self.peers().map(|node| node.control).collect();
        if peers.is_empty() {
            // The regular probe then goes to a seed.
            return;
        }
        let known = self.seeds.iter().chain(&self.lost_addresses);
        let lost: Vec<SocketAddr> =
            known.filter(|at| !peers.contains(*at) && **at != self.me.control).copied().collect();
        if let Some(to) = lost.choose(&mut self.rng).copied() {
            self.sequence += 1;
            self.ping(to, self.sequence, outputs);
        }
    }

    pub(crate) fn send_probe(&mut self, now: UnixMs, outputs: &mut Vec<Output>) {
        if self.probe_order.is_empty() {
            self.probe_order = self.peers().map(|node| node.name.clone()).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        let next = self.next_to_probe();
        self.sequence += 1;
        let sequence = self.sequence;
        match next {
            Some((node, to)) => {
                self.probe = Some(Probe {
                    acknowledged: false,
                    ends_at: now.plus(self.settings.probe_every_ms),
                    indirect_sent: false,
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

    fn next_to_probe(&mut self) -> Option<(Name, SocketAddr)> {
        while let Some(name) = self.probe_order.pop() {
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
            // A seed that does not know this node yet must learn its address to answer.
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
        if !probe.indirect_sent && now >= probe.indirect_at {
            probe.indirect_sent = true;
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
        for to in others.choose_multiple(&mut self.rng, INDIRECT_PROBES) {
            let message = Message::PingFor { control, sequence: probe.sequence };
            outputs.push(Output::Send { message, to: *to });
        }
        // Most often only a single message was lost, so the direct probe is repeated.
        self.ping(control, probe.sequence, outputs);
    }

    fn suspect(&mut self, now: UnixMs, name: &Name, outputs: &mut Vec<Output>) {
        let Some(node) = self.node(name) else { return };
        // A leaving node that stops answering has left: it is marked gone at once, without time to
        // refute.
        let state = match node.state {
            NodeState::Live => NodeState::Suspect,
            NodeState::Leaving => NodeState::Gone,
            NodeState::Suspect | NodeState::Gone => return,
        };
        let suspected = NodeFact { state, ..node.clone() };
        self.apply(now, Fact::Node(suspected), outputs);
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
                sequence: relay.requester_sequence,
            };
            outputs.push(Output::Send { message, to: relay.requester });
        }
    }

    pub(crate) fn relay(
        &mut self,
        now: UnixMs,
        requester: SocketAddr,
        control: SocketAddr,
        requester_sequence: u64,
        outputs: &mut Vec<Output>,
    ) {
        self.sequence += 1;
        let expires_at = now.plus(self.settings.probe_every_ms);
        self.relays.insert(self.sequence, Relay { requester, requester_sequence, expires_at });
        self.ping(control, self.sequence, outputs);
    }
}
