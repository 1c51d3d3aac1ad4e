//! Completions at a node: authentication, charge, pin, send, stream and settlement. The gateway's
//! rules are implemented here a second time, because the gateway itself performs I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use super::engine::StreamPart;
use super::log::ACME_KEY;
use super::network::{Endpoint, Message, PoolRequest};
use super::node::{INITIAL_UPTIME_MS, node_index, node_name, roles};
use super::steps::{Flow, Step};
use super::world::World;
use crate::config::model::KeyDigest;
use crate::ids::{AccountName, AdapterVersion, BootId, FencingToken, TargetName, TokenCount};
use crate::ledger::wire::LedgerKind;
use crate::ledger::{ChargeOutcome, ChargeStep};
use crate::pool::event::{
    AcquireKey, AcquireRequest, NodeReport, PoolAnswer, ReleaseOutcome, ReportedPin,
};

/// How long a request waits for a pin.
const ADMISSION_MS: u64 = 5_000;
const ACQUIRE_RETRY_MS: u64 = 300;
/// A stream ends when the configuration has not been confirmed for this long, as in the gateway.
const STREAM_LIMIT: Duration = Duration::from_millis(3_500);

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Stage {
    Charging(u64),
    Choosing {
        next_send: u64,
    },
    /// Pinned to a target; the request is sent in the next step.
    Pinned {
        target: TargetName,
        generation: String,
    },
    Running {
        target: TargetName,
        generation: String,
        parts: u32,
    },
}

/// A completion request of a client.
#[derive(Debug, Clone)]
pub(super) struct Completion {
    pub(super) key: AcquireKey,
    pub(super) account: AccountName,
    pub(super) api_key: &'static str,
    pub(super) adapter: AdapterVersion,
    need: u64,
    /// The charge, and its index in `Observed::admissions`.
    charge: Option<(u64, usize)>,
    deadline: u64,
    pub(super) stage: Stage,
}

impl Completion {
    pub(super) fn placement(&self) -> Option<(&TargetName, &String)> {
        match &self.stage {
            Stage::Pinned { target, generation }
            | Stage::Running {
                target, generation, ..
            } => Some((target, generation)),
            _ => None,
        }
    }
}

/// The open completions of one process.
#[derive(Debug, Default)]
pub(super) struct OpenCompletions {
    pub(super) open: BTreeMap<u64, Completion>,
    serial: u64,
    sequence: u64,
    next_report: u64,
    /// The highest fencing token of the pins received.
    newest_fence: FencingToken,
}

pub(super) fn engine_index(target: &TargetName) -> usize {
    usize::from(target.as_str() == "engine-1")
}

fn engine_endpoint(target: &TargetName) -> Endpoint {
    Endpoint::Engine(engine_index(target))
}

impl World {
    pub(super) fn start_completion(
        &mut self,
        index: usize,
        account: &str,
        key: &'static str,
        adapter: &str,
        need: u64,
    ) {
        if !self.begin_step(Step::Accept, Flow::Completion, index, None) {
            return;
        }
        self.end_step();
        if !self.nodes[index].is_running(self.now)
            || !self.begin_step(Step::Authenticate, Flow::Completion, index, None)
        {
            return;
        }
        let caller = self.authenticate(index, key);
        self.end_step();
        let node = &mut self.nodes[index];
        if caller.is_none_or(|caller| caller.as_str() != account) || !node.is_running(self.now) {
            return;
        }
        let (now, account) = (
            node.local_time(self.now),
            account.parse().expect("a valid name"),
        );
        let Some(rate) = node.config.rates.get(&account).copied() else {
            return;
        };
        let step = node.limiter.charge(now, &account, 0, rate, need);
        let completions = &mut node.completions;
        completions.serial += 1;
        let serial = completions.serial;
        let completion = Completion {
            key: AcquireKey {
                node: node_name(index),
                boot: BootId::from(node.boot),
                serial,
            },
            account,
            api_key: key,
            adapter: format!("{adapter}@v1").parse().expect("a valid version"),
            need,
            charge: None,
            deadline: self.now + ADMISSION_MS,
            stage: Stage::Charging(0),
        };
        completions.open.insert(serial, completion);
        match step {
            ChargeStep::Waiting(ticket) => {
                self.completion_mut(index, serial).stage = Stage::Charging(ticket);
            }
            ChargeStep::Done(outcome) => self.handle_charge(index, serial, outcome),
        }
    }

