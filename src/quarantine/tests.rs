use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::strikes::{
    MAX_FINGERPRINTS, QUARANTINE_DURATION, RequestFingerprint, RequestVerdict, StrikeTable,
};
use crate::clock::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn fingerprint(number: u64) -> RequestFingerprint {
    RequestFingerprint::of_request("acme", "shop-1", &number.to_be_bytes())
}

/// Guards against a request that may crash a fourth target, and against a refusal before the third
/// strike.
#[yare::parameterized(
    none = { 0, RequestVerdict::Clear },
    first = { 1, RequestVerdict::Suspect },
    second = { 2, RequestVerdict::Suspect },
    third = { 3, RequestVerdict::Held },
    fourth = { 4, RequestVerdict::Held },
)]
fn three_strikes_quarantine_a_request(strikes: u64, expected: RequestVerdict) {
    let mut table = StrikeTable::default();
    for strike in 0..strikes {
        table.strike(fingerprint(1), strike, NOW, NOW);
    }
    assert_eq!(table.verdict(&fingerprint(1), NOW), expected);
    assert_eq!(table.verdict(&fingerprint(2), NOW), RequestVerdict::Clear);
}

/// Guards against a strike that counts twice because it arrived by peer message and by log.
#[test]
fn copies_of_a_strike_count_once() {
    let mut table = StrikeTable::default();
    for _ in 0..5 {
        table.strike(fingerprint(1), 7, NOW, NOW);
    }
    assert_eq!(table.verdict(&fingerprint(1), NOW), RequestVerdict::Suspect);
}

/// Guards against a quarantine that never ends or ends early.
#[test]
fn a_quarantine_ends_after_its_time() {
    let mut table = StrikeTable::default();
    for strike in 0..3 {
        table.strike(fingerprint(1), strike, NOW, NOW);
    }
    let before = NOW + (QUARANTINE_DURATION - Duration::from_millis(1));
    assert_eq!(table.verdict(&fingerprint(1), before), RequestVerdict::Held);
    let after = NOW + QUARANTINE_DURATION;
    assert_eq!(table.verdict(&fingerprint(1), after), RequestVerdict::Clear);
    let again = table.strike(fingerprint(1), 9, after, after);
    assert_eq!(
        again,
        RequestVerdict::Suspect,
        "expired strikes do not count again"
    );
}

/// Guards against a quarantine from expired strikes, which a restarted node reads from the log.
#[test]
fn expired_strikes_do_not_count() {
    let mut table = StrikeTable::default();
    let now = NOW + QUARANTINE_DURATION;
    for strike in 0..3 {
        table.strike(fingerprint(1), strike, NOW, now);
    }
    assert_eq!(table.verdict(&fingerprint(1), now), RequestVerdict::Clear);
}

/// Guards against a quarantine from strikes that are many minutes apart, and from an expired strike
/// that arrives together with recent ones.
#[test]
fn strikes_expire_individually() {
    let mut table = StrikeTable::default();
    let step = QUARANTINE_DURATION - Duration::from_secs(60);
    let mut now = NOW;
    for strike in 0..4 {
        let verdict = table.strike(fingerprint(1), strike, now, now);
        assert_eq!(verdict, RequestVerdict::Suspect);
        now = now + step;
    }
    let mut table = StrikeTable::default();
    let now = NOW + QUARANTINE_DURATION;
    for (strike, at) in [(1, now), (2, now), (3, NOW)] {
        let verdict = table.strike(fingerprint(1), strike, at, now);
        assert_eq!(verdict, RequestVerdict::Suspect);
    }
}

/// Guards against unbounded memory use when many different requests crash targets.
#[test]
fn the_oldest_fingerprints_are_evicted_first() {
    let mut table = StrikeTable::default();
    for number in 0..MAX_FINGERPRINTS as u64 + 1 {
        let at = NOW + Duration::from_millis(number);
        table.strike(fingerprint(number), number, at, at);
    }
    let now = NOW + Duration::from_secs(11);
    assert_eq!(table.count(RequestVerdict::Suspect, now), MAX_FINGERPRINTS);
    assert_eq!(table.verdict(&fingerprint(0), now), RequestVerdict::Clear);
}

#[derive(Debug, Clone)]
enum Update {
    Strike(u64),
    Clear(Vec<u64>),
}

fn update() -> impl Strategy<Value = Update> {
    prop_oneof![
        3 => (0..6_u64).prop_map(Update::Strike),
        1 => prop::collection::vec(0..6_u64, 1..4).prop_map(Update::Clear),
    ]
}

fn verdict_after(updates: &[Update]) -> RequestVerdict {
    let mut table = StrikeTable::default();
    for update in updates {
        match update {
            Update::Strike(strike) => {
                table.strike(fingerprint(1), *strike, NOW, NOW);
            }
            Update::Clear(strikes) => table.clear_strikes(fingerprint(1), strikes, NOW),
        }
    }
    table.verdict(&fingerprint(1), NOW)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against nodes with different verdicts after peer messages and log records arrived in
    /// different orders or more than once.
    #[test]
    fn the_order_of_updates_does_not_matter(
        updates in prop::collection::vec(update(), 0..12),
        moves in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let mut shuffled = updates.clone();
        for index in &moves {
            if !updates.is_empty() {
                let position = index.index(shuffled.len());
                let moved = shuffled.remove(position);
                shuffled.push(moved.clone());
                shuffled.insert(0, moved);
            }
        }
        prop_assert_eq!(verdict_after(&updates), verdict_after(&shuffled));
    }
}
