//! The trainers that this node owns: leases, the aggregates, and their effects.

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

/// How many samples of a trainer an engine runs at once.
const SLOTS_PER_ENGINE: u32 = 16;
/// Time between two readings of the load of engines in a swap.
const LOAD_EVERY_MS: u64 = 500;
/// Time between two readings of the load of all other engines, in the same unit of ticks.
const LOAD_ALL_EVERY_MS: u64 = 10_000;
/// When a trainer whose owner is not known yet should come back.
const RETRY_MS: u64 = 300;

/// All trainers that the configuration names.
#[derive(Debug, Default)]
pub(crate) struct Trainers {
    duties: IndexMap<Name, Duty>,
    load_all_at: UnixMs,
    load_at: UnixMs,
    next_reply: u64,
    pub(crate) nodes_changed: bool,
    pub(crate) targets_changed: bool,
}

/// One trainer, whether owned or not.
#[derive(Debug)]
struct Duty {
    /// Whether this node is the first of the live ones for this trainer.
    first: bool,
    lease: Option<LeaseId>,
    model: Name,
    owned: Option<Owned>,
    scorer: Name,
    tenure: LeaseClaim,
}

/// A trainer whose steps this node owns.
#[derive(Debug)]
struct Owned {
    fence: Fence,
    replies: IndexMap<u64, oneshot::Sender<Reply>>,
    rollout: Rollout,
    runs: IndexMap<(SampleId, Attempt), AbortHandle>,
}

impl Control {
    pub(crate) fn tick_trainers(&mut self, now: UnixMs) {
        self.match_configuration();
        self.check_leases(now);
        self.refresh_views(now);
        self.read_loads(now);
        let names: Vec<Name> = self.trainers.duties.keys().cloned().collect();
        for name in names {
            let wanted = self.wants(&name);
            let Some(duty) = self.trainers.duties.get_mut(&name) else { continue };
            let (action, change) = duty.tenure.tick(now, wanted);
            if let Some(action) = action {
                self.lease_action(&name, action);
            }
            if let Some(change) = change {
                self.lease_changed(now, &name, change);
            }
            self.rollout_event(now, &name, Event::Tick);
        }
    }

