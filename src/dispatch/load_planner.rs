//! Plans the load and unload orders that the owner of a target sends to it.
//!
//! Load patterns: thousands of adapters share a few slots; reloading an adapter on a target that
//! held it recently is ten times as fast as a load from the store; an unload waits for the
//! adapter's requests and blocks all loads meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::load_order::{HoldingsReport, LoadStep, OrderAnswer, OrderKind, PlannedOrder};
use crate::ids::{AdapterName, BaseModel};

/// The platform's limit on adapters that one target transfers at the same time.
const TRANSIT_LIMIT: usize = 4;
/// Expected load time of an adapter that the target held recently: a tenth of a load from the
/// store.
const WARM_LOAD: Duration = Duration::from_millis(26);
/// Initial estimate of the time for a load from the store when few loads run; measured times
/// replace it.
const COLD_LOAD: Duration = Duration::from_millis(250);
/// The fraction of the expected load time after which the owner first checks for completion.
const FIRST_CHECK_PART: f64 = 0.97;
/// The weight of the newest measurement in the moving average of load times.
const LOAD_TIME_WEIGHT: f64 = 0.3;
/// Factor applied to the expected load time when the first check finds the load complete, because
/// the load may have finished much earlier.
const EARLY_LOAD_FACTOR: f64 = 0.8;
/// Loads that took less time did not come from the store and are not measured.
const COLD_LOAD_LEAST: Duration = Duration::from_millis(120);
/// The interval between completion checks after the first one.
const LOAD_CHECK_PAUSE: Duration = Duration::from_millis(25);
/// How long the owner sleeps when no load is in progress; a new load request wakes it earlier.
const IDLE_PAUSE: Duration = Duration::from_secs(1);
/// After this time a pending load is abandoned and the target's report is fetched again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// A load request that is not renewed within this time is dropped; waiting client requests renew
/// theirs.
const WISH_LIFETIME: Duration = Duration::from_millis(800);
/// Target reports lag by a few hundred milliseconds. A report fetched sooner after an order may not
/// reflect it.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// One slot in this many is kept free, so that a load need not wait for an unload.
const FREE_PART: usize = 8;
/// An adapter that has not been used for this long has no running requests that would delay its
/// unload.
const UNUSED_TIME: Duration = Duration::from_secs(4);
/// Consecutive orders without an answer after which the target's report is fetched.
const TIMEOUT_LIMIT: u32 = 3;
/// How long to wait before a base model's load is ordered again.
const MODEL_LOAD_TIMEOUT: Duration = Duration::from_secs(6);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdapterState {
    /// Ordered but not yet complete; holds the time of the order and of the next check.
    Loading {
        since: Timestamp,
        check_at: Timestamp,
        checks: u32,
    },
    Resident,
}

#[derive(Debug)]
struct HeldAdapter {
    version: u64,
    state: AdapterState,
    last_use: Timestamp,
}

#[derive(Debug)]
struct LoadWish {
    adapter: AdapterName,
    version: u64,
    /// How often client requests have asked for the adapter. They repeat the request while they
    /// wait, so this approximates their total waiting time.
    asks: u32,
    renewed_at: Timestamp,
}

/// The adapter state of one target that this VM owns.
#[derive(Debug)]
pub(crate) struct LoadPlanner {
    model: BaseModel,
    /// The number of adapters that fit beside the model.
    places: usize,
    /// The number of orders that the target has accepted; unknown before the first report and after
    /// a conflict.
    sequence: Option<u64>,
    last_order: Option<Timestamp>,
    has_model: bool,
    model_ordered: Option<Timestamp>,
    adapters: FastMap<AdapterName, HeldAdapter>,
    wishes: VecDeque<LoadWish>,
    /// Adapters that the target has held since it started. It caches them, so that loading them
    /// again is fast.
    held_before: FastSet<AdapterName>,
    /// The expected time of a load from the store.
    cold_load: Duration,
    /// Incremented when the set of resident or pending adapters changes.
    revision: u64,
    /// Whether the target refuses connections.
    unreachable: bool,
    /// Consecutive orders without an answer.
    timeouts: u32,
}

impl LoadPlanner {
    pub(crate) fn new(model: BaseModel, places: usize) -> Self {
        Self {
            model,
            places,
            sequence: None,
            last_order: None,
            has_model: true,
            model_ordered: None,
            adapters: FastMap::default(),
            wishes: VecDeque::new(),
            held_before: FastSet::default(),
            cold_load: COLD_LOAD,
            revision: 0,
            unreachable: false,
            timeouts: 0,
        }
    }

