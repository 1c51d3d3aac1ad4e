//! The pools that this node coordinates: feeds their state machines and carries out the actions.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::coordinator::PoolCoordinator;
use super::event::{
    AcquireKey, AcquireRequest, NodeReport, PoolAction, PoolAnswer, PoolConfig, PoolEvent,
    ReleaseOutcome, ReportedPin, TargetSpec,
};
use super::orders::{OrderError, load_adapter, probe, unload_adapter};
use super::wire::{
    AcquireAsk, PinReport, PinnedAnswer, PoolKind, ReceivedAnswer, RefusedAnswer, ReleaseNote,
    WireOutcome,
};
use crate::collections::FastMap;
use crate::config::state::ConfigState;
use crate::context::NodeContext;
use crate::ids::{AdapterVersion, BaseModel, FencingToken, LogOffset, TargetName, TokenCount};
use crate::lease::RoleName;
use crate::platform::VmListClient;

/// How long a waiting request's call is kept before its node has to ask again. Shorter than the
/// node's time limit, so that a lost answer is noticed soon.
pub(super) const POLL_TIME: Duration = Duration::from_millis(250);
/// The pause between two looks at leases, configuration and deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct OwnedPool {
    fence: FencingToken,
    coordinator: PoolCoordinator,
    /// The configuration offset that the coordinator knows.
    applied: LogOffset,
    waiters: FastMap<AcquireKey, Vec<oneshot::Sender<PoolAnswer>>>,
}

/// The pools whose lease this node holds.
#[derive(Debug)]
pub(super) struct OwnedPools {
    context: Arc<NodeContext>,
    list: VmListClient,
    pools: Mutex<FastMap<BaseModel, OwnedPool>>,
    handed: Mutex<FastMap<BaseModel, Vec<u8>>>,
}

impl OwnedPools {
    pub(super) fn new(context: Arc<NodeContext>) -> Self {
        let list = VmListClient::new(&context.settings.platform_url);
        Self {
            context,
            list,
            pools: Mutex::default(),
            handed: Mutex::default(),
        }
    }