    fn completion_mut(&mut self, index: usize, serial: u64) -> &mut Completion {
        let open = &mut self.nodes[index].completions.open;
        open.get_mut(&serial).expect("the completion is open")
    }

    fn handle_charge(&mut self, index: usize, serial: u64, outcome: ChargeOutcome) {
        let now = self.now;
        self.record_event(|| format!("{} charge of {serial}: {outcome:?}", node_name(index)));
        let ChargeOutcome::Admitted { charge } = outcome else {
            self.refuse(index, serial);
            return;
        };
        let completion = self.completion_mut(index, serial);
        let (account, need) = (completion.account.clone(), completion.need);
        completion.deadline = now + ADMISSION_MS;
        completion.stage = Stage::Choosing { next_send: now };
        let admission = self.observed.record_admission(now, &account, need);
        self.completion_mut(index, serial).charge = Some((charge, admission));
    }

    /// Refuses a completion that was not sent; the caller is told that it did not run.
    fn refuse(&mut self, index: usize, serial: u64) {
        let key = self.completion_mut(index, serial).key.clone();
        self.record_event(|| format!("{} refuses {serial}, run no", node_name(index)));
        self.observed.record_refused_completion(&key);
        self.end_completion(index, serial, 0, ReleaseOutcome::Cancelled);
    }

    /// Ends a completion, settles its charge and releases its pin.
    fn end_completion(&mut self, index: usize, serial: u64, used: u64, outcome: ReleaseOutcome) {
        let Some(completion) = self.nodes[index].completions.open.remove(&serial) else {
            return;
        };
        if let Some((charge, admission)) = completion.charge {
            let now = self.nodes[index].local_time(self.now);
            self.nodes[index].limiter.settle(now, charge, used);
            self.observed.record_settlement(admission, used);
        }
        self.pinned.remove(&completion.key);
        if completion.placement().is_some() || matches!(completion.stage, Stage::Choosing { .. }) {
            let key = completion.key;
            self.post_to_pool(index, PoolRequest::Release { key, outcome });
        }
    }

    /// The owner of a role as known to node `index`.
    pub(super) fn known_owner(&self, index: usize, role: usize) -> Option<(usize, FencingToken)> {
        let node = &self.nodes[index];
        match node
            .leases
            .owner(&roles()[role], node.local_time(self.now), &node.peers)
        {
            crate::lease::RoleOwner::Local { fence } => Some((index, fence)),
            crate::lease::RoleOwner::Remote { address, fence } => {
                Some((usize::from(address.port()) - 1, fence))
            }
            crate::lease::RoleOwner::Nobody => None,
        }
    }

    fn post_to_pool(&mut self, index: usize, request: PoolRequest) {
        if let Some((owner, _)) = self.known_owner(index, 1) {
            self.post(
                Endpoint::Node(index),
                Endpoint::Node(owner),
                Message::ToPool(request),
            );
        }
    }

    /// Advances all completions of a node by one tick.
    pub(super) fn step_completions(&mut self, index: usize) {
        self.poll_limiter(index);
        let boot = self.nodes[index].boot;
        let serials: Vec<u64> = self.nodes[index].completions.open.keys().copied().collect();
        for serial in serials {
            if self.nodes[index].boot != boot || !self.nodes[index].is_running(self.now) {
                return;
            }
            let stage = self.completion_mut(index, serial).stage.clone();
            match stage {
                Stage::Charging(_) => {}
                Stage::Choosing { next_send } => self.choose(index, serial, next_send),
                Stage::Pinned { target, generation } => {
                    self.send(index, serial, target, generation)
                }
                Stage::Running { .. } => self.check_stream(index, serial),
            }
        }
        if self.nodes[index].boot == boot && self.nodes[index].is_running(self.now) {
            self.report_pins(index);
        }
    }

