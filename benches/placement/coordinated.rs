//! Runs the arrivals through the pool coordinator with simulated targets.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use bluebellmux::placement::{
    AcquireKey, AcquireRequest, BootId, FencingToken, PoolAction, PoolAnswer, PoolConfig,
    PoolCoordinator, PoolEvent, ReleaseOutcome, TargetName, TargetReport, TargetSpec, Timestamp,
    TokenCount,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::arrivals::{
    Arrival, MAX_LOADS_IN_FLIGHT, MAX_WAIT_MS, RUN_MS, RequestOutcome, STEP_MS, SimulatedSite,
    StallCause, WARM_UP_MS, WeightStore, ZONE_OUTAGE_MS,
};

const TICK_MS: u64 = 20;

struct SimulatedFleet<'a> {
    arrivals: &'a [Arrival],
    coordinator: PoolCoordinator,
    store: WeightStore<(String, usize)>,
    /// Adapter and load time of each loaded generation.
    loaded_adapters: HashMap<String, (usize, u64)>,
    /// The target of each loading or loaded generation.
    generation_targets: HashMap<String, TargetName>,
    loading_adapters: HashSet<usize>,
    previously_loaded: HashSet<usize>,
    /// The targets of the zone that is out of service.
    closed_targets: HashSet<TargetName>,
    measured_loads: u64,
    /// End time and index of each running request.
    running: BTreeMap<(u64, usize), ()>,
    outcomes: Vec<RequestOutcome>,
    now: u64,
}

pub(crate) fn run(
    site: &SimulatedSite,
    arrivals: &[Arrival],
    seed: u64,
) -> (Vec<RequestOutcome>, u64) {
    let rng = StdRng::seed_from_u64(seed);
    let refused = RequestOutcome {
        started: None,
        adapter_hit: false,
        stalled: false,
        cause: StallCause::First,
    };
    let mut fleet = SimulatedFleet {
        arrivals,
        coordinator: PoolCoordinator::new(FencingToken::from(1), Timestamp::default(), rng),
        store: WeightStore::new(site.loads_per_second),
        loaded_adapters: HashMap::new(),
        generation_targets: HashMap::new(),
        loading_adapters: HashSet::new(),
        previously_loaded: HashSet::new(),
        closed_targets: HashSet::new(),
        measured_loads: 0,
        running: BTreeMap::new(),
        outcomes: vec![refused; arrivals.len()],
        now: 0,
    };
    fleet.handle_event(PoolEvent::Configured(config(site, false)));
    fleet.handle_event(PoolEvent::NodesKnown(Vec::new()));
    let mut next = 0;
    for now in (0..RUN_MS).step_by(STEP_MS as usize) {
        fleet.now = now;
        if site.zone_outage && now == ZONE_OUTAGE_MS.start {
            fleet.set_zone_outage(site, true);
        }
        if site.zone_outage && now == ZONE_OUTAGE_MS.end {
            fleet.set_zone_outage(site, false);
        }
        fleet.end_loads();
        fleet.end_requests();
        while next < arrivals.len() && arrivals[next].at <= now {
            let request = acquire_request(&arrivals[next], next);
            fleet.outcomes[next].cause = fleet.stall_cause(arrivals[next].adapter);
            fleet.handle_event(PoolEvent::Acquire(request));
            next += 1;
        }
        if now % TICK_MS == 0 {
            fleet.handle_event(PoolEvent::Tick);
        }
    }
    (fleet.outcomes, fleet.measured_loads)
}

fn config(site: &SimulatedSite, zone_is_out: bool) -> PoolConfig {
    let spec = |index: usize| TargetSpec {
        zone: format!("zone-{}", index % site.zones)
            .parse()
            .expect("the name is valid"),
        in_service: !zone_is_out || !index.is_multiple_of(site.zones),
        adapter_slots: site.adapter_slots as u32,
        request_limit: site.request_limit as u32,
    };
    let name = |index: usize| -> TargetName {
        format!("target-{index}")
            .parse()
            .expect("the name is valid")
    };
    PoolConfig {
        targets: (0..site.targets).map(|i| (name(i), spec(i))).collect(),
        loads_in_flight: MAX_LOADS_IN_FLIGHT as u32,
        loads_per_second: site.loads_per_second,
    }
}

fn acquire_key(index: usize) -> AcquireKey {
    AcquireKey {
        node: "entry-1".parse().expect("the name is valid"),
        boot: BootId::from(1),
        serial: index as u64,
    }
}

