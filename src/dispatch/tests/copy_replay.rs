//! Replays arrivals for 10,000 adapters at targets that keep copies of six times as many adapters as
//! they have slots: the load comes in waves that use all slots at their peak, a zone is taken out of
//! service for some seconds, and all VMs restart in between.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{at, engine, report};
use crate::collections::{FastMap, FastSet};
use crate::dispatch::choice::{ChoiceView, TargetChoice};
use crate::dispatch::choice_request::ChoiceRequest;
use crate::dispatch::directory::{HeldModel, TargetDirectory, TargetKey};
use crate::dispatch::load_order::LoadAnswer;
use crate::dispatch::load_order::{HoldingsReport, LoadStep, OrderAnswer, OrderKind};
use crate::dispatch::load_planner::LoadPlanner;
use crate::dispatch::residency::ResidencyTable;
use crate::dispatch::routing::EngineSpec;
use crate::ids::{BaseModel, ModelAdapter, NodeName, ServiceName, TargetName, ZoneName};

const ADAPTERS: usize = 10_000;
const ZIPF_EXPONENT: f64 = 1.2;
/// The fraction of requests that name an adapter.
const ADAPTER_SHARE: f64 = 0.95;
/// Adapters of which a target keeps copies, for each slot.
const COPIES_PER_SLOT: usize = 6;
const VMS: usize = 6;
const ZONES: usize = 3;
const STEP_MS: u64 = 5;
const FETCH_MS: std::ops::Range<u64> = 250..288;
const RELOAD_MS: u64 = 26;
/// Loads from the weight store at the same time that don't slow each other down.
const FAST_FETCHES: usize = 56;
const RECHECK_MS: u64 = 60;
const LONG_WAIT_MS: u64 = 290;
const MAX_WAIT_MS: u64 = 3_000;
const DURATION_LIMIT_MS: u64 = 6_500;
const WAVE_MS: f64 = 13_000.0;
const WAVE_HEIGHT: f64 = 0.5;
/// When a zone is taken out of service and put back, from the start of each half.
const EVACUATION_MS: std::ops::Range<u64> = 6_000..12_000;

#[derive(Clone, Copy)]
pub(super) struct ReplayLoad {
    pub(super) targets: usize,
    pub(super) slots: usize,
    pub(super) per_s: f64,
}

#[derive(Debug, Default)]
pub(super) struct ReplayCounts {
    pub(super) served: usize,
    pub(super) refused: usize,
    /// Requests that waited for longer than [`LONG_WAIT_MS`].
    pub(super) long_waits: usize,
    /// The sum of all waits.
    pub(super) waited_ms: u64,
    pub(super) fetches: usize,
    pub(super) reloads: usize,
    /// Loads of adapters that some target held before, for requests that waited.
    pub(super) repeated: usize,
    /// Those of them on a target without a copy.
    pub(super) missed: usize,
    /// Those of them while another target in service had a copy.
    pub(super) avoidable: usize,
    /// Loads of further copies, which no request waited for, from the weight store.
    pub(super) spread_fetches: usize,
    /// The same from copies.
    pub(super) spread_reloads: usize,
}

struct ReplayTarget {
    planner: LoadPlanner,
    key: TargetKey,
    held: Vec<ModelAdapter>,
    /// The most recently loaded adapter last.
    copies: VecDeque<ModelAdapter>,
    /// Adapters being loaded, when they will be complete, and whether the store is needed.
    loading: FastMap<ModelAdapter, (u64, bool)>,
    running: Vec<(ModelAdapter, u64)>,
    sequence: u64,
    revision: u64,
    wakeup_at: u64,
}

struct ReplayRequest {
    vm: usize,
    adapter: Option<ModelAdapter>,
    arrived: u64,
    duration: u64,
    check_at: u64,
}

pub(super) struct Replay {
    load: ReplayLoad,
    with_copies: bool,
    directory: TargetDirectory,
    targets: Vec<ReplayTarget>,
    indexes: FastMap<TargetKey, usize>,
    views: Vec<ResidencyTable>,
    waiting: Vec<ReplayRequest>,
    held_ever: FastSet<ModelAdapter>,
    /// Loads that no request waits for.
    spread: FastSet<(usize, ModelAdapter)>,
    evacuated: bool,
    random: StdRng,
    counts: ReplayCounts,
}

fn vm() -> NodeName {
    "vm-1".parse().unwrap()
}