    fn poll_limiter(&mut self, index: usize) {
        let ledger_owner = self.known_owner(index, 0);
        let node = &mut self.nodes[index];
        let (now, boot) = (node.local_time(self.now), node.boot);
        let messages = node
            .limiter
            .poll(now, |_| ledger_owner.map(|(_, fence)| fence));
        let outcomes = node.limiter.take_outcomes();
        for (ticket, outcome) in outcomes {
            let open = &self.nodes[index].completions.open;
            let waits = |c: &&Completion| c.stage == Stage::Charging(ticket);
            if let Some(serial) = open.values().find(waits).map(|c| c.key.serial) {
                self.handle_charge(index, serial, outcome);
            }
        }
        for (_, kind) in messages {
            let Some((owner, _)) = ledger_owner else {
                continue;
            };
            let step = match kind {
                LedgerKind::GrantRequest(_) => Step::Charge,
                _ => Step::Settle,
            };
            let peer = Endpoint::Node(owner);
            if !self.begin_step(step, Flow::Completion, index, Some(peer)) {
                return;
            }
            self.post(Endpoint::Node(index), peer, Message::Ledger(kind));
            self.end_step();
            if self.nodes[index].boot != boot {
                return;
            }
        }
    }

    fn choose(&mut self, index: usize, serial: u64, next_send: u64) {
        let now = self.now;
        if now >= self.completion_mut(index, serial).deadline {
            self.refuse(index, serial);
            return;
        }
        if now < next_send {
            return;
        }
        let completion = self.completion_mut(index, serial);
        completion.stage = Stage::Choosing {
            next_send: now + ACQUIRE_RETRY_MS,
        };
        let left = Duration::from_millis(completion.deadline - now);
        let request = AcquireRequest {
            key: completion.key.clone(),
            account: completion.account.clone(),
            adapter: completion.adapter.clone(),
            tokens: TokenCount::new(completion.need),
            prefix: None,
            avoid: None,
            suspect: false,
            deadline: Default::default(),
        };
        let Some((owner, _)) = self.known_owner(index, 1) else {
            return;
        };
        let peer = Endpoint::Node(owner);
        if self.begin_step(Step::Choose, Flow::Completion, index, Some(peer)) {
            let request = PoolRequest::Acquire { request, left };
            self.post(Endpoint::Node(index), peer, Message::ToPool(request));
            self.end_step();
        }
    }

    pub(super) fn handle_pool_reply(&mut self, index: usize, key: &AcquireKey, answer: PoolAnswer) {
        let completions = &mut self.nodes[index].completions;
        let Some(completion) = completions.open.get_mut(&key.serial) else {
            return;
        };
        if completion.key != *key || !matches!(completion.stage, Stage::Choosing { .. }) {
            return;
        }
        match answer {
            PoolAnswer::Pinned {
                target,
                generation,
                fence,
                ..
            } => {
                // A pin granted by a replaced coordinator is not valid.
                completions.newest_fence = completions.newest_fence.max(fence);
                if fence == completions.newest_fence {
                    completion.stage = Stage::Pinned { target, generation };
                }
            }
            PoolAnswer::Refused { .. } => self.refuse(index, key.serial),
        }
    }

    /// Whether the key is valid in a recently confirmed configuration.
    fn is_key_valid(&self, index: usize, api_key: &str) -> bool {
        let node = &self.nodes[index];
        let digest = KeyDigest::of_key(api_key);
        let confirmed = node.peers.is_fresh(node.local_time(self.now), STREAM_LIMIT);
        confirmed && node.config.key_by_digest(&digest).is_some()
    }

    fn send(&mut self, index: usize, serial: u64, target: TargetName, generation: String) {
        let endpoint = engine_endpoint(&target);
        if !self.begin_step(Step::Send, Flow::Completion, index, Some(endpoint)) {
            return;
        }
        let api_key = self.completion_mut(index, serial).api_key;
        if !self.is_key_valid(index, api_key) {
            self.end_step();
            if self.nodes[index].completions.open.contains_key(&serial) {
                self.refuse(index, serial);
            }
            return;
        }
        let completion = self.completion_mut(index, serial);
        completion.stage = Stage::Running {
            target,
            generation: generation.clone(),
            parts: 0,
        };
        let (key, adapter) = (completion.key.clone(), completion.adapter.clone());
        let run = Message::Run {
            key,
            generation,
            adapter,
        };
        self.post(Endpoint::Node(index), endpoint, run);
        self.end_step();
    }

