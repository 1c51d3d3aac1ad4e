//! Completions at a node: authentication, charge, place, send, stream and settlement. The rules
//! of the gateway are written once more here, since the gateway is made of I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use super::engine::StreamPart;
use super::log::ACME_KEY;
use super::network::{Message, Place, PoolAsk};
use super::node::{FIRST_AGE_MS, node_index, node_name, roles};
use super::steps::{Flow, Step};
use super::world::World;
use crate::config::model::KeyDigest;
use crate::ids::{AccountName, AdapterVersion, BootId, FencingToken, TargetName, TokenCount};
use crate::ledger::wire::LedgerKind;
use crate::ledger::{ChargeOutcome, ChargeStep};
use crate::pool::event::{
    AcquireKey, AcquireRequest, NodeReport, PoolAnswer, ReleaseOutcome, ReportedPin,
};

/// How long a request waits for a place.
const ADMISSION_MS: u64 = 5_000;
const ACQUIRE_RETRY_MS: u64 = 300;
/// A stream ends when the configuration is not confirmed for so long, as in the gateway.
const STREAM_LIMIT: Duration = Duration::from_millis(3_500);

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Stage {
    Charging(u64),
    Choosing {
        next_send: u64,
    },
    /// Pinned; the request is sent in the next step.
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

/// A caller's completion.
#[derive(Debug, Clone)]
pub(super) struct Completion {
    pub(super) key: AcquireKey,
    pub(super) account: AccountName,
    pub(super) secret: &'static str,
    pub(super) adapter: AdapterVersion,
    need: u64,
    /// The charge, and its place among the admissions.
    charge: Option<(u64, usize)>,
    deadline: u64,
    pub(super) stage: Stage,
}

impl Completion {
    pub(super) fn place(&self) -> Option<(&TargetName, &String)> {
        match &self.stage {
            Stage::Pinned { target, generation }
            | Stage::Running {
                target, generation, ..
            } => Some((target, generation)),
            _ => None,
        }
    }
}

/// The completions of one process.
#[derive(Debug, Default)]
pub(super) struct OpenCompletions {
    pub(super) open: BTreeMap<u64, Completion>,
    serial: u64,
    sequence: u64,
    next_report: u64,
    newest: FencingToken,
}

pub(super) fn engine_index(target: &TargetName) -> usize {
    usize::from(target.as_str() == "engine-1")
}

fn engine_place(target: &TargetName) -> Place {
    Place::Engine(engine_index(target))
}

impl World {
    pub(super) fn accept(
        &mut self,
        index: usize,
        account: &str,
        key: &'static str,
        adapter: &str,
        need: u64,
    ) {
        if !self.begin(Step::Accept, Flow::Completion, index, None) {
            return;
        }
        self.end();
        if !self.nodes[index].runs(self.now)
            || !self.begin(Step::Authenticate, Flow::Completion, index, None)
        {
            return;
        }
        let known = self.authenticate(index, key);
        self.end();
        let node = &mut self.nodes[index];
        if known.is_none_or(|known| known.as_str() != account) || !node.runs(self.now) {
            return;
        }
        let (now, account) = (node.local(self.now), account.parse().expect("a valid name"));
        let Some(rate) = node.config.rates.get(&account).copied() else {
            return;
        };
        let step = node.shares.charge(now, &account, 0, rate, need);
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
            secret: key,
            adapter: format!("{adapter}@v1").parse().expect("a valid version"),
            need,
            charge: None,
            deadline: self.now + ADMISSION_MS,
            stage: Stage::Charging(0),
        };
        completions.open.insert(serial, completion);
        match step {
            ChargeStep::Waiting(ticket) => {
                self.open(index, serial).stage = Stage::Charging(ticket);
            }
            ChargeStep::Done(outcome) => self.charged(index, serial, outcome),
        }
    }

    fn open(&mut self, index: usize, serial: u64) -> &mut Completion {
        let open = &mut self.nodes[index].completions.open;
        open.get_mut(&serial).expect("the completion is open")
    }

    fn charged(&mut self, index: usize, serial: u64, outcome: ChargeOutcome) {
        let now = self.now;
        self.note(|| format!("{} charge of {serial}: {outcome:?}", node_name(index)));
        let ChargeOutcome::Admitted { charge } = outcome else {
            self.refuse(index, serial);
            return;
        };
        let completion = self.open(index, serial);
        let (account, need) = (completion.account.clone(), completion.need);
        completion.deadline = now + ADMISSION_MS;
        completion.stage = Stage::Choosing { next_send: now };
        let place = self.seen.admitted(now, &account, need);
        self.open(index, serial).charge = Some((charge, place));
    }

    /// Ends a completion that was not sent with run "no".
    fn refuse(&mut self, index: usize, serial: u64) {
        let key = self.open(index, serial).key.clone();
        self.note(|| format!("{} refuses {serial}, run no", node_name(index)));
        self.seen.refused_completion(&key);
        self.end_completion(index, serial, 0, ReleaseOutcome::Cancelled);
    }

    /// Ends a completion, settles its charge and gives its place back.
    fn end_completion(&mut self, index: usize, serial: u64, used: u64, outcome: ReleaseOutcome) {
        let Some(completion) = self.nodes[index].completions.open.remove(&serial) else {
            return;
        };
        if let Some((charge, place)) = completion.charge {
            let now = self.nodes[index].local(self.now);
            self.nodes[index].shares.settle(now, charge, used);
            self.seen.settled(place, used);
        }
        self.pinned.remove(&completion.key);
        if completion.place().is_some() || matches!(completion.stage, Stage::Choosing { .. }) {
            let key = completion.key;
            self.post_to_pool(index, PoolAsk::Release { key, outcome });
        }
    }

    /// The node that owns a role, as another node sees it.
    pub(super) fn owner_seen(&self, index: usize, role: usize) -> Option<(usize, FencingToken)> {
        let node = &self.nodes[index];
        match node
            .leases
            .owner(&roles()[role], node.local(self.now), &node.peers)
        {
            crate::lease::RoleOwner::Local { fence } => Some((index, fence)),
            crate::lease::RoleOwner::Remote { address, fence } => {
                Some((usize::from(address.port()) - 1, fence))
            }
            crate::lease::RoleOwner::Nobody => None,
        }
    }

    fn post_to_pool(&mut self, index: usize, ask: PoolAsk) {
        if let Some((owner, _)) = self.owner_seen(index, 1) {
            self.post(Place::Node(index), Place::Node(owner), Message::ToPool(ask));
        }
    }

    /// What a node does for its completions in one step of time.
    pub(super) fn step_completions(&mut self, index: usize) {
        self.poll_shares(index);
        let boot = self.nodes[index].boot;
        let serials: Vec<u64> = self.nodes[index].completions.open.keys().copied().collect();
        for serial in serials {
            if self.nodes[index].boot != boot || !self.nodes[index].runs(self.now) {
                return;
            }
            let stage = self.open(index, serial).stage.clone();
            match stage {
                Stage::Charging(_) => {}
                Stage::Choosing { next_send } => self.choose(index, serial, next_send),
                Stage::Pinned { target, generation } => {
                    self.send(index, serial, target, generation)
                }
                Stage::Running { .. } => self.check_stream(index, serial),
            }
        }
        if self.nodes[index].boot == boot && self.nodes[index].runs(self.now) {
            self.report_pins(index);
        }
    }

    fn poll_shares(&mut self, index: usize) {
        let seen = self.owner_seen(index, 0);
        let node = &mut self.nodes[index];
        let (now, boot) = (node.local(self.now), node.boot);
        let messages = node.shares.poll(now, |_| seen.map(|(_, fence)| fence));
        let outcomes = node.shares.take_outcomes();
        for (ticket, outcome) in outcomes {
            let open = &self.nodes[index].completions.open;
            let waits = |c: &&Completion| c.stage == Stage::Charging(ticket);
            if let Some(serial) = open.values().find(waits).map(|c| c.key.serial) {
                self.charged(index, serial, outcome);
            }
        }
        for (_, kind) in messages {
            let Some((owner, _)) = seen else { continue };
            let step = match kind {
                LedgerKind::Ask(_) => Step::Charge,
                _ => Step::Settle,
            };
            let peer = Place::Node(owner);
            if !self.begin(step, Flow::Completion, index, Some(peer)) {
                return;
            }
            self.post(Place::Node(index), peer, Message::Ledger(kind));
            self.end();
            if self.nodes[index].boot != boot {
                return;
            }
        }
    }

    fn choose(&mut self, index: usize, serial: u64, next_send: u64) {
        let now = self.now;
        if now >= self.open(index, serial).deadline {
            self.refuse(index, serial);
            return;
        }
        if now < next_send {
            return;
        }
        let completion = self.open(index, serial);
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
        let Some((owner, _)) = self.owner_seen(index, 1) else {
            return;
        };
        let peer = Place::Node(owner);
        if self.begin(Step::Choose, Flow::Completion, index, Some(peer)) {
            let ask = PoolAsk::Acquire { request, left };
            self.post(Place::Node(index), peer, Message::ToPool(ask));
            self.end();
        }
    }

    pub(super) fn pool_answered(&mut self, index: usize, key: &AcquireKey, answer: PoolAnswer) {
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
                // The answer of a coordinator that has been replaced holds nothing.
                completions.newest = completions.newest.max(fence);
                if fence == completions.newest {
                    completion.stage = Stage::Pinned { target, generation };
                }
            }
            PoolAnswer::Refused { .. } => self.refuse(index, key.serial),
        }
    }

    /// Whether the key is valid by a configuration that was confirmed lately.
    fn key_holds(&self, index: usize, secret: &str) -> bool {
        let node = &self.nodes[index];
        let digest = KeyDigest::of_key(secret);
        let confirmed = node.peers.is_fresh(node.local(self.now), STREAM_LIMIT);
        confirmed && node.config.key_by_digest(&digest).is_some()
    }

    fn send(&mut self, index: usize, serial: u64, target: TargetName, generation: String) {
        let place = engine_place(&target);
        if !self.begin(Step::Send, Flow::Completion, index, Some(place)) {
            return;
        }
        let secret = self.open(index, serial).secret;
        if !self.key_holds(index, secret) {
            self.end();
            if self.nodes[index].completions.open.contains_key(&serial) {
                self.refuse(index, serial);
            }
            return;
        }
        let completion = self.open(index, serial);
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
        self.post(Place::Node(index), place, run);
        self.end();
    }

    /// Ends a stream whose key may be revoked.
    fn check_stream(&mut self, index: usize, serial: u64) {
        let completion = self.open(index, serial);
        let (key, secret) = (completion.key.clone(), completion.secret);
        let Some((target, _)) = completion.place() else {
            return;
        };
        let place = engine_place(target);
        if !self.key_holds(index, secret) {
            self.post(Place::Node(index), place, Message::Cancel(key));
            let need = self.open(index, serial).need;
            self.end_completion(index, serial, need, ReleaseOutcome::Cancelled);
        }
    }

    /// A part of a target's answer arrives. `id` is the request that the target names in it.
    pub(super) fn part_arrives(&mut self, index: usize, part: StreamPart) {
        // A node that was paused may have parts waiting: the key is checked before each.
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
            let place = Place::Engine(part.engine);
            self.post(Place::Node(index), place, Message::Cancel(part.key));
            self.end_completion(index, serial, need, ReleaseOutcome::BrokeOff);
            return;
        }
        let expected = *parts;
        *parts += 1;
        let revoked = completion.secret == ACME_KEY && self.seen.key_is_revoked(now);
        if revoked {
            self.seen.fail("5 a revoked key stops", "a stream went on");
        }
        if part.number != expected {
            self.seen
                .fail("9 the whole answer", "a part is missing or doubled");
        }
        if part.is_last {
            self.seen.completed += 1;
            let used = need / 2;
            let outcome = ReleaseOutcome::Completed {
                tokens: TokenCount::new(used),
                first_token: Some(Duration::from_millis(50)),
            };
            self.end_completion(index, serial, used, outcome);
        }
    }

    /// A target could not be reached, or broke off.
    pub(super) fn run_failed(&mut self, index: usize, key: &AcquireKey, outcome: ReleaseOutcome) {
        let open = &self.nodes[index].completions.open;
        let Some(completion) = open.get(&key.serial).filter(|c| c.key == *key) else {
            return;
        };
        let used = match outcome {
            ReleaseOutcome::ConnectFailed => 0,
            _ => completion.need,
        };
        if outcome == ReleaseOutcome::ConnectFailed {
            self.seen.refused_completion(key);
        }
        self.end_completion(index, key.serial, used, outcome);
    }

    fn report_pins(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        let uptime = Duration::from_millis(now.saturating_sub(node.up_from));
        let boot = BootId::from(node.boot);
        let uptime = match node.up_from {
            0 => uptime + Duration::from_millis(FIRST_AGE_MS),
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
            .filter(|completion| completion.place().is_none());
        let pins = open.filter_map(|completion| {
            let (target, generation) = completion.place()?;
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
        self.post_to_pool(index, PoolAsk::Report(report));
    }

    pub(super) fn node_of(&self, key: &AcquireKey) -> usize {
        node_index(&key.node)
    }
}
