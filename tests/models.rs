//! Tests of services whose targets hold different base models.

mod platform_fixture;

use std::time::Duration;

use platform_fixture::{TestCluster, config_record};
use serde_json::json;

/// Guards against a target that is ordered to load its service's first model beside the one that it
/// holds, for which it has no room, and crashes: the second model is on no target any more.
#[tokio::test]
async fn target_of_the_second_model_keeps_its_model_and_serves_it() {
    let cluster = TestCluster::start().await;
    let model = |name: &str| json!({"name": name, "weightsMb": 60.0, "adapterMb": 1.0});
    let mut config = config_record(2, &["key-1"], 2);
    config["services"][0]["engine"] =
        json!({"models": [model("first"), model("m")], "weightsMb": 100.0, "adapterSlots": 2});
    cluster
        .store
        .put("keyed.op", "config", config.to_string().as_bytes());
    let vm = cluster.start_entry_vm("vm-1").await;
    let headers = "Authorization: Token key-1\r\nX-Model: m/a1\r\n";
    vm.send_until("/stream/x", headers, 200).await;
    // Long enough for the owner to act on the target's reports.
    tokio::time::sleep(Duration::from_secs(2)).await;
    vm.send_until("/stream/y", headers, 200).await;
    let target = cluster.target.lock().unwrap();
    assert_eq!(
        target.adapters,
        ["a1"],
        "an order without an adapter loads a model"
    );
    assert_eq!(target.accepted_orders, 1);
}
