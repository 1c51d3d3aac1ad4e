//! Plans the load and unload orders that the owner of a target sends to it.
//!
//! A target keeps the models that it holds. One that holds none of the service's models, such as
//! after a restart, is ordered to load the one that the owner assigns to it.
//!
//! Load patterns: thousands of adapters share a few slots, and at the worst load all slots of a
//! target are in use while others are free elsewhere; a reload is ten times as fast as a load from
//! the weight store; an unload waits for the adapter's requests, and all orders wait for it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::adapter_slots::{AdapterSlots, AdapterState};
use crate::dispatch::load_order::{
    HoldingsReport, LoadAnswer, LoadStep, OrderAnswer, OrderKind, PlannedOrder,
};
use crate::dispatch::routing::EngineSpec;
use crate::ids::{BaseModel, ModelAdapter, NodeName};

/// The platform's limit on adapters that one target transfers at the same time.
pub(crate) const MAX_CONCURRENT_LOADS: usize = 4;
/// How long the owner sleeps when no load is in progress; a new load request wakes it earlier.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// A load request that is not renewed in this time is dropped; waiting requests renew theirs.
const LOAD_REQUEST_LIFETIME: Duration = Duration::from_millis(800);
/// Reports lag by a few hundred milliseconds; one fetched sooner after an order may not reflect it.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// One slot in this many is kept free, so that a load need not wait for an unload.
const FREE_SLOT_DIVISOR: usize = 8;
/// An adapter unused for this long may be unloaded before another one needs its slot.
const MIN_UNUSED_TIME: Duration = Duration::from_secs(4);
/// The interval between checks whether an unload that waits for requests is complete.
const UNLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Consecutive orders without an answer after which the target's report is fetched.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 3;
const MODEL_LOAD_RETRY_DELAY: Duration = Duration::from_secs(6);

#[derive(Debug)]
struct LoadRequest {
    adapter: ModelAdapter,
    version: u64,
    /// How often the load was requested, which reflects the total time that requests have waited.
    demand: u32,
    renewed_at: Timestamp,
}

/// The adapter state of one target that this VM owns.
#[derive(Debug)]
pub(crate) struct LoadPlanner {
    engine: EngineSpec,
    /// The models on the target; `None` before its first report.
    held_models: Option<Vec<BaseModel>>,
    /// The model to load on the target if it holds none of the service's. It stays the same until
    /// the target reports a model, since an order without an answer may still be carried out.
    assigned_model: Option<BaseModel>,
    slots: AdapterSlots,
    /// Orders that the target has accepted; unknown before a report and after a conflict.
    sequence: Option<u64>,
    last_order_at: Option<Timestamp>,
    model_ordered_at: Option<Timestamp>,
    requests: VecDeque<LoadRequest>,
    /// Incremented when the set of resident or pending adapters changes.
    revision: u64,
    unreachable: bool,
    consecutive_timeouts: u32,
}

