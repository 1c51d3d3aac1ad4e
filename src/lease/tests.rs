use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use bytes::Bytes;

use super::holder::LeaseHolder;
use super::role::{RoleName, RoleOrigin, RoleOwner, RoleState};
use super::service::LeaseService;
use super::state::LeaseState;
use super::table::{LeaseAction, LeaseParty, LeaseRecord, LeaseStatus, LeaseTable};
use super::wire::{HandoverReply, HandoverRequest, KnownLease, LeaseKind, LeaseMessage};
use crate::clock::{Clock, Timestamp};
use crate::entry::response_memory::ResponseMemory;
use crate::ids::{BootId, FencingToken, LogOffset};
use crate::membership::table::LocalNode;
use crate::membership::wire::Heartbeat;
use crate::membership::{MembershipService, PeerTable};
use crate::platform_client::{LogClient, LogRecord, VmListClient};
use crate::settings::NodeSettings;

const ROLE: RoleName = RoleName::Ledger(3);

fn party(name: &str, boot: u64) -> LeaseParty {
    LeaseParty {
        node: name.parse().unwrap(),
        boot: BootId::from(boot),
    }
}

fn claim(nonce: u64, party: &LeaseParty) -> LeaseRecord {
    LeaseRecord {
        nonce,
        party: party.clone(),
        action: LeaseAction::Claim {
            names: vec![ROLE],
            until_ms: u64::MAX,
        },
    }
}

fn renew(nonce: u64, party: &LeaseParty) -> LeaseRecord {
    let (party, action) = (party.clone(), LeaseAction::Renew {});
    LeaseRecord {
        nonce,
        party,
        action,
    }
}

fn release(nonce: u64, party: &LeaseParty, successor: Option<&str>) -> LeaseRecord {
    let successor = successor.map(|name| name.parse().unwrap());
    let names = vec![ROLE];
    LeaseRecord {
        nonce,
        party: party.clone(),
        action: LeaseAction::Release { names, successor },
    }
}

/// Applies the records, each given with its log time, at offsets from 0.
fn table_of(records: &[(u64, LeaseRecord)]) -> LeaseTable {
    let mut table = LeaseTable::new();
    for (offset, (at_ms, record)) in (0..).zip(records) {
        table.apply(LogOffset::from(offset), *at_ms, record);
    }
    table
}

fn holder_of(table: &LeaseTable) -> Option<(&LeaseParty, u64)> {
    let entry = table.entry(&ROLE)?;
    Some((&entry.party, entry.fence.into()))
}

/// Guards against two holders: only the first claim in offset order takes effect.
#[test]
fn a_claim_of_a_held_role_has_no_effect() {
    let (a, b) = (party("a", 1), party("b", 2));
    let table = table_of(&[(1000, claim(1, &a)), (5000, claim(2, &b))]);
    assert_eq!(holder_of(&table), Some((&a, 0)));
}

/// Guards against a role that can't be claimed after its holder crashed.
#[test]
fn a_claim_after_the_expiry_wins_with_a_higher_fencing_token() {
    let (a, b) = (party("a", 1), party("b", 2));
    let table = table_of(&[(1000, claim(1, &a)), (5001, claim(2, &b))]);
    assert_eq!(holder_of(&table), Some((&b, 1)));
}

/// Guards against a late renewal that revives an expired lease, which another node may claim.
#[test]
fn a_renewal_after_the_expiry_does_not_revive_the_lease() {
    let a = party("a", 1);
    let table = table_of(&[(1000, claim(1, &a)), (5001, renew(2, &a))]);
    assert_eq!(table.status(&ROLE, 5001), LeaseStatus::Expired);
}

/// Guards against a restarted node that renews the leases of its previous process.
#[test]
fn another_boot_of_the_same_node_renews_nothing() {
    let (old, new) = (party("a", 1), party("a", 2));
    let table = table_of(&[(1000, claim(1, &old)), (4000, renew(2, &new))]);
    assert_eq!(table.status(&ROLE, 5001), LeaseStatus::Expired);
}

/// Guards against a delayed claim that takes effect after its sender promised a peer not to claim.
#[test]
fn a_claim_that_the_log_stores_after_its_limit_is_void() {
    let mut record = claim(1, &party("a", 1));
    if let LeaseAction::Claim { until_ms, .. } = &mut record.action {
        *until_ms = 2000;
    }
    let table = table_of(&[(2001, record)]);
    assert_eq!(table.status(&ROLE, 2001), LeaseStatus::NeverClaimed);
}

/// Guards against leases that end early because the log's clock stepped back and then forward.
#[test]
fn a_step_back_of_the_logs_clock_shortens_no_lease() {
    let (a, b) = (party("a", 1), party("b", 2));
    let table = table_of(&[
        (9000, claim(1, &a)),
        (1000, renew(2, &a)),
        (12_900, claim(3, &b)),
    ]);
    assert_eq!(holder_of(&table), Some((&a, 0)));
}

