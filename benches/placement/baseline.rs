//! Plain routing: each request goes to one target at its arrival, without regard to adapters.
//! Targets load what their requests need and evict the least recently used idle adapter.

use std::collections::{HashMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::arrivals::{
    Arrival, LOADS_IN_FLIGHT, Outcome, RUN_MS, STEP_MS, Site, StallCause, WAIT_LIMIT_MS,
    WeightStore, ZONE_OUT_MS,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Routing {
    LeastLoaded,
    Random,
}

#[derive(Debug, Default)]
struct Engine {
    queue: VecDeque<usize>,
    /// The end and the adapter of each running request.
    running: Vec<(u64, usize)>,
    loading: Vec<usize>,
    /// When each resident adapter was loaded and last used.
    resident: HashMap<usize, (u64, u64)>,
}

impl Engine {
    /// Frees a slot by evicting the least recently used idle adapter; `false` when none is idle.
    fn make_room(&mut self, site: &Site, arrivals: &[Arrival]) -> bool {
        if self.resident.len() + self.loading.len() < site.adapter_slots {
            return true;
        }
        let idle = self.resident.iter().filter(|(adapter, _)| {
            let used = self.running.iter().any(|(_, other)| other == *adapter);
            let wanted = self.queue.iter().any(|i| arrivals[*i].adapter == **adapter);
            !used && !wanted
        });
        let oldest = idle.min_by_key(|(adapter, (_, used))| (*used, **adapter));
        let Some(adapter) = oldest.map(|(adapter, _)| *adapter) else {
            return false;
        };
        self.resident.remove(&adapter);
        true
    }
}

pub(crate) fn run(site: &Site, arrivals: &[Arrival], seed: u64, routing: Routing) -> Vec<Outcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..site.targets).map(|_| Engine::default()).collect();
    let mut store = WeightStore::new(site.loads_per_second);
    let refused = Outcome {
        started: None,
        hit: false,
        stalled: false,
        cause: StallCause::First,
    };
    let mut outcomes = vec![refused; arrivals.len()];
    let mut next = 0;
    for now in (0..RUN_MS).step_by(STEP_MS as usize) {
        for (engine, adapter) in store.step() {
            let engine: &mut Engine = &mut engines[engine];
            engine.loading.retain(|other| *other != adapter);
            engine.resident.insert(adapter, (now, now));
        }
        let out = site.zone_out && ZONE_OUT_MS.contains(&now);
        let open: Vec<usize> = (0..engines.len())
            .filter(|index| !out || index % site.zones != 0)
            .collect();
        while next < arrivals.len() && arrivals[next].at <= now {
            let chosen = match routing {
                Routing::Random => open[rng.random_range(0..open.len())],
                Routing::LeastLoaded => least_loaded(&engines, &open, &mut rng),
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

/// Starts the loads that waiting requests need, longest waiting first, up to the same limit in
/// flight as the coordinator has.
fn start_loads(
    site: &Site,
    arrivals: &[Arrival],
    engines: &mut [Engine],
    store: &mut WeightStore<(usize, usize)>,
) {
    let mut needs: Vec<(usize, usize)> = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        for request in &engine.queue {
            let adapter = arrivals[*request].adapter;
            if !engine.resident.contains_key(&adapter) && !engine.loading.contains(&adapter) {
                needs.push((*request, index));
            }
        }
    }
    needs.sort_unstable();
    for (request, index) in needs {
        if store.in_flight() >= LOADS_IN_FLIGHT {
            return;
        }
        let engine = &mut engines[index];
        let adapter = arrivals[request].adapter;
        if !engine.loading.contains(&adapter) && engine.make_room(site, arrivals) {
            engine.loading.push(adapter);
            store.start((index, adapter));
        }
    }
}

fn least_loaded(engines: &[Engine], open: &[usize], rng: &mut StdRng) -> usize {
    let load = |index: &usize| engines[*index].running.len() + engines[*index].queue.len();
    let least = open.iter().map(load).min().unwrap_or(0);
    let best: Vec<usize> = open.iter().copied().filter(|i| load(i) == least).collect();
    best[rng.random_range(0..best.len())]
}

/// Ends and starts requests on one engine, first come first served among those it can run.
fn step(
    site: &Site,
    arrivals: &[Arrival],
    now: u64,
    engine: &mut Engine,
    outcomes: &mut [Outcome],
) {
    engine.running.retain(|(end, _)| *end > now);
    let mut kept = VecDeque::new();
    while let Some(index) = engine.queue.pop_front() {
        let arrival = &arrivals[index];
        let resident = engine.resident.get_mut(&arrival.adapter);
        if now >= arrival.at + WAIT_LIMIT_MS {
            outcomes[index].stalled = resident.is_none();
            continue;
        }
        match resident {
            Some((loaded, used)) if engine.running.len() < site.places => {
                *used = now;
                let hit = *loaded <= arrival.at;
                outcomes[index] = Outcome {
                    started: Some(now.max(arrival.at)),
                    hit,
                    stalled: !hit,
                    cause: StallCause::First,
                };
                engine
                    .running
                    .push((now + arrival.hold_ms(), arrival.adapter));
            }
            _ => kept.push_back(index),
        }
    }
    engine.queue = kept;
}
