//! Many membership views on a virtual network: messages, bytes and times are counted.
//!
//! The views are the real aggregates; the network has latencies, loss and cuts, and nothing else.

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

/// Time between two ticks of a view.
const TICK_MS: u64 = 100;
/// IP and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;
/// Latency inside a data centre, inside a region, and between regions.
const LATENCIES_MS: [u64; 3] = [1, 2, 30];

/// A fleet on a virtual network.
#[derive(Debug)]
pub struct VirtualFleet {
    cut: bool,
    loss_percent: u32,
    members: Vec<Member>,
    now: UnixMs,
    order: u64,
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

/// A message on its way; ordered by its sender only to make the queue's order total.
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

/// What a fleet has sent so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// The largest sum of bytes sent and received by one node.
    pub busiest_node_bytes: u64,
    /// Bytes sent and received by all nodes, headers included.
    pub bytes: u64,
    /// Messages sent by all nodes.
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
        Err(error) => unreachable!("'{text}' is a name: {error}"),
    }
}

/// Data centre of a node: five of them, the first three in one region.
fn place(node: usize) -> usize {
    node % 5
}

fn region(node: usize) -> usize {
    usize::from(place(node) >= 3)
}

fn node_fact(node: usize, incarnation: u64) -> NodeFact {
    NodeFact {
        capacity_millicores: 1_000,
        control: address(node),
        data_centre: name(&format!("place-{}", place(node))),
        has_data_folder: node.is_multiple_of(16),
        http: address(node),
        incarnation: Incarnation(incarnation),
        name: name(&format!("entry-{node}")),
        refutation: 0,
        state: NodeState::Live,
    }
}

impl VirtualFleet {
    /// Opens a fleet of `nodes` views, all started at once, the first of which is everybody's seed.
    pub fn open(nodes: usize, seed: u64, loss_percent: u32) -> Self {
        let mut fleet = Self {
            cut: false,
            loss_percent,
            members: Vec::new(),
            now: UnixMs(0),
            order: 0,
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
        let view = Membership::open(node_fact(node, incarnation), seeds, settings, rng);
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
            // Ticks of different nodes do not fall together.
            let first = self.now.plus(1 + self.rng.random_range(0..TICK_MS));
            self.enqueue(first, node, Packet { from: node, message: None });
        }
    }

    fn enqueue(&mut self, at: UnixMs, to: usize, packet: Packet) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, to, packet)));
    }

    /// Returns the time.
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

    /// Runs until `holds` or `ends_at`, and returns when it held.
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
                    self.carry_out(to, outputs);
                }
            }
            Some(message) if self.members[to].paused => {
                // It waits in the paused process's socket.
                let packet = Packet { message: Some(message), ..packet };
                self.enqueue(self.now.plus(TICK_MS), to, packet);
            }
            Some(message) if self.members[to].up => {
                let bytes = size_bytes(&message);
                let member = &mut self.members[to];
                member.received_bytes += bytes;
                let outputs = member.view.receive(self.now, address(packet.from), message);
                self.carry_out(to, outputs);
            }
            Some(_) => {}
        }
    }

    fn carry_out(&mut self, from: usize, outputs: Vec<Output>) {
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
        let apart = self.cut && region(from) != region(to);
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if to >= self.members.len() || apart || lost {
            return;
        }
        let near = if place(from) == place(to) {
            0
        } else if region(from) == region(to) {
            1
        } else {
            2
        };
        let at = self.now.plus(LATENCIES_MS[near]);
        self.enqueue(at, to, Packet { from, message: Some(message) });
    }

    /// Lets a node find out a fact.
    pub fn observe(&mut self, node: usize, fact: Fact) {
        self.members[node].changes.push((self.now, fact.clone()));
        let outputs = self.members[node].view.observe(self.now, fact);
        self.carry_out(node, outputs);
    }

    /// Stops a node without a word.
    pub fn kill(&mut self, node: usize) {
        self.members[node].up = false;
    }

    /// Starts a node that was stopped, as a new life at the same address.
    pub fn restart(&mut self, node: usize) {
        let incarnation = self.members[node].view.me().incarnation.0 + 1;
        self.add(node, incarnation);
    }

    /// Stops a process in the middle; its datagrams wait.
    pub fn pause(&mut self, node: usize) {
        self.members[node].paused = true;
    }

    /// Lets a paused process go on.
    pub fn resume(&mut self, node: usize) {
        self.members[node].paused = false;
    }

    /// Lets a node leave.
    pub fn leave(&mut self, node: usize) {
        let outputs = self.members[node].view.leave(self.now);
        self.carry_out(node, outputs);
    }

    /// Cuts the two regions from each other, or joins them.
    pub const fn set_partitioned(&mut self, cut: bool) {
        self.cut = cut;
    }

    /// Returns how many nodes the fleet has.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether the fleet has no node.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the region of a node.
    pub fn region_of(&self, node: usize) -> usize {
        region(node)
    }

    /// Returns what `viewer` believes of `node`; none when it does not know it.
    pub fn state(&self, viewer: usize, node: usize) -> Option<NodeState> {
        let key = FactKey::Node(name(&format!("entry-{node}")));
        match self.members[viewer].view.facts().get(&key) {
            Some(Fact::Node(fact)) => Some(fact.state),
            _ => None,
        }
    }

    /// Tells whether every node that is up knows `fact`.
    pub fn all_know(&self, fact: &Fact) -> bool {
        let key = fact.key();
        let up = self.members.iter().filter(|member| member.up && !member.paused);
        up.map(|member| member.view.facts().get(&key)).all(|held| held == Some(fact))
    }

    /// Tells whether every node that is up sees exactly the nodes that are up as live.
    pub fn all_agree(&self) -> bool {
        let up: Vec<usize> = (0..self.len()).filter(|node| self.members[*node].up).collect();
        up.iter().all(|viewer| {
            let live = self.members[*viewer].view.nodes();
            let live = live.filter(|node| node.state == NodeState::Live).count();
            live == up.len()
                && up.iter().all(|node| self.state(*viewer, *node) == Some(NodeState::Live))
        })
    }

    /// Returns the changes that a node noticed, with their times.
    pub fn changes(&self, node: usize) -> &[(UnixMs, Fact)] {
        &self.members[node].changes
    }

    /// Returns what was sent so far.
    pub fn traffic(&self) -> Traffic {
        let of = |member: &Member| member.sent_bytes + member.received_bytes;
        Traffic {
            busiest_node_bytes: self.members.iter().map(of).max().unwrap_or(0),
            bytes: self.members.iter().map(of).sum(),
            messages: self.members.iter().map(|member| member.sent_messages).sum(),
        }
    }
}

fn size_bytes(message: &Message) -> u64 {
    let payload = postcard::experimental::serialized_size(message).unwrap_or(0);
    (payload + OVERHEAD_BYTES) as u64 + HEADER_BYTES
}
