//! The state dump of a node and its log lines during a log outage.

mod fixture;

use std::time::Duration;

use fixture::booking::wait_for;
use fixture::{ADMIN_TOKEN, KEY, TestCluster, TestNode};
use serde_json::Value;

/// The duration of the outage, several times the interval between two reads of the log.
const OUTAGE: Duration = Duration::from_secs(2);

async fn dump(node: &TestNode) -> Value {
    let request = node.client.get(node.admin_url("/admin/dump"));
    let reply = request.bearer_auth(ADMIN_TOKEN).send().await;
    let text = reply.expect("the node responds").text().await;
    let text = text.expect("the response is complete");
    assert!(
        !text.contains(KEY),
        "the dump contains a caller's key: {text}"
    );
    serde_json::from_str(&text).expect("the dump is JSON")
}

/// Guards against a dump without the state of the pool or the token buckets, from which operators
/// find out why requests wait or are refused.
#[tokio::test]
async fn the_dump_includes_the_pool_and_the_token_buckets() {
    let cluster = TestCluster::start().await;
    for node in &cluster.nodes {
        let response = node.stream("gemma/shop-1", "swap two bottles").await;
        assert!(response.complete, "{response:?}");
    }
    wait_for("the pins are released", || async {
        let dumps = [dump(&cluster.nodes[0]).await, dump(&cluster.nodes[1]).await];
        let mut pools = dumps
            .iter()
            .map(|dump| &dump["pool"]["coordinated"]["gemma"]);
        pools.any(|pool| pool["pinned"] == 0)
    })
    .await;
    let dumps = [dump(&cluster.nodes[0]).await, dump(&cluster.nodes[1]).await];
    let mut pools = dumps
        .iter()
        .map(|dump| &dump["pool"]["coordinated"]["gemma"]);
    let pool = pools
        .find(|pool| !pool.is_null())
        .expect("one node coordinates the pool");
    let target = &pool["targets"]["engine-1"];
    assert_eq!(
        (&target["open"], &target["in_flight"]),
        (&true.into(), &0.into()),
        "{pool}"
    );
    let generations = target["generations"].as_object().expect("an object");
    let loaded = generations
        .iter()
        .find(|(name, _)| name.starts_with("shop-1@"));
    assert_eq!(loaded.expect("it is loaded").1["state"], "ready", "{pool}");
    let partitions = dumps
        .iter()
        .filter_map(|dump| dump["ledger"]["owned"].as_object());
    let mut buckets = partitions.flat_map(|owned| owned.values().map(|p| &p["accounts"]["acme"]));
    let bucket = buckets.find(|bucket| !bucket.is_null());
    let bucket = bucket.expect("one node owns the account's partition");
    assert_eq!(bucket["burst_tokens"], 100_000, "{bucket}");
}

/// Guards against one log line for each failed read during a log outage. Each component reports
/// only the start and the end of the outage.
#[tokio::test]
async fn a_log_outage_is_reported_once_per_component() {
    let cluster = TestCluster::start().await;
    let node = cluster.start_extra_node(&[]).await;
    cluster.set_log_down(true).await;
    wait_for("the outage is logged", || async {
        node.log_lines().contains("config: reading the log fails")
    })
    .await;
    tokio::time::sleep(OUTAGE).await;
    cluster.set_log_down(false).await;
    wait_for("the end of the outage is logged", || async {
        let log = node.log_lines();
        log.contains("config: reading the log works again")
            && log.contains("claims: reading the log works again")
    })
    .await;
    let log = node.log_lines();
    for component in ["config", "claims", "lease"] {
        let message = format!("{component}: reading the log fails");
        assert_eq!(log.matches(&message).count(), 1, "{log}");
    }
}
