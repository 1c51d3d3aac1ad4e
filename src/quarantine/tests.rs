use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::strikes::{
    FINGERPRINT_LIMIT, QUARANTINE_TIME, RequestFingerprint, RequestVerdict, StrikeTable,
};
use crate::clock::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn fingerprint(number: u64) -> RequestFingerprint {
    RequestFingerprint::of_request("acme", "shop-1", &number.to_be_bytes())
}

/// Guards against a request that may crash a fourth target, and against one that is refused
/// before its third strike.
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

/// Guards against a strike that counts twice because it came by message and by log.
#[test]
fn copies_of_a_strike_count_once() {
    let mut table = StrikeTable::default();
    for _ in 0..5 {
        table.strike(fingerprint(1), 7, NOW, NOW);
    }
    assert_eq!(table.verdict(&fingerprint(1), NOW), RequestVerdict::Suspect);
}

/// Guards against a quarantine that never ends, and against one that ends early.
#[test]
fn a_quarantine_ends_after_its_time() {
    let mut table = StrikeTable::default();
    for strike in 0..3 {
        table.strike(fingerprint(1), strike, NOW, NOW);
    }
    let before = NOW + (QUARANTINE_TIME - Duration::from_millis(1));
    assert_eq!(table.verdict(&fingerprint(1), before), RequestVerdict::Held);
    let after = NOW + QUARANTINE_TIME;
    assert_eq!(table.verdict(&fingerprint(1), after), RequestVerdict::Clear);
    let again = table.strike(fingerprint(1), 9, after, after);
    assert_eq!(
        again,
        RequestVerdict::Suspect,
        "old strikes do not count again"
    );
}

/// Guards against a record of an old strike that starts a new quarantine on a restarted node.
#[test]
fn old_strikes_do_not_count() {
    let mut table = StrikeTable::default();
    let now = NOW + QUARANTINE_TIME;
    for strike in 0..3 {
        table.strike(fingerprint(1), strike, NOW, now);
    }
    assert_eq!(table.verdict(&fingerprint(1), now), RequestVerdict::Clear);
}

/// Guards against a quarantine for strikes that are many minutes apart, and for an old record that
/// arrives beside recent strikes.
#[test]
fn strikes_age_one_by_one() {
    let mut table = StrikeTable::default();
    let step = QUARANTINE_TIME - Duration::from_secs(60);
    let mut now = NOW;
    for strike in 0..4 {
        let verdict = table.strike(fingerprint(1), strike, now, now);
        assert_eq!(verdict, RequestVerdict::Suspect);
        now = now + step;
    }
    let mut table = StrikeTable::default();
    let now = NOW + QUARANTINE_TIME;
    for (strike, at) in [(1, now), (2, now), (3, NOW)] {
        let verdict = table.strike(fingerprint(1), strike, at, now);
        assert_eq!(verdict, RequestVerdict::Suspect);
    }
}

/// Guards against memory that grows with the number of crashing requests.
#[test]
fn the_oldest_fingerprints_are_forgotten_first() {
    let mut table = StrikeTable::default();
    for number in 0..FINGERPRINT_LIMIT as u64 + 1 {
        let at = NOW + Duration::from_millis(number);
        table.strike(fingerprint(number), number, at, at);
    }
    let now = NOW + Duration::from_secs(11);
    assert_eq!(table.count(RequestVerdict::Suspect, now), FINGERPRINT_LIMIT);
    assert_eq!(table.verdict(&fingerprint(0), now), RequestVerdict::Clear);
}

#[derive(Debug, Clone)]
enum Note {
    Strike(u64),
    Clear(Vec<u64>),
}

fn note() -> impl Strategy<Value = Note> {
    prop_oneof![
        3 => (0..6_u64).prop_map(Note::Strike),
        1 => prop::collection::vec(0..6_u64, 1..4).prop_map(Note::Clear),
    ]
}

fn verdict_after(notes: &[Note]) -> RequestVerdict {
    let mut table = StrikeTable::default();
    for note in notes {
        match note {
            Note::Strike(strike) => {
                table.strike(fingerprint(1), *strike, NOW, NOW);
            }
            Note::Clear(strikes) => table.clear_strikes(fingerprint(1), strikes, NOW),
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

    /// Guards against nodes that disagree because messages and log records reached them in
    /// different orders or more than once.
    #[test]
    fn the_order_of_notes_does_not_matter(
        notes in prop::collection::vec(note(), 0..12),
        other in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let mut shuffled = notes.clone();
        for index in &other {
            if !notes.is_empty() {
                let place = index.index(shuffled.len());
                let moved = shuffled.remove(place);
                shuffled.push(moved.clone());
                shuffled.insert(0, moved);
            }
        }
        prop_assert_eq!(verdict_after(&notes), verdict_after(&shuffled));
    }
}
