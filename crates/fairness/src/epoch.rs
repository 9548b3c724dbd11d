//! Averaging of the workspaces' loads over all nodes, in epochs.
//!
//! In each epoch, all nodes average the loads that they had at its start. Loads that change while
//! they are averaged would bias the means: the requests of the last seconds are always at the node
//! at which they arrived, which would see up to as many times the mean as there are nodes. An epoch
//! also bounds the effect of a lost datagram, a dead node or a wrong value: the next one starts
//! from the nodes' own counts again.
//!
//! A datagram has room for few workspaces, and a load that is sent now and then is not mixed by the
//! end of the epoch. So each epoch averages the largest loads and one group of the other
//! workspaces, which all nodes choose alike by a hash.

use crate::half::{Entry, Half, Load};
use crate::own::OwnLoads;
use crate::{ENTRIES_MAX, WORKSPACE_MAX_BYTES, WORKSPACES_MAX};
use catkinmast_model::UnixMs;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Interval of the datagrams, in milliseconds.
const ROUND_MS: u64 = 1_000;
/// Rounds beyond the logarithm of the number of nodes. Each round halves the squared error of the
/// means, so seven leave an error of 9 % at a node if all calls arrive at another one. With five,
/// such a workspace was not mixed by the end of two of three epochs at 320 nodes.
const EXTRA_ROUNDS: u64 = 7;
/// Entries of a datagram that are chosen by size among all workspaces.
const LARGEST: usize = 4;
/// Mean number of workspaces in a group. Groups differ in size, and a datagram has room for twelve.
const GROUP_SIZE: usize = 8;
/// Half-life of the count of received loads.
const RECEIVED_HALF_LIFE_MS: f64 = 3_000.0;
/// Recently received loads from which a mean counts as mixed. A node receives one datagram a second
/// on average, which gives 4.3 of a workspace that all nodes send, and 2.2 if half of them do. Nodes
/// that have no load of a workspace do not send it, so few received loads show that its loads are
/// still at few nodes.
const RECEIVED_MIN: f64 = 2.6;
/// The same for the sum over all workspaces, which is in each datagram.
const TOTAL_RECEIVED_MIN: f64 = 0.5;
/// Smallest weight by which a sum is divided. A node that has sent a load on several times and has
/// received little of it knows little about the mean.
const WEIGHT_MIN: f32 = 1.0 / 16.0;
/// Sums of offered and served requests below this are not sent.
const SUM_MIN: f32 = 1e-4;

/// The mean load of a workspace over all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub offered: f64,
    pub served: f64,
}

/// A weight and sums in the running epoch.
#[derive(Clone, Copy, Debug, Default)]
struct Pooled {
    load: Load,
    /// What this node had at the start of the epoch.
    own: Load,
    /// Loads of other nodes that were added, decayed to the moment `received_at`.
    received: f64,
    received_at: UnixMs,
}

impl Pooled {
    fn of(load: Load) -> Self {
        Self { load, own: load, ..Self::default() }
    }

    fn receive(&mut self, now: UnixMs, load: Load) {
        self.load.add(load);
        self.received = self.recently_received(now) + 1.0;
        self.received_at = now;
    }

    fn recently_received(&self, now: UnixMs) -> f64 {
        self.received * (-(now.since_ms(self.received_at) as f64) / RECEIVED_HALF_LIFE_MS).exp2()
    }

    /// Returns the mean if only this node has requests.
    fn least_mean(&self, nodes: usize) -> Mean {
        let nodes = nodes.max(1) as f64;
        let Load { offered, served, .. } = self.own;
        Mean { offered: f64::from(offered) / nodes, served: f64::from(served) / nodes }
    }

    /// Returns the mean if this node has received enough, or is the only one.
    fn mean(&self, now: UnixMs, nodes: usize, received_min: f64) -> Option<Mean> {
        let weight = f64::from(self.load.weight.max(WEIGHT_MIN));
        let is_mixed = nodes <= 1 || self.recently_received(now) >= received_min;
        is_mixed.then(|| Mean {
            offered: f64::from(self.load.offered) / weight,
            served: f64::from(self.load.served) / weight,
        })
    }
}

/// How the mean of a workspace is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KnownBy {
    /// Its loads were mixed, as those of all workspaces of the epoch's group.
    Group,
    /// Its loads were not mixed: the mean is the least that this node's own requests make.
    OwnRequests,
    /// Its loads were mixed, since they are large at many nodes.
    Size,
}

/// The running epoch.
#[derive(Clone, Debug, Default)]
pub(crate) struct Epoch {
    number: u32,
    pool: IndexMap<String, Pooled>,
    started_at: UnixMs,
    /// The sum over all workspaces, which is sent in each round.
    total: Pooled,
}

/// Returns the length of an epoch, in milliseconds.
pub(crate) fn length_ms(nodes: usize) -> u64 {
    match u64::from(nodes.max(1).next_power_of_two().trailing_zeros()) {
        0 => 2 * ROUND_MS,
        doublings => (doublings + EXTRA_ROUNDS) * ROUND_MS,
    }
}

/// Returns the number of groups of workspaces, which is also the number of epochs in which each
/// workspace is averaged once.
pub(crate) const fn groups(workspaces: usize) -> u32 {
    if workspaces <= ENTRIES_MAX - LARGEST {
        return 1;
    }
    workspaces.div_ceil(GROUP_SIZE) as u32
}

