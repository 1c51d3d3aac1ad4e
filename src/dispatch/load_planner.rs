//! The orders that the owner of one target gives it: which adapter to load, and which makes way.
//!
//! Load patterns: thousands of adapters share a few places; an adapter that is asked for again soon
//! loads ten times as fast on the target that held it; an unload waits for the adapter's requests
//! and holds up all loads meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::load_order::{HoldingsReport, LoadStep, OrderAnswer, OrderKind, PlannedOrder};
use crate::ids::{AdapterName, BaseModel};

/// Adapters that may be on their way to one target at the same time, as the platform states it.
const TRANSIT_LIMIT: usize = 4;
/// How long an adapter takes that the target held recently: a tenth of a load from the store.
const WARM_LOAD: Duration = Duration::from_millis(26);
/// How long a load from the store takes while few run; the measured time replaces it.
const COLD_LOAD: Duration = Duration::from_millis(250);
/// The part of the expected time after which an owner first asks whether a load is done.
const FIRST_CHECK_PART: f64 = 0.97;
/// The weight of the newest load in the expected time.
const LOAD_TIME_WEIGHT: f64 = 0.3;
/// What the expected time shrinks to when a load was done at the first question.
const EARLY_LOAD_FACTOR: f64 = 0.8;
/// A load that took less was not one from the store.
const COLD_LOAD_LEAST: Duration = Duration::from_millis(120);
/// The pause between questions whether a load is done.
const LOAD_CHECK_PAUSE: Duration = Duration::from_millis(25);
/// An owner without loads looks again after this time; a wish wakes it.
const IDLE_PAUSE: Duration = Duration::from_secs(1);
/// A load that takes longer is asked for again from the start.
const LOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// An asked load that nobody repeats is dropped: requests repeat theirs while they wait.
const WISH_LIFETIME: Duration = Duration::from_millis(800);
/// Reports of targets lag by some hundred milliseconds, so that one taken sooner after an order
/// tells of the time before it.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// One of this many places is kept free, so that a load needs no unload first.
const FREE_PART: usize = 8;
/// An adapter without use for this long has no request that its unload would wait for.
const UNUSED_TIME: Duration = Duration::from_secs(4);
/// Orders without an answer after which the target's report is asked for.
const TIMEOUT_LIMIT: u32 = 3;
/// A base model's load that was ordered is not ordered again for this long.
const MODEL_LOAD_TIMEOUT: Duration = Duration::from_secs(6);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdapterState {
    /// Ordered; the time of the order and of the next question.
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
    /// How often requests have asked, which they repeat while they wait: the sum of their waits.
    asks: u32,
    renewed_at: Timestamp,
}

/// One owned target.
#[derive(Debug)]
pub(crate) struct LoadPlanner {
    model: BaseModel,
    /// Adapters that fit beside the model.
    places: usize,
    /// Orders that the target has accepted; unknown before a report and after a conflict.
    sequence: Option<u64>,
    last_order: Option<Timestamp>,
    has_model: bool,
    model_ordered: Option<Timestamp>,
    adapters: FastMap<AdapterName, HeldAdapter>,
    wishes: VecDeque<LoadWish>,
    /// Adapters that the target has held in this lifetime; it keeps copies of them.
    held_before: FastSet<AdapterName>,
    /// The expected time of a load from the store.
    cold_load: Duration,
    /// Counts changes of what is resident or expected.
    revision: u64,
    /// The target refuses connections.
    unreachable: bool,
    /// Orders without an answer, one after the other.
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

    /// Whether requests would fail on the target, whatever they need.
    pub(crate) fn is_out(&self) -> bool {
        self.unreachable || !self.has_model
    }

    pub(crate) fn held_model(&self) -> Option<&BaseModel> {
        (!self.is_out()).then_some(&self.model)
    }

    /// The target refuses connections: its process has ended, and all that it held is gone.
    pub(crate) fn note_unreachable(&mut self) {
        self.sequence = None;
        self.adapters.clear();
        self.held_before.clear();
        if !self.unreachable {
            self.unreachable = true;
            self.revision += 1;
        }
    }

