//! Measures the time, memory and message bytes of each role by size, for `benches/slopes.rs`.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use prost::Message;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::claims::index::ClaimIndex;
use crate::claims::record::{CallDigest, ClaimBatch, ClaimEntry, ClaimKey, ClaimNonce};
use crate::clock::Timestamp;
use crate::config::model::RateEntry;
use crate::ids::{
    AdapterVersion, BootId, FencingToken, LogOffset, NodeName, TargetName, TokenCount, TokenRate,
};
use crate::lease::RoleName;
use crate::lease::table::{LeaseAction, LeaseParty, LeaseRecord, LeaseTable};
use crate::ledger::PartitionOwner;
use crate::ledger::wire::{GrantRequest, LedgerKind, LedgerMessage};
use crate::membership::table::{LocalNode, PeerTable};
use crate::membership::wire::{Heartbeat, MembershipKind, MembershipMessage};
use crate::peer::{PeerBody, PeerFrame};
use crate::pool::coordinator::PoolCoordinator;
use crate::pool::event::{
    AcquireKey, AcquireRequest, ListedGeneration, PoolAction, PoolAnswer, PoolConfig, PoolEvent,
    ReleaseOutcome, TargetReport, TargetSpec,
};
use crate::pool::wire::{
    AcquireMessage, PinnedAnswer, PoolKind, ReleaseItem, ReleaseMessage, SessionTag,
};

/// The number of operations over which a measurement averages.
const OPERATIONS: usize = 2_000;
/// The length prefix of a peer frame.
const FRAME_PREFIX_BYTES: usize = 4;

/// The cost of one role at one size.
#[derive(Debug)]
pub struct RoleCost {
    /// The mean time of one operation in nanoseconds.
    pub nanos_per_operation: f64,
    /// The encoded size of one operation's messages, as written to a socket or the log.
    pub message_bytes: usize,
    /// Keeps the role's state allocated while the caller measures the process's memory.
    pub state: Box<dyn std::fmt::Debug>,
}

fn mean_nanos(start: Instant, operations: usize) -> f64 {
    start.elapsed().as_nanos() as f64 / operations as f64
}

fn frame_bytes(body: PeerBody) -> usize {
    let call = 1_000_000;
    let frame = PeerFrame {
        call,
        reply: false,
        body: Some(body),
    };
    frame.encoded_len() + FRAME_PREFIX_BYTES
}

fn node_name(index: usize) -> NodeName {
    format!("entry-{index}").parse().expect("the name is valid")
}

fn party(index: usize) -> LeaseParty {
    LeaseParty {
        node: node_name(index),
        boot: BootId::from(index as u64),
    }
}

fn lease_record(index: usize, action: LeaseAction) -> LeaseRecord {
    LeaseRecord {
        nonce: u64::MAX - index as u64,
        party: party(index),
        action,
    }
}

/// Measures how long it takes to apply one lease renewal with `count` holders of one lease each.
pub fn lease_cost(count: usize) -> RoleCost {
    let mut table = LeaseTable::new();
    let mut offset = LogOffset::default();
    for index in 0..count {
        let role = RoleName::Ledger(u32::try_from(index).unwrap_or(u32::MAX));
        let names = vec![role];
        let until_ms = u64::MAX;
        let record = lease_record(index, LeaseAction::Claim { names, until_ms });
        table.apply(offset, 0, &record);
        offset = offset.next();
    }
    let renewal = lease_record(0, LeaseAction::Renew {});
    let start = Instant::now();
    let operations = (OPERATIONS / count.max(1)).max(20);
    for _ in 0..operations {
        black_box(table.apply(offset, 0, &renewal));
        offset = offset.next();
    }
    let nanos_per_operation = mean_nanos(start, operations);
    let message_bytes = serde_json::to_string(&renewal).map_or(0, |text| text.len());
    RoleCost {
        nanos_per_operation,
        message_bytes,
        state: Box::new(table),
    }
}

