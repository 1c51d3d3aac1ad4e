use std::time::{Duration, Instant};

use super::framing::RequestFraming;
use super::request_client::{AnsweringServers, ConnectionUse, StatedId};
use super::retry::RetryBudget;
use crate::platform_client::POOL_IDLE_TIMEOUT;

const PLAIN: &str =
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 21\r\n\r\nTransfer-Encoding: x\n";
const CHUNKED: &str = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
                       14;x=y\r\nContent-Length: 5\r\n\n\r\n0\r\nContent-Length: 9\r\n\r\n";
const EMPTY: &str = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const CONFLICT: &str =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nCONTENT-LENGTH : 5\r\n\r\n";
const OTHER_CONFLICT: &str = "POST /a HTTP/1.1\nContent-Length: 5\ntransfer-encoding:chunked\n\n";

/// Parses `text` in two reads, split at every offset, and returns which splits find a conflict.
fn conflicts_in(text: &str) -> Vec<bool> {
    let bytes = text.as_bytes();
    let has_conflict = |offset| {
        let mut framing = RequestFraming::default();
        let first = framing.find_length_conflict(&bytes[..offset]);
        first
            .or(framing.find_length_conflict(&bytes[offset..]))
            .is_some()
    };
    (0..=bytes.len()).map(has_conflict).collect()
}

/// Guards against a body that is parsed as a request head, and against a head that is missed
/// because it arrives in two reads or after another request on the same connection.
#[yare::parameterized(
    plain = { PLAIN, "", false },
    chunked = { CHUNKED, "", false },
    sequence = { PLAIN, CHUNKED, false },
    other_sequence = { CHUNKED, EMPTY, false },
    conflict = { CONFLICT, "", true },
    other_conflict = { OTHER_CONFLICT, "", true },
    after_plain = { PLAIN, CONFLICT, true },
    after_chunked = { CHUNKED, OTHER_CONFLICT, true },
    after_empty = { EMPTY, CONFLICT, true },
)]
fn only_heads_with_conflicting_lengths_are_rejected(first: &str, second: &str, expected: bool) {
    let found = conflicts_in(&format!("{first}{second}"));
    assert!(
        found.iter().all(|conflict| *conflict == expected),
        "{found:?}"
    );
}

/// Guards against more than one retry for ten first attempts, and against a budget that grows
/// without bound.
#[test]
fn ten_first_attempts_earn_one_retry() {
    let budget = RetryBudget::default();
    for _ in 0..1000 {
        budget.record_first_attempt();
    }
    let retries = std::iter::repeat_with(|| budget.try_take_retry())
        .take_while(|taken| *taken)
        .count();
    assert_eq!(retries, 16);
    for _ in 0..9 {
        budget.record_first_attempt();
    }
    assert!(!budget.try_take_retry());
    budget.record_first_attempt();
    assert!(budget.try_take_retry());
    assert!(!budget.try_take_retry());
}

/// Guards against answers that arrive one request late without end: the connection of an answer
/// without a body stays in the pool when the answer is rejected.
#[yare::parameterized(
    other_id = { StatedId::Other(None) },
    no_id = { StatedId::Missing },
)]
fn kept_connections_are_not_used_while_one_may_carry_a_late_answer(rejected: StatedId) {
    let address = "127.0.0.1:80".parse().expect("an address");
    let (mut servers, start) = (AnsweringServers::default(), Instant::now());
    assert_eq!(servers.connection_use(address, start), ConnectionUse::New);
    servers.record_answer(address, &StatedId::Same, ConnectionUse::New, start);
    assert_eq!(servers.connection_use(address, start), ConnectionUse::Kept);
    servers.record_answer(address, &rejected, ConnectionUse::Kept, start);
    let closed = start + POOL_IDLE_TIMEOUT;
    servers.record_answer(address, &StatedId::Same, ConnectionUse::New, closed);
    assert_eq!(servers.connection_use(address, closed), ConnectionUse::New);
    let later = closed + Duration::from_millis(1);
    servers.record_answer(address, &StatedId::Same, ConnectionUse::New, later);
    assert_eq!(servers.connection_use(address, later), ConnectionUse::Kept);
}
