//! Snapshot tests of whole sessions: every message and decision except heartbeats, reads of the
//! log, renewals and probes.

use super::faults::Fault;
use super::log::{ACME_KEY, BLUE_KEY, Record};
use super::network::{Endpoint, Envelope, LinkFault, Message, PoolRequest};
use super::node::{node_name, roles};
use super::steps::{Flow, Step};
use super::world::{NODES, World};
use crate::lease::table::LeaseAction;
use crate::ledger::wire::LedgerKind;
use crate::pool::event::{AcquireKey, PoolAction, PoolAnswer, PoolEvent};

/// The start of a session. All roles have owners by then.
const START_MS: u64 = 4_000;

fn endpoint_name(endpoint: Endpoint) -> String {
    match endpoint {
        Endpoint::Node(index) => node_name(index).to_string(),
        Endpoint::Log => "log".to_owned(),
        Endpoint::Engine(engine) => format!("engine-{engine}"),
        Endpoint::Service => "service".to_owned(),
    }
}

fn key_name(key: &AcquireKey) -> String {
    format!("{}/{}", key.node, key.serial)
}

/// Formats a record as appended, or returns `None` for lease renewals.
fn record_text(record: &Record) -> Option<String> {
    let text = match record {
        Record::Lease(lease) if lease.action == LeaseAction::Renew {} => return None,
        Record::Lease(lease) => serde_json::to_string(lease),
        Record::Claims(batch) => serde_json::to_string(batch),
        Record::Config(record) => Ok(record.to_json()),
    };
    Some(text.expect("a record has only string keys"))
}

fn ledger_text(kind: &LedgerKind) -> String {
    match kind {
        LedgerKind::GrantRequest(request) => {
            let (needs, prefetch) = (&request.needs, request.prefetch);
            format!(
                "ask {} for {} needs {needs:?} wish {prefetch} fence {}",
                request.id, request.account, request.fence
            )
        }
        LedgerKind::GrantResponse(response) => format!(
            "answer {} granted {} short of {} wait {} ms pause {} ms fence {}",
            response.id,
            response.granted,
            response.short_of,
            response.wait_ms,
            response.takeover_pause_ms,
            response.fence
        ),
        LedgerKind::Report(report) => {
            let charges = report.charges.iter().map(|item| {
                let tokens: u64 = item.parts.iter().map(|part| part.tokens).sum();
                format!("{tokens} refund {}", item.refund)
            });
            let settlements = report.settlements.iter().map(|item| item.refund);
            format!(
                "report {} fence {}: charges {:?} settles {:?} returns {}",
                report.seq,
                report.fence,
                charges.collect::<Vec<_>>(),
                settlements.collect::<Vec<_>>(),
                report.returns.len()
            )
        }
        LedgerKind::ReportResponse(response) => {
            format!("reported {} fence {}", response.seq, response.fence)
        }
    }
}

fn pool_text(request: &PoolRequest) -> Option<String> {
    match request {
        PoolRequest::Acquire { request, .. } => {
            let (key, adapter) = (key_name(&request.key), &request.adapter);
            Some(format!("acquire {key} {adapter} for {}", request.account))
        }
        PoolRequest::Release { key, outcome } => {
            Some(format!("release {} {outcome:?}", key_name(key)))
        }
        PoolRequest::Report(report) if report.pins.is_empty() && report.waiting.is_empty() => None,
        PoolRequest::Report(report) => {
            let pins: Vec<u64> = report.pins.iter().map(|pin| pin.serial).collect();
            Some(format!(
                "reports pins {pins:?} waiting {:?}",
                report.waiting
            ))
        }
    }
}

fn order_text(action: &PoolAction) -> Option<String> {
    match action {
        PoolAction::Load { generation, .. } => Some(format!("load {generation}")),
        PoolAction::Unload { generation, .. } => Some(format!("unload {generation}")),
        PoolAction::Probe { .. } | PoolAction::Answer { .. } => None,
    }
}

/// Formats a message, or returns `None` for periodic ones.
fn message_text(message: &Message) -> Option<String> {
    Some(match message {
        Message::Append(record, _) => format!("append {}", record_text(record)?),
        Message::Ledger(kind) => ledger_text(kind),
        Message::ToPool(request) => pool_text(request)?,
        Message::PoolAnswer(
            key,
            PoolAnswer::Pinned {
                target,
                generation,
                fence,
                ..
            },
        ) => {
            format!(
                "{} is pinned to {target} {generation} fence {fence}",
                key_name(key)
            )
        }
        Message::PoolAnswer(key, PoolAnswer::Refused { reason, .. }) => {
            format!("{} is refused: {reason}", key_name(key))
        }
        Message::Order { action, fence, .. } => format!("{} fence {fence}", order_text(action)?),
        Message::OrderDone(PoolEvent::LoadEnded { generation, loaded }, _) => {
            format!("load {generation} ended: {loaded}")
        }
        Message::OrderDone(PoolEvent::UnloadEnded { generation, gone }, _) => {
            format!("unload {generation} ended: {gone}")
        }
        Message::Run {
            key, generation, ..
        } => format!("run {} on {generation}", key_name(key)),
        Message::Cancel(key) => format!("cancel {}", key_name(key)),
        Message::Part(part) => {
            let end = if part.is_last { ", the last" } else { "" };
            format!("part {} of {}{end}", part.number, key_name(&part.id))
        }
        Message::RunFailed(key, outcome) => format!("{} failed: {outcome:?}", key_name(key)),
        Message::Handover { role, fence, .. } => format!("hand over {role} fence {fence}"),
        Message::HandoverReply(role, accepted) => format!("accepts {role}: {accepted}"),
        Message::Call(nonce, number) => {
            format!("call of key {number} under {}", String::from(*nonce))
        }
        Message::CallAnswer(nonce) => format!("answer under {}", String::from(*nonce)),
        Message::Appended { .. }
        | Message::OrderDone(..)
        | Message::Page { .. }
        | Message::Heartbeat(..)
        | Message::HeartbeatAnswer(..) => return None,
    })
}

