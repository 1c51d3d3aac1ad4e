use std::time::Duration;

use super::{at, ms, position};
use crate::dispatch::relay_coverage::{
    RelayClaim, RelayContent, RelayCoverage, RelayLimit, RelaySpan,
};
use crate::ids::{ByteRate, LogPosition, StoreEra};

/// The time in which a VM must know of a target that leaves.
const DRAIN_TIME: Duration = Duration::from_secs(3);

fn span(from: u64, until: u64) -> RelaySpan {
    RelaySpan {
        from: position(from),
        until: position(until),
    }
}

/// A VM that has read the log up to offset 10 at the time 0.
fn coverage() -> RelayCoverage {
    let mut coverage = RelayCoverage::default();
    coverage.record_read(position(10), at(0));
    coverage
}

/// Guards against a VM that never learns that a target is leaving because the only datagram about
/// it was lost: with 195 VMs, one sent a request to a target 4.9 s after it had left.
#[test]
fn lost_relay_is_noticed_by_the_next_announcement() {
    let mut coverage = coverage();
    // The relay of 10 to 12 is lost; the announcement continues where that relay ended.
    coverage.record_relay(span(12, 15), at(500));
    assert!(coverage.time_to_read(DRAIN_TIME, at(500)) > ms(0));
    assert_eq!(coverage.time_to_read(DRAIN_TIME, at(700)), ms(0));
    coverage.record_read(position(15), at(710));
    assert!(coverage.time_to_read(DRAIN_TIME, at(710)) > ms(900));
}

/// Guards against reads of the log by all VMs whenever a single datagram is lost, although other
/// readers have relayed the same records.
#[test]
fn relay_of_another_reader_closes_a_gap() {
    let mut coverage = coverage();
    coverage.record_relay(span(12, 15), at(500));
    coverage.record_relay(span(9, 13), at(600));
    assert_eq!(
        coverage.time_to_read(DRAIN_TIME, at(700)),
        ms(0),
        "13 to 15 is missing: the relay of 12 to 15 was not kept"
    );
    coverage.record_relay(span(11, 16), at(700));
    assert!(coverage.time_to_read(DRAIN_TIME, at(800)) > ms(900));
}

/// Guards against a VM behind a partition that trusts an old view because it hears of no loss.
#[test]
fn silence_of_all_readers_requires_a_read() {
    let mut coverage = coverage();
    coverage.record_relay(span(10, 10), at(400));
    assert!(coverage.time_to_read(DRAIN_TIME, at(1000)) > ms(0));
    assert_eq!(coverage.time_to_read(DRAIN_TIME, at(1500)), ms(0));
    // A read right after a target has left is followed by the next one in time for a retry.
    for drain_time in [ms(2000), ms(3000), ms(4000)] {
        let mut coverage = self::coverage();
        coverage.record_read(position(11), at(10));
        let next_read = coverage.time_to_read(drain_time, at(10));
        assert!(next_read + 2 * ms(300) < drain_time, "{next_read:?}");
    }
}

/// Guards against a reader's first announcement, which starts far ahead of a VM that has read
/// nothing yet, counting as knowledge of all that precedes it.
#[test]
fn relays_before_the_first_read_prove_nothing() {
    let mut coverage = RelayCoverage::default();
    coverage.record_relay(span(50, 60), at(0));
    coverage.record_read(position(10), at(10));
    coverage.record_relay(span(60, 62), at(500));
    assert_eq!(coverage.time_to_read(DRAIN_TIME, at(700)), ms(0));
}

fn offsets(offsets: &[u64]) -> Vec<LogPosition> {
    offsets.iter().copied().map(position).collect()
}

