//! The product's policy: grants from the owner of an account.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellmux::shares::{
    AccountName, BootId, ChargeOutcome, ChargeStep, FencingToken, LedgerKind, NodeShares,
    PartitionOwner, RateEntry, Timestamp, TokenCount, TokenRate,
};

use crate::arrivals::{BenchRequest, PATTERNS, VmCrash, arrival_node, first_owner};
use crate::{BURST, END_MILLIS, MESSAGE_MILLIS, NODES, OWNER_WAIT_MILLIS, PolicyResult, RATE};

/// The grants policy: each account is a partition of its own.
#[derive(Debug)]
pub(crate) struct GrantRun {
    now: u64,
    rate: RateEntry,
    names: Vec<AccountName>,
    crashes: Vec<VmCrash>,
    nodes: Vec<NodeShares>,
    /// The owner of each partition and its fencing token; none from a crash to the next claim.
    owners: Vec<Option<PartitionOwner>>,
    fences: Vec<Option<FencingToken>>,
    tickets: HashMap<(usize, u64), BenchRequest>,
    /// Running requests: end, node, charge, used tokens.
    running: Vec<(u64, usize, u64, u64)>,
    /// Messages under way: due time, node, partition, whether to the owner.
    under_way: VecDeque<(u64, usize, u32, bool, LedgerKind)>,
    result: PolicyResult,
}

impl GrantRun {
    pub(crate) fn new(crashes: Vec<VmCrash>) -> Self {
        let limit = Duration::from_millis(OWNER_WAIT_MILLIS);
        let fence = FencingToken::default();
        let start = Timestamp::default();
        let names = (0..PATTERNS.len()).map(|index| format!("account-{index}"));
        Self {
            now: 0,
            rate: RateEntry {
                tokens_per_second: TokenRate::per_second(RATE),
                burst: TokenCount::new(BURST),
            },
            names: names.map(|name| name.parse().expect("valid")).collect(),
            nodes: (0..NODES as u64)
                .map(|boot| NodeShares::new(BootId::from(boot), limit))
                .collect(),
            owners: vec![Some(PartitionOwner::after_claim(fence, start)); PATTERNS.len()],
            fences: vec![Some(fence); PATTERNS.len()],
            crashes,
            tickets: HashMap::new(),
            running: Vec::new(),
            under_way: VecDeque::new(),
            result: PolicyResult::new(),
        }
    }

    fn clock(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    pub(crate) fn run(mut self, requests: &[BenchRequest]) -> PolicyResult {
        let mut requests = requests.iter().peekable();
        while self.now < END_MILLIS {
            self.follow_crashes();
            self.deliver();
            let now = self.clock();
            let due = self.running.extract_if(.., |one| one.0 <= self.now);
            for (_, node, charge, used) in due.collect::<Vec<_>>() {
                self.nodes[node].settle(now, charge, used);
            }
            while let Some(request) = requests.next_if(|one| one.at <= self.now) {
                let name = &self.names[request.account];
                let (now, partition) = (self.clock(), request.account as u32);
                let node = arrival_node(&self.crashes, request);
                let request = BenchRequest { node, ..*request };
                let node = &mut self.nodes[request.node];
                match node.charge(now, name, partition, self.rate, request.need) {
                    ChargeStep::Done(outcome) => self.finish(request, outcome),
                    ChargeStep::Waiting(ticket) => {
                        self.tickets.insert((request.node, ticket), request);
                    }
                }
            }
            for index in 0..NODES {
                self.step_node(index);
            }
            self.now += 1;
        }
        self.result
    }

    fn follow_crashes(&mut self) {
        for index in 0..self.crashes.len() {
            let crash = self.crashes[index];
            let owned = (0..PATTERNS.len()).filter(|account| first_owner(*account) == crash.node);
            if crash.at == self.now {
                // The callers of the VM lose their connections.
                let boot = BootId::from((NODES + index) as u64);
                let limit = Duration::from_millis(OWNER_WAIT_MILLIS);
                self.nodes[crash.node] = NodeShares::new(boot, limit);
                self.tickets.retain(|(node, _), _| *node != crash.node);
                self.running.retain(|one| one.1 != crash.node);
                self.under_way.retain(|message| message.1 != crash.node);
                for account in owned {
                    self.owners[account] = None;
                    self.fences[account] = None;
                }
            } else if crash.claimed_at == self.now {
                let fence = FencingToken::from(index as u64 + 1);
                for account in owned {
                    let owner = PartitionOwner::after_claim(fence, self.clock());
                    self.owners[account] = Some(owner);
                    self.fences[account] = Some(fence);
                }
            }
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.clock();
        let fences = &self.fences;
        let messages = self.nodes[index].poll(now, |partition| fences[partition as usize]);
        for (ticket, outcome) in self.nodes[index].take_outcomes() {
            if let Some(request) = self.tickets.remove(&(index, ticket)) {
                self.finish(request, outcome);
            }
        }
        self.result.messages += messages.len();
        let due = self.now + MESSAGE_MILLIS;
        for (partition, kind) in messages {
            self.under_way
                .push_back((due, index, partition, true, kind));
        }
    }

    fn deliver(&mut self) {
        let now = self.clock();
        while let Some((_, node, partition, to_owner, kind)) =
            self.under_way.pop_front_if(|message| message.0 <= self.now)
        {
            if !to_owner {
                self.nodes[node].receive(now, &kind);
                continue;
            }
            let Some(owner) = &mut self.owners[partition as usize] else {
                continue;
            };
            let answer = match &kind {
                LedgerKind::Ask(ask) => owner.grant(now, self.rate, ask).map(LedgerKind::Answer),
                LedgerKind::Report(report) => owner
                    .report(now, |_| Some(self.rate), report)
                    .map(LedgerKind::Reported),
                _ => None,
            };
            if let Some(answer) = answer {
                let due = self.now + MESSAGE_MILLIS;
                self.under_way
                    .push_back((due, node, partition, false, answer));
            }
        }
    }

    fn finish(&mut self, request: BenchRequest, outcome: ChargeOutcome) {
        let ChargeOutcome::Admitted { charge } = outcome else {
            self.result.refused[request.account] += 1;
            return;
        };
        self.result.note_wait(&request, self.now);
        self.result.admitted[request.account].push((self.now, request.used));
        let end = self.now + request.runs_for;
        self.running.push((end, request.node, charge, request.used));
    }
}
