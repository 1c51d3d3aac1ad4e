//! Calls that run at most once: claims, the send, the service and the outcome.

use tokio::sync::oneshot;

use super::log::{ACME_KEY, BLUE_KEY, Record};
use super::network::{Endpoint, Message};
use super::node::node_name;
use super::steps::{Flow, Step};
use super::world::{FAULTS_FROM_MS, LAST_ARRIVAL_MS, NODES, TICK_MS, World};
use crate::claims::attempt::{
    AttemptStep, ClaimAttempt, ClaimRefusal, SentClaim, check_existing_claim,
};
use crate::claims::record::{ClaimBatch, ClaimEntry, ClaimNonce, StoredAnswer};
use crate::claims::writer::{AppendResult, PendingEntry};
use crate::claims::{CallDigest, ClaimKey, SendPermit};
use crate::config::model::KeyDigest;
use crate::ids::{AccountName, BootId};

/// The interval between two calls. Each key is used by two calls, at two different nodes.
const CALL_INTERVAL_MS: u64 = 350;
/// The interval between two completions.
const COMPLETION_INTERVAL_MS: u64 = 150;
/// How long the service takes to answer a call.
const SERVICE_MS: u64 = 100;
/// The result of an append counts as unknown when no reply arrives within this time.
const APPEND_TIMEOUT_MS: u64 = 2_000;

#[derive(Debug)]
enum CallStage {
    Claiming(ClaimAttempt, oneshot::Receiver<()>),
    Permitted(SendPermit),
    Running(SentClaim),
}

/// A call sent by a client to a node.
#[derive(Debug)]
pub(super) struct FakeCall {
    number: u8,
    stage: CallStage,
}

#[derive(Debug, Default)]
pub(super) struct FakeService {
    /// The calls in progress: completion time, node, boot of the node's process and claim nonce.
    running: Vec<(u64, usize, u64, ClaimNonce)>,
    /// The boot of the process that sent each call.
    boots: Vec<(ClaimNonce, u64)>,
}

fn claim_key(number: u8) -> ClaimKey {
    ClaimKey::from_parts("acme", "bookings", &number.to_string())
}

impl World {
    pub(super) fn start_arrivals(&mut self) {
        self.start_publishes();
        self.start_completions();
        if self.now < FAULTS_FROM_MS || self.now > LAST_ARRIVAL_MS {
            return;
        }
        let passed = self.now - FAULTS_FROM_MS;
        if passed % CALL_INTERVAL_MS < TICK_MS {
            let count = passed / CALL_INTERVAL_MS;
            let index = count as usize % NODES;
            if self.nodes[index].is_running(self.now) && !self.nodes[index].peers.local.leaving {
                self.start_call(index, (count / 2) as u8);
            }
        }
    }

    pub(super) fn start_completions(&mut self) {
        if self.now < FAULTS_FROM_MS - 2_000 || self.now > LAST_ARRIVAL_MS {
            return;
        }
        let passed = self.now - (FAULTS_FROM_MS - 2_000);
        if passed % COMPLETION_INTERVAL_MS >= TICK_MS {
            return;
        }
        let count = (passed / COMPLETION_INTERVAL_MS) as usize;
        let index = count % NODES;
        if !self.nodes[index].is_running(self.now) || self.nodes[index].peers.local.leaving {
            return;
        }
        let adapter = ["shop", "news", "shop", "mail", "shop", "tour", "shop"][count % 7];
        let (account, key) = match adapter {
            "shop" => ("acme", ACME_KEY),
            _ => ("blue", BLUE_KEY),
        };
        let need = 60 + 20 * (count as u64 % 5);
        self.start_completion(index, account, key, adapter, need);
    }

    /// Returns the account that `key` belongs to, or `None` if the node rejects the request.
    pub(super) fn authenticate(&mut self, index: usize, key: &str) -> Option<AccountName> {
        let now = self.now;
        let node = &self.nodes[index];
        if !node.is_fresh(now) {
            return None;
        }
        let digest = KeyDigest::of_key(key);
        let (_, entry) = node.config.key_by_digest(&digest)?;
        let account = entry.account.clone();
        self.observed.record_served(now, &node.config, key);
        Some(account)
    }