impl ReplayTarget {
    fn holdings(&self) -> HoldingsReport {
        HoldingsReport {
            sequence: self.sequence,
            models: vec!["m".parse().unwrap()],
            adapters: self.held.iter().map(|held| (held.clone(), 0)).collect(),
            pending: self.loading.keys().cloned().collect(),
        }
    }

    fn has_copy(&self, adapter: &ModelAdapter) -> bool {
        self.copies.contains(adapter)
    }

    fn add_copy(&mut self, adapter: &ModelAdapter, slots: usize) {
        self.copies.retain(|other| other != adapter);
        self.copies.push_back(adapter.clone());
        if self.copies.len() > slots * COPIES_PER_SLOT {
            self.copies.pop_front();
        }
    }
}

impl Replay {
    pub(super) fn new(load: ReplayLoad, with_copies: bool, seed: u64) -> Self {
        let mut replay = Self {
            load,
            with_copies,
            directory: TargetDirectory::default(),
            targets: Vec::new(),
            indexes: FastMap::default(),
            views: Vec::new(),
            waiting: Vec::new(),
            held_ever: FastSet::default(),
            spread: FastSet::default(),
            evacuated: false,
            random: StdRng::seed_from_u64(seed),
            counts: ReplayCounts::default(),
        };
        for index in 0..load.targets {
            let name: TargetName = format!("i-{index}").parse().unwrap();
            let mut record = report(&format!("z{}", index % ZONES));
            record.slots = load.slots as u32 * 2;
            replay.directory.apply(&name, Some(record), at(0));
            let key = TargetKey::new(&name);
            replay.indexes.insert(key, index);
            replay.targets.push(ReplayTarget {
                planner: LoadPlanner::new(replay.engine()),
                key,
                held: Vec::new(),
                copies: VecDeque::new(),
                loading: FastMap::default(),
                running: Vec::new(),
                sequence: 0,
                revision: 0,
                wakeup_at: 0,
            });
        }
        replay.restart_vms(0);
        replay
    }

    fn engine(&self) -> EngineSpec {
        EngineSpec {
            host_mb: if self.with_copies { 1.0 } else { 0.0 },
            ..engine(self.load.slots)
        }
    }

    /// Restarts all VMs, which then know only what the targets report.
    fn restart_vms(&mut self, now: u64) {
        let engine = self.engine();
        self.views = (0..VMS).map(|_| ResidencyTable::default()).collect();
        for target in &mut self.targets {
            target.planner = LoadPlanner::new(engine.clone());
            target.planner.apply_report(target.holdings(), at(now));
            (target.revision, target.wakeup_at) = (0, now);
            let adapters = target.held.iter().map(|held| (held.clone(), 0));
            let held = HeldModel {
                model: "m".parse().unwrap(),
                adapters: adapters.collect(),
            };
            for view in &mut self.views {
                view.apply_report(target.key, std::slice::from_ref(&held), at(now));
            }
        }
    }

    /// Runs for a time, after which all VMs restart, and for the same time again. Counts the last
    /// half of the first part and all of the second.
    pub(super) fn run(&mut self, seconds: u64) -> [ReplayCounts; 2] {
        let weights = (1..=ADAPTERS).map(|rank| (rank as f64).powf(-ZIPF_EXPONENT));
        let sums = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        let sums: Vec<f64> = sums.collect();
        let mut now = 1_000;
        [true, false].map(|is_first| {
            if !is_first {
                self.restart_vms(now);
                self.counts = ReplayCounts::default();
            }
            for step in 0..seconds * 1_000 / STEP_MS {
                if is_first && step == seconds * 500 / STEP_MS {
                    self.counts = ReplayCounts::default();
                }
                now += STEP_MS;
                self.evacuated = EVACUATION_MS.contains(&(step * STEP_MS));
                let zones = self.evacuated.then(|| "z0".parse().unwrap());
                self.directory
                    .set_evacuated_zones(zones.into_iter().collect());
                self.add_arrivals(&sums, now);
                self.advance_targets(now);
                let waiting = std::mem::take(&mut self.waiting);
                for request in waiting {
                    self.advance_request(request, now);
                }
            }
            std::mem::take(&mut self.counts)
        })
    }

