use super::framing::RequestFraming;
use super::retry::RetryBudget;

const PLAIN: &str =
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 21\r\n\r\nTransfer-Encoding: x\n";
const CHUNKED: &str = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
                       14;x=y\r\nContent-Length: 5\r\n\n\r\n0\r\nContent-Length: 9\r\n\r\n";
const EMPTY: &str = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const CONFLICT: &str =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nCONTENT-LENGTH : 5\r\n\r\n";
const OTHER_CONFLICT: &str = "POST /a HTTP/1.1\nContent-Length: 5\ntransfer-encoding:chunked\n\n";

/// Reads `text` in two parts, split at each place.
fn conflicts_in(text: &str) -> Vec<bool> {
    let bytes = text.as_bytes();
    let split = |place| {
        let mut framing = RequestFraming::default();
        let first = framing.find_conflict(&bytes[..place]);
        first.or(framing.find_conflict(&bytes[place..])).is_some()
    };
    (0..=bytes.len()).map(split).collect()
}

/// Guards against a body that is taken for a head, and against a head that is not seen because it
/// came in two reads or after another request.
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
fn only_heads_with_two_lengths_are_refused(first: &str, second: &str, expected: bool) {
    let found = conflicts_in(&format!("{first}{second}"));
    assert!(
        found.iter().all(|conflict| *conflict == expected),
        "{found:?}"
    );
}

/// Guards against retries beyond a tenth of the first tries, and against a budget that saves up
/// without limit.
#[test]
fn ten_first_tries_earn_one_retry() {
    let budget = RetryBudget::default();
    for _ in 0..1000 {
        budget.note_first_try();
    }
    let saved = std::iter::repeat_with(|| budget.take_retry())
        .take_while(|taken| *taken)
        .count();
    assert_eq!(saved, 16);
    for _ in 0..9 {
        budget.note_first_try();
    }
    assert!(!budget.take_retry());
    budget.note_first_try();
    assert!(budget.take_retry());
    assert!(!budget.take_retry());
}
