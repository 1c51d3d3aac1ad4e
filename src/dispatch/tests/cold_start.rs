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
    /// Requests per second that the target bears while cold.
    rate: f64,
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
            rate: 8.0,
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
            rate: self.scenario.rate,
            tenure: TenureSpan {
                from: self.clock(vm, tenure.from),
                until: self.clock(vm, tenure.until.min(now + 900)),
            },
            period: (now >= self.scenario.unaware)
                .then(|| self.period(self.clock(vm, self.scenario.unaware))),
            draw,
        };
        self.vms[vm].schedule.grant(wanted, terms, clock)
    }

    /// The period of an owner that learns of it at `known_at`.
    fn period(&self, known_at: Timestamp) -> ColdPeriod {
        match self.scenario.unaware {
            0 => ColdPeriod::new(ms(60_000), known_at),
            _ => ColdPeriod::with_recent_load(ms(60_000), known_at),
        }
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
        // What the platform allows in any second.
        let allowed = (1.5 * self.scenario.rate) as usize + 5;
        assert!(most <= allowed, "{most} in a second, {allowed} allowed");
        let used = self.arrivals.iter().filter(|time| **time >= from).count();
        let usable = (self.scenario.end - from) as f64 / 1000.0 * self.scenario.rate;
        assert!(used as f64 >= part * usable, "{used} of {usable}");
    }
}

/// Guards against overloading a zone's targets that return cold and get the load of all VMs at
/// once: with many VMs, even one request from each is too much.
#[yare::parameterized(
    few = {6, 8.0},
    medium = {60, 8.0},
    many = {88, 8.0},
    large = {195, 8.0},
    few_at_a_high_rate = {6, 20.0},
    many_at_a_high_rate = {88, 20.0},
    large_at_a_high_rate = {195, 20.0}
)]
fn cold_target_gets_no_more_than_its_capacity_from_all_vms(vms: usize, rate: f64) {
    for seed in 0..3 {
        let scenario = Scenario {
            rate,
            demand: vms as f64 * 2.0 * rate / 8.0,
            ..Scenario::new(vms)
        };
        Replay::new(scenario, seed).check(2_000, 0.8);
    }
}

/// Guards against too many permits of an owner that takes the target for warm at first, and learns later
/// than the others that it is cold.
#[yare::parameterized(
    few = {6, 8.0},
    medium = {60, 8.0},
    large = {195, 8.0},
    large_at_a_high_rate = {195, 20.0}
)]
fn owner_that_learns_late_grants_no_more(vms: usize, rate: f64) {
    for seed in 0..3 {
        let scenario = Scenario {
            rate,
            unaware: 3_000,
            demand: vms as f64 * 2.0 * rate / 8.0,
            ..Scenario::new(vms)
        };
        Replay::new(scenario, seed).check(5_000, 0.8);
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