/// Guards against a relay in several messages that counts as complete when one of them is lost.
#[test]
fn relay_in_parts_is_known_once_all_have_arrived() {
    let parts = span(10, 20).split(&offsets(&[11, 14, 18]));
    assert_eq!(parts, [span(10, 14), span(14, 18), span(18, 20)]);
    for lost in 0..2 {
        let mut partial = coverage();
        for (index, part) in parts.iter().enumerate() {
            if index != lost {
                partial.record_relay(*part, at(100));
            }
        }
        assert_eq!(partial.time_to_read(DRAIN_TIME, at(300)), ms(0));
    }
    let mut complete = coverage();
    for part in parts {
        complete.record_relay(part, at(100));
    }
    assert!(complete.time_to_read(DRAIN_TIME, at(300)) > ms(800));
}

/// Guards against ignoring all but the last message of a relay: the reader last relayed records at 5,
/// both it and this VM know that nothing has changed up to 18, and it now relays records at 18 and 19
/// in two messages.
#[test]
fn every_message_of_a_relay_is_new_to_a_vm_that_knows_the_log_before_it() {
    let mut coverage = coverage();
    coverage.record_relay(span(5, 18), at(100));
    let starts = offsets(&[18, 19]);
    for (part, start) in span(5, 20).split(&starts).into_iter().zip(starts) {
        let new_from = coverage.record_relay(part, at(200));
        assert!(new_from.is_some_and(|from| from <= start), "{part:?}");
    }
}

/// Guards against using a target that has left: a VM starts, reads the log without that target, and
/// then receives an older record of it from a reader that is behind.
#[test]
fn records_that_precede_the_first_read_are_not_new() {
    let mut coverage = RelayCoverage::default();
    assert_eq!(coverage.record_relay(span(3, 5), at(0)), None);
    coverage.record_read(position(10), at(10));
    assert_eq!(coverage.record_relay(span(7, 10), at(20)), None);
    let known = Some(position(10));
    assert_eq!(coverage.record_relay(span(7, 11), at(30)), known);
    assert_eq!(coverage.record_relay(span(7, 11), at(40)), None);
}

/// Guards against a message that claims records which no message holds, because there are more
/// messages than offsets in the span: a first read as a reader claims nothing.
#[test]
fn parts_never_claim_beyond_the_span() {
    for span in [span(10, 10), span(10, 11)] {
        let parts = span.split(&offsets(&[4, 9, 10]));
        assert_eq!(parts.len(), 3);
        assert!(parts.iter().all(|part| part.from >= span.from), "{parts:?}");
        assert!(
            parts.iter().all(|part| part.until <= span.until),
            "{parts:?}"
        );
        assert_eq!(parts.last().map(|part| part.until), Some(span.until));
    }
}

/// Guards against a reader that claims what only another reader has relayed: a VM that lost that
/// relay would trust the claim and go on sending requests to a target that leaves.
#[test]
fn change_known_from_another_reader_is_relayed_again() {
    let mut claim = RelayClaim::default();
    let target = "i-1".parse().unwrap();
    claim.record_foreign("i-1".parse().unwrap(), at(1000));
    assert!(claim.is_known(&target, at(1800)));
    assert!(!claim.is_known(&"i-2".parse().unwrap(), at(1800)));
    assert!(
        !claim.is_known(&target, at(5000)),
        "later records are no change"
    );
}

/// Guards against claims for records that a VM knew before it became a reader, or that others
/// relayed while it could not read the log.
#[test]
fn first_read_as_a_reader_and_after_an_outage_claims_nothing() {
    let mut claim = RelayClaim::default();
    assert_eq!(claim.announced(position(20)), None);
    let mut claim_with = |until, content| claim.claim(position(until), content);
    assert_eq!(claim_with(20, RelayContent::Records), span(20, 20));
    assert_eq!(claim_with(24, RelayContent::NoRecords), span(20, 24));
    assert_eq!(claim_with(30, RelayContent::Records), span(20, 30));
    assert_eq!(claim.announced(position(30)), Some(span(30, 30)));
    claim.reset();
    let content = RelayContent::Records;
    assert_eq!(claim.claim(position(90), content), span(90, 90));
}