    fn add_arrivals(&mut self, sums: &[f64], now: u64) {
        let phase = now as f64 / WAVE_MS * std::f64::consts::TAU;
        let per_s = self.load.per_s * (1.0 + WAVE_HEIGHT * phase.sin());
        let mut expected = per_s * STEP_MS as f64 / 1_000.0;
        while expected > 0.0 && self.random.random_bool(expected.min(1.0)) {
            expected -= 1.0;
            let point = self.random.random_range(0.0..*sums.last().unwrap());
            let drawn = sums.partition_point(|sum| *sum < point);
            let names_adapter = self.random.random_bool(ADAPTER_SHARE);
            self.waiting.push(ReplayRequest {
                vm: self.random.random_range(0..VMS),
                adapter: names_adapter.then(|| format!("m/a{drawn}").parse().unwrap()),
                arrived: now,
                duration: self.random.random_range(500..DURATION_LIMIT_MS),
                check_at: now,
            });
        }
    }

    fn advance_targets(&mut self, now: u64) {
        for index in 0..self.targets.len() {
            let target = &mut self.targets[index];
            let ended = target.running.extract_if(.., |(_, end)| *end <= now);
            let ended: Vec<_> = ended.map(|(adapter, _)| adapter).collect();
            for adapter in ended {
                let left = target.running.iter().filter(|(other, _)| *other == adapter);
                let left = left.count() as u32;
                target.planner.record_use(&vm(), &adapter, left, at(now));
            }
            while self.targets[index].wakeup_at <= now {
                match self.targets[index].planner.next_step(at(now)) {
                    LoadStep::Order(order) => {
                        let answer = self.execute(index, &order.kind, now);
                        let planner = &mut self.targets[index].planner;
                        planner.apply_answer(&order, answer, at(now), at(now));
                    }
                    LoadStep::Idle(wait) => {
                        let wait = wait.as_millis() as u64;
                        self.targets[index].wakeup_at = now + wait.clamp(STEP_MS, 1_000);
                    }
                    LoadStep::FetchReport => {
                        let holdings = self.targets[index].holdings();
                        self.targets[index].planner.apply_report(holdings, at(now));
                    }
                }
            }
            self.announce(index, now);
        }
    }

    /// Carries out an order.
    fn execute(&mut self, index: usize, kind: &OrderKind, now: u64) -> OrderAnswer {
        let slots = self.load.slots;
        let target = &mut self.targets[index];
        match kind {
            OrderKind::LoadAdapter { adapter, .. } => match target.loading.get(adapter) {
                Some((done_at, _)) if *done_at <= now => {
                    target.loading.remove(adapter);
                    target.held.push(adapter.clone());
                    target.add_copy(adapter, slots);
                    OrderAnswer::Done
                }
                Some(_) => OrderAnswer::Accepted,
                None => {
                    self.start_load(index, adapter, now);
                    OrderAnswer::Accepted
                }
            },
            OrderKind::UnloadAdapter { adapter } => {
                target.sequence += 1;
                target.held.retain(|other| other != adapter);
                OrderAnswer::Done
            }
            OrderKind::LoadModel { .. } => OrderAnswer::Done,
        }
    }

    fn start_load(&mut self, index: usize, adapter: &ModelAdapter, now: u64) {
        let fetching = self
            .targets
            .iter()
            .flat_map(|target| target.loading.values());
        let fetching = fetching
            .filter(|(done_at, fetch)| *fetch && *done_at > now)
            .count()
            + 1;
        let has_copy = self.targets[index].has_copy(adapter);
        let is_repeat = !self.held_ever.insert(adapter.clone());
        let counts = &mut self.counts;
        match (self.spread.remove(&(index, adapter.clone())), has_copy) {
            (true, true) => counts.spread_reloads += 1,
            (true, false) => counts.spread_fetches += 1,
            (false, _) if is_repeat => {
                let mut targets = self.targets.iter().enumerate();
                let zone_open = |index: usize| !self.evacuated || !index.is_multiple_of(ZONES);
                let others =
                    targets.any(|(index, target)| zone_open(index) && target.has_copy(adapter));
                counts.repeated += 1;
                counts.missed += usize::from(!has_copy);
                counts.avoidable += usize::from(!has_copy && others);
            }
            _ => {}
        }
        if has_copy {
            counts.reloads += 1;
        } else {
            counts.fetches += 1;
        }
        let fetch_ms = self.random.random_range(FETCH_MS);
        let slowdown = (fetching as f64 / FAST_FETCHES as f64).max(1.0);
        let took = if has_copy {
            RELOAD_MS
        } else {
            (fetch_ms as f64 * slowdown) as u64
        };
        let target = &mut self.targets[index];
        target.sequence += 1;
        target
            .loading
            .insert(adapter.clone(), (now + took, !has_copy));
    }