    /// Follows leases, configuration and time until the future is dropped.
    pub(super) async fn run(self: &Arc<Self>) {
        loop {
            let models = self.models();
            for model in models {
                if self.follow_lease(&model) {
                    self.apply_config(&model);
                    self.feed(&model, None, PoolEvent::Tick);
                }
            }
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// The models that have a pool.
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

    fn held_fence(&self, model: &BaseModel) -> Option<FencingToken> {
        let role = RoleName::Pool(model.clone());
        self.context.leases.fence_if_held(&role)
    }

    /// Starts or ends the coordinator as the lease says; `true` while this node holds it.
    fn follow_lease(self: &Arc<Self>, model: &BaseModel) -> bool {
        let held = self.held_fence(model);
        if self.locked().get(model).map(|pool| pool.fence) == held {
            return held.is_some();
        }
        // The state stays until a handover exports it or a new lease replaces it; without the
        // lease nothing is decided with it.
        let Some(fence) = held else { return false };
        tracing::info!("pool: this node coordinates {model} under fencing token {fence}");
        let seed = StdRng::seed_from_u64(rand::random());
        let now = self.context.clock.now();
        let mut coordinator = PoolCoordinator::new(fence, now, seed);
        let (applied, config) = self.pool_config(model);
        let actions = coordinator.handle(now, PoolEvent::Configured(config));
        let handed = self.take_handed(model);
        if handed.is_some_and(|state| !coordinator.import(&state)) {
            tracing::warn!("pool: the handed over state of {model} is malformed");
        }
        let pool = OwnedPool {
            fence,
            coordinator,
            applied,
            waiters: FastMap::default(),
        };
        self.locked().insert(model.clone(), pool);
        self.carry_out(model, fence, actions);
        let (pools, model) = (Arc::clone(self), model.clone());
        tokio::spawn(async move { pools.learn_nodes(&model, fence).await });
        true
    }

    fn take_handed(&self, model: &BaseModel) -> Option<Vec<u8>> {
        let mut handed = self.handed.lock().expect("no holder of the lock panics");
        handed.remove(model)
    }

    /// The configuration of a pool and the offset at which it stands. The guards of the
    /// configuration and of the pools are never held together.
    fn pool_config(&self, model: &BaseModel) -> (LogOffset, PoolConfig) {
        let config = self.context.config.current();
        (config.next_offset(), pool_config(&config, model))
    }

    /// Tells a new coordinator whose pins it has to wait for.
    async fn learn_nodes(self: &Arc<Self>, model: &BaseModel, fence: FencingToken) {
        match self.list.list().await {
            Ok(vms) => {
                let names = vms.into_iter().map(|vm| vm.name).collect();
                self.feed(model, Some(fence), PoolEvent::NodesKnown(names));
            }
            Err(error) => tracing::warn!("pool: reading the VM list failed: {error}"),
        }
    }

    fn apply_config(self: &Arc<Self>, model: &BaseModel) {
        let offset = self.context.config.current().next_offset();
        if self
            .locked()
            .get(model)
            .is_none_or(|pool| pool.applied == offset)
        {
            return;
        }
        let (applied, config) = self.pool_config(model);
        if let Some(pool) = self.locked().get_mut(model) {
            pool.applied = applied;
        }
        self.feed(model, None, PoolEvent::Configured(config));
    }

    /// Hands an event to a coordinator and carries out its actions. Events of an earlier lease
    /// are dropped, and nothing is decided without the lease.
    fn feed(
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
        self.carry_out(model, held, actions);
        Some(())
    }

    fn carry_out(
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
                if let Some(event) = pools.order(fence, action).await {
                    pools.feed(&model, Some(fence), event);
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

    /// Sends an order to its target; the event tells how it ended.
    async fn order(&self, fence: FencingToken, action: PoolAction) -> Option<PoolEvent> {
        let client = &self.context.targets;
        match action {
            PoolAction::Load {
                target,
                generation,
                adapter,
            } => {
                let place = self.address(&target).zip(self.weights(&adapter));
                let loaded = match place {
                    Some((address, path)) => {
                        load_adapter(client, address, fence, &generation, &path).await
                    }
                    None => Err(OrderError::NoAnswer),
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
                let gone = matches!(unloaded, Ok(()) | Err(OrderError::Refused { status: 404 }));
                Some(PoolEvent::UnloadEnded { generation, gone })
            }
            PoolAction::Probe { target } => {
                let address = self.address(&target)?;
                let asked_at = self.context.clock.now();
                let report = probe(client, address, asked_at).await;
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

    /// Answers a request for a place: within [`POLL_TIME`], if only with "it still waits".
    pub(super) async fn acquire(self: &Arc<Self>, ask: AcquireAsk) -> Option<PoolKind> {
        let model: BaseModel = ask.base_model.parse().ok()?;
        let now = self.context.clock.now();
        let request = AcquireRequest {
            key: AcquireKey {
                node: ask.node.parse().ok()?,
                boot: ask.boot.into(),
                serial: ask.serial,
            },
            account: ask.account.parse().ok()?,
            adapter: AdapterVersion::new(ask.adapter.parse().ok()?, ask.version.parse().ok()?),
            tokens: TokenCount::new(ask.tokens),
            prefix: ask.prefix,
            suspect: ask.suspect,
            deadline: now + Duration::from_millis(ask.wait_ms),
        };
        let (sender, answered) = oneshot::channel();
        {
            let mut pools = self.locked();
            let waiters = &mut pools.get_mut(&model)?.waiters;
            waiters.retain(|_, senders| {
                senders.retain(|sender| !sender.is_closed());
                !senders.is_empty()
            });
            waiters.entry(request.key.clone()).or_default().push(sender);
        }
        self.feed(&model, None, PoolEvent::Acquire(request))?;
        match tokio::time::timeout(POLL_TIME, answered).await {
            Ok(Ok(answer)) => Some(wire_answer(answer)),
            Ok(Err(_)) => None,
            Err(_) => Some(PoolKind::Waiting(ReceivedAnswer {})),
        }
    }

    pub(super) fn release(self: &Arc<Self>, note: &ReleaseNote) -> Option<()> {
        let key = AcquireKey {
            node: note.node.parse().ok()?,
            boot: note.boot.into(),
            serial: note.serial,
        };
        let outcome = match WireOutcome::try_from(note.outcome).ok()? {
            WireOutcome::Completed => ReleaseOutcome::Completed {
                tokens: TokenCount::new(note.tokens),
                first_token: note.first_token_ms.map(Duration::from_millis),
            },
            WireOutcome::ConnectFailed => ReleaseOutcome::ConnectFailed,
            WireOutcome::BrokeOff => ReleaseOutcome::BrokeOff,
            WireOutcome::Cancelled => ReleaseOutcome::Cancelled,
        };
        let model = note.base_model.parse().ok()?;
        self.feed(&model, None, PoolEvent::Release { key, outcome })
    }

    pub(super) fn report(self: &Arc<Self>, report: PinReport) -> Option<()> {
        let model = report.base_model.parse().ok()?;
        let mut pins = Vec::new();
        for entry in report.pins {
            pins.push(ReportedPin {
                serial: entry.serial,
                target: entry.target.parse().ok()?,
                generation: entry.generation,
                account: entry.account.parse().ok()?,
                tokens: TokenCount::new(entry.tokens),
                suspect: entry.suspect,
                streaming: entry.streaming,
            });
        }
        let report = NodeReport {
            node: report.node.parse().ok()?,
            boot: report.boot.into(),
            sequence: report.sequence,
            highest_serial: report.highest_serial,
            waiting: report.waiting,
            pins,
            uptime: Duration::from_millis(report.uptime_ms),
        };
        self.feed(&model, None, PoolEvent::Reported(report))
    }

    pub(super) fn export(&self, model: &BaseModel) -> Option<Vec<u8>> {
        let pool = self.locked().remove(model)?;
        Some(pool.coordinator.export())
    }

    /// Keeps the state that a new lease begins with; `None` forgets an older one.
    pub(super) fn import(&self, model: &BaseModel, state: Option<Vec<u8>>) {
        let mut handed = self.handed.lock().expect("no holder of the lock panics");
        match state {
            Some(state) => handed.insert(model.clone(), state),
            None => handed.remove(model),
        };
    }

    /// The worst share of an account in the pools of this node; 1 without any.
    pub(super) fn worst_account_share(&self) -> f64 {
        let now = self.context.clock.now();
        let held = |model: &BaseModel| self.held_fence(model);
        let models: Vec<BaseModel> = self.locked().keys().cloned().collect();
        let held: Vec<BaseModel> = models.into_iter().filter(|m| held(m).is_some()).collect();
        let pools = self.locked();
        let pools = held.iter().filter_map(|model| pools.get(model));
        let shares = pools.map(|pool| pool.coordinator.worst_account_share(now));
        shares.fold(1.0, f64::min)
    }

    fn locked(&self) -> MutexGuard<'_, FastMap<BaseModel, OwnedPool>> {
        self.pools.lock().expect("no holder of the lock panics")
    }
}

fn wire_answer(answer: PoolAnswer) -> PoolKind {
    match answer {
        PoolAnswer::Pinned {
            pin,
            target,
            generation,
            fence,
        } => PoolKind::Pinned(PinnedAnswer {
            pin,
            target: target.to_string(),
            generation,
            fence: fence.into(),
        }),
        PoolAnswer::Refused {
            reason,
            retry_after,
        } => PoolKind::Refused(RefusedAnswer {
            reason: reason.to_string(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        }),
    }
}

/// The weights' path of a configured version.
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
