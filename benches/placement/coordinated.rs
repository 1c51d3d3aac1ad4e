//! The pool's coordinator in front of the same simulated engines.

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
    Arrival, LOADS_IN_FLIGHT, Outcome, RUN_MS, STEP_MS, Site, StallCause, WAIT_LIMIT_MS,
    WARM_UP_MS, WeightStore, ZONE_OUT_MS,
};

const TICK_MS: u64 = 20;

struct Fleet<'a> {
    arrivals: &'a [Arrival],
    coordinator: PoolCoordinator,
    store: WeightStore<(String, usize)>,
    /// The adapter and the load time of each generation.
    ready: HashMap<String, (usize, u64)>,
    /// The target of each generation, for as long as it is loading or loaded.
    places: HashMap<String, TargetName>,
    loading: HashSet<usize>,
    ever_loaded: HashSet<usize>,
    out: HashSet<TargetName>,
    loads: u64,
    running: BTreeMap<(u64, usize), ()>,
    outcomes: Vec<Outcome>,
    now: u64,
}

pub(crate) fn run(site: &Site, arrivals: &[Arrival], seed: u64) -> (Vec<Outcome>, u64) {
    let rng = StdRng::seed_from_u64(seed);
    let refused = Outcome {
        started: None,
        hit: false,
        stalled: false,
        cause: StallCause::First,
    };
    let mut fleet = Fleet {
        arrivals,
        coordinator: PoolCoordinator::new(FencingToken::from(1), Timestamp::default(), rng),
        store: WeightStore::new(site.loads_per_second),
        ready: HashMap::new(),
        places: HashMap::new(),
        loading: HashSet::new(),
        ever_loaded: HashSet::new(),
        out: HashSet::new(),
        loads: 0,
        running: BTreeMap::new(),
        outcomes: vec![refused; arrivals.len()],
        now: 0,
    };
    fleet.tell(PoolEvent::Configured(config(site, false)));
    fleet.tell(PoolEvent::NodesKnown(Vec::new()));
    let mut next = 0;
    for now in (0..RUN_MS).step_by(STEP_MS as usize) {
        fleet.now = now;
        if site.zone_out && now == ZONE_OUT_MS.start {
            fleet.switch_zone(site, true);
        }
        if site.zone_out && now == ZONE_OUT_MS.end {
            fleet.switch_zone(site, false);
        }
        fleet.end_loads();
        fleet.end_requests();
        while next < arrivals.len() && arrivals[next].at <= now {
            let request = request(&arrivals[next], next);
            fleet.outcomes[next].cause = fleet.cause(arrivals[next].adapter);
            fleet.tell(PoolEvent::Acquire(request));
            next += 1;
        }
        if now % TICK_MS == 0 {
            fleet.tell(PoolEvent::Tick);
        }
    }
    (fleet.outcomes, fleet.loads)
}

fn config(site: &Site, out: bool) -> PoolConfig {
    let spec = |index: usize| TargetSpec {
        zone: format!("zone-{}", index % site.zones)
            .parse()
            .expect("a name"),
        in_service: !out || !index.is_multiple_of(site.zones),
        adapter_slots: site.adapter_slots as u32,
        request_limit: site.places as u32,
    };
    let name = |index: usize| -> TargetName { format!("target-{index}").parse().expect("a name") };
    PoolConfig {
        targets: (0..site.targets).map(|i| (name(i), spec(i))).collect(),
        loads_in_flight: LOADS_IN_FLIGHT as u32,
        loads_per_second: site.loads_per_second,
    }
}

fn key(index: usize) -> AcquireKey {
    AcquireKey {
        node: "entry-1".parse().expect("a name"),
        boot: BootId::from(1),
        serial: index as u64,
    }
}

