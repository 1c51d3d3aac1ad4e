use std::time::Duration;

use crate::clock::Timestamp;
use crate::entry::store_health::StoreHealth;
use crate::platform::store::StoreError;

/// Guards against hundreds of calls a second from many VMs to a store that is away, and against a
/// long wait after one lost call.
#[test]
fn failed_calls_of_many_vms_grow_rarer() {
    let mut health = StoreHealth::new("test");
    let failed = || Err::<(), _>(StoreError::Refused { status: 503 });
    let mut pauses = Vec::new();
    for _ in 0..6 {
        health.note(&failed(), Timestamp::default());
        pauses.push(health.pause(false).as_millis());
        assert_eq!(health.pause(true), Duration::from_millis(100));
    }
    assert_eq!(pauses, [100, 200, 400, 800, 800, 800]);
    assert!(health.note(&Ok(()), Timestamp::default()));
    health.note(&failed(), Timestamp::default());
    assert_eq!(health.pause(false), Duration::from_millis(100));
}
