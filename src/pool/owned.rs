//! The pools that this node coordinates: passes events to their state machines and executes the
//! resulting actions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::assigned_ids::AssignedIds;
use super::commands::{CommandError, load_adapter, probe, unload_adapter};
use super::coordinator::PoolCoordinator;
use super::event::{AcquireKey, PoolAction, PoolAnswer, PoolConfig, PoolEvent, TargetSpec};
use crate::collections::FastMap;
use crate::config::state::ConfigState;
use crate::context::NodeContext;
use crate::ids::{AdapterVersion, BaseModel, FencingToken, LogOffset, TargetName};
use crate::lease::RoleName;

/// How long the call of a waiting request is kept open before its node has to repeat it. Shorter
/// than the node's call timeout, so that a lost answer is detected soon.
pub(super) const POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval at which leases, configuration and deadlines are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
pub(super) struct OwnedPool {
    fence: FencingToken,
    pub(super) coordinator: PoolCoordinator,
    /// The offset of the newest configuration passed to the coordinator.
    config_offset: LogOffset,
    /// Whether the coordinator has received the list of nodes.
    nodes_sent: bool,
    waiters: FastMap<AcquireKey, Vec<oneshot::Sender<PoolAnswer>>>,
}

/// The pools whose lease this node holds or held.
#[derive(Debug)]
pub(super) struct OwnedPools {
    pub(super) context: Arc<NodeContext>,
    ids: Mutex<AssignedIds>,
    pools: Mutex<FastMap<BaseModel, OwnedPool>>,
    handover_states: Mutex<FastMap<BaseModel, Vec<u8>>>,
}

impl OwnedPools {
    pub(super) fn new(context: Arc<NodeContext>) -> Self {
        Self {
            context,
            ids: Mutex::default(),
            pools: Mutex::default(),
            handover_states: Mutex::default(),
        }
    }

