use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{at, ms};
use crate::clock::Timestamp;
use crate::dispatch::choice::TargetChoice;
use crate::dispatch::cold_start::{
    AskNumber, ColdPeriod, ColdPermits, PermitGrant, PermitSchedule, PermitTerms,
};
use crate::dispatch::directory::TargetKey;
use crate::dispatch::ownership::TenureSpan;

/// Requests per second that the target of the replays bears while cold.
const RATE: f64 = 8.0;
/// What the platform allows in any second.
const MAX_PER_SECOND: usize = (1.5 * RATE) as usize + 5;
/// Milliseconds between the steps of a replay.
const STEP: u64 = 5;
/// How long a request waits for a target, in milliseconds.
const PATIENCE: u64 = 1_000;

fn target() -> TargetKey {
    TargetKey::from(7)
}

/// The time in which a VM owns the target, in milliseconds of the replay.
#[derive(Clone, Copy)]
struct ReplayTenure {
    vm: usize,
    from: u64,
    until: u64,
}

/// What happens in a replay of VMs that all have requests for one cold target and no other one.
#[derive(Clone)]
struct Scenario {
    vms: usize,
    /// When demand sets in again that ends at 1 s, in milliseconds.
    idle: u64,
    /// New requests per second over all VMs after that.
    demand: f64,
    /// The fraction of datagrams that are lost.
    loss: f64,
    /// The VMs, counted from the first, that can't reach an owner.
    cut_off: usize,
    /// Milliseconds in which the owners take the target for warm.
    unaware: u64,
    tenures: Vec<ReplayTenure>,
    /// Milliseconds.
    end: u64,
}

impl Scenario {
    fn new(vms: usize) -> Self {
        let end = 12_000;
        let only = ReplayTenure {
            vm: vms / 2,
            from: 0,
            until: end,
        };
        Self {
            vms,
            idle: 0,
            demand: vms as f64 * 2.0,
            loss: 0.0,
            cut_off: 0,
            unaware: 0,
            tenures: vec![only],
            end,
        }
    }
}

enum ReplayMessage {
    Ask {
        from: usize,
        number: u64,
        wanted: u32,
    },
    Answer {
        to: usize,
        number: u64,
        grant: PermitGrant,
    },
}

struct ReplayRequest {
    arrived: u64,
    is_waiting: bool,
}

struct ReplayVm {
    permits: ColdPermits,
    /// The difference of this VM's clock from that of the replay.
    offset: u64,
    schedule: PermitSchedule,
    requests: Vec<ReplayRequest>,
    /// Milliseconds after a change of the owner at which this VM learns of it.
    news_delay: u64,
}

struct Replay {
    scenario: Scenario,
    rng: StdRng,
    vms: Vec<ReplayVm>,
    in_flight: Vec<(u64, usize, ReplayMessage)>,
    arrivals: Vec<u64>,
}