    pub(super) fn start_call(&mut self, index: usize, number: u8) {
        if !self.begin_step(Step::Accept, Flow::Call, index, None) {
            return;
        }
        self.end_step();
        if !self.nodes[index].is_running(self.now)
            || !self.begin_step(Step::Authenticate, Flow::Call, index, None)
        {
            return;
        }
        let caller = self.authenticate(index, ACME_KEY);
        self.end_step();
        if caller.is_none() || !self.nodes[index].is_running(self.now) {
            return;
        }
        let (key, request) = (
            claim_key(number),
            CallDigest::from_call("POST", "/bookings", &[number]),
        );
        if let Some(refusal) = check_existing_claim(&self.nodes[index].claims, &key, &request) {
            self.record_event(|| format!("{} answers key {number}: {refusal:?}", node_name(index)));
            self.observed.check_repeated_call(number, refusal);
            return;
        }
        if self.begin_step(Step::Claim, Flow::Call, index, Some(Endpoint::Log)) {
            self.claim(index, number, key, request);
            self.end_step();
        }
    }

    fn claim(&mut self, index: usize, number: u8, key: ClaimKey, request: CallDigest) {
        let nonce = ClaimNonce::from_number(u128::from(self.next_id()));
        let node = &mut self.nodes[index];
        let attempt = ClaimAttempt::new(key, request, nonce, node.local_time(self.now));
        let (rejection_sender, rejection_receiver) = oneshot::channel();
        let stage = CallStage::Claiming(attempt, rejection_receiver);
        node.calls.push(FakeCall { number, stage });
        let entry = ClaimEntry::Claim {
            key,
            request,
            nonce,
            node: node_name(index),
            boot: BootId::from(node.boot),
        };
        let rejection_sender = Some(rejection_sender);
        node.backlog.push(PendingEntry {
            entry,
            rejection_sender,
        });
        self.write_claims(index);
    }

    /// Sends the next batch of claim entries unless an append is already in flight.
    fn write_claims(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        if let Some((_, batch, _)) = node
            .writing
            .take_if(|(.., sent)| *sent + APPEND_TIMEOUT_MS <= now)
        {
            node.backlog.complete_batch(batch, AppendResult::Unknown);
        }
        if node.writing.is_some() {
            return;
        }
        let batch = node.backlog.take_batch();
        if batch.is_empty() {
            return;
        }
        let entries = batch.iter().map(|pending| pending.entry.clone()).collect();
        let number = self.append(index, Record::Claims(ClaimBatch { entries }));
        self.nodes[index].writing = Some((number, batch, now));
    }

    pub(super) fn handle_append_reply(&mut self, index: usize, number: u64, stored: bool) {
        let node = &mut self.nodes[index];
        if let Some((_, batch, _)) = node.writing.take_if(|(own, ..)| *own == number) {
            let result = if stored {
                AppendResult::Stored
            } else {
                AppendResult::Down
            };
            node.backlog.complete_batch(batch, result);
        }
    }

    pub(super) fn step_calls(&mut self, index: usize) {
        for call in std::mem::take(&mut self.nodes[index].calls) {
            let kept = self.step_call(index, call);
            self.nodes[index].calls.extend(kept);
            if !self.nodes[index].is_running(self.now) {
                return;
            }
        }
        self.write_claims(index);
    }

