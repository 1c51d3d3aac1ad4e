//! Baseline routing: each request is assigned to a target on arrival, regardless of which adapters
//! the target has loaded. Targets load the adapters of their queued requests and evict the least
//! recently used idle adapter.

use std::collections::{HashMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::arrivals::{
    Arrival, MAX_LOADS_IN_FLIGHT, MAX_WAIT_MS, RUN_MS, RequestOutcome, STEP_MS, SimulatedSite,
    StallCause, WeightStore, ZONE_OUTAGE_MS,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Routing {
    LeastLoaded,
    Random,
}

#[derive(Debug, Default)]
struct SimulatedEngine {
    queue: VecDeque<usize>,
    /// End time and adapter of each running request.
    running: Vec<(u64, usize)>,
    loading: Vec<usize>,
    /// Load time and last use of each loaded adapter.
    loaded: HashMap<usize, (u64, u64)>,
}

impl SimulatedEngine {
    /// Makes sure that an adapter slot is free, evicting the least recently used idle adapter if
    /// necessary. Returns `false` when all slots are occupied and no adapter is idle.
    fn free_slot(&mut self, site: &SimulatedSite, arrivals: &[Arrival]) -> bool {
        if self.loaded.len() + self.loading.len() < site.adapter_slots {
            return true;
        }
        let idle = self.loaded.iter().filter(|(adapter, _)| {
            let is_running = self.running.iter().any(|(_, other)| other == *adapter);
            let is_queued = self.queue.iter().any(|i| arrivals[*i].adapter == **adapter);
            !is_running && !is_queued
        });
        let least_recent = idle.min_by_key(|(adapter, (_, last_used))| (*last_used, **adapter));
        let Some(adapter) = least_recent.map(|(adapter, _)| *adapter) else {
            return false;
        };
        self.loaded.remove(&adapter);
        true
    }
}

pub(crate) fn run(
    site: &SimulatedSite,
    arrivals: &[Arrival],
    seed: u64,
    routing: Routing,
) -> Vec<RequestOutcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engines: Vec<SimulatedEngine> = (0..site.targets)
        .map(|_| SimulatedEngine::default())
        .collect();
    let mut store = WeightStore::new(site.loads_per_second);
    let refused = RequestOutcome {
        started: None,
        adapter_hit: false,
        stalled: false,
        cause: StallCause::First,
    };
    let mut outcomes = vec![refused; arrivals.len()];
    let mut next = 0;
    for now in (0..RUN_MS).step_by(STEP_MS as usize) {
        for (engine, adapter) in store.step() {
            let engine: &mut SimulatedEngine = &mut engines[engine];
            engine.loading.retain(|other| *other != adapter);
            engine.loaded.insert(adapter, (now, now));
        }
        let zone_is_out = site.zone_outage && ZONE_OUTAGE_MS.contains(&now);
        let in_service: Vec<usize> = (0..engines.len())
            .filter(|index| !zone_is_out || index % site.zones != 0)
            .collect();
        while next < arrivals.len() && arrivals[next].at <= now {
            let chosen = match routing {
                Routing::Random => in_service[rng.random_range(0..in_service.len())],
                Routing::LeastLoaded => least_loaded(&engines, &in_service, &mut rng),
            };
            engines[chosen].queue.push_back(next);
            next += 1;
        }
        for engine in &mut engines {
            step(site, arrivals, now, engine, &mut outcomes);
        }
        start_loads(site, arrivals, &mut engines, &mut store);
    }
    outcomes
}

/// Starts loads for the queued requests in order of arrival, up to the coordinator's limit of loads
/// in flight.
fn start_loads(
    site: &SimulatedSite,
    arrivals: &[Arrival],
    engines: &mut [SimulatedEngine],
    store: &mut WeightStore<(usize, usize)>,
) {
    let mut missing_loads: Vec<(usize, usize)> = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        for request in &engine.queue {
            let adapter = arrivals[*request].adapter;
            if !engine.loaded.contains_key(&adapter) && !engine.loading.contains(&adapter) {
                missing_loads.push((*request, index));
            }
        }
    }
    missing_loads.sort_unstable();
    for (request, index) in missing_loads {
        if store.in_flight() >= MAX_LOADS_IN_FLIGHT {
            return;
        }
        let engine = &mut engines[index];
        let adapter = arrivals[request].adapter;
        if !engine.loading.contains(&adapter) && engine.free_slot(site, arrivals) {
            engine.loading.push(adapter);
            store.start((index, adapter));
        }
    }
}

fn least_loaded(engines: &[SimulatedEngine], in_service: &[usize], rng: &mut StdRng) -> usize {
    let load = |index: &usize| engines[*index].running.len() + engines[*index].queue.len();
    let least = in_service.iter().map(load).min().unwrap_or(0);
    let candidates: Vec<usize> = in_service
        .iter()
        .copied()
        .filter(|i| load(i) == least)
        .collect();
    candidates[rng.random_range(0..candidates.len())]
}

/// Ends and starts requests on one engine. Requests start in order of arrival, except that requests
/// whose adapter is not loaded are skipped.
fn step(
    site: &SimulatedSite,
    arrivals: &[Arrival],
    now: u64,
    engine: &mut SimulatedEngine,
    outcomes: &mut [RequestOutcome],
) {
    engine.running.retain(|(end, _)| *end > now);
    let mut still_queued = VecDeque::new();
    while let Some(index) = engine.queue.pop_front() {
        let arrival = &arrivals[index];
        let loaded = engine.loaded.get_mut(&arrival.adapter);
        if now >= arrival.at + MAX_WAIT_MS {
            outcomes[index].stalled = loaded.is_none();
            continue;
        }
        match loaded {
            Some((loaded_at, last_used)) if engine.running.len() < site.request_limit => {
                *last_used = now;
                let adapter_hit = *loaded_at <= arrival.at;
                outcomes[index] = RequestOutcome {
                    started: Some(now.max(arrival.at)),
                    adapter_hit,
                    stalled: !adapter_hit,
                    cause: StallCause::First,
                };
                engine
                    .running
                    .push((now + arrival.hold_ms(), arrival.adapter));
            }
            _ => still_queued.push_back(index),
        }
    }
    engine.queue = still_queued;
}
