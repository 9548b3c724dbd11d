//! A fleet of nodes in virtual time, whose targets serve a limited number of requests a second.

use catkinmast_fairness::{FairShares, Half};
use catkinmast_model::UnixMs;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Length of a step of the simulation.
const STEP_MS: u64 = 100;
const STEPS_PER_S: u64 = 1_000 / STEP_MS;

/// How the calls of a workspace are spread over nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Spread {
    /// Each call to a random node.
    All,
    /// All calls to one of this many nodes, the first of which has this number.
    Few { first: usize, count: usize },
}

/// A workspace and its calls.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pub(crate) name: String,
    pub(crate) per_s: f64,
    pub(crate) priority: u32,
    pub(crate) spread: Spread,
}

/// Returns `count` workspaces that send `per_s` requests a second each, the first one ten times as
/// much, with calls spread by `spread`, which is given the number of the workspace.
pub(crate) fn senders(count: usize, per_s: f64, spread: impl Fn(usize) -> Spread) -> Vec<Sender> {
    let one = |number: usize| Sender {
        name: format!("w{number}"),
        per_s: if number == 0 { per_s * 10.0 } else { per_s },
        priority: 1,
        spread: spread(number),
    };
    (0..count).map(one).collect()
}

/// What happened to the requests of a workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) offered: u64,
    pub(crate) rejected: u64,
    pub(crate) served: u64,
}

/// A fleet. A node that is dead is `None`.
pub(crate) struct Fleet {
    /// Requests a second that the targets serve.
    pub(crate) capacity_per_s: f64,
    /// Part of the requests that targets refuse although they have capacity.
    pub(crate) refused: f64,
    /// Part of the datagrams that are lost.
    pub(crate) lost: f64,
    /// Nodes below this number exchange no datagrams with the others.
    pub(crate) cut_at: usize,
    pub(crate) nodes: Vec<Option<FairShares>>,
    now: UnixMs,
    rng: Pcg64Mcg,
    carried_capacity: f64,
    workspaces: usize,
    /// Size of the largest datagram, with 18 bytes for frame and variant.
    pub(crate) largest_bytes: usize,
    pub(crate) most_entries: usize,
}

impl Fleet {
    pub(crate) fn new(nodes: usize, capacity_per_s: f64, seed: u64) -> Self {
        Self {
            capacity_per_s,
            refused: 0.0,
            lost: 0.0,
            cut_at: 0,
            nodes: (0..nodes).map(|_| Some(FairShares::default())).collect(),
            now: UnixMs(1_000_000),
            rng: Pcg64Mcg::seed_from_u64(seed),
            carried_capacity: 0.0,
            workspaces: 0,
            largest_bytes: 0,
            most_entries: 0,
        }
    }

    /// Runs for some seconds and returns the outcomes of each workspace's requests.
    pub(crate) fn run(&mut self, senders: &[Sender], seconds: u64) -> Vec<Outcomes> {
        self.workspaces = senders.len();
        let mut outcomes = vec![Outcomes::default(); senders.len()];
        for step in 0..seconds * STEPS_PER_S {
            self.now = self.now.plus(STEP_MS);
            self.gossip(step % STEPS_PER_S);
            let mut admitted = self.arrivals(senders, &mut outcomes);
            self.serve(senders, &mut admitted, &mut outcomes);
        }
        outcomes
    }

    /// Lets the requests of a step arrive. Returns the admitted ones: node and workspace.
    fn arrivals(&mut self, senders: &[Sender], outcomes: &mut [Outcomes]) -> Vec<(usize, usize)> {
        let mut admitted = Vec::new();
        for (workspace, sender) in senders.iter().enumerate() {
            let mean = sender.per_s * STEP_MS as f64 / 1_000.0;
            for _ in 0..self.poisson(mean) {
                let at = match sender.spread {
                    Spread::All => self.rng.random_range(0..self.nodes.len()),
                    Spread::Few { first, count } => {
                        (first + self.rng.random_range(0..count)) % self.nodes.len()
                    }
                };
                let draw = self.rng.random::<f64>();
                // A caller whose node is dead calls another one.
                let live = (0..self.nodes.len()).map(|offset| (at + offset) % self.nodes.len());
                let Some(at) = live.into_iter().find(|at| self.nodes[*at].is_some()) else {
                    continue;
                };
                let Some(node) = self.nodes[at].as_mut() else { continue };
                node.record_offered(self.now, &sender.name, sender.priority);
                outcomes[workspace].offered += 1;
                if node.admits(self.now, &sender.name, sender.priority, draw) {
                    admitted.push((at, workspace));
                } else {
                    outcomes[workspace].rejected += 1;
                }
            }
        }
        admitted
    }