    /// Ends a stream whose key is revoked or can't be confirmed.
    fn check_stream(&mut self, index: usize, serial: u64) {
        let completion = self.completion_mut(index, serial);
        let (key, api_key) = (completion.key.clone(), completion.api_key);
        let Some((target, _)) = completion.placement() else {
            return;
        };
        let endpoint = engine_endpoint(target);
        if !self.is_key_valid(index, api_key) {
            self.post(Endpoint::Node(index), endpoint, Message::Cancel(key));
            let need = self.completion_mut(index, serial).need;
            self.end_completion(index, serial, need, ReleaseOutcome::Cancelled);
        }
    }

    /// Handles a part of an answer. `part.id` is the request that the target names in it.
    pub(super) fn handle_part(&mut self, index: usize, part: StreamPart) {
        // A node that was paused may have a backlog of parts, so the key is checked before each.
        if self.nodes[index]
            .completions
            .open
            .contains_key(&part.key.serial)
        {
            self.check_stream(index, part.key.serial);
        }
        let (now, serial) = (self.now, part.key.serial);
        let Some(completion) = self.nodes[index].completions.open.get_mut(&serial) else {
            return;
        };
        let need = completion.need;
        let Stage::Running {
            generation, parts, ..
        } = &mut completion.stage
        else {
            return;
        };
        if part.id != completion.key || part.generation != *generation {
            let endpoint = Endpoint::Engine(part.engine);
            self.post(Endpoint::Node(index), endpoint, Message::Cancel(part.key));
            self.end_completion(index, serial, need, ReleaseOutcome::BrokeOff);
            return;
        }
        let expected = *parts;
        *parts += 1;
        let revoked = completion.api_key == ACME_KEY && self.observed.key_is_revoked(now);
        if revoked {
            self.observed
                .record_violation("5 a revoked key stops", "a stream continued");
        }
        if part.number != expected {
            self.observed
                .record_violation("9 the whole answer", "a part is missing or duplicated");
        }
        if part.is_last {
            self.observed.completed += 1;
            let used = need / 2;
            let outcome = ReleaseOutcome::Completed {
                tokens: TokenCount::new(used),
                first_token: Some(Duration::from_millis(50)),
            };
            self.end_completion(index, serial, used, outcome);
        }
    }

    /// Handles a failed connection attempt or an answer that broke off.
    pub(super) fn fail_run(&mut self, index: usize, key: &AcquireKey, outcome: ReleaseOutcome) {
        let open = &self.nodes[index].completions.open;
        let Some(completion) = open.get(&key.serial).filter(|c| c.key == *key) else {
            return;
        };
        let used = match outcome {
            ReleaseOutcome::ConnectFailed => 0,
            _ => completion.need,
        };
        if outcome == ReleaseOutcome::ConnectFailed {
            self.observed.record_refused_completion(key);
        }
        self.end_completion(index, key.serial, used, outcome);
    }

    fn report_pins(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        let uptime = Duration::from_millis(now.saturating_sub(node.up_from));
        let boot = BootId::from(node.boot);
        let uptime = match node.up_from {
            0 => uptime + Duration::from_millis(INITIAL_UPTIME_MS),
            _ => uptime,
        };
        let completions = &mut node.completions;
        if completions.next_report > now {
            return;
        }
        completions.next_report = now + 1_000;
        completions.sequence += 1;
        let open = completions.open.values();
        let waiting = open
            .clone()
            .filter(|completion| completion.placement().is_none());
        let pins = open.filter_map(|completion| {
            let (target, generation) = completion.placement()?;
            Some(ReportedPin {
                serial: completion.key.serial,
                target: target.clone(),
                generation: generation.clone(),
                account: completion.account.clone(),
                tokens: TokenCount::new(completion.need),
                suspect: false,
                streaming: matches!(completion.stage, Stage::Running { parts, .. } if parts > 0),
            })
        });
        let report = NodeReport {
            node: node_name(index),
            boot,
            sequence: completions.sequence,
            highest_serial: completions.serial,
            waiting: waiting.map(|completion| completion.key.serial).collect(),
            pins: pins.collect(),
            uptime,
        };
        self.post_to_pool(index, PoolRequest::Report(report));
    }

    pub(super) fn node_of(&self, key: &AcquireKey) -> usize {
        node_index(&key.node)
    }
}
