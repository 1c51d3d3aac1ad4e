//! Tests of returning targets, prefix placement, slow first tokens, queue limits and retries.

use std::time::Duration;

use super::coordinator::PoolCoordinator;
use super::event::{
    AcquireRequest, PoolAction, PoolAnswer, PoolEvent, RefusalReason, ReleaseOutcome,
};
use super::tests::{at, config, coordinator, key, pinned_to, request, spec};
use crate::ids::TokenCount;

fn acquire(coordinator: &mut PoolCoordinator, request: AcquireRequest) -> Vec<PoolAction> {
    coordinator.handle(at(121_000), PoolEvent::Acquire(request))
}

/// Guards against a zone that takes all load slots when it returns to service: loads to its targets
/// take at most half of them.
#[test]
fn returning_targets_get_half_of_the_load_slots() {
    let mut targets = ["a", "b", "c", "d"].map(|name| (name, spec("z1", true)));
    for (_, spec) in &mut targets {
        spec.adapter_slots = 8;
    }
    let resident = ["a", "b", "c", "d"].map(|name| (name, false, &["v@1"] as &[&str]));
    let mut coordinator = coordinator(&targets, &resident);
    let mut out_of_service = targets.clone();
    for (_, spec) in &mut out_of_service {
        spec.in_service = false;
    }
    let configured = |targets: &[_]| {
        let mut config = config(targets);
        config.loads_in_flight = 8;
        config.loads_per_second = 1000.0;
        PoolEvent::Configured(config)
    };
    coordinator.handle(at(121_000), configured(&out_of_service));
    coordinator.handle(at(121_000), configured(&targets));
    let mut loads = 0;
    for serial in 1..=20 {
        let now = at(121_000 + 10 * serial);
        let request = request(serial, "acme", &format!("x-{serial}@1"), now);
        let actions = coordinator.handle(now, PoolEvent::Acquire(request));
        let is_load = |action: &&PoolAction| matches!(action, PoolAction::Load { .. });
        loads += actions.iter().filter(is_load).count();
    }
    assert_eq!(loads, 4);
}

/// Guards against placements that ignore the targets' prefix caches, and against a prefix that
/// attracts requests to a much busier target.
#[test]
fn a_recent_prefix_outweighs_only_small_load_differences() {
    let targets = ["a", "b"].map(|name| {
        let mut spec = spec("z1", true);
        spec.request_limit = 8;
        (name, spec)
    });
    let resident: [(&str, bool, &[&str]); 2] =
        [("a", false, &["x@1", "y@1"]), ("b", false, &["x@1"])];
    let mut coordinator = coordinator(&targets, &resident);
    let with_prefix = |serial, adapter| AcquireRequest {
        prefix: Some(7),
        ..request(serial, "acme", adapter, at(121_000))
    };
    let first = acquire(&mut coordinator, with_prefix(1, "y@1"));
    assert_eq!(pinned_to(&first, 1).as_deref(), Some("a"));
    // One of eight slots is taken on a, none on b.
    let next = acquire(&mut coordinator, with_prefix(2, "x@1"));
    assert_eq!(pinned_to(&next, 2).as_deref(), Some("a"));
    let other = acquire(&mut coordinator, request(3, "acme", "x@1", at(121_000)));
    assert_eq!(pinned_to(&other, 3).as_deref(), Some("b"));
    for serial in 4..=6 {
        acquire(
            &mut coordinator,
            request(serial, "acme", "y@1", at(121_000)),
        );
    }
    // Five slots are taken on a, one on b.
    let late = acquire(&mut coordinator, with_prefix(7, "x@1"));
    assert_eq!(pinned_to(&late, 7).as_deref(), Some("b"));
}

/// Guards against full load on a target that has turned cold without reporting it, and against a
/// warm target that counts as cold because of one long prompt.
#[test]
fn slow_first_tokens_in_a_row_turn_a_warm_target_cold() {
    let targets = [("a", spec("z1", true))];
    let mut coordinator = coordinator(&targets, &[("a", false, &["x@1"])]);
    let mut limits = Vec::new();
    // After an average of 20 ms, 200 ms are slow. Only at the end are there three slow times in a
    // row.
    let times = [
        20, 20, 20, 20, 20, 20, 20, 20, 200, 200, 20, 200, 200, 40, 200, 200, 200,
    ];
    for (serial, millis) in times.into_iter().enumerate() {
        let serial = serial as u64 + 1;
        acquire(
            &mut coordinator,
            request(serial, "acme", "x@1", at(121_000)),
        );
        let outcome = ReleaseOutcome::Completed {
            tokens: TokenCount::new(1),
            first_token: Some(Duration::from_millis(millis)),
        };
        let key = key(serial);
        coordinator.handle(at(121_000), PoolEvent::Release { key, outcome });
        limits.push(coordinator.limits()[&"a".parse().unwrap()]);
    }
    let mut expected = [4; 17];
    expected[16] = 1;
    assert_eq!(limits, expected);
}

