//! Requests that are sent to a second target, with an entry VM as a separate process.

mod platform_fixture;

use std::time::{Duration, Instant};

use platform_fixture::further::FurtherTarget;
use platform_fixture::{TargetMode, TestCluster};

const HEADERS: &str = "Authorization: Token key-1\r\nX-Model: m\r\nX-Token-Count: 10,10\r\n";
/// How long a first target may work on a request that a second one has.
const OVERLAP_LIMIT: Duration = Duration::from_millis(400);
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Guards against a request that runs at two targets: the first one, which has not answered in time,
/// must learn that the request is given up when the second one gets it.
#[tokio::test]
async fn retried_request_has_left_its_first_target() {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    vm.send_until("/look/x", HEADERS, 200).await;
    let second = FurtherTarget::start("second", "v1").await;
    second.register(&cluster);
    cluster.set_mode(TargetMode::Queue);
    let started = Instant::now();
    let mut checked = 0;
    while checked < 3 {
        assert!(started.elapsed() < WAIT_LIMIT, "{checked} retries");
        let closes = cluster.target.lock().unwrap().closes.len();
        let response = vm.send("/look/x", &format!("r-{checked}"), HEADERS).await;
        let Some(close) = cluster.target.lock().unwrap().closes.get(closes).copied() else {
            continue;
        };
        assert_eq!(response.status, 200, "{response:?}");
        let arrived = second.state.lock().unwrap().arrived_at.last().copied();
        let overlap = close.at.saturating_duration_since(arrived.expect("a run"));
        assert!(
            close.is_reset && overlap < OVERLAP_LIMIT,
            "{close:?}, {overlap:?}"
        );
        checked += 1;
    }
}