fn request(arrival: &Arrival, index: usize) -> AcquireRequest {
    AcquireRequest {
        key: key(index),
        account: format!("account-{}", arrival.account)
            .parse()
            .expect("a name"),
        adapter: format!("adapter-{}@1", arrival.adapter)
            .parse()
            .expect("a version"),
        tokens: TokenCount::new(arrival.tokens),
        prefix: None,
        suspect: false,
        avoid: None,
        deadline: Timestamp::from_millis(arrival.at + WAIT_LIMIT_MS),
    }
}

impl Fleet<'_> {
    fn end_loads(&mut self) {
        for (generation, adapter) in self.store.step() {
            self.ready.insert(generation.clone(), (adapter, self.now));
            self.loading.remove(&adapter);
            self.ever_loaded.insert(adapter);
            if self.now >= WARM_UP_MS {
                self.loads += 1;
            }
            let loaded = true;
            self.tell(PoolEvent::LoadEnded { generation, loaded });
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
            let key = key(index);
            self.tell(PoolEvent::Release { key, outcome });
        }
    }

    fn switch_zone(&mut self, site: &Site, out: bool) {
        let config = config(site, out);
        let targets = config.targets.iter();
        let closed = targets.filter(|(_, spec)| !spec.in_service);
        self.out = closed.map(|(name, _)| name.clone()).collect();
        self.tell(PoolEvent::Configured(config));
    }

    fn cause(&self, adapter: usize) -> StallCause {
        let generations = self.ready.iter();
        let mut here = generations.filter(|(_, (other, _))| *other == adapter);
        if here.clone().next().is_none() {
            return match (
                self.loading.contains(&adapter),
                self.ever_loaded.contains(&adapter),
            ) {
                (true, _) => StallCause::InFlight,
                (false, true) => StallCause::Evicted,
                (false, false) => StallCause::First,
            };
        }
        match here.any(|(name, _)| !self.out.contains(&self.places[name])) {
            true => StallCause::Busy,
            false => StallCause::ZoneOut,
        }
    }

    fn tell(&mut self, event: PoolEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = Timestamp::from_millis(self.now);
            for action in self.coordinator.handle(now, event) {
                events.extend(self.carry_out(action));
            }
        }
    }

    fn carry_out(&mut self, action: PoolAction) -> Option<PoolEvent> {
        match action {
            PoolAction::Answer { key, answer } => {
                self.note_answer(key.serial as usize, answer);
                None
            }
            PoolAction::Load {
                target,
                generation,
                adapter,
            } => {
                let name = adapter.adapter.as_str();
                let number = name.rsplit('-').next().and_then(|text| text.parse().ok());
                let adapter = number.expect("adapters are numbered");
                self.loading.insert(adapter);
                self.places.insert(generation.clone(), target);
                self.store.start((generation, adapter));
                None
            }
            PoolAction::Unload { generation, .. } => {
                self.ready.remove(&generation);
                self.places.remove(&generation);
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

    /// A report that is as old as the run, so that it only tells that the target lives.
    fn report(&self) -> TargetReport {
        TargetReport {
            asked_at: Timestamp::from_millis(1),
            boot: 1,
            cold: false,
            generations: Vec::new(),
        }
    }

    fn note_answer(&mut self, index: usize, answer: PoolAnswer) {
        let arrival = &self.arrivals[index];
        match answer {
            PoolAnswer::Pinned { generation, .. } => {
                let (adapter, loaded) = self.ready[&generation];
                assert_eq!(adapter, arrival.adapter);
                let hit = loaded <= arrival.at;
                self.outcomes[index] = Outcome {
                    started: Some(self.now.max(arrival.at)),
                    hit,
                    stalled: !hit,
                    cause: self.outcomes[index].cause,
                };
                let end = self.now + arrival.hold_ms();
                self.running.insert((end, index), ());
            }
            PoolAnswer::Refused { .. } => {
                let absent = self
                    .ready
                    .values()
                    .all(|(adapter, _)| *adapter != arrival.adapter);
                self.outcomes[index].stalled = absent;
            }
        }
    }
}