/// Guards against a release by a process that no longer holds the lease.
#[test]
fn only_the_holder_releases() {
    let (a, b) = (party("a", 1), party("b", 2));
    let table = table_of(&[(1000, claim(1, &a)), (2000, release(2, &b, None))]);
    assert_eq!(table.status(&ROLE, 2000), LeaseStatus::Held);
}

/// Guards against readers that build different tables after old records have expired.
#[test]
fn a_table_from_a_snapshot_matches_the_full_table() {
    let (a, b) = (party("a", 1), party("b", 2));
    let mut full = table_of(&[(1000, claim(1, &a)), (2000, renew(2, &a))]);
    let text = serde_json::to_string(&full.snapshot()).unwrap();
    let mut late = LeaseTable::from_snapshot(&serde_json::from_str(&text).unwrap()).unwrap();
    for (offset, at_ms, record) in [(2, 5500, claim(3, &b)), (3, 6100, claim(4, &b))] {
        full.apply(LogOffset::from(offset), at_ms, &record);
        late.apply(LogOffset::from(offset), at_ms, &record);
    }
    assert_eq!(full.snapshot(), late.snapshot());
    assert_eq!(holder_of(&late), Some((&b, 3)));
}

/// Guards against a change of the record format, which other versions and operators read.
#[test]
fn records_are_flat_json() {
    let text = serde_json::to_string(&release(7, &party("a", 1), Some("b"))).unwrap();
    let expected =
        r#"{"nonce":7,"node":"a","boot":1,"release":{"names":["ledger/3"],"successor":"b"}}"#;
    assert_eq!(text, expected);
    let renewal = r#"{"nonce":8,"node":"a","boot":1,"renew":{}}"#;
    let record: LeaseRecord = serde_json::from_str(renewal).unwrap();
    assert_eq!(record, renew(8, &party("a", 1)));
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Guards against a holder that computes the end of its lease from the reply, not from the send.
#[test]
fn a_lease_ends_by_the_start_of_its_append_minus_the_margin() {
    let a = party("a", 1);
    let mut table = LeaseTable::new();
    let mut holder = LeaseHolder::new(a.clone());
    holder.record_append_start(1, at(100));
    let applied = table.apply(LogOffset::from(9), 50_000, &claim(1, &a));
    holder.update(&applied.unwrap());
    let fence = |now| holder.fence_if_held(&ROLE, at(now), |_| false);
    assert_eq!(fence(3599), Some(FencingToken::from(9)));
    assert_eq!(fence(3600), None);
}

/// Guards against a holder that keeps deciding after it has read another node's claim.
#[test]
fn a_holder_stops_when_it_reads_a_later_claim() {
    let (a, b) = (party("a", 1), party("b", 2));
    let mut table = LeaseTable::new();
    let mut holder = LeaseHolder::new(a.clone());
    holder.record_append_start(1, at(0));
    holder.update(
        &table
            .apply(LogOffset::from(0), 1000, &claim(1, &a))
            .unwrap(),
    );
    holder.update(
        &table
            .apply(LogOffset::from(1), 5001, &claim(2, &b))
            .unwrap(),
    );
    assert_eq!(holder.fence_if_held(&ROLE, at(1), |_| true), None);
}

/// Guards against an owner that changes its state after sending it to the next owner.
#[test]
fn a_relinquished_role_stays_unusable() {
    let a = party("a", 1);
    let mut table = LeaseTable::new();
    let mut holder = LeaseHolder::new(a.clone());
    holder.record_append_start(1, at(0));
    let applied = table.apply(LogOffset::from(0), 1000, &claim(1, &a));
    holder.update(&applied.unwrap());
    assert_eq!(holder.relinquish_all(), vec![(ROLE, FencingToken::from(0))]);
    assert_eq!(holder.fence_if_held(&ROLE, at(1), |_| true), None);
    holder.record_append_start(2, at(1));
    let applied = table.apply(LogOffset::from(1), 1001, &renew(2, &a));
    holder.update(&applied.unwrap());
    assert_eq!(holder.fence_if_held(&ROLE, at(2), |_| true), None);
}

/// The origin for node "b" when it claims after `records`, with a state that the holder with
/// fencing token 0 handed over.
fn origin_after(records: &[(u64, LeaseRecord)]) -> RoleOrigin {
    let b = party("b", 2);
    let mut state = LeaseState::new(b.clone());
    state.store_handover(ROLE, FencingToken::from(0), Bytes::from_static(b"state"));
    let mut offset = LogOffset::from(0);
    for (at_ms, record) in records {
        let applied = state.apply(offset, *at_ms, record).unwrap();
        state.update_held_leases(&applied);
        offset = offset.next();
    }
    let applied = state.apply(offset, 9000, &claim(99, &b)).unwrap();
    let origin = state.origin(&applied, &applied.acquired[0]);
    origin.unwrap()
}

/// Guards against a successor that uses a handed-over state although a third node has owned the
/// role since.
#[test]
fn a_handed_over_state_is_used_only_without_another_owner_in_between() {
    let (a, c) = (party("a", 1), party("c", 3));
    let handed_over = [(1000, claim(1, &a)), (2000, release(2, &a, Some("b")))];
    let state = Bytes::from_static(b"state");
    assert_eq!(origin_after(&handed_over), RoleOrigin::HandedOver(state));
    let crashed = [(1000, claim(1, &a))];
    assert_eq!(origin_after(&crashed), RoleOrigin::Lost);
    let [first, second] = handed_over;
    let third = [
        first,
        second,
        (2001, claim(3, &c)),
        (2002, release(4, &c, None)),
    ];
    assert_eq!(origin_after(&third), RoleOrigin::Lost);
}

/// Guards against a node that discards its own state when it claims an expired role again.
#[test]
fn a_node_that_claims_its_own_expired_role_keeps_the_state() {
    let expired = [(1000, claim(1, &party("b", 2)))];
    assert_eq!(origin_after(&expired), RoleOrigin::Kept);
    let restarted = [(1000, claim(1, &party("b", 1)))];
    assert_eq!(origin_after(&restarted), RoleOrigin::Lost);
}

/// Guards against a node that can't read the log and sends requests to a past owner, or to nobody.
#[test]
fn a_node_without_the_log_uses_the_owners_that_a_peer_reports() {
    let (a, b) = (party("a", 1), party("b", 2));
    let mut state = LeaseState::new(a.clone());
    state.apply(LogOffset::from(0), 1000, &claim(1, &a));
    let local = LocalNode {
        node: a.node.clone(),
        boot: a.boot,
        address: None,
        started: at(0),
        leaving: false,
        applied: LogOffset::default(),
    };
    let mut peers = PeerTable::new(local, Duration::from_secs(30));
    let heartbeat = Heartbeat {
        node: "b".to_owned(),
        boot: 2,
        address: Some("127.0.0.1:9".to_owned()),
        ..Heartbeat::default()
    };
    peers.answer_heartbeat(at(9000), &heartbeat);
    let lease = |fence| KnownLease {
        role: ROLE.to_string(),
        node: b.node.to_string(),
        boot: 2,
        fence,
    };
    state.set_reported_owners(vec![lease(0)]);
    assert_eq!(state.owner(&ROLE, at(9000), &peers), RoleOwner::Nobody);
    state.set_reported_owners(vec![lease(5)]);
    let address = ([127, 0, 0, 1], 9).into();
    let fence = FencingToken::from(5);
    let reported = RoleOwner::Remote { address, fence };
    assert_eq!(state.owner(&ROLE, at(9000), &peers), reported);
    peers.record_log_read(at(9000), at(9000));
    assert_eq!(state.owner(&ROLE, at(9000), &peers), RoleOwner::Nobody);
}

#[derive(Debug, Default)]
struct StubRoleState {
    imports: Mutex<Vec<(RoleName, FencingToken, RoleOrigin)>>,
}

impl RoleState for StubRoleState {
    fn export_role(&self, _role: &RoleName) -> Option<Bytes> {
        None
    }

    fn import_role(&self, role: &RoleName, fence: FencingToken, origin: RoleOrigin) {
        let mut imports = self.imports.lock().unwrap();
        imports.push((role.clone(), fence, origin));
    }
}

/// Guards against the loss of a handed-over state between the peer's message and the claim.
#[test]
fn a_state_from_a_peer_is_imported_when_the_claim_is_read() {
    let url = "http://127.0.0.1:1";
    let settings = NodeSettings::new("b".parse().unwrap(), "a".parse().unwrap(), url, "t");
    let (boot, clock) = (BootId::from(2), Clock::manual());
    let memory = ResponseMemory::for_tests();
    let vm_list = VmListClient::new(url, &memory);
    let membership = MembershipService::new(&settings, boot, clock.clone(), vm_list);
    let membership = Arc::new(membership);
    let log = LogClient::new(url, &memory);
    let service = LeaseService::new(&settings, boot, clock, log, membership);
    let stub = Arc::new(StubRoleState::default());
    let role_state: Weak<StubRoleState> = Arc::downgrade(&stub);
    service.set_role_state(role_state);
    let request = HandoverRequest {
        role: ROLE.to_string(),
        fence: 0,
        state: Bytes::from_static(b"state"),
    };
    let kind = Some(LeaseKind::HandoverRequest(request));
    let reply = service.handle(LeaseMessage { kind }).unwrap().kind;
    assert_eq!(
        reply,
        Some(LeaseKind::HandoverReply(HandoverReply { accepted: true }))
    );
    let a = party("a", 1);
    let records = [
        claim(1, &a),
        release(2, &a, Some("b")),
        claim(3, &party("b", 2)),
    ];
    for (offset, record) in (0..).zip(records) {
        service.apply(&LogRecord {
            offset: LogOffset::from(offset),
            at_ms: 1000,
            data: serde_json::to_string(&record).unwrap(),
        });
    }
    let state = RoleOrigin::HandedOver(Bytes::from_static(b"state"));
    let imports = stub.imports.lock().unwrap();
    assert_eq!(*imports, vec![(ROLE, FencingToken::from(2), state)]);
}