/// Measures how long it takes to answer one heartbeat with `count` peers.
pub fn membership_cost(count: usize) -> RoleCost {
    let local_node = |index: usize| LocalNode {
        node: node_name(index),
        boot: BootId::from(index as u64 + (1 << 60)),
        address: Some(([10, 0, 0, 1], 8081).into()),
        started: Timestamp::default(),
        leaving: false,
        applied: LogOffset::from(1_000_000),
    };
    let claim_age = Duration::from_secs(30);
    let now = Timestamp::from_millis(100_000);
    let mut table = PeerTable::new(local_node(0), claim_age);
    let heartbeats =
        (1..=count).map(|index| PeerTable::new(local_node(index), claim_age).heartbeat(now));
    let heartbeats: Vec<_> = heartbeats.collect();
    for heartbeat in &heartbeats {
        table.answer_heartbeat(now, heartbeat);
    }
    let start = Instant::now();
    for index in 0..OPERATIONS {
        black_box(table.answer_heartbeat(now, &heartbeats[index % count]));
    }
    let nanos_per_operation = mean_nanos(start, OPERATIONS);
    let mut answer = table.answer_heartbeat(now, &heartbeats[0]);
    answer.sender = answer.sender.map(Heartbeat::shortened);
    let message = |kind| PeerBody::Membership(MembershipMessage { kind: Some(kind) });
    let heartbeat_bytes = frame_bytes(message(MembershipKind::Heartbeat(
        heartbeats[0].clone().shortened(),
    )));
    let message_bytes = heartbeat_bytes + frame_bytes(message(MembershipKind::Answer(answer)));
    RoleCost {
        nanos_per_operation,
        message_bytes,
        state: Box::new(table),
    }
}

/// Measures how long it takes to grant tokens to one account with `count` accounts in the
/// partition.
pub fn ledger_cost(count: usize) -> RoleCost {
    let rate = RateEntry {
        tokens_per_second: TokenRate::per_second(1_000_000),
        burst: TokenCount::new(1_000_000_000),
    };
    let now = Timestamp::from_millis(100_000);
    let mut owner = PartitionOwner::after_claim(FencingToken::from(7), Timestamp::default());
    let request = |index: usize, id: u64| GrantRequest {
        account: format!("account-{}", index % count),
        boot: 1 << 60,
        id,
        needs: vec![300],
        prefetch: 0,
        fence: 7,
    };
    for index in 0..count {
        owner.grant(now, rate, &request(index, index as u64));
    }
    let start = Instant::now();
    for index in 0..OPERATIONS {
        let id = (count + index) as u64;
        black_box(owner.grant(now, rate, &request(index, id)));
    }
    let nanos_per_operation = mean_nanos(start, OPERATIONS);
    let last_request = request(0, 1_000_000);
    let response = owner.grant(now, rate, &last_request);
    let message = |kind| PeerBody::Ledger(LedgerMessage { kind: Some(kind) });
    let response_bytes = response.map_or(0, |response| {
        frame_bytes(message(LedgerKind::GrantResponse(response)))
    });
    RoleCost {
        nanos_per_operation,
        message_bytes: response_bytes
            + frame_bytes(message(LedgerKind::GrantRequest(last_request))),
        state: Box::new(owner),
    }
}

/// Measures how long it takes to apply one batch of one claim, up to `count` claims in the window.
pub fn claims_cost(count: usize) -> RoleCost {
    let claim = |index: usize| ClaimBatch {
        entries: vec![ClaimEntry::Claim {
            key: ClaimKey::from_parts("account", "bookings", &index.to_string()),
            request: CallDigest::from_call("POST", "/bookings", &index.to_be_bytes()),
            nonce: ClaimNonce::random(),
            node: node_name(index % 8),
            boot: BootId::from(1 << 60),
        }],
    };
    let mut index = ClaimIndex::default();
    let mut offset = LogOffset::default();
    let batches: Vec<_> = (0..count).map(claim).collect();
    let message_bytes = serde_json::to_string(&batches[0]).map_or(0, |text| text.len());
    let start = Instant::now();
    for batch in &batches {
        index.apply(offset, 0, batch);
        offset = offset.next();
    }
    let nanos_per_operation = mean_nanos(start, count);
    RoleCost {
        nanos_per_operation,
        message_bytes,
        state: Box::new(index),
    }
}

fn target(index: usize) -> TargetName {
    format!("engine-{index}")
        .parse()
        .expect("the name is valid")
}

fn adapter(index: usize) -> AdapterVersion {
    format!("shop-{index}@v1")
        .parse()
        .expect("the name is valid")
}

/// The engine-side name of an adapter that was loaded before the measurement.
fn generation(index: usize) -> String {
    format!("{}#7-{index}", adapter(index))
}

