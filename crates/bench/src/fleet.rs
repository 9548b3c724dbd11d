//! Simulated fleet: many membership views on a virtual network, which counts messages, bytes and
//! time.
//!
//! The views are the production `Membership`; the network models only latency, loss and a partition
//! between two regions.

use catkinmast_member::{
    Fact, FactKey, Membership, MembershipSettings, Message, NodeFact, NodeState, Output,
};
use catkinmast_model::{Incarnation, Name, UnixMs};
use catkinmast_wire::OVERHEAD_BYTES;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// Interval between ticks of a view.
const TICK_MS: u64 = 100;
/// Size of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;
/// One-way latency within a data centre, within a region, and between regions.
const LATENCIES_MS: [u64; 3] = [1, 2, 30];

/// A fleet of nodes on a virtual network.
#[derive(Debug)]
pub struct VirtualFleet {
    partitioned: bool,
    loss_percent: u32,
    members: Vec<Member>,
    now: UnixMs,
    sequence: u64,
    queue: BinaryHeap<Reverse<(UnixMs, u64, usize, Packet)>>,
    rng: Pcg64Mcg,
}

#[derive(Debug)]
struct Member {
    changes: Vec<(UnixMs, Fact)>,
    paused: bool,
    received_bytes: u64,
    sent_bytes: u64,
    sent_messages: u64,
    up: bool,
    view: Membership,
}

/// A message in transit, or a tick when `message` is none. Packets have an order only because the
/// queue's tuples need one; the sequence number before them is unique.
#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    message: Option<Message>,
}

impl PartialEq for Packet {
    fn eq(&self, other: &Self) -> bool {
        self.from == other.from
    }
}

impl Eq for Packet {}

impl PartialOrd for Packet {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Packet {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.from.cmp(&other.from)
    }
}

/// Total traffic of a fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes sent and received by the node with the most traffic.
    pub busiest_node_bytes: u64,
    /// Bytes sent and received by all nodes, including IP and UDP headers.
    pub bytes: u64,
    /// Number of messages sent by all nodes.
    pub messages: u64,
}

fn address(node: usize) -> SocketAddr {
    let [high, low] = (node as u16).to_be_bytes();
    SocketAddr::from(([127, 0, high, low], 7_400))
}

fn node_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            u16::from_be_bytes([high, low]) as usize
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

fn name(text: &str) -> Name {
    match text.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("generated name '{text}' is invalid: {error}"),
    }
}

/// Returns the data centre of a node: one of five, of which the first three are in one region.
fn data_centre(node: usize) -> usize {
    node % 5
}

fn region(node: usize) -> usize {
    usize::from(data_centre(node) >= 3)
}

fn node_fact(node: usize, incarnation: u64) -> NodeFact {
    NodeFact {
        capacity_millicores: 1_000,
        control: address(node),
        data_centre: name(&format!("place-{}", data_centre(node))),
        has_data_folder: node.is_multiple_of(16),
        http: address(node),
        incarnation: Incarnation(incarnation),
        name: name(&format!("entry-{node}")),
        refutation: 0,
        state: NodeState::Live,
    }
}