    pub(crate) fn model(&self) -> &BaseModel {
        &self.model
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether every request to the target would fail, whatever adapter it needs.
    pub(crate) fn is_out(&self) -> bool {
        self.unreachable || !self.has_model
    }

    pub(crate) fn held_model(&self) -> Option<&BaseModel> {
        (!self.is_out()).then_some(&self.model)
    }

    /// Handles a target that refuses connections: its process has ended, and everything it held is
    /// lost.
    pub(crate) fn note_unreachable(&mut self) {
        self.sequence = None;
        self.adapters.clear();
        self.held_before.clear();
        if !self.unreachable {
            self.unreachable = true;
            self.revision += 1;
        }
    }

    /// Adapters that are ready to serve, with their versions.
    pub(crate) fn resident(&self) -> impl Iterator<Item = (&AdapterName, u64)> {
        let resident = self
            .adapters
            .iter()
            .filter(|(_, held)| held.state == AdapterState::Resident);
        resident.map(|(adapter, held)| (adapter, held.version))
    }

    /// Adapters that are loading or waiting to be loaded.
    pub(crate) fn expected(&self) -> impl Iterator<Item = &AdapterName> {
        let loading = self
            .adapters
            .iter()
            .filter(|(_, held)| held.state != AdapterState::Resident);
        let wished = self.wishes.iter().map(|wish| &wish.adapter);
        loading.map(|(adapter, _)| adapter).chain(wished)
    }

    /// Requests a load of `adapter` on behalf of a waiting client request. Returns whether the
    /// adapter is already resident.
    pub(crate) fn wish(&mut self, adapter: &AdapterName, version: u64, now: Timestamp) -> bool {
        if let Some(held) = self.adapters.get_mut(adapter)
            && held.version >= version
        {
            held.last_use = now;
            return held.state == AdapterState::Resident;
        }
        let known = self.wishes.iter_mut().find(|wish| wish.adapter == *adapter);
        match known {
            Some(wish) => {
                wish.renewed_at = now;
                wish.asks += 1;
                wish.version = wish.version.max(version);
            }
            None => {
                let adapter = adapter.clone();
                self.wishes.push_back(LoadWish {
                    adapter,
                    version,
                    asks: 1,
                    renewed_at: now,
                });
                self.revision += 1;
            }
        }
        false
    }

    /// Records that a request for `adapter` was sent to the target.
    pub(crate) fn note_use(&mut self, adapter: &AdapterName, now: Timestamp) {
        if let Some(held) = self.adapters.get_mut(adapter) {
            held.last_use = held.last_use.max(now);
        }
    }

    /// Handles the target's answer that it does not hold `adapter`. The target's report is fetched
    /// if this contradicts the recorded state.
    pub(crate) fn note_absent(&mut self, adapter: &AdapterName) {
        let resident = |held: &HeldAdapter| held.state == AdapterState::Resident;
        if self.adapters.get(adapter).is_some_and(resident) {
            self.sequence = None;
        }
    }

    pub(crate) fn next_step(&mut self, now: Timestamp) -> LoadStep {
        let Some(expected) = self.sequence else {
            let settled = self
                .last_order
                .map_or(Duration::MAX, |time| now.since(time));
            return match REPORT_LAG.checked_sub(settled) {
                Some(left) if !left.is_zero() => LoadStep::Idle(left),
                _ => LoadStep::Report,
            };
        };
        self.wishes
            .retain(|wish| now.since(wish.renewed_at) < WISH_LIFETIME);
        if !self.has_model {
            return self.model_step(expected, now);
        }
        let order = self.due_check(now).or_else(|| self.next_load());
        if let Some(kind) = order.or_else(|| self.early_unload(now)) {
            let model = self.model.clone();
            return LoadStep::Order(PlannedOrder {
                kind,
                model,
                expected,
            });
        }
        LoadStep::Idle(self.next_check(now))
    }

    /// The time until the next completion check.
    fn next_check(&self, now: Timestamp) -> Duration {
        let checks = self.adapters.values().filter_map(|held| match held.state {
            AdapterState::Loading { check_at, .. } => Some(check_at.since(now)),
            AdapterState::Resident => None,
        });
        checks.min().unwrap_or(IDLE_PAUSE)
    }

    fn model_step(&mut self, expected: u64, now: Timestamp) -> LoadStep {
        match self.model_ordered {
            // Completion of the model load is visible only in the target's report.
            Some(time) if now.since(time) < MODEL_LOAD_TIMEOUT => {
                self.sequence = None;
                LoadStep::Idle(REPORT_LAG)
            }
            _ => {
                let model = self.model.clone();
                LoadStep::Order(PlannedOrder {
                    kind: OrderKind::LoadModel,
                    model,
                    expected,
                })
            }
        }
    }

    /// Repeats the order of a load whose check is due; the answer says whether the load is
    /// complete.
    fn due_check(&self, now: Timestamp) -> Option<OrderKind> {
        let due = |held: &HeldAdapter| matches!(held.state, AdapterState::Loading { check_at, .. } if check_at <= now);
        let (adapter, held) = self.adapters.iter().find(|(_, held)| due(held))?;
        let (adapter, version) = (adapter.clone(), held.version);
        Some(OrderKind::LoadAdapter { adapter, version })
    }

    fn next_load(&self) -> Option<OrderKind> {
        let loading = |held: &&HeldAdapter| held.state != AdapterState::Resident;
        if self.adapters.values().filter(loading).count() >= TRANSIT_LIMIT {
            return None;
        }
        // The adapter with the most demand goes first, and the oldest request among equals.
        let wish = self.wishes.iter().rev().max_by_key(|wish| wish.asks)?;
        let replaces = self.adapters.contains_key(&wish.adapter);
        if !replaces && self.adapters.len() >= self.places {
            let adapter = self.victim()?;
            return Some(OrderKind::UnloadAdapter { adapter });
        }
        let (adapter, version) = (wish.adapter.clone(), wish.version);
        Some(OrderKind::LoadAdapter { adapter, version })
    }

    /// Unloads an unused adapter in advance, so that the next load finds a free slot.
    fn early_unload(&self, now: Timestamp) -> Option<OrderKind> {
        if self.adapters.len() + self.places / FREE_PART <= self.places {
            return None;
        }
        let adapter = self.victim()?;
        let last_use = self.adapters.get(&adapter)?.last_use;
        (now.since(last_use) > UNUSED_TIME).then_some(OrderKind::UnloadAdapter { adapter })
    }

    /// The least recently used adapter that is resident and has no load request.
    fn victim(&self) -> Option<AdapterName> {
        let idle = self.adapters.iter().filter(|(adapter, held)| {
            let wished = self.wishes.iter().any(|wish| wish.adapter == **adapter);
            held.state == AdapterState::Resident && !wished
        });
        let victim = idle.min_by_key(|(_, held)| held.last_use)?;
        Some(victim.0.clone())
    }

    pub(crate) fn note_report(&mut self, report: HoldingsReport, now: Timestamp) {
        self.sequence = Some(report.sequence);
        self.unreachable = false;
        self.has_model = report.has_model;
        if report.has_model {
            self.model_ordered = None;
        }
        let mut before = std::mem::take(&mut self.adapters);
        for (adapter, version) in report.adapters {
            // A new owner does not know when an adapter was last used, and treats it as in use.
            let known = before.remove(&adapter);
            let last_use = known.map_or(now, |held| held.last_use);
            let held = HeldAdapter {
                version,
                state: AdapterState::Resident,
                last_use,
            };
            self.adapters.insert(adapter, held);
        }
        for adapter in report.pending {
            let version = before.get(&adapter).map_or(0, |held| held.version);
            let check_at = now + LOAD_CHECK_PAUSE;
            let state = AdapterState::Loading {
                since: now,
                check_at,
                checks: 0,
            };
            self.adapters.entry(adapter).or_insert(HeldAdapter {
                version,
                state,
                last_use: now,
            });
        }
        self.revision += 1;
    }

    /// Discards the state of the target's previous process or of its previous owner.
    pub(crate) fn reset(&mut self) {
        self.sequence = None;
        self.last_order = None;
        self.model_ordered = None;
        self.held_before.clear();
    }

    pub(crate) fn note_answer(
        &mut self,
        order: &PlannedOrder,
        answer: OrderAnswer,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        self.last_order = Some(sent_at);
        self.timeouts = match answer {
            OrderAnswer::TimedOut => self.timeouts + 1,
            _ => 0,
        };
        match answer {
            // The target accepts a repeated order for a pending load without counting it in its
            // sequence.
            OrderAnswer::Accepted if self.is_loading(&order.kind) => {
                self.note_accepted(&order.kind, now);
            }
            OrderAnswer::Accepted => {
                self.sequence = Some(order.expected + 1);
                self.note_accepted(&order.kind, now);
            }
            OrderAnswer::Done => self.note_done(order, now),
            // The next report gives the current sequence number and holdings.
            OrderAnswer::Conflict | OrderAnswer::Rejected | OrderAnswer::Lost => {
                self.sequence = None;
            }
            OrderAnswer::TimedOut => self.note_timeout(&order.kind, now),
        }
    }

    /// Leaves the order to be repeated with the same sequence number: if the target had accepted
    /// the first one, it acknowledges the repeat or reports a conflict.
    fn note_timeout(&mut self, kind: &OrderKind, now: Timestamp) {
        if self.timeouts >= TIMEOUT_LIMIT {
            self.timeouts = 0;
            self.sequence = None;
        } else if let OrderKind::LoadAdapter { adapter, version } = kind
            && self.is_loading(kind)
        {
            self.note_loading(adapter, *version, now);
        }
    }

    fn is_loading(&self, kind: &OrderKind) -> bool {
        let OrderKind::LoadAdapter { adapter, version } = kind else {
            return false;
        };
        let loading = |held: &HeldAdapter| {
            held.version == *version && matches!(held.state, AdapterState::Loading { .. })
        };
        self.adapters.get(adapter).is_some_and(loading)
    }

    fn note_accepted(&mut self, kind: &OrderKind, now: Timestamp) {
        match kind {
            OrderKind::LoadModel => self.model_ordered = Some(now),
            OrderKind::LoadAdapter { adapter, version } => {
                self.wishes.retain(|wish| wish.adapter != *adapter);
                self.note_loading(adapter, *version, now);
            }
            OrderKind::UnloadAdapter { adapter } => self.remove(adapter),
        }
    }

    fn note_loading(&mut self, adapter: &AdapterName, version: u64, now: Timestamp) {
        if let Some(held) = self.adapters.get_mut(adapter)
            && let AdapterState::Loading { since, checks, .. } = held.state
        {
            let (check_at, checks) = (now + LOAD_CHECK_PAUSE, checks + 1);
            held.state = AdapterState::Loading {
                since,
                check_at,
                checks,
            };
            if now.since(since) > LOAD_TIMEOUT {
                self.sequence = None;
            }
            return;
        }
        let time = match self.held_before.contains(adapter) {
            true => WARM_LOAD,
            false => self.cold_load.mul_f64(FIRST_CHECK_PART),
        };
        let state = AdapterState::Loading {
            since: now,
            check_at: now + time,
            checks: 0,
        };
        let held = HeldAdapter {
            version,
            state,
            last_use: now,
        };
        self.adapters.insert(adapter.clone(), held);
        self.revision += 1;
    }

    fn note_done(&mut self, order: &PlannedOrder, now: Timestamp) {
        match &order.kind {
            OrderKind::LoadModel => self.has_model = true,
            OrderKind::LoadAdapter { adapter, version } => {
                self.wishes.retain(|wish| wish.adapter != *adapter);
                let held = self.adapters.entry(adapter.clone()).or_insert(HeldAdapter {
                    version: *version,
                    state: AdapterState::Resident,
                    last_use: now,
                });
                if let AdapterState::Loading { since, checks, .. } = held.state {
                    self.cold_load = next_load_time(self.cold_load, now.since(since), checks);
                }
                held.state = AdapterState::Resident;
                held.last_use = now;
                self.held_before.insert(adapter.clone());
                self.revision += 1;
            }
            OrderKind::UnloadAdapter { adapter } => {
                // The target counts an unload that completes at once as an accepted order.
                self.sequence = Some(order.expected + 1);
                self.remove(adapter);
            }
        }
    }

    fn remove(&mut self, adapter: &AdapterName) {
        self.adapters.remove(adapter);
        self.revision += 1;
    }
}

/// Updates the expected time of a load from the store. If the first check finds the load complete,
/// its actual duration is unknown and may be much shorter.
fn next_load_time(expected: Duration, took: Duration, checks: u32) -> Duration {
    if took < COLD_LOAD_LEAST {
        return expected;
    }
    match checks {
        0 => expected.mul_f64(EARLY_LOAD_FACTOR).max(COLD_LOAD),
        _ => expected.mul_f64(1.0 - LOAD_TIME_WEIGHT) + took.mul_f64(LOAD_TIME_WEIGHT),
    }
}
