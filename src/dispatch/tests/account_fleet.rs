//! Many VMs in several zones that limit accounts together, without a network.

use super::account_limit::node;
use super::{at, ms};
use crate::dispatch::account_grants::AskNumber;
use crate::dispatch::account_limit::{
    AccountLimit, AccountLimiter, AccountUsage, ChargeDecision, ChargeRoute, ReportScope,
    ReportSender,
};
use crate::ids::{AccountName, BootId};

/// How many VMs share an account, in how many zones, and how often they report.
#[derive(Clone, Copy)]
pub(super) struct FleetShape {
    pub(super) vms: usize,
    pub(super) zones: usize,
    /// The interval between reports within a zone, in milliseconds.
    pub(super) near_ms: u64,
    /// The interval between reports to other zones, in milliseconds.
    pub(super) far_ms: u64,
}

pub(super) const GROWN: FleetShape = FleetShape {
    vms: 81,
    zones: 3,
    near_ms: 300,
    far_ms: 1_200,
};
pub(super) const LENDWELL: FleetShape = FleetShape {
    vms: 60,
    zones: 3,
    near_ms: 200,
    far_ms: 800,
};
pub(super) const LARGE: FleetShape = FleetShape {
    vms: 195,
    zones: 5,
    near_ms: 390,
    far_ms: 3_100,
};

/// One VM's process. Without a limiter it is down.
struct FleetVm {
    limiter: Option<AccountLimiter>,
    boot: u64,
    started_at: u64,
    /// While the clock is stalled, the time that it shows.
    stalled_at: Option<u64>,
    /// Whether it neither sends reports to the others nor receives any.
    is_isolated: bool,
}

/// Many VMs in several zones, which report often within a zone and rarely to other zones. Requests
/// arrive at random VMs, or all at one VM, and vary in cost by a factor of ten.
pub(super) struct WideFleet {
    shape: FleetShape,
    accounts: Vec<AccountName>,
    vms: Vec<FleetVm>,
    random: u64,
    /// The VM that gets all requests, if they are not spread.
    pub(super) only_vm: Option<usize>,
    loses_far_reports: bool,
    /// Whether accounts have owners that grant their units.
    has_owners: bool,
    /// The time from the start of an owner's process to its tenure, in milliseconds.
    takeover_ms: u64,
    pub(super) requested: f64,
    pub(super) admitted: f64,
    /// The rate and the burst of each account.
    rate: f64,
    /// Units admitted in each step, by account.
    steps: Vec<Vec<f64>>,
}

const STEP_MS: u64 = 4;
const MEAN_COST: f64 = 1_650.0;
/// The required upper limit over 8 s.
pub(super) const WIDE_BOUND: f64 = bound_at_rate(WideFleet::RATE);

/// The required upper limit over 8 s of an account with this rate and burst.
pub(super) const fn bound_at_rate(rate: f64) -> f64 {
    (rate * 8.0 + rate) * 1.1 + 17_000.0
}

impl WideFleet {
    pub(super) const RATE: f64 = 277_000.0;

    pub(super) fn new(shape: FleetShape, seed: u64) -> Self {
        Self::with_accounts(shape, seed, 1, false)
    }

    /// Lets one VM own each account.
    pub(super) fn with_owners(mut self) -> Self {
        self.has_owners = true;
        for vm in 0..self.vms.len() {
            let limiter = self.vms[vm].limiter.take();
            self.vms[vm].limiter = limiter.map(|limiter| limiter.with_shares(true));
        }
        self
    }

    /// Lets owners act as soon as their processes have started, as after a restart in which no partition
    /// has moved.
    pub(super) fn without_takeover(mut self) -> Self {
        self.takeover_ms = 0;
        self
    }

    /// A fleet that limits `accounts` accounts. `is_first_start` says whether the whole system
    /// starts for the first time.
    pub(super) fn with_accounts(
        shape: FleetShape,
        seed: u64,
        accounts: usize,
        is_first_start: bool,
    ) -> Self {
        let name = |index| format!("big-{index}").parse().unwrap();
        let down = |_| FleetVm {
            limiter: None,
            boot: 0,
            started_at: 0,
            stalled_at: None,
            is_isolated: false,
        };
        let mut fleet = Self {
            shape,
            accounts: (0..accounts).map(name).collect(),
            vms: (0..shape.vms).map(down).collect(),
            random: seed,
            only_vm: None,
            loses_far_reports: false,
            has_owners: false,
            takeover_ms: 1_650,
            requested: 0.0,
            admitted: 0.0,
            rate: Self::RATE,
            steps: vec![Vec::new(); accounts],
        };
        for vm in 0..shape.vms {
            fleet.start(vm, 0, is_first_start);
        }
        fleet
    }

    /// Changes the rate and the burst of all accounts, on all VMs at once. The load stays a multiple of
    /// [`Self::RATE`].
    pub(super) fn set_rate(&mut self, rate: f64, now: u64) {
        self.rate = rate;
        let limit = AccountLimit { rate, burst: rate };
        let accounts = self.accounts.clone();
        for vm in &mut self.vms {
            if let Some(limiter) = &mut vm.limiter {
                let limits = accounts.iter().map(|account| (account.clone(), limit));
                limiter.set_limits(limits, at(vm.stalled_at.unwrap_or(now)));
            }
        }
    }