impl World {
    pub(super) fn record_message(&mut self, envelope: &Envelope) {
        if self.session.is_none() {
            return;
        }
        if let Some(text) = message_text(&envelope.message) {
            let (from, to) = (endpoint_name(envelope.from), endpoint_name(envelope.to));
            self.record_event(|| format!("{from} -> {to}: {text}"));
        }
    }

    /// Runs a world without faults up to the start of a session.
    fn for_session() -> Self {
        let mut world = Self::new(3, None);
        world.is_scripted = true;
        world.run_until(START_MS);
        world.session = Some(Vec::new());
        world
    }

    fn holder(&self, role: usize) -> usize {
        let is_holder =
            |index: &usize| self.nodes[*index].fence(&roles()[role], self.now).is_some();
        (0..NODES).find(is_holder).expect("the role has an owner")
    }

    /// A node that owns neither the ledger nor the pool.
    fn non_owner(&self) -> usize {
        let holders = [self.holder(0), self.holder(1)];
        (0..NODES)
            .find(|index| !holders.contains(index))
            .expect("at most two of the three nodes own the ledger and the pool")
    }

    fn session_text(&mut self) -> String {
        assert_eq!(self.observed.violations, [].into());
        self.session.take().unwrap_or_default().join("\n")
    }
}

/// Guards against a call that is sent before its claim is read back, and a repeat that runs again.
#[test]
fn session_of_a_call_with_a_claim() {
    let mut world = World::for_session();
    world.start_call(0, 1);
    world.run_until(START_MS + 1_000);
    world.start_call(1, 1);
    world.run_until(START_MS + 1_500);
    insta::assert_snapshot!(world.session_text());
}

/// Guards against a second claim, or a refusal, after the reply to the append was lost.
#[test]
fn session_of_a_claim_whose_reply_was_lost() {
    let mut world = World::for_session();
    let reply = (
        Endpoint::Log,
        Endpoint::Node(0),
        LinkFault::Drop,
        Fault::AppendReplyLost,
    );
    world.link_faults.push(reply);
    world.faulted_step = Some((Step::Claim, Flow::Call));
    world.start_call(0, 1);
    world.run_until(START_MS + 3_000);
    assert_eq!(world.effective_faults, [Fault::AppendReplyLost]);
    insta::assert_snapshot!(world.session_text());
}

/// Guards against an owner that still acts after a pause longer than its lease.
#[test]
fn session_of_a_lease_takeover_after_a_pause() {
    let mut world = World::for_session();
    let holder = world.holder(0);
    world.record_event(|| format!("{} is paused", node_name(holder)));
    world.nodes[holder].frozen_until = START_MS + 6_000;
    world.run_until(START_MS + 6_000);
    world.record_event(|| format!("{} resumes", node_name(holder)));
    world.run_until(START_MS + 9_000);
    insta::assert_snapshot!(world.session_text());
}

/// Guards against a successor that grants tokens again that the crashed owner had granted.
#[test]
fn session_of_a_ledger_takeover_after_a_crash() {
    let mut world = World::for_session();
    let (holder, entry) = (world.holder(0), world.non_owner());
    world.start_completion(entry, "acme", ACME_KEY, "shop", 500);
    world.run_until(START_MS + 2_000);
    world.record_event(|| format!("{} crashes", node_name(holder)));
    world.kill(holder, START_MS + 60_000);
    world.run_until(START_MS + 3_000);
    world.start_completion(entry, "acme", ACME_KEY, "shop", 100);
    world.run_until(START_MS + 14_000);
    insta::assert_snapshot!(world.session_text());
}

/// Guards against two accepted changes of one entry, and a node that restarts without the change.
#[test]
fn session_of_a_configuration_race() {
    let mut world = World::for_session();
    world.race_operators();
    world.run_until(START_MS + 1_000);
    let holder = world.holder(2);
    world.publish_snapshot(holder);
    world.run_until(START_MS + 2_000);
    let other = (holder + 1) % NODES;
    let first = world.log.config_first;
    world.record_event(|| format!("{} restarts; the log begins at {first}", node_name(other)));
    world.restart(other);
    world.run_until(START_MS + 4_000);
    let next = world.nodes[other].config.next_offset();
    world.record_event(|| format!("{} is at {next}", node_name(other)));
    insta::assert_snapshot!(world.session_text());
}

/// Guards against new work in a zone that is out of service, and a zone that gets no work after
/// its return.
#[test]
fn session_of_a_zone_that_leaves_and_returns() {
    let mut world = World::for_session();
    let entry = world.non_owner();
    for round in 0..5 {
        if round == 1 {
            world.record_event(|| "zone-0 is taken out of service".to_owned());
            world.take_zone_out(0);
            world.run_until(START_MS + 2_500);
        }
        world.start_completion(entry, "blue", BLUE_KEY, "news", 60);
        world.start_completion(entry, "blue", BLUE_KEY, "mail", 60);
        world.run_until(START_MS + 2_000 * (round + 1));
    }
    insta::assert_snapshot!(world.session_text());
}