/// The serials of the requests refused because the queue is full.
fn refused_as_full(actions: &[PoolAction]) -> Vec<u64> {
    let refused = actions.iter().filter_map(|action| match action {
        PoolAction::Answer {
            key,
            answer:
                PoolAnswer::Refused {
                    reason: RefusalReason::QueueFull,
                    ..
                },
        } => Some(key.serial),
        _ => None,
    });
    refused.collect()
}

/// Guards against a queue that holds more than can start in time: 4 slots at 1 s per request start
/// 40 requests in 10 s. The account with the most waiting tokens loses its newest request first.
#[test]
fn the_queue_holds_what_can_start_in_time() {
    let targets = [("a", spec("z1", true))];
    let mut coordinator = coordinator(&targets, &[("a", false, &["x@1", "y@1"])]);
    let mut refused = Vec::new();
    for serial in 1..=50 {
        let request = request(serial, "big", "x@1", at(121_000));
        refused.extend(refused_as_full(&acquire(&mut coordinator, request)));
    }
    assert_eq!(coordinator.waiting(), 40);
    assert_eq!(refused, (45..=50).collect::<Vec<u64>>());
    let small = acquire(&mut coordinator, request(90, "a-small", "y@1", at(121_000)));
    assert_eq!(refused_as_full(&small), [44]);
}

/// Guards against requests that wait until their deadline for a load that can't start in time: at
/// 4 loads/s, 40 adapters can be loaded in 10 s. An account with few missing adapters keeps its
/// requests when another one has many.
#[test]
fn the_queue_holds_adapters_that_can_be_loaded_in_time() {
    let targets = ["a", "b", "c", "d"].map(|name| {
        let mut spec = spec("z1", true);
        spec.request_limit = 100;
        (name, spec)
    });
    let resident = ["a", "b", "c", "d"].map(|name| (name, false, &["v@1"] as &[&str]));
    let mut coordinator = coordinator(&targets, &resident);
    let mut refused = Vec::new();
    for serial in 1..=50 {
        let now = at(121_000 + serial);
        let request = request(serial, "big", &format!("x-{serial}@1"), now);
        let actions = coordinator.handle(now, PoolEvent::Acquire(request));
        refused.extend(refused_as_full(&actions));
    }
    // Adapters that are being loaded do not count against the limit of 40.
    let loading = 50 - 40 - refused.len() as u64;
    assert!((1..=2).contains(&loading), "{refused:?}");
    // The newest request is refused first. Neither a request for a loaded adapter nor that of
    // account `a-small` is refused.
    assert_eq!(refused[0], 40 + loading + 1, "{refused:?}");
    let small = acquire(&mut coordinator, request(90, "a-small", "y@1", at(121_000)));
    let refused_next = refused_as_full(&small);
    assert_eq!(refused_next.len(), 1, "{refused_next:?}");
    assert!(refused_next[0] < 90, "{refused_next:?}");
    let loaded = acquire(&mut coordinator, request(91, "big", "v@1", at(121_000)));
    assert!(pinned_to(&loaded, 91).is_some());
}

/// Guards against a retry on the target on which the request just failed, and against a retry that
/// waits although only that target has the adapter.
#[test]
fn a_retry_avoids_the_target_that_failed_it() {
    let targets = ["a", "b"].map(|name| (name, spec("z1", true)));
    let resident: [(&str, bool, &[&str]); 2] =
        [("a", false, &["x@1", "z@1"]), ("b", false, &["x@1", "y@1"])];
    let mut coordinator = coordinator(&targets, &resident);
    for serial in 1..=3 {
        acquire(
            &mut coordinator,
            request(serial, "acme", "y@1", at(121_000)),
        );
    }
    let retry = |serial, adapter| AcquireRequest {
        avoid: Some("a".parse().unwrap()),
        ..request(serial, "acme", adapter, at(121_000))
    };
    let actions = acquire(&mut coordinator, retry(4, "x@1"));
    assert_eq!(pinned_to(&actions, 4).as_deref(), Some("b"));
    let actions = acquire(&mut coordinator, retry(5, "z@1"));
    assert_eq!(pinned_to(&actions, 5).as_deref(), Some("a"));
}

/// Guards against a request for a loaded adapter that waits behind a request of the same account
/// that needs a load.
#[test]
fn a_request_with_a_loaded_adapter_passes_one_that_waits_for_a_load() {
    let targets = [("a", spec("z1", true))];
    let mut coordinator = coordinator(&targets, &[("a", false, &["x@1"])]);
    let missing = acquire(&mut coordinator, request(1, "acme", "y@1", at(121_000)));
    assert_eq!(pinned_to(&missing, 1), None);
    let loaded = acquire(&mut coordinator, request(2, "acme", "x@1", at(121_000)));
    assert_eq!(pinned_to(&loaded, 2).as_deref(), Some("a"));
    assert_eq!(coordinator.waiting(), 1);
}
