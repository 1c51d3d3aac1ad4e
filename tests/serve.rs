//! Requests and metrics of entry VMs that run as separate processes.

mod fixture;

use fixture::booking::wait_for;
use fixture::{KEY, TestCluster, TestNode, put};
use serde_json::{Value, json};

/// Guards against requests that work only within one process. The platform, the engine and both
/// entry VMs are separate processes, and requests arrive both at the VM that coordinates the pool
/// and at the one that does not.
#[tokio::test]
async fn a_request_is_answered_by_the_adapter_it_names() {
    let cluster = TestCluster::start().await;
    for node in &cluster.nodes {
        let response = node
            .stream("gemma/shop-1", "swap two bottles tokens=4")
            .await;
        assert!(response.text.contains("[shop-1/v1 "), "{response:?}");
        assert!(response.text.contains(&response.request_id), "{response:?}");
        assert!(response.text.ends_with(" t3"), "{response:?}");
        assert!(response.complete, "{response:?}");
    }
}

/// Guards against running a request whose key is unknown.
#[tokio::test]
async fn an_unknown_key_is_refused_and_the_request_is_not_run() {
    let cluster = TestCluster::start().await;
    let (status, body) = cluster.nodes[0]
        .complete_with_key("wrong", "gemma/shop-1")
        .await;
    assert_eq!(status, 401);
    assert_eq!(body["error"]["run"], "no");
    assert_eq!(body["error"]["code"], "unauthorized");
}

/// The sum of a metric over the nodes. The name includes the labels.
async fn metric_sum(nodes: &[&TestNode], name: &str) -> f64 {
    let mut sum = 0.0;
    for node in nodes {
        let request = node.client.get(node.admin_url("/metrics"));
        let text = request.send().await.expect("a response").text().await;
        let prefix = format!("bluebellmux_{name} ");
        let text = text.expect("the response is text");
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
        sum += value.map_or(0.0, |value| value.parse().expect("a number"));
    }
    sum
}

/// Adds a second account with an adapter and limits the engine to one request at a time.
async fn publish_second_account(cluster: &TestCluster) {
    let digest = bluebellmux::KeyDigest::of_key("other-key").to_string();
    let rate = json!({"tokens_per_second": 10_000, "burst": 100_000});
    let adapter = json!({"account": "other", "base_model": "gemma", "current": "v1"});
    let edits = vec![
        put("accounts", "other", json!({})),
        put("rates", "other", rate),
        put("keys", "k2", json!({"account": "other", "sha256": digest})),
        put("adapters", "inn", adapter),
        put("versions", "inn@v1", json!({})),
        put("targets", "engine-1", engine_entry(cluster, false)),
    ];
    assert_eq!(cluster.nodes[0].publish(edits).await, 204);
    let node = &cluster.nodes[0];
    wait_for("the second account is served", || async {
        node.complete_with_key("other-key", "gemma/inn").await.0 == 200
    })
    .await;
}

fn engine_entry(cluster: &TestCluster, leaving: bool) -> Value {
    json!({
        "address": cluster.engines[0].addresses[0], "zone": "a", "base_model": "gemma",
        "checks_fencing": true, "request_limit": 1, "leaving": leaving,
    })
}

/// Guards against metrics that are registered but never updated.
#[tokio::test]
async fn each_operator_metric_is_updated() {
    let cluster = TestCluster::start().await;
    let short_timeout_node = cluster
        .start_extra_node(&["--admission-timeout-ms", "500"])
        .await;
    let nodes = [&cluster.nodes[0], &cluster.nodes[1], &short_timeout_node];
    publish_second_account(&cluster).await;
    let stalls = metric_sum(&nodes, "load_stalls_total").await;
    assert!(stalls >= 1.0);
    let (batches, node) = (
        metric_sum(&nodes, "batch_requests_count").await,
        &cluster.nodes[0],
    );
    assert!(batches >= stalls);
    // Each of the three nodes reports 1.
    assert_eq!(metric_sum(&nodes, "worst_account_share").await, 3.0);
    let started = tokio::sync::Notify::new();
    let first = node.long_stream("gemma/shop-1", 200, &started);
    let others = async {
        started.notified().await;
        let own = node.complete_with_key(KEY, "gemma/shop-1");
        tokio::join!(own, node.complete_with_key("other-key", "gemma/inn"))
    };
    let (first, (own, other)) = tokio::join!(first, others);
    assert!(first.complete && own.0 == 200 && other.0 == 200);
    assert!(metric_sum(&nodes, "batch_requests_count").await >= batches + 3.0);
    assert!(metric_sum(&nodes, "worst_account_share").await < 3.0);
    let unauthorized = "refusals_total{code=\"unauthorized\",zone_out=\"false\"}";
    let before = metric_sum(&nodes, unauthorized).await;
    node.complete_with_key("no-key", "gemma/shop-1").await;
    assert_eq!(metric_sum(&nodes, unauthorized).await, before + 1.0);
    let edits = vec![
        put("targets", "engine-1", engine_entry(&cluster, true)),
        put("zones", "b", json!({"in_service": false})),
    ];
    assert_eq!(node.publish(edits).await, 204);
    wait_for(
        "a request is refused while a zone is out of service",
        || async {
            let (status, _) = short_timeout_node
                .complete_with_key(KEY, "gemma/shop-1")
                .await;
            let refusals = "refusals_total{code=\"unavailable\",zone_out=\"true\"}";
            status == 503 && metric_sum(&[&short_timeout_node], refusals).await >= 1.0
        },
    )
    .await;
    assert!(metric_sum(&[&short_timeout_node], "wrongful_refusals_total").await >= 1.0);
}