    /// Applies changes of leases and configuration, and ticks the coordinators, until the future is
    /// dropped.
    pub(super) async fn run(self: &Arc<Self>) {
        loop {
            let models = self.models();
            for model in models {
                if self.sync_lease(&model) {
                    self.apply_config(&model);
                    self.send_known_nodes(&model);
                    self.handle_event(&model, None, PoolEvent::Tick);
                }
            }
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// The base models in the configuration, which have one pool each.
    pub(super) fn configured_models(&self) -> Vec<BaseModel> {
        let config = self.context.config.current();
        config.base_models.keys().cloned().collect()
    }

    fn models(&self) -> Vec<BaseModel> {
        let mut models = self.configured_models();
        models.extend(self.locked().keys().cloned());
        models.sort();
        models.dedup();
        models
    }

    pub(super) fn held_fence(&self, model: &BaseModel) -> Option<FencingToken> {
        let role = RoleName::Pool(model.clone());
        self.context.leases.fence_if_held(&role)
    }

    /// Starts a coordinator for a new lease. Returns whether this node holds the lease.
    fn sync_lease(self: &Arc<Self>, model: &BaseModel) -> bool {
        let held = self.held_fence(model);
        if self.locked().get(model).map(|pool| pool.fence) == held {
            return held.is_some();
        }
        // The state is kept until a handover exports it or a new lease replaces it. It is not used
        // without the lease.
        let Some(fence) = held else { return false };
        tracing::info!("pool: this node coordinates {model} under fencing token {fence}");
        let seed = StdRng::seed_from_u64(rand::random());
        let now = self.context.clock.now();
        let mut coordinator = PoolCoordinator::new(fence, now, seed);
        let (config_offset, config) = self.pool_config(model);
        let actions = coordinator.handle(now, PoolEvent::Configured(config));
        let handover_state = self.take_handover_state(model);
        if handover_state.is_some_and(|state| !coordinator.import(&state)) {
            tracing::warn!(
                "pool: ignoring the malformed handover state of {model}; rebuilding it from probes and pin reports"
            );
        }
        let pool = OwnedPool {
            fence,
            coordinator,
            config_offset,
            nodes_sent: false,
            waiters: FastMap::default(),
        };
        self.locked().insert(model.clone(), pool);
        self.execute_actions(model, fence, actions);
        true
    }

    fn take_handover_state(&self, model: &BaseModel) -> Option<Vec<u8>> {
        let mut handover_states = self
            .handover_states
            .lock()
            .expect("no holder of the lock panics");
        handover_states.remove(model)
    }

    /// The configuration of a pool and its offset. The guards of the configuration and of the pools
    /// are never held at the same time.
    fn pool_config(&self, model: &BaseModel) -> (LogOffset, PoolConfig) {
        let config = self.context.config.current();
        (config.next_offset(), pool_config(&config, model))
    }

    /// Passes the nodes whose pin reports the coordinator has to wait for, once membership has a VM
    /// list.
    fn send_known_nodes(self: &Arc<Self>, model: &BaseModel) {
        let nodes_sent = |pool: &OwnedPool| pool.nodes_sent;
        if self.locked().get(model).is_none_or(nodes_sent) {
            return;
        }
        let now = self.context.clock.now();
        let Some(nodes) = self.context.membership.table().possible_claimants(now) else {
            return;
        };
        if let Some(pool) = self.locked().get_mut(model) {
            pool.nodes_sent = true;
        }
        self.handle_event(model, None, PoolEvent::NodesKnown(nodes));
    }

    fn apply_config(self: &Arc<Self>, model: &BaseModel) {
        let offset = self.context.config.current().next_offset();
        if self
            .locked()
            .get(model)
            .is_none_or(|pool| pool.config_offset == offset)
        {
            return;
        }
        let (config_offset, config) = self.pool_config(model);
        if let Some(pool) = self.locked().get_mut(model) {
            pool.config_offset = config_offset;
        }
        self.handle_event(model, None, PoolEvent::Configured(config));
    }

    /// Passes an event to a coordinator and executes the resulting actions. The event is dropped if
    /// it belongs to an earlier lease or this node does not hold the lease.
    pub(super) fn handle_event(
        self: &Arc<Self>,
        model: &BaseModel,
        of_fence: Option<FencingToken>,
        event: PoolEvent,
    ) -> Option<()> {
        let held = self.held_fence(model)?;
        let mut pools = self.locked();
        let pool = pools.get_mut(model)?;
        if pool.fence != held || of_fence.is_some_and(|fence| fence != held) {
            return None;
        }
        let actions = pool.coordinator.handle(self.context.clock.now(), event);
        self.context.metrics.count_starts(pool.coordinator.starts());
        drop(pools);
        self.execute_actions(model, held, actions);
        Some(())
    }

    fn execute_actions(
        self: &Arc<Self>,
        model: &BaseModel,
        fence: FencingToken,
        actions: Vec<PoolAction>,
    ) {
        for action in actions {
            if let PoolAction::Answer { key, answer } = action {
                self.answer(model, &key, &answer);
                continue;
            }
            let (pools, model) = (Arc::clone(self), model.clone());
            tokio::spawn(async move {
                if let Some(event) = pools.execute_command(fence, action).await {
                    pools.handle_event(&model, Some(fence), event);
                }
            });
        }
    }

    fn answer(&self, model: &BaseModel, key: &AcquireKey, answer: &PoolAnswer) {
        let mut pools = self.locked();
        let pool = pools.get_mut(model);
        for waiter in pool
            .and_then(|pool| pool.waiters.remove(key))
            .into_iter()
            .flatten()
        {
            let _ = waiter.send(answer.clone());
        }
    }

    /// Executes a command on its target and returns the event that reports the result.
    async fn execute_command(&self, fence: FencingToken, action: PoolAction) -> Option<PoolEvent> {
        let client = &self.context.target_client;
        match action {
            PoolAction::Load {
                target,
                generation,
                adapter,
            } => {
                let location = self.address(&target).zip(self.weights(&adapter));
                let loaded = match location {
                    Some((address, path)) => {
                        load_adapter(client, address, fence, &generation, &path).await
                    }
                    None => Err(CommandError::NoAnswer),
                };
                if let Err(error) = &loaded {
                    tracing::warn!("pool: load of {generation} on {target} failed: {error}");
                }
                let loaded = loaded.is_ok();
                Some(PoolEvent::LoadEnded { generation, loaded })
            }
            PoolAction::Unload { target, generation } => {
                let unloaded = match self.address(&target) {
                    Some(address) => unload_adapter(client, address, fence, &generation).await,
                    None => Ok(()),
                };
                let gone = matches!(
                    unloaded,
                    Ok(()) | Err(CommandError::Refused { status: 404 })
                );
                Some(PoolEvent::UnloadEnded { generation, gone })
            }
            PoolAction::Probe { target } => {
                let address = self.address(&target)?;
                let asked_at = self.context.clock.now();
                let memory = &self.context.target_memory;
                let report = probe(client, memory, address, asked_at).await;
                let report = report.map(|report| {
                    let config = self.context.config.current();
                    report.with_checked_paths(|adapter| weights_path(&config, adapter))
                });
                Some(PoolEvent::Probed { target, report })
            }
            PoolAction::Answer { .. } => None,
        }
    }

    fn address(&self, target: &TargetName) -> Option<SocketAddr> {
        let config = self.context.config.current();
        config.targets.get(target).map(|entry| entry.address)
    }

    fn weights(&self, adapter: &AdapterVersion) -> Option<String> {
        weights_path(&self.context.config.current(), adapter)
    }

    /// Registers a channel for the answer to a request, and removes closed channels.
    pub(super) fn add_waiter(
        &self,
        model: &BaseModel,
        key: AcquireKey,
        sender: oneshot::Sender<PoolAnswer>,
    ) -> Option<()> {
        let mut pools = self.locked();
        let waiters = &mut pools.get_mut(model)?.waiters;
        waiters.retain(|_, senders| {
            senders.retain(|sender| !sender.is_closed());
            !senders.is_empty()
        });
        waiters.entry(key).or_default().push(sender);
        Some(())
    }

    /// The ids that this process has assigned. Do not hold the guard across an await.
    pub(super) fn ids(&self) -> MutexGuard<'_, AssignedIds> {
        self.ids.lock().expect("no holder of the lock panics")
    }

    pub(super) fn export(&self, model: &BaseModel) -> Option<Vec<u8>> {
        let pool = self.locked().remove(model)?;
        Some(pool.coordinator.export())
    }

    /// Stores the handover state for the next lease; `None` discards a stored one.
    pub(super) fn import(&self, model: &BaseModel, state: Option<Vec<u8>>) {
        let mut handover_states = self
            .handover_states
            .lock()
            .expect("no holder of the lock panics");
        match state {
            Some(state) => handover_states.insert(model.clone(), state),
            None => handover_states.remove(model),
        };
    }

    /// The operator dump of the pools that this node coordinates.
    pub(super) fn dump(&self) -> BTreeMap<BaseModel, serde_json::Value> {
        let pools = self.locked();
        let pools = pools.iter();
        pools
            .map(|(model, pool)| (model.clone(), pool.coordinator.dump()))
            .collect()
    }

    /// The lowest account share in the pools that this node coordinates; 1 if there are none.
    pub(super) fn worst_account_share(&self) -> f64 {
        let now = self.context.clock.now();
        let held_fence = |model: &BaseModel| self.held_fence(model);
        let models: Vec<BaseModel> = self.locked().keys().cloned().collect();
        let held_models: Vec<BaseModel> = models
            .into_iter()
            .filter(|m| held_fence(m).is_some())
            .collect();
        let pools = self.locked();
        let pools = held_models.iter().filter_map(|model| pools.get(model));
        let shares = pools.map(|pool| pool.coordinator.worst_account_share(now));
        shares.fold(1.0, f64::min)
    }

    pub(super) fn locked(&self) -> MutexGuard<'_, FastMap<BaseModel, OwnedPool>> {
        self.pools.lock().expect("no holder of the lock panics")
    }
}

/// The path of a configured version in the weight store.
fn weights_path(config: &ConfigState, adapter: &AdapterVersion) -> Option<String> {
    let version = config.versions.get(adapter)?;
    let default = || format!("{}/{}", adapter.adapter, adapter.version);
    Some(
        version
            .weights
            .as_deref()
            .map_or_else(default, str::to_owned),
    )
}

fn pool_config(config: &ConfigState, model: &BaseModel) -> PoolConfig {
    let of_model = config
        .targets
        .iter()
        .filter(|(_, target)| target.base_model.as_ref() == Some(model));
    let targets = of_model.map(|(name, target)| {
        let zone = config.zones.get(&target.zone);
        let spec = TargetSpec {
            zone: target.zone.clone(),
            in_service: zone.is_some_and(|zone| zone.in_service) && !target.leaving,
            adapter_slots: target.adapter_slots,
            request_limit: target.request_limit,
        };
        (name.clone(), spec)
    });
    let entry = config.base_models.get(model);
    PoolConfig {
        targets: targets.collect(),
        loads_in_flight: entry.map_or(0, |entry| entry.loads_in_flight),
        loads_per_second: entry.map_or(0.0, |entry| entry.loads_per_second),
    }
}
