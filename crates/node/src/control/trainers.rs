//! Ownership of trainers: their leases, the state machines of owned trainers, and the effects that
//! these request.

use crate::control::Control;
use crate::control::duties::ranks_first;
use crate::edge::holdings::ContentKey;
use crate::edge::runner::{RunJob, run_for_owner};
use crate::edge::{owner_tasks, store};
use catkinmast_config::{Document, Trainer};
use catkinmast_lease::{Action, Change, HolderRecord, LeaseClaim, Report};
use catkinmast_member::{Fact, NodeState, OwnerFact};
use catkinmast_model::{Fence, Name, Refusal, SampleId, UnixMs};
use catkinmast_platform::{LeaseId, WeightOrder};
use catkinmast_rollout::{
    Attempt, Command, Effect, EngineInfo, Event, NodeInfo, OrderSettings, Reply, Rollout,
    ScheduleSettings,
};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// How many samples an engine runs at once, for all trainers that share it.
const SLOTS_PER_ENGINE: u32 = 16;
/// Interval between reads of the load reports of engines in a weight swap.
const SWAP_LOAD_INTERVAL_MS: u64 = 500;
/// Interval between reads of the load reports of all engines; a multiple of
/// [`SWAP_LOAD_INTERVAL_MS`].
const ALL_LOADS_INTERVAL_MS: u64 = 10_000;
/// After how long a trainer should retry a command that reached a node which does not own it.
const NOT_OWNER_RETRY_MS: u64 = 300;

/// All trainers that the configuration lists.
#[derive(Debug, Default)]
pub(crate) struct Trainers {
    duties: IndexMap<Name, TrainerDuty>,
    load_all_at: UnixMs,
    load_at: UnixMs,
    next_reply: u64,
    pub(crate) nodes_changed: bool,
    pub(crate) targets_changed: bool,
}

/// The duty of owning one trainer, whether this node holds it or not.
#[derive(Debug)]
struct TrainerDuty {
    /// Whether this node ranks first among the live nodes for this trainer.
    ranks_first: bool,
    lease: Option<LeaseId>,
    model: Name,
    owned: Option<OwnedTrainer>,
    scorer: Name,
    claim: LeaseClaim,
}

/// State of a trainer whose steps this node owns.
#[derive(Debug)]
struct OwnedTrainer {
    fence: Fence,
    /// Where to send the replies to commands, by the number given as `reply_to`.
    replies: IndexMap<u64, oneshot::Sender<Reply>>,
    rollout: Rollout,
    /// Handles that cancel the runs in progress.
    runs: IndexMap<(SampleId, Attempt), AbortHandle>,
}

impl Control {
    pub(crate) fn tick_trainers(&mut self, now: UnixMs) {
        self.apply_configuration();
        self.check_leases(now);
        self.refresh_views(now);
        self.read_loads(now);
        let names: Vec<Name> = self.trainers.duties.keys().cloned().collect();
        for name in names {
            let wanted = self.wants_lease(&name);
            let Some(duty) = self.trainers.duties.get_mut(&name) else { continue };
            let (action, change) = duty.claim.tick(now, wanted);
            if let Some(action) = action {
                self.lease_action(&name, action);
            }
            if let Some(change) = change {
                self.lease_changed(now, &name, change);
            }
            self.rollout_event(now, &name, Event::Tick);
        }
    }

    /// Adds duties for new trainers, removes those of trainers that the configuration no longer
    /// lists, and updates the others.
    fn apply_configuration(&mut self) {
        let Some(in_force) = self.configuration.in_force() else { return };
        let document = &in_force.document;
        self.remove_unlisted(document);
        let me = self.membership.me();
        let holder = HolderRecord { incarnation: me.incarnation, node: me.name.clone() };
        for trainer in &document.trainers {
            self.ranks_stale |= !self.trainers.duties.contains_key(&trainer.name);
            let duty =
                self.trainers.duties.entry(trainer.name.clone()).or_insert_with(|| TrainerDuty {
                    ranks_first: false,
                    lease: None,
                    model: trainer.model.clone(),
                    owned: None,
                    scorer: trainer.scorer.clone(),
                    claim: LeaseClaim::open(holder.clone()),
                });
            duty.model = trainer.model.clone();
            duty.scorer = trainer.scorer.clone();
            if let Some(owned) = &mut duty.owned
                && let Some(model) = document.model(trainer.model.as_str())
            {
                owned.rollout.set_model(model.roll_back_to, model.swap_at_once_percent);
            }
        }
    }

