use std::time::Duration;

use super::bucket::{AccountBucket, BucketAnswer};
use crate::clock::Timestamp;
use crate::config::model::RateEntry;
use crate::ids::{TokenCount, TokenRate};

const RATE: RateEntry = RateEntry {
    tokens_per_second: TokenRate::per_second(100),
    burst: TokenCount::new(500),
};

/// Guards against a bucket that collects more than its burst while it is idle.
#[test]
fn an_idle_bucket_holds_no_more_than_its_burst() {
    let mut bucket = AccountBucket::new(RATE, Timestamp::from_millis(0));
    let later = Timestamp::from_millis(60_000);
    assert_eq!(
        bucket.charge(later, TokenCount::new(500)),
        BucketAnswer::Charged
    );
    let wait = bucket.charge(later, TokenCount::new(1));
    assert_eq!(wait, BucketAnswer::Wait(Duration::from_millis(10)));
}