impl Replay {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let vm = |_| ReplayVm {
            permits: ColdPermits::default(),
            offset: rng.random_range(2_000..90_000),
            schedule: PermitSchedule::default(),
            requests: Vec::new(),
            news_delay: rng.random_range(0..600),
        };
        let vms = (0..scenario.vms).map(vm).collect();
        Self {
            scenario,
            rng,
            vms,
            in_flight: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn clock(&self, vm: usize, now: u64) -> Timestamp {
        at(self.vms[vm].offset + now)
    }

    fn send(&mut self, to: usize, message: ReplayMessage, now: u64) {
        if !self.rng.random_bool(self.scenario.loss) {
            let arrives = now + self.rng.random_range(1..40);
            self.in_flight.push((arrives, to, message));
        }
    }

    fn run(&mut self) {
        for now in (0..self.scenario.end).step_by(STEP as usize) {
            let due = self
                .in_flight
                .extract_if(.., |(arrives, ..)| *arrives <= now);
            let due: Vec<_> = due.collect();
            for (_, vm, message) in due {
                self.receive(vm, message, now);
            }
            if now < 1_000 || now >= self.scenario.idle {
                self.add_requests(now);
            }
            for vm in 0..self.scenario.vms {
                self.serve(vm, now);
            }
        }
    }

    fn add_requests(&mut self, now: u64) {
        let (vms, per_vm) = (
            self.scenario.vms,
            self.scenario.demand / self.scenario.vms as f64,
        );
        // Demand that sets in after a pause sets in at all VMs at once.
        let sets_in = now == self.scenario.idle && now > 0;
        for vm in 0..vms {
            if sets_in
                || self
                    .rng
                    .random_bool((per_vm * STEP as f64 / 1000.0).min(1.0))
            {
                self.vms[vm].requests.push(ReplayRequest {
                    arrived: now,
                    is_waiting: false,
                });
            }
        }
    }

    fn serve(&mut self, index: usize, now: u64) {
        let clock = self.clock(index, now);
        let mut requests = std::mem::take(&mut self.vms[index].requests);
        requests.retain_mut(|request| {
            let permits = &mut self.vms[index].permits;
            if std::mem::take(&mut request.is_waiting) {
                permits.remove_waiting(target());
            }
            if let Some(permit) = permits.take(target(), clock) {
                // Most connections are open; some take long, and the permit is checked again.
                let connecting = match self.rng.random_bool(0.1) {
                    true => self.rng.random_range(0..500),
                    false => 0,
                };
                if permit.is_valid(clock + ms(connecting)) {
                    let on_the_way = self.rng.random_range(0..30);
                    self.arrivals.push(now + connecting + on_the_way);
                }
                return false;
            }
            if now - request.arrived > PATIENCE {
                return false;
            }
            let waited = ms(now - request.arrived);
            let choice = permits.revise_choice(TargetChoice::Wait, &[target()], waited, clock);
            if choice == TargetChoice::WaitForPermit(target()) {
                permits.add_waiting(target());
                request.is_waiting = true;
                self.ask(index, now);
            }
            true
        });
        self.vms[index].requests = requests;
    }

    fn ask(&mut self, from: usize, now: u64) {
        let (clock, number) = (self.clock(from, now), self.rng.random());
        let permits = &mut self.vms[from].permits;
        let Some(wanted) = permits.begin_ask(target(), AskNumber::from(number), clock) else {
            return;
        };
        let known_at = now.saturating_sub(self.vms[from].news_delay);
        let tenures = self.scenario.tenures.iter().rev();
        let owner = tenures.clone().find(|tenure| tenure.from <= known_at);
        let owner = owner.unwrap_or(&self.scenario.tenures[0]).vm;
        if from >= self.scenario.cut_off {
            self.send(
                owner,
                ReplayMessage::Ask {
                    from,
                    number,
                    wanted,
                },
                now,
            );
        }
    }

    fn receive(&mut self, vm: usize, message: ReplayMessage, now: u64) {
        let clock = self.clock(vm, now);
        match message {
            ReplayMessage::Ask {
                from,
                number,
                wanted,
            } => {
                let grant = self.grant(vm, wanted, now);
                self.send(
                    from,
                    ReplayMessage::Answer {
                        to: from,
                        number,
                        grant,
                    },
                    now,
                );
            }
            ReplayMessage::Answer { to, number, grant } => {
                let permits = &mut self.vms[to].permits;
                permits.apply_answer(target(), AskNumber::from(number), &grant, clock);
            }
        }
    }

    fn grant(&mut self, vm: usize, wanted: u32, now: u64) -> PermitGrant {
        let (clock, draw) = (self.clock(vm, now), self.rng.random());
        let mut tenures = self.scenario.tenures.iter();
        let holds =
            |tenure: &&ReplayTenure| tenure.vm == vm && tenure.from <= now && now < tenure.until;
        let Some(tenure) = tenures.find(holds).copied() else {
            return PermitGrant::refused();
        };
        let terms = PermitTerms {
            rate: RATE,
            tenure: TenureSpan {
                from: self.clock(vm, tenure.from),
                until: self.clock(vm, tenure.until.min(now + 900)),
            },
            period: (now >= self.scenario.unaware)
                .then(|| ColdPeriod::new(ms(60_000), self.clock(vm, self.scenario.unaware))),
            draw,
        };
        self.vms[vm].schedule.grant(wanted, terms, clock)
    }

    fn most_in_a_second(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let in_second = |start: &u64| {
            let second = *start..*start + 1_000;
            self.arrivals
                .iter()
                .filter(|time| second.contains(time))
                .count()
        };
        self.arrivals.iter().map(in_second).max().unwrap_or(0)
    }

    /// Checks each second, and that at least `part` of what the target bears is used since `from`.
    fn check(mut self, from: u64, part: f64) {
        self.run();
        let most = self.most_in_a_second();
        assert!(most <= MAX_PER_SECOND, "{most} in a second");
        let used = self.arrivals.iter().filter(|time| **time >= from).count();
        let usable = (self.scenario.end - from) as f64 / 1000.0 * RATE;
        assert!(used as f64 >= part * usable, "{used} of {usable}");
    }
}

/// Guards against overloading a zone's targets that return cold and get the load of all VMs at
/// once: with many VMs, even one request from each is too much.
#[yare::parameterized(
    few = {6},
    medium = {60},
    many = {88},
    large = {195}
)]
fn cold_target_gets_no_more_than_its_capacity_from_all_vms(vms: usize) {
    for seed in 0..3 {
        Replay::new(Scenario::new(vms), seed).check(2_000, 0.8);
    }
}