/// Creates a coordinator of `count` targets with 8 loaded adapters each.
fn warm_coordinator(count: usize, now: Timestamp) -> PoolCoordinator {
    let rng = StdRng::seed_from_u64(1);
    let mut coordinator = PoolCoordinator::new(FencingToken::from(9), Timestamp::default(), rng);
    let spec = TargetSpec {
        zone: "a".parse().expect("the name is valid"),
        in_service: true,
        adapter_slots: 8,
        request_limit: 16,
    };
    let targets: BTreeMap<_, _> = (0..count).map(|i| (target(i), spec.clone())).collect();
    let config = PoolConfig {
        targets,
        loads_in_flight: 8,
        loads_per_second: 4.0,
    };
    coordinator.handle(Timestamp::default(), PoolEvent::Configured(config));
    for index in 0..count {
        let listed = (0..8).map(|slot| ListedGeneration {
            name: generation(index * 8 + slot),
            adapter: Some(adapter(index * 8 + slot)),
        });
        let report = Some(TargetReport {
            asked_at: Timestamp::from_millis(1),
            boot: 1,
            cold: false,
            generations: listed.collect(),
        });
        let target = target(index);
        coordinator.handle(now, PoolEvent::Probed { target, report });
    }
    coordinator
}

fn acquire_request(serial: u64, adapter: AdapterVersion, now: Timestamp) -> AcquireRequest {
    AcquireRequest {
        key: AcquireKey {
            node: node_name(3),
            boot: BootId::from(1 << 60),
            serial,
        },
        account: "account-1".parse().expect("the name is valid"),
        adapter,
        tokens: TokenCount::new(300),
        prefix: Some(serial),
        suspect: false,
        avoid: None,
        deadline: now + Duration::from_secs(10),
    }
}

/// Measures how long it takes to acquire and release one slot with `count` targets of 8 adapters
/// each.
pub fn pool_cost(count: usize) -> RoleCost {
    let now = Timestamp::from_millis(60_000);
    let mut coordinator = warm_coordinator(count, now);
    let start = Instant::now();
    let mut pinned = 0;
    for serial in 0..OPERATIONS as u64 {
        let adapter = adapter(serial as usize % (count * 8));
        let request = acquire_request(serial, adapter, now);
        let key = request.key.clone();
        let actions = coordinator.handle(now, PoolEvent::Acquire(request));
        pinned += actions.iter().filter(|action| is_pinned(action)).count();
        let outcome = ReleaseOutcome::Completed {
            tokens: TokenCount::new(300),
            first_token: Some(Duration::from_millis(50)),
        };
        black_box(coordinator.handle(now, PoolEvent::Release { key, outcome }));
    }
    let nanos_per_operation = mean_nanos(start, OPERATIONS);
    assert_eq!(pinned, OPERATIONS, "each request is pinned without waiting");
    RoleCost {
        nanos_per_operation,
        message_bytes: pool_bytes(),
        state: Box::new(coordinator),
    }
}

fn is_pinned(action: &PoolAction) -> bool {
    let PoolAction::Answer { answer, .. } = action else {
        return false;
    };
    matches!(answer, PoolAnswer::Pinned { .. })
}

/// The encoded size of an acquire, a release and their answers, in the short form that refers to
/// nodes, accounts, adapters and targets by assigned ids. The ids are those of a large deployment,
/// because larger ids take more bytes.
fn pool_bytes() -> usize {
    let session = Some(SessionTag {
        fence: 1_000_000,
        id: 2_000,
        ..SessionTag::default()
    });
    let acquire = AcquireMessage {
        session: session.clone(),
        adapter: 16_000,
        account: 200,
        tokens: 300,
        wait_ms: 10_000,
        serial: 1_000_000,
        prefix: Some(1 << 30),
        known_targets: 1_000,
        ..AcquireMessage::default()
    };
    let answer = PinnedAnswer {
        target: 1_000,
        sequence: 100_000,
        ..PinnedAnswer::default()
    };
    let item = ReleaseItem {
        serial: 1_000_000,
        outcome: 1,
        tokens: 300,
        first_token_ms: Some(150),
    };
    let release = ReleaseMessage {
        session,
        items: vec![item],
    };
    let kinds = [
        PoolKind::Acquire(acquire),
        PoolKind::Pinned(answer),
        PoolKind::Release(release),
        PoolKind::Received(Default::default()),
    ];
    kinds
        .into_iter()
        .map(|kind| frame_bytes(PeerBody::Pool(kind.into())))
        .sum()
}
