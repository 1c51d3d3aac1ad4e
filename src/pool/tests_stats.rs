//! Tests of the statistics for the metrics.

use std::time::Duration;

use super::coordinator::PoolCoordinator;
use super::event::{PoolAction, PoolEvent, ReleaseOutcome};
use super::stats::StartSample;
use super::tests::{at, coordinator, key, request, spec};
use crate::ids::TokenCount;

fn acquire(pool: &mut PoolCoordinator, now: u64, serial: u64, account: &str, adapter: &str) {
    let request = request(serial, account, adapter, at(now));
    pool.handle(at(now), PoolEvent::Acquire(request));
}

fn release(pool: &mut PoolCoordinator, now: u64, serial: u64) {
    let outcome = ReleaseOutcome::Completed {
        tokens: TokenCount::new(100),
        first_token: None,
    };
    let key = key(serial);
    pool.handle(at(now), PoolEvent::Release { key, outcome });
}

fn start_sample(waited_for_load: bool, in_flight: u32) -> StartSample {
    StartSample {
        waited_for_load,
        in_flight,
    }
}

/// Guards against load stalls that are not counted, or counted for requests whose adapter was
/// loaded already.
#[test]
fn a_start_records_load_stalls_and_batch_size() {
    let mut pool = coordinator(&[("a", spec("z1", true))], &[("a", false, &["x@1"])]);
    acquire(&mut pool, 121_000, 1, "acme", "x@1");
    assert_eq!(pool.starts(), [start_sample(false, 1)]);
    let wanted = request(2, "acme", "y@1", at(121_000));
    let actions = pool.handle(at(121_000), PoolEvent::Acquire(wanted));
    let load = actions.into_iter().find_map(|action| match action {
        PoolAction::Load { generation, .. } => Some(generation),
        _ => None,
    });
    assert!(pool.starts().is_empty());
    let generation = load.expect("a load");
    let loaded = true;
    pool.handle(at(121_250), PoolEvent::LoadEnded { generation, loaded });
    assert_eq!(pool.starts(), [start_sample(true, 2)]);
    acquire(&mut pool, 121_300, 3, "acme", "y@1");
    assert_eq!(pool.starts(), [start_sample(false, 3)]);
}

/// Guards against a share that does not fall while an account waits, and against samples that stay
/// after the window of 60 s.
#[test]
fn the_worst_share_falls_while_an_account_waits() {
    let mut narrow = spec("z1", true);
    narrow.request_limit = 1;
    let mut pool = coordinator(&[("a", narrow)], &[("a", false, &["x@1"])]);
    assert_eq!(pool.worst_account_share(at(121_000)), 1.0);
    acquire(&mut pool, 121_000, 1, "acme", "x@1");
    acquire(&mut pool, 121_000, 2, "acme", "x@1");
    acquire(&mut pool, 121_000, 3, "other", "x@1");
    assert_eq!(pool.worst_account_share(at(121_000)), 1.0);
    release(&mut pool, 121_100, 1);
    // "acme" had 100 tokens alone and none of the 100 for which both waited.
    assert_eq!(pool.worst_account_share(at(121_100)), 100.0 / 150.0);
    release(&mut pool, 121_200, 3);
    assert_eq!(pool.worst_account_share(at(121_200)), 200.0 / 250.0);
    let later = at(121_200) + Duration::from_secs(61);
    assert_eq!(pool.worst_account_share(later), 1.0);
}