    /// Abandons trainers that are no longer in the document, and releases their leases.
    fn remove_unlisted(&mut self, document: &Document) {
        let listed = |name: &Name| document.trainer(name.as_str()).is_some();
        let unlisted: Vec<Name> =
            self.trainers.duties.keys().filter(|name| !listed(name)).cloned().collect();
        for name in unlisted {
            self.lease_action(&name, Action::Release);
            self.abandon(&name);
            self.trainers.duties.shift_remove(&name);
        }
    }

    /// Returns whether this node should hold a trainer's lease.
    fn wants_lease(&self, trainer: &Name) -> bool {
        if self.leaving_until.is_some() || !self.configuration.is_ready() {
            return false;
        }
        let Some(duty) = self.trainers.duties.get(trainer) else { return false };
        if duty.owned.is_some() || !duty.ranks_first {
            return duty.owned.is_some();
        }
        let owner = self.owner_of(trainer);
        let owner_alive = owner.is_some_and(|owner| {
            self.membership.peers().any(|node| {
                node.name == owner.node
                    && node.incarnation == owner.incarnation
                    && matches!(node.state, NodeState::Live | NodeState::Suspect)
            })
        });
        !owner_alive
    }

    /// Recomputes for which trainers this node ranks first.
    pub(crate) fn rank_for_trainers(&mut self) {
        let me = self.membership.me().name.clone();
        for (name, duty) in &mut self.trainers.duties {
            duty.ranks_first = ranks_first(name.as_str(), &me, self.membership.nodes());
        }
    }

    fn owner_of(&self, trainer: &Name) -> Option<&OwnerFact> {
        let key = catkinmast_member::FactKey::Owner(trainer.clone());
        match self.membership.facts().get(&key) {
            Some(Fact::Owner(owner)) => Some(owner),
            _ => None,
        }
    }

    /// Starts the call to the key-value service that a claim requests.
    fn lease_action(&mut self, trainer: &Name, action: Action) {
        let shared = Arc::clone(&self.shared);
        let Some(duty) = self.trainers.duties.get_mut(trainer) else { return };
        match (action, duty.lease) {
            (Action::Take, _) => {
                self.runtime.spawn(store::take_lease(shared, trainer.clone()));
            }
            (Action::Read, _) => {
                self.runtime.spawn(store::read_lease(shared, trainer.clone()));
            }
            (Action::Renew, Some(lease)) => {
                self.runtime.spawn(store::renew_lease(shared, trainer.clone(), lease));
            }
            (Action::Release, Some(lease)) => {
                self.runtime.spawn(store::release_lease(shared, lease));
            }
            (Action::Renew | Action::Release, None) => {}
        }
    }

    /// Passes the result of a call about a lease to its claim.
    pub(crate) fn lease_report(
        &mut self,
        now: UnixMs,
        trainer: &Name,
        lease: Option<LeaseId>,
        report: &Report,
    ) {
        let Some(duty) = self.trainers.duties.get_mut(trainer) else { return };
        if lease.is_some() && !matches!(report, Report::Refused) {
            duty.lease = lease;
        }
        if let Some(change) = duty.claim.report(now, report) {
            self.lease_changed(now, trainer, change);
        }
    }