impl LoadPlanner {
    pub(crate) fn new(engine: EngineSpec) -> Self {
        Self {
            engine,
            held_models: None,
            assigned_model: None,
            slots: AdapterSlots::new(0),
            sequence: None,
            last_order_at: None,
            model_ordered_at: None,
            requests: VecDeque::new(),
            revision: 0,
            unreachable: false,
            consecutive_timeouts: 0,
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies the capacity of a new configuration.
    pub(crate) fn update_engine(&mut self, engine: &EngineSpec) {
        if self.engine != *engine {
            self.engine = engine.clone();
            self.sequence = None;
        }
    }

    /// Whether every request to the target would fail, whatever adapter it needs.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.unreachable || self.lacks_model()
    }

    /// Whether the target has reported what it holds since this VM owns it, or is known to have
    /// ended.
    pub(crate) fn is_informed(&self) -> bool {
        self.unreachable || self.held_models.is_some()
    }

    /// The models that the target can serve now.
    pub(crate) fn available_models(&self) -> &[BaseModel] {
        match &self.held_models {
            Some(models) if !self.unreachable => models,
            _ => &[],
        }
    }

    /// Whether the target is known to hold none of the service's models.
    fn lacks_model(&self) -> bool {
        let mut held = self.held_models.iter();
        held.any(|held| !self.engine.serves_with(held))
    }

    /// Whether the target needs a model and none is assigned to it yet.
    pub(crate) fn needs_assignment(&self) -> bool {
        self.lacks_model() && self.assigned_model.is_none()
    }

    pub(crate) fn assign_model(&mut self, model: BaseModel) {
        self.assigned_model = Some(model);
    }

    /// The model that is loaded or will be loaded next on the target, because it holds none.
    pub(crate) fn assigned_model(&self) -> Option<&BaseModel> {
        self.assigned_model.as_ref()
    }

    fn holds_model_of(&self, adapter: &ModelAdapter) -> bool {
        let mut held = self.held_models.iter().flatten();
        held.any(|model| model.as_str() == adapter.model())
    }

    /// The target refuses connections: its process has ended, and all that it held is lost.
    pub(crate) fn mark_unreachable(&mut self) {
        self.sequence = None;
        self.slots.clear();
        if !self.unreachable {
            self.unreachable = true;
            self.revision += 1;
        }
    }

    /// Adapters that are ready to serve, with their versions.
    pub(crate) fn resident_adapters(&self) -> impl Iterator<Item = (&ModelAdapter, u64)> {
        self.slots.resident()
    }

    /// Adapters that are loading or waiting to be loaded.
    pub(crate) fn pending_adapters(&self) -> impl Iterator<Item = &ModelAdapter> {
        let requested = self.requests.iter().map(|request| &request.adapter);
        self.slots.loading().chain(requested)
    }

    /// The number of adapters with requests in flight, or loading.
    pub(crate) fn adapters_in_use(&self, now: Timestamp) -> usize {
        self.slots.in_use(now)
    }

    /// Resident adapters that are in use, or were a short time ago.
    pub(crate) fn recently_used_adapters(&self, now: Timestamp) -> Vec<ModelAdapter> {
        self.slots.recently_used(MIN_UNUSED_TIME, now)
    }

    /// Requests a load for a waiting request. A new request is queued only if a slot is open for it.
    pub(crate) fn request_load(
        &mut self,
        adapter: &ModelAdapter,
        version: u64,
        now: Timestamp,
    ) -> LoadAnswer {
        match self.slots.keep(adapter, version, now) {
            Some(AdapterState::Resident) => return LoadAnswer::Resident,
            Some(AdapterState::Loading(_)) => return LoadAnswer::Queued,
            Some(AdapterState::Unloading { .. }) => return LoadAnswer::Full,
            None => {}
        }
        let mut requests = self.requests.iter_mut();
        if let Some(request) = requests.find(|request| request.adapter == *adapter) {
            request.renewed_at = now;
            request.demand += 1;
            request.version = request.version.max(version);
            return LoadAnswer::Queued;
        }
        if !self.is_informed() {
            return LoadAnswer::Unknown;
        }
        // The replacement of a version in use would wait for its requests, like an unload.
        let has_slot = if !self.holds_model_of(adapter) {
            false
        } else if self.slots.holds(adapter) {
            self.slots.is_idle(adapter, now)
        } else {
            self.open_slots(now) > 0
        };
        if !has_slot {
            return LoadAnswer::Full;
        }
        let adapter = adapter.clone();
        self.requests.push_back(LoadRequest {
            adapter,
            version,
            demand: 1,
            renewed_at: now,
        });
        self.revision += 1;
        LoadAnswer::Queued
    }

    /// The slots that a load can use now: those without an adapter or with an idle one, less those
    /// that other requested loads will use.
    fn open_slots(&self, now: Timestamp) -> usize {
        if self.is_unavailable() {
            return 0;
        }
        let idle = self.slots.idle(now);
        let idle = idle.filter(|(adapter, _)| !self.is_requested(adapter));
        let in_use = self.slots.occupied() - idle.count();
        let is_new = |request: &&LoadRequest| !self.slots.holds(&request.adapter);
        let requested = self.requests.iter().filter(is_new).count();
        self.slots.capacity().saturating_sub(in_use + requested)
    }

    fn is_requested(&self, adapter: &ModelAdapter) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|request| request.adapter == *adapter)
    }

    /// Records how many requests `node` has in flight on `adapter`.
    pub(crate) fn record_use(
        &mut self,
        node: &NodeName,
        adapter: &ModelAdapter,
        in_flight: u32,
        now: Timestamp,
    ) {
        self.slots.record_use(node, adapter, in_flight, now);
    }

    /// Handles a response that the target lacks `adapter`: refetches the report if it was resident.
    pub(crate) fn handle_missing_adapter(&mut self, adapter: &ModelAdapter) {
        if self.slots.state(adapter) == Some(AdapterState::Resident) {
            self.sequence = None;
        }
    }

    pub(crate) fn next_step(&mut self, now: Timestamp) -> LoadStep {
        let Some(expected_sequence) = self.sequence else {
            let since_order = self
                .last_order_at
                .map_or(Duration::MAX, |time| now.since(time));
            return match REPORT_LAG.checked_sub(since_order) {
                Some(left) if !left.is_zero() => LoadStep::Idle(left),
                _ => LoadStep::FetchReport,
            };
        };
        let requests = self.requests.len();
        self.requests
            .retain(|request| now.since(request.renewed_at) < LOAD_REQUEST_LIFETIME);
        if self.requests.len() < requests {
            self.revision += 1;
        }
        if self.lacks_model() {
            return self.model_step(expected_sequence, now);
        }
        if let Some(since) = self.slots.unloading_since() {
            if now.since(since) < UNLOAD_CHECK_INTERVAL {
                return LoadStep::Idle(UNLOAD_CHECK_INTERVAL);
            }
            self.sequence = None;
            return LoadStep::FetchReport;
        }
        let order = self
            .due_load_check(now)
            .or_else(|| self.next_load_order(now));
        if let Some(kind) = order.or_else(|| self.unload_in_advance(now)) {
            return LoadStep::Order(PlannedOrder {
                kind,
                expected_sequence,
            });
        }
        LoadStep::Idle(self.slots.time_to_check(now).unwrap_or(IDLE_INTERVAL))
    }

    pub(crate) fn slots(&self) -> &AdapterSlots {
        &self.slots
    }

    fn model_step(&mut self, expected_sequence: u64, now: Timestamp) -> LoadStep {
        let held = self.held_models.as_deref().unwrap_or_default();
        let assigned = self.assigned_model.as_ref();
        let Some(model) = assigned.filter(|model| self.engine.has_room_for(model, held)) else {
            self.sequence = None;
            return LoadStep::Idle(IDLE_INTERVAL);
        };
        match self.model_ordered_at {
            // Completion of the model load is visible only in the target's report.
            Some(time) if now.since(time) < MODEL_LOAD_RETRY_DELAY => {
                self.sequence = None;
                LoadStep::Idle(REPORT_LAG)
            }
            _ => {
                let model = model.clone();
                LoadStep::Order(PlannedOrder {
                    kind: OrderKind::LoadModel { model },
                    expected_sequence,
                })
            }
        }
    }

    /// Repeats the order of a load whose check is due; the answer says whether it is complete.
    fn due_load_check(&self, now: Timestamp) -> Option<OrderKind> {
        let (adapter, version) = self.slots.due_check(now)?;
        let adapter = adapter.clone();
        Some(OrderKind::LoadAdapter { adapter, version })
    }

    fn next_load_order(&self, now: Timestamp) -> Option<OrderKind> {
        if self.slots.loading().count() >= MAX_CONCURRENT_LOADS {
            return None;
        }
        // The adapter with the most demand goes first, and the oldest request among equals.
        let replaceable = |request: &&LoadRequest| {
            !self.slots.holds(&request.adapter) || self.slots.is_idle(&request.adapter, now)
        };
        let request = self
            .requests
            .iter()
            .rev()
            .filter(replaceable)
            .max_by_key(|request| request.demand)?;
        let replaces = self.slots.holds(&request.adapter);
        if !replaces && self.slots.occupied() >= self.slots.capacity() {
            let (adapter, _) = self.eviction_candidate(now)?;
            return Some(OrderKind::UnloadAdapter { adapter });
        }
        let (adapter, version) = (request.adapter.clone(), request.version);
        Some(OrderKind::LoadAdapter { adapter, version })
    }

    /// Unloads an unused adapter in advance, so that the next load finds a free slot.
    fn unload_in_advance(&self, now: Timestamp) -> Option<OrderKind> {
        let capacity = self.slots.capacity();
        if self.slots.occupied() + capacity / FREE_SLOT_DIVISOR <= capacity {
            return None;
        }
        let (adapter, last_use) = self.eviction_candidate(now)?;
        (now.since(last_use) > MIN_UNUSED_TIME).then_some(OrderKind::UnloadAdapter { adapter })
    }

    /// The least recently used idle adapter that has no load request, and the time of its last use.
    fn eviction_candidate(&self, now: Timestamp) -> Option<(ModelAdapter, Timestamp)> {
        let idle = self.slots.idle(now);
        let idle = idle.filter(|(adapter, _)| !self.is_requested(adapter));
        let (adapter, last_use) = idle.min_by_key(|(_, last_use)| *last_use)?;
        Some((adapter.clone(), last_use))
    }

    pub(crate) fn apply_report(&mut self, report: HoldingsReport, now: Timestamp) {
        self.sequence = Some(report.sequence);
        self.unreachable = false;
        self.set_held_models(report.models);
        self.slots
            .apply_report(report.adapters, report.pending, now);
        self.revision += 1;
    }

    fn set_held_models(&mut self, models: Vec<BaseModel>) {
        let capacity = self.engine.adapter_capacity(&models);
        let keeps_copies = self.engine.keeps_copies();
        self.slots.set_capacity(capacity, keeps_copies);
        if self.engine.serves_with(&models) {
            self.model_ordered_at = None;
            self.assigned_model = None;
        }
        self.held_models = Some(models);
    }

    /// Discards the state of the target's previous process or of its previous owner.
    pub(crate) fn reset(&mut self) {
        self.sequence = None;
        self.last_order_at = None;
        self.model_ordered_at = None;
        self.assigned_model = None;
        self.slots.reset();
    }

    pub(crate) fn apply_answer(
        &mut self,
        order: &PlannedOrder,
        answer: OrderAnswer,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        self.last_order_at = Some(sent_at);
        self.consecutive_timeouts = match answer {
            OrderAnswer::TimedOut => self.consecutive_timeouts + 1,
            _ => 0,
        };
        match answer {
            // A repeated order for a pending load is accepted without advancing the sequence.
            OrderAnswer::Accepted if self.is_loading(&order.kind) => {
                self.apply_accepted(&order.kind, now);
            }
            OrderAnswer::Accepted => {
                self.sequence = Some(order.expected_sequence + 1);
                self.apply_accepted(&order.kind, now);
            }
            OrderAnswer::Done => self.apply_done(order, now),
            // The next report gives the current sequence number and holdings.
            OrderAnswer::Conflict | OrderAnswer::Rejected | OrderAnswer::Lost => {
                self.sequence = None;
            }
            OrderAnswer::TimedOut => self.handle_timeout(&order.kind, now),
        }
    }

    /// Leaves the order to be repeated with the same sequence number: if the target had accepted
    /// the first one, it acknowledges the repeat or reports a conflict.
    fn handle_timeout(&mut self, kind: &OrderKind, now: Timestamp) {
        if self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS {
            self.consecutive_timeouts = 0;
            self.sequence = None;
        } else if let OrderKind::LoadAdapter { adapter, .. } = kind
            && self.is_loading(kind)
            && self.slots.postpone_check(adapter, now)
        {
            self.sequence = None;
        }
    }

    /// Whether the target has accepted the order, a load, and is not known to have completed it.
    pub(crate) fn is_loading(&self, kind: &OrderKind) -> bool {
        let OrderKind::LoadAdapter { adapter, version } = kind else {
            return false;
        };
        self.slots.is_loading(adapter, *version)
    }

    fn apply_accepted(&mut self, kind: &OrderKind, now: Timestamp) {
        match kind {
            OrderKind::LoadModel { .. } => self.model_ordered_at = Some(now),
            OrderKind::LoadAdapter { adapter, version } => {
                self.requests.retain(|request| request.adapter != *adapter);
                self.mark_loading(adapter, *version, now);
            }
            OrderKind::UnloadAdapter { adapter } => {
                self.slots.mark_unloading(adapter, now);
                self.revision += 1;
            }
        }
    }

    fn mark_loading(&mut self, adapter: &ModelAdapter, version: u64, now: Timestamp) {
        let is_new = !self.slots.is_loading(adapter, version);
        if self.slots.mark_loading(adapter, version, now) {
            self.sequence = None;
        }
        self.revision += u64::from(is_new);
    }

    fn apply_done(&mut self, order: &PlannedOrder, now: Timestamp) {
        match &order.kind {
            OrderKind::LoadModel { model } => {
                let mut models = self.held_models.take().unwrap_or_default();
                models.push(model.clone());
                self.set_held_models(models);
                self.revision += 1;
            }
            OrderKind::LoadAdapter { adapter, version } => {
                self.requests.retain(|request| request.adapter != *adapter);
                self.slots.mark_resident(adapter, *version, now);
                self.revision += 1;
            }
            OrderKind::UnloadAdapter { adapter } => {
                // The target counts an unload that completes at once as an accepted order.
                self.sequence = Some(order.expected_sequence + 1);
                self.remove(adapter);
            }
        }
    }

    fn remove(&mut self, adapter: &ModelAdapter) {
        self.slots.remove(adapter);
        self.revision += 1;
    }
}