/// Guards against requests that the VMs save up while there is no demand: each VM had one or two.
#[yare::parameterized(
    few = {6},
    medium = {60},
    many = {88},
    large = {195}
)]
fn nothing_is_saved_up_while_there_is_no_demand(vms: usize) {
    for seed in 0..3 {
        let scenario = Scenario {
            idle: 6_000,
            ..Scenario::new(vms)
        };
        Replay::new(scenario, seed).check(6_500, 0.7);
    }
}

/// Guards against permits of two owners, or of two processes of one owner, for the same time.
#[yare::parameterized(
    few = {6},
    medium = {60},
    many = {88},
    large = {195}
)]
fn change_of_the_owner_adds_no_requests(vms: usize) {
    for seed in 0..3 {
        let tenure = |vm, from, until| ReplayTenure { vm, from, until };
        let scenario = Scenario {
            tenures: vec![
                tenure(0, 0, 3_000),
                tenure(1, 3_165, 6_000),
                // The process of an owner starts again and continues its tenure.
                tenure(1, 6_050, 8_000),
                tenure(2, 8_165, 12_000),
            ],
            ..Scenario::new(vms)
        };
        Replay::new(scenario, seed).check(2_000, 0.5);
    }
}

/// Guards against VMs that count few of the others, and so take a larger share, while datagrams are
/// lost.
#[yare::parameterized(
    few = {6},
    medium = {60},
    many = {88},
    large = {195}
)]
fn vms_that_are_cut_off_send_nothing(vms: usize) {
    for seed in 0..3 {
        let scenario = Scenario {
            loss: 0.2,
            cut_off: vms / 3,
            ..Scenario::new(vms)
        };
        Replay::new(scenario, seed).check(2_000, 0.5);
    }
}

/// Guards against permits for the second in which the VMs that took the target for warm sent to it.
#[test]
fn target_that_was_warm_gets_no_permit_for_a_second() {
    let tenure = TenureSpan {
        from: at(0),
        until: at(60_000),
    };
    let terms = |period| PermitTerms {
        rate: RATE,
        tenure,
        period,
        draw: 0.5,
    };
    let unaware = |schedule: &mut PermitSchedule, now| schedule.grant(8, terms(None), at(now));
    let mut schedule = PermitSchedule::default();
    assert!(unaware(&mut schedule, 5_000).delays.is_empty());
    assert!(unaware(&mut schedule, 5_400).delays.is_empty());
    assert!(!unaware(&mut schedule, 6_000).delays.is_empty());
    let period = ColdPeriod::with_recent_load(ms(3_000), at(10_000));
    let mut schedule = PermitSchedule::default();
    let aware = schedule.grant(8, terms(Some(period)), at(10_600));
    assert_eq!(aware.delays.first(), Some(&ms(400)));
    assert!(!aware.delays.iter().any(|delay| *delay >= ms(500)));
}