    /// Adds duties for new trainers and drops those of trainers that are gone.
    fn match_configuration(&mut self) {
        let Some(in_force) = self.configuration.in_force() else { return };
        let document = &in_force.document;
        self.drop_unlisted(document);
        let me = self.membership.me();
        let holder = HolderRecord { incarnation: me.incarnation, node: me.name.clone() };
        for trainer in &document.trainers {
            self.ranks_stale |= !self.trainers.duties.contains_key(&trainer.name);
            let duty = self.trainers.duties.entry(trainer.name.clone()).or_insert_with(|| Duty {
                first: false,
                lease: None,
                model: trainer.model.clone(),
                owned: None,
                scorer: trainer.scorer.clone(),
                tenure: LeaseClaim::open(holder.clone()),
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

    /// Gives up trainers that the operators have taken out of the document, and their leases.
    fn drop_unlisted(&mut self, document: &Document) {
        let listed = |name: &Name| document.trainer(name.as_str()).is_some();
        let unlisted: Vec<Name> =
            self.trainers.duties.keys().filter(|name| !listed(name)).cloned().collect();
        for name in unlisted {
            self.lease_action(&name, Action::Release);
            self.abandon(&name);
            self.trainers.duties.shift_remove(&name);
        }
    }

    /// Tells whether this node should hold a trainer's lease.
    fn wants(&self, trainer: &Name) -> bool {
        if self.leaving_until.is_some() || !self.configuration.is_ready() {
            return false;
        }
        let Some(duty) = self.trainers.duties.get(trainer) else { return false };
        if duty.owned.is_some() || !duty.first {
            return duty.owned.is_some();
        }
        let owner = self.owner_of(trainer);
        let owner_lives = owner.is_some_and(|owner| {
            self.membership.peers().any(|node| {
                node.name == owner.node
                    && node.incarnation == owner.incarnation
                    && matches!(node.state, NodeState::Live | NodeState::Suspect)
            })
        });
        !owner_lives
    }

    pub(crate) fn rank_for_trainers(&mut self) {
        let me = self.membership.me().name.clone();
        for (name, duty) in &mut self.trainers.duties {
            duty.first = ranks_first(name.as_str(), &me, self.membership.nodes());
        }
    }

    fn owner_of(&self, trainer: &Name) -> Option<&OwnerFact> {
        let key = catkinmast_member::FactKey::Owner(trainer.clone());
        match self.membership.facts().get(&key) {
            Some(Fact::Owner(owner)) => Some(owner),
            _ => None,
        }
    }

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
        if let Some(change) = duty.tenure.report(now, report) {
            self.lease_changed(now, trainer, change);
        }
    }

    /// Finds leases that have lapsed by our own clock, before anything is done under them.
    pub(crate) fn check_leases(&mut self, now: UnixMs) {
        let lapsed: Vec<Name> = self
            .trainers
            .duties
            .iter()
            .filter(|(_, duty)| duty.owned.is_some() && duty.tenure.fence(now).is_none())
            .map(|(name, _)| name.clone())
            .collect();
        for name in lapsed {
            self.apply_rollout(now, &name, Event::Lease { fence: None });
            self.apply_rollout(now, &name, Event::OrderFence(None));
        }
    }

    fn lease_changed(&mut self, now: UnixMs, trainer: &Name, change: Change) {
        match change {
            Change::Gained(fence) => self.gained(now, trainer, fence),
            Change::Lapsed => {
                log::warn!("the lease on trainer {trainer} is no longer held for certain");
                self.apply_rollout(now, trainer, Event::Lease { fence: None });
                if self.leaving_until.is_some() {
                    self.abandon(trainer);
                }
            }
        }
    }

    fn gained(&mut self, now: UnixMs, trainer: &Name, fence: Fence) {
        log::info!("the lease on trainer {trainer} is held under {fence}");
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
            duty.owned = Some(Owned { fence, replies, rollout, runs });
            effects
        };
        self.trainers.nodes_changed = true;
        self.trainers.targets_changed = true;
        self.rollout_effects(trainer, effects);
        let owner = OwnerFact {
            fence,
            incarnation: me.incarnation,
            node: me.name,
            trainer: trainer.clone(),
        };
        self.observe(now, Fact::Owner(owner));
    }

    /// Another node owns a trainer under a higher number: ours is over.
    pub(crate) fn owner_announced(&mut self, owner: &OwnerFact) {
        let me = self.membership.me();
        if owner.node == me.name && owner.incarnation == me.incarnation {
            return;
        }
        let overtaken = self
            .trainers
            .duties
            .get(&owner.trainer)
            .and_then(|duty| duty.owned.as_ref())
            .is_some_and(|owned| owned.fence < owner.fence);
        if overtaken {
            log::warn!("trainer {} has moved to node {}", owner.trainer, owner.node);
            self.abandon(&owner.trainer);
        }
    }

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

    /// Gives every trainer up, e.g. when the node stops.
    pub(crate) fn abandon_trainers(&mut self) {
        let names: Vec<Name> = self.trainers.duties.keys().cloned().collect();
        for name in names {
            self.abandon(&name);
        }
    }

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
            // The asker may have hung up; nothing was run for it.
            let _unheard = reply.send(Reply::Refused(refusal.retry_at(now.plus(RETRY_MS))));
            return;
        };
        owned.replies.insert(reply_to, reply);
        self.rollout_event(now, trainer, Event::Command { command, reply_to });
    }

    pub(crate) fn rollout_event(&mut self, now: UnixMs, trainer: &Name, event: Event) {
        let Some(duty) = self.trainers.duties.get(trainer) else { return };
        if duty.owned.is_some() {
            // Asked right before each act, not once at the start of the tenure.
            let fence = duty.tenure.order_fence(now);
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
        self.rollout_effects(trainer, effects);
    }

    fn rollout_effects(&mut self, trainer: &Name, effects: Vec<Effect>) {
        for effect in effects {
            self.rollout_effect(trainer, effect);
        }
    }

    fn rollout_effect(&mut self, trainer: &Name, effect: Effect) {
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

    /// Tells the aggregates of changed nodes and engines.
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
        let lasting = self.membership.nodes().filter(|node| node.state != NodeState::Gone);
        let info = |node: &catkinmast_member::NodeFact| NodeInfo {
            data_centre: node.data_centre.clone(),
            leaving: node.state == NodeState::Leaving,
            name: node.name.clone(),
        };
        lasting.map(info).collect()
    }

    /// Returns a trainer's engines; those that several trainers share are divided among them.
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

    /// Reads load reports: often of engines in a swap, seldom of the others, whose versions show
    /// in every chunk of tokens anyway.
    fn read_loads(&mut self, now: UnixMs) {
        if now < self.trainers.load_at {
            return;
        }
        self.trainers.load_at = now.plus(LOAD_EVERY_MS);
        let all = now >= self.trainers.load_all_at;
        if all {
            self.trainers.load_all_at = now.plus(LOAD_ALL_EVERY_MS);
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
        log::debug!("a trainer hung up before its answer");
    }
}