    fn announce(&mut self, index: usize, now: u64) {
        let target = &mut self.targets[index];
        if target.revision == target.planner.revision() {
            return;
        }
        target.revision = target.planner.revision();
        let resident = target.planner.resident_adapters();
        let resident: Vec<_> = resident
            .map(|(adapter, version)| (adapter.clone(), version))
            .collect();
        let loading: FastSet<_> = target.planner.pending_adapters().cloned().collect();
        for view in &mut self.views {
            view.apply_announcement(target.key, resident.clone(), loading.clone(), at(now));
        }
        let names: FastSet<_> = resident.iter().map(|(adapter, _)| adapter).collect();
        for request in &mut self.waiting {
            if request
                .adapter
                .as_ref()
                .is_some_and(|adapter| names.contains(adapter))
            {
                request.check_at = now;
            }
        }
    }

    fn choose(&mut self, request: &ReplayRequest, now: u64) -> TargetChoice {
        let (service, model): (ServiceName, BaseModel) =
            ("llm".parse().unwrap(), "m".parse().unwrap());
        let zone: ZoneName = format!("z{}", request.vm % ZONES).parse().unwrap();
        let choice_request = ChoiceRequest {
            service: &service,
            model: Some(&model),
            adapter: request.adapter.as_ref(),
            excluded: &[],
            stalled: &[],
            waited: Duration::from_millis(now - request.arrived),
            software: None,
        };
        let view = ChoiceView {
            directory: &self.directory,
            residency: &self.views[request.vm],
            own_zone: &zone,
            keeps_copies: self.with_copies,
            random_draw: self.random.random(),
            now: at(now),
        };
        let load = |key: TargetKey| self.targets[self.indexes[&key]].running.len() as u32;
        view.choose(&choice_request, load, |_| true, |_| true)
    }

    fn request_load(&mut self, request: &ReplayRequest, key: TargetKey, now: u64) -> bool {
        let Some(adapter) = &request.adapter else {
            return false;
        };
        let target = &mut self.targets[self.indexes[&key]];
        if target.planner.request_load(adapter, 0, at(now)) == LoadAnswer::Full {
            self.views[request.vm].mark_full(key, adapter, at(now));
            return false;
        }
        target.wakeup_at = target.wakeup_at.min(now);
        true
    }

    fn advance_request(&mut self, mut request: ReplayRequest, now: u64) {
        if request.check_at > now {
            self.waiting.push(request);
            return;
        }
        request.check_at = now + RECHECK_MS;
        loop {
            match self.choose(&request, now) {
                TargetChoice::Send { target, copy_to } => {
                    if let (Some(copy), Some(adapter)) = (copy_to, &request.adapter) {
                        let (index, adapter) = (self.indexes[&copy], adapter.clone());
                        if self.request_load(&request, copy, now)
                            && !self.targets[index].planner.slots().holds(&adapter)
                        {
                            self.spread.insert((index, adapter));
                        }
                    }
                    self.serve(&request, target, now);
                    return;
                }
                TargetChoice::Load(target) => {
                    if self.request_load(&request, target, now) {
                        let adapter = request.adapter.clone().expect("a load has an adapter");
                        self.spread.remove(&(self.indexes[&target], adapter));
                        break;
                    }
                }
                _ => break,
            }
        }
        if now - request.arrived < MAX_WAIT_MS {
            self.waiting.push(request);
        } else {
            self.counts.refused += 1;
        }
    }

    fn serve(&mut self, request: &ReplayRequest, key: TargetKey, now: u64) {
        self.counts.served += 1;
        self.counts.waited_ms += now - request.arrived;
        self.counts.long_waits += usize::from(now - request.arrived > LONG_WAIT_MS);
        let target = &mut self.targets[self.indexes[&key]];
        let adapter = request.adapter.clone();
        let adapter = adapter.unwrap_or_else(|| "m/none".parse().unwrap());
        target
            .running
            .push((adapter.clone(), now + request.duration));
        let in_flight = target.running.iter().filter(|(other, _)| *other == adapter);
        let in_flight = in_flight.count() as u32;
        target
            .planner
            .record_use(&vm(), &adapter, in_flight, at(now));
    }
}