    /// Serves as many of the admitted requests as the targets can, in random order.
    fn serve(
        &mut self,
        senders: &[Sender],
        admitted: &mut [(usize, usize)],
        outcomes: &mut [Outcomes],
    ) {
        for index in (1..admitted.len()).rev() {
            admitted.swap(index, self.rng.random_range(0..=index));
        }
        let capacity = self.capacity_per_s * STEP_MS as f64 / 1_000.0;
        // A queue of a second evens out the steps.
        self.carried_capacity = (self.carried_capacity + capacity).min(self.capacity_per_s);
        for (at, workspace) in admitted.iter().copied() {
            let is_refused = self.rng.random::<f64>() < self.refused;
            let Some(node) = self.nodes[at].as_mut() else { continue };
            if self.carried_capacity >= 1.0 && !is_refused {
                self.carried_capacity -= 1.0;
                node.record_served(self.now, &senders[workspace].name);
                outcomes[workspace].served += 1;
            } else {
                node.record_unserved(self.now);
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        (one < self.cut_at) != (other < self.cut_at)
    }

    /// Sends the datagrams of the nodes whose second ends in this step.
    fn gossip(&mut self, phase: u64) {
        for from in 0..self.nodes.len() {
            if from as u64 * 7 % STEPS_PER_S != phase || self.nodes[from].is_none() {
                continue;
            }
            let peers: Vec<usize> = (0..self.nodes.len())
                .filter(|to| *to != from && self.nodes[*to].is_some() && !self.is_cut(from, *to))
                .collect();
            let Some(node) = self.nodes[from].as_mut() else { continue };
            node.set_size(peers.len() + 1, self.workspaces);
            if peers.is_empty() {
                continue;
            }
            let Some(half) = node.outgoing(self.now) else { continue };
            let bytes = postcard::to_stdvec(&half).expect("it can be encoded").len();
            self.largest_bytes = self.largest_bytes.max(bytes + 18);
            self.most_entries = self.most_entries.max(half.entries.len());
            let to = peers[self.rng.random_range(0..peers.len())];
            if self.rng.random::<f64>() >= self.lost {
                self.deliver(to, half);
            }
        }
    }

    fn deliver(&mut self, to: usize, half: Half) {
        if let Some(node) = self.nodes[to].as_mut() {
            node.receive(self.now, half).expect("a node sends valid values");
        }
    }

    fn poisson(&mut self, mean: f64) -> u64 {
        let limit = (-mean).exp();
        let mut product = self.rng.random::<f64>();
        let mut count = 0;
        while product > limit {
            product *= self.rng.random::<f64>();
            count += 1;
        }
        count
    }

    /// Returns how many live nodes consider the service contended.
    pub(crate) fn contended(&self) -> usize {
        self.nodes.iter().flatten().filter(|node| node.is_contended()).count()
    }
}

/// Returns the max-min shares of demands in a capacity, by bisection of the level.
pub(crate) fn max_min(demands: &[f64], capacity: f64) -> Vec<f64> {
    let (mut low, mut high) = (0.0, capacity.max(demands.iter().copied().fold(0.0, f64::max)));
    for _ in 0..100 {
        let level = f64::midpoint(low, high);
        let filled: f64 = demands.iter().map(|demand| demand.min(level)).sum();
        if filled > capacity { high = level } else { low = level }
    }
    demands.iter().map(|demand| demand.min(high)).collect()
}