    /// Starts a VM's process, which knows the other VMs' names only.
    fn start(&mut self, index: usize, now: u64, is_first_start: bool) {
        let limit = AccountLimit {
            rate: self.rate,
            burst: self.rate,
        };
        let limits = self.accounts.iter().map(|account| (account.clone(), limit));
        let mut limiter = AccountLimiter::new(is_first_start).with_shares(self.has_owners);
        limiter.set_limits(limits, at(now));
        for peer in (0..self.vms.len()).filter(|peer| *peer != index) {
            limiter.expect_peer(&node(peer), at(now));
        }
        let vm = &mut self.vms[index];
        vm.limiter = Some(limiter);
        vm.boot += 1;
        vm.started_at = now;
    }

    /// Replaces all VMs by new processes.
    pub(super) fn restart(&mut self, now: u64) {
        self.restart_some(0..self.shape.vms, now);
    }

    /// Replaces the processes of some VMs.
    pub(super) fn restart_some(&mut self, vms: impl IntoIterator<Item = usize>, now: u64) {
        for vm in vms {
            self.start(vm, now, false);
        }
    }

    /// Ends the processes of some VMs.
    pub(super) fn kill(&mut self, vms: impl IntoIterator<Item = usize>) {
        for vm in vms {
            self.vms[vm].limiter = None;
        }
    }

    /// Loses all reports to other zones from now on, or none. Other messages still arrive.
    pub(super) fn lose_far_reports(&mut self, are_lost: bool) {
        self.loses_far_reports = are_lost;
    }

    /// Cuts some VMs off from all others, or ends the cut.
    pub(super) fn isolate(&mut self, vms: impl IntoIterator<Item = usize>, is_isolated: bool) {
        for vm in vms {
            self.vms[vm].is_isolated = is_isolated;
        }
    }

    /// Stops or continues the clocks of some VMs.
    pub(super) fn stall_clocks(
        &mut self,
        vms: impl IntoIterator<Item = usize>,
        stalled_at: Option<u64>,
    ) {
        for vm in vms {
            self.vms[vm].stalled_at = stalled_at;
        }
    }

    /// A pseudo-random number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = self.random.wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Runs from `from` to `to`, in milliseconds, at `load` times the rate of each account.
    pub(super) fn run(&mut self, from: u64, to: u64, load: f64) {
        for now in (from..to).step_by(STEP_MS as usize) {
            for account in 0..self.accounts.len() {
                let admitted = self.send_requests(account, now, load);
                self.admitted += admitted;
                let steps = &mut self.steps[account];
                steps.resize((now / STEP_MS) as usize, 0.0);
                steps.push(admitted);
            }
            self.report(now);
        }
    }

    /// Sends the requests of one step. Returns the units that were admitted.
    fn send_requests(&mut self, account: usize, now: u64, load: f64) -> f64 {
        let mut expected = load * Self::RATE * STEP_MS as f64 / 1000.0 / MEAN_COST;
        let mut admitted = 0.0;
        while self.random() < expected {
            expected -= 1.0;
            let cost = 300.0 + 2_700.0 * self.random();
            let vm = (self.random() * self.shape.vms as f64) as usize;
            let vm = self.only_vm.unwrap_or(vm);
            if self.vms[vm].limiter.is_none() {
                continue;
            }
            self.requested += cost;
            if self.charge(vm, account, cost, now) {
                admitted += cost;
            }
        }
        admitted
    }

    /// Charges a request at a VM. Asks of the owner are answered at once.
    fn charge(&mut self, index: usize, account: usize, cost: f64, now: u64) -> bool {
        let route = self.charge_route(index, account, now);
        let name = self.accounts[account].clone();
        let local = at(self.vms[index].stalled_at.unwrap_or(now));
        let Some(mut limiter) = self.vms[index].limiter.take() else {
            return false;
        };
        let mut decision = limiter.charge(&name, cost, route, local);
        if decision == ChargeDecision::AwaitGrant {
            let arrival = limiter.add_waiting(&name, cost).unwrap();
            let number = AskNumber::from(self.random.rotate_left(7));
            let ask = limiter.begin_ask(&name, number, local);
            let owner = self.owner(account);
            let draw = self.random();
            let vm = &mut self.vms[owner];
            let tenure_from = at(vm.started_at + self.takeover_ms);
            let owner = vm.limiter.as_mut().unwrap();
            owner.record_contact(&node(index), at(now));
            let grant = ask.and_then(|ask| owner.grant(&name, ask, tenure_from, draw, at(now)));
            if let Some(grant) = grant {
                assert!(limiter.apply_grant(&name, number, grant, local));
                decision = limiter.charge(&name, cost, route, local);
            }
            if decision == ChargeDecision::AwaitGrant {
                decision = limiter.charge(&name, cost, ChargeRoute::Unresponsive, local);
            }
            limiter.remove_waiting(&name, arrival);
        }
        self.vms[index].limiter = Some(limiter);
        matches!(decision, ChargeDecision::Charged(_))
    }

