use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::attempt::{AttemptStep, ClaimAttempt, ClaimRefusal, SendPermit, check_existing_claim};
use super::index::ClaimIndex;
use super::record::{
    CallDigest, ClaimBatch, ClaimEntry, ClaimKey, ClaimNonce, StoredAnswer, StoredBody,
};
use super::tests::{batch, claim_entry, key, request};
use crate::clock::Timestamp;
use crate::ids::LogOffset;

const NODES: usize = 3;
/// The age at which the fake log drops records. It is far above the send time limit and far below
/// the deduplication window.
const RETENTION_MS: u64 = 20_000;

/// Whether and when the append of a claim is stored.
#[derive(Debug, Clone, Copy)]
enum AppendDelivery {
    /// Also covers a lost reply, because an attempt detects its claim only by reading the log.
    Stored,
    /// A later [`Step::Deliver`] stores the record.
    Delayed,
    Lost,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Call {
        node: usize,
        key: u8,
        request: u8,
        delivery: AppendDelivery,
    },
    Deliver,
    Read {
        node: usize,
        records: usize,
    },
    Decide {
        node: usize,
    },
    Send {
        node: usize,
    },
    /// The service answers the oldest running call.
    Answer,
    /// The node appends its unwritten entries.
    Write {
        node: usize,
        is_reply_lost: bool,
    },
    /// Freezes a running node or resumes a frozen one.
    Freeze {
        node: usize,
    },
    Kill {
        node: usize,
    },
    /// Starts or ends an outage of the log.
    Outage,
    Advance {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let delivery = prop_oneof![
        4 => Just(AppendDelivery::Stored),
        2 => Just(AppendDelivery::Delayed),
        1 => Just(AppendDelivery::Lost),
    ];
    let call = (node.clone(), 0..2_u8, 0..8_u8, delivery);
    let advance = prop_oneof![5 => 1..500_u64, 2 => 500..7_000_u64, 1 => 7_000..25_000_u64];
    prop_oneof![
        6 => call.prop_map(|(node, key, request, delivery)| Step::Call {
            node, key, request: u8::from(request == 0), delivery,
        }),
        2 => Just(Step::Deliver),
        8 => (node.clone(), 1..6_usize).prop_map(|(node, records)| Step::Read { node, records }),
        6 => node.clone().prop_map(|node| Step::Decide { node }),
        6 => node.clone().prop_map(|node| Step::Send { node }),
        3 => Just(Step::Answer),
        5 => (node.clone(), any::<bool>())
            .prop_map(|(node, is_reply_lost)| Step::Write { node, is_reply_lost }),
        2 => node.clone().prop_map(|node| Step::Freeze { node }),
        1 => node.prop_map(|node| Step::Kill { node }),
        1 => Just(Step::Outage),
        4 => advance.prop_map(|millis| Step::Advance { millis }),
    ]
}

/// The log that all nodes read and append to.
#[derive(Debug, Default)]
struct FakeLog {
    records: VecDeque<(LogOffset, u64, ClaimBatch)>,
    next: u64,
    is_down: bool,
}

impl FakeLog {
    fn append(&mut self, now_ms: u64, batch: ClaimBatch) {
        let offset = LogOffset::from(self.next);
        self.records.push_back((offset, now_ms, batch));
        self.next += 1;
    }

    fn trim(&mut self, now_ms: u64) {
        while let Some((_, at_ms, _)) = self.records.front()
            && at_ms + RETENTION_MS < now_ms
        {
            self.records.pop_front();
        }
    }

    fn first(&self) -> LogOffset {
        let first = self.records.front().map(|record| record.0);
        first.unwrap_or(LogOffset::from(self.next))
    }