impl VirtualFleet {
    /// Creates a fleet of `nodes` views that start at the same time. Node 0 is the seed of all
    /// others.
    pub fn open(nodes: usize, seed: u64, loss_percent: u32) -> Self {
        let mut fleet = Self {
            partitioned: false,
            loss_percent,
            members: Vec::new(),
            now: UnixMs(0),
            sequence: 0,
            queue: BinaryHeap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for node in 0..nodes {
            fleet.add(node, 1);
        }
        fleet
    }

    fn add(&mut self, node: usize, incarnation: u64) {
        let seeds = if node == 0 { vec![address(1)] } else { vec![address(0)] };
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let settings = MembershipSettings::default();
        let view = Membership::new(node_fact(node, incarnation), seeds, settings, rng);
        let member = Member {
            changes: Vec::new(),
            paused: false,
            received_bytes: 0,
            sent_bytes: 0,
            sent_messages: 0,
            up: true,
            view,
        };
        if node < self.members.len() {
            self.members[node] = member;
        } else {
            self.members.push(member);
            // Nodes tick at different times.
            let first = self.now.plus(1 + self.rng.random_range(0..TICK_MS));
            self.enqueue(first, node, Packet { from: node, message: None });
        }
    }

    fn enqueue(&mut self, at: UnixMs, to: usize, packet: Packet) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, to, packet)));
    }

    /// Returns the current virtual time.
    pub const fn now(&self) -> UnixMs {
        self.now
    }

    /// Runs until `ends_at`.
    pub fn run_until(&mut self, ends_at: UnixMs) {
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > ends_at {
                break;
            }
            self.step();
        }
        self.now = ends_at;
    }

    /// Runs until `holds` returns true and returns that time, or none if it does not by `ends_at`.
    /// The condition is checked every 20 ms.
    pub fn run_until_holds(
        &mut self,
        ends_at: UnixMs,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<UnixMs> {
        let mut check_at = self.now;
        while self.now <= ends_at {
            if self.now >= check_at {
                check_at = self.now.plus(20);
                if holds(self) {
                    return Some(self.now);
                }
            }
            self.step();
        }
        None
    }

    fn step(&mut self) {
        let Some(Reverse((at, _, to, packet))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        match packet.message {
            None => {
                self.enqueue(self.now.plus(TICK_MS), to, Packet { from: to, message: None });
                let member = &mut self.members[to];
                if member.up && !member.paused {
                    let outputs = member.view.tick(self.now);
                    self.apply_outputs(to, outputs);
                }
            }
            Some(message) if self.members[to].paused => {
                // The message stays in the paused process's socket buffer.
                let packet = Packet { message: Some(message), ..packet };
                self.enqueue(self.now.plus(TICK_MS), to, packet);
            }
            Some(message) if self.members[to].up => {
                let bytes = size_bytes(&message);
                let member = &mut self.members[to];
                member.received_bytes += bytes;
                let outputs = member.view.receive(self.now, address(packet.from), message);
                self.apply_outputs(to, outputs);
            }
            Some(_) => {}
        }
    }

    fn apply_outputs(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Changed(fact) => self.members[from].changes.push((self.now, fact)),
                Output::Send { message, to } => self.send(from, node_at(to), message),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let member = &mut self.members[from];
        member.sent_bytes += size_bytes(&message);
        member.sent_messages += 1;
        let separated = self.partitioned && region(from) != region(to);
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if to >= self.members.len() || separated || lost {
            return;
        }
        let distance = if data_centre(from) == data_centre(to) {
            0
        } else if region(from) == region(to) {
            1
        } else {
            2
        };
        let at = self.now.plus(LATENCIES_MS[distance]);
        self.enqueue(at, to, Packet { from, message: Some(message) });
    }

    /// Makes a node observe a fact.
    pub fn observe(&mut self, node: usize, fact: Fact) {
        self.members[node].changes.push((self.now, fact.clone()));
        let outputs = self.members[node].view.observe(self.now, fact);
        self.apply_outputs(node, outputs);
    }

    /// Stops a node without letting it leave the fleet.
    pub fn kill(&mut self, node: usize) {
        self.members[node].up = false;
    }

    /// Starts a stopped node as a new incarnation at the same address.
    pub fn restart(&mut self, node: usize) {
        let incarnation = self.members[node].view.me().incarnation.0 + 1;
        self.add(node, incarnation);
    }

    /// Pauses a node's process; datagrams to it are delivered after it resumes.
    pub fn pause(&mut self, node: usize) {
        self.members[node].paused = true;
    }

    /// Resumes a paused node.
    pub fn resume(&mut self, node: usize) {
        self.members[node].paused = false;
    }

    /// Makes a node leave the fleet in an orderly way.
    pub fn leave(&mut self, node: usize) {
        let outputs = self.members[node].view.leave(self.now);
        self.apply_outputs(node, outputs);
    }

    /// Starts or ends a network partition between the two regions.
    pub const fn set_partitioned(&mut self, partitioned: bool) {
        self.partitioned = partitioned;
    }

    /// Returns the number of nodes, including stopped ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the fleet has no nodes.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the region of a node.
    pub fn region_of(&self, node: usize) -> usize {
        region(node)
    }

    /// Returns the state of `node` in the view of `viewer`, or none if the view does not have it.
    pub fn state(&self, viewer: usize, node: usize) -> Option<NodeState> {
        let key = FactKey::Node(name(&format!("entry-{node}")));
        match self.members[viewer].view.facts().get(&key) {
            Some(Fact::Node(fact)) => Some(fact.state),
            _ => None,
        }
    }

    /// Returns whether `fact` is in the view of every node that is up and not paused.
    pub fn all_know(&self, fact: &Fact) -> bool {
        let key = fact.key();
        let up = self.members.iter().filter(|member| member.up && !member.paused);
        up.map(|member| member.view.facts().get(&key)).all(|held| held == Some(fact))
    }

    /// Returns whether, in the view of every node that is up, exactly the nodes that are up are
    /// live.
    pub fn all_agree(&self) -> bool {
        let up: Vec<usize> = (0..self.len()).filter(|node| self.members[*node].up).collect();
        up.iter().all(|viewer| {
            let live = self.members[*viewer].view.nodes();
            let live = live.filter(|node| node.state == NodeState::Live).count();
            live == up.len()
                && up.iter().all(|node| self.state(*viewer, *node) == Some(NodeState::Live))
        })
    }

    /// Returns the changed facts of a node's view, with the times of the changes.
    pub fn changes(&self, node: usize) -> &[(UnixMs, Fact)] {
        &self.members[node].changes
    }

    /// Returns the total traffic since the start.
    pub fn traffic(&self) -> Traffic {
        let bytes_of = |member: &Member| member.sent_bytes + member.received_bytes;
        Traffic {
            busiest_node_bytes: self.members.iter().map(bytes_of).max().unwrap_or(0),
            bytes: self.members.iter().map(bytes_of).sum(),
            messages: self.members.iter().map(|member| member.sent_messages).sum(),
        }
    }
}

fn size_bytes(message: &Message) -> u64 {
    let payload = postcard::experimental::serialized_size(message).unwrap_or(0);
    (payload + OVERHEAD_BYTES) as u64 + HEADER_BYTES
}