    /// Finds leases that have expired by this node's clock, before anything is done under them.
    pub(crate) fn check_leases(&mut self, now: UnixMs) {
        let expired: Vec<Name> = self
            .trainers
            .duties
            .iter()
            .filter(|(_, duty)| duty.owned.is_some() && duty.claim.fence(now).is_none())
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.apply_rollout(now, &name, Event::Lease { fence: None });
            self.apply_rollout(now, &name, Event::OrderFence(None));
        }
    }

    fn lease_changed(&mut self, now: UnixMs, trainer: &Name, change: Change) {
        match change {
            Change::Gained(fence) => self.lease_gained(now, trainer, fence),
            Change::Lapsed => {
                log::warn!("the lease on trainer {trainer} may have expired");
                self.apply_rollout(now, trainer, Event::Lease { fence: None });
                if self.leaving_until.is_some() {
                    self.abandon(trainer);
                }
            }
        }
    }

    fn lease_gained(&mut self, now: UnixMs, trainer: &Name, fence: Fence) {
        log::info!("took the lease on trainer {trainer} with fencing number {fence}");
        let me = self.membership.me().clone();
        let Some(duty) = self.trainers.duties.get_mut(trainer) else { return };
        let effects = if let Some(owned) = &mut duty.owned {
            owned.fence = fence;
            owned.rollout.handle(now, Event::Lease { fence: Some(fence) })
        } else {
            let writer = format!("{}:{}", me.name, me.incarnation);
            let (rollout, effects) =
                Rollout::open(writer, fence, ScheduleSettings::default(), OrderSettings::default());
            let (replies, runs) = (IndexMap::new(), IndexMap::new());
            duty.owned = Some(OwnedTrainer { fence, replies, rollout, runs });
            effects
        };
        self.trainers.nodes_changed = true;
        self.trainers.targets_changed = true;
        self.perform_rollout_effects(trainer, effects);
        let owner = OwnerFact {
            fence,
            incarnation: me.incarnation,
            node: me.name,
            trainer: trainer.clone(),
        };
        self.observe(now, Fact::Owner(owner));
    }

    /// Handles another node's fact that it owns a trainer: abandons the trainer if the fact's
    /// fencing number is higher than this node's.
    pub(crate) fn owner_announced(&mut self, owner: &OwnerFact) {
        let me = self.membership.me();
        if owner.node == me.name && owner.incarnation == me.incarnation {
            return;
        }
        let superseded = self
            .trainers
            .duties
            .get(&owner.trainer)
            .and_then(|duty| duty.owned.as_ref())
            .is_some_and(|owned| owned.fence < owner.fence);
        if superseded {
            log::warn!("trainer {} is now owned by node {}", owner.trainer, owner.node);
            self.abandon(&owner.trainer);
        }
    }

    /// Stops owning a trainer: refuses its pending commands and cancels its runs.
    fn abandon(&mut self, trainer: &Name) {
        let Some(duty) = self.trainers.duties.get_mut(trainer) else { return };
        let Some(mut owned) = duty.owned.take() else { return };
        for effect in owned.rollout.abandon() {
            if let Effect::Reply { reply, reply_to } = effect {
                send_reply(&mut owned.replies, reply_to, reply);
            }
        }
        owned.runs.values().for_each(AbortHandle::abort);
    }

    /// Abandons all trainers when the node stops. Leases that are still held expire by themselves.
    pub(crate) fn abandon_trainers(&mut self) {
        let names: Vec<Name> = self.trainers.duties.keys().cloned().collect();
        for name in names {
            self.abandon(&name);
        }
    }

    /// Passes a trainer's command to its state machine, or refuses it if this node is not the
    /// owner.
    pub(crate) fn trainer_command(
        &mut self,
        now: UnixMs,
        trainer: &Name,
        command: Command,
        reply: oneshot::Sender<Reply>,
    ) {
        self.trainers.next_reply += 1;
        let reply_to = self.trainers.next_reply;
        let duty = self.trainers.duties.get_mut(trainer);
        let Some(owned) = duty.and_then(|duty| duty.owned.as_mut()) else {
            let refusal = Refusal::not_run("this node does not own the trainer's steps");
            // Sending fails if the trainer has disconnected; nothing was run for it.
            let _receiver_gone =
                reply.send(Reply::Refused(refusal.retry_at(now.plus(NOT_OWNER_RETRY_MS))));
            return;
        };
        owned.replies.insert(reply_to, reply);
        self.rollout_event(now, trainer, Event::Command { command, reply_to });
    }

    /// Passes an event to a trainer's state machine, after the current fencing number for orders.
    pub(crate) fn rollout_event(&mut self, now: UnixMs, trainer: &Name, event: Event) {
        let Some(duty) = self.trainers.duties.get(trainer) else { return };
        if duty.owned.is_some() {
            // Checked right before each event: the right to order can end at any time.
            let fence = duty.claim.order_fence(now);
            self.apply_rollout(now, trainer, Event::OrderFence(fence));
        }
        self.apply_rollout(now, trainer, event);
    }

    fn apply_rollout(&mut self, now: UnixMs, trainer: &Name, event: Event) {
        let duty = self.trainers.duties.get_mut(trainer);
        let Some(owned) = duty.and_then(|duty| duty.owned.as_mut()) else { return };
        if let Event::RunSafe { attempt, sample, .. } | Event::RunFailed { attempt, sample, .. } =
            &event
        {
            owned.runs.swap_remove(&(*sample, *attempt));
        }
        let effects = owned.rollout.handle(now, event);
        self.perform_rollout_effects(trainer, effects);
    }

    fn perform_rollout_effects(&mut self, trainer: &Name, effects: Vec<Effect>) {
        for effect in effects {
            self.perform_rollout_effect(trainer, effect);
        }
    }

    fn perform_rollout_effect(&mut self, trainer: &Name, effect: Effect) {
        let shared = Arc::clone(&self.shared);
        let Some(duty) = self.trainers.duties.get_mut(trainer) else { return };
        let Some(owned) = duty.owned.as_mut() else { return };
        let name = trainer.clone();
        match effect {
            Effect::Cancel { attempt, sample } => {
                if let Some(run) = owned.runs.swap_remove(&(sample, attempt)) {
                    run.abort();
                }
            }
            Effect::CopyAgain { attempt, holder, sample } => {
                let key = ContentKey { attempt, sample, trainer: name };
                self.runtime.spawn(owner_tasks::copy_again(shared, key, holder));
            }
            Effect::FindHoldings => {
                self.runtime.spawn(owner_tasks::find_holdings(shared, name));
            }
            Effect::Forget { samples } => {
                let key = |(sample, attempt)| ContentKey { attempt, sample, trainer: name.clone() };
                let keys = samples.into_iter().map(key).collect();
                self.runtime.spawn(owner_tasks::forget(shared, keys));
            }
            Effect::LoadStep { digest, step } => {
                self.runtime.spawn(store::load_step(shared, name, step, digest));
            }
            Effect::Order { address, engine, fence, version } => {
                let order = WeightOrder { fence, model: duty.model.as_str().to_owned(), version };
                self.runtime.spawn(owner_tasks::send_order(shared, engine, address, order));
            }
            Effect::ReadLedger => {
                self.runtime.spawn(store::read_ledger(shared, name));
            }
            Effect::Reply { reply, reply_to } => send_reply(&mut owned.replies, reply_to, reply),
            Effect::Run(order) => {
                let key = (order.sample, order.attempt);
                let (model, scorer) = (duty.model.clone(), duty.scorer.clone());
                let job = RunJob { model, order, scorer, trainer: name };
                let task = self.runtime.spawn(run_for_owner(shared, job));
                owned.runs.insert(key, task.abort_handle());
            }
            Effect::StoreStep { digest, spec, step } => {
                self.runtime.spawn(store::store_step(shared, name, step, digest, spec));
            }
            Effect::WriteLedger { expect, ledger } => {
                self.runtime.spawn(store::write_ledger(shared, name, expect, ledger));
            }
        }
    }

    /// Passes changed nodes and engines to the state machines.
    fn refresh_views(&mut self, now: UnixMs) {
        let nodes_changed = std::mem::take(&mut self.trainers.nodes_changed);
        let targets_changed = std::mem::take(&mut self.trainers.targets_changed);
        if !nodes_changed && !targets_changed {
            return;
        }
        if self.changed {
            self.publish();
        }
        let nodes = self.node_infos();
        let Some(in_force) = self.configuration.in_force() else { return };
        let names: Vec<Name> = self.trainers.duties.keys().cloned().collect();
        for name in names {
            if let Some(trainer) = in_force.document.trainer(name.as_str()) {
                let engines = self.engine_infos(&in_force.document, trainer);
                self.apply_rollout(now, &name, Event::Engines(engines));
                self.apply_rollout(now, &name, Event::Nodes(nodes.clone()));
            }
        }
    }

    fn node_infos(&self) -> Vec<NodeInfo> {
        let present = self.membership.nodes().filter(|node| node.state != NodeState::Gone);
        let info = |node: &catkinmast_member::NodeFact| NodeInfo {
            data_centre: node.data_centre.clone(),
            leaving: node.state == NodeState::Leaving,
            name: node.name.clone(),
        };
        present.map(info).collect()
    }

    /// Returns a trainer's engines. The slots of an engine that several trainers share are divided
    /// equally among them.
    fn engine_infos(&self, document: &Document, trainer: &Trainer) -> Vec<EngineInfo> {
        let snapshot = self.shared.snapshot();
        let info = |name: Name| {
            let target = snapshot.targets.get(&name)?;
            let labels = document.placed_labels(&target.labels, &target.data_centre);
            let shares = |other: &&Trainer| {
                let model = document.model(other.model.as_str());
                other.engines.matches(&labels)
                    && model.is_some_and(|model| model.engines.matches(&labels))
            };
            let sharing = document.trainers.iter().filter(shares).count().max(1) as u32;
            Some(EngineInfo {
                address: target.address,
                data_centre: target.data_centre.clone(),
                name,
                slots: (SLOTS_PER_ENGINE / sharing).max(1),
            })
        };
        let engines = snapshot.engines(&trainer.model, &trainer.engines);
        engines.into_iter().filter_map(info).collect()
    }

    /// Reads load reports: often from engines in a weight swap, rarely from the others, since each
    /// chunk of their tokens shows the version anyway.
    fn read_loads(&mut self, now: UnixMs) {
        if now < self.trainers.load_at {
            return;
        }
        self.trainers.load_at = now.plus(SWAP_LOAD_INTERVAL_MS);
        let all = now >= self.trainers.load_all_at;
        if all {
            self.trainers.load_all_at = now.plus(ALL_LOADS_INTERVAL_MS);
        }
        let snapshot = self.shared.snapshot();
        for (name, duty) in &self.trainers.duties {
            let Some(owned) = &duty.owned else { continue };
            let engines: Vec<(Name, SocketAddr)> = if all {
                let engines = snapshot.models.get(&duty.model).cloned().unwrap_or_default();
                let address = |engine: Name| Some((engine.clone(), snapshot.address(&engine)?));
                engines.into_iter().filter_map(address).collect()
            } else {
                let swapping = owned.rollout.engines_in_swap();
                swapping.map(|engine| (engine.name.clone(), engine.address)).collect()
            };
            for (engine, address) in engines {
                let (shared, model) = (Arc::clone(&self.shared), duty.model.clone());
                self.runtime.spawn(owner_tasks::read_load(
                    shared,
                    name.clone(),
                    model,
                    engine,
                    address,
                ));
            }
        }
    }
}

fn send_reply(replies: &mut IndexMap<u64, oneshot::Sender<Reply>>, reply_to: u64, reply: Reply) {
    if let Some(sender) = replies.swap_remove(&reply_to)
        && sender.send(reply).is_err()
    {
        log::debug!("a trainer disconnected before its reply");
    }
}