    fn holds_claim(&self, nonce: ClaimNonce) -> bool {
        let mut entries = self.records.iter().flat_map(|record| &record.2.entries);
        entries.any(|entry| matches!(entry, ClaimEntry::Claim { nonce: own, .. } if *own == nonce))
    }
}

#[derive(Debug, Default)]
struct FakeNode {
    index: ClaimIndex,
    attempts: Vec<(ClaimKey, ClaimAttempt)>,
    permits: Vec<(ClaimKey, SendPermit)>,
    unwritten: Vec<ClaimEntry>,
    is_frozen: bool,
}

/// Simulates several nodes, their callers and the service, and records what each observed.
#[derive(Debug, Default)]
struct ClaimSimulation {
    now_ms: u64,
    log: FakeLog,
    nodes: Vec<FakeNode>,
    next_nonce: u128,
    delayed: VecDeque<ClaimBatch>,
    /// The calls that the service is running: node, key and nonce.
    running: VecDeque<(usize, ClaimKey, ClaimNonce)>,
    /// The claims whose calls were sent to the service, in order.
    sent: Vec<(ClaimKey, ClaimNonce)>,
    /// The claims whose callers were told that the call did not run.
    refused: BTreeSet<ClaimNonce>,
    /// The offset of each claim's outcome at its first replay.
    replayed: BTreeMap<ClaimNonce, LogOffset>,
}

impl ClaimSimulation {
    fn new() -> Self {
        let nodes = (0..NODES).map(|_| FakeNode::default()).collect();
        Self {
            nodes,
            now_ms: 1_000,
            ..Self::default()
        }
    }

    /// The node's own clock, which differs from those of the other nodes.
    fn clock(&self, node: usize) -> Timestamp {
        Timestamp::from_millis(self.now_ms + node as u64 * 1_000_000)
    }

    fn apply(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Call {
                node,
                key: name,
                request: body,
                delivery,
            } => return self.call(node, key(name), request(body), delivery),
            Step::Deliver => {
                if let Some(batch) = self.delayed.pop_front() {
                    self.log.append(self.now_ms, batch);
                }
            }
            Step::Read { node, records } => self.read(node, records),
            Step::Decide { node } => return self.decide(node),
            Step::Send { node } => return self.send(node),
            Step::Answer => self.answer(),
            Step::Write {
                node,
                is_reply_lost,
            } => self.write(node, is_reply_lost),
            Step::Freeze { node } => self.nodes[node].is_frozen ^= true,
            Step::Kill { node } => self.nodes[node] = FakeNode::default(),
            Step::Outage => self.log.is_down ^= true,
            Step::Advance { millis } => {
                self.now_ms += millis;
                self.log.trim(self.now_ms);
            }
        }
        Ok(())
    }

    fn call(
        &mut self,
        node: usize,
        key: ClaimKey,
        request: CallDigest,
        delivery: AppendDelivery,
    ) -> Result<(), String> {
        if self.nodes[node].is_frozen {
            return Ok(());
        }
        if let Some(refusal) = check_existing_claim(&self.nodes[node].index, &key, &request) {
            return self.check_repeat(key, refusal);
        }
        let nonce = ClaimNonce::from_number(self.next_nonce);
        self.next_nonce += 1;
        if self.log.is_down {
            self.refused.insert(nonce);
            return Ok(());
        }
        let attempt = ClaimAttempt::new(key, request, nonce, self.clock(node));
        self.nodes[node].attempts.push((key, attempt));
        let batch = batch(vec![claim_entry(key, request, nonce)]);
        match delivery {
            AppendDelivery::Stored => self.log.append(self.now_ms, batch),
            AppendDelivery::Delayed => self.delayed.push_back(batch),
            AppendDelivery::Lost => {}
        }
        Ok(())
    }

    fn read(&mut self, node: usize, count: usize) {
        if self.log.is_down || self.nodes[node].is_frozen {
            return;
        }
        let index = &mut self.nodes[node].index;
        let from = index.next_offset();
        let page = self.log.records.iter().filter(|record| record.0 >= from);
        for (offset, at_ms, batch) in page.take(count) {
            index.apply(*offset, *at_ms, batch);
        }
        index.expire(self.log.first(), self.now_ms);
    }

    fn decide(&mut self, node: usize) -> Result<(), String> {
        if self.nodes[node].is_frozen {
            return Ok(());
        }
        let now = self.clock(node);
        for (key, attempt) in std::mem::take(&mut self.nodes[node].attempts) {
            let nonce = attempt.nonce();
            let fake = &mut self.nodes[node];
            match attempt.decide(&fake.index, now) {
                AttemptStep::Wait(attempt) => fake.attempts.push((key, attempt)),
                AttemptStep::Send(permit) => fake.permits.push((key, permit)),
                AttemptStep::Refuse(refusal) => {
                    fake.unwritten.push(ClaimEntry::Void { nonce });
                    if matches!(refusal, ClaimRefusal::NotClaimed | ClaimRefusal::KeyReused) {
                        self.refuse(nonce)?;
                    }
                    self.check_repeat(key, refusal)?;
                }
            }
        }
        Ok(())
    }