    /// Adapters that are ready, with their versions.
    pub(crate) fn resident(&self) -> impl Iterator<Item = (&AdapterName, u64)> {
        let resident = self
            .adapters
            .iter()
            .filter(|(_, held)| held.state == AdapterState::Resident);
        resident.map(|(adapter, held)| (adapter, held.version))
    }

    /// Adapters that are being loaded or will be.
    pub(crate) fn expected(&self) -> impl Iterator<Item = &AdapterName> {
        let loading = self
            .adapters
            .iter()
            .filter(|(_, held)| held.state != AdapterState::Resident);
        let wished = self.wishes.iter().map(|wish| &wish.adapter);
        loading.map(|(adapter, _)| adapter).chain(wished)
    }

    /// A request waits for `adapter`. Returns whether it is there already.
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

    /// A request for `adapter` was sent to the target.
    pub(crate) fn note_use(&mut self, adapter: &AdapterName, now: Timestamp) {
        if let Some(held) = self.adapters.get_mut(adapter) {
            held.last_use = held.last_use.max(now);
        }
    }

    /// The target answered a request that it lacks `adapter`.
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

    /// The time until a load is asked about again.
    fn next_check(&self, now: Timestamp) -> Duration {
        let checks = self.adapters.values().filter_map(|held| match held.state {
            AdapterState::Loading { check_at, .. } => Some(check_at.since(now)),
            AdapterState::Resident => None,
        });
        checks.min().unwrap_or(IDLE_PAUSE)
    }

    fn model_step(&mut self, expected: u64, now: Timestamp) -> LoadStep {
        match self.model_ordered {
            // The report shows when the model is there.
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

    /// Repeats a load's order, which is answered with whether it is done.
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
        // Most waited for first; the oldest among equals.
        let wish = self.wishes.iter().rev().max_by_key(|wish| wish.asks)?;
        let replaces = self.adapters.contains_key(&wish.adapter);
        if !replaces && self.adapters.len() >= self.places {
            let adapter = self.victim()?;
            return Some(OrderKind::UnloadAdapter { adapter });
        }
        let (adapter, version) = (wish.adapter.clone(), wish.version);
        Some(OrderKind::LoadAdapter { adapter, version })
    }

    /// Frees a place ahead of the next load.
    fn early_unload(&self, now: Timestamp) -> Option<OrderKind> {
        if self.adapters.len() + self.places / FREE_PART <= self.places {
            return None;
        }
        let adapter = self.victim()?;
        let last_use = self.adapters.get(&adapter)?.last_use;
        (now.since(last_use) > UNUSED_TIME).then_some(OrderKind::UnloadAdapter { adapter })
    }

    /// The adapter that was used least recently.
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
            // A new owner does not know when an adapter was used: it may be in use.
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

    /// The target began a new lifetime, or this VM has just become its owner.
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
            // A repeated order for a load that is under way is accepted and not counted.
            OrderAnswer::Accepted if self.is_loading(&order.kind) => {
                self.note_accepted(&order.kind, now);
            }
            OrderAnswer::Accepted => {
                self.sequence = Some(order.expected + 1);
                self.note_accepted(&order.kind, now);
            }
            OrderAnswer::Done => self.note_done(order, now),
            // The next report tells the number and what is there.
            OrderAnswer::Conflict | OrderAnswer::Rejected | OrderAnswer::Lost => {
                self.sequence = None;
            }
            OrderAnswer::TimedOut => self.note_timeout(&order.kind, now),
        }
    }

    /// The order is repeated with the same number: if the target has accepted it, the repeat says
    /// so, or conflicts.
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
                // An unload that is done at once counts as an accepted order.
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

/// The expected time of the next load from the store. A load that was done at the first question
/// may have been done long before.
fn next_load_time(expected: Duration, took: Duration, checks: u32) -> Duration {
    if took < COLD_LOAD_LEAST {
        return expected;
    }
    match checks {
        0 => expected.mul_f64(EARLY_LOAD_FACTOR).max(COLD_LOAD),
        _ => expected.mul_f64(1.0 - LOAD_TIME_WEIGHT) + took.mul_f64(LOAD_TIME_WEIGHT),
    }
}