/// Guards against a permit that outlasts what its owner assumes, because its answer was late.
#[test]
fn late_answer_shortens_a_permit() {
    let mut permits = ColdPermits::default();
    permits.add_waiting(target());
    let number = AskNumber::from(1);
    assert_eq!(permits.begin_ask(target(), number, at(1_000)), Some(1));
    let grant = PermitGrant {
        delays: vec![ms(100)],
        retry_after: ms(200),
    };
    assert!(permits.apply_answer(target(), number, &grant, at(1_250)));
    // A repeated datagram grants nothing.
    assert!(!permits.apply_answer(target(), number, &grant, at(1_250)));
    assert!(!permits.has_valid(target(), at(1_349)));
    let permit = permits.take(target(), at(1_350)).unwrap();
    assert!(permit.is_valid(at(1_499)) && !permit.is_valid(at(1_500)));
    assert_eq!(permits.take(target(), at(1_350)), None);
}

/// Guards against requests that wait for a permit for good, though the owner does not answer, and
/// against loads of an adapter elsewhere while a permit for a target that holds it may come.
#[test]
fn request_waits_for_a_permit_only_while_the_owner_may_answer() {
    let mut permits = ColdPermits::default();
    let load = TargetChoice::Load(TargetKey::from(8));
    let wait = TargetChoice::WaitForPermit(target());
    let choose = |permits: &ColdPermits, choice, now: u64| {
        permits.revise_choice(choice, &[target()], ms(now), at(now))
    };
    assert_eq!(choose(&permits, load, 0), wait);
    permits.add_waiting(target());
    permits.begin_ask(target(), AskNumber::from(1), at(0));
    assert_eq!(choose(&permits, load, 299), wait);
    assert_eq!(choose(&permits, load, 300), load);
    assert_eq!(
        choose(&permits, TargetChoice::Wait, 300),
        TargetChoice::Wait
    );
    // The owner is asked again later, but no load waits for it.
    assert_eq!(choose(&permits, TargetChoice::Wait, 600), wait);
    assert_eq!(choose(&permits, load, 600), load);
    permits.begin_ask(target(), AskNumber::from(2), at(600));
    let refused = PermitGrant::refused();
    assert!(permits.apply_answer(target(), AskNumber::from(2), &refused, at(610)));
    assert_eq!(
        choose(&permits, TargetChoice::Wait, 620),
        TargetChoice::Wait
    );
    let unsuitable = TargetChoice::Unavailable;
    assert_eq!(choose(&permits, unsuitable, 2_000), unsuitable);
}

/// Guards against more asks than one at a time, and against asks for permits that nobody wants.
#[test]
fn one_ask_is_open_at_a_time() {
    let mut permits = ColdPermits::default();
    let ask = |permits: &mut ColdPermits, number: u64, now| {
        permits.begin_ask(target(), AskNumber::from(number), at(now))
    };
    assert_eq!(ask(&mut permits, 1, 0), None);
    for _ in 0..20 {
        permits.add_waiting(target());
    }
    assert_eq!(ask(&mut permits, 1, 0), Some(8));
    assert_eq!(ask(&mut permits, 2, 149), None);
    assert_eq!(ask(&mut permits, 3, 150), Some(8));
    let grant = PermitGrant {
        delays: vec![ms(0); 8],
        retry_after: ms(200),
    };
    assert!(permits.apply_answer(target(), AskNumber::from(3), &grant, at(160)));
    for _ in 0..12 {
        permits.remove_waiting(target());
    }
    assert_eq!(ask(&mut permits, 4, 400), None);
}

/// Guards against requests that wait for a permit that had ended before its answer arrived.
#[test]
fn permit_of_a_very_late_answer_is_not_waited_for() {
    let mut permits = ColdPermits::default();
    permits.add_waiting(target());
    let number = AskNumber::from(1);
    assert_eq!(permits.begin_ask(target(), number, at(0)), Some(1));
    permits.remove_waiting(target());
    let grant = PermitGrant {
        delays: vec![ms(300)],
        retry_after: ms(200),
    };
    assert!(permits.apply_answer(target(), number, &grant, at(400)));
    assert_eq!(permits.time_to_next(target(), at(400)), None);
}