    fn refuse(&mut self, nonce: ClaimNonce) -> Result<(), String> {
        self.refused.insert(nonce);
        if self.sent.iter().any(|(_, sent)| *sent == nonce) {
            return Err(format!(
                "the caller of {nonce:?} was told that its call did not run, but the call was sent"
            ));
        }
        Ok(())
    }

    fn send(&mut self, node: usize) -> Result<(), String> {
        if self.nodes[node].is_frozen || self.nodes[node].permits.is_empty() {
            return Ok(());
        }
        let now = self.clock(node);
        let (key, permit) = self.nodes[node].permits.remove(0);
        let nonce = permit.nonce();
        if !permit.is_valid(now) {
            self.nodes[node].unwritten.push(ClaimEntry::Void { nonce });
            return self.refuse(nonce);
        }
        let sent = permit.send();
        self.running.push_back((node, key, sent.nonce));
        self.check_send(key, nonce)?;
        self.sent.push((key, nonce));
        Ok(())
    }

    fn check_send(&self, key: ClaimKey, nonce: ClaimNonce) -> Result<(), String> {
        if !self.log.holds_claim(nonce) {
            return Err(format!(
                "{nonce:?} was sent, but its claim is not in the log"
            ));
        }
        if self.refused.contains(&nonce) {
            return Err(format!(
                "{nonce:?} was sent after its caller was told that the call did not run"
            ));
        }
        let of_key = self.sent.iter().filter(|(sent_key, _)| *sent_key == key);
        match of_key
            .map(|(_, sent)| *sent)
            .find(|sent| self.log.holds_claim(*sent))
        {
            Some(earlier) => Err(format!(
                "{nonce:?} was sent although {earlier:?} was sent for the same key"
            )),
            None => Ok(()),
        }
    }

    fn answer(&mut self) {
        if let Some((node, _, nonce)) = self.running.pop_front() {
            let body = StoredBody::Text(format!("{nonce:?}"));
            let answer = StoredAnswer {
                status: 200,
                content_type: None,
                body,
            };
            let entry = ClaimEntry::Outcome { nonce, answer };
            self.nodes[node].unwritten.push(entry);
        }
    }

    /// Appends the node's unwritten entries. After a lost reply the node appends them again later.
    fn write(&mut self, node: usize, is_reply_lost: bool) {
        let fake = &mut self.nodes[node];
        if self.log.is_down || fake.is_frozen || fake.unwritten.is_empty() {
            return;
        }
        let entries = fake.unwritten.clone();
        if !is_reply_lost {
            fake.unwritten.clear();
        }
        self.log.append(self.now_ms, batch(entries));
    }

    /// Checks that a replayed answer belongs to a call that ran, and is the same for each replay.
    fn check_repeat(&mut self, key: ClaimKey, refusal: ClaimRefusal) -> Result<(), String> {
        let ClaimRefusal::Replay(place) = refusal else {
            return Ok(());
        };
        if !self.sent.contains(&(key, place.nonce)) {
            return Err(format!("{:?} was replayed, but never sent", place.nonce));
        }
        let first = *self.replayed.entry(place.nonce).or_insert(place.offset);
        if first != place.offset {
            return Err(format!("{:?} has a second outcome", place.nonce));
        }
        let record = self
            .log
            .records
            .iter()
            .find(|record| record.0 == place.offset);
        let Some((_, _, batch)) = record else {
            return Ok(());
        };
        let is_outcome = |entry: &ClaimEntry| matches!(entry, ClaimEntry::Outcome { nonce, .. } if *nonce == place.nonce);
        if batch.entries.iter().any(is_outcome) {
            return Ok(());
        }
        Err(format!(
            "{:?} has no outcome at the replayed offset",
            place.nonce
        ))
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a call that runs twice, a call that runs after its caller was told that it
    /// did not, and replays that differ. Nodes crash, freeze and race, and the log loses replies,
    /// delays appends and has outages.
    #[test]
    fn each_key_runs_at_most_once(steps in prop::collection::vec(step(), 1..150)) {
        let mut simulation = ClaimSimulation::new();
        for (number, step) in steps.iter().enumerate() {
            let checked = simulation.apply(*step);
            prop_assert!(checked.is_ok(), "step {number} {step:?}: {}", checked.unwrap_err());
        }
    }
}
