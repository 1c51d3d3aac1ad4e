//! Runs the built binary in separate processes.

mod fixture;

use fixture::booking::wait_for;
use fixture::{KEY, Site, SiteNode, put};
use serde_json::{Value, json};

/// Guards against a path that works only inside one process: two entry VMs, the platform and an
/// engine are processes of their own, and the request enters at the VM that owns no role.
#[tokio::test]
async fn a_request_is_answered_by_the_adapter_it_names() {
    let site = Site::start().await;
    for node in &site.nodes {
        let answer = node
            .stream("gemma/shop-1", "swap two bottles tokens=4")
            .await;
        assert!(answer.text.contains("[shop-1/v1 "), "{answer:?}");
        assert!(answer.text.contains(&answer.request_id), "{answer:?}");
        assert!(answer.text.ends_with(" t3"), "{answer:?}");
        assert!(answer.complete, "{answer:?}");
    }
}

/// Guards against a request that runs without a known key.
#[tokio::test]
async fn an_unknown_key_is_refused_and_the_request_is_not_run() {
    let site = Site::start().await;
    let (status, body) = site.nodes[0]
        .complete_with_key("wrong", "gemma/shop-1")
        .await;
    assert_eq!(status, 401);
    assert_eq!(body["error"]["run"], "no");
    assert_eq!(body["error"]["code"], "unauthorized");
}

/// The sum over the nodes of a metric, named with its labels.
async fn metric(nodes: &[&SiteNode], name: &str) -> f64 {
    let mut sum = 0.0;
    for node in nodes {
        let call = node.client.get(node.admin_url("/metrics"));
        let text = call.send().await.expect("an answer").text().await;
        let prefix = format!("bluebellmux_{name} ");
        let text = text.expect("the answer is text");
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
        sum += value.map_or(0.0, |value| value.parse().expect("a number"));
    }
    sum
}

/// Adds an account with an adapter and lets the engine run one request at a time.
async fn publish_second_account(site: &Site) {
    let digest = bluebellmux::KeyDigest::of_key("other-key").to_string();
    let rate = json!({"tokens_per_second": 10_000, "burst": 100_000});
    let adapter = json!({"account": "other", "base_model": "gemma", "current": "v1"});
    let edits = vec![
        put("accounts", "other", json!({})),
        put("rates", "other", rate),
        put("keys", "k2", json!({"account": "other", "sha256": digest})),
        put("adapters", "inn", adapter),
        put("versions", "inn@v1", json!({})),
        put("targets", "engine-1", engine_entry(site, false)),
    ];
    assert_eq!(site.nodes[0].publish(edits).await, 204);
    let node = &site.nodes[0];
    wait_for("the second account is served", || async {
        node.complete_with_key("other-key", "gemma/inn").await.0 == 200
    })
    .await;
}

fn engine_entry(site: &Site, leaving: bool) -> Value {
    json!({
        "address": site.engines[0].addresses[0], "zone": "a", "base_model": "gemma",
        "checks_fencing": true, "request_limit": 1, "leaving": leaving,
    })
}

/// Guards against measures that are registered, but never counted.
#[tokio::test]
async fn each_measure_for_operators_moves() {
    let site = Site::start().await;
    let hasty = site.extra_node(&["--admission-timeout-ms", "500"]).await;
    let nodes = [&site.nodes[0], &site.nodes[1], &hasty];
    publish_second_account(&site).await;
    let stalls = metric(&nodes, "load_stalls_total").await;
    assert!(stalls >= 1.0);
    let (batches, node) = (metric(&nodes, "batch_requests_count").await, &site.nodes[0]);
    assert!(batches >= stalls);
    assert_eq!(metric(&nodes, "worst_account_share").await, 3.0);
    let started = tokio::sync::Notify::new();
    let first = node.long_stream("gemma/shop-1", 200, &started);
    let others = async {
        started.notified().await;
        let own = node.complete_with_key(KEY, "gemma/shop-1");
        tokio::join!(own, node.complete_with_key("other-key", "gemma/inn"))
    };
    let (first, (own, other)) = tokio::join!(first, others);
    assert!(first.complete && own.0 == 200 && other.0 == 200);
    assert!(metric(&nodes, "batch_requests_count").await >= batches + 3.0);
    assert!(metric(&nodes, "worst_account_share").await < 3.0);
    let unauthorized = "refusals_total{code=\"unauthorized\",zone_out=\"false\"}";
    let before = metric(&nodes, unauthorized).await;
    node.complete_with_key("no-key", "gemma/shop-1").await;
    assert_eq!(metric(&nodes, unauthorized).await, before + 1.0);
    let edits = vec![
        put("targets", "engine-1", engine_entry(&site, true)),
        put("zones", "b", json!({"in_service": false})),
    ];
    assert_eq!(node.publish(edits).await, 204);
    wait_for("a refusal beside a zone out of service", || async {
        let (status, _) = hasty.complete_with_key(KEY, "gemma/shop-1").await;
        let refusals = "refusals_total{code=\"unavailable\",zone_out=\"true\"}";
        status == 503 && metric(&[&hasty], refusals).await >= 1.0
    })
    .await;
    assert!(metric(&[&hasty], "wrongful_refusals_total").await >= 1.0);
}
