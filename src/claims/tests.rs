use std::time::Duration;

use super::attempt::{
    AttemptStep, ClaimAttempt, ClaimRefusal, SEND_TIME_LIMIT, check_existing_claim,
};
use super::index::{ClaimIndex, DEDUPLICATION_WINDOW};
use super::record::{
    CallDigest, ClaimBatch, ClaimEntry, ClaimKey, ClaimNonce, STORED_BODY_LIMIT_BYTES, StoredAnswer,
};
use super::writer::{AppendResult, BATCH_ENTRIES, PendingEntry, WriteBacklog};
use crate::clock::Timestamp;
use crate::ids::{BootId, LogOffset};

pub(super) fn key(number: u8) -> ClaimKey {
    ClaimKey::from_parts("acme", "bookings", &number.to_string())
}

pub(super) fn request(number: u8) -> CallDigest {
    CallDigest::from_call("POST", "/bookings", &[number])
}

pub(super) fn claim_entry(key: ClaimKey, request: CallDigest, nonce: ClaimNonce) -> ClaimEntry {
    ClaimEntry::Claim {
        key,
        request,
        nonce,
        node: "entry-1".parse().expect("a valid name"),
        boot: BootId::from(1),
    }
}

pub(super) fn batch(entries: Vec<ClaimEntry>) -> ClaimBatch {
    ClaimBatch { entries }
}

fn index_of(entries: Vec<ClaimEntry>) -> ClaimIndex {
    let mut index = ClaimIndex::default();
    index.apply(LogOffset::from(0), 0, &batch(entries));
    index
}

fn nonce(number: u128) -> ClaimNonce {
    ClaimNonce::from_number(number)
}

/// Guards against a key that stays blocked by a claim whose call was never sent.
#[test]
fn a_voided_claim_passes_the_key_to_the_next_claim() {
    let claims = [1, 2].map(|number| claim_entry(key(1), request(1), nonce(number)));
    let mut index = index_of(claims.to_vec());
    assert_eq!(
        index.first_claim(&key(1)).map(|claim| claim.nonce),
        Some(nonce(1))
    );
    let void = ClaimEntry::Void { nonce: nonce(1) };
    index.apply(LogOffset::from(1), 0, &batch(vec![void]));
    assert_eq!(
        index.first_claim(&key(1)).map(|claim| claim.nonce),
        Some(nonce(2))
    );
}

/// Guards against a key that is blocked by a claim whose delayed append is stored after its `Void`.
#[test]
fn a_claim_stored_after_its_void_has_no_effect() {
    let void = ClaimEntry::Void { nonce: nonce(1) };
    let index = index_of(vec![void, claim_entry(key(1), request(1), nonce(1))]);
    assert_eq!(index.first_claim(&key(1)), None);
}

/// Guards against replaying an answer to another request with the same key.
#[test]
fn a_reused_key_is_distinguished_from_a_repeat() {
    let index = index_of(vec![claim_entry(key(1), request(1), nonce(1))]);
    let repeat = check_existing_claim(&index, &key(1), &request(1));
    assert_eq!(repeat, Some(ClaimRefusal::InProgress));
    let reuse = check_existing_claim(&index, &key(1), &request(2));
    assert_eq!(reuse, Some(ClaimRefusal::KeyReused));
    assert_eq!(check_existing_claim(&index, &key(2), &request(2)), None);
}

/// Guards against a deduplication window that never ends, or ends early.
#[test]
fn a_key_expires_after_the_window() {
    let mut index = index_of(vec![claim_entry(key(1), request(1), nonce(1))]);
    let window = u64::try_from(DEDUPLICATION_WINDOW.as_millis()).expect("the window fits");
    index.expire(LogOffset::from(0), window - 1);
    assert!(index.first_claim(&key(1)).is_some());
    index.expire(LogOffset::from(0), window);
    assert!(index.first_claim(&key(1)).is_none());
    assert_eq!(index.len(), 0);
}

/// Guards against a node that sends a call after a long pause.
#[test]
fn a_permit_expires_after_the_send_time_limit() {
    let index = index_of(vec![claim_entry(key(1), request(1), nonce(1))]);
    let started = Timestamp::from_millis(100);
    let attempt = ClaimAttempt::new(key(1), request(1), nonce(1), started);
    let AttemptStep::Send(permit) = attempt.decide(&index, started) else {
        panic!("the claim is the first");
    };
    assert!(permit.is_valid(started + SEND_TIME_LIMIT));
    assert!(!permit.is_valid(started + SEND_TIME_LIMIT + Duration::from_millis(1)));
}

/// Guards against records that operators and older nodes can't read back.
#[test]
fn a_record_survives_a_json_round_trip() {
    let outcome = ClaimEntry::Outcome {
        nonce: nonce(2),
        answer: StoredAnswer::new(201, Some("text/plain".to_owned()), b"\xff\x00"),
    };
    let written = batch(vec![claim_entry(key(1), request(1), nonce(1)), outcome]);
    let text = serde_json::to_string(&written).expect("a batch is JSON");
    let read: ClaimBatch = serde_json::from_str(&text).expect("a batch reads back");
    assert_eq!(read, written);
}

/// Guards against one append per claim, and against retrying a claim whose first append may have
/// been stored.
#[test]
fn claims_are_not_retried_after_an_unknown_append_result() {
    let mut backlog = WriteBacklog::default();
    let mut rejections = Vec::new();
    for number in 0..BATCH_ENTRIES as u128 + 1 {
        let (rejection_sender, rejection) = tokio::sync::oneshot::channel();
        rejections.push(rejection);
        let entry = claim_entry(key(1), request(1), nonce(number));
        let rejection_sender = Some(rejection_sender);
        backlog.push(PendingEntry {
            entry,
            rejection_sender,
        });
    }
    let entry = ClaimEntry::Void { nonce: nonce(0) };
    backlog.push(PendingEntry {
        entry,
        rejection_sender: None,
    });
    let claims = backlog.take_batch();
    assert_eq!(claims.len(), BATCH_ENTRIES);
    assert_eq!(backlog.complete_batch(claims, AppendResult::Unknown), 0);
    let rest = backlog.take_batch();
    assert_eq!(rest.len(), 2);
    backlog.complete_batch(rest, AppendResult::Unknown);
    let void = backlog.take_batch();
    assert_eq!(void.len(), 1, "only the void is retried");
    assert_eq!(backlog.complete_batch(void, AppendResult::Stored), 1);
    assert!(backlog.is_empty());
}

/// Guards against records that the log rejects because of their size.
#[test]
fn large_outcomes_are_split_across_records() {
    let mut backlog = WriteBacklog::default();
    let body = vec![b'x'; STORED_BODY_LIMIT_BYTES];
    for number in 0..20 {
        let entry = ClaimEntry::Outcome {
            nonce: nonce(number),
            answer: StoredAnswer::new(200, None, &body),
        };
        let rejection_sender = None;
        backlog.push(PendingEntry {
            entry,
            rejection_sender,
        });
    }
    let mut sizes = Vec::new();
    while !backlog.is_empty() {
        let batch = backlog.take_batch();
        sizes.push(batch.len());
        backlog.complete_batch(batch, AppendResult::Stored);
    }
    assert_eq!(sizes, [8, 8, 4]);
}