/// Guards against a VM that trusts a reader's claim of records which the reader did not send because
/// they were too long.
#[test]
fn records_that_are_not_sent_are_not_claimed() {
    let mut claim = RelayClaim::default();
    let mut coverage = coverage();
    coverage.record_relay(claim.claim(position(10), RelayContent::NoRecords), at(0));
    let skipped = claim.claim(position(70), RelayContent::TooLong);
    assert!(skipped.is_empty());
    coverage.record_relay(skipped, at(100));
    assert_eq!(coverage.time_to_read(DRAIN_TIME, at(300)), ms(0));
    coverage.record_read(position(75), at(310));
    let next = claim.claim(position(80), RelayContent::Records);
    assert_eq!(next, span(70, 80));
    assert_eq!(coverage.record_relay(next, at(500)), Some(position(75)));
    assert!(coverage.time_to_read(DRAIN_TIME, at(700)) > ms(0));
}

/// Guards against relays that occupy a VM's link for longer than the next part of a response may be
/// delayed, in fleets and on links of any size.
#[yare::parameterized(
    fleet_of_15 = { 10, 120, 14 },
    fleet_of_83 = { 10, 200, 82 },
    fleet_of_195 = { 20, 200, 194 },
    fast_link = { 200, 200, 194 },
)]
fn relays_occupy_the_link_only_briefly(megabits: u64, pass_ms: u64, peers: usize) {
    let limit = RelayLimit {
        link_rate: ByteRate::from_megabits(megabits as f64),
        forwarding_time: ms(pass_ms),
    };
    assert_eq!(limit.content(&[], peers), RelayContent::NoRecords);
    assert_eq!(limit.content(&[300], peers), RelayContent::Records);
    for bytes in (0..200_000).step_by(100) {
        let occupied_s = (bytes * peers) as f64 / (megabits as f64 * 125_000.0);
        let content = limit.content(&vec![100; bytes / 100], peers);
        assert!(content != RelayContent::Records || occupied_s < pass_ms as f64 / 1000.0);
    }
}

/// Guards against a record that no VM receives, because it is longer than a datagram may be, but
/// that all take for relayed.
#[test]
fn long_record_is_left_to_the_readers_peers() {
    let limit = RelayLimit {
        link_rate: ByteRate::from_megabits(1000.0),
        forwarding_time: ms(200),
    };
    assert_eq!(limit.content(&[300, 300], 16), RelayContent::Records);
    assert_eq!(limit.content(&[300, 20_000], 16), RelayContent::TooLong);
}

/// Guards against VMs that take relays of a restored log for known ones, since their offsets are lower:
/// they went on sending requests to targets that had left.
#[test]
fn relay_of_a_newer_era_is_new_and_requires_a_read() {
    let in_era = |era: u64, offset: u64| LogPosition::new(StoreEra::from(era), offset.into());
    let mut coverage = RelayCoverage::default();
    coverage.record_read(in_era(1, 100), at(0));
    let span = RelaySpan {
        from: in_era(2, 40),
        until: in_era(2, 42),
    };
    assert_eq!(coverage.record_relay(span, at(10)), Some(in_era(1, 100)));
    assert_eq!(coverage.time_to_read(DRAIN_TIME, at(210)), ms(0));
    coverage.record_read(in_era(2, 45), at(220));
    assert_eq!(coverage.known_until(), Some(in_era(2, 45)));
    assert!(coverage.time_to_read(DRAIN_TIME, at(300)) > ms(900));
}

/// Guards against a VM that relies on a reader which doesn't know yet that the store was restored.
#[test]
fn relay_of_an_older_era_is_ignored_and_ends_no_silence() {
    let in_era = |era: u64, offset: u64| LogPosition::new(StoreEra::from(era), offset.into());
    let mut coverage = RelayCoverage::default();
    coverage.record_read(in_era(2, 40), at(0));
    let span = RelaySpan {
        from: in_era(1, 90),
        until: in_era(1, 95),
    };
    assert_eq!(coverage.record_relay(span, at(1000)), None);
    assert_eq!(coverage.known_until(), Some(in_era(2, 40)));
    assert_eq!(coverage.silence(at(1000)), ms(1000));
}
