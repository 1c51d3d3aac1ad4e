use std::time::Duration;

use crate::clock::Timestamp;
use crate::entry::store_health::StoreHealth;
use crate::platform::store::StoreError;

/// Guards against a large fleet that sends hundreds of calls a second to an unavailable store, and
/// against a long delay after a single failed call.
#[test]
fn retry_delay_grows_in_a_large_fleet() {
    let mut health = StoreHealth::new("test");
    let failed = || Err::<(), _>(StoreError::Refused { status: 503 });
    let mut delays = Vec::new();
    for _ in 0..6 {
        health.record(&failed(), Timestamp::default());
        delays.push(health.retry_delay(false).as_millis());
        assert_eq!(health.retry_delay(true), Duration::from_millis(100));
    }
    assert_eq!(delays, [100, 200, 400, 800, 800, 800]);
    assert!(health.record(&Ok(()), Timestamp::default()));
    health.record(&failed(), Timestamp::default());
    assert_eq!(health.retry_delay(false), Duration::from_millis(100));
}
