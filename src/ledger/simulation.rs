//! A simulation of the nodes and owners of one partition with a faulty network, for the ledger's
//! tests. All times are in milliseconds; those of the simulation itself are without clock drift.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::node_limiter::{ChargeOutcome, ChargeStep, NodeLimiter};
use super::owner::PartitionOwner;
use super::wire::LedgerKind;
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::config::model::RateEntry;
use crate::ids::{AccountName, BootId, FencingToken, TokenCount, TokenRate};

pub(crate) const NODES: usize = 5;
/// The first `HOSTS` nodes may own the partition. Their clocks have no drift.
pub(crate) const HOSTS: usize = 2;
const ADMISSION_LIMIT: Duration = Duration::from_secs(10);

pub(crate) fn rate(tokens_per_second: u64, burst: u64) -> RateEntry {
    RateEntry {
        tokens_per_second: TokenRate::per_second(tokens_per_second),
        burst: TokenCount::new(burst),
    }
}

/// A request of the simulated account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SimulatedRequest {
    pub(crate) at: u64,
    pub(crate) node: usize,
    pub(crate) need: u64,
    pub(crate) used: u64,
    pub(crate) runs_for: u64,
}

/// A fault, or a change of the account's configured rate.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TestFault {
    /// The node's process ends and a new one starts.
    Restart(usize),
    /// The node does nothing for a time in milliseconds.
    Pause(usize, u64),
    /// The owner's process ends. The other host claims the partition after the lease's TTL.
    OwnerCrash,
    /// The owner does nothing for `pause` ms and can't renew its lease, so that it decides only for
    /// the next `left` ms. The other host claims the partition `gap` ms after that.
    OwnerStall {
        pause: u64,
        left: u64,
        gap: u64,
    },
    /// The owner hands the partition over to the other host.
    Handover,
    Rate(RateEntry),
}

/// The probabilities of network faults for each message, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NetworkFaults {
    pub(crate) lost: u32,
    pub(crate) duplicated: u32,
    /// Delayed by up to 3 s, so that messages are also reordered.
    pub(crate) late: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AdmittedRequest {
    pub(crate) at: u64,
    pub(crate) charged: u64,
    /// The tokens that count against the rate: the used ones, but at most the charged ones.
    pub(crate) counted: u64,
    pub(crate) overused: u64,
}

#[derive(Debug)]
struct SimulatedNode {
    limiter: NodeLimiter,
    offset: u64,
    drift_permille: i64,
    paused_until: u64,
    tickets: FastMap<u64, SimulatedRequest>,
    /// Running requests: end time, charge, used tokens, index in `admitted`.
    running: Vec<(u64, u64, u64, usize)>,
}

impl SimulatedNode {
    fn clock(&self, now: u64) -> Timestamp {
        let drift = now.cast_signed() * self.drift_permille / 1000;
        Timestamp::from_millis((self.offset + now).saturating_add_signed(drift))
    }
}

/// Due time, number, recipient, whether the recipient acts as the owner, index of the message.
type Delivery = (u64, u64, usize, bool, usize);

#[derive(Debug)]
pub(crate) struct LedgerSimulation {
    pub(crate) now: u64,
    random: StdRng,
    nodes: Vec<SimulatedNode>,
    owners: [Option<PartitionOwner>; HOSTS],
    /// The history of the lease: the time of each change, and the host and fencing token since
    /// then.
    lease: Vec<(u64, Option<(usize, u64)>)>,
    claim_at: Option<(u64, usize)>,
    /// The time until which the owner decides, if it can't renew its lease.
    decides_until: Option<u64>,
    /// The delay with which each node sees a change of the lease.
    pub(crate) lease_lags: [u64; NODES],
    handover: Option<Vec<u8>>,
    pub(crate) rates: Vec<(u64, RateEntry)>,
    network: NetworkFaults,
    /// A node to which messages are slow, and their delay in milliseconds.
    pub(crate) slow_node: Option<(usize, u64)>,
    deliveries: BinaryHeap<Reverse<Delivery>>,
    messages: Vec<(usize, LedgerKind)>,
    pub(crate) grant_requests: usize,
    pub(crate) admitted: Vec<AdmittedRequest>,
    /// Refused requests with the time of the refusal.
    pub(crate) refused: Vec<(u64, SimulatedRequest, ChargeOutcome)>,
}

