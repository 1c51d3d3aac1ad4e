//! The policy of bluebellmux: nodes admit requests from grants of the account's owner.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellmux::shares::{
    AccountName, BootId, ChargeOutcome, ChargeStep, FencingToken, LedgerKind, NodeLimiter,
    PartitionOwner, RateEntry, Timestamp, TokenCount, TokenRate,
};

use crate::arrivals::{BenchRequest, PATTERNS, VmCrash, arrival_node, first_owner};
use crate::{BURST, END_MILLIS, MAX_OWNER_WAIT_MILLIS, MESSAGE_MILLIS, NODES, PolicyResult, RATE};

/// Simulates the grants policy with one partition per account.
#[derive(Debug)]
pub(crate) struct GrantSimulation {
    now: u64,
    rate: RateEntry,
    account_names: Vec<AccountName>,
    crashes: Vec<VmCrash>,
    nodes: Vec<NodeLimiter>,
    /// The owner of each partition; `None` from a crash of the owner to the next claim.
    owners: Vec<Option<PartitionOwner>>,
    /// The fencing token of each partition's owner.
    fencing_tokens: Vec<Option<FencingToken>>,
    waiting_requests: HashMap<(usize, u64), BenchRequest>,
    /// End time, node, charge and used tokens of each running request.
    running: Vec<(u64, usize, u64, u64)>,
    /// Delivery time, node, partition, direction (`true` to the owner) and content of each message
    /// in transit.
    in_transit: VecDeque<(u64, usize, u32, bool, LedgerKind)>,
    result: PolicyResult,
}

impl GrantSimulation {
    pub(crate) fn new(crashes: Vec<VmCrash>) -> Self {
        let limit = Duration::from_millis(MAX_OWNER_WAIT_MILLIS);
        let fencing_token = FencingToken::default();
        let start = Timestamp::default();
        let account_names = (0..PATTERNS.len()).map(|index| format!("account-{index}"));
        Self {
            now: 0,
            rate: RateEntry {
                tokens_per_second: TokenRate::per_second(RATE),
                burst: TokenCount::new(BURST),
            },
            account_names: account_names
                .map(|name| name.parse().expect("the name is valid"))
                .collect(),
            nodes: (0..NODES as u64)
                .map(|boot| NodeLimiter::new(BootId::from(boot), limit))
                .collect(),
            owners: vec![Some(PartitionOwner::after_claim(fencing_token, start)); PATTERNS.len()],
            fencing_tokens: vec![Some(fencing_token); PATTERNS.len()],
            crashes,
            waiting_requests: HashMap::new(),
            running: Vec::new(),
            in_transit: VecDeque::new(),
            result: PolicyResult::new(),
        }
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    pub(crate) fn run(mut self, requests: &[BenchRequest]) -> PolicyResult {
        let mut requests = requests.iter().peekable();
        while self.now < END_MILLIS {
            self.apply_crashes();
            self.deliver_messages();
            let now = self.timestamp();
            let due = self.running.extract_if(.., |request| request.0 <= self.now);
            for (_, node, charge, used_tokens) in due.collect::<Vec<_>>() {
                self.nodes[node].settle(now, charge, used_tokens);
            }
            while let Some(request) = requests.next_if(|request| request.at <= self.now) {
                let name = &self.account_names[request.account];
                let (now, partition) = (self.timestamp(), request.account as u32);
                let node = arrival_node(&self.crashes, request);
                let request = BenchRequest { node, ..*request };
                let node = &mut self.nodes[request.node];
                match node.charge(now, name, partition, self.rate, request.reserved_tokens) {
                    ChargeStep::Done(outcome) => self.record_outcome(request, outcome),
                    ChargeStep::Waiting(ticket) => {
                        self.waiting_requests
                            .insert((request.node, ticket), request);
                    }
                }
            }
            for index in 0..NODES {
                self.poll_node(index);
            }
            self.now += 1;
        }
        self.result
    }

    fn apply_crashes(&mut self) {
        for index in 0..self.crashes.len() {
            let crash = self.crashes[index];
            let owned = (0..PATTERNS.len()).filter(|account| first_owner(*account) == crash.node);
            if crash.at == self.now {
                // The requests of the crashed VM end with its client connections.
                let boot = BootId::from((NODES + index) as u64);
                let limit = Duration::from_millis(MAX_OWNER_WAIT_MILLIS);
                self.nodes[crash.node] = NodeLimiter::new(boot, limit);
                self.waiting_requests
                    .retain(|(node, _), _| *node != crash.node);
                self.running.retain(|request| request.1 != crash.node);
                self.in_transit.retain(|message| message.1 != crash.node);
                for account in owned {
                    self.owners[account] = None;
                    self.fencing_tokens[account] = None;
                }
            } else if crash.claimed_at == self.now {
                let fencing_token = FencingToken::from(index as u64 + 1);
                for account in owned {
                    let owner = PartitionOwner::after_claim(fencing_token, self.timestamp());
                    self.owners[account] = Some(owner);
                    self.fencing_tokens[account] = Some(fencing_token);
                }
            }
        }
    }

    fn poll_node(&mut self, index: usize) {
        let now = self.timestamp();
        let fencing_tokens = &self.fencing_tokens;
        let messages = self.nodes[index].poll(now, |partition| fencing_tokens[partition as usize]);
        for (ticket, outcome) in self.nodes[index].take_outcomes() {
            if let Some(request) = self.waiting_requests.remove(&(index, ticket)) {
                self.record_outcome(request, outcome);
            }
        }
        self.result.messages += messages.len();
        let due = self.now + MESSAGE_MILLIS;
        for (partition, kind) in messages {
            self.in_transit
                .push_back((due, index, partition, true, kind));
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.timestamp();
        while let Some((_, node, partition, to_owner, kind)) = self
            .in_transit
            .pop_front_if(|message| message.0 <= self.now)
        {
            if !to_owner {
                self.nodes[node].receive(now, &kind);
                continue;
            }
            let Some(owner) = &mut self.owners[partition as usize] else {
                continue;
            };
            let response = match &kind {
                LedgerKind::GrantRequest(request) => owner
                    .grant(now, self.rate, request)
                    .map(LedgerKind::GrantResponse),
                LedgerKind::Report(report) => owner
                    .apply_report(now, |_| Some(self.rate), report)
                    .map(LedgerKind::ReportResponse),
                _ => None,
            };
            if let Some(response) = response {
                let due = self.now + MESSAGE_MILLIS;
                self.in_transit
                    .push_back((due, node, partition, false, response));
            }
        }
    }

    fn record_outcome(&mut self, request: BenchRequest, outcome: ChargeOutcome) {
        let ChargeOutcome::Admitted { charge } = outcome else {
            self.result.refused[request.account] += 1;
            return;
        };
        self.result.record_wait(&request, self.now);
        self.result.admitted[request.account].push((self.now, request.used_tokens));
        let end = self.now + request.run_millis;
        self.running
            .push((end, request.node, charge, request.used_tokens));
    }
}
