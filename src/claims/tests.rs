use std::time::Duration;

use super::attempt::{AttemptStep, ClaimAttempt, ClaimRefusal, SEND_LIMIT, known_answer};
use super::index::{CLAIM_WINDOW, ClaimIndex};
use super::record::{
    CallDigest, ClaimBatch, ClaimEntry, ClaimKey, ClaimNonce, STORED_BODY_LIMIT_BYTES, StoredAnswer,
};
use super::writer::{AppendEnd, BATCH_ENTRIES, WriteBacklog, WriteOrder};
use crate::clock::Timestamp;
use crate::ids::{BootId, LogOffset};

pub(super) fn key(number: u8) -> ClaimKey {
    ClaimKey::of_parts("acme", "bookings", &number.to_string())
}

pub(super) fn request(number: u8) -> CallDigest {
    CallDigest::of_call("POST", "/bookings", &[number])
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

fn applied(entries: Vec<ClaimEntry>) -> ClaimIndex {
    let mut index = ClaimIndex::default();
    index.apply(LogOffset::from(0), 0, &batch(entries));
    index
}

fn nonce(number: u128) -> ClaimNonce {
    ClaimNonce::from_number(number)
}

/// Guards against a key that stays blocked by a claim whose node never sent it.
#[test]
fn a_void_claim_makes_room_for_the_next_one() {
    let claims = [1, 2].map(|number| claim_entry(key(1), request(1), nonce(number)));
    let mut index = applied(claims.to_vec());
    assert_eq!(
        index.holder(&key(1)).map(|holder| holder.nonce),
        Some(nonce(1))
    );
    let void = ClaimEntry::Void { nonce: nonce(1) };
    index.apply(LogOffset::from(1), 0, &batch(vec![void]));
    assert_eq!(
        index.holder(&key(1)).map(|holder| holder.nonce),
        Some(nonce(2))
    );
}

/// Guards against a delayed append that blocks its key after the `Void` was written.
#[test]
fn a_claim_that_arrives_after_its_void_stays_void() {
    let void = ClaimEntry::Void { nonce: nonce(1) };
    let index = applied(vec![void, claim_entry(key(1), request(1), nonce(1))]);
    assert_eq!(index.holder(&key(1)), None);
}

/// Guards against an answer for another request under the same key.
#[test]
fn a_reused_key_is_told_from_a_repeat() {
    let index = applied(vec![claim_entry(key(1), request(1), nonce(1))]);
    let repeat = known_answer(&index, &key(1), &request(1));
    assert_eq!(repeat, Some(ClaimRefusal::InProgress));
    let reuse = known_answer(&index, &key(1), &request(2));
    assert_eq!(reuse, Some(ClaimRefusal::KeyReused));
    assert_eq!(known_answer(&index, &key(2), &request(2)), None);
}

/// Guards against a window that never ends, and against one that ends early.
#[test]
fn a_key_is_forgotten_after_its_window() {
    let mut index = applied(vec![claim_entry(key(1), request(1), nonce(1))]);
    let window = u64::try_from(CLAIM_WINDOW.as_millis()).expect("the window fits");
    index.expire(LogOffset::from(0), window - 1);
    assert!(index.holder(&key(1)).is_some());
    index.expire(LogOffset::from(0), window);
    assert!(index.holder(&key(1)).is_none());
    assert_eq!(index.len(), 0);
}

/// Guards against a claim that is sent by a node that was paused.
#[test]
fn a_permit_ends_with_the_send_limit() {
    let index = applied(vec![claim_entry(key(1), request(1), nonce(1))]);
    let begun = Timestamp::from_millis(100);
    let attempt = ClaimAttempt::new(key(1), request(1), nonce(1), begun);
    let AttemptStep::Send(permit) = attempt.decide(&index, begun) else {
        panic!("the claim is the first");
    };
    assert!(permit.is_valid(begun + SEND_LIMIT));
    assert!(!permit.is_valid(begun + SEND_LIMIT + Duration::from_millis(1)));
}

/// Guards against records that operators and older nodes can't read.
#[test]
fn a_record_reads_back_from_its_json() {
    let outcome = ClaimEntry::Outcome {
        nonce: nonce(2),
        answer: StoredAnswer::new(201, Some("text/plain".to_owned()), b"\xff\x00"),
    };
    let written = batch(vec![claim_entry(key(1), request(1), nonce(1)), outcome]);
    let text = serde_json::to_string(&written).expect("a batch is JSON");
    let read: ClaimBatch = serde_json::from_str(&text).expect("a batch reads back");
    assert_eq!(read, written);
}

/// Guards against an append per claim, and against a second append of a claim whose first append
/// may have been stored.
#[test]
fn a_batch_is_written_again_only_where_that_is_safe() {
    let mut backlog = WriteBacklog::default();
    let mut waiting = Vec::new();
    for number in 0..BATCH_ENTRIES as u128 + 1 {
        let (refused, told) = tokio::sync::oneshot::channel();
        waiting.push(told);
        let entry = claim_entry(key(1), request(1), nonce(number));
        let refused = Some(refused);
        backlog.push(WriteOrder { entry, refused });
    }
    let entry = ClaimEntry::Void { nonce: nonce(0) };
    backlog.push(WriteOrder {
        entry,
        refused: None,
    });
    let claims = backlog.take_batch();
    assert_eq!(claims.len(), BATCH_ENTRIES);
    assert_eq!(backlog.settle_batch(claims, AppendEnd::Unknown), 0);
    let rest = backlog.take_batch();
    assert_eq!(rest.len(), 2);
    backlog.settle_batch(rest, AppendEnd::Unknown);
    let void = backlog.take_batch();
    assert_eq!(void.len(), 1, "only the void is written again");
    assert_eq!(backlog.settle_batch(void, AppendEnd::Stored), 1);
    assert!(backlog.is_empty());
}

/// Guards against a record that the log refuses for its size.
#[test]
fn large_outcomes_are_spread_over_records() {
    let mut backlog = WriteBacklog::default();
    let body = vec![b'x'; STORED_BODY_LIMIT_BYTES];
    for number in 0..20 {
        let entry = ClaimEntry::Outcome {
            nonce: nonce(number),
            answer: StoredAnswer::new(200, None, &body),
        };
        let refused = None;
        backlog.push(WriteOrder { entry, refused });
    }
    let mut sizes = Vec::new();
    while !backlog.is_empty() {
        let batch = backlog.take_batch();
        sizes.push(batch.len());
        backlog.settle_batch(batch, AppendEnd::Stored);
    }
    assert_eq!(sizes, [8, 8, 4]);
}
