//! Tests of new versions of adapters.

mod platform_fixture;

use std::time::{Duration, Instant};

use platform_fixture::{TargetMode, TestCluster};

const MODEL_HEADERS: &str =
    "Authorization: Token key-1\r\nX-Model: m/a1\r\nX-Token-Count: 10,20\r\n";
/// `version_ms` in the settings of the VMs.
const VERSION_TIME: Duration = Duration::from_millis(2000);

fn name_version(cluster: &TestCluster, version: u64) {
    let record = serde_json::json!({"model": "m", "adapter": "a1", "version": version});
    cluster
        .store
        .put("keyed.op", "version/m.a1", record.to_string().as_bytes());
}

/// Guards against a request that waits in a target's queue and begins on an old version of its adapter
/// long after the operator has named a newer one.
#[yare::parameterized(
    stream = { "/feed/x" },
    resumable_stream = { "/stream/x" }
)]
#[test_macro(tokio::test)]
async fn queued_request_on_an_old_version_is_given_up_in_time(path: &str) {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    name_version(&cluster, 1);
    vm.send_until("/stream/x", MODEL_HEADERS, 200).await;
    cluster.set_mode(TargetMode::Queue);
    let named_at = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        name_version(&cluster, 2);
        let named_at = Instant::now();
        tokio::time::sleep(VERSION_TIME).await;
        named_at
    };
    let (response, named_at) = tokio::join!(vm.send(path, "queued", MODEL_HEADERS), named_at);
    assert_ne!(response.status, 503, "it may have run");
    let close = cluster.target.lock().unwrap().closes[0];
    let after = close.at.duration_since(named_at);
    assert!(after < VERSION_TIME, "{after:?}");
}

/// Guards against a VM that never learns that a target holds the new version, because the order to
/// load it was carried out before.
#[tokio::test]
async fn new_version_that_the_target_holds_already_is_used() {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    vm.send_until("/stream/x", MODEL_HEADERS, 200).await;
    name_version(&cluster, 2);
    tokio::time::sleep(VERSION_TIME).await;
    vm.send_until("/stream/x", MODEL_HEADERS, 200).await;
    let runs = cluster.runs();
    let last = runs.last().unwrap();
    assert!(last.contains("X-Expect-Version: 2\r\n"), "{last}");
}