    fn step_call(&mut self, index: usize, call: FakeCall) -> Option<FakeCall> {
        let (boot, number) = (self.nodes[index].boot, call.number);
        let stage = match call.stage {
            CallStage::Claiming(attempt, mut rejection_receiver) => {
                let nonce = attempt.nonce();
                if rejection_receiver.try_recv().is_ok() {
                    self.observed.record_refused_call(nonce);
                    return None;
                }
                let node = &self.nodes[index];
                match attempt.decide(&node.claims, node.local_time(self.now)) {
                    AttemptStep::Wait(attempt) => CallStage::Claiming(attempt, rejection_receiver),
                    AttemptStep::Send(permit) => CallStage::Permitted(permit),
                    AttemptStep::Refuse(refusal) => {
                        self.record_event(|| {
                            format!("{} refuses key {number}: {refusal:?}", node_name(index))
                        });
                        if matches!(refusal, ClaimRefusal::NotClaimed | ClaimRefusal::KeyReused) {
                            self.observed.record_refused_call(nonce);
                        }
                        self.observed.check_repeated_call(number, refusal);
                        self.queue_entry(index, ClaimEntry::Void { nonce });
                        return None;
                    }
                }
            }
            CallStage::Permitted(permit) => {
                if !self.begin_step(Step::Send, Flow::Call, index, Some(Endpoint::Service)) {
                    let stage = CallStage::Permitted(permit);
                    // A killed process has lost its calls.
                    return (self.nodes[index].boot == boot).then_some(FakeCall { number, stage });
                }
                let stage = self.send_call(index, number, permit)?;
                self.end_step();
                if self.nodes[index].boot != boot {
                    return None;
                }
                stage
            }
            running @ CallStage::Running(_) => running,
        };
        Some(FakeCall { number, stage })
    }

    fn send_call(&mut self, index: usize, number: u8, permit: SendPermit) -> Option<CallStage> {
        let nonce = permit.nonce();
        if !permit.is_valid(self.nodes[index].local_time(self.now)) {
            self.observed.record_refused_call(nonce);
            self.queue_entry(index, ClaimEntry::Void { nonce });
            self.end_step();
            return None;
        }
        let boot = self.nodes[index].boot;
        self.service.boots.push((nonce, boot));
        self.post(
            Endpoint::Node(index),
            Endpoint::Service,
            Message::Call(nonce, number),
        );
        Some(CallStage::Running(permit.send()))
    }

    fn queue_entry(&mut self, index: usize, entry: ClaimEntry) {
        let rejection_sender = None;
        self.nodes[index].backlog.push(PendingEntry {
            entry,
            rejection_sender,
        });
    }

    pub(super) fn handle_service_message(&mut self, from: Endpoint, message: Message) {
        let (Message::Call(nonce, number), Endpoint::Node(index)) = (message, from) else {
            return;
        };
        self.observed.record_call_run(number, nonce);
        let boot = self.service.boots.iter().find(|(own, _)| *own == nonce);
        let boot = boot.map_or(0, |(_, boot)| *boot);
        self.service
            .running
            .push((self.now + SERVICE_MS, index, boot, nonce));
    }

    pub(super) fn step_service(&mut self) {
        let now = self.now;
        let ended = self.service.running.extract_if(.., |(at, ..)| *at <= now);
        for (_, index, boot, nonce) in ended.collect::<Vec<_>>() {
            self.begin_step(Step::FirstByte, Flow::Call, index, Some(Endpoint::Service));
            if self.nodes[index].boot == boot {
                self.post(
                    Endpoint::Service,
                    Endpoint::Node(index),
                    Message::CallAnswer(nonce),
                );
            }
            self.end_step();
        }
    }

    pub(super) fn handle_call_answer(&mut self, index: usize, nonce: ClaimNonce) {
        let calls = &mut self.nodes[index].calls;
        let own = |call: &FakeCall| matches!(&call.stage, CallStage::Running(sent) if sent.nonce == nonce);
        let Some(position) = calls.iter().position(own) else {
            return;
        };
        calls.remove(position);
        if self.begin_step(Step::Settle, Flow::Call, index, Some(Endpoint::Log)) {
            let answer = StoredAnswer::new(200, None, String::from(nonce).as_bytes());
            self.queue_entry(index, ClaimEntry::Outcome { nonce, answer });
            self.write_claims(index);
            self.end_step();
        }
    }
}
