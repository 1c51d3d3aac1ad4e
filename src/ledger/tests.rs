use std::time::Duration;

use super::bucket::{AccountBucket, millis_of};
use crate::clock::Timestamp;
use crate::config::model::RateEntry;
use crate::ids::{TokenCount, TokenRate};

const RATE: RateEntry = RateEntry {
    tokens_per_second: TokenRate::per_second(100),
    burst: TokenCount::new(500),
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn full_bucket() -> AccountBucket {
    AccountBucket::new(RATE, millis_of(500), at(0))
}

/// Guards against a bucket that collects more than its burst while it is idle.
#[test]
fn an_idle_bucket_holds_no_more_than_its_burst() {
    let mut bucket = full_bucket();
    bucket.refill(at(60_000), RATE);
    assert_eq!(bucket.level, millis_of(500));
    bucket.grant(millis_of(500));
    assert_eq!(bucket.time_for(millis_of(1)), Duration::from_millis(10));
}