/// Returns the place of a workspace in the group of an epoch; none if it is in another group. Groups
/// are formed anew in each cycle, so that no workspace is always at the end of a group that is too
/// large.
fn place_in_group(workspace: &str, epoch: u32, groups: u32) -> Option<u64> {
    let hash = xxh3_64_with_seed(workspace.as_bytes(), u64::from(epoch / groups));
    let is_in_group = hash % u64::from(groups) == u64::from(epoch % groups);
    is_in_group.then_some(hash)
}

impl Epoch {
    pub(crate) fn age_ms(&self, now: UnixMs) -> u64 {
        now.since_ms(self.started_at)
    }

    pub(crate) fn len(&self) -> usize {
        self.pool.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pool.is_empty()
    }

    pub(crate) const fn number(&self) -> u32 {
        self.number
    }

    /// Returns whether another node's epoch is a later one. Numbers wrap around.
    pub(crate) const fn is_before(&self, number: u32) -> bool {
        number.wrapping_sub(self.number).cast_signed() > 0
    }

    /// Starts an epoch with the loads of this node.
    pub(crate) fn start(&mut self, now: UnixMs, number: u32, own: &mut OwnLoads) {
        self.number = number;
        self.started_at = now;
        self.pool.clear();
        let mut total = Load { weight: 1.0, ..Load::default() };
        for (workspace, own) in own.recent(now) {
            let (offered, served) = (own.offered as f32, own.served as f32);
            total.add(Load { weight: 0.0, offered, served });
            let load = Load { weight: 1.0, offered, served };
            self.pool.insert(workspace.clone(), Pooled::of(load));
        }
        self.total = Pooled::of(total);
    }

    /// Returns the mean of the sum over all workspaces, if it is mixed.
    pub(crate) fn total(&self, now: UnixMs, nodes: usize) -> Option<Mean> {
        self.total.mean(now, nodes, TOTAL_RECEIVED_MIN)
    }

    /// Returns the means of the workspaces, and how each is known.
    pub(crate) fn means(
        &self,
        now: UnixMs,
        nodes: usize,
        groups: u32,
    ) -> impl Iterator<Item = (&String, Mean, KnownBy)> {
        self.pool.iter().map(move |(workspace, pooled)| {
            let known_by = match place_in_group(workspace, self.number, groups) {
                Some(_) => KnownBy::Group,
                None => KnownBy::Size,
            };
            match pooled.mean(now, nodes, RECEIVED_MIN) {
                Some(mean) => (workspace, mean, known_by),
                None => (workspace, pooled.least_mean(nodes), KnownBy::OwnRequests),
            }
        })
    }

    /// Adds the loads that another node sent, if it is in the same epoch.
    pub(crate) fn add(&mut self, now: UnixMs, half: Half) {
        if half.epoch != self.number {
            return;
        }
        self.total.receive(now, half.total);
        for Entry { workspace, load } in half.entries {
            if self.pool.contains_key(&workspace) || self.make_room(load) {
                let load_of_none = Load { weight: 1.0, ..Load::default() };
                let none = Pooled::of(load_of_none);
                self.pool.entry(workspace).or_insert(none).receive(now, load);
            }
        }
    }

    /// Makes room for a workspace unless it is smaller than all others.
    fn make_room(&mut self, load: Load) -> bool {
        if self.pool.len() < WORKSPACES_MAX {
            return true;
        }
        let offered = |pooled: &Pooled| pooled.load.offered;
        let smallest = self
            .pool
            .values()
            .enumerate()
            .min_by(|(_, one), (_, other)| offered(one).total_cmp(&offered(other)))
            .map(|(index, pooled)| (index, offered(pooled)));
        match smallest {
            Some((index, smallest)) if smallest < load.offered => {
                self.pool.swap_remove_index(index);
                true
            }
            _ => false,
        }
    }

    /// Takes out one half of some entries for another node, with `fleet`, the load of the fleet.
    pub(crate) fn split(&mut self, groups: u32, fleet: Load) -> Half {
        let total = self.total.load.split();
        let mut half = Half { entries: Vec::new(), epoch: self.number, fleet, total };
        let mut left_bytes = Half::ENTRIES_MAX_BYTES;
        for index in self.send_order(groups) {
            let Some((workspace, pooled)) = self.pool.get_index_mut(index) else { continue };
            let bytes = Entry::wire_bytes(workspace);
            if half.entries.len() == ENTRIES_MAX || bytes > left_bytes {
                break;
            }
            left_bytes -= bytes;
            let load = pooled.load.split();
            half.entries.push(Entry { workspace: workspace.clone(), load });
        }
        half
    }

    /// Returns the positions of the entries to be sent: the largest ones, and those of the group.
    fn send_order(&self, groups: u32) -> Vec<usize> {
        let offered = |index: &usize| self.pool[*index].load.offered;
        let mut order: Vec<usize> = (0..self.pool.len())
            .filter(|index| {
                let (workspace, pooled) = (&self.pool.keys()[*index], &self.pool[*index]);
                workspace.len() <= WORKSPACE_MAX_BYTES
                    && pooled.load.offered.max(pooled.load.served) > SUM_MIN
            })
            .collect();
        order.sort_unstable_by(|one, other| offered(other).total_cmp(&offered(one)));
        let others = order.split_off(order.len().min(LARGEST));
        // All nodes send the same part of a group that is too large, so that this part is mixed.
        let mut group: Vec<(u64, usize)> = others
            .into_iter()
            .filter_map(|index| {
                let place = place_in_group(&self.pool.keys()[index], self.number, groups)?;
                Some((place, index))
            })
            .collect();
        group.sort_unstable();
        order.extend(group.into_iter().map(|(_, index)| index));
        order
    }
}