    fn owner(&self, account: usize) -> usize {
        (account * 11 + 5) % self.shape.vms
    }

    fn charge_route(&self, index: usize, account: usize, now: u64) -> ChargeRoute {
        let owner = self.owner(account);
        let vm = &self.vms[owner];
        let tenure_from = at(vm.started_at + self.takeover_ms);
        let is_owned = vm.limiter.is_some() && at(now) >= tenure_from;
        if !self.has_owners || !is_owned {
            return ChargeRoute::Copy;
        }
        if index == owner {
            return ChargeRoute::Owner { tenure_from };
        }
        let is_cut = vm.is_isolated || self.vms[index].is_isolated;
        match is_cut || vm.stalled_at.is_some() {
            true => ChargeRoute::Unresponsive,
            false => ChargeRoute::Grants,
        }
    }

    /// Starts to count anew.
    pub(super) fn reset_counts(&mut self) {
        (self.requested, self.admitted) = (0.0, 0.0);
    }

    /// Units that were rejected since the counts began.
    pub(super) fn rejected(&self) -> f64 {
        self.requested - self.admitted
    }

    /// The most units that any account was granted in any 8 s, and the start of these 8 s.
    pub(super) fn most_in_window(&self) -> (f64, u64) {
        self.most_in_window_since(0)
    }

    /// The most units that any account was granted in any 8 s from `from` on.
    pub(super) fn most_in_window_since(&self, from: u64) -> (f64, u64) {
        let skipped = (from / STEP_MS) as usize;
        let window = 8_000 / STEP_MS as usize;
        let most = self.steps.iter().flat_map(|steps| {
            (skipped..steps.len()).map(move |start| {
                let end = steps.len().min(start + window);
                let sum: f64 = steps[start..end].iter().sum();
                (sum, start as u64 * STEP_MS)
            })
        });
        most.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default()
    }

    /// Units that were admitted from `from` to `to`, over all accounts.
    pub(super) fn admitted_in(&self, from: u64, to: u64) -> f64 {
        let step = |time: u64| (time / STEP_MS) as usize;
        let steps = self.steps.iter();
        let sum =
            |steps: &Vec<f64>| -> f64 { steps[step(from)..step(to).min(steps.len())].iter().sum() };
        steps.map(sum).sum::<f64>()
    }

    /// The time after a start at which VMs send their first reports.
    const FIRST_REPORT_MS: u64 = 600;

    /// Each VM reports to its own zone and to the others at its own time offset.
    fn report(&mut self, now: u64) {
        let FleetShape {
            near_ms, far_ms, ..
        } = self.shape;
        for from in 0..self.vms.len() {
            let vm = &mut self.vms[from];
            let Some(limiter) = &mut vm.limiter else {
                continue;
            };
            if now < vm.started_at + Self::FIRST_REPORT_MS || vm.stalled_at.is_some() {
                continue;
            }
            let offset = now + 13 * from as u64;
            // Only accounts that were used since the last reports are mentioned.
            if offset % near_ms < STEP_MS {
                let usages = limiter.usage_report(ReportScope::OwnZone, false);
                self.deliver(from, true, &usages, now);
            }
            let vm = &mut self.vms[from];
            if let (Some(limiter), true) = (&mut vm.limiter, offset % far_ms < STEP_MS) {
                let usages = limiter.usage_report(ReportScope::OtherZones, false);
                self.deliver(from, false, &usages, now);
            }
        }
    }

    /// Lets a VM be heard by all VMs of other zones, without a report.
    fn deliver_contact(&mut self, from: usize, now: u64) {
        for (to, vm) in self.vms.iter_mut().enumerate() {
            if let Some(limiter) = &mut vm.limiter
                && to % self.shape.zones != from % self.shape.zones
            {
                limiter.record_contact(&node(from), at(now));
            }
        }
    }

    fn deliver(
        &mut self,
        from: usize,
        to_own_zone: bool,
        usages: &[(AccountName, AccountUsage)],
        now: u64,
    ) {
        let FleetShape {
            zones,
            near_ms,
            far_ms,
            ..
        } = self.shape;
        if self.vms[from].is_isolated {
            return;
        }
        if self.loses_far_reports && !to_own_zone {
            self.deliver_contact(from, now);
            return;
        }
        let name = node(from);
        let sender = ReportSender {
            node: &name,
            boot: BootId::from(self.vms[from].boot),
            in_own_zone: to_own_zone,
            interval: ms(if to_own_zone { near_ms } else { far_ms }),
        };
        for (to, vm) in self.vms.iter_mut().enumerate() {
            let Some(limiter) = &mut vm.limiter else {
                continue;
            };
            if to == from || vm.is_isolated || (from % zones == to % zones) != to_own_zone {
                continue;
            }
            let now = at(vm.stalled_at.unwrap_or(now));
            for (account, usage) in usages {
                limiter.apply_peer_usage(&sender, account, *usage, now);
            }
            limiter.mark_peer_reported(&sender, now);
        }
    }
}