fn acquire_request(arrival: &Arrival, index: usize) -> AcquireRequest {
    AcquireRequest {
        key: acquire_key(index),
        account: format!("account-{}", arrival.account)
            .parse()
            .expect("the name is valid"),
        adapter: format!("adapter-{}@1", arrival.adapter)
            .parse()
            .expect("the version is valid"),
        tokens: TokenCount::new(arrival.tokens),
        prefix: None,
        suspect: false,
        avoid: None,
        deadline: Timestamp::from_millis(arrival.at + MAX_WAIT_MS),
    }
}

impl SimulatedFleet<'_> {
    fn end_loads(&mut self) {
        for (generation, adapter) in self.store.step() {
            self.loaded_adapters
                .insert(generation.clone(), (adapter, self.now));
            self.loading_adapters.remove(&adapter);
            self.previously_loaded.insert(adapter);
            if self.now >= WARM_UP_MS {
                self.measured_loads += 1;
            }
            let loaded = true;
            self.handle_event(PoolEvent::LoadEnded { generation, loaded });
        }
    }

    fn end_requests(&mut self) {
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (_, index) = entry.remove_entry().0;
            let outcome = ReleaseOutcome::Completed {
                tokens: TokenCount::new(self.arrivals[index].tokens),
                first_token: Some(Duration::from_millis(100)),
            };
            let key = acquire_key(index);
            self.handle_event(PoolEvent::Release { key, outcome });
        }
    }

    fn set_zone_outage(&mut self, site: &SimulatedSite, zone_is_out: bool) {
        let config = config(site, zone_is_out);
        let targets = config.targets.iter();
        let closed = targets.filter(|(_, spec)| !spec.in_service);
        self.closed_targets = closed.map(|(name, _)| name.clone()).collect();
        self.handle_event(PoolEvent::Configured(config));
    }

    fn stall_cause(&self, adapter: usize) -> StallCause {
        let generations = self.loaded_adapters.iter();
        let mut loaded_generations = generations.filter(|(_, (other, _))| *other == adapter);
        if loaded_generations.clone().next().is_none() {
            return match (
                self.loading_adapters.contains(&adapter),
                self.previously_loaded.contains(&adapter),
            ) {
                (true, _) => StallCause::InFlight,
                (false, true) => StallCause::Evicted,
                (false, false) => StallCause::First,
            };
        }
        match loaded_generations
            .any(|(name, _)| !self.closed_targets.contains(&self.generation_targets[name]))
        {
            true => StallCause::Busy,
            false => StallCause::ZoneOut,
        }
    }

    fn handle_event(&mut self, event: PoolEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = Timestamp::from_millis(self.now);
            for action in self.coordinator.handle(now, event) {
                events.extend(self.apply_action(action));
            }
        }
    }

    fn apply_action(&mut self, action: PoolAction) -> Option<PoolEvent> {
        match action {
            PoolAction::Answer { key, answer } => {
                self.record_answer(key.serial as usize, answer);
                None
            }
            PoolAction::Load {
                target,
                generation,
                adapter,
            } => {
                let name = adapter.adapter.as_str();
                let number = name.rsplit('-').next().and_then(|text| text.parse().ok());
                let adapter = number.expect("the adapter name ends with its number");
                self.loading_adapters.insert(adapter);
                self.generation_targets.insert(generation.clone(), target);
                self.store.start((generation, adapter));
                None
            }
            PoolAction::Unload { generation, .. } => {
                self.loaded_adapters.remove(&generation);
                self.generation_targets.remove(&generation);
                let gone = true;
                Some(PoolEvent::UnloadEnded { generation, gone })
            }
            PoolAction::Probe { target } => {
                let report = self.report();
                let report = Some(report);
                Some(PoolEvent::Probed { target, report })
            }
        }
    }

    /// A report dated at the start of the run, which only shows the coordinator that the target is
    /// alive.
    fn report(&self) -> TargetReport {
        TargetReport {
            asked_at: Timestamp::from_millis(1),
            boot: 1,
            cold: false,
            generations: Vec::new(),
        }
    }

    fn record_answer(&mut self, index: usize, answer: PoolAnswer) {
        let arrival = &self.arrivals[index];
        match answer {
            PoolAnswer::Pinned { generation, .. } => {
                let (adapter, loaded_at) = self.loaded_adapters[&generation];
                assert_eq!(adapter, arrival.adapter);
                let adapter_hit = loaded_at <= arrival.at;
                self.outcomes[index] = RequestOutcome {
                    started: Some(self.now.max(arrival.at)),
                    adapter_hit,
                    stalled: !adapter_hit,
                    cause: self.outcomes[index].cause,
                };
                let end = self.now + arrival.hold_ms();
                self.running.insert((end, index), ());
            }
            PoolAnswer::Refused { .. } => {
                let not_loaded = self
                    .loaded_adapters
                    .values()
                    .all(|(adapter, _)| *adapter != arrival.adapter);
                self.outcomes[index].stalled = not_loaded;
            }
        }
    }
}