impl LedgerSimulation {
    pub(crate) fn new(seed: u64, first: RateEntry, network: NetworkFaults) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let nodes = (0..NODES).map(|index| SimulatedNode {
            limiter: NodeLimiter::new(BootId::from(random.random::<u64>()), ADMISSION_LIMIT),
            offset: random.random_range(0..1_000_000),
            drift_permille: if index < HOSTS {
                0
            } else {
                random.random_range(-30..=30)
            },
            paused_until: 0,
            tickets: FastMap::default(),
            running: Vec::new(),
        });
        Self {
            nodes: nodes.collect(),
            now: 0,
            owners: [None, None],
            lease: vec![(0, Some((0, 0)))],
            claim_at: None,
            decides_until: None,
            lease_lags: std::array::from_fn(|index| 20 * index as u64),
            handover: None,
            rates: vec![(0, first)],
            network,
            slow_node: None,
            deliveries: BinaryHeap::new(),
            messages: Vec::new(),
            grant_requests: 0,
            admitted: Vec::new(),
            refused: Vec::new(),
            random,
        }
    }

    pub(crate) fn run(
        &mut self,
        requests: &[SimulatedRequest],
        faults: &[(u64, TestFault)],
        end: u64,
    ) {
        let mut requests = requests.iter().peekable();
        let mut faults = faults.iter().peekable();
        while self.now < end {
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= self.now) {
                self.inject_fault(*fault);
            }
            self.apply_due_claim();
            while let Some(request) = requests.next_if(|request| request.at <= self.now) {
                self.submit(*request);
            }
            self.deliver();
            for index in 0..NODES {
                self.step_node(index);
            }
            self.now += 1;
        }
    }

    fn current_rate(&self) -> RateEntry {
        self.rates
            .last()
            .expect("the list of rates is never empty")
            .1
    }

    fn current_lease(&self) -> Option<(usize, u64)> {
        self.lease
            .last()
            .expect("the lease history is never empty")
            .1
    }

    /// The lease as the node sees it, which lags behind its changes.
    fn visible_lease(&self, node: usize) -> Option<(usize, u64)> {
        let lag = self.lease_lags[node];
        let seen = self.lease.iter().rev();
        let mut seen = seen.filter(|(at, _)| at + lag <= self.now);
        seen.next().and_then(|(_, owner)| *owner)
    }

    fn inject_fault(&mut self, fault: TestFault) {
        match fault {
            TestFault::Restart(index) => self.restart(index),
            TestFault::Pause(index, length) => self.nodes[index].paused_until = self.now + length,
            TestFault::Rate(rate) => self.rates.push((self.now, rate)),
            TestFault::OwnerCrash => {
                if let Some((host, _)) = self.current_lease() {
                    self.restart(host);
                    self.lease.push((self.now, None));
                    let ttl = self.random.random_range(3_000..4_200);
                    self.claim_at = Some((self.now + ttl, 1 - host));
                }
            }
            TestFault::OwnerStall { pause, left, gap } => {
                if let Some((host, _)) = self.current_lease()
                    && self.decides_until.is_none()
                {
                    self.nodes[host].paused_until = self.now + pause;
                    self.decides_until = Some(self.now + left);
                    self.claim_at = Some((self.now + left + gap, 1 - host));
                }
            }
            TestFault::Handover => {
                if self.decides_until.is_none()
                    && let Some((host, _)) = self.current_lease()
                    && let Some(owner) = self.owners[host].take()
                {
                    self.handover = Some(owner.export(self.nodes[host].clock(self.now)));
                    self.lease.push((self.now, None));
                    let delay = self.random.random_range(1..50);
                    self.claim_at = Some((self.now + delay, 1 - host));
                }
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let boot = BootId::from(self.random.random::<u64>());
        let node = &mut self.nodes[index];
        node.limiter = NodeLimiter::new(boot, ADMISSION_LIMIT);
        node.tickets.clear();
        node.running.clear();
        if index < HOSTS {
            self.owners[index] = None;
        }
    }

    fn apply_due_claim(&mut self) {
        if let Some((_, host)) = self.claim_at.take_if(|(at, _)| *at <= self.now) {
            let fence = self.lease.len() as u64;
            self.decides_until = None;
            self.owners[1 - host] = None;
            self.lease.push((self.now, Some((host, fence))));
            let now = self.nodes[host].clock(self.now);
            let token = FencingToken::from(fence);
            let imported = self
                .handover
                .take()
                .and_then(|bytes| PartitionOwner::import(&bytes, token, now));
            self.owners[host] =
                Some(imported.unwrap_or_else(|| PartitionOwner::after_claim(token, now)));
        }
    }

    fn submit(&mut self, request: SimulatedRequest) {
        let account: AccountName = "acme".parse().expect("a valid name");
        let rate = self.current_rate();
        let node = &mut self.nodes[request.node];
        if node.paused_until > self.now {
            return;
        }
        let now = node.clock(self.now);
        match node.limiter.charge(now, &account, 0, rate, request.need) {
            ChargeStep::Waiting(ticket) => {
                node.tickets.insert(ticket, request);
            }
            ChargeStep::Done(outcome) => self.finish(request, outcome),
        }
    }

    fn finish(&mut self, request: SimulatedRequest, outcome: ChargeOutcome) {
        let ChargeOutcome::Admitted { charge } = outcome else {
            self.refused.push((self.now, request, outcome));
            return;
        };
        let end = self.now + request.runs_for;
        let index = self.admitted.len();
        let running = (end, charge, request.used, index);
        self.nodes[request.node].running.push(running);
        self.admitted.push(AdmittedRequest {
            at: self.now,
            charged: request.need,
            counted: request.need,
            overused: 0,
        });
    }

    fn deliver(&mut self) {
        while let Some(Reverse((due, number, recipient, to_owner, message))) =
            self.deliveries.peek().copied()
        {
            if due > self.now {
                break;
            }
            self.deliveries.pop();
            let paused_until = self.nodes[recipient].paused_until;
            if paused_until > self.now {
                let delivery = (paused_until, number, recipient, to_owner, message);
                self.deliveries.push(Reverse(delivery));
                continue;
            }
            let (sender, kind) = self.messages[message].clone();
            let now = self.nodes[recipient].clock(self.now);
            if to_owner {
                if let Some(response) = self.handle_as_owner(recipient, now, &kind) {
                    self.send(recipient, sender, false, response);
                }
            } else {
                self.nodes[recipient].limiter.receive(now, &kind);
            }
        }
    }

    /// Handles a message at a host, which checks its lease before each decision.
    fn handle_as_owner(
        &mut self,
        host: usize,
        now: Timestamp,
        kind: &LedgerKind,
    ) -> Option<LedgerKind> {
        let rate = self.current_rate();
        let (_, fence) = self.current_lease().filter(|(owner, _)| *owner == host)?;
        if self.decides_until.is_some_and(|until| self.now >= until) {
            return None;
        }
        let owner = self.owners[host]
            .get_or_insert_with(|| PartitionOwner::after_claim(FencingToken::from(fence), now));
        match kind {
            LedgerKind::GrantRequest(request) => owner
                .grant(now, rate, request)
                .map(LedgerKind::GrantResponse),
            LedgerKind::Report(report) => owner
                .apply_report(now, |_| Some(rate), report)
                .map(LedgerKind::ReportResponse),
            _ => None,
        }
    }

    fn step_node(&mut self, index: usize) {
        if self.nodes[index].paused_until > self.now {
            return;
        }
        let seen = self.visible_lease(index);
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        let ended = node.running.extract_if(.., |running| running.0 <= self.now);
        for (_, charge, used, admitted) in ended.collect::<Vec<_>>() {
            node.limiter.settle(now, charge, used);
            let entry = &mut self.admitted[admitted];
            entry.counted = used.min(entry.charged);
            entry.overused = used.saturating_sub(entry.charged);
        }
        if node.limiter.is_idle() {
            return;
        }
        let fence = |_| seen.map(|(_, fence)| FencingToken::from(fence));
        let messages = node.limiter.poll(now, fence);
        for (ticket, outcome) in node.limiter.take_outcomes() {
            if let Some(request) = self.nodes[index].tickets.remove(&ticket) {
                self.finish(request, outcome);
            }
        }
        for (_, kind) in messages {
            self.grant_requests += usize::from(matches!(kind, LedgerKind::GrantRequest(_)));
            if let Some((host, _)) = seen {
                self.send(index, host, true, kind);
            }
        }
    }

    fn send(&mut self, sender: usize, recipient: usize, to_owner: bool, kind: LedgerKind) {
        let message = self.messages.len();
        self.messages.push((sender, kind));
        let copies = if self.chance(self.network.duplicated) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.chance(self.network.lost) {
                continue;
            }
            let delay = if self.chance(self.network.late) {
                self.random.random_range(1..3_000)
            } else {
                let slow = self.slow_node.filter(|(node, _)| *node == recipient);
                slow.map_or(1, |(_, delay)| delay)
            };
            let number = (self.deliveries.len() + message) as u64;
            let delivery = (self.now + delay, number, recipient, to_owner, message);
            self.deliveries.push(Reverse(delivery));
        }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.random.random_range(0..1000) < thousandths
    }
}
